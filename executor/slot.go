package executor

import (
	"cmp"
	"slices"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/claimer"
	"example.org/rattanwood/dispatcher"
)

// enter asks the keeper of the service, or the own table, for a slot.
func (e *Executor) enter(now time.Duration, r *run) {
	keeper := e.cfg.SlotOwner(r.Service)
	if keeper == e.cfg.Self.VM || keeper == "" || now < e.silent[keeper] {
		e.enterHere(now, r)
		return
	}
	r.attempt++
	r.phase = leasing
	r.leased = keeper
	r.wake = min(r.Deadline, now+keeperTime)
	e.act(RequestSlot{VM: keeper, Token: r.token, Attempt: r.attempt, Service: r.Service, Exclude: slices.Clone(r.turned), TimeLeft: r.Deadline - now})
}

// enterHere asks the own table for a slot.
func (e *Executor) enterHere(now time.Duration, r *run) {
	if r.phase == leasing {
		e.giveBack(r, dispatcher.Done)
	}
	r.leased = ""
	id, ticket, ok := e.cfg.Slots.Acquire(now, dispatcher.SlotRequest{
		Service: r.Service,
		Limits:  r.Limits,
		Exclude: r.turned,
		Expires: r.Deadline,
		Grant:   func(at time.Duration, id rattanwood.UpstreamID) { e.granted(at, r, id) },
		Expire:  func(at time.Duration) { e.finish(at, r, r.ending(ReasonQueue)) },
	})
	switch {
	case !ok:
		e.finish(now, r, r.ending(ReasonQueue))
	case ticket != nil:
		r.phase = queued
		r.ticket = ticket
	default:
		e.granted(now, r, id)
	}
}

// granted sends a run to the upstream on which it has a slot.
func (e *Executor) granted(now time.Duration, r *run, id rattanwood.UpstreamID) {
	r.upstream = id
	if now >= r.Deadline {
		e.giveSlotBack(now, r, dispatcher.Done)
		e.finish(now, r, r.ending(ReasonDeadline))
		return
	}
	if r.leased == "" {
		r.attempt++
	}
	r.phase = sending
	e.counts.Sent++
	e.act(Send{Token: r.token, Attempt: r.attempt, Upstream: id, Request: r.Request})
}

// giveSlotBack returns a run's slot to whoever granted it.
func (e *Executor) giveSlotBack(now time.Duration, r *run, result dispatcher.Result) {
	if r.leased != "" {
		e.giveBack(r, result)
		return
	}
	e.cfg.Slots.Release(now, r.Service, r.upstream, result)
}

func (e *Executor) giveBack(r *run, result dispatcher.Result) {
	e.act(ReturnSlot{VM: r.leased, Token: r.token, Attempt: r.attempt, Result: result})
}

// AttemptEnd is how an attempt on an upstream ended.
type AttemptEnd struct {
	Token   Token
	Attempt uint64
	Result  dispatcher.Result
	Body    []byte
	// Upstream is the upstream's name.
	Upstream string
}

// HandleAttemptEnd takes in the end of an attempt. An end that nobody waits for is counted and dropped.
func (e *Executor) HandleAttemptEnd(now time.Duration, end AttemptEnd) {
	r, active := e.runs[end.Token]
	if !active || r.phase != sending || r.attempt != end.Attempt {
		e.counts.Late++
		return
	}
	if end.Result != dispatcher.Shed {
		r.begun = true
	}
	e.giveSlotBack(now, r, end.Result)
	if end.Result == dispatcher.Done {
		e.finish(now, r, Result{Outcome: claimer.Outcome{Kind: claimer.Answered, Body: end.Body, Upstream: end.Upstream}})
		return
	}
	e.again(now, r, end.Result)
}

// again decides whether a run that was turned away or broke off is tried on another upstream.
func (e *Executor) again(now time.Duration, r *run, result dispatcher.Result) {
	r.turned = append(r.turned, r.upstream)
	switch {
	case r.begun && !r.Idempotent:
		e.finish(now, r, unknown(ReasonBroken))
	case now >= r.Deadline:
		e.finish(now, r, r.ending(ReasonDeadline))
	case !e.cfg.Slots.SpendRetry(r.Service):
		e.finish(now, r, r.ending(ReasonShed))
	default:
		e.counts.Retried++
		if result == dispatcher.Shed {
			e.counts.Shed++
		}
		r.phase = backing
		full := retryLeast << min(len(r.turned)-1, retryDoublings)
		r.wake = now + full/2 + time.Duration(e.random.Int64N(int64(full/2)))
	}
}

// HandleLease takes in a keeper's answer; its VM is the keeper.
func (e *Executor) HandleLease(now time.Duration, l Lease) {
	delete(e.silent, l.VM)
	r, active := e.runs[l.Token]
	if !active || r.phase != leasing || r.attempt != l.Attempt || r.leased != l.VM {
		if l.Upstream != 0 {
			e.counts.Late++
			e.act(ReturnSlot{VM: l.VM, Token: l.Token, Attempt: l.Attempt, Result: dispatcher.Done})
		}
		return
	}
	switch {
	case l.Queued:
		r.wake = min(r.Deadline, now+r.Limits.MaxWait()+keeperTime)
	case l.Upstream == 0:
		e.finish(now, r, r.ending(ReasonQueue))
	default:
		e.granted(now, r, l.Upstream)
	}
}

// leaseKey names a slot that this keeper lends, or a place in its queue.
type leaseKey struct {
	vm      rattanwood.VMID
	token   Token
	attempt uint64
}

func (k leaseKey) compare(o leaseKey) int {
	if c := cmp.Compare(k.vm, o.vm); c != 0 {
		return c
	}
	if c := cmp.Compare(k.token, o.token); c != 0 {
		return c
	}
	return cmp.Compare(k.attempt, o.attempt)
}

// lease is a slot that is lent, or wanted.
type lease struct {
	service  rattanwood.ServiceID
	upstream rattanwood.UpstreamID
	ticket   *dispatcher.QueuedRequest
	expires  time.Duration
}

// HandleSlotRequest takes in another balancer's wish for a slot of a service that this one keeps.
func (e *Executor) HandleSlotRequest(now time.Duration, w RequestSlot, limits rattanwood.Limits) {
	key := leaseKey{vm: w.VM, token: w.Token, attempt: w.Attempt}
	if _, known := e.leases[key]; known {
		return
	}
	answer := func(id rattanwood.UpstreamID) {
		e.act(Lease{VM: w.VM, Token: w.Token, Attempt: w.Attempt, Upstream: id})
	}
	l := lease{service: w.Service, expires: now + w.TimeLeft + leaseSlack}
	id, ticket, ok := e.cfg.Slots.Acquire(now, dispatcher.SlotRequest{
		Service: w.Service,
		Limits:  limits,
		Exclude: w.Exclude,
		Expires: now + w.TimeLeft,
		Grant: func(_ time.Duration, id rattanwood.UpstreamID) {
			l.ticket, l.upstream = nil, id
			e.leases[key] = l
			answer(id)
		},
		Expire: func(time.Duration) {
			delete(e.leases, key)
			answer(0)
		},
	})
	if !ok {
		answer(0)
		return
	}
	l.ticket, l.upstream = ticket, id
	e.leases[key] = l
	if ticket == nil {
		answer(id)
		return
	}
	e.act(Lease{VM: w.VM, Token: w.Token, Attempt: w.Attempt, Queued: true})
}

// HandleReturnedSlot takes in a slot that another balancer gives back, or a wish that it withdraws.
func (e *Executor) HandleReturnedSlot(now time.Duration, vm rattanwood.VMID, token Token, attempt uint64, result dispatcher.Result) {
	key := leaseKey{vm: vm, token: token, attempt: attempt}
	if l, known := e.leases[key]; known {
		e.endLease(now, key, l, result)
	}
}

func (e *Executor) endLease(now time.Duration, key leaseKey, l lease, result dispatcher.Result) {
	delete(e.leases, key)
	if l.ticket != nil {
		e.cfg.Slots.Cancel(l.ticket)
		return
	}
	e.cfg.Slots.Release(now, l.service, l.upstream, result)
}

// expireLeases takes back slots whose borrowers have gone silent.
func (e *Executor) expireLeases(now time.Duration) {
	var expired []leaseKey
	for key, l := range e.leases {
		if l.expires <= now {
			expired = append(expired, key)
		}
	}
	slices.SortFunc(expired, leaseKey.compare)
	for _, key := range expired {
		e.endLease(now, key, e.leases[key], dispatcher.Failed)
	}
}
