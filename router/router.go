// Package router decides for each packet which upstream or which balancer gets it.
//
// A flow's upstream is derived from its id wherever every retained version of
// the upstream set agrees. All other flows are known to their home, the
// first-ranked live balancer, which places them and tells those who ask. What
// no version derives is replicated to the next rank.
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

// PacketKind says why a packet was relayed.
type PacketKind uint8

// The kinds.
const (
	// KindPlain packets come from the fabric.
	KindPlain PacketKind = iota
	// KindFirst packets open a flow at its home.
	KindFirst
	// KindRefresh packets refresh a flow at its home.
	KindRefresh
	// KindAsk packets want their origin to be told the upstream.
	KindAsk
	// KindLookup packets ask a lower rank for a flow that the home doesn't know.
	KindLookup
	// KindReturned packets come back to the home from a rank that didn't know either.
	KindReturned
	// KindPlace packets open a flow that their home leaves to a lower rank.
	KindPlace
	kinds
)

// String returns the label of the kind in metrics.
func (k PacketKind) String() string {
	return [...]string{"plain", "first", "note", "ask", "deep", "returned", "place", "invalid"}[min(k, kinds)]
}

// NumPacketKinds is the number of kinds.
const NumPacketKinds = kinds

// Packet is what a decision needs to know of a packet.
type Packet struct {
	Flow    rattanwood.FlowID
	Address netip.AddrPort
	// Opens is set for a TCP SYN.
	Opens bool
	// Closes is set for a TCP FIN or RST.
	Closes bool
	// Stateless is set when first packets can't be told from later ones, as in UDP.
	Stateless bool
	Kind      PacketKind
	Hops      uint8
	// From is the balancer that relayed the packet; empty for the fabric.
	From rattanwood.VMID
	// Origin is the balancer that got the packet from the fabric.
	Origin rattanwood.VMID
	// Owner is the balancer that sent a Deep or Place packet.
	Owner rattanwood.VMID
	// Hint is the upstream that the origin remembers, zero for none.
	Hint rattanwood.UpstreamID
}

// Action is what to do with a packet.
type Action uint8

// The actions.
const (
	Drop Action = iota
	Forward
	Relay
)

// DropReason says why a packet was dropped.
type DropReason uint8

// The reasons.
const (
	ReasonNone DropReason = iota
	// ReasonUnbound packets are for an address without a service.
	ReasonUnbound
	// ReasonResuming means that the process was paused and hasn't heard from a peer since.
	ReasonResuming
	// ReasonReused means that a closed flow's ports came back before all balancers forgot it.
	ReasonReused
	// ReasonNoUpstream means that the service has no upstream.
	ReasonNoUpstream
	// ReasonOwnerSuspect means that only a home that may come back knows the flow.
	ReasonOwnerSuspect
	reasons
)

// String returns the label of the reason in metrics.
func (r DropReason) String() string {
	return [...]string{"none", "unbound", "waking", "reused", "empty", "suspected"}[r]
}

// NumDropReasons is the number of reasons.
const NumDropReasons = reasons

// Verdict is the decision on a packet.
type Verdict struct {
	Action   Action
	Reason   DropReason
	Kind     PacketKind
	Upstream rattanwood.UpstreamID
	VM       rattanwood.VMID
	Owner    rattanwood.VMID
	Hint     rattanwood.UpstreamID
}

// Node is a member in the ranking.
type Node struct {
	VM   rattanwood.VMID
	Seed uint64
	// Suspect members are silent, but not yet believed dead.
	Suspect bool
}

// View is what the router sees of the members.
type View struct {
	// Live members can be home; this balancer is among them unless it is leaving.
	Live []Node
	// Draining members answer for the flows that they know, but take no new ones.
	Draining []Node
	// Former members were live before; those leaving are among them.
	Former []Node
	// LeaseExpiry is the time until which no member acts on news unknown here.
	LeaseExpiry time.Duration
	// WarmingUp balancers leave first packets to the rank below.
	WarmingUp bool
	// ShuttingDown is set while this balancer is leaving.
	ShuttingDown bool
	// Outdated is set while a member has a newer document.
	Outdated bool
	// Resuming balancers decide nothing.
	Resuming bool
}

// Config builds a Router.
type Config struct {
	Self rattanwood.VMID
	// ActivationDelay is the time between learning of a document and using it for new flows.
	ActivationDelay time.Duration
	// RefreshPeriod is the period in which a flow's home sees one of its packets.
	RefreshPeriod time.Duration
	// AnswerTTL is how long an answer of the home is relied on.
	AnswerTTL time.Duration
	// IdleTimeout is how long a home keeps a flow without packets.
	IdleTimeout time.Duration
	// ReplicationDelay is how long a flow lives before it is replicated.
	ReplicationDelay time.Duration
	// StaleAnswerTTL is how long an old answer is kept for the time when no home can be asked.
	StaleAnswerTTL time.Duration
	// RetryInterval is the time after which an unacknowledged batch is sent again.
	RetryInterval time.Duration
	// SweepPeriod is the time in which the whole table is looked through.
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

// Counts are totals since the process began.
type Counts struct {
	Known, Hashed, Placed, Diverted, Guessed uint64
	Relayed                                  [kinds]uint64
	Dropped                                  [reasons]uint64
}

// Router holds the flows and decides on packets.
type Router struct {
	cfg     Config
	view    View
	marks   *marker.HealthTable
	newest  *compiler.Catalog
	adopted *compiler.Catalog
	// pending are documents that wait for their hold time.
	pending []learned
	flows   table
	load    map[rattanwood.UpstreamID]int
	told    map[rattanwood.VMID][]Answer
	copies  replicas
	avoid   func(rattanwood.UpstreamID) bool
	counts  Counts
	// epoch counts the changes after which every flow has to be checked again.
	epoch uint8
}

type learned struct {
	catalog *compiler.Catalog
	at      time.Duration
}

// Answer tells the upstream of a flow.
type Answer struct {
	Flow     rattanwood.FlowID
	Upstream rattanwood.UpstreamID
}

// New returns a router without a document.
func New(cfg Config, marks *marker.HealthTable) *Router {
	r := &Router{
		cfg:    cfg,
		marks:  marks,
		flows:  newTable(),
		load:   map[rattanwood.UpstreamID]int{},
		told:   map[rattanwood.VMID][]Answer{},
		copies: newReplicas(),
		epoch:  1,
	}
	r.avoid = marks.RejectsNewFlows
	return r
}

// SetView replaces what the router sees of the members.
func (r *Router) SetView(v View) {
	if !slices.Equal(v.Live, r.view.Live) {
		r.nextEpoch()
	}
	r.view = v
}

// SetCatalog takes in a newer document; new flows use it after the hold time.
func (r *Router) SetCatalog(now time.Duration, c *compiler.Catalog) {
	if r.newest != nil && c.Version <= r.newest.Version {
		return
	}
	r.newest = c
	r.nextEpoch()
	r.pending = append(r.pending, learned{catalog: c, at: now})
	r.adopt(now)
}

// adopt makes the newest document whose hold time is over the one for new flows.
func (r *Router) adopt(now time.Duration) {
	done := 0
	for _, l := range r.pending {
		if r.adopted != nil && now-l.at < r.cfg.ActivationDelay {
			break
		}
		r.adopted = l.catalog
		r.nextEpoch()
		done++
	}
	r.pending = r.pending[done:]
	if r.copies.base == 0 && r.adopted != nil {
		r.copies.base = r.adopted.Version
	}
}

// NewestCatalog returns the newest document known, or nil.
func (r *Router) NewestCatalog() *compiler.Catalog { return r.newest }

// ActiveCatalog returns the document that new flows use, or nil.
func (r *Router) ActiveCatalog() *compiler.Catalog { return r.adopted }

// Counts returns the totals.
func (r *Router) Counts() Counts { return r.counts }

// FlowCount returns the number of flows held.
func (r *Router) FlowCount() int { return len(r.flows.index) }

// TakeAnswers returns the answers that wait to be sent and forgets them.
func (r *Router) TakeAnswers() map[rattanwood.VMID][]Answer {
	if len(r.told) == 0 {
		return nil
	}
	out := r.told
	r.told = map[rattanwood.VMID][]Answer{}
	return out
}

// rank returns the first-ranked live member and the first-ranked one that isn't this balancer.
func (r *Router) rank(flow rattanwood.FlowID) (first, other rattanwood.VMID) {
	var best, second uint64
	for i := range r.view.Live {
		n := &r.view.Live[i]
		s := ranker.Score(uint64(flow), n.Seed)
		if first == "" || s > best {
			best, first = s, n.VM
		}
		if n.VM != r.cfg.Self && (other == "" || s > second) {
			second, other = s, n.VM
		}
	}
	return first, other
}

// below returns the live member that ranks next after this balancer.
func (r *Router) below(flow rattanwood.FlowID) rattanwood.VMID {
	vm, _ := best(flow, r.view.Live, r.score(flow), r.cfg.Self)
	return vm
}

// score is the rank of this balancer for a flow.
func (r *Router) score(flow rattanwood.FlowID) uint64 {
	return ranker.Score(uint64(flow), Seed(r.cfg.Self))
}

// outranks reports whether a member other than this balancer ranks above another for a flow.
func (r *Router) outranks(flow rattanwood.FlowID, vm, other rattanwood.VMID) bool {
	if vm == "" || vm == r.cfg.Self || vm == other {
		return false
	}
	return ranker.Score(uint64(flow), Seed(vm)) > ranker.Score(uint64(flow), Seed(other))
}

// asked returns the member to ask next for a flow: the best of those that
// answer whose score is under limit, besides this balancer and the home.
func (r *Router) asked(flow rattanwood.FlowID, limit uint64, home rattanwood.VMID) rattanwood.VMID {
	live, liveScore := best(flow, r.view.Live, limit, home)
	if live == r.cfg.Self {
		live, liveScore = best(flow, r.view.Live, liveScore, home)
	}
	leaving, leavingScore := best(flow, r.view.Draining, limit, home)
	if leaving != "" && leavingScore > liveScore {
		return leaving
	}
	return live
}

// best returns the first-ranked node with a score under limit, besides one VM.
func best(flow rattanwood.FlowID, nodes []Node, limit uint64, besides rattanwood.VMID) (vm rattanwood.VMID, score uint64) {
	for i := range nodes {
		s := ranker.Score(uint64(flow), nodes[i].Seed)
		if s < limit && s > score && nodes[i].VM != besides {
			vm, score = nodes[i].VM, s
		}
	}
	return vm, score
}

// former returns the member that most likely was home before; its VM is empty if there is none.
func (r *Router) former(flow rattanwood.FlowID) Node {
	besides := rattanwood.VMID("")
	if r.view.WarmingUp {
		besides = r.cfg.Self
	}
	_, floor := best(flow, r.view.Live, math.MaxUint64, besides)
	var node Node
	for _, n := range r.view.Former {
		if s := ranker.Score(uint64(flow), n.Seed); s > floor {
			floor, node = s, n
		}
	}
	return node
}
