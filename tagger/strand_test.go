package tagger_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/prober"
)

// TestBalancerLeavesRotationWhenItsDataCentreIsCutOff has a data centre cut off from the one upstream elsewhere, with
// and without its own upstreams being evacuated. Where no balancer could serve new flows, each stays.
func TestBalancerLeavesRotationWhenItsDataCentreIsCutOff(t *testing.T) {
	tests := map[string]struct{ evacuated, cut, gone, removed, stays bool }{
		"cut off and evacuated": {evacuated: true, cut: true},
		"then removed":          {evacuated: true, cut: true, removed: true},
		"only evacuated":        {evacuated: true, stays: true},
		"only cut off":          {cut: true, stays: true},
		"no upstream anywhere":  {evacuated: true, gone: true, stays: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture()
			remote := registration(7)
			remote.Service, remote.DataCentre = "board", "west"
			f.SetRegistration(f.now, remote)
			if test.evacuated {
				f.evacuator.Set(f.now, "east", rattanwood.NewPosition(0, 9))
			}
			if test.gone {
				f.RemoveRegistration(f.now, instance(7))
				f.now += time.Minute
			}
			if test.cut {
				f.failChecks(7, prober.TimedOut)
			}
			update := func() bool {
				stays, _ := f.rotator.Update(f.now, func(s rattanwood.ServiceID) bool { return f.IsStranded(f.now, s) })
				return stays
			}
			for caller := range 5 {
				f.now += 100 * time.Millisecond
				f.sendFirst(caller+1, board)
			}
			c.Assert(update(), qt.Equals, test.stays)
			if test.removed {
				f.RemoveRegistration(f.now, instance(7))
			} else {
				f.prober.RecordResult(instance(7).Upstream(), f.now, prober.Passed)
			}
			f.now += time.Second
			c.Assert(update(), qt.IsTrue)
		})
	}
}
