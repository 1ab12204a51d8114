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

// TestNewFlowsLeaveSilentUpstreams has a Caller repeat a flow's first packet twice. Only a flow that was placed later and
// has been answered shows that the upstream is silent, rather than the path slow. New flows avoid it then, while the
// copies go on to it until its checks fail.
func TestNewFlowsLeaveSilentUpstreams(t *testing.T) {
	tests := map[string]struct {
		earlier, later bool
		// far is set if the other flows' Callers are in another network, which may be nearer.
		far    bool
		silent bool
	}{
		"no flow answered":                 {false, false, false, false},
		"only an earlier one answered":     {true, false, false, false},
		"a later one answered":             {false, true, false, true},
		"a later one answered from nearer": {false, true, true, false},
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
			for _, pause := range []time.Duration{180, 400} {
				f.now += pause * time.Millisecond
				again := f.sendFirst(2, board)
				c.Assert(again.Reason, qt.Equals, tagger.Retransmitted)
				c.Assert(again.Instance, qt.Equals, v.Instance)
			}
			got := false
			for caller := 10; caller < 110; caller++ {
				got = got || f.sendFirst(caller, board).Instance == v.Instance
			}
			c.Assert(got, qt.Equals, !test.silent)
			f.failChecks(int(v.Instance.Upstream()), prober.TimedOut)
			again := f.sendFirst(2, board)
			c.Assert(again.Reason, qt.Equals, tagger.Reassigned)
			c.Assert(again.Instance, qt.Not(qt.Equals), v.Instance)
		})
	}
}

// TestLostAnswersMoveNoFlow guards against a flow that is open at one upstream and ends at another: the copy of its first
// packet went to a second upstream, since a few answers had been lost, and that one's answers took over the flow's tag.
func TestLostAnswersMoveNoFlow(t *testing.T) {
	tests := map[string]struct {
		// lost is the number of flows whose answer is lost, and answers whether others of the same upstream are answered.
		lost    int
		answers bool
		// counts has the flows placed by counts, here or as another balancer says.
		counts, asked, fails bool
	}{
		"one":                              {lost: 1},
		"two":                              {lost: 2},
		"five":                             {lost: 5},
		"two, while the upstream answers":  {lost: 2, answers: true},
		"five, while the upstream answers": {lost: 5, answers: true},
		"two, placed by counts":            {lost: 2, counts: true},
		"five, placed by counts":           {lost: 5, counts: true},
		"two, placed as advised":           {lost: 2, counts: true, asked: true},
		"five, placed as advised":          {lost: 5, counts: true, asked: true},
		"checks fail":                      {lost: 1, fails: true},
		"checks fail, placed by counts":    {lost: 1, counts: true, fails: true},
		"checks fail, placed as advised":   {lost: 1, counts: true, asked: true, fails: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newCountingFixture()
			f.admission.busy = test.counts
			if test.asked {
				f.ranked = "counter"
			}
			send := func(caller int, copies uint32) tagger.Verdict {
				v := f.sendCopy(caller, copies)
				if v.Action == tagger.Ask {
					upstream := rattanwood.UpstreamID(1 + caller%4)
					return f.HandleAdvice(f.now, tagger.Advice{Serial: v.Request.Serial, Upstream: upstream})[0].Verdict
				}
				return v
			}
			caller := 0
			place := func(on rattanwood.UpstreamID) int {
				for range 1000 {
					caller++
					if v := send(caller, 0); v.Instance.Upstream() == on {
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
			if test.fails {
				f.failChecks(1, prober.TimedOut)
			}
			for copies, pause := range []time.Duration{180, 400} {
				f.run(pause * time.Millisecond)
				for _, caller := range lost {
					v := send(caller, uint32(copies)+1)
					c.Assert(v.Action, qt.Equals, tagger.Forward)
					c.Assert(v.Instance.Upstream() != 1, qt.Equals, test.fails)
				}
			}
		})
	}
}

// TestFlowsOpenWhileUpstreamsFallSilent is the pattern of a service that loses two of four upstreams at once while
// Callers open 60 flows a second at a balancer. Two checks of 80 ms each prove the failure, and flows that
// began on a lost upstream open on another then. Of the flows, 99% have to be open within a target of 400 ms.
func TestFlowsOpenWhileUpstreamsFallSilent(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	// The upstreams have been registered for longer than the interval between two checks.
	f.run(time.Second)
	f.Confirm(f.now)
	const flows, checkTime = 240, 200 * time.Millisecond
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

// TestOpenFlowsKeepTheirUpstream guards against a flow that is open at one upstream and ends at another, once two have got
// its first packet for whatever reason: the other one's answers replace the tag, but not the numbers that the Caller
// acknowledges.
func TestOpenFlowsKeepTheirUpstream(t *testing.T) {
	last := uint32(0xffffff00)
	tests := map[string]struct {
		ack  uint32
		want rattanwood.UpstreamID
	}{
		"the same acknowledgement":           {last, 1},
		"the next one, past the highest":     {last + 20_000, 1},
		"an earlier one, overtaken":          {last - 1200, 1},
		"of another flow with the same ends": {last + 1<<30, 2},
		"none":                               {0, 2},
		"of another flow, lower":             {last - 1<<30, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture()
			send := func(tag rattanwood.UpstreamID, seq, ack uint32) tagger.Verdict {
				s := segment(1, board)
				s.Flags, s.Tag, s.Seq, s.Ack, s.Length = rattanwood.FlagAck, tag, seq, ack, 10
				return f.Packet(f.now, s, nil)
			}
			c.Assert(send(2, 1, test.ack).Instance.Upstream(), qt.Equals, rattanwood.UpstreamID(2), qt.Commentf("not seen before"))
			f.sendFirst(1, board)
			c.Assert(send(1, 1, last).Instance.Upstream(), qt.Equals, rattanwood.UpstreamID(1), qt.Commentf("opens"))
			f.now += 7 * time.Second
			v := send(2, 11, test.ack)
			c.Assert(v.Action, qt.Equals, tagger.Forward)
			c.Assert(v.Instance.Upstream(), qt.Equals, test.want)
			c.Assert(v.Reason == tagger.Kept, qt.Equals, test.want == 1)
		})
	}
}
