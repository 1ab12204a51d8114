// Package evacuator holds the data centres that operators have evacuated: their upstreams get no new flows
// until the request is taken back.
//
// It doesn't judge which of two changes is the later one; package reconciler decides what is in effect.
package evacuator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"example.org/rattanwood"
)

// Evacuation is a data centre that is evacuated.
type Evacuation struct {
	DataCentre rattanwood.DataCentre
	// Since is when this balancer learned of it.
	Since time.Duration
	// Position is that of the record that asks for it.
	Position rattanwood.Position
}

// Evacuator is the set of evacuated data centres. Their names needn't be known otherwise. It isn't safe for
// concurrent use.
type Evacuator struct {
	centres map[rattanwood.DataCentre]Evacuation
}

// New returns an Evacuator without evacuated data centres.
func New() *Evacuator {
	return &Evacuator{centres: map[rattanwood.DataCentre]Evacuation{}}
}

// Set records that a data centre is evacuated and reports whether it wasn't before. A request that is repeated
// keeps the time of the first one.
func (e *Evacuator) Set(now time.Duration, centre rattanwood.DataCentre, position rattanwood.Position) bool {
	evacuation, known := e.centres[centre]
	if !known {
		evacuation = Evacuation{DataCentre: centre, Since: now}
	}
	evacuation.Position = position
	e.centres[centre] = evacuation
	return !known
}

// Clear records that an evacuation was taken back, and returns it; ok is false if there was none.
func (e *Evacuator) Clear(centre rattanwood.DataCentre) (evacuation Evacuation, ok bool) {
	evacuation, ok = e.centres[centre]
	delete(e.centres, centre)
	return evacuation, ok
}

// Evacuated reports whether a data centre is evacuated.
func (e *Evacuator) Evacuated(centre rattanwood.DataCentre) bool {
	if len(e.centres) == 0 {
		return false
	}
	_, ok := e.centres[centre]
	return ok
}

// Evacuations returns the evacuated data centres, sorted by name.
func (e *Evacuator) Evacuations() []Evacuation {
	return slices.SortedFunc(maps.Values(e.centres), func(a, b Evacuation) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
}
