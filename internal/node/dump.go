package node

import (
	"slices"

	"example.org/rattanwood"
	"example.org/rattanwood/tagger"
	"example.org/rattanwood/warmer"
)

// State is the dump of the balancer's tables that operators can fetch.
type State struct {
	VM          string              `json:"vm"`
	Incarnation uint64              `json:"life"`
	Era         rattanwood.Era      `json:"era"`
	Revision    rattanwood.Revision `json:"revision"`
	// Settling is set while records that the source lost on its return may still be in effect.
	Settling bool               `json:"settling,omitempty"`
	Version  rattanwood.Version `json:"version"`
	// AppliedMillis is the time in milliseconds since Version came into force.
	AppliedMillis int64 `json:"applied"`
	// AgeMillis is the time in milliseconds since the records were last known to be current, or -1 if they
	// never were.
	AgeMillis int64 `json:"age"`
	// ReaderRank is the number of balancers that take over reading the source before this one.
	ReaderRank int `json:"rank"`
	// IsReader is set while this balancer reads the source for the others.
	IsReader bool `json:"reading"`
	// SourceUnreachable is set if this balancer's last read of the source failed.
	SourceUnreachable bool          `json:"blind"`
	ShuttingDown      bool          `json:"leaving"`
	Members           []MemberState `json:"members"`
	// Invalid are the newest of the records that couldn't be decoded and are still in the source.
	Invalid     []InvalidState       `json:"invalid"`
	Evacuations []EvacuationState    `json:"evacuations"`
	Upstreams   []tagger.UpstreamRow `json:"upstreams"`
	// Cold holds the upstreams of the own data centre that get limited new flows.
	Cold  []warmer.Row     `json:"cold,omitempty"`
	Flows []tagger.FlowRow `json:"flows"`
	// Keys are those that authenticate datagrams between balancers, and Authenticated is set if there are any.
	Authenticated bool       `json:"authenticated"`
	Keys          []KeyState `json:"keys"`
	// Admission is empty unless admission is turned on.
	Admission []AdmissionState `json:"admission,omitempty"`
	// Counts has the upstreams whose requests under way this balancer counts for others, too.
	Counts []CountState `json:"counts,omitempty"`
}

// MemberState describes another balancer in a State.
type MemberState struct {
	VM                rattanwood.VMID        `json:"vm"`
	DataCentre        rattanwood.DataCentre  `json:"centre"`
	State             string                 `json:"state"`
	ShuttingDown      bool                   `json:"leaving,omitempty"`
	SourceUnreachable bool                   `json:"blind,omitempty"`
	Incarnation       rattanwood.Incarnation `json:"life"`
	Address           string                 `json:"address"`
}

// InvalidState describes a record that couldn't be decoded.
type InvalidState struct {
	Kind   rattanwood.RecordKind `json:"kind"`
	Key    string                `json:"key"`
	Reason string                `json:"reason"`
	// Position is the era and the revision of the record.
	Position string `json:"position"`
}

// maxInvalidRecords bounds the invalid records that are kept for dumps.
const maxInvalidRecords = 16

// addInvalid keeps an invalid record. The calling code must hold mu.
func (n *Node) addInvalid(in InvalidState) {
	if len(n.invalidRecords) == maxInvalidRecords {
		n.invalidRecords = slices.Delete(n.invalidRecords, 0, 1)
	}
	n.invalidRecords = append(n.invalidRecords, in)
}

// removeInvalid forgets an invalid record that was replaced. The calling code must hold mu.
func (n *Node) removeInvalid(key string) {
	n.invalidRecords = slices.DeleteFunc(n.invalidRecords, func(in InvalidState) bool { return in.Key == key })
}

// dump returns the tables, with at most maxFlows flows and, if asked for, the upstreams.
func (n *Node) dump(maxFlows int, withUpstreams bool) *State {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	s := &State{
		VM: n.cfg.Settings.VM, Incarnation: uint64(n.cfg.Incarnation), Era: n.replica.Position().Era(), Revision: n.replica.Position().Revision(), Settling: n.copier.Settling(now), Version: n.tagger.Version(), AgeMillis: -1,
		ReaderRank: n.messenger.ReaderRank(), IsReader: n.watcher.IsReader(), SourceUnreachable: n.watcher.SourceUnreachable(), ShuttingDown: n.shuttingDown.Load(),
		AppliedMillis: (now - n.routingAppliedAt).Milliseconds(),
		Members:       []MemberState{}, Invalid: append([]InvalidState{}, n.invalidRecords...), Evacuations: n.evacuations(now), Upstreams: []tagger.UpstreamRow{}, Flows: n.tagger.Flows(maxFlows), Cold: n.warmer.Rows(now, n.tagger.ColdUpstreams(now)),
	}
	if age, ok := n.watcher.Age(now); ok {
		s.AgeMillis = age.Milliseconds()
	}
	s.Keys = n.keyStates()
	s.Authenticated = len(s.Keys) > 0
	if n.admitter != nil {
		s.Admission, s.Counts = n.admissionStates(now), n.countStates(now)
	}
	if withUpstreams {
		s.Upstreams = n.tagger.Upstreams(now)
	}
	for _, m := range n.messenger.Members.Members() {
		s.Members = append(s.Members, MemberState{
			VM: m.VM, DataCentre: m.DataCentre, State: m.State.String(), ShuttingDown: m.Leaving, SourceUnreachable: m.PlatformUnreachable, Incarnation: m.Incarnation, Address: m.Address.String(),
		})
	}
	return s
}
