// Package tagger keeps flows on their upstreams by a tag that the packets carry.
//
// The balancer that takes a flow's first packet chooses an upstream and writes its ID into the
// packet. Both ends send the last tag that they received with all further packets, so that any
// balancer forwards them without a flow table (stateless load balancing with a cookie, as in
// Cheetah; Barbette et al., NSDI 2020). A short-lived table of recent flows serves only
// retransmissions of first packets, evidence of dead upstreams, and early resets to Callers.
// Package prober decides which upstreams are dead, and package placer which one a new flow goes to.
package tagger

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/allocator"
	"example.org/rattanwood/confiner"
	"example.org/rattanwood/evacuator"
	"example.org/rattanwood/placer"
	"example.org/rattanwood/prober"
	"example.org/rattanwood/rotator"
	"example.org/rattanwood/warmer"
)

// Action says what to do with a packet.
type Action uint8

const (
	// Drop discards the packet without an answer; its sender retransmits it.
	Drop Action = iota
	// Forward sends the packet to an upstream.
	Forward
	// Reset tells the Caller that the flow can't continue.
	Reset
	// Ask keeps the packet until another balancer has answered, which counts the new flows of a cold upstream or the
	// requests under way on a group of upstreams.
	Ask
	// Hold keeps the packet until the other balancers are known.
	Hold
)

// String returns the name of the action.
func (a Action) String() string { return [...]string{"drop", "forward", "reset", "ask", "hold"}[a] }

// Reason is the cause of a decision.
type Reason uint8

const (
	// Tagged packets go to the upstream that their tag names.
	Tagged Reason = iota
	// Placed packets open a flow; an upstream was chosen for it.
	Placed
	// Retransmitted packets are retransmissions of a first packet and go to the upstream chosen for it.
	Retransmitted
	// Reassigned packets are first packets that go to another upstream, since the one chosen before
	// hasn't answered or is in a data centre that has been evacuated.
	Reassigned
	// NoRoute means that the packet's address has no route.
	NoRoute
	// NoUpstream means that the service has no upstream that may take the flow.
	NoUpstream
	// Confined means that the service has upstreams, but none in a region that may serve the route.
	Confined
	// UnknownTag means that the tag belongs to no upstream that is known here.
	UnknownTag
	// UpstreamDead means that the upstream is proved not to answer, or its address belongs to
	// another one by now.
	UpstreamDead
	// Untagged packets are not the first of a flow and carry no tag.
	Untagged
	// InvalidFlags means that the packet has flags that no Caller sends.
	InvalidFlags
	// Stale means that nothing can be decided, since the replica of routes and upstreams may be out
	// of date.
	Stale
	// Overloaded means that the service has no room for the flow.
	Overloaded
	// Resuming means that the packet is a flow's first and may have waited here during a pause,
	// while its retransmissions went to other balancers.
	Resuming
	// Evacuated means that the upstreams that could take the flow are in evacuated data centres.
	Evacuated
	// Limited means that the upstreams that could take the flow are cold and may get none now.
	Limited
	// Kept packets carry the tag of an upstream that got their flow's first packet as well, and go to the one where the
	// flow is open.
	Kept
	// Expired packets are first packets that waited so long that their Callers have repeated them by now, or soon will.
	Expired
	// Unlocated packets are copies of first packets of which it isn't known whether an earlier copy went to an upstream.
	Unlocated
	reasonCount
)

// String returns the name of the reason.
func (r Reason) String() string {
	return [...]string{
		"tagged", "placed", "repeated", "moved", "unbound", "empty", "confined", "unknown", "dead", "untagged", "forged", "stale", "overloaded", "waking", "evacuated", "limited", "kept", "late", "unlocated",
	}[r]
}

// Verdict is the decision on a packet.
type Verdict struct {
	Action Action
	Reason Reason
	// Instance and Address are those of the upstream. They are set for Forward only.
	Instance rattanwood.InstanceID
	Address  netip.AddrPort
	// Refusal is set for the reason Overloaded only.
	Refusal *Refusal
	// Peer is the balancer that is asked for Request, unless that names several. Both are set for Ask only.
	Peer    rattanwood.VMID
	Request *Request
	// Search tells what the trackers of the flow answered. It is set if they were asked before the decision.
	Search *Search
}

// OutgoingPacket is a packet that the balancer sends on its own initiative, not in response to an
// arriving packet.
type OutgoingPacket struct {
	Verdict
	Segment rattanwood.Segment
	// Packet holds the bytes to send; it is set for Forward, Ask and Hold only.
	Packet []byte
}

// Config holds the settings of a Tagger.
type Config struct {
	DataCentre rattanwood.DataCentre
	// MaxConfirmationAge is how long ago the replica may have last been known to be current for
	// flows to be reset because of a missing route or an unknown tag. With an older replica such
	// packets are dropped, since the route or the upstream may be new.
	MaxConfirmationAge time.Duration
	// MaxConfirmationDelay bounds the time that a confirmation takes from the source to this balancer, which its age
	// doesn't include.
	MaxConfirmationDelay time.Duration
	// ReregistrationTime is how long an upstream that disappeared from the source may take to
	// register again.
	ReregistrationTime time.Duration
	// UnknownTagTime is how long a tag must have been unknown before its flows are reset.
	UnknownTagTime time.Duration
	// UpstreamRetentionTime is how long the address of an upstream that disappeared from the source
	// is kept for its flows.
	UpstreamRetentionTime time.Duration
	// PauseThreshold is the time without a Tick after which this process counts as having been
	// paused. ResumeTime is how long after the pause packets that waited during it may still be
	// read.
	PauseThreshold, ResumeTime time.Duration
	// MaxWaitingPackets bounds the packets that may have waited during a pause, so that a balancer that always finds
	// some to read goes on to place flows.
	MaxWaitingPackets int
	// FlowRetentionTime is how long a flow is remembered after its last packet.
	FlowRetentionTime time.Duration
	// MaxRecentFlows bounds the number of remembered flows, of undecided flows, and of unknown tags.
	MaxRecentFlows int
	Random         *rand.Rand
	Placer         *placer.Placer
	Prober         *prober.Prober
	// Rotator hears which new flows can't be served; nil means that nobody does.
	Rotator *rotator.Rotator
	// Evacuator knows the evacuated data centres.
	Evacuator *evacuator.Evacuator
	// Confiner tells which data centres may serve a route that has homes.
	Confiner confiner.Confiner
	// Admission decides which new flows are let in; nil lets in all.
	Admission Admission
	// Allocation places flows by counts of requests under way while a service is busy; nil turns that off.
	Allocation *AllocationConfig
	// Trackers returns the other balancers that know where a flow with an id went if it isn't open. It reports false while
	// it can't tell them, since this balancer has just started. Nil means that there are none.
	Trackers func(flow uint64) (trackers []rattanwood.VMID, known bool)
	// AskedTrackers returns those of them to ask for a flow that another balancer may have placed; nil stands for all.
	AskedTrackers func(flow uint64) []rattanwood.VMID
	// Warmer limits the new flows of cold upstreams whose service states a rate; nil means no limit.
	Warmer *warmer.Warmer
}

// DefaultConfig returns the settings that the daemon uses.
func DefaultConfig() Config {
	return Config{
		MaxConfirmationAge: 2 * time.Second,
		// The difference between UnknownTagTime and MaxConfirmationAge.
		MaxConfirmationDelay: time.Second,
		// Upstreams register again within about two seconds after the source is back.
		ReregistrationTime: 2500 * time.Millisecond,
		UnknownTagTime:     3 * time.Second,
		// The longest duration of a flow at users' sites.
		UpstreamRetentionTime: 60 * time.Second,
		// Callers retransmit a first packet after 200 ms, so one that waited longer has been
		// retransmitted, possibly to another balancer.
		PauseThreshold: 200 * time.Millisecond,
		// Far shorter than the time to the next retransmission. MarkRead prolongs it while packets wait.
		ResumeTime: 50 * time.Millisecond,
		// The longest time that a flow may be idle at users' sites.
		FlowRetentionTime: 15 * time.Second,
		MaxRecentFlows:    20_000,
	}
}

// slowStartCapacityRatio is the fraction of an upstream's slots that count as its capacity while it
// reports that it is warming up.
const slowStartCapacityRatio = 0.6

// upstream is an upstream that is registered or was until lately.
type upstream struct {
	rattanwood.Registration
	id rattanwood.UpstreamID
	// warmUntil is when the upstream has warmed up, or zero if it was never cold. restartAssumed is set if that rests on a
	// restart which the source hasn't told of.
	warmUntil      time.Duration
	restartAssumed bool
	// removedAt is when the registration was removed, if the upstream isn't registered.
	removedAt  time.Duration
	registered bool
	// lastUsed is when a packet was last forwarded to it; everUsed is true if there was one.
	lastUsed time.Duration
	everUsed bool
	// silentAt is when the upstream was found not to answer a first packet, or zero if it has answered one since.
	silentAt time.Duration
	// answeredPlacedAt is the latest placedAt of the flows whose first packet the upstream has answered.
	answeredPlacedAt time.Duration
}

// silenceTime is how long an upstream that didn't answer a first packet gets no new flows at most. It ends earlier when
// it answers another one or passes a check.
const silenceTime = 5 * time.Second

// isSilent reports whether an upstream has lately failed to answer a first packet.
func (t *Tagger) isSilent(now time.Duration, u *upstream) bool {
	return u.silentAt != 0 && now-u.silentAt < silenceTime && !t.cfg.Prober.PassedSince(u.id, u.silentAt)
}

func (u *upstream) capacity(now time.Duration) float64 {
	if now < u.warmUntil {
		return float64(u.Slots) * slowStartCapacityRatio
	}
	return float64(u.Slots)
}

// Tagger holds routes, upstreams and recent flows. It isn't safe for concurrent use.
type Tagger struct {
	cfg         Config
	version     rattanwood.Version
	healthPaths map[rattanwood.ServiceID]string
	routes      map[netip.AddrPort]*rattanwood.Route
	// limits holds what operators state about the upstreams of each service.
	limits map[rattanwood.ServiceID]rattanwood.ServiceLimits
	// statesRates is set if limits state a rate for cold upstreams of any service.
	statesRates bool
	upstreams   map[rattanwood.UpstreamID]*upstream
	services    map[rattanwood.ServiceID][]*upstream
	// servicesOutdated is true while services doesn't reflect the current upstreams.
	servicesOutdated bool
	recentFlows      map[flowKey]*recentFlow
	// answeredPlacedAt is the latest placedAt of the flows whose upstreams have answered the first packet, by the
	// Callers' network.
	answeredPlacedAt map[netip.Prefix]time.Duration
	// pendingRequests are the recent flows whose last request hasn't been assessed yet.
	pendingRequests map[flowKey]*recentFlow
	// averages are those of the requests by route.
	averages map[netip.AddrPort]*routeAverages
	// failures are the failed requests that CollectFailures hasn't returned yet.
	failures []Failure
	// unknownTags holds for each tag of no known upstream when it was first seen.
	unknownTags map[rattanwood.UpstreamID]time.Duration
	// undecided holds the flows that may be younger than what is known here.
	undecided     map[flowKey]sighting
	confirmedAt   time.Duration
	everConfirmed bool
	// lastTick is the time of the last Tick, and resumedAt the end of the last pause.
	lastTick, resumedAt time.Duration
	// waitingPackets counts the packets since then that MarkRead took for ones that had waited.
	waitingPackets int
	counts         Counts
	// slots are those that the admission was told, at slotsUpdatedAt; slotsOutdated is set by changes since.
	slots          map[rattanwood.ServiceID]float64
	slotsUpdatedAt time.Duration
	slotsOutdated  bool
	admissions     map[AdmissionOutcome]uint64
	asks           AskCounts
	// waiting are the flows whose first packets wait for the answers of other balancers.
	// They are also in asked, by the serial of the last request, which is askSerial for the newest.
	waiting   map[flowKey]*waitingFlow
	asked     map[uint32]*waitingFlow
	askSerial uint32
	// sought are those of them whose trackers were asked.
	sought map[allocator.FlowID]*waitingFlow
	// placements are where flows went lately, and openings those of them that were placed here and whose trackers
	// haven't been told yet, oldest first.
	placements map[allocator.FlowID]placement
	openings   []openingFlow
	// trackingSince is since when the trackers of flows are known, and this balancer to them; zero if they aren't.
	trackingSince time.Duration
	// turnoverAt is when a balancer of the own data centre last came or went, or this one ran late; zero for never.
	turnoverAt time.Duration
	// trusted holds what is known of balancers that ask or are asked.
	trusted map[rattanwood.VMID]*trust
	// answersDue is when one of them is to get a tally that it is owed; zero for none.
	answersDue time.Duration
	// pressures are what balancers told of the room for flows that they were asked for.
	pressures map[pressureKey]timedPressure
	// tallies are the news of requests that TakeTallies hasn't returned yet, since tallySince or zero.
	tallies    map[rattanwood.VMID]*Tally
	tallySince time.Duration
}

// Counts holds the number of packets by action and reason.
type Counts [Hold + 1][reasonCount]uint64

// New returns a tagger without routes and upstreams.
func New(cfg Config) *Tagger {
	if cfg.Rotator == nil {
		cfg.Rotator = rotator.New()
	}
	if cfg.Evacuator == nil {
		cfg.Evacuator = evacuator.New()
	}
	return &Tagger{
		cfg:             cfg,
		routes:          map[netip.AddrPort]*rattanwood.Route{},
		upstreams:       map[rattanwood.UpstreamID]*upstream{},
		services:        map[rattanwood.ServiceID][]*upstream{},
		recentFlows:     map[flowKey]*recentFlow{},
		pendingRequests: map[flowKey]*recentFlow{},
		averages:        map[netip.AddrPort]*routeAverages{},
		unknownTags:     map[rattanwood.UpstreamID]time.Duration{},
		undecided:       map[flowKey]sighting{},

		waiting:    map[flowKey]*waitingFlow{},
		asked:      map[uint32]*waitingFlow{},
		sought:     map[allocator.FlowID]*waitingFlow{},
		placements: map[allocator.FlowID]placement{},
		// Answers to an earlier process on this VM find no request.
		askSerial:        cfg.Random.Uint32(),
		answeredPlacedAt: map[netip.Prefix]time.Duration{},
		admissions:       map[AdmissionOutcome]uint64{},
		trusted:          map[rattanwood.VMID]*trust{},
		pressures:        map[pressureKey]timedPressure{},
		tallies:          map[rattanwood.VMID]*Tally{},
	}
}

// Confirm records that routes and upstreams matched the source at the given time.
func (t *Tagger) Confirm(at time.Duration) {
	if !t.everConfirmed || at > t.confirmedAt {
		t.confirmedAt, t.everConfirmed = at, true
	}
}

// isCurrent reports whether the source was read so lately that what isn't known here can be taken
// not to exist.
func (t *Tagger) isCurrent(now time.Duration) bool {
	return t.everConfirmed && now-t.confirmedAt <= t.cfg.MaxConfirmationAge
}

// Version returns the version of the active routes.
func (t *Tagger) Version() rattanwood.Version { return t.version }

// SetRouting activates routes if they are newer than the active ones, or if none are active, and
// reports whether it did.
func (t *Tagger) SetRouting(r *rattanwood.Routing) bool {
	if r.Version <= t.version && len(t.routes) > 0 {
		return false
	}
	t.version, t.healthPaths, t.limits = r.Version, r.HealthPaths, r.Services
	t.statesRates = false
	for _, l := range r.Services {
		t.statesRates = t.statesRates || l.WarmupRate > 0
	}
	t.routes = make(map[netip.AddrPort]*rattanwood.Route, len(r.Routes))
	for i := range r.Routes {
		t.routes[r.Routes[i].Address] = &r.Routes[i]
	}
	t.removeUnroutedAverages()
	t.slotsOutdated = true
	return true
}

// HealthPath returns the path of a service's health check, or an empty string if it has none.
func (t *Tagger) HealthPath(service rattanwood.ServiceID) string { return t.healthPaths[service] }

// RegistrationResult is the effect of a registration.
type RegistrationResult uint8

const (
	// RegistrationChanged means that the upstream is new, or changed in more than its warm-up time.
	RegistrationChanged RegistrationResult = iota
	// RegistrationUnchanged means that at most the remaining warm-up time changed.
	RegistrationUnchanged
	// RegistrationConflict means that the registration was ignored, since another upstream has the
	// same tag.
	RegistrationConflict
)

// SetRegistration adds or updates a registered upstream.
func (t *Tagger) SetRegistration(now time.Duration, r rattanwood.Registration) RegistrationResult {
	id := r.Instance.Upstream()
	u := t.upstreams[id]
	if u != nil && u.registered && u.Instance != r.Instance {
		return RegistrationConflict
	}
	result := RegistrationChanged
	if u != nil && u.registered {
		previous := u.Registration
		previous.RemainingWarmup = r.RemainingWarmup
		if previous == r {
			result = RegistrationUnchanged
		}
	}
	if u == nil || u.Address != r.Address || u.StartTime != r.StartTime || !u.registered {
		t.cfg.Prober.Add(now, id)
	}
	if u == nil {
		u = &upstream{id: id}
		t.upstreams[id] = u
	}
	if u.StartTime != r.StartTime || r.RemainingWarmup > 0 {
		u.restartAssumed = false
	}
	if u.Service != r.Service {
		t.servicesOutdated = true
	}
	u.Registration, u.registered = r, true
	if !u.restartAssumed && (r.RemainingWarmup > 0 || u.warmUntil > now) {
		u.warmUntil = now + r.RemainingWarmup
	}
	t.slotsOutdated = t.slotsOutdated || result == RegistrationChanged
	delete(t.unknownTags, id)
	return result
}

// RemoveRegistration records that an upstream is no longer registered.
func (t *Tagger) RemoveRegistration(now time.Duration, instance rattanwood.InstanceID) {
	u := t.upstreams[instance.Upstream()]
	if u == nil || !u.registered || u.Instance != instance {
		return
	}
	u.registered, u.removedAt = false, now
	t.slotsOutdated = true
}

// upstreamsOf returns the upstreams of a service in the order of their IDs. It rebuilds the index
// on the first call after a change, so that a listing of all upstreams sorts it only once.
func (t *Tagger) upstreamsOf(service rattanwood.ServiceID) []*upstream {
	if t.servicesOutdated {
		t.rebuildServices()
	}
	return t.services[service]
}

func (t *Tagger) rebuildServices() {
	t.servicesOutdated = false
	clear(t.services)
	for _, u := range t.upstreams {
		t.services[u.Service] = append(t.services[u.Service], u)
	}
	for _, pool := range t.services {
		slices.SortFunc(pool, func(a, b *upstream) int { return cmp.Compare(a.id, b.id) })
	}
}

// addressReused reports whether the address of an upstream that is no longer registered now belongs
// to another one.
func (t *Tagger) addressReused(u *upstream) bool {
	for _, other := range t.upstreams {
		if other.registered && other.id != u.id && other.Address == u.Address {
			return true
		}
	}
	return false
}

// RemoveExpired drops upstreams, unknown tags and recent flows whose retention time is over.
func (t *Tagger) RemoveExpired(now time.Duration) {
	for id, u := range t.upstreams {
		if !u.registered && now-u.removedAt > t.cfg.UpstreamRetentionTime {
			delete(t.upstreams, id)
			t.cfg.Prober.Remove(id)
			t.servicesOutdated = true
		}
	}
	for id, since := range t.unknownTags {
		if now-since > t.cfg.UpstreamRetentionTime {
			delete(t.unknownTags, id)
		}
	}
	maps.DeleteFunc(t.trusted, func(_ rattanwood.VMID, w *trust) bool { return w.isIdle(now) })
	maps.DeleteFunc(t.pressures, func(_ pressureKey, p timedPressure) bool { return now-p.at > allocator.PressureTTL })
	t.removeExpiredFlows(now)
}

// Upstream returns an upstream's last registration, whether it is still registered, and whether the
// upstream is known.
func (t *Tagger) Upstream(id rattanwood.UpstreamID) (r rattanwood.Registration, registered, ok bool) {
	u := t.upstreams[id]
	if u == nil {
		return rattanwood.Registration{}, false, false
	}
	return u.Registration, u.registered, true
}

// UsedLately reports whether a packet was forwarded to an upstream within the time for which flows are
// remembered.
func (t *Tagger) UsedLately(now time.Duration, id rattanwood.UpstreamID) bool {
	u := t.upstreams[id]
	return u != nil && u.everUsed && now-u.lastUsed <= t.cfg.FlowRetentionTime
}

// Counts returns the number of packets by action and reason.
func (t *Tagger) Counts() *Counts { return &t.counts }
