package messenger_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"example.org/rattanwood"
	"example.org/rattanwood/copier"
	"example.org/rattanwood/detector"
	"example.org/rattanwood/limiter"
	"example.org/rattanwood/messenger"
	"example.org/rattanwood/reconciler"
	"example.org/rattanwood/replicator"
	"example.org/rattanwood/warmer"
	"example.org/rattanwood/watcher"
	"example.org/rattanwood/wire"
)

const (
	step = 50 * time.Millisecond
	// dataCentres is the number of data centres over which nodes are spread.
	dataCentres = 3
)

// node is a messenger with a replica of the records.
type node struct {
	name       rattanwood.VMID
	address    netip.AddrPort
	dataCentre int
	messenger  *messenger.Messenger
	replica    *replicator.Replicator
	watcher    *watcher.Watcher
	copier     *copier.Copier
	warmer     *warmer.Warmer
	// evacuated is set while the record keyEvacuation is in effect.
	evacuated bool
	sent      int
	bytes     int
	// remoteBytes are those of bytes that went to other data centres, and received the bytes that arrived.
	remoteBytes, received int
	// demands are those that the newest heartbeat with any from each node carried.
	demands map[rattanwood.VMID][]messenger.DemandReport
}

// fleet simulates nodes in virtual time. Datagrams arrive within a step. Node 0 reads the source.
type fleet struct {
	c         *qt.C
	nodes     []*node
	byAddress map[netip.AddrPort]*node
	now       time.Duration
	isCut     func(from, to *node) bool
	random    *rand.Rand
	loss      float64
	log       []rattanwood.Record
	// loads is the number of upstreams that each node reports a load for.
	loads int
	// retention is how long nodes keep dead members.
	retention time.Duration
	// onPayload adds to what a node sends, and onHeartbeat handles what it receives.
	onPayload   func(n *node, p *payload)
	onHeartbeat func(n *node, h *heartbeat)
	// demands is the number of demands that each node reports.
	demands int
	// intercept reports whether a datagram isn't to be delivered to the messenger now; it may be nil.
	intercept func(to, from *node, e *wire.Envelope) bool
}

type (
	payload   = messenger.HeartbeatPayload
	heartbeat = messenger.Heartbeat
)

func newFleet(c *qt.C, n int) *fleet { return newFleetWith(c, n, 0) }

// newFleetWith returns a fleet whose nodes keep dead members for a time; zero stands for the default.
func newFleetWith(c *qt.C, n int, retention time.Duration) *fleet {
	f := &fleet{
		retention: retention,
		c:         c, byAddress: map[netip.AddrPort]*node{}, isCut: func(*node, *node) bool { return false }, random: rand.New(rand.NewPCG(3, 4)),
		onPayload: func(*node, *payload) {}, onHeartbeat: func(*node, *heartbeat) {},
	}
	for i := range n {
		f.add(i)
	}
	return f
}

func (f *fleet) add(i int) *node {
	centre := i % dataCentres
	n := &node{
		name: rattanwood.VMID(fmt.Sprintf("vm-%d", i)), dataCentre: centre,
		address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(centre), byte(i >> 8), byte(i)}), 1),
		demands: map[rattanwood.VMID][]messenger.DemandReport{},
	}
	f.setUp(n, 1)
	f.nodes = append(f.nodes, n)
	f.byAddress[n.address] = n
	return n
}

// setUp gives a node the state of a process that begins.
func (f *fleet) setUp(n *node, incarnation rattanwood.Incarnation) {
	n.replica = replicator.New()
	n.warmer = warmer.New(warmer.Config{Self: n.name, Incarnation: incarnation, Started: f.now, Overage: warmupOverage, Slack: warmupSlack})
	n.messenger = messenger.New(messenger.Config{
		Detector: detector.Config{
			Self: n.name, Address: n.address, DataCentre: rattanwood.DataCentre(fmt.Sprint("dc", n.dataCentre)), Incarnation: incarnation, Seed: n.seed(),
			HeartbeatInterval: time.Second, SuspectAfter: 2500 * time.Millisecond, DeadAfter: 5 * time.Second, ActivationDelay: 3 * time.Second, PauseThreshold: time.Second, Sparse: true, MemberRetention: f.retention,
		},
		Limiter:  limiter.Config{Rate: 27 << 10, Burst: 256 << 10},
		Position: n.replica.Position,
		Warmer:   n.warmer,
	})
	n.watcher = watcher.New(watcher.Config{Self: watcher.ReaderID(1000 - n.seed()), Random: f.random})
	for seed := range min(3, len(f.nodes)) {
		if f.nodes[seed] == n {
			continue
		}
		n.messenger.Members.AddBootstrap(rattanwood.VMID(f.nodes[seed].address.Addr().String()), f.nodes[seed].address)
	}
	n.copier = copier.New(copier.Config{Replica: n.replica, Reconciler: reconciler.New(reconcilerConfig), Watcher: n.watcher, Messenger: n.messenger, SpreadInterval: step})
	n.replica.ReplaceAll(nil, 0)
}

// seed returns the number of a node.
func (n *node) seed() uint64 {
	address := n.address.Addr().As4()
	return uint64(address[2])<<8 | uint64(address[3])
}

func (f *fleet) nodeAt(address netip.AddrPort) *node { return f.byAddress[address] }

func (f *fleet) payload(n *node) messenger.HeartbeatPayload {
	var p messenger.HeartbeatPayload
	n.copier.FillHeartbeat(f.now, &p)
	for id := range f.loads {
		p.Loads = append(p.Loads, messenger.LoadReport{Upstream: rattanwood.UpstreamID(id + 1), Requests: 5})
	}
	f.onPayload(n, &p)
	for i := range f.demands {
		p.Demands = append(p.Demands, messenger.DemandReport{Service: messenger.HashService("board"), Level: i, Offered: float64(i) + 0.5, Admitted: float64(i)})
	}
	return p
}

func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += step {
		for _, n := range f.nodes {
			n.messenger.Tick(f.now, func() messenger.HeartbeatPayload { return f.payload(n) })
		}
		for _, n := range f.nodes {
			f.deliver(n)
		}
	}
}

func (f *fleet) deliver(n *node) {
	for _, a := range n.messenger.TakeActions() {
		switch a := a.(type) {
		case messenger.Send:
			n.sent++
			size := proto.Size(a.Message) + 28
			n.bytes += size
			to := f.nodeAt(a.Address)
			if to == nil {
				continue
			}
			if to.dataCentre != n.dataCentre {
				n.remoteBytes += size
			}
			to.received += size
			if f.isCut(n, to) || f.random.Float64() < f.loss {
				continue
			}
			f.receive(to, n, a.Message)
		case messenger.Fetch:
			from := f.nodeAt(a.Address)
			n.messenger.FinishFetch()
			if f.isCut(n, from) {
				continue
			}
			if reply, ok := from.copier.Reply(f.now, a.After); ok {
				n.spreadChanges(n.copier.HandleReply(f.now, f.now, a.After, reply))
			}
		}
	}
}

func (f *fleet) receive(to, from *node, e *wire.Envelope) {
	if f.intercept != nil && f.intercept(to, from, e) {
		return
	}
	if heartbeat, ok := to.messenger.HandleMessage(f.now, from.address, e); ok {
		to.spreadChanges(to.copier.HandleHeartbeat(f.now, &heartbeat))
		f.onHeartbeat(to, &heartbeat)
		if len(heartbeat.Demands) > 0 {
			to.demands[from.name] = heartbeat.Demands
		}
	}
}

// spreadChanges triggers heartbeats if records changed.
func (n *node) spreadChanges(u copier.Update) {
	n.trackEvacuation(u.Changed)
	if len(u.Changed) > 0 {
		n.messenger.Members.TriggerHeartbeats()
	}
}

// write changes the source and lets node 0 read it.
func (f *fleet) write(key string) {
	f.append(key)
	f.spread()
}

func (f *fleet) append(key string) {
	f.log = append(f.log, rattanwood.Record{Key: key, Value: []byte(key), Position: rattanwood.Position(len(f.log) + 1)})
}

// spread lets node 0 read the changes of the source.
func (f *fleet) spread() {
	prior := f.nodes[0].replica.Position()
	update, ok := f.nodes[0].copier.HandleChanges(f.now, f.now, prior, rattanwood.Changes{Records: f.log[prior:], Position: rattanwood.Position(len(f.log))})
	f.c.Assert(ok, qt.IsTrue)
	f.nodes[0].spreadChanges(update)
}

// outdated returns the nodes that don't have the newest revision, and fails the test if a node claims
// a revision whose records it doesn't hold.
func (f *fleet) outdated() []rattanwood.VMID {
	var out []rattanwood.VMID
	for _, n := range f.nodes {
		if int(n.replica.Position()) < len(f.log) {
			out = append(out, n.name)
		}
		f.c.Assert(n.replica.Len(), qt.Equals, int(n.replica.Position()), qt.Commentf("%s at %d", n.name, n.replica.Position()))
	}
	return out
}

// TestChangesReachAllNodes checks that registrations and configurations in quick succession reach all
// nodes in time, with and without lost datagrams.
func TestChangesReachAllNodes(t *testing.T) {
	t.Parallel()
	for n, within := range map[int]time.Duration{15: 300 * time.Millisecond, 136: 500 * time.Millisecond, 300: 600 * time.Millisecond} {
		for _, loss := range []float64{0, 0.05} {
			t.Run(fmt.Sprintf("%d nodes, loss %v", n, loss), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				f := newFleet(c, n)
				f.run(10 * time.Second)
				f.loss = loss
				for i := range 20 {
					f.write(fmt.Sprint("k", i))
					f.run(100 * time.Millisecond)
				}
				if loss > 0 {
					// The next regular heartbeat reveals what was lost.
					f.run(time.Second)
				}
				f.run(within)
				c.Assert(f.outdated(), qt.HasLen, 0)
			})
		}
	}
}

// TestHeartbeatCostHardlyGrowsWithFleet checks that a node's heartbeats stay within a quarter of the
// budget as the fleet grows.
func TestHeartbeatCostHardlyGrowsWithFleet(t *testing.T) {
	t.Parallel()
	for _, n := range []int{15, 30, 100, 300} {
		t.Run(fmt.Sprint(n, " nodes"), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			f := newFleet(c, n)
			f.run(15 * time.Second)
			for _, n := range f.nodes {
				n.sent, n.bytes = 0, 0
			}
			f.run(10 * time.Second)
			maxSent, maxBytes := 0, 0
			for _, n := range f.nodes {
				maxSent, maxBytes = max(maxSent, n.sent), max(maxBytes, n.bytes)
			}
			t.Logf("%d nodes: at most %d datagrams and %d bytes a second", n, maxSent/10, maxBytes/10)
			c.Assert(maxBytes/10 < 27<<10/4, qt.IsTrue, qt.Commentf("%d B/s", maxBytes/10))
		})
	}
}

// TestUnlikeLinksCarryHeartbeats runs 232 nodes with the loads of 58 upstreams each while registrations change
// 20 times a second. No link of 20 Mbit/s may be taken by a tenth, the budget holds, and a quarter of it between
// data centres, where bytes are dear.
func TestUnlikeLinksCarryHeartbeats(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := newFleet(c, 232)
	f.loads = 58
	f.run(15 * time.Second)
	for _, n := range f.nodes {
		n.bytes, n.remoteBytes, n.received = 0, 0, 0
	}
	const seconds = 9
	for i := range 2 * seconds {
		for j := range 10 {
			f.append(fmt.Sprintf("%0300d", 10*i+j))
		}
		f.spread()
		f.run(500 * time.Millisecond)
	}
	most, mostRemote := 0, 0
	for _, n := range f.nodes {
		most, mostRemote = max(most, n.bytes/seconds, n.received/seconds), max(mostRemote, n.remoteBytes/seconds)
	}
	t.Logf("at most %d B/s on a link, %d B/s to other data centres", most, mostRemote)
	c.Assert(most < 20_000_000/8/10, qt.IsTrue)
	c.Assert(most < 27<<10, qt.IsTrue)
	c.Assert(mostRemote < 27<<10/4, qt.IsTrue)
}

// TestNodesCatchUpAfterPartition cuts a data centre off from the reader. Its nodes fall behind and must
// catch up once the partition is over.
func TestNodesCatchUpAfterPartition(t *testing.T) {
	t.Parallel()
	for name, d := range map[string]time.Duration{"short": 2 * time.Second, "long": 40 * time.Second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			f := newFleet(c, 30)
			f.run(10 * time.Second)
			f.isCut = func(from, to *node) bool { return (from.dataCentre == 1) != (to.dataCentre == 1) }
			f.run(d)
			f.write("a")
			f.run(time.Second)
			c.Assert(f.outdated(), qt.HasLen, 10)
			f.isCut = func(*node, *node) bool { return false }
			f.run(3 * time.Second)
			c.Assert(f.outdated(), qt.HasLen, 0)
		})
	}
}

// TestStartingFleetDiscoversAllMembers starts a whole fleet in which all nodes know only three
// bootstrap addresses. If the nodes there are too busy to name the others, every node goes on running
// all health checks of its data centre.
func TestStartingFleetDiscoversAllMembers(t *testing.T) {
	t.Parallel()
	for _, n := range []int{15, 136, 300} {
		for _, loss := range []float64{0, 0.05} {
			t.Run(fmt.Sprintf("%d nodes, loss %v", n, loss), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				f := newFleet(c, n)
				f.loads, f.loss = 150, loss
				// Meanwhile upstreams register.
				for i := range 15 {
					f.write(fmt.Sprintf("%0300d", i))
					f.run(200 * time.Millisecond)
				}
				f.run(7 * time.Second)
				c.Assert(f.unknownMembers(), qt.Equals, 0)
			})
		}
	}
}

// TestQuietFleetDiscoversAllMembers starts fleets while nothing else changes, so that no news makes nodes
// send heartbeats early.
func TestQuietFleetDiscoversAllMembers(t *testing.T) {
	t.Parallel()
	for _, n := range []int{136, 300} {
		t.Run(fmt.Sprint(n, " nodes"), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			f := newFleet(c, n)
			f.run(5 * time.Second)
			c.Assert(f.unknownMembers(), qt.Equals, 0)
			shed := uint64(0)
			for _, n := range f.nodes {
				shed += n.messenger.Limiter.ShedBytes(limiter.Liveness)
			}
			c.Assert(shed, qt.Equals, uint64(0))
		})
	}
}

// unknownMembers returns for how many pairs of nodes one doesn't know the other or its data centre.
func (f *fleet) unknownMembers() int {
	unknown := 0
	for _, a := range f.nodes {
		for _, b := range f.nodes {
			if m, ok := a.messenger.Members.Member(b.name); a != b && (!ok || m.DataCentre == "") {
				unknown++
			}
		}
	}
	return unknown
}

// TestEachUpstreamHasOneCheckerPerDataCentre checks that in a settled fleet exactly one node of each
// data centre checks an upstream.
func TestEachUpstreamHasOneCheckerPerDataCentre(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := newFleet(c, 45)
	f.run(15 * time.Second)
	for id := rattanwood.UpstreamID(1); id < 50; id++ {
		var got [dataCentres]int
		for _, n := range f.nodes {
			// Multiplicative hashing (Knuth) spreads consecutive numbers over all IDs.
			if n.messenger.ChecksUpstream(f.now, id*0x9e3779b1) {
				got[n.dataCentre]++
			}
		}
		c.Assert(got, qt.Equals, [dataCentres]int{1, 1, 1})
	}
}

// TestBusyFleetStaysWithinBudget simulates releases and scale-outs on a large fleet. If the budget shed
// heartbeats, confirmations would not spread and all nodes would begin to read the source.
func TestBusyFleetStaysWithinBudget(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		interval time.Duration
		// maxRate is the limit on a node's traffic in bytes a second. A burst may spend the saved-up
		// budget, and only must not shed.
		maxRate int
	}{
		// Six times the 14,000 changes a day of the target size.
		"steady": {time.Second, 27 << 10},
		"burst":  {100 * time.Millisecond, 256 << 10},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			f := newFleet(c, 136)
			f.run(15 * time.Second)
			for _, n := range f.nodes {
				n.bytes = 0
			}
			began := f.now
			for i := range 60 {
				// The key is as long as a registration.
				f.write(fmt.Sprintf("%0125d", i))
				f.run(test.interval)
			}
			f.run(600 * time.Millisecond)
			c.Assert(f.outdated(), qt.HasLen, 0)
			maxRate, shed := 0, uint64(0)
			for _, n := range f.nodes {
				maxRate, shed = max(maxRate, int(float64(n.bytes)/(f.now-began).Seconds())), shed+n.messenger.Limiter.ShedBytes(limiter.Liveness)
			}
			t.Logf("at most %d B/s", maxRate)
			c.Assert(shed, qt.Equals, uint64(0))
			c.Assert(maxRate < test.maxRate, qt.IsTrue, qt.Commentf("%d B/s", maxRate))
		})
	}
}

// TestDemandsReachNeighbours has nodes that see demand for more services and levels than fit into a heartbeat,
// beside loads. The highest must reach the neighbours in the own data centre and in others, within the budget.
func TestDemandsReachNeighbours(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := newFleet(c, 60)
	f.loads, f.demands = 48, 40
	f.run(15 * time.Second)
	for _, n := range f.nodes {
		n.bytes = 0
		clear(n.demands)
	}
	began := f.now
	f.run(5 * time.Second)
	for _, n := range f.nodes {
		c.Assert(n.messenger.Limiter.ShedBytes(limiter.Liveness), qt.Equals, uint64(0))
		c.Assert(float64(n.bytes)/(f.now-began).Seconds() < 27<<10, qt.IsTrue, qt.Commentf("%d B", n.bytes))
		local, remote := 0, 0
		for from, demands := range n.demands {
			c.Assert(demands, qt.HasLen, 16)
			for _, d := range demands {
				c.Assert(d.Service, qt.Equals, messenger.HashService("board"))
				c.Assert(d.Level >= 24, qt.IsTrue, qt.Commentf("one of the highest 16 of 40"))
				c.Assert(d.Offered, qt.Equals, float64(d.Level)+0.5)
				c.Assert(d.Admitted, qt.Equals, float64(d.Level))
			}
			if f.byName(from).dataCentre == n.dataCentre {
				local++
			} else {
				remote++
			}
		}
		// The ring of 20 members has neighbours at the distances 1, 2, 4 and 8, two of them at times the same;
		// the ring of all has few, not always in each data centre.
		c.Assert(local >= 7, qt.IsTrue, qt.Commentf("%s heard of %d", n.name, local))
		c.Assert(remote >= 1, qt.IsTrue, qt.Commentf("%s heard of %d", n.name, remote))
	}
}

func (f *fleet) byName(vm rattanwood.VMID) *node {
	return f.nodes[slices.IndexFunc(f.nodes, func(n *node) bool { return n.name == vm })]
}
