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

func (f *fixture) hand(caller, upstream int) (tagger.Verdict, tagger.HandOverOutcome) {
	s := segment(caller, board)
	s.Flags = rattanwood.FlagOpen
	return f.HandedPacket(f.now, s, []byte("first"), instance(upstream).Upstream())
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

// TestFlowsAreHandedOver checks that a balancer without the lease sends nothing to cold upstreams itself, hands
// over no more than the holder can admit, and sends repeated first packets the same way, where they count again.
func TestFlowsAreHandedOver(t *testing.T) {
	c := qt.New(t)
	f := newColdFixture("holder", 1, 2)
	handed := map[rattanwood.InstanceID]int{}
	for caller := 1; caller < 200; caller++ {
		v := f.sendFirst(caller, board)
		if v.Instance != instance(1) && v.Instance != instance(2) {
			c.Assert(v.Action, qt.Equals, tagger.Forward)
			continue
		}
		c.Assert(v.Action, qt.Equals, tagger.HandOver)
		c.Assert(v.Peer, qt.Equals, rattanwood.VMID("holder"))
		handed[v.Instance]++
		if again := f.sendFirst(caller, board); again.Action == tagger.HandOver {
			c.Assert(again.Instance, qt.Equals, v.Instance)
			handed[v.Instance]++
		} else {
			c.Assert(again.Instance != v.Instance, qt.IsTrue, qt.Commentf("not sent to a cold upstream directly"))
		}
	}
	c.Assert(handed, qt.DeepEquals, map[rattanwood.InstanceID]int{instance(1): coldShare, instance(2): coldShare})
}

// TestHandedPackets checks the decision on packets that other balancers hand over.
func TestHandedPackets(t *testing.T) {
	tests := map[string]struct {
		change   func(f *fixture)
		upstream int
		action   tagger.Action
		outcome  tagger.HandOverOutcome
	}{
		"within the bound": {func(*fixture) {}, 1, tagger.Forward, tagger.HandOverAdmitted},
		"beyond the bound": {func(f *fixture) {
			for caller := range coldShare {
				f.hand(1000+caller, 1)
			}
		}, 1, tagger.Forward, tagger.HandOverDiverted},
		"upstream is warm":            {func(f *fixture) { f.now += 10 * time.Second }, 1, tagger.Forward, tagger.HandOverAdmitted},
		"upstream drains":             {func(f *fixture) { f.register(1, true) }, 1, tagger.Forward, tagger.HandOverDiverted},
		"upstream of another service": {func(*fixture) {}, 5, tagger.Forward, tagger.HandOverDiverted},
		"unknown upstream":            {func(*fixture) {}, 9, tagger.Forward, tagger.HandOverDiverted},
		"lease has expired":           {func(f *fixture) { f.now += 2 * time.Second }, 1, tagger.Forward, tagger.HandOverDiverted},
		"address has no route":        {func(f *fixture) { f.SetRouting(routing(3, board)) }, 1, tagger.Reset, tagger.HandOverReset},
		"waited during a pause":       {func(f *fixture) { f.Tick(f.now); f.now += time.Second; f.Tick(f.now) }, 1, tagger.Drop, tagger.HandOverDropped},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newColdFixture("", 1)
			test.change(f)
			v, outcome := f.hand(1, test.upstream)
			c.Assert(v.Action, qt.Equals, test.action)
			c.Assert(outcome, qt.Equals, test.outcome)
			c.Assert(f.HandOvers()[outcome] > 0, qt.IsTrue)
		})
	}
	c := qt.New(t)
	f := newColdFixture("", 1)
	v, _ := f.HandedPacket(f.now, segment(1, board), nil, instance(1).Upstream())
	c.Assert(v, qt.Equals, tagger.Verdict{Reason: tagger.InvalidFlags})
}

// TestRepeatedHandOver checks that the copy of a packet that was handed over goes to the upstream that was chosen for
// the first one, also if that was another than wanted.
func TestRepeatedHandOver(t *testing.T) {
	c := qt.New(t)
	f := newColdFixture("", 1)
	for caller := 1; caller <= 2*coldShare; caller++ {
		v, _ := f.hand(caller, 1)
		f.now += warmer.Window / 10
		again, _ := f.hand(caller, 1)
		if again.Action == tagger.Forward {
			c.Assert(again.Instance, qt.Equals, v.Instance)
			c.Assert(again.Reason, qt.Equals, tagger.Retransmitted)
		} else {
			c.Assert(again, qt.Equals, tagger.Verdict{Reason: tagger.Limited})
		}
	}
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

// TestWithheldHandOver checks that a flow which could not be handed over goes to a warm upstream.
func TestWithheldHandOver(t *testing.T) {
	c := qt.New(t)
	f := newColdFixture("holder", 1, 2, 3)
	for caller := 1; ; caller++ {
		if v := f.sendFirst(caller, board); v.Action == tagger.HandOver {
			s := segment(caller, board)
			s.Flags = rattanwood.FlagOpen
			c.Assert(f.WithholdHandOver(f.now, s, []byte("first"), v.Reason).Instance, qt.Equals, instance(4))
			break
		}
	}
	c.Assert(*f.HandOvers(), qt.Equals, tagger.HandOverCounts{tagger.HandOverWithheld: 1})
}
