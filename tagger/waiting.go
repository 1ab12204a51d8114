package tagger

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"example.org/rattanwood"
)

// The balancer that takes a flow's first packet from the fabric decides where the flow goes, and is the only one that
// sends the packet. Others advise it: the one that counts the requests under way on a group of upstreams, the one that
// counts the flows of a cold upstream, and those that may know where an earlier copy went. An answer that comes too late
// is ignored, so that packets and messages that waited at a balancer which stood still have no effect.

// maxWait is how long a first packet may wait for an answer. With the time until the next tick, that is less than the
// 200 ms after which its Caller repeats it.
const maxWait = 100 * time.Millisecond

// waitingFlow is a flow whose first packet waits for the answer of another balancer.
type waitingFlow struct {
	segment rattanwood.Segment
	packet  []byte
	reason  Reason
	since   time.Duration
	// peer was asked for request.
	peer    rattanwood.VMID
	request Request
	// repeated is set for the copy of a packet that went to request.Upstream before.
	repeated bool
	// search holds the answers of the trackers, if they were asked, and abandoned is set once the packet is too old to be
	// sent. The answers still serve the next copy.
	search    *Search
	abandoned bool
	// ended is the search that had to come before request.
	ended *Search
	// held is set while the trackers of the flow can't be told, and nobody was asked.
	held bool
}

// ask has a first packet wait until another balancer has answered a request.
func (t *Tagger) ask(now time.Duration, s rattanwood.Segment, packet []byte, reason Reason, peer rattanwood.VMID, q Request) (Verdict, bool) {
	if len(t.waiting) >= t.cfg.MaxRecentFlows {
		return Verdict{}, false
	}
	t.asks[AskSent]++
	t.askSerial++
	q.Serial = t.askSerial
	w := &waitingFlow{segment: s, packet: bytes.Clone(packet), reason: reason, since: now, peer: peer, request: q}
	t.waiting[keyOf(s)], t.asked[q.Serial] = w, w
	return Verdict{Action: Ask, Reason: reason, Peer: peer, Request: &q}, true
}

// hold has a copy of a first packet wait until the trackers of its flow can be told.
func (t *Tagger) hold(now time.Duration, s rattanwood.Segment, packet []byte) Verdict {
	if len(t.waiting) >= t.cfg.MaxRecentFlows {
		return Verdict{Reason: Retransmitted}
	}
	t.waiting[keyOf(s)] = &waitingFlow{segment: s, packet: bytes.Clone(packet), reason: Retransmitted, since: now, held: true}
	return Verdict{Action: Hold, Reason: Retransmitted}
}

// stopWaiting returns the flow that waits with a key, which then waits no longer, or nil.
func (t *Tagger) stopWaiting(key flowKey) *waitingFlow {
	w := t.waiting[key]
	if w != nil {
		delete(t.waiting, key)
		delete(t.asked, w.request.Serial)
		delete(t.sought, w.request.Flow)
	}
	return w
}

// HandleAdvice decides on the flow that an answer is about, unless the flow waits for it no longer. It returns the packet
// to send, or to ask yet another balancer for.
func (t *Tagger) HandleAdvice(now time.Duration, a Advice) []OutgoingPacket {
	w := t.asked[a.Serial]
	if w == nil {
		t.asks[AskLate]++
		return nil
	}
	t.recordAnswer(w.peer)
	return t.decideWaiting(now, t.stopWaiting(keyOf(w.segment)), &a)
}

// Withhold decides on a flow's first packet without the balancer that was to be asked, since the traffic budget doesn't
// suffice.
func (t *Tagger) Withhold(now time.Duration, s rattanwood.Segment) []OutgoingPacket {
	w := t.stopWaiting(keyOf(s))
	if w == nil {
		return nil
	}
	t.asks[AskSent]--
	t.asks[AskWithheld]++
	t.counts[Ask][w.reason]--
	return t.decideWaiting(now, w, nil)
}

// DecideOverdue decides on the first packets that have waited for too long.
func (t *Tagger) DecideOverdue(now time.Duration) []OutgoingPacket {
	var out []OutgoingPacket
	for key, w := range t.waiting {
		switch {
		case w.search != nil:
			out = append(out, t.decideSearched(now, w)...)
		case t.isOverdue(now, w):
			out = append(out, t.decideWaiting(now, t.stopWaiting(key), nil)...)
		}
	}
	sortByCaller(out)
	return out
}

// isOverdue reports whether a first packet has waited for too long, or can be decided on since the trackers of its flow
// can be told.
func (t *Tagger) isOverdue(now time.Duration, w *waitingFlow) bool {
	if !w.held {
		return now-w.since >= maxWait
	}
	_, known := t.cfg.Trackers(uint64(flowIDOf(keyOf(w.segment))))
	return known || IsExpired(now, w.segment)
}

// decideWaiting decides on a first packet after an answer, or without one if that is nil. It drops a packet that waited
// while this process was paused: the Caller has repeated it, possibly to another balancer.
func (t *Tagger) decideWaiting(now time.Duration, w *waitingFlow, a *Advice) []OutgoingPacket {
	v := Verdict{Reason: Expired}
	switch {
	case t.IsResuming(now):
		v.Reason = Resuming
	case !IsExpired(now, w.segment):
		v = t.openWaiting(now, w, a)
	}
	v.Search = cmp.Or(w.search, w.ended)
	t.counts[v.Action][v.Reason]++
	if v.Action == Drop && v.Search == nil {
		return nil
	}
	return []OutgoingPacket{{Verdict: v, Segment: w.segment, Packet: w.packet}}
}

func (t *Tagger) openWaiting(now time.Duration, w *waitingFlow, a *Advice) Verdict {
	s, q := w.segment, w.request
	route := t.routes[s.Target]
	if route == nil {
		return t.refuseUnrouted(now, s)
	}
	if w.held {
		return t.handleOpening(now, s, w.packet)
	}
	if w.search != nil {
		v, ok := t.openTracked(now, s, w.packet, route)
		switch {
		case ok:
		case t.isLocated(now, q.Flow) || w.search.allowsPlacement():
			v = t.openNew(now, s, w.packet, route)
		default:
			v = Verdict{Reason: Unlocated}
		}
		return t.keepSince(w, v)
	}
	if a != nil && a.Upstream != 0 {
		// Who advises may know older routes and upstreams.
		if u := t.upstreams[a.Upstream]; t.keepsFlows(now, route, u) && serves(route, u) && !u.Draining {
			return t.openAdvised(now, w, u)
		}
	}
	switch {
	case w.repeated:
		return Verdict{Reason: Limited}
	case q.Upstream == 0 && a != nil && a.Upstream == 0:
		q.Asked, q.Demand = append(slices.Clone(q.Asked), q.group), a.Demand
		v, _ := t.askNext(now, s, w.packet, route, q)
		return t.keepSince(w, v)
	}
	return t.openWarm(now, s, w.packet, route, w.reason, q.Upstream)
}

// keepSince has a first packet that waited for an answer, and waits for another one by a verdict, wait no longer for both
// than for one. The trackers' answers stay known for logs.
func (t *Tagger) keepSince(w *waitingFlow, v Verdict) Verdict {
	if next := t.waiting[keyOf(w.segment)]; v.Action == Ask && next != nil {
		next.since, next.ended = w.since, cmp.Or(w.search, w.ended)
	}
	return v
}

// openAdvised opens a flow on the upstream that another balancer chose or admitted it to.
func (t *Tagger) openAdvised(now time.Duration, w *waitingFlow, u *upstream) Verdict {
	switch r := t.recentFlows[keyOf(w.segment)]; {
	case w.request.Upstream == 0:
		return t.openCounted(now, w.segment, w.packet, u)
	case w.repeated && r != nil && r.opening:
		r.recordCopy(now, w.segment)
		return forward(now, u, Retransmitted)
	}
	t.rememberFlow(now, w.segment, u.id, w.packet)
	return forward(now, u, w.reason)
}

// handleCopyOfWaiting decides on a copy of a first packet that still waits: whoever was asked doesn't answer.
func (t *Tagger) handleCopyOfWaiting(now time.Duration, s rattanwood.Segment, packet []byte, route *rattanwood.Route, w *waitingFlow) Verdict {
	switch {
	case w.repeated:
		return Verdict{Reason: Limited}
	case w.held:
		return t.openCopy(now, s, packet, route)
	case w.search != nil:
		return t.continueSearch(now, s, packet, route, w)
	}
	return t.openWarm(now, s, packet, route, Reassigned, w.request.Upstream)
}
