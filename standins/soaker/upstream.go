package soaker

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// Services of the soak.
const (
	serviceSwap = "swap"
	serviceMaps = "maps"
)

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
	id      uint64
	service string
	link    *link
	udp     *net.UDPConn
	health  *http.Server
	born    time.Time

	mu       sync.Mutex
	flows    map[flowEnds]*backFlow
	draining time.Time
	dead     bool
}

type backFlow struct {
	echo    uint32
	open    bool
	closed  bool
	answers map[uint32]string
}

// newBack starts an upstream at its own address, behind a link at another.
func newBack(w *world, id uint64, service, at, to string) (*back, error) {
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
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Rattanwood-Instance-Id", b.name())
	})
	b.health = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = b.health.Serve(lis) }()
	if b.link, err = newLink(at, to, true); err != nil {
		return nil, err
	}
	go b.receive()
	return b, nil
}

func (b *back) name() string { return fmt.Sprintf("i-%010x", b.id) }

// register writes what the upstream says of itself to the store.
func (b *back) register() {
	state := "ready"
	if b.isDraining() {
		state = "draining"
	}
	data, _ := json.Marshal(map[string]any{
		"service": b.service, "address": b.link.at, "zone": "east", "version": "v1", "slots": 2, "state": state,
		"warmup_remaining_ms": 0, "sequence": 1, "born": b.born.UnixMilli(),
	})
	b.w.store.put("servers/"+b.name(), string(data))
}

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
		if n < addressSize || binary.BigEndian.Uint64(buf) != b.id {
			continue
		}
		if p, ok := decode(buf[addressSize:n]); ok {
			b.take(p)
		}
	}
}

func (b *back) take(p packet) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := flowEnds{caller: p.from, target: p.to}
	f := b.flows[key]
	switch {
	case !p.signed:
		b.w.breach("an upstream got a packet that its sender did not write", key)
	case p.flags&bitOpen != 0:
		b.w.checkOpening(b, key, b.draining)
		if f == nil {
			f = &backFlow{answers: map[uint32]string{}}
			b.flows[key] = f
		}
		f.echo = p.echo
		b.reply(key, packet{flags: bitOpen | bitAck, seq: uint32(b.id), ack: p.seq + 1, echo: p.echo})
	case f != nil && !f.open && p.ack != uint32(b.id)+1:
		// The Caller has opened the flow at another upstream.
		// It asks the other upstreams, one of which may be doing the same.
		go b.w.checkStray(b, key)
		b.reply(key, packet{flags: bitReset, seq: p.ack, echo: p.echo})
	case f == nil || f.closed:
		// It asks the other upstreams, one of which may be doing the same.
		go b.w.checkStray(b, key)
		b.reply(key, packet{flags: bitReset, seq: p.ack, echo: p.echo})
	default:
		f.open, f.echo = true, p.echo
		if p.data != "" {
			b.answer(key, f, p)
		}
	}
}

// answer runs a request once, and repeats the answer for its copies.
func (b *back) answer(key flowEnds, f *backFlow, p packet) {
	data, done := f.answers[p.seq]
	if !done {
		b.w.ran(p.data)
		data = p.data + "|" + b.name()
		f.answers[p.seq] = data
	}
	flags := byte(bitAck)
	if !b.draining.IsZero() {
		flags |= bitClose
		f.closed = !done
	}
	time.AfterFunc(workTime, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if !b.dead {
			b.reply(key, packet{flags: flags, seq: p.ack, ack: p.seq + uint32(len(p.data)), echo: f.echo, data: data})
		}
	})
}

// reply sends a packet straight to the Caller.
func (b *back) reply(key flowEnds, p packet) {
	p.from, p.to, p.signed = key.target, key.caller, true
	if rand.Float64() < lossShare {
		return
	}
	_, _ = b.udp.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(key.caller.Addr(), tunnelPort))
}

// holds reports whether the flow is open here.
func (b *back) holds(key flowEnds) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.flows[key]
	return !b.dead && f != nil && f.open && !f.closed
}
