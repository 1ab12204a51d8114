package detector

import (
	"cmp"
	"slices"
	"time"

	"example.org/rattanwood/ranker"
)

// A sparse detector arranges the members of its data centre, and those of all, in two circles by
// hash. Neighbours are those at distances that are powers of a base, to both sides, as in Chord (Stoica
// and others, 2001): news floods a circle of n in log n hops at most, and any member that fails
// is known to those that beat it. Members that two tables order differently only cost a heartbeat.
const (
	centreBase = 2
	fleetBase  = 4
)

// choose finds the neighbours. Members that are not, but beat this one as theirs, are answered.
func (d *Detector) choose(now time.Duration) {
	var centre, fleet []*Member
	for _, m := range d.order {
		m.chosen = false
		m.distant = m.State == Dead || m.wanted == 0 || now-m.wanted > d.cfg.SuspectAfter
		if m.State == Dead || m.DataCentre == "" {
			continue
		}
		fleet = append(fleet, m)
		if m.DataCentre == d.cfg.DataCentre {
			centre = append(centre, m)
		}
	}
	d.circle(now, centre, centreBase)
	d.circle(now, fleet, fleetBase)
}

// circle marks the neighbours among members of a circle that this one takes part in.
func (d *Detector) circle(now time.Duration, members []*Member, base int) {
	slices.SortFunc(members, func(a, b *Member) int { return cmp.Compare(a.Seed, b.Seed) })
	own := ranker.Seed(string(d.cfg.Self))
	at, _ := slices.BinarySearchFunc(members, own, func(m *Member, seed uint64) int { return cmp.Compare(m.Seed, seed) })
	n := len(members)
	for step := 1; step <= n/2 || step == 1 && n > 0; step *= base {
		// The member at the own place is the next one, since this one isn't in the table.
		d.adopt(now, members[(at+step-1)%n])
		d.adopt(now, members[(at-step%n+n)%n])
	}
}

// adopt makes a member a neighbour. One that was never heard must answer like any other.
func (d *Detector) adopt(now time.Duration, m *Member) {
	m.chosen, m.distant = true, false
	if m.State == Listed {
		m.State = Suspect
		m.heard = now
		d.stale = true
	}
}

// strangerRounds is the number of rounds of heartbeats between two to a stranger.
const strangerRounds = 3

// stranger returns members that are not neighbours: now and then one at random, so that parts of
// the fleet which were cut off and declared dead find each other again. Members without a data centre
// are seeds that stand for others; they are asked only while nobody else is there.
func (d *Detector) stranger(now time.Duration) []*Member {
	var distant []*Member
	company := slices.ContainsFunc(d.order, func(m *Member) bool { return m.State == Alive })
	for _, m := range d.order {
		if m.distant && (!company || m.DataCentre != "") {
			distant = append(distant, m)
		}
	}
	if len(distant) == 0 || company && d.seq%strangerRounds != 0 {
		return nil
	}
	if company {
		distant = []*Member{distant[d.random.IntN(len(distant))]}
	}
	for _, m := range distant {
		m.contacted = now
		m.chosen = !company
	}
	return distant
}
