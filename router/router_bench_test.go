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

// newRouter returns a router among n balancers, before a service with some upstreams.
func newRouter(n, upstreams int, free float64) *router.Router {
	r := router.New(router.DefaultConfig(self), marker.New(3*time.Second))
	r.SetCatalog(0, catalog(1, upstreams, rattanwood.Balance{LoadPlacedShare: free, ExcessLoad: 0.1}))
	v := router.View{LeaseExpiry: time.Hour}
	for i := range n {
		vm := rattanwood.VMID(fmt.Sprintf("vm-%d", i))
		v.Live = append(v.Live, router.Node{VM: vm, Seed: router.Seed(vm)})
	}
	r.SetView(v)
	return r
}

func id(i int) rattanwood.FlowID { return rattanwood.FlowID(uint64(i)*0x9e3779b97f4a7c15 + 1) }

// catalog returns a document with one service whose upstreams are there since version 1.
func catalog(version rattanwood.Version, upstreams int, balance rattanwood.Balance) *compiler.Catalog {
	s := rattanwood.Service{Name: "board", Addresses: []rattanwood.Binding{{Address: address, Since: 1}}, Balance: balance}
	for i := range upstreams {
		s.Upstreams = append(s.Upstreams, rattanwood.Upstream{Name: fmt.Sprintf("u-%d", i), Since: 1})
	}
	return compiler.Compile(&rattanwood.Document{Version: version, Services: []rattanwood.Service{s}}, nil)
}

// sizes are the numbers of flows held.
var sizes = []int{10_000, 100_000, 1_000_000}

// BenchmarkKnown decides on packets of flows that this home holds, and reports the bytes a flow.
func BenchmarkKnown(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			before := heap()
			r := newRouter(1, 14, 0)
			for i := range n {
				r.Decide(0, &router.Packet{Flow: id(i), Address: address, Opens: true})
			}
			held := float64(heap()-before) / float64(n)
			p := router.Packet{Address: address}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				p.Flow = id(i % n)
				r.Decide(time.Second, &p)
			}
			b.ReportMetric(held, "B/flow")
		})
	}
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkDerived decides on packets that another home's flows have, from the document alone.
func BenchmarkDerived(b *testing.B) {
	for _, upstreams := range []int{4, 14, 100, 1000} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			r := newRouter(15, upstreams, 0)
			p := router.Packet{Address: address}
			b.ReportAllocs()
			for i := range b.N {
				p.Flow = id(i)
				r.Decide(time.Second, &p)
			}
		})
	}
}

// BenchmarkAsked decides on packets that go to their home because they may be anywhere.
func BenchmarkAsked(b *testing.B) {
	for _, balancers := range []int{15, 60, 240, 700} {
		b.Run(fmt.Sprintf("balancers=%d", balancers), func(b *testing.B) {
			r := newRouter(balancers, 14, 1)
			p := router.Packet{Address: address}
			b.ReportAllocs()
			for i := range b.N {
				p.Flow = id(i)
				r.Decide(time.Second, &p)
			}
		})
	}
}

// BenchmarkSweep looks through the whole table once, at steady state.
func BenchmarkSweep(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := newRouter(15, 14, 0.25)
			for i := range n {
				r.Decide(0, &router.Packet{Flow: id(i), Address: address, Opens: true, Hops: router.MaxHops})
			}
			sweep := router.DefaultConfig(self).SweepPeriod
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
