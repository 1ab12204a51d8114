// Package historian reconstructs from the logs of balancers how a fleet returned after all of it had stopped:
// when each balancer ran again, when it forwarded the first packet, and what was lost by that.
package historian

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// Return is the command that prints the time line of a fleet's return.
type Return struct {
	Logs        []string      `arg:"" help:"Logs of balancers, one JSON object a line. A number before it counts the seconds of the day."`
	Back        float64       `help:"Second of the day at which the machines were back." required:""`
	Down        time.Duration `help:"How long they were away." default:"1s"`
	TimeLimit   time.Duration `help:"Time limit of a request." default:"500ms"`
	ServiceTime time.Duration `help:"Time from a packet's arrival at a balancer to its answer." default:"30ms"`
}

// event is a log line that marks a phase.
type event struct {
	VM      string `json:"vm"`
	Message string `json:"message"`
	Reason  string `json:"reason"`
	second  float64
}

// phases are the steps of a return in their order, with the log lines that mark them.
var phases = []struct {
	name  string
	marks func(e event) bool
}{
	{"sockets open", func(e event) bool { return e.Message == "started" }},
	{"upstreams known", func(e event) bool { return strings.HasPrefix(e.Message, "upstreams known") }},
	{"first established flow forwarded", func(e event) bool { return e.Message == "first packet forwarded" && e.Reason == "tagged" }},
	{"routes known", func(e event) bool { return strings.HasPrefix(e.Message, "records complete") }},
	{"first new flow placed", func(e event) bool { return e.Message == "first packet forwarded" && e.Reason == "placed" }},
}

// Run prints the table.
func (r *Return) Run() error {
	times := map[string][]float64{}
	for _, path := range r.Logs {
		file, err := os.Open(path)
		if err != nil {
			return err
		}
		err = r.scan(file, times)
		if err := cmp.Or(err, file.Close()); err != nil {
			return err
		}
	}
	return r.print(os.Stdout, times)
}

// scan adds for each balancer in a log the seconds from the machines' return to each phase, by phase.
func (r *Return) scan(in io.Reader, times map[string][]float64) error {
	seen := map[string]bool{}
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		e, ok := parse(lines.Text())
		if !ok || e.second < r.Back {
			continue
		}
		for _, p := range phases {
			if key := e.VM + "\x00" + p.name; p.marks(e) && !seen[key] {
				seen[key] = true
				times[p.name] = append(times[p.name], e.second-r.Back)
			}
		}
	}
	return lines.Err()
}

// parse decodes a log line. Lines without a second in front are skipped.
func parse(line string) (event, bool) {
	i := strings.IndexByte(line, '{')
	if i < 0 {
		return event{}, false
	}
	fields := strings.Fields(line[:i])
	if len(fields) == 0 {
		return event{}, false
	}
	second, err := strconv.ParseFloat(fields[0], 64)
	if err != nil {
		return event{}, false
	}
	var e event
	if json.Unmarshal([]byte(line[i:]), &e) != nil {
		return event{}, false
	}
	e.second = second
	return e, true
}

// copies are the times after a request's start at which Callers send its first packet, or its data on an
// established flow, again.
var copies = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// lostTime returns the length of the time in which requests begin that are lost when a balancer forwards
// again a delay after the machines' return.
func (r *Return) lostTime(delay float64) float64 {
	last := time.Duration(0)
	for _, c := range copies {
		if c+r.ServiceTime <= r.TimeLimit {
			last = c
		}
	}
	return max(r.Down.Seconds()+delay-last.Seconds(), 0)
}

func (r *Return) print(out io.Writer, times map[string][]float64) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "phase\tbalancers\tfirst s\tmedian s\tworst tenth s\tlast s\tlost, of the floor")
	floor := r.lostTime(0)
	for _, p := range phases {
		v := times[p.name]
		if len(v) == 0 {
			continue
		}
		slices.Sort(v)
		lost := 0.0
		for _, delay := range v {
			lost += r.lostTime(delay) / float64(len(v))
		}
		_, _ = fmt.Fprintf(table, "%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.2f\n", p.name, len(v), v[0], v[len(v)/2], v[len(v)*9/10], v[len(v)-1], lost/floor)
	}
	_, _ = fmt.Fprintf(table, "floor: requests of %.2f s are lost by a balancer that starts in no time\n", floor)
	return table.Flush()
}
