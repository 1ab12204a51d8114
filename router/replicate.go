package router

import (
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/ranker"
)

// Sizes of a batch on the wire in bytes.
const (
	// BatchOverhead is a batch without flows, with its envelope.
	BatchOverhead = 64
	// ReplicatedFlowSize is a replicated flow: its id and its upstream.
	ReplicatedFlowSize = 12
	// goneSize is the id of a flow that a replica can forget.
	goneSize = 8
	// MaxBatchSize is the largest batch.
	MaxBatchSize = 1100
)

// Batch replicates flows to one balancer.
type Batch struct {
	To      rattanwood.VMID
	Seq     uint64
	Flows   []Answer
	Removed []rattanwood.FlowID
}

// Size returns the bytes of the batch on the wire.
func (b *Batch) Size() int {
	return BatchOverhead + ReplicatedFlowSize*len(b.Flows) + goneSize*len(b.Removed)
}

// replicas is the state of replication in both directions.
type replicas struct {
	// base is the version whose exceptions have been replicated in full.
	base rattanwood.Version
	// bases are the bases of the peers.
	bases map[rattanwood.VMID]rattanwood.Version
	// peers number the balancers that rows name; index zero is none.
	peers   []*peer
	numbers map[rattanwood.VMID]uint16
	cursor  int
	// young are flows that this home has lately placed, in the order of their due times.
	young []newcomer
	// clean is set while the current pass over the table has found nothing to send.
	clean bool
	pass  rattanwood.Version
	seq   uint64
	// checks is the number of derivations that this tick may still check.
	checks int
}

// newcomer is a flow that may have to be replicated once it is due.
type newcomer struct {
	flow rattanwood.FlowID
	due  time.Duration
}

// peer is a balancer that gets batches.
type peer struct {
	vm rattanwood.VMID
	// urgent flows are missing from the base that the peer has.
	urgent []rattanwood.FlowID
	// later flows will be missing once the base moves.
	later   []rattanwood.FlowID
	gone    []rattanwood.FlowID
	unacked *Batch
	sent    time.Duration
}

func newReplicas() replicas {
	return replicas{
		bases:   map[rattanwood.VMID]rattanwood.Version{},
		peers:   make([]*peer, 1),
		numbers: map[rattanwood.VMID]uint16{},
	}
}

func (c *replicas) number(vm rattanwood.VMID) uint16 {
	n, ok := c.numbers[vm]
	if !ok {
		n = uint16(len(c.peers))
		c.peers = append(c.peers, &peer{vm: vm})
		c.numbers[vm] = n
	}
	return n
}

// forget tells a peer to drop its replica of a flow.
func (c *replicas) forget(n uint16, flow rattanwood.FlowID) {
	c.peers[n].gone = append(c.peers[n].gone, flow)
}

func (c *replicas) waiting() bool {
	for _, p := range c.peers[1:] {
		if p.unacked != nil || len(p.urgent) > 0 || len(p.later) > 0 {
			return true
		}
	}
	return false
}

// NextBatches returns the batches to send now, within room bytes.
func (r *Router) NextBatches(now time.Duration, room int) []*Batch {
	var out []*Batch
	peers := r.copies.peers[1:]
	for i := range peers {
		p := peers[(i+int(r.copies.seq))%len(peers)]
		r.expire(now, p)
		if p.unacked != nil || !r.live(p.vm) {
			continue
		}
		if len(p.urgent) == 0 && !p.full() && now-p.sent < r.cfg.RetryInterval {
			continue
		}
		if len(p.urgent) == 0 && p.full() && room < MaxBatchSize {
			continue
		}
		b := r.fill(p, min(room, MaxBatchSize))
		if b == nil {
			continue
		}
		room -= b.Size()
		p.unacked = b
		p.sent = now
		out = append(out, b)
	}
	return out
}

// full reports whether what can wait fills a batch. It may wait for that, and
// for the room, because a takeover before then goes by the base.
func (p *peer) full() bool {
	return ReplicatedFlowSize*len(p.later)+goneSize*len(p.gone) >= MaxBatchSize-BatchOverhead
}

// fill takes what fits into room bytes from a peer's queues.
func (r *Router) fill(p *peer, room int) *Batch {
	if len(p.urgent)+len(p.later)+len(p.gone) == 0 {
		return nil
	}
	room -= BatchOverhead
	if room < 0 {
		return nil
	}
	b := &Batch{To: p.vm}
	p.urgent, room = r.draw(b, p.urgent, room)
	p.later, room = r.draw(b, p.later, room)
	n := min(len(p.gone), room/goneSize)
	b.Removed = p.gone[:n:n]
	p.gone = p.gone[n:]
	r.copies.seq++
	b.Seq = r.copies.seq
	return b
}

// draw moves flows from a queue into a batch and returns what is left of both.
func (r *Router) draw(b *Batch, queue []rattanwood.FlowID, room int) ([]rattanwood.FlowID, int) {
	i := 0
	for ; i < len(queue) && room >= ReplicatedFlowSize; i++ {
		f := r.flows.find(queue[i])
		if f == nil || f.role != owned {
			continue
		}
		if f.closed {
			f.queued = false
			continue
		}
		b.Flows = append(b.Flows, Answer{Flow: f.flow, Upstream: f.upstream})
		room -= ReplicatedFlowSize
	}
	return queue[i:], room
}

// expire gives up on a batch without acknowledgement; the sweep finds its flows again.
func (r *Router) expire(now time.Duration, p *peer) {
	dead := !r.live(p.vm)
	if dead {
		r.unqueue(p.urgent)
		r.unqueue(p.later)
		p.urgent, p.later, p.gone = nil, nil, nil
	}
	if p.unacked == nil || (!dead && now-p.sent < r.cfg.RetryInterval) {
		return
	}
	for _, a := range p.unacked.Flows {
		r.unqueue([]rattanwood.FlowID{a.Flow})
	}
	if !dead {
		p.gone = append(p.gone, p.unacked.Removed...)
	}
	p.unacked = nil
}

func (r *Router) unqueue(flows []rattanwood.FlowID) {
	for _, flow := range flows {
		if f := r.flows.find(flow); f != nil {
			f.queued = false
		}
	}
}

// AcknowledgeBatch takes in the acknowledgement of a batch.
func (r *Router) AcknowledgeBatch(from rattanwood.VMID, seq uint64) {
	n, ok := r.copies.numbers[from]
	if !ok {
		return
	}
	p := r.copies.peers[n]
	if p.unacked == nil || p.unacked.Seq != seq {
		return
	}
	for _, a := range p.unacked.Flows {
		f := r.flows.find(a.Flow)
		if f == nil || f.role != owned || f.upstream != a.Upstream {
			continue
		}
		f.queued = false
		f.peer = n
	}
	p.unacked = nil
}

// SetPeerWatermark records the base of another balancer.
func (r *Router) SetPeerWatermark(vm rattanwood.VMID, base rattanwood.Version) {
	if base != 0 {
		r.copies.bases[vm] = base
	}
}

// ReceiveBatch takes in a batch from a flow's home.
func (r *Router) ReceiveBatch(now time.Duration, from rattanwood.VMID, b *Batch) {
	n := r.copies.number(from)
	for _, a := range b.Flows {
		f := r.flows.put(now, a.Flow)
		if f.role == owned {
			if f.upstream == a.Upstream || r.home(a.Flow) {
				continue
			}
			r.close(f)
		}
		*f = row{flow: a.Flow, upstream: a.Upstream, born: f.born, stamp: ticks(now), role: replica, peer: n}
	}
	for _, flow := range b.Removed {
		if f := r.flows.find(flow); f != nil && f.role == replica && f.peer == n {
			r.flows.remove(int(r.flows.index[flow]))
		}
	}
}

func (r *Router) home(flow rattanwood.FlowID) bool {
	first, _ := r.rank(flow)
	return first == r.cfg.Self
}

// ReceiveAnswer takes in the upstream of a flow from its home or a rank that knows it.
func (r *Router) ReceiveAnswer(now time.Duration, a Answer) {
	f := r.flows.put(now, a.Flow)
	if f.role == owned {
		return
	}
	if r.home(a.Flow) {
		f.upstream = a.Upstream
		f.stamp = ticks(now)
		r.take(f)
		return
	}
	if f.role == replica {
		return
	}
	f.upstream = a.Upstream
	f.stamp = ticks(now)
	f.noted = false
}

// FullyReplicated reports whether everything that no version derives has been replicated.
func (r *Router) FullyReplicated() bool {
	return r.adopted == nil || (r.copies.base == r.adopted.Version && r.copies.clean && !r.copies.waiting())
}

// Watermark returns the version whose exceptions have been replicated in full.
func (r *Router) Watermark() rattanwood.Version { return r.copies.base }

// Seed returns the ranking seed of a VM.
func Seed(vm rattanwood.VMID) uint64 { return ranker.Seed(string(vm)) }
