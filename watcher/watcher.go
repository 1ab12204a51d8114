// Package watcher decides which balancers read the source, so that the calls
// don't grow with the fleet.
//
// The first-ranked balancer watches the source without a break and passes on
// what it learns, and since when it knows it to be current. Others read only once nobody has
// confirmed their copy for a while, one rank after the other, so that a reader that is
// dead, cut off or refused is replaced without being told.
package watcher

import (
	"math/rand/v2"
	"time"
)

// Config builds a Watcher.
type Config struct {
	// Patience is the age of a copy's last confirmation at which the second rank begins to read.
	Patience time.Duration
	// Stagger is the further patience of each rank, up to StaggerMost.
	Stagger, StaggerMost time.Duration
	// BackOffLeast and BackOffMost bound the pause after a failed read.
	BackOffLeast, BackOffMost time.Duration
	// BlindTime is how long a balancer whose read failed leaves the reading to others.
	BlindTime time.Duration
	Random    *rand.Rand
}

// Watcher is the state of one balancer's reading. It isn't safe for concurrent use.
type Watcher struct {
	cfg       Config
	confirmed time.Duration
	ever      bool
	fails     int
	failed    time.Duration
	pause     time.Duration
}

// New returns a watcher whose copy was never confirmed.
func New(cfg Config) *Watcher { return &Watcher{cfg: cfg} }

// Confirm records that the copy was current at a time.
func (w *Watcher) Confirm(at time.Duration) {
	if !w.ever || at > w.confirmed {
		w.confirmed, w.ever = at, true
	}
}

// Age returns the time since the copy was known to be current; ok is false if it never was.
func (w *Watcher) Age(now time.Duration) (age time.Duration, ok bool) {
	return max(now-w.confirmed, 0), w.ever
}

// Succeeded records that the source answered.
func (w *Watcher) Succeeded() { w.fails = 0 }

// Failed records that the source did not answer.
func (w *Watcher) Failed(now time.Duration) {
	full := min(w.cfg.BackOffLeast<<min(w.fails, 8), w.cfg.BackOffMost)
	w.pause = full/2 + time.Duration(w.cfg.Random.Int64N(int64(full/2)+1))
	w.fails++
	w.failed = now
}

// Blind reports whether this balancer's last read failed not long ago.
func (w *Watcher) Blind(now time.Duration) bool {
	return w.fails > 0 && now-w.failed < w.cfg.BlindTime
}

// Due reports whether this balancer should read now. Rank counts the balancers
// that can read and come before it.
func (w *Watcher) Due(now time.Duration, rank int) bool {
	if w.fails > 0 && now-w.failed < w.pause {
		return false
	}
	age, ok := w.Age(now)
	if !ok {
		return true
	}
	if rank == 0 && !w.Blind(now) {
		return true
	}
	return age >= w.cfg.Patience+min(time.Duration(rank)*w.cfg.Stagger, w.cfg.StaggerMost)
}
