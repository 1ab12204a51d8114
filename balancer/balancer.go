// Package balancer combines failure detection, health states, routing and rate limiting into the
// state machine of one balancer: packets, messages and ticks go in; verdicts and actions come out.
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

// ipUDPHeaderBytes are the bytes of the IP and UDP headers around a datagram.
const ipUDPHeaderBytes = 28

// readersPerDataCentre is the number of balancers in a data centre that poll the platform.
const readersPerDataCentre = 2

// healthPullInterval is the shortest time between two pulls of health states from peers.
const healthPullInterval = 200 * time.Millisecond

// memberListPullInterval is the shortest time between two pulls of the member list from peers.
const memberListPullInterval = 10 * time.Second

// maxAnswersPerDatagram is the largest number of answers in one datagram.
const maxAnswersPerDatagram = 80

// Config holds the settings of a Balancer's parts.
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

// Send asks the calling code to send a datagram to another balancer.
type Send struct {
	VM      rattanwood.VMID
	Address netip.AddrPort
	Message *wire.Envelope
}

// Fetch asks the calling code to fetch the newest document, of at least Version, from another balancer.
type Fetch struct {
	VM      rattanwood.VMID
	Address netip.AddrPort
	Version rattanwood.Version
}

// Action is something that the calling code has to do for the balancer: a Send or a Fetch.
type Action interface{ action() }

func (Send) action()  {}
func (Fetch) action() {}

// Balancer is the state machine of one balancer.
type Balancer struct {
	// seed is this balancer's seed for rendezvous ranking.
	seed        uint64
	cfg         Config
	Members     *detector.Detector
	Router      *router.Router
	HealthTable *marker.HealthTable
	Limiter     *limiter.Limiter
	// actions wait for TakeActions.
	actions             []Action
	lastTick            time.Duration
	shuttingDown        bool
	platformUnreachable bool
	// shutdownBegan is the time of BeginShutdown.
	shutdownBegan      time.Duration
	memberListPulledAt time.Duration
	healthPulledAt     time.Duration
	// fetchBegan is the time of the last Fetch action, zero once a newer document has arrived.
	fetchBegan time.Duration
}

// New returns a balancer that knows no members and no document.
func New(cfg Config) *Balancer {
	health := marker.New(cfg.Router.ActivationDelay)
	b := &Balancer{
		seed:        ranker.Seed(string(cfg.Detector.Self)),
		cfg:         cfg,
		Members:     detector.New(cfg.Detector),
		Router:      router.New(cfg.Router, health),
		HealthTable: health,
		Limiter:     limiter.New(cfg.Limiter),
	}
	// No member is known before the first tick, so packets are dropped until then.
	b.Router.SetView(router.View{Resuming: true})
	return b
}

// TakeActions returns the actions since the last call and empties the queue.
func (b *Balancer) TakeActions() []Action {
	out := b.actions
	b.actions = nil
	return out
}

// Decide returns the verdict on one packet. After a pause of the process it ticks first, so that
// the pause is noticed before the verdict.
func (b *Balancer) Decide(now time.Duration, p *router.Packet) router.Verdict {
	if now-b.lastTick > b.cfg.Detector.PauseThreshold {
		b.Tick(now)
	}
	return b.Router.Decide(now, p)
}

// SetDocument compiles a document and passes it to the router. It ignores a document that isn't
// newer than the known one, and reports false.
func (b *Balancer) SetDocument(now time.Duration, doc *rattanwood.Document) bool {
	newest := b.Router.NewestCatalog()
	if newest != nil && doc.Version <= newest.Version {
		return false
	}
	b.Router.SetCatalog(now, compiler.Compile(doc, newest))
	b.fetchBegan = 0
	b.Members.TriggerHeartbeats()
	return true
}

// SetVMs passes the platform's list of VMs to the member list.
func (b *Balancer) SetVMs(vms []rattanwood.VM) { b.Members.SetVMs(vms) }

// ObserveHealth records the result of a health check of an upstream. A change is announced with the
// next heartbeats.
func (b *Balancer) ObserveHealth(now time.Duration, id rattanwood.UpstreamID, s marker.Health) {
	if b.HealthTable.Observe(now, id, s) {
		b.Router.RecheckFlows()
		b.Members.TriggerHeartbeats()
	}
}

// BeginShutdown begins a graceful shutdown: this balancer takes no new flows but still answers for
// those that it knows.
func (b *Balancer) BeginShutdown(now time.Duration) {
	if b.shuttingDown {
		return
	}
	b.shuttingDown = true
	b.shutdownBegan = now
	b.Members.TriggerHeartbeats()
}

// ShutdownComplete reports whether a graceful shutdown has begun and the process may end: no other
// member is live, or the dead timeout has passed and every override is replicated.
func (b *Balancer) ShutdownComplete(now time.Duration) bool {
	alone := len(b.liveNodes(false)) == 0
	announced := now-b.shutdownBegan >= b.cfg.Detector.DeadAfter
	return b.shuttingDown && (alone || (announced && b.Router.FullyReplicated()))
}

// Tick advances all parts: it sends heartbeats and indirect probes, activates health states and
// documents, sweeps a part of the flow table and sends answers and replication batches.
func (b *Balancer) Tick(now time.Duration) {
	heartbeats, probes := b.Members.Tick(now)
	for _, m := range heartbeats {
		b.send(now, limiter.Liveness, m, &wire.Envelope{Body: &wire.Envelope_Beat{Beat: b.Members.BuildHeartbeat(now, m, b.heartbeatPayload())}})
	}
	for _, q := range probes {
		b.send(now, limiter.Liveness, q.Helper, &wire.Envelope{Body: &wire.Envelope_Probe{Probe: &wire.Probe{Target: string(q.Target)}}})
	}
	b.HealthTable.Tick(now)
	b.refreshView(now)
	b.Router.Tick(now, min(now-b.lastTick, b.cfg.Router.SweepPeriod))
	b.lastTick = now
	b.sendAnswers(now)
	b.sendBatches(now)
}

// heartbeatPayload returns what the next heartbeats tell about this balancer.
func (b *Balancer) heartbeatPayload() detector.HeartbeatPayload {
	payload := detector.HeartbeatPayload{HealthDigest: b.HealthTable.Digest(), Leaving: b.shuttingDown, PlatformUnreachable: b.platformUnreachable, Watermark: b.Router.Watermark()}
	if c := b.Router.NewestCatalog(); c != nil {
		payload.Version = c.Version
	}
	return payload
}

// refreshView gives the router a new snapshot of the members and of the lease.
func (b *Balancer) refreshView(now time.Duration) {
	b.Router.SetView(router.View{
		Live:           b.liveNodes(!b.shuttingDown),
		Draining:       b.drainingNodes(),
		PossibleOwners: b.possibleOwnerNodes(),
		LeaseExpiry:    b.Members.LeaseExpiry(now),
		WarmingUp:      b.Members.WarmingUp(now),
		Resuming:       b.Members.Resuming(now),
		ShuttingDown:   b.shuttingDown,
		Outdated:       b.documentOutdated(),
	})
}

// liveNodes returns the members that can own flows, and this balancer if self is set.
func (b *Balancer) liveNodes(self bool) []router.Node {
	nodes := b.matchingNodes(func(m *detector.Member) bool { return m.State == detector.Alive && !m.Leaving })
	if self {
		nodes = append(nodes, router.Node{VM: b.cfg.Detector.Self, Seed: b.seed})
	}
	return nodes
}

// drainingNodes returns the live members that are shutting down.
func (b *Balancer) drainingNodes() []router.Node {
	return b.matchingNodes(func(m *detector.Member) bool { return m.State == detector.Alive && m.Leaving })
}

// possibleOwnerNodes returns the members that may have owned flows which now rank elsewhere.
func (b *Balancer) possibleOwnerNodes() []router.Node {
	return b.matchingNodes(func(m *detector.Member) bool {
		return m.State == detector.Dead || m.State == detector.Suspect || m.Leaving
	})
}

// matchingNodes returns the members for which match is true.
func (b *Balancer) matchingNodes(match func(*detector.Member) bool) []router.Node {
	var nodes []router.Node
	for _, m := range b.Members.Members() {
		if match(m) {
			nodes = append(nodes, router.Node{VM: m.VM, Seed: m.Seed, Suspect: m.State == detector.Suspect})
		}
	}
	return nodes
}

// documentOutdated reports whether a live member has announced a newer document.
func (b *Balancer) documentOutdated() bool {
	version := b.heartbeatPayload().Version
	for _, m := range b.Members.Members() {
		if m.State == detector.Alive && m.Version > version {
			return true
		}
	}
	return false
}

// sendAnswers sends the router's queued answers to the balancers that asked.
func (b *Balancer) sendAnswers(now time.Duration) {
	byVM := b.Router.TakeAnswers()
	for _, vm := range slices.Sorted(maps.Keys(byVM)) {
		m, ok := b.Members.Member(vm)
		if !ok {
			continue
		}
		answers := byVM[vm]
		for len(answers) > 0 {
			n := min(len(answers), maxAnswersPerDatagram)
			b.send(now, limiter.Answers, m, &wire.Envelope{Body: &wire.Envelope_Told{Told: encodeAnswers(answers[:n])}})
			answers = answers[n:]
		}
	}
}

// sendBatches sends the replication batches for which the budget has capacity.
func (b *Balancer) sendBatches(now time.Duration) {
	for _, batch := range b.Router.NextBatches(now, b.Limiter.Available(now, limiter.Replication)) {
		if m, ok := b.Members.Member(batch.To); ok {
			b.send(now, limiter.Replication, m, &wire.Envelope{Body: &wire.Envelope_Batch{Batch: encodeBatch(batch)}})
		}
	}
}

// send queues a datagram if the budget of its class allows it, and drops it otherwise.
func (b *Balancer) send(now time.Duration, class limiter.Class, m *detector.Member, e *wire.Envelope) {
	e.Vm = string(b.cfg.Detector.Self)
	e.Life = uint64(b.cfg.Detector.Incarnation)
	if !b.Limiter.Allow(now, class, proto.Size(e)+ipUDPHeaderBytes) {
		return
	}
	b.actions = append(b.actions, Send{VM: m.VM, Address: m.Address, Message: e})
}

// SetPlatformUnreachable records whether the platform can't be reached, which heartbeats announce so
// that another balancer reads in this one's place. The calling code should go on trying while
// ReadsPlatform is true.
func (b *Balancer) SetPlatformUnreachable(unreachable bool) { b.platformUnreachable = unreachable }

// ReadsPlatform reports whether this balancer is one of the readers of the platform in its data
// centre.
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
	return above < readersPerDataCentre
}

// ChecksUpstream reports whether this balancer runs the health checks of an upstream on behalf of all
// balancers.
func (b *Balancer) ChecksUpstream(id rattanwood.UpstreamID) bool {
	return b.firstRanked(uint64(id)) == b.cfg.Detector.Self
}

// SlotOwner returns the slot owner of a service: the balancer that grants the request slots of its
// upstreams.
func (b *Balancer) SlotOwner(service rattanwood.ServiceID) rattanwood.VMID {
	return b.firstRanked(ranker.Seed(string(service)))
}

// firstRanked returns the first-ranked live balancer for a key, or an empty VM if this balancer is
// shutting down and no other is live.
func (b *Balancer) firstRanked(key uint64) rattanwood.VMID {
	var top uint64
	var vm rattanwood.VMID
	if !b.shuttingDown {
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

// ShuttingDown reports whether BeginShutdown was called.
func (b *Balancer) ShuttingDown() bool { return b.shuttingDown }
