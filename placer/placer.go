// Package placer chooses upstreams for new flows by the load that all balancers put on them lately.
//
// A choice takes the better of two upstreams drawn at random (Mitzenmacher, "The power of two
// choices", 2001). That balances even when reports are late: an upstream that looks idle to every
// balancer doesn't get every flow. Upstreams of the balancer's own data centre are preferred until
// they carry more than their share (bounded loads; Mirrokni, Thorup and Zadimoghaddam, 2016).
//
// A failed request weighs as much as many that succeed, since an upstream that fails requests at
// once, or whose Callers give up, looks less loaded than the others. A weight, unlike an exclusion,
// can't empty a service by mistake: where all fail alike, all are used alike.
package placer

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"example.org/rattanwood"
)

// Config holds the settings of a Placer.
type Config struct {
	// DataCentre is the data centre of this balancer.
	DataCentre rattanwood.DataCentre
	// Window is the time in which the weight of past load decays to 1/e.
	Window time.Duration
	// ExpectedFlowLoad is the number of requests that a long flow is expected to send in a window.
	ExpectedFlowLoad float64
	// Excess is the fraction by which the load of an upstream in the own data centre may exceed the
	// mean of its service before new flows spill over to other data centres.
	Excess float64
	// FailureLoad is the least number of requests that a failed one counts for; it counts for the
	// mean load of the service's upstreams if that is more.
	FailureLoad float64
	// ReportTTL is the age after which a peer's report no longer counts, and RemoteReportTTL the same for
	// a peer in another data centre.
	ReportTTL, RemoteReportTTL time.Duration
	Random                     *rand.Rand
}

// DefaultConfig returns the settings that the daemon uses.
func DefaultConfig(random *rand.Rand) Config {
	return Config{
		// Long enough that a flow with pauses of seconds counts at all times.
		Window: 4 * time.Second,
		// Callers with long flows send one to two requests a second; this is their number over the
		// window.
		ExpectedFlowLoad: 5,
		// At the load that sites are sized for (about half), upstreams in the own data centre stay
		// below three quarters.
		Excess: 0.5,
		// The load of four new flows, so that one failure diverts flows where little load is known.
		FailureLoad: 20,
		// Three reports, sent once a second, may be lost.
		ReportTTL: 4 * time.Second,
		// Three reports, sent every third round, may be lost.
		RemoteReportTTL: 12 * time.Second,
		Random:          random,
	}
}

// Candidate is an upstream that may be chosen.
type Candidate struct {
	ID rattanwood.UpstreamID
	// Capacity is the number of requests that it can serve concurrently.
	Capacity float64
	// Local is true for upstreams in the balancer's own data centre.
	Local bool
}

// Load is the number of requests that an upstream was given lately, decayed over the window. A request that
// took longer than others counts for more.
type Load struct {
	Requests float64
	// Failures are the requests that were not answered, or only by what looks like an error.
	Failures float64
}

func (l Load) times(f float64) Load {
	return Load{Requests: l.Requests * f, Failures: l.Failures * f}
}

func (l Load) plus(other Load) Load {
	return Load{Requests: l.Requests + other.Requests, Failures: l.Failures + other.Failures}
}

// timedLoad is a load as of a point in time.
type timedLoad struct {
	Load
	at time.Duration
}

// peerReport is the load that a peer reports to have put on an upstream.
type peerReport struct {
	timedLoad
	dataCentre rattanwood.DataCentre
}

type reportKey struct {
	vm rattanwood.VMID
	id rattanwood.UpstreamID
}

// Placer holds the load by upstream. It isn't safe for concurrent use.
type Placer struct {
	cfg Config
	// ownLoad is the load that this balancer put on each upstream.
	ownLoad map[rattanwood.UpstreamID]timedLoad
	reports map[reportKey]peerReport
	// peerLoad is the sum of the peers' reports, with the requests of each data centre multiplied
	// by its scale. MergeReport updates it, and Tick computes it afresh.
	peerLoad map[rattanwood.UpstreamID]Load
	// scales holds for each data centre the number of its balancers divided by the number whose
	// load is known here. Fewer balancers of a remote data centre report here, and without the
	// factor the upstreams that they use would look idle.
	scales map[rattanwood.DataCentre]float64
	// reportedFailures holds the highest number of failures that a peer reported, which may include
	// those that other balancers in the fleet counted.
	reportedFailures map[rattanwood.UpstreamID]timedLoad
}

// New returns a Placer that knows of no load.
func New(cfg Config) *Placer {
	return &Placer{
		cfg:              cfg,
		ownLoad:          map[rattanwood.UpstreamID]timedLoad{},
		reports:          map[reportKey]peerReport{},
		peerLoad:         map[rattanwood.UpstreamID]Load{},
		reportedFailures: map[rattanwood.UpstreamID]timedLoad{},
		scales:           map[rattanwood.DataCentre]float64{},
	}
}

// AddFlow counts a flow that was placed on an upstream, with the number of requests that it is expected to
// send in a window. The number is limited to ExpectedFlowLoad.
func (p *Placer) AddFlow(now time.Duration, id rattanwood.UpstreamID, expected float64) {
	p.addLoad(now, id, Load{Requests: min(expected, p.cfg.ExpectedFlowLoad)})
}

// maxSlowness limits what a single slow response counts for.
const maxSlowness = 8

// AddResponse corrects the load for a request that took slowness times as long as others of its route. An
// upstream that is slow, or has a queue, so gets fewer flows.
func (p *Placer) AddResponse(now time.Duration, id rattanwood.UpstreamID, slowness float64) {
	own := p.OwnLoad(now, id)
	own.Requests = max(own.Requests+min(slowness, maxSlowness)-1, 0)
	p.ownLoad[id] = timedLoad{Load: own, at: now}
}

// AddRequest counts a request that was forwarded to an upstream.
func (p *Placer) AddRequest(now time.Duration, id rattanwood.UpstreamID) {
	p.addLoad(now, id, Load{Requests: 1})
}

// AddFailure counts a request that an upstream failed.
func (p *Placer) AddFailure(now time.Duration, id rattanwood.UpstreamID) {
	p.addLoad(now, id, Load{Failures: 1})
}

func (p *Placer) addLoad(now time.Duration, id rattanwood.UpstreamID, l Load) {
	p.ownLoad[id] = timedLoad{Load: p.OwnLoad(now, id).plus(l), at: now}
}

// OwnLoad returns the load that this balancer put on an upstream.
func (p *Placer) OwnLoad(now time.Duration, id rattanwood.UpstreamID) Load {
	return p.decayed(now, p.ownLoad[id])
}

// Loaded returns the upstreams on which this balancer put load lately, or of which it knows failures, in ascending
// order.
func (p *Placer) Loaded() []rattanwood.UpstreamID {
	ids := slices.Collect(maps.Keys(p.ownLoad))
	ids = slices.AppendSeq(ids, maps.Keys(p.reportedFailures))
	for id, l := range p.peerLoad {
		if l.Failures > 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

func (p *Placer) decayed(now time.Duration, l timedLoad) Load {
	if l.Load == (Load{}) {
		return Load{}
	}
	return l.times(math.Exp(-float64(now-l.at) / float64(p.cfg.Window)))
}

// KnownFailures returns how many requests an upstream failed, as far as is known here. A peer's number
// includes what it learned from its own peers; of several numbers the highest holds, so that no
// failure counts twice on its way through the fleet.
func (p *Placer) KnownFailures(now time.Duration, id rattanwood.UpstreamID) float64 {
	counted := p.OwnLoad(now, id).Failures + p.peerLoad[id].Failures
	return max(counted, p.decayed(now, p.reportedFailures[id]).Failures, 0)
}

// MergeFailures records the number of failures that a peer knows of, and reports whether it is so
// much higher than the number known here that it should be passed on.
func (p *Placer) MergeFailures(now time.Duration, id rattanwood.UpstreamID, failures float64) bool {
	known := p.KnownFailures(now, id)
	if failures > p.decayed(now, p.reportedFailures[id]).Failures {
		p.reportedFailures[id] = timedLoad{Load: Load{Failures: failures}, at: now}
	}
	return failures >= known+minNewFailures
}

// minNewFailures is the number of failures by which a peer's number must exceed the known one to be
// worth passing on.
const minNewFailures = 0.5

// MergeReport records the load that a peer put on an upstream; it replaces the peer's earlier
// report.
func (p *Placer) MergeReport(now time.Duration, vm rattanwood.VMID, centre rattanwood.DataCentre, id rattanwood.UpstreamID, l Load) {
	key := reportKey{vm: vm, id: id}
	old := p.reports[key]
	p.reports[key] = peerReport{timedLoad: timedLoad{Load: l, at: now}, dataCentre: centre}
	p.peerLoad[id] = p.peerLoad[id].plus(p.scaled(l, centre)).plus(p.scaled(old.Load, old.dataCentre).times(-1))
}

func (p *Placer) scaled(l Load, centre rattanwood.DataCentre) Load {
	l.Requests *= p.scale(centre)
	return l
}

func (p *Placer) scale(centre rattanwood.DataCentre) float64 { return max(p.scales[centre], 1) }

// Tick drops reports that are too old and computes the scales afresh. Members is the number of
// balancers in each data centre, this one included.
func (p *Placer) Tick(now time.Duration, members map[rattanwood.DataCentre]int) {
	// The empty VMID stands for this balancer, whose own load is always known.
	reporters := map[rattanwood.DataCentre]map[rattanwood.VMID]bool{p.cfg.DataCentre: {"": true}}
	for key, r := range p.reports {
		ttl := p.cfg.ReportTTL
		if r.dataCentre != p.cfg.DataCentre {
			ttl = p.cfg.RemoteReportTTL
		}
		if now-r.at > ttl {
			delete(p.reports, key)
			continue
		}
		if reporters[r.dataCentre] == nil {
			reporters[r.dataCentre] = map[rattanwood.VMID]bool{}
		}
		reporters[r.dataCentre][key.vm] = true
	}
	clear(p.scales)
	for centre, n := range members {
		if len(reporters[centre]) > 0 {
			p.scales[centre] = float64(n) / float64(len(reporters[centre]))
		}
	}
	clear(p.peerLoad)
	for key, r := range p.reports {
		p.peerLoad[key.id] = p.peerLoad[key.id].plus(p.scaled(r.Load, r.dataCentre))
	}
	// Entries of less than 0.01 requests or failures no longer make a difference.
	for id := range p.ownLoad {
		if l := p.OwnLoad(now, id); l.Requests+l.Failures < 0.01 {
			delete(p.ownLoad, id)
		}
	}
	for id, r := range p.reportedFailures {
		if p.decayed(now, r).Failures < 0.01 {
			delete(p.reportedFailures, id)
		}
	}
}

// SteadyLoad returns the load of an upstream that gets a number of new flows a second, each with a request.
func (p *Placer) SteadyLoad(flowsPerSecond float64) float64 {
	return flowsPerSecond * p.cfg.Window.Seconds()
}

// Load returns the load of an upstream, extrapolated from the balancers whose load is known here.
func (p *Placer) Load(now time.Duration, id rattanwood.UpstreamID) Load {
	own := p.scaled(p.OwnLoad(now, id), p.cfg.DataCentre)
	return Load{Requests: max(own.plus(p.peerLoad[id]).Requests, 0), Failures: p.KnownFailures(now, id)}
}

// chanceFailures is the number of failures of an upstream that may be due to chance, such as a
// Caller that gave up. usualFailureFactor is the multiple of its service's mean failure rate up to
// which an upstream's failures are taken for chance as well.
const (
	chanceFailures     = 0.2
	usualFailureFactor = 2
)

// UnusualFailures returns for each of some upstreams the number of recent failed requests that neither chance nor what
// all have in common explains.
func (p *Placer) UnusualFailures(now time.Duration, ids []rattanwood.UpstreamID) []float64 {
	loads := make([]Load, len(ids))
	for i, id := range ids {
		loads[i] = p.Load(now, id)
	}
	return unusualFailures(loads)
}

func unusualFailures(loads []Load) []float64 {
	var total Load
	for _, l := range loads {
		total = total.plus(l)
	}
	rate := 0.0
	if total.Requests > 0 {
		rate = total.Failures / total.Requests
	}
	out := make([]float64, len(loads))
	for i, l := range loads {
		out[i] = max(l.Failures-chanceFailures-usualFailureFactor*rate*l.Requests, 0)
	}
	return out
}

// weightedLoads returns the load per slot of each candidate, including its failures, and the mean
// without failures.
func (p *Placer) weightedLoads(now time.Duration, candidates []Candidate) (loads []float64, mean float64) {
	loads = make([]float64, len(candidates))
	byCandidate := make([]Load, len(candidates))
	var total Load
	capacity := 0.0
	for i, c := range candidates {
		byCandidate[i] = p.Load(now, c.ID)
		total = total.plus(byCandidate[i])
		capacity += c.Capacity
	}
	failures := unusualFailures(byCandidate)
	failureCost := max(p.cfg.FailureLoad, total.Requests/float64(len(candidates)))
	for i, c := range candidates {
		loads[i] = (byCandidate[i].Requests + failureCost*failures[i]) / c.Capacity
	}
	return loads, total.Requests / capacity
}

// Pick returns the index of the chosen candidate, or -1 if there are none.
func (p *Placer) Pick(now time.Duration, candidates []Candidate) int {
	if len(candidates) == 0 {
		return -1
	}
	loads, mean := p.weightedLoads(now, candidates)
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
		// Adding a new flow's own load keeps the bound from applying while there is hardly any load.
		if loads[best] <= (1+p.cfg.Excess)*mean+p.cfg.ExpectedFlowLoad/candidates[best].Capacity {
			return best
		}
	}
	return p.twoChoices(loads, all)
}

// twoChoices returns the less loaded of two different members of from, drawn at random. From must
// not be empty.
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
