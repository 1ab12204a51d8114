package tagger_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
)

// step is a packet of a Caller, after a pause.
type step struct {
	after time.Duration
	flags rattanwood.SegmentFlags
	ack   uint32
	size  int
}

// play sends the packets of a flow to upstream 1.
func (w *world) play(caller int, steps []step) {
	seq := uint32(1)
	for _, p := range steps {
		w.now += p.after
		w.Tick(w.now)
		s := segment(caller, board)
		s.Flags, s.Tag, s.Seq, s.Ack, s.Length = p.flags, 1, seq, p.ack, p.size
		w.Packet(w.now, s, nil)
		seq += uint32(p.size)
	}
}

// rest lets time pass in ticks, judges, and returns the number of failures.
func (w *world) rest(d time.Duration) int {
	failures := 0
	for end := w.now + d; w.now < end; w.now += 50 * time.Millisecond {
		w.Tick(w.now)
		failures += len(w.CollectFailures(w.now))
	}
	return failures
}

// TestOutcomes answers upstreams that hang, stay mute, or fail requests at once while their status checks are good. The
// sequences are those of Callers on the users' bench.
func TestOutcomes(t *testing.T) {
	const ack, end, reset = rattanwood.FlagAck, rattanwood.FlagAck | rattanwood.FlagClose, rattanwood.FlagReset
	const ms = time.Millisecond
	tests := map[string]struct {
		steps    []step
		failures int
	}{
		"answered":             {[]step{{0, ack, 100, 200}, {60 * ms, ack, 1100, 0}}, 0},
		"answered in parts":    {[]step{{0, ack, 100, 200}, {20 * ms, ack, 300, 0}, {1 * ms, ack, 1300, 0}}, 0},
		"answered, then ended": {[]step{{0, ack, 100, 200}, {20 * ms, end, 1100, 0}}, 0},
		"given up":             {[]step{{0, ack, 100, 200}, {1000 * ms, end, 100, 0}, {7 * ms, ack, 101, 0}}, 1},
		"given up by a reset":  {[]step{{0, ack, 100, 200}, {1000 * ms, reset, 100, 0}}, 1},
		"large and given up":   {[]step{{0, ack, 100, 1200}, {0, ack, 100, 261}, {1000 * ms, end, 100, 0}}, 1},
		"error":                {[]step{{0, ack, 100, 200}, {48 * ms, ack, 318, 0}}, 1},
		"error, then another":  {[]step{{0, ack, 100, 200}, {48 * ms, ack, 318, 0}, {20 * ms, ack, 318, 200}, {60 * ms, ack, 1318, 0}}, 1},
		"acks out of order":    {[]step{{0, ack, 100, 200}, {20 * ms, ack, 1100, 0}, {0, ack, 100, 0}}, 0},
		"small answer":         {[]step{{0, ack, 100, 200}, {48 * ms, ack, 500, 0}}, 0},
		"ended without asking": {[]step{{0, end, 100, 0}}, 0},
		"goes on elsewhere":    {[]step{{0, ack, 100, 200}}, 0},
		"numbers wrap":         {[]step{{0, ack, 0xffffff00, 200}, {60 * ms, ack, 744, 0}}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld()
			for caller := range 30 {
				w.play(1000+caller, []step{{0, ack, 100, 200}, {60 * ms, ack, 1100, 0}})
			}
			c.Assert(w.rest(time.Second), qt.Equals, 0)
			w.play(1, test.steps)
			c.Assert(w.rest(20*time.Second), qt.Equals, test.failures)
		})
	}
}

// TestPausedNodeJudgesNothing answers a freeze in the middle of an answer, whose rest waits in the socket.
func TestPausedNodeJudgesNothing(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	for caller := range 30 {
		w.play(1000+caller, []step{{0, rattanwood.FlagAck, 100, 200}, {0, rattanwood.FlagAck, 1100, 0}})
	}
	w.rest(time.Second)
	w.play(1, []step{{0, rattanwood.FlagAck, 100, 200}, {0, rattanwood.FlagAck, 200, 0}})
	w.now += 3 * time.Second
	c.Assert(w.CollectFailures(w.now), qt.HasLen, 0)
	w.play(1, []step{{0, rattanwood.FlagAck, 1100, 0}})
	c.Assert(w.rest(time.Second), qt.Equals, 0)
}
