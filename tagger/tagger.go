// Package tagger keeps flows on their upstreams by a tag that the packets carry.
//
// The balancer that takes a flow's first packet chooses an upstream and writes its id
// into the packet. Both ends send the last tag that they got with all further packets, so that
// any balancer forwards them without a table of flows (stateless load balancing with a cookie, as in
// Cheetah; Barbette et al., NSDI 2020). A short memory of recent flows only serves
// copies of first packets, evidence of dead upstreams, and telling Callers early.
package tagger

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/placer"
	"example.org/rattanwood/prober"
)

// Action says what to do with a packet.
type Action uint8

// The actions.
const (
	// Drop leaves the packet without an answer; its sender repeats it.
	Drop Action = iota
	// Forward sends the packet to an upstream.
	Forward
	// Reset tells the Caller that the flow can't go on.
	Reset
)

// String returns the name of the action.
func (a Action) String() string { return [...]string{"drop", "forward", "reset"}[a] }

// Reason says why.
type Reason uint8

// The reasons.
const (
	// Tagged packets go where their tag says.
	Tagged Reason = iota
	// Placed flows begin here.
	Placed
	// Repeated first packets go where the first one went.
	Repeated
	// Moved first packets leave an upstream that doesn't answer.
	Moved
	// NoRoute addresses have no route.
	NoRoute
	// NoUpstream services have no upstream.
	NoUpstream
	// UnknownTag tags name no upstream that is known here.
	UnknownTag
	// UpstreamDead upstreams are proved not to answer.
	UpstreamDead
	// Untagged packets are not a flow's first and carry no tag.
	Untagged
	// InvalidFlags packets have flags that no Caller sends.
	InvalidFlags
	// Stale is for what can't be decided, since the own knowledge may be out of date.
	Stale
	// Resuming is for first packets that may have waited here while copies of them went elsewhere.
	Resuming
	reasons
)

// String returns the name of the reason.
func (r Reason) String() string {
	return [...]string{
		"tagged", "placed", "repeated", "moved", "unbound", "empty", "unknown", "dead", "untagged", "forged", "stale", "waking",
	}[r]
}

// Verdict is the decision on a packet.
type Verdict struct {
	Action Action
	Reason Reason
	// Instance and Address are those of the upstream, set for Forward.
	Instance rattanwood.InstanceID
	Address  netip.AddrPort
}

// OutgoingPacket is a packet that is sent without one having arrived.
type OutgoingPacket struct {
	Verdict
	Segment rattanwood.Segment
	// Packet is set for Forward.
	Packet []byte
}

// Config builds a Tagger.
type Config struct {
	DataCentre rattanwood.DataCentre
	// MaxConfirmationAge is the age of the last confirmation up to which this balancer says no for good:
	// an unbound address or an unknown tag may be news that it hasn't got yet.
	MaxConfirmationAge time.Duration
	// ReregistrationTime is how long an upstream that has vanished from the registry may take to be back.
	ReregistrationTime time.Duration
	// UnknownTagTime is how long a tag must have been unknown before its flows are reset.
	UnknownTagTime time.Duration
	// UpstreamRetentionTime is how long a vanished upstream's address is kept for its flows.
	UpstreamRetentionTime time.Duration
	// PauseThreshold is the time without a Tick after which this process was paused, and ResumeTime how long
	// packets that waited meanwhile may still come.
	PauseThreshold, ResumeTime time.Duration
	// FlowRetentionTime is how long a flow is remembered after its last packet.
	FlowRetentionTime time.Duration
	// MaxRecentFlows bounds the remembered flows.
	MaxRecentFlows int
	Random         *rand.Rand
	Placer         *placer.Placer
	Prober         *prober.Prober
}

// DefaultConfig returns the times that the daemon uses.
func DefaultConfig() Config {
	return Config{
		MaxConfirmationAge: 2 * time.Second,
		// Upstreams register again within about two seconds of the source's return.
		ReregistrationTime: 2500 * time.Millisecond,
		UnknownTagTime:     3 * time.Second,
		// The longest life of a flow on the users' sites.
		UpstreamRetentionTime: 60 * time.Second,
		// Callers repeat a first packet after 200 ms, so that what waited longer has a copy elsewhere.
		PauseThreshold: 200 * time.Millisecond,
		// The time to read a full socket buffer, and far less than until the next copy.
		ResumeTime: 50 * time.Millisecond,
		// As long as an idle flow may live on the users' sites.
		FlowRetentionTime: 15 * time.Second,
		MaxRecentFlows:    20_000,
	}
}

// coldCapacity is the part of its slots that an upstream is given work for while it warms up.
const coldCapacity = 0.6

type upstream struct {
	rattanwood.Registration
	id   rattanwood.UpstreamID
	warm time.Duration
	// vanished is when the registration was removed; present upstreams have none.
	vanished time.Duration
	present  bool
}

func (u *upstream) capacity(now time.Duration) float64 {
	if now < u.warm {
		return float64(u.Slots) * coldCapacity
	}
	return float64(u.Slots)
}

// Tagger holds routes, upstreams and recent flows. It isn't safe for concurrent use.
type Tagger struct {
	cfg       Config
	version   rattanwood.Version
	health    map[rattanwood.ServiceID]string
	routes    map[netip.AddrPort]*rattanwood.Route
	upstreams map[rattanwood.UpstreamID]*upstream
	services  map[rattanwood.ServiceID][]*upstream
	// unsorted is set when services no longer shows the upstreams.
	unsorted bool
	recent   map[flowKey]*recentFlow
	// pending are the recent flows whose last request is still to be judged.
	pending map[flowKey]*recentFlow
	// sizes are those of the answers by route, and failures the requests that failed since Judge returned them.
	sizes     map[netip.AddrPort]*sizes
	failures  []Failure
	unknown   map[rattanwood.UpstreamID]time.Duration
	confirmed time.Duration
	sure      bool
	// ticked is the time of the last Tick, and woke that of the end of the last pause.
	ticked, woke time.Duration
	counts       Counts
}

// Counts are the packets by decision.
type Counts [Reset + 1][reasons]uint64

// New returns a tagger without routes and upstreams.
func New(cfg Config) *Tagger {
	return &Tagger{
		cfg:       cfg,
		routes:    map[netip.AddrPort]*rattanwood.Route{},
		upstreams: map[rattanwood.UpstreamID]*upstream{},
		services:  map[rattanwood.ServiceID][]*upstream{},
		recent:    map[flowKey]*recentFlow{},
		pending:   map[flowKey]*recentFlow{},
		sizes:     map[netip.AddrPort]*sizes{},
		unknown:   map[rattanwood.UpstreamID]time.Duration{},
	}
}

// Confirm records that routes and upstreams were those of the source at a time.
func (t *Tagger) Confirm(at time.Duration) {
	if !t.sure || at > t.confirmed {
		t.confirmed, t.sure = at, true
	}
}

// fresh reports whether what isn't known here can be taken not to exist.
func (t *Tagger) fresh(now time.Duration) bool {
	return t.sure && now-t.confirmed <= t.cfg.MaxConfirmationAge
}

// Version returns the version of the routes in force.
func (t *Tagger) Version() rattanwood.Version { return t.version }

// SetRouting puts routes in force and reports whether they are newer than those that were.
func (t *Tagger) SetRouting(r *rattanwood.Routing) bool {
	if r.Version <= t.version && len(t.routes) > 0 {
		return false
	}
	t.version, t.health = r.Version, r.HealthPaths
	t.routes = make(map[netip.AddrPort]*rattanwood.Route, len(r.Routes))
	for i := range r.Routes {
		t.routes[r.Routes[i].Address] = &r.Routes[i]
	}
	t.forgetSizes()
	return true
}

// HealthPath returns where the upstreams of a service answer questions about themselves; empty for nowhere.
func (t *Tagger) HealthPath(service rattanwood.ServiceID) string { return t.health[service] }

// RegistrationResult is what became of a registration.
type RegistrationResult uint8

// The acceptances.
const (
	// RegistrationChanged says something new of an upstream.
	RegistrationChanged RegistrationResult = iota
	// RegistrationUnchanged says nothing new but how long the upstream is slow.
	RegistrationUnchanged
	// RegistrationConflict can't be used, since another upstream has the same tag.
	RegistrationConflict
)

// SetRegistration takes in what an upstream says of itself.
func (t *Tagger) SetRegistration(now time.Duration, r rattanwood.Registration) RegistrationResult {
	id := r.Instance.Upstream()
	u := t.upstreams[id]
	if u != nil && u.present && u.Instance != r.Instance {
		return RegistrationConflict
	}
	accepted := RegistrationChanged
	if u != nil && u.present {
		was := u.Registration
		was.Warmup = r.Warmup
		if was == r {
			accepted = RegistrationUnchanged
		}
	}
	if u == nil || u.Address != r.Address || u.StartTime != r.StartTime || !u.present {
		t.cfg.Prober.Add(now, id)
	}
	if u == nil {
		u = &upstream{id: id}
		t.upstreams[id] = u
	}
	if u.Service != r.Service {
		t.unsorted = true
	}
	u.Registration, u.present, u.warm = r, true, now+r.Warmup
	delete(t.unknown, id)
	return accepted
}

// RemoveRegistration records that an upstream has vanished from the registry.
func (t *Tagger) RemoveRegistration(now time.Duration, in rattanwood.InstanceID) {
	u := t.upstreams[in.Upstream()]
	if u == nil || !u.present || u.Instance != in {
		return
	}
	u.present, u.vanished = false, now
}

// of returns the upstreams of a service in the order of their ids. They are sorted when they are first asked for after
// a change, so that a listing of all of them is sorted once.
func (t *Tagger) of(service rattanwood.ServiceID) []*upstream {
	if t.unsorted {
		t.sort()
	}
	return t.services[service]
}

func (t *Tagger) sort() {
	t.unsorted = false
	clear(t.services)
	for _, u := range t.upstreams {
		t.services[u.Service] = append(t.services[u.Service], u)
	}
	for _, pool := range t.services {
		slices.SortFunc(pool, func(a, b *upstream) int { return cmp.Compare(a.id, b.id) })
	}
}

// replaced reports whether a vanished upstream's address now belongs to another one.
func (t *Tagger) replaced(u *upstream) bool {
	for _, other := range t.upstreams {
		if other.present && other.id != u.id && other.Address == u.Address {
			return true
		}
	}
	return false
}

// Tick says that the process runs. It must be called more often than WakeGap.
func (t *Tagger) Tick(now time.Duration) {
	if t.ticked != 0 && now-t.ticked > t.cfg.PauseThreshold {
		t.woke = now
	}
	t.ticked = now
}

// MarkResumed says that packets may have waited until now.
func (t *Tagger) MarkResumed(now time.Duration) { t.woke = now }

// IsResuming reports whether a packet may have waited while this process was paused.
func (t *Tagger) IsResuming(now time.Duration) bool {
	if t.ticked != 0 && now-t.ticked > t.cfg.PauseThreshold {
		t.Tick(now)
	}
	return t.woke != 0 && now-t.woke < t.cfg.ResumeTime
}

// RemoveExpired forgets what is over.
func (t *Tagger) RemoveExpired(now time.Duration) {
	for id, u := range t.upstreams {
		if !u.present && now-u.vanished > t.cfg.UpstreamRetentionTime {
			delete(t.upstreams, id)
			t.cfg.Prober.Remove(id)
			t.unsorted = true
		}
	}
	for id, since := range t.unknown {
		if now-since > t.cfg.UpstreamRetentionTime {
			delete(t.unknown, id)
		}
	}
	t.sweep(now)
}

// Upstream returns an upstream's address, data centre, and whether it is registered.
func (t *Tagger) Upstream(id rattanwood.UpstreamID) (r rattanwood.Registration, present, ok bool) {
	u := t.upstreams[id]
	if u == nil {
		return rattanwood.Registration{}, false, false
	}
	return u.Registration, u.present, true
}

// Counts returns the packets by decision.
func (t *Tagger) Counts() *Counts { return &t.counts }
