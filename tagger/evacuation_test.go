package tagger_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/prober"
	"example.org/rattanwood/tagger"
)

// newDividedFixture returns a fixture whose upstreams 1 and 2 of the service board, and 5 of maps, are in the
// data centre west, the others in east.
func newDividedFixture() *fixture {
	f := newFixture()
	for _, i := range []int{1, 2, 5} {
		r := registration(i)
		r.DataCentre = "west"
		f.SetRegistration(f.now, r)
	}
	return f
}

// TestEvacuationLeavesOutUpstreams has a data centre evacuated while the upstreams of the other one are well, are
// avoided, drain, or have lost their registrations: no new flow goes to the evacuated one, also not as a last
// resort.
func TestEvacuationLeavesOutUpstreams(t *testing.T) {
	tests := map[string]struct {
		prepare  func(f *fixture)
		centres  []rattanwood.DataCentre
		want     map[rattanwood.InstanceID]bool
		refusal  tagger.Reason
		outdated bool
	}{
		"one of two":     {nil, []rattanwood.DataCentre{"west"}, map[rattanwood.InstanceID]bool{instance(3): true, instance(4): true}, 0, false},
		"the other":      {nil, []rattanwood.DataCentre{"east"}, map[rattanwood.InstanceID]bool{instance(1): true, instance(2): true}, 0, false},
		"unknown name":   {nil, []rattanwood.DataCentre{"Wset"}, map[rattanwood.InstanceID]bool{instance(1): true, instance(2): true, instance(3): true, instance(4): true}, 0, false},
		"both":           {nil, []rattanwood.DataCentre{"east", "west"}, nil, tagger.Evacuated, false},
		"both, outdated": {nil, []rattanwood.DataCentre{"east", "west"}, nil, tagger.Stale, true},
		"the rest fails its checks": {
			func(f *fixture) { f.failChecks(3, prober.Refused); f.failChecks(4, prober.Refused) },
			[]rattanwood.DataCentre{"west"}, map[rattanwood.InstanceID]bool{instance(3): true, instance(4): true}, 0, false,
		},
		"the rest has lapsed": {
			func(f *fixture) { removeRegistrations(f, 3, 4) },
			[]rattanwood.DataCentre{"west"}, map[rattanwood.InstanceID]bool{instance(3): true, instance(4): true}, 0, false,
		},
		"all has lapsed": {
			func(f *fixture) { removeRegistrations(f, 1, 2, 3, 4) },
			[]rattanwood.DataCentre{"west"}, map[rattanwood.InstanceID]bool{instance(3): true, instance(4): true}, 0, false,
		},
		"the rest drains": {
			func(f *fixture) { f.register(3, true); f.register(4, true) },
			[]rattanwood.DataCentre{"west"}, nil, tagger.Evacuated, false,
		},
		"the evacuated ones drain as well": {
			func(f *fixture) {
				for _, i := range []int{1, 2, 3, 4} {
					r := registration(i)
					r.Draining = true
					f.SetRegistration(f.now, r)
				}
			},
			[]rattanwood.DataCentre{"west"}, nil, tagger.NoUpstream, false,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newDividedFixture()
			if test.prepare != nil {
				test.prepare(f)
			}
			for _, centre := range test.centres {
				f.evacuator.Set(f.now, centre, 5)
			}
			if test.outdated {
				f.now += 2500 * time.Millisecond
			}
			var got map[rattanwood.InstanceID]bool
			for caller := 1; caller < 200; caller++ {
				v := f.sendFirst(caller, board)
				if v.Action != tagger.Forward {
					c.Assert(v.Reason, qt.Equals, test.refusal)
					c.Assert(v.Action == tagger.Reset, qt.Equals, !test.outdated)
					continue
				}
				if got == nil {
					got = map[rattanwood.InstanceID]bool{}
				}
				got[v.Instance] = true
			}
			c.Assert(got, qt.DeepEquals, test.want)
		})
	}
}

// TestOpenFlowsOutliveAnEvacuation checks that packets of open flows go on to evacuated upstreams, and new flows
// go there again once the evacuation is taken back.
func TestOpenFlowsOutliveAnEvacuation(t *testing.T) {
	c := qt.New(t)
	f := newDividedFixture()
	f.evacuator.Set(f.now, "west", 5)
	f.evacuator.Set(f.now, "east", 6)
	for i := range 4 {
		v := f.sendTagged(100+i, board, rattanwood.UpstreamID(1+i), 7)
		c.Assert(v.Action, qt.Equals, tagger.Forward)
		c.Assert(v.Instance, qt.Equals, instance(1+i))
	}
	upstreams, flows := f.Usage("west")
	c.Assert([]int{upstreams, flows}, qt.DeepEquals, []int{3, 2})
	f.evacuator.Clear("west")
	for caller := 1; caller < 100; caller++ {
		c.Assert(f.sendFirst(caller, board).Instance.Upstream() <= 2, qt.IsTrue)
	}
}

// TestRetransmissionsLeaveEvacuatedUpstreams has first packets repeated after their upstream was evacuated, with
// another data centre that can serve them and with none.
func TestRetransmissionsLeaveEvacuatedUpstreams(t *testing.T) {
	tests := map[string]struct {
		centres []rattanwood.DataCentre
		action  tagger.Action
		reason  tagger.Reason
	}{
		"one evacuated":  {[]rattanwood.DataCentre{"west"}, tagger.Forward, tagger.Reassigned},
		"both evacuated": {[]rattanwood.DataCentre{"west", "east"}, tagger.Reset, tagger.Evacuated},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newDividedFixture()
			placed := map[int]rattanwood.InstanceID{}
			for caller := 1; caller < 100; caller++ {
				placed[caller] = f.sendFirst(caller, board).Instance
			}
			for _, centre := range test.centres {
				f.evacuator.Set(f.now, centre, 5)
			}
			f.now += 200 * time.Millisecond
			moved := 0
			for caller, before := range placed {
				if before.Upstream() > 2 {
					continue
				}
				v := f.sendFirst(caller, board)
				c.Assert(v.Action, qt.Equals, test.action)
				c.Assert(v.Reason, qt.Equals, test.reason)
				c.Assert(v.Action == tagger.Forward, qt.Equals, v.Instance.Upstream() > 2)
				moved++
			}
			c.Assert(moved > 10, qt.IsTrue)
		})
	}
}

// TestReassignedFlowsAvoidEvacuatedUpstreams has an upstream die beside an evacuated data centre.
func TestReassignedFlowsAvoidEvacuatedUpstreams(t *testing.T) {
	c := qt.New(t)
	f := newDividedFixture()
	for caller := 1; caller < 100; caller++ {
		f.sendFirst(caller, board)
	}
	f.evacuator.Set(f.now, "west", 5)
	f.failChecks(3, prober.Refused)
	moved := f.ReassignOpeningFlows(f.now, 3)
	c.Assert(len(moved) > 3, qt.IsTrue)
	for _, p := range moved {
		c.Assert(p.Instance, qt.Equals, instance(4))
	}
}

// TestEmptyServiceOfSplitIsNotEvacuated has a route lead to a service without upstreams and to one that is well.
func TestEmptyServiceOfSplitIsNotEvacuated(t *testing.T) {
	c := qt.New(t)
	f := newDividedFixture()
	r := routing(2)
	for i := range r.Routes {
		r.Routes[i].Shares = append(r.Routes[i].Shares, rattanwood.Share{Service: "empty", Weight: 1})
	}
	f.SetRouting(r)
	refused := 0
	for caller := 1; caller < 100; caller++ {
		if v := f.sendFirst(caller, board); v.Action != tagger.Forward {
			refused++
			c.Assert(v.Reason, qt.Equals, tagger.NoUpstream)
		}
	}
	c.Assert(refused > 10, qt.IsTrue)
}
