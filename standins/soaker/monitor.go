package soaker

import (
	"fmt"
	"net/netip"
	"sync"
	"time"

	"example.org/rattanwood"
)

// Ports of the balancers. All use the same ports, each on its own IP address.
const (
	peerPort   = 7720
	tunnelPort = 8172
	webPort    = "8167"
)

// Addresses that Callers open flows to, named after the service that each leads to at first.
const (
	addressSwap = "198.18.0.1:443"
	addressMaps = "198.18.0.2:443"
)

const (
	// applyDeadline is the time within which balancers must apply a change of routes or draining, as
	// times.apply in their settings. A draining upstream stops after twice this time.
	applyDeadline = 3 * time.Second
	// recoveryGrace is the time after a fault during which guarantees with a time bound are not checked.
	recoveryGrace = 4 * time.Second
)

// monitor holds what the parts of a run share, records what they observe, and checks the guarantees of
// affinity by tag.
type monitor struct {
	cfg    Config
	store  *store
	router *router

	mu sync.Mutex
	// upstreams are all upstreams of the run, stopped ones included.
	upstreams []*upstream
	// faultEnds holds the time at which the last fault of a balancer, an upstream or the store ends or
	// ended, by the part's name.
	faultEnds map[string]time.Time
	// rewoundAt is when the last rewind of the store began.
	rewoundAt  time.Time
	evacuation evacuation
	// routeHistory holds every route that each address has had, oldest first.
	routeHistory map[string][]routeChange
	openings     map[flowEnds]*flowOpening
	// runCounts holds how often upstreams executed each request.
	runCounts  map[string]int
	violations []string
	events     []string
	// answered and failed count requests. A flow that couldn't be opened counts as a failed request.
	answered int
	failed   int
	// verifying is set once recoveryTime has passed since the last fault. While it is set, requests are
	// also counted in answeredAfterRecovery and failedAfterRecovery.
	verifying             bool
	answeredAfterRecovery int
	failedAfterRecovery   int
	startedAt             time.Time
	// timeline counts requests by the second since startedAt.
	timeline timeline
}

// flowOpening records when a Caller opened a flow, and the balancers that the first packet and its
// retransmissions were sent to, by their names in faultEnds.
type flowOpening struct {
	openedAt time.Time
	// sentAt is when the first packet was last sent.
	sentAt    time.Time
	balancers []string
}

// routeChange records the service that an address was routed to, empty for none, and since when.
type routeChange struct {
	service   rattanwood.ServiceID
	changedAt time.Time
}

// logEvent records the start of an event for the timeline and for the report of a violation.
func (m *monitor) logEvent(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	elapsed := time.Since(m.startedAt)
	m.events = append(m.events, fmt.Sprintf("%.2f s: %s", elapsed.Seconds(), name))
	m.timeline.addEvent(elapsed, name)
}

// recordViolation records that a guarantee was violated.
func (m *monitor) recordViolation(what string, detail any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordViolationLocked(what, detail)
}

// recordViolationLocked is recordViolation with mu held. It keeps the first 20 violations.
func (m *monitor) recordViolationLocked(what string, detail any) {
	if len(m.violations) < 20 {
		m.violations = append(m.violations, fmt.Sprintf("%.2f s: %s: %v", time.Since(m.startedAt).Seconds(), what, detail))
	}
}

// recordFault records that a balancer, an upstream or the store has a fault until d from now.
func (m *monitor) recordFault(name string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if until := time.Now().Add(d); until.After(m.faultEnds[name]) {
		m.faultEnds[name] = until
	}
}

// recordRewind records that the store comes back from an older copy, whose lost records are written again
// by d from now. What balancers knew before excuses nothing but what starts later; see checkFirstPacket.
func (m *monitor) recordRewind(d time.Duration) {
	m.recordFault("rewind", d)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rewoundAt = time.Now()
}

// noRecentFault reports whether all faults of the named parts ended at least recoveryGrace before at.
func (m *monitor) noRecentFault(at time.Time, names ...string) bool {
	for _, name := range names {
		if until, ok := m.faultEnds[name]; ok && at.Before(until.Add(recoveryGrace)) {
			return false
		}
	}
	return true
}

// recordOpening records that a Caller opens a flow.
func (m *monitor) recordOpening(key flowEnds, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.openings[key] = &flowOpening{openedAt: at}
}

// recordFirstPacket records which balancer a flow's first packet, or a retransmission of it, is sent to.
func (m *monitor) recordFirstPacket(key flowEnds, ip string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if opening := m.openings[key]; opening != nil {
		opening.sentAt = time.Now()
		opening.balancers = append(opening.balancers, balancerFaultPrefix+ip)
	}
}

// lastSent returns when a flow's first packet was last sent.
func (m *monitor) lastSent(key flowEnds) (at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if opening := m.openings[key]; opening != nil {
		at = opening.sentAt
	}
	return at
}

// Settings of cold upstreams: the number of new flows a second that they bear, and what balancers may add.
const (
	warmupRate    = 1.0
	warmupOverage = 1.0
	warmupSlack   = 3.0
)

// checkColdUpstream checks the first packets that a cold upstream got: at most the limit may have been sent and have
// arrived within the second that ends with the last one. No fault of a balancer excuses more.
func (m *monitor) checkColdUpstream(name string, packets []firstPacket) {
	begin := packets[len(packets)-1].arrivedAt.Add(-time.Second)
	n := 0
	for _, p := range packets {
		if p.sentAt.After(begin) && p.arrivedAt.After(begin) {
			n++
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if n > warmupRate*warmupOverage+warmupSlack && m.noRecentFault(time.Now(), name) {
		m.recordViolationLocked("a cold upstream got too many new flows within a second", fmt.Sprintf("%s got %d", name, n))
	}
}

// balancerFaultPrefix precedes the IP address in the names of balancers in faultEnds.
const balancerFaultPrefix = "node "

// checkFirstPacket checks a flow's first packet that has reached an upstream: a Caller opened the flow,
// and its address was routed to the upstream's service at some time. Unless the store or a balancer on
// the way had a recent fault, the route must also be current, the upstream not draining and its data
// centre not evacuated, all with applyDeadline as tolerance.
func (m *monitor) checkFirstPacket(u *upstream, key flowEnds, drainingSince time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now, opening := time.Now(), m.openings[key]
	if opening == nil {
		m.recordViolationLocked("an upstream got a flow that no Caller began", key)
		return
	}
	everRouted := false
	for _, change := range m.routeHistory[key.target.String()] {
		everRouted = everRouted || change.service == u.service
	}
	if !everRouted {
		m.recordViolationLocked("a flow reached a service that its address never led to", key)
	}
	faultFree := m.noRecentFault(now, append(opening.balancers, "store")...)
	// A balancer that knew of a change before the store lost it must not go back.
	knownBeforeRewind := func(changedAt time.Time) bool {
		return m.noRecentFault(now, "rewind") || changedAt.Add(applyDeadline).Before(m.rewoundAt)
	}
	if faultFree && !drainingSince.IsZero() && knownBeforeRewind(drainingSince) && opening.openedAt.After(drainingSince.Add(applyDeadline)) {
		m.recordViolationLocked("a draining upstream got a new flow", u.name())
	}
	if e := m.evacuation; faultFree && u.centre == dataCentre && !e.since.IsZero() && knownBeforeRewind(e.since) && opening.openedAt.After(e.since.Add(applyDeadline)) {
		m.recordViolationLocked("an evacuated data centre got a new flow", u.name())
	}
	if service, changedAt := m.currentRoute(key.target.String()); faultFree && service != u.service && knownBeforeRewind(changedAt) && opening.openedAt.After(changedAt.Add(applyDeadline)) {
		m.recordViolationLocked("a new flow went by a route that was changed", key)
	}
}

// currentRoute returns the service that an address is routed to, empty for none, and since when.
func (m *monitor) currentRoute(address string) (service rattanwood.ServiceID, changedAt time.Time) {
	history := m.routeHistory[address]
	last := history[len(history)-1]
	return last.service, last.changedAt
}

// checkRefusal checks a reset that answered a first packet: the address must be without a route, unless
// the route is younger than applyDeadline or the store or a balancer on the way had a recent fault.
func (m *monitor) checkRefusal(key flowEnds) {
	m.mu.Lock()
	defer m.mu.Unlock()
	service, changedAt := m.currentRoute(key.target.String())
	opening := m.openings[key]
	faultFree := m.noRecentFault(time.Now(), append(opening.balancers, "store", "rewind")...)
	if faultFree && service != "" && opening.openedAt.After(changedAt.Add(applyDeadline)) {
		m.recordViolationLocked("a new flow was refused though its route is there", key)
	}
}

// checkStray checks a packet of a flow that its receiver doesn't hold: no other upstream may hold the
// flow, unless that one had a recent fault.
func (m *monitor) checkStray(receiver *upstream, key flowEnds) {
	m.mu.Lock()
	upstreams := append([]*upstream(nil), m.upstreams...)
	m.mu.Unlock()
	for _, u := range upstreams {
		if u != receiver && u.holdsFlow(key) {
			m.mu.Lock()
			if m.noRecentFault(time.Now(), u.name()) {
				m.recordViolationLocked("a packet of an open flow reached another upstream", key)
			}
			m.mu.Unlock()
		}
	}
}

// checkReset checks a reset that a balancer sent on an open flow: no running upstream may hold the
// flow, unless its route was missing or the upstream or the balancer had a recent fault.
func (m *monitor) checkReset(key flowEnds, from netip.AddrPort) {
	m.mu.Lock()
	upstreams := append([]*upstream(nil), m.upstreams...)
	m.mu.Unlock()
	for _, u := range upstreams {
		if !u.holdsFlow(key) {
			continue
		}
		m.mu.Lock()
		if !m.routeWasMissing(key) && m.noRecentFault(time.Now(), u.name(), balancerFaultPrefix+from.Addr().String()) {
			m.recordViolationLocked("a balancer reset an open flow of a living upstream", fmt.Sprint(key, " by ", from))
		}
		m.mu.Unlock()
	}
}

// routeWasMissing reports whether the address of a flow was without a route at some time since the flow
// was opened, so that a balancer may reset it. Balancers may apply a route late by applyDeadline.
func (m *monitor) routeWasMissing(key flowEnds) bool {
	history := m.routeHistory[key.target.String()]
	for i, change := range history {
		replacedBefore := i+1 < len(history) && history[i+1].changedAt.Add(applyDeadline).Before(m.openings[key].openedAt)
		if change.service == "" && !replacedBefore {
			return true
		}
	}
	return false
}

// recordRequestRun counts how often a request was executed, which must be once at most.
func (m *monitor) recordRequestRun(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.runCounts[id]++; m.runCounts[id] > 1 {
		m.recordViolationLocked("a request ran twice", id)
	}
}

// recordRequest records the outcome of a request, or a flow that couldn't be opened.
func (m *monitor) recordRequest(answered bool, latency time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.timeline.addRequest(time.Since(m.startedAt), answered, latency)
	switch {
	case answered && m.verifying:
		m.answeredAfterRecovery++
	case m.verifying:
		m.failedAfterRecovery++
	}
	if answered {
		m.answered++
		return
	}
	m.failed++
}
