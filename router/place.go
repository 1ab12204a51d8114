package router

import (
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/compiler"
	"example.org/rattanwood/ranker"
)

// choices is the number of ranks that a free flow may be placed on.
const choices = 4

// place chooses the upstream of a new flow in the adopted document. Load counts
// only while all members are heard: a side that can't ask will derive.
func (r *Router) place(now time.Duration, p *Packet) (rattanwood.UpstreamID, bool) {
	route := r.adopted.Route(p.Address)
	if route == nil {
		return 0, false
	}
	version := r.adopted.Version
	id, ok := route.HashedUpstream(p.Flow, version)
	if !ok {
		return 0, false
	}
	r.counts.Placed++
	if r.marks.RejectsNewFlows(id) {
		r.counts.Diverted++
		if other, found := route.HashedUpstreamExcept(p.Flow, version, r.avoid); found {
			id = other
		}
	}
	if now < r.view.LeaseExpiry && free(p.Flow, route.Balance.LoadPlacedShare) {
		return r.balance(p.Flow, route, version, id), true
	}
	return id, true
}

// balance keeps a free flow's first choice unless that has more than its share of this home's flows.
func (r *Router) balance(flow rattanwood.FlowID, route *compiler.Route, version rattanwood.Version, first rattanwood.UpstreamID) rattanwood.UpstreamID {
	sum, n := 0, 0
	for _, c := range route.Candidates {
		if rattanwood.Within(c.Since, c.Until, version) && !r.marks.RejectsNewFlows(c.ID) {
			sum += r.load[c.ID]
			n++
		}
	}
	if n == 0 || float64(r.load[first]*n) <= (1+route.Balance.ExcessLoad)*float64(sum) {
		return first
	}
	r.counts.Diverted++
	return r.lightest(flow, route, version, first)
}

// lightest returns the least loaded of the first ranks.
func (r *Router) lightest(flow rattanwood.FlowID, route *compiler.Route, version rattanwood.Version, first rattanwood.UpstreamID) rattanwood.UpstreamID {
	best := first
	limit := ^uint64(0)
	for range choices {
		id, score := r.nextRank(flow, route, version, limit)
		if score == 0 {
			break
		}
		limit = score
		if r.load[id] < r.load[best] {
			best = id
		}
	}
	return best
}

// nextRank returns the unmarked upstream with the highest score below limit.
func (r *Router) nextRank(flow rattanwood.FlowID, route *compiler.Route, version rattanwood.Version, limit uint64) (id rattanwood.UpstreamID, best uint64) {
	for _, c := range route.Candidates {
		if !rattanwood.Within(c.Since, c.Until, version) || r.marks.RejectsNewFlows(c.ID) {
			continue
		}
		if s := ranker.Score(uint64(flow), c.Seed); s < limit && s > best {
			id, best = c.ID, s
		}
	}
	return id, best
}
