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
	// datagramMost is the largest datagram in bytes.
	datagramMost = 65507
	// heldMost is the number of first packets that wait for routes: those that a node gets in a second at twice the
	// rate for which the design is sized, and 100 KB.
	heldMost = 1000
	// heldTime is how long one waits: less than the 200 ms after which its Caller sends a copy, which may go to
	// another balancer and be placed there as well.
	heldTime = 150 * time.Millisecond
)

// heldPacket is a first packet that came before the routes.
type heldPacket struct {
	at       time.Duration
	datagram []byte
}

// tunnelLoop decides on packets and sends them on. Until the upstreams are known, packets
// wait in the socket's buffer, because every one of them would be dropped.
func (n *Node) tunnelLoop(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-n.carried:
	}
	in := make([]byte, datagramMost)
	var out []byte
	for {
		size, _, err := n.tunnel.ReadFromUDPAddrPort(in)
		if err != nil {
			return listener.IgnoreClosed(ctx, err)
		}
		began := time.Now()
		n.packets.Add(1)
		out = n.packet(out[:0], in[:size])
		n.timings.decision.Observe(time.Since(began).Seconds())
	}
}

// packet handles a datagram; it uses and returns the buffer out.
func (n *Node) packet(out, datagram []byte) []byte {
	s, err := n.cfg.Codec.Parse(datagram)
	if err != nil {
		n.badPacket(err)
		return out
	}
	n.mu.Lock()
	now := n.now()
	if !n.newborn && s.Flags.Has(rattanwood.FlagOpen) && !n.flows.IsResuming(now) && len(n.held) < heldMost {
		n.held = append(n.held, heldPacket{at: now, datagram: bytes.Clone(datagram)})
		n.mu.Unlock()
		return out
	}
	v := n.flows.Packet(now, s, datagram)
	age, _ := n.watch.Age(now)
	revision := n.copy.Revision()
	n.mu.Unlock()
	if v.Action != tagger.Forward || v.Reason != tagger.Tagged {
		n.logVerdict(s, v, age, revision)
	}
	return n.emit(out, s, v, datagram)
}

// replay decides on the first packets that came before the routes; mu is held.
func (n *Node) replay() {
	held := n.held
	n.held = nil
	n.running.Go(func() {
		var out []byte
		for _, p := range held {
			if n.now()-p.at < heldTime {
				out = n.packet(out[:0], p.datagram)
			}
		}
	})
}

// emit sends what a verdict asks for.
func (n *Node) emit(out []byte, s rattanwood.Segment, v tagger.Verdict, packet []byte) []byte {
	var to netip.AddrPort
	switch v.Action {
	case tagger.Drop:
		return out
	case tagger.Forward:
		out, to = n.cfg.Codec.Forward(out, packet, v.Instance), v.Address
	case tagger.Reset:
		out, to = n.cfg.Codec.Reset(out, s), netip.AddrPortFrom(s.Caller.Addr(), n.cfg.Codec.CallerPort())
	}
	if _, err := n.tunnel.WriteToUDPAddrPort(out, to); err != nil {
		n.refuse("packet_send")
		n.log.Warn("packet not sent", zap.String(logger.KeyFlow, flowName(s)), zap.String(logger.KeyError, err.Error()))
	}
	return out
}

// emitAll sends packets that no arriving one led to.
func (n *Node) emitAll(emissions []tagger.OutgoingPacket, age time.Duration, revision rattanwood.Revision) {
	var out []byte
	for _, e := range emissions {
		n.logVerdict(e.Segment, e.Verdict, age, revision)
		out = n.emit(out[:0], e.Segment, e.Verdict, e.Packet)
	}
}

func (n *Node) logVerdict(s rattanwood.Segment, v tagger.Verdict, age time.Duration, revision rattanwood.Revision) {
	message := "flow " + v.Reason.String()
	if e := n.log.Check(zap.InfoLevel, message); e != nil {
		e.Write(zap.String(logger.KeyFlow, flowName(s)), zap.Stringer(logger.KeyOutcome, v.Action),
			zap.Stringer(logger.KeyUpstream, upstreamOf(s, v)), zap.Uint64(logger.KeyRevision, uint64(revision)),
			zap.Int64(logger.KeyAge, age.Milliseconds()))
	}
}

// logFailures logs requests that failed, as far as their Callers' packets show.
func (n *Node) logFailures(failures []tagger.Failure) {
	for _, f := range failures {
		n.log.Info("request failed", zap.String(logger.KeyFlow, flowName(f.Segment)), zap.Stringer(logger.KeyUpstream, f.Upstream),
			zap.Int("size", f.Size), zap.Int("usual", f.MeanSize))
	}
}

// upstreamOf returns the upstream that a decision is about, zero for none.
func upstreamOf(s rattanwood.Segment, v tagger.Verdict) rattanwood.UpstreamID {
	if v.Action == tagger.Forward {
		return v.Instance.Upstream()
	}
	return s.Tag
}

// flowName is the id of a flow in logs, as the Caller sees it.
func flowName(s rattanwood.Segment) string { return s.Caller.String() + ">" + s.Target.String() }

func (n *Node) badPacket(err error) {
	reason := "unknown"
	var bad *rattanwood.SegmentError
	if errors.As(err, &bad) {
		reason = bad.Reason
	}
	n.refuse("packet_" + reason)
	n.log.Warn("packet refused", zap.String(logger.KeyReason, reason))
}

// refuse counts bad input.
func (n *Node) refuse(reason string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refused[reason]++
}
