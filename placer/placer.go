// Package placer chooses upstreams for new flows by the work that all balancers gave them lately.
//
// A choice takes the better of two upstreams drawn at random (Mitzenmacher,
// "The power of two choices", 2001), which stays even when reports are late:
// an upstream that looks empty to everybody doesn't get every flow. Upstreams of
// the own data centre go first until they carry more than their share (bounded
// loads; Mirrokni, Thorup and Zadimoghaddam, 2016).
package placer

import (
	"math"
	"math/rand/v2"
	"time"

	"example.org/rattanwood"
)

// Config builds a Placer.
type Config struct {
	// Window is the time in which the weight of past work falls to 1/e.
	Window time.Duration
	// OpenWork is the work in requests that a new flow is expected to bring in a window.
	OpenWork float64
	// Excess is how far an upstream of the own data centre may exceed its service's mean, as a
	// part of it, before a flow goes to another data centre.
	Excess float64
	// ReportAge is the age after which a peer's report no longer counts.
	ReportAge time.Duration
	Random    *rand.Rand
}

// DefaultConfig returns the weights that the daemon uses.
func DefaultConfig(random *rand.Rand) Config {
	return Config{
		// Long enough for a flow with pauses of seconds to count at all times.
		Window: 4 * time.Second,
		// Of one to two requests a second, as Callers with long flows send them, over the window.
		OpenWork: 5,
		// At the load for which sites are sized (about half), the own upstreams stay under three quarters.
		Excess: 0.5,
		// Three reports of one second may be lost.
		ReportAge: 4 * time.Second,
		Random:    random,
	}
}

// Candidate is an upstream that may be chosen.
type Candidate struct {
	ID rattanwood.UpstreamID
	// Capacity is the number of requests that it can serve at one time.
	Capacity float64
	// Local is set for upstreams of the own data centre.
	Local bool
}

type counter struct {
	work float64
	at   time.Duration
}

type report struct {
	work float64
	at   time.Duration
}

type reportKey struct {
	vm rattanwood.VMID
	id rattanwood.UpstreamID
}

// Placer holds the work by upstream. It isn't safe for concurrent use.
type Placer struct {
	cfg     Config
	own     map[rattanwood.UpstreamID]counter
	reports map[reportKey]report
	// others is the sum of the peers' reports, brought up to date by Tick.
	others map[rattanwood.UpstreamID]float64
}

// New returns a placer that knows of no work.
func New(cfg Config) *Placer {
	return &Placer{
		cfg:     cfg,
		own:     map[rattanwood.UpstreamID]counter{},
		reports: map[reportKey]report{},
		others:  map[rattanwood.UpstreamID]float64{},
	}
}

// Open counts a flow that was placed on an upstream.
func (p *Placer) Open(now time.Duration, id rattanwood.UpstreamID) { p.add(now, id, p.cfg.OpenWork) }

// Request counts a request that was forwarded to an upstream.
func (p *Placer) Request(now time.Duration, id rattanwood.UpstreamID) { p.add(now, id, 1) }

func (p *Placer) add(now time.Duration, id rattanwood.UpstreamID, work float64) {
	p.own[id] = counter{work: p.decayed(now, p.own[id]) + work, at: now}
}

func (p *Placer) decayed(now time.Duration, c counter) float64 {
	if c.work == 0 {
		return 0
	}
	return c.work * math.Exp(-float64(now-c.at)/float64(p.cfg.Window))
}

// Own returns the work that this balancer gave to an upstream.
func (p *Placer) Own(now time.Duration, id rattanwood.UpstreamID) float64 {
	return p.decayed(now, p.own[id])
}

// Merge takes in what a peer gave to an upstream.
func (p *Placer) Merge(now time.Duration, vm rattanwood.VMID, id rattanwood.UpstreamID, work float64) {
	key := reportKey{vm: vm, id: id}
	p.others[id] += work - p.reports[key].work
	p.reports[key] = report{work: work, at: now}
}

// Tick drops reports that are too old.
func (p *Placer) Tick(now time.Duration) {
	clear(p.others)
	for key, r := range p.reports {
		if now-r.at > p.cfg.ReportAge {
			delete(p.reports, key)
			continue
		}
		p.others[key.id] += r.work
	}
	for id, c := range p.own {
		if p.decayed(now, c) < 0.01 {
			delete(p.own, id)
		}
	}
}

// Load returns the work of an upstream as far as it is known here.
func (p *Placer) Load(now time.Duration, id rattanwood.UpstreamID) float64 {
	return p.decayed(now, p.own[id]) + max(p.others[id], 0)
}

func (p *Placer) relative(now time.Duration, c Candidate) float64 {
	return p.Load(now, c.ID) / c.Capacity
}

// Pick returns an index into candidates, or -1 if there are none.
func (p *Placer) Pick(now time.Duration, candidates []Candidate) int {
	if len(candidates) == 0 {
		return -1
	}
	var local []int
	var work, capacity float64
	all := make([]int, len(candidates))
	for i, c := range candidates {
		all[i] = i
		if c.Local {
			local = append(local, i)
		}
		work += p.Load(now, c.ID)
		capacity += c.Capacity
	}
	if len(local) > 0 {
		best := p.twoChoices(now, candidates, local)
		// A new flow's own work keeps the bound from biting while hardly anything runs.
		bound := (1+p.cfg.Excess)*work/capacity + p.cfg.OpenWork/candidates[best].Capacity
		if p.relative(now, candidates[best]) <= bound {
			return best
		}
	}
	return p.twoChoices(now, candidates, all)
}

// twoChoices returns the less loaded of two different members of from, which is not empty.
func (p *Placer) twoChoices(now time.Duration, candidates []Candidate, from []int) int {
	i := p.cfg.Random.IntN(len(from))
	a := from[i]
	if len(from) == 1 {
		return a
	}
	j := p.cfg.Random.IntN(len(from) - 1)
	if j >= i {
		j++
	}
	b := from[j]
	if p.relative(now, candidates[b]) < p.relative(now, candidates[a]) {
		return b
	}
	return a
}
