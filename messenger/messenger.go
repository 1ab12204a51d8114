// Package messenger is the state machine for what balancers tell each other about
// records, loads and failing upstreams: datagrams go in, actions come out.
//
// A Messenger has no clock, socket or goroutine and isn't safe for concurrent use.
package messenger

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"example.org/rattanwood"
	"example.org/rattanwood/detector"
	"example.org/rattanwood/limiter"
	"example.org/rattanwood/ranker"
	"example.org/rattanwood/watcher"
	"example.org/rattanwood/wire"
)

const (
	// headers are the bytes of IP and UDP headers around a datagram.
	headers = 28
	// pushMost is the largest size in bytes of records in a heartbeat; peers fetch what doesn't fit.
	pushMost = 8 << 10
	// syncPause is the time after which a fetch without result is tried elsewhere.
	syncPause = 300 * time.Millisecond
	// rosterPause is the time between two pulls of the roster.
	rosterPause = time.Second
	// loadsMost is the number of loads in a heartbeat: 430 bytes, so that thirty neighbours a second cost half of the budget.
	loadsMost = 48
	// dutyKeep is how long a duty stays with a balancer that has just been outranked, or waits for its successor: a third of
	// the time between two checks, and so rarely that ranking all upstreams costs nothing.
	dutyKeep = time.Second
	// rumourStep is by how much an upstream's failures rise before short heartbeats tell them too: one is news.
	rumourStep = 0.5
	// hundredths is the unit of work in a Load.
	hundredths = 100
)

// Config builds a Messenger.
type Config struct {
	Detector detector.Config
	Limiter  limiter.Config
}

// Send is the action to send a datagram to a balancer.
type Send struct {
	Address netip.AddrPort
	Message *wire.Envelope
}

// Sync is the action to fetch the records after a revision from a balancer.
type Sync struct {
	VM      rattanwood.VMID
	Address netip.AddrPort
	After   rattanwood.Revision
}

// Action is a Send or a Sync.
type Action interface{ action() }

func (Send) action() {}
func (Sync) action() {}

// HeartbeatPayload is what heartbeats say of their sender.
type HeartbeatPayload struct {
	Revision rattanwood.Revision
	// Age is the time since the records were known to be current; Confirmed is set if they ever were.
	Age       time.Duration
	Confirmed bool
	// Reader and Seq name the confirmation.
	Reader          watcher.ReaderID
	ConfirmationSeq uint64
	Leaving         bool
	// SourceUnreachable is set while the source doesn't answer.
	SourceUnreachable bool
	Loads             []Load
	// Failing are the upstreams that fail the sender's checks.
	Failing []rattanwood.UpstreamID
	// Dead are those of them whose flows can't go on.
	Dead []rattanwood.UpstreamID
	// Records are all that changed after the revision Prior.
	Prior   rattanwood.Revision
	Records []rattanwood.Record
}

// Load is the work that a balancer gave to an upstream lately, in requests.
type Load struct {
	Upstream rattanwood.UpstreamID
	// Work is what was sent, and Failures are those that were not answered, or not well.
	Work, Failures float64
	// ReportedFailures is the most failures that the sender knows anybody to have counted.
	ReportedFailures float64
}

// Heartbeat is what a heartbeat brought.
type Heartbeat struct {
	From       rattanwood.VMID
	DataCentre rattanwood.DataCentre
	HeartbeatPayload
	// RecordsError is set if the records could not be read.
	RecordsError error
}

// Messenger is the state of one balancer's talk.
type Messenger struct {
	cfg      Config
	seed     uint64
	Members  *detector.Detector
	Limiter  *limiter.Limiter
	Packer   *Packer
	actions  []Action
	rostered time.Duration
	// full is when heartbeats last carried all that they can; those that only spread news are short.
	full          time.Duration
	failing, dead []rattanwood.UpstreamID
	synced        time.Duration
	// rumours are those of the last heartbeats.
	rumours map[rattanwood.UpstreamID]float64
	// duties are the answers of Duty since the time ranked.
	duties map[rattanwood.UpstreamID]bool
	ranked time.Duration
}

// New returns a messenger that knows nobody.
func New(cfg Config) *Messenger {
	return &Messenger{
		cfg:     cfg,
		seed:    ranker.Seed(string(cfg.Detector.Self)),
		Members: detector.New(cfg.Detector),
		Limiter: limiter.New(cfg.Limiter),
		Packer:  NewPacker(),
		rumours: map[rattanwood.UpstreamID]float64{},
		duties:  map[rattanwood.UpstreamID]bool{},
	}
}

// TakeActions returns the actions since the last call.
func (m *Messenger) TakeActions() []Action {
	out := m.actions
	m.actions = nil
	return out
}

// Tick runs the systems. Knowledge is asked for only if heartbeats are due.
func (m *Messenger) Tick(now time.Duration, know func() HeartbeatPayload) {
	beats, probes := m.Members.Tick(now)
	for _, q := range probes {
		m.send(now, q.Helper, &wire.Envelope{Body: &wire.Envelope_Probe{Probe: &wire.Probe{Target: string(q.Target)}}})
	}
	if len(beats) == 0 {
		return
	}
	k := know()
	common := m.encode(now, k)
	for _, to := range beats {
		beat := m.Members.BuildHeartbeat(now, to, detector.HeartbeatPayload{Version: rattanwood.Version(k.Revision), Leaving: k.Leaving, PlatformUnreachable: k.SourceUnreachable})
		beat.Confirmed, beat.Reader, beat.Confirmation = common.Confirmed, common.Reader, common.Confirmation
		if to.Version < rattanwood.Version(k.Revision) {
			// Whoever shows this revision has the records already.
			beat.Prior, beat.Records = common.Prior, common.Records
		}
		beat.Failing, beat.Dead = common.Failing, common.Dead
		if !beat.GetCourtesy() {
			beat.Loads = common.Loads
		}
		m.send(now, to, &wire.Envelope{Body: &wire.Envelope_Beat{Beat: beat}})
	}
}

// encode builds the part of a heartbeat that is the same for all receivers.
func (m *Messenger) encode(now time.Duration, k HeartbeatPayload) *wire.Beat {
	beat := &wire.Beat{Confirmed: EncodeAge(k.Age, k.Confirmed), Reader: uint64(k.Reader), Confirmation: k.ConfirmationSeq}
	if records := m.Packer.Encode(k.Records); sizeOf(records) <= pushMost {
		beat.Prior, beat.Records = uint64(k.Prior), records
	}
	changed := !slices.Equal(k.Failing, m.failing) || !slices.Equal(k.Dead, m.dead)
	full := now-m.full >= m.cfg.Detector.HeartbeatInterval
	if full || changed {
		beat.Failing, beat.Dead = encodeUpstreams(k.Failing), encodeUpstreams(k.Dead)
		m.failing, m.dead = k.Failing, k.Dead
	}
	loads := m.rumoured(k.Loads)
	if full {
		m.full = now
		clear(m.rumours)
		// Loads only help to place flows, so they are the first to go when the budget is short.
		if m.Limiter.Available(now, limiter.State) > 0 {
			loads = heaviest(k.Loads)
		}
	}
	for _, l := range loads {
		m.rumours[l.Upstream] = l.ReportedFailures
		beat.Loads = append(beat.Loads, &wire.Load{
			Upstream: uint32(l.Upstream), Work: uint32(l.Work * hundredths),
			Failures: uint32(l.Failures * hundredths), Rumour: uint32(l.ReportedFailures * hundredths),
		})
	}
	return beat
}

// rumoured returns the loads whose failures have risen since they were told.
func (m *Messenger) rumoured(loads []Load) []Load {
	var out []Load
	for _, l := range loads {
		if l.ReportedFailures >= m.rumours[l.Upstream]+rumourStep {
			out = append(out, l)
		}
	}
	return heaviest(out)
}

// heaviest returns the loads that weigh most in a choice of upstreams, if there are too many.
func heaviest(loads []Load) []Load {
	if len(loads) <= loadsMost {
		return loads
	}
	loads = slices.SortedFunc(slices.Values(loads), func(a, b Load) int { return cmp.Compare(b.Work+b.ReportedFailures, a.Work+a.ReportedFailures) })
	return loads[:loadsMost]
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

// EncodeAge returns an age as messages carry it: milliseconds plus one, zero for none.
func EncodeAge(age time.Duration, ok bool) uint64 {
	if !ok {
		return 0
	}
	return uint64(age/time.Millisecond) + 1
}

// DecodeAge returns the age in a message; ok is false if there is none.
func DecodeAge(ms uint64) (age time.Duration, ok bool) {
	const most = uint64(24 * time.Hour / time.Millisecond)
	if ms == 0 {
		return 0, false
	}
	return time.Duration(min(ms-1, most)) * time.Millisecond, true
}

// send queues a datagram if the budget allows it. All are of the class that may overdraw it: without heartbeats and
// members nothing else works.
func (m *Messenger) send(now time.Duration, to *detector.Member, e *wire.Envelope) {
	e.Vm = string(m.cfg.Detector.Self)
	e.Life = uint64(m.cfg.Detector.Incarnation)
	if !m.Limiter.Allow(now, limiter.Liveness, proto.Size(e)+headers) {
		return
	}
	m.actions = append(m.actions, Send{Address: to.Address, Message: e})
}
