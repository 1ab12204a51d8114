package node

import (
	"strconv"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"example.org/rattanwood"
	"example.org/rattanwood/limiter"
	"example.org/rattanwood/prober"
	"example.org/rattanwood/tagger"
)

// counters counts events outside of the decision logic, which has its own counters.
type counters struct {
	sourceCalls, sourceErrors, identifications atomic.Uint64
	// checks counts the connections opened to check upstreams.
	checks [prober.CauseCount]atomic.Uint64
}

// Descriptions of the metrics.
var (
	descPackets    = prometheus.NewDesc("rattanwood_packets_total", "Packets by decision.", []string{"action", "reason"}, nil)
	descAsks       = prometheus.NewDesc("rattanwood_asks_total", "Requests to other balancers for flows that are counted there, and flows for cold upstreams, by outcome.", []string{"outcome"}, nil)
	descRejected   = prometheus.NewDesc("rattanwood_rejected_total", "Bad input by reason.", []string{"reason"}, nil)
	descCalls      = prometheus.NewDesc("rattanwood_source_calls_total", "Calls of the source.", []string{"outcome"}, nil)
	descChecks     = prometheus.NewDesc("rattanwood_checks_total", "Connections opened to check upstreams, by cause.", []string{"cause"}, nil)
	descIdentify   = prometheus.NewDesc("rattanwood_identifications_total", "Upstreams asked who they are.", nil, nil)
	descControl    = prometheus.NewDesc("rattanwood_control_bytes_total", "Bytes of heartbeats and the like by class.", []string{"class", "fate"}, nil)
	descRevision   = prometheus.NewDesc("rattanwood_source_revision", "Revision of the records.", nil, nil)
	descEra        = prometheus.NewDesc("rattanwood_source_era", "Times that the source came back from an older copy.", nil, nil)
	descAge        = prometheus.NewDesc("rattanwood_source_age_seconds", "Time since the records were known to be current.", nil, nil)
	descVersion    = prometheus.NewDesc("rattanwood_document_version", "Version of the routes in force.", nil, nil)
	descInvalid    = prometheus.NewDesc("rattanwood_records_invalid", "Records of the source that can't be decoded, by kind; the newest 16 at most.", []string{"kind"}, nil)
	descAdmissions = prometheus.NewDesc("rattanwood_admissions_total", "Decisions on new flows by level of importance, 0 first.", []string{"outcome", "reason", "level"}, nil)
	descMembers    = prometheus.NewDesc("rattanwood_members", "Other balancers by state.", []string{"state"}, nil)
	descFailing    = prometheus.NewDesc("rattanwood_upstreams_failing", "Upstreams that fail the checks.", nil, nil)
	descOverdue    = prometheus.NewDesc("rattanwood_check_overdue_seconds", "Time since the last check of the upstream that has waited longest beyond the budget of checks.", nil, nil)
	descEvacuated  = prometheus.NewDesc("rattanwood_evacuated", "Data centres whose upstreams get no new flows.", []string{"centre"}, nil)
	descLogDropped = prometheus.NewDesc("rattanwood_log_lines_dropped_total", "Log lines that found no room.", nil, nil)
)

// timings holds the latency histograms.
type timings struct {
	decision, source, check prometheus.Histogram
}

func newTimings() timings {
	histogram := func(name, help string, least time.Duration) prometheus.Histogram {
		return prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: name, Help: help, Buckets: prometheus.ExponentialBuckets(least.Seconds(), 4, 8),
		})
	}
	return timings{
		decision: histogram("rattanwood_decision_seconds", "Time from a packet's arrival to its sending.", time.Microsecond),
		source:   histogram("rattanwood_source_seconds", "Time of calls of the source beyond the wait asked for.", time.Millisecond),
		check:    histogram("rattanwood_check_seconds", "Time of checks of upstreams.", 100*time.Microsecond),
	}
}

// registry returns a registry of all metrics of this balancer.
func (n *Node) registry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(&collector{node: n}, n.timings.decision, n.timings.source, n.timings.check)
	return r
}

// collector reads the counters of the decision logic whenever metrics are fetched.
type collector struct {
	node *Node
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(ch chan<- *prometheus.Desc) { prometheus.DescribeByCollect(c, ch) }

// Collect implements prometheus.Collector.
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	n := c.node
	counter := func(d *prometheus.Desc, v uint64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), labels...)
	}
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	calls, failed := n.counters.sourceCalls.Load(), n.counters.sourceErrors.Load()
	counter(descCalls, calls-min(failed, calls), "answered")
	counter(descCalls, failed, "failed")
	for cause := range prober.CauseCount {
		counter(descChecks, n.counters.checks[cause].Load(), cause.String())
	}
	counter(descIdentify, n.counters.identifications.Load())
	counter(descLogDropped, n.cfg.Log.Dropped())
	n.mu.Lock()
	defer n.mu.Unlock()
	for action, reasons := range n.tagger.Counts() {
		for reason, count := range reasons {
			counter(descPackets, count, tagger.Action(action).String(), tagger.Reason(reason).String())
		}
	}
	for o, count := range n.tagger.Admissions() {
		counter(descAdmissions, count, admissionOutcome(o.Admitted), string(o.Reason), strconv.Itoa(int(o.Level)))
	}
	for outcome, count := range n.tagger.Asks() {
		counter(descAsks, count, tagger.AskOutcome(outcome).String())
	}
	for reason, count := range n.rejected {
		counter(descRejected, count, reason)
	}
	for _, class := range limiter.Classes() {
		counter(descControl, n.messenger.Limiter.SentBytes(class), class.String(), "sent")
		counter(descControl, n.messenger.Limiter.ShedBytes(class), class.String(), "shed")
	}
	gauge(descRevision, float64(n.replica.Position().Revision()))
	gauge(descEra, float64(n.replica.Position().Era()))
	if age, ok := n.watcher.Age(n.now()); ok {
		gauge(descAge, age.Seconds())
	}
	for _, e := range n.evacuator.Evacuations() {
		gauge(descEvacuated, 1, string(e.DataCentre))
	}
	gauge(descVersion, float64(n.tagger.Version()))
	invalid := map[rattanwood.RecordKind]int{}
	for _, in := range n.invalidRecords {
		invalid[in.Kind]++
	}
	for kind, count := range invalid {
		gauge(descInvalid, float64(count), string(kind))
	}
	failing, _ := n.prober.Failing()
	gauge(descFailing, float64(len(failing)))
	gauge(descOverdue, n.prober.LongestOverdue().Seconds())
	states := map[string]int{}
	for _, m := range n.messenger.Members.Members() {
		states[m.State.String()]++
	}
	for state, count := range states {
		gauge(descMembers, float64(count), state)
	}
}
