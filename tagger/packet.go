package tagger

import (
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/admitter"
)

// Packet decides what to do with a packet. It copies the bytes of a flow's first packet and doesn't
// keep those of others.
func (t *Tagger) Packet(now time.Duration, s rattanwood.Segment, packet []byte) Verdict {
	if s.Arrived == 0 {
		s.Arrived = now
	}
	v := t.decide(now, s, packet)
	t.counts[v.Action][v.Reason]++
	return v
}

func (t *Tagger) decide(now time.Duration, s rattanwood.Segment, packet []byte) Verdict {
	switch {
	case s.Flags.Has(rattanwood.FlagOpen | rattanwood.FlagAck):
		return Verdict{Reason: InvalidFlags}
	case s.Flags.Has(rattanwood.FlagOpen):
		return t.handleOpening(now, s, packet)
	}
	return t.handleEstablished(now, s)
}

// handleOpening decides on a flow's first packet or a retransmission of it.
func (t *Tagger) handleOpening(now time.Duration, s rattanwood.Segment, packet []byte) Verdict {
	if t.IsResuming(now) {
		return Verdict{Reason: Resuming}
	}
	if IsExpired(now, s) {
		return Verdict{Reason: Expired}
	}
	route := t.routes[s.Target]
	if route == nil {
		return t.refuseUnrouted(now, s)
	}
	if w := t.stopWaiting(keyOf(s)); w != nil {
		return t.handleCopyOfWaiting(now, s, packet, route, w)
	}
	if r := t.recentFlows[keyOf(s)]; r != nil {
		if r.opening {
			return t.handleRepeated(now, s, packet, route, r)
		}
		if u := t.upstreams[r.upstream]; u != nil && s.Ack > 0 && now-r.firstSeen < openingTime {
			// A copy of the first packet was overtaken by the flow's next one.
			return forward(now, u, Retransmitted)
		}
	}
	if s.Ack > 0 {
		return t.openCopy(now, s, packet, route)
	}
	return t.openNew(now, s, packet, route)
}

// openCopy decides on a copy of the first packet of a flow that isn't remembered here.
func (t *Tagger) openCopy(now time.Duration, s rattanwood.Segment, packet []byte, route *rattanwood.Route) Verdict {
	if v, ok := t.handleUnknownCopy(now, s, packet, route); ok {
		return v
	}
	return t.openNew(now, s, packet, route)
}

// openNew places a flow.
func (t *Tagger) openNew(now time.Duration, s rattanwood.Segment, packet []byte, route *rattanwood.Route) Verdict {
	service := t.drawService(route)
	if t.isCounted(service, s.Target) {
		level := t.cfg.Admission.Count(now, offerOf(route, service, s.Caller))
		if v, ok := t.allocate(now, s, packet, route, Request{Service: service, Level: level}); ok {
			return v
		}
	} else if refusal := t.admit(now, route, service, s); refusal != nil {
		return Verdict{Action: Reset, Reason: Overloaded, Refusal: refusal}
	}
	return t.place(now, s, packet, route, t.chooseUpstream(now, route, service, 0), Placed)
}

// refuseUnrouted decides on the first packet of a flow whose target has no route.
func (t *Tagger) refuseUnrouted(now time.Duration, s rattanwood.Segment) Verdict {
	if s.Ack > 0 {
		// Another balancer may have placed the flow by an earlier copy, so that it may be open by now.
		return t.resetEstablished(now, s, NoRoute)
	}
	delete(t.undecided, keyOf(s))
	return t.resetIfCurrent(now, NoRoute)
}

// handleRepeated decides on a copy of an opening flow's first packet.
func (t *Tagger) handleRepeated(now time.Duration, s rattanwood.Segment, packet []byte, route *rattanwood.Route, r *recentFlow) Verdict {
	u := t.upstreams[r.upstream]
	if u != nil && t.isLimited(now, u) {
		return t.reopenCold(now, s, packet, route, r)
	}
	t.cfg.Prober.ReportSuspicion(r.upstream)
	t.recordSilence(now, r)
	if t.keepsFlows(now, route, u) {
		r.recordCopy(now, s)
		return forward(now, u, Retransmitted)
	}
	if r.counted && u != nil {
		if v, ok := t.allocate(now, s, packet, route, Request{Service: u.Service, Level: admitter.LevelOf(route.Class)}); ok {
			return v
		}
	}
	return t.place(now, s, packet, route, t.chooseUpstream(now, route, t.drawService(route), r.upstream), Reassigned)
}

// place opens a flow on an upstream that was chosen for it, or refuses the flow if that is nil.
func (t *Tagger) place(now time.Duration, s rattanwood.Segment, packet []byte, route *rattanwood.Route, u *upstream, reason Reason) Verdict {
	t.recordAway(now, u)
	if u == nil {
		return t.resetIfCurrent(now, t.refusalReason(now, route))
	}
	if t.isLimited(now, u) {
		return t.openCold(now, s, packet, route, u, reason)
	}
	t.cfg.Placer.AddFlow(now, u.id, t.expectedRequests(s.Target))
	t.rememberFlow(now, s, u.id, packet)
	return forward(now, u, reason)
}

// handleEstablished decides on a later packet of a flow.
func (t *Tagger) handleEstablished(now time.Duration, s rattanwood.Segment) Verdict {
	if s.Tag == 0 {
		return Verdict{Reason: Untagged}
	}
	if t.routes[s.Target] == nil && t.version > 0 {
		// Before the first routes arrive (version 0), an established flow is assumed to have a route.
		return t.resetEstablished(now, s, NoRoute)
	}
	reason := Tagged
	if id, ok := t.isOpenAt(s); ok && id != s.Tag {
		s.Tag, reason = id, Kept
	}
	u := t.upstreams[s.Tag]
	if u == nil {
		return t.handleUnknownTag(now, s)
	}
	// If the first packet waits here, an earlier copy of it went by way of another balancer.
	t.stopWaiting(keyOf(s))
	dead := t.isProvedDead(now, s)
	t.observePacket(now, s)
	if !u.registered {
		// The host may still run: while it drains, or when only its registration's lease has
		// expired.
		t.cfg.Prober.ReportUnregistered(now, u.id, u.removedAt)
		if t.isCurrent(now) && now-u.removedAt > t.cfg.ReregistrationTime && t.addressReused(u) && !t.mayPostdate(now, s) {
			return t.resetEstablished(now, s, UpstreamDead)
		}
	}
	if dead {
		return t.resetEstablished(now, s, UpstreamDead)
	}
	return forward(now, u, reason)
}

func (t *Tagger) handleUnknownTag(now time.Duration, s rattanwood.Segment) Verdict {
	postdates := t.mayPostdate(now, s)
	since, known := t.unknownTags[s.Tag]
	if !known {
		if len(t.unknownTags) < t.cfg.MaxRecentFlows {
			t.unknownTags[s.Tag] = now
		}
		return Verdict{Reason: UnknownTag}
	}
	if postdates || now-since < t.cfg.UnknownTagTime {
		return Verdict{Reason: UnknownTag}
	}
	return t.resetEstablished(now, s, UnknownTag)
}

func forward(now time.Duration, u *upstream, reason Reason) Verdict {
	u.lastUsed, u.everUsed = now, true
	return Verdict{Action: Forward, Reason: reason, Instance: u.Instance, Address: u.Address}
}

// resetIfCurrent resets a flow if the routes and upstreams that the decision rests on are confirmed
// to be current, and drops the packet otherwise.
func (t *Tagger) resetIfCurrent(now time.Duration, reason Reason) Verdict {
	if !t.isCurrent(now) {
		return Verdict{Reason: Stale}
	}
	return Verdict{Action: Reset, Reason: reason}
}

// resetEstablished is resetIfCurrent for a packet of a flow that may be established. It also drops packets of flows
// that may rest on newer routes or upstreams than those known here. A reset is never answered by a reset.
func (t *Tagger) resetEstablished(now time.Duration, s rattanwood.Segment, reason Reason) Verdict {
	if s.Flags.Has(rattanwood.FlagReset) {
		return Verdict{Reason: reason}
	}
	if reason == UpstreamDead {
		// An upstream is found dead by this balancer's own checks, or by a replica that was current,
		// so no further check of the replica's age is needed.
		return Verdict{Action: Reset, Reason: reason}
	}
	if t.mayPostdate(now, s) && t.isCurrent(now) {
		return Verdict{Reason: reason}
	}
	return t.resetIfCurrent(now, reason)
}
