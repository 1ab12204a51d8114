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
	"example.org/rattanwood/replicator"
	"example.org/rattanwood/watcher"
)

const now = 10 * time.Second

// newCopier returns a copier that holds the record k of revision 5 and knows the peer vm-2.
func newCopier() (*copier.Copier, *replicator.Replicator, *messenger.Messenger) {
	replica := replicator.New()
	msgr := messenger.New(messenger.Config{
		Detector: detector.Config{Self: "vm-1", DataCentre: "east", Incarnation: 1, HeartbeatInterval: time.Second, Sparse: true},
		Limiter:  limiter.Config{Rate: 27 << 10, Burst: 256 << 10},
	})
	msgr.Members.Add("vm-2", netip.MustParseAddrPort("10.0.0.2:1"), "east")
	c := copier.New(copier.Config{Replica: replica, Watcher: watcher.New(watcher.Config{Self: 1}), Messenger: msgr, SpreadInterval: time.Second})
	replica.ReplaceAll([]rattanwood.Record{{Key: "k", Value: []byte("5"), Revision: 5}}, 5)
	return c, replica, msgr
}

// TestHandleHeartbeat covers heartbeats whose changes extend the replica, leave a gap, or are old, and
// those that only confirm.
func TestHandleHeartbeat(t *testing.T) {
	record := func(revision rattanwood.Revision) []rattanwood.Record {
		return []rattanwood.Record{{Key: "n", Value: []byte("x"), Revision: revision}}
	}
	tests := map[string]struct {
		heartbeat    messenger.HeartbeatPayload
		changed      int
		wantRevision rattanwood.Revision
		confirmed    bool
		fetch        bool
	}{
		"next change":                {messenger.HeartbeatPayload{Revision: 6, Prior: 5, Records: record(6)}, 1, 6, false, false},
		"overlapping changes":        {messenger.HeartbeatPayload{Revision: 7, Prior: 3, Records: record(7)}, 1, 7, false, false},
		"gap before the changes":     {messenger.HeartbeatPayload{Revision: 8, Prior: 7, Records: record(8)}, 0, 5, false, true},
		"newer without changes":      {messenger.HeartbeatPayload{Revision: 8}, 0, 5, false, true},
		"older":                      {messenger.HeartbeatPayload{Revision: 4, Prior: 3, Records: record(4)}, 0, 5, false, false},
		"confirmation":               {messenger.HeartbeatPayload{Revision: 5, Confirmed: true, Reader: 9, ConfirmationSeq: 1, Age: time.Second}, 0, 5, true, false},
		"confirmation of an older":   {messenger.HeartbeatPayload{Revision: 4, Confirmed: true, Reader: 9, ConfirmationSeq: 1}, 0, 5, false, false},
		"confirmation with a change": {messenger.HeartbeatPayload{Revision: 6, Prior: 5, Records: record(6), Confirmed: true, Reader: 9, ConfirmationSeq: 1, Age: time.Second}, 1, 6, true, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			updater, replica, msgr := newCopier()
			update := updater.HandleHeartbeat(now, &messenger.Heartbeat{From: "vm-2", DataCentre: "east", HeartbeatPayload: test.heartbeat})
			c.Assert(update.Changed, qt.HasLen, test.changed)
			c.Assert(replica.Revision(), qt.Equals, test.wantRevision)
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
	empty := copier.New(copier.Config{Replica: replica, Watcher: watcher.New(watcher.Config{Self: 3}), Messenger: msgr})
	_, ok := empty.Reply(now, 0)
	c.Assert(ok, qt.IsFalse)
	empty.HandleHeartbeat(now, &messenger.Heartbeat{From: "vm-2", HeartbeatPayload: messenger.HeartbeatPayload{Revision: 5, Confirmed: true}})
	c.Assert(msgr.TakeActions(), qt.HasLen, 1)
	reply, ok := full.Reply(now, empty.FetchAfter())
	c.Assert(ok, qt.IsTrue)
	c.Assert(reply.Whole, qt.IsTrue)
	c.Assert(empty.HandleReply(now, now, empty.FetchAfter(), reply).Changed, qt.HasLen, 1)
	c.Assert(replica.Complete(), qt.IsTrue)
}
