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
	"example.org/rattanwood/internal/listener"
	"example.org/rattanwood/internal/logger"
	"example.org/rattanwood/messenger"
	"example.org/rattanwood/placer"
	"example.org/rattanwood/prober"
	"example.org/rattanwood/watcher"
	"example.org/rattanwood/wire"
)

// syncDeadline bounds a fetch of records from a balancer; a slow one is given up for another.
const syncDeadline = 800 * time.Millisecond

// knowledge is what heartbeats say; mu is held.
func (n *Node) knowledge() messenger.HeartbeatPayload {
	now := n.now()
	k := messenger.HeartbeatPayload{Leaving: n.leaving.Load()}
	n.copies.FillHeartbeat(now, &k)
	k.Failing, k.Dead = n.checks.Failing()
	for _, id := range n.flows.Registered() {
		own, failures := n.loads.OwnWork(now, id), n.loads.Failures(now, id)
		if own.Requests > 0 || failures > 0 {
			k.Loads = append(k.Loads, messenger.Load{Upstream: id, Work: own.Requests, Failures: own.Failures, ReportedFailures: failures})
		}
	}
	return k
}

// peerLoop takes in datagrams from other balancers.
func (n *Node) peerLoop(ctx context.Context) error {
	buf := make([]byte, datagramMost)
	for {
		size, from, err := n.peerUDP.ReadFromUDPAddrPort(buf)
		if err != nil {
			return listener.IgnoreClosed(ctx, err)
		}
		e := &wire.Envelope{}
		if err := proto.Unmarshal(buf[:size], e); err != nil {
			n.refuse("peer_syntax")
			n.log.Warn("datagram refused", zap.String(logger.KeyPeer, from.String()), zap.String(logger.KeyError, err.Error()))
			continue
		}
		n.datagram(ctx, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), e)
	}
}

func (n *Node) datagram(ctx context.Context, from netip.AddrPort, e *wire.Envelope) {
	if e.GetVm() == n.cfg.Settings.VM || e.GetVm() == "" {
		n.refuse("peer_name")
		return
	}
	n.mu.Lock()
	now := n.now()
	news, ok := n.talk.HandleMessage(now, from, e)
	if ok {
		n.heard(now, &news)
	}
	actions := n.talk.TakeActions()
	n.mu.Unlock()
	n.perform(ctx, actions)
}

// heard takes in the news of a heartbeat; mu is held.
func (n *Node) heard(now time.Duration, news *messenger.Heartbeat) {
	if news.RecordsError != nil {
		n.refused["peer_record"]++
		n.log.Warn("records of a heartbeat not read", zap.String(logger.KeyPeer, string(news.From)), zap.String(logger.KeyError, news.RecordsError.Error()))
	}
	n.take(now, string(news.From), n.copies.HandleHeartbeat(now, news))
	for _, l := range news.Loads {
		n.loads.MergeReport(now, news.From, news.DataCentre, l.Upstream, placer.Work{Requests: l.Work, Failures: l.Failures})
		if n.loads.MergeFailures(now, l.Upstream, l.ReportedFailures) {
			n.copies.TriggerHeartbeats(now)
		}
	}
	near := string(news.DataCentre) == n.cfg.Settings.DataCentre
	for _, id := range news.Failing {
		n.checks.AddPeerReport(now, id, prober.PeerReport{Near: near, Dead: slices.Contains(news.Dead, id)})
	}
}

// perform carries out the actions of the messenger.
func (n *Node) perform(ctx context.Context, actions []messenger.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case messenger.Send:
			n.send(a)
		case messenger.Sync:
			n.running.Go(func() { n.sync(ctx, a) })
		}
	}
}

func (n *Node) send(a messenger.Send) {
	data, err := proto.Marshal(a.Message)
	if err != nil {
		n.refuse("peer_encode")
		n.log.Error("datagram not encoded", zap.String(logger.KeyError, err.Error()))
		return
	}
	if _, err := n.peerUDP.WriteToUDPAddrPort(data, a.Address); err != nil {
		// The receiver counts as silent, which is what it is.
		n.refuse("peer_send")
	}
}

// sync brings newer records from another balancer.
func (n *Node) sync(ctx context.Context, a messenger.Sync) {
	ctx, cancel := context.WithTimeout(ctx, syncDeadline)
	defer cancel()
	asked := n.now()
	var reply *wire.SyncReply
	err := n.peers.Call(ctx, a.Address, func(ctx context.Context, conn drpc.Conn) (err error) {
		reply, err = wire.NewDRPCCopyClient(conn).Sync(ctx, &wire.SyncRequest{After: uint64(a.After)})
		return err
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	n.talk.FinishSync()
	if err != nil {
		n.log.Warn("records not fetched", zap.String(logger.KeyPeer, string(a.VM)), zap.String(logger.KeyError, err.Error()))
		return
	}
	now := n.now()
	records, err := messenger.Decode(reply.GetRecords())
	if err != nil {
		n.refused["peer_record"]++
		n.log.Warn("records not fetched", zap.String(logger.KeyPeer, string(a.VM)), zap.String(logger.KeyError, err.Error()))
		return
	}
	age, confirmed := messenger.DecodeAge(reply.GetConfirmed())
	n.take(now, string(a.VM), n.copies.HandleReply(now, asked, a.After, copier.Reply{
		Revision: rattanwood.Revision(reply.GetRevision()), Whole: reply.GetWhole(), Records: records,
		Age: age, Confirmed: confirmed, Reader: watcher.ReaderID(reply.GetReader()), Seq: reply.GetConfirmation(),
	}))
}

// take carries out what became of the copy; mu is held.
func (n *Node) take(now time.Duration, from string, o copier.Outcome) {
	n.apply(now, from, o.Changed)
	if o.Confirmed {
		n.flows.Confirm(o.At)
	}
}

// serveCalls serves the calls of other balancers.
func (n *Node) serveCalls(ctx context.Context) error {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterCopy(mux, &calls{node: n}); err != nil {
		return oops.Code("peer_register").Wrap(err)
	}
	return listener.ServeRPC(ctx, n.peerTCP, mux)
}

// calls implements the service by which balancers copy records.
type calls struct {
	node *Node
}

// Sync returns the records that changed after a revision.
func (c *calls) Sync(_ context.Context, r *wire.SyncRequest) (*wire.SyncReply, error) {
	n := c.node
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	reply, ok := n.copies.Reply(now, rattanwood.Revision(r.GetAfter()))
	if !ok {
		return nil, oops.Code("not_whole").Errorf("no records yet")
	}
	return &wire.SyncReply{
		Revision: uint64(reply.Revision), Whole: reply.Whole,
		Records: n.talk.Packer.Encode(reply.Records), Confirmed: messenger.EncodeAge(reply.Age, reply.Confirmed),
		Reader: uint64(reply.Reader), Confirmation: reply.Seq,
	}, nil
}

// duty says how closely this balancer watches an upstream; mu is held.
func (n *Node) duty(id rattanwood.UpstreamID) prober.Assignment {
	r, present, ok := n.flows.Upstream(id)
	switch {
	case !ok || !present:
		return prober.Unregistered
	case n.leaving.Load() || !n.talk.ChecksUpstream(n.now(), id):
		return prober.AssignedElsewhere
	case string(r.DataCentre) == n.cfg.Settings.DataCentre:
		return prober.AssignedLocal
	}
	return prober.AssignedRemote
}
