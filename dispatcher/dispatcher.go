// Package dispatcher admits requests to the slots of upstreams.
//
// It counts what this balancer has running on each upstream, queues what finds
// no slot for a bounded time, keeps away from upstreams that shed, and grants
// retries within a budget. It is a pure state machine and isn't safe for
// concurrent use.
package dispatcher

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"example.org/rattanwood"
)

// Times and sizes of the back-off from an upstream that sheds.
const (
	backoffLeast = 20 * time.Millisecond
	backoffMost  = 500 * time.Millisecond
)

// budgetMost is the largest number of saved retries of a service.
const budgetMost = 10

// Result is how a request on an upstream ended.
type Result uint8

// The results.
const (
	// Done requests were answered.
	Done Result = iota
	// Shed requests were turned away before they ran.
	Shed
	// Failed requests broke off.
	Failed
)

// Candidate is an upstream that may get a request.
type Candidate struct {
	ID    rattanwood.UpstreamID
	Slots int
	// Reported is the load that the upstream last reported, in requests.
	Reported float64
}

// Grant gives a queued request a slot at a time.
type Grant func(time.Duration, rattanwood.UpstreamID)

// QueuedRequest is a request in the queue.
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
	// Exclude are upstreams that turned this request away.
	Exclude []rattanwood.UpstreamID
	// Expires is the time at which the request can't be served any more.
	Expires time.Duration
	// Grant is called when a slot comes free, Expire when the wait is over.
	Grant  Grant
	Expire func(time.Duration)
}

// Source returns the upstreams that may get requests of a service now.
type Source func(rattanwood.ServiceID) []Candidate

// Config builds a Dispatcher.
type Config struct {
	Source Source
	Picker rattanwood.Picker
	// Random spreads the back-offs.
	Random *rand.Rand
}

// Dispatcher is the table of slots and queues.
type Dispatcher struct {
	cfg     Config
	rows    map[rattanwood.UpstreamID]*row
	queues  map[rattanwood.ServiceID][]*QueuedRequest
	budgets map[rattanwood.ServiceID]float64
}

type row struct {
	running int
	sheds   int
	until   time.Duration
}

// New returns an empty dispatcher.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{
		cfg:     cfg,
		rows:    map[rattanwood.UpstreamID]*row{},
		queues:  map[rattanwood.ServiceID][]*QueuedRequest{},
		budgets: map[rattanwood.ServiceID]float64{},
	}
}

// Acquire asks for a slot. It returns one at once, or a ticket for the queue, or neither if the queue is full.
func (d *Dispatcher) Acquire(now time.Duration, w SlotRequest) (rattanwood.UpstreamID, *QueuedRequest, bool) {
	queue := d.queues[w.Service]
	if len(queue) == 0 {
		if id, ok := d.pick(now, w.Service, w.Exclude); ok {
			d.row(id).running++
			return id, nil, true
		}
	}
	if len(queue) >= w.Limits.MaxQueueLength {
		return 0, nil, false
	}
	t := &QueuedRequest{
		service: w.Service,
		exclude: w.Exclude,
		expires: min(w.Expires, now+w.Limits.MaxWait()),
		grant:   w.Grant,
		expire:  w.Expire,
	}
	d.queues[w.Service] = append(queue, t)
	return 0, t, true
}

// Cancel takes a ticket out of the queue and reports whether it was still there.
func (d *Dispatcher) Cancel(t *QueuedRequest) bool {
	queue := d.queues[t.service]
	i := slices.Index(queue, t)
	if i < 0 {
		return false
	}
	d.queues[t.service] = slices.Delete(queue, i, i+1)
	return true
}

// Release gives a slot back.
func (d *Dispatcher) Release(now time.Duration, service rattanwood.ServiceID, id rattanwood.UpstreamID, result Result) {
	r := d.row(id)
	r.running--
	if result == Done {
		r.sheds = 0
	} else {
		r.until = now + d.backoff(r.sheds)
		r.sheds++
	}
	d.serve(now, service)
}

// backoff doubles with each turn in a row and is spread over its upper half.
func (d *Dispatcher) backoff(turns int) time.Duration {
	full := min(backoffLeast<<min(turns, 10), backoffMost)
	return full/2 + time.Duration(d.cfg.Random.Int64N(int64(full/2)))
}

// Tick expires tickets and serves queues whose upstreams' back-off is over.
func (d *Dispatcher) Tick(now time.Duration) {
	for _, service := range slices.Sorted(maps.Keys(d.queues)) {
		d.serve(now, service)
	}
}

func (d *Dispatcher) serve(now time.Duration, service rattanwood.ServiceID) {
	for len(d.queues[service]) > 0 {
		t := d.queues[service][0]
		if t.expires <= now {
			d.queues[service] = d.queues[service][1:]
			t.expire(now)
			continue
		}
		id, ok := d.pick(now, service, t.exclude)
		if !ok {
			return
		}
		d.queues[service] = d.queues[service][1:]
		d.row(id).running++
		t.grant(now, id)
	}
}

// pick chooses among the upstreams with a free slot that have not turned the request away.
func (d *Dispatcher) pick(now time.Duration, service rattanwood.ServiceID, exclude []rattanwood.UpstreamID) (rattanwood.UpstreamID, bool) {
	var open []rattanwood.Candidate
	for _, c := range d.cfg.Source(service) {
		r := d.row(c.ID)
		if r.running < c.Slots && r.until <= now && !slices.Contains(exclude, c.ID) {
			open = append(open, rattanwood.Candidate{Upstream: c.ID, Slots: c.Slots, Running: r.running, Reported: c.Reported})
		}
	}
	if len(open) == 0 {
		return 0, false
	}
	return open[d.cfg.Picker.Pick(open)].Upstream, true
}

func (d *Dispatcher) row(id rattanwood.UpstreamID) *row {
	r, ok := d.rows[id]
	if !ok {
		r = &row{}
		d.rows[id] = r
	}
	return r
}

// AddRetryBudget adds a request's share of retries to the budget of its service.
func (d *Dispatcher) AddRetryBudget(service rattanwood.ServiceID, share float64) {
	d.budgets[service] = min(budgetMost, d.budgets[service]+share)
}

// SpendRetry spends a retry, or reports that the budget is empty.
func (d *Dispatcher) SpendRetry(service rattanwood.ServiceID) bool {
	if d.budgets[service] < 1 {
		return false
	}
	d.budgets[service]--
	return true
}

// Running returns the number of requests that this balancer has on each upstream.
func (d *Dispatcher) Running() map[rattanwood.UpstreamID]int {
	out := map[rattanwood.UpstreamID]int{}
	for id, r := range d.rows {
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
