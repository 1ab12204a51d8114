package node

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"example.org/rattanwood"
	"example.org/rattanwood/internal/logger"
	"example.org/rattanwood/messenger"
	"example.org/rattanwood/tagger"
	"example.org/rattanwood/wire"
)

// prepareHandOver returns the datagram that carries out a verdict of tagger.HandOver, or another verdict if the
// budget isn't sufficient. The calling code must hold mu.
func (n *Node) prepareHandOver(now time.Duration, s rattanwood.Segment, v tagger.Verdict, packet []byte) (tagger.Verdict, messenger.Send) {
	a, ok := n.messenger.HandOver(now, v.Peer, v.Instance.Upstream(), packet)
	if !ok {
		return n.tagger.WithholdHandOver(now, s, packet, v.Reason), messenger.Send{}
	}
	return v, a
}

// handleHandOver decides on a first packet that another balancer handed over.
func (n *Node) handleHandOver(from string, h *wire.Handover) {
	s, err := n.cfg.Codec.Parse(h.GetPacket())
	if err != nil {
		n.rejectPacket(err)
		return
	}
	n.mu.Lock()
	now, wanted := n.now(), rattanwood.UpstreamID(h.GetUpstream())
	v, outcome := n.tagger.HandedPacket(now, s, h.GetPacket(), wanted)
	age, _ := n.watcher.Age(now)
	position := n.replica.Position()
	n.mu.Unlock()
	n.log.Info("flow handed over", zap.String(logger.KeyFlow, flowID(s)), zap.Stringer(logger.KeyOutcome, outcome), zap.Stringer(logger.KeyReason, v.Reason),
		zap.String(logger.KeyPeer, from), zap.Stringer("wanted", wanted), zap.Stringer(logger.KeyUpstream, upstreamOf(s, v)),
		zap.Inline(logger.Position(position)), zap.Int64(logger.KeyAge, age.Milliseconds()))
	n.sendPacket(nil, s, v, h.GetPacket())
}

// requestLeases asks for the leases on cold upstreams, and logs which this balancer holds. One that shuts down
// lets its leases expire. The calling code must hold mu.
func (n *Node) requestLeases(now time.Duration) {
	var cold map[rattanwood.UpstreamID]float64
	if !n.shuttingDown.Load() && n.ready {
		cold = n.tagger.ColdUpstreams(now)
	}
	n.messenger.RequestLeases(now, cold)
	if held := n.warmer.Held(now); !slices.Equal(held, n.heldLeases) {
		n.log.Info("leases on cold upstreams changed", zap.Any("held", held), zap.Any("before", n.heldLeases), zap.Int("cold", len(cold)))
		n.heldLeases = held
	}
}
