package copier_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/copier"
	"example.org/rattanwood/detector"
	"example.org/rattanwood/limiter"
	"example.org/rattanwood/messenger"
	"example.org/rattanwood/reconciler"
	"example.org/rattanwood/replicator"
	"example.org/rattanwood/watcher"
)

const now = 10 * time.Second

// settleTime is how long earlier records stay in effect after the source's return.
const settleTime = 6 * time.Second

// newReconciler returns a reconciler for which the longer of two values is the later one.
func newReconciler() *reconciler.Reconciler {
	return reconciler.New(reconciler.Config{SettleTime: settleTime, Supersedes: func(later, earlier rattanwood.Record) bool { return len(later.Value) > len(earlier.Value) }})
}

// newCopier returns a copier that holds the record k of revision 5 and knows the peer vm-2.
func newCopier() (*copier.Copier, *replicator.Replicator, *messenger.Messenger) {
	replica := replicator.New()
	msgr := messenger.New(messenger.Config{
		Detector: detector.Config{Self: "vm-1", DataCentre: "east", Incarnation: 1, HeartbeatInterval: time.Second, Sparse: true},
		Limiter:  limiter.Config{Rate: 27 << 10, Burst: 256 << 10},
	})
	msgr.Members.Add("vm-2", netip.MustParseAddrPort("10.0.0.2:1"), "east")
	c := copier.New(copier.Config{Replica: replica, Reconciler: newReconciler(), Watcher: watcher.New(watcher.Config{Self: 1}), Messenger: msgr, SpreadInterval: time.Second})
	replica.ReplaceAll([]rattanwood.Record{{Key: "k", Value: []byte("5"), Position: 5}}, 5)
	return c, replica, msgr
}

// TestHandleHeartbeat covers heartbeats whose changes extend the replica, leave a gap, or are old, and
// those that only confirm.
func TestHandleHeartbeat(t *testing.T) {
	record := func(revision rattanwood.Position) []rattanwood.Record {
		return []rattanwood.Record{{Key: "n", Value: []byte("x"), Position: revision}}
	}
	tests := map[string]struct {
		heartbeat    messenger.HeartbeatPayload
		changed      int
		wantRevision rattanwood.Position
		confirmed    bool
		fetch        bool
	}{
		"next change":                {messenger.HeartbeatPayload{Position: 6, Prior: 5, Records: record(6)}, 1, 6, false, false},
		"overlapping changes":        {messenger.HeartbeatPayload{Position: 7, Prior: 3, Records: record(7)}, 1, 7, false, false},
		"gap before the changes":     {messenger.HeartbeatPayload{Position: 8, Prior: 7, Records: record(8)}, 0, 5, false, true},
		"newer without changes":      {messenger.HeartbeatPayload{Position: 8}, 0, 5, false, true},
		"older":                      {messenger.HeartbeatPayload{Position: 4, Prior: 3, Records: record(4)}, 0, 5, false, false},
		"confirmation":               {messenger.HeartbeatPayload{Position: 5, Confirmed: true, Reader: 9, ConfirmationSeq: 1, Age: time.Second}, 0, 5, true, false},
		"confirmation of an older":   {messenger.HeartbeatPayload{Position: 4, Confirmed: true, Reader: 9, ConfirmationSeq: 1}, 0, 5, false, false},
		"confirmation with a change": {messenger.HeartbeatPayload{Position: 6, Prior: 5, Records: record(6), Confirmed: true, Reader: 9, ConfirmationSeq: 1, Age: time.Second}, 1, 6, true, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			updater, replica, msgr := newCopier()
			update := updater.HandleHeartbeat(now, &messenger.Heartbeat{From: "vm-2", DataCentre: "east", HeartbeatPayload: test.heartbeat})
			c.Assert(update.Changed, qt.HasLen, test.changed)
			c.Assert(replica.Position(), qt.Equals, test.wantRevision)
			c.Assert(update.Confirmed, qt.Equals, test.confirmed)
			if test.confirmed {
				c.Assert(update.At, qt.Equals, now-time.Second)
			}
			c.Assert(len(msgr.TakeActions()) > 0, qt.Equals, test.fetch)
		})
	}
}

// TestEmptyReplicaFetchesAllRecords has a balancer that holds no records yet and receives a heartbeat
// from a confirmed peer.
func TestEmptyReplicaFetchesAllRecords(t *testing.T) {
	c := qt.New(t)
	full, _, _ := newCopier()
	replica := replicator.New()
	msgr := messenger.New(messenger.Config{Detector: detector.Config{Self: "vm-3", Sparse: true}, Limiter: limiter.Config{Rate: 27 << 10, Burst: 256 << 10}})
	msgr.Members.Add("vm-2", netip.MustParseAddrPort("10.0.0.2:1"), "east")
	empty := copier.New(copier.Config{Replica: replica, Reconciler: newReconciler(), Watcher: watcher.New(watcher.Config{Self: 3}), Messenger: msgr})
	_, ok := empty.Reply(now, 0)
	c.Assert(ok, qt.IsFalse)
	empty.HandleHeartbeat(now, &messenger.Heartbeat{From: "vm-2", HeartbeatPayload: messenger.HeartbeatPayload{Position: 5, Confirmed: true}})
	c.Assert(msgr.TakeActions(), qt.HasLen, 1)
	reply, ok := full.Reply(now, empty.FetchAfter())
	c.Assert(ok, qt.IsTrue)
	c.Assert(reply.Whole, qt.IsTrue)
	c.Assert(empty.HandleReply(now, now, empty.FetchAfter(), reply).Changed, qt.HasLen, 1)
	c.Assert(replica.Complete(), qt.IsTrue)
}

// in returns a position in the second era of the source.
func in(revision rattanwood.Revision) rattanwood.Position { return rattanwood.NewPosition(1, revision) }

// TestSourceReturnsFromOlderCopy has a balancer at position 5 whose source came back at 4 and went on to 6.
func TestSourceReturnsFromOlderCopy(t *testing.T) {
	c := qt.New(t)
	updater, replica, msgr := newCopier()
	_, ok := updater.HandleChanges(now, now, 5, rattanwood.Changes{Records: []rattanwood.Record{{Key: "n", Value: []byte("1"), Position: in(6)}}, Position: in(6)})
	c.Assert(ok, qt.IsFalse, qt.Commentf("changes 5 and 6 of the new era were taken for all that is new"))
	c.Assert(replica.Position(), qt.Equals, rattanwood.Position(5))

	update, ok := updater.HandleListing(now, now, []rattanwood.Record{{Key: "k", Value: []byte(""), Position: in(3)}, {Key: "n", Value: []byte("1"), Position: in(6)}}, in(6))
	c.Assert(ok, qt.IsTrue)
	c.Assert(replica.Position(), qt.Equals, in(6))
	c.Assert(update.Changed, qt.HasLen, 1, qt.Commentf("the older value of k came into effect"))
	c.Assert(update.Changed[0].Key, qt.Equals, "n")
	c.Assert(update.Confirmed, qt.IsFalse, qt.Commentf("what the source lost was taken not to exist"))

	_, ok = updater.HandleListing(now, now, []rattanwood.Record{{Key: "k", Value: []byte("5"), Position: 9}}, 9)
	c.Assert(ok, qt.IsFalse, qt.Commentf("a listing of the earlier era was applied"))
	late := updater.HandleHeartbeat(now, &messenger.Heartbeat{From: "vm-2", HeartbeatPayload: messenger.HeartbeatPayload{Position: 9, Prior: 5, Records: []rattanwood.Record{{Key: "k", Position: 9, Deleted: true}}, Confirmed: true}})
	c.Assert(late, qt.DeepEquals, copier.Update{})
	c.Assert(msgr.TakeActions(), qt.HasLen, 0, qt.Commentf("a balancer of the earlier era was asked for its records"))

	c.Assert(updater.Expire(now+settleTime-1), qt.HasLen, 0)
	c.Assert(updater.Expire(now+settleTime), qt.DeepEquals, []rattanwood.Record{{Key: "k", Value: []byte(""), Position: in(3)}})
	update, ok = updater.HandleChanges(now+settleTime, now+settleTime, in(6), rattanwood.Changes{Position: in(6)})
	c.Assert(ok, qt.IsTrue)
	c.Assert(update.Confirmed, qt.IsTrue)
}

// TestBalancersOfDifferentErasMeet has one balancer that knows the source's return and one that doesn't.
func TestBalancersOfDifferentErasMeet(t *testing.T) {
	c := qt.New(t)
	ahead, aheadReplica, _ := newCopier()
	behind, behindReplica, msgr := newCopier()
	listing := []rattanwood.Record{{Key: "o", Value: []byte("1"), Position: in(2)}}
	ahead.HandleListing(now, now, listing, in(2))
	behind.HandleHeartbeat(now, &messenger.Heartbeat{From: "vm-2", HeartbeatPayload: messenger.HeartbeatPayload{Position: in(2), Prior: in(2)}})
	c.Assert(msgr.TakeActions(), qt.HasLen, 1)
	reply, ok := ahead.Reply(now, behind.FetchAfter())
	c.Assert(ok, qt.IsTrue)
	c.Assert(reply.Whole, qt.IsTrue)
	update := behind.HandleReply(now, now, behind.FetchAfter(), reply)
	c.Assert(behindReplica.Position(), qt.Equals, aheadReplica.Position())
	c.Assert(update.Changed, qt.DeepEquals, listing, qt.Commentf("k, which the copy lacks, must stay in effect"))
}

// TestStartAfterReturn has a balancer start from the source's copy, of which an upstream's record k is
// out of date, and then meet a peer that knew the source before.
func TestStartAfterReturn(t *testing.T) {
	c := qt.New(t)
	peer, _, _ := newCopier()
	listing := []rattanwood.Record{{Key: "k", Value: nil, Position: in(3)}}
	peer.HandleListing(now, now, listing, in(3))
	payload := messenger.HeartbeatPayload{}
	peer.FillHeartbeat(now, &payload)
	c.Assert(payload.Settling, qt.IsTrue)

	replica := replicator.New()
	msgr := messenger.New(messenger.Config{Detector: detector.Config{Self: "vm-3", Sparse: true}, Limiter: limiter.Config{Rate: 27 << 10, Burst: 256 << 10}})
	msgr.Members.Add("vm-2", netip.MustParseAddrPort("10.0.0.2:1"), "east")
	fresh := copier.New(copier.Config{Replica: replica, Reconciler: newReconciler(), Watcher: watcher.New(watcher.Config{Self: 3}), Messenger: msgr})
	fresh.HandleListing(now, now, listing, in(3))
	c.Assert(fresh.MayTrust(now), qt.IsFalse)
	c.Assert(fresh.Settling(now), qt.IsTrue)
	fresh.HandleHeartbeat(now, &messenger.Heartbeat{From: "vm-2", HeartbeatPayload: payload})
	actions := msgr.TakeActions()
	c.Assert(actions, qt.HasLen, 1)
	reply, _ := peer.Reply(now, actions[0].(messenger.Fetch).After)
	update := fresh.HandleReply(now, now, actions[0].(messenger.Fetch).After, reply)
	c.Assert(update.Changed, qt.DeepEquals, []rattanwood.Record{{Key: "k", Value: []byte("5"), Position: 5}})
	c.Assert(fresh.MayTrust(now), qt.IsTrue)
}

// TestStartBesideOutdatedPeer has a balancer without records hear first of a peer that was cut off from the
// source for long, and may list upstreams that have left. Only when the source doesn't answer is that better
// than nothing.
func TestStartBesideOutdatedPeer(t *testing.T) {
	c := qt.New(t)
	msgr := messenger.New(messenger.Config{Detector: detector.Config{Self: "vm-3", Sparse: true}, Limiter: limiter.Config{Rate: 27 << 10, Burst: 256 << 10}})
	msgr.Members.Add("vm-2", netip.MustParseAddrPort("10.0.0.2:1"), "east")
	fresh := copier.New(copier.Config{
		Replica: replicator.New(), Reconciler: newReconciler(), Messenger: msgr, MaxFetchAge: time.Second,
		Watcher: watcher.New(watcher.Config{Self: 3, MinBackoff: time.Second, MaxBackoff: time.Second, Random: rand.New(rand.NewPCG(1, 0))}),
	})
	heartbeat := messenger.HeartbeatPayload{Position: 5, Confirmed: true, Age: 5 * time.Second}
	fresh.HandleHeartbeat(now, &messenger.Heartbeat{From: "vm-2", HeartbeatPayload: heartbeat})
	c.Assert(msgr.TakeActions(), qt.HasLen, 0, qt.Commentf("records of 5 s ago were fetched although the source may answer"))
	fresh.HandleFailure(now)
	c.Assert(msgr.TakeActions(), qt.HasLen, 1)
}

// TestFleetStartsAfterReturn has balancers start when the source came back from a copy long ago, or when
// the whole fleet started anew. They must not wait for a peer that knows more.
func TestFleetStartsAfterReturn(t *testing.T) {
	tests := map[string]struct {
		heard []messenger.HeartbeatPayload
		trust bool
	}{
		"nobody heard":                        {nil, false},
		"one started as well":                 {[]messenger.HeartbeatPayload{{Position: in(3)}}, false},
		"two started as well":                 {[]messenger.HeartbeatPayload{{Position: in(3)}, {Position: in(3)}}, true},
		"one knows, two started":              {[]messenger.HeartbeatPayload{{Position: in(3), Informed: true, Settling: true}, {Position: in(3)}, {Position: in(3)}}, false},
		"one has not heard of the return yet": {[]messenger.HeartbeatPayload{{Position: 9, Informed: true}, {Position: in(3)}, {Position: in(3)}}, false},
		"the return was long ago":             {[]messenger.HeartbeatPayload{{Position: in(3), Informed: true}}, true},
		"two without records":                 {[]messenger.HeartbeatPayload{{}, {}}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			_, _, msgr := newCopier()
			fresh := copier.New(copier.Config{Replica: replicator.New(), Reconciler: newReconciler(), Watcher: watcher.New(watcher.Config{Self: 3}), Messenger: msgr})
			fresh.HandleListing(now, now, nil, in(3))
			for i, payload := range test.heard {
				fresh.HandleHeartbeat(now, &messenger.Heartbeat{From: rattanwood.VMID(fmt.Sprint(i)), HeartbeatPayload: payload})
			}
			c.Assert(fresh.MayTrust(now), qt.Equals, test.trust)
			c.Assert(fresh.MayTrust(now+settleTime), qt.IsTrue)
		})
	}
}
