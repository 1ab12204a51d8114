package router

import (
	"math"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/compiler"
	"example.org/rattanwood/ranker"
)

// MaxHops is the largest number of balancers that relay a packet.
const MaxHops = 8

// maxDeep is the number of hops up to which a question is passed on to lower
// ranks; what is left is for the way back and for the placing.
const maxDeep = 4

// classSeed separates the hash that makes a flow free from those that rank.
const classSeed = 0x66726565

// Decide decides on one packet.
func (r *Router) Decide(now time.Duration, p *Packet) Verdict {
	v := r.decide(now, p)
	switch v.Action {
	case Drop:
		r.counts.Dropped[v.Reason]++
	case Relay:
		r.counts.Relayed[v.Kind]++
		v.Hint = p.Hint
	}
	return v
}

func (r *Router) decide(now time.Duration, p *Packet) Verdict {
	if r.view.Resuming {
		return Verdict{Reason: ReasonResuming}
	}
	if r.newest == nil {
		return Verdict{Reason: ReasonUnbound}
	}
	route := r.newest.Route(p.Address)
	if route == nil {
		return Verdict{Reason: ReasonUnbound}
	}
	switch p.Kind {
	case KindLookup:
		return r.deep(now, p)
	case KindReturned:
		return r.returned(now, p, route)
	case KindPlace:
		return r.placed(now, p, route)
	}
	var held *row
	if !p.Opens && !p.Closes {
		held = r.flows.find(p.Flow)
	}
	if held != nil && r.usable(now, held) && !r.due(now, p.Flow) && !r.renote(now, held) {
		return r.known(now, p, held)
	}
	if held != nil && p.Kind == KindPlain {
		p.Hint = held.upstream
	}
	first, _ := r.rank(p.Flow)
	if first == r.cfg.Self || first == "" || p.Hops >= MaxHops || first == p.From {
		return r.atHome(now, p, route)
	}
	return r.away(now, p, route, first)
}

// usable reports whether a row may be relied on without asking the home.
func (r *Router) usable(now time.Duration, f *row) bool {
	switch f.role {
	case owned:
		return !f.closed || f.age(now) < r.cfg.AnswerTTL
	case cached:
		return f.age(now) < r.cfg.AnswerTTL
	}
	return false
}

// renote reports whether a flow's home must get its second note: the first may have gone to a lost one.
func (r *Router) renote(now time.Duration, f *row) bool {
	return f.noted && now-time.Duration(f.born)*tick >= r.cfg.ActivationDelay
}

// known forwards a packet of a flow that this balancer has in its table.
func (r *Router) known(now time.Duration, p *Packet, f *row) Verdict {
	r.counts.Known++
	if f.role == owned && !f.closed {
		f.stamp = ticks(now)
	}
	if p.Kind == KindAsk {
		r.tell(p.Origin, f)
	}
	return Verdict{Action: Forward, Upstream: f.upstream}
}

// due reports whether this is the moment of the refresh period in which a flow's packets pass its home.
func (r *Router) due(now time.Duration, flow rattanwood.FlowID) bool {
	slots := uint64(r.cfg.RefreshPeriod / time.Second)
	return slots > 0 && uint64(flow)%slots == uint64(now/time.Second)%slots
}

// derivable returns the upstream that every balancer derives for a flow, if it may be relied on.
func (r *Router) derivable(now time.Duration, flow rattanwood.FlowID, route *compiler.Route) (rattanwood.UpstreamID, bool) {
	if now >= r.view.LeaseExpiry || free(flow, route.Balance.HighestLoadPlacedShare()) {
		return 0, false
	}
	id, ok := route.AgreedUpstream(flow)
	if !ok || r.marks.EverUnhealthy(id) {
		return 0, false
	}
	return id, true
}

// free reports whether a flow is placed by load, given the share of flows that are.
func free(flow rattanwood.FlowID, share float64) bool {
	if share <= 0 {
		return false
	}
	return float64(ranker.Score(uint64(flow), classSeed)>>11)/(1<<53) < share
}

// away decides at a balancer that isn't the flow's home.
func (r *Router) away(now time.Duration, p *Packet, route *compiler.Route, home rattanwood.VMID) Verdict {
	if p.Kind != KindPlain {
		return Verdict{Action: Relay, VM: home, Kind: p.Kind}
	}
	if p.Opens {
		return Verdict{Action: Relay, VM: home, Kind: KindFirst}
	}
	id, ok := r.derivable(now, p.Flow, route)
	switch {
	case !ok:
		return Verdict{Action: Relay, VM: home, Kind: KindAsk}
	case p.Stateless:
		r.note(now, p.Flow, id)
		return Verdict{Action: Relay, VM: home, Kind: KindRefresh}
	case p.Closes || r.due(now, p.Flow):
		return Verdict{Action: Relay, VM: home, Kind: KindRefresh}
	}
	r.counts.Hashed++
	return Verdict{Action: Forward, Upstream: id}
}

// note remembers a flow of which the home gets to know by a note.
func (r *Router) note(now time.Duration, flow rattanwood.FlowID, id rattanwood.UpstreamID) {
	known := r.flows.find(flow) != nil
	f := r.flows.put(now, flow)
	if f.role == owned {
		return
	}
	f.role = cached
	f.noted = !known
	f.upstream = id
	f.stamp = ticks(now)
}

// atHome decides at the flow's home, or at the balancer that has to act as such.
func (r *Router) atHome(now time.Duration, p *Packet, route *compiler.Route) Verdict {
	if p.Opens {
		return r.open(now, p, route)
	}
	if f := r.flows.find(p.Flow); f != nil && (f.role != cached || f.age(now) < r.cfg.AnswerTTL) {
		return r.answer(now, p, f)
	}
	if id, ok := r.derivable(now, p.Flow, route); ok {
		r.counts.Hashed++
		return r.answer(now, p, r.own(now, p, id))
	}
	if next := r.asked(p.Flow, math.MaxUint64, ""); next != "" && p.Hops < maxDeep {
		return Verdict{Action: Relay, VM: next, Kind: KindLookup, Owner: r.cfg.Self}
	}
	return r.returned(now, p, route)
}

// answer forwards a packet of a flow that this home knows, and takes the flow over.
func (r *Router) answer(now time.Duration, p *Packet, f *row) Verdict {
	if f.role != owned {
		r.take(f)
	}
	f.address = r.flows.number(p.Address)
	f.stamp = ticks(now)
	if p.Closes {
		r.close(f)
	}
	if p.Kind == KindAsk || p.Kind == KindReturned || p.Kind == KindPlace {
		r.tell(p.Origin, f)
		r.tell(p.Owner, f)
	}
	return Verdict{Action: Forward, Upstream: f.upstream}
}

// take makes a cached or replicated row this home's own.
func (r *Router) take(f *row) {
	f.role = owned
	f.peer = 0
	f.queued = false
	f.noted = false
	if !f.closed {
		r.load[f.upstream]++
	}
}

func (r *Router) close(f *row) {
	if f.closed {
		return
	}
	f.closed = true
	if f.role == owned {
		r.load[f.upstream]--
	}
}

// own records a flow that this home has placed or derived.
func (r *Router) own(now time.Duration, p *Packet, id rattanwood.UpstreamID) *row {
	f := r.flows.put(now, p.Flow)
	if f.role == owned && !f.closed {
		r.load[f.upstream]--
	}
	if f.role == owned && f.peer != 0 && f.upstream != id {
		r.copies.forget(f.peer, f.flow)
	}
	*f = row{flow: p.Flow, upstream: id, born: ticks(now), stamp: ticks(now), role: owned, stateless: p.Stateless, address: r.flows.number(p.Address)}
	r.load[id]++
	r.copies.young = append(r.copies.young, newcomer{flow: p.Flow, due: now + r.cfg.ReplicationDelay})
	return f
}

func (r *Router) tell(vm rattanwood.VMID, f *row) {
	if vm == "" || vm == r.cfg.Self {
		return
	}
	r.told[vm] = append(r.told[vm], Answer{Flow: f.flow, Upstream: f.upstream})
}

// open decides on the first packet of a flow.
func (r *Router) open(now time.Duration, p *Packet, route *compiler.Route) Verdict {
	if f := r.flows.find(p.Flow); f != nil && f.age(now) < r.cfg.AnswerTTL {
		return r.reopen(now, p, f)
	}
	if id, ok := r.derivable(now, p.Flow, route); ok {
		r.counts.Placed++
		r.own(now, p, id)
		return Verdict{Action: Forward, Upstream: id}
	}
	if next := r.below(p.Flow); r.yields(p) && next != "" && p.Hops < MaxHops {
		return Verdict{Action: Relay, VM: next, Kind: KindPlace, Owner: r.opener(p)}
	}
	id, ok := r.place(now, p)
	if !ok {
		return Verdict{Reason: ReasonNoUpstream}
	}
	f := r.own(now, p, id)
	r.tell(p.Owner, f)
	return Verdict{Action: Forward, Upstream: id}
}

// reopen decides on a first packet of a flow that was seen within the keep time.
// Other balancers may still rely on the flow's upstream, so it can't be moved.
func (r *Router) reopen(now time.Duration, p *Packet, f *row) Verdict {
	if f.closed && !r.accepts(p, f.upstream) {
		return Verdict{Reason: ReasonReused}
	}
	if f.closed {
		f = r.own(now, p, f.upstream)
	}
	r.tell(p.Owner, f)
	if f.role != owned {
		r.take(f)
	}
	f.stamp = ticks(now)
	f.address = r.flows.number(p.Address)
	return Verdict{Action: Forward, Upstream: f.upstream}
}

// accepts reports whether new flows to the packet's address may go to an upstream.
func (r *Router) accepts(p *Packet, id rattanwood.UpstreamID) bool {
	route := r.adopted.Route(p.Address)
	if route == nil || r.marks.RejectsNewFlows(id) {
		return false
	}
	for _, c := range route.Candidates {
		if c.ID == id {
			return rattanwood.Within(c.Since, c.Until, r.adopted.Version)
		}
	}
	return false
}
