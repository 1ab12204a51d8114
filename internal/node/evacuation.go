package node

import (
	"time"

	"go.uber.org/zap"

	"example.org/rattanwood"
	"example.org/rattanwood/internal/logger"
)

// beginEvacuation puts the evacuation of a data centre in force. The calling code must hold mu.
func (n *Node) beginEvacuation(now time.Duration, from string, r rattanwood.Record, centre rattanwood.DataCentre) {
	if !n.evacuator.Set(now, centre, r.Position) {
		return
	}
	n.tagger.MarkSlotsOutdated()
	upstreams, flows := n.tagger.Usage(centre)
	age, _ := n.watcher.Age(now)
	n.logChange("data centre evacuated", from, r, zap.String("centre", string(centre)), zap.Int("upstreams", upstreams),
		zap.Int("flows", flows), zap.Int64(logger.KeyAge, age.Milliseconds()))
}

// endEvacuation lets a data centre's upstreams take new flows again. The calling code must hold mu.
func (n *Node) endEvacuation(now time.Duration, from string, r rattanwood.Record, centre rattanwood.DataCentre) {
	evacuation, ok := n.evacuator.Clear(centre)
	if !ok {
		return
	}
	n.tagger.MarkSlotsOutdated()
	upstreams, flows := n.tagger.Usage(centre)
	age, _ := n.watcher.Age(now)
	n.logChange("evacuation taken back", from, r, zap.String("centre", string(centre)), zap.Int("upstreams", upstreams),
		zap.Int("flows", flows), zap.Int64("after", (now-evacuation.Since).Milliseconds()), zap.Int64(logger.KeyAge, age.Milliseconds()))
}

// EvacuationState describes an evacuated data centre in a State.
type EvacuationState struct {
	DataCentre rattanwood.DataCentre `json:"centre"`
	// SinceMillis is the time in milliseconds since this balancer learned of the evacuation.
	SinceMillis int64 `json:"since"`
	// Position is the era and the revision of the record that asks for it.
	Position string `json:"position"`
	// Upstreams is the number of known upstreams in the data centre; zero may mean that the name is wrong.
	Upstreams int `json:"upstreams"`
	// Flows is the number of flows on them whose packets passed this balancer lately.
	Flows int `json:"flows"`
}

// evacuations returns a row for each evacuated data centre. The calling code must hold mu.
func (n *Node) evacuations(now time.Duration) []EvacuationState {
	rows := []EvacuationState{}
	for _, e := range n.evacuator.Evacuations() {
		upstreams, flows := n.tagger.Usage(e.DataCentre)
		rows = append(rows, EvacuationState{
			DataCentre: e.DataCentre, SinceMillis: (now - e.Since).Milliseconds(), Position: e.Position.String(), Upstreams: upstreams, Flows: flows,
		})
	}
	return rows
}
