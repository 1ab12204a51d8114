package messenger_test

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"example.org/rattanwood"
	"example.org/rattanwood/detector"
	"example.org/rattanwood/limiter"
	"example.org/rattanwood/messenger"
	"example.org/rattanwood/wire"
)

// TestOverheadIsCounted checks that the bytes added to each message count against the budget.
func TestOverheadIsCounted(t *testing.T) {
	messages := 0
	sent := func(overhead func() int) uint64 {
		m := messenger.New(messenger.Config{
			Detector: detector.Config{
				Self: "a", Address: netip.MustParseAddrPort("192.0.2.1:1"), Incarnation: 1, HeartbeatInterval: time.Second,
				SuspectAfter: 2500 * time.Millisecond, DeadAfter: 5 * time.Second, ActivationDelay: 3 * time.Second, PauseThreshold: time.Second, Sparse: true,
			},
			Limiter:  limiter.Config{Rate: 4096, Burst: 8192},
			Position: func() rattanwood.Position { return 0 },
			Overhead: overhead,
		})
		m.Members.AddBootstrap("b", netip.MustParseAddrPort("192.0.2.2:1"))
		m.Tick(time.Second, func() messenger.HeartbeatPayload { return messenger.HeartbeatPayload{} })
		messages = len(m.TakeActions())
		return m.Limiter.SentBytes(limiter.Liveness)
	}
	more := sent(func() int { return 28 }) - sent(nil)
	qt.Assert(t, messages, qt.Equals, 2, qt.Commentf("a heartbeat and the request for a member list"))
	qt.Assert(t, more, qt.Equals, uint64(2*28))
}

// TestAnswersAreShort bounds the answers of which a balancer that counts for a busy service sends one for each flow: with
// the names of other messages they exceed its budget in a burst.
func TestAnswersAreShort(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 6)
	f.run(10 * time.Second)
	const headers, limit = 28, 56
	a, ok := f.nodes[0].messenger.Advise(f.now, f.nodes[3].name, &wire.Advice{Serial: 1 << 31, Upstream: 1 << 31, Offered: 900_000, Capacity: 300_000})
	c.Assert(ok, qt.IsTrue)
	size := headers + proto.Size(a.Message)
	c.Assert(size <= limit, qt.IsTrue, qt.Commentf("%d bytes", size))
}
