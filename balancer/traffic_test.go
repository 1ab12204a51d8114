package balancer_test

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/router"
)

// flow is a Caller's flow and the record of what happened to it.
type flow struct {
	id       rattanwood.FlowID
	address  netip.AddrPort
	service  rattanwood.ServiceID
	beganAt  time.Duration
	endsAt   time.Duration
	opened   bool
	upstream rattanwood.UpstreamID
	brokenAt time.Duration
	hops     int
	packets  int
	// stateless is set for flows whose first packets look like later ones.
	stateless bool
	fleet     *fleet
	// trace is the history of the flow's packets, recorded if the fleet is traced.
	trace []string
}

// generateTraffic opens and closes flows and sends their packets to random balancers, as the fabric
// may do.
func (f *fleet) generateTraffic() {
	if f.now%(100*time.Millisecond) == 0 {
		for range f.flowsPerInterval {
			f.openFlow()
		}
	}
	kept := f.flows[:0]
	for _, fl := range f.flows {
		switch {
		case f.now >= fl.endsAt:
			f.sendPacket(fl, false, true)
			f.endedFlows = append(f.endedFlows, fl)
			continue
		case !fl.opened && f.now-fl.beganAt > openTimeout:
			// The Caller gives up, and would look up the address again.
			continue
		case !fl.opened && (f.now-fl.beganAt)%(200*time.Millisecond) == 0:
			f.sendPacket(fl, true, false)
		case fl.opened && f.random.IntN(f.meanPacketGap) == 0:
			f.sendPacket(fl, false, false)
		}
		kept = append(kept, fl)
	}
	f.flows = kept
}

func (f *fleet) openFlow() {
	fl := &flow{id: rattanwood.FlowID(f.random.Uint64()), address: board, beganAt: f.now, fleet: f}
	if f.random.IntN(4) == 0 {
		fl.address = maps
	}
	fl.service = f.serviceOf(fl.address)
	if fl.service == "" {
		return
	}
	fl.stateless = f.random.IntN(4) == 0
	fl.endsAt = f.now + f.meanLifetime/2 + time.Duration(f.random.Int64N(int64(f.meanLifetime)))
	f.flows = append(f.flows, fl)
}

func (f *fleet) serviceOf(a netip.AddrPort) rattanwood.ServiceID {
	for _, s := range f.doc.Services {
		for _, b := range s.Addresses {
			if b.Address == a && b.Until == 0 {
				return s.Name
			}
		}
	}
	return ""
}

// sendPacket sends one packet of a flow to a random balancer.
func (f *fleet) sendPacket(fl *flow, opens, closes bool) {
	n := f.nodes[f.random.IntN(len(f.nodes))]
	if n.running && n.balancer.ShuttingDown() && f.random.IntN(4) != 0 {
		return
	}
	p := router.Packet{Flow: fl.id, Address: fl.address, Opens: opens, Closes: closes, Origin: n.vm}
	if fl.stateless {
		p.Opens, p.Closes, p.Stateless = false, false, true
	}
	fl.packets++
	f.send("", n.vm, true, func(at *node) {
		for _, bl := range f.baselines {
			bl.handlePacket(at, fl)
		}
		f.route(at, fl, p)
	})
}

// route lets a balancer decide on a packet and carries out the verdict.
func (f *fleet) route(n *node, fl *flow, p router.Packet) {
	v := n.balancer.Decide(n.localTime(f.now), &p)
	if f.traced {
		line := fmt.Sprintf("%v %s opens=%v %v from=%s -> %d %v %s %v", f.now, n.vm, p.Opens, p.Kind, p.From, v.Action, v.Upstream, v.VM, v.Kind)
		fl.trace = append(fl.trace, line)
	}
	switch v.Action {
	case router.Forward:
		f.recordArrival(n, fl, v.Upstream)
	case router.Relay:
		fl.hops++
		p.Kind, p.From, p.Owner, p.Hint = v.Kind, n.vm, v.Owner, v.Hint
		p.Hops++
		f.send(n.vm, v.VM, true, func(at *node) { f.route(at, fl, p) })
	case router.Drop:
	}
}

// recordArrival compares the upstream that a packet was forwarded to with the one that its flow
// began on.
func (f *fleet) recordArrival(n *node, fl *flow, id rattanwood.UpstreamID) {
	target, known := n.balancer.Router.NewestCatalog().Target(id)
	if !known {
		// The daemon drops packets for an upstream whose address it hasn't learned yet.
		return
	}
	if target.Service != fl.service && !f.lostBeforeReplication(fl) {
		f.misrouted++
		if f.firstMisrouted == nil {
			f.firstMisrouted = fl
		}
	}
	if !fl.opened {
		fl.opened = true
		fl.beganAt = f.now
		fl.upstream = id
		if limit, ok := f.noNewFlowsAfter[id]; ok && f.now > limit {
			f.lateFlows = append(f.lateFlows, fmt.Sprintf("%s at %v by %s", id, f.now, n.vm))
		}
		return
	}
	if fl.upstream != id && fl.brokenAt == 0 {
		fl.brokenAt = f.now
	}
}

// lostBeforeReplication reports whether a stateless flow was too young to be replicated when the
// only balancer that knew it was lost. No balancer can tell the packets of such a flow from those
// of a new one.
func (f *fleet) lostBeforeReplication(fl *flow) bool {
	return f.lostAt != 0 && fl.stateless && fl.beganAt <= f.lostAt && f.lostAt-fl.beganAt < protectedAge
}

// countBroken returns the number of flows that changed their upstream, and of those among them that
// were at least the given age at the fault.
func (f *fleet) countBroken(age time.Duration) (all, older int) {
	for _, fl := range append(append([]*flow{}, f.flows...), f.endedFlows...) {
		if fl.brokenAt == 0 {
			continue
		}
		all++
		if faultTime-fl.beganAt >= age {
			older++
		}
	}
	return all, older
}

// brokenHistory returns the trace of a flow that went to the wrong service, or of one that broke
// and was at least the given age at the fault; zero takes a flow of any age.
func (f *fleet) brokenHistory(age time.Duration) string {
	for _, fl := range append(append([]*flow{}, f.flows...), f.endedFlows...) {
		if fl == f.firstMisrouted || (fl.brokenAt != 0 && (age == 0 || faultTime-fl.beganAt >= age)) {
			return fmt.Sprintf("flow %v stateless=%v began %v on %v, broken at %v:\n%s", fl.id, fl.stateless, fl.beganAt, fl.upstream, fl.brokenAt, strings.Join(fl.trace, "\n"))
		}
	}
	return ""
}
