package tagger_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood/tagger"
)

// TestFirstPacketsAfterAPauseAreDropped has a balancer that was paused. The first packets in its
// socket's buffer have been retransmitted to other balancers, and if it chose a second upstream for
// such a flow, that one would take over the flow's tag.
func TestFirstPacketsAfterAPauseAreDropped(t *testing.T) {
	tests := map[string]struct {
		pause, later time.Duration
		want         tagger.Reason
	}{
		"no pause":            {50 * time.Millisecond, 0, tagger.Placed},
		"paused":              {time.Second, 0, tagger.Resuming},
		"still reading":       {time.Second, 40 * time.Millisecond, tagger.Resuming},
		"the buffer is empty": {time.Second, 60 * time.Millisecond, tagger.Placed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture()
			f.Tick(f.now)
			f.now += test.pause
			f.Confirm(f.now)
			f.sendFirst(1, board)
			f.now += test.later
			f.Tick(f.now)
			c.Assert(f.sendFirst(2, board).Reason, qt.Equals, test.want)
			c.Assert(f.sendTagged(3, board, 2, 1).Action, qt.Equals, tagger.Forward, qt.Commentf("tagged packets are forwarded even then"))
		})
	}
}

// TestFirstPacketsThatWaitedAtStartAreDropped covers a start with a slow source, during which first
// packets wait in the socket's buffer.
func TestFirstPacketsThatWaitedAtStartAreDropped(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	f.MarkResumed(f.now)
	c.Assert(f.sendFirst(1, board).Reason, qt.Equals, tagger.Resuming)
	f.now += 60 * time.Millisecond
	c.Assert(f.sendFirst(1, board).Reason, qt.Equals, tagger.Placed)
}

// TestFirstPacketsThatWaitedAreDropped guards against flows that reach two upstreams: a small machine needs longer than
// ResumeTime to read what waited in its socket's buffer while it stood still, and sent the rest to upstreams although
// the Callers had sent copies by way of other balancers.
func TestFirstPacketsThatWaitedAreDropped(t *testing.T) {
	const packets, limit = 10, 8
	tests := map[string]struct {
		// emptyAfter is the number of packets after which the buffer is found empty.
		emptyAfter, dropped int
	}{
		"all waited":  {packets, limit},
		"some waited": {4, 4},
		"none waited": {0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture()
			cfg := tagger.DefaultConfig()
			cfg.DataCentre, cfg.Random, cfg.Placer, cfg.Prober, cfg.MaxWaitingPackets = "east", f.random, f.placer, f.prober, limit
			f.Tagger = tagger.New(cfg)
			f.SetRouting(routing(1))
			f.register(1, false)
			f.Confirm(f.now)
			f.Tick(f.now)
			emptyAt := f.now
			f.now += 4 * time.Second
			f.Tick(f.now)
			dropped := 0
			for i := range packets {
				if i == test.emptyAfter {
					emptyAt = f.now
				}
				// Longer than ResumeTime: the machine's processor time is used up.
				f.run(94 * time.Millisecond)
				f.MarkRead(f.now, emptyAt)
				if f.sendFirst(1+i, board).Reason == tagger.Resuming {
					dropped++
				}
			}
			c.Assert(dropped, qt.Equals, test.dropped)
		})
	}
}
