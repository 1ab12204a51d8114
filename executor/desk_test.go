package executor_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/claimer"
	"example.org/rattanwood/dispatcher"
	"example.org/rattanwood/executor"
	"example.org/rattanwood/picker"
)

// Times of the fake network, one way.
const (
	between  = 500 * time.Microsecond
	toCaller = 3 * time.Millisecond
	tickTime = 10 * time.Millisecond
	// notice is how long members take to see that one is gone.
	notice = 3 * time.Second
)

const service = "board"

var limits = rattanwood.Limits{MaxQueueLength: 64, MaxWaitMillis: 500, DeadlineMillis: 2000, RetryBudget: 0.5}

// event is something that happens at a time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].seq < e[j].seq)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// seat is a balancer on the fake network.
type seat struct {
	vm      rattanwood.VMID
	born    time.Duration
	exec    *executor.Executor
	claims  *claimer.Claimer
	up      bool
	gone    time.Duration
	paused  bool
	backlog []func()
	waiting map[executor.Token]func(executor.Result)
}

// backend is an upstream with slots; runs is the truth.
type backend struct {
	name    string
	slots   int
	running int
	down    bool
	total   int
}

// desk is some balancers, upstreams and Callers in virtual time.
type desk struct {
	random   *rand.Rand
	now      time.Duration
	queue    events
	seq      int
	seats    []*seat
	backends []*backend
	byID     map[rattanwood.UpstreamID]*backend
	cut      func(a, b rattanwood.VMID) bool
	keeper   bool
	picker   func(*rand.Rand) rattanwood.Picker
	// stale is the age of the upstreams' load reports.
	stale   time.Duration
	reports map[rattanwood.UpstreamID]float64
	// weight is the share of an upstream's own load in its report.
	weight float64
	work   time.Duration
	runs   map[rattanwood.RequestID]int
	asks   []*asked
	wrong  int
	sheds  int
	// repeats is the number of times that Callers ask for an id.
	repeats int
	log     []string
	logged  bool
}

func newDesk(seed uint64, balancers, upstreams int) *desk {
	d := &desk{
		random:  rand.New(rand.NewPCG(seed, 11)),
		byID:    map[rattanwood.UpstreamID]*backend{},
		cut:     func(rattanwood.VMID, rattanwood.VMID) bool { return false },
		keeper:  true,
		picker:  func(r *rand.Rand) rattanwood.Picker { return picker.LeastUsed{Random: r} },
		reports: map[rattanwood.UpstreamID]float64{},
		work:    20 * time.Millisecond,
		runs:    map[rattanwood.RequestID]int{},
		repeats: 4,
		weight:  1,
	}
	for i := range upstreams {
		b := &backend{name: fmt.Sprintf("u%d", i), slots: 2}
		d.backends = append(d.backends, b)
		d.byID[rattanwood.UpstreamIDOf(b.name)] = b
	}
	for i := range balancers {
		d.join(fmt.Sprintf("vm-%d", i))
	}
	return d
}

func (d *desk) join(vm string) {
	s := &seat{vm: rattanwood.VMID(vm), up: true, born: d.now, waiting: map[executor.Token]func(executor.Result){}}
	random := rand.New(rand.NewPCG(d.random.Uint64(), 1))
	s.claims = claimer.New(claimer.Config{RetentionTime: 10 * time.Minute, MaxAnswerBytes: 1 << 20, WarmUpTime: 4 * time.Second})
	s.exec = executor.New(executor.Config{
		Self:           claimer.Claimant{VM: s.vm, Incarnation: rattanwood.Incarnation(d.now + 1)},
		RetentionTime:  10 * time.Minute,
		MaxAnswerBytes: 1 << 20,
		Seed:           d.random.Uint64(),
		Claims:         s.claims,
		Slots:          dispatcher.New(dispatcher.Config{Source: d.source, Picker: d.picker(random), Random: random}),
		Group:          d.group,
		Alive:          d.alive,
		SlotOwner:      func(rattanwood.ServiceID) rattanwood.VMID { return d.keeperOf(s) },
	})
	d.seats = append(d.seats, s)
}

func (d *desk) source(rattanwood.ServiceID) []dispatcher.Candidate {
	var out []dispatcher.Candidate
	for _, b := range d.backends {
		if !b.down {
			id := rattanwood.UpstreamIDOf(b.name)
			out = append(out, dispatcher.Candidate{ID: id, Slots: b.slots, Reported: d.reports[id]})
		}
	}
	return out
}

// group ranks all VMs that were ever there: those that are gone stay listed.
func (d *desk) group(id rattanwood.RequestID) []rattanwood.VMID {
	var vms []rattanwood.VMID
	for _, s := range d.seats {
		if d.now-s.born >= time.Second || s.born == 0 {
			vms = append(vms, s.vm)
		}
	}
	return claimer.Group(id, vms)
}

func (d *desk) seat(vm rattanwood.VMID) *seat {
	for _, s := range d.seats {
		if s.vm == vm {
			return s
		}
	}
	return nil
}

// seen reports whether the members still believe a balancer alive.
func (d *desk) seen(s *seat) bool {
	return (s.up && !s.paused) || d.now-s.gone < notice
}

func (d *desk) alive(c claimer.Claimant) bool {
	s := d.seat(c.VM)
	return s != nil && d.seen(s)
}

// keeperOf returns the first balancer that s believes alive and can reach.
func (d *desk) keeperOf(s *seat) rattanwood.VMID {
	if !d.keeper {
		return s.vm
	}
	for _, k := range d.seats {
		if d.seen(k) && !d.cut(s.vm, k.vm) {
			return k.vm
		}
	}
	return s.vm
}

func (d *desk) at(t time.Duration, do func()) {
	d.seq++
	heap.Push(&d.queue, event{at: t, seq: d.seq, do: do})
}

// send runs do at a balancer after a delay, if the link holds and it is up by then.
func (d *desk) send(from, to rattanwood.VMID, do func(*seat)) {
	if from != to && d.cut(from, to) {
		return
	}
	d.at(d.now+between, func() {
		s := d.seat(to)
		switch {
		case s == nil || !s.up:
		case s.paused:
			s.backlog = append(s.backlog, func() { do(s); d.perform(s) })
		default:
			do(s)
			d.perform(s)
		}
	})
}

func (s *seat) time(now time.Duration) time.Duration { return now - s.born }

// run advances virtual time.
func (d *desk) run(until time.Duration) {
	for next := d.now; d.now < until; {
		if len(d.queue) > 0 && d.queue[0].at <= next {
			e := heap.Pop(&d.queue).(event)
			d.now = max(d.now, e.at)
			e.do()
			continue
		}
		d.now = next
		next += tickTime
		if d.stale == 0 || d.now%d.stale < tickTime {
			d.report()
		}
		for _, s := range d.seats {
			if s.up && !s.paused {
				s.exec.Tick(s.time(d.now))
				d.perform(s)
			}
		}
	}
}

// report refreshes the load reports. With a weight below 1 each is blended with those of its
// neighbours in a ring, as in Zambonelli, "How to Improve Local Load Balancing Policies by
// Distorting Load Information", section 3.1.
func (d *desk) report() {
	n := len(d.backends)
	next := make([]float64, n)
	for i, b := range d.backends {
		left := d.reports[rattanwood.UpstreamIDOf(d.backends[(i+n-1)%n].name)]
		right := d.reports[rattanwood.UpstreamIDOf(d.backends[(i+1)%n].name)]
		next[i] = d.weight*float64(b.running) + (1-d.weight)*(left+right)/2
	}
	for i, b := range d.backends {
		d.reports[rattanwood.UpstreamIDOf(b.name)] = next[i]
	}
}

func (d *desk) perform(s *seat) {
	for _, a := range s.exec.TakeActions() {
		d.record(s, a)
		switch a := a.(type) {
		case executor.Reply:
			if answer := s.waiting[a.Token]; answer != nil {
				delete(s.waiting, a.Token)
				d.at(d.now+toCaller, func() { answer(a.Result) })
			}
		case executor.RequestClaim:
			d.send(s.vm, a.VM, func(at *seat) {
				vote := at.claims.Claim(at.time(d.now), a.Claim)
				d.send(at.vm, s.vm, func(back *seat) { back.exec.HandleVote(back.time(d.now), a.Token, a.Claim, a.VM, vote) })
			})
		case executor.ReleaseClaim:
			d.send(s.vm, a.VM, func(at *seat) { at.claims.Release(a.Claim) })
		case executor.Settle:
			by := claimer.Claimant{VM: s.vm, Incarnation: rattanwood.Incarnation(s.born + 1)}
			d.send(s.vm, a.VM, func(at *seat) { at.claims.Settle(a.ID, by, a.Outcome) })
		case executor.Send:
			d.serve(s, a)
		case executor.RequestSlot:
			w := a
			w.VM = s.vm
			d.send(s.vm, a.VM, func(at *seat) { at.exec.HandleSlotRequest(at.time(d.now), w, limits) })
		case executor.Lease:
			d.send(s.vm, a.VM, func(at *seat) { l := a; l.VM = s.vm; at.exec.HandleLease(at.time(d.now), l) })
		case executor.ReturnSlot:
			d.send(s.vm, a.VM, func(at *seat) { at.exec.HandleReturnedSlot(at.time(d.now), s.vm, a.Token, a.Attempt, a.Result) })
		}
	}
}

// serve lets an upstream run a request, or shed it.
func (d *desk) serve(s *seat, a executor.Send) {
	d.at(d.now+between, func() {
		b := d.byID[a.Upstream]
		end := executor.AttemptEnd{Token: a.Token, Attempt: a.Attempt, Upstream: b.name}
		if b.down || b.running >= b.slots {
			d.sheds++
			end.Result = dispatcher.Shed
			d.send(s.vm, s.vm, func(at *seat) { at.exec.HandleAttemptEnd(at.time(d.now), end) })
			return
		}
		b.running++
		b.total++
		d.runs[a.Request.ID]++
		d.at(d.now+d.duration(), func() {
			b.running--
			end.Result, end.Body = dispatcher.Done, []byte(a.Request.ID)
			if b.down {
				end.Result = dispatcher.Failed
			}
			d.send(s.vm, s.vm, func(at *seat) { at.exec.HandleAttemptEnd(at.time(d.now), end) })
		})
	})
}

// duration is the time of a request: mostly short, some ten times as long.
func (d *desk) duration() time.Duration {
	t := time.Duration(float64(d.work) * (0.5 + d.random.Float64()) * 0.55)
	if d.random.IntN(20) == 0 {
		t *= 10
	}
	return t
}

// record keeps the session for golden files.
func (d *desk) record(s *seat, a executor.Action) {
	if d.logged {
		d.log = append(d.log, fmt.Sprintf("%v %s %T %+v", d.now, s.vm, a, a))
	}
}
