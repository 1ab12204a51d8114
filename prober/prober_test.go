package prober_test

import (
	"fmt"
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

// simulation runs the checks of upstreams 1 to n in virtual time.
type simulation struct {
	p            *prober.Prober
	n            int
	now          time.Duration
	inProgress   map[rattanwood.UpstreamID]check
	checkOutcome func(now time.Duration, due prober.Check) prober.Outcome
	assignment   prober.Assignment
	checkCount   int
	// causes counts the checks by cause.
	causes [prober.CauseCount]int
	// avoidedAt and deadAt hold when each upstream first entered that state.
	avoidedAt, deadAt map[rattanwood.UpstreamID]time.Duration
	// confirmedAt holds when an upstream was last found to be dead still.
	confirmedAt map[rattanwood.UpstreamID]time.Duration
}

type check struct {
	began, ends time.Duration
	outcome     prober.Outcome
}

func newSimulation(n int) *simulation {
	s := &simulation{
		p: prober.New(prober.DefaultConfig()), n: n, inProgress: map[rattanwood.UpstreamID]check{}, assignment: prober.AssignedLocal,
		checkOutcome: func(time.Duration, prober.Check) prober.Outcome { return prober.Passed },
		avoidedAt:    map[rattanwood.UpstreamID]time.Duration{}, deadAt: map[rattanwood.UpstreamID]time.Duration{},
		confirmedAt: map[rattanwood.UpstreamID]time.Duration{},
	}
	for i := range n {
		s.p.Add(0, rattanwood.UpstreamID(i+1))
	}
	return s
}

func (s *simulation) run(until time.Duration) {
	for ; s.now < until; s.now += step {
		// Timeouts come last, after the answers that arrived before them.
		for _, timedOut := range []bool{false, true} {
			for id := rattanwood.UpstreamID(1); int(id) <= s.n; id++ {
				if c, ok := s.inProgress[id]; ok && c.ends <= s.now && (c.outcome == prober.TimedOut) == timedOut {
					delete(s.inProgress, id)
					s.recordResult(id, c)
				}
			}
		}
		for id := rattanwood.UpstreamID(1); int(id) <= s.n; id++ {
			if c, ok := s.inProgress[id]; ok && s.now-c.began >= prober.ReferenceDelay {
				if reference, ok := s.p.StartReference(s.now, id, c.began); ok {
					s.begin(reference)
				}
			}
		}
		for _, due := range s.p.StartDueChecks(s.now, func(rattanwood.UpstreamID) prober.Assignment { return s.assignment }) {
			s.begin(due)
		}
	}
}

func (s *simulation) begin(due prober.Check) {
	s.checkCount++
	s.causes[due.Cause]++
	c := check{began: s.now, ends: s.now, outcome: s.checkOutcome(s.now, due)}
	if c.outcome == prober.TimedOut {
		c.ends += timeout
	}
	s.inProgress[due.Upstream] = c
}

func (s *simulation) recordResult(id rattanwood.UpstreamID, c check) {
	v := s.p.RecordResult(id, c.began, c.outcome)
	if _, ok := s.avoidedAt[id]; v.Avoid && !ok {
		s.avoidedAt[id] = s.now
	}
	if _, ok := s.deadAt[id]; v.Dead && !ok {
		s.deadAt[id] = s.now
	}
	if v.Confirmed {
		s.confirmedAt[id] = s.now
	}
}

// TestTimeToDetect covers upstreams that become unreachable or whose process ends, with and without
// evidence from packets.
func TestTimeToDetect(t *testing.T) {
	const crash = 5 * time.Second
	const never = time.Duration(0)
	tests := map[string]struct {
		outcome     prober.Outcome
		evidence    bool
		avoid, dead time.Duration
	}{
		// Evidence comes after 200 ms. New flows must avoid the upstream before the last retransmission
		// of a first packet, at 600 ms; Callers must get resets early enough to retry within their limit
		// of 1 s.
		"unreachable, with evidence":            {prober.TimedOut, true, 400 * time.Millisecond, 800 * time.Millisecond},
		"unreachable, found by a regular check": {prober.TimedOut, false, 1400 * time.Millisecond, never},
		"refused, with evidence":                {prober.Refused, true, 400 * time.Millisecond, 400 * time.Millisecond},
		"refused, found by a regular check":     {prober.Refused, false, 1400 * time.Millisecond, 1400 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := newSimulation(14)
			s.checkOutcome = func(now time.Duration, due prober.Check) prober.Outcome {
				if now >= crash && due.Upstream == 3 {
					return test.outcome
				}
				return prober.Passed
			}
			s.run(crash)
			if test.evidence {
				s.p.ReportSuspicion(3)
			}
			s.run(crash + 5*time.Second)
			c.Assert(s.avoidedAt, qt.HasLen, 1)
			c.Assert(s.avoidedAt[3]-crash <= test.avoid, qt.IsTrue, qt.Commentf("avoided after %v", s.avoidedAt[3]-crash))
			deadAt, ok := s.deadAt[3]
			c.Assert(ok, qt.Equals, test.dead != never, qt.Commentf("dead after %v", deadAt-crash))
			c.Assert(!ok || deadAt-crash <= test.dead, qt.IsTrue, qt.Commentf("dead after %v", deadAt-crash))
			s.checkOutcome = func(time.Duration, prober.Check) prober.Outcome { return prober.Passed }
			s.run(crash + 7*time.Second)
			c.Assert(s.p.ShouldAvoid(s.now, 3), qt.IsFalse)
		})
	}
}

// TestLiveUpstreamsAreNotDeclaredDead covers faults that make a live upstream look unreachable.
func TestLiveUpstreamsAreNotDeclaredDead(t *testing.T) {
	tests := map[string]func(now time.Duration, due prober.Check) prober.Outcome{
		"this balancer notices no answer in time": func(now time.Duration, _ prober.Check) prober.Outcome {
			if now > 3*time.Second {
				return prober.TimedOut
			}
			return prober.Passed
		},
		"this balancer is delayed": func(now time.Duration, _ prober.Check) prober.Outcome {
			if now > 3*time.Second {
				return prober.Inconclusive
			}
			return prober.Passed
		},
		"each third connection is lost": func(now time.Duration, due prober.Check) prober.Outcome {
			if (int(now/step)+int(due.Upstream))%3 == 0 && now%(4*step) == 0 {
				return prober.TimedOut
			}
			return prober.Passed
		},
	}
	for name, checkOutcome := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := newSimulation(14)
			s.checkOutcome = checkOutcome
			for range 40 {
				s.p.ReportSuspicion(rattanwood.UpstreamID(1 + int(s.now/time.Second)%14))
				s.run(s.now + 500*time.Millisecond)
			}
			c.Assert(s.deadAt, qt.HasLen, 0)
			if name != "each third connection is lost" {
				c.Assert(s.avoidedAt, qt.HasLen, 0)
			}
		})
	}
}

// TestChecksAreBounded covers a fleet in which everything fails or every peer reports failures.
func TestChecksAreBounded(t *testing.T) {
	tests := map[string]func(s *simulation){
		"all refused": func(s *simulation) {
			s.checkOutcome = func(time.Duration, prober.Check) prober.Outcome { return prober.Refused }
		},
		"peer reports about all": func(s *simulation) {
			s.assignment = prober.AssignedElsewhere
			for id := range s.n {
				s.p.AddPeerReport(s.now, rattanwood.UpstreamID(id+1), prober.PeerReport{SameDataCentre: true, Dead: true})
				s.p.ReportSuspicion(rattanwood.UpstreamID(id + 1))
			}
		},
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := newSimulation(150)
			for range 40 {
				prepare(s)
				s.run(s.now + 500*time.Millisecond)
			}
			cfg := prober.DefaultConfig()
			// Each round of checks of suspected upstreams includes a reference check.
			limit := 2 * (cfg.Burst + 20*cfg.Rate)
			c.Assert(s.checkCount <= limit, qt.IsTrue, qt.Commentf("%d checks", s.checkCount))
		})
	}
}

// TestReusedAddressIsDetected has an upstream that becomes unreachable and whose address passes to
// another one while the source is down: connections are accepted there, but not by the upstream.
func TestReusedAddressIsDetected(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(14)
	s.checkOutcome = func(_ time.Duration, due prober.Check) prober.Outcome {
		if due.Upstream == 3 && due.Identify {
			return prober.Refused
		}
		return prober.Passed
	}
	s.run(5 * time.Second)
	c.Assert(s.deadAt, qt.HasLen, 0, qt.Commentf("no check has asked for the identity yet"))
	s.p.ReportSuspicion(3)
	s.run(20 * time.Second)
	c.Assert(s.deadAt[3] <= 5400*time.Millisecond, qt.IsTrue)
	c.Assert(s.p.IsDead(3), qt.IsTrue, qt.Commentf("accepted connections alone don't prove that it recovered"))
}

// TestPeerReports covers many upstreams that die at once, and a peer that is wrong about one.
func TestPeerReports(t *testing.T) {
	sameDataCentre := prober.PeerReport{SameDataCentre: true}
	tests := map[string]struct {
		report prober.PeerReport
		// outcome is what this balancer's own checks find.
		outcome prober.Outcome
		// avoidedAtOnce and avoidedLater are whether new flows avoid the upstream at once, and a
		// second later.
		avoidedAtOnce, avoidedLater bool
	}{
		"a peer in the data centre is right": {sameDataCentre, prober.Refused, true, true},
		"a peer in the data centre is wrong": {sameDataCentre, prober.Passed, true, false},
		"a peer elsewhere is cut off":        {prober.PeerReport{}, prober.Passed, false, false},
		"a peer at the upstream is right":    {prober.PeerReport{AtUpstream: true}, prober.Refused, true, true},
		"a peer at the upstream is wrong":    {prober.PeerReport{AtUpstream: true, Dead: true}, prober.Passed, true, false},
		"this balancer is delayed":           {sameDataCentre, prober.Inconclusive, true, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := newSimulation(5)
			s.assignment = prober.AssignedElsewhere
			s.run(5 * time.Second)
			s.checkOutcome = func(time.Duration, prober.Check) prober.Outcome { return test.outcome }
			s.p.AddPeerReport(s.now, 3, test.report)
			c.Assert(s.p.ShouldAvoid(s.now, 3), qt.Equals, test.avoidedAtOnce)
			s.run(s.now + time.Second)
			c.Assert(s.p.ShouldAvoid(s.now, 3), qt.Equals, test.avoidedLater)
			own, _ := s.p.Failing()
			c.Assert(len(own) > 0, qt.Equals, test.outcome == prober.Refused, qt.Commentf("peer reports aren't passed on"))
			if test.outcome == prober.Inconclusive {
				s.run(s.now + 2*time.Second)
				c.Assert(s.p.ShouldAvoid(s.now, 3), qt.IsFalse, qt.Commentf("peer reports expire"))
			}
		})
	}
}

// TestUnusedUpstreamsAreNotCheckedByAll has peers report for half a minute that upstreams of another data centre
// fail. A balancer that sends nothing there must not join in: on a fleet of 162 nodes with 12 flapping upstreams
// that was 36,000 connections in a minute.
func TestUnusedUpstreamsAreNotCheckedByAll(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(20)
	s.checkOutcome = func(time.Duration, prober.Check) prober.Outcome { return prober.TimedOut }
	run := func(seconds int) int {
		before := s.checkCount
		for range seconds {
			for id := range rattanwood.UpstreamID(12) {
				s.p.AddPeerReport(s.now, id+1, prober.PeerReport{SameDataCentre: id%2 == 0, Dead: true})
			}
			s.run(s.now + time.Second)
		}
		return s.checkCount - before
	}
	s.assignment = prober.Unused
	c.Assert(run(30), qt.Equals, 0)
	c.Assert(s.p.ShouldAvoid(s.now, 1), qt.IsTrue, qt.Commentf("a report from the own data centre counts without a check"))

	c.Log("a packet that is retransmitted leads to a check all the same")
	s.p.ReportSuspicion(1)
	c.Assert(run(2) > 0, qt.IsTrue)

	c.Log("what was found is forgotten, so that no flow is reset by an old verdict")
	s.assignment, s.checkOutcome = prober.AssignedElsewhere, func(time.Duration, prober.Check) prober.Outcome { return prober.Refused }
	run(2)
	c.Assert(s.p.IsDead(1), qt.IsTrue)
	s.assignment = prober.Unused
	run(4)
	c.Assert(s.p.IsDead(1), qt.IsFalse)
}

// TestOldProofIsConfirmed guards against resets of flows by a proof from a fault that has ended: before a flow that came
// later is reset, another check must fail, also if checks time out.
func TestOldProofIsConfirmed(t *testing.T) {
	for name, outcome := range map[string]prober.Outcome{"refused": prober.Refused, "timed out": prober.TimedOut} {
		for _, ended := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, ended: %v", name, ended), func(t *testing.T) {
				const came = 4500 * time.Millisecond
				c := qt.New(t)
				s := newSimulation(14)
				s.assignment = prober.AssignedRemote
				s.checkOutcome = func(now time.Duration, due prober.Check) prober.Outcome {
					if due.Upstream == 3 && (now < 2*time.Second || !ended) {
						return outcome
					}
					return prober.Passed
				}
				s.p.ReportSuspicion(3)
				s.run(came)
				c.Assert(s.p.IsDead(3), qt.IsTrue)
				c.Assert(s.p.IsDeadSince(3, came), qt.IsFalse)
				s.p.ConfirmDead(3)
				s.run(came + prober.DefaultConfig().SuspicionInterval + timeout + 2*step)
				c.Assert(s.p.IsDead(3), qt.Equals, !ended)
				c.Assert(s.p.IsDeadSince(3, came), qt.Equals, !ended)
				c.Assert(s.confirmedAt[3] > came, qt.Equals, !ended)
			})
		}
	}
}

// TestEachUpstreamGetsItsTurn guards against upstreams whose deaths aren't found since the checks of others use up the
// budget: a balancer has four times as many to check as that allows, while some retransmit all the time.
func TestEachUpstreamGetsItsTurn(t *testing.T) {
	const n, dead, crash = 60, 60, 30 * time.Second
	tests := map[string]struct{ suspects, turn int }{
		"regular checks":                {0, 3 * n / 5},
		"beside upstreams with traffic": {3, 5 * n / 5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := newSimulation(n)
			lastCheck := map[rattanwood.UpstreamID]time.Duration{}
			longest := time.Duration(0)
			s.checkOutcome = func(now time.Duration, due prober.Check) prober.Outcome {
				longest = max(longest, now-lastCheck[due.Upstream])
				lastCheck[due.Upstream] = now
				if now >= crash && due.Upstream == dead {
					return prober.Refused
				}
				return prober.Passed
			}
			for s.now < 2*crash+time.Duration(test.turn)*time.Second {
				for id := range test.suspects {
					s.p.ReportSuspicion(rattanwood.UpstreamID(id + 1))
				}
				s.run(s.now + step)
			}
			turn := time.Duration(test.turn) * time.Second
			c.Assert(lastCheck, qt.HasLen, n)
			c.Assert(longest <= turn, qt.IsTrue, qt.Commentf("%v between two checks", longest))
			c.Assert(s.avoidedAt[dead] > crash && s.avoidedAt[dead]-crash <= turn+time.Second, qt.IsTrue, qt.Commentf("avoided at %v", s.avoidedAt[dead]))
			c.Assert(s.p.LongestOverdue() > time.Second && s.p.LongestOverdue() <= turn, qt.IsTrue, qt.Commentf("%v", s.p.LongestOverdue()))
		})
	}
}

// TestFirstSuspicionIsDecided has packets to a dead upstream retransmitted right after a start, before any
// regular check.
func TestFirstSuspicionIsDecided(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(14)
	s.assignment = prober.AssignedElsewhere
	s.checkOutcome = func(_ time.Duration, due prober.Check) prober.Outcome {
		if due.Upstream == 3 {
			return prober.TimedOut
		}
		return prober.Passed
	}
	s.run(300 * time.Millisecond)
	s.p.ReportSuspicion(3)
	s.run(time.Second)
	c.Assert(s.avoidedAt[3] != 0 && s.avoidedAt[3] <= 700*time.Millisecond, qt.IsTrue, qt.Commentf("avoided at %v", s.avoidedAt[3]))
}

// TestSuspectsCostFewConnections reports suspicions of healthy upstreams, as full ones cause them, keeps sending
// packets to one that left the source while it drains, and has one that stays dead.
func TestSuspectsCostFewConnections(t *testing.T) {
	tests := map[string]struct {
		report     func(p *prober.Prober, now time.Duration)
		assignment prober.Assignment
		outcome    prober.Outcome
		// checks and references are the numbers of checks of the suspect and of reference checks in ten seconds
		// that serve someone.
		checks, references int
	}{
		"retransmissions each second": {func(p *prober.Prober, now time.Duration) {
			if now%time.Second == 0 {
				p.ReportSuspicion(3)
			}
		}, prober.Unregistered, prober.Passed, 10, 0},
		"packets to an unregistered upstream": {func(p *prober.Prober, now time.Duration) {
			p.ReportUnregistered(now, 3, 500*time.Millisecond)
		}, prober.Unregistered, prober.Passed, 11, 0},
		// Four timeouts prove the death and each needs a reference; then there is a check each 3 s.
		"dead upstream": {func(p *prober.Prober, now time.Duration) {
			if now == 0 {
				p.ReportSuspicion(3)
			}
		}, prober.AssignedElsewhere, prober.TimedOut, 4 + 4, 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := newSimulation(14)
			s.assignment = test.assignment
			s.checkOutcome = func(_ time.Duration, due prober.Check) prober.Outcome {
				if due.Upstream == 3 {
					return test.outcome
				}
				return prober.Passed
			}
			for end := 10 * time.Second; s.now < end; {
				test.report(s.p, s.now)
				s.run(s.now + step)
			}
			references := s.causes[prober.Reference]
			checks := s.checkCount - references
			c.Assert(checks > 0 && checks <= test.checks, qt.IsTrue, qt.Commentf("%d checks", checks))
			c.Assert(references <= test.references, qt.IsTrue, qt.Commentf("%d reference checks", references))
			c.Assert(s.p.IsDead(3), qt.Equals, test.outcome == prober.TimedOut)
		})
	}
}

// BenchmarkStartDueChecks has a tick of a balancer that knows 150 upstreams, none of which is due.
func BenchmarkStartDueChecks(b *testing.B) {
	p := prober.New(prober.DefaultConfig())
	for id := range rattanwood.UpstreamID(150) {
		p.Add(0, id*0x9e3779b1)
	}
	for b.Loop() {
		p.StartDueChecks(0, func(rattanwood.UpstreamID) prober.Assignment { return prober.AssignedElsewhere })
	}
}

// TestSuspectedCheckStartsAtOnce has a Caller repeat a packet: the check of the upstream doesn't wait for the next round,
// and comes at most once in SuspicionInterval.
func TestSuspectedCheckStartsAtOnce(t *testing.T) {
	c := qt.New(t)
	p := prober.New(prober.DefaultConfig())
	p.Add(0, 1)
	now := prober.DefaultConfig().SuspicionInterval
	_, ok := p.StartSuspectedCheck(now, 1, prober.AssignedElsewhere)
	c.Assert(ok, qt.IsFalse, qt.Commentf("nobody suspects it"))
	p.ReportSuspicion(1)
	check, ok := p.StartSuspectedCheck(now, 1, prober.AssignedElsewhere)
	c.Assert(ok, qt.IsTrue)
	c.Assert(check, qt.Equals, prober.Check{Upstream: 1, Identify: true, Cause: prober.Suspected})
	p.ReportSuspicion(1)
	_, ok = p.StartSuspectedCheck(now, 1, prober.AssignedElsewhere)
	c.Assert(ok, qt.IsFalse, qt.Commentf("a check is running"))
	p.RecordResult(1, now, prober.Passed)
	p.ReportSuspicion(1)
	_, ok = p.StartSuspectedCheck(now+time.Millisecond, 1, prober.AssignedElsewhere)
	c.Assert(ok, qt.IsFalse, qt.Commentf("the last one was a moment ago"))
	_, ok = p.StartSuspectedCheck(now, 2, prober.AssignedElsewhere)
	c.Assert(ok, qt.IsFalse, qt.Commentf("unknown upstream"))
}

// TestRevived checks which upstreams are known to have started anew: only those that were proved dead.
func TestRevived(t *testing.T) {
	tests := map[string]struct {
		outcomes []prober.Outcome
		want     bool
	}{
		"refused twice":         {[]prober.Outcome{prober.Refused, prober.Refused}, true},
		"refused once":          {[]prober.Outcome{prober.Refused}, false},
		"timed out, no traffic": {[]prober.Outcome{prober.TimedOut, prober.TimedOut, prober.TimedOut, prober.TimedOut}, false},
		"passed":                {[]prober.Outcome{prober.Passed}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := prober.New(prober.DefaultConfig())
			p.Add(0, 1)
			p.Add(0, 2)
			now := time.Second
			for _, o := range append(test.outcomes, prober.Passed) {
				p.RecordResult(2, now, prober.Passed)
				now += time.Second
				last := p.RecordResult(1, now-time.Second, o)
				c.Assert(last.Revived, qt.Equals, o == prober.Passed && test.want)
			}
		})
	}
}
