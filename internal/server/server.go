// Package server runs one balancer process: it feeds sockets, timers, the platform and health checks
// into the decision logic, and carries out the actions that result. What to do with a packet or a
// request is decided in the packages balancer and executor.
package server

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"example.org/rattanwood"
	"example.org/rattanwood/balancer"
	"example.org/rattanwood/checker"
	"example.org/rattanwood/claimer"
	"example.org/rattanwood/compiler"
	"example.org/rattanwood/dispatcher"
	"example.org/rattanwood/executor"
	"example.org/rattanwood/internal/dialer"
	"example.org/rattanwood/internal/listener"
	"example.org/rattanwood/internal/logger"
	"example.org/rattanwood/internal/reader"
	"example.org/rattanwood/internal/settings"
	"example.org/rattanwood/picker"
)

// tickPeriod is the time between two ticks of the decision logic.
const tickPeriod = 50 * time.Millisecond

// maxAnswerBytes limits the memory for the responses that are kept to answer repeated request ids. It
// applies separately to the claims of which this balancer is a replica and to the requests that it sent.
const maxAnswerBytes = 48 << 20

// receiveBufferBytes is the receive buffer requested for each UDP socket.
const receiveBufferBytes = 4 << 20

// Config holds the parameters of a Server.
type Config struct {
	Settings settings.Settings
	// Incarnation is this run's incarnation; a later run must have a higher one.
	Incarnation rattanwood.Incarnation
	Log         *zap.Logger
}

// Server owns the sockets, the background tasks and the decision logic of one balancer process.
type Server struct {
	cfg      Config
	log      *zap.Logger
	started  time.Time
	platform rattanwood.Platform
	peers    *dialer.Dialer
	metrics  *metrics
	// mu guards the decision logic and the fields down to cancels.
	mu sync.Mutex
	// core decides on packets and handles membership, documents and health states.
	core *balancer.Balancer
	// claims is this balancer's replica of the claims to request ids.
	claims *claimer.Replica
	// slots assigns requests to the slots of upstreams.
	slots *dispatcher.Dispatcher
	// exec runs the requests of Callers.
	exec *executor.Executor
	// encodedDocument is the newest document as it was received.
	encodedDocument []byte
	// updatedVersion is the newest document version that replaced an earlier one in this process, and
	// updatedAt the time since the start of the process at which it did.
	updatedVersion rattanwood.Version
	updatedAt      time.Duration
	// replies has the channel on which each waiting HTTP handler gets the result of its request.
	replies map[executor.Token]chan executor.Result
	// cancels stops the attempts in progress on upstreams.
	cancels map[attempt]context.CancelFunc
	// running counts the goroutines of calls to other balancers and upstreams.
	running sync.WaitGroup
	// runCtx is cancelled when the server stops.
	runCtx    context.Context
	tunnel    *net.UDPConn
	peerUDP   *net.UDPConn
	peerTCP   *net.TCPListener
	web       *net.TCPListener
	upstreams *upstreams
}

// New builds a balancer and opens its sockets. It returns an error if a socket can't be opened.
func New(cfg Config) (*Server, error) {
	s := &Server{
		cfg:       cfg,
		log:       cfg.Log,
		started:   time.Now(),
		platform:  reader.New(cfg.Settings.Platform),
		peers:     dialer.New(),
		replies:   map[executor.Token]chan executor.Result{},
		cancels:   map[attempt]context.CancelFunc{},
		runCtx:    context.Background(),
		upstreams: newUpstreams(),
	}
	s.core = balancer.New(coreConfig(cfg))
	t := cfg.Settings.Times
	s.claims = claimer.New(claimer.Config{
		RetentionTime:  settings.Duration(t.RequestIDRetention),
		MaxAnswerBytes: maxAnswerBytes,
		WarmUpTime:     settings.Duration(t.ActivationDelay + t.HeartbeatInterval),
	})
	random := rand.New(rand.NewPCG(uint64(cfg.Incarnation), 0))
	s.slots = dispatcher.New(dispatcher.Config{Upstreams: s.candidates, Picker: picker.LeastUsed{Random: random}, Random: random})
	s.exec = executor.New(executor.Config{
		Self:           claimer.Claimant{VM: rattanwood.VMID(cfg.Settings.VM), Incarnation: cfg.Incarnation},
		RetentionTime:  settings.Duration(t.RequestIDRetention),
		MaxAnswerBytes: maxAnswerBytes,
		Seed:           uint64(cfg.Incarnation),
		Claims:         s.claims,
		Slots:          s.slots,
		Group:          s.replicaGroup,
		Alive:          s.claimantAlive,
		SlotOwner:      s.slotOwner,
	})
	s.metrics = newMetrics(s)
	if err := s.listen(); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func coreConfig(cfg Config) balancer.Config {
	set := cfg.Settings
	t := set.Times
	c := balancer.DefaultConfig(rattanwood.VMID(set.VM))
	c.Detector.Address = set.PeerAddress()
	c.Detector.DataCentre = rattanwood.DataCentre(set.DataCentre)
	c.Detector.Incarnation = cfg.Incarnation
	c.Detector.HeartbeatInterval = settings.Duration(t.HeartbeatInterval)
	c.Detector.SuspectAfter = settings.Duration(t.SuspectAfter)
	c.Detector.DeadAfter = settings.Duration(t.DeadAfter)
	c.Detector.ActivationDelay = settings.Duration(t.ActivationDelay)
	c.Detector.PauseThreshold = settings.Duration(t.PauseThreshold)
	c.Detector.Seed = uint64(cfg.Incarnation)
	c.Router.ActivationDelay = settings.Duration(t.ActivationDelay)
	c.Router.RefreshPeriod = settings.Duration(t.OwnerRefreshInterval)
	c.Router.AnswerTTL = settings.Duration(t.AnswerTTL)
	c.Router.IdleTimeout = settings.Duration(t.IdleTimeout)
	c.Limiter.Rate = set.Control.Rate
	c.Limiter.Burst = set.Control.Burst
	return c
}

func (s *Server) listen() error {
	set := s.cfg.Settings
	var err error
	if s.tunnel, err = listener.UDP(set.TunnelAddress(), receiveBufferBytes); err != nil {
		return err
	}
	peer := set.PeerAddress()
	if s.peerUDP, err = listener.UDP(peer, receiveBufferBytes); err != nil {
		return err
	}
	if s.peerTCP, err = listener.TCP(peer); err != nil {
		return err
	}
	s.web, err = listener.TCP(set.WebAddress())
	return err
}

// Run serves until stop is cancelled, shuts down gracefully, and returns when all tasks have ended.
func (s *Server) Run(stop context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	s.runCtx = ctx
	s.bootstrap(ctx)
	for _, task := range []func(context.Context) error{
		s.tickLoop, s.tunnelLoop, s.peerLoop, s.serveCalls, s.documentLoop, s.vmListLoop, s.healthCheckLoop, s.serveWeb,
	} {
		group.Go(func() error { return task(ctx) })
	}
	group.Go(func() error {
		select {
		case <-stop.Done():
		case <-ctx.Done():
			return nil
		}
		s.shutDown(ctx)
		cancel()
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		s.close()
		return nil
	})
	s.log.Info("serving")
	err := group.Wait()
	s.running.Wait()
	s.log.Info("stopped")
	if err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// shutDown hands flows over to other balancers and finishes requests, for at most the shutdown
// timeout of the settings.
func (s *Server) shutDown(ctx context.Context) {
	s.log.Info("shutting down")
	ctx, cancel := context.WithTimeout(ctx, settings.Duration(s.cfg.Settings.Times.ShutdownTimeout))
	defer cancel()
	s.mu.Lock()
	s.core.BeginShutdown(s.now())
	s.exec.BeginShutdown()
	s.mu.Unlock()
	for !s.drained() {
		select {
		case <-ctx.Done():
			s.log.Warn("shutdown timeout expired before flows and requests were finished", zap.String(logger.KeyReason, "deadline"))
			s.handleEvent(s.exec.EndShutdown)
			return
		case <-time.After(tickPeriod):
		}
	}
}

// drained reports whether all flows have been handed over and no request is in progress.
func (s *Server) drained() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.ShutdownComplete(s.now()) && s.exec.Len() == 0
}

func (s *Server) close() {
	s.peers.Close()
	listener.CloseAll([]*net.UDPConn{s.tunnel, s.peerUDP}, []*net.TCPListener{s.peerTCP})
}

// now returns the time since the server was created, the clock of the decision logic.
func (s *Server) now() time.Duration { return time.Since(s.started) }

// tickLoop runs the periodic work of the decision logic and performs the resulting actions.
func (s *Server) tickLoop(ctx context.Context) error {
	t := time.NewTicker(tickPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		s.mu.Lock()
		now := s.now()
		s.core.Tick(now)
		s.exec.Tick(now)
		actions, requests := s.core.TakeActions(), s.exec.TakeActions()
		s.mu.Unlock()
		s.performActions(ctx, actions)
		s.performRequestActions(requests)
	}
}

// setDocument checks an encoded document and applies it if it is newer than the current one. source names
// the peer that sent it, or is "platform".
func (s *Server) setDocument(source string, data []byte) error {
	doc, err := checker.Parse(source, data)
	if err != nil {
		s.metrics.rejected.WithLabelValues("document").Inc()
		s.log.Warn("invalid document rejected", zap.String(logger.KeyPeer, source), zap.String(logger.KeyError, err.Error()))
		return err
	}
	s.mu.Lock()
	now, first := s.now(), s.core.Router.NewestCatalog() == nil
	newer := s.core.SetDocument(now, doc)
	if newer {
		s.encodedDocument = data
	}
	if newer && !first {
		s.updatedVersion, s.updatedAt = doc.Version, now
	}
	s.mu.Unlock()
	if newer {
		s.log.Info("new document version received", zap.Uint64(logger.KeyVersion, uint64(doc.Version)), zap.String(logger.KeyPeer, source))
	}
	return nil
}

// newestCatalog returns the newest document in its compiled form, or nil before there is one.
func (s *Server) newestCatalog() *compiler.Catalog {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Router.NewestCatalog()
}

// Registry returns the Prometheus registry with the metrics of the server.
func (s *Server) Registry() *prometheus.Registry { return s.metrics.registry }
