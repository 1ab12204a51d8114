// Package node runs one balancer whose flows carry their upstream as a tag. It drives
// the decision logic from sockets, timers and the source, and carries out its actions:
// packets in packets.go, other balancers in peers.go, the source in source.go, upstreams
// in checks.go, operators in web.go.
package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"example.org/rattanwood"
	"example.org/rattanwood/copier"
	"example.org/rattanwood/detector"
	"example.org/rattanwood/internal/dialer"
	"example.org/rattanwood/internal/listener"
	"example.org/rattanwood/internal/logger"
	"example.org/rattanwood/internal/settings"
	"example.org/rattanwood/limiter"
	"example.org/rattanwood/messenger"
	"example.org/rattanwood/placer"
	"example.org/rattanwood/prober"
	"example.org/rattanwood/replicator"
	"example.org/rattanwood/tagger"
	"example.org/rattanwood/watcher"
)

const (
	// tickPeriod is the time between two runs of the systems.
	tickPeriod = 50 * time.Millisecond
	// sweepPeriod is the time between two sweeps of the tables.
	sweepPeriod = 500 * time.Millisecond
	// spreadParts is the number of confirmations that are spread in the time in which a change must be in
	// force: twice those of a reader without changes.
	spreadParts = 6
	// receiveBuffer is the size asked for a socket's receive buffer in bytes.
	receiveBuffer = 1 << 20
)

// Config builds a Node.
type Config struct {
	Settings settings.Settings
	// SettingsFile is where the settings were read, for reloads.
	SettingsFile string
	// Incarnation is this run's incarnation; a later run must have a higher one.
	Incarnation     rattanwood.Incarnation
	Log             *logger.Logger
	Source          rattanwood.Source
	Interpreter     rattanwood.Interpreter
	Codec           rattanwood.Codec
	IdentityChecker rattanwood.IdentityChecker
}

// Node is one balancer process.
type Node struct {
	cfg     Config
	log     *zap.Logger
	started time.Time
	peers   *dialer.Dialer

	// mu guards the decision logic below.
	mu      sync.Mutex
	talk    *messenger.Messenger
	copy    *replicator.Replicator
	watch   *watcher.Watcher
	copies  *copier.Copier
	flows   *tagger.Tagger
	checks  *prober.Prober
	loads   *placer.Placer
	refused map[string]uint64
	newborn bool
	stalled time.Duration
	leaving atomic.Bool
	packets atomic.Int64
	// carried is closed, and carrying set, once flows that have begun can be carried on, and whole once
	// all is known that new flows need as well.
	carried  chan struct{}
	carrying bool
	whole    chan struct{}
	// known are the upstreams that the records have named until whole is closed, and held the first packets that came before.
	known    map[rattanwood.InstanceID]bool
	held     []heldPacket
	counters counters
	timings  timings

	running sync.WaitGroup
	tunnel  *net.UDPConn
	peerUDP *net.UDPConn
	peerTCP net.Listener
	web     net.Listener
}

// New opens the balancer's sockets.
func New(cfg Config) (*Node, error) {
	n := &Node{
		cfg:     cfg,
		log:     cfg.Log.Logger,
		started: time.Now(),
		peers:   dialer.New(),
		copy:    replicator.New(),
		refused: map[string]uint64{},
		timings: newTimings(),
		carried: make(chan struct{}),
		whole:   make(chan struct{}),
		known:   map[rattanwood.InstanceID]bool{},
	}
	random := rand.New(rand.NewPCG(uint64(cfg.Incarnation), 0))
	set := cfg.Settings
	n.talk = messenger.New(messengerConfig(cfg))
	for _, address := range set.SeedAddresses() {
		if address != set.PeerAddress() {
			n.talk.Members.Add(seedName(address), address, "")
		}
	}
	n.watch = watcher.New(watcherConfig(settings.Duration(set.Times.ApplyDeadline), n.talk.ReaderID(), random))
	n.copies = copier.New(copier.Config{
		Replica: n.copy, Watcher: n.watch, Messenger: n.talk, SpreadInterval: settings.Duration(set.Times.ApplyDeadline) / spreadParts,
	})
	n.checks = prober.New(prober.DefaultConfig())
	loads := placer.DefaultConfig(random)
	loads.DataCentre = rattanwood.DataCentre(set.DataCentre)
	n.loads = placer.New(loads)
	t := tagger.DefaultConfig()
	t.DataCentre = rattanwood.DataCentre(set.DataCentre)
	t.Random, t.Placer, t.Prober = random, n.loads, n.checks
	n.flows = tagger.New(t)
	if err := n.listen(); err != nil {
		n.close()
		return nil, err
	}
	return n, nil
}

// seedName stands for a balancer whose name isn't known yet.
func seedName(address netip.AddrPort) rattanwood.VMID {
	return rattanwood.VMID(address.Addr().String())
}

func messengerConfig(cfg Config) messenger.Config {
	set := cfg.Settings
	return messenger.Config{
		Detector: detector.Config{
			Self:              rattanwood.VMID(set.VM),
			Address:           set.PeerAddress(),
			DataCentre:        rattanwood.DataCentre(set.DataCentre),
			Incarnation:       cfg.Incarnation,
			HeartbeatInterval: settings.Duration(set.Times.HeartbeatInterval),
			SuspectAfter:      settings.Duration(set.Times.SuspectAfter),
			DeadAfter:         settings.Duration(set.Times.DeadAfter),
			ActivationDelay:   settings.Duration(set.Times.ActivationDelay),
			PauseThreshold:    settings.Duration(set.Times.PauseThreshold),
			Seed:              uint64(cfg.Incarnation),
			Sparse:            true,
		},
		Limiter: limiter.Config{Rate: set.Control.Rate, Burst: set.Control.Burst},
	}
}

// watcherConfig divides the time in which a change must be in force: a third for a watch of the
// reader that went silent, half until the next rank reads, the rest for reading and passing on.
func watcherConfig(apply time.Duration, self watcher.ReaderID, random *rand.Rand) watcher.Config {
	return watcher.Config{
		Self:         self,
		TakeoverAge:  apply / 2,
		RankDelay:    apply / 30,
		MaxRankDelay: apply / 6,
		YieldAge:     apply / 3,
		MinBackoff:   apply / 10,
		MaxBackoff:   apply,
		Random:       random,
	}
}

func (n *Node) listen() error {
	set := n.cfg.Settings
	var err error
	if n.tunnel, err = listener.UDP(set.TunnelAddress(), receiveBuffer); err != nil {
		return err
	}
	if n.peerUDP, err = listener.UDP(set.PeerAddress(), receiveBuffer); err != nil {
		return err
	}
	if n.peerTCP, err = listener.TCP(set.PeerAddress()); err != nil {
		return err
	}
	n.web, err = listener.TCP(set.WebAddress())
	return err
}

// Run serves until stop is done, then shuts down gracefully, and returns when all tasks have ended.
func (n *Node) Run(stop context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	for _, task := range []func(context.Context) error{
		n.tickLoop, n.tunnelLoop, n.peerLoop, n.serveCalls, n.sourceLoop, n.serveWeb, n.reloadLoop,
	} {
		group.Go(func() error { return task(ctx) })
	}
	group.Go(func() error {
		select {
		case <-stop.Done():
			n.leave(ctx)
		case <-ctx.Done():
		}
		cancel()
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		n.close()
		return nil
	})
	n.log.Info("started", zap.Uint64("life", uint64(n.cfg.Incarnation)), zap.String("centre", n.cfg.Settings.DataCentre))
	err := group.Wait()
	n.running.Wait()
	n.log.Info("stopped")
	_ = n.cfg.Log.Sync()
	if err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

const (
	// rotationTime is how long a fabric that looks twice a second takes to turn away
	// after two refusals, and the packets under way to arrive.
	rotationTime = 1500 * time.Millisecond
	// quietTime is the time without a packet after which none is expected.
	quietTime = 400 * time.Millisecond
	// graceShare is the part of the grace period that a shutdown may take.
	graceShare = 0.7
)

// leave gives up the duties and forwards on until no packets come.
func (n *Node) leave(ctx context.Context) {
	n.leaving.Store(true)
	n.log.Info("leaving")
	n.mu.Lock()
	n.talk.Members.TriggerHeartbeats()
	n.mu.Unlock()
	begin := time.Now()
	most := time.Duration(n.cfg.Settings.Times.GracePeriodSeconds * graceShare * float64(time.Second))
	seen, quiet := n.packets.Load(), begin
	for time.Since(begin) < most {
		listener.Sleep(ctx, tickPeriod)
		if now := n.packets.Load(); now != seen {
			seen, quiet = now, time.Now()
		}
		if ctx.Err() != nil || time.Since(begin) > rotationTime && time.Since(quiet) > quietTime {
			return
		}
	}
	n.log.Warn("stopped before packets ceased", zap.Duration("after", most))
}

func (n *Node) close() {
	n.peers.Close()
	listener.CloseAll([]*net.UDPConn{n.tunnel, n.peerUDP}, []net.Listener{n.peerTCP, n.web})
}

// now returns the time since the process began.
func (n *Node) now() time.Duration { return time.Since(n.started) }

// tickLoop runs the systems.
func (n *Node) tickLoop(ctx context.Context) error {
	t := time.NewTicker(tickPeriod)
	defer t.Stop()
	last, swept := n.now(), n.now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		n.mu.Lock()
		now := n.now()
		if now-last > tickPeriod+stallMost {
			n.stalled = now
		}
		last = now
		n.flows.Tick(now)
		failures := n.flows.CollectFailures(now)
		if len(failures) > 0 {
			n.copies.TriggerHeartbeats(now)
		}
		n.talk.Tick(now, n.knowledge)
		if now-swept >= sweepPeriod {
			swept = now
			n.loads.Tick(now, n.talk.BalancersPerDataCentre())
			n.flows.RemoveExpired(now)
		}
		due := n.checks.StartDueChecks(now, n.duty)
		actions := n.talk.TakeActions()
		n.mu.Unlock()
		n.logFailures(failures)
		n.perform(ctx, actions)
		n.startChecks(ctx, now, due)
	}
}
