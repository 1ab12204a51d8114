package detector

import (
	"cmp"
	"slices"
	"time"

	"example.org/rattanwood/ranker"
)

// A sparse detector arranges the members of its own data centre and those of the whole fleet on two
// hash rings. A member's neighbours on a ring are those at distances that are powers of the ring's
// base, to both sides, as in Chord (Stoica and others, 2001). An update floods a ring of n members in
// at most log n hops, and the failure of a member is noticed by the neighbours that send it
// heartbeats. If two members disagree on the order of a ring, that only costs a heartbeat.
const (
	centreRingBase = 2
	fleetRingBase  = 4
)

// chooseNeighbours chooses this process's neighbours on both rings. Members that have chosen this
// process as their neighbour get heartbeats in return.
func (d *Detector) chooseNeighbours(now time.Duration) {
	d.sortRing()
	centre, fleet := d.centre[:0], d.fleet[:0]
	for _, m := range d.ring {
		// A silent neighbour stays one until it is heard or dead, although the ring may change meanwhile.
		m.neighbour = m.neighbour && m.State == Suspect
		m.distant = !m.neighbour && (m.State == Dead || m.lastAsNeighbour == 0 || now-m.lastAsNeighbour > d.cfg.SuspectAfter)
		if m.State == Dead || m.DataCentre == "" {
			continue
		}
		fleet = append(fleet, m)
		if m.DataCentre == d.cfg.DataCentre {
			centre = append(centre, m)
		}
	}
	d.centre, d.fleet = centre, fleet
	d.chooseOnRing(now, centre, centreRingBase)
	d.chooseOnRing(now, fleet, fleetRingBase)
}

// sortRing brings all members into the order of their hashes, if members were added or removed.
func (d *Detector) sortRing() {
	if d.ringGeneration == d.generation {
		return
	}
	d.ringGeneration = d.generation
	d.ring = append(d.ring[:0], d.sorted...)
	slices.SortFunc(d.ring, func(a, b *Member) int { return cmp.Compare(a.Seed, b.Seed) })
}

// chooseOnRing makes neighbours of the members of a ring, in the order of their hashes, at the distances given by the powers of base.
func (d *Detector) chooseOnRing(now time.Duration, members []*Member, base int) {
	own := ranker.Seed(string(d.cfg.Self))
	position, _ := slices.BinarySearchFunc(members, own, func(m *Member, seed uint64) int { return cmp.Compare(m.Seed, seed) })
	n := len(members)
	for step := 1; step <= n/2 || step == 1 && n > 0; step *= base {
		// The member found at this process's own position is its successor on the ring, as the list
		// doesn't contain the process itself.
		d.makeNeighbour(now, members[(position+step-1)%n])
		d.makeNeighbour(now, members[(position-step%n+n)%n])
	}
}

// makeNeighbour makes a member a neighbour. One that was never heard becomes a suspect, so that it is
// declared dead unless it answers.
func (d *Detector) makeNeighbour(now time.Duration, m *Member) {
	m.neighbour, m.distant = true, false
	if m.State == Listed {
		m.State = Suspect
		m.lastHeard = now
		d.digestStale = true
	}
}

// randomPeerRounds is the period, in rounds of heartbeats, in which a random distant member gets one.
const randomPeerRounds = 3

// randomPeers returns distant members that get a heartbeat in this round: every randomPeerRounds
// rounds a random one, so that parts of the fleet which were partitioned and declared each other dead
// find each other again. Members without a data centre are bootstrap addresses, behind which is some
// other member; they are contacted only while no member is alive, or none is known at the address.
func (d *Detector) randomPeers(now time.Duration) []*Member {
	var distant []*Member
	hasAlive := slices.ContainsFunc(d.sorted, func(m *Member) bool { return m.State == Alive })
	for _, m := range d.sorted {
		if m.distant && (!hasAlive || m.DataCentre != "") {
			distant = append(distant, m)
		}
	}
	if hasAlive {
		distant = d.drawPeers(distant)
	}
	for _, m := range distant {
		m.lastContacted = now
		// Only heartbeats to neighbours ask for heartbeats in return (see Courtesy in BuildHeartbeat),
		// which are needed while no member is alive.
		m.neighbour = !hasAlive
	}
	return distant
}

// drawPeers draws the distant members that get a heartbeat in this round.
func (d *Detector) drawPeers(distant []*Member) (drawn []*Member) {
	if len(distant) > 0 && d.seq%randomPeerRounds == 0 {
		drawn = append(drawn, distant[d.random.IntN(len(distant))])
	}
	if d.seq%bootstrapRounds == 0 {
		if m := d.unclaimedBootstrap(); m != nil {
			drawn = append(drawn, m)
		}
	}
	return drawn
}
