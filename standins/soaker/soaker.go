// Package soaker runs real balancers as processes, brings about random series of faults from outside of
// them, and checks the promises of the affinity tag from what Callers and upstreams see.
//
// Store, router, upstreams and Callers are stand-ins in this process. Connections and datagrams to
// the store and the upstreams pass links, which delay, silence, reset and refuse.
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

// Config is what soaks and experiments have in common.
type Config struct {
	Bin                string  `help:"Program of the balancer." required:""`
	Seed               uint64  `help:"Seed, the first one if there are several." default:"1"`
	Seconds            int     `help:"Seconds of load with faults." default:"10"`
	Balancers          int     `name:"nodes" help:"Number of balancers." default:"6"`
	Callers            int     `help:"Number of Callers." default:"24"`
	PauseMillis        int     `name:"pause" help:"Mean pause of a Caller between two requests in milliseconds." default:"50"`
	SecondServiceShare float64 `name:"maps" help:"Part of the Callers that ask the second service." default:"0.33"`
	Network            int     `name:"slot" help:"Loopback network 127.N, so that several runs can go on side by side." default:"60"`
	KeepLogs           bool    `name:"keep" help:"Keep the logs also if no promise is broken."`
}

// Soak is the command line of a soak.
type Soak struct {
	Config
	Seeds          int  `help:"Number of seeds, one after the other." default:"1"`
	RunRegressions bool `name:"again" help:"Play the seeds that once failed first."`
}

// FleetNotReadyError reports a fleet that never got ready.
type FleetNotReadyError struct {
	Ready, Balancers int
}

// Error names how many balancers are ready.
func (e *FleetNotReadyError) Error() string {
	return fmt.Sprintf("%d of %d balancers ready", e.Ready, e.Balancers)
}

// ViolationError lists the promises that a soak saw broken.
type ViolationError struct {
	Seeds []uint64
}

// Error names the seeds.
func (e *ViolationError) Error() string { return fmt.Sprintf("promises broken with seeds %v", e.Seeds) }

// Run plays the seeds and fails with a BrokenError if a promise was broken.
func (c *Soak) Run(ctx context.Context) error {
	bin, err := filepath.Abs(c.Bin)
	if err != nil {
		return err
	}
	var plays []regression
	if c.RunRegressions {
		plays = append(plays, regressions...)
	}
	for i := range c.Seeds {
		plays = append(plays, regression{seed: c.Seed + uint64(i), kinds: len(draws)})
	}
	var broken []uint64
	for _, r := range plays {
		if r.cause != "" {
			fmt.Printf("seed %d is played again: %s\n", r.seed, r.cause)
		}
		cfg := c.Config
		cfg.Bin, cfg.Seed = bin, r.seed
		ok, err := play(ctx, cfg, r.kinds)
		if err := errors.Join(err, ctx.Err()); err != nil {
			// What a soak saw that was ended says nothing.
			return err
		}
		if !ok {
			broken = append(broken, cfg.Seed)
		}
	}
	if len(broken) > 0 {
		return &ViolationError{Seeds: broken}
	}
	return nil
}

// soak is one seed in play. Only the schedule uses it.
type soak struct {
	*world
	// kinds is the number of draws to choose from.
	kinds     int
	random    *rand.Rand
	processes *launcher.Launcher
	nodes     []*nodeProcess
	services  map[rattanwood.ServiceID][]*back
	next      rattanwood.InstanceID
	routesNow map[string]rattanwood.ServiceID
	version   rattanwood.Version
	// edit guards the routes, which several events change.
	edit sync.Mutex
}

type nodeProcess struct {
	name, ip string
	file     string
	process  *launcher.Process
	store    *link
	// busy is set while an event acts on the balancer; mu of the world guards it.
	busy bool
}

const (
	// bootTime is the longest time until a fleet forwards.
	bootTime = 10 * time.Second
	// settleTime is the time after the last fault in which everything must be well again.
	settleTime = 5 * time.Second
	// watchTime is the time for which it must stay well.
	watchTime = 2 * time.Second
	// wellShare is the part of the requests that must be answered then.
	wellShare = 0.98
)

func (s *soak) ip(net, host int) string { return fmt.Sprintf("127.%d.%d.%d", s.cfg.Network, net, host) }

// play runs one seed with the first kinds of events and reports whether every promise was kept.
func play(ctx context.Context, cfg Config, kinds int) (ok bool, err error) {
	s, err := newSoak(cfg)
	if err != nil {
		return false, err
	}
	s.kinds = kinds
	if err := s.serve(ctx, s.schedule); err != nil {
		return false, err
	}
	return s.conclude(), nil
}

// newSoak returns a soak without processes; their logs go to a directory of its own.
func newSoak(cfg Config) (*soak, error) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("rattanwood-soak-%d-", cfg.Seed))
	if err != nil {
		return nil, err
	}
	return &soak{
		world: &world{
			cfg: cfg, began: time.Now(), faults: map[string]time.Time{}, routes: map[string][]binding{},
			openings: map[flowEnds]*opening{}, runs: map[string]int{},
		},
		random: rand.New(rand.NewPCG(cfg.Seed, 0)), processes: &launcher.Launcher{Dir: dir}, services: map[rattanwood.ServiceID][]*back{},
		next: 0xab00000000, routesNow: map[string]rattanwood.ServiceID{},
	}, nil
}

// serve starts everything, lets the Callers send requests until plan returns, and ends everything.
func (s *soak) serve(ctx context.Context, plan func(context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer s.processes.StopAll()
	if err := s.prepare(ctx); err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	for i := range s.cfg.Callers {
		c, err := newClient(s.world, i, s.ip(50, i+1))
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

// conclude prints the result; the logs stay if a promise was broken.
func (s *soak) conclude() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if total := s.lateGood + s.lateBad; float64(s.lateGood) < wellShare*float64(total) || total == 0 {
		s.report("not well again after the last fault", fmt.Sprintf("%d of %d requests answered", s.lateGood, total))
	}
	fmt.Printf("seed %d: answered %d, not answered %d, broken promises %d\n", s.cfg.Seed, s.good, s.bad, len(s.broken))
	return s.tidy()
}

// tidy removes the logs, unless a promise was broken, and reports whether none was; mu is held.
func (s *soak) tidy() bool {
	dir := s.processes.Dir
	if len(s.broken) > 0 || s.cfg.KeepLogs {
		for _, line := range append(s.events, s.broken...) {
			fmt.Println("  " + line)
		}
		fmt.Println("  logs in", dir)
		return len(s.broken) == 0
	}
	_ = os.RemoveAll(dir)
	return true
}

// prepare starts the store, the upstreams and the balancers, and waits until they are ready.
func (s *soak) prepare(ctx context.Context) error {
	var err error
	if s.store, err = newStore(s.ip(1, 1) + ":8169"); err != nil {
		return err
	}
	var ips []string
	for i := range s.cfg.Balancers {
		ips = append(ips, s.ip(40, i+1))
	}
	if s.router, err = newRouter(s.world, ips); err != nil {
		return err
	}
	for range 6 {
		if err := s.addBack(serviceSwap); err != nil {
			return err
		}
	}
	for range 3 {
		if err := s.addBack(serviceMaps); err != nil {
			return err
		}
	}
	s.route(addressSwap, serviceSwap)
	s.route(addressMaps, serviceMaps)
	for i := range s.cfg.Balancers {
		if err := s.addNode(i); err != nil {
			return err
		}
	}
	go s.router.run(ctx)
	for end := time.Now().Add(bootTime); s.router.ready() < s.cfg.Balancers; time.Sleep(pollTime) {
		if time.Now().After(end) {
			return &FleetNotReadyError{Ready: s.router.ready(), Balancers: s.cfg.Balancers}
		}
	}
	return nil
}

func (s *soak) closeAll() {
	for _, b := range s.backs {
		if b.alive() {
			b.end()
		}
	}
	for _, n := range s.nodes {
		n.store.refuse()
	}
	_ = s.store.lis.Close()
	_ = s.router.conn.Close()
}

// addBack starts an upstream of a service and registers it.
func (s *soak) addBack(service rattanwood.ServiceID) error {
	s.next++
	host := int(s.next & 0xff)
	b, err := newBack(s.world, s.next, service, s.ip(43, host)+":8080", s.ip(44, host)+":8080")
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.backs = append(s.backs, b)
	s.mu.Unlock()
	s.services[service] = append(s.services[service], b)
	b.register()
	return nil
}

// route leads an address to a service, or nowhere.
func (s *soak) route(address string, service rattanwood.ServiceID) {
	s.edit.Lock()
	defer s.edit.Unlock()
	if s.version++; service == "" {
		delete(s.routesNow, address)
	} else {
		s.routesNow[address] = service
	}
	s.mu.Lock()
	s.routes[address] = append(s.routes[address], binding{service: service, since: time.Now()})
	s.mu.Unlock()
	r := &rattanwood.Routing{Version: s.version, HealthPaths: map[rattanwood.ServiceID]string{serviceSwap: "/", serviceMaps: "/"}}
	for address, service := range s.routesNow {
		r.Routes = append(r.Routes, rattanwood.Route{
			Name: address, Address: netip.MustParseAddrPort(address), Shares: []rattanwood.Share{{Service: service, Weight: 1}},
		})
	}
	s.store.put(emulator.RoutingKey, emulator.EncodeRouting(r))
}

func (s *soak) addNode(i int) error {
	n := &nodeProcess{name: fmt.Sprintf("vm-%d", i), ip: s.ip(40, i+1), file: filepath.Join(s.processes.Dir, fmt.Sprintf("vm-%d.json", i))}
	var err error
	if n.store, err = newLink(s.ip(2, i+1)+":8169", s.store.lis.Addr().String(), false); err != nil {
		return err
	}
	text := fmt.Sprintf(`{"vm": %q, "centre": %q, "address": %q, "platform": %q, "affinity": "tag", "seeds": [%q, %q],
		"ports": {"peer": %d, "tunnel": %d, "web": %s}, "times": {"apply": 3000, "grace": 6}}`,
		n.name, dataCentre, n.ip, n.store.at, s.ip(40, 1)+":1", s.ip(40, 2)+":1", peerPort, tunnelPort, webPort)
	if err := os.WriteFile(n.file, []byte(text), 0o600); err != nil {
		return err
	}
	s.nodes = append(s.nodes, n)
	return s.startNode(n)
}

func (s *soak) startNode(n *nodeProcess) (err error) {
	n.process, err = s.processes.Start(n.name, s.cfg.Bin, "serve", n.file)
	return err
}

// harm records a fault of a balancer that lasts for d.
func (s *soak) harm(n *nodeProcess, d time.Duration) { s.fault(nodePrefix+n.ip, d) }

// kill ends a balancer at once and starts it again after d.
func (s *soak) kill(ctx context.Context, n *nodeProcess, d time.Duration) error {
	s.harm(n, d+time.Second)
	n.process.Signal(syscall.SIGKILL)
	n.process.Wait(ctx)
	pauseFor(ctx, d)
	return s.startNode(n)
}

// term stops a balancer gracefully and starts it again. This is planned work, which harms nothing.
func (s *soak) term(ctx context.Context, n *nodeProcess) error {
	n.process.Signal(syscall.SIGTERM)
	n.process.Wait(ctx)
	return s.startNode(n)
}

func pauseFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
