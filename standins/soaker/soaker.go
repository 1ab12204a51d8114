// Package soaker runs real balancers as processes under load, injects faults from outside of them, and
// checks the guarantees of affinity by tag (package tagger) by what Callers and upstreams observe.
//
// The store, the router, the upstreams and the Callers are stand-ins inside this process. Balancers
// reach the store and the upstreams through links: proxies that can delay, drop, reset and refuse.
package soaker

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"example.org/rattanwood"
	"example.org/rattanwood/platform/emulator"
	"example.org/rattanwood/standins/launcher"
)

// Config holds the settings that Soak and Load share.
type Config struct {
	Bin                string  `help:"Program of the balancer." required:""`
	Old                string  `help:"Program of an earlier build. The fleet starts with it, and balancers are replaced by Bin and back again, one after the other."`
	Seed               uint64  `help:"Seed, the first one if there are several." default:"1"`
	Seconds            int     `help:"Seconds of load with faults." default:"10"`
	Balancers          int     `name:"nodes" help:"Number of balancers." default:"6"`
	Callers            int     `help:"Number of Callers." default:"24"`
	PauseMillis        int     `name:"pause" help:"Mean pause of a Caller between two requests in milliseconds." default:"50"`
	SecondServiceShare float64 `name:"maps" help:"Share of the Callers that use the second service, from 0 to 1." default:"0.33"`
	Network            int     `name:"slot" help:"Loopback network 127.N of the run; runs at the same time need different ones." default:"60"`
	KeepLogs           bool    `name:"keep" help:"Keep the logs also if no promise is broken."`
}

// Soak is the command that runs balancers through random faults, once for each seed, and fails if a
// guarantee was violated.
type Soak struct {
	Config
	Seeds          int  `help:"Number of seeds, one after the other." default:"1"`
	RunRegressions bool `name:"again" help:"First run the seeds that failed in the past."`
}

// FleetNotReadyError reports that some balancers were not ready within the start timeout.
type FleetNotReadyError struct {
	Ready, Balancers int
}

// Error returns how many balancers are ready.
func (e *FleetNotReadyError) Error() string {
	return fmt.Sprintf("fleet did not start in time: %d of %d balancers ready", e.Ready, e.Balancers)
}

// ViolationError reports the seeds whose runs violated a guarantee.
type ViolationError struct {
	Seeds []uint64
}

// Error lists the seeds.
func (e *ViolationError) Error() string { return fmt.Sprintf("promises broken with seeds %v", e.Seeds) }

// Run runs all seeds and fails with a ViolationError if a guarantee was violated.
func (c *Soak) Run(ctx context.Context) error {
	bin, err := filepath.Abs(c.Bin)
	if err != nil {
		return err
	}
	if c.Old != "" {
		if c.Old, err = filepath.Abs(c.Old); err != nil {
			return err
		}
	}
	var runs []seedRun
	if c.RunRegressions {
		runs = append(runs, regressions...)
	}
	for i := range c.Seeds {
		runs = append(runs, seedRun{seed: c.Seed + uint64(i), kindCount: len(eventKinds)})
	}
	var failedSeeds []uint64
	for _, r := range runs {
		if r.cause != "" {
			fmt.Printf("seed %d is played again: %s\n", r.seed, r.cause)
		}
		cfg := c.Config
		cfg.Bin, cfg.Seed = bin, r.seed
		ok, err := runSeed(ctx, cfg, r.kindCount)
		if err := errors.Join(err, ctx.Err()); err != nil {
			// A run that was interrupted has no valid result.
			return err
		}
		if !ok {
			failedSeeds = append(failedSeeds, cfg.Seed)
		}
	}
	if len(failedSeeds) > 0 {
		return &ViolationError{Seeds: failedSeeds}
	}
	return nil
}

// soakRun is one run with one seed: the processes, the upstreams and the routes. Except for the monitor
// and what routesMu guards, only the goroutine that plans the events changes its fields.
type soakRun struct {
	*monitor
	// kindCount limits the random choice to the first kinds of eventKinds.
	kindCount          int
	rng                *rand.Rand
	processes          *launcher.Launcher
	balancers          []*balancerProcess
	upstreamsByService map[rattanwood.ServiceID][]*upstream
	// lastInstance is the highest instance ID in use. Its low byte is the host number of the upstream's
	// addresses.
	lastInstance rattanwood.InstanceID
	// hasSecondDataCentre is set once there are upstreams in secondDataCentre.
	hasSecondDataCentre bool
	// activeRoutes maps addresses to services, as in the last version of the routing.
	activeRoutes   map[string]rattanwood.ServiceID
	routingVersion rattanwood.Version
	// routesMu guards activeRoutes and routingVersion, which concurrent events change.
	routesMu sync.Mutex
}

// balancerProcess is a balancer, which keeps its name, IP address and settings across restarts.
type balancerProcess struct {
	name, ip     string
	settingsFile string
	process      *launcher.Process
	// upgraded is set if the balancer runs Config.Bin rather than Config.Old.
	upgraded  bool
	storeLink *link
	// inUse is set while an event acts on the balancer; monitor.mu guards it.
	inUse bool
}

const (
	// startTimeout limits the time until all balancers are ready.
	startTimeout = 10 * time.Second
	// recoveryTime is the time after the last fault within which the fleet must recover.
	recoveryTime = 5 * time.Second
	// verificationTime is how long the answers are counted after recoveryTime.
	verificationTime = 2 * time.Second
	// minRecoveredShare is the share of requests that must be answered during verificationTime.
	minRecoveredShare = 0.98
)

// ip returns an IP address in the run's own loopback network. The third byte, net, is 1 for the store,
// 2 for links to the store, 40 for balancers, 43 for links to upstreams, 44 for upstreams, and 50 for
// Callers.
func (s *soakRun) ip(net, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", s.cfg.Network, net, host)
}

// runSeed runs one seed with the first kindCount kinds of events and reports whether all guarantees
// held.
func runSeed(ctx context.Context, cfg Config, kindCount int) (ok bool, err error) {
	s, err := newSoakRun(cfg)
	if err != nil {
		return false, err
	}
	s.kindCount = kindCount
	if err := s.execute(ctx, s.playRandomEvents); err != nil {
		return false, err
	}
	return s.reportResult(), nil
}

// newSoakRun returns a run without processes and makes a temporary directory for their logs.
func newSoakRun(cfg Config) (*soakRun, error) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("rattanwood-soak-%d-", cfg.Seed))
	if err != nil {
		return nil, err
	}
	return &soakRun{
		monitor: &monitor{
			cfg: cfg, startedAt: time.Now(), faultEnds: map[string]time.Time{}, routeHistory: map[string][]routeChange{},
			openings: map[flowEnds]*flowOpening{}, runCounts: map[string]int{},
		},
		rng: rand.New(rand.NewPCG(cfg.Seed, 0)), processes: &launcher.Launcher{Dir: dir}, upstreamsByService: map[rattanwood.ServiceID][]*upstream{},
		lastInstance: 0xab00000000, activeRoutes: map[string]rattanwood.ServiceID{},
	}, nil
}

// execute starts all parts, lets the Callers send requests until plan returns, and stops all parts.
func (s *soakRun) execute(ctx context.Context, plan func(context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer s.processes.StopAll()
	if err := s.startAll(ctx); err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	for i := range s.cfg.Callers {
		c, err := newCaller(s.monitor, i, s.ip(50, i+1))
		if err != nil {
			return err
		}
		group.Go(func() error { c.run(ctx); return nil })
	}
	err := plan(ctx)
	cancel()
	err = errors.Join(err, group.Wait())
	s.closeAll()
	return err
}

// reportResult checks that the fleet recovered, prints the result, and reports whether all guarantees
// held.
func (s *soakRun) reportResult() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if total := s.answeredAfterRecovery + s.failedAfterRecovery; float64(s.answeredAfterRecovery) < minRecoveredShare*float64(total) || total == 0 {
		s.recordViolationLocked("not well again after the last fault", fmt.Sprintf("%d of %d requests answered", s.answeredAfterRecovery, total))
	}
	fmt.Printf("seed %d: answered %d, not answered %d, broken promises %d\n", s.cfg.Seed, s.answered, s.failed, len(s.violations))
	return s.cleanUpLogs()
}

// cleanUpLogs reports whether all guarantees held. If so, it removes the logs; otherwise, or with
// KeepLogs, it prints events and violations and keeps them. The caller holds mu.
func (s *soakRun) cleanUpLogs() bool {
	dir := s.processes.Dir
	if len(s.violations) > 0 || s.cfg.KeepLogs {
		for _, line := range append(s.events, s.violations...) {
			fmt.Println("  " + line)
		}
		fmt.Println("  logs in", dir)
		return len(s.violations) == 0
	}
	_ = os.RemoveAll(dir)
	return true
}

// startAll starts the store, the router, the upstreams and the balancers, and waits until all
// balancers are ready.
func (s *soakRun) startAll(ctx context.Context) error {
	var err error
	if s.store, err = newStore(s.ip(1, 1) + ":8169"); err != nil {
		return err
	}
	var balancerIPs []string
	for i := range s.cfg.Balancers {
		balancerIPs = append(balancerIPs, s.ip(40, i+1))
	}
	if s.router, err = newRouter(s.monitor, balancerIPs); err != nil {
		return err
	}
	for range 6 {
		if err := s.addUpstream(serviceSwap, dataCentre); err != nil {
			return err
		}
	}
	for range 3 {
		if err := s.addUpstream(serviceMaps, dataCentre); err != nil {
			return err
		}
	}
	s.setRoute(addressSwap, serviceSwap)
	s.setRoute(addressMaps, serviceMaps)
	for i := range s.cfg.Balancers {
		if err := s.addBalancer(i); err != nil {
			return err
		}
	}
	go s.router.probeTargets(ctx)
	for end := time.Now().Add(startTimeout); s.router.readyCount() < s.cfg.Balancers; time.Sleep(pollInterval) {
		if time.Now().After(end) {
			return &FleetNotReadyError{Ready: s.router.readyCount(), Balancers: s.cfg.Balancers}
		}
	}
	return nil
}

// closeAll stops the upstreams and closes the sockets of links, store and router.
func (s *soakRun) closeAll() {
	for _, u := range s.upstreams {
		if u.isRunning() {
			u.stop()
		}
	}
	for _, b := range s.balancers {
		b.storeLink.refuseConnections()
	}
	_ = s.store.listener.Close()
	_ = s.router.conn.Close()
}

// addUpstream starts an upstream of a service in a data centre and registers it.
func (s *soakRun) addUpstream(service rattanwood.ServiceID, centre rattanwood.DataCentre) error {
	return s.addColdUpstream(service, centre, 0)
}

// addColdUpstream is like addUpstream, for an upstream that is cold for d.
func (s *soakRun) addColdUpstream(service rattanwood.ServiceID, centre rattanwood.DataCentre, d time.Duration) error {
	s.lastInstance++
	host := int(s.lastInstance & 0xff)
	u, err := newUpstream(s.monitor, s.lastInstance, service, centre, s.ip(43, host)+":8080", s.ip(44, host)+":8080")
	if err != nil {
		return err
	}
	u.coldUntil = u.startedAt.Add(d)
	s.mu.Lock()
	s.upstreams = append(s.upstreams, u)
	s.mu.Unlock()
	s.upstreamsByService[service] = append(s.upstreamsByService[service], u)
	u.register()
	return nil
}

// setRoute publishes a routing that sends an address to a service; an empty service removes the route.
func (s *soakRun) setRoute(address string, service rattanwood.ServiceID) {
	s.routesMu.Lock()
	defer s.routesMu.Unlock()
	if s.routingVersion++; service == "" {
		delete(s.activeRoutes, address)
	} else {
		s.activeRoutes[address] = service
	}
	s.mu.Lock()
	s.routeHistory[address] = append(s.routeHistory[address], routeChange{service: service, changedAt: time.Now()})
	s.mu.Unlock()
	s.publishRoutesLocked()
}

// publishRoutes writes the current routing to the store.
func (s *soakRun) publishRoutes() {
	s.routesMu.Lock()
	defer s.routesMu.Unlock()
	s.publishRoutesLocked()
}

// publishRoutesLocked is publishRoutes with routesMu held.
func (s *soakRun) publishRoutesLocked() {
	r := &rattanwood.Routing{
		Version: s.routingVersion, HealthPaths: map[rattanwood.ServiceID]string{serviceSwap: "/", serviceMaps: "/"},
		Services: map[rattanwood.ServiceID]rattanwood.ServiceLimits{serviceSwap: {WarmupRate: warmupRate}},
	}
	for address, service := range s.activeRoutes {
		r.Routes = append(r.Routes, rattanwood.Route{
			Name: address, Address: netip.MustParseAddrPort(address), Shares: []rattanwood.Share{{Service: service, Weight: 1}},
		})
	}
	s.store.put(emulator.RoutingKey, emulator.EncodeRouting(r))
}

// addBalancer writes the settings of balancer i and starts it. The first two balancers are the
// bootstrap addresses (seeds) of all; balancers ignore the ports of seeds.
func (s *soakRun) addBalancer(i int) error {
	b := &balancerProcess{upgraded: s.cfg.Old == "", name: fmt.Sprintf("vm-%d", i), ip: s.ip(40, i+1), settingsFile: filepath.Join(s.processes.Dir, fmt.Sprintf("vm-%d.json", i))}
	var err error
	if b.storeLink, err = newLink(s.ip(2, i+1)+":8169", s.store.listener.Addr().String(), false); err != nil {
		return err
	}
	text := fmt.Sprintf(`{"vm": %q, "centre": %q, "address": %q, "platform": %q, "affinity": "tag", "admission": %t, "seeds": [%q, %q],
		"ports": {"peer": %d, "tunnel": %d, "web": %s}, "warmup": {"overage": %g, "slack": %g}, "times": {"apply": 3000, "grace": 6}}`,
		b.name, dataCentre, b.ip, b.storeLink.listenAddress, s.cfg.Old != "", s.ip(40, 1)+":1", s.ip(40, 2)+":1", peerPort, tunnelPort, webPort, warmupOverage, warmupSlack)
	if err := os.WriteFile(b.settingsFile, []byte(text), 0o600); err != nil {
		return err
	}
	s.balancers = append(s.balancers, b)
	return s.startBalancer(b)
}

func (s *soakRun) startBalancer(b *balancerProcess) (err error) {
	program := s.cfg.Old
	if b.upgraded {
		program = s.cfg.Bin
	}
	b.process, err = s.processes.Start(b.name, program, "serve", b.settingsFile)
	return err
}

// replaceBuilds replaces all balancers one after the other by those of the other build, and then back again.
func (s *soakRun) replaceBuilds(ctx context.Context) error {
	for range 2 {
		for _, b := range s.balancers {
			for !s.reserve(b) && ctx.Err() == nil {
				sleep(ctx, minEventGap)
			}
			b.upgraded = !b.upgraded
			s.logEvent(fmt.Sprintf("replace %s, new build %t", b.name, b.upgraded))
			err := s.stopAndRestart(ctx, b)
			s.release(b)
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// recordBalancerFault records that a balancer has a fault for d.
func (s *soakRun) recordBalancerFault(b *balancerProcess, d time.Duration) {
	s.recordFault(balancerFaultPrefix+b.ip, d)
}

// killAndRestart ends a balancer with SIGKILL and starts it again after d. The recorded fault lasts a
// second longer, until the balancer has started.
func (s *soakRun) killAndRestart(ctx context.Context, b *balancerProcess, d time.Duration) error {
	s.recordBalancerFault(b, d+time.Second)
	b.process.Signal(syscall.SIGKILL)
	b.process.Wait(ctx)
	sleep(ctx, d)
	return s.startBalancer(b)
}

// stopAndRestart stops a balancer with SIGTERM and starts it again. A graceful restart doesn't count
// as a fault: all guarantees hold through it.
func (s *soakRun) stopAndRestart(ctx context.Context, b *balancerProcess) error {
	b.process.Signal(syscall.SIGTERM)
	b.process.Wait(ctx)
	return s.startBalancer(b)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
