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
	return t.mayBeUsed(u) && !t.cfg.Prober.ShouldAvoid(now, u.id) && !u.isSilent(now)
}

// mayBeUsed reports whether an upstream could take new flows if it were healthy.
func (t *Tagger) mayBeUsed(u *upstream) bool {
	return u.registered && !u.Draining && !t.cfg.Evacuator.Evacuated(u.DataCentre)
}

// IsStranded reports whether all upstreams of a service that could take new flows fail. One without any such upstream
// isn't stranded: no other balancer could serve it either.
func (t *Tagger) IsStranded(now time.Duration, service rattanwood.ServiceID) bool {
	stranded := false
	for _, u := range t.upstreamsOf(service) {
		if t.isUsable(now, u) {
			return false
		}
		stranded = stranded || t.mayBeUsed(u)
	}
	return stranded
}
