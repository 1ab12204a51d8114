package balancer_test

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/router"
)

// flow is a Caller's flow and the naive record of all that happened to it.
type flow struct {
	id       rattanwood.FlowID
	address  netip.AddrPort
	service  rattanwood.ServiceID
	began    time.Duration
	ends     time.Duration
	opened   bool
	upstream rattanwood.UpstreamID
	broken   time.Duration
	hops     int
	packets  int
	// stateless flows have no first packet that can be told.
	stateless bool
	fleet     *fleet
	// trace is the flow's history, kept if the fleet traces.
	trace []string
}

// traffic opens flows and sends packets to random balancers, as the fabric does.
func (f *fleet) traffic() {
	if f.now%(100*time.Millisecond) == 0 {
		for range f.rate {
			f.open()
		}
	}
	kept := f.flows[:0]
	for _, fl := range f.flows {
		switch {
		case f.now >= fl.ends:
			f.packet(fl, false, true)
			f.done = append(f.done, fl)
			continue
		case !fl.opened && f.now-fl.began > patience:
			// The Caller gives up and would look the address up anew.
			continue
		case !fl.opened && (f.now-fl.began)%(200*time.Millisecond) == 0:
			f.packet(fl, true, false)
		case fl.opened && f.random.IntN(f.gap) == 0:
			f.packet(fl, false, false)
		}
		kept = append(kept, fl)
	}
	f.flows = kept
}

func (f *fleet) open() {
	fl := &flow{id: rattanwood.FlowID(f.random.Uint64()), address: board, began: f.now, fleet: f}
	if f.random.IntN(4) == 0 {
		fl.address = maps
	}
	fl.service = f.serviceOf(fl.address)
	if fl.service == "" {
		return
	}
	fl.stateless = f.random.IntN(4) == 0
	fl.ends = f.now + f.life/2 + time.Duration(f.random.Int64N(int64(f.life)))
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

// packet sprays one packet of a flow.
func (f *fleet) packet(fl *flow, opens, closes bool) {
	n := f.nodes[f.random.IntN(len(f.nodes))]
	if n.up && n.core.ShuttingDown() && f.random.IntN(4) != 0 {
		return
	}
	p := router.Packet{Flow: fl.id, Address: fl.address, Opens: opens, Closes: closes, Origin: n.vm}
	if fl.stateless {
		p.Opens, p.Closes, p.Stateless = false, false, true
	}
	fl.packets++
	f.send("", n.vm, true, func(at *node) {
		for _, s := range f.shadows {
			s.packet(at, fl)
		}
		f.route(at, fl, p)
	})
}

func (f *fleet) route(n *node, fl *flow, p router.Packet) {
	v := n.core.Decide(n.time(f.now), &p)
	if f.traced {
		line := fmt.Sprintf("%v %s opens=%v %v from=%s -> %d %v %s %v", f.now, n.vm, p.Opens, p.Kind, p.From, v.Action, v.Upstream, v.VM, v.Kind)
		fl.trace = append(fl.trace, line)
	}
	switch v.Action {
	case router.Forward:
		f.arrive(n, fl, v.Upstream)
	case router.Relay:
		fl.hops++
		p.Kind, p.From, p.Owner, p.Hint = v.Kind, n.vm, v.Owner, v.Hint
		p.Hops++
		f.send(n.vm, v.VM, true, func(at *node) { f.route(at, fl, p) })
	case router.Drop:
	}
}

// arrive compares where a packet went with where its flow began.
func (f *fleet) arrive(n *node, fl *flow, id rattanwood.UpstreamID) {
	target, known := n.core.Router.NewestCatalog().Target(id)
	if !known {
		// The server drops packets for an upstream whose address it hasn't learned yet.
		return
	}
	if target.Service != fl.service && !f.lostYoung(fl) {
		f.strays++
		if f.stray == nil {
			f.stray = fl
		}
	}
	if !fl.opened {
		fl.opened = true
		fl.began = f.now
		fl.upstream = id
		if limit, ok := f.shut[id]; ok && f.now > limit {
			f.lateNew = append(f.lateNew, fmt.Sprintf("%s at %v by %s", id, f.now, n.vm))
		}
		return
	}
	if fl.upstream != id && fl.broken == 0 {
		fl.broken = f.now
	}
}

// lostYoung reports whether a flow was too young to be replicated when the only balancer that
// knew it was lost. Nobody can tell such a flow without a first packet from a new one.
func (f *fleet) lostYoung(fl *flow) bool {
	return f.lostAt != 0 && fl.stateless && fl.began <= f.lostAt && f.lostAt-fl.began < age
}

// broken returns the flows that changed their upstream, and those among them that had lived for at least age at the fault.
func (f *fleet) broken(age time.Duration) (all, aged int) {
	for _, fl := range append(append([]*flow{}, f.flows...), f.done...) {
		if fl.broken == 0 {
			continue
		}
		all++
		if fault-fl.began >= age {
			aged++
		}
	}
	return all, aged
}

// history returns the trace of the first flow that broke after it had lived for age.
func (f *fleet) history(age time.Duration) string {
	for _, fl := range append(append([]*flow{}, f.flows...), f.done...) {
		if fl == f.stray || (fl.broken != 0 && (age == 0 || fault-fl.began >= age)) {
			return fmt.Sprintf("flow %v stateless=%v began %v on %v, broken at %v:\n%s", fl.id, fl.stateless, fl.began, fl.upstream, fl.broken, strings.Join(fl.trace, "\n"))
		}
	}
	return ""
}
