package executor_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/claimer"
	"example.org/rattanwood/picker"
)

// policy is a way in which balancers share the slots of upstreams.
type policy struct {
	name           string
	useSlotOwner   bool
	reportInterval time.Duration
	picker         func(*rand.Rand) rattanwood.Picker
	// ownWeight is the share of an upstream's own load in its report; zero means 1.
	ownWeight float64
}

func newRandom(r *rand.Rand) rattanwood.Picker        { return picker.Random{Random: r} }
func newLeastReported(r *rand.Rand) rattanwood.Picker { return picker.LeastReported{Random: r} }
func newTwoChoices(r *rand.Rand) rattanwood.Picker    { return picker.TwoChoices{Random: r} }
func newLeastUsed(r *rand.Rand) rattanwood.Picker     { return picker.LeastUsed{Random: r} }

// policies are those that BenchmarkRequests compares. With "emptiest" each balancer takes the upstream
// that is least used by its own count; with "keeper" the service's slot owner does so for all balancers.
var policies = []policy{
	{name: "random", picker: newRandom},
	{name: "reported", picker: newLeastReported, reportInterval: time.Second},
	{name: "reported-5s", picker: newLeastReported, reportInterval: 5 * time.Second},
	{name: "distorted", picker: newLeastReported, reportInterval: time.Second, ownWeight: 0.5},
	{name: "two-choices", picker: newTwoChoices},
	{name: "emptiest", picker: newLeastUsed},
	{name: "keeper", picker: newLeastUsed, useSlotOwner: true},
}

// upstreamCapacity is the number of requests a second that one upstream can run: two slots over the
// mean of simulation.duration, which is 0.55 * 1.45 of the workTime of 20 ms.
const upstreamCapacity = 2 / (0.020 * 0.55 * 1.45)

// BenchmarkRequests runs services of 14 and 4 upstreams under each policy, at half, full and twice the
// capacity, with and without faults.
func BenchmarkRequests(b *testing.B) {
	for _, upstreams := range []int{14, 4} {
		for _, load := range []float64{0.5, 1, 2} {
			for _, faults := range []bool{false, true} {
				for _, p := range policies {
					name := fmt.Sprintf("upstreams=%d/load=%v/faults=%v/%s", upstreams, load, faults, p.name)
					b.Run(name, func(b *testing.B) { runBenchmark(b, p, upstreams, load, faults) })
				}
			}
		}
	}
}

func runBenchmark(b *testing.B, p policy, upstreams int, load float64, faults bool) {
	sim := newSimulation(1, 15, upstreams)
	sim.useSlotOwner, sim.picker, sim.reportInterval = p.useSlotOwner, p.picker, p.reportInterval
	if p.ownWeight > 0 {
		sim.ownWeight = p.ownWeight
	}
	sim.nodes = nil
	for i := range 15 {
		sim.join(fmt.Sprintf("vm-%d", i))
	}
	sim.maxTries = 1
	sim.run(loadStart)
	sim.generateLoad(load*upstreamCapacity*float64(upstreams), loadEnd)
	if faults {
		sim.schedule(faultTime, func() { killNode(sim, 0); pauseNode(sim, 5, 2*time.Second) })
	}
	sim.run(loadEnd + limits.Timeout() + time.Second)
	got := sim.summarise()
	var sent, retried uint64
	for _, n := range sim.nodes {
		c := n.exec.Counts()
		sent += c.Sent
		retried += c.Retried
	}
	answeredInTime := 0
	for _, q := range sim.requests {
		if q.final == claimer.Answered && q.answeredAfter <= limits.Timeout() {
			answeredInTime++
		}
	}
	n := float64(got.requests)
	goodput := float64(answeredInTime) / (loadEnd - loadStart).Seconds() / (upstreamCapacity * float64(upstreams))
	mostOverMean, deviation := sim.loadSpread()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(goodput, "goodput")
	b.ReportMetric(float64(got.refused)/n, "refused")
	b.ReportMetric(float64(got.unknown)/n, "unknown")
	b.ReportMetric(float64(retried)/n, "retries")
	b.ReportMetric(float64(sim.sheds)/n, "overruns")
	b.ReportMetric(mostOverMean, "max/mean")
	b.ReportMetric(deviation, "dev/mean")
	if got.ranTwice+got.falseRefusals+got.wrongAnswers > 0 {
		b.Fatalf("%+v", got)
	}
}

// loadSpread returns the maximum and the standard deviation of the upstreams' numbers of requests, both
// divided by their mean.
func (sim *simulation) loadSpread() (mostOverMean, deviation float64) {
	sum, most, squares := 0.0, 0.0, 0.0
	for _, u := range sim.upstreams {
		sum += float64(u.served)
		most = max(most, float64(u.served))
		squares += float64(u.served) * float64(u.served)
	}
	n := float64(len(sim.upstreams))
	mean := sum / n
	return most / mean, math.Sqrt(squares/n-mean*mean) / mean
}
