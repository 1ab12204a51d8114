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

// fetchPause is the time after which a fetch without result is tried again.
const fetchPause = 500 * time.Millisecond

// MessageError reports a datagram from a peer that can't be taken in.
type MessageError struct {
	VM     rattanwood.VMID
	Reason string
}

// Error names the sender and the reason.
func (e *MessageError) Error() string {
	return "message from " + string(e.VM) + ": " + e.Reason
}

// Reasons of a MessageError.
const (
	ReasonUnknownSender  = "unknown"
	ReasonStale          = "stale"
	ReasonEmptyBody      = "empty"
	ReasonLengthMismatch = "uneven"
)

// HandleMessage takes in a datagram from the balancer at address from.
func (b *Balancer) HandleMessage(now time.Duration, from netip.AddrPort, e *wire.Envelope) error {
	if now-b.ticked > b.cfg.Detector.PauseThreshold {
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
		return b.heard(now, m, e, body.Beat)
	case *wire.Envelope_Probe:
		if w, ok := b.Members.AnswerProbe(now, body.Probe); ok {
			b.send(now, limiter.Liveness, m, &wire.Envelope{Body: &wire.Envelope_Witness{Witness: w}})
		}
	case *wire.Envelope_Witness:
		b.Members.HandleProbeAnswer(now, body.Witness)
	case *wire.Envelope_Told:
		return b.told(now, m, body.Told)
	case *wire.Envelope_Batch:
		return b.received(now, m, body.Batch)
	case *wire.Envelope_Done:
		b.Router.AcknowledgeBatch(m.VM, body.Done.GetSeq())
	case *wire.Envelope_Marks:
		b.merge(now, body.Marks)
	case *wire.Envelope_Roster:
		b.Members.MergeMemberList(body.Roster)
	case *wire.Envelope_Pull:
		b.pulled(now, m, body.Pull)
	default:
		return &MessageError{VM: m.VM, Reason: ReasonEmptyBody}
	}
	return nil
}

func (b *Balancer) heard(now time.Duration, m *detector.Member, e *wire.Envelope, beat *wire.Beat) error {
	event, ok := b.Members.HandleHeartbeat(now, m.VM, rattanwood.Incarnation(e.GetLife()), beat, b.knowledge())
	if !ok {
		return &MessageError{VM: m.VM, Reason: ReasonStale}
	}
	if event.NewerDocument && (b.fetching == 0 || now-b.fetching >= fetchPause) {
		b.fetching = now
		b.actions = append(b.actions, Fetch{VM: m.VM, Address: m.Address, Version: rattanwood.Version(beat.GetVersion())})
	}
	b.Router.SetPeerWatermark(m.VM, rattanwood.Version(beat.GetBase()))
	marks := event.Health && now-b.marked >= marksPause
	if marks {
		b.marked = now
	}
	roster := event.Members && now-b.rostered >= rosterPause
	if roster {
		b.rostered = now
	}
	if marks || roster {
		b.send(now, limiter.State, m, &wire.Envelope{Body: &wire.Envelope_Pull{Pull: &wire.Pull{Marks: marks, Roster: roster}}})
	}
	b.refreshView(now)
	return nil
}

func (b *Balancer) told(now time.Duration, m *detector.Member, t *wire.Told) error {
	if len(t.GetFlows()) != len(t.GetUpstreams()) {
		return &MessageError{VM: m.VM, Reason: ReasonLengthMismatch}
	}
	for i, flow := range t.GetFlows() {
		b.Router.ReceiveAnswer(now, router.Answer{Flow: rattanwood.FlowID(flow), Upstream: rattanwood.UpstreamID(t.GetUpstreams()[i])})
	}
	return nil
}

func encodeTold(answers []router.Answer) *wire.Told {
	t := &wire.Told{}
	for _, a := range answers {
		t.Flows = append(t.Flows, uint64(a.Flow))
		t.Upstreams = append(t.Upstreams, uint32(a.Upstream))
	}
	return t
}

func (b *Balancer) received(now time.Duration, m *detector.Member, w *wire.Batch) error {
	if len(w.GetFlows()) != len(w.GetUpstreams()) {
		return &MessageError{VM: m.VM, Reason: ReasonLengthMismatch}
	}
	batch := &router.Batch{Seq: w.GetSeq()}
	for i, flow := range w.GetFlows() {
		batch.Flows = append(batch.Flows, router.Answer{Flow: rattanwood.FlowID(flow), Upstream: rattanwood.UpstreamID(w.GetUpstreams()[i])})
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

func (b *Balancer) merge(now time.Duration, marks *wire.Marks) {
	news := false
	for _, w := range marks.GetMarks() {
		if w.GetState() > uint32(marker.Down) {
			continue
		}
		mark := marker.HealthState{Upstream: rattanwood.UpstreamID(w.GetUpstream()), Health: marker.Health(w.GetState()), Seq: w.GetSeq()}
		news = b.HealthTable.Merge(now, mark) || news
	}
	if news {
		b.Router.RecheckFlows()
		b.Members.TriggerHeartbeats()
	}
}

func (b *Balancer) pulled(now time.Duration, m *detector.Member, p *wire.Pull) {
	if p.GetMarks() {
		w := &wire.Marks{}
		for _, mark := range b.HealthTable.States() {
			w.Marks = append(w.Marks, &wire.Mark{Upstream: uint32(mark.Upstream), State: uint32(mark.Health), Seq: mark.Seq})
		}
		b.send(now, limiter.State, m, &wire.Envelope{Body: &wire.Envelope_Marks{Marks: w}})
	}
	if p.GetRoster() {
		b.send(now, limiter.State, m, &wire.Envelope{Body: &wire.Envelope_Roster{Roster: b.Members.BuildMemberList(p)}})
	}
}
