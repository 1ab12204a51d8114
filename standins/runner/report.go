package runner

import (
	"encoding/json"
	"fmt"
	"os"

	"example.org/rattanwood/standins/caller"
	"example.org/rattanwood/standins/upstream"
)

// lossWindow is how long after an unplanned loss a broken flow is put down to it, in milliseconds.
const lossWindow = 6_000

// agedLife is the life in milliseconds from which on a flow must survive a loss.
const agedLife = 5_000

// Report is what a demo prints; the stand-ins counted it, not the balancers.
type Report struct {
	Flows int `json:"flows"`
	// BrokenFlows flows reached two upstreams or stalled.
	BrokenFlows int `json:"broken"`
	// BrokenByPlannedChange are the broken flows that no unplanned loss explains.
	BrokenByPlannedChange int `json:"planned"`
	// BrokenEstablished are the broken flows that had lived for 5 s when the loss came.
	BrokenEstablished int `json:"aged"`
	StalledFlows      int `json:"stalled"`
	Requests          int `json:"requests"`
	Answered          int `json:"answered"`
	Refused           int `json:"refused"`
	Unknown           int `json:"unknown"`
	// WrongAnswers counts answers that were somebody else's or not whole, and strays.
	WrongAnswers int `json:"wrong"`
	// DuplicateRuns counts non-idempotent requests that ran more than once.
	DuplicateRuns int `json:"twice"`
	// FalseRefusals counts requests that ran although their Caller was told that they didn't.
	FalseRefusals int                `json:"lied"`
	Imbalance     map[string]float64 `json:"imbalance"`
	// MaxControlRate is the highest mean of control bytes a second that a balancer sent.
	MaxControlRate     float64        `json:"control"`
	PlatformCalls      int            `json:"calls"`
	UpstreamRejections int            `json:"overruns"`
	MaxRequestMillis   int64          `json:"millis"`
	Reasons            map[string]int `json:"reasons"`
	Seed               uint64         `json:"seed"`
	Events             []string       `json:"events"`
}

// DemoFailedError reports a demo whose promises did not hold.
type DemoFailedError struct {
	Report *Report
}

// Error names the counts that must be zero.
func (e *DemoFailedError) Error() string {
	r := e.Report
	return fmt.Sprintf("promises did not hold: planned=%d aged=%d wrong=%d twice=%d lied=%d", r.BrokenByPlannedChange, r.BrokenEstablished, r.WrongAnswers, r.DuplicateRuns, r.FalseRefusals)
}

func (r *Report) verdict() error {
	if r.BrokenByPlannedChange+r.BrokenEstablished+r.WrongAnswers+r.DuplicateRuns+r.FalseRefusals > 0 || r.Flows == 0 || r.Answered == 0 {
		return &DemoFailedError{Report: r}
	}
	return nil
}

// collect reads the counts of all stand-ins.
func (d *demo) collect(out string, before map[int]float64, seconds float64) (*Report, error) {
	data, err := os.ReadFile(out)
	if err != nil {
		return nil, err
	}
	var said caller.Report
	if err := json.Unmarshal(data, &said); err != nil {
		return nil, err
	}
	truths, err := d.truths()
	if err != nil {
		return nil, err
	}
	r := &Report{Flows: said.Flows, Imbalance: map[string]float64{}, Reasons: map[string]int{}, Seed: d.cfg.Seed, Events: d.events}
	d.countFlows(r, &said, truths)
	countRequests(r, &said, truths)
	for n, now := range d.control() {
		r.MaxControlRate = max(r.MaxControlRate, (now-before[n])/seconds)
	}
	if data, err := get("http://" + d.platform() + "/calls"); err == nil {
		_ = json.Unmarshal(data, &r.PlatformCalls)
	}
	return r, nil
}

func (d *demo) truths() ([]upstream.Stats, error) {
	var all []upstream.Stats
	for _, web := range d.upstreams {
		data, err := get("http://" + web.String() + "/truth")
		if err != nil {
			return nil, err
		}
		var t upstream.Stats
		if err := json.Unmarshal(data, &t); err != nil {
			return nil, err
		}
		all = append(all, t)
	}
	return all, nil
}

// countFlows finds flows that reached two upstreams, and the spread of flows.
func (d *demo) countFlows(r *Report, said *caller.Report, truths []upstream.Stats) {
	first := map[string]upstream.FlowStats{}
	begun := map[string]int64{}
	broken := map[string]int64{}
	counts := map[string][]int{}
	for _, t := range truths {
		r.WrongAnswers += t.Misrouted
		r.UpstreamRejections += t.Rejected
		counts[t.Service] = append(counts[t.Service], len(t.Flows))
		for name, f := range t.Flows {
			other, seen := first[name]
			first[name] = f
			begun[name] = f.FirstMillis
			if seen {
				begun[name] = min(f.FirstMillis, other.FirstMillis)
				broken[name] = max(f.FirstMillis, other.FirstMillis)
			}
		}
	}
	r.StalledFlows = len(said.StalledFlows)
	for _, name := range said.StalledFlows {
		broken[name] = first[name].LastMillis
	}
	r.BrokenFlows = len(broken)
	for name, at := range broken {
		d.blame(r, name, begun[name], at)
	}
	for service, list := range counts {
		r.Imbalance[service] = imbalance(list)
	}
}

// blame puts a broken flow down to a loss before it, or else to a planned change.
func (d *demo) blame(r *Report, name string, begun, at int64) {
	fmt.Fprintf(os.Stderr, "broken flow: %s begun at %d ms, broken at %d ms\n", name, begun-d.begun.UnixMilli(), at-d.begun.UnixMilli())
	for _, loss := range d.losses {
		lost := loss.UnixMilli()
		if at < lost || at > lost+lossWindow {
			continue
		}
		if lost-begun >= agedLife {
			r.BrokenEstablished++
		}
		return
	}
	r.BrokenByPlannedChange++
}

// imbalance is the maximum over the mean.
func imbalance(counts []int) float64 {
	sum, most := 0, 0
	for _, n := range counts {
		sum += n
		most = max(most, n)
	}
	if sum == 0 {
		return 0
	}
	return float64(most*len(counts)) / float64(sum)
}

// countRequests compares what Callers were told with what ran.
func countRequests(r *Report, said *caller.Report, truths []upstream.Stats) {
	runs := map[string]int{}
	for _, t := range truths {
		for id, n := range t.Runs {
			runs[id] += n
		}
	}
	r.Requests = len(said.Requests)
	for _, q := range said.Requests {
		switch q.Outcome {
		case caller.Answered:
			r.Answered++
		case caller.Refused:
			r.Refused++
			if runs[q.ID] > 0 {
				r.FalseRefusals++
			}
		default:
			r.Unknown++
		}
		if q.Outcome != caller.Answered {
			r.Reasons[q.Outcome+"_"+q.Reason]++
		}
		if q.WrongAnswer {
			r.WrongAnswers++
		}
		if !q.Idempotent && runs[q.ID] > 1 {
			r.DuplicateRuns++
		}
		r.MaxRequestMillis = max(r.MaxRequestMillis, q.Millis)
	}
}
