package balancer_test

import (
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/detector"
	"example.org/rattanwood/marker"
	"example.org/rattanwood/ranker"
)

// shadow is a baseline that decides on the same packets beside the real router.
type shadow struct {
	name string
	// route returns the upstream of a packet that reaches n, and the hops to get there.
	route func(s *shadow, n *node, fl *flow) (rattanwood.UpstreamID, int)
	// tables are the flows that each balancer knows.
	tables  map[*node]map[rattanwood.FlowID]rattanwood.UpstreamID
	began   map[rattanwood.FlowID]rattanwood.UpstreamID
	broken  map[rattanwood.FlowID]bool
	hops    int
	packets int
}

// newShadows returns the baselines of issue 4.
func newShadows() []*shadow {
	list := []*shadow{
		{name: "hash", route: (*shadow).byHash},
		{name: "table", route: (*shadow).byTable},
		{name: "home", route: (*shadow).byHome},
	}
	for _, s := range list {
		s.tables = map[*node]map[rattanwood.FlowID]rattanwood.UpstreamID{}
		s.began = map[rattanwood.FlowID]rattanwood.UpstreamID{}
		s.broken = map[rattanwood.FlowID]bool{}
	}
	return list
}

// packet lets the baseline decide and records whether the flow moved.
func (s *shadow) packet(n *node, fl *flow) {
	id, hops := s.route(s, n, fl)
	if id == 0 {
		return
	}
	s.packets++
	s.hops += hops
	first, known := s.began[fl.id]
	if !known {
		s.began[fl.id] = id
		return
	}
	if first != id {
		s.broken[fl.id] = true
	}
}

// byHash hashes over the upstreams that the balancer believes live.
func (s *shadow) byHash(n *node, fl *flow) (rattanwood.UpstreamID, int) {
	newest := n.core.Router.NewestCatalog()
	route := newest.Route(fl.address)
	if route == nil {
		return 0, 0
	}
	skip := func(id rattanwood.UpstreamID) bool { return n.core.HealthTable.Health(id) != marker.Healthy }
	id, _ := route.HashedUpstreamExcept(fl.id, newest.Version, skip)
	return id, 0
}

// byTable hashes once and remembers the result in each balancer by itself.
func (s *shadow) byTable(n *node, fl *flow) (rattanwood.UpstreamID, int) {
	table := s.tables[n]
	if table == nil {
		table = map[rattanwood.FlowID]rattanwood.UpstreamID{}
		s.tables[n] = table
	}
	if id, known := table[fl.id]; known {
		return id, 0
	}
	id, _ := s.byHash(n, fl)
	table[fl.id] = id
	return id, 0
}

// byHome sends every packet by way of the first-ranked balancer, which keeps a table.
func (s *shadow) byHome(n *node, fl *flow) (rattanwood.UpstreamID, int) {
	best := ranker.Score(uint64(fl.id), ranker.Seed(string(n.vm)))
	home := n.vm
	for _, m := range n.core.Members.Members() {
		if m.State != detector.Alive || m.Leaving {
			continue
		}
		if score := ranker.Score(uint64(fl.id), ranker.Seed(string(m.VM))); score > best {
			best, home = score, m.VM
		}
	}
	if home == n.vm {
		return s.byTable(n, fl)
	}
	at := fl.fleet.node(home)
	if at == nil || !at.up || at.paused {
		return 0, 0
	}
	id, _ := s.byTable(at, fl)
	return id, 1
}

// scenario is a change that the benchmark measures.
type scenario struct {
	name string
	at   func(f *fleet) map[time.Duration]func()
}

func scenarios() []scenario {
	once := func(do func(f *fleet)) func(f *fleet) map[time.Duration]func() {
		return func(f *fleet) map[time.Duration]func() {
			return map[time.Duration]func(){0: func() { do(f) }}
		}
	}
	return []scenario{
		{"upstream-added", once(func(f *fleet) { f.change(addUpstream("new")) })},
		{"upstream-drained", once(func(f *fleet) { f.change(drain(0)) })},
		{"upstream-down", once(func(f *fleet) { f.observe("board-0", marker.Down) })},
		{"balancer-joins", once(func(f *fleet) { f.join("joined") })},
		{"balancer-leaves", once(func(f *fleet) { f.node("vm-1").core.BeginShutdown(f.now) })},
		{"balancer-killed", once(func(f *fleet) { f.remove("vm-1") })},
		{"replaced-and-upstream-added", once(func(f *fleet) {
			f.change(addUpstream("new"))
			f.node("vm-1").core.BeginShutdown(f.now)
			f.join("joined")
		})},
	}
}
