package admitter

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"example.org/rattanwood"
)

const (
	// minWorkSamples is the number of responses from which on the measured work of a level is trusted.
	minWorkSamples = 20
	// workSamples is the number of responses that the work is averaged over.
	workSamples = 200
	// minRequests is the number of requests in a flow from which on a level's flows count as long.
	minRequests = 1.2
	// idleWindows is the number of flow windows after which an unused level is forgotten.
	idleWindows = 10
)

// meter is a rate that is averaged over a window with exponential decay.
type meter struct {
	window time.Duration
	count  float64
	at     time.Duration
}

func (m *meter) add(now time.Duration) {
	m.count = m.decayed(now) + 1
	m.at = now
}

func (m *meter) decayed(now time.Duration) float64 {
	if m.count == 0 {
		return 0
	}
	return m.count * math.Exp(-float64(now-m.at)/float64(m.window))
}

// rate returns the number per second.
func (m *meter) rate(now time.Duration) float64 { return m.decayed(now) / m.window.Seconds() }

// demand is load in slots.
type demand struct{ offered, admitted float64 }

func (d demand) plus(o demand, factor float64) demand {
	return demand{offered: d.offered + factor*o.offered, admitted: d.admitted + factor*o.admitted}
}

// levelState is what this balancer knows of the offers of one level.
type levelState struct {
	level Level
	// usedAt is the time of the last offer, request or report.
	usedAt time.Duration
	// offers and admissions are short-term rates; flows and requests count what was admitted and what was
	// sent on it, in the long term.
	offers, admissions, flows, requests meter
	// work is the mean time in seconds that a request occupies a slot.
	work    float64
	samples int
	// fraction of the offers is admitted, and credit carries what is left over from offer to offer.
	fraction, credit float64
}

func newLevelState(level Level, cfg Config) *levelState {
	return &levelState{
		level:  level,
		offers: meter{window: cfg.DemandWindow}, admissions: meter{window: cfg.DemandWindow},
		flows: meter{window: cfg.FlowWindow}, requests: meter{window: cfg.FlowWindow},
		fraction: 1, credit: randomCredit(cfg.Random),
	}
}

// randomCredit keeps balancers from admitting in step.
func randomCredit(r *rand.Rand) float64 {
	if r == nil {
		return 0
	}
	return r.Float64()
}

// thin admits the fraction of the offers, evenly spaced.
func (l *levelState) thin() bool {
	l.credit += l.fraction
	if l.credit < 1 {
		return false
	}
	l.credit--
	return true
}

// addWork averages the time that a request occupies a slot. At the limit the time includes waiting in the
// upstream's queue, so only the first samples are taken there.
func (l *levelState) addWork(s *service, seconds float64) {
	s.addDelay(seconds, l)
	if l.samples >= minWorkSamples && !s.hasRoom() {
		return
	}
	l.samples = min(l.samples+1, workSamples)
	l.work += (seconds - l.work) / float64(l.samples)
}

// peer is the demand that another balancer reported.
type peer struct {
	vm         rattanwood.VMID
	dataCentre rattanwood.DataCentre
	at         time.Duration
	loads      []peerDemand
}

// peerDemand is the demand that another balancer reported for a level, and the recent offers of this balancer
// at that time.
type peerDemand struct {
	demand
	level     Level
	ownOffers float64
}

// sureDeviations is the number of standard deviations by which a change of the own offers must exceed chance.
const sureDeviations = 3

// change returns the ratio of two numbers of recent offers, less what may be chance.
func change(from, to float64) float64 {
	ratio := math.Log((to + 1) / (from + 1))
	// A number with exponential decay has half the variance of a plain one.
	chance := sureDeviations * math.Sqrt(0.5/(to+1)+0.5/(from+1))
	return math.Exp(math.Copysign(max(math.Abs(ratio)-chance, 0), ratio))
}

// level returns the state of a level and creates it if needed.
func (s *service) level(now time.Duration, level Level) *levelState {
	i, found := slices.BinarySearchFunc(s.levels, level, func(l *levelState, level Level) int { return cmp.Compare(l.level, level) })
	if !found {
		s.levels = slices.Insert(s.levels, i, newLevelState(level, s.cfg))
	}
	s.levels[i].usedAt = now
	return s.levels[i]
}

// peer returns the state of another balancer and creates it if needed.
func (s *service) peer(vm rattanwood.VMID) *peer {
	i, found := slices.BinarySearchFunc(s.peers, vm, func(p *peer, vm rattanwood.VMID) int { return cmp.Compare(p.vm, vm) })
	if !found {
		s.peers = slices.Insert(s.peers, i, &peer{vm: vm})
	}
	return s.peers[i]
}

// workOf returns the work of a level's requests, or the mean of the service if it isn't measured; zero
// means unknown.
func (s *service) workOf(l *levelState) float64 {
	if l.samples >= minWorkSamples {
		return l.work
	}
	sum, n := 0.0, 0
	for _, other := range s.levels {
		if other.samples >= minWorkSamples {
			sum += other.work
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// cost returns the slot-seconds that a flow of a level takes.
func (s *service) cost(now time.Duration, l *levelState) float64 {
	cost := s.workOf(l)
	if flows := l.flows.decayed(now); flows >= minWorkSamples {
		if requests := l.requests.decayed(now) / flows; requests > minRequests {
			cost *= requests
		}
	}
	return cost
}

// fleetDemand extrapolates the demand of each level from the balancers whose demand is known here. The fabric
// spreads offers evenly over the balancers of a data centre, so the mean of some stands for all, and a
// data centre that isn't heard from is taken to be like this one. What a peer reported is taken to have
// changed since as much as this balancer's own offers did.
func (a *Admitter) fleetDemand(now time.Duration, s *service) []demand {
	out := make([]demand, len(s.levels))
	weights := map[rattanwood.DataCentre]float64{a.cfg.DataCentre: 1}
	for _, p := range s.peers {
		weights[p.dataCentre] += a.weight(now, p)
	}
	ownShare := 0.0
	for _, dc := range a.centres {
		if weights[dc.name] == 0 || dc.name == a.cfg.DataCentre {
			ownShare += dc.members / max(weights[dc.name], 1)
		}
	}
	for i, l := range s.levels {
		out[i] = out[i].plus(s.ownDemand(now, l), ownShare)
	}
	for _, p := range s.peers {
		weight := a.weight(now, p)
		if weight == 0 {
			// It is so old that the weights of its data centre may be zero in sum.
			continue
		}
		scale := a.membersOf(p.dataCentre) * weight / weights[p.dataCentre]
		for _, d := range p.loads {
			i := slices.IndexFunc(s.levels, func(l *levelState) bool { return l.level == d.level })
			if i < 0 {
				continue
			}
			d.offered *= change(d.ownOffers, s.levels[i].offers.decayed(now))
			out[i] = out[i].plus(d.demand, scale)
		}
	}
	return out
}

// ownDemand returns the demand of a level at this balancer.
func (s *service) ownDemand(now time.Duration, l *levelState) demand {
	cost := s.cost(now, l)
	return demand{offered: l.offers.rate(now) * cost, admitted: l.admissions.rate(now) * cost}
}

// centre is a data centre with the number of its balancers.
type centre struct {
	name    rattanwood.DataCentre
	members float64
}

// membersOf returns the number of balancers in a data centre.
func (a *Admitter) membersOf(dc rattanwood.DataCentre) float64 {
	for _, c := range a.centres {
		if c.name == dc {
			return c.members
		}
	}
	return 0
}

// weight makes later reports count for more.
func (a *Admitter) weight(now time.Duration, p *peer) float64 {
	return math.Exp(-float64(now-p.at) / float64(a.cfg.ReportWindow))
}

// evaluate computes the fraction of each level that the service can bear.
func (a *Admitter) evaluate(now time.Duration, s *service) {
	elapsed := now - s.evaluatedAt
	s.evaluatedAt, s.oldestReport = now, now
	for _, p := range s.peers {
		s.oldestReport = min(s.oldestReport, p.at)
	}
	s.load, s.limit = 0, 0
	if s.slots == 0 {
		s.busy = false
	}
	if len(a.centres) == 0 || s.slots == 0 || !s.measured() {
		for _, l := range s.levels {
			l.fraction = 1
		}
		return
	}
	fleet := a.fleetDemand(now, s)
	total := demand{}
	for _, d := range fleet {
		total = total.plus(d, 1)
	}
	s.load, s.limit = total.offered, s.factor*s.slots
	if s.load >= busyLoad*s.slots {
		s.busy = true
	} else if s.load < calmLoad*s.slots {
		s.busy = false
	}
	s.agree(elapsed, total)
	s.limit = s.factor * s.slots
	left := s.limit
	for i, l := range s.levels {
		l.fraction = 1
		if offered := fleet[i].offered; offered > left {
			l.fraction = max(left, 0) / offered
		}
		left -= fleet[i].offered
	}
}

// expire drops reports and levels that are too old to count.
func (s *service) expire(now time.Duration, cfg Config) {
	s.peers = slices.DeleteFunc(s.peers, func(p *peer) bool {
		if p.dataCentre == cfg.DataCentre {
			return now-p.at > cfg.ReportTTL
		}
		return now-p.at > cfg.RemoteReportTTL
	})
	s.levels = slices.DeleteFunc(s.levels, func(l *levelState) bool { return now-l.usedAt > idleWindows*cfg.FlowWindow })
}
