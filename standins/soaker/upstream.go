package soaker

import (
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/platform/emulator"
)

// Services of the run. serviceSwap has six upstreams at the start, and serviceMaps three.
const (
	serviceSwap rattanwood.ServiceID = "swap"
	serviceMaps rattanwood.ServiceID = "maps"
)

// dataCentre is the one that all balancers are in, and all upstreams but those that an evacuation needs.
const (
	dataCentre       = "east"
	secondDataCentre = "west"
)

// requestDuration is how long an upstream takes to answer a request.
const requestDuration = 5 * time.Millisecond

// flowEnds identifies a flow by its two addresses.
type flowEnds struct {
	caller, target netip.AddrPort
}

// String returns both ends in the form that balancers log.
func (f flowEnds) String() string { return f.caller.String() + ">" + f.target.String() }

// upstream stands in for one instance of an upstream behind a link, and reports to the monitor what
// reaches it.
type upstream struct {
	monitor      *monitor
	id           rattanwood.InstanceID
	service      rattanwood.ServiceID
	centre       rattanwood.DataCentre
	link         *link
	udp          *net.UDPConn
	healthServer *http.Server
	startedAt    time.Time
	// coldUntil is until when the upstream is cold; it may get limited new flows until then.
	coldUntil time.Time
	// registrations counts the times that the upstream registered, and registration is the last value.
	registrations atomic.Int64
	registration  atomic.Pointer[[]byte]

	mu            sync.Mutex
	flows         map[flowEnds]*upstreamFlow
	drainingSince time.Time
	// firstPackets are those that arrived while the upstream was cold.
	firstPackets []firstPacket
	stopped      bool
	failureMode  failureMode
}

// firstPacket holds when a first packet was sent and when it arrived.
type firstPacket struct {
	sentAt, arrivedAt time.Time
}

// failureMode is how an upstream fails requests while its health checks pass.
type failureMode struct {
	// noAnswer leaves requests without an answer; errorAnswer answers them with an error.
	noAnswer, errorAnswer bool
}

// answerSize is the least size of a successful answer in bytes. Callers recognise an error, which has
// only a few bytes, by its size.
const answerSize = 600

func (u *upstream) setFailureMode(mode failureMode) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.failureMode = mode
}

// upstreamFlow is the upstream's end of a flow.
type upstreamFlow struct {
	tag rattanwood.UpstreamID
	// open is set once the Caller has acknowledged the flow's opening.
	open   bool
	closed bool
	// answers holds the answers by the sequence number of their request, for retransmissions.
	answers map[uint32]string
}

// newUpstream starts an upstream at ownAddress behind a link that listens at linkAddress.
func newUpstream(m *monitor, id rattanwood.InstanceID, service rattanwood.ServiceID, centre rattanwood.DataCentre, linkAddress, ownAddress string) (*upstream, error) {
	u := &upstream{monitor: m, id: id, service: service, centre: centre, startedAt: time.Now(), flows: map[flowEnds]*upstreamFlow{}}
	address, err := net.ResolveUDPAddr("udp4", ownAddress)
	if err != nil {
		return nil, err
	}
	if u.udp, err = net.ListenUDP("udp4", address); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", ownAddress)
	if err != nil {
		return nil, err
	}
	u.healthServer = &http.Server{Handler: emulator.StatusHandler(id), ReadHeaderTimeout: time.Second}
	go func() { _ = u.healthServer.Serve(listener) }()
	if u.link, err = newLink(linkAddress, ownAddress, true); err != nil {
		return nil, err
	}
	go u.receive()
	return u, nil
}

func (u *upstream) name() string { return u.id.String() }

// register writes the upstream's registration to the store.
func (u *upstream) register() {
	value := emulator.EncodeRegistration(rattanwood.Registration{
		Service: u.service, Address: netip.MustParseAddrPort(u.link.listenAddress), DataCentre: u.centre,
		Slots: 2, Draining: u.isDraining(), RemainingWarmup: max(time.Until(u.coldUntil), 0), StartTime: u.startedAt.UnixMilli(),
	}, int(u.registrations.Add(1)))
	u.registration.Store(&value)
	u.monitor.store.put(emulator.RegistrationKey(u.id), value)
}

// lastRegistration returns the value that the upstream registered last.
func (u *upstream) lastRegistration() []byte { return *u.registration.Load() }

// unregister removes the upstream's registration from the store.
func (u *upstream) unregister() { u.monitor.store.put(emulator.RegistrationKey(u.id), nil) }

func (u *upstream) isDraining() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.drainingSince.IsZero()
}

func (u *upstream) startDraining() {
	u.mu.Lock()
	u.drainingSince = time.Now()
	u.mu.Unlock()
	u.register()
}

// stop ends the upstream; its address refuses connections from then on.
func (u *upstream) stop() {
	u.mu.Lock()
	u.stopped = true
	u.mu.Unlock()
	u.link.refuseConnections()
	_ = u.link.udp.Close()
	_ = u.healthServer.Close()
	_ = u.udp.Close()
}

func (u *upstream) isRunning() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.stopped
}

// receive reads packets until the socket closes, and drops those for other instances.
func (u *upstream) receive() {
	buf := make([]byte, 2048)
	for {
		n, _, err := u.udp.ReadFromUDP(buf)
		if err != nil {
			return
		}
		instance, p, err := emulator.DecodeForwarded(buf[:n])
		if err != nil {
			u.monitor.recordViolation("an upstream got a datagram that holds no packet", err)
			continue
		}
		if instance == u.id {
			u.handlePacket(p)
		}
	}
}

// handlePacket plays the upstream's part in a flow: it accepts first packets, answers requests, and
// resets flows that it doesn't hold. Its initial sequence number is the low 32 bits of its instance ID,
// so that an acknowledgement shows whether the Caller opened the flow here.
func (u *upstream) handlePacket(p emulator.Packet) {
	u.mu.Lock()
	defer u.mu.Unlock()
	key := flowEnds{caller: p.Caller, target: p.Target}
	f := u.flows[key]
	switch {
	case !p.Signed:
		u.monitor.recordViolation("an upstream got a packet that its sender did not write", key)
	case p.Flags.Has(rattanwood.FlagOpen):
		u.monitor.checkFirstPacket(u, key, u.drainingSince)
		if now := time.Now(); now.Before(u.coldUntil) {
			u.firstPackets = append(u.firstPackets, firstPacket{sentAt: u.monitor.lastSent(key), arrivedAt: now})
			u.monitor.checkColdUpstream(u.name(), u.firstPackets)
		}
		if f == nil {
			f = &upstreamFlow{answers: map[uint32]string{}}
			u.flows[key] = f
		}
		f.tag = p.Tag
		u.sendToCaller(key, rattanwood.Segment{Flags: rattanwood.FlagOpen | rattanwood.FlagAck, Seq: uint32(u.id), Ack: p.Seq + 1, Tag: p.Tag}, "")
	case f != nil && !f.open && p.Ack != uint32(u.id)+1:
		// The Caller has opened the flow at another upstream.
		// checkStray locks the other upstreams, one of which may be waiting for this one's lock.
		go u.monitor.checkStray(u, key)
		u.sendToCaller(key, rattanwood.Segment{Flags: rattanwood.FlagReset, Seq: p.Ack, Tag: p.Tag}, "")
	case f == nil || f.closed:
		// checkStray locks the other upstreams, one of which may be waiting for this one's lock.
		go u.monitor.checkStray(u, key)
		u.sendToCaller(key, rattanwood.Segment{Flags: rattanwood.FlagReset, Seq: p.Ack, Tag: p.Tag}, "")
	default:
		f.open, f.tag, f.closed = true, p.Tag, p.Flags.Has(rattanwood.FlagClose)
		if p.Data != "" {
			u.answerRequest(key, f, p)
		}
	}
}

// answerRequest executes a request once, and sends the same answer again for retransmissions.
func (u *upstream) answerRequest(key flowEnds, f *upstreamFlow, p emulator.Packet) {
	data, repeated := f.answers[p.Seq]
	if !repeated {
		u.monitor.recordRequestRun(p.Data)
		data = p.Data + "|" + u.name()
		if !u.failureMode.errorAnswer {
			data += strings.Repeat(" ", answerSize)
		}
		f.answers[p.Seq] = data
	}
	if u.failureMode.noAnswer {
		return
	}
	flags := rattanwood.FlagAck
	if !u.drainingSince.IsZero() {
		flags |= rattanwood.FlagClose
		// The Caller may have received a repeated answer already, without the close flag if it was sent
		// before the draining. It then goes on using the flow.
		f.closed = !repeated
	}
	time.AfterFunc(requestDuration, func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		if !u.stopped {
			u.sendToCaller(key, rattanwood.Segment{Flags: flags, Seq: p.Ack, Ack: p.Seq + uint32(len(p.Data)), Tag: f.tag}, data)
		}
	})
}

// sendToCaller sends a packet to the Caller directly, not through a balancer.
func (u *upstream) sendToCaller(key flowEnds, s rattanwood.Segment, data string) {
	if rand.Float64() < packetLossRate {
		return
	}
	s.Caller, s.Target = key.target, key.caller
	p := emulator.Packet{Segment: s, Signed: true, Data: data}
	_, _ = u.udp.WriteToUDPAddrPort(p.Encode(), netip.AddrPortFrom(key.caller.Addr(), tunnelPort))
}

// holdsFlow reports whether the upstream is running and the flow is open at it.
func (u *upstream) holdsFlow(key flowEnds) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	f := u.flows[key]
	return !u.stopped && f != nil && f.open && !f.closed
}
