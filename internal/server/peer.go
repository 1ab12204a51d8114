package server

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"example.org/rattanwood"
	"example.org/rattanwood/balancer"
	"example.org/rattanwood/claimer"
	"example.org/rattanwood/internal/listener"
	"example.org/rattanwood/internal/logger"
	"example.org/rattanwood/wire"
)

// maxDatagramBytes is the largest payload of a UDP datagram over IPv4.
const maxDatagramBytes = 65507

// fetchTimeout limits the fetch of a document from another balancer.
const fetchTimeout = 2 * time.Second

// peerLoop receives datagrams from other balancers.
func (s *Server) peerLoop(ctx context.Context) error {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := s.peerUDP.ReadFromUDPAddrPort(buf)
		if err != nil {
			return listener.IgnoreClosed(ctx, err)
		}
		s.handleDatagram(ctx, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buf[:n])
	}
}

func (s *Server) handleDatagram(ctx context.Context, from netip.AddrPort, data []byte) {
	e := &wire.Envelope{}
	if err := proto.Unmarshal(data, e); err != nil {
		s.metrics.rejected.WithLabelValues("peer_syntax").Inc()
		s.log.Warn("undecodable datagram from peer rejected", zap.String(logger.KeyPeer, from.String()), zap.String(logger.KeyReason, "syntax"))
		return
	}
	if s.handleSlotMessage(e) {
		return
	}
	s.mu.Lock()
	err := s.core.HandleMessage(s.now(), from, e)
	actions := s.core.TakeActions()
	s.mu.Unlock()
	var msgErr *balancer.MessageError
	if errors.As(err, &msgErr) {
		s.metrics.rejected.WithLabelValues("peer_" + msgErr.Reason).Inc()
		s.log.Debug("datagram from peer rejected", zap.String(logger.KeyPeer, from.String()), zap.String(logger.KeyReason, msgErr.Reason))
	}
	s.performActions(ctx, actions)
}

// performActions sends the datagrams and starts the fetches that the decision logic asks for.
func (s *Server) performActions(ctx context.Context, actions []balancer.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case balancer.Send:
			s.sendDatagram(a)
		case balancer.Fetch:
			s.running.Go(func() { s.fetch(ctx, a) })
		}
	}
}

func (s *Server) sendDatagram(a balancer.Send) {
	data, err := proto.Marshal(a.Message)
	if err != nil {
		return
	}
	if _, err := s.peerUDP.WriteToUDPAddrPort(data, a.Address); err != nil {
		s.metrics.rejected.WithLabelValues("peer_send").Inc()
	}
}

// fetch gets a newer document from another balancer and applies it.
func (s *Server) fetch(ctx context.Context, a balancer.Fetch) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var reply *wire.FetchReply
	err := s.peers.Call(ctx, a.Address, func(ctx context.Context, conn drpc.Conn) (err error) {
		reply, err = wire.NewDRPCPeerClient(conn).Fetch(ctx, &wire.FetchRequest{Version: uint64(a.Version)})
		return err
	})
	if err != nil {
		s.log.Warn("fetching the document from a peer failed", zap.String(logger.KeyPeer, string(a.VM)), zap.String(logger.KeyError, err.Error()))
		return
	}
	_ = s.setDocument(string(a.VM), reply.GetDocument())
}

// serveCalls serves the remote procedure calls of other balancers.
func (s *Server) serveCalls(ctx context.Context) error {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterPeer(mux, &calls{server: s}); err != nil {
		return oops.Code("peer_register").Wrap(err)
	}
	return listener.ServeRPC(ctx, s.peerTCP, mux)
}

// calls implements the dRPC service Peer.
type calls struct {
	server *Server
}

// Fetch returns the newest document.
func (c *calls) Fetch(_ context.Context, _ *wire.FetchRequest) (*wire.FetchReply, error) {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := &wire.FetchReply{Document: s.encodedDocument}
	if newest := s.core.Router.NewestCatalog(); newest != nil {
		reply.Version = uint64(newest.Version)
	}
	return reply, nil
}

// Claim votes on the claim of another balancer to a request id, or releases it.
func (c *calls) Claim(_ context.Context, r *wire.ClaimRequest) (*wire.ClaimReply, error) {
	return encodeReply(c.server.handleClaim(r)), nil
}

// Settle records the outcome of a request that another balancer claimed.
func (c *calls) Settle(_ context.Context, r *wire.SettleRequest) (*wire.SettleReply, error) {
	c.server.handleSettle(r)
	return &wire.SettleReply{}, nil
}

// handleClaim applies a claim or a release to this balancer's replica of the claim table.
func (s *Server) handleClaim(r *wire.ClaimRequest) claimer.Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	claim := decodeClaim(r)
	if r.GetRelease() {
		s.claims.Release(claim)
		return claimer.Reply{}
	}
	return s.claims.Claim(s.now(), claim)
}

func encodeClaim(c claimer.Claim) *wire.ClaimRequest {
	return &wire.ClaimRequest{
		Id:       string(c.ID),
		Claimant: string(c.By.VM),
		Life:     uint64(c.By.Incarnation),
		Seq:      c.Seq,
		Age:      uint64(max(c.Age, 0) / time.Millisecond),
	}
}

func decodeClaim(r *wire.ClaimRequest) claimer.Claim {
	return claimer.Claim{
		ID:  rattanwood.RequestID(r.GetId()),
		By:  claimer.Claimant{VM: rattanwood.VMID(r.GetClaimant()), Incarnation: rattanwood.Incarnation(r.GetLife())},
		Seq: r.GetSeq(),
		Age: time.Duration(min(r.GetAge(), maxAgeMillis)) * time.Millisecond,
	}
}

func (s *Server) handleSettle(r *wire.SettleRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	by := claimer.Claimant{VM: rattanwood.VMID(r.GetClaimant()), Incarnation: rattanwood.Incarnation(r.GetLife())}
	s.claims.Settle(rattanwood.RequestID(r.GetId()), by, decodeOutcome(r.GetOutcome()))
}

func encodeReply(r claimer.Reply) *wire.ClaimReply {
	return &wire.ClaimReply{
		Vote:     wire.ClaimReply_Vote(r.Vote),
		Claimant: string(r.Claimant.VM),
		Life:     uint64(r.Claimant.Incarnation),
		Outcome:  encodeOutcome(r.Outcome),
	}
}

func decodeReply(r *wire.ClaimReply) claimer.Reply {
	return claimer.Reply{
		Vote:     claimer.Vote(r.GetVote()),
		Claimant: claimer.Claimant{VM: rattanwood.VMID(r.GetClaimant()), Incarnation: rattanwood.Incarnation(r.GetLife())},
		Outcome:  decodeOutcome(r.GetOutcome()),
	}
}

func encodeOutcome(o claimer.Outcome) *wire.Outcome {
	return &wire.Outcome{Kind: wire.Outcome_Kind(o.Kind), Body: o.Body, Upstream: o.Upstream}
}

func decodeOutcome(o *wire.Outcome) claimer.Outcome {
	return claimer.Outcome{Kind: claimer.Kind(o.GetKind()), Body: o.GetBody(), Upstream: o.GetUpstream()}
}
