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
	"example.org/rattanwood/replicator"
	"example.org/rattanwood/watcher"
	"example.org/rattanwood/wire"
)

const (
	step = 50 * time.Millisecond
	// delay is that of a datagram, less than a step.
	centres = 3
)

// node is a messenger with a copy of the records.
type node struct {
	name    rattanwood.VMID
	address netip.AddrPort
	centre  int
	talk    *messenger.Messenger
	copy    *replicator.Replicator
	watch   *watcher.Watcher
	copies  *copier.Copier
	sent    int
	bytes   int
}

// fleet plays messengers in virtual time. Node 0 reads the source.
type fleet struct {
	c      *qt.C
	nodes  []*node
	now    time.Duration
	cut    func(from, to *node) bool
	random *rand.Rand
	loss   float64
	log    []rattanwood.Record
	// loads is the number of upstreams that each node reports work for.
	loads int
}

func newFleet(c *qt.C, n int) *fleet {
	f := &fleet{c: c, cut: func(*node, *node) bool { return false }, random: rand.New(rand.NewPCG(3, 4))}
	for i := range n {
		f.add(i)
	}
	return f
}

func (f *fleet) add(i int) *node {
	centre := i % centres
	n := &node{
		name: rattanwood.VMID(fmt.Sprintf("vm-%d", i)), centre: centre, copy: replicator.New(),
		address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(centre), byte(i >> 8), byte(i)}), 1),
	}
	n.talk = messenger.New(messenger.Config{
		Detector: detector.Config{
			Self: n.name, Address: n.address, DataCentre: rattanwood.DataCentre(fmt.Sprint("dc", centre)), Incarnation: 1, Seed: uint64(i),
			HeartbeatInterval: time.Second, SuspectAfter: 2500 * time.Millisecond, DeadAfter: 5 * time.Second, ActivationDelay: 3 * time.Second, PauseThreshold: time.Second, Sparse: true,
		},
		Limiter: limiter.Config{Rate: 27 << 10, Burst: 256 << 10},
	})
	n.watch = watcher.New(watcher.Config{Self: watcher.ReaderID(1000 - i), Random: f.random})
	for seed := range min(3, len(f.nodes)) {
		n.talk.Members.Add(rattanwood.VMID(f.nodes[seed].address.Addr().String()), f.nodes[seed].address, "")
	}
	n.copies = copier.New(copier.Config{Replica: n.copy, Watcher: n.watch, Messenger: n.talk, SpreadInterval: step})
	n.copy.ReplaceAll(nil, 0)
	f.nodes = append(f.nodes, n)
	return n
}

func (f *fleet) at(address netip.AddrPort) *node {
	i := slices.IndexFunc(f.nodes, func(n *node) bool { return n.address == address })
	return f.nodes[i]
}

func (f *fleet) knowledge(n *node) messenger.HeartbeatPayload {
	var k messenger.HeartbeatPayload
	n.copies.FillHeartbeat(f.now, &k)
	for id := range f.loads {
		k.Loads = append(k.Loads, messenger.Load{Upstream: rattanwood.UpstreamID(id + 1), Work: 5})
	}
	return k
}

func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += step {
		for _, n := range f.nodes {
			n.talk.Tick(f.now, func() messenger.HeartbeatPayload { return f.knowledge(n) })
		}
		for _, n := range f.nodes {
			f.deliver(n)
		}
	}
}

func (f *fleet) deliver(n *node) {
	for _, a := range n.talk.TakeActions() {
		switch a := a.(type) {
		case messenger.Send:
			n.sent++
			n.bytes += proto.Size(a.Message) + 28
			to := f.at(a.Address)
			if f.cut(n, to) || f.random.Float64() < f.loss {
				continue
			}
			f.receive(to, n, a.Message)
		case messenger.Sync:
			from := f.at(a.Address)
			n.talk.FinishSync()
			if f.cut(n, from) {
				continue
			}
			if reply, ok := from.copies.Reply(f.now, a.After); ok {
				n.take(n.copies.HandleReply(f.now, f.now, a.After, reply))
			}
		}
	}
}

func (f *fleet) receive(to, from *node, e *wire.Envelope) {
	if news, ok := to.talk.HandleMessage(f.now, from.address, e); ok {
		to.take(to.copies.HandleHeartbeat(f.now, &news))
	}
}

// take passes changes on at once.
func (n *node) take(o copier.Outcome) {
	if len(o.Changed) > 0 {
		n.talk.Members.TriggerHeartbeats()
	}
}

// write changes the source and lets node 0 read it.
func (f *fleet) write(key string) {
	prior := rattanwood.Revision(len(f.log))
	f.log = append(f.log, rattanwood.Record{Key: key, Value: []byte(key), Revision: prior + 1})
	f.nodes[0].take(f.nodes[0].copies.HandleChanges(f.now, f.now, prior, rattanwood.Changes{Records: f.log[prior:], Revision: prior + 1}))
}

// behind returns the nodes that don't have the newest revision, and fails if one claims what it doesn't hold.
func (f *fleet) behind() []rattanwood.VMID {
	var out []rattanwood.VMID
	for _, n := range f.nodes {
		if int(n.copy.Revision()) < len(f.log) {
			out = append(out, n.name)
		}
		f.c.Assert(n.copy.Len(), qt.Equals, int(n.copy.Revision()), qt.Commentf("%s at %d", n.name, n.copy.Revision()))
	}
	return out
}

// TestNewsReachesEverybody answers registrations and configurations in quick succession, with and without lost datagrams.
func TestNewsReachesEverybody(t *testing.T) {
	for n, within := range map[int]time.Duration{15: 300 * time.Millisecond, 136: 500 * time.Millisecond, 300: 600 * time.Millisecond} {
		for _, loss := range []float64{0, 0.05} {
			t.Run(fmt.Sprintf("%d nodes, loss %v", n, loss), func(t *testing.T) {
				c := qt.New(t)
				f := newFleet(c, n)
				f.run(10 * time.Second)
				f.loss = loss
				for i := range 20 {
					f.write(fmt.Sprint("k", i))
					f.run(100 * time.Millisecond)
				}
				if loss > 0 {
					// The next heartbeat shows what was lost.
					f.run(time.Second)
				}
				f.run(within)
				c.Assert(f.behind(), qt.HasLen, 0)
			})
		}
	}
}

// TestCostHardlyGrows checks that a node's heartbeats stay within the budget as the fleet grows.
func TestCostHardlyGrows(t *testing.T) {
	for _, n := range []int{15, 30, 100, 300} {
		t.Run(fmt.Sprint(n, " nodes"), func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(c, n)
			f.run(15 * time.Second)
			for _, n := range f.nodes {
				n.sent, n.bytes = 0, 0
			}
			f.run(10 * time.Second)
			most, bytes := 0, 0
			for _, n := range f.nodes {
				most, bytes = max(most, n.sent), max(bytes, n.bytes)
			}
			t.Logf("%d nodes: at most %d datagrams and %d bytes a second", n, most/10, bytes/10)
			c.Assert(bytes/10 < 27<<10/4, qt.IsTrue, qt.Commentf("%d B/s", bytes/10))
		})
	}
}

// TestCutHeals answers a zone cut: the side without the reader falls behind, and catches up once the cut is over.
func TestCutHeals(t *testing.T) {
	for name, d := range map[string]time.Duration{"short": 2 * time.Second, "long": 40 * time.Second} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(c, 30)
			f.run(10 * time.Second)
			f.cut = func(from, to *node) bool { return (from.centre == 1) != (to.centre == 1) }
			f.run(d)
			f.write("a")
			f.run(time.Second)
			c.Assert(f.behind(), qt.HasLen, 10)
			f.cut = func(*node, *node) bool { return false }
			f.run(3 * time.Second)
			c.Assert(f.behind(), qt.HasLen, 0)
		})
	}
}

// TestEverybodyIsKnown answers the start of a whole fleet, in which all know only the three seeds: if those are
// too busy to name the others, every node goes on taking all duties of its data centre.
func TestEverybodyIsKnown(t *testing.T) {
	for _, n := range []int{15, 136, 300} {
		for _, loss := range []float64{0, 0.05} {
			t.Run(fmt.Sprintf("%d nodes, loss %v", n, loss), func(t *testing.T) {
				c := qt.New(t)
				f := newFleet(c, n)
				f.loads, f.loss = 150, loss
				// Upstreams register meanwhile.
				for i := range 15 {
					f.write(fmt.Sprintf("%0300d", i))
					f.run(200 * time.Millisecond)
				}
				f.run(7 * time.Second)
				strangers := 0
				for _, a := range f.nodes {
					for _, b := range f.nodes {
						if m, ok := a.talk.Members.Member(b.name); a != b && (!ok || m.DataCentre == "") {
							strangers++
						}
					}
				}
				c.Assert(strangers, qt.Equals, 0)
			})
		}
	}
}

// TestDuties checks that each upstream's check falls to about one node of each data centre.
func TestDuties(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 45)
	f.run(15 * time.Second)
	for id := rattanwood.UpstreamID(1); id < 50; id++ {
		var got [centres]int
		for _, n := range f.nodes {
			if n.talk.ChecksUpstream(f.now, id*0x9e3779b1) {
				got[n.centre]++
			}
		}
		c.Assert(got, qt.Equals, [centres]int{1, 1, 1})
	}
}

// TestBusyFleetStaysWithinBudget answers releases and scale-outs on a large fleet. Heartbeats that the budget sheds would
// keep confirmations from spreading, and everybody would begin to read.
func TestBusyFleetStaysWithinBudget(t *testing.T) {
	tests := map[string]struct {
		pause time.Duration
		// most is a node's traffic in bytes a second; a burst lives on what was saved up, and only must not shed.
		most int
	}{
		// Six times the 14,000 changes a day of the target size.
		"steady": {time.Second, 27 << 10},
		"burst":  {100 * time.Millisecond, 256 << 10},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(c, 136)
			f.run(15 * time.Second)
			for _, n := range f.nodes {
				n.bytes = 0
			}
			began := f.now
			for i := range 60 {
				// As long as a registration.
				f.write(fmt.Sprintf("%0125d", i))
				f.run(test.pause)
			}
			f.run(600 * time.Millisecond)
			c.Assert(f.behind(), qt.HasLen, 0)
			most, shed := 0, uint64(0)
			for _, n := range f.nodes {
				most, shed = max(most, int(float64(n.bytes)/(f.now-began).Seconds())), shed+n.talk.Limiter.ShedBytes(limiter.Liveness)
			}
			t.Logf("at most %d B/s", most)
			c.Assert(shed, qt.Equals, uint64(0))
			c.Assert(most < test.most, qt.IsTrue, qt.Commentf("%d B/s", most))
		})
	}
}
