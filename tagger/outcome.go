package tagger

import (
	"time"

	"example.org/rattanwood"
)

// Responses don't pass through the balancer, but a Caller's acknowledgements of them do. They reveal
// two kinds of failure: a Caller that ends a flow before it has acknowledged any part of the last
// response has given up, and a response that is much shorter than others on the same route is
// probably an error.
const (
	// shortResponseRatio is the fraction of a route's mean response size below which a response
	// counts as short. Responses of one route differ by a factor of three at users' sites; an error
	// has hardly more than a header.
	shortResponseRatio = 0.3
	// minSizeSamples is the number of responses from which on a route's mean size is trusted.
	minSizeSamples = 20
	// sizeSampleWindow is the number of responses that the mean size is taken over.
	sizeSampleWindow = 100
	// responseSettleTime is the time without a packet after which a response counts as complete:
	// Callers acknowledge every second packet, and the last one after 40 ms.
	responseSettleTime = 150 * time.Millisecond
)

// requestStage is the progress of a flow's last request.
type requestStage uint8

const (
	// noRequest means that no request waits to be assessed.
	noRequest requestStage = iota
	// requestSent means that a request was forwarded and none of its response is acknowledged yet.
	requestSent
	// responseStarted means that the Caller has acknowledged the first part of the response.
	responseStarted
)

// Failure is a request without a response, or with one much shorter than usual.
type Failure struct {
	Segment  rattanwood.Segment
	Upstream rattanwood.UpstreamID
	// Size is the size of the response in bytes, zero for none, and MeanSize the mean of the route.
	Size, MeanSize int
}

// sizeAverage is the mean size in bytes of a route's responses.
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
		r.stage, r.latestAck = responseStarted, s.Ack
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

// finishRequest assesses the size of a response that is complete and ends the request.
func (t *Tagger) finishRequest(now time.Duration, key flowKey, r *recentFlow) {
	if r.stage == responseStarted {
		size := float64(r.latestAck - r.requestAck)
		average := t.responseSizes[key.target]
		if average == nil {
			average = &sizeAverage{}
			t.responseSizes[key.target] = average
		}
		if average.count >= minSizeSamples && size < shortResponseRatio*average.mean {
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
	if average := t.responseSizes[s.Target]; average != nil {
		f.MeanSize = int(average.mean)
	}
	t.failures = append(t.failures, f)
}

// CollectFailures assesses the responses that are complete by now and returns the requests that
// failed since the last call.
func (t *Tagger) CollectFailures(now time.Duration) []Failure {
	if t.IsResuming(now) {
		// Acknowledgements may still wait in the socket's buffer.
		return nil
	}
	for key, r := range t.pendingRequests {
		switch {
		case r.stage == responseStarted && now-r.lastSeen > responseSettleTime:
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
	for target := range t.responseSizes {
		if t.routes[target] == nil {
			delete(t.responseSizes, target)
		}
	}
}
