package node

import (
	"example.org/rattanwood"
	"example.org/rattanwood/tagger"
)

// State is a dump of the balancer's tables.
type State struct {
	VM          string              `json:"vm"`
	Incarnation uint64              `json:"life"`
	Revision    rattanwood.Revision `json:"revision"`
	Version     rattanwood.Version  `json:"version"`
	// AgeMillis is the time in milliseconds since the records were known to be current, -1 for never.
	AgeMillis         int64                `json:"age"`
	ReaderRank        int                  `json:"rank"`
	IsReader          bool                 `json:"reading"`
	SourceUnreachable bool                 `json:"blind"`
	ShuttingDown      bool                 `json:"leaving"`
	Members           []MemberState        `json:"members"`
	Upstreams         []tagger.UpstreamRow `json:"upstreams"`
	Flows             []tagger.FlowRow     `json:"flows"`
}

// MemberState is a row of the table of members.
type MemberState struct {
	VM                rattanwood.VMID        `json:"vm"`
	DataCentre        rattanwood.DataCentre  `json:"centre"`
	State             string                 `json:"state"`
	ShuttingDown      bool                   `json:"leaving,omitempty"`
	SourceUnreachable bool                   `json:"blind,omitempty"`
	Incarnation       rattanwood.Incarnation `json:"life"`
	Address           string                 `json:"address"`
}

// dump returns the tables, with at most rows flows.
func (n *Node) dump(rows int) *State {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	s := &State{
		VM: n.cfg.Settings.VM, Incarnation: uint64(n.cfg.Incarnation), Revision: n.copy.Revision(), Version: n.flows.Version(), AgeMillis: -1,
		ReaderRank: n.talk.ReaderRank(), IsReader: n.watch.Active(), SourceUnreachable: n.watch.SourceUnreachable(), ShuttingDown: n.leaving.Load(),
		Members: []MemberState{}, Upstreams: n.flows.Upstreams(now), Flows: n.flows.Flows(rows),
	}
	if age, ok := n.watch.Age(now); ok {
		s.AgeMillis = age.Milliseconds()
	}
	for _, m := range n.talk.Members.Members() {
		s.Members = append(s.Members, MemberState{
			VM: m.VM, DataCentre: m.DataCentre, State: m.State.String(), ShuttingDown: m.Leaving, SourceUnreachable: m.PlatformUnreachable, Incarnation: m.Incarnation, Address: m.Address.String(),
		})
	}
	return s
}
