// Package claimer gives each request id to at most one claimant.
//
// Every id has a group of replicas, the first-ranked VMs for it. A balancer may
// send a non-idempotent request to an upstream only while a majority of the
// group has granted it the id. Replicas keep ids in memory for a fixed time.
package claimer

import (
	"slices"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/ranker"
)

// GroupSize is the number of replicas of an id.
const GroupSize = 3

// Vote is a replica's answer to a claim.
type Vote uint8

// The votes.
const (
	// Granted means that the claimant holds the id here.
	Granted Vote = iota + 1
	// Held means that another claimant holds the id.
	Held
	// Settled means that the outcome is known.
	Settled
	// WarmingUp means that this replica may have missed an earlier claim.
	WarmingUp
)

// Claimant is one run of a balancer.
type Claimant struct {
	VM          rattanwood.VMID
	Incarnation rattanwood.Incarnation
}

// Claim asks for an id.
type Claim struct {
	ID rattanwood.RequestID
	By Claimant
	// Seq orders the claims of one claimant; a release takes back no later one.
	Seq uint64
	// Age is the time since the Caller first used the id.
	Age time.Duration
}

// Kind is the kind of an outcome.
type Kind uint8

// The kinds of outcomes.
const (
	// Answered requests ran once, and the answer is whole.
	Answered Kind = iota + 1
	// Refused requests certainly did not run.
	Refused
	// Unknown requests may have run.
	Unknown
)

// String returns the label of the kind.
func (k Kind) String() string {
	return [...]string{"none", "answered", "refused", "unknown"}[k]
}

// Outcome is the final result of a request.
type Outcome struct {
	Kind     Kind
	Body     []byte
	Upstream string
}

// Reply is a vote with what it rests on.
type Reply struct {
	Vote     Vote
	Claimant Claimant
	Outcome  Outcome
}

// Config builds a Claimer.
type Config struct {
	// RetentionTime is how long an id is kept.
	RetentionTime time.Duration
	// MaxAnswerBytes bounds the answers that are kept; what finds no room is kept as unknown.
	MaxAnswerBytes int
	// WarmUpTime is the uptime before which a replica grants nothing, because peers may not know it.
	WarmUpTime time.Duration
}

// Claimer is the table of a replica. It isn't safe for concurrent use.
type Claimer struct {
	cfg   Config
	rows  map[rattanwood.RequestID]record
	order []expiry
	room  AnswerCapacity
}

// AnswerCapacity bounds the bytes of kept answers.
type AnswerCapacity struct {
	FreeBytes int
}

// Reserve returns the outcome to keep: without room for its answer it is unknown, so that it isn't run again.
func (r *AnswerCapacity) Reserve(o Outcome) Outcome {
	if len(o.Body) > r.FreeBytes {
		return Outcome{Kind: Unknown}
	}
	r.FreeBytes -= len(o.Body)
	return o
}

// Release gives back the room of a kept outcome.
func (r *AnswerCapacity) Release(o Outcome) { r.FreeBytes += len(o.Body) }

type record struct {
	claimant Claimant
	seq      uint64
	expires  time.Duration
	settled  bool
	outcome  Outcome
}

type expiry struct {
	id rattanwood.RequestID
	at time.Duration
}

// New returns an empty table.
func New(cfg Config) *Claimer {
	return &Claimer{cfg: cfg, rows: map[rattanwood.RequestID]record{}, room: AnswerCapacity{FreeBytes: cfg.MaxAnswerBytes}}
}

// Claim votes on a claim; now is the time since this replica began.
func (c *Claimer) Claim(now time.Duration, claim Claim) Reply {
	r, known := c.rows[claim.ID]
	switch {
	case known && r.settled:
		return Reply{Vote: Settled, Claimant: r.claimant, Outcome: r.outcome}
	case known && r.claimant == claim.By:
		r.seq = max(r.seq, claim.Seq)
		c.rows[claim.ID] = r
		return Reply{Vote: Granted, Claimant: claim.By}
	case known:
		return Reply{Vote: Held, Claimant: r.claimant}
	case now < c.cfg.WarmUpTime || claim.Age >= now:
		return Reply{Vote: WarmingUp}
	}
	at := now + c.cfg.RetentionTime
	c.rows[claim.ID] = record{claimant: claim.By, seq: claim.Seq, expires: at}
	c.order = append(c.order, expiry{id: claim.ID, at: at})
	return Reply{Vote: Granted, Claimant: claim.By}
}

// Release takes back a claim for which nothing was sent.
func (c *Claimer) Release(claim Claim) {
	if r, known := c.rows[claim.ID]; known && !r.settled && r.claimant == claim.By && r.seq <= claim.Seq {
		delete(c.rows, claim.ID)
	}
}

// Settle records the outcome of a claimed id.
func (c *Claimer) Settle(id rattanwood.RequestID, by Claimant, o Outcome) {
	if r, known := c.rows[id]; known && !r.settled && r.claimant == by {
		r.settled, r.outcome = true, c.room.Reserve(o)
		c.rows[id] = r
	}
}

// Tick forgets ids whose memory is over.
func (c *Claimer) Tick(now time.Duration) {
	done := 0
	for done < len(c.order) && c.order[done].at <= now {
		id := c.order[done].id
		if r, known := c.rows[id]; known && r.expires <= now {
			c.room.Release(r.outcome)
			delete(c.rows, id)
		}
		done++
	}
	c.order = c.order[done:]
}

// Len returns the number of ids kept.
func (c *Claimer) Len() int { return len(c.rows) }

// Group returns the replicas of an id among the given VMs, best first.
func Group(id rattanwood.RequestID, vms []rattanwood.VMID) []rattanwood.VMID {
	key := ranker.Seed(string(id))
	sorted := slices.Clone(vms)
	slices.SortFunc(sorted, func(a, b rattanwood.VMID) int {
		sa, sb := ranker.Score(key, ranker.Seed(string(a))), ranker.Score(key, ranker.Seed(string(b)))
		if sa > sb {
			return -1
		}
		return 1
	})
	return sorted[:min(GroupSize, len(sorted))]
}

// Majority returns the number of grants that a group of n replicas needs.
func Majority(n int) int { return n/2 + 1 }
