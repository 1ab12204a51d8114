package prober_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/prober"
)

const (
	step    = 50 * time.Millisecond
	timeout = 80 * time.Millisecond
)

// world plays checks of upstreams 1 to n in virtual time.
type world struct {
	p     *prober.Prober
	n     int
	now   time.Duration
	ends  map[rattanwood.UpstreamID]check
	see   func(now time.Duration, due prober.Check) prober.Outcome
	duty  prober.Assignment
	count int
	// avoided and died are when the first verdict of each kind came.
	avoided, died map[rattanwood.UpstreamID]time.Duration
}

type check struct {
	began, ends time.Duration
	outcome     prober.Outcome
}

func newWorld(n int) *world {
	w := &world{
		p: prober.New(prober.DefaultConfig()), n: n, ends: map[rattanwood.UpstreamID]check{}, duty: prober.AssignedLocal,
		see:     func(time.Duration, prober.Check) prober.Outcome { return prober.Answered },
		avoided: map[rattanwood.UpstreamID]time.Duration{}, died: map[rattanwood.UpstreamID]time.Duration{},
	}
	for i := range n {
		w.p.Add(0, rattanwood.UpstreamID(i+1))
	}
	return w
}

func (w *world) run(until time.Duration) {
	for ; w.now < until; w.now += step {
		for id := rattanwood.UpstreamID(1); int(id) <= w.n; id++ {
			if c, ok := w.ends[id]; ok && c.ends <= w.now {
				delete(w.ends, id)
				w.result(id, c)
			}
		}
		for _, due := range w.p.StartDueChecks(w.now, func(rattanwood.UpstreamID) prober.Assignment { return w.duty }) {
			w.count++
			id := due.Upstream
			c := check{began: w.now, ends: w.now, outcome: w.see(w.now, due)}
			if c.outcome == prober.TimedOut {
				c.ends += timeout
			}
			w.ends[id] = c
		}
	}
}

func (w *world) result(id rattanwood.UpstreamID, c check) {
	v := w.p.RecordResult(id, c.began, c.outcome)
	if _, ok := w.avoided[id]; v.Avoid && !ok {
		w.avoided[id] = w.now
	}
	if _, ok := w.died[id]; v.Dead && !ok {
		w.died[id] = w.now
	}
}

// TestTimeToDetect answers upstreams that go dark or whose process ends, with and without evidence from packets.
func TestTimeToDetect(t *testing.T) {
	const crash = 5 * time.Second
	const never = time.Duration(0)
	tests := map[string]struct {
		outcome     prober.Outcome
		hint        bool
		avoid, dead time.Duration
	}{
		// Evidence comes after 200 ms. New flows must be right when the last copy of a first packet comes,
		// at 600 ms, and Callers be told while there is time within a limit of a second.
		"dark, with evidence":    {prober.TimedOut, true, 400 * time.Millisecond, 800 * time.Millisecond},
		"dark, found by duty":    {prober.TimedOut, false, 1400 * time.Millisecond, never},
		"refused, with evidence": {prober.Refused, true, 400 * time.Millisecond, 400 * time.Millisecond},
		"refused, found by duty": {prober.Refused, false, 1400 * time.Millisecond, 1400 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(14)
			w.see = func(now time.Duration, due prober.Check) prober.Outcome {
				if now >= crash && due.Upstream == 3 {
					return test.outcome
				}
				return prober.Answered
			}
			w.run(crash)
			if test.hint {
				w.p.Hint(3)
			}
			w.run(crash + 5*time.Second)
			c.Assert(w.avoided, qt.HasLen, 1)
			c.Assert(w.avoided[3]-crash <= test.avoid, qt.IsTrue, qt.Commentf("avoided after %v", w.avoided[3]-crash))
			died, ok := w.died[3]
			c.Assert(ok, qt.Equals, test.dead != never, qt.Commentf("dead after %v", died-crash))
			c.Assert(!ok || died-crash <= test.dead, qt.IsTrue, qt.Commentf("dead after %v", died-crash))
			w.see = func(time.Duration, prober.Check) prober.Outcome { return prober.Answered }
			w.run(crash + 7*time.Second)
			c.Assert(w.p.ShouldAvoid(w.now, 3), qt.IsFalse)
		})
	}
}

// TestNoFalseAlarm answers what makes a living upstream look silent.
func TestNoFalseAlarm(t *testing.T) {
	tests := map[string]func(now time.Duration, due prober.Check) prober.Outcome{
		"this node notices nothing in time": func(now time.Duration, _ prober.Check) prober.Outcome {
			if now > 3*time.Second {
				return prober.TimedOut
			}
			return prober.Answered
		},
		"this node is held up": func(now time.Duration, _ prober.Check) prober.Outcome {
			if now > 3*time.Second {
				return prober.Inconclusive
			}
			return prober.Answered
		},
		"each third connection is lost": func(now time.Duration, due prober.Check) prober.Outcome {
			if (int(now/step)+int(due.Upstream))%3 == 0 && now%(4*step) == 0 {
				return prober.TimedOut
			}
			return prober.Answered
		},
	}
	for name, see := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(14)
			w.see = see
			for range 40 {
				w.p.Hint(rattanwood.UpstreamID(1 + int(w.now/time.Second)%14))
				w.run(w.now + 500*time.Millisecond)
			}
			c.Assert(w.died, qt.HasLen, 0)
			if name != "each third connection is lost" {
				c.Assert(w.avoided, qt.HasLen, 0)
			}
		})
	}
}

// TestChecksAreBounded answers a fleet where everything fails or everybody spreads rumours.
func TestChecksAreBounded(t *testing.T) {
	tests := map[string]func(w *world){
		"all refused": func(w *world) {
			w.see = func(time.Duration, prober.Check) prober.Outcome { return prober.Refused }
		},
		"rumours about all": func(w *world) {
			w.duty = prober.AssignedElsewhere
			for id := range w.n {
				w.p.AddPeerReport(w.now, rattanwood.UpstreamID(id+1), prober.PeerReport{Near: true, Dead: true})
				w.p.Hint(rattanwood.UpstreamID(id + 1))
			}
		},
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(150)
			for range 40 {
				prepare(w)
				w.run(w.now + 500*time.Millisecond)
			}
			cfg := prober.DefaultConfig()
			// A control goes with each round of doubtful checks.
			most := 2 * (cfg.Burst + 20*cfg.Rate)
			c.Assert(w.count <= most, qt.IsTrue, qt.Commentf("%d checks", w.count))
		})
	}
}

// TestAddressOfAnother answers an upstream that goes dark and whose address passes to another one, while the
// registry is away: connections are accepted there, but not by the upstream.
func TestAddressOfAnother(t *testing.T) {
	c := qt.New(t)
	w := newWorld(14)
	w.see = func(_ time.Duration, due prober.Check) prober.Outcome {
		if due.Upstream == 3 && due.Identify {
			return prober.Refused
		}
		return prober.Answered
	}
	w.run(5 * time.Second)
	c.Assert(w.died, qt.HasLen, 0, qt.Commentf("nobody has asked yet"))
	w.p.Hint(3)
	w.run(20 * time.Second)
	c.Assert(w.died[3] <= 5400*time.Millisecond, qt.IsTrue)
	c.Assert(w.p.IsDead(3), qt.IsTrue, qt.Commentf("connections that are accepted don't make it well again"))
}

// TestRumours answers many upstreams that die at once, and a peer that is wrong about one.
func TestRumours(t *testing.T) {
	near := prober.PeerReport{Near: true}
	tests := map[string]struct {
		rumour prober.PeerReport
		// sees is whether this balancer can check the upstream, and what it finds.
		sees prober.Outcome
		// soon and later are whether new flows avoid it at once, and a second later.
		soon, later bool
	}{
		"a near peer is right":        {near, prober.Refused, true, true},
		"a near peer is wrong":        {near, prober.Answered, true, false},
		"a peer elsewhere is cut off": {prober.PeerReport{}, prober.Answered, false, false},
		"this node is held up":        {near, prober.Inconclusive, true, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(5)
			w.duty = prober.AssignedElsewhere
			w.run(5 * time.Second)
			w.see = func(time.Duration, prober.Check) prober.Outcome { return test.sees }
			w.p.AddPeerReport(w.now, 3, test.rumour)
			c.Assert(w.p.ShouldAvoid(w.now, 3), qt.Equals, test.soon)
			w.run(w.now + time.Second)
			c.Assert(w.p.ShouldAvoid(w.now, 3), qt.Equals, test.later)
			own, _ := w.p.Failing()
			c.Assert(len(own) > 0, qt.Equals, test.sees == prober.Refused, qt.Commentf("a rumour isn't passed on"))
			if test.sees == prober.Inconclusive {
				w.run(w.now + 2*time.Second)
				c.Assert(w.p.ShouldAvoid(w.now, 3), qt.IsFalse, qt.Commentf("rumours end"))
			}
		})
	}
}
