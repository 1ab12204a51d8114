package dispatcher_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/dispatcher"
	"example.org/rattanwood/picker"
)

const service = "board"

var limits = rattanwood.Limits{MaxQueueLength: 2, MaxWaitMillis: 500}

// fixture is a dispatcher with two upstreams of two slots each; it counts the requests that were
// granted a slot or expired in the queue.
type fixture struct {
	*dispatcher.Dispatcher
	granted, expired int
}

func newFixture() *fixture {
	random := rand.New(rand.NewPCG(1, 1))
	upstreams := func(rattanwood.ServiceID) []dispatcher.Candidate {
		return []dispatcher.Candidate{{ID: 1, Slots: 2}, {ID: 2, Slots: 2}}
	}
	return &fixture{Dispatcher: dispatcher.New(dispatcher.Config{Upstreams: upstreams, Picker: picker.LeastUsed{Random: random}, Random: random})}
}

func (f *fixture) acquire(now time.Duration) (id rattanwood.UpstreamID, queued *dispatcher.QueuedRequest, ok bool) {
	return f.Acquire(now, dispatcher.SlotRequest{
		Service: service, Limits: limits, Expires: time.Hour,
		Grant:  func(time.Duration, rattanwood.UpstreamID) { f.granted++ },
		Expire: func(time.Duration) { f.expired++ },
	})
}

func TestSlotsThenQueueThenRefusal(t *testing.T) {
	c := qt.New(t)
	d := newFixture()
	for range 4 {
		_, queued, ok := d.acquire(0)
		c.Assert(ok, qt.IsTrue)
		c.Assert(queued, qt.IsNil)
	}
	c.Assert(d.Running(), qt.DeepEquals, map[rattanwood.UpstreamID]int{1: 2, 2: 2})
	for range 2 {
		_, queued, ok := d.acquire(0)
		c.Assert(ok, qt.IsTrue)
		c.Assert(queued, qt.IsNotNil)
	}
	_, _, ok := d.acquire(0)
	c.Assert(ok, qt.IsFalse)
	d.Release(0, service, 1, dispatcher.Done)
	c.Assert(d.granted, qt.Equals, 1)
	d.Tick(limits.MaxWait())
	c.Assert(d.expired, qt.Equals, 1)
	c.Assert(d.Waiting(), qt.Equals, 0)
}

func TestBackoffFromSheddingUpstream(t *testing.T) {
	c := qt.New(t)
	d := newFixture()
	id, _, _ := d.acquire(0)
	d.Release(0, service, id, dispatcher.Shed)
	for range 2 {
		other, _, ok := d.acquire(time.Millisecond)
		c.Assert(ok, qt.IsTrue)
		c.Assert(other, qt.Not(qt.Equals), id)
	}
	again, _, _ := d.acquire(time.Second)
	c.Assert(again, qt.Equals, id)
}

// TestRetriesStayWithinBudget has every attempt fail: retries must stay within the budget's share
// of the requests.
func TestRetriesStayWithinBudget(t *testing.T) {
	c := qt.New(t)
	const requests, share, saved = 1000, 0.1, 10
	d := newFixture()
	retries := 0
	for range requests {
		d.AddRetryBudget(service, share)
		for retries <= requests && d.SpendRetry(service) {
			retries++
		}
	}
	c.Assert(retries <= requests*share+saved, qt.IsTrue, qt.Commentf("%d", retries))
}

func TestSlowStart(t *testing.T) {
	tests := map[string]struct {
		slots int
		age   time.Duration
		want  int
	}{
		"new":          {8, 0, 1},
		"half way":     {8, dispatcher.SlowStartTime / 2, 4},
		"warm":         {8, dispatcher.SlowStartTime, 8},
		"one slot":     {1, 0, 1},
		"two slots":    {2, dispatcher.SlowStartTime / 2, 1},
		"before start": {8, -time.Second, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, dispatcher.SlowStartSlots(test.slots, test.age), qt.Equals, test.want)
		})
	}
}
