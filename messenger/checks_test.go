package messenger_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/prober"
)

const checkedUpstreams = 150

// checkedFleet is a fleet whose nodes check upstreams and send a flow to one of their data centre every
// 100 ms. Upstream i is in data centre i modulo dataCentres.
type checkedFleet struct {
	*fleet
	probers map[*node]*prober.Prober
	running []pendingCheck
	index   map[rattanwood.UpstreamID]int
	isDown  func(now time.Duration, i int) bool
	// connections counts those that running upstreams accepted, and failedChecks the checks that failed, by cause.
	connections, failedChecks [prober.CauseCount]int
}

type pendingCheck struct {
	n           *node
	began, ends time.Duration
	id          rattanwood.UpstreamID
	outcome     prober.Outcome
}

// upstreamID spreads consecutive numbers over all IDs by multiplicative hashing (Knuth).
func upstreamID(i int) rattanwood.UpstreamID { return rattanwood.UpstreamID(i+1) * 0x9e3779b1 }

func newCheckedFleet(c *qt.C, n int) *checkedFleet {
	f := &checkedFleet{
		fleet: newFleet(c, n), probers: map[*node]*prober.Prober{},
		index:  map[rattanwood.UpstreamID]int{},
		isDown: func(time.Duration, int) bool { return false },
	}
	for i := range checkedUpstreams {
		f.index[upstreamID(i)] = i
	}
	for _, n := range f.nodes {
		f.start(n)
	}
	f.onPayload = func(n *node, p *payload) { p.Failing, p.Dead = f.probers[n].Failing() }
	f.onHeartbeat = func(n *node, h *heartbeat) {
		for _, id := range h.Failing {
			report := prober.PeerReport{SameDataCentre: string(h.DataCentre) == fmt.Sprint("dc", n.dataCentre), Dead: slices.Contains(h.Dead, id)}
			f.probers[n].AddPeerReport(f.now, id, report)
		}
	}
	return f
}

func (f *checkedFleet) start(n *node) {
	p := prober.New(prober.DefaultConfig())
	for i := range checkedUpstreams {
		p.Add(f.now, upstreamID(i))
	}
	f.probers[n] = p
}

// run lets a duration pass in which checks are answered and flows are opened.
func (f *checkedFleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.fleet.run(step)
		f.finishChecks()
		for i, n := range f.nodes {
			f.openFlow(n, i)
			f.startChecks(n)
		}
	}
}

// openFlow sends the first packet of a flow, whose Caller retransmits it after 200 ms.
func (f *checkedFleet) openFlow(n *node, i int) {
	if (f.now/step)%2 != 0 {
		return
	}
	u := (int(f.now/step)*7+i)%(checkedUpstreams/dataCentres)*dataCentres + n.dataCentre
	if sent := f.now - 200*time.Millisecond; f.isDown(sent, u) && !f.probers[n].ShouldAvoid(sent, upstreamID(u)) {
		f.probers[n].ReportSuspicion(upstreamID(u))
	}
}

func (f *checkedFleet) startChecks(n *node) {
	due := f.probers[n].StartDueChecks(f.now, func(id rattanwood.UpstreamID) prober.Assignment {
		return prober.Duty{Registered: true, Local: f.index[id]%dataCentres == n.dataCentre, Checker: n.messenger.ChecksUpstream(f.now, id)}.Assignment()
	})
	for _, running := range f.running {
		if running.n == n && f.now-running.began >= prober.ReferenceDelay {
			if reference, ok := f.probers[n].StartReference(f.now, running.id, running.began); ok {
				due = append(due, reference)
			}
		}
	}
	for _, check := range due {
		p := pendingCheck{n: n, began: f.now, ends: f.now, id: check.Upstream}
		if f.isDown(f.now, f.index[check.Upstream]) {
			p.ends, p.outcome = f.now+80*time.Millisecond, prober.TimedOut
			f.failedChecks[check.Cause]++
		} else {
			f.connections[check.Cause]++
		}
		f.running = append(f.running, p)
	}
}

func (f *checkedFleet) finishChecks() {
	// Timeouts come last, after the answers that arrived before them.
	for _, outcome := range []prober.Outcome{prober.Passed, prober.TimedOut} {
		for _, p := range f.running {
			if p.ends < f.now && p.outcome == outcome {
				f.probers[p.n].RecordResult(p.id, p.began, p.outcome)
			}
		}
	}
	f.running = slices.DeleteFunc(f.running, func(p pendingCheck) bool { return p.ends < f.now })
}

func (f *checkedFleet) total() int {
	total := 0
	for _, n := range f.connections {
		total += n
	}
	return total
}

// table lists connections and failed checks by cause.
func (f *checkedFleet) table() string {
	out := ""
	for cause := range prober.CauseCount {
		out += fmt.Sprintf("%v %d (+%d failed), ", cause, f.connections[cause], f.failedChecks[cause])
	}
	return out
}

// TestStartingFleetChecksEachUpstreamOnce starts whole fleets. Nodes that don't know each other yet must not
// all check the upstreams of their data centre; a dead upstream is found all the same, from packets.
func TestStartingFleetChecksEachUpstreamOnce(t *testing.T) {
	t.Parallel()
	for _, n := range []int{15, 91, 136} {
		t.Run(fmt.Sprint(n, " nodes"), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			f := newCheckedFleet(c, n)
			const dead = 5
			f.isDown = func(_ time.Duration, i int) bool { return i == dead }
			f.run(7 * time.Second)
			for _, n := range f.nodes {
				if n.dataCentre == dead%dataCentres {
					c.Assert(f.probers[n].ShouldAvoid(f.now, upstreamID(dead)), qt.IsTrue, qt.Commentf("%s avoids the dead upstream", n.name))
				}
			}
			f.run(3 * time.Second)
			t.Logf("%v: %s", f.now, f.table())
			// A check a second by a node of the own data centre, and one every 9 s by each other; one more of each
			// while its node changes.
			c.Assert(f.connections[prober.Regular] <= checkedUpstreams*(10+1+2*2), qt.IsTrue)
			c.Assert(f.connections[prober.Regular] >= checkedUpstreams*4, qt.IsTrue, qt.Commentf("checks begin within 5 s"))
		})
	}
}

// TestFlappingUpstreamsCostFewConnections has 12 of 150 upstreams go down and up every 4 s. Each node of their
// data centre has to find each failure and each return, with a connection each at the returned upstream; proofs
// that answers arrive may cost as much again.
func TestFlappingUpstreamsCostFewConnections(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	const n, flaps = 91, 3
	f := newCheckedFleet(c, n)
	f.run(5 * time.Second)
	f.connections, f.failedChecks = [prober.CauseCount]int{}, [prober.CauseCount]int{}
	began := f.now
	f.isDown = func(now time.Duration, i int) bool { return i < 12 && (now-began)%(4*time.Second) < 2*time.Second }
	f.run(flaps * 4 * time.Second)
	t.Logf("%d flaps: %s", flaps, f.table())
	found := 12 * flaps * n / dataCentres
	c.Assert(f.total()-f.connections[prober.Regular] <= 2*found, qt.IsTrue, qt.Commentf("%d connections beyond the regular ones", f.total()-f.connections[prober.Regular]))
}
