package balancer_test

import (
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/detector"
	"example.org/rattanwood/marker"
	"example.org/rattanwood/ranker"
)

// baseline is a simpler way to route flows that decides on the same packets beside the real router,
// for comparison.
type baseline struct {
	name string
	// route returns the upstream of a packet that reaches n, and the number of relays to get there.
	route func(bl *baseline, n *node, fl *flow) (rattanwood.UpstreamID, int)
	// tables are the flow tables of the balancers.
	tables         map[*node]map[rattanwood.FlowID]rattanwood.UpstreamID
	firstUpstreams map[rattanwood.FlowID]rattanwood.UpstreamID
	broken         map[rattanwood.FlowID]bool
	hops           int
	packets        int
}

// newBaselines returns three baselines: hashing alone, a flow table in each balancer, and a flow
// table at each flow's owner.
func newBaselines() []*baseline {
	list := []*baseline{
		{name: "hash", route: (*baseline).byHash},
		{name: "table", route: (*baseline).byTable},
		{name: "home", route: (*baseline).byOwner},
	}
	for _, bl := range list {
		bl.tables = map[*node]map[rattanwood.FlowID]rattanwood.UpstreamID{}
		bl.firstUpstreams = map[rattanwood.FlowID]rattanwood.UpstreamID{}
		bl.broken = map[rattanwood.FlowID]bool{}
	}
	return list
}

// handlePacket lets the baseline decide on a packet and records whether the flow changed its upstream.
func (bl *baseline) handlePacket(n *node, fl *flow) {
	id, hops := bl.route(bl, n, fl)
	if id == 0 {
		return
	}
	bl.packets++
	bl.hops += hops
	first, known := bl.firstUpstreams[fl.id]
	if !known {
		bl.firstUpstreams[fl.id] = id
		return
	}
	if first != id {
		bl.broken[fl.id] = true
	}
}

// byHash chooses by rendezvous hashing among the upstreams that the balancer believes healthy.
func (bl *baseline) byHash(n *node, fl *flow) (rattanwood.UpstreamID, int) {
	newest := n.balancer.Router.NewestCatalog()
	route := newest.Route(fl.address)
	if route == nil {
		return 0, 0
	}
	skip := func(id rattanwood.UpstreamID) bool { return n.balancer.HealthTable.Health(id) != marker.Healthy }
	id, _ := route.HashedUpstreamExcept(fl.id, newest.Version, skip)
	return id, 0
}

// byTable chooses by hashing for the first packet of a flow at each balancer, which remembers the
// result.
func (bl *baseline) byTable(n *node, fl *flow) (rattanwood.UpstreamID, int) {
	table := bl.tables[n]
	if table == nil {
		table = map[rattanwood.FlowID]rattanwood.UpstreamID{}
		bl.tables[n] = table
	}
	if id, known := table[fl.id]; known {
		return id, 0
	}
	id, _ := bl.byHash(n, fl)
	table[fl.id] = id
	return id, 0
}

// byOwner relays every packet to the first-ranked balancer, which keeps a flow table.
func (bl *baseline) byOwner(n *node, fl *flow) (rattanwood.UpstreamID, int) {
	best := ranker.Score(uint64(fl.id), ranker.Seed(string(n.vm)))
	owner := n.vm
	for _, m := range n.balancer.Members.Members() {
		if m.State != detector.Alive || m.Leaving {
			continue
		}
		if score := ranker.Score(uint64(fl.id), ranker.Seed(string(m.VM))); score > best {
			best, owner = score, m.VM
		}
	}
	if owner == n.vm {
		return bl.byTable(n, fl)
	}
	at := fl.fleet.node(owner)
	if at == nil || !at.running || at.paused {
		return 0, 0
	}
	id, _ := bl.byTable(at, fl)
	return id, 1
}

// scenario is a change that BenchmarkChanges measures, with its events at times relative to the
// fault.
type scenario struct {
	name   string
	events func(f *fleet) map[time.Duration]func()
}

func scenarios() []scenario {
	once := func(do func(f *fleet)) func(f *fleet) map[time.Duration]func() {
		return func(f *fleet) map[time.Duration]func() {
			return map[time.Duration]func(){0: func() { do(f) }}
		}
	}
	return []scenario{
		{"upstream-added", once(func(f *fleet) { f.publishChange(addUpstream("new")) })},
		{"upstream-drained", once(func(f *fleet) { f.publishChange(drainUpstream(0)) })},
		{"upstream-down", once(func(f *fleet) { f.observeHealth("board-0", marker.Down) })},
		{"balancer-joins", once(func(f *fleet) { f.join("joined") })},
		{"balancer-leaves", once(func(f *fleet) { f.node("vm-1").balancer.BeginShutdown(f.now) })},
		{"balancer-killed", once(func(f *fleet) { f.kill("vm-1") })},
		{"replaced-and-upstream-added", once(func(f *fleet) {
			f.publishChange(addUpstream("new"))
			f.node("vm-1").balancer.BeginShutdown(f.now)
			f.join("joined")
		})},
	}
}
