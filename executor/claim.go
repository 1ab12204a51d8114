package executor

import (
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/claimer"
)

// claim asks all replicas of a run's id for it.
func (e *Executor) claim(now time.Duration, r *run) {
	e.seq++
	r.claim = claimer.Claim{ID: r.ID, By: e.cfg.Self, Seq: e.seq, Age: r.Age}
	r.group = e.cfg.Group(r.ID)
	r.votes = map[rattanwood.VMID]claimer.Reply{}
	r.phase = claiming
	r.wake = now + ClaimTimeout
	for _, vm := range r.group {
		if vm != e.cfg.Self.VM {
			e.act(RequestClaim{VM: vm, Token: r.token, Claim: r.claim})
		}
	}
	for _, vm := range r.group {
		if vm == e.cfg.Self.VM {
			e.vote(now, r, vm, e.cfg.Claims.Claim(now, r.claim))
		}
	}
}

// HandleVote takes in a replica's answer to a claim.
func (e *Executor) HandleVote(now time.Duration, token Token, claim claimer.Claim, vm rattanwood.VMID, reply claimer.Reply) {
	r, active := e.runs[token]
	if active && r.phase == claiming && r.claim.Seq == claim.Seq {
		e.vote(now, r, vm, reply)
		return
	}
	if reply.Vote != claimer.Granted {
		return
	}
	if active && r.claim.Seq == claim.Seq && r.phase != pausing {
		return
	}
	// The grant came too late to be used.
	e.counts.Late++
	e.releaseAt(claim, vm)
}

func (e *Executor) vote(now time.Duration, r *run, vm rattanwood.VMID, reply claimer.Reply) {
	r.votes[vm] = reply
	if reply.Vote == claimer.Settled {
		e.release(r.claim, r.group)
		e.finish(now, r, Result{Outcome: reply.Outcome, Reason: ReasonHeld, Replayed: true})
		return
	}
	if r.granted() >= claimer.Majority(len(r.group)) {
		e.enter(now, r)
		return
	}
	if len(r.votes) == len(r.group) {
		e.conclude(now, r)
	}
}

func (r *run) granted() int {
	n := 0
	for _, v := range r.votes {
		if v.Vote == claimer.Granted {
			n++
		}
	}
	return n
}

// conclude ends a round of claims without a majority.
func (e *Executor) conclude(now time.Duration, r *run) {
	e.release(r.claim, r.group)
	alive, held := e.holder(r)
	if held && !alive {
		e.finish(now, r, unknown(ReasonHeld))
		return
	}
	if !held && now+claimPause >= r.begin+r.Limits.MaxWait() {
		// Another balancer may have the id at replicas that did not vote.
		e.finish(now, r, unknown(ReasonNoMajority))
		return
	}
	r.phase = pausing
	r.wake = now + claimPause + time.Duration(e.random.Int64N(int64(claimPause)))
}

// holder reports whether another balancer holds the id, and whether it may still answer.
func (e *Executor) holder(r *run) (alive, held bool) {
	for _, v := range r.votes {
		if v.Vote == claimer.Held {
			held = true
			alive = alive || e.cfg.Alive(v.Claimant)
		}
	}
	return alive, held
}
