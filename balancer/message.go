package balancer

import (
	"net/netip"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/detector"
	"example.org/rattanwood/limiter"
	"example.org/rattanwood/marker"
	"example.org/rattanwood/router"
	"example.org/rattanwood/wire"
)

// fetchRetryInterval is the time after which a document is fetched again if none has arrived.
const fetchRetryInterval = 500 * time.Millisecond

// MessageError reports a datagram from another balancer that was refused.
type MessageError struct {
	VM     rattanwood.VMID
	Reason string
}

// Error returns the sender and the reason.
func (e *MessageError) Error() string {
	return "message from \"" + string(e.VM) + "\" refused: " + e.Reason
}

// The reasons of a MessageError.
const (
	// ReasonUnknownSender means that the sender's VM is empty or this balancer's own, or that it can't
	// be added to the members because its address is invalid.
	ReasonUnknownSender = "unknown"
	// ReasonStale means that the sender's incarnation or its heartbeat is older than one already
	// received.
	ReasonStale = "stale"
	// ReasonEmptyBody means that the envelope has no body of a known type.
	ReasonEmptyBody = "empty"
	// ReasonLengthMismatch means that the lists of flows and upstreams have different lengths.
	ReasonLengthMismatch = "uneven"
)

// HandleMessage processes a datagram that came from an address. An unknown sender is added to the
// members. After a pause of the process it ticks first.
func (b *Balancer) HandleMessage(now time.Duration, from netip.AddrPort, e *wire.Envelope) error {
	if now-b.lastTick > b.cfg.Detector.PauseThreshold {
		b.Tick(now)
	}
	vm := rattanwood.VMID(e.GetVm())
	if vm == b.cfg.Detector.Self || vm == "" {
		return &MessageError{VM: vm, Reason: ReasonUnknownSender}
	}
	if _, known := b.Members.Member(vm); !known {
		b.Members.Add(vm, from, "")
	}
	m, known := b.Members.Member(vm)
	if !known {
		return &MessageError{VM: vm, Reason: ReasonUnknownSender}
	}
	if rattanwood.Incarnation(e.GetLife()) < m.Incarnation {
		return &MessageError{VM: vm, Reason: ReasonStale}
	}
	return b.dispatch(now, m, e)
}

func (b *Balancer) dispatch(now time.Duration, m *detector.Member, e *wire.Envelope) error {
	switch body := e.GetBody().(type) {
	case *wire.Envelope_Beat:
		return b.receiveHeartbeat(now, m, e, body.Beat)
	case *wire.Envelope_Probe:
		if w, ok := b.Members.AnswerProbe(now, body.Probe); ok {
			b.send(now, limiter.Liveness, m, &wire.Envelope{Body: &wire.Envelope_Witness{Witness: w}})
		}
	case *wire.Envelope_Witness:
		b.Members.HandleProbeAnswer(now, body.Witness)
	case *wire.Envelope_Told:
		return b.receiveAnswers(now, m, body.Told)
	case *wire.Envelope_Batch:
		return b.receiveBatch(now, m, body.Batch)
	case *wire.Envelope_Done:
		b.Router.AcknowledgeBatch(m.VM, body.Done.GetSeq())
	case *wire.Envelope_Marks:
		b.mergeHealthStates(now, body.Marks)
	case *wire.Envelope_Roster:
		b.Members.MergeMemberList(body.Roster)
	case *wire.Envelope_Pull:
		b.answerPull(now, m, body.Pull)
	default:
		return &MessageError{VM: m.VM, Reason: ReasonEmptyBody}
	}
	return nil
}

// receiveHeartbeat processes a heartbeat, and fetches or pulls what the sender knows and this
// balancer doesn't.
func (b *Balancer) receiveHeartbeat(now time.Duration, m *detector.Member, e *wire.Envelope, beat *wire.Beat) error {
	differences, ok := b.Members.HandleHeartbeat(now, m.VM, rattanwood.Incarnation(e.GetLife()), beat, b.heartbeatPayload())
	if !ok {
		return &MessageError{VM: m.VM, Reason: ReasonStale}
	}
	if differences.NewerDocument && (b.fetchBegan == 0 || now-b.fetchBegan >= fetchRetryInterval) {
		b.fetchBegan = now
		b.actions = append(b.actions, Fetch{VM: m.VM, Address: m.Address, Version: rattanwood.Version(beat.GetVersion())})
	}
	b.Router.SetPeerWatermark(m.VM, rattanwood.Version(beat.GetBase()))
	pullHealth := differences.Health && now-b.healthPulledAt >= healthPullInterval
	if pullHealth {
		b.healthPulledAt = now
	}
	pullMembers := differences.Members && now-b.memberListPulledAt >= memberListPullInterval
	if pullMembers {
		b.memberListPulledAt = now
	}
	if pullHealth || pullMembers {
		b.send(now, limiter.State, m, &wire.Envelope{Body: &wire.Envelope_Pull{Pull: &wire.Pull{Marks: pullHealth, Roster: pullMembers}}})
	}
	b.refreshView(now)
	return nil
}

func (b *Balancer) receiveAnswers(now time.Duration, m *detector.Member, t *wire.Told) error {
	if len(t.GetFlows()) != len(t.GetUpstreams()) {
		return &MessageError{VM: m.VM, Reason: ReasonLengthMismatch}
	}
	for i, flow := range t.GetFlows() {
		b.Router.ReceiveAnswer(now, router.FlowUpstream{Flow: rattanwood.FlowID(flow), Upstream: rattanwood.UpstreamID(t.GetUpstreams()[i])})
	}
	return nil
}

func encodeAnswers(answers []router.FlowUpstream) *wire.Told {
	t := &wire.Told{}
	for _, a := range answers {
		t.Flows = append(t.Flows, uint64(a.Flow))
		t.Upstreams = append(t.Upstreams, uint32(a.Upstream))
	}
	return t
}

// receiveBatch stores a batch of replicated flows and acknowledges it.
func (b *Balancer) receiveBatch(now time.Duration, m *detector.Member, w *wire.Batch) error {
	if len(w.GetFlows()) != len(w.GetUpstreams()) {
		return &MessageError{VM: m.VM, Reason: ReasonLengthMismatch}
	}
	batch := &router.Batch{Seq: w.GetSeq()}
	for i, flow := range w.GetFlows() {
		batch.Flows = append(batch.Flows, router.FlowUpstream{Flow: rattanwood.FlowID(flow), Upstream: rattanwood.UpstreamID(w.GetUpstreams()[i])})
	}
	for _, flow := range w.GetGone() {
		batch.Removed = append(batch.Removed, rattanwood.FlowID(flow))
	}
	b.Router.ReceiveBatch(now, m.VM, batch)
	b.send(now, limiter.Liveness, m, &wire.Envelope{Body: &wire.Envelope_Done{Done: &wire.Done{Seq: w.GetSeq()}}})
	return nil
}

func encodeBatch(batch *router.Batch) *wire.Batch {
	w := &wire.Batch{Seq: batch.Seq}
	for _, a := range batch.Flows {
		w.Flows = append(w.Flows, uint64(a.Flow))
		w.Upstreams = append(w.Upstreams, uint32(a.Upstream))
	}
	for _, flow := range batch.Removed {
		w.Gone = append(w.Gone, uint64(flow))
	}
	return w
}

// mergeHealthStates merges a peer's health states; one with an invalid value is skipped.
func (b *Balancer) mergeHealthStates(now time.Duration, marks *wire.Marks) {
	changed := false
	for _, w := range marks.GetMarks() {
		if w.GetState() > uint32(marker.Down) {
			continue
		}
		state := marker.HealthState{Upstream: rattanwood.UpstreamID(w.GetUpstream()), Health: marker.Health(w.GetState()), Seq: w.GetSeq()}
		changed = b.HealthTable.Merge(now, state) || changed
	}
	if changed {
		b.Router.RecheckFlows()
		b.Members.TriggerHeartbeats()
	}
}

// answerPull sends the health states and the member list that a peer asked for.
func (b *Balancer) answerPull(now time.Duration, m *detector.Member, p *wire.Pull) {
	if p.GetMarks() {
		w := &wire.Marks{}
		for _, s := range b.HealthTable.States() {
			w.Marks = append(w.Marks, &wire.Mark{Upstream: uint32(s.Upstream), State: uint32(s.Health), Seq: s.Seq})
		}
		b.send(now, limiter.State, m, &wire.Envelope{Body: &wire.Envelope_Marks{Marks: w}})
	}
	if p.GetRoster() {
		r, _ := b.Members.BuildMemberList(now, p)
		b.send(now, limiter.State, m, &wire.Envelope{Body: &wire.Envelope_Roster{Roster: r}})
	}
}
