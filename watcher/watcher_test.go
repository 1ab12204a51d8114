package watcher_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood/watcher"
)

const (
	applyDeadline   = 3 * time.Second
	step            = 50 * time.Millisecond
	defaultReadTime = applyDeadline / 3
)

func newWatcher(self watcher.ReaderID) *watcher.Watcher {
	return watcher.New(watcher.Config{
		Self: self, TakeoverAge: applyDeadline / 2, RankDelay: applyDeadline / 30, MaxRankDelay: applyDeadline / 6, YieldAge: applyDeadline / 3,
		MinBackoff: applyDeadline / 10, MaxBackoff: applyDeadline, Random: rand.New(rand.NewPCG(1, uint64(self))),
	})
}

// fleet is a set of watchers that exchange confirmations and read a source that may not answer some
// of them.
type fleet struct {
	watchers []*watcher.Watcher
	// canRead is whether watcher i reaches the source, and canHear whether it receives
	// confirmations from watcher j.
	canRead func(now time.Duration, i int) bool
	canHear func(now time.Duration, i, j int) bool
	// busyUntil is when each watcher's last read ends.
	busyUntil []time.Duration
	// calls counts the reads.
	calls int
	// readTime is the time that a read takes.
	readTime time.Duration
	// maxAge is the highest age of the records seen at any watcher.
	maxAge time.Duration
}

func newFleet(n int) *fleet {
	f := &fleet{
		canRead:   func(time.Duration, int) bool { return true },
		canHear:   func(time.Duration, int, int) bool { return true },
		busyUntil: make([]time.Duration, n),
		readTime:  defaultReadTime,
	}
	for i := range n {
		f.watchers = append(f.watchers, newWatcher(watcher.ReaderID(100-i)))
	}
	return f
}

// run plays the time from begin to end and records the highest age at the watchers for which counts
// is true.
func (f *fleet) run(begin, end time.Duration, counts func(i int) bool) {
	for now := begin; now < end; now += step {
		for i, w := range f.watchers {
			f.read(now, i, w)
			if age, ok := w.Age(now); ok && counts(i) {
				f.maxAge = max(f.maxAge, age)
			}
		}
		// A confirmation received in one step is passed on in the next.
		sent := make([]watcher.Confirmation, len(f.watchers))
		for i, w := range f.watchers {
			sent[i], _ = w.ConfirmationToSpread()
		}
		for i, w := range f.watchers {
			for j, c := range sent {
				if c != (watcher.Confirmation{}) && i != j && f.canHear(now, i, j) {
					w.Confirm(now, c)
				}
			}
		}
	}
}

func (f *fleet) read(now time.Duration, i int, w *watcher.Watcher) {
	if now < f.busyUntil[i] || !w.ShouldRead(now, i) {
		return
	}
	f.calls++
	if !f.canRead(now, i) {
		w.RecordFailure(now)
		return
	}
	w.RecordRead(now, now)
	f.busyUntil[i] = now + f.readTime
}

func all(int) bool { return true }

func TestOneReaderServesTheFleet(t *testing.T) {
	for name, n := range map[string]int{"15 balancers": 15, "136 balancers": 136} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(n)
			// When all start at once, none knows yet which of them reads.
			f.run(0, applyDeadline, all)
			c.Assert(f.maxAge < applyDeadline*3/4, qt.IsTrue, qt.Commentf("age %v at the start", f.maxAge))
			f.maxAge = 0
			f.run(applyDeadline, 40*time.Second, all)
			// One call per defaultReadTime, and one of each watcher at its start.
			c.Assert(f.calls <= 41+n, qt.IsTrue, qt.Commentf("%d calls", f.calls))
			c.Assert(f.maxAge < applyDeadline/2, qt.IsTrue, qt.Commentf("age %v", f.maxAge))
		})
	}
}

// TestReaderIsReplaced covers a reader that is cut off, refused or silent, and a source that refuses
// some balancers: the replicas of all others must stay confirmed within the time in which a change
// must be active.
func TestReaderIsReplaced(t *testing.T) {
	from := 10 * time.Second
	tests := map[string]struct {
		canRead func(now time.Duration, i int) bool
		canHear func(now time.Duration, i, j int) bool
		// excused watchers can neither read nor receive confirmations.
		excused func(i int) bool
	}{
		"refused by the source":  {canRead: func(now time.Duration, i int) bool { return now < from || i != 0 }},
		"a third is refused":     {canRead: func(now time.Duration, i int) bool { return now < from || i >= 5 }},
		"all but the last":       {canRead: func(now time.Duration, i int) bool { return now < from || i == 14 }},
		"cut off from its peers": {canHear: func(now time.Duration, i, j int) bool { return now < from || i != 0 && j != 0 }},
		"dead": {
			canRead: func(now time.Duration, i int) bool { return now < from || i != 0 },
			canHear: func(now time.Duration, i, j int) bool { return now < from || i != 0 && j != 0 },
			excused: func(i int) bool { return i == 0 },
		},
		"partitioned in two": {canHear: func(now time.Duration, i, j int) bool { return now < from || (i < 7) == (j < 7) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(15)
			if test.canRead != nil {
				f.canRead = test.canRead
			}
			if test.canHear != nil {
				f.canHear = test.canHear
			}
			f.run(0, 30*time.Second, func(i int) bool { return test.excused == nil || !test.excused(i) })
			c.Assert(f.maxAge < applyDeadline*3/4, qt.IsTrue, qt.Commentf("age %v", f.maxAge))
			c.Assert(f.calls < 250, qt.IsTrue, qt.Commentf("%d calls", f.calls))
		})
	}
}

// TestOutageCostsFewCalls has a source that is down for all balancers.
func TestOutageCostsFewCalls(t *testing.T) {
	c := qt.New(t)
	f := newFleet(15)
	down := func(now time.Duration) bool { return now >= 10*time.Second && now < 15*time.Second }
	f.canRead = func(now time.Duration, _ int) bool { return !down(now) }
	f.run(0, 15*time.Second, all)
	before := f.calls
	f.maxAge = 0
	f.run(15*time.Second, 20*time.Second, func(int) bool { return false })
	f.run(20*time.Second, 30*time.Second, all)
	c.Assert(before < 120, qt.IsTrue, qt.Commentf("%d calls", before))
	c.Assert(f.maxAge < applyDeadline/2, qt.IsTrue, qt.Commentf("age %v", f.maxAge))
}

// TestReturningConfirmationIsNotNewer fails if a confirmation that returns through other balancers
// looks newer than it is.
func TestReturningConfirmationIsNotNewer(t *testing.T) {
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

// TestReadersFarApartFindEachOther has a fleet in which confirmations go from neighbour to
// neighbour, and two readers that confirm so often that each one's own confirmation is always the
// newest around it. One of them must still yield.
func TestReadersFarApartFindEachOther(t *testing.T) {
	c := qt.New(t)
	f := newFleet(15)
	f.canHear = func(_ time.Duration, i, j int) bool { return i-j == 1 || j-i == 1 }
	f.readTime = 2 * step
	f.canRead = func(now time.Duration, i int) bool { return now < 5*time.Second || i >= 12 || i == 4 }
	f.run(0, 20*time.Second, all)
	f.canRead = func(time.Duration, int) bool { return true }
	f.run(20*time.Second, 30*time.Second, all)
	f.calls = 0
	f.run(30*time.Second, 40*time.Second, all)
	c.Assert(f.calls <= 101, qt.IsTrue, qt.Commentf("%d calls in 10 s, of one reader 100", f.calls))
}

// TestReadersThatEndedAreForgotten has each of 10,000 processes read the source once, among them this one.
func TestReadersThatEndedAreForgotten(t *testing.T) {
	c := qt.New(t)
	w := newWatcher(1)
	w.RecordRead(0, 0)
	now := time.Duration(0)
	for id := range watcher.ReaderID(10_000) {
		now += 10 * time.Second
		w.Confirm(now, watcher.Confirmation{Reader: id + 2, Seq: 1, At: now})
		w.Confirm(now, watcher.Confirmation{Reader: id + 2, Seq: 1, At: now})
	}
	c.Assert(w.Readers() <= 40, qt.IsTrue, qt.Commentf("%d readers", w.Readers()))
	c.Log("a later confirmation of its own still counts as newer")
	w.RecordRead(now+time.Second, now+time.Second)
	age, _ := w.Age(now + time.Second)
	c.Assert(age, qt.Equals, time.Duration(0))
}
