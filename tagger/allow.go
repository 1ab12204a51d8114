package tagger

import (
	"slices"
	"time"

	"example.org/rattanwood"
)

// allowed reports whether the operators' requests let new flows of a route go to an upstream, whatever its
// health and load. It binds also where any other upstream would be a last resort.
func (t *Tagger) allowed(_ time.Duration, route *rattanwood.Route, u *upstream) bool {
	return t.cfg.Confiner.Allows(route, u.DataCentre) && !t.cfg.Evacuator.Evacuated(u.DataCentre)
}

// refusalReason returns why none of a route's upstreams may take a new flow.
func (t *Tagger) refusalReason(now time.Duration, route *rattanwood.Route) Reason {
	reason := NoUpstream
	for _, s := range route.Shares {
		for _, u := range t.upstreamsOf(s.Service) {
			switch {
			case !u.registered || u.Draining || t.allowed(now, route, u):
			case t.cfg.Confiner.Allows(route, u.DataCentre):
				return Evacuated
			default:
				reason = Confined
			}
		}
	}
	return reason
}

// recordStranded tells the rotator of a new flow without a usable upstream: u, which may be nil, fails its checks, and
// the own data centre has none that may take the flow.
func (t *Tagger) recordStranded(now time.Duration, route *rattanwood.Route, u *upstream) {
	if u != nil && t.isUsable(now, u) {
		return
	}
	for _, s := range route.Shares {
		for _, other := range t.upstreamsOf(s.Service) {
			if other.DataCentre == t.cfg.DataCentre && other.registered && !other.Draining && t.allowed(now, route, other) {
				return
			}
		}
	}
	t.cfg.Rotator.RecordStranded(now, route.Shares[0].Service)
}

// isUsable reports whether an upstream can take new flows.
func (t *Tagger) isUsable(now time.Duration, u *upstream) bool {
	return u.registered && !u.Draining && !t.cfg.Evacuator.Evacuated(u.DataCentre) && !t.cfg.Prober.ShouldAvoid(now, u.id) && !u.isSilent(now)
}

// HasUsable reports whether a service has an upstream that can take new flows.
func (t *Tagger) HasUsable(now time.Duration, service rattanwood.ServiceID) bool {
	return slices.ContainsFunc(t.upstreamsOf(service), func(u *upstream) bool { return t.isUsable(now, u) })
}
