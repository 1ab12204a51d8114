package warmer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood/warmer"
)

// TestCounterMatchesNaive compares the counter with one that keeps all events.
func TestCounterMatchesNaive(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	for range 50 {
		const window = 100 * time.Millisecond
		counter, limit, now := warmer.NewCounter(window), 1+random.IntN(8), time.Duration(0)
		var all []time.Duration
		naive := func() (n int) {
			for _, at := range all {
				if at > now-window {
					n++
				}
			}
			return n
		}
		for range 2000 {
			now += time.Duration(random.IntN(40)) * time.Millisecond
			want := naive() < limit
			c.Assert(counter.Add(now, limit), qt.Equals, want)
			if want {
				all = append(all, now)
			}
			c.Assert(counter.Count(now), qt.Equals, naive())
		}
	}
}
