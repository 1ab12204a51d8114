package replicator_test

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
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

// TestReplicasMatchModel lets replicas learn from a source and from each other in any order, with
// losses and listings, and compares each with the source's state at the replica's revision.
func TestReplicasMatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
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
		copies := []*replicator.Replicator{replicator.New(), replicator.New(), replicator.New()}
		pick := rapid.IntRange(0, len(copies)-1)
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")
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
				p := rattanwood.NewPosition(era(), rattanwood.Revision(rapid.IntRange(0, len(logs[era()])).Draw(t, "rev")))
				copies[pick.Draw(t, "copy")].ReplaceAll(listing(p), p)
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
					if fmt.Sprint(all) != fmt.Sprint(want) {
						t.Fatalf("replica %d at %s holds %v, want %v", i, r.Position(), all, want)
					}
				}
			},
		})
	})
}
