package admitter

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// sketchRows and sketchWidth are the dimensions of a sketch. With 1,000 Callers at a balancer, a
	// Caller's count is too high by more than a few thousandths of the total only once in 50.
	sketchRows, sketchWidth = 4, 1024
	// minCallerOffers is the number of recent offers below which a Caller's load is taken for chance.
	minCallerOffers = 8
	// callerSamples is the number of offers that the mean load of a Caller is taken over.
	callerSamples = 500
	// rebaseAge is the number of windows after which the weights of a sketch are scaled down.
	rebaseAge = 20
)

// sketch estimates rates by key with exponential decay, in bounded space (count-min sketch; Cormode and
// Muthukrishnan, 2005). Later counts weigh more instead of earlier ones less.
type sketch struct {
	window time.Duration
	cells  [sketchRows][sketchWidth]float64
	start  time.Duration
	base   time.Duration
	used   bool
}

// add counts an event of a key.
func (k *sketch) add(now time.Duration, key uint64) {
	weight := k.weight(now)
	for row := range sketchRows {
		k.cells[row][index(key, row)] += weight
	}
}

// rate returns the rate of a key's events per second, which may be too high.
func (k *sketch) rate(now time.Duration, key uint64) float64 {
	least := math.Inf(1)
	for row := range sketchRows {
		least = min(least, k.cells[row][index(key, row)])
	}
	return least / k.weight(now) / span(k.window, now-k.start)
}

func index(key uint64, row int) int { return int(key >> (16 * row) % sketchWidth) }

// span returns the seconds that a rate is averaged over if it was observed for some time, at least one.
func span(window, observed time.Duration) float64 {
	return max(window.Seconds()*(1-math.Exp(-float64(observed)/float64(window))), 1)
}

// weight returns the weight of an event.
func (k *sketch) weight(now time.Duration) float64 {
	if !k.used {
		k.used, k.start, k.base = true, now, now
	}
	age := float64(now-k.base) / float64(k.window)
	if age > rebaseAge {
		k.rebase(now, math.Exp(-age))
		age = 0
	}
	return math.Exp(age)
}

func (k *sketch) rebase(now time.Duration, factor float64) {
	for row := range k.cells {
		for i := range k.cells[row] {
			k.cells[row][i] *= factor
		}
	}
	k.base = now
}

// callerLoads holds the recent and the usual rate of offers by service and Caller.
type callerLoads struct {
	recent, usual sketch
}

func newCallerLoads(cfg Config) *callerLoads {
	return &callerLoads{recent: sketch{window: cfg.RecentWindow}, usual: sketch{window: cfg.UsualWindow}}
}

func callerKey(o Offer) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to a digest never fail.
	_, _ = d.WriteString(string(o.Service))
	addr := o.Caller.As16()
	_, _ = d.Write(addr[:])
	return d.Sum64()
}

// callerMean holds what the Callers of a service have in common: the means over their offers of the inverse of
// their usual and their recent rate. The mean of the inverse over offers is the inverse of the mean over Callers,
// so that a Caller with many offers doesn't dominate.
type callerMean struct {
	usualGap, recentGap float64
	samples             int
}

func (m *callerMean) add(usual, recent float64) {
	m.samples = min(m.samples+1, callerSamples)
	m.usualGap += (1/usual - m.usualGap) / float64(m.samples)
	m.recentGap += (1/recent - m.recentGap) / float64(m.samples)
}

// allowance returns the rate up to which a Caller's offers rank as usual: a multiple of its usual rate, or of the
// mean of all Callers if that is more, which grows as the rates of the others do.
func (m *callerMean) allowance(excess, usual float64) float64 {
	if m.samples == 0 {
		return math.Inf(1)
	}
	growth := max(m.usualGap/m.recentGap, 1)
	return excess * max(usual, 1/m.usualGap) * growth
}

// isExcess counts an offer and reports whether it is beyond the Caller's allowance. What is beyond it doesn't
// become usual.
func (a *Admitter) isExcess(now time.Duration, s *service, o Offer) bool {
	key := callerKey(o)
	a.callers.recent.add(now, key)
	recent := a.callers.recent.rate(now, key)
	if recent*a.cfg.RecentWindow.Seconds() >= minCallerOffers {
		allowed := s.callers.allowance(a.cfg.CallerExcess, a.callers.usual.rate(now, key))
		if recent > allowed && a.cfg.Random.Float64() > allowed/recent {
			return true
		}
	}
	a.callers.usual.add(now, key)
	s.callers.add(a.callers.usual.rate(now, key), recent)
	return false
}
