package tagger

import (
	"time"

	"example.org/rattanwood"
)

// A balancer sees no answers, but a Caller acknowledges what it got. That is enough to tell two kinds of
// failure: a Caller that ends a flow whose last request was never acknowledged has given up, and
// an answer that is much shorter than others on the same route is hardly the one that was asked for.
const (
	// shortPart is the part of a route's mean answer below which one counts as short. Answers of one
	// route differ by a factor of three on the users' sites; an error has hardly more than a header.
	shortPart = 0.3
	// sizesLeast is the number of answers of a route from which on its mean is trusted.
	sizesLeast = 20
	// sizesWindow is the number of answers over which the mean is taken.
	sizesWindow = 100
	// settleTime is the time without a packet after which an answer is whole: Callers acknowledge each
	// second packet, and the last one after 40 ms.
	settleTime = 150 * time.Millisecond
)

// stage is how far the last request of a flow has come.
type stage uint8

const (
	// idle flows have no request that is still to be judged.
	idle stage = iota
	// asked means that a request was sent, and answering that the first acknowledgement came.
	asked
	answering
)

// Failure is a request that an upstream didn't answer, or not well.
type Failure struct {
	Segment  rattanwood.Segment
	Upstream rattanwood.UpstreamID
	// Size is that of the answer in bytes, zero for none, and MeanSize the mean of the route.
	Size, MeanSize int
}

// sizes is the mean size of a route's answers in bytes.
type sizes struct {
	mean  float64
	count int
}

func (s *sizes) add(size float64) {
	s.count = min(s.count+1, sizesWindow)
	s.mean += (size - s.mean) / float64(s.count)
}

// progress follows a flow's last request through a packet that is not a copy of the first one.
func (t *Tagger) progress(now time.Duration, key flowKey, r *recentFlow, s rattanwood.Segment) {
	if r.stage == asked && int32(s.Ack-r.askedAck) > 0 {
		r.stage, r.acked = answering, s.Ack
	}
	if int32(s.Ack-r.acked) > 0 {
		// Acknowledgements may overtake each other.
		r.acked = s.Ack
	}
	switch {
	case s.Flags.Has(rattanwood.FlagReset), s.Flags.Has(rattanwood.FlagClose):
		if r.stage == asked {
			t.fail(now, r, s, 0)
		}
		t.settle(now, key, r)
	case s.Length > 0 && r.stage != asked:
		t.settle(now, key, r)
		r.stage, r.askedAck = asked, s.Ack
		t.pending[key] = r
	}
}

// settle judges an answer that is whole and ends the request.
func (t *Tagger) settle(now time.Duration, key flowKey, r *recentFlow) {
	if r.stage == answering {
		size := float64(r.acked - r.askedAck)
		usual := t.sizes[key.target]
		if usual == nil {
			usual = &sizes{}
			t.sizes[key.target] = usual
		}
		if usual.count >= sizesLeast && size < shortPart*usual.mean {
			t.fail(now, r, r.segment, int(size))
		} else {
			usual.add(size)
		}
	}
	r.stage = idle
	delete(t.pending, key)
}

func (t *Tagger) fail(now time.Duration, r *recentFlow, s rattanwood.Segment, size int) {
	t.cfg.Placer.AddFailure(now, r.upstream)
	f := Failure{Segment: s, Upstream: r.upstream, Size: size}
	if usual := t.sizes[s.Target]; usual != nil {
		f.MeanSize = int(usual.mean)
	}
	t.failures = append(t.failures, f)
}

// CollectFailures settles the answers that have come to an end and returns the requests that failed since the last call.
func (t *Tagger) CollectFailures(now time.Duration) []Failure {
	if t.IsResuming(now) {
		// Acknowledgements may wait in the socket.
		return nil
	}
	for key, r := range t.pending {
		switch {
		case r.stage == answering && now-r.at > settleTime:
			t.settle(now, key, r)
		case now-r.at > t.cfg.FlowRetentionTime:
			// Its packets come to other balancers now.
			delete(t.pending, key)
		}
	}
	out := t.failures
	t.failures = nil
	return out
}

// forgetSizes drops what is known of routes that are gone.
func (t *Tagger) forgetSizes() {
	for target := range t.sizes {
		if t.routes[target] == nil {
			delete(t.sizes, target)
		}
	}
}
