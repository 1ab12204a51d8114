// Package executor carries the requests of one balancer to a final outcome.
//
// A non-idempotent request is sent only while a majority of its id's replicas
// has granted the id to this balancer, and never again once an upstream may
// have begun it. Every outcome is answered, refused (certainly not run) or
// unknown, and is given at once when it is certain that nothing better follows.
//
// An Executor is a pure state machine: events go in, actions come out. It isn't
// safe for concurrent use. Times are durations since the process began.
package executor

import (
	"math/rand/v2"
	"slices"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/claimer"
	"example.org/rattanwood/dispatcher"
)

// Token names a request that was submitted to this balancer.
type Token uint64

// Reasons of outcomes.
const (
	ReasonShuttingDown = "leaving"
	ReasonNoMajority   = "claim"
	ReasonQueue        = "queue"
	ReasonShed         = "shed"
	ReasonDeadline     = "deadline"
	ReasonHeld         = "held"
	ReasonBroken       = "broken"
	ReasonCallerGone   = "gone"
)

// Times of requests.
const (
	// ClaimTimeout bounds one round of claims.
	ClaimTimeout = 500 * time.Millisecond
	// claimPause is the time between two looks at an id that another balancer holds.
	claimPause = 100 * time.Millisecond
	// keeperTime is how long a keeper's first answer is waited for.
	keeperTime = 50 * time.Millisecond
	// silentTime is how long a keeper that didn't answer is done without.
	silentTime = 2 * time.Second
	// retryLeast is the first pause before a retry; it doubles up to retryDoublings times.
	retryLeast     = 10 * time.Millisecond
	retryDoublings = 5
	// leaseSlack is how long after its deadline a leased slot is taken back.
	leaseSlack = 100 * time.Millisecond
)

// Result is the final result of a request.
type Result struct {
	claimer.Outcome
	Reason string
	// Replayed answers are those of an earlier try of the same id.
	Replayed bool
}

// Request is what a Caller asks for.
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

// Config builds an Executor.
type Config struct {
	Self claimer.Claimant
	// RetentionTime is how long the outcome of a sent request is kept.
	RetentionTime time.Duration
	// MaxAnswerBytes bounds the answers that are kept.
	MaxAnswerBytes int
	Seed           uint64
	// Claims is this balancer's own replica.
	Claims *claimer.Claimer
	// Slots admits requests to upstreams, for this balancer or for the services that it keeps.
	Slots *dispatcher.Dispatcher
	// Group returns the replicas of an id.
	Group func(rattanwood.RequestID) []rattanwood.VMID
	// Alive reports whether a claimant may still answer.
	Alive func(claimer.Claimant) bool
	// SlotOwner returns the balancer that keeps a service's slots; this one's VM for optimistic sending.
	SlotOwner func(rattanwood.ServiceID) rattanwood.VMID
}

// Executor is the table of requests.
type Executor struct {
	cfg    Config
	random *rand.Rand
	last   Token
	seq    uint64
	runs   map[Token]*run
	order  []*run
	ids    map[rattanwood.RequestID]*run
	sent   map[rattanwood.RequestID]memory
	forget []memory
	room   claimer.AnswerCapacity
	leases map[leaseKey]lease
	// silent are keepers that didn't answer, with the time until which they aren't asked.
	silent  map[rattanwood.VMID]time.Duration
	actions []Action
	leaving bool
	counts  Counts
}

// memory is the outcome of a non-idempotent request that this balancer sent.
type memory struct {
	id     rattanwood.RequestID
	at     time.Duration
	result Result
}

// Counts are totals since the process began.
type Counts struct {
	Sent, Retried, Shed, Late uint64
}

// New returns an executor without requests.
func New(cfg Config) *Executor {
	return &Executor{
		cfg:    cfg,
		random: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Self.Incarnation))),
		runs:   map[Token]*run{},
		ids:    map[rattanwood.RequestID]*run{},
		sent:   map[rattanwood.RequestID]memory{},
		room:   claimer.AnswerCapacity{FreeBytes: cfg.MaxAnswerBytes},
		leases: map[leaseKey]lease{},
		silent: map[rattanwood.VMID]time.Duration{},
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
func (e *Executor) Len() int { return len(e.runs) }

// BeginShutdown begins a graceful shutdown: what is under way is finished, nothing new is begun.
func (e *Executor) BeginShutdown() { e.leaving = true }

// phase is what a run is waiting for.
type phase uint8

const (
	claiming phase = iota
	// pausing runs wait for another look at an id that somebody holds.
	pausing
	queued
	// leasing runs wait for a lease of the keeper.
	leasing
	sending
	// backing runs wait before a retry.
	backing
)

// waiter is a Caller that waits for a run.
type waiter struct {
	token    Token
	deadline time.Duration
}

// run is one request on its way.
type run struct {
	Request
	token   Token
	begin   time.Duration
	phase   phase
	wake    time.Duration
	waiters []waiter
	// claim is the last claim made.
	claim  claimer.Claim
	group  []rattanwood.VMID
	votes  map[rattanwood.VMID]claimer.Reply
	ticket *dispatcher.QueuedRequest
	// turned are upstreams that turned the request away or broke off.
	turned   []rattanwood.UpstreamID
	attempt  uint64
	upstream rattanwood.UpstreamID
	// leased is the keeper that lent the slot.
	leased rattanwood.VMID
	// begun is set once an upstream may have begun the request.
	begun bool
}

// Submit takes in a request and returns the token under which its result will come.
func (e *Executor) Submit(now time.Duration, q Request) Token {
	e.last++
	token := e.last
	if old, known := e.sent[q.ID]; known && !q.Idempotent {
		old.result.Replayed = true
		e.act(Reply{Token: token, Result: old.result})
		return token
	}
	if first, known := e.ids[q.ID]; known && !q.Idempotent {
		first.waiters = append(first.waiters, waiter{token: token, deadline: q.Deadline})
		return token
	}
	if e.leaving {
		e.act(Reply{Token: token, Result: refused(ReasonShuttingDown)})
		return token
	}
	r := &run{Request: q, token: token, begin: now, waiters: []waiter{{token: token, deadline: q.Deadline}}}
	e.runs[token] = r
	e.order = append(e.order, r)
	e.cfg.Slots.AddRetryBudget(q.Service, q.Limits.RetryBudget)
	if q.Idempotent {
		e.enter(now, r)
		return token
	}
	e.ids[q.ID] = r
	e.claim(now, r)
	return token
}

func refused(reason string) Result {
	return Result{Outcome: claimer.Outcome{Kind: claimer.Refused}, Reason: reason}
}

func unknown(reason string) Result {
	return Result{Outcome: claimer.Outcome{Kind: claimer.Unknown}, Reason: reason}
}

// ending is the result without an answer: only what no upstream may have begun is refused.
func (r *run) ending(reason string) Result {
	if r.begun {
		return unknown(reason)
	}
	return refused(reason)
}

// finish gives a run its final result and tells the replicas.
func (e *Executor) finish(now time.Duration, r *run, result Result) {
	if e.runs[r.token] != r {
		return
	}
	delete(e.runs, r.token)
	e.order = slices.DeleteFunc(e.order, func(o *run) bool { return o == r })
	for i, w := range r.waiters {
		out := result
		out.Replayed = out.Replayed || i > 0
		e.act(Reply{Token: w.token, Result: out})
	}
	if r.Idempotent {
		return
	}
	delete(e.ids, r.ID)
	switch {
	case result.Replayed || r.claim.Seq == 0:
	case !r.begun:
		e.release(r.claim, r.group)
	default:
		e.settle(now, r, result)
	}
}

// settle records the outcome of a request that an upstream may have begun.
func (e *Executor) settle(now time.Duration, r *run, result Result) {
	kept := result
	kept.Outcome = e.room.Reserve(result.Outcome)
	m := memory{id: r.ID, at: now + e.cfg.RetentionTime, result: kept}
	e.sent[r.ID] = m
	e.forget = append(e.forget, m)
	for _, vm := range r.group {
		if vm == e.cfg.Self.VM {
			e.cfg.Claims.Settle(r.ID, e.cfg.Self, result.Outcome)
			continue
		}
		e.act(Settle{VM: vm, ID: r.ID, Outcome: result.Outcome})
	}
}

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
	e.act(ReleaseClaim{VM: vm, Claim: c})
}

// Abandon says that the Caller of a token has gone. What nobody waits for is
// cancelled, but for requests that must keep their outcome for a later question.
func (e *Executor) Abandon(now time.Duration, token Token) {
	for _, r := range e.order {
		i := slices.IndexFunc(r.waiters, func(w waiter) bool { return w.token == token })
		if i < 0 {
			continue
		}
		if len(r.waiters) > 1 {
			r.waiters = slices.Delete(r.waiters, i, i+1)
			return
		}
		r.begun = r.begun || r.phase == sending
		if r.Idempotent || !r.begun {
			e.cancel(now, r)
			e.finish(now, r, r.ending(ReasonCallerGone))
		}
		return
	}
}

// cancel withdraws a run from where it waits.
func (e *Executor) cancel(now time.Duration, r *run) {
	switch r.phase {
	case queued:
		e.cfg.Slots.Cancel(r.ticket)
	case leasing:
		e.giveBack(r, dispatcher.Done)
	case sending:
		e.act(Cancel{Token: r.token, Attempt: r.attempt})
		e.giveSlotBack(now, r, dispatcher.Failed)
	}
}

// Tick runs every timer.
func (e *Executor) Tick(now time.Duration) {
	e.cfg.Claims.Tick(now)
	e.cfg.Slots.Tick(now)
	e.expireLeases(now)
	for _, r := range slices.Clone(e.order) {
		if e.runs[r.token] == r {
			e.tick(now, r)
		}
	}
	done := 0
	for done < len(e.forget) && e.forget[done].at <= now {
		e.room.Release(e.forget[done].result.Outcome)
		delete(e.sent, e.forget[done].id)
		done++
	}
	e.forget = e.forget[done:]
}

func (e *Executor) tick(now time.Duration, r *run) {
	if now >= r.Deadline {
		r.begun = r.begun || r.phase == sending
		e.cancel(now, r)
		e.finish(now, r, e.atDeadline(r))
		return
	}
	e.tickWaiters(now, r)
	if r.phase == queued || r.phase == sending || now < r.wake {
		return
	}
	switch r.phase {
	case claiming:
		e.conclude(now, r)
	case pausing:
		e.claim(now, r)
	case leasing:
		e.silent[r.leased] = now + silentTime
		e.enterHere(now, r)
	case backing:
		e.enter(now, r)
	}
}

// atDeadline is the result of a run that is out of time.
func (e *Executor) atDeadline(r *run) Result {
	if r.phase == pausing || r.phase == claiming {
		return unknown(ReasonHeld)
	}
	return r.ending(ReasonDeadline)
}

// tickWaiters answers those who joined a run with an earlier deadline.
func (e *Executor) tickWaiters(now time.Duration, r *run) {
	r.waiters = slices.DeleteFunc(r.waiters, func(w waiter) bool {
		late := w.token != r.token && now >= w.deadline
		if late {
			e.act(Reply{Token: w.token, Result: unknown(ReasonHeld)})
		}
		return late
	})
}

func (e *Executor) act(a Action) { e.actions = append(e.actions, a) }
