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
	"example.org/rattanwood/internal/listener"
	"example.org/rattanwood/internal/logger"
	"example.org/rattanwood/internal/settings"
	"example.org/rattanwood/messenger"
	"example.org/rattanwood/placer"
	"example.org/rattanwood/prober"
	"example.org/rattanwood/watcher"
	"example.org/rattanwood/wire"
)

// syncDeadline bounds a fetch of records from a balancer; a slow one is given up for another.
const syncDeadline = 800 * time.Millisecond

// knowledge is what heartbeats say; mu is held.
func (n *Node) knowledge() messenger.Knowledge {
	now := n.now()
	c, ok := n.watch.Newest()
	k := messenger.Knowledge{
		Revision: n.copy.At(), Age: now - c.At, Confirmed: ok, Reader: c.Reader, Seq: c.Seq,
		Leaving: n.leaving.Load(), Blind: n.watch.Blind(),
	}
	k.Failing, k.Dead = n.checks.Failing()
	k.Prior, k.Records = n.copy.Take()
	for _, id := range n.flows.Registered() {
		own, failures := n.loads.Own(now, id), n.loads.Failures(now, id)
		if own.Requests > 0 || failures > 0 {
			k.Loads = append(k.Loads, messenger.Load{Upstream: id, Work: own.Requests, Failures: own.Failures, Rumour: failures})
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
			return listener.Closed(ctx, err)
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
	news, ok := n.talk.Message(now, from, e)
	if ok {
		n.heard(now, &news)
	}
	actions := n.talk.Take()
	n.mu.Unlock()
	n.perform(ctx, actions)
}

// heard takes in the news of a heartbeat; mu is held.
func (n *Node) heard(now time.Duration, news *messenger.News) {
	if news.Bad != nil {
		n.refused["peer_record"]++
		n.log.Warn("records of a heartbeat not read", zap.String(logger.KeyPeer, string(news.From)), zap.String(logger.KeyError, news.Bad.Error()))
	}
	if news.Revision > n.copy.At() && len(news.Records) > 0 {
		if changed, ok := n.copy.Apply(news.Prior, rattanwood.Changes{Records: news.Records, At: news.Revision}); ok {
			n.apply(now, string(news.From), changed)
		}
	}
	switch {
	case news.Revision > n.copy.At() || !n.copy.Whole() && news.Confirmed:
		n.talk.Behind(now, news.From, n.after())
	case news.Revision == n.copy.At() && news.Confirmed && n.copy.Whole():
		n.confirm(now, watcher.Confirmation{Reader: news.Reader, Seq: news.Seq, At: now - news.Age})
	}
	for _, l := range news.Loads {
		n.loads.Merge(now, news.From, news.DataCentre, l.Upstream, placer.Work{Requests: l.Work, Failures: l.Failures})
		if n.loads.Rumour(now, l.Upstream, l.Rumour) {
			n.spread(now)
		}
	}
	near := string(news.DataCentre) == n.cfg.Settings.Centre
	for _, id := range news.Failing {
		n.checks.Hear(now, id, prober.Rumour{Near: near, Dead: slices.Contains(news.Dead, id)})
	}
}

// after returns the revision whose later changes this balancer needs; mu is held.
func (n *Node) after() rattanwood.Revision {
	if !n.copy.Whole() {
		return 0
	}
	return n.copy.At()
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
	n.talk.Synced()
	if err != nil {
		n.log.Warn("records not fetched", zap.String(logger.KeyPeer, string(a.VM)), zap.String(logger.KeyError, err.Error()))
		return
	}
	now, revision := n.now(), rattanwood.Revision(reply.GetRevision())
	records, err := messenger.Decode(reply.GetRecords())
	if err != nil {
		n.refused["peer_record"]++
		n.log.Warn("records not fetched", zap.String(logger.KeyPeer, string(a.VM)), zap.String(logger.KeyError, err.Error()))
		return
	}
	var changed []rattanwood.Record
	if reply.GetWhole() {
		changed = n.copy.Replace(records, revision)
	} else {
		// Changes that don't fit any more are fetched again with the next heartbeat.
		changed, _ = n.copy.Apply(a.After, rattanwood.Changes{Records: records, At: revision})
	}
	n.apply(now, string(a.VM), changed)
	if age, ok := messenger.DecodeAge(reply.GetConfirmed()); ok && revision == n.copy.At() {
		n.confirm(now, watcher.Confirmation{Reader: watcher.Reader(reply.GetReader()), Seq: reply.GetConfirmation(), At: asked - age})
	}
}

// confirm takes in a confirmation, and lets the neighbours know soon if it is news; mu is held.
func (n *Node) confirm(now time.Duration, c watcher.Confirmation) {
	n.flows.Confirm(c.At)
	if n.watch.Confirm(now, c) {
		n.spread(now)
	}
}

// spread lets the neighbours know of a confirmation soon, but not of each one where changes lead to
// many; mu is held.
func (n *Node) spread(now time.Duration) {
	if now-n.spreadAt >= settings.Duration(n.cfg.Settings.Times.Apply)/spreadParts {
		n.spreadAt = now
		n.talk.Members.Hurry()
	}
}

// spreadParts is the number of confirmations that are spread in the time in which a change must be in
// force: twice those of a reader without changes.
const spreadParts = 6

// serveCalls serves the calls of other balancers.
func (n *Node) serveCalls(ctx context.Context) error {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterCopy(mux, &calls{node: n}); err != nil {
		return oops.Code("peer_register").Wrap(err)
	}
	return listener.ServeCalls(ctx, n.peerTCP, mux)
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
	if !n.copy.Whole() {
		return nil, oops.Code("not_whole").Errorf("no records yet")
	}
	records, whole := n.copy.Since(rattanwood.Revision(r.GetAfter()))
	confirmed, ok := n.watch.Newest()
	return &wire.SyncReply{
		Revision: uint64(n.copy.At()), Whole: whole || r.GetAfter() == 0,
		Records: n.talk.Packer.Encode(records), Confirmed: messenger.EncodeAge(n.now()-confirmed.At, ok),
		Reader: uint64(confirmed.Reader), Confirmation: confirmed.Seq,
	}, nil
}

// duty says how closely this balancer watches an upstream; mu is held.
func (n *Node) duty(id rattanwood.UpstreamID) prober.Duty {
	r, present, ok := n.flows.Upstream(id)
	switch {
	case !ok || !present:
		return prober.Absent
	case n.leaving.Load() || !n.talk.Duty(n.now(), id):
		return prober.Watched
	case string(r.DataCentre) == n.cfg.Settings.Centre:
		return prober.Local
	}
	return prober.Remote
}
