package reconciler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/reconciler"
)

const (
	settleTime = 6 * time.Second
	now        = 10 * time.Second
)

// supersedes compares values, which the tests number.
func supersedes(later, earlier rattanwood.Record) bool {
	return string(later.Value) > string(earlier.Value)
}

func put(value string) rattanwood.Record {
	return rattanwood.Record{Key: "k", Value: []byte(value), Position: 7}
}

var deleted = rattanwood.Record{Key: "k", Position: 8, Deleted: true}

type records = []rattanwood.Record

func find(r *rattanwood.Record) func(string) (rattanwood.Record, bool) {
	return func(string) (rattanwood.Record, bool) {
		if r == nil {
			return rattanwood.Record{}, false
		}
		return *r, true
	}
}

// TestReturn covers what comes into effect when the source returns from a copy, and when the time to write
// records again is over.
func TestReturn(t *testing.T) {
	one, two := put("1"), put("2")
	tests := map[string]struct {
		earlier *rattanwood.Record
		copied  rattanwood.Record
		// atOnce and later are the values in effect after the return and after the settle time; empty means none.
		atOnce, later string
	}{
		"never known":                          {nil, one, "1", "1"},
		"the copy lacks it":                    {&one, deleted, "1", ""},
		"the copy has an older value":          {&two, one, "2", "1"},
		"written again before the listing":     {&one, two, "2", "2"},
		"the same value":                       {&one, one, "1", "1"},
		"it had left, and the copy has it yet": {&deleted, one, "", "1"},
		"it had left, and the copy lacks it":   {&deleted, deleted, "", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			inEffect := ""
			apply := func(changed records) {
				for _, r := range changed {
					inEffect = string(r.Value)
				}
			}
			if test.earlier != nil {
				inEffect = string(test.earlier.Value)
			}
			r := reconciler.New(reconciler.Config{SettleTime: settleTime, Supersedes: supersedes})
			apply(r.HandleReturn(now, 1, records{test.copied}, find(test.earlier)))
			c.Assert(inEffect, qt.Equals, test.atOnce)
			c.Assert(r.Settling(now), qt.IsTrue)
			apply(r.Expire(now+settleTime-1, find(&test.copied)))
			c.Assert(inEffect, qt.Equals, test.atOnce)
			apply(r.Expire(now+settleTime, find(&test.copied)))
			c.Assert(inEffect, qt.Equals, test.later)
			c.Assert(r.Settling(now+settleTime), qt.IsFalse)
		})
	}
}

// TestWriteInNewEraEndsHold has an upstream that drained before the return say so again.
func TestWriteInNewEraEndsHold(t *testing.T) {
	c := qt.New(t)
	r := reconciler.New(reconciler.Config{SettleTime: settleTime, Supersedes: supersedes})
	two := put("2")
	c.Assert(r.HandleReturn(now, 1, records{put("1")}, find(&two)), qt.HasLen, 0)
	held, remaining := r.Held(now + time.Second)
	c.Assert(held, qt.DeepEquals, records{two})
	c.Assert(remaining, qt.Equals, settleTime-time.Second)
	c.Assert(r.HandleChanges(records{put("3")}), qt.HasLen, 1)
	held, _ = r.Held(now + time.Second)
	c.Assert(held, qt.HasLen, 0)
	three := put("3")
	c.Assert(r.Expire(now+settleTime, find(&three)), qt.HasLen, 0)
}

// TestSecondReturn has the source return twice within the settle time: what was in effect before the first
// return stays.
func TestSecondReturn(t *testing.T) {
	c := qt.New(t)
	r := reconciler.New(reconciler.Config{SettleTime: settleTime, Supersedes: supersedes})
	two, one := put("2"), put("1")
	c.Assert(r.HandleReturn(now, 1, records{one}, find(&two)), qt.HasLen, 0)
	c.Assert(r.HandleReturn(now+time.Second, 2, records{one}, find(&one)), qt.HasLen, 0)
	held, remaining := r.Held(now + time.Second)
	c.Assert(held, qt.DeepEquals, records{two})
	c.Assert(remaining, qt.Equals, settleTime)
}

// TestStartDuringSettling has a balancer that starts from the copy and then hears what a peer holds.
func TestStartDuringSettling(t *testing.T) {
	c := qt.New(t)
	r := reconciler.New(reconciler.Config{SettleTime: settleTime, Supersedes: supersedes})
	r.Begin(now, 1)
	c.Assert(r.Informed(now), qt.IsFalse)
	one := put("1")
	c.Assert(r.Adopt(now, 2*time.Second, records{deleted}, find(&one)), qt.DeepEquals, records{deleted})
	c.Assert(r.Informed(now), qt.IsTrue)
	c.Assert(r.Expire(now+settleTime, find(&one)), qt.DeepEquals, records{one})

	r = reconciler.New(reconciler.Config{SettleTime: settleTime, Supersedes: supersedes})
	r.Begin(now, 1)
	two := put("2")
	c.Assert(r.Adopt(now, 2*time.Second, records{one}, find(&two)), qt.HasLen, 0, qt.Commentf("a value that was written again was replaced by the earlier one"))

	r = reconciler.New(reconciler.Config{SettleTime: settleTime, Supersedes: supersedes})
	r.Begin(now, 0)
	c.Assert(r.Informed(now), qt.IsTrue)
	c.Assert(r.Settling(now), qt.IsFalse)
}
