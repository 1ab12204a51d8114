package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/balancer"
	"example.org/rattanwood/limiter"
)

// BenchmarkChanges brings about each change under the design and the baselines, on the same packets.
func BenchmarkChanges(b *testing.B) {
	for _, s := range scenarios() {
		f := newFleet(b, 1, 15)
		f.rate = 10
		f.shadows = newShadows()
		f.run(after(s.at(f)))
		flows := len(f.flows) + len(f.done)
		broken, _ := f.broken(0)
		hops, packets := f.hops()
		b.Run(s.name+"/design", func(b *testing.B) {
			report(b, flows, broken, float64(hops)/float64(packets))
			b.ReportMetric(f.controlRate(), "control-B/s")
		})
		for _, sh := range f.shadows {
			b.Run(s.name+"/"+sh.name, func(b *testing.B) {
				report(b, flows, len(sh.broken), float64(sh.hops)/float64(max(sh.packets, 1)))
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

// hops returns the relays of all packets.
func (f *fleet) hops() (hops, packets int) {
	for _, fl := range append(append([]*flow{}, f.flows...), f.done...) {
		hops += fl.hops
		packets += fl.packets
	}
	return hops, packets
}

// controlRate returns the highest mean of bytes a second that a balancer sent to others.
func (f *fleet) controlRate() float64 {
	most := 0.0
	for _, n := range f.nodes {
		sum := uint64(0)
		for _, c := range limiter.Classes() {
			sum += n.core.Limiter.SentBytes(c)
		}
		most = max(most, float64(sum)/n.time(f.now).Seconds())
	}
	return most
}

// BenchmarkControl measures the control bytes of balancers of which only the number differs.
func BenchmarkControl(b *testing.B) {
	for _, n := range []int{5, 10, 15, 30, 60} {
		b.Run(fmt.Sprintf("balancers=%d", n), func(b *testing.B) {
			f := newFleet(b, 1, n)
			f.rate = 0
			f.config = func(vm rattanwood.VMID) balancer.Config {
				c := balancer.DefaultConfig(vm)
				c.Limiter = limiter.Config{Rate: 1 << 20, Burst: 1 << 20}
				return c
			}
			f.nodes = nil
			for i := range n {
				f.join(fmt.Sprintf("vm-%d", i))
			}
			begun := time.Now()
			f.run(nil)
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(f.controlRate(), "control-B/s")
			b.ReportMetric(time.Since(begun).Seconds()/end.Seconds()/float64(n)*1e6, "cpu-us/s")
		})
	}
}
