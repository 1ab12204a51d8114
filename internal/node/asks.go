package node

import (
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"example.org/rattanwood"
	"example.org/rattanwood/admitter"
	"example.org/rattanwood/allocator"
	"example.org/rattanwood/internal/logger"
	"example.org/rattanwood/messenger"
	"example.org/rattanwood/tagger"
	"example.org/rattanwood/wire"
)

// prepareAsks returns the datagrams that carry out verdicts of tagger.Ask, and the other packets. It decides anew on the
// packets for which the budget isn't sufficient. The calling code must hold mu.
func (n *Node) prepareAsks(now time.Duration, packets []tagger.OutgoingPacket) (other []tagger.OutgoingPacket, asks []messenger.Send) {
	for len(packets) > 0 {
		p := packets[0]
		packets = packets[1:]
		if p.Action != tagger.Ask {
			other = append(other, p)
			continue
		}
		sends := n.prepareSeeks(now, p.Request)
		if a, ok := n.messenger.Ask(now, p.Peer, encodeAsk(*p.Request, p.Packet)); ok {
			sends = append(sends, a)
		}
		if len(sends) == 0 {
			packets = append(packets, n.tagger.Withhold(now, p.Segment)...)
		}
		asks = append(asks, sends...)
	}
	return other, asks
}

// handleAsk answers another balancer that asks where a flow's first packet goes.
func (n *Node) handleAsk(from rattanwood.VMID, m *wire.Ask) {
	s, err := n.cfg.Codec.Parse(m.GetPacket())
	if err != nil {
		n.rejectPacket(err)
		return
	}
	q := decodeAsk(m)
	n.mu.Lock()
	now := n.now()
	advice, ok := n.tagger.Advise(now, from, s, q)
	var answer messenger.Send
	if ok {
		answer, ok = n.messenger.Advise(now, from, encodeAdvice(advice))
	}
	tallies := n.prepareTallies(now)
	n.mu.Unlock()
	if ok {
		n.sendDatagram(answer)
	}
	n.sendDatagrams(tallies)
	n.log.Info("advice given", zap.String(logger.KeyFlow, flowID(s)), zap.String(logger.KeyPeer, string(from)), zap.Bool("sent", ok),
		zap.Stringer("wanted", q.Upstream), zap.Stringer(logger.KeyUpstream, advice.Upstream))
}

// handleAdvice decides on a first packet that waits for an answer.
func (n *Node) handleAdvice(m *wire.Advice) {
	n.mu.Lock()
	now := n.now()
	packets := n.tagger.HandleAdvice(now, decodeAdvice(m))
	n.finishPackets(now, packets)
}

// finishPackets carries out decisions on packets that waited here. The calling code must hold mu, which finishPackets
// releases.
func (n *Node) finishPackets(now time.Duration, packets []tagger.OutgoingPacket) {
	packets, asks := n.prepareAsks(now, packets)
	asks = append(asks, n.prepareLateReports(now)...)
	age, _ := n.watcher.Age(now)
	position := n.replica.Position()
	n.mu.Unlock()
	n.sendDatagrams(asks)
	n.sendPackets(packets, age, position)
}

// handleHandOver decides on a first packet that a balancer of an earlier build leaves to this one, like on one from the
// fabric.
func (n *Node) handleHandOver(from rattanwood.VMID, h *wire.Handover) {
	n.mu.Lock()
	n.tagger.OweTally(n.now(), from)
	n.mu.Unlock()
	n.handlePacket(nil, h.GetPacket(), n.now())
}

// maxPressures bounds the pressures in a message.
const maxPressures = 16

// maxAskedGroups bounds the groups in a message that had no room for a flow.
const maxAskedGroups = 8

// encodeAsk returns the message that asks for a first packet.
func encodeAsk(q tagger.Request, packet []byte) *wire.Ask {
	m := &wire.Ask{
		Serial: q.Serial, Upstream: uint32(q.Upstream), Packet: packet, Service: string(q.Service), Part: uint32(q.Part), Level: uint32(q.Level), Last: q.Last,
		Offered: uint32(q.Demand.Offered * slotUnits), Capacity: uint32(q.Demand.Capacity * slotUnits),
	}
	for _, g := range q.Asked {
		m.Asked = append(m.Asked, uint32(g))
	}
	return m
}

// slotUnits is the scale of slots in messages, which count in thousandths.
const slotUnits = 1000

func decodeAsk(m *wire.Ask) tagger.Request {
	q := tagger.Request{
		Serial: m.GetSerial(), Upstream: rattanwood.UpstreamID(m.GetUpstream()), Service: rattanwood.ServiceID(m.GetService()), Part: int(m.GetPart()), Level: admitter.Level(m.GetLevel()), Last: m.GetLast(),
		Demand: decodeSlots(m.GetOffered(), m.GetCapacity()),
	}
	for _, g := range m.GetAsked()[:min(len(m.GetAsked()), maxAskedGroups)] {
		q.Asked = append(q.Asked, tagger.GroupID(g))
	}
	return q
}

func encodeAdvice(a tagger.Advice) *wire.Advice {
	return &wire.Advice{
		Serial: a.Serial, Upstream: uint32(a.Upstream),
		Offered: uint32(a.Demand.Offered * slotUnits), Capacity: uint32(a.Demand.Capacity * slotUnits),
	}
}

func decodeAdvice(m *wire.Advice) tagger.Advice {
	return tagger.Advice{
		Serial: m.GetSerial(), Upstream: rattanwood.UpstreamID(m.GetUpstream()), Demand: decodeSlots(m.GetOffered(), m.GetCapacity()),
	}
}

func decodeSlots(offered, capacity uint32) allocator.Demand {
	return allocator.Demand{Offered: float64(offered) / slotUnits, Capacity: float64(capacity) / slotUnits}
}

// prepareTallies returns the datagrams that tell other balancers of requests that began and ended. The calling code
// must hold mu.
func (n *Node) prepareTallies(now time.Duration) []messenger.Send {
	var out []messenger.Send
	for peer, news := range n.tagger.TakeTallies(now) {
		if a, ok := n.messenger.Tally(now, peer, encodeTally(news)); ok {
			out = append(out, a)
		} else {
			n.tagger.KeepTally(now, peer, news)
		}
	}
	return out
}

// workUnit is the unit of the times in a wire.Tally.
const workUnit = 100 * time.Microsecond

func encodeTally(news *tagger.Tally) *wire.Tally {
	t := &wire.Tally{}
	for _, e := range news.Ended {
		if e.Failed {
			t.Failed = append(t.Failed, uint64(e.Flow))
			continue
		}
		units := uint32(0)
		if e.Work > 0 {
			units = uint32(min(e.Work/workUnit, math.MaxInt32)) + 1
		}
		t.Ended, t.Times = append(t.Ended, uint64(e.Flow)), append(t.Times, units)
	}
	for _, b := range news.Begun {
		t.Begun, t.Upstreams = append(t.Begun, uint64(b.Flow)), append(t.Upstreams, uint32(b.Upstream))
	}
	for _, p := range news.Pressures {
		t.Pressures = append(t.Pressures, &wire.Pressure{
			Service: uint32(messenger.HashService(p.Service)), Level: uint32(p.Level), Full: uint32(p.Full * shareUnits), Refused: uint32(p.Refused * shareUnits),
		})
	}
	return t
}

// shareUnits is the scale of shares in messages, which count in thousandths.
const shareUnits = 1000

// handleTally counts requests that began and ended at other balancers.
func (n *Node) handleTally(from rattanwood.VMID, t *wire.Tally) {
	news := tagger.Tally{}
	for i, flow := range t.GetEnded()[:min(len(t.GetEnded()), len(t.GetTimes()))] {
		e := tagger.EndedRequest{Flow: allocator.FlowID(flow)}
		if units := t.GetTimes()[i]; units > 0 {
			e.Work = time.Duration(units-1) * workUnit
		}
		news.Ended = append(news.Ended, e)
	}
	for _, flow := range t.GetFailed() {
		news.Ended = append(news.Ended, tagger.EndedRequest{Flow: allocator.FlowID(flow), Failed: true})
	}
	for i, flow := range t.GetBegun()[:min(len(t.GetBegun()), len(t.GetUpstreams()))] {
		news.Begun = append(news.Begun, tagger.BegunRequest{Flow: allocator.FlowID(flow), Upstream: rattanwood.UpstreamID(t.GetUpstreams()[i])})
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range t.GetPressures()[:min(len(t.GetPressures()), maxPressures)] {
		// The routes that name a service may not have arrived yet.
		if service, ok := n.services[messenger.ServiceHash(p.GetService())]; ok {
			news.Pressures = append(news.Pressures, allocator.Pressure{
				Service: service, Level: admitter.Level(p.GetLevel()), Full: float64(p.GetFull()) / shareUnits, Refused: float64(p.GetRefused()) / shareUnits,
			})
		}
	}
	n.tagger.HandleTally(n.now(), from, news)
}

// requestLeases asks for the leases on cold upstreams, and logs which this balancer holds. One that shuts down
// lets its leases expire. The calling code must hold mu.
func (n *Node) requestLeases(now time.Duration) {
	var cold map[rattanwood.UpstreamID]float64
	if !n.shuttingDown.Load() && n.ready {
		cold = n.tagger.ColdUpstreams(now)
	}
	n.messenger.RequestLeases(now, cold)
	if held := n.warmer.Held(now); !slices.Equal(held, n.heldLeases) {
		n.log.Info("leases on cold upstreams changed", zap.Any("held", held), zap.Any("before", n.heldLeases), zap.Int("cold", len(cold)))
		n.heldLeases = held
	}
}
