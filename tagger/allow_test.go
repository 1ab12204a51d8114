package tagger_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/confiner"
	"example.org/rattanwood/prober"
	"example.org/rattanwood/tagger"
)

// newConfinedFixture returns a balancer of a data centre. Upstreams 1 and 2 of service board are in the region
// north, 3 in the region south and 4 in a data centre whose region isn't known.
func newConfinedFixture(centre rattanwood.DataCentre, route rattanwood.Route) *fixture {
	f := newFixture()
	cfg := tagger.DefaultConfig()
	cfg.DataCentre, cfg.Random, cfg.Placer, cfg.Prober = centre, f.random, f.placer, f.prober
	cfg.Confiner = confiner.New(confiner.Config{DataCentre: centre, Regions: map[rattanwood.DataCentre]rattanwood.Region{"east": "north", "west": "north", "far": "south"}})
	f.Tagger = tagger.New(cfg)
	f.SetRouting(confinedRouting(1, route))
	for i, in := range []rattanwood.DataCentre{"east", "west", "far", "lost"} {
		r := registration(i + 1)
		r.DataCentre = in
		f.SetRegistration(f.now, r)
	}
	f.Confirm(f.now)
	return f
}

func confinedRouting(v rattanwood.Version, route rattanwood.Route) *rattanwood.Routing {
	route.Address, route.Shares = board, []rattanwood.Share{{Service: "board", Weight: 1}}
	return &rattanwood.Routing{Version: v, Routes: []rattanwood.Route{route}}
}

// TestHomes sends the first packets of a route to balancers in two regions. Under load and with failing
// upstreams, every balancer must use the upstreams in the homes and no others, and refuse if there are none.
func TestHomes(t *testing.T) {
	type regions = []rattanwood.Region
	tests := map[string]struct {
		route, customer regions
		// want are the upstreams that get flows.
		want []int
	}{
		"none":                  {want: []int{1, 2, 3, 4}},
		"of the route":          {route: regions{"north"}, want: []int{1, 2}},
		"of the customer":       {customer: regions{"south"}, want: []int{3}},
		"of both":               {route: regions{"north", "south"}, customer: regions{"south"}, want: []int{3}},
		"of both, disjoint":     {route: regions{"north"}, customer: regions{"south"}},
		"where no upstream is":  {route: regions{"other"}},
		"of an unknown centre":  {route: regions{""}},
		"all that have regions": {route: regions{"south", "north"}, want: []int{1, 2, 3}},
	}
	for name, test := range tests {
		for _, centre := range []rattanwood.DataCentre{"east", "far", "lost"} {
			t.Run(name+", "+string(centre), func(t *testing.T) {
				c := qt.New(t)
				f := newConfinedFixture(centre, rattanwood.Route{Homes: test.route, CustomerHomes: test.customer})
				used := map[int]bool{}
				for caller := 1; caller <= 600; caller++ {
					f.now += time.Millisecond
					f.Confirm(f.now)
					if caller == 300 {
						// From here on, all upstreams in the homes fail, and others would be better.
						for _, i := range test.want[:max(len(test.want)-1, 0)] {
							f.failChecks(i, prober.Refused)
						}
					}
					v := f.sendFirst(caller, board)
					if len(test.want) == 0 {
						c.Assert(v, qt.Equals, tagger.Verdict{Action: tagger.Reset, Reason: tagger.Confined})
						continue
					}
					c.Assert(v.Action, qt.Equals, tagger.Forward)
					used[int(v.Instance.Upstream())] = true
				}
				c.Assert(used, qt.HasLen, len(test.want))
				for _, i := range test.want {
					c.Assert(used[i], qt.IsTrue, qt.Commentf("upstream %d", i))
				}
			})
		}
	}
}

// TestHomesWithoutCurrentRecords checks that nothing is refused for good while the homes may have changed.
func TestHomesWithoutCurrentRecords(t *testing.T) {
	f := newConfinedFixture("east", rattanwood.Route{Homes: []rattanwood.Region{"other"}})
	f.now += 2500 * time.Millisecond
	qt.New(t).Assert(f.sendFirst(1, board), qt.Equals, tagger.Verdict{Reason: tagger.Stale})
}

// TestHomesRemoved has a new version take a home from a route. Flows that are open stay, while a first packet
// that is repeated goes to another upstream.
func TestHomesRemoved(t *testing.T) {
	c := qt.New(t)
	f := newConfinedFixture("far", rattanwood.Route{Homes: []rattanwood.Region{"south"}})
	c.Assert(f.sendFirst(1, board).Instance, qt.Equals, instance(3))
	c.Assert(f.sendFirst(2, board).Instance, qt.Equals, instance(3))
	c.Assert(f.sendTagged(1, board, 3, 2).Action, qt.Equals, tagger.Forward)
	f.now += 200 * time.Millisecond
	f.SetRouting(confinedRouting(2, rattanwood.Route{Homes: []rattanwood.Region{"north"}}))
	c.Assert(f.sendTagged(1, board, 3, 3).Instance, qt.Equals, instance(3), qt.Commentf("an open flow stays"))
	repeated := f.sendFirst(2, board)
	c.Assert(repeated.Reason, qt.Equals, tagger.Reassigned)
	c.Assert(repeated.Instance.Upstream() <= 2, qt.IsTrue)
	c.Assert(f.sendFirst(3, board).Instance.Upstream() <= 2, qt.IsTrue)
}

// TestHomesBindReassignedFlows has the only upstream of a home stop answering while a flow opens on it.
func TestHomesBindReassignedFlows(t *testing.T) {
	c := qt.New(t)
	f := newConfinedFixture("east", rattanwood.Route{Homes: []rattanwood.Region{"south"}})
	c.Assert(f.sendFirst(1, board).Instance, qt.Equals, instance(3))
	f.failChecks(3, prober.TimedOut)
	c.Assert(f.ReassignOpeningFlows(f.now, 3), qt.HasLen, 0)
	c.Assert(f.sendFirst(1, board).Instance, qt.Equals, instance(3), qt.Commentf("a home that fails is better than none"))
}
