// Package marker keeps the health states of upstreams that balancers observed and gossip to each
// other. It decides which upstreams take new flows; checking their health and sending states is
// left to the caller.
//
// A state stays in the table when the upstream is healthy again: flows that began on other
// upstreams in the meantime still run, so that the flows of this upstream can't be found by hashing
// alone.
package marker

import (
	"slices"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/ranker"
)

// Health is the observed health of an upstream. The numbers are on the wire; of two observations
// with the same sequence number the higher one wins.
type Health uint32

const (
	// Healthy means that the upstream takes new flows.
	Healthy Health = iota
	// Draining means that the upstream announced that it is shutting down.
	Draining
	// Down means that the upstream doesn't answer health checks.
	Down
)

// String returns the name of the health, as in dumps.
func (h Health) String() string {
	switch h {
	case Healthy:
		return "well"
	case Draining:
		return "draining"
	case Down:
		return "down"
	}
	return "invalid"
}

// HealthState is one observation of an upstream. Seq counts the observations of the upstream; a
// higher one replaces a lower one.
type HealthState struct {
	Upstream rattanwood.UpstreamID
	Health   Health
	Seq      uint64
}

// entry is the newest known state of an upstream, with the health that currently decides on its new
// flows.
type entry struct {
	HealthState
	// learnedAt is when this balancer learned of the state.
	learnedAt time.Duration
	// active is the health that decides on new flows; it follows after the activation delay.
	active Health
}

// HealthTable holds the health states of the upstreams that were ever observed to be unhealthy. It
// isn't safe for concurrent use.
type HealthTable struct {
	activationDelay time.Duration
	entries         map[rattanwood.UpstreamID]entry
	// digest is the exclusive or of the hashes of all states.
	digest uint64
	// pendingCount is at least the number of entries that wait for the activation delay; zero lets
	// Tick skip the table.
	pendingCount int
}

// New returns an empty table. A state decides on new flows once it has been known for the
// activation delay, so that every balancer with a valid lease knows it by then.
func New(activationDelay time.Duration) *HealthTable {
	return &HealthTable{activationDelay: activationDelay, entries: map[rattanwood.UpstreamID]entry{}}
}

// Observe records the result of this balancer's own health check and reports whether it differs
// from the known health. An upstream that was always healthy isn't recorded.
func (m *HealthTable) Observe(now time.Duration, id rattanwood.UpstreamID, h Health) bool {
	old, known := m.entries[id]
	if old.Health == h && (known || h == Healthy) {
		return false
	}
	return m.Merge(now, HealthState{Upstream: id, Health: h, Seq: old.Seq + 1})
}

// Merge records a state, which may come from a peer, if it supersedes the known one, and reports
// whether it did.
func (m *HealthTable) Merge(now time.Duration, s HealthState) bool {
	old, known := m.entries[s.Upstream]
	if known && !supersedes(s, old.HealthState) {
		return false
	}
	if known {
		m.digest ^= hashState(old.HealthState)
	}
	m.digest ^= hashState(s)
	m.entries[s.Upstream] = entry{HealthState: s, learnedAt: now, active: old.active}
	m.pendingCount++
	return true
}

// supersedes reports whether a replaces b; all balancers agree on it, whatever order the states
// arrive in.
func supersedes(a, b HealthState) bool {
	if a.Seq != b.Seq {
		return a.Seq > b.Seq
	}
	return a.Health > b.Health
}

// hashState returns the part of the digest that a state contributes.
func hashState(s HealthState) uint64 {
	observation := ranker.Score(uint64(s.Upstream)<<32|uint64(s.Health), 0)
	return ranker.Score(observation, s.Seq)
}

// Tick activates the states that have been known for the activation delay.
func (m *HealthTable) Tick(now time.Duration) {
	if m.pendingCount == 0 {
		return
	}
	m.pendingCount = 0
	for id, e := range m.entries {
		if e.active == e.Health {
			continue
		}
		if now-e.learnedAt < m.activationDelay {
			m.pendingCount++
			continue
		}
		e.active = e.Health
		m.entries[id] = e
	}
}

// EverUnhealthy reports whether an upstream was ever observed to be draining or down. Its flows may
// then be on other upstreams.
func (m *HealthTable) EverUnhealthy(id rattanwood.UpstreamID) bool {
	if len(m.entries) == 0 {
		return false
	}
	_, ok := m.entries[id]
	return ok
}

// RejectsNewFlows reports whether the active state of an upstream keeps new flows off it.
func (m *HealthTable) RejectsNewFlows(id rattanwood.UpstreamID) bool {
	if len(m.entries) == 0 {
		return false
	}
	return m.entries[id].active != Healthy
}

// Health returns the newest known health of an upstream, even before the activation delay is over.
func (m *HealthTable) Health(id rattanwood.UpstreamID) Health {
	return m.entries[id].Health
}

// ChangedAt returns when the newest state of an upstream was learned; ok is false if there is none.
func (m *HealthTable) ChangedAt(id rattanwood.UpstreamID) (at time.Duration, ok bool) {
	e, ok := m.entries[id]
	return e.learnedAt, ok
}

// Digest returns a hash of all states, by which balancers find out whether theirs differ.
func (m *HealthTable) Digest() uint64 { return m.digest }

// States returns all states, sorted by upstream id.
func (m *HealthTable) States() []HealthState {
	all := make([]HealthState, 0, len(m.entries))
	for _, e := range m.entries {
		all = append(all, e.HealthState)
	}
	slices.SortFunc(all, func(a, b HealthState) int { return int(int64(a.Upstream) - int64(b.Upstream)) })
	return all
}
