package tagger_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
)

// TestBalancerLeavesRotationWhenItsDataCentreIsCutOff has a data centre cut off from the one upstream elsewhere, with
// and without its own upstreams being evacuated.
func TestBalancerLeavesRotationWhenItsDataCentreIsCutOff(t *testing.T) {
	tests := map[string]struct{ evacuated, answered, stays bool }{
		"cut off and evacuated": {true, false, false},
		"only evacuated":        {true, true, true},
		"only cut off":          {false, false, true},
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
			for caller := range 5 {
				f.now += 100 * time.Millisecond
				v := f.sendFirst(caller+1, board)
				if test.answered {
					f.sendTagged(caller+1, board, v.Instance.Upstream(), 1)
				}
			}
			f.now += 300 * time.Millisecond
			stays, _ := f.rotator.Update(f.now, false)
			c.Assert(stays, qt.Equals, test.stays)
		})
	}
}
