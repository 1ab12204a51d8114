package marker_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/marker"
)

const hold = 3 * time.Second

func TestMarkTurnsNewFlowsAwayAfterTheHold(t *testing.T) {
	c := qt.New(t)
	m := marker.New(hold)
	c.Assert(m.Observe(0, 7, marker.Healthy), qt.IsFalse)
	c.Assert(m.Observe(0, 7, marker.Down), qt.IsTrue)
	c.Assert(m.EverUnhealthy(7), qt.IsTrue)
	c.Assert(m.RejectsNewFlows(7), qt.IsFalse)
	m.Tick(hold - 1)
	c.Assert(m.RejectsNewFlows(7), qt.IsFalse)
	m.Tick(hold)
	c.Assert(m.RejectsNewFlows(7), qt.IsTrue)
}

func TestRecoveredUpstreamStaysMarked(t *testing.T) {
	c := qt.New(t)
	m := marker.New(hold)
	m.Observe(0, 7, marker.Down)
	m.Tick(hold)
	m.Observe(hold, 7, marker.Healthy)
	m.Tick(2 * hold)
	c.Assert(m.RejectsNewFlows(7), qt.IsFalse)
	c.Assert(m.EverUnhealthy(7), qt.IsTrue)
}

func TestDigestsDiffer(t *testing.T) {
	seen := map[uint64]marker.HealthState{}
	for upstream := range rattanwood.UpstreamID(20) {
		for state := marker.Healthy; state <= marker.Down; state++ {
			for seq := range uint64(20) {
				m := marker.New(hold)
				mark := marker.HealthState{Upstream: upstream, Health: state, Seq: seq + 1}
				m.Merge(0, mark)
				other, taken := seen[m.Digest()]
				qt.Assert(t, taken, qt.IsFalse, qt.Commentf("%v and %v", mark, other))
				seen[m.Digest()] = mark
			}
		}
	}
}

func TestTablesConverge(t *testing.T) {
	c := qt.New(t)
	marks := []marker.HealthState{{7, marker.Down, 1}, {7, marker.Draining, 1}, {7, marker.Healthy, 2}, {9, marker.Down, 3}, {9, marker.Down, 2}}
	a, b := marker.New(hold), marker.New(hold)
	for i := range marks {
		a.Merge(0, marks[i])
		b.Merge(0, marks[len(marks)-1-i])
	}
	c.Assert(a.Digest(), qt.Equals, b.Digest())
	c.Assert(a.States(), qt.DeepEquals, b.States())
}
