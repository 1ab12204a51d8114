package router_test

import (
	"fmt"
	"testing"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/compiler"
	"example.org/rattanwood/limiter"
	"example.org/rattanwood/marker"
	"example.org/rattanwood/router"
)

const step = 50 * time.Millisecond

// BenchmarkTakeover adds a 15th upstream and reports how many seconds it takes to replicate all flows
// that are thereby off their hashed upstream. Until then a successor that takes over flows goes by
// the old version. Replication may use the control budget less the heartbeats' part.
func BenchmarkTakeover(b *testing.B) {
	for _, rate := range []int{4 << 10, 27 << 10} {
		for _, n := range []int{10_000, 100_000, 300_000} {
			b.Run(fmt.Sprintf("rate=%d/flows=%d", rate, n), func(b *testing.B) {
				seconds, bytes := measureCatchUp(rate, n)
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(seconds, "takeover-s")
				b.ReportMetric(float64(bytes), "bytes")
			})
		}
	}
}

// heartbeatRate is the part of a balancer's control budget that heartbeats take among 15 balancers,
// in bytes a second.
const heartbeatRate = 1400

// measureCatchUp returns how many seconds after its activation the overrides of a new version are all
// replicated, for a table of n flows and a control budget of rate bytes a second, and the bytes sent.
func measureCatchUp(rate, n int) (seconds float64, bytes int) {
	r := newRouter(15, 14, 0)
	for i := range n {
		r.Decide(0, &router.Packet{Flow: flowID(i), Address: address, Opens: true, Hops: router.MaxHops})
	}
	now := replicateFully(r, 10*time.Second)
	s := rattanwood.Service{Name: "board", Addresses: []rattanwood.Binding{{Address: address, Since: 1}}}
	for i := range 15 {
		s.Upstreams = append(s.Upstreams, rattanwood.Upstream{Name: fmt.Sprintf("u-%d", i), Since: rattanwood.Version(1 + i/14)})
	}
	r.SetCatalog(now, compiler.Compile(&rattanwood.Document{Version: 2, Services: []rattanwood.Service{s}}, nil))
	begun := now
	l := limiter.New(limiter.Config{Rate: rate - heartbeatRate, Burst: rate})
	for r.Watermark() != 2 {
		now += step
		r.Tick(now, step)
		for _, batch := range r.NextBatches(now, l.Available(now, limiter.Replication)) {
			l.Allow(now, limiter.Replication, batch.Size())
			bytes += batch.Size()
			r.AcknowledgeBatch(batch.To, batch.Seq)
		}
	}
	// The 3 s are the activation delay, during which the new version isn't used.
	return (now - begun - 3*time.Second).Seconds(), bytes
}

// replicateFully runs the router without a limit on replication until all overrides are replicated,
// at least until the given time.
func replicateFully(r *router.Router, until time.Duration) time.Duration {
	now := time.Duration(0)
	for ; now < until || !r.FullyReplicated(); now += step {
		r.Tick(now, step)
		for _, batch := range r.NextBatches(now, 1<<30) {
			r.AcknowledgeBatch(batch.To, batch.Seq)
		}
	}
	return now
}

// BenchmarkBalance opens the flows of a service of 14 upstreams with 4,300 flows each at 15 owners,
// replaces half of them, and reports the imbalance between upstreams and the share of overrides.
func BenchmarkBalance(b *testing.B) {
	const upstreams, perUpstream, owners = 14, 4300, 15
	for _, share := range []float64{0, 0.1, 0.25, 0.5, 1} {
		for _, excess := range []float64{0.02, 0.1} {
			b.Run(fmt.Sprintf("free=%v/excess=%v", share, excess), func(b *testing.B) {
				imbalance, overrides := measureSpread(share, excess, upstreams, perUpstream*upstreams, owners)
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(imbalance, "max/mean")
				b.ReportMetric(overrides, "exceptions/flow")
			})
		}
	}
}

// measureSpread opens one and a half times the given number of flows at the owners in turn, and
// closes the oldest, so that the given number stays open. It returns the most loaded upstream's flows
// over the mean, and the overrides for each open flow.
func measureSpread(share, excess float64, upstreams, flows, owners int) (imbalance, overrides float64) {
	catalog := catalog(1, upstreams, rattanwood.Balance{LoadPlacedShare: share, ExcessLoad: excess})
	var routers []*router.Router
	for range owners {
		r := router.New(router.DefaultConfig(self), marker.New(3*time.Second))
		r.SetView(router.View{LeaseExpiry: time.Hour, Live: []router.Node{{VM: self, Seed: router.Seed(self)}}})
		r.SetCatalog(0, catalog)
		routers = append(routers, r)
	}
	counts := map[rattanwood.UpstreamID]int{}
	upstreamOf := make([]rattanwood.UpstreamID, 3*flows/2)
	overrideCount := 0
	for i := range upstreamOf {
		r := routers[i%owners]
		upstreamOf[i] = r.Decide(0, &router.Packet{Flow: flowID(i), Address: address, Opens: true}).Upstream
		counts[upstreamOf[i]]++
		if i >= flows {
			r.Decide(0, &router.Packet{Flow: flowID(i - flows), Address: address, Closes: true})
			counts[upstreamOf[i-flows]]--
		}
	}
	for i := flows / 2; i < len(upstreamOf); i++ {
		if hashed, _ := catalog.Route(address).HashedUpstream(flowID(i), 1); hashed != upstreamOf[i] {
			overrideCount++
		}
	}
	highest := 0
	for _, n := range counts {
		highest = max(highest, n)
	}
	return float64(highest*upstreams) / float64(flows), float64(overrideCount) / float64(flows)
}
