// Package warmer limits how many new flows a fleet of balancers sends to an upstream that has just started.
//
// The upstreams of a data centre are divided into groups. One balancer of the data centre at a time holds the
// lease on a group, for which a majority of the data centre's balancers has voted (leases as in Gray and
// Cheriton, 1989; votes as in Raft). Only the holder admits flows to the cold upstreams of the group, and it
// counts them in a sliding window. Others hand the first packets of flows over to it.
//
// Votes need no agreement on who is alive, but on who is a member. Each holder therefore admits half of what an
// upstream bears: the sum holds as long as not more than two balancers take themselves for the holder, and three
// can't, unless their lists of members together lack a third of all members.
package warmer

import (
	"cmp"
	"slices"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/ranker"
)

const (
	// Window is the time over which flows are counted: a second, and the difference between the times that two
	// packets may take to an upstream.
	Window = 1100 * time.Millisecond
	// LeaseTime is how long a lease lasts from the request for the votes.
	LeaseTime = 2 * time.Second
	// promiseTime is how long a balancer votes for nobody else after a vote: until the lease has expired, and the
	// flows that its holder admitted have left the window.
	promiseTime = LeaseTime + Window
	// RoundInterval is the time between two requests for votes. A lease survives a lost round.
	RoundInterval = 800 * time.Millisecond
	// staleAfter is the time since the last request of a holder after which it isn't asked for flows.
	staleAfter = 1200 * time.Millisecond
	// takeoverDelay is the time without a request of any other balancer after which the next rank asks for votes.
	takeoverDelay = staleAfter
	// maxRank is the last rank that takes over: more would rarely be needed, and their requests could collide.
	maxRank = 2
	// SettleTime is the time after its start in which a balancer holds no lease: it may not know all members yet,
	// and the process before it on the VM may have held one. Fleets of 300 know all their members after 5 s.
	SettleTime = 6 * time.Second
	// claimants is the number of balancers that may hold the lease on a group at the same time without an upstream
	// getting more than it bears.
	claimants = 2
	// numGroups spreads the work over several balancers of a data centre. Each group costs its holder a request
	// to each of the others in each round.
	numGroups = 4
	// membersTime is how long a majority is taken of a number of members after some of them were forgotten.
	membersTime = time.Hour
)

// Group is a part of a data centre's upstreams with a lease of its own.
type Group uint8

var groupKey = ranker.Seed("warmup")

// GroupOf returns the group of an upstream.
func GroupOf(id rattanwood.UpstreamID) Group {
	return Group(ranker.Score(groupKey, uint64(id)) % numGroups)
}

// Member is another balancer of the data centre.
type Member struct {
	// Seed is the hash of the member's name.
	Seed uint64
	// Eligible is set unless the member is known to be dead or about to stop.
	Eligible bool
}

// Config holds the settings of a Warmer.
type Config struct {
	Self        rattanwood.VMID
	Incarnation rattanwood.Incarnation
	// Started is when this process began.
	Started time.Duration
	// Overage and Slack set the most flows that an upstream with a rate of r flows a second may get within any
	// second: r times Overage, plus Slack.
	Overage, Slack float64
}

// Limit returns the most flows that an upstream may get within any second from all balancers together.
func (cfg *Config) Limit(rate float64) int { return int(rate*cfg.Overage + cfg.Slack) }

// Request asks the other balancers of the data centre for their votes.
type Request struct {
	Group Group
	Round uint64
	// Held is set if the sender already holds the lease, so that it can be asked for flows.
	Held bool
}

// Answer is a balancer's answer to a Request.
type Answer struct {
	Request
	Granted bool
	// Members is the number of members of the data centre that the voter knows, itself included.
	Members int
}

// vote is a promise to vote for nobody else.
type vote struct {
	holder rattanwood.VMID
	// until is when the promise ends.
	until time.Duration
}

// lease is the state of a group's lease as its candidate sees it.
type lease struct {
	round       uint64
	requestedAt time.Duration
	// voters granted the current round, and members is the highest number of members that is known of.
	voters  map[rattanwood.VMID]bool
	members int
	// until is when the lease expires. announced is set once others were told that it is held.
	until     time.Duration
	announced bool
	// holder is the other balancer that last said, at heldAt, that it holds the lease.
	holder rattanwood.VMID
	heldAt time.Duration
	// heardAt is when another balancer last asked for the lease, and outrankedAt when one of a higher rank did.
	heardAt, outrankedAt time.Duration
	// coldSince is when the group's current cold upstreams became known; zero if it has none.
	coldSince time.Duration
}

// Warmer holds a balancer's votes and leases, and counts the flows that it admits. It isn't safe for concurrent
// use.
type Warmer struct {
	cfg    Config
	seed   uint64
	votes  [numGroups]vote
	leases [numGroups]lease
	// members is the number of members of the data centre, this one included, and membersAt when as many were last
	// known.
	members   int
	membersAt time.Duration
	// hasPeers is set once another balancer has been heard, or if there is none.
	hasPeers bool
	admitted map[rattanwood.UpstreamID]*Counter
	// handed counts the flows that a holder was asked for by upstream, so that it isn't asked for more than it can
	// admit.
	handed map[rattanwood.UpstreamID]*Counter
}

// New returns a Warmer that holds no lease.
func New(cfg Config) *Warmer {
	w := &Warmer{
		cfg: cfg, seed: ranker.Seed(string(cfg.Self)), members: 1,
		admitted: map[rattanwood.UpstreamID]*Counter{}, handed: map[rattanwood.UpstreamID]*Counter{},
	}
	for g := range w.leases {
		// Late answers to an earlier process on this VM must not count.
		w.leases[g].round = uint64(cfg.Incarnation) << roundBits
	}
	return w
}

// roundBits is the number of bits of a round's number that count the rounds of one process.
const roundBits = 20

// HearPeer records that another balancer was heard, or that there is none.
func (w *Warmer) HearPeer() { w.hasPeers = true }

// Tick returns the requests to send to all other members of the data centre. Cold are the data centre's cold
// upstreams, by the rate that they bear. Without any, no leases are asked for.
func (w *Warmer) Tick(now time.Duration, cold map[rattanwood.UpstreamID]float64, members []Member) []Request {
	w.countMembers(now, len(members)+1)
	w.removeExpired(now)
	var isCold [numGroups]bool
	for id := range cold {
		isCold[GroupOf(id)] = true
	}
	var out []Request
	for g := range w.leases {
		l := &w.leases[g]
		switch {
		case !isCold[g]:
			l.coldSince = 0
			continue
		case l.coldSince == 0:
			l.coldSince = now
		}
		isNews := w.holds(now, Group(g)) && !l.announced
		if (isNews || !within(now, l.requestedAt, RoundInterval)) && w.shouldAsk(now, Group(g), members) {
			out = append(out, w.newRound(now, Group(g)))
		}
	}
	return out
}

// countMembers sets the number of members of the data centre, this balancer included, that a majority is taken of. It
// is the highest of the last membersTime, since one that is cut off for long forgets the others.
func (w *Warmer) countMembers(now time.Duration, n int) {
	if n >= w.members || now-w.membersAt > membersTime {
		w.members, w.membersAt = n, now
	}
}

// shouldAsk reports whether this balancer should ask for the lease on a group: as its holder, as the first rank, or
// as a lower rank once no other has asked for long enough. Of two that ask at the same time, the lower rank stops.
func (w *Warmer) shouldAsk(now time.Duration, g Group, members []Member) bool {
	if !w.settled(now) {
		return false
	}
	if w.holds(now, g) {
		return true
	}
	l := &w.leases[g]
	if _, held := w.holder(now, g); held || within(now, l.outrankedAt, takeoverDelay) {
		return false
	}
	rank := 0
	for _, m := range members {
		if m.Eligible && w.outranks(m.Seed, g) {
			rank++
		}
	}
	delay := time.Duration(rank) * takeoverDelay
	return rank <= maxRank && !within(now, l.coldSince, delay) && !within(now, l.heardAt, delay)
}

// outranks reports whether the balancer with a seed ranks above this one for the lease on a group.
func (w *Warmer) outranks(seed uint64, g Group) bool {
	key := uint64(g) ^ groupKey
	return ranker.Score(key, seed) > ranker.Score(key, w.seed)
}

// within reports whether something that happened at a time, or never if that is zero, did so within d.
func within(now, at, d time.Duration) bool { return at != 0 && now-at < d }

func (w *Warmer) newRound(now time.Duration, g Group) Request {
	l := &w.leases[g]
	l.round++
	l.requestedAt, l.voters, l.members = now, map[rattanwood.VMID]bool{}, w.members
	l.announced = w.holds(now, g)
	r := Request{Group: g, Round: l.round, Held: l.announced}
	w.HandleAnswer(w.cfg.Self, w.HandleRequest(now, w.cfg.Self, r))
	return r
}

// settled reports whether this process has run long enough to hold a lease. One that has never heard another
// balancer may be cut off from all.
func (w *Warmer) settled(now time.Duration) bool {
	return now-w.cfg.Started >= SettleTime && w.hasPeers
}

// HandleRequest decides whether to vote for a candidate. A process that has just started doesn't know for whom
// the one before it voted.
func (w *Warmer) HandleRequest(now time.Duration, from rattanwood.VMID, r Request) Answer {
	a := Answer{Request: r, Members: w.members}
	if int(r.Group) >= numGroups {
		return a
	}
	if from != w.cfg.Self {
		w.hearRequest(now, from, r)
	}
	if now-w.cfg.Started < promiseTime {
		return a
	}
	v := &w.votes[r.Group]
	if v.holder != from && now < v.until {
		return a
	}
	*v = vote{holder: from, until: now + promiseTime}
	a.Granted = true
	return a
}

// hearRequest records who asks for a lease, and who holds it.
func (w *Warmer) hearRequest(now time.Duration, from rattanwood.VMID, r Request) {
	l := &w.leases[r.Group]
	w.hasPeers, l.heardAt = true, now
	if w.outranks(ranker.Seed(string(from)), r.Group) {
		l.outrankedAt = now
	}
	if r.Held {
		l.holder, l.heldAt = from, now
	}
}

// HandleAnswer records the answer of a member of the data centre to this balancer's newest request. The lease
// counts from the request, so the voter's promise outlasts it.
func (w *Warmer) HandleAnswer(from rattanwood.VMID, a Answer) {
	if int(a.Group) >= numGroups {
		return
	}
	l := &w.leases[a.Group]
	if a.Round != l.round || l.voters == nil {
		return
	}
	l.members = max(l.members, a.Members)
	if a.Granted {
		l.voters[from] = true
	}
	if 2*len(l.voters) > l.members {
		l.until = l.requestedAt + LeaseTime
	}
}

// holds reports whether this balancer holds the lease on a group.
func (w *Warmer) holds(now time.Duration, g Group) bool { return now < w.leases[g].until }

// Held returns the groups on which this balancer holds the lease.
func (w *Warmer) Held(now time.Duration) []Group {
	var out []Group
	for g := range Group(numGroups) {
		if w.holds(now, g) {
			out = append(out, g)
		}
	}
	return out
}

// share is the number of flows that one holder admits to an upstream within a window.
func (w *Warmer) share(rate float64) int { return w.cfg.Limit(rate) / claimants }

// Admit counts a flow for a cold upstream that bears rate flows a second, and reports whether this balancer may
// send it there.
func (w *Warmer) Admit(now time.Duration, id rattanwood.UpstreamID, rate float64) bool {
	return w.holds(now, GroupOf(id)) && counterOf(w.admitted, id).Add(now, w.share(rate))
}

// Holder returns the balancer that can be asked for a flow to a cold upstream, and counts the flow. It
// returns false if none is known, or if it was asked for as many lately as it may admit.
func (w *Warmer) Holder(now time.Duration, id rattanwood.UpstreamID, rate float64) (rattanwood.VMID, bool) {
	vm, ok := w.holder(now, GroupOf(id))
	return vm, ok && counterOf(w.handed, id).Add(now, w.share(rate))
}

// holder returns the other balancer that holds the lease on a group, as far as is known here.
func (w *Warmer) holder(now time.Duration, g Group) (rattanwood.VMID, bool) {
	l := &w.leases[g]
	return l.holder, within(now, l.heldAt, staleAfter)
}

// HasRoom reports whether a flow for a cold upstream would be admitted here or could be asked for.
func (w *Warmer) HasRoom(now time.Duration, id rattanwood.UpstreamID, rate float64) bool {
	g := GroupOf(id)
	if w.holds(now, g) {
		return counterOf(w.admitted, id).Count(now) < w.share(rate)
	}
	_, ok := w.holder(now, g)
	return ok && counterOf(w.handed, id).Count(now) < w.share(rate)
}

func counterOf(counters map[rattanwood.UpstreamID]*Counter, id rattanwood.UpstreamID) *Counter {
	c := counters[id]
	if c == nil {
		c = NewCounter(Window)
		counters[id] = c
	}
	return c
}

func (w *Warmer) removeExpired(now time.Duration) {
	for _, counters := range []map[rattanwood.UpstreamID]*Counter{w.admitted, w.handed} {
		for id, c := range counters {
			if c.Count(now) == 0 {
				delete(counters, id)
			}
		}
	}
}

// Row describes a cold upstream in the state dump.
type Row struct {
	ID string `json:"id"`
	// Rate is the number of new flows a second that it bears, and Limit the most within any second.
	Rate  float64 `json:"rate"`
	Limit int     `json:"limit"`
	// Admitted and Handed are the flows that this balancer lately admitted and asked another one for.
	Admitted int `json:"admitted"`
	Handed   int `json:"handed"`
	// Holder is the other balancer that last said to hold the lease.
	Holder rattanwood.VMID `json:"holder"`
	// Lease says why this balancer does or doesn't admit flows.
	Lease string `json:"lease"`
}

// Rows returns a row for each cold upstream, given with the rate that it bears, sorted by ID.
func (w *Warmer) Rows(now time.Duration, cold map[rattanwood.UpstreamID]float64) []Row {
	rows := []Row{}
	for id, rate := range cold {
		g := GroupOf(id)
		row := Row{ID: id.String(), Rate: rate, Limit: w.cfg.Limit(rate), Holder: w.leases[g].holder, Lease: w.leaseState(now, g)}
		if c := w.admitted[id]; c != nil {
			row.Admitted = c.Count(now)
		}
		if c := w.handed[id]; c != nil {
			row.Handed = c.Count(now)
		}
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.ID, b.ID) })
	return rows
}

// leaseState returns whether this balancer holds a lease or, if not, why.
func (w *Warmer) leaseState(now time.Duration, g Group) string {
	_, elsewhere := w.holder(now, g)
	l := &w.leases[g]
	switch {
	case w.holds(now, g):
		return "held"
	case elsewhere:
		return "elsewhere"
	case !w.settled(now):
		return "settling"
	case within(now, l.requestedAt, staleAfter):
		return "outvoted"
	}
	return "none"
}
