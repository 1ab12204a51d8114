package messenger_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/messenger"
	"example.org/rattanwood/placer"
	"example.org/rattanwood/prober"
	"example.org/rattanwood/rotator"
	"example.org/rattanwood/tagger"
	"example.org/rattanwood/wire"
)

const (
	// warmupRate is the number of new flows a second that a cold upstream bears, and warmupTime how long it is cold.
	warmupRate    = 4
	warmupTime    = 2 * time.Second
	warmupOverage = 1.5
	warmupSlack   = 5
	// warmupLimit is the most flows that a cold upstream may get within any second.
	warmupLimit = int(warmupRate*warmupOverage + warmupSlack)
	// perCentre is the number of upstreams in a data centre, and usualRate the flows a second for each.
	perCentre = 40
	usualRate = 10
	// upstreamRate is the number of flows a second that an upstream serves: two slots for 24 ms each.
	upstreamRate = 83
)

var parcels = netip.MustParseAddrPort("198.18.0.1:443")

// coldFleet is a fleet whose nodes place flows, one request each, on the upstreams of three data centres.
type coldFleet struct {
	*fleet
	state map[*node]*coldNode
	// coldUntil holds until when upstreams are cold, and arrived when flows arrived at each upstream.
	coldUntil map[rattanwood.UpstreamID]time.Duration
	arrived   map[rattanwood.UpstreamID][]time.Duration
	centreOf  map[rattanwood.UpstreamID]int
	active    []rattanwood.Registration
	due       map[time.Duration][]func()
	flows     int
	// placed holds the flows that arrived at an upstream or were refused.
	placed map[int]bool
	// repeated and refused count first packets that were sent again, and flows that were reset.
	repeated, refused int
	outcomes          tagger.AskCounts
	delay             time.Duration
	duplicate         float64
}

// coldNode is what a node has besides its messenger.
type coldNode struct {
	tagger      *tagger.Tagger
	placer      *placer.Placer
	up          bool
	pausedUntil time.Duration
	waiting     []func()
}

func newColdFleet(c *qt.C, n int) *coldFleet {
	f := &coldFleet{
		fleet: newFleet(c, n), state: map[*node]*coldNode{}, coldUntil: map[rattanwood.UpstreamID]time.Duration{},
		placed: map[int]bool{}, arrived: map[rattanwood.UpstreamID][]time.Duration{}, centreOf: map[rattanwood.UpstreamID]int{}, due: map[time.Duration][]func(){},
	}
	f.fleet.intercept, f.onHeartbeat, f.onPayload = f.intercept, f.mergeLoads, f.reportLoads
	for centre := range dataCentres {
		for range perCentre {
			f.addUpstream(centre, 0)
		}
	}
	for _, n := range f.nodes {
		f.start(n)
	}
	return f
}

// start gives a node the state of a process that begins.
func (f *coldFleet) start(n *node) {
	random := rand.New(rand.NewPCG(uint64(len(f.state)), 5))
	s := &coldNode{placer: placer.New(placerConfig(n, random)), up: true}
	cfg := tagger.DefaultConfig()
	cfg.DataCentre, cfg.Random, cfg.Placer, cfg.Prober, cfg.Warmer = centreName(n.dataCentre), random, s.placer, prober.New(prober.DefaultConfig()), n.warmer
	cfg.Rotator = rotator.New()
	s.tagger = tagger.New(cfg)
	s.tagger.SetRouting(&rattanwood.Routing{
		Version: 1, Routes: []rattanwood.Route{{Address: parcels, Shares: []rattanwood.Share{{Service: "parcels", Weight: 1}}}},
		Services: map[rattanwood.ServiceID]rattanwood.ServiceLimits{"parcels": {WarmupRate: warmupRate, WarmupTime: warmupTime}},
	})
	for _, r := range f.active {
		s.register(f.now, r, f.coldUntil)
	}
	f.state[n] = s
}

func (s *coldNode) register(now time.Duration, r rattanwood.Registration, coldUntil map[rattanwood.UpstreamID]time.Duration) {
	r.RemainingWarmup = max(coldUntil[r.Instance.Upstream()]-now, 0)
	s.tagger.SetRegistration(now, r)
}

func centreName(i int) rattanwood.DataCentre { return rattanwood.DataCentre(fmt.Sprint("dc", i)) }

func placerConfig(n *node, random *rand.Rand) placer.Config {
	cfg := placer.DefaultConfig(random)
	cfg.DataCentre = centreName(n.dataCentre)
	return cfg
}

// addUpstream registers an upstream that is cold for some time.
func (f *coldFleet) addUpstream(centre int, cold time.Duration) {
	i := len(f.centreOf) + 1
	// Multiplicative hashing (Knuth) spreads consecutive numbers over all IDs.
	id := rattanwood.UpstreamID(uint32(i) * 0x9e3779b1)
	f.centreOf[id], f.coldUntil[id] = centre, f.now+cold
	r := rattanwood.Registration{
		Instance: rattanwood.InstanceID(id), Service: "parcels", DataCentre: centreName(centre), Slots: 2, StartTime: 1,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(i >> 8), byte(i)}), 80),
	}
	f.active = append(f.active, r)
	for _, n := range f.nodes {
		s := f.state[n]
		if s == nil {
			continue
		}
		// Registrations reach the nodes at different times.
		f.after(time.Duration(f.random.IntN(6))*step, func() { s.register(f.now, r, f.coldUntil) })
	}
}

// removeUpstreams removes the upstreams of a data centre.
func (f *coldFleet) removeUpstreams(centre int) {
	var kept []rattanwood.Registration
	for _, r := range f.active {
		if r.DataCentre != centreName(centre) {
			kept = append(kept, r)
			continue
		}
		for _, s := range f.state {
			s.tagger.RemoveRegistration(f.now, r.Instance)
		}
	}
	f.active = kept
}

func (f *coldFleet) after(d time.Duration, do func()) {
	f.due[f.now+d] = append(f.due[f.now+d], do)
}

// deliverLater calls do now, or when a paused node goes on. It does nothing for a node that was killed.
func (f *coldFleet) deliverLater(to *node, do func()) {
	s := f.state[to]
	switch {
	case !s.up:
	case f.now < s.pausedUntil:
		s.waiting = append(s.waiting, do)
	default:
		do()
	}
}

func (f *coldFleet) intercept(to, from *node, e *wire.Envelope) bool {
	s := f.state[to]
	if s == nil || !s.up {
		return true
	}
	deliver := func() { f.receive(to, from, e) }
	if f.now < s.pausedUntil {
		s.waiting = append(s.waiting, deliver)
		return true
	}
	var handle func()
	switch {
	case e.GetAsk() != nil:
		handle = func() { f.answer(to, from, e.GetAsk()) }
	case e.GetAdvice() != nil:
		handle = func() {
			a := tagger.Advice{Serial: e.GetAdvice().GetSerial(), Upstream: rattanwood.UpstreamID(e.GetAdvice().GetUpstream())}
			f.carryOutAll(to, f.state[to].tagger.HandleAdvice(f.now, a))
		}
	default:
		return false
	}
	for range 1 + min(int(f.random.Float64()+f.duplicate), 1) {
		f.after(step+time.Duration(f.random.Int64N(int64(f.delay)+1)).Truncate(step), func() { f.deliverLater(to, handle) })
	}
	return true
}

// answer has a node answer another one that asks for a flow.
func (f *coldFleet) answer(n, from *node, m *wire.Ask) {
	p := m.GetPacket()
	s := segmentOf(int(p[0])<<16|int(p[1])<<8|int(p[2]), rattanwood.FlagOpen)
	a, ok := f.state[n].tagger.Advise(f.now, from.name, s, tagger.Request{Serial: m.GetSerial(), Upstream: rattanwood.UpstreamID(m.GetUpstream())})
	switch {
	case !ok:
		f.outcomes[tagger.AskDropped]++
	case a.Upstream == 0:
		f.outcomes[tagger.AskDiverted]++
	default:
		f.outcomes[tagger.AskAdmitted]++
	}
	if !ok {
		return
	}
	if answer, ok := n.messenger.Advise(f.now, from.name, &wire.Advice{Serial: a.Serial, Upstream: uint32(a.Upstream)}); ok {
		f.transmit(n, answer)
	}
}

// transmit sends an ask or an answer, which may be lost.
func (f *coldFleet) transmit(from *node, a messenger.Send) {
	if to := f.nodeAt(a.Address); !f.isCut(from, to) && f.random.Float64() >= f.loss {
		f.intercept(to, from, a.Message)
	}
}

// carryOutAll carries out decisions of a node.
func (f *coldFleet) carryOutAll(n *node, packets []tagger.OutgoingPacket) {
	for len(packets) > 0 {
		p := packets[0]
		packets = packets[1:]
		flow := int(p.Packet[0])<<16 | int(p.Packet[1])<<8 | int(p.Packet[2])
		if p.Action != tagger.Ask {
			f.carryOut(n, p.Verdict, flow)
		} else if a, ok := n.messenger.Ask(f.now, p.Peer, &wire.Ask{Serial: p.Request.Serial, Upstream: uint32(p.Request.Upstream), Packet: p.Packet}); ok {
			f.transmit(n, a)
		} else {
			packets = append(packets, f.state[n].tagger.Withhold(f.now, p.Segment)...)
		}
	}
}

func (f *coldFleet) mergeLoads(to *node, h *messenger.Heartbeat) {
	for _, l := range h.Loads {
		f.state[to].placer.MergeReport(f.now, h.From, h.DataCentre, l.Upstream, placer.Load{Requests: l.Requests, Failures: l.Failures})
	}
}

func (f *coldFleet) reportLoads(n *node, p *messenger.HeartbeatPayload) {
	s := f.state[n]
	for _, id := range s.placer.Loaded() {
		_, registered, _ := s.tagger.Upstream(id)
		if own := s.placer.OwnLoad(f.now, id); registered && own.Requests > 0 {
			p.Loads = append(p.Loads, messenger.LoadReport{Upstream: id, Requests: own.Requests})
		}
	}
}

func segmentOf(flow int, flags rattanwood.SegmentFlags) rattanwood.Segment {
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(flow >> 16), byte(flow >> 8)}), uint16(1000+flow&0xff))
	return rattanwood.Segment{Caller: caller, Target: parcels, Flags: flags}
}

func packetOf(flow int) []byte { return []byte{byte(flow >> 16), byte(flow >> 8), byte(flow)} }

// run advances the fleet while Callers of each data centre open flows by way of its nodes.
func (f *coldFleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += step {
		for _, do := range f.due[f.now] {
			do()
		}
		delete(f.due, f.now)
		for _, n := range f.nodes {
			s := f.state[n]
			if !s.up || f.now < s.pausedUntil {
				continue
			}
			for _, do := range s.waiting {
				do()
			}
			s.waiting = nil
			s.tagger.Tick(f.now)
			f.carryOutAll(n, s.tagger.DecideOverdue(f.now))
			s.tagger.Confirm(f.now)
			n.messenger.Tick(f.now, func() messenger.HeartbeatPayload { return f.payload(n) })
			n.messenger.RequestLeases(f.now, s.tagger.ColdUpstreams(f.now))
			if f.now%(500*time.Millisecond) == 0 {
				s.placer.Tick(f.now, n.messenger.BalancersPerDataCentre())
				s.tagger.RemoveExpired(f.now)
			}
		}
		for _, n := range f.nodes {
			f.deliver(n)
		}
		for centre := range dataCentres {
			for range int(usualRate * perCentre * step.Seconds()) {
				f.flows++
				f.open(centre, f.flows, 0)
			}
		}
	}
}

// open sends a flow's first packet to a node of a data centre, and again after 200 ms and 600 ms unless the flow
// has arrived at an upstream by then.
func (f *coldFleet) open(centre, flow, try int) {
	if f.placed[flow] || try > 2 {
		return
	}
	var up []*node
	for _, n := range f.nodes {
		if n.dataCentre == centre && f.state[n].up {
			up = append(up, n)
		}
	}
	if len(up) == 0 {
		return
	}
	if try > 0 {
		f.repeated++
	}
	n := up[f.random.IntN(len(up))]
	f.deliverLater(n, func() {
		s := segmentOf(flow, rattanwood.FlagOpen)
		v := f.state[n].tagger.Packet(f.now, s, packetOf(flow))
		f.carryOutAll(n, []tagger.OutgoingPacket{{Verdict: v, Segment: s, Packet: packetOf(flow)}})
	})
	f.after([]time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}[try], func() { f.open(centre, flow, try+1) })
}

// carryOut forwards a first packet; its flow then sends one request and ends.
func (f *coldFleet) carryOut(n *node, v tagger.Verdict, flow int) {
	switch v.Action {
	case tagger.Reset:
		f.refused++
		f.placed[flow] = true
	case tagger.Forward:
		id := v.Instance.Upstream()
		f.arrived[id] = append(f.arrived[id], f.now)
		f.placed[flow] = true
		f.after(step, func() {
			if !f.state[n].up {
				return
			}
			for i, flags := range []rattanwood.SegmentFlags{rattanwood.FlagAck, rattanwood.FlagAck | rattanwood.FlagClose} {
				s := segmentOf(flow, flags)
				s.Tag, s.Seq, s.Length = id, uint32(1+i), 10*(1-i)
				f.state[n].tagger.Packet(f.now, s, nil)
			}
		})
	}
}

// kill ends the processes of nodes.
func (f *coldFleet) kill(nodes []*node) {
	for _, n := range nodes {
		f.state[n].up = false
	}
}

// grow adds nodes.
func (f *coldFleet) grow(n int) {
	for range n {
		f.start(f.add(len(f.nodes)))
	}
}

// sharing returns a share of the nodes of data centre 0, drawn at random.
func (f *coldFleet) sharing(share float64) []*node {
	var out []*node
	for _, n := range f.nodes {
		if n.dataCentre == 0 {
			out = append(out, n)
		}
	}
	f.random.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:int(float64(len(out))*share+0.5)]
}

// cutOff cuts nodes off from all others.
func (f *coldFleet) cutOff(nodes []*node) {
	cut := map[*node]bool{}
	for _, n := range nodes {
		cut[n] = true
	}
	f.isCut = func(from, to *node) bool { return cut[from] || cut[to] }
}

// split divides the fleet into parts that can't reach each other.
func (f *coldFleet) split(part func(*node) int) {
	f.isCut = func(from, to *node) bool { return part(from) != part(to) }
}

// holders returns the nodes that hold a lease.
func (f *coldFleet) holders() []*node {
	var out []*node
	for _, n := range f.nodes {
		if len(n.warmer.Held(f.now)) > 0 {
			out = append(out, n)
		}
	}
	return out
}

// pause stops nodes for some time.
func (f *coldFleet) pause(nodes []*node, d time.Duration) {
	for _, n := range nodes {
		f.state[n].pausedUntil = f.now + d
	}
}

// restart replaces the processes of nodes.
func (f *coldFleet) restart(nodes []*node) {
	for _, n := range nodes {
		f.setUp(n, 2)
		f.start(n)
	}
}
