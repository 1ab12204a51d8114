package tagger_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/allocator"
	"example.org/rattanwood/confiner"
	"example.org/rattanwood/prober"
	"example.org/rattanwood/tagger"
)

// countingFixture is a tagger whose service is busy. The balancer named by ranked counts for all groups; the empty
// name stands for this one.
type countingFixture struct {
	*fixture
	admission *fakeAdmission
	allocator *allocator.Allocator
	ranked    rattanwood.VMID
	// remote is the same for groups of other data centres.
	remote rattanwood.VMID
}

func newCountingFixture() *countingFixture {
	f := &countingFixture{allocator: allocator.New(allocator.DefaultConfig())}
	f.fixture, f.admission = newAdmittingFixture()
	cfg := tagger.DefaultConfig()
	cfg.DataCentre, cfg.Random, cfg.Placer, cfg.Prober, cfg.Evacuator, cfg.Admission = "east", f.random, f.placer, f.prober, f.evacuator, f.admission
	cfg.Confiner = confiner.New(confiner.Config{DataCentre: "east", Region: "north"})
	cfg.Allocation = &tagger.AllocationConfig{Allocator: f.allocator, Ranked: func(dc rattanwood.DataCentre, _ uint64) (rattanwood.VMID, bool, bool) {
		if dc != "east" && f.remote != "" {
			return f.remote, false, true
		}
		return f.ranked, f.ranked == "", true
	}}
	f.Tagger = tagger.New(cfg)
	r := routing(1)
	for i := range r.Routes {
		r.Routes[i].Class = rattanwood.Class{Target: 250 * time.Millisecond, Timeout: time.Second}
	}
	f.SetRouting(r)
	for i := range 6 {
		f.register(i+1, false)
	}
	f.Confirm(f.now)
	// One flow before the service is busy shows how long a round trip is.
	v := f.sendFirst(999, board)
	f.now += 2 * time.Millisecond
	f.sendTagged(999, board, v.Instance.Upstream(), 2)
	f.admission.busy, f.admission.work = true, 40*time.Millisecond
	return f
}

// underWay returns the number of requests that are counted.
func (f *countingFixture) underWay() (n int) {
	for i := range 6 {
		n += f.allocator.UnderWay(instance(i + 1).Upstream())
	}
	return n
}

// TestFlowsArePlacedByCounts opens flows at the balancer that counts: they are spread evenly, counted until the
// Callers acknowledge the first part of a response, and refused once all would be late.
func TestFlowsArePlacedByCounts(t *testing.T) {
	c := qt.New(t)
	f := newCountingFixture()
	v := f.sendFirst(1, board)
	c.Assert(v.Action, qt.Equals, tagger.Forward)
	c.Assert(f.underWay(), qt.Equals, 1)
	f.now += 2 * time.Millisecond
	s := segment(1, board)
	s.Tag, s.Flags, s.Seq, s.Ack, s.Length = v.Instance.Upstream(), rattanwood.FlagAck, 2, 100, 10
	f.Packet(f.now, s, nil)
	c.Assert(f.underWay(), qt.Equals, 1)
	f.now += 40 * time.Millisecond
	s.Seq, s.Ack, s.Length = 12, 1100, 0
	f.Packet(f.now, s, nil)
	c.Assert(f.underWay(), qt.Equals, 0)

	refused := 0
	for caller := 10; caller < 400; caller++ {
		if f.sendFirst(caller, board).Reason == tagger.Overloaded {
			refused++
		}
	}
	c.Assert(refused > 200, qt.IsTrue, qt.Commentf("%d refused", refused))
	c.Assert(f.underWay(), qt.Equals, 390-refused)
}

// TestFlowsAreHandedToWhoCounts opens flows while another balancer counts. It gets them as long as it answers, and others are
// placed here at once.
func TestFlowsAreHandedToWhoCounts(t *testing.T) {
	c := qt.New(t)
	f := newCountingFixture()
	f.ranked = "counter"
	for caller := 1; caller <= 5; caller++ {
		v := f.sendFirst(caller, board)
		c.Assert(v.Action, qt.Equals, tagger.HandOver)
		c.Assert(v.Peer, qt.Equals, rattanwood.VMID("counter"))
		c.Assert(v.Request.Service, qt.Equals, rattanwood.ServiceID("board"))
		f.now += 100 * time.Millisecond
		f.HandleTally(f.now, "counter", tagger.Tally{})
	}
	c.Assert(f.sendFirst(6, board).Action, qt.Equals, tagger.HandOver)
	f.now += 200 * time.Millisecond
	again := segment(6, board)
	again.Flags, again.Ack = rattanwood.FlagOpen, 1
	c.Assert(f.Packet(f.now, again, []byte("first")).Reason, qt.Equals, tagger.Reassigned)
	c.Assert(f.sendFirst(7, board).Action, qt.Equals, tagger.Forward)
	f.HandleTally(f.now, "counter", tagger.Tally{})
	c.Assert(f.sendFirst(8, board).Action, qt.Equals, tagger.HandOver)
}

// TestHandedFlowsKeepTheirUpstream has the copy of a first packet arrive by another way: it goes to the same upstream,
// unless that fails its checks.
func TestHandedFlowsKeepTheirUpstream(t *testing.T) {
	c := qt.New(t)
	f := newCountingFixture()
	s := segment(1, board)
	s.Flags = rattanwood.FlagOpen
	q := tagger.Request{Service: "board"}
	request := func(from rattanwood.VMID, q tagger.Request) tagger.Verdict {
		v, _ := f.RequestedPacket(f.now, from, s, []byte("first"), q)
		return v
	}
	v := request("a", q)
	c.Assert(v.Action, qt.Equals, tagger.Forward)
	f.now += 200 * time.Millisecond
	s.Ack = 1
	c.Assert(request("b", q).Instance, qt.Equals, v.Instance)
	q.Unanswered = true
	c.Assert(request("b", q).Instance, qt.Equals, v.Instance)
	f.failChecks(int(v.Instance.Upstream()), prober.TimedOut)
	c.Assert(request("b", q).Instance, qt.Not(qt.Equals), v.Instance)
	c.Assert(f.underWay(), qt.Equals, 1)
	tallies := f.TakeTallies(f.now)
	c.Assert(tallies["a"], qt.IsNotNil)
	c.Assert(tallies["b"], qt.IsNotNil)
}

// TestPassedOnFlowsKeepTheirUpstream has a flow passed on because the group that was asked is full, and room again when
// the copy of its first packet arrives: the copy must go where the flow went.
func TestPassedOnFlowsKeepTheirUpstream(t *testing.T) {
	c := qt.New(t)
	f := newCountingFixture()
	f.remote = "far"
	r := registration(4)
	r.DataCentre = "west"
	f.SetRegistration(f.now, r)
	for caller := 10; caller < 400; caller++ {
		f.sendFirst(caller, board)
	}
	s := segment(1, board)
	s.Flags = rattanwood.FlagOpen
	v, _ := f.RequestedPacket(f.now, "a", s, []byte("first"), tagger.Request{Service: "board"})
	c.Assert(v.Action, qt.Equals, tagger.HandOver)
	c.Assert(v.Peer, qt.Equals, rattanwood.VMID("far"))
	f.HandleTally(f.now, "far", tagger.Tally{})
	f.now += 200 * time.Millisecond
	f.allocator.Tick(f.now + time.Minute)
	c.Assert(f.underWay(), qt.Equals, 0)
	s.Ack = 1
	again, _ := f.RequestedPacket(f.now, "a", s, []byte("first"), tagger.Request{Service: "board"})
	c.Assert(again.Action, qt.Equals, tagger.HandOver)
	c.Assert(again.Peer, qt.Equals, v.Peer)
}

// TestEndsAreTold has requests end whose upstreams are counted elsewhere.
func TestEndsAreTold(t *testing.T) {
	c := qt.New(t)
	f := newCountingFixture()
	f.ranked = "counter"
	f.sendFirst(1, board)
	id := instance(1).Upstream()
	f.now += 2 * time.Millisecond
	f.sendTagged(1, board, id, 2)
	f.now += 40 * time.Millisecond
	s := segment(1, board)
	s.Tag, s.Flags, s.Seq, s.Ack = id, rattanwood.FlagAck, 12, 1100
	f.Packet(f.now, s, nil)
	f.now += 10 * time.Millisecond
	ended := f.TakeTallies(f.now)["counter"].Ended
	c.Assert(ended, qt.HasLen, 1)
	c.Assert(ended[0].Work, qt.Equals, 38*time.Millisecond)
	c.Assert(ended[0].Failed, qt.IsFalse)
	c.Assert(f.TakeTallies(f.now), qt.HasLen, 0)
}
