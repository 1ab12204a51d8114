// Package prober decides which upstreams answer, from checks that this balancer
// makes itself. What peers or retransmissions hint at only leads to a check, so
// that a balancer that is cut off misleads nobody but itself.
package prober

import (
	"maps"
	"slices"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/limiter"
)

// Outcome is what a check saw.
type Outcome uint8

// The outcomes.
const (
	// Answered means that the upstream accepted a connection.
	Answered Outcome = iota
	// Refused means that its host turned the connection away, so that no process listens there, or that
	// another upstream answered in its place.
	Refused
	// TimedOut means that nothing came back in time.
	TimedOut
	// Inconclusive means that this process was held up, so that the check says nothing.
	Inconclusive
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"answered", "refused", "silent", "unclear"}[o]
}

// Assignment is how closely this balancer watches an upstream.
type Assignment uint8

// The duties.
const (
	// Unregistered upstreams are no longer registered and checked only on a hint.
	Unregistered Assignment = iota
	// AssignedElsewhere upstreams are another balancer's duty.
	AssignedElsewhere
	// AssignedRemote upstreams are in another data centre and fall to this balancer.
	AssignedRemote
	// AssignedLocal upstreams are in this data centre and fall to this balancer.
	AssignedLocal
)

// Config builds a Prober.
type Config struct {
	// LocalPeriod and RemotePeriod are the times between two checks of a duty. Dead upstreams that
	// have traffic are found by hints before that.
	LocalPeriod, RemotePeriod time.Duration
	// RecheckPeriod is the time between two checks of an upstream that fails and is another
	// balancer's duty.
	RecheckPeriod time.Duration
	// HintInterval and PeerReportInterval are the shortest times between two checks that own evidence, or what
	// peers say, leads to.
	HintInterval, PeerReportInterval time.Duration
	// PeerReportTTL is how long new flows avoid an upstream after a near peer said that it fails.
	PeerReportTTL time.Duration
	// Rate and Burst bound the checks: a second's, and those that may be saved up.
	Rate, Burst int
}

// DefaultConfig returns the periods that the daemon uses.
func DefaultConfig() Config {
	return Config{
		LocalPeriod: time.Second,
		// What is cut off from one data centre only is found by the packets that go there; where nobody sends any, it
		// doesn't matter.
		RemotePeriod:  9 * time.Second,
		RecheckPeriod: 3 * time.Second,
		// A Caller repeats a packet after 200 ms; the second repetition is no further evidence.
		HintInterval:       300 * time.Millisecond,
		PeerReportInterval: 2 * time.Second,
		// Two full heartbeats may be lost.
		PeerReportTTL: 2500 * time.Millisecond,
		// A whole service of 40 upstreams can be checked at once; in the long run a node opens as
		// few connections as two Callers do.
		Rate: 5, Burst: 40,
	}
}

const (
	// failsToAvoid is the number of failed checks in a row after which no new flow goes to an
	// upstream: two, because one connection can be lost.
	failsToAvoid = 2
	// silencesToDie is the number of silent checks in a row that prove an upstream unreachable
	// from here, if its Callers repeat packets as well. Failing is enough with a refusal, since
	// a host sent it, and with the proof of a near peer.
	silencesToDie = 4
)

type row struct {
	fails   int
	refused int
	running bool
	hinted  bool
	rumour  bool
	// evidence is set while packets to the upstream are repeated and no check has been answered since,
	// and proved while a near peer says that it is dead.
	evidence, proved bool
	// buried is set once the verdict that the upstream is dead has been returned.
	buried  bool
	checked time.Duration
	// rumoured is when a near peer last said that the upstream fails, and since is when that began.
	rumoured, since time.Duration
	// answered is when the last check that was answered began.
	answered time.Duration
}

// Prober is the table of checks. It isn't safe for concurrent use.
type Prober struct {
	cfg    Config
	rows   map[rattanwood.UpstreamID]*row
	budget *limiter.Limiter
	// control is when the latest of the answered checks began.
	control time.Duration
}

// New returns an empty table.
func New(cfg Config) *Prober {
	return &Prober{
		cfg:    cfg,
		rows:   map[rattanwood.UpstreamID]*row{},
		budget: limiter.New(limiter.Config{Rate: cfg.Rate, Burst: cfg.Burst}),
	}
}

// Add begins to watch an upstream, or forgets what was seen of an earlier life of it.
func (p *Prober) Add(now time.Duration, id rattanwood.UpstreamID) {
	r := p.rows[id]
	if r == nil {
		p.rows[id] = &row{checked: now}
		return
	}
	r.fails, r.refused, r.evidence, r.proved, r.buried = 0, 0, false, false, false
}

// Remove ends the watch of an upstream.
func (p *Prober) Remove(id rattanwood.UpstreamID) { delete(p.rows, id) }

// Hint asks for a check, because something was seen that a dead upstream would explain.
func (p *Prober) Hint(id rattanwood.UpstreamID) {
	if r := p.rows[id]; r != nil {
		r.hinted, r.evidence = true, true
	}
}

// PeerReport is what a peer says of an upstream that fails its checks.
type PeerReport struct {
	// Near is set if the peer's packets take the same ways as those of this balancer.
	Near bool
	// Dead is set if the peer has proof that the upstream is dead.
	Dead bool
}

// AddPeerReport takes in a rumour and asks for a check. Until the upstream answers that, new flows avoid it if a near
// peer says so: where many upstreams die at once, checking them all takes each balancer long.
func (p *Prober) AddPeerReport(now time.Duration, id rattanwood.UpstreamID, rumour PeerReport) {
	r := p.rows[id]
	if r == nil {
		return
	}
	proved := rumour.Near && rumour.Dead
	if !r.avoid() || proved && !r.dead() {
		r.rumour, r.proved = true, r.proved || proved
	}
	if !rumour.Near {
		return
	}
	if r.rumoured == 0 || now-r.rumoured > p.cfg.PeerReportTTL {
		r.since = now
	}
	r.rumoured = now
}

// Check is an upstream to check.
type Check struct {
	Upstream rattanwood.UpstreamID
	// Identify is set if it isn't enough that something accepts a connection at the upstream's address.
	Identify bool
}

// StartDueChecks returns the checks to begin now. Each of them must be followed by a Result. Checks that may
// find an upstream silent come with one of an upstream that answered lately, as a control.
func (p *Prober) StartDueChecks(now time.Duration, duty func(rattanwood.UpstreamID) Assignment) []Check {
	var due []Check
	doubt := false
	for _, id := range slices.Sorted(maps.Keys(p.rows)) {
		r := p.rows[id]
		if r.running || !p.due(now, r, duty(id)) || !p.budget.Allow(now, limiter.Answers, 1) {
			continue
		}
		doubtful := r.fails > 0 || r.hinted || r.rumour || r.evidence
		doubt = doubt || doubtful
		r.start(now)
		due = append(due, Check{Upstream: id, Identify: doubtful})
	}
	if doubt {
		if id, ok := p.pickControl(); ok {
			p.rows[id].start(now)
			due = append(due, Check{Upstream: id})
		}
	}
	return due
}

func (r *row) start(now time.Duration) {
	r.running, r.hinted, r.rumour, r.checked = true, false, false, now
}

func (p *Prober) due(now time.Duration, r *row, d Assignment) bool {
	age := now - r.checked
	switch {
	case r.fails > 0 && !r.dead() && r.fails < silencesToDie && d != Unregistered:
		// The verdict is near, and each moment costs the Callers of this upstream.
		return true
	case r.hinted && age >= p.cfg.HintInterval, r.rumour && age >= p.cfg.PeerReportInterval:
		return true
	case d == Unregistered:
		return false
	case r.fails > 0 && d == AssignedElsewhere:
		return age >= p.cfg.RecheckPeriod
	case d == AssignedLocal:
		return age >= p.cfg.LocalPeriod
	case d == AssignedRemote:
		return age >= p.cfg.RemotePeriod
	}
	return false
}

// pickControl returns the upstream that answered last of those that are not being checked.
func (p *Prober) pickControl() (id rattanwood.UpstreamID, ok bool) {
	var best *row
	for candidate, r := range p.rows {
		if r.running || r.fails > 0 || r.answered == 0 {
			continue
		}
		if best == nil || r.answered > best.answered || r.answered == best.answered && candidate < id {
			best, id = r, candidate
		}
	}
	return id, best != nil
}

// StateChange is what a result changed.
type StateChange struct {
	// Avoid and Dead are set when the upstream has just come into that state.
	Avoid, Dead bool
	// Recovered is set when the upstream has just answered again.
	Recovered bool
}

// RecordResult takes in the outcome of a check that began at a time. Silence counts only if a
// check that began no earlier has been answered already: otherwise this process or its own
// links may have been too slow to notice the answer.
func (p *Prober) RecordResult(id rattanwood.UpstreamID, began time.Duration, o Outcome) StateChange {
	if o == Answered {
		p.control = max(p.control, began)
	}
	r := p.rows[id]
	if r == nil {
		return StateChange{}
	}
	r.running = false
	if o == TimedOut && (p.control == 0 || p.control < began) {
		// Once more, with a control of its own.
		r.hinted = true
		return StateChange{}
	}
	avoided := r.avoid()
	switch o {
	case Answered:
		r.fails, r.refused, r.evidence, r.proved, r.buried, r.answered = 0, 0, false, false, false, max(began, 1)
	case Refused:
		r.fails++
		r.refused++
	case TimedOut:
		r.fails++
		r.refused = 0
	case Inconclusive:
	}
	v := StateChange{Avoid: !avoided && r.avoid(), Dead: r.dead() && !r.buried, Recovered: avoided && !r.avoid()}
	r.buried = r.dead()
	return v
}

func (r *row) avoid() bool { return r.fails >= failsToAvoid }

func (r *row) dead() bool {
	return r.refused >= failsToAvoid || r.fails >= silencesToDie && r.evidence || r.avoid() && r.proved
}

// ShouldAvoid reports whether new flows should go elsewhere.
func (p *Prober) ShouldAvoid(now time.Duration, id rattanwood.UpstreamID) bool {
	r := p.rows[id]
	if r == nil {
		return false
	}
	rumoured := r.rumoured != 0 && now-r.rumoured <= p.cfg.PeerReportTTL && r.answered < r.since
	return r.avoid() || rumoured
}

// IsDead reports whether the flows of an upstream can't go on from here.
func (p *Prober) IsDead(id rattanwood.UpstreamID) bool {
	r := p.rows[id]
	return r != nil && r.dead()
}

// Failing returns the upstreams to avoid, and those of them that are dead, in the order of their ids.
func (p *Prober) Failing() (avoid, dead []rattanwood.UpstreamID) {
	for _, id := range slices.Sorted(maps.Keys(p.rows)) {
		if p.rows[id].avoid() {
			avoid = append(avoid, id)
		}
		if p.rows[id].dead() {
			dead = append(dead, id)
		}
	}
	return avoid, dead
}
