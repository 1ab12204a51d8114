package router

import (
	"math"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/compiler"
)

// yields reports whether another balancer has to decide on a flow that nobody knows.
func (r *Router) yields(p *Packet) bool {
	return r.view.ShuttingDown || ((r.view.WarmingUp || r.view.Outdated) && p.Kind != KindPlace)
}

// opener returns the home that gets to know where a new flow was placed.
func (r *Router) opener(p *Packet) rattanwood.VMID {
	if p.Owner != "" {
		return p.Owner
	}
	return r.cfg.Self
}

// deep answers the home of a flow for a lower rank, or passes the question on.
func (r *Router) deep(now time.Duration, p *Packet) Verdict {
	if f := r.flows.find(p.Flow); f != nil && (f.role != cached || f.age(now) < r.cfg.AnswerTTL) {
		r.counts.Known++
		r.tell(p.Origin, f)
		r.tell(p.Owner, f)
		return Verdict{Action: Forward, Upstream: f.upstream}
	}
	if first, _ := r.rank(p.Flow); r.outranks(p.Flow, first, p.Owner) && p.Hops < maxDeep {
		// The asking home can't reach the flow's real one.
		return Verdict{Action: Relay, VM: first, Kind: KindLookup, Owner: p.Owner}
	}
	if next := r.asked(p.Flow, r.score(p.Flow), p.Owner); next != "" && p.Hops < maxDeep {
		return Verdict{Action: Relay, VM: next, Kind: KindLookup, Owner: p.Owner}
	}
	return Verdict{Action: Relay, VM: p.Owner, Kind: KindReturned, Owner: p.Owner}
}

// placed decides on a flow for its home, which is young, behind or leaving.
func (r *Router) placed(now time.Duration, p *Packet, route *compiler.Route) Verdict {
	if p.Opens {
		return r.open(now, p, route)
	}
	return r.returned(now, p, route)
}

// returned decides on a flow that nobody who could be asked knows.
func (r *Router) returned(now time.Duration, p *Packet, route *compiler.Route) Verdict {
	if f := r.flows.find(p.Flow); f != nil {
		// An old answer is better than a guess.
		return r.answer(now, p, f)
	}
	if _, known := r.newest.Target(p.Hint); known {
		return r.answer(now, p, r.own(now, p, p.Hint))
	}
	if first, _ := r.rank(p.Flow); first != r.cfg.Self && first != "" && p.Kind == KindReturned && p.Hops < MaxHops {
		// The real home has come back in the meantime.
		return Verdict{Action: Relay, VM: first, Kind: KindAsk}
	}
	former := r.former(p.Flow)
	if former.Suspect {
		// The sender repeats a lost packet; a wrong guess would break the flow.
		return Verdict{Reason: ReasonOwnerSuspect}
	}
	if p.Stateless {
		return r.openOrResume(now, p, route, former.VM)
	}
	if next := r.below(p.Flow); r.yields(p) && next != "" && p.Hops < MaxHops {
		return Verdict{Action: Relay, VM: next, Kind: KindPlace, Owner: r.opener(p)}
	}
	id, ok := r.guess(p, route, former.VM)
	if !ok {
		return Verdict{Reason: ReasonNoUpstream}
	}
	return r.answer(now, p, r.own(now, p, id))
}

// openOrResume decides on a flow that nobody knows and that may be new or old. If
// its former home is lost, what it had not replicated was on the derived upstream.
func (r *Router) openOrResume(now time.Duration, p *Packet, route *compiler.Route, former rattanwood.VMID) Verdict {
	if former != "" {
		if id, ok := r.guess(p, route, former); ok && r.accepts(p, id) {
			return r.answer(now, p, r.own(now, p, id))
		}
	}
	return r.open(now, p, route)
}

// guess derives a flow in the version whose exceptions its former home had replicated in full.
func (r *Router) guess(p *Packet, route *compiler.Route, former rattanwood.VMID) (rattanwood.UpstreamID, bool) {
	version := min(r.adopted.Version, r.formerBase(former))
	if _, agreed := route.AgreedUpstream(p.Flow); !agreed {
		r.counts.Guessed++
	}
	version = max(version, route.OldestVersion)
	if id, ok := route.HashedUpstream(p.Flow, version); ok {
		return id, true
	}
	return route.HashedUpstream(p.Flow, route.OldestVersion)
}

// formerBase returns the base of a flow's former home. A young balancer that
// doesn't know who that was takes the oldest base of all.
func (r *Router) formerBase(former rattanwood.VMID) rattanwood.Version {
	base := rattanwood.Version(math.MaxUint64)
	if former != "" {
		if b, ok := r.copies.bases[former]; ok {
			base = b
		}
		return base
	}
	if !r.view.WarmingUp {
		return base
	}
	for _, n := range r.view.Live {
		if b, ok := r.copies.bases[n.VM]; ok {
			base = min(base, b)
		}
	}
	return base
}
