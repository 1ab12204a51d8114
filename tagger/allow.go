package tagger

import (
	"time"

	"example.org/rattanwood"
)

// allowed reports whether the operators' requests let new flows of a route go to an upstream, whatever its
// health and load. It binds also where any other upstream would be a last resort.
func (t *Tagger) allowed(route *rattanwood.Route, u *upstream) bool {
	return t.cfg.Confiner.Allows(route, u.DataCentre) && !t.cfg.Evacuator.Evacuated(u.DataCentre)
}

// refusalReason returns why none of a route's upstreams may take a new flow.
func (t *Tagger) refusalReason(now time.Duration, route *rattanwood.Route) Reason {
	reason := NoUpstream
	for _, s := range route.Shares {
		for _, u := range t.upstreamsOf(s.Service) {
			switch {
			case !u.registered || u.Draining:
			case t.allowed(route, u):
				if t.isLimited(now, u) {
					return Limited
				}
			case t.cfg.Confiner.Allows(route, u.DataCentre):
				reason = Evacuated
			case reason != Evacuated:
				reason = Confined
			}
		}
	}
	return reason
}

// recordAway tells the rotator of a new flow on an upstream of another data centre because the own one is evacuated.
func (t *Tagger) recordAway(now time.Duration, u *upstream) {
	if u != nil && t.cfg.Evacuator.Evacuated(t.cfg.DataCentre) {
		t.cfg.Rotator.RecordAway(now)
	}
}
