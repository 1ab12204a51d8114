// Package replicator holds a replica of a source's records and computes what other replicas lack.
// Reading the source and exchanging messages are left to the caller.
//
// A replica never moves back: a record is only replaced by one of a higher position, whoever sends
// it and in whatever order the changes arrive. When the source begins a new era, the replica is
// replaced as a whole; whether what is missing then is gone is for others to decide.
package replicator

import (
	"cmp"
	"maps"
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
	position rattanwood.Position
	complete bool
	// deleted is the number of tombstones in records.
	deleted int
	// historyStart is the lowest position after which all changes are known.
	historyStart rattanwood.Position
	// takenPosition is the position up to which TakeChanges has returned the changes.
	takenPosition rattanwood.Position
	// untaken are the changes since then. Those after position, which came with a later page of a listing, stay until
	// position has reached them, since peers at position need them as well.
	untaken []rattanwood.Record
}

// New returns an empty replica.
func New() *Replicator {
	return &Replicator{records: map[string]rattanwood.Record{}}
}

// Position returns the position up to which the replica holds all changes.
func (r *Replicator) Position() rattanwood.Position { return r.position }

// Complete reports whether the replica ever held all records.
func (r *Replicator) Complete() bool { return r.complete }

// Len returns the number of records that are not deleted.
func (r *Replicator) Len() int { return len(r.records) - r.deleted }

// Apply merges the changes after the position prior and returns those that weren't known. It
// reports false and does nothing if the replica isn't complete, lacks changes up to prior, or is of
// an earlier era.
func (r *Replicator) Apply(prior rattanwood.Position, c rattanwood.Changes) ([]rattanwood.Record, bool) {
	if !r.complete || prior > r.position || c.Position.Era() > r.position.Era() {
		return nil, false
	}
	changed := r.merge(r.newerThanReplica(c.Records))
	r.position = max(r.position, c.Position)
	return changed, true
}

// ReplaceAll merges a listing of all records as of position at and returns what changed. Records
// that are missing from it were deleted, unless the replica has them from a later position.
func (r *Replicator) ReplaceAll(records []rattanwood.Record, at rattanwood.Position) []rattanwood.Record {
	if r.complete && at < r.position {
		return r.merge(r.newerThanReplica(records))
	}
	listed := make(map[string]bool, len(records))
	for _, rec := range records {
		listed[rec.Key] = true
	}
	var deleted []rattanwood.Record
	for key, rec := range r.records {
		if !rec.Deleted && !listed[key] && rec.Position <= at {
			deleted = append(deleted, rattanwood.Record{Key: key, Position: at, Deleted: true})
		}
	}
	sortByKey(deleted)
	changed := r.merge(append(deleted, records...))
	r.position, r.historyStart, r.complete = at, at, true
	// Records that were added and deleted again since the replica's last position aren't known, so
	// there is no difference to send: peers that lag have to fetch all records.
	r.takenPosition, r.untaken = at, nil
	for _, rec := range r.records {
		if rec.Position > at {
			r.untaken = append(r.untaken, rec)
		}
	}
	sortByKey(r.untaken)
	return changed
}

// TakeChanges returns the changes since the last call, which bring a replica at position prior to
// the position of this one.
func (r *Replicator) TakeChanges() (prior rattanwood.Position, records []rattanwood.Record) {
	prior, records = r.takenPosition, r.untaken
	r.takenPosition, r.untaken = r.position, r.newerThanReplica(records)
	return prior, records
}

// newerThanReplica returns the records that changed after the replica's position. Earlier changes
// are known, even if the tombstone of a deletion has been pruned.
func (r *Replicator) newerThanReplica(records []rattanwood.Record) []rattanwood.Record {
	var out []rattanwood.Record
	for _, rec := range records {
		if rec.Position > r.position {
			out = append(out, rec)
		}
	}
	return out
}

// merge stores the records that are newer than the known ones under their keys, and returns those.
// At the same position a deletion replaces a value.
func (r *Replicator) merge(records []rattanwood.Record) []rattanwood.Record {
	var changed []rattanwood.Record
	for _, rec := range records {
		old, known := r.records[rec.Key]
		if known && (rec.Position < old.Position || rec.Position == old.Position && (old.Deleted || !rec.Deleted)) {
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
	slices.SortFunc(tombstones, func(a, b rattanwood.Record) int { return cmp.Compare(a.Position, b.Position) })
	for _, rec := range tombstones[:len(tombstones)/2] {
		delete(r.records, rec.Key)
		r.historyStart = max(r.historyStart, rec.Position)
	}
	r.deleted -= len(tombstones) / 2
}

// Records returns a copy of all records by key, tombstones included.
func (r *Replicator) Records() map[string]rattanwood.Record { return maps.Clone(r.records) }

// Find returns the record of a key, which may be a tombstone; ok is false if there is neither.
func (r *Replicator) Find(key string) (rec rattanwood.Record, ok bool) {
	rec, ok = r.records[key]
	return rec, ok
}

// ChangesSince returns the records that changed after a position. If tombstones of later deletions
// have been pruned, it returns every record that isn't deleted, and all is true.
func (r *Replicator) ChangesSince(after rattanwood.Position) (records []rattanwood.Record, all bool) {
	all = after < r.historyStart
	for _, rec := range r.records {
		if all && !rec.Deleted || !all && rec.Position > after {
			records = append(records, rec)
		}
	}
	sortByKey(records)
	return records, all
}

func sortByKey(records []rattanwood.Record) {
	slices.SortFunc(records, func(a, b rattanwood.Record) int { return cmp.Compare(a.Key, b.Key) })
}
