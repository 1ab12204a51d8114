package node

import (
	"example.org/rattanwood"
	"example.org/rattanwood/tagger"
)

// State is a dump of the balancer's tables.
type State struct {
	VM       string              `json:"vm"`
	Life     uint64              `json:"life"`
	Revision rattanwood.Revision `json:"revision"`
	Version  rattanwood.Version  `json:"version"`
	// Age is the time in milliseconds since the records were known to be current, -1 for never.
	Age       int64                `json:"age"`
	Rank      int                  `json:"rank"`
	Reading   bool                 `json:"reading"`
	Blind     bool                 `json:"blind"`
	Leaving   bool                 `json:"leaving"`
	Members   []MemberState        `json:"members"`
	Upstreams []tagger.UpstreamRow `json:"upstreams"`
	Flows     []tagger.FlowRow     `json:"flows"`
}

// MemberState is a row of the table of members.
type MemberState struct {
	VM      rattanwood.VMID        `json:"vm"`
	Centre  rattanwood.DataCentre  `json:"centre"`
	State   string                 `json:"state"`
	Leaving bool                   `json:"leaving,omitempty"`
	Blind   bool                   `json:"blind,omitempty"`
	Life    rattanwood.Incarnation `json:"life"`
	Address string                 `json:"address"`
}

// dump returns the tables, with at most rows flows.
func (n *Node) dump(rows int) *State {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	s := &State{
		VM: n.cfg.Settings.VM, Life: uint64(n.cfg.Life), Revision: n.copy.At(), Version: n.flows.Version(), Age: -1,
		Rank: n.talk.ReaderRank(), Reading: n.watch.Active(), Blind: n.watch.Blind(), Leaving: n.leaving.Load(),
		Members: []MemberState{}, Upstreams: n.flows.Upstreams(now), Flows: n.flows.Flows(rows),
	}
	if age, ok := n.watch.Age(now); ok {
		s.Age = age.Milliseconds()
	}
	for _, m := range n.talk.Members.Members() {
		s.Members = append(s.Members, MemberState{
			VM: m.VM, Centre: m.DataCentre, State: m.State.String(), Leaving: m.Leaving, Blind: m.Blind, Life: m.Life, Address: m.Address.String(),
		})
	}
	return s
}
