package server

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"example.org/rattanwood"
	"example.org/rattanwood/internal/listener"
	"example.org/rattanwood/internal/logger"
	"example.org/rattanwood/internal/settings"
	"example.org/rattanwood/marker"
)

const (
	// watchTimeout limits a long poll for a newer document.
	watchTimeout = 20 * time.Second
	// callTimeout limits any other call to the platform.
	callTimeout = 2 * time.Second
	// readerCheckInterval is how often a balancer that isn't a reader of the platform checks whether it has
	// become one.
	readerCheckInterval = time.Second
	// minBackoff and maxBackoff limit the exponential backoff after failed calls to the platform.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 10 * time.Second
	// staleAnswerPause is the pause after the platform returned a document that isn't newer. It prevents a
	// busy loop when the platform does so without waiting.
	staleAnswerPause = 500 * time.Millisecond
)

// bootstrap adds the configured seeds as members and reads the platform once, so that a new balancer
// starts with peers and a document. A seed's VM name isn't known yet: it is added under its IP address, and
// removed when the platform returns the list of VMs.
func (s *Server) bootstrap(ctx context.Context) {
	for _, address := range s.cfg.Settings.SeedAddresses() {
		s.mu.Lock()
		s.core.Members.Add(rattanwood.VMID(address.Addr().String()), address, "")
		s.mu.Unlock()
	}
	s.readVMList(ctx)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if data, err := s.platform.Document(ctx); err == nil && len(data) > 0 {
		_ = s.setDocument("platform", data)
	}
}

// documentLoop watches the platform for new documents while this balancer is a reader. Those that aren't get
// new documents from their peers.
func (s *Server) documentLoop(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		if !s.isReader() {
			listener.Sleep(ctx, readerCheckInterval)
			continue
		}
		if s.watchDocument(ctx) {
			failures = 0
			continue
		}
		failures++
		backoff := min(minBackoff<<min(failures, 10), maxBackoff)
		listener.Sleep(ctx, backoff/2+rand.N(backoff/2))
	}
	return nil
}

// isReader reports whether this balancer is one of those in its data centre that read the platform.
func (s *Server) isReader() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.ReadsPlatform()
}

// watchDocument waits for a newer document and applies it. It reports whether the platform answered
// with no document or a valid one.
func (s *Server) watchDocument(ctx context.Context) bool {
	var after rattanwood.Version
	if c := s.newestCatalog(); c != nil {
		after = c.Version
	}
	watchCtx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	s.metrics.platformCalls.Inc()
	data, err := s.platform.Watch(watchCtx, after)
	s.mu.Lock()
	s.core.SetPlatformUnreachable(err != nil)
	s.mu.Unlock()
	if err != nil {
		if ctx.Err() == nil {
			s.log.Warn("watching the platform for a new document failed", zap.String(logger.KeyError, err.Error()))
		}
		return false
	}
	if len(data) == 0 {
		return true
	}
	if s.setDocument("platform", data) != nil {
		return false
	}
	if c := s.newestCatalog(); c != nil && c.Version <= after {
		listener.Sleep(ctx, staleAnswerPause)
	}
	return true
}

// vmListLoop reads the platform's list of VMs periodically. Every balancer does this, not only the readers,
// so that each one removes the VMs that no longer exist from its member list.
func (s *Server) vmListLoop(ctx context.Context) error {
	period := settings.Duration(s.cfg.Settings.Times.VMListInterval)
	for ctx.Err() == nil {
		listener.Sleep(ctx, period/2+rand.N(period))
		s.readVMList(ctx)
	}
	return nil
}

func (s *Server) readVMList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.metrics.platformCalls.Inc()
	vms, err := s.platform.VMs(ctx)
	if err != nil {
		s.log.Warn("reading the VM list from the platform failed", zap.String(logger.KeyError, err.Error()))
		return
	}
	for i := range vms {
		vms[i].Address = netip.AddrPortFrom(vms[i].Address.Addr(), uint16(s.cfg.Settings.Ports.Peer))
	}
	s.mu.Lock()
	s.core.SetVMs(vms)
	s.mu.Unlock()
}

// failedChecksThreshold is the number of consecutive failed health checks after which an upstream is down.
const failedChecksThreshold = 3

// healthCheckLoop runs the health checks of the upstreams assigned to this balancer.
func (s *Server) healthCheckLoop(ctx context.Context) error {
	period := settings.Duration(s.cfg.Settings.Times.ProbeInterval)
	t := time.NewTicker(period)
	defer t.Stop()
	failures := map[rattanwood.UpstreamID]int{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		s.checkUpstreams(ctx, period, failures)
	}
}

// checkUpstreams checks the health of all assigned upstreams at once and records the results. It counts each
// upstream's consecutive failures in failures.
func (s *Server) checkUpstreams(ctx context.Context, period time.Duration, failures map[rattanwood.UpstreamID]int) {
	type result struct {
		id    rattanwood.UpstreamID
		state marker.Health
	}
	targets := s.healthCheckTargets()
	results := make(chan result, len(targets))
	for id, web := range targets {
		s.running.Go(func() {
			state := s.upstreams.checkHealth(ctx, web, period)
			results <- result{id: id, state: state}
		})
	}
	for range targets {
		r := <-results
		if r.state != marker.Down {
			failures[r.id] = 0
		} else if failures[r.id]++; failures[r.id] < failedChecksThreshold {
			continue
		}
		s.recordHealth(ctx, r.id, r.state)
	}
}

// healthCheckTargets returns the web addresses of the upstreams whose health this balancer has to check.
func (s *Server) healthCheckTargets() map[rattanwood.UpstreamID]netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	targets := map[rattanwood.UpstreamID]netip.AddrPort{}
	newest := s.core.Router.NewestCatalog()
	if newest == nil {
		return targets
	}
	for id, t := range newest.Targets() {
		if s.core.ChecksUpstream(id) {
			targets[id] = t.Web
		}
	}
	return targets
}

// recordHealth passes the result of a health check to the decision logic and logs a change.
func (s *Server) recordHealth(ctx context.Context, id rattanwood.UpstreamID, state marker.Health) {
	s.mu.Lock()
	before := s.core.HealthTable.Health(id)
	s.core.ObserveHealth(s.now(), id, state)
	actions := s.core.TakeActions()
	s.mu.Unlock()
	s.performActions(ctx, actions)
	if before != state {
		s.log.Info("upstream health changed", zap.Stringer(logger.KeyPeer, id), zap.Stringer(logger.KeyReason, state))
	}
}
