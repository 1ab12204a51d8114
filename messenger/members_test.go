package messenger_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/detector"
	"example.org/rattanwood/limiter"
	"example.org/rattanwood/wire"
)

// deaths returns for how many pairs of the given nodes one takes the other for dead.
func deaths(nodes, of []*node) int {
	count := 0
	for _, n := range nodes {
		for _, other := range of {
			if m, ok := n.messenger.Members.Member(other.name); ok && m.State == detector.Dead {
				count++
			}
		}
	}
	return count
}

// checkOneCheckerEach fails unless one of the nodes of each data centre checks an upstream, and one node ranks
// first as reader.
func (f *fleet) checkOneCheckerEach(nodes []*node) {
	readers := 0
	for _, n := range nodes {
		if n.messenger.ReaderRank() == 0 {
			readers++
		}
	}
	f.c.Assert(readers, qt.Equals, 1)
	for i := range 50 {
		var got [dataCentres]int
		for _, n := range nodes {
			if n.messenger.ChecksUpstream(f.now, upstreamID(i)) {
				got[n.dataCentre]++
			}
		}
		f.c.Assert(got, qt.Equals, [dataCentres]int{1, 1, 1})
	}
}

// TestDeadNodesHoldNoRank kills nodes, most of which are no neighbours of most others.
func TestDeadNodesHoldNoRank(t *testing.T) {
	t.Parallel()
	for _, n := range []int{15, 136} {
		for _, loss := range []float64{0, 0.05} {
			t.Run(fmt.Sprintf("%d nodes, loss %v", n, loss), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				f := newFleet(c, n)
				f.run(10 * time.Second)
				f.loss = loss
				dead, living := f.nodes[:4], f.nodes[4:]
				f.isCut = func(from, to *node) bool { return from.isOneOf(dead) || to.isOneOf(dead) }
				// Neighbours need the time until death and a round of heartbeats, and the news four hops.
				f.run(5*time.Second + time.Second + 4*300*time.Millisecond)
				if loss > 0 {
					f.run(2 * time.Second)
				}
				c.Assert(deaths(living, dead), qt.Equals, len(living)*len(dead))
				c.Assert(deaths(living, living), qt.Equals, 0)
				f.run(time.Second)
				f.checkOneCheckerEach(living)
			})
		}
	}
}

func (n *node) isOneOf(nodes []*node) bool {
	for _, other := range nodes {
		if n == other {
			return true
		}
	}
	return false
}

// TestPartitionedNodesMeetAgain cuts a fleet in two, also for longer than dead members are kept, when those cut off
// know only bootstrap addresses of the others.
func TestPartitionedNodesMeetAgain(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		n                   int
		cut, retention, met time.Duration
	}{
		"20 s":                    {30, 20 * time.Second, 0, 10 * time.Second},
		"a minute":                {45, time.Minute, 0, 15 * time.Second},
		"longer than is retained": {15, 100 * time.Second, time.Minute, 30 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			f := newFleetWith(c, test.n, test.retention)
			f.run(10 * time.Second)
			half := f.nodes[test.n/2:]
			f.isCut = func(from, to *node) bool { return from.isOneOf(half) != to.isOneOf(half) }
			f.run(test.cut)
			for _, a := range f.nodes {
				for _, b := range f.nodes {
					if m, ok := a.messenger.Members.Member(b.name); ok && a.isOneOf(half) != b.isOneOf(half) {
						c.Assert(m.State, qt.Equals, detector.Dead, qt.Commentf("%s in the list of %s", b.name, a.name))
						c.Assert(test.retention == 0 || test.cut < test.retention, qt.IsTrue, qt.Commentf("%s isn't forgotten by %s", b.name, a.name))
					}
				}
			}
			f.isCut = func(*node, *node) bool { return false }
			f.run(test.met)
			c.Assert(f.unknownMembers(), qt.Equals, 0)
			c.Assert(deaths(f.nodes, f.nodes), qt.Equals, 0)
			f.run(time.Second)
			f.checkOneCheckerEach(f.nodes)
			for _, n := range f.nodes {
				c.Assert(n.messenger.Limiter.ShedBytes(limiter.Liveness), qt.Equals, uint64(0), qt.Commentf("the budget bears the news"))
			}
		})
	}
}

// TestNewsOfDeathsEnds cuts half of the nodes off from all others, each alone, for about as long as it takes to
// declare them dead. Afterwards, no news of deaths may outlast the signs of life.
func TestNewsOfDeathsEnds(t *testing.T) {
	t.Parallel()
	for _, cut := range []time.Duration{8 * time.Second, 10 * time.Second, 20 * time.Second} {
		t.Run(cut.String(), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			f := newFleet(c, 109)
			f.run(30 * time.Second)
			alone := f.nodes[:54]
			f.isCut = func(from, to *node) bool { return from.isOneOf(alone) || to.isOneOf(alone) }
			f.run(cut)
			f.isCut = func(*node, *node) bool { return false }
			f.run(15 * time.Second)
			c.Assert(deaths(f.nodes, f.nodes), qt.Equals, 0)
			for _, n := range f.nodes {
				c.Assert(n.messenger.Members.HasNews(), qt.IsFalse)
			}
		})
	}
}

// TestLivingRefuteTheirDeath tells nodes that hear a node, and ones that don't, that it is dead.
func TestLivingRefuteTheirDeath(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := newFleet(c, 45)
	f.run(10 * time.Second)
	victim := f.nodes[7]
	for _, to := range f.nodes[20:25] {
		f.receive(to, f.nodes[8], &wire.Envelope{Vm: string(f.nodes[8].name), Life: 1, Body: &wire.Envelope_Roster{Roster: &wire.Roster{
			Members: []*wire.Member{{Vm: string(victim.name), Life: 1, Gone: true, Age: 6000}},
		}}})
	}
	c.Assert(deaths(f.nodes, []*node{victim}) > 0, qt.IsTrue)
	f.run(2 * time.Second)
	c.Assert(deaths(f.nodes, f.nodes), qt.Equals, 0)
}

// TestNodesThatCameBackRank tells a node that others are leaving, most of which it hears once in minutes. They were
// back before anyone declared them dead, so no news tells of them.
func TestNodesThatCameBackRank(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := newFleet(c, 45)
	f.run(10 * time.Second)
	for _, n := range f.nodes[1:] {
		f.receive(f.nodes[0], n, &wire.Envelope{Vm: string(n.name), Life: 1, Body: &wire.Envelope_Beat{
			Beat: &wire.Beat{Seq: 10, Centre: fmt.Sprint("dc", n.dataCentre), Courtesy: true, Leaving: true},
		}})
	}
	f.run(15*time.Second + 2*step)
	f.checkOneCheckerEach(f.nodes)
}

// TestReplacedNodesLeaveNoTrace has 10,000 nodes with names of their own join a fleet and die.
func TestReplacedNodesLeaveNoTrace(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	const retention = 30 * time.Second
	f := newFleetWith(c, 4, retention)
	sentInTenSeconds := func() (sizes []int) {
		for _, n := range f.nodes {
			n.bytes = 0
		}
		f.run(10 * time.Second)
		for _, n := range f.nodes {
			sizes = append(sizes, n.bytes)
		}
		return sizes
	}
	f.run(10 * time.Second)
	var known []int
	for _, n := range f.nodes {
		known = append(known, len(n.messenger.Members.Members()))
	}
	before := sentInTenSeconds()
	most := 0
	for i := range 10_000 {
		guest := &node{
			name: rattanwood.VMID(fmt.Sprint("guest-", i)), dataCentre: i % dataCentres,
			address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 99, byte(i >> 8), byte(i)}), 1),
		}
		f.receive(f.nodes[i%len(f.nodes)], guest, &wire.Envelope{Vm: string(guest.name), Life: 1, Body: &wire.Envelope_Beat{
			Beat: &wire.Beat{Seq: 1, Centre: fmt.Sprint("dc", guest.dataCentre)},
		}})
		// Some never get to say where they are.
		f.receive(f.nodes[0], guest, &wire.Envelope{Vm: string(guest.name) + "-probe", Life: 1, Body: &wire.Envelope_Probe{Probe: &wire.Probe{}}})
		f.run(5 * step)
		most = max(most, len(f.nodes[0].messenger.Members.Members()))
	}
	f.run(retention + 30*time.Second)
	after := sentInTenSeconds()
	t.Logf("at most %d members; bytes in ten seconds %v before, %v after", most, before, after)
	for i, n := range f.nodes {
		c.Assert(n.messenger.Members.Members(), qt.HasLen, known[i])
		c.Assert(n.messenger.Members.HasNews(), qt.IsFalse)
		// Sequence numbers have grown by two bytes.
		c.Assert(after[i] < before[i]*11/10, qt.IsTrue)
	}
}
