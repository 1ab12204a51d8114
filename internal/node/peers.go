package node

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"example.org/rattanwood"
	"example.org/rattanwood/copier"
	"example.org/rattanwood/detector"
	"example.org/rattanwood/internal/listener"
	"example.org/rattanwood/internal/logger"
	"example.org/rattanwood/internal/settings"
	"example.org/rattanwood/messenger"
	"example.org/rattanwood/placer"
	"example.org/rattanwood/prober"
	"example.org/rattanwood/watcher"
	"example.org/rattanwood/wire"
)

// fetchTimeout bounds a fetch of records from another balancer. After it, the records are fetched from the
// next balancer.
const fetchTimeout = 800 * time.Millisecond

// maxSettlingMillis bounds the time that a peer says it holds records, so that it can't overflow.
const maxSettlingMillis = 60_000

// heartbeatPayload returns the state that the next heartbeats carry. The calling code must hold mu.
func (n *Node) heartbeatPayload() messenger.HeartbeatPayload {
	now := n.now()
	payload := messenger.HeartbeatPayload{Leaving: n.shuttingDown.Load()}
	n.copier.FillHeartbeat(now, &payload)
	payload.Failing, payload.Dead = n.prober.Failing()
	for _, id := range n.placer.Loaded() {
		if _, registered, _ := n.tagger.Upstream(id); !registered {
			continue
		}
		own, failures := n.placer.OwnLoad(now, id), n.placer.KnownFailures(now, id)
		if own.Requests > 0 || failures > 0 {
			payload.Loads = append(payload.Loads, messenger.LoadReport{Upstream: id, Requests: own.Requests, Failures: own.Failures, KnownFailures: failures})
		}
	}
	if n.admitter != nil {
		payload.Demands = n.ownDemands(now)
	}
	return payload
}

// peerLoop receives datagrams from other balancers.
func (n *Node) peerLoop(ctx context.Context) error {
	buf := make([]byte, maxDatagramSize)
	for {
		size, from, err := n.peerUDP.ReadFromUDPAddrPort(buf)
		if err != nil {
			return listener.IgnoreClosed(ctx, err)
		}
		peer := netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		message, ok := n.openDatagram(peer, buf[:size])
		if !ok {
			continue
		}
		e := &wire.Envelope{}
		if err := proto.Unmarshal(message, e); err != nil {
			n.countRejected("peer_syntax")
			n.log.Warn("undecodable datagram from peer rejected", zap.String(logger.KeyPeer, from.String()), zap.String(logger.KeyError, err.Error()))
			continue
		}
		n.handleDatagram(ctx, peer, e)
	}
}

// handleDatagram passes a message of another balancer to the messenger.
func (n *Node) handleDatagram(ctx context.Context, from netip.AddrPort, e *wire.Envelope) {
	if a := e.GetAdvice(); a != nil {
		n.handleAdvice(a)
		return
	}
	if e.GetVm() == n.cfg.Settings.VM || e.GetVm() == "" {
		n.countRejected("peer_name")
		return
	}
	n.hearPeer(ctx, rattanwood.VMID(e.GetVm()), from)
	if h := e.GetHandover(); h != nil {
		n.handleHandOver(rattanwood.VMID(e.GetVm()), h)
		return
	}
	if m := e.GetSeek(); m != nil {
		n.handleSeek(rattanwood.VMID(e.GetVm()), m)
		return
	}
	if m := e.GetTold(); m != nil {
		n.handleTold(rattanwood.VMID(e.GetVm()), m)
		return
	}
	if a := e.GetAsk(); a != nil {
		n.handleAsk(rattanwood.VMID(e.GetVm()), a)
		return
	}
	if t := e.GetTally(); t != nil {
		n.handleTally(rattanwood.VMID(e.GetVm()), t)
		return
	}
	n.mu.Lock()
	now := n.now()
	heartbeat, ok := n.messenger.HandleMessage(now, from, e)
	if ok {
		n.handleHeartbeat(now, &heartbeat)
	}
	n.observeIntroduction(now)
	// The message may have completed the view of the fleet, so that flows are reported again.
	reports := n.prepareReports(now)
	actions := n.messenger.TakeActions()
	n.mu.Unlock()
	n.performActions(ctx, actions)
	n.sendDatagrams(reports)
}

// hearPeer tells the messenger that a balancer sent a message, of whatever kind.
func (n *Node) hearPeer(ctx context.Context, vm rattanwood.VMID, from netip.AddrPort) {
	n.mu.Lock()
	n.messenger.Hear(n.now(), vm, from)
	actions := n.messenger.TakeActions()
	n.mu.Unlock()
	n.performActions(ctx, actions)
}

// handleHeartbeat applies the content of a heartbeat. The calling code must hold mu.
func (n *Node) handleHeartbeat(now time.Duration, heartbeat *messenger.Heartbeat) {
	if heartbeat.RecordsError != nil {
		n.rejected["peer_record"]++
		n.log.Warn("records in heartbeat could not be decoded", zap.String(logger.KeyPeer, string(heartbeat.From)), zap.String(logger.KeyError, heartbeat.RecordsError.Error()))
	}
	n.applyUpdate(now, string(heartbeat.From), n.copier.HandleHeartbeat(now, heartbeat))
	for _, l := range heartbeat.Loads {
		n.placer.MergeReport(now, heartbeat.From, heartbeat.DataCentre, l.Upstream, placer.Load{Requests: l.Requests, Failures: l.Failures})
		if n.placer.MergeFailures(now, l.Upstream, l.KnownFailures) {
			n.copier.RequestHeartbeats(now)
		}
	}
	if n.admitter != nil {
		n.mergeDemands(now, heartbeat)
	}
	sameDataCentre := string(heartbeat.DataCentre) == n.cfg.Settings.DataCentre
	for _, id := range heartbeat.Failing {
		r, _, _ := n.tagger.Upstream(id)
		if slices.Contains(heartbeat.Dead, id) {
			// The peer tells by its next heartbeat that it isn't dead any more.
			n.tagger.AssumeRestart(now+settings.Duration(n.cfg.Settings.Times.HeartbeatInterval), id)
		}
		n.prober.AddPeerReport(now, id, prober.PeerReport{
			SameDataCentre: sameDataCentre, AtUpstream: heartbeat.DataCentre == r.DataCentre, Dead: slices.Contains(heartbeat.Dead, id),
		})
	}
}

// logMembers logs changes in what is believed of other balancers.
func (n *Node) logMembers(changes []detector.Change) {
	for _, c := range changes {
		n.log.Info("member changed", zap.String(logger.KeyPeer, string(c.VM)), zap.Uint64("life", uint64(c.Incarnation)),
			zap.Stringer(logger.KeyOutcome, c.Kind), zap.Bool("told", c.Told), zap.Int64(logger.KeyAge, c.Silence.Milliseconds()))
	}
}

// observeIntroduction logs when other balancers are known, and has flows reported again once all of them are. The calling
// code must hold mu.
func (n *Node) observeIntroduction(now time.Duration) {
	knowsFleet := n.messenger.KnowsFleet()
	if !n.introduced && n.messenger.Introduced() {
		n.introduced = true
		n.log.Info("other balancers known", zap.Int("members", len(n.messenger.Members.Members())), zap.Bool("all", knowsFleet), zap.Int64("after", now.Milliseconds()))
	}
	if knowsFleet && !n.knowsFleet {
		n.knowsFleet = true
		n.tagger.ReportAgain()
		n.log.Info("all balancers known", zap.Int("members", len(n.messenger.Members.Members())), zap.Int64("after", now.Milliseconds()))
	}
}

// performActions carries out what the messenger asks for.
func (n *Node) performActions(ctx context.Context, actions []messenger.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case messenger.Send:
			n.sendDatagram(a)
		case messenger.Fetch:
			n.background.Go(func() { n.fetchRecords(ctx, a) })
		}
	}
}

// sendDatagram sends a message to another balancer, sealed if there are keys.
func (n *Node) sendDatagram(a messenger.Send) {
	data, err := proto.Marshal(a.Message)
	if err != nil {
		n.countRejected("peer_encode")
		n.log.Error("datagram to another balancer could not be encoded", zap.String(logger.KeyError, err.Error()))
		return
	}
	sealed, err := n.seal.seal(n.instant(), a.Address, data)
	if err != nil {
		n.countRejected("peer_no_key")
		n.log.Error("datagram to another balancer could not be sealed", zap.String(logger.KeyPeer, a.Address.String()), zap.String(logger.KeyError, err.Error()))
		return
	}
	n.writeDatagram(a.Address, sealed)
}

func (n *Node) sendDatagrams(sends []messenger.Send) {
	for _, a := range sends {
		n.sendDatagram(a)
	}
}

// writeDatagram sends a datagram, sealed if there are keys, to another balancer.
func (n *Node) writeDatagram(to netip.AddrPort, data []byte) {
	if _, err := n.peerUDP.WriteToUDPAddrPort(data, to); err != nil {
		// The failure detector handles the missing answer like that of an unreachable balancer.
		n.countRejected("peer_send")
	}
}

// fetchRecords fetches newer records from another balancer.
func (n *Node) fetchRecords(ctx context.Context, a messenger.Fetch) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	requested := n.now()
	var reply *wire.SyncReply
	err := n.peers.Call(ctx, a.Address, func(ctx context.Context, conn drpc.Conn) (err error) {
		reply, err = wire.NewDRPCCopyClient(conn).Sync(ctx, &wire.SyncRequest{After: uint64(a.After), Packs: true})
		return err
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	n.messenger.FinishFetch()
	if err != nil {
		n.log.Warn("fetching records from another balancer failed", zap.String(logger.KeyPeer, string(a.VM)), zap.String(logger.KeyError, err.Error()))
		return
	}
	now := n.now()
	records, err := messenger.DecodeBundle(reply.GetRecords(), reply.GetPacked())
	if err != nil {
		n.rejected["peer_record"]++
		n.log.Warn("records from another balancer could not be decoded", zap.String(logger.KeyPeer, string(a.VM)), zap.String(logger.KeyError, err.Error()))
		return
	}
	held, err := messenger.Decode(reply.GetHeld())
	if err != nil {
		n.rejected["peer_record"]++
		n.log.Warn("held records from another balancer could not be decoded", zap.String(logger.KeyPeer, string(a.VM)), zap.String(logger.KeyError, err.Error()))
		return
	}
	age, confirmed := messenger.DecodeAge(reply.GetConfirmed())
	n.applyUpdate(now, string(a.VM), n.copier.HandleReply(now, requested, a.After, copier.Reply{
		Position: rattanwood.Position(reply.GetRevision()), Whole: reply.GetWhole(), Records: records,
		Age: age, Confirmed: confirmed, Reader: watcher.ReaderID(reply.GetReader()), Seq: reply.GetConfirmation(),
		Held: held, Settling: time.Duration(min(reply.GetSettling(), maxSettlingMillis)) * time.Millisecond, Informed: reply.GetInformed(),
	}))
}

// applyUpdate applies the changes of the replica to the decision logic. The calling code must hold mu.
func (n *Node) applyUpdate(now time.Duration, from string, u copier.Update) {
	n.applyRecords(now, from, u.Changed)
	if u.Confirmed {
		n.tagger.Confirm(u.At)
	}
}

// serveRPC serves the remote procedure calls of other balancers.
func (n *Node) serveRPC(ctx context.Context) error {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterCopy(mux, &copyService{node: n}); err != nil {
		return oops.Code("peer_register").Wrap(err)
	}
	return listener.ServeRPC(ctx, n.peerTCP, mux)
}

// copyService implements the RPC service through which balancers fetch records from each other.
type copyService struct {
	node *Node
}

// Sync returns the records that changed after a position, or all records if it no longer has the changes.
func (c *copyService) Sync(_ context.Context, r *wire.SyncRequest) (*wire.SyncReply, error) {
	n := c.node
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	reply, ok := n.copier.Reply(now, rattanwood.Position(r.GetAfter()))
	if !ok {
		// This balancer may hold some records already, but not all.
		return nil, oops.Code("not_whole").Errorf("no records yet")
	}
	var records []*wire.Record
	var packed []byte
	if r.GetPacks() {
		records, packed = n.messenger.Packer.EncodeBundle(reply.Records)
	} else {
		records = n.messenger.Packer.Encode(reply.Records)
	}
	return &wire.SyncReply{
		Revision: uint64(reply.Position), Whole: reply.Whole, Records: records, Packed: packed, Confirmed: messenger.EncodeAge(reply.Age, reply.Confirmed),
		Reader: uint64(reply.Reader), Confirmation: reply.Seq,
		Held: n.messenger.Packer.Encode(reply.Held), Settling: uint64(reply.Settling / time.Millisecond), Informed: reply.Informed,
	}, nil
}

// assignment returns which health checks of an upstream are this balancer's duty. The calling code must hold mu.
func (n *Node) assignment(id rattanwood.UpstreamID) prober.Assignment {
	r, registered, ok := n.tagger.Upstream(id)
	now := n.now()
	return prober.Duty{
		Registered: ok && registered,
		Local:      string(r.DataCentre) == n.cfg.Settings.DataCentre,
		Checker:    !n.shuttingDown.Load() && n.messenger.ChecksUpstream(now, id),
		Used:       n.tagger.UsedLately(now, id),
		Evacuated:  n.evacuator.Evacuated(r.DataCentre),
	}.Assignment()
}
