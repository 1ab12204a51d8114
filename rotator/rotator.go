// Package rotator decides whether a balancer stays in the fabric's rotation.
//
// A data centre that is cut off from the others while its own upstreams may take no new flows can't serve first
// packets, though its balancers run and Callers reach them. The fabric uses the balancers of other data centres if
// none of a data centre is in rotation, so these leave it as long as that serves more requests: packets of
// established flows on upstreams that only they reach would be lost elsewhere.
//
// A Rotator has no clock, socket or goroutine and isn't safe for concurrent use.
package rotator

import (
	"time"

	"example.org/rattanwood"
)

const (
	// window is the time over which events are counted. Within it, checks tell upstreams that are out of reach.
	window = time.Second
	// minStranded is the number of flows without a usable upstream in a window from which on a balancer leaves. A single
	// one may have been placed while its upstream was failing.
	minStranded = 3
	// minAbsence is the shortest time out of rotation: the fabric needs as long to notice.
	minAbsence = time.Second
)

// counter counts events in a window by parts of it.
type counter struct {
	parts  [10]int
	newest time.Duration
}

const partTime = window / time.Duration(len(counter{}.parts))

// advance empties the parts that have left the window.
func (c *counter) advance(now time.Duration) {
	part := now / partTime
	for steps := min(part-c.newest, time.Duration(len(c.parts))); steps > 0; steps-- {
		c.parts[(part-steps+1)%time.Duration(len(c.parts))] = 0
	}
	c.newest = max(c.newest, part)
}

func (c *counter) add(now time.Duration) {
	c.advance(now)
	c.parts[c.newest%time.Duration(len(c.parts))]++
}

func (c *counter) sum(now time.Duration) int {
	c.advance(now)
	total := 0
	for _, n := range c.parts {
		total += n
	}
	return total
}

// Rotator holds the state of one balancer.
type Rotator struct {
	stranded, answered, requests counter
	// services are those of the flows that found no usable upstream, as long as they are stranded.
	services map[rattanwood.ServiceID]bool
	left     bool
	leftAt   time.Duration
}

// New returns a Rotator of a balancer in rotation.
func New() *Rotator { return &Rotator{services: map[rattanwood.ServiceID]bool{}} }

// RecordStranded counts a first packet for a service that has no upstream in the own data centre which may take it,
// and none elsewhere which passes its checks.
func (r *Rotator) RecordStranded(now time.Duration, service rattanwood.ServiceID) {
	r.stranded.add(now)
	r.services[service] = true
}

// RecordAnswered counts a flow whose upstream has answered the first packet.
func (r *Rotator) RecordAnswered(now time.Duration) { r.answered.add(now) }

// RecordRequest counts a request on an established flow.
func (r *Rotator) RecordRequest(now time.Duration) { r.requests.add(now) }

// Update decides anew and reports whether the balancer should be in rotation, and whether that has changed. IsStranded
// reports whether a service has upstreams that may take new flows, but none of them passes its checks.
func (r *Rotator) Update(now time.Duration, isStranded func(rattanwood.ServiceID) bool) (stays, changed bool) {
	for service := range r.services {
		if !isStranded(service) {
			delete(r.services, service)
		}
	}
	stranded := r.stranded.sum(now)
	switch {
	case r.left && len(r.services) == 0 && now-r.leftAt >= minAbsence:
		r.left, changed = false, true
	case !r.left && len(r.services) > 0 && stranded >= minStranded && r.answered.sum(now) == 0 && stranded > r.requests.sum(now):
		r.left, r.leftAt, changed = true, now, true
	}
	return !r.left, changed
}

// Stays reports what Update decided last.
func (r *Rotator) Stays() bool { return !r.left }
