// Package allocator counts the requests under way on a group of upstreams and places new flows by these counts.
//
// One balancer allocates for each group, so its counts are exact but for what is on its way. A flow goes to the
// upstream that is expected to answer first (shortest expected delay; Winston, "Optimality of the shortest line
// discipline", 1977), and is refused at once if even that one would answer too late for the flow's target. Less
// important flows are refused while there is still room in the queues for more important ones.
//
// An Allocator has no clock, socket or goroutine and isn't safe for concurrent use.
package allocator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/admitter"
)

// FlowID is a hash of the endpoints of a flow.
type FlowID uint64

// Config holds the settings of an Allocator.
type Config struct {
	// RateWindow is the time over which the rate of offers is averaged.
	RateWindow time.Duration
	// MaxRequestTime is how long a request counts whose end isn't told, unless its class has a timeout, and how long its
	// answer is worth waiting for if its class states neither a target nor a timeout.
	MaxRequestTime time.Duration
	// TargetShare is the part of a request's target that may be expected to pass until its answer.
	TargetShare float64
	// LevelShare is the part of the queue of each level that the next less important one may fill.
	LevelShare float64
	// MaxFlows bounds the number of flows that are counted.
	MaxFlows int
}

// DefaultConfig returns the settings that the daemon uses.
func DefaultConfig() Config {
	return Config{
		// Long enough that a service at nine tenths of its capacity hardly ever looks overloaded by chance.
		RateWindow:     500 * time.Millisecond,
		MaxRequestTime: 5 * time.Second,
		// The time of a request varies by half of itself, and that of those before it adds up.
		TargetShare: 0.6,
		LevelShare:  0.6,
		MaxFlows:    100_000,
	}
}

// Candidate is an upstream that may be chosen.
type Candidate struct {
	ID rattanwood.UpstreamID
	// Capacity is the number of requests that it can serve concurrently.
	Capacity float64
	// Failures is the number of recent failed requests beyond what chance explains. An upstream that fails requests
	// at once has few under way.
	Failures float64
}

// Offer is a new flow that asks for an upstream.
type Offer struct {
	Flow    FlowID
	Service rattanwood.ServiceID
	Class   rattanwood.Class
	Level   admitter.Level
	// Asked is the demand at the allocators that had no room for the flow, empty for none.
	Asked Demand
	// Work is the time that a request is known to occupy a slot; zero means unknown. It counts until this allocator
	// has measured it.
	Work time.Duration
}

// Demand is work that was offered lately and what the upstreams bear, both in slots.
type Demand struct{ Offered, Capacity float64 }

// Load returns the demand as a share of the capacity; zero means unknown.
func (d Demand) Load() float64 {
	if d.Capacity == 0 {
		return 0
	}
	return d.Offered / d.Capacity
}

// Decision is the answer to an Offer, with what it was based on.
type Decision struct {
	// Index is that of the chosen candidate, or -1 if the offer is refused or there is no candidate.
	Index int
	// UnderWay is the number of requests on the candidate that is expected to answer first.
	UnderWay int
	// Wait is the expected time until its answer; zero means unknown.
	Wait time.Duration
	// Demand is that at this allocator and at those asked before.
	Demand Demand
}

// request is a request under way.
type request struct {
	upstream rattanwood.UpstreamID
	service  rattanwood.ServiceID
	// position is the number of requests on the upstream when this one began, and capacity that of the upstream.
	position int
	capacity float64
	expires  time.Duration
}

// turns returns how many times its own work the request is expected to have taken, with those before it.
func (r *request) turns() float64 { return 1 + max(float64(r.position)+1-r.capacity, 0)/r.capacity }

// isQueued reports whether the request had to wait for a slot.
func (r *request) isQueued() bool { return float64(r.position) >= r.capacity }

// Allocator counts requests under way. It isn't safe for concurrent use.
type Allocator struct {
	cfg       Config
	flows     map[FlowID]*request
	upstreams map[rattanwood.UpstreamID]*upstream
	services  map[rattanwood.ServiceID]*service
}

// New returns an Allocator that knows of no request.
func New(cfg Config) *Allocator {
	return &Allocator{
		cfg: cfg, flows: map[FlowID]*request{}, upstreams: map[rattanwood.UpstreamID]*upstream{}, services: map[rattanwood.ServiceID]*service{},
	}
}

// Place chooses an upstream for a flow's first request and counts it. If there is no room, the calling code must call
// either HandOn or Refuse.
func (a *Allocator) Place(now time.Duration, o Offer, candidates []Candidate) Decision {
	s := a.serviceOf(o.Service)
	l := s.level(now, o.Level)
	s.timeout = max(s.timeout, o.Class.Timeout)
	s.told = o.Work.Seconds()
	if o.Asked == (Demand{}) {
		s.countOffer(now, a.cfg)
	}
	d := Decision{Index: -1}
	if len(candidates) == 0 {
		return d
	}
	a.remove(o.Flow)
	share := s.queueShare(now, a.cfg, o.Level)
	capacity, best, fits, bears := 0.0, time.Duration(0), false, false
	for i, c := range candidates {
		capacity += c.Capacity
		u := a.upstreamOf(c.ID)
		delay, underWay := u.expectedDelay(now, s, c), float64(u.underWay)
		inTime := underWay < c.Capacity+a.timelyQueue(now, u, s, o, c.Capacity)*share
		room := inTime && underWay < c.Capacity+u.queue(c.Capacity)*share
		// Upstreams with room come before those without.
		if d.Index < 0 || room && !fits || room == fits && delay < best {
			d.Index, best, fits = i, delay, room
			bears = inTime && underWay < maxExcess*(c.Capacity+u.queue(c.Capacity))
		}
	}
	d.UnderWay = a.upstreamOf(candidates[d.Index].ID).underWay
	if s.work() > 0 {
		d.Wait = best
		d.Demand = Demand{Offered: s.demand(now, a.cfg) + o.Asked.Offered, Capacity: capacity + o.Asked.Capacity}
	}
	if !fits && (!bears || d.Demand.Load() > surelyFull) {
		d.Index = -1
		return d
	}
	l.record(false, false)
	a.begin(now, o, candidates[d.Index])
	return d
}

// patience returns the time in which an offer's answer is wanted.
func (a *Allocator) patience(o Offer) time.Duration {
	switch {
	case o.Class.Target > 0:
		return o.Class.Target
	case o.Class.Timeout > 0:
		return o.Class.Timeout
	}
	return a.cfg.MaxRequestTime
}

// timelyQueue returns the number of requests beyond the capacity from which on an answer is expected too late.
func (a *Allocator) timelyQueue(now time.Duration, u *upstream, s *service, o Offer, capacity float64) float64 {
	work := u.work(now, s)
	if work == 0 {
		return math.Inf(1)
	}
	return capacity * max(a.cfg.TargetShare*a.patience(o).Seconds()/work-1, 0)
}

// Begin counts a request whose upstream is known already: a further one on an open flow, or one of a flow that was
// placed elsewhere.
func (a *Allocator) Begin(now time.Duration, o Offer, c Candidate) {
	a.begin(now, o, c)
}

func (a *Allocator) begin(now time.Duration, o Offer, c Candidate) {
	a.remove(o.Flow)
	if len(a.flows) >= a.cfg.MaxFlows {
		return
	}
	u, age := a.upstreamOf(c.ID), a.cfg.MaxRequestTime
	if timeout := cmp.Or(o.Class.Timeout, a.serviceOf(o.Service).timeout); timeout > 0 {
		age = min(age, timeout)
	}
	a.flows[o.Flow] = &request{upstream: c.ID, service: o.Service, position: u.underWay, capacity: c.Capacity, expires: now + age}
	u.underWay++
}

// End records that the response to a flow's last request began after some work; zero means that the time isn't known.
// A failed request got no response, or one that looks like an error.
func (a *Allocator) End(now time.Duration, flow FlowID, work time.Duration, failed bool) {
	r := a.flows[flow]
	if r == nil {
		return
	}
	a.remove(flow)
	u, s := a.upstreamOf(r.upstream), a.serviceOf(r.service)
	u.recordResult(now, r, s, failed)
	if !failed && work > 0 {
		u.recordWork(now, s, r, work.Seconds())
	}
}

// remove stops counting a flow's request.
func (a *Allocator) remove(flow FlowID) {
	if r := a.flows[flow]; r != nil {
		a.upstreams[r.upstream].underWay--
		delete(a.flows, flow)
	}
}

// UnderWay returns the number of requests under way on an upstream.
func (a *Allocator) UnderWay(id rattanwood.UpstreamID) int {
	if u := a.upstreams[id]; u != nil {
		return u.underWay
	}
	return 0
}

// Row describes an upstream for dumps.
type Row struct {
	Upstream rattanwood.UpstreamID
	UnderWay int
	// MaxUnderWay is the number of requests from which on the upstream is taken to turn others away; zero means unknown.
	MaxUnderWay float64
	// Slowness is the time of its requests as a multiple of those of its service.
	Slowness float64
}

// Rows returns the upstreams whose requests are counted, sorted by ID.
func (a *Allocator) Rows(now time.Duration) []Row {
	var out []Row
	for id, u := range a.upstreams {
		out = append(out, Row{Upstream: id, UnderWay: u.underWay, MaxUnderWay: u.maxUnderWay, Slowness: u.recentSlowness(now)})
	}
	slices.SortFunc(out, func(x, y Row) int { return cmp.Compare(x.Upstream, y.Upstream) })
	return out
}

// Tick stops counting requests that are too old, and forgets upstreams and services without any.
func (a *Allocator) Tick(now time.Duration) {
	for flow, r := range a.flows {
		if now >= r.expires {
			a.remove(flow)
		}
	}
	for id, u := range a.upstreams {
		if u.underWay == 0 && now-u.usedAt > forgetTime {
			delete(a.upstreams, id)
		}
	}
	for id, s := range a.services {
		if now-s.usedAt > forgetTime {
			delete(a.services, id)
		}
	}
}
