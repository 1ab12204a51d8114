package detector_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/detector"
	"example.org/rattanwood/wire"
)

const newsTime = 20100 * time.Millisecond

// newSparse returns a detector on VM a that heard b and e 100 ms before newsTime, and knows c by name only.
func newSparse() *detector.Detector {
	d := detector.New(detector.Config{
		Self: "a", Incarnation: 3, HeartbeatInterval: time.Second, SuspectAfter: 2500 * time.Millisecond, DeadAfter: 5 * time.Second,
		PauseThreshold: time.Minute, Sparse: true, Address: netip.MustParseAddrPort("127.0.0.1:1"), DataCentre: "east",
	})
	for _, vm := range []rattanwood.VMID{"b", "c", "e"} {
		d.Add(vm, netip.MustParseAddrPort("127.0.0.1:2"), "east")
	}
	d.Tick(20 * time.Second)
	d.HandleHeartbeat(20*time.Second, "b", 2, &wire.Beat{Seq: 1}, own)
	d.HandleHeartbeat(20*time.Second, "e", 1, &wire.Beat{Seq: 1}, own)
	return d
}

// entry is an item of news.
type entry struct {
	vm        string
	life, age uint64
	dead      bool
}

// TestNews tells a detector of deaths and lives, with ages in milliseconds plus one, and checks what it tells
// others.
func TestNews(t *testing.T) {
	death := func(vm string, life uint64) entry { return entry{vm, life, 5001, true} }
	tests := map[string]struct {
		news, spread []entry
		// state is that of the member in the news.
		state detector.State
	}{
		"death of a member that is heard":  {[]entry{death("b", 2)}, []entry{{"b", 2, 101, false}}, detector.Alive},
		"death told by one without a life": {[]entry{death("b", 0)}, []entry{{"b", 2, 101, false}}, detector.Alive},
		"death of an earlier process":      {[]entry{death("b", 1)}, nil, detector.Alive},
		"death of a member known by name":  {[]entry{death("c", 7)}, []entry{death("c", 7)}, detector.Dead},
		"own death":                        {[]entry{death("a", 3)}, []entry{{"a", 3, 1, false}}, detector.Listed},
		"death of a stranger":              {[]entry{death("d", 1)}, nil, detector.Listed},
		"life after death":                 {[]entry{death("c", 7), {"c", 7, 1, false}}, []entry{{"c", 7, 1, false}}, detector.Listed},
		"last heartbeat before death":      {[]entry{death("c", 7), {"c", 7, 4001, false}}, []entry{death("c", 7)}, detector.Dead},
		"life of the next process":         {[]entry{death("c", 7), {"c", 8, 4001, false}}, []entry{{"c", 8, 4001, false}}, detector.Listed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			d := newSparse()
			for _, e := range test.news {
				d.ApplyNews(newsTime, &wire.Roster{Members: []*wire.Member{{Vm: e.vm, Life: e.life, Gone: e.dead, Age: e.age}}})
			}
			if m, ok := d.Member(rattanwood.VMID(test.news[0].vm)); ok {
				c.Assert(m.State, qt.Equals, test.state)
			}
			var spread []entry
			for _, w := range d.TakeNews(newsTime).GetMembers() {
				spread = append(spread, entry{w.GetVm(), w.GetLife(), w.GetAge(), w.GetGone()})
			}
			c.Assert(slices.Equal(spread, test.spread), qt.IsTrue, qt.Commentf("%v", spread))
		})
	}
}

// TestNobodyVouchesForAMemberNeverHeard asks a probe helper about a neighbour that it has only been told of.
func TestNobodyVouchesForAMemberNeverHeard(t *testing.T) {
	c := qt.New(t)
	d := newSparse()
	_, ok := d.AnswerProbe(newsTime, &wire.Probe{Target: "c"})
	c.Assert(ok, qt.IsFalse)
	_, ok = d.AnswerProbe(newsTime, &wire.Probe{Target: "b"})
	c.Assert(ok, qt.IsTrue)
}
