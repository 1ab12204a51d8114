package replicator_test

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/samber/lo"
	"pgregory.net/rapid"

	"example.org/rattanwood"
	"example.org/rattanwood/replicator"
)

func put(key string, p rattanwood.Position) rattanwood.Record {
	return rattanwood.Record{Key: key, Value: fmt.Appendf(nil, "%s@%d", key, p), Position: p}
}

func remove(key string, p rattanwood.Position) rattanwood.Record {
	return rattanwood.Record{Key: key, Position: p, Deleted: true}
}

// keys are those of the records in models.
var keys = []string{"a", "b", "c", "d"}

type (
	records = []rattanwood.Record
	changes = rattanwood.Changes
)

func TestReplicaNeverMovesBack(t *testing.T) {
	c := qt.New(t)
	r := replicator.New()
	_, ok := r.Apply(0, changes{Records: records{put("a", 1)}, Position: 1})
	c.Assert(ok, qt.IsFalse, qt.Commentf("changes were applied to an incomplete replica"))
	c.Assert(r.ReplaceAll(records{put("a", 5), put("b", 3)}, 6), qt.HasLen, 2)

	_, ok = r.Apply(8, changes{Position: 9})
	c.Assert(ok, qt.IsFalse, qt.Commentf("changes were applied although 7 and 8 are missing"))
	changed, ok := r.Apply(4, changes{Records: records{put("a", 5), remove("b", 7)}, Position: 7})
	c.Assert(ok, qt.IsTrue)
	c.Assert(changed, qt.DeepEquals, records{remove("b", 7)})

	changed, ok = r.Apply(6, changes{Records: records{put("b", 3)}, Position: 6})
	c.Assert(ok, qt.IsTrue)
	c.Assert(changed, qt.HasLen, 0, qt.Commentf("an older value replaced a newer state"))
	c.Assert(r.Position(), qt.Equals, rattanwood.Position(7))
	c.Assert(r.Len(), qt.Equals, 1)
}

// TestListingAfterLostHistory replaces a replica by a listing, as when the source has discarded the
// changes in which upstreams left: records that are missing from the listing must go.
func TestListingAfterLostHistory(t *testing.T) {
	tests := map[string]struct {
		listing records
		at      rattanwood.Position
		changed records
	}{
		"a record was deleted":                        {records{put("a", 1)}, 9, records{remove("b", 9)}},
		"an older listing removes nothing":            {records{put("a", 1)}, 2, nil},
		"a page may be newer than the first":          {records{put("a", 1), put("b", 2), put("c", 12)}, 9, records{put("c", 12)}},
		"nothing has changed":                         {records{put("a", 1), put("b", 2)}, 9, nil},
		"a record that was written again is replaced": {records{put("a", 8), put("b", 2)}, 9, records{put("a", 8)}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := replicator.New()
			r.ReplaceAll(records{put("a", 1), put("b", 2)}, 3)
			c.Assert(r.ReplaceAll(test.listing, test.at), qt.DeepEquals, test.changed)
			c.Assert(r.Position(), qt.Equals, max(test.at, 3))
		})
	}
}

func TestManyDeletionsForceFullTransfer(t *testing.T) {
	c := qt.New(t)
	r := replicator.New()
	r.ReplaceAll(records{put("stays", 1)}, 1)
	for i := range 3000 {
		rev := rattanwood.Position(2 + 2*i)
		key := fmt.Sprint("k", i)
		_, ok := r.Apply(rev-1, changes{Records: records{put(key, rev), remove(key, rev+1)}, Position: rev + 1})
		c.Assert(ok, qt.IsTrue)
	}
	got, all := r.ChangesSince(2)
	c.Assert(all, qt.IsTrue)
	c.Assert(got, qt.DeepEquals, records{put("stays", 1)})
	got, all = r.ChangesSince(r.Position() - 2)
	c.Assert(all, qt.IsFalse)
	c.Assert(got, qt.HasLen, 1)
}

// TestChangesBetweenPagesArePassedOn guards against a change that a replica knows from a later page of a listing, and
// then doesn't pass on with the changes after the listing, so that its peers never learn of it.
func TestChangesBetweenPagesArePassedOn(t *testing.T) {
	// The first page is of revision 4 and the second one of 6. Between them, b was written.
	listing := records{put("a", 1), put("b", 6)}
	log := records{put("c", 5), put("b", 6), put("d", 7)}
	tests := map[string]struct {
		// list makes a replica take over the listing.
		list func(r *replicator.Replicator)
		// peer is the position of the replica that gets the changes.
		peer rattanwood.Position
	}{
		"first listing":            {func(r *replicator.Replicator) { r.ReplaceAll(listing, 4) }, 4},
		"listing that catches up":  {func(r *replicator.Replicator) { r.ReplaceAll(records{put("a", 1)}, 2); r.ReplaceAll(listing, 4) }, 4},
		"listing of an older page": {func(r *replicator.Replicator) { r.ReplaceAll(records{put("a", 1)}, 5); r.ReplaceAll(listing, 4) }, 5},
		"two listings":             {func(r *replicator.Replicator) { r.ReplaceAll(listing, 3); r.ReplaceAll(listing, 4) }, 4},
		"records of a peer": {func(r *replicator.Replicator) {
			other := replicator.New()
			other.ReplaceAll(listing, 4)
			got, _ := other.ChangesSince(0)
			r.ReplaceAll(got, other.Position())
		}, 4},
		"changes of a peer": {func(r *replicator.Replicator) {
			other := replicator.New()
			other.ReplaceAll(listing, 4)
			r.ReplaceAll(records{put("a", 1)}, 4)
			got, _ := other.ChangesSince(4)
			r.Apply(4, changes{Records: got, Position: other.Position()})
		}, 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			for _, heartbeat := range []bool{false, true} {
				r, peer := replicator.New(), replicator.New()
				test.list(r)
				peer.ReplaceAll(records{put("a", 1)}, test.peer)
				if heartbeat {
					r.TakeChanges()
				}
				for i := range log {
					_, ok := r.Apply(max(r.Position(), 4), changes{Records: log[:i+1], Position: log[i].Position})
					c.Assert(ok, qt.IsTrue)
					prior, got := r.TakeChanges()
					_, ok = peer.Apply(prior, changes{Records: got, Position: r.Position()})
					c.Assert(ok, qt.IsTrue)
				}
				b, ok := peer.Find("b")
				c.Assert(ok, qt.IsTrue, qt.Commentf("a peer at %s doesn't know the change at 6; heartbeat before the changes: %v", peer.Position(), heartbeat))
				c.Assert(b, qt.DeepEquals, put("b", 6))
			}
		})
	}
}

// TestReplicasMatchModel lets replicas learn from a source and from each other in any order, with
// losses and listings, and compares each with the source's state at the replica's revision.
func TestReplicasMatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runModel(t, false) })
}

// TestPagedListingsLoseNoChange guards against a change that came between two pages of a listing and was never passed
// on. It is TestReplicasMatchModel with listings whose pages differ in revision. A record may then be newer than its
// replica, but never older.
func TestPagedListingsLoseNoChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runModel(t, true) })
}

func runModel(t *rapid.T, paged bool) {
	// logs holds the changes of each era; the log of a new era begins with a part of the last one.
	logs := []records{nil}
	era := func() rattanwood.Era { return rattanwood.Era(len(logs) - 1) }
	at := func() rattanwood.Position {
		return rattanwood.NewPosition(era(), rattanwood.Revision(len(logs[era()])))
	}
	state := func(p rattanwood.Position) map[string]string {
		out := map[string]string{}
		for _, r := range logs[p.Era()][:p.Revision()] {
			delete(out, r.Key)
			if !r.Deleted {
				out[r.Key] = string(r.Value)
			}
		}
		return out
	}
	listing := func(p rattanwood.Position) records {
		var out records
		newest := map[string]rattanwood.Record{}
		for _, r := range logs[p.Era()][:p.Revision()] {
			newest[r.Key] = r
		}
		for _, r := range newest {
			if !r.Deleted {
				out = append(out, r)
			}
		}
		return out
	}
	// since returns the values that a key has had at or after a position, empty if it was deleted.
	since := func(key string, p rattanwood.Position) []string {
		out := []string{state(p)[key]}
		for _, r := range logs[p.Era()][p.Revision():] {
			if r.Key == key {
				out = append(out, string(r.Value))
			}
		}
		return out
	}
	copies := []*replicator.Replicator{replicator.New(), replicator.New(), replicator.New()}
	pick := rapid.IntRange(0, len(copies)-1)
	t.Repeat(map[string]func(*rapid.T){
		"write": func(t *rapid.T) {
			key := rapid.SampledFrom(keys).Draw(t, "key")
			if rapid.Bool().Draw(t, "delete") {
				logs[era()] = append(logs[era()], remove(key, at()+1))
				return
			}
			logs[era()] = append(logs[era()], put(key, at()+1))
		},
		"return": func(t *rapid.T) {
			kept := rapid.IntRange(0, len(logs[era()])).Draw(t, "kept")
			copied := slices.Clone(logs[era()][:kept])
			for i := range copied {
				copied[i].Position = rattanwood.NewPosition(era()+1, rattanwood.Revision(i+1))
			}
			logs = append(logs, copied)
		},
		"watch": func(t *rapid.T) {
			r := copies[pick.Draw(t, "copy")]
			after := min(r.Position().Revision(), rattanwood.Revision(rapid.IntRange(0, len(logs[era()])).Draw(t, "after")))
			_, ok := r.Apply(rattanwood.NewPosition(r.Position().Era(), after), changes{Records: logs[era()][after:], Position: at()})
			if ok && r.Position().Era() != era() {
				t.Fatalf("changes of era %d were applied to a replica at %s", era(), r.Position())
			}
		},
		"list": func(t *rapid.T) {
			first := rapid.IntRange(0, len(logs[era()])).Draw(t, "rev")
			second := first
			if paged {
				second = rapid.IntRange(first, len(logs[era()])).Draw(t, "second")
			}
			p, q := rattanwood.NewPosition(era(), rattanwood.Revision(first)), rattanwood.NewPosition(era(), rattanwood.Revision(second))
			inFirst := func(r rattanwood.Record) bool { return r.Key < "c" }
			got := slices.Concat(lo.Filter(listing(p), func(r rattanwood.Record, _ int) bool { return inFirst(r) }),
				lo.Reject(listing(q), func(r rattanwood.Record, _ int) bool { return inFirst(r) }))
			copies[pick.Draw(t, "copy")].ReplaceAll(got, p)
		},
		"fetch": func(t *rapid.T) {
			from, to := copies[pick.Draw(t, "from")], copies[pick.Draw(t, "to")]
			if !from.Complete() {
				return
			}
			after := to.Position()
			got, all := from.ChangesSince(after)
			if all || !to.Complete() {
				// A difference is of no use to an incomplete replica.
				if !all {
					return
				}
				to.ReplaceAll(got, from.Position())
				return
			}
			to.Apply(after, changes{Records: got, Position: from.Position()})
		},
		"push": func(t *rapid.T) {
			from := copies[pick.Draw(t, "from")]
			prior, got := from.TakeChanges()
			for _, to := range copies {
				if to != from && len(got) > 0 && rapid.Bool().Draw(t, "arrives") {
					to.Apply(prior, changes{Records: got, Position: from.Position()})
				}
			}
		},
		"": func(t *rapid.T) {
			for i, r := range copies {
				if !r.Complete() {
					continue
				}
				all := map[string]string{}
				got, _ := r.ChangesSince(0)
				for _, rec := range got {
					if !rec.Deleted {
						all[rec.Key] = string(rec.Value)
					}
				}
				want := state(r.Position())
				if paged {
					for _, key := range keys {
						if !slices.Contains(since(key, r.Position()), all[key]) {
							t.Fatalf("replica %d at %s holds %v, want %v or newer", i, r.Position(), all, want)
						}
					}
					continue
				}
				if fmt.Sprint(all) != fmt.Sprint(want) {
					t.Fatalf("replica %d at %s holds %v, want %v", i, r.Position(), all, want)
				}
			}
		},
	})
}
