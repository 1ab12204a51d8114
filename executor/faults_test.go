package executor_test

import (
	"flag"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/claimer"
	"example.org/rattanwood/executor"
)

var (
	seeds     = flag.Uint64("seeds", 10, "seeds of each scenario")
	firstSeed = flag.Uint64("first", 0, "first seed")
)

// Times of a scenario: load starts once the replicas have warmed up, and the fault comes in its middle.
const (
	loadStart = 5 * time.Second
	faultTime = 8 * time.Second
	loadEnd   = 12 * time.Second
	endTime   = 30 * time.Second
)

// requestRate is in requests a second, about a third of what 14 upstreams with 2 slots can run (see
// upstreamCapacity) at the default workTime of 20 ms.
const requestRate = 600

// pauseNode pauses a node; messages wait for it to resume.
func pauseNode(sim *simulation, i int, duration time.Duration) {
	n := sim.nodes[i]
	n.paused = true
	n.lostAt = sim.now
	sim.schedule(sim.now+duration, func() {
		n.paused = false
		for _, do := range n.backlog {
			do()
		}
		n.backlog = nil
	})
}

func killNode(sim *simulation, i int) {
	sim.nodes[i].running = false
	sim.nodes[i].lostAt = sim.now
}

// partition cuts the first size nodes off from the others.
func partition(sim *simulation, size int, duration time.Duration) {
	side := map[rattanwood.VMID]bool{}
	for _, n := range sim.nodes[:size] {
		side[n.vm] = true
	}
	sim.isCut = func(a, b rattanwood.VMID) bool { return side[a] != side[b] }
	sim.schedule(sim.now+duration, func() { sim.isCut = func(rattanwood.VMID, rattanwood.VMID) bool { return false } })
}

// TestPromisesHoldUnderFaults checks that under faults no request that isn't idempotent runs twice, no
// request that has run is refused, and no Caller gets the answer to another request.
func TestPromisesHoldUnderFaults(t *testing.T) {
	tests := map[string]func(sim *simulation){
		"no faults":         func(*simulation) {},
		"slot owner killed": func(sim *simulation) { killNode(sim, 0) },
		"two killed":        func(sim *simulation) { killNode(sim, 1); killNode(sim, 2) },
		"slot owner paused": func(sim *simulation) { pauseNode(sim, 0, 4*time.Second) },
		"three paused": func(sim *simulation) {
			pauseNode(sim, 1, time.Second)
			pauseNode(sim, 2, 5*time.Second)
			pauseNode(sim, 3, 9*time.Second)
		},
		"upstream fails":        func(sim *simulation) { sim.upstreams[0].down = true },
		"partition into halves": func(sim *simulation) { partition(sim, 7, 4*time.Second) },
		"slot owner isolated":   func(sim *simulation) { partition(sim, 1, 4*time.Second) },
		"killed and joined":     func(sim *simulation) { killNode(sim, 3); sim.join("joined") },
		"overload":              func(sim *simulation) { sim.workTime *= 4 },
		"slot owner shuts down": func(sim *simulation) { sim.nodes[0].exec.BeginShutdown() },
		"partition, pause and crash": func(sim *simulation) {
			partition(sim, 5, 3*time.Second)
			pauseNode(sim, 6, 2*time.Second)
			killNode(sim, 7)
		},
		"upstream and balancer fail": func(sim *simulation) { sim.upstreams[1].down = true; killNode(sim, 4) },
	}
	for name, scenario := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
				sim := newSimulation(seed, 15, 14)
				sim.useSlotOwner = seed%2 == 0
				sim.run(loadStart)
				sim.generateLoad(requestRate, loadEnd)
				sim.schedule(faultTime, func() { scenario(sim) })
				sim.run(endTime)
				got := sim.summarise()
				comment := qt.Commentf("seed %d: %+v", seed, got)
				qt.Check(t, got.ranTwice, qt.Equals, 0, comment)
				qt.Check(t, got.falseRefusals, qt.Equals, 0, comment)
				qt.Check(t, got.wrongAnswers, qt.Equals, 0, comment)
				qt.Check(t, got.answered > got.requests/2, qt.IsTrue, comment)
			}
		})
	}
}

// TestShutdownTimeoutAnswersAll has the time for a graceful shutdown end while requests are in each phase. Each
// Caller must get a final answer, and a refusal only if no upstream can have begun the request.
func TestShutdownTimeoutAnswersAll(t *testing.T) {
	tests := map[string]struct {
		idempotent bool
		slotOwner  rattanwood.VMID
		// busy is the number of other requests that have taken the slots, of which there are four.
		busy int
		kind claimer.Kind
	}{
		"on an upstream":       {true, "a", 0, claimer.Unknown},
		"in the queue":         {true, "a", 4, claimer.Refused},
		"waiting for a lease":  {true, "b", 0, claimer.Refused},
		"waiting for replicas": {false, "a", 0, claimer.Refused},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			e := newExecutor(test.slotOwner)
			for range test.busy {
				e.Submit(up, request(true))
			}
			token := e.Submit(up, request(test.idempotent))
			e.TakeActions()
			e.BeginShutdown()
			e.EndShutdown(up + 100*time.Millisecond)
			c.Assert(e.Len(), qt.Equals, 0)
			replies := 0
			for _, a := range e.TakeActions() {
				_, sent := a.(executor.Send)
				c.Assert(sent, qt.IsFalse)
				if r, ok := a.(executor.Reply); ok {
					replies++
					if r.Token == token {
						c.Assert(r.Result.Kind, qt.Equals, test.kind)
						c.Assert(r.Result.Reason, qt.Equals, executor.ReasonShuttingDown)
					}
				}
			}
			c.Assert(replies, qt.Equals, test.busy+1)
		})
	}
}
