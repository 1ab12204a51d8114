package tagger

import (
	"slices"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/allocator"
)

// A copy of a flow's first packet may reach another balancer than the first one did, after a change of the rotation. That
// balancer asks the trackers of the flow, a few balancers that each balancer finds by hashing, where the flow went. They
// are told of flows that aren't open after a while, which are few.

const (
	// reportAge is the age of a flow that isn't open yet from which on its trackers are told of it. Its Caller sends the
	// first copy after 200 ms.
	reportAge = 100 * time.Millisecond
	// turnoverTime is the time after a change among the balancers of the data centre for which trackers are told of all
	// flows.
	turnoverTime = 5 * time.Second
	// placementTTL is how long the upstream of a flow is remembered for copies. A Caller sends the last one after 600 ms, or
	// later if it is slow.
	placementTTL = 15 * time.Second
)

// placement is where a flow went that may not be open yet.
type placement struct {
	upstream rattanwood.UpstreamID
	at       time.Duration
}

// openingFlow is a flow that was placed here and may not be open yet.
type openingFlow struct {
	key      flowKey
	id       allocator.FlowID
	upstream rattanwood.UpstreamID
	// arrived is when the first packet arrived.
	arrived time.Duration
}

// PlacementReport tells where a flow went.
type PlacementReport struct {
	Flow allocator.FlowID
	// Upstream is zero if the balancer that was asked doesn't know the flow. It has been told of flows for Span, zero if
	// that isn't known.
	Upstream rattanwood.UpstreamID
	Span     time.Duration
}

// recordPlacement records where a flow went whose first packet, or a copy of it, arrived at a time.
func (t *Tagger) recordPlacement(now time.Duration, key flowKey, id rattanwood.UpstreamID, arrived time.Duration) {
	if t.cfg.Trackers == nil || len(t.placements) >= t.cfg.MaxRecentFlows {
		return
	}
	flow := flowIDOf(key)
	t.placements[flow] = placement{upstream: id, at: now}
	t.openings = append(t.openings, openingFlow{key: key, id: flow, upstream: id, arrived: arrived})
}

// ForgetUnsent forgets where a flow was placed whose first packet wasn't sent after all. A copy of it may have been placed
// by another balancer.
func (t *Tagger) ForgetUnsent(s rattanwood.Segment) {
	key := keyOf(s)
	if r := t.recentFlows[key]; r == nil || !r.opening || r.segment.Ack != s.Ack {
		return
	}
	delete(t.recentFlows, key)
	delete(t.placements, flowIDOf(key))
}

// RecordTurnover records that a balancer of the own data centre came or went at a time, or that this one runs late.
func (t *Tagger) RecordTurnover(at time.Duration) { t.turnoverAt = max(t.turnoverAt, at) }

// reportsAtOnce reports whether flows are reported when they are placed: the rotation may change at any time, and the
// next tick may come after the next copy.
func (t *Tagger) reportsAtOnce(now time.Duration) bool {
	return t.turnoverAt != 0 && now-t.turnoverAt < turnoverTime
}

// MustReport reports whether the flow that was placed last is to be reported before its packet is sent.
func (t *Tagger) MustReport(now time.Duration) bool {
	n := len(t.openings)
	return n > 0 && t.knowsTrackers(now) && (now-t.openings[n-1].arrived >= reportAge || t.reportsAtOnce(now))
}

// TakeReports returns what the trackers of flows are to be told, by balancer: at most maxTrackers of each flow, those of the
// data centre first.
func (t *Tagger) TakeReports(now time.Duration, maxTrackers int) map[rattanwood.VMID][]PlacementReport {
	var out map[rattanwood.VMID][]PlacementReport
	atOnce := t.reportsAtOnce(now)
	t.openings = slices.DeleteFunc(t.openings, func(o openingFlow) bool {
		if now-o.arrived < reportAge && !atOnce {
			return false
		}
		if r := t.recentFlows[o.key]; r == nil || !r.opening || r.upstream != o.upstream {
			return true
		}
		trackers, known := t.cfg.Trackers(uint64(o.id))
		if !known {
			return now-o.arrived >= placementTTL
		}
		for _, tracker := range trackers[:min(len(trackers), maxTrackers)] {
			if out == nil {
				out = map[rattanwood.VMID][]PlacementReport{}
			}
			out[tracker] = append(out[tracker], PlacementReport{Flow: o.id, Upstream: o.upstream})
		}
		return true
	})
	return out
}

// ReportAgain has the trackers of all opening flows told again by the next TakeReports. It is called once all balancers are
// known: flows that were placed earlier may have been reported to balancers that aren't their trackers.
func (t *Tagger) ReportAgain() {
	t.openings = t.openings[:0]
	for key, r := range t.recentFlows {
		if r.opening {
			t.openings = append(t.openings, openingFlow{key: key, id: flowIDOf(key), upstream: r.upstream, arrived: r.segment.Arrived})
		}
	}
}

// noSpan is the span that a balancer tells which hasn't been told of any flow yet.
const noSpan = time.Millisecond

// trackingSpan returns the time for which other balancers have told this one of flows.
func (t *Tagger) trackingSpan(now time.Duration) time.Duration {
	if !t.knowsTrackers(now) {
		return 0
	}
	return now - t.trackingSince
}

// knowsTrackers reports whether the trackers of flows are known, and records since when. A balancer that has just started
// has changed the rotation itself.
func (t *Tagger) knowsTrackers(now time.Duration) bool {
	if t.trackingSince == 0 && t.cfg.Trackers != nil {
		if _, known := t.cfg.Trackers(0); known {
			t.trackingSince = now
			t.RecordTurnover(now)
		}
	}
	return t.trackingSince != 0
}

// Locate returns the upstream of each of some flows, zero for those that aren't known here.
func (t *Tagger) Locate(now time.Duration, flows []allocator.FlowID) []PlacementReport {
	out := make([]PlacementReport, len(flows))
	for i, flow := range flows {
		out[i].Flow = flow
		if t.isLocated(now, flow) {
			out[i].Upstream = t.placements[flow].upstream
			t.RecordTurnover(now)
		} else {
			out[i].Span = max(t.trackingSpan(now), noSpan)
		}
	}
	return out
}

// HandleReports records where flows went by the word of another balancer, and decides on copies that wait for that. It
// returns the packets to send, or to ask other balancers for.
func (t *Tagger) HandleReports(now time.Duration, from rattanwood.VMID, reports []PlacementReport) []OutgoingPacket {
	t.recordAnswer(from)
	var out []OutgoingPacket
	for _, p := range reports {
		switch {
		case p.Upstream == 0:
		case len(t.placements) < t.cfg.MaxRecentFlows:
			t.placements[p.Flow] = placement{upstream: p.Upstream, at: now}
		default:
			// A flow that isn't known here may be one that found no room.
			t.trackingSince = now
		}
		w := t.sought[p.Flow]
		if w == nil {
			continue
		}
		w.search.record(now, from, p, now-w.segment.Arrived+minTrackerSpan)
		out = append(out, t.decideSearched(now, w)...)
	}
	return out
}

// handleUnknownCopy decides on a copy of a first packet that isn't remembered here. It reports false if no other balancer
// may know the flow.
func (t *Tagger) handleUnknownCopy(now time.Duration, s rattanwood.Segment, packet []byte, route *rattanwood.Route) (Verdict, bool) {
	if t.cfg.Trackers == nil {
		return Verdict{}, false
	}
	if v, ok := t.openTracked(now, s, packet, route); ok {
		return v, true
	}
	id := flowIDOf(keyOf(s))
	if !t.knowsTrackers(now) {
		return t.hold(now, s, packet), true
	}
	trackers := t.askedTrackers(now, id)
	if len(trackers) == 0 {
		return Verdict{}, false
	}
	return t.seek(now, s, packet, newSearch(now, id, trackers)), true
}

// isLocated reports whether it is known where a flow went.
func (t *Tagger) isLocated(now time.Duration, flow allocator.FlowID) bool {
	p, ok := t.placements[flow]
	return ok && now-p.at < placementTTL
}

// openTracked sends a copy of a first packet where the flow went by way of another balancer. It reports false if that
// isn't known, or the upstream can't be used any more. A copy of a flow that went to an upstream of which this balancer
// hasn't heard yet is dropped.
func (t *Tagger) openTracked(now time.Duration, s rattanwood.Segment, packet []byte, route *rattanwood.Route) (Verdict, bool) {
	flow := flowIDOf(keyOf(s))
	u := t.upstreams[t.placements[flow].upstream]
	switch {
	case !t.isLocated(now, flow):
		return Verdict{}, false
	case u == nil:
		return Verdict{Reason: UnknownTag}, true
	case !t.keepsFlows(now, route, u):
		return Verdict{}, false
	}
	t.rememberFlow(now, s, u.id, packet)
	if r := t.recentFlows[keyOf(s)]; r != nil && t.isLimited(now, u) {
		return t.repeatCold(now, s, packet, u, r), true
	}
	return forward(now, u, Retransmitted), true
}

func (t *Tagger) removeExpiredPlacements(now time.Duration) {
	for flow, p := range t.placements {
		if now-p.at >= placementTTL {
			delete(t.placements, flow)
		}
	}
}
