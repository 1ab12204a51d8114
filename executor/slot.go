package executor

import (
	"cmp"
	"slices"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/claimer"
	"example.org/rattanwood/dispatcher"
)

// requestSlot asks the service's slot owner for a slot, or this balancer's own dispatcher if it owns the
// slots itself or the owner is unknown or unresponsive.
func (e *Executor) requestSlot(now time.Duration, r *activeRequest) {
	owner := e.cfg.SlotOwner(r.Service)
	if owner == e.cfg.Self.VM || owner == "" || now < e.unresponsive[owner] {
		e.requestLocalSlot(now, r)
		return
	}
	r.attempt++
	r.phase = awaitingLease
	r.slotOwner = owner
	r.timer = min(r.Deadline, now+slotOwnerTimeout)
	e.emit(RequestSlot{VM: owner, Token: r.token, Attempt: r.attempt, Service: r.Service, Exclude: slices.Clone(r.excluded), TimeLeft: r.Deadline - now})
}

// requestLocalSlot asks this balancer's own dispatcher for a slot.
func (e *Executor) requestLocalSlot(now time.Duration, r *activeRequest) {
	if r.phase == awaitingLease {
		e.returnLease(r, dispatcher.Done)
	}
	r.slotOwner = ""
	id, entry, ok := e.cfg.Slots.Acquire(now, dispatcher.SlotRequest{
		Service: r.Service,
		Limits:  r.Limits,
		Exclude: r.excluded,
		Expires: r.Deadline,
		Grant:   func(at time.Duration, id rattanwood.UpstreamID) { e.sendToUpstream(at, r, id) },
		Expire:  func(at time.Duration) { e.finish(at, r, r.resultWithoutAnswer(ReasonQueue)) },
	})
	switch {
	case !ok:
		e.finish(now, r, r.resultWithoutAnswer(ReasonQueue))
	case entry != nil:
		r.phase = queued
		r.queueEntry = entry
	default:
		e.sendToUpstream(now, r, id)
	}
}

// sendToUpstream sends a request to the upstream on which it has a slot.
func (e *Executor) sendToUpstream(now time.Duration, r *activeRequest, id rattanwood.UpstreamID) {
	r.upstream = id
	if now >= r.Deadline {
		e.returnSlot(now, r, dispatcher.Done)
		e.finish(now, r, r.resultWithoutAnswer(ReasonDeadline))
		return
	}
	if r.slotOwner == "" {
		r.attempt++
	}
	r.phase = sending
	e.counts.Sent++
	e.emit(Send{Token: r.token, Attempt: r.attempt, Upstream: id, Request: r.Request})
}

// returnSlot gives a request's slot back to the slot owner or to this balancer's own dispatcher.
func (e *Executor) returnSlot(now time.Duration, r *activeRequest, result dispatcher.Result) {
	if r.slotOwner != "" {
		e.returnLease(r, result)
		return
	}
	e.cfg.Slots.Release(now, r.Service, r.upstream, result)
}

// returnLease gives a leased slot back to its owner, or withdraws the request for one.
func (e *Executor) returnLease(r *activeRequest, result dispatcher.Result) {
	e.emit(ReturnSlot{VM: r.slotOwner, Token: r.token, Attempt: r.attempt, Result: result})
}

// AttemptEnd tells how an attempt on an upstream ended.
type AttemptEnd struct {
	Token   Token
	Attempt uint64
	Result  dispatcher.Result
	Body    []byte
	// Upstream is the upstream's name.
	Upstream string
}

// HandleAttemptEnd processes the end of an attempt. The end of an attempt that is no longer current is
// only counted.
func (e *Executor) HandleAttemptEnd(now time.Duration, end AttemptEnd) {
	r, active := e.byToken[end.Token]
	if !active || r.phase != sending || r.attempt != end.Attempt {
		e.counts.Late++
		return
	}
	if end.Result != dispatcher.Shed {
		r.mayHaveRun = true
	}
	e.returnSlot(now, r, end.Result)
	if end.Result == dispatcher.Done {
		e.finish(now, r, Result{Outcome: claimer.Outcome{Kind: claimer.Answered, Body: end.Body, Upstream: end.Upstream}})
		return
	}
	e.retryOrFinish(now, r, end.Result)
}

// retryOrFinish decides whether a request that was shed, or failed on an upstream, is tried on another
// one.
func (e *Executor) retryOrFinish(now time.Duration, r *activeRequest, result dispatcher.Result) {
	r.excluded = append(r.excluded, r.upstream)
	switch {
	case r.mayHaveRun && !r.Idempotent:
		e.finish(now, r, unknown(ReasonBroken))
	case now >= r.Deadline:
		e.finish(now, r, r.resultWithoutAnswer(ReasonDeadline))
	case !e.cfg.Slots.SpendRetry(r.Service):
		e.finish(now, r, r.resultWithoutAnswer(ReasonShed))
	default:
		e.counts.Retried++
		if result == dispatcher.Shed {
			e.counts.Shed++
		}
		r.phase = backingOff
		full := initialRetryBackoff << min(len(r.excluded)-1, retryDoublings)
		r.timer = now + full/2 + time.Duration(e.random.Int64N(int64(full/2)))
	}
}

// HandleLease processes a slot owner's answer; l.VM is the slot owner. A slot that is no longer needed
// is returned at once.
func (e *Executor) HandleLease(now time.Duration, l Lease) {
	delete(e.unresponsive, l.VM)
	r, active := e.byToken[l.Token]
	if !active || r.phase != awaitingLease || r.attempt != l.Attempt || r.slotOwner != l.VM {
		if l.Upstream != 0 {
			e.counts.Late++
			e.emit(ReturnSlot{VM: l.VM, Token: l.Token, Attempt: l.Attempt, Result: dispatcher.Done})
		}
		return
	}
	switch {
	case l.Queued:
		r.timer = min(r.Deadline, now+r.Limits.MaxWait()+slotOwnerTimeout)
	case l.Upstream == 0:
		e.finish(now, r, r.resultWithoutAnswer(ReasonQueue))
	default:
		e.sendToUpstream(now, r, l.Upstream)
	}
}

// leaseKey identifies another balancer's request for a slot.
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

// lease is a slot leased to another balancer or, while queueEntry is set, its request in the queue.
type lease struct {
	service    rattanwood.ServiceID
	upstream   rattanwood.UpstreamID
	queueEntry *dispatcher.QueuedRequest
	expires    time.Duration
}

// HandleSlotRequest processes another balancer's request for a slot of a service whose slots this one
// owns.
func (e *Executor) HandleSlotRequest(now time.Duration, request RequestSlot, limits rattanwood.Limits) {
	key := leaseKey{vm: request.VM, token: request.Token, attempt: request.Attempt}
	if _, known := e.leases[key]; known {
		return
	}
	answer := func(id rattanwood.UpstreamID) {
		e.emit(Lease{VM: request.VM, Token: request.Token, Attempt: request.Attempt, Upstream: id})
	}
	l := lease{service: request.Service, expires: now + request.TimeLeft + leaseSlack}
	id, entry, ok := e.cfg.Slots.Acquire(now, dispatcher.SlotRequest{
		Service: request.Service,
		Limits:  limits,
		Exclude: request.Exclude,
		Expires: now + request.TimeLeft,
		Grant: func(_ time.Duration, id rattanwood.UpstreamID) {
			l.queueEntry, l.upstream = nil, id
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
	l.queueEntry, l.upstream = entry, id
	e.leases[key] = l
	if entry == nil {
		answer(id)
		return
	}
	e.emit(Lease{VM: request.VM, Token: request.Token, Attempt: request.Attempt, Queued: true})
}

// HandleReturnedSlot takes back a slot from another balancer, or removes its request from the queue.
func (e *Executor) HandleReturnedSlot(now time.Duration, vm rattanwood.VMID, token Token, attempt uint64, result dispatcher.Result) {
	key := leaseKey{vm: vm, token: token, attempt: attempt}
	if l, known := e.leases[key]; known {
		e.endLease(now, key, l, result)
	}
}

func (e *Executor) endLease(now time.Duration, key leaseKey, l lease, result dispatcher.Result) {
	delete(e.leases, key)
	if l.queueEntry != nil {
		e.cfg.Slots.Cancel(l.queueEntry)
		return
	}
	e.cfg.Slots.Release(now, l.service, l.upstream, result)
}

// expireLeases takes back slots that were not returned by the deadline of their request.
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
