package router

import (
	"math"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/compiler"
	"example.org/rattanwood/ranker"
)

// MaxHops is the largest number of times that a packet is relayed between balancers.
const MaxHops = 8

// maxLookupHops is the number of hops up to which a lookup is passed on to lower-ranked balancers.
// The rest of MaxHops is for the way back to the owner and for placing the flow.
const maxLookupHops = 4

// loadPlacementSeed makes the hash that selects flows for placement by load independent of the
// hashes that rank members and upstreams. It is "free" in ASCII; all balancers must use the same one.
const loadPlacementSeed = 0x66726565

// Decide returns the verdict on one packet and counts it. The flow table and the queues of answers
// and replication change with it.
func (r *Router) Decide(now time.Duration, p *Packet) Verdict {
	v := r.dispatch(now, p)
	switch v.Action {
	case Drop:
		r.counts.Dropped[v.Reason]++
	case Relay:
		r.counts.Relayed[v.Kind]++
		v.Hint = p.Hint
	}
	return v
}

// dispatch decides from the flow table if it can, and otherwise as the flow's owner or as another
// balancer, depending on the packet's kind.
func (r *Router) dispatch(now time.Duration, p *Packet) Verdict {
	if r.view.Resuming {
		return Verdict{Reason: ReasonResuming}
	}
	if r.newestCatalog == nil {
		return Verdict{Reason: ReasonUnbound}
	}
	route := r.newestCatalog.Route(p.Address)
	if route == nil {
		return Verdict{Reason: ReasonUnbound}
	}
	switch p.Kind {
	case KindLookup:
		return r.lookUp(now, p)
	case KindReturned:
		return r.decideUnknown(now, p, route)
	case KindPlace:
		return r.placeForOwner(now, p, route)
	}
	var known *flowEntry
	if !p.Opens && !p.Closes {
		known = r.flows.find(p.Flow)
	}
	if known != nil && r.isValid(now, known) && !r.refreshDue(now, p.Flow) && !r.repeatedRefreshDue(now, known) {
		return r.forwardKnown(now, p, known)
	}
	if known != nil && p.Kind == KindPlain {
		p.Hint = known.upstream
	}
	owner, _ := r.ownerAndSuccessor(p.Flow)
	if owner == r.cfg.Self || owner == "" || p.Hops >= MaxHops || owner == p.From {
		return r.decideAsOwner(now, p, route)
	}
	return r.decideAsNonOwner(now, p, route, owner)
}

// isValid reports whether an entry may be relied on without asking the owner.
func (r *Router) isValid(now time.Duration, f *flowEntry) bool {
	switch f.role {
	case owned:
		return !f.closed || f.age(now) < r.cfg.AnswerTTL
	case cached:
		return f.age(now) < r.cfg.AnswerTTL
	}
	return false
}

// repeatedRefreshDue reports whether a flow's owner must get another refresh packet, because the
// first one may have gone to an owner that has failed since.
func (r *Router) repeatedRefreshDue(now time.Duration, f *flowEntry) bool {
	return f.needsRepeatedRefresh && now-time.Duration(f.created)*timestampUnit >= r.cfg.ActivationDelay
}

// forwardKnown forwards a packet of a flow that this balancer has in its table.
func (r *Router) forwardKnown(now time.Duration, p *Packet, f *flowEntry) Verdict {
	r.counts.Known++
	if f.role == owned && !f.closed {
		f.lastUpdate = toTimestamp(now)
	}
	if p.Kind == KindAsk {
		r.queueAnswer(p.Origin, f)
	}
	return Verdict{Action: Forward, Upstream: f.upstream}
}

// refreshDue reports whether a flow's packets have to pass its owner now. They do for one second in
// each refresh period, which the flow id selects, so that the flows are spread over the period.
func (r *Router) refreshDue(now time.Duration, flow rattanwood.FlowID) bool {
	seconds := uint64(r.cfg.RefreshPeriod / time.Second)
	return seconds > 0 && uint64(flow)%seconds == uint64(now/time.Second)%seconds
}

// hashedUpstream returns the upstream that every balancer chooses for a flow by rendezvous hashing.
// It reports false if the lease has expired, the flow may have been placed by load, two versions
// differ or the upstream was ever unhealthy: then the flow may be elsewhere.
func (r *Router) hashedUpstream(now time.Duration, flow rattanwood.FlowID, route *compiler.Route) (rattanwood.UpstreamID, bool) {
	if now >= r.view.LeaseExpiry || placedByLoad(flow, route.Balance.HighestLoadPlacedShare()) {
		return 0, false
	}
	id, ok := route.AgreedUpstream(flow)
	if !ok || r.health.EverUnhealthy(id) {
		return 0, false
	}
	return id, true
}

// placedByLoad reports whether a flow belongs to the given share of flows that are placed by load.
func placedByLoad(flow rattanwood.FlowID, share float64) bool {
	if share <= 0 {
		return false
	}
	return float64(ranker.Score(uint64(flow), loadPlacementSeed)>>11)/(1<<53) < share
}

// decideAsNonOwner relays a packet to the flow's owner unless the hashed upstream may be relied on.
func (r *Router) decideAsNonOwner(now time.Duration, p *Packet, route *compiler.Route, owner rattanwood.VMID) Verdict {
	if p.Kind != KindPlain {
		return Verdict{Action: Relay, VM: owner, Kind: p.Kind}
	}
	if p.Opens {
		return Verdict{Action: Relay, VM: owner, Kind: KindFirst}
	}
	id, ok := r.hashedUpstream(now, p.Flow, route)
	switch {
	case !ok:
		return Verdict{Action: Relay, VM: owner, Kind: KindAsk}
	case p.Stateless:
		r.cacheHashed(now, p.Flow, id)
		return Verdict{Action: Relay, VM: owner, Kind: KindRefresh}
	case p.Closes || r.refreshDue(now, p.Flow):
		return Verdict{Action: Relay, VM: owner, Kind: KindRefresh}
	}
	r.counts.Hashed++
	return Verdict{Action: Forward, Upstream: id}
}

// cacheHashed caches the hashed upstream of a stateless flow, of which the owner learns by a
// refresh packet. A flow that wasn't in the table gets another refresh later.
func (r *Router) cacheHashed(now time.Duration, flow rattanwood.FlowID, id rattanwood.UpstreamID) {
	known := r.flows.find(flow) != nil
	f := r.flows.findOrAdd(now, flow)
	if f.role == owned {
		return
	}
	f.role = cached
	f.needsRepeatedRefresh = !known
	f.upstream = id
	f.lastUpdate = toTimestamp(now)
}

// decideAsOwner decides at the flow's owner, or at a balancer that has to act as the owner because
// the real one can't be reached. A flow that isn't known here is looked up at other balancers.
func (r *Router) decideAsOwner(now time.Duration, p *Packet, route *compiler.Route) Verdict {
	if p.Opens {
		return r.openFlow(now, p, route)
	}
	if f := r.flows.find(p.Flow); f != nil && (f.role != cached || f.age(now) < r.cfg.AnswerTTL) {
		return r.forwardAsOwner(now, p, f)
	}
	if id, ok := r.hashedUpstream(now, p.Flow, route); ok {
		r.counts.Hashed++
		return r.forwardAsOwner(now, p, r.recordOwned(now, p, id))
	}
	if next := r.nextToAsk(p.Flow, math.MaxUint64, ""); next != "" && p.Hops < maxLookupHops {
		return Verdict{Action: Relay, VM: next, Kind: KindLookup, Owner: r.cfg.Self}
	}
	return r.decideUnknown(now, p, route)
}

// forwardAsOwner forwards a packet of a flow that this balancer knows, makes this balancer the
// flow's owner and queues answers for the balancers that asked.
func (r *Router) forwardAsOwner(now time.Duration, p *Packet, f *flowEntry) Verdict {
	if f.role != owned {
		r.takeOwnership(f)
	}
	f.addressIndex = r.flows.indexOfAddress(p.Address)
	f.lastUpdate = toTimestamp(now)
	if p.Closes {
		r.markClosed(f)
	}
	if p.Kind == KindAsk || p.Kind == KindReturned || p.Kind == KindPlace {
		r.queueAnswer(p.Origin, f)
		r.queueAnswer(p.Owner, f)
	}
	return Verdict{Action: Forward, Upstream: f.upstream}
}

// takeOwnership turns a cached or replicated entry into an owned one.
func (r *Router) takeOwnership(f *flowEntry) {
	f.role = owned
	f.peerIndex = 0
	f.queued = false
	f.needsRepeatedRefresh = false
	if !f.closed {
		r.openFlows[f.upstream]++
	}
}

// markClosed marks a flow as closed; its entry stays until the answer TTL has passed.
func (r *Router) markClosed(f *flowEntry) {
	if f.closed {
		return
	}
	f.closed = true
	if f.role == owned {
		r.openFlows[f.upstream]--
	}
}

// recordOwned records a flow as owned by this balancer on the given upstream, in place of an older
// entry, and schedules the check whether it must be replicated.
func (r *Router) recordOwned(now time.Duration, p *Packet, id rattanwood.UpstreamID) *flowEntry {
	f := r.flows.findOrAdd(now, p.Flow)
	if f.role == owned && !f.closed {
		r.openFlows[f.upstream]--
	}
	if f.role == owned && f.peerIndex != 0 && f.upstream != id {
		r.replication.queueRemoval(f.peerIndex, f.flow)
	}
	*f = flowEntry{flow: p.Flow, upstream: id, created: toTimestamp(now), lastUpdate: toTimestamp(now), role: owned, stateless: p.Stateless, addressIndex: r.flows.indexOfAddress(p.Address)}
	r.openFlows[id]++
	r.replication.newFlows = append(r.replication.newFlows, newFlow{flow: p.Flow, due: now + r.cfg.ReplicationDelay})
	return f
}

// queueAnswer queues the upstream of a flow for a balancer that asked; an empty VM is ignored.
func (r *Router) queueAnswer(vm rattanwood.VMID, f *flowEntry) {
	if vm == "" || vm == r.cfg.Self {
		return
	}
	r.unsentAnswers[vm] = append(r.unsentAnswers[vm], FlowUpstream{Flow: f.flow, Upstream: f.upstream})
}

// openFlow decides on the first packet of a flow at its owner.
func (r *Router) openFlow(now time.Duration, p *Packet, route *compiler.Route) Verdict {
	if f := r.flows.find(p.Flow); f != nil && f.age(now) < r.cfg.AnswerTTL {
		return r.reopenFlow(now, p, f)
	}
	if id, ok := r.hashedUpstream(now, p.Flow, route); ok {
		r.counts.Placed++
		r.recordOwned(now, p, id)
		return Verdict{Action: Forward, Upstream: id}
	}
	if next := r.nextLowerRank(p.Flow); r.defersPlacement(p) && next != "" && p.Hops < MaxHops {
		return Verdict{Action: Relay, VM: next, Kind: KindPlace, Owner: r.ownerToNotify(p)}
	}
	id, ok := r.placeFlow(now, p)
	if !ok {
		return Verdict{Reason: ReasonNoUpstream}
	}
	f := r.recordOwned(now, p, id)
	r.queueAnswer(p.Owner, f)
	return Verdict{Action: Forward, Upstream: id}
}

// reopenFlow decides on a first packet of a flow that is known and was seen within the answer TTL.
// Other balancers may still have its upstream cached, so it can't be moved.
func (r *Router) reopenFlow(now time.Duration, p *Packet, f *flowEntry) Verdict {
	if f.closed && !r.acceptsNewFlow(p, f.upstream) {
		return Verdict{Reason: ReasonReused}
	}
	if f.closed {
		f = r.recordOwned(now, p, f.upstream)
	}
	r.queueAnswer(p.Owner, f)
	if f.role != owned {
		r.takeOwnership(f)
	}
	f.lastUpdate = toTimestamp(now)
	f.addressIndex = r.flows.indexOfAddress(p.Address)
	return Verdict{Action: Forward, Upstream: f.upstream}
}

// acceptsNewFlow reports whether a new flow to the packet's address may go to an upstream.
func (r *Router) acceptsNewFlow(p *Packet, id rattanwood.UpstreamID) bool {
	route := r.activeCatalog.Route(p.Address)
	if route == nil || r.health.RejectsNewFlows(id) {
		return false
	}
	for _, c := range route.Candidates {
		if c.ID == id {
			return rattanwood.Within(c.Since, c.Until, r.activeCatalog.Version)
		}
	}
	return false
}
