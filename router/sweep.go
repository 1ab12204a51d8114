package router

import (
	"time"

	"example.org/rattanwood"
)

// Tick adopts documents and looks through a part of the table.
func (r *Router) Tick(now, elapsed time.Duration) {
	r.adopt(now)
	if r.adopted == nil {
		return
	}
	r.replicateYoung(now)
	n := int(float64(len(r.flows.rows))*float64(elapsed)/float64(r.cfg.SweepPeriod)) + 1
	r.copies.checks = int(checkRate*elapsed.Seconds()) + 1
	for ; n > 0 && r.copies.checks > 0; n-- {
		r.sweep(now)
	}
}

// checkRate is the largest number of flows a second whose derivation is checked.
const checkRate = 100_000

// RecheckFlows makes the sweep check every flow again, after marks have changed.
func (r *Router) RecheckFlows() { r.nextEpoch() }

func (r *Router) nextEpoch() { r.epoch++ }

// replicateYoung looks at the flows whose moment has come.
func (r *Router) replicateYoung(now time.Duration) {
	young := r.copies.young
	done := 0
	for done < len(young) && young[done].due <= now {
		if f := r.flows.find(young[done].flow); f != nil && f.role == owned {
			r.replicate(now, f)
		}
		done++
	}
	r.copies.young = young[done:]
}

// sweep looks at the next row of the table.
func (r *Router) sweep(now time.Duration) {
	c := &r.copies
	if c.cursor >= len(r.flows.rows) {
		r.endPass()
		return
	}
	f := &r.flows.rows[c.cursor]
	if r.expired(now, f) {
		r.remove(c.cursor)
		return
	}
	c.cursor++
	switch f.role {
	case owned:
		r.replicate(now, f)
	case replica:
		r.inherit(now, f)
	}
}

// endPass moves the base if the whole pass found nothing to send.
func (r *Router) endPass() {
	c := &r.copies
	if c.clean && c.pass == r.adopted.Version && c.base != c.pass && !c.waiting() {
		c.base = c.pass
		r.nextEpoch()
	}
	c.cursor = 0
	c.clean = true
	c.pass = r.adopted.Version
}

func (r *Router) expired(now time.Duration, f *row) bool {
	switch {
	case f.closed:
		return f.age(now) >= r.cfg.AnswerTTL
	case f.role == cached:
		return f.age(now) >= r.cfg.StaleAnswerTTL
	}
	return f.age(now) >= r.cfg.IdleTimeout
}

func (r *Router) remove(i int) {
	f := &r.flows.rows[i]
	if f.role == owned {
		r.close(f)
		if f.peer != 0 {
			r.copies.forget(f.peer, f.flow)
		}
	}
	r.flows.remove(i)
}

// replicate queues an owned flow for the first-ranked other balancer if the derivation there would differ.
func (r *Router) replicate(now time.Duration, f *row) {
	if f.epoch == r.epoch || f.closed || f.queued || now-time.Duration(f.born)*tick < r.cfg.ReplicationDelay {
		return
	}
	r.copies.checks--
	urgent, later := r.exception(f)
	if !urgent && !later {
		if f.peer != 0 {
			r.copies.forget(f.peer, f.flow)
			f.peer = 0
		}
		f.epoch = r.epoch
		return
	}
	_, other := r.rank(f.flow)
	if other == "" {
		return
	}
	n := r.copies.number(other)
	if f.peer == n {
		f.epoch = r.epoch
		return
	}
	f.queued = true
	r.copies.clean = false
	p := r.copies.peers[n]
	if urgent {
		p.urgent = append(p.urgent, f.flow)
		return
	}
	p.later = append(p.later, f.flow)
}

// exception reports whether the base, and whether the adopted version, derives another upstream.
func (r *Router) exception(f *row) (urgent, later bool) {
	route := r.newest.Route(r.flows.addresses[f.address])
	if route == nil {
		return true, true
	}
	if f.stateless && r.marks.EverUnhealthy(f.upstream) {
		// A successor would take the flow for a new one and keep it off the upstream.
		return true, true
	}
	base, _ := route.HashedUpstream(f.flow, r.copies.base)
	next, _ := route.HashedUpstream(f.flow, r.adopted.Version)
	return f.upstream != base, f.upstream != next
}

// inherit takes over a replica whose sender is gone, if this balancer is now its home.
func (r *Router) inherit(now time.Duration, f *row) {
	sender := r.copies.peers[f.peer].vm
	if r.live(sender) {
		f.stamp = ticks(now)
		return
	}
	if first, _ := r.rank(f.flow); first == r.cfg.Self {
		r.take(f)
	}
}

func (r *Router) live(vm rattanwood.VMID) bool {
	for i := range r.view.Live {
		if r.view.Live[i].VM == vm {
			return true
		}
	}
	return false
}
