package tagger_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/evacuator"
	"example.org/rattanwood/placer"
	"example.org/rattanwood/prober"
	"example.org/rattanwood/rotator"
	"example.org/rattanwood/tagger"
	"example.org/rattanwood/warmer"
)

var (
	board    = netip.MustParseAddrPort("198.18.0.1:443")
	maps     = netip.MustParseAddrPort("198.18.0.2:443")
	unrouted = netip.MustParseAddrPort("198.18.0.9:1")
)

// fixture is a tagger with two services: board on upstreams 1 to 4, maps on 5 and 6.
type fixture struct {
	*tagger.Tagger
	prober    *prober.Prober
	evacuator *evacuator.Evacuator
	rotator   *rotator.Rotator
	placer    *placer.Placer
	random    *rand.Rand
	now       time.Duration
}

func newFixture() *fixture { return newFixtureAt(time.Second, nil) }

// newFixtureAt is like newFixture, at another time and with limits for cold upstreams.
func newFixtureAt(now time.Duration, w *warmer.Warmer) *fixture {
	random := rand.New(rand.NewPCG(1, 2))
	f := &fixture{evacuator: evacuator.New(), rotator: rotator.New(), prober: prober.New(prober.DefaultConfig()), placer: placer.New(placer.DefaultConfig(random)), random: random, now: now}
	cfg := tagger.DefaultConfig()
	cfg.DataCentre, cfg.Random, cfg.Placer, cfg.Prober, cfg.Evacuator, cfg.Warmer = "east", random, f.placer, f.prober, f.evacuator, w
	cfg.Rotator = f.rotator
	f.Tagger = tagger.New(cfg)
	f.SetRouting(routing(1))
	for i := range 6 {
		f.register(i+1, false)
	}
	f.Confirm(f.now)
	return f
}

func routing(v rattanwood.Version, without ...netip.AddrPort) *rattanwood.Routing {
	r := &rattanwood.Routing{Version: v}
	for address, service := range map[netip.AddrPort]rattanwood.ServiceID{board: "board", maps: "maps"} {
		if len(without) == 0 || without[0] != address {
			r.Routes = append(r.Routes, rattanwood.Route{Address: address, Shares: []rattanwood.Share{{Service: service, Weight: 1}}})
		}
	}
	return r
}

func instance(i int) rattanwood.InstanceID { return rattanwood.InstanceID(0xab<<32 | i) }

func registration(i int) rattanwood.Registration {
	r := rattanwood.Registration{
		Instance: instance(i), Service: "board", DataCentre: "east", Slots: 2, StartTime: 1,
		Address: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:80", i)),
	}
	if i > 4 {
		r.Service = "maps"
	}
	return r
}

func (f *fixture) register(i int, draining bool) {
	r := registration(i)
	r.Draining = draining
	f.SetRegistration(f.now, r)
}

func segment(caller int, to netip.AddrPort) rattanwood.Segment {
	return rattanwood.Segment{Caller: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), uint16(caller)), Target: to}
}

func (f *fixture) sendFirst(caller int, to netip.AddrPort) tagger.Verdict {
	s := segment(caller, to)
	s.Flags = rattanwood.FlagOpen
	return f.Packet(f.now, s, []byte("first"))
}

func (f *fixture) sendTagged(caller int, to netip.AddrPort, tag rattanwood.UpstreamID, seq uint32) tagger.Verdict {
	s := segment(caller, to)
	s.Flags, s.Tag, s.Seq, s.Length = rattanwood.FlagAck, tag, seq, 10
	return f.Packet(f.now, s, nil)
}

// run lets time pass as a running process does.
func (f *fixture) run(d time.Duration) {
	const tickPeriod = 50 * time.Millisecond
	for end := f.now + d; f.now < end; {
		f.now = min(f.now+tickPeriod, end)
		f.Tick(f.now)
	}
}

// failChecks fails an upstream's checks as often as it takes to prove it dead, and returns the
// state changes.
func (f *fixture) failChecks(i int, o prober.Outcome) (change prober.StateChange) {
	for range 4 {
		f.prober.RecordResult(6, f.now, prober.Passed)
		got := f.prober.RecordResult(instance(i).Upstream(), f.now, o)
		change.Avoid, change.Dead = change.Avoid || got.Avoid, change.Dead || got.Dead
	}
	return change
}

// TestAnyBalancerForwardsByTag fails if a flow breaks when balancers are added, killed or replaced
// in the middle of it: one that never saw the flow must forward its packets by the tag alone.
func TestAnyBalancerForwardsByTag(t *testing.T) {
	c := qt.New(t)
	opener, other := newFixture(), newFixture()
	for caller := 1; caller < 200; caller++ {
		v := opener.sendFirst(caller, board)
		c.Assert(v.Action, qt.Equals, tagger.Forward)
		got := other.sendTagged(caller, board, v.Instance.Upstream(), 7)
		c.Assert(got, qt.Equals, tagger.Verdict{Action: tagger.Forward, Reason: tagger.Tagged, Instance: v.Instance, Address: v.Address})
	}
}

func TestFlowsGoToUpstreamsOfTheirService(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	for caller := 1; caller < 200; caller++ {
		c.Assert(f.sendFirst(caller, board).Instance.Upstream() <= 4, qt.IsTrue)
		c.Assert(f.sendFirst(caller, maps).Instance.Upstream() > 4, qt.IsTrue)
	}
}

func TestRetransmittedFirstPacketsKeepTheirUpstream(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	for caller := 1; caller < 50; caller++ {
		v := f.sendFirst(caller, board)
		f.now += 200 * time.Millisecond
		again := f.sendFirst(caller, board)
		c.Assert(again.Reason, qt.Equals, tagger.Retransmitted)
		c.Assert(again.Instance, qt.Equals, v.Instance)
	}
}

// TestVerdicts checks the decision on each kind of packet, with a replica that is confirmed to be
// current and with one that isn't.
func TestVerdicts(t *testing.T) {
	type verdict = tagger.Verdict
	reset := func(r tagger.Reason) verdict { return verdict{Action: tagger.Reset, Reason: r} }
	drop := func(r tagger.Reason) verdict { return verdict{Reason: r} }
	tests := map[string]struct {
		prepare           func(f *fixture)
		send              func(f *fixture) verdict
		current, outdated verdict
	}{
		"address without a route": {
			send:    func(f *fixture) verdict { return f.sendFirst(1, unrouted) },
			current: reset(tagger.NoRoute), outdated: drop(tagger.Stale),
		},
		"route that was deleted": {
			prepare: func(f *fixture) {
				f.sendTagged(1, board, 1, 1)
				f.now += time.Second
				f.Confirm(f.now)
				f.SetRouting(routing(2, board))
			},
			send:    func(f *fixture) verdict { return f.sendTagged(1, board, 1, 1) },
			current: reset(tagger.NoRoute), outdated: drop(tagger.Stale),
		},
		"route that was deleted before the flow was seen": {
			prepare: func(f *fixture) { f.SetRouting(routing(2, board)) },
			send:    func(f *fixture) verdict { return f.sendTagged(1, board, 1, 1) },
			current: drop(tagger.NoRoute), outdated: drop(tagger.Stale),
		},
		"copy of a first packet, without a route": {
			send: func(f *fixture) verdict {
				s := segment(1, unrouted)
				s.Flags, s.Ack = rattanwood.FlagOpen, 1
				return f.Packet(f.now, s, []byte("first"))
			},
			current: drop(tagger.NoRoute), outdated: drop(tagger.Stale),
		},
		"routes of an older version": {
			prepare: func(f *fixture) { f.SetRouting(routing(2)); f.SetRouting(routing(1, maps)) },
			send: func(f *fixture) verdict {
				v := f.sendTagged(1, maps, 5, 1)
				v.Instance, v.Address = 0, netip.AddrPort{}
				return v
			},
			current: verdict{Action: tagger.Forward, Reason: tagger.Tagged}, outdated: verdict{Action: tagger.Forward, Reason: tagger.Tagged},
		},
		"no upstream left": {
			prepare: func(f *fixture) { f.register(5, true); f.register(6, true) },
			send:    func(f *fixture) verdict { return f.sendFirst(1, maps) },
			current: reset(tagger.NoUpstream), outdated: drop(tagger.Stale),
		},
		"tag seen for the first time": {
			send:    func(f *fixture) verdict { return f.sendTagged(1, board, 99, 1) },
			current: drop(tagger.UnknownTag), outdated: drop(tagger.UnknownTag),
		},
		"tag unknown for long": {
			prepare: func(f *fixture) { f.sendTagged(1, board, 99, 1); f.now += 3 * time.Second; f.Confirm(f.now) },
			send:    func(f *fixture) verdict { return f.sendTagged(1, board, 99, 1) },
			current: reset(tagger.UnknownTag), outdated: drop(tagger.Stale),
		},
		"dead upstream": {
			send: func(f *fixture) verdict {
				f.sendTagged(1, board, 2, 1)
				f.failChecks(2, prober.Refused)
				return f.sendTagged(1, board, 2, 1)
			},
			current: reset(tagger.UpstreamDead), outdated: reset(tagger.UpstreamDead),
		},
		"dead upstream, flow that came here since": {
			prepare: func(f *fixture) { f.failChecks(2, prober.Refused); f.now += time.Millisecond },
			send: func(f *fixture) verdict {
				v := f.sendTagged(1, board, 2, 1)
				v.Instance, v.Address = 0, netip.AddrPort{}
				return v
			},
			current: verdict{Action: tagger.Forward, Reason: tagger.Tagged}, outdated: verdict{Action: tagger.Forward, Reason: tagger.Tagged},
		},
		"reset to a dead upstream": {
			send: func(f *fixture) verdict {
				f.sendTagged(1, board, 2, 1)
				f.failChecks(2, prober.Refused)
				s := segment(1, board)
				s.Flags, s.Tag = rattanwood.FlagReset, 2
				return f.Packet(f.now, s, nil)
			},
			current: drop(tagger.UpstreamDead), outdated: drop(tagger.UpstreamDead),
		},
		"no tag": {
			send:    func(f *fixture) verdict { return f.sendTagged(1, board, 0, 1) },
			current: drop(tagger.Untagged), outdated: drop(tagger.Untagged),
		},
		"flags that only an upstream sends": {
			send: func(f *fixture) verdict {
				s := segment(1, board)
				s.Flags = rattanwood.FlagOpen | rattanwood.FlagAck
				return f.Packet(f.now, s, nil)
			},
			current: drop(tagger.InvalidFlags), outdated: drop(tagger.InvalidFlags),
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			for _, outdated := range []bool{false, true} {
				f := newFixture()
				if test.prepare != nil {
					test.prepare(f)
				}
				want := test.current
				if outdated {
					f.now += 2500 * time.Millisecond
					want = test.outdated
				}
				c.Assert(test.send(f), qt.Equals, want, qt.Commentf("outdated: %v", outdated))
			}
		})
	}
}

// TestDrainingUpstreamGetsNoNewFlows covers releases and scale-in: a draining upstream gets no new
// flow, but its established ones continue.
func TestDrainingUpstreamGetsNoNewFlows(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	f.register(1, true)
	for caller := 1; caller < 200; caller++ {
		c.Assert(f.sendFirst(caller, board).Instance, qt.Not(qt.Equals), instance(1))
	}
	c.Assert(f.sendTagged(999, board, 1, 1).Action, qt.Equals, tagger.Forward)
	f.RemoveRegistration(f.now, instance(1))
	c.Assert(f.sendTagged(999, board, 1, 2).Action, qt.Equals, tagger.Forward)
}

// TestRemovedUpstreams covers crashes, addresses that pass to another service, and a source that is
// down while leases expire.
func TestRemovedUpstreams(t *testing.T) {
	tests := map[string]struct {
		prepare func(f *fixture)
		// after is the time between the removal and the packets.
		after time.Duration
		flow  tagger.Action
		// placed is whether new flows still go to the upstream.
		placed bool
	}{
		"one of four is removed":         {func(f *fixture) { f.RemoveRegistration(f.now, instance(1)) }, 0, tagger.Forward, false},
		"most of the service is removed": {func(f *fixture) { removeRegistrations(f, 1, 2, 3) }, time.Second, tagger.Forward, true},
		"and doesn't register again":     {func(f *fixture) { removeRegistrations(f, 1, 2, 3) }, 2600 * time.Millisecond, tagger.Forward, false},
		"its address is reassigned": {func(f *fixture) {
			removeRegistrations(f, 1)
			r := registration(6)
			r.Address = registration(1).Address
			f.SetRegistration(f.now, r)
		}, 2600 * time.Millisecond, tagger.Reset, false},
		"its host refuses connections": {func(f *fixture) { removeRegistrations(f, 1); f.failChecks(1, prober.Refused) }, 0, tagger.Reset, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture()
			f.sendTagged(1, board, 1, 1)
			test.prepare(f)
			f.now += test.after
			f.Confirm(f.now)
			c.Assert(f.sendTagged(1, board, 1, 1).Action, qt.Equals, test.flow)
			placed := false
			for caller := 10; caller < 100; caller++ {
				placed = placed || f.sendFirst(caller, board).Instance == instance(1)
			}
			c.Assert(placed, qt.Equals, test.placed)
		})
	}
}

func removeRegistrations(f *fixture, ids ...int) {
	for _, i := range ids {
		f.RemoveRegistration(f.now, instance(i))
	}
}

// TestFlowsOfADeadUpstream covers upstreams that stop answering: opening flows are reassigned as
// soon as the upstream is to be avoided, and Callers with requests under way get a reset once it is
// proved dead.
func TestFlowsOfADeadUpstream(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	opening, running := map[uint16]bool{}, map[uint16]bool{}
	for caller := 1; caller < 100; caller++ {
		v := f.sendFirst(caller, board)
		if v.Instance != instance(2) {
			continue
		}
		if caller%2 == 0 {
			opening[uint16(caller)] = true
			continue
		}
		running[uint16(caller)] = true
		c.Assert(f.sendTagged(caller, board, 2, 5).Action, qt.Equals, tagger.Forward)
	}
	c.Assert(len(opening) > 3 && len(running) > 3, qt.IsTrue)
	f.prober.ReportSuspicion(2)
	c.Assert(f.failChecks(2, prober.TimedOut), qt.Equals, prober.StateChange{Avoid: true, Dead: true})
	for _, e := range f.ReassignOpeningFlows(f.now, 2) {
		c.Assert(opening[e.Segment.Caller.Port()], qt.IsTrue)
		c.Assert(e.Instance, qt.Not(qt.Equals), instance(2))
		c.Assert(string(e.Packet), qt.Equals, "first")
		delete(opening, e.Segment.Caller.Port())
	}
	c.Assert(opening, qt.HasLen, 0)
	for _, e := range f.ResetFlows(2) {
		c.Assert(running[e.Segment.Caller.Port()], qt.IsTrue)
		c.Assert(e.Action, qt.Equals, tagger.Reset)
		delete(running, e.Segment.Caller.Port())
	}
	c.Assert(running, qt.HasLen, 0)
	for caller := 200; caller < 300; caller++ {
		c.Assert(f.sendFirst(caller, board).Instance, qt.Not(qt.Equals), instance(2))
	}
}

// TestRestartedUpstreamIsUsedAgain has an upstream that was proved dead and starts again under the
// same ID.
func TestRestartedUpstreamIsUsedAgain(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	f.failChecks(2, prober.Refused)
	c.Assert(f.sendTagged(1, board, 2, 1).Action, qt.Equals, tagger.Reset)
	r := registration(2)
	r.StartTime = 2
	c.Assert(f.SetRegistration(f.now, r), qt.Equals, tagger.RegistrationChanged)
	c.Assert(f.sendTagged(1, board, 2, 1).Action, qt.Equals, tagger.Forward)
}

func TestConflictingTagIsRejected(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	r := registration(2)
	r.Instance = 0xcd<<32 | 2
	c.Assert(f.SetRegistration(f.now, r), qt.Equals, tagger.RegistrationConflict)
	f.RemoveRegistration(f.now, r.Instance)
	c.Assert(f.sendTagged(1, board, 2, 1).Instance, qt.Equals, instance(2))
}

// TestRetransmissionTriggersCheck checks that a retransmission leads to a health check, and new
// data doesn't.
func TestRetransmissionTriggersCheck(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	countDueChecks := func() int {
		f.now += 400 * time.Millisecond
		return len(f.prober.StartDueChecks(f.now, func(rattanwood.UpstreamID) prober.Assignment { return prober.AssignedElsewhere }))
	}
	f.sendTagged(1, board, 2, 10)
	f.sendTagged(1, board, 2, 20)
	c.Assert(countDueChecks(), qt.Equals, 0)
	f.sendTagged(1, board, 2, 20)
	c.Assert(countDueChecks(), qt.Equals, 1)
}

// TestWarmupIsNotAChange covers a release, in which new upstreams register again and again while
// they warm up. That must not trigger heartbeats throughout the fleet.
func TestWarmupIsNotAChange(t *testing.T) {
	tests := map[string]struct {
		change func(r *rattanwood.Registration)
		want   tagger.RegistrationResult
	}{
		"warm-up time":        {func(r *rattanwood.Registration) { r.RemainingWarmup = time.Second }, tagger.RegistrationUnchanged},
		"draining":            {func(r *rattanwood.Registration) { r.Draining = true }, tagger.RegistrationChanged},
		"another incarnation": {func(r *rattanwood.Registration) { r.StartTime++ }, tagger.RegistrationChanged},
		"more slots":          {func(r *rattanwood.Registration) { r.Slots++ }, tagger.RegistrationChanged},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture()
			r := registration(1)
			test.change(&r)
			c.Assert(f.SetRegistration(f.now, r), qt.Equals, test.want)
		})
	}
	c := qt.New(t)
	f := newFixture()
	f.RemoveRegistration(f.now, instance(1))
	c.Assert(f.SetRegistration(f.now, registration(1)), qt.Equals, tagger.RegistrationChanged)
}

// TestFlowsPlacedElsewhereAreNotReassigned has an upstream found dead after the Caller has repeated a first packet. If
// the copy didn't arrive here, another balancer has placed the flow by it, and it may be open.
func TestFlowsPlacedElsewhereAreNotReassigned(t *testing.T) {
	tests := map[string]struct {
		// copies are the times at which copies of the first packet arrive, and dead is when the upstream is found dead.
		copies []time.Duration
		dead   time.Duration
		want   bool
	}{
		"before the first copy":     {nil, 150 * time.Millisecond, true},
		"the first copy went away":  {nil, 500 * time.Millisecond, false},
		"the first copy came":       {[]time.Duration{200 * time.Millisecond}, 500 * time.Millisecond, true},
		"the second copy went away": {[]time.Duration{200 * time.Millisecond}, 700 * time.Millisecond, false},
		"both copies came":          {[]time.Duration{200 * time.Millisecond, 600 * time.Millisecond}, 1200 * time.Millisecond, true},
		"only the second copy came": {[]time.Duration{600 * time.Millisecond}, 900 * time.Millisecond, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture()
			began, id := f.now, f.sendFirst(1, board).Instance.Upstream()
			for _, at := range test.copies {
				f.now = began + at
				s := segment(1, board)
				s.Flags, s.Ack = rattanwood.FlagOpen, 1
				if at > 200*time.Millisecond {
					s.Ack = 2
				}
				c.Assert(f.Packet(f.now, s, []byte("first")).Reason, qt.Equals, tagger.Retransmitted)
			}
			f.now = began + test.dead
			f.failChecks(int(id), prober.Refused)
			c.Assert(len(f.ReassignOpeningFlows(f.now, id)) == 1, qt.Equals, test.want)
		})
	}
}
