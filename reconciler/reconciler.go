// Package reconciler decides which records are in effect after a source came back from an older copy of
// itself. The copy lacks the last changes; their authors write them again within a bounded time.
//
// Until then nothing moves back: what the copy lacks isn't taken as deleted, what it still holds but was
// deleted later isn't used again, and of two values of a record the one that its author wrote last is in
// effect. Afterwards the source holds, since an author that has written nothing by then is gone. A write
// in the new era holds at once.
//
// A Reconciler has no clock, socket or goroutine and isn't safe for concurrent use.
package reconciler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"example.org/rattanwood"
)

// DefaultSettleTime is how long the authors of records may take to write them again: an upstream that has
// left loses its registration after three of its heartbeats, 3.6 s, and one that runs is back within 2 s
// of the source's return.
const DefaultSettleTime = 6 * time.Second

// Config holds the settings and dependencies of a Reconciler.
type Config struct {
	// SettleTime is how long earlier records stay in effect after a return.
	SettleTime time.Duration
	// Supersedes reports whether the author of a key wrote one value after another.
	Supersedes func(later, earlier rattanwood.Record) bool
}

// Reconciler holds the records that are in effect although the source's copy says otherwise.
type Reconciler struct {
	cfg Config
	// held are the earlier records by key. A deleted one keeps an upstream from being used.
	held map[string]rattanwood.Record
	// settled is when the held records end.
	settled time.Duration
	// informed is set once this balancer's earlier records, or those that a peer held, were compared with
	// the present era.
	informed bool
	era      rattanwood.Era
}

// New returns a Reconciler that holds no records.
func New(cfg Config) *Reconciler {
	return &Reconciler{cfg: cfg, held: map[string]rattanwood.Record{}}
}

// Begin records the era of a first listing. A balancer that starts in a later era than the first can't
// tell whether the source has just come back, so it counts as settling.
func (r *Reconciler) Begin(now time.Duration, era rattanwood.Era) {
	r.era = era
	if era > 0 {
		r.settled = now + r.cfg.SettleTime
	}
}

// HandleReturn returns those changes that come into effect when a listing of a new era replaces the
// records. Find returns the earlier record of a key.
func (r *Reconciler) HandleReturn(now time.Duration, era rattanwood.Era, changed []rattanwood.Record, find func(key string) (rattanwood.Record, bool)) []rattanwood.Record {
	r.era, r.informed, r.settled = era, true, now+r.cfg.SettleTime
	var inEffect []rattanwood.Record
	for _, rec := range changed {
		earlier, known := r.held[rec.Key]
		if !known {
			earlier, known = find(rec.Key)
		}
		if known && r.prefersEarlier(rec, earlier) {
			r.held[rec.Key] = earlier
			continue
		}
		delete(r.held, rec.Key)
		inEffect = append(inEffect, rec)
	}
	return inEffect
}

// prefersEarlier reports whether an earlier record stays in effect although the copy has another.
func (r *Reconciler) prefersEarlier(rec, earlier rattanwood.Record) bool {
	switch {
	case rec.Deleted, earlier.Deleted:
		return rec.Deleted != earlier.Deleted
	case string(rec.Value) == string(earlier.Value):
		return false
	}
	return !r.cfg.Supersedes(rec, earlier)
}

// HandleChanges records changes that were written in the present era. They are in effect.
func (r *Reconciler) HandleChanges(changed []rattanwood.Record) []rattanwood.Record {
	for _, rec := range changed {
		delete(r.held, rec.Key)
	}
	return changed
}

// Held returns the held records by key, and how long they are held yet; it is zero if the source holds.
func (r *Reconciler) Held(now time.Duration) (records []rattanwood.Record, remaining time.Duration) {
	remaining = max(r.settled-now, 0)
	if remaining == 0 {
		return nil, 0
	}
	return sorted(r.held), remaining
}

// Settling reports whether earlier records may still be in effect.
func (r *Reconciler) Settling(now time.Duration) bool { return now < r.settled }

// Informed reports whether this balancer knows what was in effect before the present era, or that the era
// began long ago.
func (r *Reconciler) Informed(now time.Duration) bool {
	return r.informed || r.era == 0 || !r.Settling(now)
}

// SetInformed records that a peer which knows the earlier records holds none of them.
func (r *Reconciler) SetInformed() { r.informed, r.settled = true, 0 }

// Adopt merges the records that a peer holds for a remaining time, and returns those that come into effect
// here. Find returns the present record of a key.
func (r *Reconciler) Adopt(now, remaining time.Duration, held []rattanwood.Record, find func(key string) (rattanwood.Record, bool)) []rattanwood.Record {
	r.informed = true
	remaining = min(remaining, r.cfg.SettleTime)
	if remaining <= 0 {
		return nil
	}
	r.settled = max(r.settled, now+remaining)
	var inEffect []rattanwood.Record
	for _, earlier := range held {
		if _, known := r.held[earlier.Key]; known {
			continue
		}
		// What was written in this era after the peer answered is newer.
		present, known := find(earlier.Key)
		if known && !present.Deleted && !earlier.Deleted && r.cfg.Supersedes(present, earlier) {
			continue
		}
		r.held[earlier.Key] = earlier
		inEffect = append(inEffect, earlier)
	}
	return inEffect
}

// Expire returns the records that come into effect because the time of held ones is over. Find returns the
// present record of a key.
func (r *Reconciler) Expire(now time.Duration, find func(key string) (rattanwood.Record, bool)) []rattanwood.Record {
	if len(r.held) == 0 || r.Settling(now) {
		return nil
	}
	var inEffect []rattanwood.Record
	for _, earlier := range sorted(r.held) {
		present, known := find(earlier.Key)
		if !known {
			present = rattanwood.Record{Key: earlier.Key, Position: earlier.Position, Deleted: true}
		}
		inEffect = append(inEffect, present)
	}
	clear(r.held)
	return inEffect
}

func sorted(records map[string]rattanwood.Record) []rattanwood.Record {
	return slices.SortedFunc(maps.Values(records), func(a, b rattanwood.Record) int { return cmp.Compare(a.Key, b.Key) })
}
