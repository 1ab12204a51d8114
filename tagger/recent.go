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
	if len(t.recent) >= t.cfg.RecentMost {
		return
	}
	t.recent[keyOf(s)] = &recentFlow{upstream: id, opening: true, segment: s, packet: bytes.Clone(packet), at: now}
}

// observe counts a flow's requests and takes a repeated packet as a hint that its upstream is dead.
func (t *Tagger) observe(now time.Duration, s rattanwood.Segment) {
	key := keyOf(s)
	r := t.recent[key]
	if r == nil || r.upstream != s.Tag {
		if len(t.recent) >= t.cfg.RecentMost {
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
		t.cfg.Placer.Request(now, s.Tag)
		r.segment = s
	}
}

// Moves returns what the flows of an upstream need when it turns out not to answer:
// first packets go to another one.
func (t *Tagger) Moves(now time.Duration, id rattanwood.UpstreamID) []Emission {
	var out []Emission
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
		t.cfg.Placer.Open(now, u.id)
		r.upstream = u.id
		t.counts[Forward][Moved]++
		out = append(out, Emission{Verdict: forward(u, Moved), Segment: r.segment, Packet: r.packet})
	}
	byCaller(out)
	return out
}

// Ends returns resets for the flows of an upstream that is proved dead, so that their Callers
// can ask again within their time limits, or open another flow before they ask.
func (t *Tagger) Ends(id rattanwood.UpstreamID) []Emission {
	var out []Emission
	for key, r := range t.recent {
		if r.upstream != id || r.opening {
			continue
		}
		t.counts[Reset][Dead]++
		out = append(out, Emission{Verdict: Verdict{Action: Reset, Reason: Dead}, Segment: r.segment})
		delete(t.recent, key)
		delete(t.pending, key)
	}
	byCaller(out)
	return out
}

func byCaller(emissions []Emission) {
	slices.SortFunc(emissions, func(a, b Emission) int { return a.Segment.Caller.Compare(b.Segment.Caller) })
}

func (t *Tagger) sweep(now time.Duration) {
	for key, r := range t.recent {
		if now-r.at > t.cfg.RecentTime {
			delete(t.recent, key)
		}
	}
}
