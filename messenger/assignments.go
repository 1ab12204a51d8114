package messenger

import (
	"slices"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/ranker"
)

// assignmentRetention is how long the assignment of an upstream that nobody asks for is kept at least.
const assignmentRetention = time.Minute

// assignments knows which of a set of balancers rendezvous hashing ranks first for each upstream, and
// keeps that until the set changes. A balancer that joins then costs a comparison for each upstream, and
// one that is lost a ranking for each upstream whose first it was.
type assignments struct {
	// balancers are the hashes of the balancers' names, in order.
	balancers []uint64
	// first holds the hash of the first-ranked balancer. Those not asked for since rotatedAt are in
	// earlier, which is dropped at the next rotation.
	first, earlier map[rattanwood.UpstreamID]uint64
	rotatedAt      time.Duration
}

func newAssignments() *assignments {
	return &assignments{first: map[rattanwood.UpstreamID]uint64{}, earlier: map[rattanwood.UpstreamID]uint64{}}
}

// setBalancers replaces the set of balancers.
func (a *assignments) setBalancers(balancers []uint64) {
	slices.Sort(balancers)
	isLost := map[uint64]bool{}
	for _, b := range a.balancers {
		if _, ok := slices.BinarySearch(balancers, b); !ok {
			isLost[b] = true
		}
	}
	var joined []uint64
	for _, b := range balancers {
		if _, ok := slices.BinarySearch(a.balancers, b); !ok {
			joined = append(joined, b)
		}
	}
	a.balancers = balancers
	for _, known := range []map[rattanwood.UpstreamID]uint64{a.first, a.earlier} {
		for id, first := range known {
			if isLost[first] {
				known[id] = rankFirst(id, balancers[0], balancers)
			} else if len(joined) > 0 {
				known[id] = rankFirst(id, first, joined)
			}
		}
	}
}

// firstFor returns the hash of the balancer that is ranked first for an upstream.
func (a *assignments) firstFor(now time.Duration, id rattanwood.UpstreamID) uint64 {
	if now-a.rotatedAt >= assignmentRetention {
		a.rotatedAt = now
		a.first, a.earlier = a.earlier, a.first
		clear(a.first)
	}
	first, ok := a.first[id]
	if ok {
		return first
	}
	if first, ok = a.earlier[id]; !ok {
		first = rankFirst(id, a.balancers[0], a.balancers)
	}
	a.first[id] = first
	return first
}

// rankFirst returns the balancer with the highest score for an upstream, of one and some others.
func rankFirst(id rattanwood.UpstreamID, first uint64, others []uint64) uint64 {
	highest := ranker.Score(uint64(id), first)
	for _, b := range others {
		if score := ranker.Score(uint64(id), b); score > highest {
			first, highest = b, score
		}
	}
	return first
}
