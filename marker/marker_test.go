package marker_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/marker"
)

const activationDelay = 3 * time.Second

func TestUnhealthyUpstreamRejectsNewFlowsAfterDelay(t *testing.T) {
	c := qt.New(t)
	m := marker.New(activationDelay)
	c.Assert(m.Observe(0, 7, marker.Healthy), qt.IsFalse)
	c.Assert(m.Observe(0, 7, marker.Down), qt.IsTrue)
	c.Assert(m.EverUnhealthy(7), qt.IsTrue)
	c.Assert(m.RejectsNewFlows(7), qt.IsFalse)
	m.Tick(activationDelay - 1)
	c.Assert(m.RejectsNewFlows(7), qt.IsFalse)
	m.Tick(activationDelay)
	c.Assert(m.RejectsNewFlows(7), qt.IsTrue)
}

func TestRecoveredUpstreamStaysRecorded(t *testing.T) {
	c := qt.New(t)
	m := marker.New(activationDelay)
	m.Observe(0, 7, marker.Down)
	m.Tick(activationDelay)
	m.Observe(activationDelay, 7, marker.Healthy)
	m.Tick(2 * activationDelay)
	c.Assert(m.RejectsNewFlows(7), qt.IsFalse)
	c.Assert(m.EverUnhealthy(7), qt.IsTrue)
}

func TestDigestsDiffer(t *testing.T) {
	seen := map[uint64]marker.HealthState{}
	for upstream := range rattanwood.UpstreamID(20) {
		for health := marker.Healthy; health <= marker.Down; health++ {
			for seq := range uint64(20) {
				m := marker.New(activationDelay)
				state := marker.HealthState{Upstream: upstream, Health: health, Seq: seq + 1}
				m.Merge(0, state)
				other, taken := seen[m.Digest()]
				qt.Assert(t, taken, qt.IsFalse, qt.Commentf("%v and %v have the same digest", state, other))
				seen[m.Digest()] = state
			}
		}
	}
}

// TestTablesConverge merges the same states in opposite orders.
func TestTablesConverge(t *testing.T) {
	c := qt.New(t)
	states := []marker.HealthState{{7, marker.Down, 1}, {7, marker.Draining, 1}, {7, marker.Healthy, 2}, {9, marker.Down, 3}, {9, marker.Down, 2}}
	a, b := marker.New(activationDelay), marker.New(activationDelay)
	for i := range states {
		a.Merge(0, states[i])
		b.Merge(0, states[len(states)-1-i])
	}
	c.Assert(a.Digest(), qt.Equals, b.Digest())
	c.Assert(a.States(), qt.DeepEquals, b.States())
}
