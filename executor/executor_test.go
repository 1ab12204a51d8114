package executor_test

import (
	"flag"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
)

var (
	seeds = flag.Uint64("seeds", 10, "seeds of each scenario")
	first = flag.Uint64("first", 0, "first seed")
)

// Times of a scenario: load begins once the replicas vote, and the fault comes in its middle.
const (
	loadBegins = 5 * time.Second
	fault      = 8 * time.Second
	loadEnds   = 12 * time.Second
	end        = 30 * time.Second
)

// rate is about half of what 14 upstreams with 2 slots of 20 ms can do.
const rate = 600

func pauseSeat(d *desk, i int, long time.Duration) {
	s := d.seats[i]
	s.paused = true
	s.gone = d.now
	d.at(d.now+long, func() {
		s.paused = false
		for _, do := range s.backlog {
			do()
		}
		s.backlog = nil
	})
}

func killSeat(d *desk, i int) {
	d.seats[i].up = false
	d.seats[i].gone = d.now
}

func splitSeats(d *desk, n int, long time.Duration) {
	side := map[rattanwood.VMID]bool{}
	for _, s := range d.seats[:n] {
		side[s.vm] = true
	}
	d.cut = func(a, b rattanwood.VMID) bool { return side[a] != side[b] }
	d.at(d.now+long, func() { d.cut = func(rattanwood.VMID, rattanwood.VMID) bool { return false } })
}

// TestPromisesHoldUnderFaults checks that nothing runs twice, no refusal lies and no answer is wrong.
func TestPromisesHoldUnderFaults(t *testing.T) {
	tests := map[string]func(d *desk){
		"calm":          func(*desk) {},
		"keeper killed": func(d *desk) { killSeat(d, 0) },
		"two killed":    func(d *desk) { killSeat(d, 1); killSeat(d, 2) },
		"keeper paused": func(d *desk) { pauseSeat(d, 0, 4*time.Second) },
		"three paused": func(d *desk) {
			pauseSeat(d, 1, time.Second)
			pauseSeat(d, 2, 5*time.Second)
			pauseSeat(d, 3, 9*time.Second)
		},
		"upstream breaks":         func(d *desk) { d.backends[0].down = true },
		"half and half cut":       func(d *desk) { splitSeats(d, 7, 4*time.Second) },
		"keeper alone cut":        func(d *desk) { splitSeats(d, 1, 4*time.Second) },
		"killed and joined":       func(d *desk) { killSeat(d, 3); d.join("joined") },
		"overload":                func(d *desk) { d.work *= 4 },
		"keeper leaves":           func(d *desk) { d.seats[0].exec.BeginShutdown() },
		"cut, paused and killed":  func(d *desk) { splitSeats(d, 5, 3*time.Second); pauseSeat(d, 6, 2*time.Second); killSeat(d, 7) },
		"upstream and asker gone": func(d *desk) { d.backends[1].down = true; killSeat(d, 4) },
	}
	for name, scenario := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := *first; seed < *first+*seeds; seed++ {
				d := newDesk(seed, 15, 14)
				d.keeper = seed%2 == 0
				d.run(loadBegins)
				d.load(rate, loadEnds)
				d.at(fault, func() { scenario(d) })
				d.run(end)
				got := d.tally()
				comment := qt.Commentf("seed %d: %+v", seed, got)
				qt.Check(t, got.twice, qt.Equals, 0, comment)
				qt.Check(t, got.lied, qt.Equals, 0, comment)
				qt.Check(t, got.wrong, qt.Equals, 0, comment)
				qt.Check(t, got.answered > got.asked/2, qt.IsTrue, comment)
			}
		})
	}
}
