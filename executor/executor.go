// Package executor decides how the requests that Callers submit to one balancer are run: it claims
// their ids, obtains slots on upstreams, retries, and gives each request a final outcome.
//
// A non-idempotent request is sent only while a majority of its id's replicas has granted the id to
// this balancer, and never again once an upstream may have begun it. Every outcome is answered,
// refused (certainly not run) or unknown, and is given at once when it is certain that no better one
// can follow. Choosing the upstream and queueing is left to the dispatcher package, and voting on
// claims to the claimer package.
//
// An Executor is a pure state machine: events go in, actions come out. It isn't safe for concurrent
// use. Times are durations since the process began.
package executor

import (
	"math/rand/v2"
	"slices"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/claimer"
	"example.org/rattanwood/dispatcher"
)

// Token identifies a request that was submitted to this balancer.
type Token uint64

// Reasons of outcomes, as Callers and metrics see them.
const (
	// ReasonShuttingDown means that this balancer accepts no new requests.
	ReasonShuttingDown = "leaving"
	// ReasonNoMajority means that no majority of the replicas granted the id in time.
	ReasonNoMajority = "claim"
	// ReasonQueue means that the queue for slots was full or the request waited too long in it.
	ReasonQueue = "queue"
	// ReasonShed means that an upstream shed the request, or failed, and the retry budget was empty.
	ReasonShed = "shed"
	// ReasonDeadline means that the request got no answer by its deadline.
	ReasonDeadline = "deadline"
	// ReasonHeld means that another request holds the id, or may hold it.
	ReasonHeld = "held"
	// ReasonBroken means that an attempt failed after an upstream may have begun the request.
	ReasonBroken = "broken"
	// ReasonCallerGone means that the Caller no longer waits.
	ReasonCallerGone = "gone"
)

// Timeouts and intervals.
const (
	// ClaimTimeout is the longest time that one round of claims takes.
	ClaimTimeout = 500 * time.Millisecond
	// claimRetryInterval is the shortest time before an id that wasn't granted is claimed again.
	claimRetryInterval = 100 * time.Millisecond
	// slotOwnerTimeout is how long the executor waits for a slot owner's first answer and, for a queued
	// request, for the lease after the service's waiting time is over.
	slotOwnerTimeout = 50 * time.Millisecond
	// unresponsiveTTL is how long a slot owner that didn't answer isn't asked again.
	unresponsiveTTL = 2 * time.Second
	// initialRetryBackoff is the backoff before the first retry, of which up to half is taken off as
	// jitter. It doubles up to retryDoublings times.
	initialRetryBackoff = 10 * time.Millisecond
	retryDoublings      = 5
	// leaseSlack is how long after its request's deadline a leased slot is taken back.
	leaseSlack = 100 * time.Millisecond
)

// Result is the final result of a request.
type Result struct {
	claimer.Outcome
	Reason string
	// Replayed is set if the outcome is that of an earlier request with the same id.
	Replayed bool
}

// Request is a Caller's request with the limits of its service.
type Request struct {
	ID         rattanwood.RequestID
	Service    rattanwood.ServiceID
	Limits     rattanwood.Limits
	Idempotent bool
	// Deadline is the time by which the Caller needs the outcome.
	Deadline time.Duration
	// Age is the time since the Caller first used the id.
	Age  time.Duration
	Body string
}

// Config holds the settings of an Executor and what it uses to claim ids and to get slots.
type Config struct {
	Self claimer.Claimant
	// RetentionTime is how long the outcome of a non-idempotent request is kept if an upstream may have
	// begun the request.
	RetentionTime time.Duration
	// MaxAnswerBytes limits the total size of the answers kept.
	MaxAnswerBytes int
	Seed           uint64
	// Claims is this balancer's own replica.
	Claims *claimer.Replica
	// Slots grants slots to this balancer's own requests and, for the services whose slots it owns, to
	// those of all balancers.
	Slots *dispatcher.Dispatcher
	// Group returns the replicas of an id.
	Group func(rattanwood.RequestID) []rattanwood.VMID
	// Alive reports whether a claimant may still answer.
	Alive func(claimer.Claimant) bool
	// SlotOwner returns the balancer that owns a service's slots. If that is Self, this balancer counts
	// only the requests that it knows of, and relies on upstreams to shed what exceeds their slots.
	SlotOwner func(rattanwood.ServiceID) rattanwood.VMID
}

// Executor holds the unfinished requests of one balancer and the outcomes of recent ones.
type Executor struct {
	cfg       Config
	random    *rand.Rand
	lastToken Token
	// claimSeq numbers the rounds of claims.
	claimSeq uint64
	// byToken and submitted hold all unfinished requests, submitted in the order of their tokens; byID
	// holds those that aren't idempotent.
	byToken   map[Token]*activeRequest
	submitted []*activeRequest
	byID      map[rattanwood.RequestID]*activeRequest
	// outcomes are those of finished requests that an upstream may have run, and expiring has them in
	// the order in which they are removed.
	outcomes map[rattanwood.RequestID]keptOutcome
	expiring []keptOutcome
	capacity claimer.AnswerCapacity
	// leases are the slots leased to other balancers and their requests in the queue.
	leases map[leaseKey]lease
	// unresponsive are slot owners that didn't answer, with the time until which they aren't asked.
	unresponsive map[rattanwood.VMID]time.Duration
	actions      []Action
	shuttingDown bool
	counts       Counts
}

// keptOutcome is the outcome of a non-idempotent request that an upstream may have begun, kept until
// expires.
type keptOutcome struct {
	id      rattanwood.RequestID
	expires time.Duration
	result  Result
}

// Counts are totals since the process began: attempts sent to upstreams, retries, retries of attempts
// that an upstream shed, and answers of replicas, slot owners and upstreams that came too late.
type Counts struct {
	Sent, Retried, Shed, Late uint64
}

// New returns an executor without any requests.
func New(cfg Config) *Executor {
	return &Executor{
		cfg:          cfg,
		random:       rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Self.Incarnation))),
		byToken:      map[Token]*activeRequest{},
		byID:         map[rattanwood.RequestID]*activeRequest{},
		outcomes:     map[rattanwood.RequestID]keptOutcome{},
		capacity:     claimer.AnswerCapacity{FreeBytes: cfg.MaxAnswerBytes},
		leases:       map[leaseKey]lease{},
		unresponsive: map[rattanwood.VMID]time.Duration{},
	}
}

// TakeActions returns the actions since the last call.
func (e *Executor) TakeActions() []Action {
	out := e.actions
	e.actions = nil
	return out
}

// Counts returns the totals.
func (e *Executor) Counts() Counts { return e.counts }

// Len returns the number of requests without a final outcome.
func (e *Executor) Len() int { return len(e.byToken) }

// BeginShutdown begins a graceful shutdown: requests that are under way are finished, and new ones are
// refused.
func (e *Executor) BeginShutdown() { e.shuttingDown = true }

// EndShutdown gives a final answer to all requests that are still under way, when the time for a graceful
// shutdown is over.
func (e *Executor) EndShutdown(now time.Duration) {
	// Requests on upstreams come last: a slot that one of them gives back must not send another.
	for _, onUpstream := range []bool{false, true} {
		for _, r := range slices.Clone(e.submitted) {
			if (r.phase == sending) != onUpstream {
				continue
			}
			r.mayHaveRun = r.mayHaveRun || onUpstream
			e.cancel(now, r)
			e.finish(now, r, r.resultWithoutAnswer(ReasonShuttingDown))
		}
	}
}

// phase is what an unfinished request is waiting for.
type phase uint8

const (
	// claiming requests wait for the votes of replicas.
	claiming phase = iota
	// waitingToClaim requests wait before they claim their id again.
	waitingToClaim
	// queued requests wait for a slot of this balancer's own dispatcher.
	queued
	// awaitingLease requests wait for a slot of the slot owner.
	awaitingLease
	// sending requests wait for the end of an attempt on an upstream.
	sending
	// backingOff requests wait before a retry.
	backingOff
)

// waiter is a Caller that waits for the result of a request.
type waiter struct {
	token    Token
	deadline time.Duration
}

// activeRequest is a request without a final result. Later non-idempotent requests with the same id
// join it as waiters.
type activeRequest struct {
	Request
	token       Token
	submittedAt time.Duration
	phase       phase
	// timer is when the phase times out; queued and sending have no timer.
	timer   time.Duration
	waiters []waiter
	// claim is the last claim made, group the replicas that were asked, and votes their answers.
	claim      claimer.Claim
	group      []rattanwood.VMID
	votes      map[rattanwood.VMID]claimer.Reply
	queueEntry *dispatcher.QueuedRequest
	// excluded are upstreams that shed the request or failed while it ran.
	excluded []rattanwood.UpstreamID
	// attempt numbers the requests for leases and the attempts on upstreams, so that late answers are
	// recognised. An attempt on a leased slot has the number of its request for the lease.
	attempt  uint64
	upstream rattanwood.UpstreamID
	// slotOwner is the balancer that was asked for a slot or leased it, and empty for an own slot.
	slotOwner rattanwood.VMID
	// mayHaveRun is set once an upstream may have begun the request.
	mayHaveRun bool
}

// Submit accepts a request and returns the token that its Reply will carry. A request that isn't
// idempotent gets the outcome of an earlier one with the same id, or joins it while it is unfinished.
func (e *Executor) Submit(now time.Duration, q Request) Token {
	e.lastToken++
	token := e.lastToken
	if kept, known := e.outcomes[q.ID]; known && !q.Idempotent {
		kept.result.Replayed = true
		e.emit(Reply{Token: token, Result: kept.result})
		return token
	}
	if first, known := e.byID[q.ID]; known && !q.Idempotent {
		first.waiters = append(first.waiters, waiter{token: token, deadline: q.Deadline})
		return token
	}
	if e.shuttingDown {
		e.emit(Reply{Token: token, Result: refused(ReasonShuttingDown)})
		return token
	}
	r := &activeRequest{Request: q, token: token, submittedAt: now, waiters: []waiter{{token: token, deadline: q.Deadline}}}
	e.byToken[token] = r
	e.submitted = append(e.submitted, r)
	e.cfg.Slots.AddRetryBudget(q.Service, q.Limits.RetryBudget)
	if q.Idempotent {
		e.requestSlot(now, r)
		return token
	}
	e.byID[q.ID] = r
	e.claimID(now, r)
	return token
}

func refused(reason string) Result {
	return Result{Outcome: claimer.Outcome{Kind: claimer.Refused}, Reason: reason}
}

func unknown(reason string) Result {
	return Result{Outcome: claimer.Outcome{Kind: claimer.Unknown}, Reason: reason}
}

// resultWithoutAnswer returns the result of a request that got no answer. It is a refusal only if
// certainly no upstream has begun the request.
func (r *activeRequest) resultWithoutAnswer(reason string) Result {
	if r.mayHaveRun {
		return unknown(reason)
	}
	return refused(reason)
}

// finish replies to all Callers that wait for a request, and releases or settles its claim.
func (e *Executor) finish(now time.Duration, r *activeRequest, result Result) {
	if e.byToken[r.token] != r {
		return
	}
	delete(e.byToken, r.token)
	e.submitted = slices.DeleteFunc(e.submitted, func(o *activeRequest) bool { return o == r })
	for i, w := range r.waiters {
		out := result
		out.Replayed = out.Replayed || i > 0
		e.emit(Reply{Token: w.token, Result: out})
	}
	if r.Idempotent {
		return
	}
	delete(e.byID, r.ID)
	switch {
	case result.Replayed || r.claim.Seq == 0:
		// The claim was already released, or none was made.
	case !r.mayHaveRun:
		e.release(r.claim, r.group)
	default:
		e.recordOutcome(now, r, result)
	}
}

// recordOutcome keeps the outcome of a request that an upstream may have begun and records it at the
// replicas.
func (e *Executor) recordOutcome(now time.Duration, r *activeRequest, result Result) {
	kept := result
	kept.Outcome = e.capacity.Reserve(result.Outcome)
	m := keptOutcome{id: r.ID, expires: now + e.cfg.RetentionTime, result: kept}
	e.outcomes[r.ID] = m
	e.expiring = append(e.expiring, m)
	for _, vm := range r.group {
		if vm == e.cfg.Self.VM {
			e.cfg.Claims.Settle(r.ID, e.cfg.Self, result.Outcome)
			continue
		}
		e.emit(Settle{VM: vm, ID: r.ID, Outcome: result.Outcome})
	}
}

// release withdraws a claim at all replicas of a group.
func (e *Executor) release(c claimer.Claim, group []rattanwood.VMID) {
	for _, vm := range group {
		e.releaseAt(c, vm)
	}
}

func (e *Executor) releaseAt(c claimer.Claim, vm rattanwood.VMID) {
	if vm == e.cfg.Self.VM {
		e.cfg.Claims.Release(c)
		return
	}
	e.emit(ReleaseClaim{VM: vm, Claim: c})
}

// Abandon records that the Caller of a token no longer waits. If nobody else does, the request is
// cancelled, unless it isn't idempotent and was already sent: the Caller may ask for its outcome
// later.
func (e *Executor) Abandon(now time.Duration, token Token) {
	for _, r := range e.submitted {
		i := slices.IndexFunc(r.waiters, func(w waiter) bool { return w.token == token })
		if i < 0 {
			continue
		}
		if len(r.waiters) > 1 {
			r.waiters = slices.Delete(r.waiters, i, i+1)
			return
		}
		r.mayHaveRun = r.mayHaveRun || r.phase == sending
		if r.Idempotent || !r.mayHaveRun {
			e.cancel(now, r)
			e.finish(now, r, r.resultWithoutAnswer(ReasonCallerGone))
		}
		return
	}
}

// cancel takes a request out of the queue, or cancels its attempt and gives its slot back.
func (e *Executor) cancel(now time.Duration, r *activeRequest) {
	switch r.phase {
	case queued:
		e.cfg.Slots.Cancel(r.queueEntry)
	case awaitingLease:
		e.returnLease(r, dispatcher.Done)
	case sending:
		e.emit(Cancel{Token: r.token, Attempt: r.attempt})
		e.returnSlot(now, r, dispatcher.Failed)
	}
}

// Tick expires claims, leases, requests and kept outcomes whose time is over.
func (e *Executor) Tick(now time.Duration) {
	e.cfg.Claims.Tick(now)
	e.cfg.Slots.Tick(now)
	e.expireLeases(now)
	for _, r := range slices.Clone(e.submitted) {
		if e.byToken[r.token] == r {
			e.tickRequest(now, r)
		}
	}
	done := 0
	for done < len(e.expiring) && e.expiring[done].expires <= now {
		e.capacity.Release(e.expiring[done].result.Outcome)
		delete(e.outcomes, e.expiring[done].id)
		done++
	}
	e.expiring = e.expiring[done:]
}

// tickRequest finishes a request at its deadline, and goes on with it when the timer of its phase is
// over.
func (e *Executor) tickRequest(now time.Duration, r *activeRequest) {
	if now >= r.Deadline {
		r.mayHaveRun = r.mayHaveRun || r.phase == sending
		e.cancel(now, r)
		e.finish(now, r, e.deadlineResult(r))
		return
	}
	e.expireWaiters(now, r)
	if r.phase == queued || r.phase == sending || now < r.timer {
		return
	}
	switch r.phase {
	case claiming:
		e.endClaimRound(now, r)
	case waitingToClaim:
		e.claimID(now, r)
	case awaitingLease:
		e.unresponsive[r.slotOwner] = now + unresponsiveTTL
		e.requestLocalSlot(now, r)
	case backingOff:
		e.requestSlot(now, r)
	}
}

// deadlineResult returns the result of a request at its deadline. Without a majority another balancer
// may hold the id and have run the request.
func (e *Executor) deadlineResult(r *activeRequest) Result {
	if r.phase == waitingToClaim || r.phase == claiming {
		return unknown(ReasonHeld)
	}
	return r.resultWithoutAnswer(ReasonDeadline)
}

// expireWaiters replies to the Callers that joined a request with an earlier deadline than its own.
func (e *Executor) expireWaiters(now time.Duration, r *activeRequest) {
	r.waiters = slices.DeleteFunc(r.waiters, func(w waiter) bool {
		late := w.token != r.token && now >= w.deadline
		if late {
			e.emit(Reply{Token: w.token, Result: unknown(ReasonHeld)})
		}
		return late
	})
}

func (e *Executor) emit(a Action) { e.actions = append(e.actions, a) }
