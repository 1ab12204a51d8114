// Package reconciler decides which records are in effect after a source came back from an older copy of
// itself. The copy lacks the last changes; their authors write them again within a bounded time.
//
// Until then nothing moves back: what the copy lacks isn't taken as deleted, what it still holds but was
// deleted later isn't used again, and of two values of a record the one that its author wrote last is in
// effect. Afterwards the source holds, since an author that has written nothing by then is gone. A write
// in the new era holds at once.
//
// Lasting records are those that nobody writes again by itself. One that the copy lacks stays in effect until it
// is deleted in the present era. Balancers exchange these records, and of two the one of the higher position holds.
//
// A Reconciler has no clock, socket or goroutine and isn't safe for concurrent use.
package reconciler

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

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
	// Lasting reports whether the record of a key is a lasting one; nil means that none is.
	Lasting func(key string) bool
}

// Reconciler holds the records that are in effect although the source's copy says otherwise.
type Reconciler struct {
	cfg Config
	// held are the earlier records by key. A deleted one keeps an upstream from being used.
	held map[string]rattanwood.Record
	// kept are the lasting records by key that the copy lacks. A deleted one tells other balancers that it was
	// deleted in the present era.
	kept map[string]rattanwood.Record
	// settled is when the held records end.
	settled time.Duration
	// informed is set once this balancer's earlier records, or those that a peer held, were compared with
	// the present era.
	informed bool
	era      rattanwood.Era
}

// New returns a Reconciler that holds no records.
func New(cfg Config) *Reconciler {
	return &Reconciler{cfg: cfg, held: map[string]rattanwood.Record{}, kept: map[string]rattanwood.Record{}}
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
		earlier, known := r.earlier(rec.Key, find)
		if known && rec.Deleted && !earlier.Deleted && r.lasting(rec.Key) {
			r.kept[rec.Key] = earlier
			delete(r.held, rec.Key)
			continue
		}
		delete(r.kept, rec.Key)
		if known && r.prefersEarlier(rec, earlier) {
			r.held[rec.Key] = earlier
			continue
		}
		delete(r.held, rec.Key)
		inEffect = append(inEffect, rec)
	}
	return inEffect
}

// earlier returns the record of a key that was in effect before a return.
func (r *Reconciler) earlier(key string, find func(key string) (rattanwood.Record, bool)) (rec rattanwood.Record, known bool) {
	if rec, known = r.kept[key]; known {
		return rec, true
	}
	if rec, known = r.held[key]; known {
		return rec, true
	}
	return find(key)
}

func (r *Reconciler) lasting(key string) bool { return r.cfg.Lasting != nil && r.cfg.Lasting(key) }

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
		switch {
		case r.era == 0 || !r.lasting(rec.Key):
		case rec.Deleted:
			r.kept[rec.Key] = rec
		default:
			delete(r.kept, rec.Key)
		}
	}
	return changed
}

// Held returns the held and the lasting records by key, and how long the former are held yet; it is zero if the
// source holds but for the lasting ones.
func (r *Reconciler) Held(now time.Duration) (records []rattanwood.Record, remaining time.Duration) {
	remaining = max(r.settled-now, 0)
	if remaining > 0 {
		records = sorted(r.held)
	}
	return append(records, sorted(r.kept)...), remaining
}

// KeptDigest returns a hash of the lasting records that the source lost or that were deleted since; it is zero if
// there are none.
func (r *Reconciler) KeptDigest() uint32 {
	if len(r.kept) == 0 {
		return 0
	}
	h := xxhash.New()
	for _, rec := range sorted(r.kept) {
		_, _ = fmt.Fprintln(h, rec.Key, uint64(rec.Position), rec.Deleted)
	}
	return max(uint32(h.Sum64()), 1)
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
	remaining = min(remaining, r.cfg.SettleTime)
	switch {
	case remaining > 0:
		r.settled = max(r.settled, now+remaining)
	case !r.Informed(now):
		r.settled = 0
	}
	r.informed = true
	var inEffect []rattanwood.Record
	for _, earlier := range held {
		present, known := find(earlier.Key)
		// A deletion that the copy lacks is only held, also of a lasting record.
		undone := earlier.Deleted && known && !present.Deleted && earlier.Position.Era() < r.era
		if r.lasting(earlier.Key) && !undone {
			if r.keep(earlier, present, known) {
				inEffect = append(inEffect, earlier)
			}
			continue
		}
		if _, known := r.held[earlier.Key]; known || remaining <= 0 {
			continue
		}
		// What was written in this era after the peer answered is newer.
		if known && !present.Deleted && !earlier.Deleted && r.cfg.Supersedes(present, earlier) {
			continue
		}
		r.held[earlier.Key] = earlier
		inEffect = append(inEffect, earlier)
	}
	return inEffect
}

// keep merges a lasting record of a peer and reports whether it comes into effect. Present is the record of its
// key in the replica, if known.
func (r *Reconciler) keep(offered, present rattanwood.Record, known bool) bool {
	own, kept := r.kept[offered.Key]
	if !kept && known {
		own = present
	}
	if (kept || known) && own.Position >= offered.Position {
		if own.Deleted {
			r.kept[offered.Key] = own
		}
		return false
	}
	r.kept[offered.Key] = offered
	delete(r.held, offered.Key)
	return true
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
