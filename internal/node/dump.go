package node

import (
	"example.org/rattanwood"
	"example.org/rattanwood/tagger"
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
	// AgeMillis is the time in milliseconds since the records were last known to be current, or -1 if they
	// never were.
	AgeMillis int64 `json:"age"`
	// ReaderRank is the number of balancers that take over reading the source before this one.
	ReaderRank int `json:"rank"`
	// IsReader is set while this balancer reads the source for the others.
	IsReader bool `json:"reading"`
	// SourceUnreachable is set if this balancer's last read of the source failed.
	SourceUnreachable bool                 `json:"blind"`
	ShuttingDown      bool                 `json:"leaving"`
	Members           []MemberState        `json:"members"`
	Evacuated         []EvacuationState    `json:"evacuated"`
	Upstreams         []tagger.UpstreamRow `json:"upstreams"`
	Flows             []tagger.FlowRow     `json:"flows"`
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

// dump returns the tables, with at most maxFlows flows.
func (n *Node) dump(maxFlows int) *State {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	s := &State{
		VM: n.cfg.Settings.VM, Incarnation: uint64(n.cfg.Incarnation), Era: n.replica.Position().Era(), Revision: n.replica.Position().Revision(), Settling: n.copier.Settling(now), Version: n.tagger.Version(), AgeMillis: -1,
		ReaderRank: n.messenger.ReaderRank(), IsReader: n.watcher.IsReader(), SourceUnreachable: n.watcher.SourceUnreachable(), ShuttingDown: n.shuttingDown.Load(),
		Members: []MemberState{}, Evacuated: n.evacuations(now), Upstreams: n.tagger.Upstreams(now), Flows: n.tagger.Flows(maxFlows),
	}
	if age, ok := n.watcher.Age(now); ok {
		s.AgeMillis = age.Milliseconds()
	}
	for _, m := range n.messenger.Members.Members() {
		s.Members = append(s.Members, MemberState{
			VM: m.VM, DataCentre: m.DataCentre, State: m.State.String(), ShuttingDown: m.Leaving, SourceUnreachable: m.PlatformUnreachable, Incarnation: m.Incarnation, Address: m.Address.String(),
		})
	}
	return s
}
