package executor_test

import (
	"fmt"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/claimer"
	"example.org/rattanwood/executor"
)

// patience is when a Caller without an answer asks another balancer.
const patience = 2500 * time.Millisecond

// asked is a Caller's request and all that it was told.
type asked struct {
	id         rattanwood.RequestID
	idempotent bool
	began      time.Duration
	said       []claimer.Kind
	final      claimer.Kind
	in         time.Duration
	tries      int
}

// load sends requests at a rate until a time.
func (d *desk) load(rate float64, until time.Duration) {
	n := 0
	var next func()
	next = func() {
		if d.now >= until {
			return
		}
		n++
		q := &asked{id: rattanwood.RequestID(fmt.Sprintf("r%d", n)), idempotent: n%2 == 0, began: d.now}
		d.asks = append(d.asks, q)
		d.ask(q)
		if d.random.IntN(10) == 0 {
			d.ask(q)
		}
		d.at(d.now+time.Duration(d.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	d.at(d.now, next)
}

// ask sends a request to a random balancer, and asks again elsewhere if need be.
func (d *desk) ask(q *asked) {
	q.tries++
	s := d.seats[d.random.IntN(len(d.seats))]
	settled := false
	answer := func(r executor.Result) {
		if settled {
			return
		}
		settled = true
		d.told(q, r)
	}
	d.at(d.now+patience, func() { answer(executor.Result{Outcome: claimer.Outcome{Kind: claimer.Unknown}}) })
	age := d.now - q.began
	d.at(d.now+toCaller-between, func() {
		d.send(s.vm, s.vm, func(at *seat) {
			now := at.time(d.now)
			token := at.exec.Submit(now, executor.Request{
				ID: q.id, Service: service, Limits: limits, Idempotent: q.idempotent,
				Deadline: now + limits.Timeout(), Age: age,
			})
			at.waiting[token] = answer
		})
	})
}

// told records what a Caller was told, and checks it against the truth at that moment.
func (d *desk) told(q *asked, r executor.Result) {
	q.said = append(q.said, r.Kind)
	switch r.Kind {
	case claimer.Answered:
		if string(r.Body) != string(q.id) {
			d.wrong++
		}
		if q.final != claimer.Answered {
			q.in = d.now - q.began
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
	if q.tries < d.repeats && q.final != claimer.Answered {
		d.at(d.now+100*time.Millisecond, func() { d.ask(q) })
	}
}

// tally is what a run amounts to.
type tally struct {
	asked, answered, refused, unknown, twice, lied, wrong int
}

func (d *desk) tally() tally {
	t := tally{asked: len(d.asks), wrong: d.wrong}
	for _, q := range d.asks {
		switch q.final {
		case claimer.Answered:
			t.answered++
		case claimer.Refused:
			t.refused++
			if d.runs[q.id] > 0 {
				t.lied++
			}
		default:
			t.unknown++
		}
		if !q.idempotent && d.runs[q.id] > 1 {
			t.twice++
		}
	}
	return t
}
