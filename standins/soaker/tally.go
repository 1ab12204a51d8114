package soaker

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// tally counts requests by the second in which they ended. mu of the world guards it.
type tally struct {
	seconds []*second
}

type second struct {
	answered, failed int
	// took are the times of answered requests in microseconds.
	took *hdrhistogram.Histogram
	// events are the faults that began.
	events []string
}

// Bounds and precision of the times, which a request can't exceed by much.
const (
	tookMost   = 10 * time.Second
	tookDigits = 2
)

func (t *tally) at(since time.Duration) *second {
	for len(t.seconds) <= int(since/time.Second) {
		t.seconds = append(t.seconds, &second{took: hdrhistogram.New(1, tookMost.Microseconds(), tookDigits)})
	}
	return t.seconds[int(since/time.Second)]
}

func (t *tally) add(since time.Duration, ok bool, took time.Duration) {
	s := t.at(since)
	if !ok {
		s.failed++
		return
	}
	s.answered++
	// The time is bounded before, so that it always fits.
	_ = s.took.RecordValue(min(took, tookMost).Microseconds())
}

func (t *tally) event(since time.Duration, name string) {
	s := t.at(since)
	s.events = append(s.events, name)
}

// barMost is the width of the plot in characters.
const barMost = 30

// print writes a row for each second, with a plot of what failed, and the sums.
func (t *tally) print(w io.Writer) error {
	// Errors of the rows come back from Flush.
	out := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(out, "second\tanswered\tfailed\tp50 ms\tp99 ms\tfailed, of the worst second\tfaults")
	total := &second{took: hdrhistogram.New(1, tookMost.Microseconds(), tookDigits)}
	worst := 1
	for _, s := range t.seconds {
		worst = max(worst, s.failed)
	}
	for i, s := range t.seconds {
		bar := strings.Repeat("#", (s.failed*barMost+worst-1)/worst)
		_, _ = fmt.Fprintf(out, "%d\t%d\t%d\t%s\t%-*s\t%s\n", i, s.answered, s.failed, s.times(), barMost, bar, strings.Join(s.events, "; "))
		total.answered, total.failed = total.answered+s.answered, total.failed+s.failed
		total.took.Merge(s.took)
	}
	_, _ = fmt.Fprintf(out, "all\t%d\t%d\t%s\n", total.answered, total.failed, total.times())
	return out.Flush()
}

// times returns the median and the 99th percentile in milliseconds.
func (s *second) times() string {
	ms := func(q float64) float64 { return float64(s.took.ValueAtQuantile(q)) / 1000 }
	return fmt.Sprintf("%.1f\t%.1f", ms(50), ms(99))
}
