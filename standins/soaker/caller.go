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
	// firstWait and openWaits are when a Caller repeats a packet.
	firstWait = 200 * time.Millisecond
	// requestLimit is the time that a Caller gives a request.
	requestLimit = time.Second
	// mixParts is the number of Callers among which the mix of services is kept.
	mixParts = 12
	// flowRequests is the number of requests of a flow.
	flowRequests = 12
)

// client is one Caller. It has one flow at a time.
type client struct {
	w      *world
	n      int
	ip     netip.Addr
	conn   *net.UDPConn
	in     chan arrival
	port   uint16
	random *rand.Rand
}

type arrival struct {
	emulator.Packet
	from netip.AddrPort
}

// outcome is how a try ended.
type outcome int

const (
	answered outcome = iota
	// failed tries were answered with an error.
	failed
	unknown
)

func newClient(w *world, n int, ip string) (*client, error) {
	c := &client{w: w, n: n, ip: netip.MustParseAddr(ip), in: make(chan arrival, 256), port: 1024, random: rand.New(rand.NewPCG(w.cfg.Seed, uint64(n)))}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.ip, tunnelPort)))
	if err != nil {
		return nil, err
	}
	c.conn = conn
	go c.receive()
	return c, nil
}

func (c *client) receive() {
	buf := make([]byte, 2048)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if p, err := emulator.Decode(buf[:n]); err == nil {
			select {
			case c.in <- arrival{Packet: p, from: from}:
			default:
			}
		}
	}
}

// run sends requests until ctx ends.
func (c *client) run(ctx context.Context) {
	defer func() { _ = c.conn.Close() }()
	for n := 0; ctx.Err() == nil; {
		address := addressSwap
		if float64(c.n%mixParts) < c.w.cfg.SecondServiceShare*mixParts {
			address = addressMaps
		}
		began := time.Now()
		f := c.open(ctx, address)
		if ctx.Err() != nil {
			return
		}
		if f == nil {
			c.w.count(false, time.Since(began))
			time.Sleep(20 * time.Millisecond)
			continue
		}
		for range flowRequests {
			n++
			id := fmt.Sprintf("%d-%d", c.n, n)
			asked := time.Now()
			result := f.request(ctx, id)
			if ctx.Err() != nil {
				// The soak is over, and nobody waits for this answer.
				return
			}
			c.w.count(result == answered, time.Since(asked))
			if result != answered || f.ended {
				break
			}
			// Between 0.4 and 1.6 times the mean.
			time.Sleep(time.Duration(float64(c.w.cfg.PauseMillis) * (0.4 + 1.2*c.random.Float64()) * float64(time.Millisecond)))
		}
	}
}

// flow is the Caller's end of a flow.
type flow struct {
	c     *client
	ends  flowEnds
	tag   rattanwood.UpstreamID
	seq   uint32
	ack   uint32
	ended bool
}

// open sends a first packet and its copies; nil means that nothing has been opened.
func (c *client) open(ctx context.Context, address string) *flow {
	c.port++
	f := &flow{c: c, ends: flowEnds{caller: netip.AddrPortFrom(c.ip, c.port), target: netip.MustParseAddrPort(address)}, seq: c.random.Uint32()}
	c.w.opened(f.ends, time.Now())
	for copies, wait := uint32(0), firstWait; copies < 3 && ctx.Err() == nil; copies, wait = copies+1, 2*wait {
		f.send(rattanwood.Segment{Flags: rattanwood.FlagOpen, Seq: f.seq, Ack: copies}, "")
		a, ok := f.wait(wait, func(a arrival) bool {
			return a.Flags.Has(rattanwood.FlagOpen) || a.Flags.Has(rattanwood.FlagReset)
		})
		if !ok {
			continue
		}
		if a.Flags.Has(rattanwood.FlagReset) {
			c.w.checkRefusal(f.ends)
			return nil
		}
		f.seq, f.ack = f.seq+1, a.Seq+1
		f.send(rattanwood.Segment{Flags: rattanwood.FlagAck, Seq: f.seq, Ack: f.ack}, "")
		return f
	}
	return nil
}

// request sends a request and waits for its answer.
func (f *flow) request(ctx context.Context, id string) outcome {
	end := time.Now().Add(requestLimit)
	for wait := firstWait; ctx.Err() == nil; wait *= 2 {
		left := time.Until(end)
		if left <= 0 {
			break
		}
		f.send(rattanwood.Segment{Flags: rattanwood.FlagAck, Seq: f.seq, Ack: f.ack}, id)
		a, ok := f.wait(min(wait, left), func(a arrival) bool {
			return a.Flags.Has(rattanwood.FlagReset) || strings.HasPrefix(a.Data, id+"|")
		})
		switch {
		case !ok:
		case a.Flags.Has(rattanwood.FlagReset):
			f.ended = true
			if !a.Signed {
				f.c.w.checkReset(f.ends, a.from)
			}
			return unknown
		default:
			f.seq += uint32(len(id))
			f.ack += uint32(len(a.Data))
			f.ended = a.Flags.Has(rattanwood.FlagClose)
			f.send(rattanwood.Segment{Flags: rattanwood.FlagAck, Seq: f.seq, Ack: f.ack}, "")
			if len(a.Data) < answerSize {
				return failed
			}
			return answered
		}
	}
	f.ended = true
	f.send(rattanwood.Segment{Flags: rattanwood.FlagAck | rattanwood.FlagClose, Seq: f.seq, Ack: f.ack}, "")
	return unknown
}

func (f *flow) send(s rattanwood.Segment, data string) {
	s.Caller, s.Target, s.Tag = f.ends.caller, f.ends.target, f.tag
	f.c.w.router.forward(emulator.Packet{Segment: s, Signed: true, Data: data})
}

// wait returns the first packet of this flow that matches, and takes over the tag of all.
func (f *flow) wait(d time.Duration, match func(arrival) bool) (arrival, bool) {
	t := time.NewTimer(d)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			return arrival{}, false
		case a := <-f.c.in:
			if a.Target != f.ends.caller {
				continue
			}
			if a.Signed && a.Tag != 0 {
				f.tag = a.Tag
			}
			if match(a) {
				return a, true
			}
		}
	}
}
