package runner

import (
	"encoding/json"
	"fmt"
	"os"

	"example.org/rattanwood/standins/caller"
	"example.org/rattanwood/standins/upstream"
)

// failureWindowMillis is the time after an unplanned balancer failure in which a broken flow is
// attributed to that failure.
const failureWindowMillis = 6_000

// establishedAgeMillis is the age from which a flow must survive an unplanned balancer failure.
const establishedAgeMillis = 5_000

// Report is the result of a demo run. All counts come from the stand-ins and none from the
// balancers, except the control bytes.
type Report struct {
	Flows int `json:"flows"`
	// BrokenFlows counts the flows that reached two upstreams or stalled although they are guaranteed: those of
	// BrokenByPlannedChange and BrokenEstablished.
	BrokenFlows int `json:"broken"`
	// BrokenByPlannedChange counts the broken flows that no unplanned balancer failure explains.
	BrokenByPlannedChange int `json:"planned"`
	// BrokenEstablished counts the broken flows that were at least 5 s old when a balancer failed.
	BrokenEstablished int `json:"aged"`
	// LostYoungFlows counts the flows that were less than 5 s old when their balancer failed and ended by that, which
	// is allowed.
	LostYoungFlows int `json:"young"`
	// StalledFlows counts the flows that the Caller gave up because a packet got no answer.
	StalledFlows int `json:"stalled"`
	Requests     int `json:"requests"`
	Answered     int `json:"answered"`
	Refused      int `json:"refused"`
	// Unknown counts the requests of which the Caller doesn't know whether they ran.
	Unknown int `json:"unknown"`
	// WrongAnswers counts the answers that were incomplete or belonged to another request, and the
	// packets and requests that reached an upstream of another service.
	WrongAnswers int `json:"wrong"`
	// DuplicateRuns counts the non-idempotent requests that ran more than once.
	DuplicateRuns int `json:"twice"`
	// FalseRefusals counts the requests that ran although their Caller was told that they didn't.
	FalseRefusals int `json:"lied"`
	// Imbalance is the ratio of the highest to the mean number of flows per upstream, by service.
	Imbalance map[string]float64 `json:"imbalance"`
	// MaxControlRate is the highest mean rate at which a balancer sent control traffic during the
	// load, in bytes a second. Balancers that don't answer after the load are left out.
	MaxControlRate float64 `json:"control"`
	// PlatformCalls counts the reads of the document and the VM list.
	PlatformCalls int `json:"calls"`
	// UpstreamRejections counts the requests that an upstream rejected because it had no free slot or
	// was draining.
	UpstreamRejections int `json:"overruns"`
	// MaxRequestMillis is the longest time that a Caller waited for the final outcome of a request.
	MaxRequestMillis int64 `json:"millis"`
	// Reasons counts the requests that were not answered, by outcome and reason ("refused_queue").
	Reasons map[string]int `json:"reasons"`
	Seed    uint64         `json:"seed"`
	// Events lists the planned changes and failures that were injected, in order.
	Events []string `json:"events"`
}

// DemoFailedError reports a demo run in which a guarantee was violated, or in which no flow was
// opened or no request answered.
type DemoFailedError struct {
	Report *Report
}

// Error lists the counts that must be zero.
func (e *DemoFailedError) Error() string {
	r := e.Report
	return fmt.Sprintf("demo failed: planned=%d aged=%d wrong=%d twice=%d lied=%d", r.BrokenByPlannedChange, r.BrokenEstablished, r.WrongAnswers, r.DuplicateRuns, r.FalseRefusals)
}

// check returns an error if a guarantee was violated, or if no flow was opened or no request answered,
// so that the run proves nothing.
func (r *Report) check() error {
	if r.BrokenByPlannedChange+r.BrokenEstablished+r.WrongAnswers+r.DuplicateRuns+r.FalseRefusals > 0 || r.Flows == 0 || r.Answered == 0 {
		return &DemoFailedError{Report: r}
	}
	return nil
}

// collect builds the report from the counts of all stand-ins. before holds the control bytes of
// each balancer when the load began, and seconds is how long the load lasted.
func (d *demo) collect(reportFile string, before map[int]float64, seconds float64) (*Report, error) {
	data, err := os.ReadFile(reportFile)
	if err != nil {
		return nil, err
	}
	var callerReport caller.Report
	if err := json.Unmarshal(data, &callerReport); err != nil {
		return nil, err
	}
	stats, err := d.upstreamStats()
	if err != nil {
		return nil, err
	}
	r := &Report{Flows: callerReport.Flows, Imbalance: map[string]float64{}, Reasons: map[string]int{}, Seed: d.cfg.Seed, Events: d.events}
	d.countFlows(r, &callerReport, stats)
	countRequests(r, &callerReport, stats)
	for n, now := range d.controlBytes() {
		r.MaxControlRate = max(r.MaxControlRate, (now-before[n])/seconds)
	}
	if data, err := get("http://" + d.platformAddress() + "/calls"); err == nil {
		_ = json.Unmarshal(data, &r.PlatformCalls)
	}
	return r, nil
}

// upstreamStats fetches the counts of all upstreams.
func (d *demo) upstreamStats() ([]upstream.Stats, error) {
	var stats []upstream.Stats
	for _, web := range d.upstreams {
		data, err := get("http://" + web.String() + "/truth")
		if err != nil {
			return nil, err
		}
		var s upstream.Stats
		if err := json.Unmarshal(data, &s); err != nil {
			return nil, err
		}
		stats = append(stats, s)
	}
	return stats, nil
}

// countFlows counts the broken flows, the misrouted packets and the imbalance of flows. A flow that
// reached two upstreams broke when its first packet reached the second one; a stalled flow broke
// at its last packet.
func (d *demo) countFlows(r *Report, callerReport *caller.Report, stats []upstream.Stats) {
	seenFlows := map[string]upstream.FlowStats{}
	startedAt := map[string]int64{}
	brokenAt := map[string]int64{}
	flowCounts := map[string][]int{}
	for _, s := range stats {
		r.WrongAnswers += s.Misrouted
		r.UpstreamRejections += s.Rejected
		flowCounts[s.Service] = append(flowCounts[s.Service], len(s.Flows))
		for name, f := range s.Flows {
			other, seen := seenFlows[name]
			seenFlows[name] = f
			startedAt[name] = f.FirstMillis
			if seen {
				startedAt[name] = min(f.FirstMillis, other.FirstMillis)
				brokenAt[name] = max(f.FirstMillis, other.FirstMillis)
			}
		}
	}
	r.StalledFlows = len(callerReport.StalledFlows)
	for _, name := range callerReport.StalledFlows {
		brokenAt[name] = seenFlows[name].LastMillis
	}
	for name, at := range brokenAt {
		count, cause := d.explainEndedFlow(r, startedAt[name], at)
		*count++
		fmt.Fprintf(os.Stderr, "flow %s: %s, started at %d ms, ended at %d ms\n", name, cause, startedAt[name]-d.loadStart.UnixMilli(), at-d.loadStart.UnixMilli())
	}
	r.BrokenFlows = r.BrokenByPlannedChange + r.BrokenEstablished
	for service, counts := range flowCounts {
		r.Imbalance[service] = imbalance(counts)
	}
}

// explainEndedFlow attributes a flow that broke to an unplanned failure shortly before, or else to a planned change,
// and returns the count in the report that it belongs to. A flow that was younger than establishedAgeMillis at the
// failure may be lost. Times are in Unix milliseconds.
func (d *demo) explainEndedFlow(r *Report, startedAt, brokenAt int64) (count *int, cause string) {
	for _, failure := range d.failureTimes {
		failedAt := failure.UnixMilli()
		switch {
		case brokenAt < failedAt || brokenAt > failedAt+failureWindowMillis:
			continue
		case failedAt-startedAt >= establishedAgeMillis:
			return &r.BrokenEstablished, "broken by a failure, although it was established"
		}
		return &r.LostYoungFlows, "lost with its balancer, as flows under 5 s may be"
	}
	return &r.BrokenByPlannedChange, "broken by a planned change"
}

// imbalance returns the ratio of the maximum to the mean, or 0 if all counts are 0.
func imbalance(counts []int) float64 {
	sum, highest := 0, 0
	for _, n := range counts {
		sum += n
		highest = max(highest, n)
	}
	if sum == 0 {
		return 0
	}
	return float64(highest*len(counts)) / float64(sum)
}

// countRequests compares the outcomes that Callers were told with what the upstreams ran.
func countRequests(r *Report, callerReport *caller.Report, stats []upstream.Stats) {
	runs := map[string]int{}
	for _, s := range stats {
		for id, n := range s.Runs {
			runs[id] += n
		}
	}
	r.Requests = len(callerReport.Requests)
	for _, result := range callerReport.Requests {
		switch result.Outcome {
		case caller.Answered:
			r.Answered++
		case caller.Refused:
			r.Refused++
			if runs[result.ID] > 0 {
				r.FalseRefusals++
			}
		default:
			r.Unknown++
		}
		if result.Outcome != caller.Answered {
			r.Reasons[result.Outcome+"_"+result.Reason]++
		}
		if result.WrongAnswer {
			r.WrongAnswers++
		}
		if !result.Idempotent && runs[result.ID] > 1 {
			r.DuplicateRuns++
		}
		r.MaxRequestMillis = max(r.MaxRequestMillis, result.Millis)
	}
}
