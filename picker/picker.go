// Package picker holds the policies by which an upstream is chosen for a request.
package picker

import (
	"math/rand/v2"

	"example.org/rattanwood"
)

// Random picks any upstream with a free slot.
type Random struct {
	Random *rand.Rand
}

// Pick returns a random index.
func (p Random) Pick(candidates []rattanwood.Candidate) int { return p.Random.IntN(len(candidates)) }

// LeastReported picks the upstream with the least reported load per slot.
type LeastReported struct {
	Random *rand.Rand
}

// Pick returns the index of the upstream with the least reported load; ties are broken at random.
func (p LeastReported) Pick(candidates []rattanwood.Candidate) int {
	return indexOfLeast(p.Random, candidates, func(s rattanwood.Candidate) float64 { return s.Reported / float64(s.Slots) })
}

// TwoChoices picks the less used of two random upstreams, by the requests that this balancer knows
// to run there.
type TwoChoices struct {
	Random *rand.Rand
}

// Pick returns the index of the less loaded of two.
func (p TwoChoices) Pick(candidates []rattanwood.Candidate) int {
	a, b := p.Random.IntN(len(candidates)), p.Random.IntN(len(candidates))
	if utilisation(candidates[b]) < utilisation(candidates[a]) {
		return b
	}
	return a
}

// LeastUsed picks the least used upstream, by the requests that this balancer knows to run there.
type LeastUsed struct {
	Random *rand.Rand
}

// Pick returns the index of the least used upstream; ties are broken at random.
func (p LeastUsed) Pick(candidates []rattanwood.Candidate) int {
	return indexOfLeast(p.Random, candidates, utilisation)
}

func utilisation(s rattanwood.Candidate) float64 { return float64(s.Running) / float64(s.Slots) }

// indexOfLeast returns the index of the smallest cost, a random one if several share it.
func indexOfLeast(random *rand.Rand, candidates []rattanwood.Candidate, cost func(rattanwood.Candidate) float64) int {
	best, ties := 0, 1
	for i := 1; i < len(candidates); i++ {
		a, b := cost(candidates[i]), cost(candidates[best])
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
