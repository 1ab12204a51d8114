package executor

import (
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/claimer"
	"example.org/rattanwood/dispatcher"
)

// Action is something that the executor wants done.
type Action interface{ action() }

// Reply gives a Caller its final result.
type Reply struct {
	Token  Token
	Result Result
}

// RequestClaim sends a claim to a replica; the vote comes back through Vote.
type RequestClaim struct {
	VM    rattanwood.VMID
	Token Token
	Claim claimer.Claim
}

// ReleaseClaim takes a claim back at a replica.
type ReleaseClaim struct {
	VM    rattanwood.VMID
	Claim claimer.Claim
}

// Settle records an outcome at a replica.
type Settle struct {
	VM      rattanwood.VMID
	ID      rattanwood.RequestID
	Outcome claimer.Outcome
}

// Send sends a request to an upstream; the end comes back through Ended.
type Send struct {
	Token    Token
	Attempt  uint64
	Upstream rattanwood.UpstreamID
	Request  Request
}

// Cancel tells an upstream that nobody waits any more.
type Cancel struct {
	Token   Token
	Attempt uint64
}

// RequestSlot asks the keeper of a service for a slot; the lease comes back through Leased.
type RequestSlot struct {
	VM      rattanwood.VMID
	Token   Token
	Attempt uint64
	Service rattanwood.ServiceID
	Exclude []rattanwood.UpstreamID
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
}

// Lease answers a Want of another balancer; a zero upstream means that there is no slot.
type Lease struct {
	VM       rattanwood.VMID
	Token    Token
	Attempt  uint64
	Upstream rattanwood.UpstreamID
	// Queued says that the wish is in the queue, and another answer follows.
	Queued bool
}

// ReturnSlot gives a slot back to its keeper.
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
