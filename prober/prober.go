// Package prober decides which upstreams answer, from health checks that this balancer makes
// itself. Retransmissions and peer reports only trigger a check, so a balancer that is cut off can't
// make others reset flows. Only new flows avoid an upstream for a short time after a report by a
// peer in the same data centre.
package prober

import (
	"slices"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/limiter"
)

// Outcome is the result of a check.
type Outcome uint8

const (
	// Passed means that the upstream accepted a connection.
	Passed Outcome = iota
	// Refused means that the upstream's host rejected the connection, so that no process listens
	// there, or that another upstream answered in its place.
	Refused
	// TimedOut means that no answer came in time.
	TimedOut
	// Inconclusive means that this process was delayed, so that the check says nothing about the
	// upstream.
	Inconclusive
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"answered", "refused", "silent", "unclear"}[o]
}

// Assignment says whether this balancer checks an upstream regularly, and how often.
type Assignment uint8

const (
	// Unregistered upstreams are checked only after ReportSuspicion or a peer report.
	Unregistered Assignment = iota
	// Unused upstreams are in another data centre and got no packet from this balancer lately. They are
	// checked only after ReportSuspicion: with each balancer of a fleet checking them on peer reports,
	// the connections would grow with the fleet. What earlier checks found is forgotten.
	Unused
	// AssignedElsewhere is for upstreams that another balancer checks regularly.
	AssignedElsewhere
	// AssignedRemote is for upstreams in another data centre that this balancer checks.
	AssignedRemote
	// AssignedLocal is for upstreams in this data centre that this balancer checks.
	AssignedLocal
)

// Duty is what a balancer's regular checks of an upstream depend on.
type Duty struct {
	// Registered is true for upstreams that the source lists, and Local for those in the balancer's own
	// data centre.
	Registered, Local bool
	// Checker is true if the balancer is the one of its data centre that checks the upstream.
	Checker bool
	// Used is true if the balancer has sent packets to the upstream lately.
	Used bool
	// Evacuated is true for upstreams that get no new flows, since operators evacuated their data centre.
	Evacuated bool
}

// Assignment returns the assignment that follows from a duty.
func (d Duty) Assignment() Assignment {
	switch {
	case !d.Registered:
		return Unregistered
	case d.Evacuated && !d.Used:
		// No flow of this balancer depends on the result.
		return Unused
	case d.Checker && d.Local:
		return AssignedLocal
	case d.Checker:
		return AssignedRemote
	case d.Local || d.Used:
		return AssignedElsewhere
	}
	return Unused
}

// Cause is the reason for a check.
type Cause uint8

const (
	// Regular checks are the duty of the balancer that an upstream is assigned to.
	Regular Cause = iota
	// Suspected upstreams were reported by ReportSuspicion.
	Suspected
	// PeerReported upstreams were reported by a peer.
	PeerReported
	// Repeated checks follow one that failed, until the upstream counts as dead or passes.
	Repeated
	// Rechecked upstreams fail their checks and are assigned to another balancer.
	Rechecked
	// Reference checks show whether answers arrive at all.
	Reference
	// CauseCount is the number of causes.
	CauseCount
)

// String returns the name of the cause as metrics show it.
func (c Cause) String() string {
	return [...]string{"regular", "suspected", "reported", "repeated", "rechecked", "reference"}[c]
}

// Config holds the settings of a Prober.
type Config struct {
	// LocalPeriod and RemotePeriod are the times between two regular checks of an upstream that is
	// assigned to this balancer. Dead upstreams with traffic are found sooner, by ReportSuspicion.
	LocalPeriod, RemotePeriod time.Duration
	// RecheckPeriod is the time between two checks of a failing upstream that is assigned to
	// another balancer.
	RecheckPeriod time.Duration
	// SuspicionInterval and PeerReportInterval are the shortest times between two checks that are
	// triggered by ReportSuspicion or by peer reports.
	SuspicionInterval, PeerReportInterval time.Duration
	// PeerReportTTL is how long new flows avoid an upstream after a peer in the same data centre
	// reported that it fails.
	PeerReportTTL time.Duration
	// Rate is the number of checks per second, and Burst the number that may be saved up.
	Rate, Burst int
}

// DefaultConfig returns the settings that the daemon uses.
func DefaultConfig() Config {
	return Config{
		LocalPeriod: time.Second,
		// An upstream that is unreachable from only one data centre is found by the packets that go
		// there; without traffic it doesn't matter.
		RemotePeriod:  9 * time.Second,
		RecheckPeriod: 3 * time.Second,
		// A Caller retransmits a packet after 200 ms; the second retransmission is no further
		// evidence.
		SuspicionInterval:  300 * time.Millisecond,
		PeerReportInterval: 2 * time.Second,
		// Two full heartbeats may be lost.
		PeerReportTTL: 2500 * time.Millisecond,
		// A whole service of 40 upstreams can be checked at once. In the long run that is as many
		// connections per second as two Callers open.
		Rate: 5, Burst: 40,
	}
}

const (
	// failuresToAvoid is the number of consecutive failed checks after which no new flow goes to an
	// upstream: two, because a single connection can be lost.
	failuresToAvoid = 2
	// timeoutsToDeclareDead is the number of consecutive failed checks, such as timeouts, after which
	// an upstream counts as dead, provided that there is evidence from traffic too. failuresToAvoid
	// checks are enough if all were refused, since then its host has answered, or if a peer in the
	// same data centre has declared it dead.
	timeoutsToDeclareDead = 4
)

// upstreamState is what the checks of an upstream have shown.
type upstreamState struct {
	// failures counts the consecutive checks that failed, and refusals the refused ones among them
	// since the last timeout.
	failures int
	refusals int
	// running is true while a check is under way, and suspected if that has another cause than the time.
	running, suspected bool
	// suspicionReported and peerReported request a check.
	suspicionReported bool
	peerReported      bool
	// trafficEvidence is true if ReportSuspicion was called since the last check that passed, for a
	// retransmission or a packet to an upstream that is no longer registered. peerConfirmedDead is
	// true if a peer in the same data centre has reported the upstream dead since then.
	trafficEvidence, peerConfirmedDead bool
	// deadReported is true once RecordResult has returned that the upstream is dead.
	deadReported bool
	// confirming is true from a call of ConfirmDead until a check has decided.
	confirming bool
	// lastCheck is when the last check began.
	lastCheck time.Duration
	// lastPeerReport is when a peer in the same data centre, or in that of the upstream, last reported that the
	// upstream fails, and peerReportsSince when such reports began.
	lastPeerReport, peerReportsSince time.Duration
	// lastPassed and lastFailed are when the last check that passed and the last one that failed began.
	lastPassed, lastFailed time.Duration
}

// Prober holds the results of the checks by upstream. It isn't safe for concurrent use.
type Prober struct {
	cfg       Config
	upstreams map[rattanwood.UpstreamID]*upstreamState
	// order holds the IDs of the upstreams in order.
	order  []rattanwood.UpstreamID
	budget *limiter.Limiter
	// latestPassed is when the latest check of any upstream that passed began.
	latestPassed time.Duration
	// latestReference is when the latest reference check began.
	latestReference time.Duration
	// longestOverdue is what LongestOverdue returns.
	longestOverdue time.Duration
}

// New returns a Prober without upstreams.
func New(cfg Config) *Prober {
	return &Prober{
		cfg:       cfg,
		upstreams: map[rattanwood.UpstreamID]*upstreamState{},
		budget:    limiter.New(limiter.Config{Rate: cfg.Rate, Burst: cfg.Burst}),
	}
}

// Add starts to check an upstream, or discards what was seen of an earlier incarnation of it.
func (p *Prober) Add(now time.Duration, id rattanwood.UpstreamID) {
	r := p.upstreams[id]
	if r == nil {
		p.upstreams[id] = &upstreamState{lastCheck: now}
		i, _ := slices.BinarySearch(p.order, id)
		p.order = slices.Insert(p.order, i, id)
		return
	}
	r.forget()
}

// forget discards what checks and reports have shown of an upstream.
func (r *upstreamState) forget() {
	r.failures, r.refusals, r.trafficEvidence, r.peerConfirmedDead, r.deadReported, r.confirming = 0, 0, false, false, false, false
}

// Remove stops checking an upstream.
func (p *Prober) Remove(id rattanwood.UpstreamID) {
	delete(p.upstreams, id)
	if i, ok := slices.BinarySearch(p.order, id); ok {
		p.order = slices.Delete(p.order, i, i+1)
	}
}

// ReportSuspicion requests a check because of traffic that a dead upstream would explain, such as a
// retransmission. It also counts as evidence if the checks time out.
func (p *Prober) ReportSuspicion(id rattanwood.UpstreamID) {
	if r := p.upstreams[id]; r != nil {
		r.suspicionReported, r.trafficEvidence = true, true
	}
}

// ReportUnregistered requests a check because of a packet to an upstream that has been unregistered
// since a time. One that has passed a check within LocalPeriod isn't checked again: retransmissions tell
// of its end as of that of registered ones.
func (p *Prober) ReportUnregistered(now time.Duration, id rattanwood.UpstreamID, since time.Duration) {
	if r := p.upstreams[id]; r != nil {
		r.trafficEvidence = true
		if !r.running && (r.lastPassed == 0 || r.lastPassed < since || now-r.lastPassed >= p.cfg.LocalPeriod) {
			r.suspicionReported = true
		}
	}
}

// PeerReport is what a peer says of an upstream that fails its checks.
type PeerReport struct {
	// SameDataCentre is true if the peer is in this balancer's data centre, so that its packets take
	// the same network paths.
	SameDataCentre bool
	// AtUpstream is true if the peer is in the upstream's data centre, whose balancers reach it best.
	AtUpstream bool
	// Dead is true if the peer has proof that the upstream is dead.
	Dead bool
}

// AddPeerReport records a peer report and requests a check. If the peer is in the same data centre, or in that
// of the upstream, new flows avoid the upstream until it passes a check: where many upstreams die at once, each
// balancer needs long to check them all.
func (p *Prober) AddPeerReport(now time.Duration, id rattanwood.UpstreamID, report PeerReport) {
	r := p.upstreams[id]
	if r == nil {
		return
	}
	confirmedDead := report.SameDataCentre && report.Dead
	if !r.shouldAvoid() || confirmedDead && !r.isDead() {
		r.peerReported, r.peerConfirmedDead = true, r.peerConfirmedDead || confirmedDead
	}
	if !report.SameDataCentre && !report.AtUpstream {
		return
	}
	if r.lastPeerReport == 0 || now-r.lastPeerReport > p.cfg.PeerReportTTL {
		r.peerReportsSince = now
	}
	r.lastPeerReport = now
}

// StateChange is how a result changed an upstream's state.
type StateChange struct {
	// Avoid and Dead are true if the upstream has just entered that state.
	Avoid, Dead bool
	// Recovered is true if the upstream has just left the Avoid state, and Revived if it was dead.
	Recovered, Revived bool
	// Confirmed is true if the upstream was dead before, and another check has failed since ConfirmDead was called.
	Confirmed bool
}

// RecordResult records the outcome of a check and when that began. A timeout counts only if a check
// that began no earlier has passed already: otherwise this process or its own links may have been
// too slow to notice the answer.
func (p *Prober) RecordResult(id rattanwood.UpstreamID, began time.Duration, o Outcome) StateChange {
	if o == Passed {
		p.latestPassed = max(p.latestPassed, began)
	}
	r := p.upstreams[id]
	if r == nil {
		return StateChange{}
	}
	r.running = false
	if o == TimedOut && (p.latestPassed == 0 || p.latestPassed < began) {
		if r.isDecided() && !r.confirming {
			return StateChange{}
		}
		// Repeat the check together with a reference check.
		r.suspicionReported = true
		return StateChange{}
	}
	wasAvoided, wasDead, wasConfirming := r.shouldAvoid(), r.isDead(), r.confirming
	switch o {
	case Passed:
		// A time of zero means never, so a check that began at time zero counts as begun at 1 ns.
		r.failures, r.refusals, r.trafficEvidence, r.peerConfirmedDead, r.deadReported, r.lastPassed = 0, 0, false, false, false, max(began, 1)
	case Refused:
		r.failures++
		r.refusals++
		r.lastFailed = began
	case TimedOut:
		r.failures++
		r.refusals = 0
		r.lastFailed = began
	case Inconclusive:
		// Repeat the check that ConfirmDead asked for.
		r.suspicionReported = r.suspicionReported || r.confirming
		return StateChange{}
	}
	r.confirming = false
	change := StateChange{
		Avoid: !wasAvoided && r.shouldAvoid(), Dead: r.isDead() && !r.deadReported, Recovered: wasAvoided && !r.shouldAvoid(),
		Revived: wasDead && !r.isDead(), Confirmed: r.isDead() && r.deadReported && wasConfirming,
	}
	r.deadReported = r.isDead()
	return change
}

// isDecided reports whether further timeouts change nothing.
func (r *upstreamState) isDecided() bool { return r.isDead() || r.failures >= timeoutsToDeclareDead }

func (r *upstreamState) shouldAvoid() bool { return r.failures >= failuresToAvoid }

func (r *upstreamState) isDead() bool {
	return r.refusals >= failuresToAvoid || r.failures >= timeoutsToDeclareDead && r.trafficEvidence || r.shouldAvoid() && r.peerConfirmedDead
}

// ShouldAvoid reports whether new flows should go to other upstreams.
func (p *Prober) ShouldAvoid(now time.Duration, id rattanwood.UpstreamID) bool {
	r := p.upstreams[id]
	if r == nil {
		return false
	}
	reported := r.lastPeerReport != 0 && now-r.lastPeerReport <= p.cfg.PeerReportTTL && r.lastPassed < r.peerReportsSince
	return r.shouldAvoid() || reported
}

// PassedSince reports whether a check of the upstream that began after a time has passed.
func (p *Prober) PassedSince(id rattanwood.UpstreamID, since time.Duration) bool {
	r := p.upstreams[id]
	return r != nil && r.lastPassed > since
}

// IsDeadSince reports whether the upstream is proved dead by a check that began at a time or later. An earlier proof
// may come from a fault that has ended, and says nothing about flows that have come here since.
func (p *Prober) IsDeadSince(id rattanwood.UpstreamID, since time.Duration) bool {
	r := p.upstreams[id]
	return r != nil && r.isDead() && r.lastFailed >= since
}

// ConfirmDead requests a check that shows whether an upstream that was proved dead still is. If so, RecordResult
// returns Confirmed.
func (p *Prober) ConfirmDead(id rattanwood.UpstreamID) {
	if r := p.upstreams[id]; r != nil && r.isDead() {
		r.suspicionReported, r.confirming = true, true
	}
}

// IsDead reports whether the upstream is proved dead, so that its flows can't continue from here.
func (p *Prober) IsDead(id rattanwood.UpstreamID) bool {
	r := p.upstreams[id]
	return r != nil && r.isDead()
}

// Failing returns the upstreams that this balancer's own checks say to avoid, and those of them
// that are dead, in the order of their IDs.
func (p *Prober) Failing() (avoid, dead []rattanwood.UpstreamID) {
	for _, id := range p.order {
		if p.upstreams[id].shouldAvoid() {
			avoid = append(avoid, id)
		}
		if p.upstreams[id].isDead() {
			dead = append(dead, id)
		}
	}
	return avoid, dead
}
