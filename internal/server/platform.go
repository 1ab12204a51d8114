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

// Times of the platform's readers.
const (
	// watchDeadline bounds a waiting watch.
	watchDeadline = 20 * time.Second
	// callDeadline bounds any other call of the platform.
	callDeadline = 2 * time.Second
	// idlePause is how often a balancer looks whether it has become a reader.
	idlePause = time.Second
	// failLeast and failMost bound the back-off after a failed call.
	failLeast = 200 * time.Millisecond
	failMost  = 10 * time.Second
	// staleShort is the pause after a stale answer.
	staleShort = 500 * time.Millisecond
)

// bootstrap reads the platform once, so that a new balancer knows others to ask.
func (s *Server) bootstrap(ctx context.Context) {
	for _, address := range s.cfg.Settings.SeedAddresses() {
		s.mu.Lock()
		s.core.Members.Add(rattanwood.VMID(address.Addr().String()), address, "")
		s.mu.Unlock()
	}
	s.readList(ctx)
	ctx, cancel := context.WithTimeout(ctx, callDeadline)
	defer cancel()
	if data, err := s.platform.Document(ctx); err == nil && len(data) > 0 {
		_ = s.setDocument("platform", data)
	}
}

// documentLoop watches the platform while this balancer is a reader.
func (s *Server) documentLoop(ctx context.Context) error {
	fails := 0
	for ctx.Err() == nil {
		if !s.reader() {
			listener.Sleep(ctx, idlePause)
			continue
		}
		if s.watch(ctx) {
			fails = 0
			continue
		}
		fails++
		full := min(failLeast<<min(fails, 10), failMost)
		listener.Sleep(ctx, full/2+rand.N(full/2))
	}
	return nil
}

func (s *Server) reader() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.ReadsPlatform()
}

// watch waits for one newer document and reports whether the platform answered.
func (s *Server) watch(ctx context.Context) bool {
	var after rattanwood.Version
	if c := s.newest(); c != nil {
		after = c.Version
	}
	watch, cancel := context.WithTimeout(ctx, watchDeadline)
	defer cancel()
	s.metrics.platform.Inc()
	data, err := s.platform.Watch(watch, after)
	s.mu.Lock()
	s.core.SetPlatformUnreachable(err != nil)
	s.mu.Unlock()
	if err != nil {
		if ctx.Err() == nil {
			s.log.Warn("platform failed", zap.String(logger.KeyError, err.Error()))
		}
		return false
	}
	if len(data) == 0 {
		return true
	}
	if s.setDocument("platform", data) != nil {
		return false
	}
	if c := s.newest(); c != nil && c.Version <= after {
		listener.Sleep(ctx, staleShort)
	}
	return true
}

// listLoop reads the platform's list of VMs, so that all balancers forget lost VMs alike.
func (s *Server) listLoop(ctx context.Context) error {
	period := settings.Duration(s.cfg.Settings.Times.VMListInterval)
	for ctx.Err() == nil {
		listener.Sleep(ctx, period/2+rand.N(period))
		s.readList(ctx)
	}
	return nil
}

func (s *Server) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callDeadline)
	defer cancel()
	s.metrics.platform.Inc()
	vms, err := s.platform.VMs(ctx)
	if err != nil {
		s.log.Warn("platform failed", zap.String(logger.KeyError, err.Error()))
		return
	}
	for i := range vms {
		vms[i].Address = netip.AddrPortFrom(vms[i].Address.Addr(), uint16(s.cfg.Settings.Ports.Peer))
	}
	s.mu.Lock()
	s.core.SetVMs(vms)
	s.mu.Unlock()
}

// probeFailures is the number of failed probes in a row that mark an upstream down.
const probeFailures = 3

// probeLoop probes the upstreams that fall to this balancer.
func (s *Server) probeLoop(ctx context.Context) error {
	period := settings.Duration(s.cfg.Settings.Times.ProbeInterval)
	t := time.NewTicker(period)
	defer t.Stop()
	fails := map[rattanwood.UpstreamID]int{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		s.probeAll(ctx, period, fails)
	}
}

func (s *Server) probeAll(ctx context.Context, period time.Duration, fails map[rattanwood.UpstreamID]int) {
	type result struct {
		id    rattanwood.UpstreamID
		state marker.Health
	}
	targets := s.probed()
	results := make(chan result, len(targets))
	for id, web := range targets {
		s.running.Go(func() {
			state := s.upstreams.health(ctx, web, period)
			results <- result{id: id, state: state}
		})
	}
	for range targets {
		r := <-results
		if r.state != marker.Down {
			fails[r.id] = 0
		} else if fails[r.id]++; fails[r.id] < probeFailures {
			continue
		}
		s.observe(ctx, r.id, r.state)
	}
}

// probed returns the web addresses of the upstreams that this balancer has to probe.
func (s *Server) probed() map[rattanwood.UpstreamID]netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	targets := map[rattanwood.UpstreamID]netip.AddrPort{}
	newest := s.core.Router.NewestCatalog()
	if newest == nil {
		return targets
	}
	for id, t := range newest.Targets() {
		if s.core.ProbesUpstream(id) {
			targets[id] = t.Web
		}
	}
	return targets
}

func (s *Server) observe(ctx context.Context, id rattanwood.UpstreamID, state marker.Health) {
	s.mu.Lock()
	before := s.core.HealthTable.Health(id)
	s.core.ObserveHealth(s.now(), id, state)
	actions := s.core.TakeActions()
	s.mu.Unlock()
	s.perform(ctx, actions)
	if before != state {
		s.log.Info("upstream marked", zap.Stringer(logger.KeyPeer, id), zap.Stringer(logger.KeyReason, state))
	}
}
