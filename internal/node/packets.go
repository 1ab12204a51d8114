package node

import (
	"bytes"
	"context"
	"errors"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"example.org/rattanwood"
	"example.org/rattanwood/internal/listener"
	"example.org/rattanwood/internal/logger"
	"example.org/rattanwood/tagger"
)

const (
	// maxDatagramSize is the largest UDP payload in bytes.
	maxDatagramSize = 65507
	// maxHeldPackets bounds the first packets that wait for the routes. A balancer receives that many in a
	// second at twice the rate for which the design is sized; they take 100 KB.
	maxHeldPackets = 1000
)

// heldPacket is the first packet of a flow that arrived before this balancer could place flows.
type heldPacket struct {
	arrived  time.Duration
	datagram []byte
}

// tunnelLoop receives and handles packets. Until the upstreams are known, packets wait in the socket's
// buffer, since they could only be dropped.
func (n *Node) tunnelLoop(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-n.startedForwarding:
	}
	in := make([]byte, maxDatagramSize)
	var out []byte
	for {
		size, err := n.datagrams.Read(in)
		if err != nil {
			return listener.IgnoreClosed(ctx, err)
		}
		n.mu.Lock()
		n.tagger.MarkRead(n.now(), n.datagrams.EmptyAt())
		n.mu.Unlock()
		began := time.Now()
		n.packetCount.Add(1)
		out = n.handlePacket(out[:0], in[:size], n.datagrams.ArrivedAt())
		n.timings.decision.Observe(time.Since(began).Seconds())
	}
}

// handlePacket decides on a datagram that arrived at a time, and sends the packet that the decision asks for. It builds
// that packet in the buffer out, which it returns for reuse.
func (n *Node) handlePacket(out, datagram []byte, arrived time.Duration) []byte {
	s, err := n.cfg.Codec.Parse(datagram)
	if err != nil {
		n.rejectPacket(err)
		return out
	}
	s.Arrived = arrived
	n.mu.Lock()
	now := n.now()
	if !n.ready && s.Flags.Has(rattanwood.FlagOpen) && !n.tagger.IsResuming(now) && !tagger.IsExpired(now, s) && len(n.heldPackets) < maxHeldPackets {
		n.heldPackets = append(n.heldPackets, heldPacket{arrived: arrived, datagram: bytes.Clone(datagram)})
		n.mu.Unlock()
		return out
	}
	v := n.tagger.Packet(now, s, datagram)
	if v.Action == tagger.Ask {
		n.finishPackets(now, []tagger.OutgoingPacket{{Verdict: v, Segment: s, Packet: datagram}})
		return out
	}
	age, _ := n.watcher.Age(now)
	position := n.replica.Position()
	tallies := n.prepareTallies(now)
	reports := n.prepareLateReports(now)
	first := v.Action == tagger.Forward && !n.forwarded[v.Reason]
	if first {
		n.forwarded[v.Reason] = true
	}
	n.mu.Unlock()
	if first {
		n.log.Info("first packet forwarded", zap.Stringer(logger.KeyReason, v.Reason), zap.Int64("after", now.Milliseconds()))
	}
	if v.Reason == tagger.Retransmitted {
		n.requestCheck(v.Instance.Upstream())
	}
	n.sendDatagrams(tallies)
	n.sendDatagrams(reports)
	if v.Action != tagger.Forward || v.Reason != tagger.Tagged {
		n.logVerdict(s, v, age, position)
	}
	return n.sendPacket(out, s, v, datagram)
}

// replayHeldPackets handles the first packets that arrived before this balancer could place flows, in the background. The
// calling code must hold mu.
func (n *Node) replayHeldPackets() {
	held := n.heldPackets
	n.heldPackets = nil
	n.background.Go(func() {
		var out []byte
		for _, p := range held {
			out = n.handlePacket(out[:0], p.datagram, p.arrived)
		}
	})
}

// sendPacket carries out a verdict: it forwards the packet, resets the flow or does nothing. A first packet that expired
// since the verdict, for example because this process stood still, isn't sent.
func (n *Node) sendPacket(out []byte, s rattanwood.Segment, v tagger.Verdict, packet []byte) []byte {
	var to netip.AddrPort
	if v.Action == tagger.Forward && s.Flags.Has(rattanwood.FlagOpen) && tagger.IsExpired(n.now(), s) {
		n.mu.Lock()
		n.tagger.ForgetUnsent(s)
		n.mu.Unlock()
		n.log.Warn("first packet not sent, too much time since its arrival", zap.String(logger.KeyFlow, flowID(s)), zap.Stringer(logger.KeyUpstream, upstreamOf(s, v)))
		return out
	}
	switch v.Action {
	case tagger.Drop, tagger.Ask, tagger.Hold:
		return out
	case tagger.Forward:
		out, to = n.cfg.Codec.Forward(out, packet, v.Instance), v.Address
	case tagger.Reset:
		out, to = n.cfg.Codec.Reset(out, s), netip.AddrPortFrom(s.Caller.Addr(), n.cfg.Codec.CallerPort())
	}
	if _, err := n.tunnel.WriteToUDPAddrPort(out, to); err != nil {
		n.countRejected("packet_send")
		n.log.Warn("sending packet failed", zap.String(logger.KeyFlow, flowID(s)), zap.String(logger.KeyError, err.Error()))
	}
	return out
}

// sendPackets sends packets on the balancer's own initiative, such as resets after a failed health check.
func (n *Node) sendPackets(outgoing []tagger.OutgoingPacket, age time.Duration, position rattanwood.Position) {
	var out []byte
	for _, e := range outgoing {
		n.logVerdict(e.Segment, e.Verdict, age, position)
		out = n.sendPacket(out[:0], e.Segment, e.Verdict, e.Packet)
	}
}

// logVerdict logs a decision with the position and the age in milliseconds of the records behind it.
func (n *Node) logVerdict(s rattanwood.Segment, v tagger.Verdict, age time.Duration, position rattanwood.Position) {
	if v.Refusal != nil {
		n.logRefusal(s, v.Refusal)
		return
	}
	message := "flow " + v.Reason.String()
	if v.Search != nil {
		// Lines are sampled by their message, so that these aren't lost among those of other flows.
		message = "copy " + v.Reason.String()
	}
	if e := n.log.Check(zap.InfoLevel, message); e != nil {
		fields := []zap.Field{
			zap.String(logger.KeyFlow, flowID(s)), zap.Stringer(logger.KeyOutcome, v.Action),
			zap.Stringer(logger.KeyUpstream, upstreamOf(s, v)), zap.Inline(logger.Position(position)),
			zap.Int64(logger.KeyAge, age.Milliseconds()), zap.Int64("waited", (n.now() - s.Arrived).Milliseconds()),
		}
		if v.Search != nil {
			fields = append(fields, zap.Uint64("id", uint64(v.Search.Flow)), zap.Uint32("copy", s.Ack), zap.Strings("trackers", describeAnswers(v.Search.Answers)))
		}
		e.Write(fields...)
	}
}

// logFailures logs requests that have failed, judging from the packets of their Callers.
func (n *Node) logFailures(failures []tagger.Failure) {
	for _, f := range failures {
		n.log.Info("request failed", zap.String(logger.KeyFlow, flowID(f.Segment)), zap.Stringer(logger.KeyUpstream, f.Upstream),
			zap.Int("size", f.Size), zap.Int("usual", f.MeanSize))
	}
}

// upstreamOf returns the upstream that a verdict is about, or zero if there is none.
func upstreamOf(s rattanwood.Segment, v tagger.Verdict) rattanwood.UpstreamID {
	if v.Action == tagger.Forward {
		return v.Instance.Upstream()
	}
	return s.Tag
}

// flowID returns the id of a flow for logs: its endpoints as the Caller sees them.
func flowID(s rattanwood.Segment) string { return s.Caller.String() + ">" + s.Target.String() }

// rejectPacket counts and logs a datagram that isn't a valid packet.
func (n *Node) rejectPacket(err error) {
	reason := "unknown"
	var bad *rattanwood.SegmentError
	if errors.As(err, &bad) {
		reason = bad.Reason
	}
	n.countRejected("packet_" + reason)
	n.log.Warn("invalid packet rejected", zap.String(logger.KeyReason, reason))
}

// countRejected counts invalid input. The calling code must not hold mu.
func (n *Node) countRejected(reason string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rejected[reason]++
}
