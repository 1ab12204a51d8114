// Package picker holds the ways to choose an upstream for a request.
package picker

import (
	"math/rand/v2"

	"example.org/rattanwood"
)

// Random takes any upstream with room.
type Random struct {
	Random *rand.Rand
}

// Pick returns a random index.
func (p Random) Pick(open []rattanwood.Candidate) int { return p.Random.IntN(len(open)) }

// LeastReported takes the upstream with the least reported load.
type LeastReported struct {
	Random *rand.Rand
}

// Pick returns the index of the least reported load; ties are broken at random.
func (p LeastReported) Pick(open []rattanwood.Candidate) int {
	return least(p.Random, open, func(s rattanwood.Candidate) float64 { return s.Reported / float64(s.Slots) })
}

// TwoChoices compares two random upstreams by what is known to run there.
type TwoChoices struct {
	Random *rand.Rand
}

// Pick returns the index of the less loaded of two.
func (p TwoChoices) Pick(open []rattanwood.Candidate) int {
	a, b := p.Random.IntN(len(open)), p.Random.IntN(len(open))
	if used(open[b]) < used(open[a]) {
		return b
	}
	return a
}

// LeastUsed takes the upstream with the most room by what is known to run there.
type LeastUsed struct {
	Random *rand.Rand
}

// Pick returns the index of the least used upstream; ties are broken at random.
func (p LeastUsed) Pick(open []rattanwood.Candidate) int { return least(p.Random, open, used) }

func used(s rattanwood.Candidate) float64 { return float64(s.Running) / float64(s.Slots) }

// least returns the index of the smallest cost, a random one of those that share it.
func least(random *rand.Rand, open []rattanwood.Candidate, cost func(rattanwood.Candidate) float64) int {
	best, ties := 0, 1
	for i := 1; i < len(open); i++ {
		a, b := cost(open[i]), cost(open[best])
		switch {
		case a < b:
			best, ties = i, 1
		case a == b:
			ties++
			if random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

var _ = []rattanwood.Picker{Random{}, LeastReported{}, TwoChoices{}, LeastUsed{}}
