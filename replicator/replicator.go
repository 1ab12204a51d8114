// Package replicator holds a replica of a source's records and computes what other replicas lack.
// Reading the source and exchanging messages are left to the caller.
//
// A replica never moves back: a record is only replaced by one of a higher revision, whoever sends
// it and in whatever order the changes arrive.
package replicator

import (
	"cmp"
	"slices"

	"example.org/rattanwood"
)

// maxTombstones is the largest number of deleted records that are kept as tombstones, so that a
// peer that lags can be sent the difference instead of all records.
const maxTombstones = 1024

// Replicator is a replica of all records of a source. It isn't safe for concurrent use.
type Replicator struct {
	// records are the records by key, tombstones included.
	records  map[string]rattanwood.Record
	revision rattanwood.Revision
	complete bool
	// deleted is the number of tombstones in records.
	deleted int
	// historyStart is the lowest revision after which all changes are known.
	historyStart rattanwood.Revision
	// takenRevision is the revision up to which TakeChanges has returned the changes.
	takenRevision rattanwood.Revision
	// untaken are the changes since then.
	untaken []rattanwood.Record
}

// New returns an empty replica.
func New() *Replicator {
	return &Replicator{records: map[string]rattanwood.Record{}}
}

// Revision returns the revision up to which the replica holds all changes.
func (r *Replicator) Revision() rattanwood.Revision { return r.revision }

// Complete reports whether the replica ever held all records.
func (r *Replicator) Complete() bool { return r.complete }

// Len returns the number of records that are not deleted.
func (r *Replicator) Len() int { return len(r.records) - r.deleted }

// Apply merges the changes after the revision prior and returns those that weren't known. It
// reports false and does nothing if the replica isn't complete or lacks changes up to prior.
func (r *Replicator) Apply(prior rattanwood.Revision, c rattanwood.Changes) ([]rattanwood.Record, bool) {
	if !r.complete || prior > r.revision {
		return nil, false
	}
	changed := r.merge(r.newerThanReplica(c.Records))
	r.revision = max(r.revision, c.Revision)
	return changed, true
}

// ReplaceAll merges a listing of all records as of revision at and returns what changed. Records
// that are missing from it were deleted, unless the replica has them from a later revision.
func (r *Replicator) ReplaceAll(records []rattanwood.Record, at rattanwood.Revision) []rattanwood.Record {
	if r.complete && at < r.revision {
		return r.merge(r.newerThanReplica(records))
	}
	listed := make(map[string]bool, len(records))
	for _, rec := range records {
		listed[rec.Key] = true
	}
	var deleted []rattanwood.Record
	for key, rec := range r.records {
		if !rec.Deleted && !listed[key] && rec.Revision <= at {
			deleted = append(deleted, rattanwood.Record{Key: key, Revision: at, Deleted: true})
		}
	}
	sortByKey(deleted)
	changed := r.merge(append(deleted, records...))
	r.revision, r.historyStart, r.complete = at, at, true
	// Records that were added and deleted again since the replica's last revision aren't known, so
	// there is no difference to send: peers that lag have to fetch all records.
	r.takenRevision, r.untaken = at, nil
	return changed
}

// TakeChanges returns the changes since the last call, which bring a replica at revision prior to
// the revision of this one.
func (r *Replicator) TakeChanges() (prior rattanwood.Revision, records []rattanwood.Record) {
	prior, records = r.takenRevision, r.untaken
	r.takenRevision, r.untaken = r.revision, nil
	return prior, records
}

// newerThanReplica returns the records that changed after the replica's revision. Earlier changes
// are known, even if the tombstone of a deletion has been pruned.
func (r *Replicator) newerThanReplica(records []rattanwood.Record) []rattanwood.Record {
	var out []rattanwood.Record
	for _, rec := range records {
		if rec.Revision > r.revision {
			out = append(out, rec)
		}
	}
	return out
}

// merge stores the records that are newer than the known ones under their keys, and returns those.
// At the same revision a deletion replaces a value.
func (r *Replicator) merge(records []rattanwood.Record) []rattanwood.Record {
	var changed []rattanwood.Record
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
		changed = append(changed, rec)
	}
	r.untaken = append(r.untaken, changed...)
	r.pruneTombstones()
	return changed
}

// pruneTombstones removes the oldest half of the tombstones once there are too many.
func (r *Replicator) pruneTombstones() {
	if r.deleted <= maxTombstones {
		return
	}
	var tombstones []rattanwood.Record
	for _, rec := range r.records {
		if rec.Deleted {
			tombstones = append(tombstones, rec)
		}
	}
	slices.SortFunc(tombstones, func(a, b rattanwood.Record) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, rec := range tombstones[:len(tombstones)/2] {
		delete(r.records, rec.Key)
		r.historyStart = max(r.historyStart, rec.Revision)
	}
	r.deleted -= len(tombstones) / 2
}

// ChangesSince returns the records that changed after a revision. If tombstones of later deletions
// have been pruned, it returns every record that isn't deleted, and all is true.
func (r *Replicator) ChangesSince(after rattanwood.Revision) (records []rattanwood.Record, all bool) {
	all = after < r.historyStart
	for _, rec := range r.records {
		if all && !rec.Deleted || !all && rec.Revision > after {
			records = append(records, rec)
		}
	}
	sortByKey(records)
	return records, all
}

func sortByKey(records []rattanwood.Record) {
	slices.SortFunc(records, func(a, b rattanwood.Record) int { return cmp.Compare(a.Key, b.Key) })
}
