package messenger_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/reconciler"
)

const (
	keyEvacuation = "evacuate"
	// settleTime is how long what is not lasting stays in effect after the source's return.
	settleTime = 6 * time.Second
	// evacuationBound is the time within which an evacuation must be in force on all nodes.
	evacuationBound = 5 * time.Second
)

var reconcilerConfig = reconciler.Config{
	SettleTime: settleTime,
	Supersedes: func(rattanwood.Record, rattanwood.Record) bool { return false },
	Lasting:    func(key string) bool { return key == keyEvacuation },
}

// trackEvacuation records whether the evacuation is in effect after changes.
func (n *node) trackEvacuation(changed []rattanwood.Record) {
	for _, r := range changed {
		if r.Key == keyEvacuation {
			n.evacuated = !r.Deleted
		}
	}
}

// timeUntil runs the fleet until the evacuation is in effect on all the given nodes, or on none, and fails the test
// after the bound.
func (f *fleet) timeUntil(evacuated bool, nodes []*node) time.Duration {
	f.c.Helper()
	for began := f.now; ; f.run(step) {
		late := 0
		for _, n := range nodes {
			if n.evacuated != evacuated {
				late++
			}
		}
		if late == 0 {
			return f.now - began
		}
		f.c.Assert(f.now-began <= evacuationBound, qt.IsTrue, qt.Commentf("%d of %d nodes, evacuated should be %v", late, len(nodes), evacuated))
	}
}

// writeInEra lets a node read a change of a later era of the source.
func (f *fleet) writeInEra(n *node, p rattanwood.Position, deleted bool) {
	changes := rattanwood.Changes{Records: []rattanwood.Record{{Key: keyEvacuation, Position: p, Deleted: deleted}}, Position: p}
	update, ok := n.copier.HandleChanges(f.now, f.now, n.replica.Position(), changes)
	f.c.Assert(ok, qt.IsTrue)
	n.spreadChanges(update)
}

// TestEvacuationReachesFleet follows an evacuation through fleets that lose datagrams: it is asked for, one data
// centre hears of it by a single link, the source comes back from a copy that lacks it, a node starts from that
// copy, another one was cut off meanwhile, and it is written anew and taken back.
func TestEvacuationReachesFleet(t *testing.T) {
	t.Parallel()
	for size, losses := range map[int][]float64{15: {0, 0.05}, 100: {0.05}, 232: {0.05}} {
		for _, loss := range losses {
			t.Run(fmt.Sprintf("%d nodes, loss %v", size, loss), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				f := newFleet(c, size)
				f.run(10 * time.Second)
				f.loss = loss
				reader, lone := f.nodes[0], f.nodes[size-1]
				f.write(keyEvacuation)
				c.Logf("in force on all: %v", f.timeUntil(true, f.nodes))

				f.isCut = func(from, to *node) bool { return from == lone || to == lone }
				f.run(10 * time.Second)
				in := func(r rattanwood.Revision) rattanwood.Position { return rattanwood.NewPosition(1, r) }
				update, ok := reader.copier.HandleListing(f.now, f.now, nil, in(1))
				c.Assert(ok, qt.IsTrue)
				reader.spreadChanges(update)
				f.run(settleTime + time.Second)
				c.Assert(f.timeUntil(true, f.nodes), qt.Equals, time.Duration(0), qt.Commentf("the return took the evacuation back"))
				c.Assert(reader.copier.Settling(f.now), qt.IsFalse)
				fresh := f.add(size)
				_, ok = fresh.copier.HandleListing(f.now, f.now, nil, in(1))
				c.Assert(ok, qt.IsTrue)
				c.Logf("in force on a node that started from the copy: %v", f.timeUntil(true, []*node{fresh}))

				f.writeInEra(reader, in(2), false)
				f.run(time.Second)
				f.writeInEra(reader, in(3), true)
				rest := slices.Concat(f.nodes[:size-1], []*node{fresh})
				c.Logf("taken back on all in contact: %v", f.timeUntil(false, rest))
				c.Assert(lone.evacuated, qt.IsTrue)
				f.isCut = func(*node, *node) bool { return false }
				c.Logf("taken back on the one that was cut off: %v", f.timeUntil(false, f.nodes))
				f.run(settleTime)
				c.Assert(f.timeUntil(false, f.nodes), qt.Equals, time.Duration(0), qt.Commentf("a node that was cut off brought the evacuation back"))
			})
		}
	}
}

// TestEvacuationPassesOneLink has a data centre whose nodes hear others only by one of theirs.
func TestEvacuationPassesOneLink(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := newFleet(c, 100)
	f.run(10 * time.Second)
	gate := f.nodes[dataCentres-1]
	f.isCut = func(from, to *node) bool {
		return from.dataCentre != to.dataCentre && (from.dataCentre == gate.dataCentre && from != gate || to.dataCentre == gate.dataCentre && to != gate)
	}
	f.run(10 * time.Second)
	f.write(keyEvacuation)
	c.Logf("in force on all: %v", f.timeUntil(true, f.nodes))
}
