package allocator

import (
	"cmp"
	"slices"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/admitter"
)

const (
	// pressureSamples is the number of offers that a Pressure is averaged over.
	pressureSamples = 30
	// PressureTTL is the age after which a Pressure says nothing any more.
	PressureTTL = 300 * time.Millisecond
	// placeableExcess is the ratio of the offers that are handed to an allocator to those that it can place, from which
	// on the others are refused before. It keeps each gap filled.
	placeableExcess = 1.4
)

// Pressure is the share of the recent offers of a level that found no room, and of those that were refused for good
// because no other group had room either.
type Pressure struct {
	Service       rattanwood.ServiceID
	Level         admitter.Level
	Full, Refused float64
}

// Thinning returns the share of the offers that may be refused without asking the allocator that told of a pressure.
func (p Pressure) Thinning() float64 {
	return max(1-placeableExcess*(1-p.Refused), 0)
}

// levelState is what is known of the offers of a level.
type levelState struct {
	usedAt        time.Duration
	full, refused float64
}

func (l *levelState) record(full, refused bool) {
	for _, share := range []struct {
		value *float64
		hit   bool
	}{{&l.full, full}, {&l.refused, refused}} {
		x := 0.0
		if share.hit {
			x = 1
		}
		*share.value += (x - *share.value) / pressureSamples
	}
}

// Refuse records that an offer for which Place found no room was refused for good.
func (a *Allocator) Refuse(now time.Duration, o Offer) {
	a.serviceOf(o.Service).level(now, o.Level).record(true, true)
}

// HandOn records that an offer for which Place found no room was passed on to another allocator.
func (a *Allocator) HandOn(now time.Duration, o Offer) {
	a.serviceOf(o.Service).level(now, o.Level).record(true, false)
}

// Pressures returns the levels of all services that lack room, sorted.
func (a *Allocator) Pressures(now time.Duration) []Pressure {
	var out []Pressure
	for id, s := range a.services {
		for level, l := range s.levels {
			if now-l.usedAt <= PressureTTL && l.full >= 1.0/pressureSamples {
				out = append(out, Pressure{Service: id, Level: level, Full: l.full, Refused: l.refused})
			}
		}
	}
	slices.SortFunc(out, func(x, y Pressure) int {
		return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.Level, y.Level))
	})
	return out
}
