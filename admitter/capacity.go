package admitter

import (
	"math"
	"time"
)

const (
	// minFactor and maxFactor bound what a service bears in measured slots. The measured work is too long by
	// the delay of acknowledgements, and too short where upstreams turned slow since.
	minFactor, maxFactor = 0.3, 8
	// startFactor is the least factor with which refusals begin: a service at its limit gets more tries than it
	// serves, since some find a full queue and are made again elsewhere.
	startFactor = 1.4
	// surelyOverloaded is the multiple of the loss target from which on the loss isn't taken for chance, and
	// likelyOverloaded the same where the demand is far beyond the slots.
	surelyOverloaded, likelyOverloaded = 1.4, 0.5
	// clearExcess is the ratio of the demand to the limit up to which the excess may be an error of measurement.
	clearExcess = 1.3
	// factorRate is the change a second of the factor's logarithm for a loss of one beyond its target, and
	// maxStep bounds the change for a single try.
	factorRate, maxStep = 3.5, 0.15
	// farStep multiplies the change while the loss is below farBelow or above farAbove of its target.
	farStep, farBelow, farAbove = 2, 0.6, 1.4
	// minDip is the least ratio of the factor to the usual one: a burst that reports don't show yet must not
	// make the service look small.
	minDip = 0.45
	// consensusWindow is the time in which a balancer's factor approaches what the others admit.
	consensusWindow = 1 * time.Second
	// refusingShare is the share of the fleet's demand that is admitted below which the fleet counts as
	// refusing.
	refusingShare = 0.9
	// lossSamples is the number of tries that the loss is averaged over, and delaySamples the same for
	// the delay.
	lossSamples, delaySamples = 32, 256
	// usualSamples is the number of tries at the limit that the usual factor is averaged over.
	usualSamples = 96
	// congestionDelay is the ratio of the present to the unloaded work from which on upstreams have queues.
	congestionDelay = 1.3
)

// service is the state of one service.
type service struct {
	cfg   Config
	slots float64
	// levels is sorted by importance and peers by VM.
	levels []*levelState
	peers  []*peer
	// load is the fleet's demand and limit what the service can bear, in slots, as of evaluatedAt. A limit
	// of zero means unknown.
	load, limit               float64
	evaluatedAt, oldestReport time.Duration
	// busy is set while the demand is near the slots.
	busy bool
	// factor corrects the slots; usualFactor is its mean while the service was at its limit.
	factor, usualFactor float64
	// loss is the recent share of tries that failed or were answered too late, and delay the recent
	// ratio of the work to the unloaded one.
	loss, delay float64
	tries       meter
	callers     callerMean
}

func newService(cfg Config) *service {
	return &service{
		cfg:    cfg,
		factor: startFactor, usualFactor: startFactor, delay: 1, tries: meter{window: cfg.DemandWindow},
	}
}

// measured reports whether the work of any level is known.
func (s *service) measured() bool {
	for _, l := range s.levels {
		if l.samples >= minWorkSamples {
			return true
		}
	}
	return false
}

// isLimiting reports whether some of the demand is refused.
func (s *service) isLimiting() bool { return s.limit > 0 && s.load > s.limit }

// hasRoom reports whether hardly any request waits for a slot.
func (s *service) hasRoom() bool { return !s.isLimiting() && s.loss < s.cfg.LossTarget/2 }

// addDelay compares the time of a response with the work of its level.
func (s *service) addDelay(seconds float64, l *levelState) {
	if l.samples >= minWorkSamples && l.work > 0 {
		s.delay += (seconds/l.work - s.delay) / delaySamples
	}
}

// record corrects the factor for a try, so that it is at rest when the share of tries that fail is the loss
// target.
//
// The factor rises until upstreams turn too many away, and then starts from the one that held at the last
// overload. Where the demand is below the limit and the slots it falls further only while upstreams have queues:
// other failures aren't due to load.
func (s *service) record(now time.Duration, failed bool) {
	s.tries.add(now)
	x := 0.0
	if failed {
		x = 1
	}
	s.loss += (x - s.loss) / lossSamples
	if start := max(s.usualFactor, startFactor); s.limit > 0 && s.factor > start && !s.isLimiting() && s.loss > s.overloadLoss(start) {
		s.factor = start
	}
	if failed && !s.isLimiting() && s.load < s.slots && s.delay < congestionDelay {
		return
	}
	step := min(factorRate/max(s.tries.rate(now), 1), maxStep)
	if ratio := s.loss / s.cfg.LossTarget; ratio < farBelow || ratio > farAbove {
		step *= farStep
	}
	s.setFactor(s.factor * math.Exp(step*(s.cfg.LossTarget-x)))
	if s.isLimiting() {
		s.usualFactor += (s.factor - s.usualFactor) / usualSamples
	}
}

// overloadLoss returns the loss from which on the service counts as overloaded; less evidence is needed the
// more the demand exceeds the limit that would then apply.
func (s *service) overloadLoss(factor float64) float64 {
	excess := max(s.load/(clearExcess*factor*s.slots), 1)
	return s.cfg.LossTarget * max(surelyOverloaded/excess, likelyOverloaded)
}

func (s *service) setFactor(f float64) {
	s.factor = min(max(f, minFactor, minDip*s.usualFactor), maxFactor)
}

// agree moves the factor towards what the fleet admits while it refuses some of its demand. All balancers
// see the same loss, so without this their factors would drift apart.
func (s *service) agree(elapsed time.Duration, fleet demand) {
	if !s.isLimiting() || fleet.admitted <= 0 || fleet.admitted > refusingShare*fleet.offered {
		return
	}
	common := fleet.admitted / s.slots
	s.setFactor(s.factor * math.Pow(common/s.factor, 1-math.Exp(-float64(elapsed)/float64(consensusWindow))))
}
