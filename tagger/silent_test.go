package tagger_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/prober"
	"example.org/rattanwood/tagger"
)

// TestRepeatedFirstPacketsLeaveSilentUpstreams has a Caller repeat a flow's first packet twice. Only a flow that was
// placed later and has been answered shows that the upstream is silent, rather than the path slow. The first copy
// stays all the same, since a single answer may have been lost.
func TestRepeatedFirstPacketsLeaveSilentUpstreams(t *testing.T) {
	tests := map[string]struct {
		earlier, later bool
		// far is set if the other flows' Callers are in another network, which may be nearer.
		far  bool
		want tagger.Reason
	}{
		"no flow answered":                 {false, false, false, tagger.Retransmitted},
		"only an earlier one answered":     {true, false, false, tagger.Retransmitted},
		"a later one answered":             {false, true, false, tagger.Reassigned},
		"a later one answered from nearer": {false, true, true, tagger.Retransmitted},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture()
			answered := func(caller int, ok bool) {
				s := segment(caller, maps)
				if test.far {
					s.Caller = netip.AddrPortFrom(netip.MustParseAddr("100.99.0.7"), uint16(caller))
				}
				s.Flags = rattanwood.FlagOpen
				v := f.Packet(f.now, s, []byte("first"))
				f.now += 10 * time.Millisecond
				if ok {
					s.Flags, s.Tag, s.Seq, s.Length = rattanwood.FlagAck, v.Instance.Upstream(), 1, 10
					f.Packet(f.now, s, nil)
				}
			}
			answered(1, test.earlier)
			v := f.sendFirst(2, board)
			f.now += 10 * time.Millisecond
			answered(3, test.later)
			f.now += 180 * time.Millisecond
			again := f.sendFirst(2, board)
			c.Assert(again.Reason, qt.Equals, tagger.Retransmitted)
			c.Assert(again.Instance, qt.Equals, v.Instance)
			f.now += 400 * time.Millisecond
			again = f.sendFirst(2, board)
			c.Assert(again.Reason, qt.Equals, test.want)
			c.Assert(again.Instance == v.Instance, qt.Equals, test.want == tagger.Retransmitted)
			// The next repetition comes too soon for proof against the second upstream.
			c.Assert(f.sendFirst(2, board).Reason, qt.Equals, tagger.Retransmitted)
		})
	}
}

// TestOneLostAnswerMovesNoFlow guards against a flow that is open at one upstream and ends at another: after one lost
// answer the copy of its first packet went to a second upstream, whose answers took over the flow's tag. Two flows
// without an answer are evidence, unless the upstream has answered another one since.
func TestOneLostAnswerMovesNoFlow(t *testing.T) {
	tests := map[string]struct {
		// lost is the number of flows whose answer is lost, and answers whether others of the same upstream are answered.
		lost    int
		answers bool
		moved   bool
	}{
		"one":                              {1, false, false},
		"two":                              {2, false, true},
		"two, while the upstream answers":  {2, true, false},
		"five, while the upstream answers": {5, true, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture()
			caller := 0
			place := func(on rattanwood.UpstreamID) int {
				for range 1000 {
					caller++
					if v := f.sendFirst(caller, board); v.Instance.Upstream() == on {
						return caller
					}
				}
				c.Fatalf("no flow was placed on upstream %d", on)
				return 0
			}
			answer := func(on rattanwood.UpstreamID) {
				at := place(on)
				f.now += 5 * time.Millisecond
				f.sendTagged(at, board, on, 1)
			}
			var lost []int
			for range test.lost {
				lost = append(lost, place(1))
				f.now += 5 * time.Millisecond
			}
			answer(2)
			if test.answers {
				answer(1)
			}
			f.now += 180 * time.Millisecond
			moved := false
			for _, caller := range lost {
				moved = moved || f.sendFirst(caller, board).Reason == tagger.Reassigned
			}
			c.Assert(moved, qt.Equals, test.moved)
		})
	}
}

// TestFlowsOpenWhileUpstreamsFallSilent is the pattern of a service that loses two of four upstreams at once while
// Callers open 60 flows a second at a balancer. Checks prove the failure 250 ms after the first suspicion; until then
// a flow that began on a lost upstream opens on another with its first repeated packet. Of the flows, 99% have to be
// open within a target of 400 ms.
func TestFlowsOpenWhileUpstreamsFallSilent(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	const flows, checkTime = 240, 250 * time.Millisecond
	repeats := []time.Duration{200 * time.Millisecond, 600 * time.Millisecond}
	random := rand.New(rand.NewPCG(5, 6))
	sentAt, copies := map[int]time.Duration{}, map[int]int{}
	suspectedAt := map[rattanwood.UpstreamID]time.Duration{}
	opened, late := 0, 0
	deliver := func(caller int, id rattanwood.UpstreamID) {
		if id > 2 {
			return
		}
		f.sendTagged(caller, board, id, 1)
		opened++
		if f.now-sentAt[caller] > 400*time.Millisecond {
			late++
		}
		delete(copies, caller)
	}
	for caller := 1; caller <= flows || len(copies) > 0; caller++ {
		f.now += time.Duration(random.IntN(33)) * time.Millisecond
		for waiting := 1; waiting < caller; waiting++ {
			if _, ok := copies[waiting]; !ok {
				continue
			}
			if f.now-sentAt[waiting] > 1400*time.Millisecond {
				delete(copies, waiting)
			} else if n := copies[waiting]; n < len(repeats) && f.now-sentAt[waiting] >= repeats[n] {
				copies[waiting]++
				deliver(waiting, f.sendFirst(waiting, board).Instance.Upstream())
			}
		}
		for _, due := range f.prober.StartDueChecks(f.now, func(rattanwood.UpstreamID) prober.Assignment { return prober.AssignedElsewhere }) {
			if id := due.Upstream; id <= 2 {
				f.prober.RecordResult(id, f.now, prober.Passed)
			} else if suspectedAt[id] == 0 {
				suspectedAt[id] = f.now
			}
		}
		for id, at := range suspectedAt {
			if f.now-at >= checkTime && !f.prober.ShouldAvoid(f.now, id) {
				f.failChecks(int(id), prober.TimedOut)
				for _, p := range f.ReassignOpeningFlows(f.now, id) {
					deliver(int(p.Segment.Caller.Port()), p.Instance.Upstream())
				}
			}
		}
		if caller <= flows {
			sentAt[caller], copies[caller] = f.now, 0
			deliver(caller, f.sendFirst(caller, board).Instance.Upstream())
		}
	}
	c.Assert(opened, qt.Equals, flows)
	c.Assert(late <= flows/100, qt.IsTrue, qt.Commentf("%d of %d flows opened late", late, opened))
}

// TestOvertakenCopyStaysOnItsUpstream has a copy of a flow's first packet arrive after the flow's next packet.
func TestOvertakenCopyStaysOnItsUpstream(t *testing.T) {
	c := qt.New(t)
	for caller := 1; caller < 50; caller++ {
		f := newFixture()
		v := f.sendFirst(caller, board)
		f.now += 250 * time.Millisecond
		f.sendTagged(caller, board, v.Instance.Upstream(), 1)
		s := segment(caller, board)
		s.Flags, s.Ack = rattanwood.FlagOpen, 1
		c.Assert(f.Packet(f.now, s, []byte("first")).Instance, qt.Equals, v.Instance)
	}
}
