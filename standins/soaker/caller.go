package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/platform/emulator"
)

const (
	// initialRetransmitTimeout is the time after which a Caller first retransmits a packet. It doubles
	// with each retransmission.
	initialRetransmitTimeout = 200 * time.Millisecond
	// requestTimeout is how long a Caller waits for an answer, retransmissions included.
	requestTimeout = time.Second
	// serviceMixSize is the number of consecutive Callers among which SecondServiceShare is kept.
	serviceMixSize = 12
	// requestsPerFlow is the number of requests that a Caller sends on a flow.
	requestsPerFlow = 12
)

// caller stands in for one Caller, which has one flow at a time.
type caller struct {
	monitor  *monitor
	index    int
	ip       netip.Addr
	conn     *net.UDPConn
	received chan receivedPacket
	lastPort uint16
	rng      *rand.Rand
}

// receivedPacket is a packet and the socket address of the upstream or balancer that sent it.
type receivedPacket struct {
	emulator.Packet
	from netip.AddrPort
}

// outcome is how a request ended for its Caller.
type outcome int

const (
	outcomeAnswered outcome = iota
	// outcomeFailed means that the answer was an error.
	outcomeFailed
	// outcomeUnknown means that the flow was reset or no answer came in time.
	outcomeUnknown
)

func newCaller(m *monitor, index int, ip string) (*caller, error) {
	c := &caller{monitor: m, index: index, ip: netip.MustParseAddr(ip), received: make(chan receivedPacket, 256), lastPort: 1024, rng: rand.New(rand.NewPCG(m.cfg.Seed, uint64(index)))}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.ip, tunnelPort)))
	if err != nil {
		return nil, err
	}
	c.conn = conn
	go c.receive()
	return c, nil
}

// receive passes packets on until the socket closes, and drops them while the buffer is full.
func (c *caller) receive() {
	buf := make([]byte, 2048)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if p, err := emulator.Decode(buf[:n]); err == nil {
			select {
			case c.received <- receivedPacket{Packet: p, from: from}:
			default:
			}
		}
	}
}

// run opens flows and sends requests on them until ctx ends.
func (c *caller) run(ctx context.Context) {
	defer func() { _ = c.conn.Close() }()
	for n := 0; ctx.Err() == nil; {
		address := addressSwap
		if float64(c.index%serviceMixSize) < c.monitor.cfg.SecondServiceShare*serviceMixSize {
			address = addressMaps
		}
		openStart := time.Now()
		f := c.openFlow(ctx, address)
		if ctx.Err() != nil {
			return
		}
		if f == nil {
			c.monitor.recordRequest(false, time.Since(openStart))
			time.Sleep(20 * time.Millisecond)
			continue
		}
		for range requestsPerFlow {
			n++
			id := fmt.Sprintf("%d-%d", c.index, n)
			requestStart := time.Now()
			result := f.request(ctx, id)
			if ctx.Err() != nil {
				// The run has ended, so that a missing answer is no failure.
				return
			}
			c.monitor.recordRequest(result == outcomeAnswered, time.Since(requestStart))
			if result != outcomeAnswered || f.ended {
				break
			}
			// The pause is between 0.4 and 1.6 times the mean.
			time.Sleep(time.Duration(float64(c.monitor.cfg.PauseMillis) * (0.4 + 1.2*c.rng.Float64()) * float64(time.Millisecond)))
		}
	}
}

// flow is the Caller's end of a flow.
type flow struct {
	caller *caller
	ends   flowEnds
	tag    rattanwood.UpstreamID
	seq    uint32
	ack    uint32
	// ended is set once the flow can carry no more requests.
	ended bool
}

// openFlow sends a first packet, and up to two retransmissions, until the flow is open. It returns nil
// if the flow was reset or no answer came.
func (c *caller) openFlow(ctx context.Context, address string) *flow {
	c.lastPort++
	f := &flow{caller: c, ends: flowEnds{caller: netip.AddrPortFrom(c.ip, c.lastPort), target: netip.MustParseAddrPort(address)}, seq: c.rng.Uint32()}
	c.monitor.recordOpening(f.ends, time.Now())
	for attempt, timeout := uint32(0), initialRetransmitTimeout; attempt < 3 && ctx.Err() == nil; attempt, timeout = attempt+1, 2*timeout {
		// On a first packet, Ack counts the retransmissions.
		f.send(rattanwood.Segment{Flags: rattanwood.FlagOpen, Seq: f.seq, Ack: attempt}, "")
		reply, ok := f.awaitPacket(timeout, func(p receivedPacket) bool {
			return p.Flags.Has(rattanwood.FlagOpen) || p.Flags.Has(rattanwood.FlagReset)
		})
		if !ok {
			continue
		}
		if reply.Flags.Has(rattanwood.FlagReset) {
			c.monitor.checkRefusal(f.ends)
			return nil
		}
		f.seq, f.ack = f.seq+1, reply.Seq+1
		f.send(rattanwood.Segment{Flags: rattanwood.FlagAck, Seq: f.seq, Ack: f.ack}, "")
		return f
	}
	return nil
}

// request sends a request, retransmits it, and waits for its answer until requestTimeout.
func (f *flow) request(ctx context.Context, id string) outcome {
	deadline := time.Now().Add(requestTimeout)
	for timeout := initialRetransmitTimeout; ctx.Err() == nil; timeout *= 2 {
		remaining := time.Until(deadline)
		if remaining <= 0 {
			break
		}
		f.send(rattanwood.Segment{Flags: rattanwood.FlagAck, Seq: f.seq, Ack: f.ack}, id)
		reply, ok := f.awaitPacket(min(timeout, remaining), func(p receivedPacket) bool {
			return p.Flags.Has(rattanwood.FlagReset) || strings.HasPrefix(p.Data, id+"|")
		})
		switch {
		case !ok:
		case reply.Flags.Has(rattanwood.FlagReset):
			f.ended = true
			// Only endpoints of the flow can sign packets, so an unsigned reset is from a balancer.
			if !reply.Signed {
				f.caller.monitor.checkReset(f.ends, reply.from)
			}
			return outcomeUnknown
		default:
			f.seq += uint32(len(id))
			f.ack += uint32(len(reply.Data))
			f.ended = reply.Flags.Has(rattanwood.FlagClose)
			f.send(rattanwood.Segment{Flags: rattanwood.FlagAck, Seq: f.seq, Ack: f.ack}, "")
			if len(reply.Data) < answerSize {
				return outcomeFailed
			}
			return outcomeAnswered
		}
	}
	f.ended = true
	f.send(rattanwood.Segment{Flags: rattanwood.FlagAck | rattanwood.FlagClose, Seq: f.seq, Ack: f.ack}, "")
	return outcomeUnknown
}

func (f *flow) send(s rattanwood.Segment, data string) {
	s.Caller, s.Target, s.Tag = f.ends.caller, f.ends.target, f.tag
	f.caller.monitor.router.forward(emulator.Packet{Segment: s, Signed: true, Data: data})
}

// awaitPacket returns the first packet of this flow that matches, or false after the timeout. The flow
// takes over the tag of every signed packet that carries one.
func (f *flow) awaitPacket(timeout time.Duration, match func(receivedPacket) bool) (receivedPacket, bool) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return receivedPacket{}, false
		case p := <-f.caller.received:
			if p.Target != f.ends.caller {
				continue
			}
			if p.Signed && p.Tag != 0 {
				f.tag = p.Tag
			}
			if match(p) {
				return p, true
			}
		}
	}
}
