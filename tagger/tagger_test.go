package tagger_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/placer"
	"example.org/rattanwood/prober"
	"example.org/rattanwood/tagger"
)

var (
	board   = netip.MustParseAddrPort("198.18.0.1:443")
	maps    = netip.MustParseAddrPort("198.18.0.2:443")
	nowhere = netip.MustParseAddrPort("198.18.0.9:1")
)

// world is one tagger with two services: board on upstreams 1 to 4, maps on 5 and 6.
type world struct {
	*tagger.Tagger
	probes *prober.Prober
	loads  *placer.Placer
	now    time.Duration
}

func newWorld() *world {
	random := rand.New(rand.NewPCG(1, 2))
	w := &world{probes: prober.New(prober.DefaultConfig()), loads: placer.New(placer.DefaultConfig(random)), now: time.Second}
	cfg := tagger.DefaultConfig()
	cfg.DataCentre, cfg.Random, cfg.Placer, cfg.Prober = "east", random, w.loads, w.probes
	w.Tagger = tagger.New(cfg)
	w.SetRouting(routing(1))
	for i := range 6 {
		w.register(i+1, false)
	}
	w.Confirm(w.now)
	return w
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

func (w *world) register(i int, draining bool) {
	r := registration(i)
	r.Draining = draining
	w.SetRegistration(w.now, r)
}

func segment(caller int, to netip.AddrPort) rattanwood.Segment {
	return rattanwood.Segment{Caller: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), uint16(caller)), Target: to}
}

func (w *world) open(caller int, to netip.AddrPort) tagger.Verdict {
	s := segment(caller, to)
	s.Flags = rattanwood.FlagOpen
	return w.Packet(w.now, s, []byte("first"))
}

func (w *world) follow(caller int, to netip.AddrPort, tag rattanwood.UpstreamID, seq uint32) tagger.Verdict {
	s := segment(caller, to)
	s.Flags, s.Tag, s.Seq, s.Length = rattanwood.FlagAck, tag, seq, 10
	return w.Packet(w.now, s, nil)
}

// fail lets an upstream's checks fail as often as it takes to be proved dead.
func (w *world) fail(i int, o prober.Outcome) (v prober.StateChange) {
	for range 4 {
		w.probes.RecordResult(6, w.now, prober.Answered)
		got := w.probes.RecordResult(instance(i).Upstream(), w.now, o)
		v.Avoid, v.Dead = v.Avoid || got.Avoid, v.Dead || got.Dead
	}
	return v
}

// TestAnyNodeForwardsByTheTag answers nodes that are added, killed or rotated in the middle of a flow.
func TestAnyNodeForwardsByTheTag(t *testing.T) {
	c := qt.New(t)
	first, other := newWorld(), newWorld()
	for caller := 1; caller < 200; caller++ {
		v := first.open(caller, board)
		c.Assert(v.Action, qt.Equals, tagger.Forward)
		got := other.follow(caller, board, v.Instance.Upstream(), 7)
		c.Assert(got, qt.Equals, tagger.Verdict{Action: tagger.Forward, Reason: tagger.Tagged, Instance: v.Instance, Address: v.Address})
	}
}

func TestServicesStayApart(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	for caller := 1; caller < 200; caller++ {
		c.Assert(w.open(caller, board).Instance.Upstream() <= 4, qt.IsTrue)
		c.Assert(w.open(caller, maps).Instance.Upstream() > 4, qt.IsTrue)
	}
}

func TestOpeningCopiesStayTogether(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	for caller := 1; caller < 50; caller++ {
		v := w.open(caller, board)
		w.now += 200 * time.Millisecond
		again := w.open(caller, board)
		c.Assert(again.Reason, qt.Equals, tagger.Repeated)
		c.Assert(again.Instance, qt.Equals, v.Instance)
	}
}

// TestVerdicts names for each kind of packet what is done, with fresh and with stale knowledge.
func TestVerdicts(t *testing.T) {
	type verdict = tagger.Verdict
	reset := func(r tagger.Reason) verdict { return verdict{Action: tagger.Reset, Reason: r} }
	drop := func(r tagger.Reason) verdict { return verdict{Reason: r} }
	tests := map[string]struct {
		prepare      func(w *world)
		send         func(w *world) verdict
		fresh, stale verdict
	}{
		"unbound address": {
			send:  func(w *world) verdict { return w.open(1, nowhere) },
			fresh: reset(tagger.NoRoute), stale: drop(tagger.Stale),
		},
		"route that was dropped": {
			prepare: func(w *world) { w.SetRouting(routing(2, board)) },
			send:    func(w *world) verdict { return w.follow(1, board, 1, 1) },
			fresh:   reset(tagger.NoRoute), stale: drop(tagger.Stale),
		},
		"routes of an older version": {
			prepare: func(w *world) { w.SetRouting(routing(2)); w.SetRouting(routing(1, maps)) },
			send: func(w *world) verdict {
				v := w.follow(1, maps, 5, 1)
				v.Instance, v.Address = 0, netip.AddrPort{}
				return v
			},
			fresh: verdict{Action: tagger.Forward, Reason: tagger.Tagged}, stale: verdict{Action: tagger.Forward, Reason: tagger.Tagged},
		},
		"no upstream left": {
			prepare: func(w *world) { w.register(5, true); w.register(6, true) },
			send:    func(w *world) verdict { return w.open(1, maps) },
			fresh:   reset(tagger.NoUpstream), stale: drop(tagger.Stale),
		},
		"tag never heard of": {
			send:  func(w *world) verdict { return w.follow(1, board, 99, 1) },
			fresh: drop(tagger.UnknownTag), stale: drop(tagger.UnknownTag),
		},
		"tag unknown for long": {
			prepare: func(w *world) { w.follow(1, board, 99, 1); w.now += 3 * time.Second; w.Confirm(w.now) },
			send:    func(w *world) verdict { return w.follow(1, board, 99, 1) },
			fresh:   reset(tagger.UnknownTag), stale: drop(tagger.Stale),
		},
		"dead upstream": {
			prepare: func(w *world) { w.fail(2, prober.Refused) },
			send:    func(w *world) verdict { return w.follow(1, board, 2, 1) },
			fresh:   reset(tagger.UpstreamDead), stale: reset(tagger.UpstreamDead),
		},
		"reset to a dead upstream": {
			prepare: func(w *world) { w.fail(2, prober.Refused) },
			send: func(w *world) verdict {
				s := segment(1, board)
				s.Flags, s.Tag = rattanwood.FlagReset, 2
				return w.Packet(w.now, s, nil)
			},
			fresh: drop(tagger.UpstreamDead), stale: drop(tagger.UpstreamDead),
		},
		"no tag": {
			send:  func(w *world) verdict { return w.follow(1, board, 0, 1) },
			fresh: drop(tagger.Untagged), stale: drop(tagger.Untagged),
		},
		"an upstream's own kind of packet": {
			send: func(w *world) verdict {
				s := segment(1, board)
				s.Flags = rattanwood.FlagOpen | rattanwood.FlagAck
				return w.Packet(w.now, s, nil)
			},
			fresh: drop(tagger.InvalidFlags), stale: drop(tagger.InvalidFlags),
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			for _, stale := range []bool{false, true} {
				w := newWorld()
				if test.prepare != nil {
					test.prepare(w)
				}
				want := test.fresh
				if stale {
					w.now += 2500 * time.Millisecond
					want = test.stale
				}
				c.Assert(test.send(w), qt.Equals, want, qt.Commentf("stale: %v", stale))
			}
		})
	}
}

// TestDrainingGetsNoFlows answers releases and scale-in: no new flow, but the old ones run on.
func TestDrainingGetsNoFlows(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	w.register(1, true)
	for caller := 1; caller < 200; caller++ {
		c.Assert(w.open(caller, board).Instance, qt.Not(qt.Equals), instance(1))
	}
	c.Assert(w.follow(999, board, 1, 1).Action, qt.Equals, tagger.Forward)
	w.RemoveRegistration(w.now, instance(1))
	c.Assert(w.follow(999, board, 1, 2).Action, qt.Equals, tagger.Forward)
}

// TestVanishedUpstreams answers crashes, addresses that pass to another service, and a store that is down while leases lapse.
func TestVanishedUpstreams(t *testing.T) {
	tests := map[string]struct {
		prepare func(w *world)
		// after is the time between the removal and the packets.
		after time.Duration
		flow  tagger.Action
		// placed is whether new flows still go there.
		placed bool
	}{
		"one of four vanishes":         {func(w *world) { w.RemoveRegistration(w.now, instance(1)) }, 0, tagger.Forward, false},
		"most of the service vanishes": {func(w *world) { vanish(w, 1, 2, 3) }, time.Second, tagger.Forward, true},
		"and doesn't come back":        {func(w *world) { vanish(w, 1, 2, 3) }, 2600 * time.Millisecond, tagger.Forward, false},
		"its address is another's": {func(w *world) {
			vanish(w, 1)
			r := registration(6)
			r.Address = registration(1).Address
			w.SetRegistration(w.now, r)
		}, 2600 * time.Millisecond, tagger.Reset, false},
		"its host refuses connections": {func(w *world) { vanish(w, 1); w.fail(1, prober.Refused) }, 0, tagger.Reset, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld()
			test.prepare(w)
			w.now += test.after
			w.Confirm(w.now)
			c.Assert(w.follow(1, board, 1, 1).Action, qt.Equals, test.flow)
			placed := false
			for caller := 10; caller < 100; caller++ {
				placed = placed || w.open(caller, board).Instance == instance(1)
			}
			c.Assert(placed, qt.Equals, test.placed)
		})
	}
}

func vanish(w *world, ids ...int) {
	for _, i := range ids {
		w.RemoveRegistration(w.now, instance(i))
	}
}

// TestFlowsOfADeadUpstream answers upstreams that go dark: first packets move at the first verdict, and
// Callers with requests under way are told once there is proof.
func TestFlowsOfADeadUpstream(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	opening, running := map[uint16]bool{}, map[uint16]bool{}
	for caller := 1; caller < 100; caller++ {
		v := w.open(caller, board)
		if v.Instance != instance(2) {
			continue
		}
		if caller%2 == 0 {
			opening[uint16(caller)] = true
			continue
		}
		running[uint16(caller)] = true
		c.Assert(w.follow(caller, board, 2, 5).Action, qt.Equals, tagger.Forward)
	}
	c.Assert(len(opening) > 3 && len(running) > 3, qt.IsTrue)
	w.probes.Hint(2)
	c.Assert(w.fail(2, prober.TimedOut), qt.Equals, prober.StateChange{Avoid: true, Dead: true})
	for _, e := range w.ReassignOpeningFlows(w.now, 2) {
		c.Assert(opening[e.Segment.Caller.Port()], qt.IsTrue)
		c.Assert(e.Instance, qt.Not(qt.Equals), instance(2))
		c.Assert(string(e.Packet), qt.Equals, "first")
		delete(opening, e.Segment.Caller.Port())
	}
	c.Assert(opening, qt.HasLen, 0)
	for _, e := range w.ResetFlows(2) {
		c.Assert(running[e.Segment.Caller.Port()], qt.IsTrue)
		c.Assert(e.Action, qt.Equals, tagger.Reset)
		delete(running, e.Segment.Caller.Port())
	}
	c.Assert(running, qt.HasLen, 0)
	for caller := 200; caller < 300; caller++ {
		c.Assert(w.open(caller, board).Instance, qt.Not(qt.Equals), instance(2))
	}
}

// TestSameIDAgain answers an upstream that starts again under its id.
func TestSameIDAgain(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	w.fail(2, prober.Refused)
	c.Assert(w.follow(1, board, 2, 1).Action, qt.Equals, tagger.Reset)
	r := registration(2)
	r.StartTime = 2
	c.Assert(w.SetRegistration(w.now, r), qt.Equals, tagger.RegistrationChanged)
	c.Assert(w.follow(1, board, 2, 1).Action, qt.Equals, tagger.Forward)
}

func TestSharedTagIsRefused(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	r := registration(2)
	r.Instance = 0xcd<<32 | 2
	c.Assert(w.SetRegistration(w.now, r), qt.Equals, tagger.RegistrationConflict)
	w.RemoveRegistration(w.now, r.Instance)
	c.Assert(w.follow(1, board, 2, 1).Instance, qt.Equals, instance(2))
}

// TestRepeatedDataIsEvidence checks that only a retransmission leads to a check.
func TestRepeatedDataIsEvidence(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	due := func() int {
		w.now += 400 * time.Millisecond
		return len(w.probes.StartDueChecks(w.now, func(rattanwood.UpstreamID) prober.Assignment { return prober.AssignedElsewhere }))
	}
	w.follow(1, board, 2, 10)
	w.follow(1, board, 2, 20)
	c.Assert(due(), qt.Equals, 0)
	w.follow(1, board, 2, 20)
	c.Assert(due(), qt.Equals, 1)
}

// TestWakingNodeOpensNothing answers a node that was paused: first packets in its socket's buffer have been repeated
// elsewhere, and a second upstream for the same flow would take over its tag.
func TestWakingNodeOpensNothing(t *testing.T) {
	tests := map[string]struct {
		pause, later time.Duration
		want         tagger.Reason
	}{
		"no pause":            {50 * time.Millisecond, 0, tagger.Placed},
		"paused":              {time.Second, 0, tagger.Resuming},
		"still reading":       {time.Second, 40 * time.Millisecond, tagger.Resuming},
		"the buffer is empty": {time.Second, 60 * time.Millisecond, tagger.Placed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld()
			w.Tick(w.now)
			w.now += test.pause
			w.Confirm(w.now)
			w.open(1, board)
			w.now += test.later
			w.Tick(w.now)
			c.Assert(w.open(2, board).Reason, qt.Equals, test.want)
			c.Assert(w.follow(3, board, 2, 1).Action, qt.Equals, tagger.Forward, qt.Commentf("a tag is never too old"))
		})
	}
}

// TestStartOpensNothingThatWaited answers a start beside a slow source, during which first packets wait in the socket.
func TestStartOpensNothingThatWaited(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	w.MarkResumed(w.now)
	c.Assert(w.open(1, board).Reason, qt.Equals, tagger.Resuming)
	w.now += 60 * time.Millisecond
	c.Assert(w.open(1, board).Reason, qt.Equals, tagger.Placed)
}

// TestWarmingIsNoNews answers a release, in which new upstreams register again and again while they warm up: that must
// not send heartbeats through the fleet.
func TestWarmingIsNoNews(t *testing.T) {
	tests := map[string]struct {
		change func(r *rattanwood.Registration)
		want   tagger.RegistrationResult
	}{
		"warmer":       {func(r *rattanwood.Registration) { r.Warmup = time.Second }, tagger.RegistrationUnchanged},
		"draining":     {func(r *rattanwood.Registration) { r.Draining = true }, tagger.RegistrationChanged},
		"another life": {func(r *rattanwood.Registration) { r.StartTime++ }, tagger.RegistrationChanged},
		"more slots":   {func(r *rattanwood.Registration) { r.Slots++ }, tagger.RegistrationChanged},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld()
			r := registration(1)
			test.change(&r)
			c.Assert(w.SetRegistration(w.now, r), qt.Equals, test.want)
		})
	}
	c := qt.New(t)
	w := newWorld()
	w.RemoveRegistration(w.now, instance(1))
	c.Assert(w.SetRegistration(w.now, registration(1)), qt.Equals, tagger.RegistrationChanged)
}
