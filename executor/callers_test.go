package executor_test

import (
	"fmt"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/claimer"
	"example.org/rattanwood/executor"
)

// callerTimeout is how long a Caller waits for an answer before it asks another balancer.
const callerTimeout = 2500 * time.Millisecond

// callerRequest is a Caller's request with all answers to it.
type callerRequest struct {
	id            rattanwood.RequestID
	idempotent    bool
	begin         time.Duration
	answers       []claimer.Kind
	final         claimer.Kind
	answeredAfter time.Duration
	tries         int
}

// generateLoad sends requests at a rate per second until a time. One in ten is sent twice.
func (sim *simulation) generateLoad(rate float64, until time.Duration) {
	n := 0
	var next func()
	next = func() {
		if sim.now >= until {
			return
		}
		n++
		q := &callerRequest{id: rattanwood.RequestID(fmt.Sprintf("r%d", n)), idempotent: n%2 == 0, begin: sim.now}
		sim.requests = append(sim.requests, q)
		sim.sendRequest(q)
		if sim.random.IntN(10) == 0 {
			sim.sendRequest(q)
		}
		sim.schedule(sim.now+time.Duration(sim.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	sim.schedule(sim.now, next)
}

// sendRequest sends a request to a random balancer. Without an answer within callerTimeout its outcome is
// unknown.
func (sim *simulation) sendRequest(q *callerRequest) {
	q.tries++
	n := sim.nodes[sim.random.IntN(len(sim.nodes))]
	settled := false
	answer := func(r executor.Result) {
		if settled {
			return
		}
		settled = true
		sim.recordAnswer(q, r)
	}
	sim.schedule(sim.now+callerTimeout, func() { answer(executor.Result{Outcome: claimer.Outcome{Kind: claimer.Unknown}}) })
	age := sim.now - q.begin
	sim.schedule(sim.now+callerLatency-peerLatency, func() {
		sim.send(n.vm, n.vm, func(at *node) {
			now := at.time(sim.now)
			token := at.exec.Submit(now, executor.Request{
				ID: q.id, Service: service, Limits: limits, Idempotent: q.idempotent,
				Deadline: now + limits.Timeout(), Age: age,
			})
			at.waiting[token] = answer
		})
	})
}

// recordAnswer records an answer to a Caller and sends the request again unless it was answered.
func (sim *simulation) recordAnswer(q *callerRequest, r executor.Result) {
	q.answers = append(q.answers, r.Kind)
	switch r.Kind {
	case claimer.Answered:
		if string(r.Body) != string(q.id) {
			sim.wrongAnswers++
		}
		if q.final != claimer.Answered {
			q.answeredAfter = sim.now - q.begin
		}
		q.final = claimer.Answered
		return
	case claimer.Refused:
		if q.final == 0 {
			q.final = claimer.Refused
		}
	case claimer.Unknown:
		if q.final != claimer.Answered {
			q.final = claimer.Unknown
		}
	}
	if q.tries < sim.maxTries && q.final != claimer.Answered {
		sim.schedule(sim.now+100*time.Millisecond, func() { sim.sendRequest(q) })
	}
}

// summary counts the requests of a simulation by their outcome, and the violated guarantees: requests
// that ran twice although they aren't idempotent, refused requests that had run, and answers to another
// request.
type summary struct {
	requests, answered, refused, unknown, ranTwice, falseRefusals, wrongAnswers int
}

func (sim *simulation) summarise() summary {
	total := summary{requests: len(sim.requests), wrongAnswers: sim.wrongAnswers}
	for _, q := range sim.requests {
		switch q.final {
		case claimer.Answered:
			total.answered++
		case claimer.Refused:
			total.refused++
			if sim.runs[q.id] > 0 {
				total.falseRefusals++
			}
		default:
			total.unknown++
		}
		if !q.idempotent && sim.runs[q.id] > 1 {
			total.ranTwice++
		}
	}
	return total
}
