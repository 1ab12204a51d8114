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
	n := int(float64(len(r.flows.entries))*float64(elapsed)/float64(r.cfg.SweepPeriod)) + 1
	r.replication.checksLeft = int(maxChecksPerSecond*elapsed.Seconds()) + 1
	for ; n > 0 && r.replication.checksLeft > 0; n-- {
		r.sweepEntry(now)
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

// sweepEntry handles the next entry of the table, or ends the pass after the last one.
func (r *Router) sweepEntry(now time.Duration) {
	c := &r.replication
	if c.cursor >= len(r.flows.entries) {
		r.finishPass()
		return
	}
	f := &r.flows.entries[c.cursor]
	if r.expired(now, f) {
		r.removeEntry(c.cursor)
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

// finishPass ends a pass over the table. The watermark advances to the active version if the whole
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

// expired reports whether an entry can be removed.
func (r *Router) expired(now time.Duration, f *flowEntry) bool {
	switch {
	case f.closed:
		return f.age(now) >= r.cfg.AnswerTTL
	case f.role == cached:
		return f.age(now) >= r.cfg.StaleAnswerTTL
	}
	return f.age(now) >= r.cfg.IdleTimeout
}

// removeEntry deletes entry i and queues the removal of its replica, if there is one.
func (r *Router) removeEntry(i int) {
	f := &r.flows.entries[i]
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
func (r *Router) queueReplication(now time.Duration, f *flowEntry) {
	if f.checkedEpoch == r.epoch || f.closed || f.queued || now-time.Duration(f.created)*timestampUnit < r.cfg.ReplicationDelay {
		return
	}
	r.replication.checksLeft--
	urgent, deferrable := r.overrideState(f)
	if !urgent && !deferrable {
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
	p.deferrable = append(p.deferrable, f.flow)
}

// overrideState compares a flow's upstream with its hashed one. urgent is set if they differ in the
// watermark version, so that a takeover now would move the flow; deferrable is set if they differ in
// the active version, so that it would move once the watermark has advanced. Both are set if the
// hashed upstream can't be told or a successor wouldn't rely on it.
func (r *Router) overrideState(f *flowEntry) (urgent, deferrable bool) {
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
func (r *Router) takeOverReplica(now time.Duration, f *flowEntry) {
	sender := r.replication.peers[f.peerIndex].vm
	if r.isLive(sender) {
		f.lastUpdate = toTimestamp(now)
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
