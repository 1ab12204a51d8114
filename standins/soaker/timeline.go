package soaker

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// timeline counts requests by the second in which they ended. monitor.mu guards it.
type timeline struct {
	seconds []*secondStats
}

// secondStats holds the requests that ended in one second and the events that started in it.
type secondStats struct {
	answered, failed int
	// latencies holds the latencies of answered requests in microseconds.
	latencies *hdrhistogram.Histogram
	events    []string
}

// Upper bound of the latencies, well above the timeout of requests, and their precision in significant
// digits.
const (
	maxLatency    = 10 * time.Second
	latencyDigits = 2
)

// secondAt returns the second that contains elapsed, a time since monitor.startedAt. It adds the seconds
// up to then that are missing.
func (t *timeline) secondAt(elapsed time.Duration) *secondStats {
	for len(t.seconds) <= int(elapsed/time.Second) {
		t.seconds = append(t.seconds, &secondStats{latencies: hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)})
	}
	return t.seconds[int(elapsed/time.Second)]
}

func (t *timeline) addRequest(elapsed time.Duration, answered bool, latency time.Duration) {
	s := t.secondAt(elapsed)
	if !answered {
		s.failed++
		return
	}
	s.answered++
	// RecordValue can't fail, since the value is at most maxLatency.
	_ = s.latencies.RecordValue(min(latency, maxLatency).Microseconds())
}

func (t *timeline) addEvent(elapsed time.Duration, name string) {
	s := t.secondAt(elapsed)
	s.events = append(s.events, name)
}

// barWidth is the width of the bar for failed requests in characters.
const barWidth = 30

// print writes a row for each second, with a bar for the failed requests, and a row of sums.
func (t *timeline) print(w io.Writer) error {
	// Flush returns the errors of the writes before it.
	out := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(out, "second\tanswered\tfailed\tp50 ms\tp99 ms\tfailed, of the worst second\tfaults")
	total := &secondStats{latencies: hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)}
	maxFailed := 1
	for _, s := range t.seconds {
		maxFailed = max(maxFailed, s.failed)
	}
	for i, s := range t.seconds {
		bar := strings.Repeat("#", (s.failed*barWidth+maxFailed-1)/maxFailed)
		_, _ = fmt.Fprintf(out, "%d\t%d\t%d\t%s\t%-*s\t%s\n", i, s.answered, s.failed, s.latencyColumns(), barWidth, bar, strings.Join(s.events, "; "))
		total.answered, total.failed = total.answered+s.answered, total.failed+s.failed
		total.latencies.Merge(s.latencies)
	}
	_, _ = fmt.Fprintf(out, "all\t%d\t%d\t%s\n", total.answered, total.failed, total.latencyColumns())
	return out.Flush()
}

// latencyColumns returns the median and the 99th percentile in milliseconds, separated by a tab.
func (s *secondStats) latencyColumns() string {
	ms := func(q float64) float64 { return float64(s.latencies.ValueAtQuantile(q)) / 1000 }
	return fmt.Sprintf("%.1f\t%.1f", ms(50), ms(99))
}
