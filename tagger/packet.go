package tagger

import (
	"time"

	"example.org/rattanwood"
)

// Packet decides on a packet. The bytes of a first packet are kept; others are not.
func (t *Tagger) Packet(now time.Duration, s rattanwood.Segment, packet []byte) Verdict {
	v := t.decide(now, s, packet)
	t.counts[v.Action][v.Reason]++
	return v
}

func (t *Tagger) decide(now time.Duration, s rattanwood.Segment, packet []byte) Verdict {
	switch {
	case s.Flags.Has(rattanwood.FlagOpen | rattanwood.FlagAck):
		return Verdict{Reason: InvalidFlags}
	case s.Flags.Has(rattanwood.FlagOpen):
		return t.open(now, s, packet)
	}
	return t.follow(now, s)
}

// open decides on a flow's first packet or a copy of it.
func (t *Tagger) open(now time.Duration, s rattanwood.Segment, packet []byte) Verdict {
	if t.IsResuming(now) {
		return Verdict{Reason: Resuming}
	}
	route := t.routes[s.Target]
	if route == nil {
		return t.deny(now, NoRoute)
	}
	reason := Placed
	r := t.recent[keyOf(s)]
	if r != nil && r.opening {
		t.cfg.Prober.Hint(r.upstream)
		if u := t.upstreams[r.upstream]; u != nil && !t.cfg.Prober.ShouldAvoid(now, r.upstream) {
			r.at = now
			return forward(u, Repeated)
		}
		reason = Moved
	}
	u := t.place(now, route)
	if u == nil {
		return t.deny(now, NoUpstream)
	}
	t.cfg.Placer.AddFlow(now, u.id)
	t.remember(now, s, u.id, packet)
	return forward(u, reason)
}

// follow decides on a packet of a flow that has begun.
func (t *Tagger) follow(now time.Duration, s rattanwood.Segment) Verdict {
	if s.Tag == 0 {
		return Verdict{Reason: Untagged}
	}
	if t.routes[s.Target] == nil && t.version > 0 {
		// Before the first routes are known, a flow that has begun had one.
		return t.refuse(now, s, NoRoute)
	}
	u := t.upstreams[s.Tag]
	if u == nil {
		return t.unknownTag(now, s)
	}
	t.observe(now, s)
	if !u.present {
		// Its host may live on, for as long as it drains or while its lease has lapsed.
		t.cfg.Prober.Hint(u.id)
		if t.fresh(now) && now-u.vanished > t.cfg.ReregistrationTime && t.replaced(u) {
			return t.refuse(now, s, UpstreamDead)
		}
	}
	if t.cfg.Prober.IsDead(u.id) {
		return t.refuse(now, s, UpstreamDead)
	}
	return forward(u, Tagged)
}

func (t *Tagger) unknownTag(now time.Duration, s rattanwood.Segment) Verdict {
	since, known := t.unknown[s.Tag]
	if !known {
		if len(t.unknown) < t.cfg.MaxRecentFlows {
			t.unknown[s.Tag] = now
		}
		return Verdict{Reason: UnknownTag}
	}
	if now-since < t.cfg.UnknownTagTime {
		return Verdict{Reason: UnknownTag}
	}
	return t.refuse(now, s, UnknownTag)
}

func forward(u *upstream, why Reason) Verdict {
	return Verdict{Action: Forward, Reason: why, Instance: u.Instance, Address: u.Address}
}

// deny resets if the knowledge that leads to it is fresh.
func (t *Tagger) deny(now time.Duration, why Reason) Verdict {
	if !t.fresh(now) {
		return Verdict{Reason: Stale}
	}
	return Verdict{Action: Reset, Reason: why}
}

// refuse is deny for a packet of a flow that has begun; a reset isn't answered by one.
func (t *Tagger) refuse(now time.Duration, s rattanwood.Segment, why Reason) Verdict {
	if s.Flags.Has(rattanwood.FlagReset) {
		return Verdict{Reason: why}
	}
	if why == UpstreamDead {
		// The proof is this balancer's own check, not the registry.
		return Verdict{Action: Reset, Reason: why}
	}
	return t.deny(now, why)
}
