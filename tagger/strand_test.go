package tagger_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/prober"
)

// TestBalancerLeavesRotationWhenItsDataCentreIsCutOff has a data centre cut off from the one upstream elsewhere, with
// and without its own upstreams being evacuated.
func TestBalancerLeavesRotationWhenItsDataCentreIsCutOff(t *testing.T) {
	tests := map[string]struct{ evacuated, cut, stays bool }{
		"cut off and evacuated": {true, true, false},
		"only evacuated":        {true, false, true},
		"only cut off":          {false, true, true},
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
			if test.cut {
				f.failChecks(7, prober.TimedOut)
			}
			update := func() bool {
				stays, _ := f.rotator.Update(f.now, func(s rattanwood.ServiceID) bool { return f.HasUsable(f.now, s) })
				return stays
			}
			for caller := range 5 {
				f.now += 100 * time.Millisecond
				f.sendFirst(caller+1, board)
			}
			c.Assert(update(), qt.Equals, test.stays)
			f.prober.RecordResult(instance(7).Upstream(), f.now, prober.Passed)
			f.now += time.Second
			c.Assert(update(), qt.IsTrue)
		})
	}
}
