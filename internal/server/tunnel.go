package server

import (
	"context"
	"errors"
	"net/netip"

	"go.uber.org/zap"

	"example.org/rattanwood"
	"example.org/rattanwood/encapsulator"
	"example.org/rattanwood/internal/listener"
	"example.org/rattanwood/internal/logger"
	"example.org/rattanwood/router"
	"example.org/rattanwood/wire"
)

// tunnelLoop receives packets from the fabric and other balancers and forwards or relays them.
func (s *Server) tunnelLoop(ctx context.Context) error {
	buf := make([]byte, encapsulator.MaxSize)
	var d encapsulator.Decoder
	for {
		n, _, err := s.tunnel.ReadFromUDPAddrPort(buf)
		if err != nil {
			return listener.IgnoreClosed(ctx, err)
		}
		s.handlePacket(&d, buf[:n])
	}
}

func (s *Server) handlePacket(d *encapsulator.Decoder, data []byte) {
	in, err := d.Decode(data)
	if err != nil {
		s.rejectPacket(err)
		return
	}
	p := routerPacket(&in)
	if p.Kind >= router.NumPacketKinds {
		s.rejectPacket(&encapsulator.PacketError{Reason: encapsulator.ReasonOption})
		return
	}
	if p.Origin == "" {
		p.Origin = rattanwood.VMID(s.cfg.Settings.VM)
	}
	v, to := s.decide(&p)
	switch v.Action {
	case router.Forward:
		s.forward(&in, to)
	case router.Relay:
		s.relay(&in, &p, v, to)
	case router.Drop:
		s.log.Debug("packet dropped by the router", zap.String(logger.KeyReason, v.Reason.String()))
	}
}

// routerPacket returns the fields of a decoded packet that the routing decision needs.
func routerPacket(in *encapsulator.Packet) router.Packet {
	r := in.Relay
	return router.Packet{
		Flow:      in.Flow,
		Address:   in.Target,
		Opens:     in.Opens,
		Closes:    in.Closes,
		Stateless: in.Stateless,
		Kind:      router.PacketKind(min(r.GetKind(), uint32(router.NumPacketKinds))),
		Hops:      uint8(min(r.GetHops(), router.MaxHops)),
		From:      rattanwood.VMID(r.GetFrom()),
		Origin:    rattanwood.VMID(r.GetOrigin()),
		Owner:     rattanwood.VMID(r.GetHome()),
		Hint:      rattanwood.UpstreamID(r.GetHint()),
	}
}

// destination is the tunnel address and the Geneve VNI that a packet is sent to.
type destination struct {
	address netip.AddrPort
	vni     uint32
}

// decide returns the routing decision for a packet and the destination that follows from it.
func (s *Server) decide(p *router.Packet) (router.Verdict, destination) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.core.Decide(s.now(), p)
	switch v.Action {
	case router.Forward:
		t, ok := s.core.Router.NewestCatalog().Target(v.Upstream)
		if !ok {
			return router.Verdict{Reason: router.ReasonNoUpstream}, destination{}
		}
		return v, destination{address: t.Tunnel, vni: encapsulator.VNI(t.Service)}
	case router.Relay:
		m, ok := s.core.Members.Member(v.VM)
		if !ok {
			return router.Verdict{Reason: router.ReasonNoUpstream}, destination{}
		}
		return v, destination{address: netip.AddrPortFrom(m.Address.Addr(), uint16(s.cfg.Settings.Ports.Tunnel))}
	}
	return v, destination{}
}

func (s *Server) forward(in *encapsulator.Packet, to destination) {
	s.sendPacket(in.Inner, to, nil)
}

func (s *Server) relay(in *encapsulator.Packet, p *router.Packet, v router.Verdict, to destination) {
	s.sendPacket(in.Inner, to, &wire.Relay{
		Kind:   uint32(v.Kind),
		Hops:   uint32(p.Hops) + 1,
		From:   s.cfg.Settings.VM,
		Origin: string(p.Origin),
		Home:   string(v.Owner),
		Hint:   uint32(v.Hint),
	})
}

// sendPacket encapsulates an inner packet and sends it; relay is nil for packets to upstreams.
func (s *Server) sendPacket(inner []byte, to destination, relay *wire.Relay) {
	data, err := encapsulator.Encode(inner, to.vni, relay)
	if err != nil {
		s.rejectPacket(err)
		return
	}
	if _, err := s.tunnel.WriteToUDPAddrPort(data, to.address); err != nil {
		s.metrics.rejected.WithLabelValues("packet_send").Inc()
	}
}

// rejectPacket counts and logs a packet that can't be decoded or encoded.
func (s *Server) rejectPacket(err error) {
	reason := "unknown"
	var bad *encapsulator.PacketError
	if errors.As(err, &bad) {
		reason = string(bad.Reason)
	}
	s.metrics.rejected.WithLabelValues("packet_" + reason).Inc()
	s.log.Warn("invalid packet rejected", zap.String(logger.KeyReason, reason))
}
