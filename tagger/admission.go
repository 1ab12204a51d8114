package tagger

import (
	"net/netip"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/admitter"
)

// Admission decides which new flows are let in. An *admitter.Admitter implements it.
type Admission interface {
	// Decide counts a new flow and reports whether to let it in.
	Decide(now time.Duration, o admitter.Offer) admitter.Decision
	// Count counts a new flow that is placed by counts of requests under way, and returns its level.
	Count(now time.Duration, o admitter.Offer) admitter.Level
	// IsBusy reports whether it matters to which upstream of a service a new flow goes.
	IsBusy(service rattanwood.ServiceID) bool
	// Work returns the mean measured time that a request of a service occupies a slot; zero means unknown.
	Work(service rattanwood.ServiceID) time.Duration
	// SetSlots sets the number of requests that the upstreams of a service serve concurrently.
	SetSlots(now time.Duration, service rattanwood.ServiceID, slots float64)
	// RecordResponse records the time until a response began, and the round trip without any work.
	RecordResponse(now time.Duration, o admitter.Offer, latency, roundTrip time.Duration)
	// RecordFailure records a request that got no response, or only what looks like an error.
	RecordFailure(now time.Duration, o admitter.Offer)
}

// Refusal is why a new flow wasn't let in.
type Refusal struct {
	Service rattanwood.ServiceID
	admitter.Decision
}

// AdmissionOutcome is a kind of decision on new flows.
type AdmissionOutcome struct {
	Admitted bool
	Reason   admitter.Reason
	Level    admitter.Level
}

// slotsInterval is the time after which the slots of services are computed afresh even if no change of
// upstreams or routes is known, since upstreams warm up and lapse with time alone.
const slotsInterval = 500 * time.Millisecond

// slotsPause is the shortest time between two computations for each upstream that is known. In a large fleet some
// upstream changes in every tick, and a computation takes a third of a microsecond for each of them.
const slotsPause = 100 * time.Microsecond

// offerOf returns what a Caller asks for with a flow to a service.
func offerOf(route *rattanwood.Route, service rattanwood.ServiceID, caller netip.AddrPort) admitter.Offer {
	return admitter.Offer{Service: service, Class: route.Class, Caller: caller.Addr()}
}

// admit decides whether a new flow may be placed. A retransmitted first packet that isn't known here is let in
// whatever the decision: another balancer may have placed the flow, which may be open by now.
func (t *Tagger) admit(now time.Duration, route *rattanwood.Route, service rattanwood.ServiceID, s rattanwood.Segment) *Refusal {
	if t.cfg.Admission == nil {
		return nil
	}
	d := t.cfg.Admission.Decide(now, offerOf(route, service, s.Caller))
	admitted := d.Admit || s.Ack > 0
	t.admissions[AdmissionOutcome{Admitted: admitted, Reason: d.Reason, Level: d.Level}]++
	if admitted {
		return nil
	}
	return &Refusal{Service: service, Decision: d}
}

// Admissions returns the number of decisions on new flows by outcome.
func (t *Tagger) Admissions() map[AdmissionOutcome]uint64 { return t.admissions }

// MarkSlotsOutdated makes the next UpdateSlots compute the slots, since an upstream's health or an evacuation
// has changed.
func (t *Tagger) MarkSlotsOutdated() { t.slotsOutdated = true }

// UpdateSlots tells the admission how many slots the upstreams have that new flows of each service may go to.
// It does so only after changes and once in slotsInterval.
func (t *Tagger) UpdateSlots(now time.Duration) {
	pause := slotsInterval
	if t.slotsOutdated {
		pause = min(time.Duration(len(t.upstreams))*slotsPause, slotsInterval)
	}
	if t.cfg.Admission == nil || now-t.slotsUpdatedAt < pause {
		return
	}
	t.slotsOutdated, t.slotsUpdatedAt = false, now
	slots := make(map[rattanwood.ServiceID]float64, len(t.slots))
	unconfined := map[rattanwood.ServiceID]bool{}
	for service, n := range t.slots {
		if n > 0 {
			// One that no route names any more has none.
			slots[service] = 0
		}
	}
	for _, route := range t.routes {
		confined := len(route.Homes)+len(route.CustomerHomes) > 0
		for _, share := range route.Shares {
			if unconfined[share.Service] {
				// A route without homes has all upstreams.
				continue
			}
			unconfined[share.Service] = !confined
			total := 0.0
			pool := t.eligibleUpstreams(now, route, share.Service, anyUpstream)
			shares := t.warmingShares(now, pool)
			for i, u := range pool {
				total += t.capacity(now, u, shares, i)
			}
			slots[share.Service] = max(slots[share.Service], total)
		}
	}
	for service, n := range slots {
		t.cfg.Admission.SetSlots(now, service, n)
	}
	t.slots = slots
}

// recordRoundTrip takes the time from a flow's first packet to its next one, which is that of a round trip
// without work unless the Caller waited before its first request. So the estimate falls at once and rises slowly.
func (a *routeAverages) recordRoundTrip(sample time.Duration) {
	if a.roundTrip == 0 || sample < a.roundTrip {
		a.roundTrip = sample
		return
	}
	a.roundTrip += min(sample-a.roundTrip, a.roundTrip) / sampleWindow
}

// recordOutcome tells the admission how a request of a flow ended.
func (t *Tagger) recordOutcome(now time.Duration, key flowKey, r *recentFlow, failed bool) {
	route, u := t.routes[key.target], t.upstreams[r.upstream]
	if t.cfg.Admission == nil || route == nil || u == nil {
		return
	}
	o := offerOf(route, u.Service, key.caller)
	switch {
	case failed:
		t.cfg.Admission.RecordFailure(now, o)
	case r.latency > 0:
		t.cfg.Admission.RecordResponse(now, o, r.latency, t.averagesOf(key.target).roundTrip)
	}
}
