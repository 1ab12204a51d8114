package tagger_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/prober"
	"example.org/rattanwood/tagger"
)

// TestFlowsYoungerThanReplicaAreNotReset guards against resets of open flows by a balancer that hasn't heard yet of the
// route or the upstream that the flow was placed by: a confirmation from before the flow says nothing about them.
func TestFlowsYoungerThanReplicaAreNotReset(t *testing.T) {
	const tag = 7
	removeUpstream := func(f *fixture) {
		f.RemoveRegistration(f.now, instance(1))
		r := registration(6)
		r.Address = registration(1).Address
		f.SetRegistration(f.now, r)
	}
	tests := map[string]struct {
		// prepare brings the lagging balancer to a state from which the source then moves on.
		prepare func(f *fixture)
		// learn brings it up to date.
		learn func(f *fixture)
		tag   rattanwood.UpstreamID
		// reason is that of the reset, if the balancer finds that it knows all there is.
		reason tagger.Reason
	}{
		"route that was just added": {
			prepare: func(f *fixture) { f.SetRouting(routing(2, board)) },
			learn:   func(f *fixture) { f.SetRouting(routing(3)) },
			tag:     1, reason: tagger.NoRoute,
		},
		"route that strays asked for before it was added": {
			prepare: func(f *fixture) {
				f.SetRouting(routing(2, board))
				for range 40 {
					f.sendTagged(2, board, 1, 1)
					f.now += 100 * time.Millisecond
				}
				f.Confirm(f.now)
			},
			learn: func(f *fixture) { f.SetRouting(routing(3)) },
			tag:   1, reason: tagger.NoRoute,
		},
		"upstream whose tag was unknown before": {
			prepare: func(f *fixture) {
				for range 40 {
					f.sendTagged(2, board, tag, 1)
					f.now += 100 * time.Millisecond
				}
				f.Confirm(f.now)
			},
			learn: func(f *fixture) { f.register(tag, false) },
			tag:   tag, reason: tagger.UnknownTag,
		},
		"upstream that registered again at another address": {
			prepare: func(f *fixture) {
				removeUpstream(f)
				f.now += 3 * time.Second
				f.Confirm(f.now)
			},
			learn: func(f *fixture) {
				r := registration(1)
				r.Address, r.StartTime = registration(9).Address, 2
				f.SetRegistration(f.now, r)
			},
			tag: 1, reason: tagger.UpstreamDead,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture()
			test.prepare(f)
			for range 9 {
				got := f.sendTagged(1, board, test.tag, 1)
				c.Assert(got.Action, qt.Not(qt.Equals), tagger.Reset, qt.Commentf("%s after %v", got.Reason, f.now))
				f.now += 100 * time.Millisecond
				// Confirmations that have been under way since before the flow began.
				f.Confirm(f.now)
			}
			test.learn(f)
			c.Assert(f.sendTagged(1, board, test.tag, 1).Action, qt.Equals, tagger.Forward)

			f = newFixture()
			test.prepare(f)
			f.sendTagged(1, board, test.tag, 1)
			f.now += 3 * time.Second
			f.Confirm(f.now)
			got := f.sendTagged(1, board, test.tag, 1)
			c.Assert(got, qt.Equals, tagger.Verdict{Action: tagger.Reset, Reason: test.reason}, qt.Commentf("a flow that can't go on isn't reset"))
		})
	}
}

// TestProofOfDeathBeforeFlowCameBack has a flow leave for another balancer and come back after an upstream was found dead
// by what a peer reported, which resets no flow at once.
func TestProofOfDeathBeforeFlowCameBack(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	v := f.sendFirst(1, board)
	id := v.Instance.Upstream()
	f.sendTagged(1, board, id, 1)
	f.now += 5 * time.Second
	f.prober.RecordResult(6, f.now, prober.Passed)
	f.prober.RecordResult(id, f.now, prober.TimedOut)
	f.prober.RecordResult(id, f.now, prober.TimedOut)
	f.prober.AddPeerReport(f.now, id, prober.PeerReport{SameDataCentre: true, Dead: true})
	c.Assert(f.prober.IsDead(id), qt.IsTrue)
	f.now += 4 * time.Second
	for seq := range uint32(3) {
		c.Assert(f.sendTagged(1, board, id, 2+seq).Action, qt.Equals, tagger.Forward)
		f.now += 200 * time.Millisecond
	}
}

// TestAsksWithoutRouteAreNotAnswered asks for first packets and copies whose route isn't known here yet: the balancer that
// asks knows it, and decides alone.
func TestAsksWithoutRouteAreNotAnswered(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	for copies := range uint32(2) {
		for _, q := range []tagger.Request{{Upstream: 1}, {Service: "board"}} {
			s := segment(1+int(copies), unrouted)
			s.Flags, s.Ack = rattanwood.FlagOpen, copies
			_, ok := f.Advise(f.now, "peer", s, q)
			c.Assert(ok, qt.IsFalse)
		}
	}
}

// TestFlowsYoungerThanProofOfDeath guards against resets of flows that came here after an upstream was found dead, as by
// a cut that has ended: they go on until another check fails.
func TestFlowsYoungerThanProofOfDeath(t *testing.T) {
	for name, alive := range map[string]bool{"the upstream lives": true, "the upstream is dead": false} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture()
			f.sendTagged(1, board, 2, 1)
			f.failChecks(2, prober.Refused)
			c.Assert(f.ResetFlows(2), qt.HasLen, 1, qt.Commentf("a flow that was here before"))

			f.now += 5 * time.Second
			f.Confirm(f.now)
			c.Assert(f.sendTagged(2, board, 2, 1).Action, qt.Equals, tagger.Forward)
			due := f.prober.StartDueChecks(f.now, func(rattanwood.UpstreamID) prober.Assignment { return prober.AssignedElsewhere })
			c.Assert(due, qt.Any(qt.Equals), prober.Check{Upstream: 2, Identify: true, Cause: prober.Suspected})
			began := f.now
			f.now += time.Millisecond
			c.Assert(f.sendTagged(3, board, 2, 1).Action, qt.Equals, tagger.Forward)
			if alive {
				c.Assert(f.prober.RecordResult(2, began, prober.Passed).Recovered, qt.IsTrue)
				c.Assert(f.sendTagged(2, board, 2, 2).Action, qt.Equals, tagger.Forward)
				return
			}
			c.Assert(f.prober.RecordResult(2, began, prober.Refused).Confirmed, qt.IsTrue)
			resets := f.ResetFlows(2)
			c.Assert(resets, qt.HasLen, 1, qt.Commentf("only the flow that came before the check began"))
			c.Assert(resets[0].Segment.Caller.Port(), qt.Equals, uint16(2))
			c.Assert(f.sendTagged(3, board, 2, 1).Action, qt.Equals, tagger.Forward)
		})
	}
}
