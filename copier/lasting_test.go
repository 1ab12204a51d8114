package copier_test

import (
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

// newLastingCopier returns a copier without records for which the record k is a lasting one. It knows the peer vm-2.
func newLastingCopier(self rattanwood.VMID) (*copier.Copier, *messenger.Messenger) {
	msgr := messenger.New(messenger.Config{Detector: detector.Config{Self: self, Sparse: true}, Limiter: limiter.Config{Rate: 27 << 10, Burst: 256 << 10}})
	msgr.Members.Add("vm-2", netip.MustParseAddrPort("10.0.0.2:1"), "east")
	r := reconciler.New(reconciler.Config{
		SettleTime: settleTime, Lasting: func(key string) bool { return key == "k" },
		Supersedes: func(rattanwood.Record, rattanwood.Record) bool { return false },
	})
	return copier.New(copier.Config{Replica: replicator.New(), Reconciler: r, Watcher: watcher.New(watcher.Config{}), Messenger: msgr}), msgr
}

// TestLastingRecordOfPeer has a peer keep a record that the source lost. A balancer that starts from the copy waits
// for it before it trusts the copy, one that was cut off learns it as well, and neither settles for it.
func TestLastingRecordOfPeer(t *testing.T) {
	lasting := []rattanwood.Record{{Key: "k", Value: []byte("1"), Position: 5}}
	tests := map[string]struct {
		// before is the position at which the balancer was cut off; zero if it has just started.
		before rattanwood.Position
		// after is the time since the return.
		after time.Duration
	}{
		"starts at once":       {0, time.Second},
		"starts later":         {0, 2 * settleTime},
		"was cut off":          {4, time.Second},
		"was cut off for long": {4, 2 * settleTime},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			peer, _ := newLastingCopier("vm-2")
			peer.HandleListing(now, now, lasting, 5)
			peer.HandleListing(now, now, nil, in(3))
			balancer, msgr := newLastingCopier("vm-1")
			if test.before > 0 {
				balancer.HandleListing(now, now, nil, test.before)
			}
			late := now + test.after
			balancer.HandleListing(late, late, nil, in(3))
			c.Assert(balancer.MayTrust(late), qt.Equals, test.before > 0)
			var payload messenger.HeartbeatPayload
			peer.FillHeartbeat(late, &payload)
			heartbeat := &messenger.Heartbeat{From: "vm-2", HeartbeatPayload: payload}
			balancer.HandleHeartbeat(late, heartbeat)
			c.Assert(balancer.MayTrust(late), qt.Equals, test.before > 0, qt.Commentf("a new flow may be placed before the lasting record is known"))
			actions := msgr.TakeActions()
			c.Assert(actions, qt.HasLen, 1)
			msgr.FinishFetch()
			after := actions[0].(messenger.Fetch).After
			reply, ok := peer.Reply(late, after)
			c.Assert(ok, qt.IsTrue)
			c.Assert(balancer.HandleReply(late, late, after, reply).Changed, qt.DeepEquals, lasting)
			c.Assert(balancer.MayTrust(late), qt.IsTrue)
			// One that has seen both eras settles from when it learned of the return.
			c.Assert(balancer.Settling(late), qt.Equals, test.before > 0 || test.after < settleTime)
			balancer.HandleHeartbeat(late, heartbeat)
			c.Assert(msgr.TakeActions(), qt.HasLen, 0, qt.Commentf("fetched again what is known"))
			c.Assert(balancer.Settling(late+settleTime), qt.IsFalse)
			c.Assert(peer.Settling(now+settleTime), qt.IsFalse)
			c.Assert(balancer.Expire(late+settleTime), qt.HasLen, 0)
		})
	}
}

// TestLaggingPeerIsNotAsked has peers show lasting records that aren't known here.
func TestLaggingPeerIsNotAsked(t *testing.T) {
	tests := map[string]struct {
		position rattanwood.Position
		fetch    bool
	}{
		"same position":  {in(3), true},
		"later position": {in(4), true},
		"lags behind":    {in(2), false},
		"earlier era":    {9, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			balancer, msgr := newLastingCopier("vm-1")
			balancer.HandleListing(now, now, nil, in(3))
			balancer.HandleHeartbeat(now, &messenger.Heartbeat{From: "vm-2", HeartbeatPayload: messenger.HeartbeatPayload{Position: test.position, Informed: true, Kept: 7}})
			c.Assert(msgr.TakeActions(), qt.HasLen, map[bool]int{true: 1}[test.fetch])
		})
	}
}
