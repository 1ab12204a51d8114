package tagger

import (
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/placer"
)

// place chooses the upstream of a new flow, or returns nil.
func (t *Tagger) place(now time.Duration, route *rattanwood.Route) *upstream {
	pool := t.pool(now, t.service(route))
	candidates := make([]placer.Candidate, len(pool))
	for i, u := range pool {
		candidates[i] = placer.Candidate{ID: u.id, Capacity: u.capacity(now), Local: u.DataCentre == t.cfg.DataCentre}
	}
	i := t.cfg.Placer.Pick(now, candidates)
	if i < 0 {
		return nil
	}
	return pool[i]
}

// service draws one of a route's services by weight.
func (t *Tagger) service(route *rattanwood.Route) rattanwood.ServiceID {
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

// pool returns the upstreams of a service that a new flow may go to. Where none
// of the best kind is left, the next kind is better than a refusal.
func (t *Tagger) pool(now time.Duration, service rattanwood.ServiceID) []*upstream {
	var ready, failing, lapsed []*upstream
	for _, u := range t.of(service) {
		switch {
		case u.present && u.Draining:
			// Not even as a last resort: it will be gone before the flow ends.
		case u.present && t.cfg.Prober.ShouldAvoid(now, u.id):
			failing = append(failing, u)
		case u.present:
			ready = append(ready, u)
		case !u.Draining && now-u.vanished < t.cfg.ReregistrationTime && !t.cfg.Prober.ShouldAvoid(now, u.id):
			lapsed = append(lapsed, u)
		}
	}
	// When much of a service vanishes at once, its leases have lapsed rather than its upstreams died.
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
