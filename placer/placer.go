// Package placer chooses upstreams for new flows by the work that all balancers gave them lately.
//
// A choice takes the better of two upstreams drawn at random (Mitzenmacher,
// "The power of two choices", 2001), which stays even when reports are late:
// an upstream that looks empty to everybody doesn't get every flow. Upstreams of
// the own data centre go first until they carry more than their share (bounded
// loads; Mirrokni, Thorup and Zadimoghaddam, 2016).
//
// Requests that fail weigh as much as many that don't, since an upstream that fails them at once, or whose Callers
// give up, looks emptier than the others. A weight, unlike a verdict, can't empty a
// service by mistake: where all fail alike, all are used alike.
package placer

import (
	"math"
	"math/rand/v2"
	"time"

	"example.org/rattanwood"
)

// Config builds a Placer.
type Config struct {
	// DataCentre is this balancer's.
	DataCentre rattanwood.DataCentre
	// Window is the time in which the weight of past work falls to 1/e.
	Window time.Duration
	// ExpectedFlowWork is the work in requests that a new flow is expected to bring in a window.
	ExpectedFlowWork float64
	// Excess is how far an upstream of the own data centre may exceed its service's mean, as a
	// part of it, before a flow goes to another data centre.
	Excess float64
	// FailureWork is the least work that a failed request counts for; it counts for the mean work of the service's
	// upstreams if that is more.
	FailureWork float64
	// ReportTTL is the age after which a peer's report no longer counts.
	ReportTTL time.Duration
	Random    *rand.Rand
}

// DefaultConfig returns the weights that the daemon uses.
func DefaultConfig(random *rand.Rand) Config {
	return Config{
		// Long enough for a flow with pauses of seconds to count at all times.
		Window: 4 * time.Second,
		// Of one to two requests a second, as Callers with long flows send them, over the window.
		ExpectedFlowWork: 5,
		// At the load for which sites are sized (about half), the own upstreams stay under three quarters.
		Excess: 0.5,
		// Four new flows, so that one failure turns others away where little work is known.
		FailureWork: 20,
		// Three reports of one second may be lost.
		ReportTTL: 4 * time.Second,
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

// Work is what an upstream was given lately, in requests, decayed over the window.
type Work struct {
	Requests float64
	// Failures are those that were not answered, or not well.
	Failures float64
}

func (w Work) times(f float64) Work {
	return Work{Requests: w.Requests * f, Failures: w.Failures * f}
}

func (w Work) plus(v Work) Work {
	return Work{Requests: w.Requests + v.Requests, Failures: w.Failures + v.Failures}
}

// stamped is work as of a time.
type stamped struct {
	Work
	at time.Duration
}

// report is what a peer said of its work.
type report struct {
	stamped
	centre rattanwood.DataCentre
}

type reportKey struct {
	vm rattanwood.VMID
	id rattanwood.UpstreamID
}

// Placer holds the work by upstream. It isn't safe for concurrent use.
type Placer struct {
	cfg     Config
	own     map[rattanwood.UpstreamID]stamped
	reports map[reportKey]report
	// others is the sum of the peers' reports, brought up to date by Tick, with the requests of each data centre
	// multiplied by its scale.
	others map[rattanwood.UpstreamID]Work
	// scales are the members of each data centre for one whose work is known. The work of far ones is known in smaller part, and
	// the upstreams that they use would look idle.
	scales map[rattanwood.DataCentre]float64
	// rumours are the most failures that anybody counted, wherever in the fleet.
	rumours map[rattanwood.UpstreamID]stamped
}

// New returns a placer that knows of no work.
func New(cfg Config) *Placer {
	return &Placer{
		cfg:     cfg,
		own:     map[rattanwood.UpstreamID]stamped{},
		reports: map[reportKey]report{},
		others:  map[rattanwood.UpstreamID]Work{},
		rumours: map[rattanwood.UpstreamID]stamped{},
		scales:  map[rattanwood.DataCentre]float64{},
	}
}

// AddFlow counts a flow that was placed on an upstream.
func (p *Placer) AddFlow(now time.Duration, id rattanwood.UpstreamID) {
	p.add(now, id, Work{Requests: p.cfg.ExpectedFlowWork})
}

// AddRequest counts a request that was forwarded to an upstream.
func (p *Placer) AddRequest(now time.Duration, id rattanwood.UpstreamID) {
	p.add(now, id, Work{Requests: 1})
}

// AddFailure counts a request that an upstream didn't answer, or not well.
func (p *Placer) AddFailure(now time.Duration, id rattanwood.UpstreamID) {
	p.add(now, id, Work{Failures: 1})
}

func (p *Placer) add(now time.Duration, id rattanwood.UpstreamID, w Work) {
	p.own[id] = stamped{Work: p.OwnWork(now, id).plus(w), at: now}
}

// OwnWork returns the work that this balancer gave to an upstream.
func (p *Placer) OwnWork(now time.Duration, id rattanwood.UpstreamID) Work {
	return p.decayed(now, p.own[id])
}

func (p *Placer) decayed(now time.Duration, w stamped) Work {
	if w.Work == (Work{}) {
		return Work{}
	}
	return w.times(math.Exp(-float64(now-w.at) / float64(p.cfg.Window)))
}

// Failures returns how many requests an upstream failed, as far as is known here. A peer counts those that it hears of from its
// own peers; of what several counted, the most holds, so that nothing counts twice on its way through the fleet.
func (p *Placer) Failures(now time.Duration, id rattanwood.UpstreamID) float64 {
	counted := p.OwnWork(now, id).Failures + p.others[id].Failures
	return max(counted, p.decayed(now, p.rumours[id]).Failures, 0)
}

// MergeFailures takes in a peer's Failures and reports whether they are news.
func (p *Placer) MergeFailures(now time.Duration, id rattanwood.UpstreamID, failures float64) bool {
	known := p.Failures(now, id)
	if failures > p.decayed(now, p.rumours[id]).Failures {
		p.rumours[id] = stamped{Work: Work{Failures: failures}, at: now}
	}
	return failures >= known+newsLeast
}

// newsLeast is the number of failures by which a rumour must exceed what is known to be worth passing on.
const newsLeast = 0.5

// MergeReport takes in what a peer gave to an upstream.
func (p *Placer) MergeReport(now time.Duration, vm rattanwood.VMID, centre rattanwood.DataCentre, id rattanwood.UpstreamID, w Work) {
	key := reportKey{vm: vm, id: id}
	old := p.reports[key]
	p.reports[key] = report{stamped: stamped{Work: w, at: now}, centre: centre}
	p.others[id] = p.others[id].plus(p.scaled(w, centre)).plus(p.scaled(old.Work, old.centre).times(-1))
}

func (p *Placer) scaled(w Work, centre rattanwood.DataCentre) Work {
	w.Requests *= p.scale(centre)
	return w
}

func (p *Placer) scale(centre rattanwood.DataCentre) float64 { return max(p.scales[centre], 1) }

// Tick drops reports that are too old. Members is the number of balancers in each data centre, this one included.
func (p *Placer) Tick(now time.Duration, members map[rattanwood.DataCentre]int) {
	heard := map[rattanwood.DataCentre]map[rattanwood.VMID]bool{p.cfg.DataCentre: {"": true}}
	for key, r := range p.reports {
		if now-r.at > p.cfg.ReportTTL {
			delete(p.reports, key)
			continue
		}
		if heard[r.centre] == nil {
			heard[r.centre] = map[rattanwood.VMID]bool{}
		}
		heard[r.centre][key.vm] = true
	}
	clear(p.scales)
	for centre, n := range members {
		if len(heard[centre]) > 0 {
			p.scales[centre] = float64(n) / float64(len(heard[centre]))
		}
	}
	clear(p.others)
	for key, r := range p.reports {
		p.others[key.id] = p.others[key.id].plus(p.scaled(r.Work, r.centre))
	}
	for id := range p.own {
		if w := p.OwnWork(now, id); w.Requests+w.Failures < 0.01 {
			delete(p.own, id)
		}
	}
	for id, r := range p.rumours {
		if p.decayed(now, r).Failures < 0.01 {
			delete(p.rumours, id)
		}
	}
}

// Load returns the work of an upstream, reckoned from the part that is known here.
func (p *Placer) Load(now time.Duration, id rattanwood.UpstreamID) Work {
	own := p.scaled(p.OwnWork(now, id), p.cfg.DataCentre)
	return Work{Requests: max(own.plus(p.others[id]).Requests, 0), Failures: p.Failures(now, id)}
}

// chance is the number of failures of an upstream that may be chance, such as a Caller that gave up,
// and usual is how many times the failures of its service's mean are no more than that.
const (
	chance = 0.2
	usual  = 2
)

// weigh returns the load of each candidate for one of its slots, with its failures, and the mean without them.
func (p *Placer) weigh(now time.Duration, candidates []Candidate) (loads []float64, mean float64) {
	loads = make([]float64, len(candidates))
	works := make([]Work, len(candidates))
	var total Work
	capacity := 0.0
	for i, c := range candidates {
		works[i] = p.Load(now, c.ID)
		total = total.plus(works[i])
		capacity += c.Capacity
	}
	rate := 0.0
	if total.Requests > 0 {
		rate = total.Failures / total.Requests
	}
	price := max(p.cfg.FailureWork, total.Requests/float64(len(candidates)))
	for i, c := range candidates {
		excess := max(works[i].Failures-chance-usual*rate*works[i].Requests, 0)
		loads[i] = (works[i].Requests + price*excess) / c.Capacity
	}
	return loads, total.Requests / capacity
}

// Pick returns an index into candidates, or -1 if there are none.
func (p *Placer) Pick(now time.Duration, candidates []Candidate) int {
	if len(candidates) == 0 {
		return -1
	}
	loads, mean := p.weigh(now, candidates)
	var local []int
	all := make([]int, len(candidates))
	for i, c := range candidates {
		all[i] = i
		if c.Local {
			local = append(local, i)
		}
	}
	if len(local) > 0 {
		best := p.twoChoices(loads, local)
		// A new flow's own work keeps the bound from biting while hardly anything runs.
		if loads[best] <= (1+p.cfg.Excess)*mean+p.cfg.ExpectedFlowWork/candidates[best].Capacity {
			return best
		}
	}
	return p.twoChoices(loads, all)
}

// twoChoices returns the less loaded of two different members of from, which is not empty.
func (p *Placer) twoChoices(loads []float64, from []int) int {
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
	if loads[b] < loads[a] {
		return b
	}
	return a
}
