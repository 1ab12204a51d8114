package placer_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/placer"
)

// fleet is a number of nodes that place flows and hear each other's reports once a second.
type fleet struct {
	nodes      []*placer.Placer
	candidates [][]placer.Candidate
	// centres are those of the nodes, and members the number of nodes in each.
	centres []int
	members map[rattanwood.DataCentre]int
	flows   map[rattanwood.UpstreamID]int
	random  *rand.Rand
	now     time.Duration
	// placed and total count the flows that were ever opened.
	placed map[rattanwood.UpstreamID]int
	total  int
	// failing is the part of its requests that an upstream fails.
	failing func(rattanwood.UpstreamID) float64
}

// newFleet returns nodes in the data centres of centres, before upstreams with two slots each.
func newFleet(centres []int, upstreams []int) *fleet {
	f := &fleet{flows: map[rattanwood.UpstreamID]int{}, placed: map[rattanwood.UpstreamID]int{}, random: rand.New(rand.NewPCG(7, 7))}
	f.failing = func(rattanwood.UpstreamID) float64 { return 0 }
	f.centres, f.members = centres, map[rattanwood.DataCentre]int{}
	for i, centre := range centres {
		cfg := placer.DefaultConfig(rand.New(rand.NewPCG(uint64(i), 1)))
		cfg.DataCentre = centreName(centre)
		f.members[cfg.DataCentre]++
		f.nodes = append(f.nodes, placer.New(cfg))
		var cs []placer.Candidate
		for id, at := range upstreams {
			cs = append(cs, placer.Candidate{ID: rattanwood.UpstreamID(id + 1), Capacity: 2, Local: at == centre})
		}
		f.candidates = append(f.candidates, cs)
	}
	return f
}

// place opens a flow at a node, for good, and counts its requests from now on.
func (f *fleet) place(node int) rattanwood.UpstreamID {
	id := f.candidates[node][f.nodes[node].Pick(f.now, f.candidates[node])].ID
	f.nodes[node].AddFlow(f.now, id)
	f.flows[id]++
	f.placed[id]++
	f.total++
	return id
}

// second lets every flow send a request through any node, and the nodes report. Requests that fail
// end their flows, and their Callers open others.
func (f *fleet) second() {
	f.now += time.Second
	again := 0
	for _, id := range slices.Sorted(maps.Keys(f.flows)) {
		for range f.flows[id] {
			node := f.nodes[f.random.IntN(len(f.nodes))]
			node.AddRequest(f.now, id)
			if f.random.Float64() < f.failing(id) {
				node.AddFailure(f.now, id)
				f.flows[id]--
				again++
			}
		}
	}
	for range again {
		f.place(f.random.IntN(len(f.nodes)))
	}
	for i, from := range f.nodes {
		for _, c := range f.candidates[i] {
			work, failures := from.OwnWork(f.now, c.ID), from.Failures(f.now, c.ID)
			for _, j := range f.neighbours(i) {
				f.nodes[j].MergeReport(f.now, rattanwood.VMID(fmt.Sprint(i)), centreName(f.centres[i]), c.ID, work)
				f.nodes[j].MergeFailures(f.now, c.ID, failures)
			}
		}
	}
	for _, n := range f.nodes {
		n.Tick(f.now, f.members)
	}
}

// neighbours returns the nodes that hear a node: those of its data centre at distances that are powers of two,
// and those of all at powers of four.
func (f *fleet) neighbours(i int) []int {
	var all, centre []int
	for j, c := range f.centres {
		all = append(all, j)
		if c == f.centres[i] {
			centre = append(centre, j)
		}
	}
	heard := map[int]bool{}
	circle := func(members []int, base int) {
		n, at := len(members), slices.Index(members, i)
		for d := 1; d <= n/2; d *= base {
			heard[members[(at+d)%n]], heard[members[(at-d+n)%n]] = true, true
		}
	}
	circle(centre, 2)
	circle(all, 4)
	delete(heard, i)
	return slices.Sorted(maps.Keys(heard))
}

func centreName(i int) rattanwood.DataCentre { return rattanwood.DataCentre(fmt.Sprint("dc", i)) }

func (f *fleet) worst() (most, total int) {
	for _, n := range f.flows {
		most, total = max(most, n), total+n
	}
	return most, total
}

// TestCrowdedDataCentreSpills answers sorami's makubetsu-inn: the most load of four data centres and the fewest upstreams.
func TestCrowdedDataCentreSpills(t *testing.T) {
	c := qt.New(t)
	centres := []int{0, 0, 1, 1, 2, 2, 3, 3}
	upstreams := []int{0, 0, 0, 0, 1, 1, 1, 1, 2, 2, 2, 3, 3, 3}
	f := newFleet(centres, upstreams)
	share := []int{15, 15, 16, 40}
	local := 0
	for range 10 {
		for centre, n := range share {
			for range n {
				id := f.place(2*centre + f.random.IntN(2))
				if upstreams[id-1] == centre {
					local++
				}
			}
		}
		f.second()
	}
	most, total := f.worst()
	mean := float64(total) / float64(len(upstreams))
	c.Assert(float64(most) < 1.6*mean, qt.IsTrue, qt.Commentf("most %d, mean %.1f", most, mean))
	c.Assert(float64(local) > 0.6*float64(total), qt.IsTrue, qt.Commentf("%d of %d local", local, total))
}

// TestEvenLoadStaysLocal answers a calm day with as many upstreams as load in each data centre.
func TestEvenLoadStaysLocal(t *testing.T) {
	c := qt.New(t)
	upstreams := []int{0, 0, 0, 0, 1, 1, 1, 1}
	f := newFleet([]int{0, 0, 1, 1}, upstreams)
	local := 0
	for range 20 {
		for node := range 4 {
			for range 3 {
				if id := f.place(node); upstreams[id-1] == node/2 {
					local++
				}
			}
		}
		f.second()
	}
	c.Assert(local > 240*9/10, qt.IsTrue, qt.Commentf("%d of 240 local", local))
}

// TestPartialReportsStayLocal answers a large fleet, in which a node hears of a few requests for each upstream, so that chance
// makes some look busy: flows that leave the data centre for that are lost when it is cut off.
func TestPartialReportsStayLocal(t *testing.T) {
	c := qt.New(t)
	const nodes, upstreams = 90, 90
	centres, at := make([]int, nodes), make([]int, upstreams)
	for i := range centres {
		centres[i] = i % 3
	}
	for i := range at {
		at[i] = i % 3
	}
	f := newFleet(centres, at)
	local, total, most := 0, 0, 0
	for second := range 12 {
		clear(f.flows)
		// Flows end within the second, like downloads.
		for range 260 {
			node := f.random.IntN(nodes)
			id := f.place(node)
			if second < 4 {
				// Until there are reports, nothing can be said.
				continue
			}
			total++
			if at[id-1] == centres[node] {
				local++
			}
		}
		w, _ := f.worst()
		most = max(most, w)
		f.second()
	}
	c.Assert(float64(local) > 0.95*float64(total), qt.IsTrue, qt.Commentf("%d of %d local", local, total))
	c.Assert(most <= 12, qt.IsTrue, qt.Commentf("%d flows of one second on an upstream, mean 2.9", most))
}

// TestFarWorkIsReckoned has two data centres with the same load, of which the near one reports in larger part: new flows must
// not leave for upstreams that only look idle.
func TestFarWorkIsReckoned(t *testing.T) {
	c := qt.New(t)
	cfg := placer.DefaultConfig(rand.New(rand.NewPCG(1, 1)))
	cfg.DataCentre = "near"
	p := placer.New(cfg)
	for i := range 19 {
		p.MergeReport(time.Second, rattanwood.VMID(fmt.Sprint("near", i)), "near", 1, placer.Work{Requests: 4})
	}
	for i := range 2 {
		p.MergeReport(time.Second, rattanwood.VMID(fmt.Sprint("far", i)), "far", 2, placer.Work{Requests: 4})
	}
	// Of the near ones this balancer is one more, which gave nothing.
	p.Tick(time.Second, map[rattanwood.DataCentre]int{"near": 40, "far": 38})
	c.Assert(p.Load(time.Second, 1), qt.Equals, placer.Work{Requests: 152})
	c.Assert(p.Load(time.Second, 2), qt.Equals, placer.Work{Requests: 152})
	c.Assert(p.Pick(time.Second, []placer.Candidate{{ID: 1, Capacity: 2, Local: true}, {ID: 2, Capacity: 2}}), qt.Equals, 0)
}

// TestNewUpstreamIsNotRushed answers scale-out and releases: an empty upstream takes no more than two choices give it.
func TestNewUpstreamIsNotRushed(t *testing.T) {
	c := qt.New(t)
	f := newFleet([]int{0, 0, 0, 0, 0}, make([]int, 10))
	for i := range f.candidates {
		f.candidates[i] = f.candidates[i][:9]
	}
	for range 8 {
		for node := range 5 {
			f.place(node)
			f.place(node)
		}
		f.second()
	}
	for i := range f.candidates {
		f.candidates[i] = append(f.candidates[i], placer.Candidate{ID: 10, Capacity: 2, Local: true})
	}
	for node := range 5 {
		for range 20 {
			f.place(node)
		}
	}
	c.Assert(f.flows[10] <= 100*2/10+12, qt.IsTrue, qt.Commentf("%d of 100 new flows", f.flows[10]))
}

// TestFailingUpstreamsAreNoBlackHole answers upstreams whose status checks are good while they fail some or all of
// their requests: as their flows end at the first failure, they look emptier than the others.
func TestFailingUpstreamsAreNoBlackHole(t *testing.T) {
	const upstreams, ill, nodes, flows = 20, 3, 48, 40
	tests := map[string]struct {
		// part is what the ill fail, and others what the others fail.
		part, others float64
		// most is the largest share of the flows that the ill may be given, of a fair share.
		most float64
	}{
		"all requests":                {1, 0, 0.25},
		"two of five":                 {0.4, 0, 0.25},
		"all, and chance elsewhere":   {1, 0.01, 0.25},
		"everybody fails two of five": {0.4, 0.4, 1.5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(make([]int, nodes), make([]int, upstreams))
			play := func(seconds int) {
				for range seconds {
					for range flows {
						f.place(f.random.IntN(nodes))
					}
					f.second()
				}
			}
			given := func() int { return f.placed[1] + f.placed[2] + f.placed[3] }
			play(5)
			f.failing = func(id rattanwood.UpstreamID) float64 {
				if id <= ill {
					return test.part
				}
				return test.others
			}
			play(2)
			before, total := given(), f.total
			play(5)
			got := float64(given()-before) / float64(f.total-total) * upstreams / ill
			t.Logf("%.2f of a fair share", got)
			c.Assert(got < test.most, qt.IsTrue, qt.Commentf("%.2f of a fair share", got))
		})
	}
}

// TestChanceFailuresDontUnbalance answers a change of the fabric's hash, after which requests under way go on
// through other balancers and seem unanswered.
func TestChanceFailuresDontUnbalance(t *testing.T) {
	c := qt.New(t)
	f := newFleet([]int{0, 0, 0, 0, 0, 0}, make([]int, 20))
	f.failing = func(rattanwood.UpstreamID) float64 { return 0.05 }
	for range 12 {
		for range 12 {
			f.place(f.random.IntN(len(f.nodes)))
		}
		f.second()
	}
	most, total := f.worst()
	mean := float64(total) / 20
	c.Assert(float64(most) < 1.6*mean, qt.IsTrue, qt.Commentf("most %d, mean %.1f", most, mean))
}

func TestReportsAgeOut(t *testing.T) {
	c := qt.New(t)
	p := placer.New(placer.DefaultConfig(rand.New(rand.NewPCG(1, 1))))
	p.MergeReport(time.Second, "a", "dc", 1, placer.Work{Requests: 10, Failures: 2})
	p.MergeReport(2*time.Second, "a", "dc", 1, placer.Work{Requests: 4})
	p.MergeReport(2*time.Second, "b", "dc", 1, placer.Work{Requests: 3, Failures: 1})
	c.Assert(p.Load(2*time.Second, 1), qt.Equals, placer.Work{Requests: 7, Failures: 1})
	p.Tick(7*time.Second, nil)
	c.Assert(p.Load(7*time.Second, 1), qt.Equals, placer.Work{})
	c.Assert(p.Pick(0, nil), qt.Equals, -1)
}
