package tagger

import (
	"time"

	"example.org/rattanwood"
)

// allowed reports whether the operators' requests let new flows of a route go to an upstream, whatever its
// health and load. It binds also where any other upstream would be a last resort.
func (t *Tagger) allowed(_ time.Duration, route *rattanwood.Route, u *upstream) bool {
	return t.cfg.Confiner.Allows(route, u.DataCentre) && !t.cfg.Evacuator.Evacuated(u.DataCentre)
}

// refusalReason returns why none of a route's upstreams may take a new flow.
func (t *Tagger) refusalReason(route *rattanwood.Route) Reason {
	reason := NoUpstream
	for _, s := range route.Shares {
		for _, u := range t.upstreamsOf(s.Service) {
			switch {
			case !u.registered || u.Draining:
			case t.cfg.Confiner.Allows(route, u.DataCentre):
				return Evacuated
			default:
				reason = Confined
			}
		}
	}
	return reason
}
