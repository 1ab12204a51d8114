// Package prober decides which upstreams answer, from checks that this balancer
// makes itself. What peers or retransmissions hint at only leads to a check, so
// that a balancer that is cut off misleads nobody but itself.
package prober

import (
	"slices"
	"time"

	"example.org/rattanwood"
)

// Outcome is what a check saw.
type Outcome uint8

// The outcomes.
const (
	// Answered means that the upstream accepted a connection.
	Answered Outcome = iota
	// Refused means that its host turned the connection away: no process listens there.
	Refused
	// Silent means that nothing came back in time.
	Silent
	// Unclear means that this process was held up, so that the check says nothing.
	Unclear
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"answered", "refused", "silent", "unclear"}[o]
}

// Duty is how closely this balancer watches an upstream.
type Duty uint8

// The duties.
const (
	// Watched upstreams are another balancer's duty.
	Watched Duty = iota
	// Remote upstreams are in another data centre and fall to this balancer.
	Remote
	// Local upstreams are in this data centre and fall to this balancer.
	Local
)

// Config builds a Prober.
type Config struct {
	// LocalPeriod and RemotePeriod are the times between two checks of a duty.
	LocalPeriod, RemotePeriod time.Duration
	// RecheckPeriod is the time between two checks of an upstream that fails.
	RecheckPeriod time.Duration
	// HintPause is the shortest time between two checks that hints lead to.
	HintPause time.Duration
}

// DefaultConfig returns periods that find a dead local upstream before a Caller's first retransmission
// has been sent twice, for a cost of a few connections a second and upstream.
func DefaultConfig() Config {
	return Config{
		LocalPeriod:   300 * time.Millisecond,
		RemotePeriod:  time.Second,
		RecheckPeriod: 500 * time.Millisecond,
		HintPause:     300 * time.Millisecond,
	}
}

const (
	// failsToAvoid is the number of failed checks in a row after which no new flow goes to an
	// upstream: two, because one connection can be lost.
	failsToAvoid = 2
	// silencesToDie is the number of silent checks in a row that prove an upstream unreachable
	// from here; a refusal needs only failsToAvoid.
	silencesToDie = 3
)

type row struct {
	fails   int
	refused int
	running bool
	hinted  bool
	checked time.Duration
}

// Prober is the table of checks. It isn't safe for concurrent use.
type Prober struct {
	cfg  Config
	rows map[rattanwood.UpstreamID]*row
}

// New returns an empty table.
func New(cfg Config) *Prober {
	return &Prober{cfg: cfg, rows: map[rattanwood.UpstreamID]*row{}}
}

// Add begins to watch an upstream, or forgets what was seen of an earlier life of it.
func (p *Prober) Add(now time.Duration, id rattanwood.UpstreamID) {
	r := p.rows[id]
	if r == nil {
		p.rows[id] = &row{checked: now}
		return
	}
	r.fails, r.refused = 0, 0
}

// Remove ends the watch of an upstream.
func (p *Prober) Remove(id rattanwood.UpstreamID) { delete(p.rows, id) }

// Hint asks for a check, because something was seen that a dead upstream would explain.
func (p *Prober) Hint(id rattanwood.UpstreamID) {
	if r := p.rows[id]; r != nil {
		r.hinted = true
	}
}

// Due returns the upstreams to check now, in the order of their ids. Each of
// them must be followed by a Result.
func (p *Prober) Due(now time.Duration, duty func(rattanwood.UpstreamID) Duty) []rattanwood.UpstreamID {
	var due []rattanwood.UpstreamID
	for id, r := range p.rows {
		if r.running || !p.due(now, r, duty(id)) {
			continue
		}
		r.running, r.hinted, r.checked = true, false, now
		due = append(due, id)
	}
	slices.Sort(due)
	return due
}

func (p *Prober) due(now time.Duration, r *row, d Duty) bool {
	age := now - r.checked
	switch {
	case r.fails > 0 && r.fails < silencesToDie:
		// The verdict is near, and each moment costs the Callers of this upstream.
		return true
	case r.fails > 0:
		return age >= p.cfg.RecheckPeriod
	case r.hinted && age >= p.cfg.HintPause:
		return true
	case d == Local:
		return age >= p.cfg.LocalPeriod
	case d == Remote:
		return age >= p.cfg.RemotePeriod
	}
	return false
}

// Verdict is what a result changed.
type Verdict struct {
	// Avoid and Dead are set when the upstream has just come into that state.
	Avoid, Dead bool
	// Well is set when the upstream has just answered again.
	Well bool
}

// Result takes in the outcome of a check.
func (p *Prober) Result(id rattanwood.UpstreamID, o Outcome) Verdict {
	r := p.rows[id]
	if r == nil {
		return Verdict{}
	}
	r.running = false
	avoided, dead := r.avoid(), r.dead()
	switch o {
	case Answered:
		r.fails, r.refused = 0, 0
	case Refused:
		r.fails++
		r.refused++
	case Silent:
		r.fails++
		r.refused = 0
	case Unclear:
	}
	return Verdict{Avoid: !avoided && r.avoid(), Dead: !dead && r.dead(), Well: avoided && !r.avoid()}
}

func (r *row) avoid() bool { return r.fails >= failsToAvoid }

func (r *row) dead() bool { return r.refused >= failsToAvoid || r.fails >= silencesToDie }

// Avoid reports whether new flows should go elsewhere.
func (p *Prober) Avoid(id rattanwood.UpstreamID) bool {
	r := p.rows[id]
	return r != nil && r.avoid()
}

// Dead reports whether the flows of an upstream can't go on from here.
func (p *Prober) Dead(id rattanwood.UpstreamID) bool {
	r := p.rows[id]
	return r != nil && r.dead()
}

// Failing returns the upstreams to avoid, in the order of their ids.
func (p *Prober) Failing() []rattanwood.UpstreamID {
	var out []rattanwood.UpstreamID
	for id, r := range p.rows {
		if r.avoid() {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}
