// Package limiter keeps control traffic within a byte budget and sheds the least important first.
package limiter

import "time"

// Class orders control messages by importance; lower is more important.
type Class uint8

// The classes, most important first.
const (
	// Liveness messages prove that a VM lives and what it knows.
	Liveness Class = iota
	// Answers tell balancers the upstreams of flows that they asked for.
	Answers
	// State carries marks and rosters.
	State
	// Replication carries flows to successors.
	Replication
	classes
)

// String returns the label of the class in metrics.
func (c Class) String() string {
	return [...]string{"liveness", "answers", "state", "replication"}[c]
}

// Classes returns all classes.
func Classes() []Class {
	return []Class{Liveness, Answers, State, Replication}
}

// reserve is the share of the burst that a class must leave to more important ones.
var reserve = [classes]float64{Liveness: -1, Answers: 0, State: 0.1, Replication: 0.3}

// Config builds a Limiter.
type Config struct {
	// Rate is the budget in bytes per second.
	Rate int
	// Burst is the largest saved budget in bytes.
	Burst int
}

// Limiter is a token bucket with a reserve for each class. It isn't safe for concurrent use.
type Limiter struct {
	cfg    Config
	tokens float64
	last   time.Duration
	sent   [classes]uint64
	shed   [classes]uint64
}

// New returns a full limiter.
func New(cfg Config) *Limiter {
	return &Limiter{cfg: cfg, tokens: float64(cfg.Burst)}
}

// Allow spends n bytes for a message of class c at time now, or reports that it must be shed.
func (l *Limiter) Allow(now time.Duration, c Class, n int) bool {
	l.refill(now)
	floor := reserve[c] * float64(l.cfg.Burst)
	if l.tokens-float64(n) < floor {
		l.shed[c] += uint64(n)
		return false
	}
	l.tokens -= float64(n)
	l.sent[c] += uint64(n)
	return true
}

// Available returns the bytes that a message of class c may have at time now.
func (l *Limiter) Available(now time.Duration, c Class) int {
	l.refill(now)
	return int(l.tokens - reserve[c]*float64(l.cfg.Burst))
}

func (l *Limiter) refill(now time.Duration) {
	if now <= l.last {
		return
	}
	l.tokens += (now - l.last).Seconds() * float64(l.cfg.Rate)
	l.tokens = min(l.tokens, float64(l.cfg.Burst))
	l.last = now
}

// SentBytes returns the bytes sent in class c.
func (l *Limiter) SentBytes(c Class) uint64 { return l.sent[c] }

// ShedBytes returns the bytes of class c that were refused.
func (l *Limiter) ShedBytes(c Class) uint64 { return l.shed[c] }
