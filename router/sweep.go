package router

import (
	"time"

	"example.org/rattanwood"
)

// Tick activates documents whose delay is over and sweeps a part of the flow table in proportion to
// the time elapsed since the last call: it removes expired flows, queues overrides for replication
// and takes over replicas of members that are no longer live.
func (r *Router) Tick(now, elapsed time.Duration) {
	r.activateCatalogs(now)
	if r.activeCatalog == nil {
		return
	}
	r.replicateNewFlows(now)
	n := int(float64(len(r.flows.rows))*float64(elapsed)/float64(r.cfg.SweepPeriod)) + 1
	r.replication.checksLeft = int(maxChecksPerSecond*elapsed.Seconds()) + 1
	for ; n > 0 && r.replication.checksLeft > 0; n-- {
		r.sweepRow(now)
	}
}

// maxChecksPerSecond limits the flows whose hashed upstream is checked each second, which bounds
// the cost of a sweep after a change.
const maxChecksPerSecond = 100_000

// RecheckFlows makes the sweep check every owned flow again; call it after health states have
// changed.
func (r *Router) RecheckFlows() { r.advanceEpoch() }

// advanceEpoch makes the sweep check every owned flow again.
func (r *Router) advanceEpoch() { r.epoch++ }

// replicateNewFlows queues the new flows whose replication delay is over, without waiting for the
// sweep.
func (r *Router) replicateNewFlows(now time.Duration) {
	pending := r.replication.newFlows
	done := 0
	for done < len(pending) && pending[done].due <= now {
		if f := r.flows.find(pending[done].flow); f != nil && f.role == owned {
			r.queueReplication(now, f)
		}
		done++
	}
	r.replication.newFlows = pending[done:]
}

// sweepRow handles the next row of the table, or ends the pass after the last one.
func (r *Router) sweepRow(now time.Duration) {
	c := &r.replication
	if c.cursor >= len(r.flows.rows) {
		r.finishPass()
		return
	}
	f := &r.flows.rows[c.cursor]
	if r.expired(now, f) {
		r.removeRow(c.cursor)
		return
	}
	c.cursor++
	switch f.role {
	case owned:
		r.queueReplication(now, f)
	case replica:
		r.takeOverReplica(now, f)
	}
}

// finishPass ends a pass over the table. The watermark moves to the active version if the whole
// pass found nothing to replicate, no batch is pending and the version didn't change meanwhile.
func (r *Router) finishPass() {
	c := &r.replication
	if c.passClean && c.passVersion == r.activeCatalog.Version && c.watermark != c.passVersion && !c.hasPending() {
		c.watermark = c.passVersion
		r.advanceEpoch()
	}
	c.cursor = 0
	c.passClean = true
	c.passVersion = r.activeCatalog.Version
}

// expired reports whether a row can be removed.
func (r *Router) expired(now time.Duration, f *row) bool {
	switch {
	case f.closed:
		return f.age(now) >= r.cfg.AnswerTTL
	case f.role == cached:
		return f.age(now) >= r.cfg.StaleAnswerTTL
	}
	return f.age(now) >= r.cfg.IdleTimeout
}

// removeRow deletes row i and queues the removal of its replica, if there is one.
func (r *Router) removeRow(i int) {
	f := &r.flows.rows[i]
	if f.role == owned {
		r.markClosed(f)
		if f.peerIndex != 0 {
			r.replication.queueRemoval(f.peerIndex, f.flow)
		}
	}
	r.flows.remove(i)
}

// queueReplication queues an owned flow for replication to its successor if it is an override, and
// queues the removal of its replica if it no longer is one.
func (r *Router) queueReplication(now time.Duration, f *row) {
	if f.checkedEpoch == r.epoch || f.closed || f.queued || now-time.Duration(f.created)*tickLength < r.cfg.ReplicationDelay {
		return
	}
	r.replication.checksLeft--
	urgent, later := r.overrideState(f)
	if !urgent && !later {
		if f.peerIndex != 0 {
			r.replication.queueRemoval(f.peerIndex, f.flow)
			f.peerIndex = 0
		}
		f.checkedEpoch = r.epoch
		return
	}
	_, successor := r.ownerAndSuccessor(f.flow)
	if successor == "" {
		return
	}
	n := r.replication.indexOfPeer(successor)
	if f.peerIndex == n {
		f.checkedEpoch = r.epoch
		return
	}
	f.queued = true
	r.replication.passClean = false
	p := r.replication.peers[n]
	if urgent {
		p.urgent = append(p.urgent, f.flow)
		return
	}
	p.later = append(p.later, f.flow)
}

// overrideState reports whether a flow is off its hashed upstream in the watermark version, so that
// a takeover now would move it, and whether it is in the active version, so that a takeover would
// move it once the watermark has moved.
func (r *Router) overrideState(f *row) (urgent, later bool) {
	route := r.newestCatalog.Route(r.flows.addresses[f.addressIndex])
	if route == nil {
		return true, true
	}
	if f.stateless && r.health.EverUnhealthy(f.upstream) {
		// Without a replica, a successor would take the flow for a new one and could place it on
		// another upstream.
		return true, true
	}
	atWatermark, _ := route.HashedUpstream(f.flow, r.replication.watermark)
	atActive, _ := route.HashedUpstream(f.flow, r.activeCatalog.Version)
	return f.upstream != atWatermark, f.upstream != atActive
}

// takeOverReplica makes this balancer the owner of a replicated flow if the sender is no longer
// live and this balancer now ranks first. While the sender is live the replica doesn't expire.
func (r *Router) takeOverReplica(now time.Duration, f *row) {
	sender := r.replication.peers[f.peerIndex].vm
	if r.isLive(sender) {
		f.lastUpdate = toTicks(now)
		return
	}
	if owner, _ := r.ownerAndSuccessor(f.flow); owner == r.cfg.Self {
		r.takeOwnership(f)
	}
}

// isLive reports whether a VM is among the members that can own flows.
func (r *Router) isLive(vm rattanwood.VMID) bool {
	for i := range r.view.Live {
		if r.view.Live[i].VM == vm {
			return true
		}
	}
	return false
}
