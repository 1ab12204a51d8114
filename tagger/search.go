package tagger

import (
	"slices"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/allocator"
)

// Search is the question to the trackers of a flow where an earlier copy of its first packet went, with their answers.
type Search struct {
	Flow    allocator.FlowID
	Answers []TrackerAnswer
	// since is when the trackers were asked.
	since time.Duration
}

// TrackerAnswer is the answer of a tracker.
type TrackerAnswer struct {
	Tracker rattanwood.VMID
	// Answered is false as long as the tracker is silent. The other fields are set if it isn't.
	Answered bool
	// After is the time from the question to the answer.
	After time.Duration
	// Upstream is that of the flow, zero if the tracker doesn't know it.
	Upstream rattanwood.UpstreamID
	// Younger is set if the tracker may have begun after the flow, so that it can't know it.
	Younger bool
}

// minTrackerSpan is the time for which a tracker must have been told of flows before a copy arrived. A Caller gives up after
// openingTime, but a slow one sends copies late.
const minTrackerSpan = 5 * time.Second

// searchRetentionTime is how long the answers of trackers are kept for the next copy once that is due.
const searchRetentionTime = 100 * time.Millisecond

func newSearch(now time.Duration, id allocator.FlowID, trackers []rattanwood.VMID) *Search {
	q := &Search{Flow: id, Answers: make([]TrackerAnswer, len(trackers)), since: now}
	for i, tracker := range trackers {
		q.Answers[i].Tracker = tracker
	}
	return q
}

// record records what a balancer told of the flow, if it was asked. One that has been told of flows for less than minSpan may
// be younger than the flow.
func (q *Search) record(now time.Duration, from rattanwood.VMID, p PlacementReport, minSpan time.Duration) {
	for i := range q.Answers {
		if a := &q.Answers[i]; a.Tracker == from && (!a.Answered || p.Upstream != 0) {
			a.Answered, a.After, a.Upstream = true, now-q.since, p.Upstream
			a.Younger = p.Upstream == 0 && p.Span != 0 && p.Span < minSpan
		}
	}
}

// silentTrackers returns the trackers that haven't answered.
func (q *Search) silentTrackers() []rattanwood.VMID {
	var out []rattanwood.VMID
	for _, a := range q.Answers {
		if !a.Answered {
			out = append(out, a.Tracker)
		}
	}
	return out
}

// allowsPlacement reports whether the answers show that no earlier copy went to an upstream: all trackers answered that
// they don't know the flow. Those that are younger than the flow don't count, but one that is older must have answered.
func (q *Search) allowsPlacement() bool {
	unknown := 0
	for _, a := range q.Answers {
		switch {
		case a.Younger:
		case !a.Answered, a.Upstream != 0:
			return false
		default:
			unknown++
		}
	}
	return unknown > 0
}

// follow returns the search for the next copy of the same first packet, which also reached this balancer: no balancer
// can have sent the flow to an upstream since the earlier one arrived. Answers of balancers that aren't trackers any more
// are left out.
func (q *Search) follow(trackers []rattanwood.VMID) *Search {
	next := newSearch(q.since, q.Flow, trackers)
	for i, a := range next.Answers {
		j := slices.IndexFunc(q.Answers, func(earlier TrackerAnswer) bool { return earlier.Tracker == a.Tracker })
		if j >= 0 {
			next.Answers[i] = q.Answers[j]
		}
	}
	return next
}

// askedTrackers returns the trackers to ask for a flow: those that aren't known to stand still, or all if there are no
// others.
func (t *Tagger) askedTrackers(now time.Duration, id allocator.FlowID) []rattanwood.VMID {
	var trackers []rattanwood.VMID
	if t.cfg.AskedTrackers != nil {
		trackers = t.cfg.AskedTrackers(uint64(id))
	} else {
		trackers, _ = t.cfg.Trackers(uint64(id))
	}
	var responsive []rattanwood.VMID
	for _, tracker := range trackers {
		if t.trusts(now, tracker) {
			responsive = append(responsive, tracker)
		}
	}
	if len(responsive) == 0 {
		return trackers
	}
	return responsive
}

// seek has a copy of a first packet wait until the trackers of its flow that haven't answered yet do. It drops the copy if
// there are none, or too many flows wait.
func (t *Tagger) seek(now time.Duration, s rattanwood.Segment, packet []byte, q *Search) Verdict {
	silent := q.silentTrackers()
	if len(silent) == 0 {
		return Verdict{Reason: Unlocated, Search: q}
	}
	v, ok := t.ask(now, s, packet, Retransmitted, "", Request{Flow: q.Flow, Trackers: silent})
	if !ok {
		return Verdict{Reason: Unlocated, Search: q}
	}
	for _, tracker := range silent {
		t.awaitAnswer(now, tracker)
	}
	w := t.waiting[keyOf(s)]
	w.search = q
	t.sought[q.Flow] = w
	return v
}

// continueSearch decides on the next copy of a first packet whose trackers were asked because of an earlier one.
func (t *Tagger) continueSearch(now time.Duration, s rattanwood.Segment, packet []byte, route *rattanwood.Route, w *waitingFlow) Verdict {
	if s.Ack != w.segment.Ack+1 {
		// Another balancer may have sent the copy in between.
		return t.openCopy(now, s, packet, route)
	}
	if v, ok := t.openTracked(now, s, packet, route); ok {
		v.Search = w.search
		return v
	}
	q := w.search.follow(t.askedTrackers(now, w.search.Flow))
	if q.allowsPlacement() {
		v := t.openNew(now, s, packet, route)
		if next := t.waiting[keyOf(s)]; next != nil {
			next.ended = q
		}
		v.Search = q
		return v
	}
	return t.seek(now, s, packet, q)
}

// decideSearched decides on a copy of a first packet if the trackers have answered, and drops it once it is too old to be
// sent. The answers are kept until the next copy should have arrived.
func (t *Tagger) decideSearched(now time.Duration, w *waitingFlow) []OutgoingPacket {
	switch {
	case now-w.segment.Arrived >= firstPacketInterval(w.segment.Ack)+searchRetentionTime:
		t.stopWaiting(keyOf(w.segment))
	case w.abandoned:
	case IsExpired(now, w.segment):
		w.abandoned = true
		t.counts[Drop][Unlocated]++
		return []OutgoingPacket{{Verdict: Verdict{Reason: Unlocated, Search: w.search}, Segment: w.segment}}
	case t.isLocated(now, w.search.Flow) || w.search.allowsPlacement():
		return t.decideWaiting(now, t.stopWaiting(keyOf(w.segment)), nil)
	}
	return nil
}
