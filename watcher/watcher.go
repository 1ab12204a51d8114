// Package watcher decides which balancers read the source, so that the calls
// don't grow with the fleet.
//
// Whoever finds that nobody has confirmed the records for a while begins to read, one rank
// after the other, and goes on until it hears a fresh confirmation of a reader with a
// higher score. A reader that is dead, cut off or refused is thereby replaced without being
// told, and of several only one stays.
package watcher

import (
	"math/rand/v2"
	"time"
)

// ReaderID is a number by which one of two readers yields to the other. It stands for one
// life of a balancer.
type ReaderID uint64

// Confirmation says that a reader found the records current.
type Confirmation struct {
	Reader ReaderID
	// Seq counts a reader's confirmations.
	Seq uint64
	// At is the time of this balancer's clock at which the records were current.
	At time.Duration
}

// Config builds a Watcher.
type Config struct {
	Self ReaderID
	// TakeoverAge is the age of the last confirmation at which the first rank begins to read.
	TakeoverAge time.Duration
	// RankDelay is the further patience of each rank, up to MaxRankDelay.
	RankDelay, MaxRankDelay time.Duration
	// YieldAge is the age up to which the confirmation of a higher score ends the own reading.
	YieldAge time.Duration
	// MinBackoff and MaxBackoff bound the pause after a failed read.
	MinBackoff, MaxBackoff time.Duration
	Random                 *rand.Rand
}

// Watcher is the state of one balancer's reading. It isn't safe for concurrent use.
type Watcher struct {
	cfg    Config
	newest Confirmation
	// freshest is the youngest time at which any reader found the records current.
	freshest time.Duration
	// seen are the last confirmations of each reader, since one that returns by way of others
	// would look younger with every hop.
	seen   map[ReaderID]uint64
	ever   bool
	active bool
	fails  int
	failed time.Duration
	pause  time.Duration
}

// New returns a watcher that reads at once, as its records were never confirmed.
func New(cfg Config) *Watcher {
	return &Watcher{cfg: cfg, seen: map[ReaderID]uint64{}}
}

// RecordRead records that this balancer found the records current at a time. From the second time on it
// goes on reading; the first may be that of a whole fleet that has just begun.
func (w *Watcher) RecordRead(now, at time.Duration) {
	w.fails, w.active = 0, w.ever
	w.Confirm(now, Confirmation{Reader: w.cfg.Self, Seq: w.seen[w.cfg.Self] + 1, At: at})
}

// Confirm takes in a confirmation and reports whether it is news.
func (w *Watcher) Confirm(now time.Duration, c Confirmation) bool {
	if w.seen[c.Reader] >= c.Seq {
		return false
	}
	w.seen[c.Reader] = c.Seq
	if c.Reader > w.cfg.Self && now-c.At <= w.cfg.YieldAge {
		w.active = false
	}
	if w.ever && !w.replaces(now, c) {
		w.freshest = max(w.freshest, c.At)
		return false
	}
	w.freshest = max(w.freshest, c.At)
	w.newest, w.ever = c, true
	return true
}

// replaces reports whether a confirmation is the one to pass on. While both are fresh that is the one of the
// reader that others yield to: around each of two readers its own would always be the newest, and
// neither would ever hear of the other.
func (w *Watcher) replaces(now time.Duration, c Confirmation) bool {
	switch {
	case c.Reader > w.newest.Reader && now-c.At <= w.cfg.YieldAge:
		return true
	case c.Reader < w.newest.Reader && now-w.newest.At <= w.cfg.YieldAge:
		return false
	}
	return c.At > w.newest.At
}

// Newest returns the confirmation to pass on; ok is false if there never was one.
func (w *Watcher) Newest() (c Confirmation, ok bool) { return w.newest, w.ever }

// Age returns the time since the records were known to be current; ok is false if they never were.
func (w *Watcher) Age(now time.Duration) (age time.Duration, ok bool) {
	return max(now-w.freshest, 0), w.ever
}

// Active reports whether this balancer reads without waiting for the confirmation to age.
func (w *Watcher) Active() bool { return w.active }

// SourceUnreachable reports whether this balancer's last read failed.
func (w *Watcher) SourceUnreachable() bool { return w.fails > 0 }

// RecordFailure records that the source did not answer.
func (w *Watcher) RecordFailure(now time.Duration) {
	full := min(w.cfg.MinBackoff<<min(w.fails, 8), w.cfg.MaxBackoff)
	w.pause = full/2 + time.Duration(w.cfg.Random.Int64N(int64(full/2)+1))
	w.fails++
	w.failed = now
	w.active = false
}

// ShouldRead reports whether this balancer should read now. Rank counts the balancers that
// come before it.
func (w *Watcher) ShouldRead(now time.Duration, rank int) bool {
	if w.fails > 0 && now-w.failed < w.pause {
		return false
	}
	age, ok := w.Age(now)
	if w.active || !ok {
		return true
	}
	return age >= w.cfg.TakeoverAge+min(time.Duration(rank)*w.cfg.RankDelay, w.cfg.MaxRankDelay)
}
