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

// settleDeadline bounds the recording of an outcome and the release of a claim.
const settleDeadline = 2 * time.Second

// retryAfter is when a Caller without an answer should come back, in seconds.
const retryAfter = 1

// reasonService is the reason of a refusal for a service that isn't in the document.
const reasonService = "service"

// attempt names a request on its way to an upstream.
type attempt struct {
	token  executor.Token
	number uint64
}

// requests implements the requests service.
type requests struct {
	server *Server
}

// Run runs a request of a Caller and waits for its outcome.
func (q *requests) Run(ctx context.Context, p *genrequests.RunPayload) (*genrequests.RunResult, error) {
	s := q.server
	s.mu.Lock()
	def := s.service(rattanwood.ServiceID(p.Service))
	if def == nil {
		s.mu.Unlock()
		return s.reply(executor.Result{Outcome: claimer.Outcome{Kind: claimer.Refused}, Reason: reasonService})
	}
	now := s.now()
	token := s.exec.Submit(now, newRequest(now, p, def))
	done := make(chan executor.Result, 1)
	s.replies[token] = done
	actions := s.exec.TakeActions()
	s.mu.Unlock()
	s.performRequests(actions)
	select {
	case result := <-done:
		return s.reply(result)
	case <-ctx.Done():
	}
	s.mu.Lock()
	s.exec.Abandon(s.now(), token)
	delete(s.replies, token)
	actions = s.exec.TakeActions()
	s.mu.Unlock()
	s.performRequests(actions)
	return nil, ctx.Err()
}

// service returns the newest definition of a service, or nil; the caller holds the lock.
func (s *Server) service(name rattanwood.ServiceID) *rattanwood.Service {
	newest := s.core.Router.NewestCatalog()
	if newest == nil {
		return nil
	}
	return newest.Service(name)
}

func newRequest(now time.Duration, p *genrequests.RunPayload, def *rattanwood.Service) executor.Request {
	limit := def.Limits.Timeout()
	if asked := time.Duration(p.Deadline) * time.Millisecond; asked > 0 {
		limit = min(limit, asked)
	}
	r := executor.Request{
		ID:         rattanwood.RequestID(p.Service + "/" + p.ID),
		Service:    def.Name,
		Limits:     def.Limits,
		Idempotent: p.Idempotent,
		Deadline:   now + limit,
		Age:        time.Duration(min(int64(p.Age), maxAge)) * time.Millisecond,
	}
	if p.Age < 0 {
		r.Age = def.Limits.Timeout()
	}
	if p.Body != nil {
		r.Body = *p.Body
	}
	return r
}

// maxAge is the largest age of a request that can be told, in milliseconds.
const maxAge = 1 << 40

// reply turns a result into what goa sends.
func (s *Server) reply(r executor.Result) (*genrequests.RunResult, error) {
	s.metrics.requests.WithLabelValues(r.Kind.String(), r.Reason).Inc()
	switch r.Kind {
	case claimer.Answered:
		return &genrequests.RunResult{Upstream: r.Upstream, Body: string(r.Body), Replayed: r.Replayed}, nil
	case claimer.Refused:
		return nil, &genrequests.Refusal{Name: "refused", Reason: r.Reason, Detail: "The request was not run. Ask again, here or at another balancer.", Retry: retryAfter}
	}
	return nil, &genrequests.Refusal{Name: "unknown", Reason: r.Reason, Detail: "The request may have run. Ask again with the same id to learn its outcome.", Retry: retryAfter}
}

// performRequests carries out the actions of the executor.
func (s *Server) performRequests(actions []executor.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case executor.Reply:
			s.deliver(a)
		case executor.RequestClaim:
			s.running.Go(func() { s.ask(a) })
		case executor.ReleaseClaim:
			s.running.Go(func() { s.release(a) })
		case executor.Settle:
			s.running.Go(func() { s.settle(a) })
		case executor.Send:
			s.running.Go(func() { s.run(a) })
		case executor.Cancel:
			s.cancelRun(attempt{token: a.Token, number: a.Attempt})
		case executor.RequestSlot:
			s.tellPeer(a.VM, &wire.Envelope{Body: &wire.Envelope_Want{Want: encodeWant(a)}})
		case executor.Lease:
			s.tellPeer(a.VM, &wire.Envelope{Body: &wire.Envelope_Lease{Lease: &wire.Lease{Token: uint64(a.Token), Attempt: a.Attempt, Upstream: uint32(a.Upstream), Queued: a.Queued}}})
		case executor.ReturnSlot:
			s.tellPeer(a.VM, &wire.Envelope{Body: &wire.Envelope_Return{Return: &wire.Return{Token: uint64(a.Token), Attempt: a.Attempt, Result: uint32(a.Result)}}})
		}
	}
}

// event lets the executor take in something and carries out what follows.
func (s *Server) event(take func(now time.Duration)) {
	s.mu.Lock()
	take(s.now())
	actions := s.exec.TakeActions()
	s.mu.Unlock()
	s.performRequests(actions)
}

func (s *Server) deliver(a executor.Reply) {
	s.mu.Lock()
	done := s.replies[a.Token]
	delete(s.replies, a.Token)
	s.mu.Unlock()
	if done != nil {
		done <- a.Result
	}
}

// peerAddress returns the address of another balancer.
func (s *Server) peerAddress(vm rattanwood.VMID) (netip.AddrPort, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.core.Members.Member(vm)
	if !ok {
		return netip.AddrPort{}, false
	}
	return m.Address, true
}

func (s *Server) ask(a executor.RequestClaim) {
	ctx, cancel := context.WithTimeout(s.life, executor.ClaimTimeout)
	defer cancel()
	reply := s.claimAt(ctx, a.VM, encodeClaim(a.Claim))
	s.event(func(now time.Duration) { s.exec.HandleVote(now, a.Token, a.Claim, a.VM, reply) })
}

func (s *Server) release(a executor.ReleaseClaim) {
	ctx, cancel := context.WithTimeout(s.life, settleDeadline)
	defer cancel()
	r := encodeClaim(a.Claim)
	r.Release = true
	s.claimAt(ctx, a.VM, r)
}

// claimAt returns a replica's vote; a replica that can't be reached gives none.
func (s *Server) claimAt(ctx context.Context, vm rattanwood.VMID, r *wire.ClaimRequest) claimer.Reply {
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

func (s *Server) settle(a executor.Settle) {
	ctx, cancel := context.WithTimeout(s.life, settleDeadline)
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

// run sends a request to an upstream and takes in how it ends.
func (s *Server) run(a executor.Send) {
	ctx, cancel := context.WithTimeout(s.life, a.Request.Deadline-s.now())
	defer cancel()
	key := attempt{token: a.Token, number: a.Attempt}
	s.mu.Lock()
	s.cancels[key] = cancel
	t, _ := s.core.Router.NewestCatalog().Target(a.Upstream)
	s.mu.Unlock()
	body, err := s.upstreams.send(ctx, order{web: t.Web, service: a.Request.Service, id: a.Request.ID, body: a.Request.Body})
	end := executor.AttemptEnd{Token: a.Token, Attempt: a.Attempt, Result: ended(err), Body: body, Upstream: t.Name}
	s.event(func(now time.Duration) {
		delete(s.cancels, key)
		s.exec.HandleAttemptEnd(now, end)
	})
}

// ended classifies the end of a request on an upstream.
func ended(err error) dispatcher.Result {
	var notRun *NotRunError
	switch {
	case err == nil:
		return dispatcher.Done
	case errors.As(err, &notRun):
		return dispatcher.Shed
	}
	return dispatcher.Failed
}

func (s *Server) cancelRun(key attempt) {
	s.mu.Lock()
	cancel := s.cancels[key]
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// tellPeer sends a datagram about slots. It is part of a request's own traffic,
// which the control budget doesn't cover.
func (s *Server) tellPeer(vm rattanwood.VMID, e *wire.Envelope) {
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
	s.metrics.slots.Add(float64(len(data)))
	if _, err := s.peerUDP.WriteToUDPAddrPort(data, address); err != nil {
		s.metrics.rejected.WithLabelValues("peer_send").Inc()
	}
}

// slotMessage takes in a datagram about slots and reports whether it was one.
func (s *Server) slotMessage(e *wire.Envelope) bool {
	vm := rattanwood.VMID(e.GetVm())
	switch body := e.GetBody().(type) {
	case *wire.Envelope_Want:
		s.event(func(now time.Duration) {
			if def := s.service(rattanwood.ServiceID(body.Want.GetService())); def != nil {
				s.exec.HandleSlotRequest(now, decodeWant(vm, body.Want, def.Limits), def.Limits)
			}
		})
	case *wire.Envelope_Lease:
		l := body.Lease
		s.event(func(now time.Duration) {
			s.exec.HandleLease(now, executor.Lease{VM: vm, Token: executor.Token(l.GetToken()), Attempt: l.GetAttempt(), Upstream: rattanwood.UpstreamID(l.GetUpstream()), Queued: l.GetQueued()})
		})
	case *wire.Envelope_Return:
		r := body.Return
		s.event(func(now time.Duration) {
			s.exec.HandleReturnedSlot(now, vm, executor.Token(r.GetToken()), r.GetAttempt(), dispatcher.Result(min(r.GetResult(), uint32(dispatcher.Failed))))
		})
	default:
		return false
	}
	return true
}

func encodeWant(w executor.RequestSlot) *wire.Want {
	out := &wire.Want{Token: uint64(w.Token), Attempt: w.Attempt, Service: string(w.Service), Left: uint64(w.TimeLeft / time.Millisecond)}
	for _, id := range w.Exclude {
		out.Exclude = append(out.Exclude, uint32(id))
	}
	return out
}

func decodeWant(vm rattanwood.VMID, w *wire.Want, limits rattanwood.Limits) executor.RequestSlot {
	left := time.Duration(min(w.GetLeft(), maxAge)) * time.Millisecond
	out := executor.RequestSlot{
		VM:       vm,
		Token:    executor.Token(w.GetToken()),
		Attempt:  w.GetAttempt(),
		Service:  rattanwood.ServiceID(w.GetService()),
		TimeLeft: min(left, limits.Timeout()),
	}
	for _, id := range w.GetExclude() {
		out.Exclude = append(out.Exclude, rattanwood.UpstreamID(id))
	}
	return out
}

// group returns the replicas of an id among all VMs that are known, dead or alive; the caller holds the lock.
func (s *Server) group(id rattanwood.RequestID) []rattanwood.VMID {
	vms := []rattanwood.VMID{rattanwood.VMID(s.cfg.Settings.VM)}
	for _, m := range s.core.Members.Members() {
		if m.State != detector.Listed {
			vms = append(vms, m.VM)
		}
	}
	return claimer.Group(id, vms)
}

// alive reports whether a claimant may still answer; the caller holds the lock.
func (s *Server) alive(c claimer.Claimant) bool {
	m, ok := s.core.Members.Member(c.VM)
	return ok && m.Incarnation == c.Incarnation && m.State != detector.Dead
}

// keeper returns who keeps a service's slots; the caller holds the lock.
func (s *Server) keeper(service rattanwood.ServiceID) rattanwood.VMID {
	return s.core.SlotOwner(service)
}

// candidates returns the upstreams of a service that may get requests; the caller holds the lock.
func (s *Server) candidates(service rattanwood.ServiceID) []dispatcher.Candidate {
	def := s.service(service)
	if def == nil {
		return nil
	}
	now, version := s.now(), s.core.Router.NewestCatalog().Version
	var out []dispatcher.Candidate
	for _, u := range def.Upstreams {
		if u.Active(version) && s.core.HealthTable.Health(u.ID()) == marker.Healthy {
			out = append(out, dispatcher.Candidate{ID: u.ID(), Slots: dispatcher.SlowStartSlots(u.Slots, s.warm(now, u))})
		}
	}
	return out
}

// warm returns for how long an upstream is known to be well: since its mark was
// taken back, or since the document that added it replaced an earlier one.
func (s *Server) warm(now time.Duration, u rattanwood.Upstream) time.Duration {
	age := now + dispatcher.SlowStartTime
	if at, marked := s.core.HealthTable.ChangedAt(u.ID()); marked {
		age = min(age, now-at)
	}
	if u.Since == s.grown {
		age = min(age, now-s.grownAt)
	}
	return age
}
