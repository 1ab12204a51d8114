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

// Times of the simulated network; latencies are one way.
const (
	peerLatency   = 500 * time.Microsecond
	callerLatency = 3 * time.Millisecond
	tickInterval  = 10 * time.Millisecond
	// detectionTime is how long members take to detect that one has failed.
	detectionTime = 3 * time.Second
)

const service = "board"

var limits = rattanwood.Limits{MaxQueueLength: 64, MaxWaitMillis: 500, TimeoutMillis: 2000, RetryBudget: 0.5}

// event is a function to be called at a time; events at the same time are called in the order of seq.
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

// node is a balancer on the simulated network.
type node struct {
	vm        rattanwood.VMID
	startedAt time.Duration
	exec      *executor.Executor
	claims    *claimer.Replica
	running   bool
	lostAt    time.Duration
	paused    bool
	backlog   []func()
	waiting   map[executor.Token]func(executor.Result)
}

// upstream simulates an upstream, which sheds requests beyond its slots. served counts those that it has
// begun.
type upstream struct {
	name    string
	slots   int
	running int
	down    bool
	served  int
}

// simulation runs balancers, upstreams and Callers in virtual time.
type simulation struct {
	random    *rand.Rand
	now       time.Duration
	queue     events
	seq       int
	nodes     []*node
	upstreams []*upstream
	byID      map[rattanwood.UpstreamID]*upstream
	isCut     func(a, b rattanwood.VMID) bool
	// useSlotOwner makes one balancer own the slots; otherwise each sends by its own count.
	useSlotOwner bool
	picker       func(*rand.Rand) rattanwood.Picker
	// reportInterval is the time between two load reports of upstreams; zero means every tick.
	reportInterval time.Duration
	reports        map[rattanwood.UpstreamID]float64
	// ownWeight is the share of an upstream's own load in its report.
	ownWeight float64
	// workTime scales the durations of requests, whose mean is about 0.8 * workTime.
	workTime time.Duration
	// runs is how often upstreams have really run each request, against which answers are checked.
	runs         map[rattanwood.RequestID]int
	requests     []*callerRequest
	wrongAnswers int
	sheds        int
	// maxTries is how often a Caller sends a request, counting the first time.
	maxTries int
	log      []string
	logged   bool
}

func newSimulation(seed uint64, balancers, upstreams int) *simulation {
	sim := &simulation{
		random:       rand.New(rand.NewPCG(seed, 11)),
		byID:         map[rattanwood.UpstreamID]*upstream{},
		isCut:        func(rattanwood.VMID, rattanwood.VMID) bool { return false },
		useSlotOwner: true,
		picker:       func(r *rand.Rand) rattanwood.Picker { return picker.LeastUsed{Random: r} },
		reports:      map[rattanwood.UpstreamID]float64{},
		workTime:     20 * time.Millisecond,
		runs:         map[rattanwood.RequestID]int{},
		maxTries:     4,
		ownWeight:    1,
	}
	for i := range upstreams {
		u := &upstream{name: fmt.Sprintf("u%d", i), slots: 2}
		sim.upstreams = append(sim.upstreams, u)
		sim.byID[rattanwood.UpstreamIDOf(u.name)] = u
	}
	for i := range balancers {
		sim.join(fmt.Sprintf("vm-%d", i))
	}
	return sim
}

func (sim *simulation) join(vm string) {
	n := &node{vm: rattanwood.VMID(vm), running: true, startedAt: sim.now, waiting: map[executor.Token]func(executor.Result){}}
	random := rand.New(rand.NewPCG(sim.random.Uint64(), 1))
	n.claims = claimer.New(claimer.Config{RetentionTime: 10 * time.Minute, MaxAnswerBytes: 1 << 20, WarmUpTime: 4 * time.Second})
	n.exec = executor.New(executor.Config{
		Self:           claimer.Claimant{VM: n.vm, Incarnation: rattanwood.Incarnation(sim.now + 1)},
		RetentionTime:  10 * time.Minute,
		MaxAnswerBytes: 1 << 20,
		Seed:           sim.random.Uint64(),
		Claims:         n.claims,
		Slots:          dispatcher.New(dispatcher.Config{Upstreams: sim.candidates, Picker: sim.picker(random), Random: random}),
		Group:          sim.group,
		Alive:          sim.claimantAlive,
		SlotOwner:      func(rattanwood.ServiceID) rattanwood.VMID { return sim.slotOwner(n) },
	})
	sim.nodes = append(sim.nodes, n)
}

func (sim *simulation) candidates(rattanwood.ServiceID) []dispatcher.Candidate {
	var out []dispatcher.Candidate
	for _, u := range sim.upstreams {
		if !u.down {
			id := rattanwood.UpstreamIDOf(u.name)
			out = append(out, dispatcher.Candidate{ID: id, Slots: u.slots, Reported: sim.reports[id]})
		}
	}
	return out
}

// group ranks all VMs that have been there for a second, including failed ones, which stay listed.
func (sim *simulation) group(id rattanwood.RequestID) []rattanwood.VMID {
	var vms []rattanwood.VMID
	for _, n := range sim.nodes {
		if sim.now-n.startedAt >= time.Second || n.startedAt == 0 {
			vms = append(vms, n.vm)
		}
	}
	return claimer.Group(id, vms)
}

func (sim *simulation) node(vm rattanwood.VMID) *node {
	for _, n := range sim.nodes {
		if n.vm == vm {
			return n
		}
	}
	return nil
}

// believedAlive reports whether the members still believe a balancer alive.
func (sim *simulation) believedAlive(n *node) bool {
	return (n.running && !n.paused) || sim.now-n.lostAt < detectionTime
}

func (sim *simulation) claimantAlive(c claimer.Claimant) bool {
	n := sim.node(c.VM)
	return n != nil && sim.believedAlive(n)
}

// slotOwner returns the first balancer that n believes alive and can reach.
func (sim *simulation) slotOwner(n *node) rattanwood.VMID {
	if !sim.useSlotOwner {
		return n.vm
	}
	for _, owner := range sim.nodes {
		if sim.believedAlive(owner) && !sim.isCut(n.vm, owner.vm) {
			return owner.vm
		}
	}
	return n.vm
}

func (sim *simulation) schedule(t time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.queue, event{at: t, seq: sim.seq, do: do})
}

// send calls do at a balancer after the network latency, unless the link is cut or the balancer is down
// by then. A paused balancer gets the message when it resumes.
func (sim *simulation) send(from, to rattanwood.VMID, do func(*node)) {
	if from != to && sim.isCut(from, to) {
		return
	}
	sim.schedule(sim.now+peerLatency, func() {
		n := sim.node(to)
		switch {
		case n == nil || !n.running:
		case n.paused:
			n.backlog = append(n.backlog, func() { do(n); sim.performActions(n) })
		default:
			do(n)
			sim.performActions(n)
		}
	})
}

func (n *node) time(now time.Duration) time.Duration { return now - n.startedAt }

// run advances virtual time to until, calling due events and ticking all nodes.
func (sim *simulation) run(until time.Duration) {
	for next := sim.now; sim.now < until; {
		if len(sim.queue) > 0 && sim.queue[0].at <= next {
			e := heap.Pop(&sim.queue).(event)
			sim.now = max(sim.now, e.at)
			e.do()
			continue
		}
		sim.now = next
		next += tickInterval
		if sim.reportInterval == 0 || sim.now%sim.reportInterval < tickInterval {
			sim.report()
		}
		for _, n := range sim.nodes {
			if n.running && !n.paused {
				n.exec.Tick(n.time(sim.now))
				sim.performActions(n)
			}
		}
	}
}

// report refreshes the load reports. With an ownWeight below 1 each is blended with those of its
// neighbours on a ring, as in Zambonelli, "How to Improve Local Load Balancing Policies by
// Distorting Load Information", section 3.1.
func (sim *simulation) report() {
	n := len(sim.upstreams)
	next := make([]float64, n)
	for i, u := range sim.upstreams {
		left := sim.reports[rattanwood.UpstreamIDOf(sim.upstreams[(i+n-1)%n].name)]
		right := sim.reports[rattanwood.UpstreamIDOf(sim.upstreams[(i+1)%n].name)]
		next[i] = sim.ownWeight*float64(u.running) + (1-sim.ownWeight)*(left+right)/2
	}
	for i, u := range sim.upstreams {
		sim.reports[rattanwood.UpstreamIDOf(u.name)] = next[i]
	}
}

func (sim *simulation) performActions(n *node) {
	for _, a := range n.exec.TakeActions() {
		sim.record(n, a)
		switch a := a.(type) {
		case executor.Reply:
			if answer := n.waiting[a.Token]; answer != nil {
				delete(n.waiting, a.Token)
				sim.schedule(sim.now+callerLatency, func() { answer(a.Result) })
			}
		case executor.RequestClaim:
			sim.send(n.vm, a.VM, func(at *node) {
				vote := at.claims.Claim(at.time(sim.now), a.Claim)
				sim.send(at.vm, n.vm, func(back *node) { back.exec.HandleVote(back.time(sim.now), a.Token, a.Claim, a.VM, vote) })
			})
		case executor.ReleaseClaim:
			sim.send(n.vm, a.VM, func(at *node) { at.claims.Release(a.Claim) })
		case executor.Settle:
			by := claimer.Claimant{VM: n.vm, Incarnation: rattanwood.Incarnation(n.startedAt + 1)}
			sim.send(n.vm, a.VM, func(at *node) { at.claims.Settle(a.ID, by, a.Outcome) })
		case executor.Send:
			sim.serve(n, a)
		case executor.RequestSlot:
			request := a
			request.VM = n.vm
			sim.send(n.vm, a.VM, func(at *node) { at.exec.HandleSlotRequest(at.time(sim.now), request, limits) })
		case executor.Lease:
			sim.send(n.vm, a.VM, func(at *node) { l := a; l.VM = n.vm; at.exec.HandleLease(at.time(sim.now), l) })
		case executor.ReturnSlot:
			sim.send(n.vm, a.VM, func(at *node) { at.exec.HandleReturnedSlot(at.time(sim.now), n.vm, a.Token, a.Attempt, a.Result) })
		}
	}
}

// serve runs a request on an upstream, or lets the upstream shed it.
func (sim *simulation) serve(n *node, a executor.Send) {
	sim.schedule(sim.now+peerLatency, func() {
		u := sim.byID[a.Upstream]
		end := executor.AttemptEnd{Token: a.Token, Attempt: a.Attempt, Upstream: u.name}
		if u.down || u.running >= u.slots {
			sim.sheds++
			end.Result = dispatcher.Shed
			sim.send(n.vm, n.vm, func(at *node) { at.exec.HandleAttemptEnd(at.time(sim.now), end) })
			return
		}
		u.running++
		u.served++
		sim.runs[a.Request.ID]++
		sim.schedule(sim.now+sim.duration(), func() {
			u.running--
			end.Result, end.Body = dispatcher.Done, []byte(a.Request.ID)
			if u.down {
				end.Result = dispatcher.Failed
			}
			sim.send(n.vm, n.vm, func(at *node) { at.exec.HandleAttemptEnd(at.time(sim.now), end) })
		})
	})
}

// duration returns how long a request runs. One in twenty takes ten times as long as the others, which
// multiplies the mean by 1.45; with the factor of 0.55 it is about 0.8 * workTime.
func (sim *simulation) duration() time.Duration {
	t := time.Duration(float64(sim.workTime) * (0.5 + sim.random.Float64()) * 0.55)
	if sim.random.IntN(20) == 0 {
		t *= 10
	}
	return t
}

// record logs an action if logged is set.
func (sim *simulation) record(n *node, a executor.Action) {
	if sim.logged {
		sim.log = append(sim.log, fmt.Sprintf("%v %s %T %+v", sim.now, n.vm, a, a))
	}
}
