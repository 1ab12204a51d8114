package messenger_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
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
	// isNear is whether all data centres are in one region.
	isNear bool
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
		c:         c, byAddress: map[netip.AddrPort]*node{}, isNear: true, isCut: func(*node, *node) bool { return false }, random: rand.New(rand.NewPCG(3, 4)),
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
		IsNear:   func(rattanwood.DataCentre) bool { return f.isNear },
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

func (f *fleet) byName(vm rattanwood.VMID) *node {
	return f.nodes[slices.IndexFunc(f.nodes, func(n *node) bool { return n.name == vm })]
}
