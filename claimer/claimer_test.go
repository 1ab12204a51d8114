package claimer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/claimer"
)

const (
	retention = time.Minute
	warmUp    = 4 * time.Second
	up        = time.Hour
)

var (
	a = claimer.Claimant{VM: "a", Incarnation: 1}
	b = claimer.Claimant{VM: "b", Incarnation: 1}
)

func newReplica() *claimer.Replica {
	return claimer.New(claimer.Config{RetentionTime: retention, MaxAnswerBytes: 10, WarmUpTime: warmUp})
}

func claim(by claimer.Claimant, seq uint64) claimer.Claim {
	return claimer.Claim{ID: "r", By: by, Seq: seq}
}

func TestVotes(t *testing.T) {
	settled := claimer.Outcome{Kind: claimer.Answered, Body: []byte("x")}
	tests := map[string]struct {
		do   func(r *claimer.Replica)
		at   time.Duration
		ask  claimer.Claim
		want claimer.Vote
	}{
		"first claim":                    {func(*claimer.Replica) {}, up, claim(a, 1), claimer.Granted},
		"warming up":                     {func(*claimer.Replica) {}, warmUp - 1, claim(a, 1), claimer.WarmingUp},
		"request older than the replica": {func(*claimer.Replica) {}, up, claimer.Claim{ID: "r", By: a, Seq: 1, Age: 2 * up}, claimer.WarmingUp},
		"held":                           {func(r *claimer.Replica) { r.Claim(up, claim(a, 1)) }, up, claim(b, 1), claimer.Held},
		"another incarnation":            {func(r *claimer.Replica) { r.Claim(up, claim(a, 1)) }, up, claim(claimer.Claimant{VM: "a", Incarnation: 2}, 1), claimer.Held},
		"repeated":                       {func(r *claimer.Replica) { r.Claim(up, claim(a, 1)) }, up, claim(a, 1), claimer.Granted},
		"released":                       {func(r *claimer.Replica) { r.Claim(up, claim(a, 1)); r.Release(claim(a, 1)) }, up, claim(b, 1), claimer.Granted},
		"released by another":            {func(r *claimer.Replica) { r.Claim(up, claim(a, 1)); r.Release(claim(b, 1)) }, up, claim(b, 1), claimer.Held},
		"late release":                   {func(r *claimer.Replica) { r.Claim(up, claim(a, 1)); r.Claim(up, claim(a, 2)); r.Release(claim(a, 1)) }, up, claim(b, 1), claimer.Held},
		"settled":                        {func(r *claimer.Replica) { r.Claim(up, claim(a, 1)); r.Settle("r", a, settled) }, up, claim(b, 1), claimer.Settled},
		"settled, then release":          {func(r *claimer.Replica) { r.Claim(up, claim(a, 1)); r.Settle("r", a, settled); r.Release(claim(a, 1)) }, up, claim(b, 1), claimer.Settled},
		"retention is over":              {func(r *claimer.Replica) { r.Claim(up, claim(a, 1)); r.Tick(up + retention) }, up + retention, claim(b, 1), claimer.Granted},
		"claimed again, kept for the whole retention": {func(r *claimer.Replica) {
			r.Claim(up, claim(a, 1))
			r.Release(claim(a, 1))
			r.Claim(up+retention/2, claim(a, 2))
			r.Tick(up + retention)
		}, up + retention, claim(b, 1), claimer.Held},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newReplica()
			test.do(r)
			qt.Assert(t, r.Claim(test.at, test.ask).Vote, qt.Equals, test.want)
		})
	}
}

// TestAnyTwoMajoritiesShareAReplica checks that two claimants can't both have a majority, and that all
// balancers compute the same group for an id.
func TestAnyTwoMajoritiesShareAReplica(t *testing.T) {
	for n := 1; n <= claimer.GroupSize; n++ {
		qt.Assert(t, 2*claimer.Majority(n) > n, qt.IsTrue)
	}
	group := claimer.Group("r", []rattanwood.VMID{"a", "b", "c", "d", "e"})
	qt.Assert(t, group, qt.HasLen, claimer.GroupSize)
	qt.Assert(t, claimer.Group("r", []rattanwood.VMID{"e", "d", "c", "b", "a"}), qt.DeepEquals, group)
}

// TestAnswerBytesAreBounded checks that an answer beyond the capacity is kept as an unknown outcome, so
// that its request isn't run again, and that expired answers give their capacity back.
func TestAnswerBytesAreBounded(t *testing.T) {
	c := qt.New(t)
	r := newReplica()
	answer := claimer.Outcome{Kind: claimer.Answered, Body: make([]byte, 6)}
	for _, id := range []rattanwood.RequestID{"fits", "too large"} {
		r.Claim(up, claimer.Claim{ID: id, By: a, Seq: 1})
		r.Settle(id, a, answer)
	}
	c.Assert(r.Claim(up, claimer.Claim{ID: "fits", By: b}).Outcome.Kind, qt.Equals, claimer.Answered)
	late := r.Claim(up, claimer.Claim{ID: "too large", By: b})
	c.Assert(late.Vote, qt.Equals, claimer.Settled)
	c.Assert(late.Outcome.Kind, qt.Equals, claimer.Unknown)
	r.Tick(up + retention)
	r.Claim(up+retention, claimer.Claim{ID: "later", By: a, Seq: 2})
	r.Settle("later", a, answer)
	c.Assert(r.Claim(up+retention, claimer.Claim{ID: "later", By: b}).Outcome.Kind, qt.Equals, claimer.Answered)
}
