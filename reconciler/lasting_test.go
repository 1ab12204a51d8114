package reconciler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/reconciler"
)

// at returns a position in an era.
func at(era rattanwood.Era, revision rattanwood.Revision) rattanwood.Position {
	return rattanwood.NewPosition(era, revision)
}

// written and removed are a lasting record and its deletion.
func written(p rattanwood.Position) rattanwood.Record {
	return rattanwood.Record{Key: "k", Value: []byte("1"), Position: p}
}

func removed(p rattanwood.Position) rattanwood.Record {
	return rattanwood.Record{Key: "k", Position: p, Deleted: true}
}

// balancer is a reconciler of lasting records with its replica of the record k, and whether k is in effect.
type balancer struct {
	*reconciler.Reconciler
	replica  *rattanwood.Record
	inEffect bool
}

func newBalancer() *balancer {
	return &balancer{Reconciler: reconciler.New(reconciler.Config{SettleTime: settleTime, Supersedes: supersedes, Lasting: func(string) bool { return true }})}
}

func (b *balancer) apply(changed records) {
	for _, r := range changed {
		b.inEffect = !r.Deleted
	}
}

// change applies a record that was written in the present era.
func (b *balancer) change(r rattanwood.Record) {
	b.replica = &r
	b.apply(b.HandleChanges(records{r}))
}

// listing applies the listing of a new era, in which k has the given value or is missing.
func (b *balancer) listing(p rattanwood.Position, r *rattanwood.Record) {
	earlier := b.replica
	if r == nil && (earlier == nil || earlier.Deleted) {
		b.apply(b.HandleReturn(now, p.Era(), nil, find(earlier)))
		return
	}
	next := removed(p)
	if r != nil {
		next = *r
	}
	b.replica = &next
	b.apply(b.HandleReturn(now, p.Era(), records{next}, find(earlier)))
}

// meet lets two balancers exchange what they hold, after a time.
func meet(after time.Duration, a, b *balancer) {
	held, remaining := a.Held(now + after)
	b.apply(b.Adopt(now+after, remaining, held, find(b.replica)))
	held, remaining = b.Held(now + after)
	a.apply(a.Adopt(now+after, remaining, held, find(a.replica)))
}

// TestLastingRecords has the source return from a copy that lacks a lasting record, or still holds one that was
// deleted.
func TestLastingRecords(t *testing.T) {
	copied := written(at(1, 2))
	tests := map[string]struct {
		steps func(b *balancer)
		// atOnce and later are whether the record is in effect after the steps and after the settle time.
		atOnce, later bool
	}{
		"the copy lacks it":                {func(b *balancer) { b.change(written(5)); b.listing(at(1, 4), nil) }, true, true},
		"two returns":                      {func(b *balancer) { b.change(written(5)); b.listing(at(1, 4), nil); b.listing(at(2, 3), nil) }, true, true},
		"deleted before the return":        {func(b *balancer) { b.change(written(5)); b.change(removed(6)); b.listing(at(1, 4), nil) }, false, false},
		"deleted, and the copy has it yet": {func(b *balancer) { b.change(written(2)); b.change(removed(6)); b.listing(at(1, 4), &copied) }, false, true},
		"the second copy has it": {func(b *balancer) {
			b.change(written(5))
			b.listing(at(1, 4), nil)
			r := written(at(2, 5))
			b.listing(at(2, 5), &r)
		}, true, true},
		"deleted in the new era": {func(b *balancer) { b.change(written(5)); b.listing(at(1, 4), nil); b.change(removed(at(1, 7))) }, false, false},
		"written anew":           {func(b *balancer) { b.change(written(5)); b.listing(at(1, 4), nil); b.change(written(at(1, 6))) }, true, true},
		"written anew and deleted": {func(b *balancer) {
			b.change(written(5))
			b.listing(at(1, 4), nil)
			b.change(written(at(1, 6)))
			b.change(removed(at(1, 7)))
		}, false, false},
		"the same, then a copy that has it yet": {func(b *balancer) {
			b.change(written(5))
			b.listing(at(1, 4), nil)
			b.change(written(at(1, 6)))
			b.change(removed(at(1, 7)))
			r := written(at(2, 6))
			b.listing(at(2, 6), &r)
		}, false, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := newBalancer()
			b.Begin(now, 0)
			test.steps(b)
			c.Assert(b.inEffect, qt.Equals, test.atOnce)
			b.apply(b.Expire(now+settleTime, find(b.replica)))
			c.Assert(b.inEffect, qt.Equals, test.later)
			c.Assert(b.Settling(now+settleTime), qt.IsFalse)
		})
	}
}

// TestLastingRecordsSpread has two balancers meet that differ in what they know of a lasting record. After the
// settle time neither may count as settling for it.
func TestLastingRecordsSpread(t *testing.T) {
	lost := func(b *balancer) { b.Begin(now, 0); b.change(written(5)); b.listing(at(1, 4), nil) }
	tests := map[string]struct {
		a, b func(b *balancer)
		want bool
	}{
		"one started after the return": {lost, func(b *balancer) { b.Begin(now, 1) }, true},
		"one had not heard of it":      {lost, func(b *balancer) { b.Begin(now, 0); b.listing(at(1, 4), nil) }, true},
		"one knew that it was deleted": {lost, func(b *balancer) {
			b.Begin(now, 0)
			b.change(written(5))
			b.change(removed(6))
			b.listing(at(1, 4), nil)
		}, false},
		"one missed its end in the new era": {func(b *balancer) { lost(b); b.change(written(at(1, 6))); b.change(removed(at(1, 7))) }, func(b *balancer) { b.Begin(now, 0); b.change(written(5)); b.listing(at(1, 9), nil) }, false},
		"one missed that it was renewed": {func(b *balancer) { lost(b); b.change(written(at(1, 6))) }, func(b *balancer) {
			b.Begin(now, 0)
			b.change(written(5))
			r := written(at(1, 6))
			b.listing(at(1, 9), &r)
		}, true},
		"one had an older request": {lost, func(b *balancer) { b.Begin(now, 0); b.change(written(3)); b.listing(at(1, 4), nil) }, true},
	}
	for name, test := range tests {
		for _, after := range []time.Duration{0, settleTime + time.Second} {
			t.Run(name, func(t *testing.T) {
				c := qt.New(t)
				a, b := newBalancer(), newBalancer()
				test.a(a)
				test.b(b)
				meet(after, a, b)
				c.Assert(a.inEffect, qt.Equals, test.want)
				c.Assert(b.inEffect, qt.Equals, test.want)
				c.Assert(a.KeptDigest(), qt.Equals, b.KeptDigest(), qt.Commentf("they would fetch from each other for ever"))
				c.Assert(b.Informed(now+after), qt.IsTrue)
				c.Assert(b.Settling(now+settleTime+time.Second), qt.IsFalse)
			})
		}
	}
}

// TestUndoneDeletionIsOnlyHeld has a balancer start from a copy that still holds a record, which others know to have
// been deleted. It goes by them for the settle time, and by the source afterwards, as they do.
func TestUndoneDeletionIsOnlyHeld(t *testing.T) {
	c := qt.New(t)
	copied := written(at(1, 2))
	a, b := newBalancer(), newBalancer()
	a.Begin(now, 0)
	a.change(written(2))
	a.change(removed(6))
	a.listing(at(1, 4), &copied)
	b.Begin(now, 1)
	b.replica, b.inEffect = &copied, true
	meet(time.Second, a, b)
	for _, balancer := range []*balancer{a, b} {
		c.Assert(balancer.inEffect, qt.IsFalse)
		balancer.apply(balancer.Expire(now+settleTime, find(&copied)))
		c.Assert(balancer.inEffect, qt.IsTrue)
		c.Assert(balancer.KeptDigest(), qt.Equals, uint32(0))
	}
}
