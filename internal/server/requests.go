package server

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"example.org/rattanwood"
	"example.org/rattanwood/claimer"
	"example.org/rattanwood/detector"
	"example.org/rattanwood/dispatcher"
	"example.org/rattanwood/executor"
	genrequests "example.org/rattanwood/gen/requests"
	"example.org/rattanwood/marker"
	"example.org/rattanwood/wire"
)

// settleTimeout limits a call that records an outcome or releases a claim at a replica.
const settleTimeout = 2 * time.Second

// retryAfterSeconds is the Retry-After value for Callers whose request was refused or has an unknown outcome.
const retryAfterSeconds = 1

// reasonUnknownService is the reason of a refusal when the service isn't in the newest document.
const reasonUnknownService = "service"

// attempt identifies one attempt to run a request on an upstream.
type attempt struct {
	token  executor.Token
	number uint64
}

// requests implements the goa service for requests of Callers.
type requests struct {
	server *Server
}

// Run submits a request of a Caller to the executor and waits for the outcome, or until the Caller
// disconnects.
func (q *requests) Run(ctx context.Context, p *genrequests.RunPayload) (*genrequests.RunResult, error) {
	s := q.server
	s.mu.Lock()
	def := s.service(rattanwood.ServiceID(p.Service))
	if def == nil {
		s.mu.Unlock()
		return s.encodeResult(executor.Result{Outcome: claimer.Outcome{Kind: claimer.Refused}, Reason: reasonUnknownService})
	}
	now := s.now()
	token := s.exec.Submit(now, newRequest(now, p, def))
	done := make(chan executor.Result, 1)
	s.replies[token] = done
	actions := s.exec.TakeActions()
	s.mu.Unlock()
	s.performRequestActions(actions)
	select {
	case result := <-done:
		return s.encodeResult(result)
	case <-ctx.Done():
	}
	s.mu.Lock()
	s.exec.Abandon(s.now(), token)
	delete(s.replies, token)
	actions = s.exec.TakeActions()
	s.mu.Unlock()
	s.performRequestActions(actions)
	return nil, ctx.Err()
}

// service returns the newest definition of a service, or nil if there is none. The caller must hold mu.
func (s *Server) service(name rattanwood.ServiceID) *rattanwood.Service {
	newest := s.core.Router.NewestCatalog()
	if newest == nil {
		return nil
	}
	return newest.Service(name)
}

// newRequest builds the executor's request. A Caller may shorten the service's timeout but not extend it. A
// request without an age, which is -1, is assumed to be as old as that timeout.
func newRequest(now time.Duration, p *genrequests.RunPayload, service *rattanwood.Service) executor.Request {
	limit := service.Limits.Timeout()
	if asked := time.Duration(p.Deadline) * time.Millisecond; asked > 0 {
		limit = min(limit, asked)
	}
	r := executor.Request{
		ID:         rattanwood.RequestID(p.Service + "/" + p.ID),
		Service:    service.Name,
		Limits:     service.Limits,
		Idempotent: p.Idempotent,
		Deadline:   now + limit,
		Age:        time.Duration(min(int64(p.Age), maxAgeMillis)) * time.Millisecond,
	}
	if p.Age < 0 {
		r.Age = service.Limits.Timeout()
	}
	if p.Body != nil {
		r.Body = *p.Body
	}
	return r
}

// maxAgeMillis is the cap on ages and times in milliseconds that Callers and peers send. It keeps the
// conversion to a time.Duration from overflowing.
const maxAgeMillis = 1 << 40

// encodeResult counts a result and converts it to a response or an error of the goa service.
func (s *Server) encodeResult(r executor.Result) (*genrequests.RunResult, error) {
	s.metrics.requests.WithLabelValues(r.Kind.String(), r.Reason).Inc()
	switch r.Kind {
	case claimer.Answered:
		return &genrequests.RunResult{Upstream: r.Upstream, Body: string(r.Body), Replayed: r.Replayed}, nil
	case claimer.Refused:
		return nil, &genrequests.Refusal{Name: "refused", Reason: r.Reason, Detail: "The request was not run. Ask again, here or at another balancer.", Retry: retryAfterSeconds}
	}
	return nil, &genrequests.Refusal{Name: "unknown", Reason: r.Reason, Detail: "The request may have run. Ask again with the same id to learn its outcome.", Retry: retryAfterSeconds}
}

// performRequestActions carries out the actions of the executor; calls run in goroutines.
func (s *Server) performRequestActions(actions []executor.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case executor.Reply:
			s.deliverReply(a)
		case executor.RequestClaim:
			s.running.Go(func() { s.requestVote(a) })
		case executor.ReleaseClaim:
			s.running.Go(func() { s.releaseClaim(a) })
		case executor.Settle:
			s.running.Go(func() { s.settleClaim(a) })
		case executor.Send:
			s.running.Go(func() { s.runAttempt(a) })
		case executor.Cancel:
			s.cancelAttempt(attempt{token: a.Token, number: a.Attempt})
		case executor.RequestSlot:
			s.sendSlotMessage(a.VM, &wire.Envelope{Body: &wire.Envelope_Want{Want: encodeSlotRequest(a)}})
		case executor.Lease:
			s.sendSlotMessage(a.VM, &wire.Envelope{Body: &wire.Envelope_Lease{Lease: &wire.Lease{Token: uint64(a.Token), Attempt: a.Attempt, Upstream: uint32(a.Upstream), Queued: a.Queued}}})
		case executor.ReturnSlot:
			s.sendSlotMessage(a.VM, &wire.Envelope{Body: &wire.Envelope_Return{Return: &wire.Return{Token: uint64(a.Token), Attempt: a.Attempt, Result: uint32(a.Result)}}})
		}
	}
}

// handleEvent passes an event to the executor under the lock and performs the resulting actions.
func (s *Server) handleEvent(apply func(now time.Duration)) {
	s.mu.Lock()
	apply(s.now())
	actions := s.exec.TakeActions()
	s.mu.Unlock()
	s.performRequestActions(actions)
}

// deliverReply passes a result to the handler that waits for it, if it still does.
func (s *Server) deliverReply(a executor.Reply) {
	s.mu.Lock()
	done := s.replies[a.Token]
	delete(s.replies, a.Token)
	s.mu.Unlock()
	if done != nil {
		done <- a.Result
	}
}

// peerAddress returns the address of another balancer; ok is false if it isn't in the member list.
func (s *Server) peerAddress(vm rattanwood.VMID) (netip.AddrPort, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.core.Members.Member(vm)
	if !ok {
		return netip.AddrPort{}, false
	}
	return m.Address, true
}

// requestVote asks a replica to vote on a claim.
func (s *Server) requestVote(a executor.RequestClaim) {
	ctx, cancel := context.WithTimeout(s.runCtx, executor.ClaimTimeout)
	defer cancel()
	reply := s.callClaim(ctx, a.VM, encodeClaim(a.Claim))
	s.handleEvent(func(now time.Duration) { s.exec.HandleVote(now, a.Token, a.Claim, a.VM, reply) })
}

// releaseClaim withdraws a claim at a replica because the request was not sent.
func (s *Server) releaseClaim(a executor.ReleaseClaim) {
	ctx, cancel := context.WithTimeout(s.runCtx, settleTimeout)
	defer cancel()
	r := encodeClaim(a.Claim)
	r.Release = true
	s.callClaim(ctx, a.VM, r)
}

// callClaim sends a claim to a replica and returns its reply, which is empty if the replica can't be reached.
func (s *Server) callClaim(ctx context.Context, vm rattanwood.VMID, r *wire.ClaimRequest) claimer.Reply {
	address, ok := s.peerAddress(vm)
	if !ok {
		return claimer.Reply{}
	}
	var reply *wire.ClaimReply
	err := s.peers.Call(ctx, address, func(ctx context.Context, conn drpc.Conn) (err error) {
		reply, err = wire.NewDRPCPeerClient(conn).Claim(ctx, r)
		return err
	})
	if err != nil {
		return claimer.Reply{}
	}
	return decodeReply(reply)
}

// settleClaim records the outcome of a request at a replica.
func (s *Server) settleClaim(a executor.Settle) {
	ctx, cancel := context.WithTimeout(s.runCtx, settleTimeout)
	defer cancel()
	address, ok := s.peerAddress(a.VM)
	if !ok {
		return
	}
	r := &wire.SettleRequest{Id: string(a.ID), Claimant: s.cfg.Settings.VM, Life: uint64(s.cfg.Incarnation), Outcome: encodeOutcome(a.Outcome)}
	_ = s.peers.Call(ctx, address, func(ctx context.Context, conn drpc.Conn) error {
		_, err := wire.NewDRPCPeerClient(conn).Settle(ctx, r)
		return err
	})
}

// runAttempt sends a request to an upstream and reports to the executor how it ended.
func (s *Server) runAttempt(a executor.Send) {
	ctx, cancel := context.WithTimeout(s.runCtx, a.Request.Deadline-s.now())
	defer cancel()
	key := attempt{token: a.Token, number: a.Attempt}
	s.mu.Lock()
	s.cancels[key] = cancel
	t, _ := s.core.Router.NewestCatalog().Target(a.Upstream)
	s.mu.Unlock()
	body, err := s.upstreams.send(ctx, upstreamRequest{web: t.Web, service: a.Request.Service, id: a.Request.ID, body: a.Request.Body})
	end := executor.AttemptEnd{Token: a.Token, Attempt: a.Attempt, Result: classifyResult(err), Body: body, Upstream: t.Name}
	s.handleEvent(func(now time.Duration) {
		delete(s.cancels, key)
		s.exec.HandleAttemptEnd(now, end)
	})
}

// classifyResult returns how an attempt ended, given the error from upstreams.send.
func classifyResult(err error) dispatcher.Result {
	var notRun *NotRunError
	switch {
	case err == nil:
		return dispatcher.Done
	case errors.As(err, &notRun):
		return dispatcher.Shed
	}
	return dispatcher.Failed
}

func (s *Server) cancelAttempt(key attempt) {
	s.mu.Lock()
	cancel := s.cancels[key]
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// sendSlotMessage sends a datagram that requests, leases or returns a slot. Such datagrams are counted as
// request traffic and don't use up the budget for control traffic.
func (s *Server) sendSlotMessage(vm rattanwood.VMID, e *wire.Envelope) {
	address, ok := s.peerAddress(vm)
	if !ok {
		return
	}
	e.Vm = s.cfg.Settings.VM
	e.Life = uint64(s.cfg.Incarnation)
	data, err := proto.Marshal(e)
	if err != nil {
		return
	}
	s.metrics.slotBytes.Add(float64(len(data)))
	if _, err := s.peerUDP.WriteToUDPAddrPort(data, address); err != nil {
		s.metrics.rejected.WithLabelValues("peer_send").Inc()
	}
}

// handleSlotMessage handles a datagram that requests, leases or returns a slot. It reports false for any
// other datagram.
func (s *Server) handleSlotMessage(e *wire.Envelope) bool {
	vm := rattanwood.VMID(e.GetVm())
	switch body := e.GetBody().(type) {
	case *wire.Envelope_Want:
		s.handleEvent(func(now time.Duration) {
			if def := s.service(rattanwood.ServiceID(body.Want.GetService())); def != nil {
				s.exec.HandleSlotRequest(now, decodeSlotRequest(vm, body.Want, def.Limits), def.Limits)
			}
		})
	case *wire.Envelope_Lease:
		l := body.Lease
		s.handleEvent(func(now time.Duration) {
			s.exec.HandleLease(now, executor.Lease{VM: vm, Token: executor.Token(l.GetToken()), Attempt: l.GetAttempt(), Upstream: rattanwood.UpstreamID(l.GetUpstream()), Queued: l.GetQueued()})
		})
	case *wire.Envelope_Return:
		r := body.Return
		s.handleEvent(func(now time.Duration) {
			s.exec.HandleReturnedSlot(now, vm, executor.Token(r.GetToken()), r.GetAttempt(), dispatcher.Result(min(r.GetResult(), uint32(dispatcher.Failed))))
		})
	default:
		return false
	}
	return true
}

func encodeSlotRequest(w executor.RequestSlot) *wire.Want {
	out := &wire.Want{Token: uint64(w.Token), Attempt: w.Attempt, Service: string(w.Service), Left: uint64(w.TimeLeft / time.Millisecond)}
	for _, id := range w.Exclude {
		out.Exclude = append(out.Exclude, uint32(id))
	}
	return out
}

func decodeSlotRequest(vm rattanwood.VMID, w *wire.Want, limits rattanwood.Limits) executor.RequestSlot {
	timeLeft := time.Duration(min(w.GetLeft(), maxAgeMillis)) * time.Millisecond
	out := executor.RequestSlot{
		VM:       vm,
		Token:    executor.Token(w.GetToken()),
		Attempt:  w.GetAttempt(),
		Service:  rattanwood.ServiceID(w.GetService()),
		TimeLeft: min(timeLeft, limits.Timeout()),
	}
	for _, id := range w.GetExclude() {
		out.Exclude = append(out.Exclude, rattanwood.UpstreamID(id))
	}
	return out
}

// replicaGroup returns the VMs that hold the replicas of a request id. Dead members count as well, so that
// the group doesn't change when one dies. Members that were named by the platform or by peers but never heard
// from don't count. The caller must hold mu.
func (s *Server) replicaGroup(id rattanwood.RequestID) []rattanwood.VMID {
	vms := []rattanwood.VMID{rattanwood.VMID(s.cfg.Settings.VM)}
	for _, m := range s.core.Members.Members() {
		if m.State != detector.Listed {
			vms = append(vms, m.VM)
		}
	}
	return claimer.Group(id, vms)
}

// claimantAlive reports whether a claimant's process may still be running. The caller must hold mu.
func (s *Server) claimantAlive(c claimer.Claimant) bool {
	m, ok := s.core.Members.Member(c.VM)
	return ok && m.Incarnation == c.Incarnation && m.State != detector.Dead
}

// slotOwner returns the balancer that allocates the slots of a service. The caller must hold mu.
func (s *Server) slotOwner(service rattanwood.ServiceID) rattanwood.VMID {
	return s.core.SlotOwner(service)
}

// candidates returns the healthy upstreams of a service in the newest document, with the slots that slow
// start allows each. The caller must hold mu.
func (s *Server) candidates(service rattanwood.ServiceID) []dispatcher.Candidate {
	def := s.service(service)
	if def == nil {
		return nil
	}
	now, version := s.now(), s.core.Router.NewestCatalog().Version
	var out []dispatcher.Candidate
	for _, u := range def.Upstreams {
		if u.Active(version) && s.core.HealthTable.Health(u.ID()) == marker.Healthy {
			out = append(out, dispatcher.Candidate{ID: u.ID(), Slots: dispatcher.SlowStartSlots(u.Slots, s.healthyFor(now, u))})
		}
	}
	return out
}

// healthyFor returns how long an upstream is known to have been healthy, for its slow start: the time since
// its health state last changed, or since the document that added it replaced an earlier one. Without
// either, the upstream counts as warmed up.
func (s *Server) healthyFor(now time.Duration, u rattanwood.Upstream) time.Duration {
	age := now + dispatcher.SlowStartTime
	if at, changed := s.core.HealthTable.ChangedAt(u.ID()); changed {
		age = min(age, now-at)
	}
	if u.Since == s.updatedVersion {
		age = min(age, now-s.updatedAt)
	}
	return age
}
