package soaker

import (
	"fmt"
	"net/netip"
	"sync"
	"time"

	"example.org/rattanwood"
)

// Ports of all balancers of a soak, which differ by IP number.
const (
	peerPort   = 7720
	tunnelPort = 8172
	webPort    = "8167"
)

// Addresses that Callers use.
const (
	addressSwap = "198.18.0.1:443"
	addressMaps = "198.18.0.2:443"
)

const (
	// applyTime is the time in which a change must be in force, and the drain time.
	applyTime = 3 * time.Second
	// calmTime is the time after a fault in which promises with a time bound don't count.
	calmTime = 4 * time.Second
)

// world is what the parts of a soak know of each other, and the promises.
type world struct {
	cfg    Config
	store  *store
	router *router

	mu sync.Mutex
	// backs are the upstreams of all time; the last life of an address is its present one.
	backs []*back
	// faults are when the last fault of a balancer, an upstream or the store ended.
	faults map[string]time.Time
	// routes are the service of each address and since when.
	routes map[string][]binding
	// openings are when Callers began flows.
	openings map[flowEnds]*opening
	runs     map[string]int
	broken   []string
	events   []string
	good     int
	bad      int
	// late counts the outcomes after the last fault.
	settled  bool
	lateGood int
	lateBad  int
	began    time.Time
	// tally counts the requests by second.
	tally tally
}

// opening is when a Caller began a flow, and the balancers that got its first packets.
type opening struct {
	at    time.Time
	nodes []string
}

type binding struct {
	service rattanwood.ServiceID
	since   time.Time
}

// log records an event, to be shown if a promise is broken.
func (w *world) log(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	since := time.Since(w.began)
	w.events = append(w.events, fmt.Sprintf("%.2f s: %s", since.Seconds(), name))
	w.tally.event(since, name)
}

// breach records a broken promise.
func (w *world) breach(what string, about any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.report(what, about)
}

func (w *world) report(what string, about any) {
	if len(w.broken) < 20 {
		w.broken = append(w.broken, fmt.Sprintf("%.2f s: %s: %v", time.Since(w.began).Seconds(), what, about))
	}
}

// fault records that something is harmed until d from now.
func (w *world) fault(name string, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if until := time.Now().Add(d); until.After(w.faults[name]) {
		w.faults[name] = until
	}
}

// calm reports whether none of the names was harmed within the calm time before at.
func (w *world) calm(at time.Time, names ...string) bool {
	for _, n := range names {
		if until, ok := w.faults[n]; ok && at.Before(until.Add(calmTime)) {
			return false
		}
	}
	return true
}

func (w *world) opened(key flowEnds, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.openings[key] = &opening{at: at}
}

// routed records the balancer that gets a first packet.
func (w *world) routed(key flowEnds, ip string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if o := w.openings[key]; o != nil {
		o.nodes = append(o.nodes, nodePrefix+ip)
	}
}

// nodePrefix begins the names of balancers among the faults.
const nodePrefix = "node "

// checkOpening judges a first packet that has reached an upstream.
func (w *world) checkOpening(b *back, key flowEnds, draining time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, o := time.Now(), w.openings[key]
	if o == nil {
		w.report("an upstream got a flow that no Caller began", key)
		return
	}
	ever := false
	for _, r := range w.routes[key.target.String()] {
		ever = ever || r.service == b.service
	}
	if !ever {
		w.report("a flow reached a service that its address never led to", key)
	}
	inTouch := w.calm(now, append(o.nodes, "store")...)
	if inTouch && !draining.IsZero() && o.at.After(draining.Add(applyTime)) {
		w.report("a draining upstream got a new flow", b.name())
	}
	if bound, since := w.boundAt(key.target.String()); inTouch && bound != b.service && o.at.After(since.Add(applyTime)) {
		w.report("a new flow went by a route that was changed", key)
	}
}

// boundAt returns the service that an address leads to, empty for none, and since when.
func (w *world) boundAt(address string) (service rattanwood.ServiceID, since time.Time) {
	all := w.routes[address]
	last := all[len(all)-1]
	return last.service, last.since
}

// checkRefusal judges a reset that answered a first packet.
func (w *world) checkRefusal(key flowEnds) {
	w.mu.Lock()
	defer w.mu.Unlock()
	service, since := w.boundAt(key.target.String())
	o := w.openings[key]
	inTouch := w.calm(time.Now(), append(o.nodes, "store")...)
	if inTouch && service != "" && o.at.After(since.Add(applyTime)) {
		w.report("a new flow was refused though its route is there", key)
	}
}

// checkStray judges a packet of a flow that an upstream doesn't hold.
func (w *world) checkStray(at *back, key flowEnds) {
	w.mu.Lock()
	backs := append([]*back(nil), w.backs...)
	w.mu.Unlock()
	for _, b := range backs {
		if b != at && b.holds(key) {
			w.mu.Lock()
			if w.calm(time.Now(), b.name()) {
				w.report("a packet of an open flow reached another upstream", key)
			}
			w.mu.Unlock()
		}
	}
}

// checkReset judges a reset that a balancer sent on an open flow.
func (w *world) checkReset(key flowEnds, from netip.AddrPort) {
	w.mu.Lock()
	backs := append([]*back(nil), w.backs...)
	w.mu.Unlock()
	for _, b := range backs {
		if !b.holds(key) {
			continue
		}
		w.mu.Lock()
		if !w.dropped(key) && w.calm(time.Now(), b.name(), nodePrefix+from.Addr().String()) {
			w.report("a balancer reset an open flow of a living upstream", fmt.Sprint(key, " by ", from))
		}
		w.mu.Unlock()
	}
}

// dropped reports whether the route of a flow was missing since the flow began, so that it may be reset.
func (w *world) dropped(key flowEnds) bool {
	all := w.routes[key.target.String()]
	for i, b := range all {
		ended := i+1 < len(all) && all[i+1].since.Add(applyTime).Before(w.openings[key].at)
		if b.service == "" && !ended {
			return true
		}
	}
	return false
}

// ran counts a run of a request.
func (w *world) ran(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.runs[id]++; w.runs[id] > 1 {
		w.report("a request ran twice", id)
	}
}

func (w *world) count(ok bool, took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tally.add(time.Since(w.began), ok, took)
	switch {
	case ok && w.settled:
		w.lateGood++
	case w.settled:
		w.lateBad++
	}
	if ok {
		w.good++
		return
	}
	w.bad++
}
