// Package limiter keeps the control traffic of a balancer within a byte budget and sheds the least
// important messages first.
package limiter

import "time"

// Class orders control messages by importance; lower is more important.
type Class uint8

const (
	// Liveness messages are heartbeats, indirect probes and acknowledgements of batches.
	Liveness Class = iota
	// Placements tell and ask where flows went that may not be open yet. They are never shed: the flow might reach a second
	// upstream. Once the budget is used up, they aren't charged either, so that they don't keep Liveness from being sent.
	Placements
	// Answers carry the upstreams of flows to the balancers that asked for them.
	Answers
	// State messages carry health states and member lists, and the requests for them.
	State
	// Replication messages carry flows to successors.
	Replication
	numClasses
)

// String returns the label of the class in metrics.
func (c Class) String() string {
	return [...]string{"liveness", "placements", "answers", "state", "replication"}[c]
}

// Classes returns all classes, most important first.
func Classes() []Class {
	return []Class{Liveness, Placements, Answers, State, Replication}
}

// reservedShare is the share of the burst that a class must leave to more important ones. Liveness
// may overdraw the budget by a whole burst.
var reservedShare = [numClasses]float64{Liveness: -1, Placements: 0, Answers: 0, State: 0.1, Replication: 0.3}

// Config holds the budget of a Limiter.
type Config struct {
	// Rate is the long-term budget in bytes per second.
	Rate int
	// Burst is the size of the token bucket in bytes.
	Burst int
}

// Limiter is a token bucket in which each class must leave a reserve. It isn't safe for concurrent
// use.
type Limiter struct {
	cfg        Config
	tokens     float64
	lastRefill time.Duration
	sentBytes  [numClasses]uint64
	shedBytes  [numClasses]uint64
}

// New returns a limiter with a full bucket.
func New(cfg Config) *Limiter {
	return &Limiter{cfg: cfg, tokens: float64(cfg.Burst)}
}

// Allow spends n bytes for a message of class c at time now. It reports false, and counts the bytes
// as shed, if the budget isn't sufficient.
func (l *Limiter) Allow(now time.Duration, c Class, n int) bool {
	l.refill(now)
	floor := reservedShare[c] * float64(l.cfg.Burst)
	if l.tokens-float64(n) < floor {
		if c == Placements {
			l.sentBytes[c] += uint64(n)
			return true
		}
		l.shedBytes[c] += uint64(n)
		return false
	}
	l.tokens -= float64(n)
	l.sentBytes[c] += uint64(n)
	return true
}

// Available returns how many bytes of class c Allow would accept at time now; it may be negative.
func (l *Limiter) Available(now time.Duration, c Class) int {
	l.refill(now)
	return int(l.tokens - reservedShare[c]*float64(l.cfg.Burst))
}

// refill adds the tokens for the time since the last refill, up to a full bucket.
func (l *Limiter) refill(now time.Duration) {
	if now <= l.lastRefill {
		return
	}
	l.tokens += (now - l.lastRefill).Seconds() * float64(l.cfg.Rate)
	l.tokens = min(l.tokens, float64(l.cfg.Burst))
	l.lastRefill = now
}

// SentBytes returns the bytes sent in class c.
func (l *Limiter) SentBytes(c Class) uint64 { return l.sentBytes[c] }

// ShedBytes returns the bytes of class c that were shed.
func (l *Limiter) ShedBytes(c Class) uint64 { return l.shedBytes[c] }
