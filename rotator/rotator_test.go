package rotator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/rotator"
)

// TestCutDataCentreLeavesRotation has ten first packets a second arrive at a balancer of a data centre that is cut
// off for six seconds.
func TestCutDataCentreLeavesRotation(t *testing.T) {
	const cutAt, healAt, end = 3 * time.Second, 9 * time.Second, 14 * time.Second
	type second = time.Duration
	tests := map[string]struct {
		// stranded tells whether first packets find no usable upstream during the cut, and requests is the number
		// of requests a second on established flows.
		stranded bool
		requests int
		// answered is set if some flows are answered during the cut.
		answered bool
		// out is the time out of rotation, in whole seconds.
		out second
	}{
		"only new flows":                 {stranded: true, out: 6},
		"a few established flows":        {stranded: true, requests: 5, out: 6},
		"more requests on earlier flows": {stranded: true, requests: 20},
		"own upstreams serve":            {},
		"some upstreams answer":          {stranded: true, answered: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := rotator.New()
			var out time.Duration
			const step = 50 * time.Millisecond
			for now := time.Duration(0); now < end; now += step {
				cut := now >= cutAt && now < healAt
				if now%(100*time.Millisecond) == 0 && r.Stays() {
					if cut && test.stranded {
						r.RecordStranded(now, "s")
					}
					if !cut || !test.stranded || test.answered {
						r.RecordAnswered(now)
					}
				}
				for range test.requests {
					if now%time.Second == 0 {
						r.RecordRequest(now)
					}
				}
				stays, changed := r.Update(now, func(rattanwood.ServiceID) bool { return cut })
				c.Assert(stays || now >= cutAt, qt.IsTrue)
				c.Assert(changed && stays && now < healAt, qt.IsFalse, qt.Commentf("returned at %v", now))
				if !stays {
					out += step
				}
			}
			c.Assert(r.Stays(), qt.IsTrue)
			// The flows answered before the cut count for a second.
			c.Assert(out <= test.out*time.Second && out >= (test.out-2)*time.Second, qt.IsTrue, qt.Commentf("out for %v", out))
		})
	}
}
