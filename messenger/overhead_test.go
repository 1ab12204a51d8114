package messenger_test

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/detector"
	"example.org/rattanwood/limiter"
	"example.org/rattanwood/messenger"
)

// TestOverheadIsCounted checks that the bytes added to each message count against the budget.
func TestOverheadIsCounted(t *testing.T) {
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
		qt.Assert(t, m.TakeActions(), qt.HasLen, 1)
		return m.Limiter.SentBytes(limiter.Liveness)
	}
	qt.Assert(t, sent(func() int { return 28 })-sent(nil), qt.Equals, uint64(28))
}
