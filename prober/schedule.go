package prober

import (
	"cmp"
	"math"
	"slices"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/limiter"
)

// Check is an upstream to check.
type Check struct {
	Upstream rattanwood.UpstreamID
	// Identify requires the upstream to prove its identity: that something accepts connections at
	// its address isn't enough.
	Identify bool
	Cause    Cause
}

// dueCheck is a check that is due, and by how many times its period.
type dueCheck struct {
	id      rattanwood.UpstreamID
	state   *upstreamState
	cause   Cause
	overdue float64
}

// StartDueChecks returns the checks to begin now. If the budget doesn't suffice for all that are due, repeated ones come
// first, of which there are few for each upstream that fails, and then those that have waited for the most of their
// periods, so that each gets its turn. Each check must be followed by a RecordResult, and by a StartReference if it is
// still running after ReferenceDelay.
func (p *Prober) StartDueChecks(now time.Duration, assignment func(rattanwood.UpstreamID) Assignment) []Check {
	var due []dueCheck
	for _, id := range p.order {
		r := p.upstreams[id]
		assigned := assignment(id)
		if assigned == Unused && r.failures > 0 && now-r.lastCheck >= p.cfg.RecheckPeriod && !r.running {
			r.forget()
		}
		if cause, isDue := p.isDue(now, r, assigned); isDue && !r.running {
			overdue := float64(now-r.lastCheck) / float64(p.period(cause, assigned))
			if cause == Repeated {
				overdue = math.Inf(1)
			}
			due = append(due, dueCheck{id: id, state: r, cause: cause, overdue: overdue})
		}
	}
	slices.SortStableFunc(due, func(a, b dueCheck) int { return cmp.Compare(b.overdue, a.overdue) })
	p.longestOverdue = 0
	var started []Check
	for _, d := range due {
		// All checks spend from the budget in one class: Answers has neither a reserve nor an overdraft.
		if !p.budget.Allow(now, limiter.Answers, 1) {
			p.longestOverdue = max(p.longestOverdue, now-d.state.lastCheck)
			continue
		}
		started = append(started, d.state.start(now, d.id, d.cause))
	}
	return started
}

// StartSuspectedCheck returns the check of an upstream to begin now, if one is due because of a suspicion. StartDueChecks
// would return it too, but goes through all upstreams.
func (p *Prober) StartSuspectedCheck(now time.Duration, id rattanwood.UpstreamID, assignment Assignment) (c Check, ok bool) {
	r := p.upstreams[id]
	if r == nil || r.running {
		return Check{}, false
	}
	if cause, due := p.isDue(now, r, assignment); !due || cause != Suspected || !p.budget.Allow(now, limiter.Answers, 1) {
		return Check{}, false
	}
	return r.start(now, id, Suspected), true
}

func (r *upstreamState) start(now time.Duration, id rattanwood.UpstreamID, cause Cause) Check {
	suspected := r.failures > 0 || r.suspicionReported || r.peerReported || r.trafficEvidence
	r.beginCheck(now, suspected)
	return Check{Upstream: id, Identify: suspected, Cause: cause}
}

// LongestOverdue returns the time since the last check of the upstream that has waited longest, of those whose checks
// were due at the last StartDueChecks but exceeded the budget.
func (p *Prober) LongestOverdue() time.Duration { return p.longestOverdue }

// ReferenceDelay is how long a check runs before StartReference is called for it. Upstreams that run
// answer in a fraction of it, and a reference check that begins then still ends before the first one
// times out.
const ReferenceDelay = 25 * time.Millisecond

// StartReference returns a reference check to begin now, for a check of an upstream that began at a time
// and may time out: a check of one that passed lately. If that times out too, the fault is probably on
// this side. ok is false if none is needed or possible.
func (p *Prober) StartReference(now time.Duration, id rattanwood.UpstreamID, began time.Duration) (c Check, ok bool) {
	r := p.upstreams[id]
	if r == nil || !r.running || !r.suspected || r.lastCheck != began || r.isDecided() && !r.confirming || p.latestPassed >= began || p.latestReference >= began {
		return Check{}, false
	}
	reference, ok := p.pickReference(id)
	if !ok {
		return Check{}, false
	}
	p.latestReference = now
	p.upstreams[reference].beginCheck(now, false)
	return Check{Upstream: reference, Cause: Reference}, true
}

func (r *upstreamState) beginCheck(now time.Duration, suspected bool) {
	r.running, r.suspected, r.suspicionReported, r.peerReported, r.lastCheck = true, suspected, false, false, now
}

// isDue reports whether an upstream is to be checked now, and why.
func (p *Prober) isDue(now time.Duration, r *upstreamState, assignment Assignment) (Cause, bool) {
	sinceCheck := now - r.lastCheck
	switch {
	case r.failures > 0 && !r.isDecided() && assignment != Unregistered && (assignment != Unused || r.trafficEvidence):
		// The next few checks decide, and until then the Callers of this upstream wait.
		return Repeated, true
	case r.suspicionReported && sinceCheck >= p.cfg.SuspicionInterval:
		return Suspected, true
	case r.peerReported && assignment != Unused && sinceCheck >= p.cfg.PeerReportInterval:
		return PeerReported, true
	case assignment == Unregistered, assignment == Unused:
		return Regular, false
	case r.failures > 0 && assignment == AssignedElsewhere:
		return Rechecked, sinceCheck >= p.cfg.RecheckPeriod
	case assignment == AssignedLocal:
		return Regular, sinceCheck >= p.cfg.LocalPeriod
	case assignment == AssignedRemote:
		return Regular, sinceCheck >= p.cfg.RemotePeriod
	}
	return Regular, false
}

// period returns the time between two checks of an upstream that have the same cause.
func (p *Prober) period(cause Cause, assignment Assignment) time.Duration {
	switch {
	case cause == Suspected:
		return p.cfg.SuspicionInterval
	case cause == PeerReported:
		return p.cfg.PeerReportInterval
	case cause == Rechecked:
		return p.cfg.RecheckPeriod
	case assignment == AssignedRemote:
		return p.cfg.RemotePeriod
	}
	return p.cfg.LocalPeriod
}

// pickReference returns the upstream that passed a check last, of those that don't fail and aren't
// being checked. As long as none has passed, it is the next one in the order of the IDs, so that the
// first suspicion after a start can be decided too.
func (p *Prober) pickReference(suspect rattanwood.UpstreamID) (id rattanwood.UpstreamID, ok bool) {
	var best *upstreamState
	for candidate, r := range p.upstreams {
		if r.running || r.failures > 0 {
			continue
		}
		if best == nil || r.lastPassed > best.lastPassed || r.lastPassed == best.lastPassed && candidate-suspect < id-suspect {
			best, id = r, candidate
		}
	}
	return id, best != nil
}
