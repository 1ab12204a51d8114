package tagger

import (
	"math"
	"net/netip"
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
	// minSamples is the number of samples from which on a mean is trusted.
	minSamples = 20
	// sampleWindow is the number of samples that a mean is taken over.
	sampleWindow = 100
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

// average is a moving mean over sampleWindow samples.
type average struct {
	mean  float64
	count int
}

func (a *average) add(sample float64) {
	a.count = min(a.count+1, sampleWindow)
	a.mean += (sample - a.mean) / float64(a.count)
}

// trusted reports whether there are enough samples to compare others with the mean.
func (a *average) trusted() bool { return a.count >= minSamples }

// routeAverages are what the requests of a route have in common: the size of their responses in bytes, the
// seconds until a response begins, and the number of requests in a flow.
type routeAverages struct {
	size, latency, requests average
	// roundTrip is the time of a round trip without work; zero means unknown.
	roundTrip time.Duration
}

// averagesOf returns the averages of a route, which are empty for a new one.
func (t *Tagger) averagesOf(target netip.AddrPort) *routeAverages {
	a := t.averages[target]
	if a == nil {
		a = &routeAverages{}
		t.averages[target] = a
	}
	return a
}

// expectedRequests returns how many requests a new flow of a route is expected to send after its first one.
func (t *Tagger) expectedRequests(target netip.AddrPort) float64 {
	if a := t.averages[target]; a != nil && a.requests.trusted() {
		return max(a.requests.mean-1, 0)
	}
	return math.Inf(1)
}

// countRequests adds the requests of a flow that ends to the average of its route.
func (t *Tagger) countRequests(key flowKey, r *recentFlow) {
	if r.opened && r.requests > 0 {
		t.averagesOf(key.target).requests.add(float64(r.requests))
	}
}

// recordLatency compares the time until a response began with that of other requests of the route.
func (t *Tagger) recordLatency(now time.Duration, key flowKey, r *recentFlow) {
	r.latency = now - r.requestSentAt
	seconds := r.latency.Seconds()
	a := &t.averagesOf(key.target).latency
	if t.IsResuming(now) {
		r.latency = 0
	} else if a.trusted() && a.mean > 0 {
		t.cfg.Placer.AddResponse(now, r.upstream, seconds/a.mean)
	}
	a.add(seconds)
}

// trackRequest updates the stage of a flow's last request. The packet must not be a retransmission
// of the flow's first one.
func (t *Tagger) trackRequest(now time.Duration, key flowKey, r *recentFlow, s rattanwood.Segment) {
	if r.stage == requestSent && int32(s.Ack-r.requestAck) > 0 {
		r.stage, r.latestAck = responseStarted, s.Ack
		t.recordLatency(now, key, r)
	}
	if int32(s.Ack-r.latestAck) > 0 {
		// Acknowledgements may arrive out of order.
		r.latestAck = s.Ack
	}
	ends := s.Flags.Has(rattanwood.FlagReset) || s.Flags.Has(rattanwood.FlagClose)
	switch {
	case ends:
		if r.stage == requestSent {
			t.recordFailure(now, key, r, s, 0)
			// The upstream may still be at work on it, so it counts as under way until it is too old.
			r.tallied = false
		}
		t.finishRequest(now, key, r)
	case s.Length > 0 && r.stage != requestSent:
		t.finishRequest(now, key, r)
		r.stage, r.requestAck, r.requestSentAt = requestSent, s.Ack, now
		r.requests++
		r.failed, r.latency = false, 0
		t.pendingRequests[key] = r
		t.recordBegin(now, key, r)
	}
	if r.stage != requestSent {
		t.recordEnd(now, key, r, ends)
	}
}

// finishRequest assesses the size of a response that is complete and ends the request.
func (t *Tagger) finishRequest(now time.Duration, key flowKey, r *recentFlow) {
	if r.stage == responseStarted {
		size := float64(r.latestAck - r.requestAck)
		average := &t.averagesOf(key.target).size
		if average.trusted() && size < shortResponseRatio*average.mean {
			t.recordFailure(now, key, r, r.segment, int(size))
		} else {
			t.recordOutcome(now, key, r, false)
			average.add(size)
		}
	}
	r.stage = noRequest
	delete(t.pendingRequests, key)
}

// recordFailure reports a failed request to the placer and the admission and keeps it for CollectFailures.
func (t *Tagger) recordFailure(now time.Duration, key flowKey, r *recentFlow, s rattanwood.Segment, size int) {
	r.failed = true
	t.recordOutcome(now, key, r, true)
	t.cfg.Placer.AddFailure(now, r.upstream)
	f := Failure{Segment: s, Upstream: r.upstream, Size: size}
	if a := t.averages[s.Target]; a != nil {
		f.MeanSize = int(a.size.mean)
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

// removeUnroutedAverages drops the averages of routes that were deleted.
func (t *Tagger) removeUnroutedAverages() {
	for target := range t.averages {
		if t.routes[target] == nil {
			delete(t.averages, target)
		}
	}
}
