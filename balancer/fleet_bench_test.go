package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/balancer"
	"example.org/rattanwood/limiter"
)

// BenchmarkChanges runs each scenario with the real routers, as sub-benchmark "design", and with the
// baselines on the same packets, and reports broken flows and relays.
func BenchmarkChanges(b *testing.B) {
	for _, s := range scenarios() {
		f := newFleet(b, 1, 15)
		f.flowsPerInterval = 10
		f.baselines = newBaselines()
		f.run(relativeToFault(s.events(f)))
		flows := len(f.flows) + len(f.endedFlows)
		broken, _ := f.countBroken(0)
		hops, packets := f.hops()
		b.Run(s.name+"/design", func(b *testing.B) {
			report(b, flows, broken, float64(hops)/float64(packets))
			b.ReportMetric(f.controlRate(), "control-B/s")
		})
		for _, bl := range f.baselines {
			b.Run(s.name+"/"+bl.name, func(b *testing.B) {
				report(b, flows, len(bl.broken), float64(bl.hops)/float64(max(bl.packets, 1)))
			})
		}
	}
}

func report(b *testing.B, flows, broken int, hops float64) {
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(flows), "flows")
	b.ReportMetric(float64(broken), "broken")
	b.ReportMetric(hops, "hops/packet")
}

// hops returns the number of relays and of packets of all flows.
func (f *fleet) hops() (hops, packets int) {
	for _, fl := range append(append([]*flow{}, f.flows...), f.endedFlows...) {
		hops += fl.hops
		packets += fl.packets
	}
	return hops, packets
}

// controlRate returns the mean bytes a second of control traffic of the balancer that sent the
// most.
func (f *fleet) controlRate() float64 {
	highest := 0.0
	for _, n := range f.nodes {
		sum := uint64(0)
		for _, c := range limiter.Classes() {
			sum += n.balancer.Limiter.SentBytes(c)
		}
		highest = max(highest, float64(sum)/n.localTime(f.now).Seconds())
	}
	return highest
}

// BenchmarkControl measures the control traffic and the CPU time of a balancer without flows, for
// fleets of several sizes.
func BenchmarkControl(b *testing.B) {
	for _, n := range []int{5, 10, 15, 30, 60} {
		b.Run(fmt.Sprintf("balancers=%d", n), func(b *testing.B) {
			f := newFleet(b, 1, n)
			f.flowsPerInterval = 0
			f.config = func(vm rattanwood.VMID) balancer.Config {
				c := balancer.DefaultConfig(vm)
				c.Limiter = limiter.Config{Rate: 1 << 20, Burst: 1 << 20}
				return c
			}
			// Join again, with the raised limits.
			f.nodes = nil
			for i := range n {
				f.join(fmt.Sprintf("vm-%d", i))
			}
			begun := time.Now()
			f.run(nil)
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(f.controlRate(), "control-B/s")
			b.ReportMetric(time.Since(begun).Seconds()/endTime.Seconds()/float64(n)*1e6, "cpu-us/s")
		})
	}
}
