package tagger

import (
	"math/bits"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"example.org/rattanwood"
	"example.org/rattanwood/admitter"
	"example.org/rattanwood/allocator"
	"example.org/rattanwood/ranker"
)

const (
	// partSlots is about the number of slots in a group of upstreams. Exact counts of eight slots or more place nearly
	// as well as those of all.
	partSlots = 24
	// maxAsked is the number of groups that are asked for room before a flow is refused.
	maxAsked = 3
	// minWorkRatio is the least ratio of the work of a request to the time until its end is told, for the counts to be
	// of use. Counts that are as old as a request show mostly those that have ended.
	minWorkRatio = 3
	// answerTime is the time within which a balancer that was asked must have answered, or it is asked no more for a while.
	answerTime = 180 * time.Millisecond
	// answerInterval is how often a balancer that asks gets a tally.
	answerInterval = answerTime / 2
	// surelyFull is the share of flows without room from which on a group isn't asked after another one.
	surelyFull = 0.5
	// minMistrust and maxMistrust bound the time for which such a balancer isn't asked. The time doubles each time.
	minMistrust, maxMistrust = time.Second, 8 * time.Second
)

// AllocationConfig holds what is needed to place flows by exact counts of requests under way.
type AllocationConfig struct {
	Allocator *allocator.Allocator
	// Ranked returns the balancer of a data centre that comes first for a key, and whether it is this one. It reports
	// false if none is known.
	Ranked func(dc rattanwood.DataCentre, key uint64) (peer rattanwood.VMID, own, ok bool)
}

// GroupID is a hash that stands for a group of upstreams.
type GroupID uint32

// Request asks another balancer to choose the upstream of a flow, or to admit the flow to one that is cold. With Trackers, it
// asks several where a flow went.
type Request struct {
	Flow     allocator.FlowID
	Trackers []rattanwood.VMID
	// Serial numbers the requests of the balancer that asks.
	Serial uint32
	// Upstream is the cold one, zero for a choice. The other fields are for a choice only.
	Upstream rattanwood.UpstreamID
	Service  rattanwood.ServiceID
	// Part is that of the service's upstreams in the receiver's data centre.
	Part  int
	Level admitter.Level
	// Asked are the groups that had no room, and Demand the demand for them.
	Asked  []GroupID
	Demand allocator.Demand
	// Last is set if no other group would be asked after this one.
	Last bool
	// group is the one that is asked.
	group GroupID
}

// Advice answers a Request.
type Advice struct {
	// Serial is that of the request.
	Serial uint32
	// Upstream is that of the flow, zero for none.
	Upstream rattanwood.UpstreamID
	// Demand is that at the balancers asked so far, if a choice found no room.
	Demand allocator.Demand
}

// group is a part of the upstreams of a service in a data centre, of which one balancer counts the requests under way.
type group struct {
	service    rattanwood.ServiceID
	dataCentre rattanwood.DataCentre
	part       int
	// upstreams are those that may take a flow.
	upstreams []*upstream
	slots     int
}

// key is what balancers are ranked by for the group.
func (g *group) key() uint64 { return groupKey(g.service, g.dataCentre, g.part) }

func groupKey(service rattanwood.ServiceID, dc rattanwood.DataCentre, part int) uint64 {
	return ranker.Score(ranker.Seed(string(service))^uint64(part), ranker.Seed(string(dc)))
}

func (g *group) id() GroupID { return GroupID(g.key()) }

// parts returns the number of parts of a service's upstreams in a data centre, a power of two, so that most upstreams
// stay in their part when it changes.
func (t *Tagger) parts(service rattanwood.ServiceID, dc rattanwood.DataCentre) int {
	slots := 0
	for _, u := range t.upstreamsOf(service) {
		if u.registered && u.DataCentre == dc {
			slots += u.Slots
		}
	}
	if slots <= partSlots {
		return 1
	}
	return 1 << bits.Len(uint(slots-1)/partSlots)
}

func partOf(id rattanwood.UpstreamID, parts int) int {
	return int(ranker.Score(uint64(id), 0) % uint64(parts))
}

// groups returns the groups of a service's upstreams to which a new flow of a route may go, in no particular order. It
// returns none if some upstreams are limited, whose flows are counted in another way.
func (t *Tagger) groups(now time.Duration, route *rattanwood.Route, service rattanwood.ServiceID) []*group {
	var out []*group
	parts := map[rattanwood.DataCentre]int{}
	for _, u := range t.eligibleUpstreams(now, route, service, anyUpstream) {
		if t.isWarming(now, u) {
			return nil
		}
		n := parts[u.DataCentre]
		if n == 0 {
			n = t.parts(service, u.DataCentre)
			parts[u.DataCentre] = n
		}
		part := partOf(u.id, n)
		i := slices.IndexFunc(out, func(g *group) bool { return g.dataCentre == u.DataCentre && g.part == part })
		if i < 0 {
			i = len(out)
			out = append(out, &group{service: service, dataCentre: u.DataCentre, part: part})
		}
		out[i].upstreams = append(out[i].upstreams, u)
		out[i].slots += u.Slots
	}
	return out
}

// drawGroup draws a group that wasn't asked yet at random by its slots, one of the own data centre if there is one.
func (t *Tagger) drawGroup(groups []*group, asked []GroupID) *group {
	var local, all []*group
	for _, g := range groups {
		if slices.Contains(asked, g.id()) {
			continue
		}
		all = append(all, g)
		if g.dataCentre == t.cfg.DataCentre {
			local = append(local, g)
		}
	}
	if len(local) > 0 {
		all = local
	}
	total := 0
	for _, g := range all {
		total += g.slots
	}
	if total == 0 {
		return nil
	}
	n := t.cfg.Random.IntN(total)
	for _, g := range all {
		if n -= g.slots; n < 0 {
			return g
		}
	}
	return nil
}

// isCounted reports whether flows of a service are placed by counts now: it matters where they go, and the counts are
// known much sooner than they change.
func (t *Tagger) isCounted(service rattanwood.ServiceID, target netip.AddrPort) bool {
	if t.cfg.Allocation == nil || t.cfg.Admission == nil || !t.cfg.Admission.IsBusy(service) {
		return false
	}
	a := t.averages[target]
	return a != nil && a.roundTrip > 0 && t.cfg.Admission.Work(service) >= minWorkRatio*(a.roundTrip+tallyDelay)
}

// allocate has the upstream of a flow chosen by the balancer that counts the requests under way on a group of upstreams,
// which may be this one. It reports false if there is none that answers, and the flow must be placed without counts.
func (t *Tagger) allocate(now time.Duration, s rattanwood.Segment, packet []byte, route *rattanwood.Route, q Request) (Verdict, bool) {
	if t.cfg.Evacuator.Evacuated(t.cfg.DataCentre) {
		return Verdict{}, false
	}
	groups := t.groups(now, route, q.Service)
	g := t.drawGroup(groups, q.Asked)
	if g == nil {
		return Verdict{}, false
	}
	peer, own, ok := t.cfg.Allocation.Ranked(g.dataCentre, g.key())
	switch {
	case own:
		return t.placeCounted(now, s, packet, route, g, q), true
	case !ok || !t.trusts(now, peer):
		return Verdict{}, false
	}
	p := t.pressureAt(now, peer, q)
	if len(q.Asked) == 0 && s.Ack == 0 && t.cfg.Random.Float64() < p.Thinning() {
		return t.refuse(q, now-p.at), true
	}
	if len(q.Asked) > 0 && p.Full >= surelyFull {
		q.Asked = append(slices.Clone(q.Asked), g.id())
		return t.allocate(now, s, packet, route, q)
	}
	q.Part, q.group, q.Last = g.part, g.id(), !t.mayAskAfter(now, groups, g, q)
	t.awaitAnswer(now, peer)
	return t.ask(now, s, packet, Placed, peer, q)
}

// mayAskAfter reports whether another group may be asked if one that is asked now has no room.
func (t *Tagger) mayAskAfter(now time.Duration, groups []*group, asked *group, q Request) bool {
	return len(q.Asked)+1 < maxAsked && slices.ContainsFunc(groups, func(g *group) bool {
		if g == asked || slices.Contains(q.Asked, g.id()) {
			return false
		}
		peer, own, ok := t.cfg.Allocation.Ranked(g.dataCentre, g.key())
		return ok && (own || t.pressureAt(now, peer, q).Full < surelyFull)
	})
}

// choose chooses an upstream of a group that is counted here, and counts the flow. It returns nil without room.
func (t *Tagger) choose(now time.Duration, s rattanwood.Segment, route *rattanwood.Route, g *group, q Request) (*upstream, allocator.Offer, allocator.Demand) {
	ids := make([]rattanwood.UpstreamID, len(g.upstreams))
	for i, u := range g.upstreams {
		ids[i] = u.id
	}
	failures := t.cfg.Placer.UnusualFailures(now, ids)
	candidates := make([]allocator.Candidate, len(g.upstreams))
	for i, u := range g.upstreams {
		candidates[i] = allocator.Candidate{ID: u.id, Capacity: u.capacity(now), Failures: failures[i]}
	}
	o := allocator.Offer{
		Flow: flowIDOf(keyOf(s)), Service: q.Service, Class: route.Class, Level: q.Level, Asked: q.Demand, Work: t.cfg.Admission.Work(q.Service),
	}
	d := t.cfg.Allocation.Allocator.Place(now, o, candidates)
	if d.Index < 0 {
		return nil, o, d.Demand
	}
	return g.upstreams[d.Index], o, d.Demand
}

// placeCounted places a flow on an upstream of a group that is counted here. Without room it asks another group, and
// refuses the flow if none is left to ask.
func (t *Tagger) placeCounted(now time.Duration, s rattanwood.Segment, packet []byte, route *rattanwood.Route, g *group, q Request) Verdict {
	u, o, demand := t.choose(now, s, route, g, q)
	if u != nil {
		return t.openCounted(now, s, packet, u)
	}
	q.Asked, q.Demand = append(slices.Clone(q.Asked), g.id()), demand
	v, ok := t.askNext(now, s, packet, route, q)
	if ok {
		t.cfg.Allocation.Allocator.HandOn(now, o)
	} else {
		t.cfg.Allocation.Allocator.Refuse(now, o)
	}
	return v
}

// openCounted opens a flow on the upstream that was chosen by counts.
func (t *Tagger) openCounted(now time.Duration, s rattanwood.Segment, packet []byte, u *upstream) Verdict {
	t.cfg.Placer.AddFlow(now, u.id, t.expectedRequests(s.Target))
	t.rememberFlow(now, s, u.id, packet)
	if r := t.recentFlows[keyOf(s)]; r != nil {
		r.counted = true
	}
	return forward(now, u, Placed)
}

// askNext has another group asked for a flow that found no room in those asked so far. If none is left, it refuses the
// flow and reports false.
func (t *Tagger) askNext(now time.Duration, s rattanwood.Segment, packet []byte, route *rattanwood.Route, q Request) (Verdict, bool) {
	if len(q.Asked) < maxAsked {
		if v, ok := t.allocate(now, s, packet, route, q); ok {
			return v, true
		}
	}
	if s.Ack > 0 {
		// Another balancer may have placed the flow, which may be open by now.
		return t.place(now, s, packet, route, t.chooseUpstream(now, route, q.Service, 0), Placed), false
	}
	delete(t.recentFlows, keyOf(s))
	return t.refuse(q, 0), false
}

// refuse resets a flow for which there is no room, as a balancer that counts told some time ago.
func (t *Tagger) refuse(q Request, age time.Duration) Verdict {
	t.admissions[AdmissionOutcome{Reason: admitter.Overload, Level: q.Level}]++
	return Verdict{Action: Reset, Reason: Overloaded, Refusal: &Refusal{Service: q.Service, Decision: admitter.Decision{
		Reason: admitter.Overload, Level: q.Level, Load: q.Demand.Offered, Limit: q.Demand.Capacity, Age: age,
	}}}
}

// pressureKey stands for a level of importance of a service at a balancer.
type pressureKey struct {
	peer    rattanwood.VMID
	service rattanwood.ServiceID
	level   admitter.Level
}

// timedPressure is a pressure as of a point in time.
type timedPressure struct {
	allocator.Pressure
	at time.Duration
}

// pressureAt returns what a balancer told lately of the room for flows like the one requested.
func (t *Tagger) pressureAt(now time.Duration, peer rattanwood.VMID, q Request) timedPressure {
	p := t.pressures[pressureKey{peer: peer, service: q.Service, level: q.Level}]
	if now-p.at > allocator.PressureTTL {
		return timedPressure{}
	}
	return p
}

// Advise answers another balancer that has a flow's first packet. The flow counts here from now on, but only the one that
// asks sends its packet. It reports false if it can't decide, or shouldn't since the request may be old.
func (t *Tagger) Advise(now time.Duration, from rattanwood.VMID, s rattanwood.Segment, q Request) (Advice, bool) {
	counts := q.Upstream == 0 && t.cfg.Allocation != nil && t.cfg.Admission != nil
	if counts {
		t.OweTally(now, from)
	}
	route := t.routes[s.Target]
	valid := s.Flags.Has(rattanwood.FlagOpen) && !s.Flags.Has(rattanwood.FlagAck)
	if !valid || t.IsResuming(now) || route == nil || q.Upstream == 0 && !leadsTo(route, q.Service) {
		t.asks[AskDropped]++
		return Advice{}, false
	}
	a := Advice{Serial: q.Serial}
	if q.Upstream != 0 {
		if u := t.upstreams[q.Upstream]; u != nil && t.mayServe(now, route, u) && (!t.isLimited(now, u) || t.cfg.Warmer.Admit(now, u.id, t.rate(u))) {
			a.Upstream = u.id
		}
	} else if counts {
		t.chooseFor(now, s, route, q, &a)
	}
	if a.Upstream != 0 {
		t.asks[AskAdmitted]++
	} else {
		t.asks[AskDiverted]++
	}
	return a, true
}

// OweTally has a balancer get a tally, since it waits for one.
func (t *Tagger) OweTally(now time.Duration, peer rattanwood.VMID) {
	if t.cfg.Allocation == nil {
		return
	}
	w := t.trustOf(peer)
	w.owed = true
	t.setAnswersDue(max(w.answeredAt+answerInterval, now))
}

// chooseFor chooses an upstream by counts for another balancer.
func (t *Tagger) chooseFor(now time.Duration, s rattanwood.Segment, route *rattanwood.Route, q Request, a *Advice) {
	groups := t.groups(now, route, q.Service)
	i := slices.IndexFunc(groups, func(g *group) bool { return g.dataCentre == t.cfg.DataCentre && g.part == q.Part })
	if i < 0 {
		return
	}
	u, o, demand := t.choose(now, s, route, groups[i], q)
	if u != nil {
		a.Upstream = u.id
		return
	}
	a.Demand = demand
	if q.Last {
		t.cfg.Allocation.Allocator.Refuse(now, o)
	} else {
		t.cfg.Allocation.Allocator.HandOn(now, o)
	}
}

// flowIDOf returns the hash that stands for a flow in messages.
func flowIDOf(key flowKey) allocator.FlowID {
	var d xxhash.Digest
	d.Reset()
	for _, end := range []struct {
		ip   [16]byte
		port uint16
	}{{key.caller.Addr().As16(), key.caller.Port()}, {key.target.Addr().As16(), key.target.Port()}} {
		// Writes to a digest never fail.
		_, _ = d.Write(end.ip[:])
		_, _ = d.Write([]byte{byte(end.port >> 8), byte(end.port)})
	}
	return allocator.FlowID(d.Sum64())
}

// trust is what is known of a balancer that asks or is asked.
type trust struct {
	// waitingSince is when it was asked first after its last answer or tally arrived, or zero.
	waitingSince time.Duration
	// mistrustedUntil is until when it isn't asked, and mistrust how long the last such time was.
	mistrustedUntil, mistrust time.Duration
	// answeredAt is when it last got a tally because it asked, and owed is set if it has asked again since.
	answeredAt time.Duration
	owed       bool
}

// isIdle reports whether nothing is lost by forgetting it.
func (w *trust) isIdle(now time.Duration) bool {
	return !w.owed && w.waitingSince == 0 && now >= w.mistrustedUntil+maxMistrust && now-w.answeredAt > answerInterval
}

// awaitAnswer records that a balancer was asked.
func (t *Tagger) awaitAnswer(now time.Duration, peer rattanwood.VMID) {
	if w := t.trustOf(peer); w.waitingSince == 0 {
		w.waitingSince = now
	}
}

// setAnswersDue makes TakeTallies look at the latest at a time for balancers that are owed a tally.
func (t *Tagger) setAnswersDue(at time.Duration) {
	if t.answersDue == 0 || at < t.answersDue {
		t.answersDue = at
	}
}

// answerPeers adds a tally with the pressures for each balancer that asked, once in answerInterval.
func (t *Tagger) answerPeers(now time.Duration) {
	if t.answersDue == 0 || now < t.answersDue {
		return
	}
	t.answersDue = 0
	for peer, w := range t.trusted {
		switch due := w.answeredAt + answerInterval; {
		case !w.owed:
		case now < due:
			t.setAnswersDue(due)
		default:
			w.owed, w.answeredAt = false, now
			t.tallyFor(now, peer).Pressures = t.cfg.Allocation.Allocator.Pressures(now)
			t.tallySince = now - tallyDelay
		}
	}
}

// recordAnswer records that a balancer answers.
func (t *Tagger) recordAnswer(peer rattanwood.VMID) {
	w := t.trustOf(peer)
	w.waitingSince, w.mistrustedUntil, w.mistrust = 0, 0, 0
}

func (t *Tagger) trustOf(peer rattanwood.VMID) *trust {
	w := t.trusted[peer]
	if w == nil {
		w = &trust{}
		t.trusted[peer] = w
	}
	return w
}

// trusts reports whether a balancer may be asked: it has answered lately if it was.
func (t *Tagger) trusts(now time.Duration, peer rattanwood.VMID) bool {
	w := t.trustOf(peer)
	if w.waitingSince != 0 && now-w.waitingSince > answerTime {
		w.mistrust = min(max(2*w.mistrust, minMistrust), maxMistrust)
		w.mistrustedUntil, w.waitingSince = now+w.mistrust, 0
	}
	return now >= w.mistrustedUntil
}
