// Package balancer joins the parts of the decision logic into one state machine
// for a balancer: events go in, actions come out.
//
// A Balancer has no clock, socket or goroutine and isn't safe for concurrent
// use. Times are durations since the process began.
package balancer

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"example.org/rattanwood"
	"example.org/rattanwood/compiler"
	"example.org/rattanwood/detector"
	"example.org/rattanwood/limiter"
	"example.org/rattanwood/marker"
	"example.org/rattanwood/ranker"
	"example.org/rattanwood/router"
	"example.org/rattanwood/wire"
)

// headers are the bytes of IP and UDP headers around a datagram.
const headers = 28

// readers is the number of balancers in a data centre that read the platform.
const readers = 2

// marksPause is the time between two pulls of the marks.
const marksPause = 200 * time.Millisecond

// rosterPause is the time between two pulls of the roster.
const rosterPause = 10 * time.Second

// tellBatch is the largest number of answers in one datagram.
const tellBatch = 80

// Config builds a Balancer.
type Config struct {
	Detector detector.Config
	Router   router.Config
	Limiter  limiter.Config
}

// DefaultConfig returns the settings that the daemon uses by default.
func DefaultConfig(self rattanwood.VMID) Config {
	r := router.DefaultConfig(self)
	return Config{
		Detector: detector.Config{
			Self:              self,
			Incarnation:       1,
			HeartbeatInterval: time.Second,
			SuspectAfter:      2500 * time.Millisecond,
			DeadAfter:         5 * time.Second,
			ActivationDelay:   r.ActivationDelay,
			PauseThreshold:    time.Second,
		},
		Router:  r,
		Limiter: limiter.Config{Rate: 4096, Burst: 8192},
	}
}

// Send is the action to send a datagram to a balancer.
type Send struct {
	VM      rattanwood.VMID
	Address netip.AddrPort
	Message *wire.Envelope
}

// Fetch is the action to fetch the newest document from a balancer.
type Fetch struct {
	VM      rattanwood.VMID
	Address netip.AddrPort
	Version rattanwood.Version
}

// Action is a Send or a Fetch.
type Action interface{ action() }

func (Send) action()  {}
func (Fetch) action() {}

// Balancer is the state of one balancer.
type Balancer struct {
	// seed is this balancer's in every ranking.
	seed        uint64
	cfg         Config
	Members     *detector.Detector
	Router      *router.Router
	HealthTable *marker.HealthTable
	Limiter     *limiter.Limiter
	actions     []Action
	ticked      time.Duration
	leaving     bool
	blind       bool
	left        time.Duration
	rostered    time.Duration
	marked      time.Duration
	fetching    time.Duration
}

// New returns a balancer that knows nobody and no document.
func New(cfg Config) *Balancer {
	marks := marker.New(cfg.Router.ActivationDelay)
	b := &Balancer{
		seed:        ranker.Seed(string(cfg.Detector.Self)),
		cfg:         cfg,
		Members:     detector.New(cfg.Detector),
		Router:      router.New(cfg.Router, marks),
		HealthTable: marks,
		Limiter:     limiter.New(cfg.Limiter),
	}
	// Until the first tick nothing is known of the members.
	b.Router.SetView(router.View{Resuming: true})
	return b
}

// TakeActions returns the actions since the last call.
func (b *Balancer) TakeActions() []Action {
	out := b.actions
	b.actions = nil
	return out
}

// Decide decides on one packet.
func (b *Balancer) Decide(now time.Duration, p *router.Packet) router.Verdict {
	if now-b.ticked > b.cfg.Detector.PauseThreshold {
		b.Tick(now)
	}
	return b.Router.Decide(now, p)
}

// SetDocument takes in a document and reports whether it is newer than the known one.
func (b *Balancer) SetDocument(now time.Duration, doc *rattanwood.Document) bool {
	newest := b.Router.NewestCatalog()
	if newest != nil && doc.Version <= newest.Version {
		return false
	}
	b.Router.SetCatalog(now, compiler.Compile(doc, newest))
	b.fetching = 0
	b.Members.TriggerHeartbeats()
	return true
}

// SetVMs takes in the platform's list of VMs.
func (b *Balancer) SetVMs(vms []rattanwood.VM) { b.Members.SetVMs(vms) }

// ObserveHealth takes in what a probe saw of an upstream.
func (b *Balancer) ObserveHealth(now time.Duration, id rattanwood.UpstreamID, s marker.Health) {
	if b.HealthTable.Observe(now, id, s) {
		b.Router.RecheckFlows()
		b.Members.TriggerHeartbeats()
	}
}

// BeginShutdown begins a graceful shutdown.
func (b *Balancer) BeginShutdown(now time.Duration) {
	if b.leaving {
		return
	}
	b.leaving = true
	b.left = now
	b.Members.TriggerHeartbeats()
}

// ShutdownComplete reports whether a leaving balancer has nothing more to do for its peers.
func (b *Balancer) ShutdownComplete(now time.Duration) bool {
	alone := len(b.live(false)) == 0
	lingered := now-b.left >= b.cfg.Detector.DeadAfter
	return b.leaving && (alone || (lingered && b.Router.FullyReplicated()))
}

// Tick runs every system once.
func (b *Balancer) Tick(now time.Duration) {
	beats, probes := b.Members.Tick(now)
	for _, m := range beats {
		b.send(now, limiter.Liveness, m, &wire.Envelope{Body: &wire.Envelope_Beat{Beat: b.Members.BuildHeartbeat(now, m, b.knowledge())}})
	}
	for _, q := range probes {
		b.send(now, limiter.Liveness, q.Helper, &wire.Envelope{Body: &wire.Envelope_Probe{Probe: &wire.Probe{Target: string(q.Target)}}})
	}
	b.HealthTable.Tick(now)
	b.refreshView(now)
	b.Router.Tick(now, min(now-b.ticked, b.cfg.Router.SweepPeriod))
	b.ticked = now
	b.tell(now)
	b.replicate(now)
}

func (b *Balancer) knowledge() detector.HeartbeatPayload {
	k := detector.HeartbeatPayload{HealthDigest: b.HealthTable.Digest(), Leaving: b.leaving, PlatformUnreachable: b.blind, Watermark: b.Router.Watermark()}
	if c := b.Router.NewestCatalog(); c != nil {
		k.Version = c.Version
	}
	return k
}

// refreshView shows the router who can be home and how fresh the members' knowledge is.
func (b *Balancer) refreshView(now time.Duration) {
	b.Router.SetView(router.View{
		Live:         b.live(!b.leaving),
		Draining:     b.leavers(),
		Former:       b.former(),
		LeaseExpiry:  b.Members.LeaseExpiry(now),
		WarmingUp:    b.Members.WarmingUp(now),
		Resuming:     b.Members.Resuming(now),
		ShuttingDown: b.leaving,
		Outdated:     b.behind(),
	})
}

// live returns the members that can be home, and this balancer if self is set.
func (b *Balancer) live(self bool) []router.Node {
	nodes := b.nodes(func(m *detector.Member) bool { return m.State == detector.Alive && !m.Leaving })
	if self {
		nodes = append(nodes, router.Node{VM: b.cfg.Detector.Self, Seed: b.seed})
	}
	return nodes
}

func (b *Balancer) leavers() []router.Node {
	return b.nodes(func(m *detector.Member) bool { return m.State == detector.Alive && m.Leaving })
}

func (b *Balancer) former() []router.Node {
	return b.nodes(func(m *detector.Member) bool {
		return m.State == detector.Dead || m.State == detector.Suspect || m.Leaving
	})
}

// nodes returns the members that match, as the router ranks them.
func (b *Balancer) nodes(match func(*detector.Member) bool) []router.Node {
	var nodes []router.Node
	for _, m := range b.Members.Members() {
		if match(m) {
			nodes = append(nodes, router.Node{VM: m.VM, Seed: m.Seed, Suspect: m.State == detector.Suspect})
		}
	}
	return nodes
}

// behind reports whether a member is known to have a newer document.
func (b *Balancer) behind() bool {
	version := b.knowledge().Version
	for _, m := range b.Members.Members() {
		if m.State == detector.Alive && m.Version > version {
			return true
		}
	}
	return false
}

// tell sends the answers that the router has for other balancers.
func (b *Balancer) tell(now time.Duration) {
	told := b.Router.TakeAnswers()
	for _, vm := range slices.Sorted(maps.Keys(told)) {
		m, ok := b.Members.Member(vm)
		if !ok {
			continue
		}
		answers := told[vm]
		for len(answers) > 0 {
			n := min(len(answers), tellBatch)
			b.send(now, limiter.Answers, m, &wire.Envelope{Body: &wire.Envelope_Told{Told: encodeTold(answers[:n])}})
			answers = answers[n:]
		}
	}
}

func (b *Balancer) replicate(now time.Duration) {
	for _, batch := range b.Router.NextBatches(now, b.Limiter.Available(now, limiter.Replication)) {
		if m, ok := b.Members.Member(batch.To); ok {
			b.send(now, limiter.Replication, m, &wire.Envelope{Body: &wire.Envelope_Batch{Batch: encodeBatch(batch)}})
		}
	}
}

// send queues a datagram if the budget of its class allows it.
func (b *Balancer) send(now time.Duration, class limiter.Class, m *detector.Member, e *wire.Envelope) {
	e.Vm = string(b.cfg.Detector.Self)
	e.Life = uint64(b.cfg.Detector.Incarnation)
	if !b.Limiter.Allow(now, class, proto.Size(e)+headers) {
		return
	}
	b.actions = append(b.actions, Send{VM: m.VM, Address: m.Address, Message: e})
}

// SetPlatformUnreachable records whether the platform can be reached. A blind balancer leaves
// the reader's role to the next rank, but should go on trying while it has it.
func (b *Balancer) SetPlatformUnreachable(blind bool) { b.blind = blind }

// ReadsPlatform reports whether this balancer reads the platform for its data centre.
func (b *Balancer) ReadsPlatform() bool {
	own := ranker.Score(ranker.Seed("reader"), b.seed)
	above := 0
	for _, m := range b.Members.Members() {
		if m.State != detector.Alive || m.Leaving || m.PlatformUnreachable || m.DataCentre != b.cfg.Detector.DataCentre {
			continue
		}
		if ranker.Score(ranker.Seed("reader"), m.Seed) > own {
			above++
		}
	}
	return above < readers
}

// ProbesUpstream reports whether this balancer probes an upstream for all.
func (b *Balancer) ProbesUpstream(id rattanwood.UpstreamID) bool {
	return b.firstRanked(uint64(id)) == b.cfg.Detector.Self
}

// SlotOwner returns the balancer that keeps the slots of a service's upstreams.
func (b *Balancer) SlotOwner(service rattanwood.ServiceID) rattanwood.VMID {
	return b.firstRanked(ranker.Seed(string(service)))
}

// firstRanked returns the live balancer that a role falls to; none if this one is alone and leaving.
func (b *Balancer) firstRanked(key uint64) rattanwood.VMID {
	var top uint64
	var vm rattanwood.VMID
	if !b.leaving {
		vm = b.cfg.Detector.Self
		top = ranker.Score(key, b.seed)
	}
	for _, m := range b.Members.Members() {
		if m.State != detector.Alive || m.Leaving {
			continue
		}
		if s := ranker.Score(key, m.Seed); s > top {
			top, vm = s, m.VM
		}
	}
	return vm
}

// ShuttingDown reports whether a graceful shutdown has begun.
func (b *Balancer) ShuttingDown() bool { return b.leaving }
