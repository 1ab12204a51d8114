package server

import (
	"github.com/prometheus/client_golang/prometheus"

	"example.org/rattanwood/limiter"
	"example.org/rattanwood/router"
)

// metrics holds the counters of the server. Its Collect method adds values read from the decision logic.
type metrics struct {
	server   *Server
	registry *prometheus.Registry
	// rejected counts invalid input by reason.
	rejected *prometheus.CounterVec
	// requests counts the requests of Callers by outcome and reason.
	requests *prometheus.CounterVec
	// platformCalls counts the calls to the platform.
	platformCalls prometheus.Counter
	// slotBytes counts the bytes of datagrams that request, lease or return a slot.
	slotBytes prometheus.Counter
}

// Metrics that Collect reads from the decision logic.
var (
	descControl = prometheus.NewDesc("rattanwood_control_bytes_total", "Bytes of control traffic by class.", []string{"class", "fate"}, nil)
	descFlows   = prometheus.NewDesc("rattanwood_flows", "Flows held.", nil, nil)
	descPackets = prometheus.NewDesc("rattanwood_packets_total", "Packets by decision.", []string{"decision"}, nil)
	descDropped = prometheus.NewDesc("rattanwood_packets_dropped_total", "Packets dropped by reason.", []string{"reason"}, nil)
	descVersion = prometheus.NewDesc("rattanwood_document_version", "Version in force for new flows.", nil, nil)
	descMembers = prometheus.NewDesc("rattanwood_members", "Other balancers by state.", []string{"state"}, nil)
	descQueue   = prometheus.NewDesc("rattanwood_requests_waiting", "Requests in the queues.", nil, nil)
	descRedials = prometheus.NewDesc("rattanwood_redials_total", "Connections to balancers that were given up.", nil, nil)
)

func newMetrics(s *Server) *metrics {
	m := &metrics{
		server:        s,
		registry:      prometheus.NewRegistry(),
		rejected:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "rattanwood_rejected_total", Help: "Bad input by reason."}, []string{"reason"}),
		requests:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "rattanwood_requests_total", Help: "Requests by outcome."}, []string{"outcome", "reason"}),
		platformCalls: prometheus.NewCounter(prometheus.CounterOpts{Name: "rattanwood_platform_calls_total", Help: "Calls of the platform."}),
	}
	m.slotBytes = prometheus.NewCounter(prometheus.CounterOpts{Name: "rattanwood_slot_bytes_total", Help: "Bytes sent to lend and return slots."})
	m.registry.MustRegister(m.rejected, m.requests, m.platformCalls, m.slotBytes, m)
	return m
}

// Describe implements prometheus.Collector.
func (m *metrics) Describe(ch chan<- *prometheus.Desc) { prometheus.DescribeByCollect(m, ch) }

// Collect implements prometheus.Collector.
func (m *metrics) Collect(ch chan<- prometheus.Metric) {
	s := m.server
	s.mu.Lock()
	defer s.mu.Unlock()
	counter := func(d *prometheus.Desc, v uint64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), labels...)
	}
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	for _, c := range limiter.Classes() {
		counter(descControl, s.core.Limiter.SentBytes(c), c.String(), "sent")
		counter(descControl, s.core.Limiter.ShedBytes(c), c.String(), "shed")
	}
	counts := s.core.Router.Counts()
	for name, n := range packetCounts(counts) {
		counter(descPackets, n, name)
	}
	for reason := router.ReasonUnbound; reason < router.NumDropReasons; reason++ {
		counter(descDropped, counts.Dropped[reason], reason.String())
	}
	gauge(descFlows, float64(s.core.Router.FlowCount()))
	if c := s.core.Router.ActiveCatalog(); c != nil {
		gauge(descVersion, float64(c.Version))
	}
	for state, n := range s.memberCounts() {
		gauge(descMembers, float64(n), state)
	}
	gauge(descQueue, float64(s.slots.Waiting()))
	counter(descRedials, s.peers.Redials())
}

func packetCounts(c router.Counts) map[string]uint64 {
	out := map[string]uint64{
		"known":    c.Known,
		"derived":  c.Hashed,
		"placed":   c.Placed,
		"diverted": c.Diverted,
		"guessed":  c.Guessed,
	}
	for kind, n := range c.Relayed {
		out["relayed_"+router.PacketKind(kind).String()] = n
	}
	return out
}

func (s *Server) memberCounts() map[string]int {
	out := map[string]int{}
	for _, m := range s.core.Members.Members() {
		out[m.State.String()]++
	}
	return out
}
