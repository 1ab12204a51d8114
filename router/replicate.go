package router

import (
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/ranker"
)

// Sizes of a batch and its parts on the wire, in bytes.
const (
	// BatchOverhead is the size of a batch without flows, envelope included.
	BatchOverhead = 64
	// ReplicatedFlowSize is the size of a replicated flow: its id and its upstream.
	ReplicatedFlowSize = 12
	// removedFlowSize is the size of the id of a flow whose replica is removed.
	removedFlowSize = 8
	// MaxBatchSize is the largest size of a batch.
	MaxBatchSize = 1100
)

// Batch replicates flows to one balancer, and names the flows whose replicas it can remove.
type Batch struct {
	To      rattanwood.VMID
	Seq     uint64
	Flows   []FlowUpstream
	Removed []rattanwood.FlowID
}

// Size returns the size of the batch on the wire in bytes.
func (b *Batch) Size() int {
	return BatchOverhead + ReplicatedFlowSize*len(b.Flows) + removedFlowSize*len(b.Removed)
}

// replicationState holds what this balancer replicates to its peers and what it knows of theirs.
type replicationState struct {
	// watermark is the version for which all overrides are replicated: a flow that isn't replicated
	// is on its hashed upstream of this version.
	watermark rattanwood.Version
	// peerWatermarks are the watermarks that the other balancers announced.
	peerWatermarks map[rattanwood.VMID]rattanwood.Version
	// peers are the balancers that flow entries refer to by index; index zero is unused.
	peers       []*peer
	peerIndexes map[rattanwood.VMID]uint16
	// cursor is the index of the entry that the sweep visits next.
	cursor int
	// newFlows are recently placed flows that aren't due for replication yet, in the order of their
	// due times.
	newFlows []newFlow
	// passClean is set while the current pass over the table has found nothing to replicate.
	passClean bool
	// passVersion is the active version at the start of the pass.
	passVersion rattanwood.Version
	// seq is the number of the last batch.
	seq uint64
	// checksLeft is the number of flows whose hashed upstream may still be checked in this call of Tick.
	checksLeft int
}

// newFlow is a flow that is checked for replication at the time due.
type newFlow struct {
	flow rattanwood.FlowID
	due  time.Duration
}

// peer holds the queues of one balancer to which flows are replicated.
type peer struct {
	vm rattanwood.VMID
	// urgent flows are off their hashed upstream in the watermark version, so that the peer would
	// misroute them if it took over now.
	urgent []rattanwood.FlowID
	// deferrable flows are on their hashed upstream in the watermark version, but must be
	// replicated before the watermark advances.
	deferrable []rattanwood.FlowID
	// removed flows have replicas that the peer can remove.
	removed []rattanwood.FlowID
	// unacked is the batch that waits for an acknowledgement, or nil.
	unacked *Batch
	// sentAt is the time of the last batch.
	sentAt time.Duration
}

func newReplicationState() replicationState {
	return replicationState{
		peerWatermarks: map[rattanwood.VMID]rattanwood.Version{},
		peers:          make([]*peer, 1),
		peerIndexes:    map[rattanwood.VMID]uint16{},
	}
}

// indexOfPeer returns the index of a balancer, and adds it if it is new.
func (c *replicationState) indexOfPeer(vm rattanwood.VMID) uint16 {
	n, ok := c.peerIndexes[vm]
	if !ok {
		n = uint16(len(c.peers))
		c.peers = append(c.peers, &peer{vm: vm})
		c.peerIndexes[vm] = n
	}
	return n
}

// queueRemoval queues the removal of a peer's replica of a flow.
func (c *replicationState) queueRemoval(n uint16, flow rattanwood.FlowID) {
	c.peers[n].removed = append(c.peers[n].removed, flow)
}

// hasPending reports whether flows are queued or a batch waits for its acknowledgement.
func (c *replicationState) hasPending() bool {
	for _, p := range c.peers[1:] {
		if p.unacked != nil || len(p.urgent) > 0 || len(p.deferrable) > 0 {
			return true
		}
	}
	return false
}

// NextBatches returns the batches to send now, at most one for each peer and capacity bytes in all,
// and expects their acknowledgement.
func (r *Router) NextBatches(now time.Duration, capacity int) []*Batch {
	var out []*Batch
	peers := r.replication.peers[1:]
	for i := range peers {
		p := peers[(i+int(r.replication.seq))%len(peers)]
		r.expireUnacknowledged(now, p)
		if p.unacked != nil || !r.isLive(p.vm) {
			continue
		}
		if len(p.urgent) == 0 && !p.fillsBatch() && now-p.sentAt < r.cfg.RetryInterval {
			continue
		}
		if len(p.urgent) == 0 && p.fillsBatch() && capacity < MaxBatchSize {
			continue
		}
		b := r.buildBatch(p, min(capacity, MaxBatchSize))
		if b == nil {
			continue
		}
		capacity -= b.Size()
		p.unacked = b
		p.sentAt = now
		out = append(out, b)
	}
	return out
}

// fillsBatch reports whether the flows that aren't urgent and the removals fill a batch. They can
// wait for a full batch and for capacity: until the flows are replicated the watermark doesn't
// advance, and by its present version a successor finds them without a replica.
func (p *peer) fillsBatch() bool {
	return ReplicatedFlowSize*len(p.deferrable)+removedFlowSize*len(p.removed) >= MaxBatchSize-BatchOverhead
}

// buildBatch moves what fits into capacity bytes from a peer's queues into a batch; it returns nil
// if there is nothing to send or no capacity.
func (r *Router) buildBatch(p *peer, capacity int) *Batch {
	if len(p.urgent)+len(p.deferrable)+len(p.removed) == 0 {
		return nil
	}
	capacity -= BatchOverhead
	if capacity < 0 {
		return nil
	}
	b := &Batch{To: p.vm}
	p.urgent, capacity = r.moveToBatch(b, p.urgent, capacity)
	p.deferrable, capacity = r.moveToBatch(b, p.deferrable, capacity)
	n := min(len(p.removed), capacity/removedFlowSize)
	b.Removed = p.removed[:n:n]
	p.removed = p.removed[n:]
	r.replication.seq++
	b.Seq = r.replication.seq
	return b
}

// moveToBatch moves flows from a queue into a batch and returns the rest of the queue and of the
// capacity. Flows that have been closed or removed meanwhile are skipped.
func (r *Router) moveToBatch(b *Batch, queue []rattanwood.FlowID, capacity int) ([]rattanwood.FlowID, int) {
	i := 0
	for ; i < len(queue) && capacity >= ReplicatedFlowSize; i++ {
		f := r.flows.find(queue[i])
		if f == nil || f.role != owned {
			continue
		}
		if f.closed {
			f.queued = false
			continue
		}
		b.Flows = append(b.Flows, FlowUpstream{Flow: f.flow, Upstream: f.upstream})
		capacity -= ReplicatedFlowSize
	}
	return queue[i:], capacity
}

// expireUnacknowledged gives up a peer's batch that wasn't acknowledged within the retry interval,
// and all of its queues if the peer is no longer live. The sweep queues the flows again.
func (r *Router) expireUnacknowledged(now time.Duration, p *peer) {
	dead := !r.isLive(p.vm)
	if dead {
		r.clearQueued(p.urgent)
		r.clearQueued(p.deferrable)
		p.urgent, p.deferrable, p.removed = nil, nil, nil
	}
	if p.unacked == nil || (!dead && now-p.sentAt < r.cfg.RetryInterval) {
		return
	}
	for _, a := range p.unacked.Flows {
		r.clearQueued([]rattanwood.FlowID{a.Flow})
	}
	if !dead {
		p.removed = append(p.removed, p.unacked.Removed...)
	}
	p.unacked = nil
}

// clearQueued lets the sweep queue the flows again.
func (r *Router) clearQueued(flows []rattanwood.FlowID) {
	for _, flow := range flows {
		if f := r.flows.find(flow); f != nil {
			f.queued = false
		}
	}
}

// AcknowledgeBatch records that a balancer holds the flows of the batch with the given number. An
// acknowledgement of a batch that was given up is ignored.
func (r *Router) AcknowledgeBatch(from rattanwood.VMID, seq uint64) {
	n, ok := r.replication.peerIndexes[from]
	if !ok {
		return
	}
	p := r.replication.peers[n]
	if p.unacked == nil || p.unacked.Seq != seq {
		return
	}
	for _, a := range p.unacked.Flows {
		f := r.flows.find(a.Flow)
		if f == nil || f.role != owned || f.upstream != a.Upstream {
			continue
		}
		f.queued = false
		f.peerIndex = n
	}
	p.unacked = nil
}

// SetPeerWatermark records the watermark of another balancer; zero is ignored.
func (r *Router) SetPeerWatermark(vm rattanwood.VMID, watermark rattanwood.Version) {
	if watermark != 0 {
		r.replication.peerWatermarks[vm] = watermark
	}
}

// ReceiveBatch stores the replicas of a batch from the flows' owner and removes those of the flows
// in b.Removed. An owned flow for which this balancer itself ranks first isn't replaced.
func (r *Router) ReceiveBatch(now time.Duration, from rattanwood.VMID, b *Batch) {
	n := r.replication.indexOfPeer(from)
	for _, a := range b.Flows {
		f := r.flows.findOrAdd(now, a.Flow)
		if f.role == owned {
			if f.upstream == a.Upstream || r.isOwner(a.Flow) {
				continue
			}
			r.markClosed(f)
		}
		*f = flowEntry{flow: a.Flow, upstream: a.Upstream, created: f.created, lastUpdate: toTimestamp(now), role: replica, peerIndex: n}
	}
	for _, flow := range b.Removed {
		if f := r.flows.find(flow); f != nil && f.role == replica && f.peerIndex == n {
			r.flows.remove(int(r.flows.index[flow]))
		}
	}
}

// isOwner reports whether this balancer ranks first for a flow.
func (r *Router) isOwner(flow rattanwood.FlowID) bool {
	owner, _ := r.ownerAndSuccessor(flow)
	return owner == r.cfg.Self
}

// ReceiveAnswer records the upstream of a flow as answered by its owner or by another balancer that
// knows the flow. If this balancer ranks first for the flow, it becomes the owner.
func (r *Router) ReceiveAnswer(now time.Duration, a FlowUpstream) {
	f := r.flows.findOrAdd(now, a.Flow)
	if f.role == owned {
		return
	}
	if r.isOwner(a.Flow) {
		f.upstream = a.Upstream
		f.lastUpdate = toTimestamp(now)
		r.takeOwnership(f)
		return
	}
	if f.role == replica {
		return
	}
	f.upstream = a.Upstream
	f.lastUpdate = toTimestamp(now)
	f.needsRepeatedRefresh = false
}

// FullyReplicated reports whether every override of the active version has been replicated.
func (r *Router) FullyReplicated() bool {
	return r.activeCatalog == nil || (r.replication.watermark == r.activeCatalog.Version && r.replication.passClean && !r.replication.hasPending())
}

// Watermark returns the version for which all overrides have been replicated: an owned flow that
// isn't replicated is on its hashed upstream of this version.
func (r *Router) Watermark() rattanwood.Version { return r.replication.watermark }

// Seed returns the seed of a VM for rendezvous ranking.
func Seed(vm rattanwood.VMID) uint64 { return ranker.Seed(string(vm)) }
