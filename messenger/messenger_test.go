package messenger_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/limiter"
	"example.org/rattanwood/messenger"
)

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
