// Package router decides for each packet whether to forward it to an upstream, relay it to
// another balancer or drop it.
//
// Where every retained version of the upstream set gives a flow the same upstream by rendezvous
// hashing, any balancer can forward its packets without state. All other flows are known to
// their owner, the first-ranked live balancer for the flow id. The owner places the flow and
// answers the balancers that ask for its upstream. Overrides, which are flows off their hashed
// upstream, are replicated to the next-ranked balancer, the owner's successor. Sending packets
// and deciding which members are alive are left to the caller.
//
// A Router is a pure state machine: it has no clock, socket or goroutine and
// isn't safe for concurrent use. Times are durations since the process began.
package router

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/compiler"
	"example.org/rattanwood/marker"
	"example.org/rattanwood/ranker"
)

// PacketKind says where a packet comes from and, for a relayed one, what the sender expects.
type PacketKind uint8

// The kinds that travel with relayed packets; their numbers are on the wire.
const (
	// KindPlain packets come from the network fabric, which may send a flow's packets to any balancer.
	KindPlain PacketKind = iota
	// KindFirst packets open a flow at its owner.
	KindFirst
	// KindRefresh packets tell the owner about a flow that this balancer could forward without it:
	// that the flow is still active, has closed or, if stateless, exists.
	KindRefresh
	// KindAsk packets are forwarded by the owner, which also answers the origin with the upstream.
	KindAsk
	// KindLookup packets ask a lower-ranked balancer for a flow that the owner doesn't know.
	KindLookup
	// KindReturned packets come back to the owner after no lower-ranked balancer knew the flow.
	KindReturned
	// KindPlace packets make a lower-ranked balancer place a flow, because the owner is warming
	// up, shutting down or has an outdated document.
	KindPlace
	packetKindCount
)

// String returns the label of the kind in metrics.
func (k PacketKind) String() string {
	return [...]string{"plain", "first", "note", "ask", "deep", "returned", "place", "invalid"}[min(k, packetKindCount)]
}

// NumPacketKinds is the number of valid packet kinds.
const NumPacketKinds = packetKindCount

// Packet holds what a decision needs to know about a packet and how it got here.
type Packet struct {
	Flow    rattanwood.FlowID
	Address netip.AddrPort
	// Opens reports a TCP SYN.
	Opens bool
	// Closes reports a TCP FIN or RST.
	Closes bool
	// Stateless reports a protocol, such as UDP, whose first packets look like later ones.
	Stateless bool
	Kind      PacketKind
	// Hops is the number of balancers that relayed the packet so far.
	Hops uint8
	// From is the balancer that relayed the packet; empty for the fabric.
	From rattanwood.VMID
	// Origin is the balancer that got the packet from the fabric.
	Origin rattanwood.VMID
	// Owner is the balancer that sent a KindLookup or KindPlace packet.
	Owner rattanwood.VMID
	// Hint is the upstream in the origin's own entry of the flow, which it couldn't rely on without
	// asking; zero for none.
	Hint rattanwood.UpstreamID
}

// Action says whether a packet is dropped, forwarded or relayed.
type Action uint8

// Forward sends a packet to an upstream, Relay to another balancer.
const (
	Drop Action = iota
	Forward
	Relay
)

// DropReason says why a packet was dropped.
type DropReason uint8

// The reasons to drop a packet, which metrics count one by one.
const (
	ReasonNone DropReason = iota
	// ReasonUnbound means that no service was ever bound to the packet's address, or that no
	// document is known yet.
	ReasonUnbound
	// ReasonResuming means that the process has started or was paused, and no peer has answered
	// it since.
	ReasonResuming
	// ReasonReused means that a new flow has the addresses and ports of a closed one, which other
	// balancers may still have cached, and the old upstream takes no new flows.
	ReasonReused
	// ReasonNoUpstream means that no upstream of the service can be used.
	ReasonNoUpstream
	// ReasonOwnerSuspect means that only a suspected owner, which may come back, knows the flow.
	ReasonOwnerSuspect
	dropReasonCount
)

// String returns the label of the reason in metrics.
func (r DropReason) String() string {
	return [...]string{"none", "unbound", "waking", "reused", "empty", "suspected"}[r]
}

// NumDropReasons is the number of drop reasons, ReasonNone included.
const NumDropReasons = dropReasonCount

// Verdict is the decision on a packet. Reason belongs to Drop, Upstream to Forward, and Kind, VM,
// Owner and Hint to Relay.
type Verdict struct {
	Action   Action
	Reason   DropReason
	Kind     PacketKind
	Upstream rattanwood.UpstreamID
	VM       rattanwood.VMID
	Owner    rattanwood.VMID
	Hint     rattanwood.UpstreamID
}

// Node is a member as the rendezvous ranking sees it.
type Node struct {
	VM   rattanwood.VMID
	Seed uint64
	// Suspect is set while the member is silent but not yet declared dead.
	Suspect bool
}

// View is the router's snapshot of the members and of this balancer's own condition.
type View struct {
	// Live members can own flows; this balancer is among them unless it is shutting down.
	Live []Node
	// Draining members answer for the flows that they know, but own no new ones.
	Draining []Node
	// PossibleOwners are the suspect, dead and draining members, which may have owned flows that now
	// rank elsewhere.
	PossibleOwners []Node
	// LeaseExpiry is the time until which no member acts on a document or health state that this
	// balancer doesn't know. Until then hashed upstreams may be relied on.
	LeaseExpiry time.Duration
	// WarmingUp is set while other members may not know this one yet, or it may have missed what
	// they decided. It then leaves first packets to the next-ranked member.
	WarmingUp bool
	// ShuttingDown is set during this balancer's graceful shutdown.
	ShuttingDown bool
	// Outdated is set while another member has a newer document.
	Outdated bool
	// Resuming is set after a start or a pause until a peer has answered; all packets are
	// dropped meanwhile.
	Resuming bool
}

// Config holds the identity and the timing of a Router.
type Config struct {
	Self rattanwood.VMID
	// ActivationDelay is the time between learning of a document and using it for new flows.
	ActivationDelay time.Duration
	// RefreshPeriod is the period in which packets of each flow pass its owner for one second, so
	// that the owner's entry doesn't go idle.
	RefreshPeriod time.Duration
	// AnswerTTL is how long an answer of the owner is relied on.
	AnswerTTL time.Duration
	// IdleTimeout is how long an owner keeps a flow without packets.
	IdleTimeout time.Duration
	// ReplicationDelay is the age that a flow must reach before it is replicated.
	ReplicationDelay time.Duration
	// StaleAnswerTTL is how long an answer is kept as a fallback for a flow that no reachable
	// balancer knows.
	StaleAnswerTTL time.Duration
	// RetryInterval is the time after which a batch without acknowledgement is given up, so that
	// its flows are sent again. It is also how long a batch that isn't urgent or full waits.
	RetryInterval time.Duration
	// SweepPeriod is the time in which Tick passes over the whole flow table.
	SweepPeriod time.Duration
}

// DefaultConfig returns the settings that the daemon uses by default.
func DefaultConfig(self rattanwood.VMID) Config {
	return Config{
		Self:             self,
		ActivationDelay:  3 * time.Second,
		RefreshPeriod:    time.Minute,
		AnswerTTL:        time.Minute,
		IdleTimeout:      4 * time.Hour,
		StaleAnswerTTL:   10 * time.Minute,
		ReplicationDelay: 500 * time.Millisecond,
		RetryInterval:    time.Second,
		SweepPeriod:      2 * time.Second,
	}
}

// Counts are totals of decisions since the process started.
//
// Known counts packets of flows that were in the table, Hashed those forwarded to the hashed
// upstream without an entry, Placed new flows, Diverted the times that a new flow's first choice
// took no new flows or had more than its share, and Guessed the flows that nobody knew and whose
// hashed upstream differs between versions. Relayed and Dropped count packets by kind and reason.
type Counts struct {
	Known, Hashed, Placed, Diverted, Guessed uint64
	Relayed                                  [packetKindCount]uint64
	Dropped                                  [dropReasonCount]uint64
}

// Router holds the flow table and the documents, and decides on packets.
type Router struct {
	cfg           Config
	view          View
	health        *marker.HealthTable
	newestCatalog *compiler.Catalog
	activeCatalog *compiler.Catalog
	// pendingCatalogs wait for the activation delay, oldest first.
	pendingCatalogs []pendingCatalog
	flows           table
	// openFlows counts the owned flows that aren't closed, by upstream.
	openFlows map[rattanwood.UpstreamID]int
	// unsentAnswers holds the queued answers, keyed by the balancer to send them to.
	unsentAnswers   map[rattanwood.VMID][]FlowUpstream
	replication     replicationState
	rejectsNewFlows func(rattanwood.UpstreamID) bool
	counts          Counts
	// epoch counts the changes after which the sweep has to check every owned flow for
	// replication again; it wraps around.
	epoch uint8
}

// pendingCatalog is a document that new flows don't use yet.
type pendingCatalog struct {
	catalog   *compiler.Catalog
	learnedAt time.Duration
}

// FlowUpstream is a flow with its upstream, as sent in answers and batches.
type FlowUpstream struct {
	Flow     rattanwood.FlowID
	Upstream rattanwood.UpstreamID
}

// New returns a router without a document.
func New(cfg Config, health *marker.HealthTable) *Router {
	r := &Router{
		cfg:           cfg,
		health:        health,
		flows:         newTable(),
		openFlows:     map[rattanwood.UpstreamID]int{},
		unsentAnswers: map[rattanwood.VMID][]FlowUpstream{},
		replication:   newReplicationState(),
		epoch:         1,
	}
	r.rejectsNewFlows = health.RejectsNewFlows
	return r
}

// SetView replaces the snapshot of the members.
func (r *Router) SetView(v View) {
	if !slices.Equal(v.Live, r.view.Live) {
		r.advanceEpoch()
	}
	r.view = v
}

// SetCatalog takes a newer document, which new flows use after the activation delay; an older
// one is ignored. The first document is used at once.
func (r *Router) SetCatalog(now time.Duration, c *compiler.Catalog) {
	if r.newestCatalog != nil && c.Version <= r.newestCatalog.Version {
		return
	}
	r.newestCatalog = c
	r.advanceEpoch()
	r.pendingCatalogs = append(r.pendingCatalogs, pendingCatalog{catalog: c, learnedAt: now})
	r.activateCatalogs(now)
}

// activateCatalogs lets new flows use the newest document whose activation delay is over.
func (r *Router) activateCatalogs(now time.Duration) {
	activated := 0
	for _, p := range r.pendingCatalogs {
		if r.activeCatalog != nil && now-p.learnedAt < r.cfg.ActivationDelay {
			break
		}
		r.activeCatalog = p.catalog
		r.advanceEpoch()
		activated++
	}
	r.pendingCatalogs = r.pendingCatalogs[activated:]
	if r.replication.watermark == 0 && r.activeCatalog != nil {
		r.replication.watermark = r.activeCatalog.Version
	}
}

// NewestCatalog returns the newest document known, or nil.
func (r *Router) NewestCatalog() *compiler.Catalog { return r.newestCatalog }

// ActiveCatalog returns the document that new flows use, or nil.
func (r *Router) ActiveCatalog() *compiler.Catalog { return r.activeCatalog }

// Counts returns the totals of decisions since the process started.
func (r *Router) Counts() Counts { return r.counts }

// FlowCount returns the number of flows in the table: cached ones, owned ones and replicas.
func (r *Router) FlowCount() int { return len(r.flows.index) }

// TakeAnswers returns the queued answers, keyed by the balancer to send them to, and empties the
// queue.
func (r *Router) TakeAnswers() map[rattanwood.VMID][]FlowUpstream {
	if len(r.unsentAnswers) == 0 {
		return nil
	}
	out := r.unsentAnswers
	r.unsentAnswers = map[rattanwood.VMID][]FlowUpstream{}
	return out
}

// ownerAndSuccessor returns the first-ranked live member, which owns the flow, and the first-ranked
// one besides this balancer, which is the successor if this balancer is the owner.
func (r *Router) ownerAndSuccessor(flow rattanwood.FlowID) (owner, successor rattanwood.VMID) {
	var ownerScore, successorScore uint64
	for i := range r.view.Live {
		n := &r.view.Live[i]
		s := ranker.Score(uint64(flow), n.Seed)
		if owner == "" || s > ownerScore {
			ownerScore, owner = s, n.VM
		}
		if n.VM != r.cfg.Self && (successor == "" || s > successorScore) {
			successorScore, successor = s, n.VM
		}
	}
	return owner, successor
}

// nextLowerRank returns the live member that ranks next after this balancer.
func (r *Router) nextLowerRank(flow rattanwood.FlowID) rattanwood.VMID {
	vm, _ := highestRanked(flow, r.view.Live, r.ownScore(flow), r.cfg.Self)
	return vm
}

// ownScore returns this balancer's rendezvous score for a flow.
func (r *Router) ownScore(flow rattanwood.FlowID) uint64 {
	return ranker.Score(uint64(flow), Seed(r.cfg.Self))
}

// outranks reports whether vm ranks above other for a flow; it is false if vm is empty or this
// balancer.
func (r *Router) outranks(flow rattanwood.FlowID, vm, other rattanwood.VMID) bool {
	if vm == "" || vm == r.cfg.Self || vm == other {
		return false
	}
	return ranker.Score(uint64(flow), Seed(vm)) > ranker.Score(uint64(flow), Seed(other))
}

// nextToAsk returns the member to ask next for a flow: the first-ranked live or draining one with a
// score below limit, besides this balancer and the owner.
func (r *Router) nextToAsk(flow rattanwood.FlowID, limit uint64, owner rattanwood.VMID) rattanwood.VMID {
	live, liveScore := highestRanked(flow, r.view.Live, limit, owner)
	if live == r.cfg.Self {
		live, liveScore = highestRanked(flow, r.view.Live, liveScore, owner)
	}
	draining, drainingScore := highestRanked(flow, r.view.Draining, limit, owner)
	if draining != "" && drainingScore > liveScore {
		return draining
	}
	return live
}

// highestRanked returns the node with the highest score below limit for a flow, and that score. The
// VM except is left out.
func highestRanked(flow rattanwood.FlowID, nodes []Node, limit uint64, except rattanwood.VMID) (vm rattanwood.VMID, score uint64) {
	for i := range nodes {
		s := ranker.Score(uint64(flow), nodes[i].Seed)
		if s < limit && s > score && nodes[i].VM != except {
			vm, score = nodes[i].VM, s
		}
	}
	return vm, score
}

// formerOwner returns the first-ranked possible owner that ranks above all live members, which most
// likely owned the flow before; its VM is empty if there is none. While this balancer is warming
// up it doesn't count as live, since it can't have owned the flow.
func (r *Router) formerOwner(flow rattanwood.FlowID) Node {
	except := rattanwood.VMID("")
	if r.view.WarmingUp {
		except = r.cfg.Self
	}
	_, highest := highestRanked(flow, r.view.Live, math.MaxUint64, except)
	var owner Node
	for _, n := range r.view.PossibleOwners {
		if s := ranker.Score(uint64(flow), n.Seed); s > highest {
			highest, owner = s, n
		}
	}
	return owner
}
