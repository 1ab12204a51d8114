package tagger

import (
	"bytes"
	"maps"
	"net/netip"
	"slices"
	"time"

	"example.org/rattanwood"
)

type flowKey struct {
	caller, target netip.AddrPort
}

func keyOf(s rattanwood.Segment) flowKey { return flowKey{caller: s.Caller, target: s.Target} }

// recentFlow is what is remembered of a flow whose packets arrived here lately.
type recentFlow struct {
	upstream rattanwood.UpstreamID
	// opening is true until a packet arrives that isn't a retransmission of the first one.
	opening bool
	// segment is the newest packet with data, or the first packet if there was none.
	segment rattanwood.Segment
	// packet holds the bytes of the first packet while the flow is opening.
	packet []byte
	// placedAt is when the flow's first packet was first forwarded to upstream, and retransmitted is set if it was
	// forwarded again, or perhaps elsewhere before.
	placedAt      time.Duration
	retransmitted bool
	// firstSeen is when the flow's first packet arrived here, and arrived when the first one after the last pause of more
	// than maxFlowPause did.
	firstSeen, arrived time.Duration
	// skippedCopy is set if a copy of the first packet didn't arrive here, but a later one did.
	skippedCopy bool
	// lastSeen is the time of the newest packet.
	lastSeen time.Duration
	// stage is that of the last request, requestAck its acknowledgement number, and latestAck the
	// highest one since. requestSentAt is when the request arrived here.
	stage                 requestStage
	requestAck, latestAck uint32
	requestSentAt         time.Duration
	// opened is set if the flow's first packet arrived here, and requests counts its requests since.
	opened   bool
	requests int
	// latency is the time until the last response began; zero means unknown.
	latency time.Duration
	// counted is set if the upstream was chosen by counts of requests under way.
	counted bool
	// tallied is set while the balancer that counts the upstream's requests has been told of one that runs, and failed
	// if the last request failed.
	tallied, failed bool
}

func (t *Tagger) rememberFlow(now time.Duration, s rattanwood.Segment, id rattanwood.UpstreamID, packet []byte) {
	if len(t.recentFlows) >= t.cfg.MaxRecentFlows {
		return
	}
	key := keyOf(s)
	earlier := t.recentFlows[key]
	t.recentFlows[key] = &recentFlow{
		upstream: id, opening: true, opened: true, segment: s, packet: bytes.Clone(packet), placedAt: now, firstSeen: now, arrived: now, lastSeen: now,
		retransmitted: s.Ack > 0 || earlier != nil && earlier.opening,
	}
	t.recordPlacement(now, key, id, s.Arrived)
}

// callerNetwork returns the network of a Caller, whose members are about as far away as each other.
func callerNetwork(caller netip.AddrPort) netip.Prefix {
	bits := 16
	if caller.Addr().Is6() {
		bits = 48
	}
	// The number of bits suits the address, so there is no error.
	network, _ := caller.Addr().Unmap().Prefix(bits)
	return network
}

// isUnanswered reports whether the upstream of an opening flow whose Caller repeats its first packet has most likely not
// answered it: a flow from the same network that was placed later has been answered in the meantime, so that the path
// isn't just long or slow.
func (t *Tagger) isUnanswered(r *recentFlow) bool {
	return t.answeredPlacedAt[callerNetwork(r.segment.Caller)] > r.placedAt
}

// recordAnswered records that an upstream has answered the first packet of a flow.
func (t *Tagger) recordAnswered(now time.Duration, r *recentFlow) {
	network := callerNetwork(r.segment.Caller)
	if _, known := t.answeredPlacedAt[network]; known || len(t.answeredPlacedAt) < t.cfg.MaxRecentFlows {
		t.answeredPlacedAt[network] = max(t.answeredPlacedAt[network], r.placedAt)
	}
	t.cfg.Rotator.RecordAnswered(now)
	if u := t.upstreams[r.upstream]; u != nil {
		u.silentAt, u.answeredPlacedAt = 0, max(u.answeredPlacedAt, r.placedAt)
	}
}

// observePacket counts a flow's requests and reports a retransmission to the prober, since the
// upstream may be dead.
func (t *Tagger) observePacket(now time.Duration, s rattanwood.Segment) {
	key := keyOf(s)
	r := t.recentFlows[key]
	if r == nil || r.upstream != s.Tag {
		if len(t.recentFlows) >= t.cfg.MaxRecentFlows {
			return
		}
		r = &recentFlow{upstream: s.Tag, firstSeen: now, arrived: now, lastSeen: now, segment: rattanwood.Segment{Caller: s.Caller, Target: s.Target, Flags: s.Flags}}
		t.recentFlows[key] = r
	}
	if r.opening {
		if !r.retransmitted && t.cfg.Admission != nil && !t.IsResuming(now) {
			t.averagesOf(key.target).recordRoundTrip(now - r.placedAt)
		}
		t.recordAnswered(now, r)
	}
	r.arrived = r.arrival(now)
	t.trackRequest(now, key, r, s)
	r.opening, r.packet, r.lastSeen, r.segment.Ack = false, nil, now, s.Ack
	switch {
	case s.Flags.Has(rattanwood.FlagReset), s.Flags.Has(rattanwood.FlagClose):
		t.countRequests(key, r)
		delete(t.recentFlows, key)
	case s.Length == 0:
		r.segment.Flags = s.Flags
	case r.segment.Length > 0 && r.segment.Seq == s.Seq:
		t.cfg.Prober.ReportSuspicion(s.Tag)
	default:
		t.cfg.Placer.AddRequest(now, s.Tag)
		t.cfg.Rotator.RecordRequest(now)
		r.segment = s
	}
}

// firstPacketIntervals are the times after which a Caller repeats a first packet, and the copy of it, that isn't
// answered. It gives up after the last one.
var firstPacketIntervals = [...]time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}

// openingTime is the time within which Callers open a flow or give up.
const openingTime = 1400 * time.Millisecond

// firstPacketInterval returns the time until a Caller repeats a first packet or a copy of it, or gives up.
func firstPacketInterval(copies uint32) time.Duration {
	return firstPacketIntervals[min(int(copies), len(firstPacketIntervals)-1)]
}

// sendMargin is the time before the next copy of a first packet at which the packet isn't sent any more. The trackers
// must hear of it before the balancer that gets the copy asks them.
const sendMargin = 20 * time.Millisecond

// IsExpired reports whether a flow's first packet, or a copy of it, has waited here for too long to be sent: its Caller
// is about to repeat it, possibly by way of another balancer.
func IsExpired(now time.Duration, s rattanwood.Segment) bool {
	return now-s.Arrived >= firstPacketInterval(s.Ack)-sendMargin
}

// copyMissed reports whether a copy of a flow's first packet should have arrived here but didn't. Another balancer
// has probably placed the flow by it.
func (r *recentFlow) copyMissed(now time.Duration) bool {
	return r.skippedCopy || IsExpired(now, r.segment)
}

// recordCopy records that a copy of an opening flow's first packet arrived.
func (r *recentFlow) recordCopy(now time.Duration, s rattanwood.Segment) {
	r.skippedCopy = r.skippedCopy || s.Ack > r.segment.Ack+1
	r.lastSeen, r.retransmitted, r.segment.Ack, r.segment.Arrived = now, true, s.Ack, s.Arrived
}

// ReassignOpeningFlows chooses other upstreams for the opening flows of an upstream that doesn't
// answer, and returns their first packets to be forwarded again. Flows that another balancer may have placed are
// left out: a second upstream would take over their tag.
func (t *Tagger) ReassignOpeningFlows(now time.Duration, id rattanwood.UpstreamID) []OutgoingPacket {
	var out []OutgoingPacket
	for _, r := range t.recentFlows {
		if r.upstream != id || !r.opening || r.copyMissed(now) {
			continue
		}
		route := t.routes[r.segment.Target]
		if route == nil {
			continue
		}
		u := t.chooseWarm(now, route, t.drawService(route), id)
		if u == nil || u.id == id {
			continue
		}
		t.cfg.Placer.AddFlow(now, u.id, t.expectedRequests(r.segment.Target))
		r.upstream, r.placedAt, r.retransmitted = u.id, now, true
		t.recordPlacement(now, keyOf(r.segment), u.id, r.segment.Arrived)
		t.counts[Forward][Reassigned]++
		out = append(out, OutgoingPacket{Verdict: forward(now, u, Reassigned), Segment: r.segment, Packet: r.packet})
	}
	sortByCaller(out)
	return out
}

// ResetFlows returns resets for the established flows of a dead upstream. A Caller that waits for a
// response can then retry in time, and an idle one opens another flow before its next request. Flows that came here
// after the check that proved the upstream dead began wait for the next one.
func (t *Tagger) ResetFlows(id rattanwood.UpstreamID) []OutgoingPacket {
	var out []OutgoingPacket
	for key, r := range t.recentFlows {
		if r.upstream != id || r.opening {
			continue
		}
		if !t.cfg.Prober.IsDeadSince(id, r.arrived) {
			t.cfg.Prober.ConfirmDead(id)
			continue
		}
		t.counts[Reset][UpstreamDead]++
		out = append(out, OutgoingPacket{Verdict: Verdict{Action: Reset, Reason: UpstreamDead}, Segment: r.segment})
		delete(t.recentFlows, key)
		delete(t.pendingRequests, key)
	}
	sortByCaller(out)
	return out
}

func sortByCaller(packets []OutgoingPacket) {
	slices.SortFunc(packets, func(a, b OutgoingPacket) int { return a.Segment.Caller.Compare(b.Segment.Caller) })
}

func (t *Tagger) removeExpiredFlows(now time.Duration) {
	for network, placedAt := range t.answeredPlacedAt {
		if now-placedAt > t.cfg.FlowRetentionTime {
			delete(t.answeredPlacedAt, network)
		}
	}
	t.removeExpiredPlacements(now)
	maps.DeleteFunc(t.undecided, func(_ flowKey, f sighting) bool { return now-f.last > t.cfg.FlowRetentionTime })
	for key, r := range t.recentFlows {
		if now-r.lastSeen > t.cfg.FlowRetentionTime {
			t.countRequests(key, r)
			delete(t.recentFlows, key)
		}
	}
}
