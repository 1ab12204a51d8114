package soaker

import (
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/platform/emulator"
)

// Services of the soak.
const (
	serviceSwap rattanwood.ServiceID = "swap"
	serviceMaps rattanwood.ServiceID = "maps"
)

// dataCentre is that of all balancers and upstreams.
const dataCentre = "east"

// workTime is the time that an upstream takes for a request.
const workTime = 5 * time.Millisecond

// flowEnds names a flow.
type flowEnds struct {
	caller, target netip.AddrPort
}

// String returns both ends as balancers log them.
func (f flowEnds) String() string { return f.caller.String() + ">" + f.target.String() }

// back is one life of an upstream, behind a link. Its methods are called by the schedule.
type back struct {
	w       *world
	id      rattanwood.InstanceID
	service rattanwood.ServiceID
	link    *link
	udp     *net.UDPConn
	health  *http.Server
	born    time.Time

	mu       sync.Mutex
	flows    map[flowEnds]*backFlow
	draining time.Time
	dead     bool
	ill      ill
}

// ill is how an upstream fails requests while its status is good.
type ill struct {
	// mute upstreams give no answer, and short ones an error.
	mute, short bool
}

// answerSize is the size of an answer in bytes, and that of an error is a few.
const answerSize = 600

func (b *back) turn(to ill) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ill = to
}

type backFlow struct {
	tag     rattanwood.UpstreamID
	open    bool
	closed  bool
	answers map[uint32]string
}

// newBack starts an upstream at its own address, behind a link at another.
func newBack(w *world, id rattanwood.InstanceID, service rattanwood.ServiceID, at, to string) (*back, error) {
	b := &back{w: w, id: id, service: service, born: time.Now(), flows: map[flowEnds]*backFlow{}}
	address, err := net.ResolveUDPAddr("udp4", to)
	if err != nil {
		return nil, err
	}
	if b.udp, err = net.ListenUDP("udp4", address); err != nil {
		return nil, err
	}
	lis, err := net.Listen("tcp4", to)
	if err != nil {
		return nil, err
	}
	b.health = &http.Server{Handler: emulator.StatusHandler(id), ReadHeaderTimeout: time.Second}
	go func() { _ = b.health.Serve(lis) }()
	if b.link, err = newLink(at, to, true); err != nil {
		return nil, err
	}
	go b.receive()
	return b, nil
}

func (b *back) name() string { return b.id.String() }

// register writes what the upstream says of itself to the store.
func (b *back) register() {
	b.w.store.put(emulator.RegistrationKey(b.id), emulator.EncodeRegistration(rattanwood.Registration{
		Service: b.service, Address: netip.MustParseAddrPort(b.link.at), DataCentre: dataCentre,
		Slots: 2, Draining: b.isDraining(), StartTime: b.born.UnixMilli(),
	}))
}

// unregister removes the upstream from the store.
func (b *back) unregister() { b.w.store.put(emulator.RegistrationKey(b.id), nil) }

func (b *back) isDraining() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.draining.IsZero()
}

func (b *back) drain() {
	b.mu.Lock()
	b.draining = time.Now()
	b.mu.Unlock()
	b.register()
}

// end stops the upstream; its port refuses connections from then on.
func (b *back) end() {
	b.mu.Lock()
	b.dead = true
	b.mu.Unlock()
	b.link.refuse()
	_ = b.link.udp.Close()
	_ = b.health.Close()
	_ = b.udp.Close()
}

func (b *back) alive() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.dead
}

func (b *back) receive() {
	buf := make([]byte, 2048)
	for {
		n, _, err := b.udp.ReadFromUDP(buf)
		if err != nil {
			return
		}
		in, p, err := emulator.DecodeForwarded(buf[:n])
		if err != nil {
			b.w.breach("an upstream got a datagram that holds no packet", err)
			continue
		}
		if in == b.id {
			b.take(p)
		}
	}
}

func (b *back) take(p emulator.Packet) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := flowEnds{caller: p.Caller, target: p.Target}
	f := b.flows[key]
	switch {
	case !p.Signed:
		b.w.breach("an upstream got a packet that its sender did not write", key)
	case p.Flags.Has(rattanwood.FlagOpen):
		b.w.checkOpening(b, key, b.draining)
		if f == nil {
			f = &backFlow{answers: map[uint32]string{}}
			b.flows[key] = f
		}
		f.tag = p.Tag
		b.reply(key, rattanwood.Segment{Flags: rattanwood.FlagOpen | rattanwood.FlagAck, Seq: uint32(b.id), Ack: p.Seq + 1, Tag: p.Tag}, "")
	case f != nil && !f.open && p.Ack != uint32(b.id)+1:
		// The Caller has opened the flow at another upstream.
		// It asks the other upstreams, one of which may be doing the same.
		go b.w.checkStray(b, key)
		b.reply(key, rattanwood.Segment{Flags: rattanwood.FlagReset, Seq: p.Ack, Tag: p.Tag}, "")
	case f == nil || f.closed:
		// It asks the other upstreams, one of which may be doing the same.
		go b.w.checkStray(b, key)
		b.reply(key, rattanwood.Segment{Flags: rattanwood.FlagReset, Seq: p.Ack, Tag: p.Tag}, "")
	default:
		f.open, f.tag, f.closed = true, p.Tag, p.Flags.Has(rattanwood.FlagClose)
		if p.Data != "" {
			b.answer(key, f, p)
		}
	}
}

// answer runs a request once, and repeats the answer for its copies.
func (b *back) answer(key flowEnds, f *backFlow, p emulator.Packet) {
	data, done := f.answers[p.Seq]
	if !done {
		b.w.ran(p.Data)
		data = p.Data + "|" + b.name()
		if !b.ill.short {
			data += strings.Repeat(" ", answerSize)
		}
		f.answers[p.Seq] = data
	}
	if b.ill.mute {
		return
	}
	flags := rattanwood.FlagAck
	if !b.draining.IsZero() {
		flags |= rattanwood.FlagClose
		f.closed = !done
	}
	time.AfterFunc(workTime, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if !b.dead {
			b.reply(key, rattanwood.Segment{Flags: flags, Seq: p.Ack, Ack: p.Seq + uint32(len(p.Data)), Tag: f.tag}, data)
		}
	})
}

// reply sends a packet straight to the Caller.
func (b *back) reply(key flowEnds, s rattanwood.Segment, data string) {
	if rand.Float64() < lossShare {
		return
	}
	s.Caller, s.Target = key.target, key.caller
	p := emulator.Packet{Segment: s, Signed: true, Data: data}
	_, _ = b.udp.WriteToUDPAddrPort(p.Encode(), netip.AddrPortFrom(key.caller.Addr(), tunnelPort))
}

// holds reports whether the flow is open here.
func (b *back) holds(key flowEnds) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.flows[key]
	return !b.dead && f != nil && f.open && !f.closed
}
