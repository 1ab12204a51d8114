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

// policy is a way to share upstreams between balancers.
type policy struct {
	name   string
	keeper bool
	stale  time.Duration
	picker func(*rand.Rand) rattanwood.Picker
	// weight is the share of an upstream's own load in its report; zero means 1.
	weight float64
}

func random(r *rand.Rand) rattanwood.Picker   { return picker.Random{Random: r} }
func reported(r *rand.Rand) rattanwood.Picker { return picker.LeastReported{Random: r} }
func two(r *rand.Rand) rattanwood.Picker      { return picker.TwoChoices{Random: r} }
func emptiest(r *rand.Rand) rattanwood.Picker { return picker.LeastUsed{Random: r} }

var policies = []policy{
	{name: "random", picker: random},
	{name: "reported", picker: reported, stale: time.Second},
	{name: "reported-5s", picker: reported, stale: 5 * time.Second},
	{name: "distorted", picker: reported, stale: time.Second, weight: 0.5},
	{name: "two-choices", picker: two},
	{name: "emptiest", picker: emptiest},
	{name: "keeper", picker: emptiest, keeper: true},
}

// capacity is what one upstream does in requests a second: two slots and the mean of duration.
const capacity = 2 / (0.020 * 0.55 * 1.45)

// BenchmarkRequests runs both services' sizes under each policy, at half, full and twice the capacity.
func BenchmarkRequests(b *testing.B) {
	for _, upstreams := range []int{14, 4} {
		for _, load := range []float64{0.5, 1, 2} {
			for _, faults := range []bool{false, true} {
				for _, p := range policies {
					name := fmt.Sprintf("upstreams=%d/load=%v/faults=%v/%s", upstreams, load, faults, p.name)
					b.Run(name, func(b *testing.B) { measure(b, p, upstreams, load, faults) })
				}
			}
		}
	}
}

func measure(b *testing.B, p policy, upstreams int, load float64, faults bool) {
	d := newDesk(1, 15, upstreams)
	d.keeper, d.picker, d.stale = p.keeper, p.picker, p.stale
	if p.weight > 0 {
		d.weight = p.weight
	}
	d.seats = nil
	for i := range 15 {
		d.join(fmt.Sprintf("vm-%d", i))
	}
	d.repeats = 1
	d.run(loadBegins)
	d.load(load*capacity*float64(upstreams), loadEnds)
	if faults {
		d.at(fault, func() { killSeat(d, 0); pauseSeat(d, 5, 2*time.Second) })
	}
	d.run(loadEnds + limits.Timeout() + time.Second)
	got := d.tally()
	var sent, retried uint64
	for _, s := range d.seats {
		c := s.exec.Counts()
		sent += c.Sent
		retried += c.Retried
	}
	intime := 0
	for _, q := range d.asks {
		if q.final == claimer.Answered && q.in <= limits.Timeout() {
			intime++
		}
	}
	n := float64(got.asked)
	goodput := float64(intime) / (loadEnds - loadBegins).Seconds() / (capacity * float64(upstreams))
	mostOverMean, deviation := d.evenness()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(goodput, "goodput")
	b.ReportMetric(float64(got.refused)/n, "refused")
	b.ReportMetric(float64(got.unknown)/n, "unknown")
	b.ReportMetric(float64(retried)/n, "retries")
	b.ReportMetric(float64(d.sheds)/n, "overruns")
	b.ReportMetric(mostOverMean, "max/mean")
	b.ReportMetric(deviation, "dev/mean")
	if got.twice+got.lied+got.wrong > 0 {
		b.Fatalf("%+v", got)
	}
}

// evenness returns the maximum and the standard deviation over the mean of the upstreams' requests.
func (d *desk) evenness() (mostOverMean, deviation float64) {
	sum, most, squares := 0.0, 0.0, 0.0
	for _, u := range d.backends {
		sum += float64(u.total)
		most = max(most, float64(u.total))
		squares += float64(u.total) * float64(u.total)
	}
	n := float64(len(d.backends))
	mean := sum / n
	return most / mean, math.Sqrt(squares/n-mean*mean) / mean
}
