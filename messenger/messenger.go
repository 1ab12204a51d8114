// Package messenger is the state machine of the gossip between balancers about records, upstream
// loads and failing upstreams: datagrams go in, actions come out. It decides what a heartbeat
// carries, whom to fetch missing records from, and which balancer checks which upstream. Applying
// received payloads to the replica of the records is left to the calling code.
//
// A Messenger has no clock, socket or goroutine and isn't safe for concurrent use.
package messenger

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"example.org/rattanwood"
	"example.org/rattanwood/detector"
	"example.org/rattanwood/limiter"
	"example.org/rattanwood/ranker"
	"example.org/rattanwood/warmer"
	"example.org/rattanwood/watcher"
	"example.org/rattanwood/wire"
)

const (
	// headerBytes is the size of the IP and UDP headers around a datagram.
	headerBytes = 28
	// maxPushedBytes limits the records in a heartbeat; peers fetch those that don't fit.
	maxPushedBytes = 8 << 10
	// fetchRetryInterval is the time after which a fetch without result may be tried at another balancer.
	fetchRetryInterval = 300 * time.Millisecond
	// pullInterval is the time between two requests for a member list.
	pullInterval = time.Second
	// maxLoads limits the loads in a heartbeat. They take 430 bytes, so heartbeats to thirty neighbours
	// a second cost half of the budget.
	maxLoads = 48
	// namesSpreadInterval is the shortest time between two early rounds of heartbeats because members
	// became known. Four rounds suffice for a fleet of 300.
	namesSpreadInterval = 300 * time.Millisecond
	// remoteLoadRounds is the number of regular rounds of heartbeats of which one carries loads to
	// other data centres.
	remoteLoadRounds = 3
	// minNewFailures is the rise of an upstream's failures that is reported even in a heartbeat
	// between two regular rounds. A single failure exceeds it.
	minNewFailures = 0.5
	// unitsPerRequest is the scale of a wire.Load, which counts in hundredths of a request.
	unitsPerRequest = 100
	// maxDemands limits the demands in a heartbeat. They take 280 bytes, so heartbeats to thirty
	// neighbours a second cost a third of the budget.
	maxDemands = 16
	// unitsPerSlot is the scale of a wire.Demand, which counts in thousandths of a slot.
	unitsPerSlot = 1000
)

// Config holds the settings of the failure detector and of the traffic budget.
type Config struct {
	Detector detector.Config
	Limiter  limiter.Config
	// Position returns that of this balancer's replica. Records in heartbeats that aren't newer are left
	// undecoded: each change arrives from several neighbours.
	Position func() rattanwood.Position
	// Warmer holds the leases on cold upstreams; nil turns them off.
	Warmer *warmer.Warmer
	// IsNear reports whether a data centre is in the same region as the own one; nil means that none is.
	IsNear func(rattanwood.DataCentre) bool
	// Overhead returns the bytes that are added to each message when it is sent; nil for none.
	Overhead func() int
}

// Send is the action to send a datagram to a balancer.
type Send struct {
	Address netip.AddrPort
	Message *wire.Envelope
}

// Fetch is the action to fetch the records that changed after a revision from a balancer.
type Fetch struct {
	VM      rattanwood.VMID
	Address netip.AddrPort
	After   rattanwood.Position
}

// Action is a Send or a Fetch.
type Action interface{ action() }

func (Send) action()  {}
func (Fetch) action() {}

// HeartbeatPayload is what heartbeats tell about the state of their sender.
type HeartbeatPayload struct {
	Position rattanwood.Position
	// Age is the time since a reader of the source found the records current; Confirmed is set if one
	// ever did.
	Age       time.Duration
	Confirmed bool
	// Reader is the balancer that found them current, and ConfirmationSeq numbers its confirmations.
	Reader          watcher.ReaderID
	ConfirmationSeq uint64
	Leaving         bool
	// SourceUnreachable is set while the source of the records doesn't answer the sender.
	SourceUnreachable bool
	Loads             []LoadReport
	// Demands is the demand for services that the sender has seen lately.
	Demands []DemandReport
	// Failing are the upstreams that fail the sender's checks.
	Failing []rattanwood.UpstreamID
	// Dead are those of Failing on which existing flows can't continue either.
	Dead []rattanwood.UpstreamID
	// Settling is set while the sender keeps records in effect that the source lost on its return.
	Settling bool
	// Informed is set if the sender knows what the source lost on its last return, or that it lost nothing.
	Informed bool
	// Kept is a digest of the records that the sender keeps in effect until they are deleted, although the source
	// lost them; zero for none.
	Kept uint32
	// Records are all records that changed after the position Prior.
	Prior   rattanwood.Position
	Records []rattanwood.Record
}

// LoadReport is the load that a balancer put on an upstream lately, in requests.
type LoadReport struct {
	Upstream rattanwood.UpstreamID
	// Requests counts the requests sent, and Failures those that got no answer or an error.
	Requests, Failures float64
	// KnownFailures is the highest number of failures that the sender knows of, from its own counts
	// and from peers.
	KnownFailures float64
}

// ServiceHash stands for a service's name in messages.
type ServiceHash uint32

// HashService returns the hash of a service's name.
func HashService(id rattanwood.ServiceID) ServiceHash {
	return ServiceHash(xxhash.Sum64String(string(id)))
}

// DemandReport is the demand for a service at one level of importance that a balancer has seen, in slots.
type DemandReport struct {
	Service ServiceHash
	// Level is the importance; 0 is served first.
	Level             int
	Offered, Admitted float64
}

// Heartbeat is a received heartbeat.
type Heartbeat struct {
	From       rattanwood.VMID
	DataCentre rattanwood.DataCentre
	HeartbeatPayload
	// RecordsError is set if the records could not be decoded.
	RecordsError error
}

// Messenger holds the gossip state of one balancer.
type Messenger struct {
	cfg Config
	// seed is the hash of this balancer's name that ranking uses.
	seed     uint64
	Members  *detector.Detector
	Limiter  *limiter.Limiter
	Packer   *Packer
	actions  []Action
	lastPull time.Duration
	// lastRemote is when a heartbeat from another data centre last arrived.
	lastRemote time.Duration
	// lastNamesSpread is when heartbeats were last triggered because members became known.
	lastNamesSpread time.Duration
	// lastFull is when heartbeats last carried the whole payload; those between two regular rounds
	// carry only what changed.
	lastFull time.Duration
	// fullRounds counts them.
	fullRounds            int
	sentFailing, sentDead []rattanwood.UpstreamID
	fetchStarted          time.Duration
	// sentFailures are the failures of each upstream that were reported since lastFull.
	sentFailures map[rattanwood.UpstreamID]float64
	// assignments holds the checkers of upstreams among the members as of rankedGeneration.
	assignments      *assignments
	rankedGeneration uint64
	settling         settling
	introduction     introduction
	// eligible are the members that take part in the rankings by data centre, as of eligibleGeneration.
	eligible           map[rattanwood.DataCentre][]*detector.Member
	eligibleGeneration uint64
	// turnover is a digest of the processes of the balancers in the own data centre, which changed at turnoverAt.
	turnover   uint64
	turnoverAt time.Duration
	// voters are the members of the own data centre as of votersListedAt, also in the form for Config.Warmer.
	voters         []*detector.Member
	voterMembers   []warmer.Member
	votersListedAt time.Duration
}

// settling tells when the member list of a balancer that has just started is complete enough to rank
// balancers. Until then it would take itself for the first rank of most upstreams.
type settling struct {
	done, began bool
	// beganAt is when the first Tick was, and changedAt when the number of members last changed.
	beganAt, changedAt time.Duration
	members            int
	// agreed is set once a peer had the same list as this balancer since changedAt.
	agreed bool
}

// observe updates the state with the number of members that are known now. Without an agreeing peer, the list
// counts as complete after a time limit.
func (s *settling) observe(now time.Duration, members int, quiet, limit time.Duration) {
	if !s.began {
		s.began, s.beganAt, s.changedAt = true, now, now
	}
	if members != s.members {
		s.members, s.changedAt, s.agreed = members, now, false
	}
	s.done = s.done || s.agreed && now-s.changedAt >= quiet || now-s.beganAt >= limit
}

// New returns a messenger that knows no other balancer yet.
func New(cfg Config) *Messenger {
	return &Messenger{
		cfg:          cfg,
		seed:         ranker.Seed(string(cfg.Detector.Self)),
		Members:      detector.New(cfg.Detector),
		Limiter:      limiter.New(cfg.Limiter),
		Packer:       NewPacker(),
		sentFailures: map[rattanwood.UpstreamID]float64{},
		assignments:  newAssignments(),
	}
}

// TakeActions returns the actions since the last call.
func (m *Messenger) TakeActions() []Action {
	out := m.actions
	m.actions = nil
	return out
}

// Tick sends the heartbeats and indirect probes that are due. It calls payload only if there are
// heartbeats to send.
func (m *Messenger) Tick(now time.Duration, payload func() HeartbeatPayload) {
	m.Introduce(now)
	if m.Members.HasNews() {
		m.spreadNames(now)
	}
	receivers, probes := m.Members.Tick(now)
	m.observeTurnover(now)
	if !m.settling.done {
		m.settling.observe(now, len(m.Members.Members()), m.cfg.Detector.HeartbeatInterval/2, m.cfg.Detector.DeadAfter)
	}
	for _, probe := range probes {
		m.send(now, probe.Helper, &wire.Envelope{Body: &wire.Envelope_Probe{Probe: &wire.Probe{Target: string(probe.Target)}}})
	}
	if len(receivers) == 0 {
		return
	}
	if m.introduction.announcing {
		receivers = m.announce(receivers)
	}
	if news := m.Members.TakeNews(now); news != nil {
		for _, to := range receivers {
			m.send(now, to, &wire.Envelope{Body: &wire.Envelope_Roster{Roster: news}})
		}
	}
	p := payload()
	shared := m.encodePayload(now, p)
	for _, to := range receivers {
		// The detector's Version is whatever the fleet replicates, here the revision of the records, and
		// its PlatformUnreachable says here that the source is unreachable.
		heartbeat := m.Members.BuildHeartbeat(now, to, detector.HeartbeatPayload{Version: rattanwood.Version(p.Position), Leaving: p.Leaving, PlatformUnreachable: p.SourceUnreachable})
		heartbeat.Confirmed, heartbeat.Reader, heartbeat.Confirmation = shared.Confirmed, shared.Reader, shared.Confirmation
		heartbeat.Settling, heartbeat.Informed, heartbeat.Kept = shared.Settling, shared.Informed, shared.Kept
		// Receivers that have announced this revision already hold the records.
		if to.Version < rattanwood.Version(p.Position) {
			heartbeat.Prior, heartbeat.Records, heartbeat.Packed = shared.Prior, shared.Records, shared.Packed
		}
		heartbeat.Starting = !m.KnowsFleet()
		heartbeat.Failing, heartbeat.Dead = shared.Failing, shared.Dead
		// Heartbeats to members that aren't neighbours (courtesy) carry no loads, to save bandwidth.
		// Those in other data centres need them less often, since few flows leave a data centre.
		switch {
		case heartbeat.GetCourtesy():
		case to.DataCentre == m.cfg.Detector.DataCentre || m.fullRounds%remoteLoadRounds == 0:
			heartbeat.Loads, heartbeat.Demands = shared.Loads, shared.Demands
		default:
			heartbeat.Loads = withFailures(shared.Loads)
		}
		m.send(now, to, &wire.Envelope{Body: &wire.Envelope_Beat{Beat: heartbeat}})
	}
}

// encodePayload builds the part of a heartbeat that is the same for all receivers.
func (m *Messenger) encodePayload(now time.Duration, p HeartbeatPayload) *wire.Beat {
	heartbeat := &wire.Beat{Confirmed: EncodeAge(p.Age, p.Confirmed), Reader: uint64(p.Reader), Confirmation: p.ConfirmationSeq, Settling: p.Settling, Informed: p.Informed, Kept: p.Kept}
	if records, packed := m.Packer.EncodeBundle(p.Records); sizeOf(records)+len(packed) <= maxPushedBytes {
		heartbeat.Prior, heartbeat.Records, heartbeat.Packed = uint64(p.Prior), records, packed
	}
	changed := !slices.Equal(p.Failing, m.sentFailing) || !slices.Equal(p.Dead, m.sentDead)
	full := now-m.lastFull >= m.cfg.Detector.HeartbeatInterval
	if full || changed {
		heartbeat.Failing, heartbeat.Dead = encodeUpstreams(p.Failing), encodeUpstreams(p.Dead)
		m.sentFailing, m.sentDead = p.Failing, p.Dead
	}
	loads := m.loadsWithNewFailures(p.Loads)
	if full {
		m.lastFull = now
		m.fullRounds++
		clear(m.sentFailures)
		// Loads only help to place flows, so they are left out first when the budget is short.
		if m.Limiter.Available(now, limiter.State) > 0 {
			loads = heaviestLoads(p.Loads)
			heartbeat.Demands = encodeDemands(p.Demands)
		}
	}
	for _, l := range loads {
		m.sentFailures[l.Upstream] = l.KnownFailures
		heartbeat.Loads = append(heartbeat.Loads, &wire.Load{
			Upstream: uint32(l.Upstream), Work: uint32(l.Requests * unitsPerRequest),
			Failures: uint32(l.Failures * unitsPerRequest), Rumour: uint32(l.KnownFailures * unitsPerRequest),
		})
	}
	return heartbeat
}

// loadsWithNewFailures returns the loads whose failures have risen by minNewFailures since they were
// last sent.
func (m *Messenger) loadsWithNewFailures(loads []LoadReport) []LoadReport {
	var risen []LoadReport
	for _, l := range loads {
		if l.KnownFailures >= m.sentFailures[l.Upstream]+minNewFailures {
			risen = append(risen, l)
		}
	}
	return heaviestLoads(risen)
}

// withFailures returns the loads of upstreams that fail requests. These are sent to all data centres.
func withFailures(loads []*wire.Load) []*wire.Load {
	return slices.DeleteFunc(slices.Clone(loads), func(l *wire.Load) bool { return l.GetRumour() < minNewFailures*unitsPerRequest })
}

// heaviestLoads returns at most maxLoads loads, those that matter most when upstreams are chosen.
func heaviestLoads(loads []LoadReport) []LoadReport {
	if len(loads) <= maxLoads {
		return loads
	}
	loads = slices.SortedFunc(slices.Values(loads), func(a, b LoadReport) int { return cmp.Compare(b.Requests+b.KnownFailures, a.Requests+a.KnownFailures) })
	return loads[:maxLoads]
}

// encodeDemands returns at most maxDemands demands, the highest ones.
func encodeDemands(demands []DemandReport) []*wire.Demand {
	if len(demands) > maxDemands {
		demands = slices.SortedFunc(slices.Values(demands), func(a, b DemandReport) int { return cmp.Compare(b.Offered, a.Offered) })[:maxDemands]
	}
	var out []*wire.Demand
	for _, d := range demands {
		out = append(out, &wire.Demand{
			Service: uint32(d.Service), Level: uint32(d.Level),
			Offered: uint32(min(d.Offered*unitsPerSlot, math.MaxUint32)), Admitted: uint32(min(d.Admitted*unitsPerSlot, math.MaxUint32)),
		})
	}
	return out
}

// decodeDemands returns the first maxDemands demands of a message.
func decodeDemands(demands []*wire.Demand) []DemandReport {
	var out []DemandReport
	for _, d := range demands[:min(len(demands), maxDemands)] {
		out = append(out, DemandReport{
			Service: ServiceHash(d.GetService()), Level: int(d.GetLevel()),
			Offered: float64(d.GetOffered()) / unitsPerSlot, Admitted: float64(d.GetAdmitted()) / unitsPerSlot,
		})
	}
	return out
}

func encodeUpstreams(ids []rattanwood.UpstreamID) []uint32 {
	out := make([]uint32, len(ids))
	for i, id := range ids {
		out[i] = uint32(id)
	}
	return out
}

func decodeUpstreams(ids []uint32) []rattanwood.UpstreamID {
	out := make([]rattanwood.UpstreamID, len(ids))
	for i, id := range ids {
		out[i] = rattanwood.UpstreamID(id)
	}
	return out
}

// EncodeAge returns an age as messages carry it: in milliseconds plus one, and zero if ok is false.
func EncodeAge(age time.Duration, ok bool) uint64 {
	if !ok {
		return 0
	}
	return uint64(age/time.Millisecond) + 1
}

// DecodeAge returns the age in a message, 24 hours at most; ok is false if the message has none.
func DecodeAge(ms uint64) (age time.Duration, ok bool) {
	const maxMillis = uint64(24 * time.Hour / time.Millisecond)
	if ms == 0 {
		return 0, false
	}
	return time.Duration(min(ms-1, maxMillis)) * time.Millisecond, true
}

// send queues a heartbeat, or a datagram that the member list needs, if the budget allows it. They are of the class
// that may overdraw the budget, because nothing else works without them.
func (m *Messenger) send(now time.Duration, to *detector.Member, e *wire.Envelope) {
	if a, ok := m.prepare(now, limiter.Liveness, to, e); ok {
		m.actions = append(m.actions, a)
	}
}

// prepare returns the action to send a datagram if the budget allows it for a class.
func (m *Messenger) prepare(now time.Duration, class limiter.Class, to *detector.Member, e *wire.Envelope) (Send, bool) {
	if e.GetAdvice() == nil {
		e.Vm = string(m.cfg.Detector.Self)
		e.Life = uint64(m.cfg.Detector.Incarnation)
	}
	size := proto.Size(e) + headerBytes
	if m.cfg.Overhead != nil {
		size += m.cfg.Overhead()
	}
	if !m.Limiter.Allow(now, class, size) {
		return Send{}, false
	}
	return Send{Address: to.Address, Message: e}, true
}
