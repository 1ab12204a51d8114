package tagger

import (
	"time"

	"example.org/rattanwood"
)

// allowed reports whether new flows of a route may go to an upstream at all, whatever its health.
func (t *Tagger) allowed(_ time.Duration, route *rattanwood.Route, u *upstream) bool {
	return t.cfg.Confiner.Allows(route, u.DataCentre)
}

// refusalReason returns why there is no upstream for a new flow of a route.
func (t *Tagger) refusalReason(now time.Duration, route *rattanwood.Route) Reason {
	for _, share := range route.Shares {
		for _, u := range t.upstreamsOf(share.Service) {
			if u.registered && !u.Draining && !t.allowed(now, route, u) {
				return Confined
			}
		}
	}
	return NoUpstream
}
