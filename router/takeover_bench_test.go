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

// BenchmarkTakeover adds the 15th upstream and counts the seconds until the successors know every
// flow that the new version doesn't derive, with the part of the budget that replication may use.
func BenchmarkTakeover(b *testing.B) {
	for _, rate := range []int{4 << 10, 27 << 10} {
		for _, n := range []int{10_000, 100_000, 300_000} {
			b.Run(fmt.Sprintf("rate=%d/flows=%d", rate, n), func(b *testing.B) {
				seconds, bytes := takeover(rate, n)
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(seconds, "takeover-s")
				b.ReportMetric(float64(bytes), "bytes")
			})
		}
	}
}

// heartbeats are the control bytes a second that 15 balancers spend besides.
const heartbeats = 1400

func takeover(rate, n int) (seconds float64, bytes int) {
	r := newRouter(15, 14, 0)
	for i := range n {
		r.Decide(0, &router.Packet{Flow: id(i), Address: address, Opens: true, Hops: router.MaxHops})
	}
	now := settle(r, 10*time.Second)
	s := rattanwood.Service{Name: "board", Addresses: []rattanwood.Binding{{Address: address, Since: 1}}}
	for i := range 15 {
		s.Upstreams = append(s.Upstreams, rattanwood.Upstream{Name: fmt.Sprintf("u-%d", i), Since: rattanwood.Version(1 + i/14)})
	}
	r.SetCatalog(now, compiler.Compile(&rattanwood.Document{Version: 2, Services: []rattanwood.Service{s}}, nil))
	begun := now
	l := limiter.New(limiter.Config{Rate: rate - heartbeats, Burst: rate})
	for r.Watermark() != 2 {
		now += step
		r.Tick(now, step)
		for _, batch := range r.NextBatches(now, l.Available(now, limiter.Replication)) {
			l.Allow(now, limiter.Replication, batch.Size())
			bytes += batch.Size()
			r.AcknowledgeBatch(batch.To, batch.Seq)
		}
	}
	return (now - begun - 3*time.Second).Seconds(), bytes
}

// settle lets the router replicate without bounds.
func settle(r *router.Router, until time.Duration) time.Duration {
	now := time.Duration(0)
	for ; now < until || !r.FullyReplicated(); now += step {
		r.Tick(now, step)
		for _, batch := range r.NextBatches(now, 1<<30) {
			r.AcknowledgeBatch(batch.To, batch.Seq)
		}
	}
	return now
}

// BenchmarkBalance opens the flows of today's larger service at 15 homes, lets half of them be
// replaced, and reports how evenly the flows lie and how many of them aren't derived.
func BenchmarkBalance(b *testing.B) {
	const upstreams, perUpstream, homes = 14, 4300, 15
	for _, free := range []float64{0, 0.1, 0.25, 0.5, 1} {
		for _, excess := range []float64{0.02, 0.1} {
			b.Run(fmt.Sprintf("free=%v/excess=%v", free, excess), func(b *testing.B) {
				imbalance, exceptions := spread(free, excess, upstreams, perUpstream*upstreams, homes)
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(imbalance, "max/mean")
				b.ReportMetric(exceptions, "exceptions/flow")
			})
		}
	}
}

func spread(free, excess float64, upstreams, flows, homes int) (imbalance, exceptions float64) {
	catalog := catalog(1, upstreams, rattanwood.Balance{LoadPlacedShare: free, ExcessLoad: excess})
	var routers []*router.Router
	for range homes {
		r := router.New(router.DefaultConfig(self), marker.New(3*time.Second))
		r.SetView(router.View{LeaseExpiry: time.Hour, Live: []router.Node{{VM: self, Seed: router.Seed(self)}}})
		r.SetCatalog(0, catalog)
		routers = append(routers, r)
	}
	counts := map[rattanwood.UpstreamID]int{}
	where := make([]rattanwood.UpstreamID, 3*flows/2)
	moved := 0
	for i := range where {
		r := routers[i%homes]
		where[i] = r.Decide(0, &router.Packet{Flow: id(i), Address: address, Opens: true}).Upstream
		counts[where[i]]++
		if i >= flows {
			r.Decide(0, &router.Packet{Flow: id(i - flows), Address: address, Closes: true})
			counts[where[i-flows]]--
		}
	}
	for i := flows / 2; i < len(where); i++ {
		if d, _ := catalog.Route(address).HashedUpstream(id(i), 1); d != where[i] {
			moved++
		}
	}
	most := 0
	for _, n := range counts {
		most = max(most, n)
	}
	return float64(most*upstreams) / float64(flows), float64(moved) / float64(flows)
}
