package tagger

import (
	"slices"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/placer"
)

// chooseUpstream returns the upstream of a service for a new flow of a route, or nil if there is none. It returns the
// upstream except, which may be zero, only if there is no other. The upstream may be a limited one that has room.
func (t *Tagger) chooseUpstream(now time.Duration, route *rattanwood.Route, service rattanwood.ServiceID, except rattanwood.UpstreamID) *upstream {
	return t.chooseFrom(now, t.eligibleUpstreams(now, route, service, t.hasRoom), except)
}

// chooseFrom chooses one of several upstreams, and except only if there is no other.
func (t *Tagger) chooseFrom(now time.Duration, pool []*upstream, except rattanwood.UpstreamID) *upstream {
	if len(pool) > 1 {
		pool = slices.DeleteFunc(pool, func(u *upstream) bool { return u.id == except })
	}
	shares := t.warmingShares(now, pool)
	if shares != nil {
		pool, shares = t.thinWarming(pool, shares)
	}
	candidates := make([]placer.Candidate, len(pool))
	for i, u := range pool {
		candidates[i] = placer.Candidate{ID: u.id, Capacity: t.capacity(now, u, shares, i), Local: u.DataCentre == t.cfg.DataCentre}
	}
	i := t.cfg.Placer.Pick(now, candidates)
	if i < 0 {
		return nil
	}
	return pool[i]
}

// drawService draws one of a route's services at random by weight.
func (t *Tagger) drawService(route *rattanwood.Route) rattanwood.ServiceID {
	total := 0
	for _, s := range route.Shares {
		total += s.Weight
	}
	n := t.cfg.Random.IntN(total)
	for _, s := range route.Shares {
		if n -= s.Weight; n < 0 {
			return s.Service
		}
	}
	return route.Shares[0].Service
}

// eligibleUpstreams returns the upstreams of a service that a new flow of a route may go to: of those
// that are allowed the healthy ones, else those that fail their checks or are silent, else those whose
// registration lapsed lately. Any of them is better than refusing the flow. It leaves out the upstreams
// for which usable returns false.
func (t *Tagger) eligibleUpstreams(now time.Duration, route *rattanwood.Route, service rattanwood.ServiceID, usable func(time.Duration, *upstream) bool) []*upstream {
	var ready, failing, lapsed []*upstream
	for _, u := range t.upstreamsOf(service) {
		switch {
		case !t.allowed(route, u) || !usable(now, u):
		case u.registered && u.Draining:
			// Not even as a last resort: it shuts down before the flow ends.
		case u.registered && (t.cfg.Prober.ShouldAvoid(now, u.id) || t.isSilent(now, u)):
			failing = append(failing, u)
		case u.registered:
			ready = append(ready, u)
		case !u.Draining && now-u.removedAt < t.cfg.ReregistrationTime && !t.cfg.Prober.ShouldAvoid(now, u.id) && !t.isSilent(now, u):
			lapsed = append(lapsed, u)
		}
	}
	// When much of a service disappears at once, its leases have probably expired while its
	// upstreams still run.
	if len(lapsed) > len(ready) {
		ready = append(ready, lapsed...)
	}
	for _, pool := range [][]*upstream{ready, failing, lapsed} {
		if len(pool) > 0 {
			return pool
		}
	}
	return nil
}
