// Package node runs one balancer process with the affinity "tag", where packets carry the upstream of
// their flow. It feeds the decision logic of other packages from sockets, timers and the source, and
// carries out its actions: packets in packets.go, traffic with other balancers in peers.go, reads of the
// source in source.go, health checks in checks.go, and the operators' HTTP server in web.go.
package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"example.org/rattanwood"
	"example.org/rattanwood/admitter"
	"example.org/rattanwood/allocator"
	"example.org/rattanwood/confiner"
	"example.org/rattanwood/copier"
	"example.org/rattanwood/detector"
	"example.org/rattanwood/evacuator"
	"example.org/rattanwood/internal/dialer"
	"example.org/rattanwood/internal/listener"
	"example.org/rattanwood/internal/logger"
	"example.org/rattanwood/internal/settings"
	"example.org/rattanwood/limiter"
	"example.org/rattanwood/messenger"
	"example.org/rattanwood/placer"
	"example.org/rattanwood/prober"
	"example.org/rattanwood/reconciler"
	"example.org/rattanwood/replicator"
	"example.org/rattanwood/rotator"
	"example.org/rattanwood/tagger"
	"example.org/rattanwood/warmer"
	"example.org/rattanwood/watcher"
)

const (
	// tickPeriod is the interval between two ticks of the decision logic.
	tickPeriod = 50 * time.Millisecond
	// sweepPeriod is the interval at which expired entries are removed from the tables.
	sweepPeriod = 500 * time.Millisecond
	// spreadsPerApplyDeadline is how many confirmations may be spread within the time in which a change must
	// be in effect: twice as many as a reader sends without changes.
	spreadsPerApplyDeadline = 6
	// maxSuspects bounds the upstreams whose checks wait for tickLoop.
	maxSuspects = 64
	// receiveBufferSize is the requested size of a socket's receive buffer in bytes.
	receiveBufferSize = 1 << 20
	// maxWaitingPackets is more than the number of the smallest packets that fit in a socket's buffer: the system counts
	// 768 bytes for each, and doubles the size that is asked for.
	maxWaitingPackets = 4096
)

// Config holds the settings and dependencies of a Node.
type Config struct {
	Settings settings.Settings
	// SettingsFile is the path of the settings file, for reloads.
	SettingsFile string
	// Incarnation must be higher than that of any earlier process on this VM.
	Incarnation rattanwood.Incarnation
	Log         *logger.Logger
	// OpenSource returns the source at an address, an IP address and a port. It is called at the start, and when the settings
	// are reloaded with another address.
	OpenSource      func(address string) rattanwood.Source
	Interpreter     rattanwood.Interpreter
	Codec           rattanwood.Codec
	IdentityChecker rattanwood.IdentityChecker
	// Reload receives a value for each request to read the settings again; nil means that there are none.
	Reload <-chan os.Signal
}

// Node is one balancer process.
type Node struct {
	cfg     Config
	log     *zap.Logger
	started time.Time
	peers   *dialer.Dialer

	// mu guards the decision logic and the other fields up to heldPackets, except the atomic ones.
	mu        sync.Mutex
	messenger *messenger.Messenger
	warmer    *warmer.Warmer
	// heldLeases are the groups of cold upstreams on which this balancer held the lease at the last tick.
	heldLeases []warmer.Group
	// source is at the address that the settings name now.
	source    rattanwood.Source
	replica   *replicator.Replicator
	watcher   *watcher.Watcher
	copier    *copier.Copier
	tagger    *tagger.Tagger
	evacuator *evacuator.Evacuator
	rotator   *rotator.Rotator
	prober    *prober.Prober
	placer    *placer.Placer
	// admitter and allocator are nil unless the settings turn admission on.
	admitter  *admitter.Admitter
	allocator *allocator.Allocator
	// services are those that routes lead to, by the hash of their names, if admission is turned on.
	services map[messenger.ServiceHash]rattanwood.ServiceID
	// rejected counts invalid input by reason.
	rejected map[string]uint64
	// invalidRecords are the newest of the records that couldn't be decoded, without those that were replaced.
	invalidRecords []InvalidState
	// routingAppliedAt is when the present routes came into force.
	routingAppliedAt time.Duration
	// ready is set once the records are complete, so that new flows can be placed. copyListedAt is when they
	// became complete, if they may come from an older copy of the source.
	ready        bool
	copyListedAt time.Duration
	// lastStall is the time of the last tick that was more than maxTickDelay late.
	lastStall    time.Duration
	shuttingDown atomic.Bool
	// introduced is set once the messenger's introduction has been logged, and knowsFleet once all balancers are known.
	introduced, knowsFleet bool
	// packetCount is the number of packets received.
	packetCount atomic.Int64
	// startedForwarding is closed, and forwarding set, once the upstreams are known, so that packets of
	// established flows can be forwarded.
	startedForwarding chan struct{}
	forwarding        bool
	// earlyUpstreams holds the upstreams that applyEarly applied, by key with their positions. It is nil once
	// ready is set.
	earlyUpstreams map[string]rattanwood.Position
	// forwarded holds the reasons for which this balancer has forwarded a packet since its start.
	forwarded map[tagger.Reason]bool
	// heldPackets are the first packets of flows that arrived before ready was set.
	heldPackets []heldPacket
	counters    counters
	timings     timings
	// suspects are the upstreams that requestCheck was called for.
	suspects chan rattanwood.UpstreamID

	// background counts the goroutines that Run waits for besides its tasks.
	background sync.WaitGroup
	seal       seal
	tunnel     *net.UDPConn
	datagrams  *listener.Datagrams
	peerUDP    *net.UDPConn
	peerTCP    *net.TCPListener
	web        *net.TCPListener
}

// New builds the decision logic and opens the balancer's sockets.
func New(cfg Config) (*Node, error) {
	n := &Node{
		cfg:               cfg,
		log:               cfg.Log.Logger,
		started:           time.Now(),
		peers:             dialer.New(),
		source:            cfg.OpenSource(cfg.Settings.Platform),
		replica:           replicator.New(),
		evacuator:         evacuator.New(),
		rotator:           rotator.New(),
		rejected:          map[string]uint64{},
		timings:           newTimings(),
		forwarded:         map[tagger.Reason]bool{},
		suspects:          make(chan rattanwood.UpstreamID, maxSuspects),
		startedForwarding: make(chan struct{}),
		earlyUpstreams:    map[string]rattanwood.Position{},
	}
	random := rand.New(rand.NewPCG(uint64(cfg.Incarnation), 0))
	set := cfg.Settings
	keys, err := set.ReadKeys()
	if err != nil {
		return nil, err
	}
	n.seal.setKeys(set.PeerAddress(), keys)
	messengerCfg := messengerConfig(cfg)
	messengerCfg.Position, messengerCfg.Overhead = n.replica.Position, n.seal.overhead
	n.warmer = warmer.New(warmer.Config{
		Self: messengerCfg.Detector.Self, Incarnation: cfg.Incarnation,
		Overage: set.Warmup.Overage, Slack: set.Warmup.Slack,
	})
	messengerCfg.Warmer = n.warmer
	messengerCfg.IsNear = func(dc rattanwood.DataCentre) bool { return set.Regions[dc] == set.Region }
	n.messenger = messenger.New(messengerCfg)
	n.addBootstrap(set)
	n.watcher = watcher.New(watcherConfig(settings.Duration(set.Times.ApplyDeadline), n.messenger.ReaderID(), random))
	n.copier = copier.New(copier.Config{
		Replica: n.replica, Watcher: n.watcher, Messenger: n.messenger,
		Reconciler:     reconciler.New(reconcilerConfig(cfg.Interpreter)),
		MaxFetchAge:    settings.Duration(set.Times.ApplyDeadline),
		SpreadInterval: settings.Duration(set.Times.ApplyDeadline) / spreadsPerApplyDeadline,
	})
	n.prober = prober.New(prober.DefaultConfig())
	placerConfig := placer.DefaultConfig(random)
	placerConfig.DataCentre = rattanwood.DataCentre(set.DataCentre)
	n.placer = placer.New(placerConfig)
	taggerConfig := tagger.DefaultConfig()
	taggerConfig.DataCentre = rattanwood.DataCentre(set.DataCentre)
	taggerConfig.Random, taggerConfig.Placer, taggerConfig.Prober = random, n.placer, n.prober
	taggerConfig.MaxWaitingPackets = maxWaitingPackets
	taggerConfig.Warmer, taggerConfig.Trackers, taggerConfig.AskedTrackers = n.warmer, n.messenger.Trackers, n.messenger.AskedTrackers
	taggerConfig.Evacuator, taggerConfig.Rotator, taggerConfig.Confiner = n.evacuator, n.rotator, confiner.New(confiner.Config{
		DataCentre: rattanwood.DataCentre(set.DataCentre), Region: set.Region, Regions: set.Regions,
	})
	if set.Admission {
		admitterConfig := admitter.DefaultConfig(random)
		admitterConfig.DataCentre = rattanwood.DataCentre(set.DataCentre)
		n.admitter = admitter.New(admitterConfig)
		taggerConfig.Admission = n.admitter
		n.allocator = allocator.New(allocator.DefaultConfig())
		taggerConfig.Allocation = &tagger.AllocationConfig{Allocator: n.allocator, Ranked: n.messenger.Ranked}
	}
	n.tagger = tagger.New(taggerConfig)
	if err := n.listen(); err != nil {
		n.close()
		return nil, err
	}
	return n, nil
}

// addBootstrap adds the bootstrap addresses in settings but the own one. The calling code must hold mu once the
// balancer runs.
func (n *Node) addBootstrap(set settings.Settings) {
	for _, address := range set.SeedAddresses() {
		if address != n.cfg.Settings.PeerAddress() {
			n.messenger.Members.AddBootstrap(seedName(address), address)
		}
	}
}

// seedName returns the name under which the balancer at a bootstrap address is listed until its own name is
// known.
func seedName(address netip.AddrPort) rattanwood.VMID {
	return rattanwood.VMID(address.Addr().String())
}

// messengerConfig returns the messenger's configuration that follows from the settings.
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

// reconcilerConfig returns the reconciler's configuration. Evacuations are the records that operators write once,
// while upstreams and the publisher of the routes write theirs again.
func reconcilerConfig(i rattanwood.Interpreter) reconciler.Config {
	return reconciler.Config{SettleTime: reconciler.DefaultSettleTime, Supersedes: i.Supersedes, Lasting: func(key string) bool {
		_, ok := i.Evacuated(key)
		return ok
	}}
}

// watcherConfig divides the time within which a change must be in effect. A watch of a reader that has
// since failed may take a third of it; after half of it, the balancer of the next rank starts to read;
// the rest is for reading and for passing the change on.
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

// listen opens the sockets.
func (n *Node) listen() error {
	set := n.cfg.Settings
	var err error
	if n.tunnel, err = listener.UDP(set.TunnelAddress(), receiveBufferSize); err != nil {
		return err
	}
	if n.datagrams, err = listener.NewDatagrams(n.tunnel, n.started, time.Now()); err != nil {
		return err
	}
	if err := listener.RecordArrivals(n.tunnel); err != nil {
		n.log.Warn("arrival times of packets aren't available, marks bound them", zap.String(logger.KeyError, err.Error()))
	}
	if n.peerUDP, err = listener.UDP(set.PeerAddress(), receiveBufferSize); err != nil {
		return err
	}
	if n.peerTCP, err = listener.TCP(set.PeerAddress()); err != nil {
		return err
	}
	n.web, err = listener.TCP(set.WebAddress())
	return err
}

// Run serves until stop is done, then shuts down gracefully, and returns once all tasks have ended.
func (n *Node) Run(stop context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	for _, task := range []func(context.Context) error{
		n.tickLoop, n.tunnelLoop, n.peerLoop, n.serveRPC, n.sourceLoop, n.serveWeb, n.reloadLoop,
	} {
		group.Go(func() error { return task(ctx) })
	}
	group.Go(func() error {
		select {
		case <-stop.Done():
			n.shutDown(ctx)
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
	n.logKeys()
	n.log.Info("started", zap.Uint64("life", uint64(n.cfg.Incarnation)), zap.String("centre", n.cfg.Settings.DataCentre))
	err := group.Wait()
	n.background.Wait()
	n.log.Info("stopped")
	_ = n.cfg.Log.Sync()
	if err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

const (
	// fabricReactionTime is how long packets still arrive after this balancer stops being ready. The fabric
	// asks twice a second and stops sending after two refusals, and packets in flight must arrive.
	fabricReactionTime = 1500 * time.Millisecond
	// quietPeriod is the time without a packet after which no further one is expected.
	quietPeriod = 400 * time.Millisecond
	// gracePeriodShare is the fraction of the grace period that a shutdown may take.
	gracePeriodShare = 0.7
)

// shutDown reports this balancer as not ready, announces the shutdown to the others, which take over its
// health checks and reads of the source, and keeps forwarding until no more packets arrive.
func (n *Node) shutDown(ctx context.Context) {
	n.shuttingDown.Store(true)
	n.log.Info("shutting down")
	n.mu.Lock()
	n.messenger.Members.TriggerHeartbeats()
	n.mu.Unlock()
	begin := time.Now()
	limit := time.Duration(n.cfg.Settings.Times.GracePeriodSeconds * gracePeriodShare * float64(time.Second))
	lastCount, lastPacket := n.packetCount.Load(), begin
	for time.Since(begin) < limit {
		listener.Sleep(ctx, tickPeriod)
		if count := n.packetCount.Load(); count != lastCount {
			lastCount, lastPacket = count, time.Now()
		}
		if ctx.Err() != nil || time.Since(begin) > fabricReactionTime && time.Since(lastPacket) > quietPeriod {
			return
		}
	}
	n.log.Warn("stopped while packets were still arriving", zap.Duration("after", limit))
}

// updateRotation decides whether this balancer stays in the fabric's rotation. The calling code must hold mu.
func (n *Node) updateRotation(now time.Duration) {
	evacuated := n.evacuator.Evacuated(rattanwood.DataCentre(n.cfg.Settings.DataCentre))
	stays, changed := n.rotator.Update(now, !evacuated || n.messenger.HearsOtherDataCentre(now))
	if !changed {
		return
	}
	message := "left the rotation, new flows can only be served elsewhere"
	if stays {
		message = "returned to the rotation"
	}
	age, _ := n.watcher.Age(now)
	n.log.Warn(message, zap.Inline(logger.Position(n.replica.Position())), zap.Int64(logger.KeyAge, age.Milliseconds()))
}

// close closes the unused connections and the sockets, except that of serveWeb, which closes it itself.
func (n *Node) close() {
	n.peers.Close()
	listener.CloseAll([]*net.UDPConn{n.tunnel, n.peerUDP}, []*net.TCPListener{n.peerTCP})
}

// now returns the time since the process started, which is the clock of the decision logic.
func (n *Node) now() time.Duration { return time.Since(n.started) }

// tickLoop advances the decision logic and carries out its actions.
func (n *Node) tickLoop(ctx context.Context) error {
	t := time.NewTicker(tickPeriod)
	defer t.Stop()
	last, swept := n.now(), n.now()
	n.mu.Lock()
	n.messenger.Introduce(last)
	first := n.messenger.TakeActions()
	n.mu.Unlock()
	n.performActions(ctx, first)
	for {
		select {
		case <-ctx.Done():
			return nil
		case id := <-n.suspects:
			n.startSuspectedCheck(ctx, id)
			continue
		case <-t.C:
		}
		if err := n.datagrams.Mark(); err != nil {
			n.countRejected("mark_send")
		}
		n.mu.Lock()
		now := n.now()
		if now-last > tickPeriod+maxTickDelay {
			n.lastStall = now
		}
		last = now
		n.tagger.Tick(now)
		n.tagger.UpdateSlots(now)
		failures := n.tagger.CollectFailures(now)
		if len(failures) > 0 {
			n.copier.RequestHeartbeats(now)
		}
		n.messenger.Tick(now, n.heartbeatPayload)
		n.tagger.RecordTurnover(n.messenger.TurnoverAt())
		if n.shuttingDown.Load() {
			n.tagger.RecordTurnover(now)
		}
		n.requestLeases(now)
		if now-swept >= sweepPeriod {
			swept = now
			members := n.messenger.BalancersPerDataCentre()
			n.placer.Tick(now, members)
			if n.admitter != nil {
				n.admitter.Tick(now, members)
			}
			n.tagger.RemoveExpired(now)
			n.applyRecords(now, fromSettled, n.copier.Expire(now))
		}
		n.observeIntroduction(now)
		n.becomeReady(now, fromSettled)
		n.updateRotation(now)
		due := n.prober.StartDueChecks(now, n.assignment)
		overdue, asks := n.prepareAsks(now, n.tagger.DecideOverdue(now))
		reports := n.prepareReports(now)
		age, _ := n.watcher.Age(now)
		position := n.replica.Position()
		tallies := n.prepareTallies(now)
		actions := n.messenger.TakeActions()
		changes := n.messenger.Members.TakeChanges()
		n.mu.Unlock()
		n.logFailures(failures)
		n.logMembers(changes)
		n.sendDatagrams(asks)
		n.sendDatagrams(reports)
		n.sendPackets(overdue, age, position)
		n.sendDatagrams(tallies)
		n.performActions(ctx, actions)
		n.startChecks(ctx, now, due)
	}
}
