package router

import (
	"math"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/compiler"
)

// defersPlacement reports whether a lower-ranked balancer has to place a flow that nobody knows,
// because this one is shutting down, warming up or has an outdated document.
func (r *Router) defersPlacement(p *Packet) bool {
	return r.view.ShuttingDown || ((r.view.WarmingUp || r.view.Outdated) && p.Kind != KindPlace)
}

// ownerToNotify returns the owner that is answered when a lower-ranked balancer has placed a flow.
func (r *Router) ownerToNotify(p *Packet) rattanwood.VMID {
	if p.Owner != "" {
		return p.Owner
	}
	return r.cfg.Self
}

// lookUp decides on a packet of a flow that its owner doesn't know. It forwards the packet and
// answers the owner and the origin if the flow is known here; otherwise the packet goes on to the
// next-ranked balancer, or back to the owner.
func (r *Router) lookUp(now time.Duration, p *Packet) Verdict {
	if f := r.flows.find(p.Flow); f != nil && (f.role != cached || f.age(now) < r.cfg.AnswerTTL) {
		r.counts.Known++
		r.queueAnswer(p.Origin, f)
		r.queueAnswer(p.Owner, f)
		return Verdict{Action: Forward, Upstream: f.upstream}
	}
	if owner, _ := r.ownerAndSuccessor(p.Flow); r.outranks(p.Flow, owner, p.Owner) && p.Hops < maxLookupHops {
		// The balancer that asks acts as owner because it can't reach the real one.
		return Verdict{Action: Relay, VM: owner, Kind: KindLookup, Owner: p.Owner}
	}
	if next := r.nextToAsk(p.Flow, r.ownScore(p.Flow), p.Owner); next != "" && p.Hops < maxLookupHops {
		return Verdict{Action: Relay, VM: next, Kind: KindLookup, Owner: p.Owner}
	}
	return Verdict{Action: Relay, VM: p.Owner, Kind: KindReturned, Owner: p.Owner}
}

// placeForOwner places a flow for its owner, which is warming up, shutting down or has an outdated
// document.
func (r *Router) placeForOwner(now time.Duration, p *Packet, route *compiler.Route) Verdict {
	if p.Opens {
		return r.openFlow(now, p, route)
	}
	return r.decideUnknown(now, p, route)
}

// decideUnknown decides on a packet of a flow that no reachable balancer knows. In this order, it
// uses an expired entry or the origin's hint, relays a returned packet to the real owner if that can
// be reached again, and drops the packet while a suspect may own the flow. It then handles a
// stateless flow, which may be a new one, lets a lower-ranked balancer place the flow if this one
// must not, and otherwise takes the upstream that the former owner most likely used.
func (r *Router) decideUnknown(now time.Duration, p *Packet, route *compiler.Route) Verdict {
	if f := r.flows.find(p.Flow); f != nil {
		// An expired answer is better than a guess.
		return r.forwardAsOwner(now, p, f)
	}
	if _, known := r.newestCatalog.Target(p.Hint); known {
		return r.forwardAsOwner(now, p, r.recordOwned(now, p, p.Hint))
	}
	if owner, _ := r.ownerAndSuccessor(p.Flow); owner != r.cfg.Self && owner != "" && p.Kind == KindReturned && p.Hops < MaxHops {
		// The real owner can be reached again.
		return Verdict{Action: Relay, VM: owner, Kind: KindAsk}
	}
	former := r.formerOwner(p.Flow)
	if former.Suspect {
		// The sender retransmits a dropped packet, whereas a wrong guess would break the flow.
		return Verdict{Reason: ReasonOwnerSuspect}
	}
	if p.Stateless {
		return r.openOrResume(now, p, route, former.VM)
	}
	if next := r.nextLowerRank(p.Flow); r.defersPlacement(p) && next != "" && p.Hops < MaxHops {
		return Verdict{Action: Relay, VM: next, Kind: KindPlace, Owner: r.ownerToNotify(p)}
	}
	id, ok := r.guessUpstream(p, route, former.VM)
	if !ok {
		return Verdict{Reason: ReasonNoUpstream}
	}
	return r.forwardAsOwner(now, p, r.recordOwned(now, p, id))
}

// openOrResume decides on a packet of a stateless flow that nobody knows, which may be new or old.
// If its former owner has failed, a flow that wasn't replicated was on its hashed upstream, so that
// one is used if it still takes new flows.
func (r *Router) openOrResume(now time.Duration, p *Packet, route *compiler.Route, former rattanwood.VMID) Verdict {
	if former != "" {
		if id, ok := r.guessUpstream(p, route, former); ok && r.acceptsNewFlow(p, id) {
			return r.forwardAsOwner(now, p, r.recordOwned(now, p, id))
		}
	}
	return r.openFlow(now, p, route)
}

// guessUpstream returns the hashed upstream of a flow in its former owner's watermark version, since
// the former owner had replicated every flow that was elsewhere. If the route has no upstream in that
// version, the oldest version that has one is used.
func (r *Router) guessUpstream(p *Packet, route *compiler.Route, former rattanwood.VMID) (rattanwood.UpstreamID, bool) {
	version := min(r.activeCatalog.Version, r.formerWatermark(former))
	if _, agreed := route.AgreedUpstream(p.Flow); !agreed {
		r.counts.Guessed++
	}
	version = max(version, route.OldestVersion)
	if id, ok := route.HashedUpstream(p.Flow, version); ok {
		return id, true
	}
	return route.HashedUpstream(p.Flow, route.OldestVersion)
}

// formerWatermark returns the watermark of a flow's former owner, or the highest possible version
// if it isn't known. A balancer that is warming up and doesn't know who the owner was takes the
// lowest watermark of the live members.
func (r *Router) formerWatermark(former rattanwood.VMID) rattanwood.Version {
	watermark := rattanwood.Version(math.MaxUint64)
	if former != "" {
		if w, ok := r.replication.peerWatermarks[former]; ok {
			watermark = w
		}
		return watermark
	}
	if !r.view.WarmingUp {
		return watermark
	}
	for _, n := range r.view.Live {
		if w, ok := r.replication.peerWatermarks[n.VM]; ok {
			watermark = min(watermark, w)
		}
	}
	return watermark
}
