package router

import (
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/compiler"
	"example.org/rattanwood/ranker"
)

// loadChoices is the number of first-ranked upstreams among which a flow is placed by load.
const loadChoices = 4

// placeFlow chooses the upstream of a new flow in the active document. Load counts only while the
// lease holds: in a network partition, a side that can't ask the owner uses the hashed upstream.
func (r *Router) placeFlow(now time.Duration, p *Packet) (rattanwood.UpstreamID, bool) {
	route := r.activeCatalog.Route(p.Address)
	if route == nil {
		return 0, false
	}
	version := r.activeCatalog.Version
	id, ok := route.HashedUpstream(p.Flow, version)
	if !ok {
		return 0, false
	}
	r.counts.Placed++
	if r.health.RejectsNewFlows(id) {
		r.counts.Diverted++
		if other, found := route.HashedUpstreamExcept(p.Flow, version, r.rejectsNewFlows); found {
			id = other
		}
	}
	if now < r.view.LeaseExpiry && placedByLoad(p.Flow, route.Balance.LoadPlacedShare) {
		return r.applyLoadBound(p.Flow, route, version, id), true
	}
	return id, true
}

// applyLoadBound keeps the first choice for a flow that is placed by load, unless that upstream has
// more than its share of the flows that this balancer owns.
func (r *Router) applyLoadBound(flow rattanwood.FlowID, route *compiler.Route, version rattanwood.Version, first rattanwood.UpstreamID) rattanwood.UpstreamID {
	sum, n := 0, 0
	for _, c := range route.Candidates {
		if rattanwood.Within(c.Since, c.Until, version) && !r.health.RejectsNewFlows(c.ID) {
			sum += r.openFlows[c.ID]
			n++
		}
	}
	if n == 0 || float64(r.openFlows[first]*n) <= (1+route.Balance.ExcessLoad)*float64(sum) {
		return first
	}
	r.counts.Diverted++
	return r.leastLoaded(flow, route, version, first)
}

// leastLoaded returns the upstream with the fewest owned flows among the first-ranked ones.
func (r *Router) leastLoaded(flow rattanwood.FlowID, route *compiler.Route, version rattanwood.Version, first rattanwood.UpstreamID) rattanwood.UpstreamID {
	best := first
	limit := ^uint64(0)
	for range loadChoices {
		id, score := r.nextRanked(flow, route, version, limit)
		if score == 0 {
			break
		}
		limit = score
		if r.openFlows[id] < r.openFlows[best] {
			best = id
		}
	}
	return best
}

// nextRanked returns the upstream with the highest score below limit among those that take new
// flows, and that score; a score of zero means that there is none.
func (r *Router) nextRanked(flow rattanwood.FlowID, route *compiler.Route, version rattanwood.Version, limit uint64) (id rattanwood.UpstreamID, best uint64) {
	for _, c := range route.Candidates {
		if !rattanwood.Within(c.Since, c.Until, version) || r.health.RejectsNewFlows(c.ID) {
			continue
		}
		if s := ranker.Score(uint64(flow), c.Seed); s < limit && s > best {
			id, best = c.ID, s
		}
	}
	return id, best
}
