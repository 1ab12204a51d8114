package executor

import (
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/claimer"
	"example.org/rattanwood/dispatcher"
)

// Action is something that the calling code must do for the executor.
type Action interface{ action() }

// Reply gives a Caller the final result of its request.
type Reply struct {
	Token  Token
	Result Result
}

// RequestClaim sends a claim to a replica; its vote comes back through HandleVote.
type RequestClaim struct {
	VM    rattanwood.VMID
	Token Token
	Claim claimer.Claim
}

// ReleaseClaim withdraws a claim at a replica.
type ReleaseClaim struct {
	VM    rattanwood.VMID
	Claim claimer.Claim
}

// Settle records the outcome of a request at a replica.
type Settle struct {
	VM      rattanwood.VMID
	ID      rattanwood.RequestID
	Outcome claimer.Outcome
}

// Send sends a request to an upstream; its end comes back through HandleAttemptEnd.
type Send struct {
	Token    Token
	Attempt  uint64
	Upstream rattanwood.UpstreamID
	Request  Request
}

// Cancel cancels an attempt on an upstream, because no Caller waits for it any longer.
type Cancel struct {
	Token   Token
	Attempt uint64
}

// RequestSlot asks the slot owner of a service for a slot; the lease comes back through HandleLease.
type RequestSlot struct {
	// VM is the slot owner to ask or, in a RequestSlot passed to HandleSlotRequest, the balancer that
	// asks.
	VM      rattanwood.VMID
	Token   Token
	Attempt uint64
	Service rattanwood.ServiceID
	Exclude []rattanwood.UpstreamID
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
}

// Lease answers another balancer's RequestSlot. A zero Upstream without Queued means that there is no
// slot.
type Lease struct {
	// VM is the balancer that asked or, in a Lease passed to HandleLease, the slot owner.
	VM       rattanwood.VMID
	Token    Token
	Attempt  uint64
	Upstream rattanwood.UpstreamID
	// Queued means that the request waits in the queue; another Lease follows.
	Queued bool
}

// ReturnSlot gives a slot back to its owner.
type ReturnSlot struct {
	VM      rattanwood.VMID
	Token   Token
	Attempt uint64
	Result  dispatcher.Result
}

func (Reply) action()        {}
func (RequestClaim) action() {}
func (ReleaseClaim) action() {}
func (Settle) action()       {}
func (Send) action()         {}
func (Cancel) action()       {}
func (RequestSlot) action()  {}
func (Lease) action()        {}
func (ReturnSlot) action()   {}
