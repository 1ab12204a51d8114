package executor

import (
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/claimer"
)

// claimID starts a round of claims: it asks all replicas for the request's id.
func (e *Executor) claimID(now time.Duration, r *activeRequest) {
	e.claimSeq++
	r.claim = claimer.Claim{ID: r.ID, By: e.cfg.Self, Seq: e.claimSeq, Age: r.Age}
	r.group = e.cfg.Group(r.ID)
	r.votes = map[rattanwood.VMID]claimer.Reply{}
	r.phase = claiming
	r.timer = now + ClaimTimeout
	for _, vm := range r.group {
		if vm != e.cfg.Self.VM {
			e.emit(RequestClaim{VM: vm, Token: r.token, Claim: r.claim})
		}
	}
	for _, vm := range r.group {
		if vm == e.cfg.Self.VM {
			e.countVote(now, r, vm, e.cfg.Claims.Claim(now, r.claim))
		}
	}
}

// HandleVote counts a replica's answer to a claim. A grant for a round that has ended is released.
func (e *Executor) HandleVote(now time.Duration, token Token, claim claimer.Claim, vm rattanwood.VMID, reply claimer.Reply) {
	r, active := e.byToken[token]
	if active && r.phase == claiming && r.claim.Seq == claim.Seq {
		e.countVote(now, r, vm, reply)
		return
	}
	if reply.Vote != claimer.Granted {
		return
	}
	if active && r.claim.Seq == claim.Seq && r.phase != waitingToClaim {
		// A grant beyond the majority stays valid until the request is finished.
		return
	}
	e.counts.Late++
	e.releaseAt(claim, vm)
}

// countVote records a vote and goes on as soon as the round is decided: with the outcome of another
// claimant, with a majority of grants, or without one after the last vote.
func (e *Executor) countVote(now time.Duration, r *activeRequest, vm rattanwood.VMID, reply claimer.Reply) {
	r.votes[vm] = reply
	if reply.Vote == claimer.Settled {
		e.release(r.claim, r.group)
		e.finish(now, r, Result{Outcome: reply.Outcome, Reason: ReasonHeld, Replayed: true})
		return
	}
	if r.countGrants() >= claimer.Majority(len(r.group)) {
		e.requestSlot(now, r)
		return
	}
	if len(r.votes) == len(r.group) {
		e.endClaimRound(now, r)
	}
}

func (r *activeRequest) countGrants() int {
	n := 0
	for _, v := range r.votes {
		if v.Vote == claimer.Granted {
			n++
		}
	}
	return n
}

// endClaimRound ends a round of claims that got no majority. The id is claimed again later if its holder
// may still answer, or if no holder is known and the service's waiting time isn't over.
func (e *Executor) endClaimRound(now time.Duration, r *activeRequest) {
	e.release(r.claim, r.group)
	alive, held := e.holderState(r)
	if held && !alive {
		e.finish(now, r, unknown(ReasonHeld))
		return
	}
	if !held && now+claimRetryInterval >= r.submittedAt+r.Limits.MaxWait() {
		// Another balancer may hold the id at replicas that did not vote, so the request may have run.
		e.finish(now, r, unknown(ReasonNoMajority))
		return
	}
	r.phase = waitingToClaim
	r.timer = now + claimRetryInterval + time.Duration(e.random.Int64N(int64(claimRetryInterval)))
}

// holderState reports whether another balancer holds the id, and whether it may still answer.
func (e *Executor) holderState(r *activeRequest) (alive, held bool) {
	for _, v := range r.votes {
		if v.Vote == claimer.Held {
			held = true
			alive = alive || e.cfg.Alive(v.Claimant)
		}
	}
	return alive, held
}
