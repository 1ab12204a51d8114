package tagger

import (
	"bytes"
	"net/netip"
	"slices"
	"time"

	"example.org/rattanwood"
)

type flowKey struct {
	caller, target netip.AddrPort
}

func keyOf(s rattanwood.Segment) flowKey { return flowKey{caller: s.Caller, target: s.Target} }

// recentFlow is what is remembered of a flow whose packets came here lately.
type recentFlow struct {
	upstream rattanwood.UpstreamID
	// opening is set until a packet other than a copy of the first one comes.
	opening bool
	// segment is the newest packet with data, or the first one.
	segment rattanwood.Segment
	// packet is the first one while the flow is opening.
	packet []byte
	at     time.Duration
	// stage is that of the last request, askedAck its acknowledgement number, and acked the newest one.
	stage           stage
	askedAck, acked uint32
}

func (t *Tagger) remember(now time.Duration, s rattanwood.Segment, id rattanwood.UpstreamID, packet []byte) {
	if len(t.recent) >= t.cfg.MaxRecentFlows {
		return
	}
	t.recent[keyOf(s)] = &recentFlow{upstream: id, opening: true, segment: s, packet: bytes.Clone(packet), at: now}
}

// observe counts a flow's requests and takes a repeated packet as a hint that its upstream is dead.
func (t *Tagger) observe(now time.Duration, s rattanwood.Segment) {
	key := keyOf(s)
	r := t.recent[key]
	if r == nil || r.upstream != s.Tag {
		if len(t.recent) >= t.cfg.MaxRecentFlows {
			return
		}
		r = &recentFlow{upstream: s.Tag, segment: rattanwood.Segment{Caller: s.Caller, Target: s.Target, Flags: s.Flags}}
		t.recent[key] = r
	}
	t.progress(now, key, r, s)
	r.opening, r.packet, r.at, r.segment.Ack = false, nil, now, s.Ack
	switch {
	case s.Flags.Has(rattanwood.FlagReset), s.Flags.Has(rattanwood.FlagClose):
		delete(t.recent, key)
	case s.Length == 0:
		r.segment.Flags = s.Flags
	case r.segment.Length > 0 && r.segment.Seq == s.Seq:
		t.cfg.Prober.Hint(s.Tag)
	default:
		t.cfg.Placer.AddRequest(now, s.Tag)
		r.segment = s
	}
}

// ReassignOpeningFlows returns what the flows of an upstream need when it turns out not to answer:
// first packets go to another one.
func (t *Tagger) ReassignOpeningFlows(now time.Duration, id rattanwood.UpstreamID) []OutgoingPacket {
	var out []OutgoingPacket
	for _, r := range t.recent {
		if r.upstream != id || !r.opening {
			continue
		}
		route := t.routes[r.segment.Target]
		if route == nil {
			continue
		}
		u := t.place(now, route)
		if u == nil || u.id == id {
			continue
		}
		t.cfg.Placer.AddFlow(now, u.id)
		r.upstream = u.id
		t.counts[Forward][Moved]++
		out = append(out, OutgoingPacket{Verdict: forward(u, Moved), Segment: r.segment, Packet: r.packet})
	}
	byCaller(out)
	return out
}

// ResetFlows returns resets for the flows of an upstream that is proved dead, so that their Callers
// can ask again within their time limits, or open another flow before they ask.
func (t *Tagger) ResetFlows(id rattanwood.UpstreamID) []OutgoingPacket {
	var out []OutgoingPacket
	for key, r := range t.recent {
		if r.upstream != id || r.opening {
			continue
		}
		t.counts[Reset][UpstreamDead]++
		out = append(out, OutgoingPacket{Verdict: Verdict{Action: Reset, Reason: UpstreamDead}, Segment: r.segment})
		delete(t.recent, key)
		delete(t.pending, key)
	}
	byCaller(out)
	return out
}

func byCaller(emissions []OutgoingPacket) {
	slices.SortFunc(emissions, func(a, b OutgoingPacket) int { return a.Segment.Caller.Compare(b.Segment.Caller) })
}

func (t *Tagger) sweep(now time.Duration) {
	for key, r := range t.recent {
		if now-r.at > t.cfg.FlowRetentionTime {
			delete(t.recent, key)
		}
	}
}
