// Package claimer gives the right to send a request to at most one balancer.
//
// Every request id is a write-once register on a group of replicas, the VMs that rendezvous hashing
// ranks first for it. A claim is a balancer's attempt to write the register. A balancer may send a
// non-idempotent request to an upstream only while a majority of the group has granted it the id.
// Replicas keep ids in memory for a fixed time. The package holds the state of one replica; claiming
// and counting votes is left to the executor package.
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

const (
	// Granted means that the claimant holds the id at this replica.
	Granted Vote = iota + 1
	// Held means that another claimant holds the id.
	Held
	// Settled means that the request has ended and its outcome is recorded at this replica.
	Settled
	// WarmingUp means that this replica started so recently that it may have missed an earlier claim.
	WarmingUp
)

// Claimant is a balancer process: after a restart it is another claimant.
type Claimant struct {
	VM          rattanwood.VMID
	Incarnation rattanwood.Incarnation
}

// Claim is a claimant's request for an id.
type Claim struct {
	ID rattanwood.RequestID
	By Claimant
	// Seq orders the claims of one claimant. A release that arrives late doesn't undo a later claim.
	Seq uint64
	// Age is the time since the Caller first used the id. A replica that started later can't know
	// whether it has missed a claim.
	Age time.Duration
}

// Kind tells what is certain about a request that has ended.
type Kind uint8

const (
	// Answered requests ran once, and the answer is complete.
	Answered Kind = iota + 1
	// Refused requests certainly did not run.
	Refused
	// Unknown requests may have run.
	Unknown
)

// String returns the label of the kind in metrics.
func (k Kind) String() string {
	return [...]string{"none", "answered", "refused", "unknown"}[k]
}

// Outcome is the final result of a request.
type Outcome struct {
	Kind     Kind
	Body     []byte
	Upstream string
}

// Reply is a vote, with the claimant that holds the id and the outcome if there is one.
type Reply struct {
	Vote     Vote
	Claimant Claimant
	Outcome  Outcome
}

// Config holds the limits of a Replica.
type Config struct {
	// RetentionTime is how long an id is kept.
	RetentionTime time.Duration
	// MaxAnswerBytes limits the total size of the answers kept. An answer that exceeds it is recorded
	// as an unknown outcome.
	MaxAnswerBytes int
	// WarmUpTime is the uptime before which a replica grants nothing, because peers may not yet count
	// it among the replicas.
	WarmUpTime time.Duration
}

// Replica holds the ids claimed at one replica of the registers. It isn't safe for concurrent use.
type Replica struct {
	cfg     Config
	records map[rattanwood.RequestID]record
	// expiries are in the order of their times. An id that was released and claimed again has several;
	// only the last one counts.
	expiries []expiry
	capacity AnswerCapacity
}

// AnswerCapacity limits the total size of kept answers.
type AnswerCapacity struct {
	FreeBytes int
}

// Reserve returns the outcome to keep and takes the capacity for its answer. If there isn't enough, the
// outcome to keep is unknown, which prevents a second run just as well.
func (c *AnswerCapacity) Reserve(o Outcome) Outcome {
	if len(o.Body) > c.FreeBytes {
		return Outcome{Kind: Unknown}
	}
	c.FreeBytes -= len(o.Body)
	return o
}

// Release gives back the capacity that a kept outcome takes.
func (c *AnswerCapacity) Release(o Outcome) { c.FreeBytes += len(o.Body) }

// record is a claimed id; outcome is valid once settled is set.
type record struct {
	claimant Claimant
	seq      uint64
	expires  time.Duration
	settled  bool
	outcome  Outcome
}

// expiry is the time at which an id may be removed.
type expiry struct {
	id rattanwood.RequestID
	at time.Duration
}

// New returns a replica without any claims.
func New(cfg Config) *Replica {
	return &Replica{cfg: cfg, records: map[rattanwood.RequestID]record{}, capacity: AnswerCapacity{FreeBytes: cfg.MaxAnswerBytes}}
}

// Claim votes on a claim; now is the uptime of this replica.
func (r *Replica) Claim(now time.Duration, claim Claim) Reply {
	rec, known := r.records[claim.ID]
	switch {
	case known && rec.settled:
		return Reply{Vote: Settled, Claimant: rec.claimant, Outcome: rec.outcome}
	case known && rec.claimant == claim.By:
		rec.seq = max(rec.seq, claim.Seq)
		r.records[claim.ID] = rec
		return Reply{Vote: Granted, Claimant: claim.By}
	case known:
		return Reply{Vote: Held, Claimant: rec.claimant}
	case now < r.cfg.WarmUpTime || claim.Age >= now:
		return Reply{Vote: WarmingUp}
	}
	at := now + r.cfg.RetentionTime
	r.records[claim.ID] = record{claimant: claim.By, seq: claim.Seq, expires: at}
	r.expiries = append(r.expiries, expiry{id: claim.ID, at: at})
	return Reply{Vote: Granted, Claimant: claim.By}
}

// Release withdraws a claim whose request was not sent to any upstream.
func (r *Replica) Release(claim Claim) {
	if rec, known := r.records[claim.ID]; known && !rec.settled && rec.claimant == claim.By && rec.seq <= claim.Seq {
		delete(r.records, claim.ID)
	}
}

// Settle records the outcome of an id that the claimant holds.
func (r *Replica) Settle(id rattanwood.RequestID, by Claimant, o Outcome) {
	if rec, known := r.records[id]; known && !rec.settled && rec.claimant == by {
		rec.settled, rec.outcome = true, r.capacity.Reserve(o)
		r.records[id] = rec
	}
}

// Tick removes ids whose retention time is over.
func (r *Replica) Tick(now time.Duration) {
	done := 0
	for done < len(r.expiries) && r.expiries[done].at <= now {
		id := r.expiries[done].id
		if rec, known := r.records[id]; known && rec.expires <= now {
			r.capacity.Release(rec.outcome)
			delete(r.records, id)
		}
		done++
	}
	r.expiries = r.expiries[done:]
}

// Len returns the number of ids kept.
func (r *Replica) Len() int { return len(r.records) }

// Group returns the replicas of an id among the given VMs, highest ranked first.
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

// Majority returns the number of grants that a claimant needs from a group of n replicas.
func Majority(n int) int { return n/2 + 1 }
