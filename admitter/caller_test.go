package admitter

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSketchAgainstMap compares a sketch with exact counts of 1,000 Callers, some of which ask far more than others, over
// a time in which its weights are scaled down several times.
func TestSketchAgainstMap(t *testing.T) {
	const window = 5 * time.Second
	random := rand.New(rand.NewPCG(3, 3))
	k := sketch{window: window}
	exact := map[uint64]*meter{}
	keys := make([]uint64, 1000)
	for i := range keys {
		keys[i] = random.Uint64()
		exact[keys[i]] = &meter{window: window}
	}
	now := time.Duration(0)
	for now < 400*time.Second {
		now += time.Duration(random.ExpFloat64() * float64(10*time.Millisecond))
		key := keys[int(math.Pow(random.Float64(), 3)*float64(len(keys)))]
		k.add(now, key)
		exact[key].add(now)
	}
	total, wrong := 0.0, 0
	for _, m := range exact {
		total += m.rate(now)
	}
	for key, m := range exact {
		got, want := k.rate(now, key), m.rate(now)
		qt.Assert(t, got >= want-1e-6, qt.IsTrue, qt.Commentf("rate %v, exact %v", got, want))
		if got > want+0.005*total {
			wrong++
		}
	}
	qt.Assert(t, wrong <= len(keys)/50, qt.IsTrue, qt.Commentf("%d rates are too high", wrong))
}
