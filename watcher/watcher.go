// Package watcher decides which balancers read the source, so that the number of calls doesn't grow
// with the fleet.
//
// When nobody has confirmed the records for a while, balancers begin to read in the order of their
// ranks. A reader continues until it receives a recent confirmation by one with a higher ID. A
// reader that is dead, cut off or refused by the source is thereby replaced without any
// notification, and of several readers only one remains.
package watcher

import (
	"maps"
	"math/rand/v2"
	"time"
)

// ReaderID stands for one incarnation of a balancer. Of two readers, the one with the lower ID
// yields.
type ReaderID uint64

// Confirmation says that a reader found the records to be current.
type Confirmation struct {
	Reader ReaderID
	// Seq counts a reader's confirmations.
	Seq uint64
	// At is when the records were current, by this balancer's clock.
	At time.Duration
}

// Config holds the settings of a Watcher.
type Config struct {
	Self ReaderID
	// TakeoverAge is the age of the last confirmation at which the first rank begins to read.
	TakeoverAge time.Duration
	// RankDelay is added to TakeoverAge for each further rank, up to MaxRankDelay in total.
	RankDelay, MaxRankDelay time.Duration
	// YieldAge is the age up to which a confirmation by a higher reader makes this balancer stop
	// reading.
	YieldAge time.Duration
	// MinBackoff and MaxBackoff bound the backoff after a failed read.
	MinBackoff, MaxBackoff time.Duration
	Random                 *rand.Rand
}

// Watcher elects the reader of the source: it decides whether this balancer reads it now, from the
// confirmations by all readers. It isn't safe for concurrent use.
type Watcher struct {
	cfg Config
	// toSpread is the confirmation to pass on, which isn't always the newest; see replaces.
	toSpread Confirmation
	// latestConfirmed is the latest time at which any reader found the records current.
	latestConfirmed time.Duration
	// lastSeq holds the last sequence number of each reader. Without it, a confirmation that
	// returns through other balancers would look newer with every hop.
	lastSeq map[ReaderID]sequence
	// everConfirmed is true once the records were confirmed by any reader.
	everConfirmed bool
	// isReader is true while this balancer reads the source continuously for the others.
	isReader bool
	// failures counts the consecutive reads that failed; lastFailure is the time of the last one,
	// and backoff how long to wait after it.
	failures    int
	lastFailure time.Duration
	backoff     time.Duration
}

// sequence is the last sequence number of a reader, and when it was confirmed with.
type sequence struct {
	seq uint64
	at  time.Duration
}

const (
	// maxReaders is the number of readers above which those that have been silent for readerRetention are
	// forgotten.
	maxReaders = 32
	// readerRetention is many times as long as a confirmation takes through the fleet.
	readerRetention = time.Minute
)

// New returns a Watcher that reads at once, as its records were never confirmed.
func New(cfg Config) *Watcher {
	return &Watcher{cfg: cfg, lastSeq: map[ReaderID]sequence{}}
}

// RecordRead records that this balancer found the records current at a time, and makes this
// balancer the reader. The first read of records that were never confirmed doesn't, since in a fleet
// that has just started every balancer makes one.
func (w *Watcher) RecordRead(now, at time.Duration) {
	w.failures, w.isReader = 0, w.everConfirmed
	w.Confirm(now, Confirmation{Reader: w.cfg.Self, Seq: w.lastSeq[w.cfg.Self].seq + 1, At: at})
}

// Confirm records a confirmation and reports whether it is to be passed on.
func (w *Watcher) Confirm(now time.Duration, c Confirmation) bool {
	if w.lastSeq[c.Reader].seq >= c.Seq {
		return false
	}
	w.lastSeq[c.Reader] = sequence{seq: c.Seq, at: now}
	w.forgetReaders(now)
	if c.Reader > w.cfg.Self && now-c.At <= w.cfg.YieldAge {
		w.isReader = false
	}
	if w.everConfirmed && !w.replaces(now, c) {
		w.latestConfirmed = max(w.latestConfirmed, c.At)
		return false
	}
	w.latestConfirmed = max(w.latestConfirmed, c.At)
	w.toSpread, w.everConfirmed = c, true
	return true
}

// forgetReaders forgets readers that have probably ended. This balancer's own number stays.
func (w *Watcher) forgetReaders(now time.Duration) {
	if len(w.lastSeq) <= maxReaders {
		return
	}
	maps.DeleteFunc(w.lastSeq, func(id ReaderID, last sequence) bool { return id != w.cfg.Self && now-last.at >= readerRetention })
}

// Readers returns the number of readers that are remembered.
func (w *Watcher) Readers() int { return len(w.lastSeq) }

// replaces reports whether a confirmation becomes the one to pass on. Of two recent ones, that is
// the one by the reader with the higher ID. If the newer one were passed on instead, each of two
// distant readers would see only its own confirmations, and neither would ever yield.
func (w *Watcher) replaces(now time.Duration, c Confirmation) bool {
	switch {
	case c.Reader > w.toSpread.Reader && now-c.At <= w.cfg.YieldAge:
		return true
	case c.Reader < w.toSpread.Reader && now-w.toSpread.At <= w.cfg.YieldAge:
		return false
	}
	return c.At > w.toSpread.At
}

// ConfirmationToSpread returns the confirmation to pass on; ok is false if there never was one.
func (w *Watcher) ConfirmationToSpread() (c Confirmation, ok bool) {
	return w.toSpread, w.everConfirmed
}

// Age returns the time since the records were known to be current; ok is false if they never were.
func (w *Watcher) Age(now time.Duration) (age time.Duration, ok bool) {
	return max(now-w.latestConfirmed, 0), w.everConfirmed
}

// IsReader reports whether this balancer reads the source continuously for the others.
func (w *Watcher) IsReader() bool { return w.isReader }

// SourceUnreachable reports whether this balancer's last read failed.
func (w *Watcher) SourceUnreachable() bool { return w.failures > 0 }

// RecordFailure records that the source didn't answer, and draws the backoff until the next read.
func (w *Watcher) RecordFailure(now time.Duration) {
	full := min(w.cfg.MinBackoff<<min(w.failures, 8), w.cfg.MaxBackoff)
	w.backoff = full/2 + time.Duration(w.cfg.Random.Int64N(int64(full/2)+1))
	w.failures++
	w.lastFailure = now
	w.isReader = false
}

// ShouldRead reports whether this balancer should read now. Rank is the number of balancers that
// take over before it.
func (w *Watcher) ShouldRead(now time.Duration, rank int) bool {
	if w.failures > 0 && now-w.lastFailure < w.backoff {
		return false
	}
	age, ok := w.Age(now)
	if w.isReader || !ok {
		return true
	}
	return age >= w.cfg.TakeoverAge+min(time.Duration(rank)*w.cfg.RankDelay, w.cfg.MaxRankDelay)
}
