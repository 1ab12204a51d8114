package tagger

import (
	"time"

	"example.org/rattanwood"
)

// Answers don't pass through the balancer, but a Caller's acknowledgements of them do. They reveal
// two kinds of failure: a Caller that ends a flow whose last request was never acknowledged has
// given up, and an answer that is much shorter than others on the same route is probably an error.
const (
	// shortAnswerRatio is the fraction of a route's mean answer size below which an answer counts
	// as short. Answers of one route differ by a factor of three at users' sites; an error has
	// hardly more than a header.
	shortAnswerRatio = 0.3
	// minSizeSamples is the number of answers from which on a route's mean size is trusted.
	minSizeSamples = 20
	// sizeSampleWindow is the number of answers that the mean size is taken over.
	sizeSampleWindow = 100
	// answerSettleTime is the time without a packet after which an answer counts as complete:
	// Callers acknowledge every second packet, and the last one after 40 ms.
	answerSettleTime = 150 * time.Millisecond
)

// requestStage is the progress of a flow's last request.
type requestStage uint8

const (
	// noRequest means that no request waits to be assessed.
	noRequest requestStage = iota
	// requestSent means that a request was forwarded and none of its answer is acknowledged yet.
	requestSent
	// answerStarted means that the Caller has acknowledged the first part of the answer.
	answerStarted
)

// Failure is a request that its upstream didn't answer, or answered with much less than usual.
type Failure struct {
	Segment  rattanwood.Segment
	Upstream rattanwood.UpstreamID
	// Size is the size of the answer in bytes, zero for none, and MeanSize the mean of the route.
	Size, MeanSize int
}

// sizeAverage is the mean size in bytes of a route's answers.
type sizeAverage struct {
	mean  float64
	count int
}

func (s *sizeAverage) add(size float64) {
	s.count = min(s.count+1, sizeSampleWindow)
	s.mean += (size - s.mean) / float64(s.count)
}

// trackRequest updates the stage of a flow's last request. The packet must not be a retransmission
// of the flow's first one.
func (t *Tagger) trackRequest(now time.Duration, key flowKey, r *recentFlow, s rattanwood.Segment) {
	if r.stage == requestSent && int32(s.Ack-r.requestAck) > 0 {
		r.stage, r.latestAck = answerStarted, s.Ack
	}
	if int32(s.Ack-r.latestAck) > 0 {
		// Acknowledgements may arrive out of order.
		r.latestAck = s.Ack
	}
	switch {
	case s.Flags.Has(rattanwood.FlagReset), s.Flags.Has(rattanwood.FlagClose):
		if r.stage == requestSent {
			t.recordFailure(now, r, s, 0)
		}
		t.finishRequest(now, key, r)
	case s.Length > 0 && r.stage != requestSent:
		t.finishRequest(now, key, r)
		r.stage, r.requestAck = requestSent, s.Ack
		t.pendingRequests[key] = r
	}
}

// finishRequest assesses the size of an answer that is complete and ends the request.
func (t *Tagger) finishRequest(now time.Duration, key flowKey, r *recentFlow) {
	if r.stage == answerStarted {
		size := float64(r.latestAck - r.requestAck)
		average := t.answerSizes[key.target]
		if average == nil {
			average = &sizeAverage{}
			t.answerSizes[key.target] = average
		}
		if average.count >= minSizeSamples && size < shortAnswerRatio*average.mean {
			t.recordFailure(now, r, r.segment, int(size))
		} else {
			average.add(size)
		}
	}
	r.stage = noRequest
	delete(t.pendingRequests, key)
}

// recordFailure reports a failed request to the placer and keeps it for CollectFailures.
func (t *Tagger) recordFailure(now time.Duration, r *recentFlow, s rattanwood.Segment, size int) {
	t.cfg.Placer.AddFailure(now, r.upstream)
	f := Failure{Segment: s, Upstream: r.upstream, Size: size}
	if average := t.answerSizes[s.Target]; average != nil {
		f.MeanSize = int(average.mean)
	}
	t.failures = append(t.failures, f)
}

// CollectFailures assesses the answers that are complete by now and returns the requests that
// failed since the last call.
func (t *Tagger) CollectFailures(now time.Duration) []Failure {
	if t.IsResuming(now) {
		// Acknowledgements may still wait in the socket's buffer.
		return nil
	}
	for key, r := range t.pendingRequests {
		switch {
		case r.stage == answerStarted && now-r.lastSeen > answerSettleTime:
			t.finishRequest(now, key, r)
		case now-r.lastSeen > t.cfg.FlowRetentionTime:
			// The flow's packets now go to other balancers.
			delete(t.pendingRequests, key)
		}
	}
	out := t.failures
	t.failures = nil
	return out
}

// removeUnroutedSizes drops the mean sizes of routes that were deleted.
func (t *Tagger) removeUnroutedSizes() {
	for target := range t.answerSizes {
		if t.routes[target] == nil {
			delete(t.answerSizes, target)
		}
	}
}
