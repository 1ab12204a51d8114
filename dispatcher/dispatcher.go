// Package dispatcher assigns requests to the slots of upstreams.
//
// It counts the requests that this balancer runs on each upstream, queues those that find no free
// slot for a limited time, backs off from upstreams that shed load, and grants retries within a
// budget. It has no clock, socket or goroutine and isn't safe for concurrent use.
package dispatcher

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"example.org/rattanwood"
)

// minBackoff and maxBackoff bound the backoff from an upstream that sheds or fails requests.
const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// maxSavedRetries is the largest number of retries that a service can save up in its budget.
const maxSavedRetries = 10

// Result is how a request on an upstream ended.
type Result uint8

const (
	// Done means that the upstream answered.
	Done Result = iota
	// Shed means that the upstream rejected the request before running it.
	Shed
	// Failed means that the request ended without an answer.
	Failed
)

// Candidate is an upstream of a service. The Dispatcher adds the requests that run on it and offers
// it to the Picker as a rattanwood.Candidate while it has a free slot.
type Candidate struct {
	ID    rattanwood.UpstreamID
	Slots int
	// Reported is the load that the upstream last reported, in requests.
	Reported float64
}

// Grant is called with the time and the upstream when a queued request gets a slot.
type Grant func(time.Duration, rattanwood.UpstreamID)

// QueuedRequest is a request that waits for a slot.
type QueuedRequest struct {
	service rattanwood.ServiceID
	exclude []rattanwood.UpstreamID
	expires time.Duration
	grant   Grant
	expire  func(time.Duration)
}

// SlotRequest describes a request that needs a slot.
type SlotRequest struct {
	Service rattanwood.ServiceID
	Limits  rattanwood.Limits
	// Exclude lists the upstreams that rejected this request before.
	Exclude []rattanwood.UpstreamID
	// Expires is the time after which the request can't be served any more.
	Expires time.Duration
	// Grant is called when a slot becomes free, Expire when the request has waited too long.
	Grant  Grant
	Expire func(time.Duration)
}

// UpstreamsFunc returns the upstreams that may be given requests of a service now.
type UpstreamsFunc func(rattanwood.ServiceID) []Candidate

// Config holds the dependencies of a Dispatcher.
type Config struct {
	Upstreams UpstreamsFunc
	Picker    rattanwood.Picker
	// Random adds jitter to the backoff.
	Random *rand.Rand
}

// Dispatcher holds the slots in use, the queues and the retry budgets.
type Dispatcher struct {
	cfg          Config
	upstreams    map[rattanwood.UpstreamID]*upstreamState
	queues       map[rattanwood.ServiceID][]*QueuedRequest
	retryBudgets map[rattanwood.ServiceID]float64
}

// upstreamState is what this balancer knows of an upstream: its running requests, how many in a row
// it shed or failed, and when the backoff from it ends.
type upstreamState struct {
	running      int
	rejections   int
	backoffUntil time.Duration
}

// New returns a Dispatcher without running or queued requests.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{
		cfg:          cfg,
		upstreams:    map[rattanwood.UpstreamID]*upstreamState{},
		queues:       map[rattanwood.ServiceID][]*QueuedRequest{},
		retryBudgets: map[rattanwood.ServiceID]float64{},
	}
}

// Acquire requests a slot. It returns the upstream if a slot is free, a queued request if it has to
// wait, and false if the queue is full.
func (d *Dispatcher) Acquire(now time.Duration, request SlotRequest) (rattanwood.UpstreamID, *QueuedRequest, bool) {
	queue := d.queues[request.Service]
	if len(queue) == 0 {
		if id, ok := d.pickUpstream(now, request.Service, request.Exclude); ok {
			d.upstream(id).running++
			return id, nil, true
		}
	}
	if len(queue) >= request.Limits.MaxQueueLength {
		return 0, nil, false
	}
	queued := &QueuedRequest{
		service: request.Service,
		exclude: request.Exclude,
		expires: min(request.Expires, now+request.Limits.MaxWait()),
		grant:   request.Grant,
		expire:  request.Expire,
	}
	d.queues[request.Service] = append(queue, queued)
	return 0, queued, true
}

// Cancel removes a request from the queue and reports whether it was still there.
func (d *Dispatcher) Cancel(queued *QueuedRequest) bool {
	queue := d.queues[queued.service]
	i := slices.Index(queue, queued)
	if i < 0 {
		return false
	}
	d.queues[queued.service] = slices.Delete(queue, i, i+1)
	return true
}

// Release frees a slot. After any result but Done, the upstream gets no requests during a backoff.
func (d *Dispatcher) Release(now time.Duration, service rattanwood.ServiceID, id rattanwood.UpstreamID, result Result) {
	r := d.upstream(id)
	r.running--
	if result == Done {
		r.rejections = 0
	} else {
		r.backoffUntil = now + d.backoff(r.rejections)
		r.rejections++
	}
	d.serveQueue(now, service)
}

// backoff returns a delay that doubles with each rejection in a row, with jitter over its upper
// half.
func (d *Dispatcher) backoff(rejections int) time.Duration {
	full := min(minBackoff<<min(rejections, 10), maxBackoff)
	return full/2 + time.Duration(d.cfg.Random.Int64N(int64(full/2)))
}

// Tick expires queued requests and serves the queues of upstreams whose backoff is over.
func (d *Dispatcher) Tick(now time.Duration) {
	for _, service := range slices.Sorted(maps.Keys(d.queues)) {
		d.serveQueue(now, service)
	}
}

// serveQueue grants slots to a service's queued requests in order, and drops those that expired.
func (d *Dispatcher) serveQueue(now time.Duration, service rattanwood.ServiceID) {
	for len(d.queues[service]) > 0 {
		queued := d.queues[service][0]
		if queued.expires <= now {
			d.queues[service] = d.queues[service][1:]
			queued.expire(now)
			continue
		}
		id, ok := d.pickUpstream(now, service, queued.exclude)
		if !ok {
			return
		}
		d.queues[service] = d.queues[service][1:]
		d.upstream(id).running++
		queued.grant(now, id)
	}
}

// pickUpstream picks one of the upstreams that have a free slot and didn't reject the request
// before.
func (d *Dispatcher) pickUpstream(now time.Duration, service rattanwood.ServiceID, exclude []rattanwood.UpstreamID) (rattanwood.UpstreamID, bool) {
	var available []rattanwood.Candidate
	for _, c := range d.cfg.Upstreams(service) {
		r := d.upstream(c.ID)
		if r.running < c.Slots && r.backoffUntil <= now && !slices.Contains(exclude, c.ID) {
			available = append(available, rattanwood.Candidate{Upstream: c.ID, Slots: c.Slots, Running: r.running, Reported: c.Reported})
		}
	}
	if len(available) == 0 {
		return 0, false
	}
	return available[d.cfg.Picker.Pick(available)].Upstream, true
}

func (d *Dispatcher) upstream(id rattanwood.UpstreamID) *upstreamState {
	r, ok := d.upstreams[id]
	if !ok {
		r = &upstreamState{}
		d.upstreams[id] = r
	}
	return r
}

// AddRetryBudget adds to a service's retry budget what one request earns, usually a fraction of a
// retry.
func (d *Dispatcher) AddRetryBudget(service rattanwood.ServiceID, share float64) {
	d.retryBudgets[service] = min(maxSavedRetries, d.retryBudgets[service]+share)
}

// SpendRetry takes a retry from the budget, and returns false if there is none left.
func (d *Dispatcher) SpendRetry(service rattanwood.ServiceID) bool {
	if d.retryBudgets[service] < 1 {
		return false
	}
	d.retryBudgets[service]--
	return true
}

// Running returns the number of requests that this balancer has on each upstream.
func (d *Dispatcher) Running() map[rattanwood.UpstreamID]int {
	out := map[rattanwood.UpstreamID]int{}
	for id, r := range d.upstreams {
		if r.running > 0 {
			out[id] = r.running
		}
	}
	return out
}

// Waiting returns the number of queued requests.
func (d *Dispatcher) Waiting() int {
	n := 0
	for _, queue := range d.queues {
		n += len(queue)
	}
	return n
}
