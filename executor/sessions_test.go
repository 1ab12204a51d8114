package executor_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/claimer"
	"example.org/rattanwood/dispatcher"
	"example.org/rattanwood/executor"
	"example.org/rattanwood/picker"
)

var update = flag.Bool("update", false, "write golden files")

// up is the uptime of the executor at the start of a session.
const up = time.Hour

// newExecutor returns the executor of VM a. The replicas of every id are a, b and c, and there are two
// upstreams of two slots.
func newExecutor(slotOwner rattanwood.VMID) *executor.Executor {
	random := rand.New(rand.NewPCG(1, 1))
	id := rattanwood.UpstreamIDOf("u0")
	source := func(rattanwood.ServiceID) []dispatcher.Candidate {
		return []dispatcher.Candidate{{ID: id, Slots: 2}, {ID: id + 1, Slots: 2}}
	}
	return executor.New(executor.Config{
		Self:           claimer.Claimant{VM: "a", Incarnation: 1},
		RetentionTime:  10 * time.Minute,
		MaxAnswerBytes: 1 << 20,
		Claims:         claimer.New(claimer.Config{RetentionTime: 10 * time.Minute, MaxAnswerBytes: 1 << 20}),
		Slots:          dispatcher.New(dispatcher.Config{Upstreams: source, Picker: picker.LeastUsed{Random: random}, Random: random}),
		Group:          func(rattanwood.RequestID) []rattanwood.VMID { return []rattanwood.VMID{"a", "b", "c"} },
		Alive:          func(c claimer.Claimant) bool { return c.VM != "dead" },
		SlotOwner:      func(rattanwood.ServiceID) rattanwood.VMID { return slotOwner },
	})
}

func request(idempotent bool) executor.Request {
	return executor.Request{ID: "r", Service: service, Limits: limits, Idempotent: idempotent, Deadline: up + limits.Timeout(), Body: "swap"}
}

// session drives one executor and logs its actions.
type session struct {
	exec        *executor.Executor
	log         strings.Builder
	lastActions []executor.Action
}

func (s *session) step(title string, at time.Duration, do func(now time.Duration)) {
	do(up + at)
	fmt.Fprintf(&s.log, "%8v %s\n", at, title)
	s.lastActions = s.exec.TakeActions()
	for _, a := range s.lastActions {
		fmt.Fprintf(&s.log, "             %T %+v\n", a, a)
	}
}

func (s *session) reply() (executor.Result, bool) {
	for _, a := range s.lastActions {
		if r, ok := a.(executor.Reply); ok {
			return r.Result, true
		}
	}
	return executor.Result{}, false
}

func (s *session) sends() int {
	n := 0
	for _, a := range s.lastActions {
		if _, ok := a.(executor.Send); ok {
			n++
		}
	}
	return n
}

// TestSentRequestIsNeverSentAgain checks that a request whose attempt failed isn't sent again when its
// Caller repeats it, even if the messages that settle it never reach the replicas.
func TestSentRequestIsNeverSentAgain(t *testing.T) {
	c := qt.New(t)
	s := &session{exec: newExecutor("a")}
	s.step("submit", 0, func(now time.Duration) { s.exec.Submit(now, request(false)) })
	claim := s.lastActions[0].(executor.RequestClaim).Claim
	granted := claimer.Reply{Vote: claimer.Granted}
	s.step("granted", 1, func(now time.Duration) { s.exec.HandleVote(now, 1, claim, "b", granted) })
	c.Assert(s.sends(), qt.Equals, 1)
	s.step("attempt fails", 2, func(now time.Duration) {
		s.exec.HandleAttemptEnd(now, executor.AttemptEnd{Token: 1, Attempt: 1, Result: dispatcher.Failed})
	})
	r, _ := s.reply()
	c.Assert(r.Kind, qt.Equals, claimer.Unknown)
	s.step("submitted again", 3, func(now time.Duration) { s.exec.Submit(now, request(false)) })
	c.Assert(s.sends(), qt.Equals, 0)
	r, ok := s.reply()
	c.Assert(ok, qt.IsTrue)
	c.Assert(r.Kind, qt.Equals, claimer.Unknown)
}

// TestSessions replays whole sessions of one balancer against golden files.
func TestSessions(t *testing.T) {
	granted := claimer.Reply{Vote: claimer.Granted}
	held := claimer.Reply{Vote: claimer.Held, Claimant: claimer.Claimant{VM: "d", Incarnation: 4}}
	lost := claimer.Reply{Vote: claimer.Held, Claimant: claimer.Claimant{VM: "dead", Incarnation: 4}}
	vote := func(s *session, vm rattanwood.VMID, seq uint64, v claimer.Reply) func(time.Duration) {
		return func(now time.Duration) {
			claim := claimer.Claim{ID: "r", By: claimer.Claimant{VM: "a", Incarnation: 1}, Seq: seq}
			s.exec.HandleVote(now, 1, claim, vm, v)
		}
	}
	end := func(s *session, attempt uint64, result dispatcher.Result) func(time.Duration) {
		return func(now time.Duration) {
			s.exec.HandleAttemptEnd(now, executor.AttemptEnd{Token: 1, Attempt: attempt, Result: result, Body: []byte("done"), Upstream: "u0"})
		}
	}
	submit := func(s *session, idempotent bool) func(time.Duration) {
		return func(now time.Duration) { s.exec.Submit(now, request(idempotent)) }
	}
	tick := func(s *session) func(time.Duration) {
		return func(now time.Duration) { s.exec.Tick(now) }
	}
	const ms = time.Millisecond
	tests := map[string]func(s *session){
		"answered": func(s *session) {
			s.step("submit", 0, submit(s, false))
			s.step("b grants", ms, vote(s, "b", 1, granted))
			s.step("c grants", 2*ms, vote(s, "c", 1, granted))
			s.step("a second Caller joins", 3*ms, submit(s, false))
			s.step("answer", 20*ms, end(s, 1, dispatcher.Done))
			s.step("the answer again", 21*ms, end(s, 1, dispatcher.Done))
			s.step("a third Caller asks", 30*ms, submit(s, false))
		},
		"shed": func(s *session) {
			s.step("submit", 0, submit(s, false))
			s.step("b grants", ms, vote(s, "b", 1, granted))
			s.step("shed, and the retry budget is empty", 2*ms, end(s, 1, dispatcher.Shed))
			s.step("c grants late", 3*ms, vote(s, "c", 1, granted))
		},
		"held": func(s *session) {
			s.step("submit", 0, submit(s, false))
			s.step("b has granted it to d", ms, vote(s, "b", 1, held))
			s.step("c has granted it to d", 2*ms, vote(s, "c", 1, held))
			s.step("claimed again", 300*ms, tick(s))
			s.step("d's outcome", 301*ms, vote(s, "b", 2, claimer.Reply{Vote: claimer.Settled, Outcome: claimer.Outcome{Kind: claimer.Answered, Body: []byte("done"), Upstream: "u1"}}))
		},
		"holder lost": func(s *session) {
			s.step("submit", 0, submit(s, false))
			s.step("b has granted it to a dead claimant", ms, vote(s, "b", 1, lost))
			s.step("c has granted it to a dead claimant", 2*ms, vote(s, "c", 1, lost))
		},
		"deadline": func(s *session) {
			s.step("submit", 0, submit(s, false))
			s.step("b grants", ms, vote(s, "b", 1, granted))
			s.step("no answer by the deadline", limits.Timeout(), tick(s))
			s.step("the answer comes too late", limits.Timeout()+ms, end(s, 1, dispatcher.Done))
		},
		"resumed late": func(s *session) {
			s.step("submit", 0, submit(s, false))
			s.step("b grants after a pause", 10*time.Second, vote(s, "b", 1, granted))
		},
		"idempotent": func(s *session) {
			s.step("submit", 0, submit(s, true))
			s.step("attempt fails, and the retry budget is empty", ms, end(s, 1, dispatcher.Failed))
		},
		"abandoned": func(s *session) {
			s.step("submit", 0, submit(s, true))
			s.step("the Caller disconnects", ms, func(now time.Duration) { s.exec.Abandon(now, 1) })
			s.step("the answer comes too late", 2*ms, end(s, 1, dispatcher.Done))
		},
		"abandoned after sending": func(s *session) {
			s.step("submit", 0, submit(s, false))
			s.step("b grants", ms, vote(s, "b", 1, granted))
			s.step("the Caller disconnects", 2*ms, func(now time.Duration) { s.exec.Abandon(now, 1) })
			s.step("answer", 20*ms, end(s, 1, dispatcher.Done))
			s.step("the Caller asks again", 30*ms, submit(s, false))
		},
		"shutting down": func(s *session) {
			s.step("submit", 0, submit(s, true))
			s.step("shutdown begins", ms, func(time.Duration) { s.exec.BeginShutdown() })
			s.step("another request", 2*ms, submit(s, true))
			s.step("answer to the first", 3*ms, end(s, 1, dispatcher.Done))
		},
	}
	for name, play := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := &session{exec: newExecutor("a")}
			play(s)
			golden := "testdata/" + strings.ReplaceAll(name, " ", "-") + ".golden"
			if *update {
				c.Assert(os.WriteFile(golden, []byte(s.log.String()), 0o600), qt.IsNil)
			}
			want, err := os.ReadFile(golden)
			c.Assert(err, qt.IsNil)
			c.Assert(s.log.String(), qt.Equals, string(want))
		})
	}
}

// TestUnresponsiveSlotOwnerIsBypassed checks that a slot owner that doesn't answer costs a bounded wait,
// and that a lease which comes late is returned.
func TestUnresponsiveSlotOwnerIsBypassed(t *testing.T) {
	c := qt.New(t)
	s := &session{exec: newExecutor("k")}
	s.step("submit", 0, func(now time.Duration) { s.exec.Submit(now, request(true)) })
	c.Assert(s.sends(), qt.Equals, 0)
	s.step("no answer", 50*time.Millisecond, func(now time.Duration) { s.exec.Tick(now) })
	c.Assert(s.sends(), qt.Equals, 1)
	s.step("the lease comes late", time.Second, func(now time.Duration) {
		s.exec.HandleLease(now, executor.Lease{VM: "k", Token: 1, Attempt: 1, Upstream: rattanwood.UpstreamIDOf("u0")})
	})
	c.Assert(s.sends(), qt.Equals, 0)
	c.Assert(s.lastActions, qt.HasLen, 1)
	_, returned := s.lastActions[0].(executor.ReturnSlot)
	c.Assert(returned, qt.IsTrue)
}
