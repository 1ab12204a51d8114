package watcher_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood/watcher"
)

const (
	apply = 3 * time.Second
	step  = 50 * time.Millisecond
	wait  = apply / 3
)

func newWatcher(self watcher.ReaderID) *watcher.Watcher {
	return watcher.New(watcher.Config{
		Self: self, TakeoverAge: apply / 2, RankDelay: apply / 30, MaxRankDelay: apply / 6, YieldAge: apply / 3,
		MinBackoff: apply / 10, MaxBackoff: apply, Random: rand.New(rand.NewPCG(1, uint64(self))),
	})
}

// fleet is a set of watchers that hear each other and read a source that may not answer some.
type fleet struct {
	nodes []*watcher.Watcher
	// sees and hears say who reaches the source and who hears whom.
	sees  func(now time.Duration, i int) bool
	hears func(now time.Duration, i, j int) bool
	busy  []time.Duration
	calls int
	// wait is the time that a read takes.
	wait  time.Duration
	worst time.Duration
}

func newFleet(n int) *fleet {
	f := &fleet{
		sees:  func(time.Duration, int) bool { return true },
		hears: func(time.Duration, int, int) bool { return true },
		busy:  make([]time.Duration, n),
		wait:  wait,
	}
	for i := range n {
		f.nodes = append(f.nodes, newWatcher(watcher.ReaderID(100-i)))
	}
	return f
}

// run plays the time from begin to end, and records the worst age of the nodes for which counts is true.
func (f *fleet) run(begin, end time.Duration, counts func(i int) bool) {
	for now := begin; now < end; now += step {
		for i, w := range f.nodes {
			f.read(now, i, w)
			if age, ok := w.Age(now); ok && counts(i) {
				f.worst = max(f.worst, age)
			}
		}
		// What a node hears in a step it passes on in the next.
		said := make([]watcher.Confirmation, len(f.nodes))
		for i, w := range f.nodes {
			said[i], _ = w.Newest()
		}
		for i, w := range f.nodes {
			for j, c := range said {
				if c != (watcher.Confirmation{}) && i != j && f.hears(now, i, j) {
					w.Confirm(now, c)
				}
			}
		}
	}
}

func (f *fleet) read(now time.Duration, i int, w *watcher.Watcher) {
	if now < f.busy[i] || !w.ShouldRead(now, i) {
		return
	}
	f.calls++
	if !f.sees(now, i) {
		w.RecordFailure(now)
		return
	}
	w.RecordRead(now, now)
	f.busy[i] = now + f.wait
}

func all(int) bool { return true }

func TestOneReaderServesAQuietFleet(t *testing.T) {
	for name, n := range map[string]int{"15 nodes": 15, "136 nodes": 136} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(n)
			// Nobody knows yet who reads when all begin at once.
			f.run(0, apply, all)
			c.Assert(f.worst < apply*3/4, qt.IsTrue, qt.Commentf("age %v at the start", f.worst))
			f.worst = 0
			f.run(apply, 40*time.Second, all)
			// One call a wait, and one of each node at its start.
			c.Assert(f.calls <= 41+n, qt.IsTrue, qt.Commentf("%d calls", f.calls))
			c.Assert(f.worst < apply/2, qt.IsTrue, qt.Commentf("age %v", f.worst))
		})
	}
}

// TestReaderIsReplaced answers a reader that is cut off, refused or silent, and a store that turns some nodes away:
// everybody else's copy must stay confirmed within the time in which a change must be in force.
func TestReaderIsReplaced(t *testing.T) {
	from := 10 * time.Second
	tests := map[string]struct {
		sees  func(now time.Duration, i int) bool
		hears func(now time.Duration, i, j int) bool
		// excused nodes can neither read nor hear anybody.
		excused func(i int) bool
	}{
		"refused by the source": {sees: func(now time.Duration, i int) bool { return now < from || i != 0 }},
		"a third is refused":    {sees: func(now time.Duration, i int) bool { return now < from || i >= 5 }},
		"all but the last":      {sees: func(now time.Duration, i int) bool { return now < from || i == 14 }},
		"cut from its peers":    {hears: func(now time.Duration, i, j int) bool { return now < from || i != 0 && j != 0 }},
		"dead": {
			sees:    func(now time.Duration, i int) bool { return now < from || i != 0 },
			hears:   func(now time.Duration, i, j int) bool { return now < from || i != 0 && j != 0 },
			excused: func(i int) bool { return i == 0 },
		},
		"parted in two": {hears: func(now time.Duration, i, j int) bool { return now < from || (i < 7) == (j < 7) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(15)
			if test.sees != nil {
				f.sees = test.sees
			}
			if test.hears != nil {
				f.hears = test.hears
			}
			f.run(0, 30*time.Second, func(i int) bool { return test.excused == nil || !test.excused(i) })
			c.Assert(f.worst < apply*3/4, qt.IsTrue, qt.Commentf("age %v", f.worst))
			c.Assert(f.calls < 250, qt.IsTrue, qt.Commentf("%d calls", f.calls))
		})
	}
}

// TestOutageCostsFewCalls answers a store that is down for everybody.
func TestOutageCostsFewCalls(t *testing.T) {
	c := qt.New(t)
	f := newFleet(15)
	down := func(now time.Duration) bool { return now >= 10*time.Second && now < 15*time.Second }
	f.sees = func(now time.Duration, _ int) bool { return !down(now) }
	f.run(0, 15*time.Second, all)
	before := f.calls
	f.worst = 0
	f.run(15*time.Second, 20*time.Second, func(int) bool { return false })
	f.run(20*time.Second, 30*time.Second, all)
	c.Assert(before < 120, qt.IsTrue, qt.Commentf("%d calls", before))
	c.Assert(f.worst < apply/2, qt.IsTrue, qt.Commentf("age %v", f.worst))
}

// TestConfirmationsAgeOnTheirWay fails if a confirmation that comes back by way of others looks young again.
func TestConfirmationsAgeOnTheirWay(t *testing.T) {
	c := qt.New(t)
	w := newWatcher(1)
	old := watcher.Confirmation{Reader: 9, Seq: 4, At: time.Second}
	c.Assert(w.Confirm(time.Second, old), qt.IsTrue)
	old.At += 40 * time.Millisecond
	c.Assert(w.Confirm(2*time.Second, old), qt.IsFalse)
	age, ok := w.Age(3 * time.Second)
	c.Assert(ok, qt.IsTrue)
	c.Assert(age, qt.Equals, 2*time.Second)
}

// TestReadersFarApartFindEachOther answers a fleet in which confirmations go from neighbour to neighbour, and changes so
// frequent that each reader's own confirmation is always the newest around it.
func TestReadersFarApartFindEachOther(t *testing.T) {
	c := qt.New(t)
	f := newFleet(15)
	f.hears = func(_ time.Duration, i, j int) bool { return i-j == 1 || j-i == 1 }
	f.wait = 2 * step
	f.sees = func(now time.Duration, i int) bool { return now < 5*time.Second || i >= 12 || i == 4 }
	f.run(0, 20*time.Second, all)
	f.sees = func(time.Duration, int) bool { return true }
	f.run(20*time.Second, 30*time.Second, all)
	f.calls = 0
	f.run(30*time.Second, 40*time.Second, all)
	c.Assert(f.calls <= 101, qt.IsTrue, qt.Commentf("%d calls in 10 s, of one reader 100", f.calls))
}
