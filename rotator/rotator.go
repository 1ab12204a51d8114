// Package rotator decides whether a balancer stays in the fabric's rotation.
//
// A data centre that is cut off from the others while its own upstreams may take no new flows can't serve first
// packets, though its balancers run and Callers reach them. The fabric uses the balancers of other data centres if
// none of a data centre is in rotation, so these leave it as long as that serves more requests: packets of
// established flows on upstreams that only they reach would be lost elsewhere.
//
// A Rotator has no clock, socket or goroutine and isn't safe for concurrent use.
package rotator

import "time"

const (
	// answerTime is how long an upstream may take to answer a first packet, beyond any usual round trip.
	answerTime = 300 * time.Millisecond
	// window is the time over which events are counted, without the flows that may yet be answered.
	window = time.Second
	// minAway is the number of flows to other data centres in a window from which on a balancer may leave. A single
	// one may have met a dead upstream.
	minAway = 3
	// minAbsence is the shortest time out of rotation: the fabric needs as long to notice.
	minAbsence = time.Second
)

const (
	partTime  = 100 * time.Millisecond
	partCount = int((window + answerTime) / partTime)
)

// counter counts events in the latest parts of time.
type counter struct {
	parts  [partCount]int
	newest int
}

// advance empties the parts that have become too old.
func (c *counter) advance(now time.Duration) {
	part := int(now / partTime)
	for steps := min(part-c.newest, partCount); steps > 0; steps-- {
		c.parts[(part-steps+1)%partCount] = 0
	}
	c.newest = max(c.newest, part)
}

func (c *counter) add(now time.Duration) {
	c.advance(now)
	c.parts[c.newest%partCount]++
}

// sum returns the number of events, without those of the newest parts that skip covers.
func (c *counter) sum(now, skip time.Duration) int {
	c.advance(now)
	total := 0
	for part := c.newest - int(skip/partTime); part > c.newest-partCount && part >= 0; part-- {
		total += c.parts[part%partCount]
	}
	return total
}

// Rotator holds the state of one balancer.
type Rotator struct {
	away, answered, requests counter
	left                     bool
	leftAt                   time.Duration
}

// New returns a Rotator of a balancer in rotation.
func New() *Rotator { return &Rotator{} }

// RecordAway counts a flow that was placed in another data centre because the own one is evacuated.
func (r *Rotator) RecordAway(now time.Duration) { r.away.add(now) }

// RecordAnswered counts a flow whose upstream has answered the first packet.
func (r *Rotator) RecordAnswered(now time.Duration) { r.answered.add(now) }

// RecordRequest counts a request on an established flow.
func (r *Rotator) RecordRequest(now time.Duration) { r.requests.add(now) }

// Update decides anew and reports whether the balancer should be in rotation, and whether that has changed. Reachable
// tells whether a balancer of another data centre was heard lately, or the own one isn't evacuated.
func (r *Rotator) Update(now time.Duration, reachable bool) (stays, changed bool) {
	away := r.away.sum(now, answerTime)
	switch {
	case r.left && reachable && now-r.leftAt >= minAbsence:
		r.left, changed = false, true
	case !r.left && !reachable && away >= minAway && r.answered.sum(now, 0) == 0 && away > r.requests.sum(now, 0):
		r.left, r.leftAt, changed = true, now, true
	}
	return !r.left, changed
}

// Stays reports what Update decided last.
func (r *Rotator) Stays() bool { return !r.left }
