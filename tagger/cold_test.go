package tagger_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/tagger"
	"example.org/rattanwood/warmer"
)

// coldShare is the number of flows that one balancer admits to a cold upstream of newColdFixture within a second.
const coldShare = 3

// newColdFixture returns a fixture in which each service bears two flows a second on a cold upstream, and the given
// upstreams are cold for ten seconds. Its balancer holds all leases, or another one named holder does.
func newColdFixture(holder rattanwood.VMID, cold ...int) *fixture {
	w := warmer.New(warmer.Config{Self: "self", Incarnation: 1, Overage: 2, Slack: 2})
	f := newFixtureAt(10*time.Second, w)
	r := routing(2)
	limits := rattanwood.ServiceLimits{WarmupRate: 2}
	r.Services = map[rattanwood.ServiceID]rattanwood.ServiceLimits{"board": limits, "maps": limits}
	f.SetRouting(r)
	for _, i := range cold {
		f.registerCold(i)
	}
	w.HearPeer()
	for g := range warmer.Group(4) {
		if holder != "" {
			w.HandleRequest(f.now, holder, warmer.Request{Group: g, Round: 1, Held: true})
		}
	}
	w.Tick(f.now, f.ColdUpstreams(f.now), nil)
	return f
}

func (f *fixture) registerCold(i int) {
	r := registration(i)
	r.RemainingWarmup = 10 * time.Second
	f.SetRegistration(f.now, r)
}

// advise asks for a flow on behalf of another balancer, and returns the upstream that it is admitted to.
func (f *fixture) advise(caller, upstream int) (id rattanwood.UpstreamID, ok bool) {
	s := segment(caller, board)
	s.Flags = rattanwood.FlagOpen
	a, ok := f.Advise(f.now, "peer", s, tagger.Request{Upstream: instance(upstream).Upstream()})
	return a.Upstream, ok
}

// TestColdUpstreamsAlone has a service whose upstreams are all cold: flows beyond the bound are refused at once, if
// the records are known to be current.
func TestColdUpstreamsAlone(t *testing.T) {
	c := qt.New(t)
	f := newColdFixture("", 5, 6)
	for caller := range 2 * coldShare {
		c.Assert(f.sendFirst(caller+1, maps).Action, qt.Equals, tagger.Forward)
	}
	c.Assert(f.sendFirst(100, maps), qt.Equals, tagger.Verdict{Action: tagger.Reset, Reason: tagger.Limited})
	c.Assert(f.sendFirst(1, maps), qt.Equals, tagger.Verdict{Reason: tagger.Limited}, qt.Commentf("a repeated packet counts again"))
	f.now += 5 * time.Second
	c.Assert(f.sendFirst(101, maps).Action, qt.Equals, tagger.Drop)
}

// TestColdUpstreamsWithoutRate are served as if there were no leases.
func TestColdUpstreamsWithoutRate(t *testing.T) {
	c := qt.New(t)
	f := newColdFixture("", 5, 6)
	f.SetRouting(routing(3))
	for caller := 1; caller < 100; caller++ {
		c.Assert(f.sendFirst(caller, maps).Action, qt.Equals, tagger.Forward)
	}
	c.Assert(f.ColdUpstreams(f.now), qt.HasLen, 0)
}

// TestWhoHoldsTheLeaseIsAsked checks that a balancer without the lease sends nothing to cold upstreams by itself, asks
// for no more than the holder can admit, and asks for repeated first packets as well, which count again.
func TestWhoHoldsTheLeaseIsAsked(t *testing.T) {
	c := qt.New(t)
	f := newColdFixture("holder", 1, 2)
	asked := map[rattanwood.UpstreamID]int{}
	for caller := 1; caller < 200; caller++ {
		v := f.sendFirst(caller, board)
		if v.Action == tagger.Forward {
			c.Assert(v.Instance != instance(1) && v.Instance != instance(2), qt.IsTrue)
			continue
		}
		c.Assert(v.Action, qt.Equals, tagger.Ask)
		c.Assert(v.Peer, qt.Equals, rattanwood.VMID("holder"))
		id := v.Request.Upstream
		asked[id]++
		out := f.HandleAdvice(f.now, tagger.Advice{Serial: v.Request.Serial, Upstream: id})
		c.Assert(out, qt.HasLen, 1)
		c.Assert(out[0].Instance.Upstream(), qt.Equals, id)
		switch again := f.sendFirst(caller, board); again.Action {
		case tagger.Ask:
			c.Assert(again.Request.Upstream, qt.Equals, id)
			asked[id]++
			out := f.HandleAdvice(f.now, tagger.Advice{Serial: again.Request.Serial, Upstream: id})
			c.Assert(out, qt.HasLen, 1)
			c.Assert(out[0].Reason, qt.Equals, tagger.Retransmitted)
			c.Assert(out[0].Instance.Upstream(), qt.Equals, id)
		default:
			c.Assert(again, qt.Equals, tagger.Verdict{Reason: tagger.Limited}, qt.Commentf("not sent anywhere else"))
		}
	}
	c.Assert(asked, qt.DeepEquals, map[rattanwood.UpstreamID]int{1: coldShare, 2: coldShare})
}

// TestFlowsThatAreNotAdmitted go to warm upstreams, and their copies as well.
func TestFlowsThatAreNotAdmitted(t *testing.T) {
	tests := map[string]func(f *fixture, caller int, q *tagger.Request) []tagger.OutgoingPacket{
		"no room": func(f *fixture, _ int, q *tagger.Request) []tagger.OutgoingPacket {
			return f.HandleAdvice(f.now, tagger.Advice{Serial: q.Serial})
		},
		"no answer": func(f *fixture, _ int, _ *tagger.Request) []tagger.OutgoingPacket {
			f.now += 100 * time.Millisecond
			return f.DecideOverdue(f.now)
		},
		"no budget": func(f *fixture, caller int, _ *tagger.Request) []tagger.OutgoingPacket {
			s := segment(caller, board)
			s.Flags = rattanwood.FlagOpen
			out := f.Withhold(f.now, s)
			want := tagger.AskCounts{tagger.AskWithheld: 1}
			if *f.Asks() != want {
				return nil
			}
			return out
		},
	}
	for name, decide := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newColdFixture("holder", 1, 2, 3)
			for caller := 1; ; caller++ {
				v := f.sendFirst(caller, board)
				if v.Action != tagger.Ask {
					continue
				}
				out := decide(f, caller, v.Request)
				c.Assert(out, qt.HasLen, 1)
				c.Assert(out[0].Instance, qt.Equals, instance(4))
				f.now += 200 * time.Millisecond
				c.Assert(f.sendCopy(caller, 1).Instance, qt.Equals, instance(4))
				return
			}
		})
	}
}

// TestAdviceOnColdUpstreams checks the answers to other balancers.
func TestAdviceOnColdUpstreams(t *testing.T) {
	tests := map[string]struct {
		change   func(f *fixture)
		upstream int
		outcome  tagger.AskOutcome
	}{
		"within the bound": {func(*fixture) {}, 1, tagger.AskAdmitted},
		"beyond the bound": {func(f *fixture) {
			for caller := range coldShare {
				f.advise(1000+caller, 1)
			}
		}, 1, tagger.AskDiverted},
		"upstream is warm":            {func(f *fixture) { f.now += 10 * time.Second }, 1, tagger.AskAdmitted},
		"upstream drains":             {func(f *fixture) { f.register(1, true) }, 1, tagger.AskDiverted},
		"upstream of another service": {func(*fixture) {}, 5, tagger.AskDiverted},
		"unknown upstream":            {func(*fixture) {}, 9, tagger.AskDiverted},
		"lease has expired":           {func(f *fixture) { f.now += 2 * time.Second }, 1, tagger.AskDiverted},
		"address has no route":        {func(f *fixture) { f.SetRouting(routing(3, board)) }, 1, tagger.AskDropped},
		"waited during a pause":       {func(f *fixture) { f.Tick(f.now); f.now += time.Second; f.Tick(f.now) }, 1, tagger.AskDropped},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newColdFixture("", 1)
			test.change(f)
			before := *f.Asks()
			id, ok := f.advise(1, test.upstream)
			c.Assert(ok, qt.Equals, test.outcome != tagger.AskDropped)
			c.Assert(id != 0, qt.Equals, test.outcome == tagger.AskAdmitted)
			c.Assert(f.Asks()[test.outcome], qt.Equals, before[test.outcome]+1)
		})
	}
	c := qt.New(t)
	f := newColdFixture("", 1)
	f.advise(1, 1)
	c.Assert(f.TakeTallies(f.now), qt.HasLen, 0, qt.Commentf("nothing is counted"))
	_, ok := f.Advise(f.now, "peer", segment(1, board), tagger.Request{Upstream: 1})
	c.Assert(ok, qt.IsFalse, qt.Commentf("not a first packet"))
}

// TestColdUpstreamsGetNoReassignedFlows checks that flows of an upstream that fails don't go to cold upstreams,
// which would have to count them.
func TestColdUpstreamsGetNoReassignedFlows(t *testing.T) {
	c := qt.New(t)
	f := newColdFixture("", 1, 2, 3)
	f.register(4, false)
	for caller := 1; caller < 100; caller++ {
		f.sendFirst(caller, board)
	}
	f.now += warmer.Window
	for _, p := range f.ReassignOpeningFlows(f.now, instance(4).Upstream()) {
		c.Assert(p.Instance, qt.Equals, instance(4))
	}
}

// TestOtherDataCentresLeaveColdUpstreams checks that only balancers of an upstream's data centre use it while it
// is cold.
func TestOtherDataCentresLeaveColdUpstreams(t *testing.T) {
	c := qt.New(t)
	f := newColdFixture("holder")
	f.register(6, true)
	r := registration(5)
	r.DataCentre, r.RemainingWarmup = "west", time.Second
	f.SetRegistration(f.now, r)
	c.Assert(f.sendFirst(1, maps).Action, qt.Equals, tagger.Reset)
	c.Assert(f.ColdUpstreams(f.now), qt.HasLen, 0)
}

// TestFewWarmUpstreamsAreNotOverloaded has three of four upstreams end their warm-up at once. The fourth can't take
// the flows from which they could be spared.
func TestFewWarmUpstreamsAreNotOverloaded(t *testing.T) {
	c := qt.New(t)
	f := newColdFixture("", 1, 2, 3)
	f.now += 10 * time.Second
	got := 0
	for caller := 1; caller <= 200; caller++ {
		if f.sendFirst(caller, board).Instance == instance(4) {
			got++
		}
	}
	c.Assert(got < 100, qt.IsTrue, qt.Commentf("%d of 200 flows", got))
}

// TestEvacuatedUpstreamsNeedNoLease checks that no lease is asked for while no new flows may go to the data centre.
func TestEvacuatedUpstreamsNeedNoLease(t *testing.T) {
	c := qt.New(t)
	f := newColdFixture("", 1)
	c.Assert(f.ColdUpstreams(f.now), qt.HasLen, 1)
	f.evacuator.Set(f.now, "east", 1)
	c.Assert(f.ColdUpstreams(f.now), qt.HasLen, 0)
}

// TestUpstreamsThatWereDeadAreCold guards against too many flows for a cold upstream: it crashed and starts again under its id
// while the source is away, so that its record is that of the process before.
func TestUpstreamsThatWereDeadAreCold(t *testing.T) {
	const warmup = 6 * time.Second
	tests := map[string]struct {
		// update changes the record while the upstream counts as cold.
		update func(r *rattanwood.Registration)
		cold   bool
	}{
		"the source is away":              {nil, true},
		"the record of before is renewed": {func(r *rattanwood.Registration) { r.Slots++ }, true},
		"it has started long ago":         {func(r *rattanwood.Registration) { r.StartTime++ }, false},
		"it is cold by its record":        {func(r *rattanwood.Registration) { r.StartTime++; r.RemainingWarmup = warmup }, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := warmer.New(warmer.Config{Self: "self", Incarnation: 1, Overage: 2, Slack: 2})
			w.HearPeer()
			f := newFixtureAt(10*time.Second, w)
			r := routing(3)
			limits := rattanwood.ServiceLimits{WarmupRate: 2, WarmupTime: warmup}
			r.Services = map[rattanwood.ServiceID]rattanwood.ServiceLimits{"board": limits, "maps": limits}
			f.SetRouting(r)
			for caller := range 10 * coldShare {
				c.Assert(f.sendFirst(caller+1, maps).Action, qt.Equals, tagger.Forward, qt.Commentf("warm"))
			}
			f.now += time.Second
			for _, i := range []int{5, 6} {
				f.AssumeRestart(f.now, instance(i).Upstream())
				if test.update != nil {
					r := registration(i)
					test.update(&r)
					f.SetRegistration(f.now, r)
				}
			}
			w.Tick(f.now, f.ColdUpstreams(f.now), nil)
			admitted := 0
			for caller := range 10 * coldShare {
				if f.sendFirst(1000+caller, maps).Action == tagger.Forward {
					admitted++
				}
			}
			c.Assert(admitted < 10*coldShare, qt.Equals, test.cold, qt.Commentf("%d flows", admitted))
			c.Assert(admitted <= 2*coldShare, qt.Equals, test.cold, qt.Commentf("%d flows", admitted))
			f.now += warmup
			for caller := range 10 * coldShare {
				c.Assert(f.sendFirst(2000+caller, maps).Action, qt.Not(qt.Equals), tagger.Reset)
			}
		})
	}
}
