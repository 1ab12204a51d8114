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

// tunnelLoop decides on packets and sends them on.
func (s *Server) tunnelLoop(ctx context.Context) error {
	buf := make([]byte, encapsulator.MaxSize)
	var d encapsulator.Decoder
	for {
		n, _, err := s.tunnel.ReadFromUDPAddrPort(buf)
		if err != nil {
			return listener.IgnoreClosed(ctx, err)
		}
		s.packet(&d, buf[:n])
	}
}

func (s *Server) packet(d *encapsulator.Decoder, data []byte) {
	in, err := d.Decode(data)
	if err != nil {
		s.badPacket(err)
		return
	}
	p := routed(&in)
	if p.Kind >= router.NumPacketKinds {
		s.badPacket(&encapsulator.PacketError{Reason: encapsulator.ReasonOption})
		return
	}
	if p.Origin == "" {
		p.Origin = rattanwood.VMID(s.cfg.Settings.VM)
	}
	v, target := s.decide(&p)
	switch v.Action {
	case router.Forward:
		s.forward(&in, target)
	case router.Relay:
		s.relay(&in, &p, v, target)
	case router.Drop:
		s.log.Debug("packet dropped", zap.String(logger.KeyReason, v.Reason.String()))
	}
}

func routed(in *encapsulator.Packet) router.Packet {
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

// destination is where a packet goes on the network.
type destination struct {
	address netip.AddrPort
	vni     uint32
}

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
	s.write(in.Inner, to, nil)
}

func (s *Server) relay(in *encapsulator.Packet, p *router.Packet, v router.Verdict, to destination) {
	s.write(in.Inner, to, &wire.Relay{
		Kind:   uint32(v.Kind),
		Hops:   uint32(p.Hops) + 1,
		From:   s.cfg.Settings.VM,
		Origin: string(p.Origin),
		Home:   string(v.Owner),
		Hint:   uint32(v.Hint),
	})
}

func (s *Server) write(inner []byte, to destination, relay *wire.Relay) {
	data, err := encapsulator.Encode(inner, to.vni, relay)
	if err != nil {
		s.badPacket(err)
		return
	}
	if _, err := s.tunnel.WriteToUDPAddrPort(data, to.address); err != nil {
		s.metrics.rejected.WithLabelValues("packet_send").Inc()
	}
}

func (s *Server) badPacket(err error) {
	reason := "unknown"
	var bad *encapsulator.PacketError
	if errors.As(err, &bad) {
		reason = string(bad.Reason)
	}
	s.metrics.rejected.WithLabelValues("packet_" + reason).Inc()
	s.log.Warn("packet refused", zap.String(logger.KeyReason, reason))
}
