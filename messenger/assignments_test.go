package messenger_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/detector"
	"example.org/rattanwood/messenger"
	"example.org/rattanwood/ranker"
	"example.org/rattanwood/wire"
)

// newRanked returns a settled messenger of node self that knows others in seven data centres.
func newRanked(self string, others int) *messenger.Messenger {
	m := messenger.New(messenger.Config{Detector: detector.Config{
		Self: rattanwood.VMID(self), DataCentre: "dc0", Address: netip.MustParseAddrPort("10.0.0.1:1"),
		HeartbeatInterval: time.Second, SuspectAfter: time.Hour, DeadAfter: time.Nanosecond, PauseThreshold: time.Hour, Sparse: true,
	}})
	for i := range others {
		m.Members.Add(rattanwood.VMID(fmt.Sprint("vm-", i)), netip.MustParseAddrPort("10.0.0.2:1"), rattanwood.DataCentre(fmt.Sprint("dc", i%7)))
	}
	m.Tick(0, func() payload { return payload{} })
	m.Tick(time.Millisecond, func() payload { return payload{} })
	return m
}

// TestAssignmentsMatchNaiveRanking has members join, leave, die and live again in random order, and compares each
// assignment with a ranking of all members.
func TestAssignmentsMatchNaiveRanking(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(5, 6))
	m := newRanked("self", 30)
	now := time.Second
	mine := 0
	for round := range 300 {
		vm := rattanwood.VMID(fmt.Sprint("vm-", random.IntN(40)))
		life := uint64(now / time.Millisecond)
		switch random.IntN(4) {
		case 0:
			m.Members.ApplyNews(now, &wire.Roster{Members: []*wire.Member{{Vm: string(vm), Life: life, Gone: true, Age: 1}}})
		case 1:
			m.Members.ApplyNews(now, &wire.Roster{Members: []*wire.Member{{Vm: string(vm), Life: life, Age: 1}}})
		case 2:
			m.Members.Add(vm, netip.MustParseAddrPort("10.0.0.2:1"), rattanwood.DataCentre(fmt.Sprint("dc", random.IntN(2))))
		case 3:
			m.Members.HandleHeartbeat(now, vm, rattanwood.Incarnation(life), &wire.Beat{Seq: 1, Leaving: random.IntN(2) == 0}, detector.HeartbeatPayload{})
		}
		// Some upstreams are asked for in some rounds only.
		for i := range 20 + round%3*10 {
			highest := true
			for _, other := range m.Members.Members() {
				if other.State != detector.Dead && !other.Leaving && other.DataCentre == "dc0" {
					highest = highest && ranker.Score(uint64(upstreamID(i)), other.Seed) < ranker.Score(uint64(upstreamID(i)), ranker.Seed("self"))
				}
			}
			if highest {
				mine++
			}
			c.Assert(m.ChecksUpstream(now, upstreamID(i)), qt.Equals, highest, qt.Commentf("round %d, upstream %d", round, i))
		}
		now += time.Second
	}
	c.Assert(mine > 100, qt.IsTrue)
}

// BenchmarkAssignments has a node of 690 ask for the assignments of 47,000 upstreams, each second anew.
func BenchmarkAssignments(b *testing.B) {
	for name, changes := range map[string]bool{"same members": false, "a member joins each second": true} {
		b.Run(name, func(b *testing.B) {
			m := newRanked("self", 689)
			now := time.Second
			for i := range b.N {
				if changes {
					m.Members.Add(rattanwood.VMID(fmt.Sprint("new-", i)), netip.MustParseAddrPort("10.0.0.2:1"), "dc0")
				}
				for u := range 47_000 {
					m.ChecksUpstream(now, upstreamID(u))
				}
				now += time.Second
			}
		})
	}
}

// TestAssignmentsOfFormerUpstreamsAreForgotten replaces an upstream each second.
func TestAssignmentsOfFormerUpstreamsAreForgotten(t *testing.T) {
	c := qt.New(t)
	m := newRanked("self", 30)
	for i := range 10_000 {
		for u := range 20 {
			m.ChecksUpstream(time.Duration(i)*time.Second, upstreamID(i+u))
		}
	}
	// Those of the last two minutes, some of them twice.
	c.Assert(messenger.KeptAssignments(m) <= 2*(60+20), qt.IsTrue, qt.Commentf("%d", messenger.KeptAssignments(m)))
}
