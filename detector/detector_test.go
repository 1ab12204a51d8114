package detector_test

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/detector"
	"example.org/rattanwood/wire"
)

const (
	step            = 100 * time.Millisecond
	activationDelay = 3 * time.Second
)

var own = detector.HeartbeatPayload{Version: 5, HealthDigest: 1}

func newDetector(self rattanwood.VMID) *detector.Detector {
	d := detector.New(detector.Config{
		Self: self, Incarnation: 1, HeartbeatInterval: time.Second, SuspectAfter: 2500 * time.Millisecond,
		DeadAfter: 5 * time.Second, ActivationDelay: activationDelay, PauseThreshold: time.Second,
		Address: netip.MustParseAddrPort("127.0.0.1:1"),
	})
	for _, vm := range []rattanwood.VMID{"a", "b", "c"} {
		d.Add(vm, netip.MustParseAddrPort("127.0.0.1:2"), "east")
	}
	return d
}

// pair runs two detectors from begin to end; link reports whether the heartbeats of a and those of b
// arrive.
func pair(a, b *detector.Detector, begin, end time.Duration, payload detector.HeartbeatPayload, link func(now time.Duration) (fromA, fromB bool)) {
	for now := begin; now < end; now += step {
		fromA, fromB := link(now)
		exchange(now, a, b, "a", "b", own, fromA)
		exchange(now, b, a, "b", "a", payload, fromB)
	}
}

func exchange(now time.Duration, from, to *detector.Detector, self, peer rattanwood.VMID, payload detector.HeartbeatPayload, arrives bool) {
	heartbeats, _ := from.Tick(now)
	for _, m := range heartbeats {
		if m.VM == peer && arrives {
			to.HandleHeartbeat(now, self, 1, from.BuildHeartbeat(now, m, payload), own)
		}
	}
}

func both(time.Duration) (bool, bool)    { return true, true }
func neither(time.Duration) (bool, bool) { return false, false }

func state(d *detector.Detector, vm rattanwood.VMID) detector.State {
	m, _ := d.Member(vm)
	return m.State
}

func TestLostHeartbeatsBelowTimeoutKeepMemberAlive(t *testing.T) {
	c := qt.New(t)
	a, b := newDetector("a"), newDetector("b")
	pair(a, b, 0, 20*time.Second, own, func(now time.Duration) (bool, bool) {
		return true, now/time.Second%2 == 0
	})
	c.Assert(state(a, "b"), qt.Equals, detector.Alive)
}

func TestSilentMemberDiesUnlessProbeHelperHeardIt(t *testing.T) {
	tests := map[string]struct {
		answered bool
		want     detector.State
	}{
		"no helper heard it": {false, detector.Dead},
		"a helper heard it":  {true, detector.Suspect},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			a, b := newDetector("a"), newDetector("b")
			pair(a, b, 0, 5*time.Second, own, both)
			for now := 5 * time.Second; now < 30*time.Second; now += step {
				if test.answered {
					a.HandleProbeAnswer(now, &wire.Witness{Target: "b", Age: 1000})
				}
				a.Tick(now)
			}
			c.Assert(state(a, "b"), qt.Equals, test.want)
		})
	}
}

// TestLeaseExpiresWhenLinkIsCut checks that the lease isn't extended by anything but arriving
// heartbeats. While b's heartbeats still arrive they extend a's lease, although b hears nothing.
func TestLeaseExpiresWhenLinkIsCut(t *testing.T) {
	tests := map[string]struct {
		link  func(time.Duration) (bool, bool)
		valid bool
	}{
		"both cut":                   {neither, false},
		"only a's heartbeats arrive": {func(time.Duration) (bool, bool) { return true, false }, false},
		"only b's heartbeats arrive": {func(time.Duration) (bool, bool) { return false, true }, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			a, b := newDetector("a"), newDetector("b")
			cut := 5 * time.Second
			pair(a, b, 0, cut, own, both)
			c.Assert(a.LeaseExpiry(cut) > cut, qt.IsTrue)
			pair(a, b, cut, cut+activationDelay+step, own, test.link)
			now := cut + activationDelay + step
			c.Assert(a.LeaseExpiry(now) > now, qt.Equals, test.valid)
		})
	}
}

func TestNoLeaseWhilePeerKnowsMore(t *testing.T) {
	tests := map[string]detector.HeartbeatPayload{
		"newer document":      {Version: 6, HealthDigest: 1},
		"other health states": {Version: 5, HealthDigest: 2},
	}
	for name, payload := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			a, b := newDetector("a"), newDetector("b")
			pair(a, b, 0, 10*time.Second, payload, both)
			c.Assert(a.LeaseExpiry(10*time.Second) > 10*time.Second, qt.IsFalse)
		})
	}
}

func TestPausedProcessHasNoLeaseUntilAnswered(t *testing.T) {
	c := qt.New(t)
	a, b := newDetector("a"), newDetector("b")
	pair(a, b, 0, 5*time.Second, own, both)
	resumed := time.Hour
	c.Assert(a.Resuming(resumed), qt.IsTrue)
	a.Tick(resumed)
	c.Assert(a.Resuming(resumed), qt.IsTrue)
	c.Assert(a.LeaseExpiry(resumed) > resumed, qt.IsFalse)
	c.Assert(state(a, "b"), qt.Equals, detector.Alive)
	b.Tick(resumed)
	pair(a, b, resumed+time.Second, resumed+4*time.Second, own, both)
	c.Assert(a.Resuming(resumed+4*time.Second), qt.IsFalse)
	c.Assert(a.LeaseExpiry(resumed+4*time.Second) > resumed+4*time.Second, qt.IsTrue)
}

func TestEarlierIncarnationIsIgnored(t *testing.T) {
	c := qt.New(t)
	a := newDetector("a")
	_, ok := a.HandleHeartbeat(0, "b", 7, &wire.Beat{Seq: 1}, own)
	c.Assert(ok, qt.IsTrue)
	_, ok = a.HandleHeartbeat(0, "b", 6, &wire.Beat{Seq: 9}, own)
	c.Assert(ok, qt.IsFalse)
	_, ok = a.HandleHeartbeat(0, "b", 8, &wire.Beat{Seq: 1}, own)
	c.Assert(ok, qt.IsTrue)
}
