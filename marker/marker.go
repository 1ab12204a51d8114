// Package marker keeps what balancers observed about upstreams: down, draining or well.
//
// A mark never leaves the table while its upstream is known, also when the
// upstream is well again: flows that began elsewhere in the meantime still run,
// so that its flows can't be derived.
package marker

import (
	"slices"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/ranker"
)

// Health is the observed state of an upstream.
type Health uint32

// The states.
const (
	// Healthy means that new flows may go there again.
	Healthy Health = iota
	// Draining means that the upstream said that it is leaving.
	Draining
	// Down means that the upstream doesn't answer.
	Down
)

// String returns the name of the state.
func (s Health) String() string {
	switch s {
	case Healthy:
		return "well"
	case Draining:
		return "draining"
	case Down:
		return "down"
	}
	return "invalid"
}

// HealthState is one observation; a higher Seq replaces a lower one.
type HealthState struct {
	Upstream rattanwood.UpstreamID
	Health   Health
	Seq      uint64
}

type row struct {
	HealthState
	learned time.Duration
	// adopted is the state that new flows see.
	adopted Health
}

// HealthTable is a table of marks. It isn't safe for concurrent use.
type HealthTable struct {
	hold   time.Duration
	rows   map[rattanwood.UpstreamID]row
	digest uint64
	held   int
}

// New returns an empty table whose marks turn new flows away after hold.
func New(hold time.Duration) *HealthTable {
	return &HealthTable{hold: hold, rows: map[rattanwood.UpstreamID]row{}}
}

// Observe records a new state and reports whether it differs from the known one.
func (m *HealthTable) Observe(now time.Duration, id rattanwood.UpstreamID, s Health) bool {
	old, known := m.rows[id]
	if old.Health == s && (known || s == Healthy) {
		return false
	}
	return m.Merge(now, HealthState{Upstream: id, Health: s, Seq: old.Seq + 1})
}

// Merge takes in a mark from a peer and reports whether it was news.
func (m *HealthTable) Merge(now time.Duration, mark HealthState) bool {
	old, known := m.rows[mark.Upstream]
	if known && !supersedes(mark, old.HealthState) {
		return false
	}
	if known {
		m.digest ^= digest(old.HealthState)
	}
	m.digest ^= digest(mark)
	m.rows[mark.Upstream] = row{HealthState: mark, learned: now, adopted: old.adopted}
	m.held++
	return true
}

func supersedes(a, b HealthState) bool {
	if a.Seq != b.Seq {
		return a.Seq > b.Seq
	}
	return a.Health > b.Health
}

func digest(m HealthState) uint64 {
	observation := ranker.Score(uint64(m.Upstream)<<32|uint64(m.Health), 0)
	return ranker.Score(observation, m.Seq)
}

// Tick adopts the marks that are known for longer than the hold time.
func (m *HealthTable) Tick(now time.Duration) {
	if m.held == 0 {
		return
	}
	m.held = 0
	for id, r := range m.rows {
		if r.adopted == r.Health {
			continue
		}
		if now-r.learned < m.hold {
			m.held++
			continue
		}
		r.adopted = r.Health
		m.rows[id] = r
	}
}

// EverUnhealthy reports whether an upstream was ever marked, so that its flows can't be derived.
func (m *HealthTable) EverUnhealthy(id rattanwood.UpstreamID) bool {
	if len(m.rows) == 0 {
		return false
	}
	_, ok := m.rows[id]
	return ok
}

// RejectsNewFlows reports whether new flows must not go to an upstream.
func (m *HealthTable) RejectsNewFlows(id rattanwood.UpstreamID) bool {
	if len(m.rows) == 0 {
		return false
	}
	return m.rows[id].adopted != Healthy
}

// Health returns the newest known state of an upstream, adopted or not.
func (m *HealthTable) Health(id rattanwood.UpstreamID) Health {
	return m.rows[id].Health
}

// ChangedAt returns when the newest state was learned; ok is false without a mark.
func (m *HealthTable) ChangedAt(id rattanwood.UpstreamID) (at time.Duration, ok bool) {
	r, ok := m.rows[id]
	return r.learned, ok
}

// Digest is equal on two balancers that know the same marks.
func (m *HealthTable) Digest() uint64 { return m.digest }

// States returns the marks in the order of their upstreams.
func (m *HealthTable) States() []HealthState {
	all := make([]HealthState, 0, len(m.rows))
	for _, r := range m.rows {
		all = append(all, r.HealthState)
	}
	slices.SortFunc(all, func(a, b HealthState) int { return int(int64(a.Upstream) - int64(b.Upstream)) })
	return all
}
