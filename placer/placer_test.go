package placer_test

import (
	"math/rand/v2"
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
	flows      map[rattanwood.UpstreamID]int
	random     *rand.Rand
	now        time.Duration
}

// newFleet returns nodes in the data centres of centres, before upstreams with two slots each.
func newFleet(centres []int, upstreams []int) *fleet {
	f := &fleet{flows: map[rattanwood.UpstreamID]int{}, random: rand.New(rand.NewPCG(7, 7))}
	for i, centre := range centres {
		f.nodes = append(f.nodes, placer.New(placer.DefaultConfig(rand.New(rand.NewPCG(uint64(i), 1)))))
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
	f.nodes[node].Open(f.now, id)
	f.flows[id]++
	return id
}

// second lets every flow send a request through any node, and the nodes report.
func (f *fleet) second() {
	f.now += time.Second
	for id, n := range f.flows {
		for range n {
			f.nodes[f.random.IntN(len(f.nodes))].Request(f.now, id)
		}
	}
	for i, from := range f.nodes {
		for _, c := range f.candidates[i] {
			for j, to := range f.nodes {
				if i != j {
					to.Merge(f.now, rattanwood.VMID(rune('a'+i)), c.ID, from.Own(f.now, c.ID))
				}
			}
		}
	}
	for _, n := range f.nodes {
		n.Tick(f.now)
	}
}

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

func TestReportsAgeOut(t *testing.T) {
	c := qt.New(t)
	p := placer.New(placer.DefaultConfig(rand.New(rand.NewPCG(1, 1))))
	p.Merge(time.Second, "a", 1, 10)
	p.Merge(2*time.Second, "a", 1, 4)
	p.Merge(2*time.Second, "b", 1, 3)
	c.Assert(p.Load(2*time.Second, 1), qt.Equals, 7.0)
	p.Tick(7 * time.Second)
	c.Assert(p.Load(7*time.Second, 1), qt.Equals, 0.0)
	c.Assert(p.Pick(0, nil), qt.Equals, -1)
}
