package messenger_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var whole = flag.Bool("whole", false, "play all failures in fleets of all sizes")

// mostWithin returns the most of some times that lie within a second.
func mostWithin(times []time.Duration) (most int) {
	first := 0
	for i, at := range times {
		for at-times[first] >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// result describes a return of a data centre's upstreams.
type result struct {
	// cold and warm are the most flows within a second that an upstream got while it was cold, and another upstream.
	cold, warm int
	// warming are the flows that cold upstreams got.
	warming int
	// back is how long the data centre's upstreams took to get nine tenths of their usual flows again.
	back time.Duration
	// course are the flows that they got in each half second, in hundredths of the usual.
	course []int
	// steepest is the greatest rise of course between two half seconds.
	steepest int
}

// result evaluates a return at a time.
func (f *coldFleet) result(returned time.Duration) result {
	var r result
	got := map[time.Duration]int{}
	const bucket = 500 * time.Millisecond
	for id, times := range f.arrived {
		var cold, warm []time.Duration
		for _, at := range times {
			switch {
			case at < returned:
				continue
			case at < f.coldUntil[id]:
				cold = append(cold, at)
			default:
				warm = append(warm, at)
			}
			if f.centreOf[id] == 0 {
				got[(at-returned)/bucket]++
			}
		}
		r.cold, r.warm, r.warming = max(r.cold, mostWithin(cold)), max(r.warm, mostWithin(warm)), r.warming+len(cold)
	}
	for i := range 10 {
		r.course = append(r.course, got[time.Duration(i)]*100/int(usualRate*perCentre*bucket.Seconds()))
		if i > 0 {
			r.steepest = max(r.steepest, r.course[i]-r.course[i-1])
		}
	}
	for float64(got[r.back/bucket]) < 0.9*usualRate*perCentre*bucket.Seconds() && r.back < 20*time.Second {
		r.back += bucket
	}
	return r
}

// TestColdReturn lets the 40 upstreams of a data centre come back cold at once under load, beside one failure at a
// time. The bound comes from the settings and holds for all nodes together.
func TestColdReturn(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		// before happens a second before the return, and during when the upstreams are cold.
		before, during func(f *coldFleet)
		// idle is set where no lease can be held.
		idle bool
	}{
		"nothing else":                   {},
		"data centres cut off":           {before: func(f *coldFleet) { f.split(func(n *node) int { return n.dataCentre }) }},
		"a data centre split in two":     {before: func(f *coldFleet) { f.split(func(n *node) int { return int(n.seed()/dataCentres%5) / 3 }) }},
		"a tenth of the nodes cut off":   {before: func(f *coldFleet) { f.cutOff(f.sharing(0.1)) }},
		"holders cut off":                {during: func(f *coldFleet) { f.cutOff(f.holders()) }},
		"holders killed":                 {during: func(f *coldFleet) { f.kill(f.holders()) }},
		"holders paused":                 {during: func(f *coldFleet) { f.pause(f.holders(), 1200*time.Millisecond) }},
		"half as many nodes added":       {before: func(f *coldFleet) { f.grow(len(f.nodes) / 2) }},
		"half of the nodes killed":       {before: func(f *coldFleet) { f.kill(f.sharing(0.5)) }, idle: true},
		"all nodes restarted":            {before: func(f *coldFleet) { f.restart(f.sharing(1)) }, idle: true},
		"a third of the nodes restarted": {before: func(f *coldFleet) { f.restart(f.sharing(0.33)) }},
		"lost, late and doubled asks":    {before: func(f *coldFleet) { f.loss, f.duplicate, f.delay = 0.1, 0.2, 300*time.Millisecond }},
	}
	for _, n := range []int{15, 100, 232} {
		for name, test := range tests {
			if !*whole && (n > 100 || n > 15 && name != "nothing else") {
				// Under the race detector, the largest fleet takes a minute of processor time.
				continue
			}
			t.Run(fmt.Sprintf("%d nodes, %s", n, name), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				f := newColdFleet(c, n)
				f.run(10 * time.Second)
				f.removeUpstreams(0)
				f.run(4 * time.Second)
				if test.before != nil {
					test.before(f)
				}
				f.run(time.Second)
				returned := f.now
				repeated, refused := f.repeated, f.refused
				for range perCentre {
					f.addUpstream(0, warmupTime)
				}
				f.run(600 * time.Millisecond)
				if test.during != nil {
					test.during(f)
				}
				f.run(7 * time.Second)
				r := f.result(returned)
				t.Logf("| %d | %s | %d of %d | %d | %d | %.1f s | %d | %d | %v | %v", n, name, r.cold, warmupLimit, r.warming, r.warm, r.back.Seconds(), f.repeated-repeated, f.refused-refused, f.outcomes, r.course)
				c.Assert(r.cold <= warmupLimit, qt.IsTrue, qt.Commentf("%d flows in a second", r.cold))
				c.Assert(r.warming > 0 || test.idle, qt.IsTrue)
				if name == "nothing else" {
					c.Assert(r.steepest <= 50, qt.IsTrue, qt.Commentf("%v", r.course))
					c.Assert(r.warm <= upstreamRate, qt.IsTrue)
					c.Assert(f.repeated+f.refused, qt.Equals, 0)
				}
			})
		}
	}
}
