package tagger

import (
	"slices"
	"time"

	"example.org/rattanwood"
)

// rampTime is the time after its warm-up in which the capacity of an upstream grows to that of the others. It
// is half of the placer's window: by then the loads that balancers know of hold the flows that it got.
const rampTime = 2 * time.Second

// minWarmShare is the share of a service's slots that must be warm for others to be spared after their warm-up: with
// less, the warm ones would get more than twice their usual flows.
const minWarmShare = 0.5

// AskOutcome is what became of a request to another balancer for a flow.
type AskOutcome uint8

const (
	// AskSent requests went to another balancer.
	AskSent AskOutcome = iota
	// AskWithheld flows were placed without asking, because that exceeded the traffic budget.
	AskWithheld
	// AskOwn flows arrived here from a Caller, and this balancer admitted them to a cold upstream.
	AskOwn
	// AskAdmitted requests came from another balancer, and this one named an upstream.
	AskAdmitted
	// AskDiverted requests came from another balancer, and this one had no upstream with room.
	AskDiverted
	// AskDropped requests came from another balancer, and this one couldn't decide on them.
	AskDropped
	// AskLate answers came when their flows waited no longer.
	AskLate
	askOutcomeCount
)

// String returns the outcome as logs and metrics show it.
func (o AskOutcome) String() string {
	return [...]string{"sent", "withheld", "own", "admitted", "diverted", "dropped", "late"}[o]
}

// AskCounts holds the number of requests and flows by outcome.
type AskCounts [askOutcomeCount]uint64

// Asks returns the number of requests between balancers, and of flows for cold upstreams, by outcome.
func (t *Tagger) Asks() *AskCounts { return &t.asks }

// rate returns the number of new flows a second that an upstream bears while it is cold; zero means any.
func (t *Tagger) rate(u *upstream) float64 {
	if t.cfg.Warmer == nil {
		return 0
	}
	return t.limits[u.Service].WarmupRate
}

// isLimited reports whether an upstream is cold and so gets new flows only from the balancer that counts them.
func (t *Tagger) isLimited(now time.Duration, u *upstream) bool {
	return now < u.warmUntil && t.rate(u) > 0
}

// AssumeRestart records that an upstream is proved not to run, or has run again since. It then starts anew, and counts as
// cold for the time that its service states, unless the source tells of the restart: it may be away.
func (t *Tagger) AssumeRestart(now time.Duration, id rattanwood.UpstreamID) {
	u := t.upstreams[id]
	if u == nil || t.rate(u) == 0 {
		return
	}
	u.warmUntil, u.restartAssumed = max(u.warmUntil, now+t.limits[u.Service].WarmupTime), true
}

// hasRoom reports whether an upstream may take a flow now. Balancers of other data centres don't use limited ones.
func (t *Tagger) hasRoom(now time.Duration, u *upstream) bool {
	return !t.isLimited(now, u) || u.DataCentre == t.cfg.DataCentre && t.cfg.Warmer.HasRoom(now, u.id, t.rate(u))
}

// isWarm reports whether an upstream isn't limited.
func (t *Tagger) isWarm(now time.Duration, u *upstream) bool { return !t.isLimited(now, u) }

// anyUpstream returns true.
func anyUpstream(time.Duration, *upstream) bool { return true }

// chooseWarm is like chooseUpstream, but never returns a limited upstream.
func (t *Tagger) chooseWarm(now time.Duration, route *rattanwood.Route, service rattanwood.ServiceID, except rattanwood.UpstreamID) *upstream {
	return t.chooseFrom(now, t.eligibleUpstreams(now, route, service, t.isWarm), except)
}

// warmingShares returns for each upstream of a pool the share of its usual flows that it bears, or nil if all bear
// theirs. Usual is the mean load: what the upstream would get if it were warm. After the warm-up the share grows to
// one, so that flows come back without a step, unless so few upstreams are warm that these would be overloaded.
func (t *Tagger) warmingShares(now time.Duration, pool []*upstream) []float64 {
	if !slices.ContainsFunc(pool, func(u *upstream) bool { return t.isWarming(now, u) }) {
		return nil
	}
	load, slots, warmSlots := 0.0, 0, 0
	for _, u := range pool {
		load += t.cfg.Placer.Load(now, u.id).Requests
		slots += u.Slots
		if !t.isWarming(now, u) {
			warmSlots += u.Slots
		}
	}
	mayRamp := float64(warmSlots) >= minWarmShare*float64(slots)
	shares := make([]float64, len(pool))
	for i, u := range pool {
		shares[i] = 1
		if t.isWarming(now, u) && load > 0 && (mayRamp || t.isLimited(now, u)) {
			cold := min(t.cfg.Placer.SteadyLoad(t.rate(u))*float64(len(pool))/load, 1)
			shares[i] = cold + (1-cold)*min(max(float64(now-u.warmUntil)/float64(rampTime), 0), 1)
		}
	}
	return shares
}

// capacity returns the capacity of the i-th upstream of a pool, given what warmingShares returns for the pool.
func (t *Tagger) capacity(now time.Duration, u *upstream, shares []float64, i int) float64 {
	if shares != nil && t.isWarming(now, u) {
		return float64(u.Slots) * shares[i]
	}
	return u.capacity(now)
}

// thinWarming leaves upstreams that bear a share of their usual flows out of a pool for the other flows. Their
// capacity alone wouldn't keep flows away from them: they look idle until their load is known, and upstreams of the
// own data centre are preferred. One draw decides on all, since those that were left would take the flow.
func (t *Tagger) thinWarming(pool []*upstream, shares []float64) ([]*upstream, []float64) {
	draw := t.cfg.Random.Float64()
	var kept []*upstream
	var keptShares []float64
	for i, u := range pool {
		if shares[i] > draw {
			kept, keptShares = append(kept, u), append(keptShares, shares[i])
		}
	}
	if len(kept) == 0 {
		return pool, shares
	}
	return kept, keptShares
}

// isWarming reports whether an upstream with a stated rate is cold or was until lately.
func (t *Tagger) isWarming(now time.Duration, u *upstream) bool {
	return u.warmUntil != 0 && now < u.warmUntil+rampTime && t.rate(u) > 0
}

// openCold places a flow on a limited upstream: it counts the flow here or asks the balancer that does.
func (t *Tagger) openCold(now time.Duration, s rattanwood.Segment, packet []byte, route *rattanwood.Route, u *upstream, reason Reason) Verdict {
	expected := t.expectedRequests(s.Target)
	if t.cfg.Warmer.Admit(now, u.id, t.rate(u)) {
		t.asks[AskOwn]++
		t.cfg.Placer.AddFlow(now, u.id, expected)
		t.rememberFlow(now, s, u.id, packet)
		return forward(now, u, reason)
	}
	peer, ok := t.cfg.Warmer.Holder(now, u.id, t.rate(u))
	if !ok {
		return t.openWarm(now, s, packet, route, reason, 0)
	}
	v, ok := t.ask(now, s, packet, reason, peer, Request{Upstream: u.id})
	if !ok {
		return t.openWarm(now, s, packet, route, reason, 0)
	}
	// Should the peer not admit the flow, this makes the upstream less likely to be chosen here again.
	t.cfg.Placer.AddFlow(now, u.id, expected)
	return v
}

// reopenCold decides on the retransmission of a first packet that went to a limited upstream. It goes there again, and
// the upstream's flows count it again.
func (t *Tagger) reopenCold(now time.Duration, s rattanwood.Segment, packet []byte, route *rattanwood.Route, r *recentFlow) Verdict {
	u := t.upstreams[r.upstream]
	t.cfg.Prober.ReportSuspicion(r.upstream)
	t.recordSilence(now, r)
	if t.keepsFlows(now, route, u) {
		return t.repeatCold(now, s, packet, u, r)
	}
	except := r.upstream
	if v := t.openWarm(now, s, packet, route, Reassigned, except); v.Action == Forward {
		return v
	}
	if u := t.chooseUpstream(now, route, t.drawService(route), except); u != nil && t.isLimited(now, u) {
		return t.openCold(now, s, packet, route, u, Reassigned)
	}
	return t.resetIfCurrent(now, t.refusalReason(now, route))
}

// repeatCold forwards a retransmitted first packet to the limited upstream of its flow, and drops it if that has got as
// many as it bears. If another balancer counts them, it is asked.
func (t *Tagger) repeatCold(now time.Duration, s rattanwood.Segment, packet []byte, u *upstream, r *recentFlow) Verdict {
	if t.cfg.Warmer.Admit(now, u.id, t.rate(u)) {
		r.recordCopy(now, s)
		return forward(now, u, Retransmitted)
	}
	if peer, ok := t.cfg.Warmer.Holder(now, u.id, t.rate(u)); ok {
		if v, ok := t.ask(now, s, packet, Retransmitted, peer, Request{Upstream: u.id}); ok {
			t.waiting[keyOf(s)].repeated = true
			return v
		}
	}
	r.recordCopy(now, s)
	return Verdict{Reason: Limited}
}

// openWarm places a flow on an upstream that isn't limited, and on except only if there is no other.
func (t *Tagger) openWarm(now time.Duration, s rattanwood.Segment, packet []byte, route *rattanwood.Route, reason Reason, except rattanwood.UpstreamID) Verdict {
	return t.place(now, s, packet, route, t.chooseWarm(now, route, t.drawService(route), except), reason)
}

// mayServe reports whether an upstream that a peer chose may take a new flow of a route.
func (t *Tagger) mayServe(now time.Duration, route *rattanwood.Route, u *upstream) bool {
	return serves(route, u) && slices.Contains(t.eligibleUpstreams(now, route, u.Service, anyUpstream), u)
}

// serves reports whether an upstream is of a service to which a route leads.
func serves(route *rattanwood.Route, u *upstream) bool { return leadsTo(route, u.Service) }

// leadsTo reports whether a route leads to a service.
func leadsTo(route *rattanwood.Route, service rattanwood.ServiceID) bool {
	return slices.ContainsFunc(route.Shares, func(s rattanwood.Share) bool { return s.Service == service })
}

// ColdUpstreams returns the limited upstreams of the own data centre with the number of new flows a second that
// they bear, unless it is evacuated. Without any, no balancer asks for a lease.
func (t *Tagger) ColdUpstreams(now time.Duration) map[rattanwood.UpstreamID]float64 {
	if t.cfg.Warmer == nil || !t.statesRates || t.cfg.Evacuator.Evacuated(t.cfg.DataCentre) {
		return nil
	}
	var cold map[rattanwood.UpstreamID]float64
	for id, u := range t.upstreams {
		if u.registered && !u.Draining && u.DataCentre == t.cfg.DataCentre && t.isLimited(now, u) {
			if cold == nil {
				cold = map[rattanwood.UpstreamID]float64{}
			}
			cold[id] = t.rate(u)
		}
	}
	return cold
}
