package admitter_test

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/admitter"
)

var (
	caller    = netip.MustParseAddr("100.64.0.7")
	important = admitter.Offer{Service: service, Class: kinds[0].class, Caller: caller}
	patient   = admitter.Offer{Service: service, Class: kinds[2].class, Caller: caller}
)

// newAdmitter returns an Admitter that is alone in its data centre.
func newAdmitter() *admitter.Admitter {
	cfg := admitter.DefaultConfig(rand.New(rand.NewPCG(1, 1)))
	cfg.DataCentre = "dc0"
	a := admitter.New(cfg)
	a.Tick(0, map[rattanwood.DataCentre]int{"dc0": 1})
	return a
}

// measure lets an Admitter see responses that take 10 ms beyond the round trip.
func measure(a *admitter.Admitter, o admitter.Offer) {
	for range 50 {
		a.RecordResponse(0, o, roundTrip+10*time.Millisecond, roundTrip)
	}
}

// press offers a number a second for a second from now on, of which upstreams turn away a part, and returns the
// last decision and the share that was admitted.
func press(a *admitter.Admitter, now time.Duration, o admitter.Offer, perSecond int, failing float64) (last admitter.Decision, admitted float64) {
	for i := range perSecond {
		at := now + time.Duration(i)*time.Second/time.Duration(perSecond)
		last = a.Decide(at, o)
		if !last.Admit {
			continue
		}
		admitted += 1 / float64(perSecond)
		if float64(i%10) < 10*failing {
			a.RecordFailure(at, o)
		} else {
			a.RecordResponse(at, o, roundTrip+10*time.Millisecond, roundTrip)
		}
	}
	return last, admitted
}

func TestLevelOrder(t *testing.T) {
	classes := []rattanwood.Class{
		{Priority: 0, Target: 400 * time.Millisecond},
		{Priority: 0, Target: 1200 * time.Millisecond},
		{Priority: 0, Repeatable: true, Target: 400 * time.Millisecond},
		{Priority: 0, Repeatable: true, Target: 1200 * time.Millisecond},
		{Priority: 0, Repeatable: true, Timeout: 6 * time.Second},
		{Priority: 0, Repeatable: true},
		{Priority: 1, Target: 100 * time.Millisecond},
		{Priority: 99, Repeatable: true},
	}
	levels := make([]admitter.Level, len(classes))
	for i, c := range classes {
		levels[i] = admitter.LevelOf(c)
	}
	qt.Assert(t, slices.IsSorted(levels), qt.IsTrue, qt.Commentf("%v", levels))
	qt.Assert(t, slices.Compact(levels), qt.HasLen, len(classes))
}

// TestNothingKnown answers a start in the middle of an overload: without knowledge nothing is refused.
func TestNothingKnown(t *testing.T) {
	for name, test := range map[string]struct {
		slots    float64
		measured bool
		members  map[rattanwood.DataCentre]int
	}{
		"no slots":   {0, true, map[rattanwood.DataCentre]int{"dc0": 1}},
		"no work":    {2, false, map[rattanwood.DataCentre]int{"dc0": 1}},
		"no members": {2, true, nil},
	} {
		t.Run(name, func(t *testing.T) {
			a := newAdmitter()
			a.SetSlots(0, service, test.slots)
			if test.measured {
				measure(a, important)
			}
			a.Tick(0, test.members)
			for i := range 1000 {
				at := time.Duration(i) * time.Millisecond
				d := a.Decide(at, important)
				qt.Assert(t, d.Admit, qt.IsTrue)
				qt.Assert(t, d.Reason, qt.Equals, admitter.Unknown)
				a.RecordFailure(at, important)
			}
		})
	}
}

// TestLowerLevelIsRefusedFirst answers an overload by the less important of two kinds.
func TestLowerLevelIsRefusedFirst(t *testing.T) {
	a := newAdmitter()
	a.SetSlots(0, service, 2)
	measure(a, important)
	measure(a, patient)
	press(a, 0, patient, 2000, 0.9)
	d, admitted := press(a, time.Second, patient, 2000, 0.9)
	qt.Check(t, admitted < 0.3, qt.IsTrue, qt.Commentf("admitted %.2f", admitted))
	qt.Check(t, d.Load > d.Limit && d.Limit > 0, qt.IsTrue, qt.Commentf("%+v", d))
	d, admitted = press(a, 2*time.Second, important, 20, 0)
	qt.Check(t, admitted > 0.99, qt.IsTrue, qt.Commentf("admitted %.2f", admitted))
	qt.Check(t, d.Reason, qt.Equals, admitter.Room)
}

// TestNoEvidence answers a demand of several times the slots by the measured work, which upstreams serve all the same.
func TestNoEvidence(t *testing.T) {
	a := newAdmitter()
	a.SetSlots(0, service, 2)
	measure(a, patient)
	_, admitted := press(a, 0, patient, 1500, 0)
	qt.Assert(t, admitted > 0.999, qt.IsTrue, qt.Commentf("admitted %.3f", admitted))
}

// TestLongFlows counts the flows of a kind by the requests that they send.
func TestLongFlows(t *testing.T) {
	a := newAdmitter()
	a.SetSlots(0, service, 100)
	for i := range 1000 {
		at := time.Duration(i) * 10 * time.Millisecond
		a.Decide(at, important)
		for range 5 {
			a.RecordResponse(at, important, roundTrip+10*time.Millisecond, roundTrip)
		}
	}
	// 100 flows a second of five requests of 10 ms.
	got := a.Reports(10 * time.Second)[0].Offered
	qt.Assert(t, got > 4.8 && got < 5.2, qt.IsTrue, qt.Commentf("%v slots", got))
}

// TestOldReports drops the reports of balancers that are gone, and tells the age of those that count.
func TestOldReports(t *testing.T) {
	a := newAdmitter()
	a.SetSlots(0, service, 2)
	measure(a, important)
	members := map[rattanwood.DataCentre]int{"dc0": 2, "dc1": 1}
	report := admitter.Report{Service: service, Level: admitter.LevelOf(important.Class), Offered: 3, Admitted: 2}
	a.MergeReport(0, "near", "dc0", report)
	a.MergeReport(0, "far", "dc1", report)
	offered := func(now time.Duration) float64 {
		a.Tick(now, members)
		return a.Rows(now)[0].Offered
	}
	qt.Check(t, offered(0), qt.Equals, 6.0)
	qt.Check(t, a.Decide(time.Second, important).Age, qt.Equals, time.Second)
	qt.Check(t, offered(5*time.Second) < 3.5, qt.IsTrue)
	qt.Check(t, offered(13*time.Second) < 0.5, qt.IsTrue)
}

// TestDecisionRightAfterAPause has a balancer decide after a pause so long that its reports weigh nothing, before its
// next Tick drops them.
func TestDecisionRightAfterAPause(t *testing.T) {
	a := newAdmitter()
	a.SetSlots(0, service, 2)
	measure(a, important)
	a.MergeReport(0, "far", "dc1", admitter.Report{Service: service, Level: admitter.LevelOf(important.Class), Offered: 3, Admitted: 2})
	a.Tick(0, map[rattanwood.DataCentre]int{"dc0": 1, "dc1": 1})
	d := a.Decide(15*time.Minute, important)
	qt.Check(t, d.Admit, qt.IsTrue)
	qt.Check(t, math.IsNaN(d.Load), qt.IsFalse)
}

// TestForgottenLevels has two balancers, of which one got offers of a class that is no longer in use, report to each
// other in thousandths of a slot.
func TestForgottenLevels(t *testing.T) {
	a, b := newAdmitter(), newAdmitter()
	members := map[rattanwood.DataCentre]int{"dc0": 2}
	for _, x := range []*admitter.Admitter{a, b} {
		x.SetSlots(0, service, 2)
	}
	measure(a, patient)
	press(a, 0, patient, 100, 0)
	for now := time.Second; now < 11*time.Minute; now += time.Second {
		for from, to := range map[*admitter.Admitter]*admitter.Admitter{a: b, b: a} {
			for _, r := range from.Reports(now) {
				r.Offered, r.Admitted = math.Floor(1000*r.Offered)/1000, math.Floor(1000*r.Admitted)/1000
				to.MergeReport(now, "other", "dc0", r)
			}
			to.Tick(now, members)
		}
		if now == 2*time.Second {
			qt.Check(t, b.Rows(now), qt.HasLen, 1)
		}
	}
	qt.Check(t, a.Rows(11*time.Minute), qt.HasLen, 0)
	qt.Check(t, b.Rows(11*time.Minute), qt.HasLen, 0)
}

// BenchmarkDecide measures a decision with 24 neighbours that report three levels each.
func BenchmarkDecide(b *testing.B) {
	a := newAdmitter()
	a.SetSlots(0, service, 100)
	for i := range 24 {
		for _, k := range kinds {
			a.MergeReport(0, rattanwood.VMID(rune('a'+i)), "dc0", admitter.Report{Service: service, Level: admitter.LevelOf(k.class), Offered: 1, Admitted: 1})
		}
	}
	for _, k := range kinds {
		measure(a, admitter.Offer{Service: service, Class: k.class, Caller: caller})
	}
	now := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now += 16 * time.Millisecond
		a.Decide(now, important)
	}
}
