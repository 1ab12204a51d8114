package allocator

import (
	"math"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/admitter"
)

const (
	// minSamples is the number of samples from which on a mean is trusted, and maxSamples that which it is taken over.
	minSamples, maxSamples = 50, 1000
	// upstreamSamples is the number of samples that an upstream's slowness is averaged over.
	upstreamSamples = 16
	// surelySlow is the ratio of two times up to which a difference may be chance.
	surelySlow = 1.5
	// slownessTime is the time in which the slowness of an upstream that gets no requests decays to 1/e: it is tried
	// again from time to time.
	slownessTime = 2 * time.Second
	// forgetTime is the time after which unused upstreams and services are forgotten.
	forgetTime = 5 * time.Minute
	// levelTime is the time for which a level of importance counts after its last offer.
	levelTime = 2 * time.Second
	// usualFailures is the share of failed requests without a queue from which on failures say nothing of queues. It
	// is taken over failureSamples requests, and forgotten in failureTime.
	usualFailures, failureSamples, failureTime = 0.1, 50, time.Second
	// queueStep is what a response from the end of a queue adds to the length that the upstream is taken to bear.
	queueStep = 1.0 / 16
	// queueDrop bounds by how much a failure shortens that length: requests that aren't counted here may be before it.
	queueDrop = 0.5
	// maxExcess is the multiple of what an upstream is taken to hold up to which it gets requests while the demand is
	// below the capacity: it may turn them away, but that passes.
	maxExcess = 2
	// surelyFull is the load from which on the demand exceeds what the upstreams bear, and not only by chance.
	surelyFull = 1.1
)

// service is what is known of the requests of a service.
type service struct {
	usedAt time.Duration
	// timeout is the longest of the classes that were offered. It holds for requests whose class isn't told.
	timeout time.Duration
	// offers is the number of recent offers, with exponential decay, as of offeredAt.
	offers    float64
	offeredAt time.Duration
	// free is the mean time in seconds of requests that found a free slot, and queued that of the others less the
	// expected time in the queue.
	free, queued mean
	// told is what the last offer said of it.
	told float64
	// failures is the recent share of failed requests among those that found a free slot, as of failuresAt.
	failures   float64
	failuresAt time.Duration
	levels     map[admitter.Level]*levelState
}

func (a *Allocator) serviceOf(id rattanwood.ServiceID) *service {
	s := a.services[id]
	if s == nil {
		s = &service{levels: map[admitter.Level]*levelState{}}
		a.services[id] = s
	}
	return s
}

// mean is a moving mean.
type mean struct {
	value   float64
	samples int
}

func (m *mean) add(sample float64) {
	m.samples = min(m.samples+1, maxSamples)
	m.value += (sample - m.value) / float64(m.samples)
}

// work returns the mean time in seconds that a request occupies a slot; zero means unknown. The time in a queue isn't
// known exactly, so requests that waited count only until enough others did not.
func (s *service) work() float64 {
	for _, m := range []*mean{&s.free, &s.queued} {
		if m.samples >= minSamples {
			return m.value
		}
	}
	return s.told
}

// level returns the state of a level that is in use.
func (s *service) level(now time.Duration, level admitter.Level) *levelState {
	l := s.levels[level]
	if l == nil {
		l = &levelState{}
		s.levels[level] = l
	}
	l.usedAt, s.usedAt = now, now
	return l
}

// countOffer adds an offer to the demand.
func (s *service) countOffer(now time.Duration, cfg Config) {
	s.offers, s.offeredAt = s.recentOffers(now, cfg)+1, now
}

func (s *service) recentOffers(now time.Duration, cfg Config) float64 {
	return s.offers * math.Exp(-float64(now-s.offeredAt)/float64(cfg.RateWindow))
}

// demand returns the recent work that was offered, in slots.
func (s *service) demand(now time.Duration, cfg Config) float64 {
	return s.recentOffers(now, cfg) / cfg.RateWindow.Seconds() * s.work()
}

// queueShare returns the part of an upstream's queue that a level may fill.
func (s *service) queueShare(now time.Duration, cfg Config, level admitter.Level) float64 {
	share := 1.0
	for other, l := range s.levels {
		switch {
		case now-l.usedAt > levelTime:
			delete(s.levels, other)
		case other < level:
			share *= cfg.LevelShare
		}
	}
	return share
}

// countFailure adds a request that found a free slot to the share of those that failed.
func (s *service) countFailure(now time.Duration, failed bool) {
	x := 0.0
	if failed {
		x = 1
	}
	s.failures, s.failuresAt = s.recentFailures(now), now
	s.failures += (x - s.failures) / failureSamples
}

func (s *service) recentFailures(now time.Duration) float64 {
	return s.failures * math.Exp(-float64(now-s.failuresAt)/float64(failureTime))
}

// upstream is what is known of an upstream.
type upstream struct {
	underWay int
	usedAt   time.Duration
	// slowness is the time that its requests take as a multiple of those of the service, as of slownessAt; zero means
	// unknown.
	slowness   float64
	slownessAt time.Duration
	// maxUnderWay is the number of requests from which on the upstream is taken to turn others away; zero means
	// unknown.
	maxUnderWay float64
}

func (a *Allocator) upstreamOf(id rattanwood.UpstreamID) *upstream {
	u := a.upstreams[id]
	if u == nil {
		u = &upstream{}
		a.upstreams[id] = u
	}
	return u
}

// work returns the expected time in seconds that a request occupies a slot of the upstream.
func (u *upstream) work(now time.Duration, s *service) float64 {
	slowness := u.recentSlowness(now)
	if slowness < surelySlow && slowness > 1/surelySlow {
		return s.work()
	}
	return s.work() * slowness
}

// recentSlowness returns the slowness, which is forgotten with time.
func (u *upstream) recentSlowness(now time.Duration) float64 {
	if u.slowness == 0 {
		return 1
	}
	return 1 + (u.slowness-1)*math.Exp(-float64(now-u.slownessAt)/float64(slownessTime))
}

// expectedDelay returns the expected time until the answer to a further request. Without measured work it is in
// proportion to the time. A failed request counts like as many under way as the upstream serves concurrently.
func (u *upstream) expectedDelay(now time.Duration, s *service, c Candidate) time.Duration {
	work := u.work(now, s)
	if work == 0 {
		work = time.Second.Seconds()
	}
	// Upstreams that are idle alike are told apart by their load.
	turns := 1 + max(float64(u.underWay)+1-c.Capacity, 0)/c.Capacity + idleWeight*float64(u.underWay)/c.Capacity + c.Failures
	return time.Duration(turns * work * float64(time.Second))
}

// idleWeight is the expected delay by a request on an upstream with free slots, as a share of the work. It prefers an
// idle upstream to another, and a faster one to an idle one.
const idleWeight = 0.01

// queue returns the number of requests beyond the capacity from which on the upstream is taken to turn others away.
func (u *upstream) queue(capacity float64) float64 {
	if u.maxUnderWay == 0 {
		return math.Inf(1)
	}
	return max(u.maxUnderWay-capacity, 0)
}

// recordResult learns how many requests the upstream bears from one that it answered or failed. Failures say nothing
// of queues if requests fail that had none before them.
func (u *upstream) recordResult(now time.Duration, r *request, s *service, failed bool) {
	if !r.isQueued() {
		s.countFailure(now, failed)
		return
	}
	switch {
	case failed && s.recentFailures(now) < usualFailures:
		longest := float64(r.position)
		if u.maxUnderWay > 0 {
			longest = max(u.maxUnderWay-queueDrop, min(longest, u.maxUnderWay))
		}
		u.maxUnderWay = max(longest, r.capacity+1)
	case !failed && u.maxUnderWay > 0 && float64(r.position) >= u.maxUnderWay-1:
		u.maxUnderWay += queueStep
	}
}

// recordWork averages the time that a request took, less that in the queue.
func (u *upstream) recordWork(now time.Duration, s *service, r *request, seconds float64) {
	u.usedAt = now
	seconds /= r.turns()
	if work := s.work(); work > 0 {
		u.slowness = u.recentSlowness(now)
		u.slowness += (seconds/work - u.slowness) / upstreamSamples
		u.slownessAt = now
	}
	if r.isQueued() {
		s.queued.add(seconds)
	} else {
		s.free.add(seconds)
	}
}
