// Package replicator keeps a copy of a source's records and brings other copies up to date.
//
// A copy only moves forward: a record is replaced by one of a higher revision,
// whoever sends it and in whatever order the changes arrive.
package replicator

import (
	"cmp"
	"slices"

	"example.org/rattanwood"
)

// tombstones is the largest number of deleted records that are remembered, so
// that a peer that is behind can be sent the difference instead of everything.
const tombstones = 1024

// Replicator is a copy of all records of a source. It isn't safe for concurrent use.
type Replicator struct {
	records map[string]rattanwood.Record
	at      rattanwood.Revision
	whole   bool
	deleted int
	// floor is the lowest revision whose later changes are all known.
	floor rattanwood.Revision
	// told is the revision up to which Take has returned what changed, and news what has changed since.
	told rattanwood.Revision
	news []rattanwood.Record
}

// New returns an empty copy.
func New() *Replicator {
	return &Replicator{records: map[string]rattanwood.Record{}}
}

// Revision returns the revision up to which the copy holds all changes.
func (r *Replicator) Revision() rattanwood.Revision { return r.at }

// Complete reports whether the copy ever held all records.
func (r *Replicator) Complete() bool { return r.whole }

// Len returns the number of records that are not deleted.
func (r *Replicator) Len() int { return len(r.records) - r.deleted }

// Apply takes in the changes after the revision prior and returns those that
// were news. It reports false if changes between the copy and prior are missing.
func (r *Replicator) Apply(prior rattanwood.Revision, c rattanwood.Changes) ([]rattanwood.Record, bool) {
	if !r.whole || prior > r.at {
		return nil, false
	}
	news := r.merge(r.later(c.Records))
	r.at = max(r.at, c.Revision)
	return news, true
}

// ReplaceAll takes in all records as of revision at and returns what changed. Records that are
// missing were deleted, unless the copy has them from a later revision.
func (r *Replicator) ReplaceAll(records []rattanwood.Record, at rattanwood.Revision) []rattanwood.Record {
	if r.whole && at < r.at {
		return r.merge(r.later(records))
	}
	listed := make(map[string]bool, len(records))
	for _, rec := range records {
		listed[rec.Key] = true
	}
	var gone []rattanwood.Record
	for key, rec := range r.records {
		if !rec.Deleted && !listed[key] && rec.Revision <= at {
			gone = append(gone, rattanwood.Record{Key: key, Revision: at, Deleted: true})
		}
	}
	byKey(gone)
	news := r.merge(append(gone, records...))
	r.at, r.floor, r.whole = at, at, true
	// What came and went since the copy's last revision isn't known, so there is nothing to pass on:
	// whoever is behind has to fetch everything.
	r.told, r.news = at, nil
	return news
}

// TakeChanges returns all that changed after the revision prior, up to that of the copy, and begins anew.
func (r *Replicator) TakeChanges() (prior rattanwood.Revision, records []rattanwood.Record) {
	prior, records = r.told, r.news
	r.told, r.news = r.at, nil
	return prior, records
}

// later returns the records that changed after the copy's revision. What changed before is known,
// also where a deletion has been forgotten.
func (r *Replicator) later(records []rattanwood.Record) []rattanwood.Record {
	var out []rattanwood.Record
	for _, rec := range records {
		if rec.Revision > r.at {
			out = append(out, rec)
		}
	}
	return out
}

func (r *Replicator) merge(records []rattanwood.Record) []rattanwood.Record {
	var news []rattanwood.Record
	for _, rec := range records {
		old, known := r.records[rec.Key]
		if known && (rec.Revision < old.Revision || rec.Revision == old.Revision && (old.Deleted || !rec.Deleted)) {
			continue
		}
		if rec.Deleted {
			rec.Value = nil
			r.deleted++
		}
		if known && old.Deleted {
			r.deleted--
		}
		r.records[rec.Key] = rec
		news = append(news, rec)
	}
	r.news = append(r.news, news...)
	r.prune()
	return news
}

// prune forgets the oldest half of the tombstones once there are too many.
func (r *Replicator) prune() {
	if r.deleted <= tombstones {
		return
	}
	var dead []rattanwood.Record
	for _, rec := range r.records {
		if rec.Deleted {
			dead = append(dead, rec)
		}
	}
	slices.SortFunc(dead, func(a, b rattanwood.Record) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, rec := range dead[:len(dead)/2] {
		delete(r.records, rec.Key)
		r.floor = max(r.floor, rec.Revision)
	}
	r.deleted -= len(dead) / 2
}

// ChangesSince returns the records that changed after a revision. If the copy no longer
// knows all deletions since then, it returns every record and whole is true.
func (r *Replicator) ChangesSince(after rattanwood.Revision) (records []rattanwood.Record, whole bool) {
	whole = after < r.floor
	for _, rec := range r.records {
		if whole && !rec.Deleted || !whole && rec.Revision > after {
			records = append(records, rec)
		}
	}
	byKey(records)
	return records, whole
}

func byKey(records []rattanwood.Record) {
	slices.SortFunc(records, func(a, b rattanwood.Record) int { return cmp.Compare(a.Key, b.Key) })
}
