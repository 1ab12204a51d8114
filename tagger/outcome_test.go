package tagger_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
)

// packetStep is a packet that a Caller sends after a pause.
type packetStep struct {
	after time.Duration
	flags rattanwood.SegmentFlags
	ack   uint32
	size  int
}

// sendPackets sends the packets of a flow to upstream 1.
func (f *fixture) sendPackets(caller int, steps []packetStep) {
	seq := uint32(1)
	for _, p := range steps {
		f.now += p.after
		f.Tick(f.now)
		s := segment(caller, board)
		s.Flags, s.Tag, s.Seq, s.Ack, s.Length = p.flags, 1, seq, p.ack, p.size
		f.Packet(f.now, s, nil)
		seq += uint32(p.size)
	}
}

// advance lets time pass in ticks of 50 ms and returns the number of failures found.
func (f *fixture) advance(d time.Duration) int {
	failures := 0
	for end := f.now + d; f.now < end; f.now += 50 * time.Millisecond {
		f.Tick(f.now)
		failures += len(f.CollectFailures(f.now))
	}
	return failures
}

// TestFailedRequestsAreDetected covers upstreams that hang, never answer, or fail requests at once
// while their health checks succeed. The packets are those of Callers in the users' benchmark.
func TestFailedRequestsAreDetected(t *testing.T) {
	const ack, end, reset = rattanwood.FlagAck, rattanwood.FlagAck | rattanwood.FlagClose, rattanwood.FlagReset
	const ms = time.Millisecond
	tests := map[string]struct {
		steps    []packetStep
		failures int
	}{
		"answered":                {[]packetStep{{0, ack, 100, 200}, {60 * ms, ack, 1100, 0}}, 0},
		"answered in parts":       {[]packetStep{{0, ack, 100, 200}, {20 * ms, ack, 300, 0}, {1 * ms, ack, 1300, 0}}, 0},
		"answered, then ended":    {[]packetStep{{0, ack, 100, 200}, {20 * ms, end, 1100, 0}}, 0},
		"given up":                {[]packetStep{{0, ack, 100, 200}, {1000 * ms, end, 100, 0}, {7 * ms, ack, 101, 0}}, 1},
		"given up by a reset":     {[]packetStep{{0, ack, 100, 200}, {1000 * ms, reset, 100, 0}}, 1},
		"large and given up":      {[]packetStep{{0, ack, 100, 1200}, {0, ack, 100, 261}, {1000 * ms, end, 100, 0}}, 1},
		"error":                   {[]packetStep{{0, ack, 100, 200}, {48 * ms, ack, 318, 0}}, 1},
		"error, then another":     {[]packetStep{{0, ack, 100, 200}, {48 * ms, ack, 318, 0}, {20 * ms, ack, 318, 200}, {60 * ms, ack, 1318, 0}}, 1},
		"acks out of order":       {[]packetStep{{0, ack, 100, 200}, {20 * ms, ack, 1100, 0}, {0, ack, 100, 0}}, 0},
		"small response":          {[]packetStep{{0, ack, 100, 200}, {48 * ms, ack, 500, 0}}, 0},
		"ended without a request": {[]packetStep{{0, end, 100, 0}}, 0},
		"continues elsewhere":     {[]packetStep{{0, ack, 100, 200}}, 0},
		"numbers wrap":            {[]packetStep{{0, ack, 0xffffff00, 200}, {60 * ms, ack, 744, 0}}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture()
			for caller := range 30 {
				f.sendPackets(1000+caller, []packetStep{{0, ack, 100, 200}, {60 * ms, ack, 1100, 0}})
			}
			c.Assert(f.advance(time.Second), qt.Equals, 0)
			f.sendPackets(1, test.steps)
			c.Assert(f.advance(20*time.Second), qt.Equals, test.failures)
		})
	}
}

// TestPauseIsNotTakenForAFailure has a process that freezes in the middle of a response. The rest of
// the acknowledgements waits in the socket's buffer, and the response must not be taken for a short
// one.
func TestPauseIsNotTakenForAFailure(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	for caller := range 30 {
		f.sendPackets(1000+caller, []packetStep{{0, rattanwood.FlagAck, 100, 200}, {0, rattanwood.FlagAck, 1100, 0}})
	}
	f.advance(time.Second)
	f.sendPackets(1, []packetStep{{0, rattanwood.FlagAck, 100, 200}, {0, rattanwood.FlagAck, 200, 0}})
	f.now += 3 * time.Second
	c.Assert(f.CollectFailures(f.now), qt.HasLen, 0)
	f.sendPackets(1, []packetStep{{0, rattanwood.FlagAck, 1100, 0}})
	c.Assert(f.advance(time.Second), qt.Equals, 0)
}
