package router_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/compiler"
	"example.org/rattanwood/marker"
	"example.org/rattanwood/router"
)

const self = "vm-0"

var address = netip.MustParseAddrPort("10.0.0.1:80")

// newRouter returns a router of one of n balancers, with a document of one service with the given
// number of upstreams, of whose flows a share is placed by load.
func newRouter(n, upstreams int, share float64) *router.Router {
	r := router.New(router.DefaultConfig(self), marker.New(3*time.Second))
	r.SetCatalog(0, catalog(1, upstreams, rattanwood.Balance{LoadPlacedShare: share, ExcessLoad: 0.1}))
	v := router.View{LeaseExpiry: time.Hour}
	for i := range n {
		vm := rattanwood.VMID(fmt.Sprintf("vm-%d", i))
		v.Live = append(v.Live, router.Node{VM: vm, Seed: router.Seed(vm)})
	}
	r.SetView(v)
	return r
}

// flowID returns distinct ids that are spread over 64 bits.
func flowID(i int) rattanwood.FlowID { return rattanwood.FlowID(uint64(i)*0x9e3779b97f4a7c15 + 1) }

// catalog returns the catalog of a document with one service whose upstreams take flows from
// version 1 on.
func catalog(version rattanwood.Version, upstreams int, balance rattanwood.Balance) *compiler.Catalog {
	s := rattanwood.Service{Name: "board", Addresses: []rattanwood.Binding{{Address: address, Since: 1}}, Balance: balance}
	for i := range upstreams {
		s.Upstreams = append(s.Upstreams, rattanwood.Upstream{Name: fmt.Sprintf("u-%d", i), Since: 1})
	}
	return compiler.Compile(&rattanwood.Document{Version: version, Services: []rattanwood.Service{s}}, nil)
}

// flowTableSizes are the numbers of flows in the table that the benchmarks run with.
var flowTableSizes = []int{10_000, 100_000, 1_000_000}

// BenchmarkKnown decides on packets of flows that this balancer owns, and reports the memory for
// each flow.
func BenchmarkKnown(b *testing.B) {
	for _, n := range flowTableSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			before := heapBytes()
			r := newRouter(1, 14, 0)
			for i := range n {
				r.Decide(0, &router.Packet{Flow: flowID(i), Address: address, Opens: true})
			}
			perFlow := float64(heapBytes()-before) / float64(n)
			p := router.Packet{Address: address}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				p.Flow = flowID(i % n)
				r.Decide(time.Second, &p)
			}
			b.ReportMetric(perFlow, "B/flow")
		})
	}
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkDerived decides by rendezvous hashing alone on packets of flows that other balancers
// own.
func BenchmarkDerived(b *testing.B) {
	for _, upstreams := range []int{4, 14, 100, 1000} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			r := newRouter(15, upstreams, 0)
			p := router.Packet{Address: address}
			b.ReportAllocs()
			for i := range b.N {
				p.Flow = flowID(i)
				r.Decide(time.Second, &p)
			}
		})
	}
}

// BenchmarkAsked decides on packets that are relayed to the owner, because every flow is placed by
// load.
func BenchmarkAsked(b *testing.B) {
	for _, balancers := range []int{15, 60, 240, 700} {
		b.Run(fmt.Sprintf("balancers=%d", balancers), func(b *testing.B) {
			r := newRouter(balancers, 14, 1)
			p := router.Packet{Address: address}
			b.ReportAllocs()
			for i := range b.N {
				p.Flow = flowID(i)
				r.Decide(time.Second, &p)
			}
		})
	}
}

// BenchmarkSweep sweeps the whole table once in steady state.
func BenchmarkSweep(b *testing.B) {
	for _, n := range flowTableSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := newRouter(15, 14, 0.25)
			for i := range n {
				r.Decide(0, &router.Packet{Flow: flowID(i), Address: address, Opens: true, Hops: router.MaxHops})
			}
			sweep := router.DefaultConfig(self).SweepPeriod
			// Sweep until every flow has been checked; maxChecksPerSecond limits the checks of one sweep.
			for range 2 + n/100_000 {
				r.Tick(5*time.Second, sweep)
			}
			b.ResetTimer()
			for range b.N {
				r.Tick(5*time.Second, sweep)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/flow")
		})
	}
}
