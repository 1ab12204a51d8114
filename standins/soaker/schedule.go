package soaker

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"example.org/rattanwood"
	"example.org/rattanwood/platform/emulator"
)

// Bounds of the time between the starts of two events. Events overlap, since most last longer.
const (
	minEventGap = 200 * time.Millisecond
	maxEventGap = 1200 * time.Millisecond
)

// event is a fault, or an operation such as a drain. run returns when it is over.
type event struct {
	name string
	run  func(ctx context.Context) error
}

// eventKind is a kind of event under its name on the command line. newEvent chooses the parts that an
// event acts on and reserves balancers; it reports false if no balancer is free.
type eventKind struct {
	name     string
	newEvent func(s *soakRun) (event, bool)
}

// eventKinds are chosen with equal probability. New kinds are appended, since a regression is run with
// the kinds that existed when it was found.
var eventKinds = []eventKind{
	{"kill", (*soakRun).newKillEvent},
	{"pause", (*soakRun).newPauseEvent},
	{"stop", (*soakRun).newStopEvent},
	{"reload", (*soakRun).newReloadEvent},
	{"herd", (*soakRun).newKillAllEvent},
	{"store", (*soakRun).newStoreEvent},
	{"storelink", (*soakRun).newStoreLinkEvent},
	{"crash", (*soakRun).newCrashEvent},
	{"drain", (*soakRun).newDrainEvent},
	{"link", (*soakRun).newLinkEvent},
	{"route", (*soakRun).newRouteEvent},
	{"ill", (*soakRun).newFailingRequestsEvent},
	{"rewind", (*soakRun).newRewindEvent},
	{"evacuate", (*soakRun).newEvacuationEvent},
	{"cold", (*soakRun).newColdEvent},
}

// newBalancerEvent returns an event on a random balancer that no other event acts on.
func (s *soakRun) newBalancerEvent(name string, run func(ctx context.Context, b *balancerProcess) error) (event, bool) {
	for _, i := range s.rng.Perm(len(s.balancers)) {
		if b := s.balancers[i]; s.reserve(b) {
			return event{name + " " + b.name, func(ctx context.Context) error {
				defer s.release(b)
				return run(ctx, b)
			}}, true
		}
	}
	return event{}, false
}

// reserve reports whether the balancer was free, and reserves it.
func (s *soakRun) reserve(b *balancerProcess) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	free := !b.inUse
	b.inUse = true
	return free
}

func (s *soakRun) release(b *balancerProcess) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b.inUse = false
}

func (s *soakRun) newKillEvent() (event, bool) {
	d := s.randomDuration(0, 1000)
	return s.newBalancerEvent(fmt.Sprint("kill for ", d), func(ctx context.Context, b *balancerProcess) error { return s.killAndRestart(ctx, b, d) })
}

func (s *soakRun) newPauseEvent() (event, bool) {
	d := s.randomDuration(300, 3000)
	return s.newBalancerEvent(fmt.Sprint("pause for ", d), func(ctx context.Context, b *balancerProcess) error {
		s.recordBalancerFault(b, d)
		b.process.Signal(syscall.SIGSTOP)
		sleep(ctx, d)
		b.process.Signal(syscall.SIGCONT)
		return nil
	})
}

func (s *soakRun) newStopEvent() (event, bool) { return s.newBalancerEvent("stop", s.stopAndRestart) }

func (s *soakRun) newReloadEvent() (event, bool) {
	return s.newBalancerEvent("reload", func(_ context.Context, b *balancerProcess) error {
		b.process.Signal(syscall.SIGHUP)
		return nil
	})
}

// newKillAllEvent returns an event that kills all free balancers at the same time.
func (s *soakRun) newKillAllEvent() (event, bool) {
	var reserved []*balancerProcess
	for _, b := range s.balancers {
		if s.reserve(b) {
			reserved = append(reserved, b)
		}
	}
	return event{fmt.Sprint("kill ", len(reserved)), func(ctx context.Context) error {
		s.forgetLostEvacuation()
		var group errgroup.Group
		for _, b := range reserved {
			group.Go(func() error {
				defer s.release(b)
				return s.killAndRestart(ctx, b, 300*time.Millisecond)
			})
		}
		return group.Wait()
	}}, true
}

func (s *soakRun) newStoreEvent() (event, bool) {
	reject, delay, dropHistory, d := s.rng.IntN(2) == 0, s.randomDuration(0, 300), s.rng.IntN(3) == 0, s.randomDuration(500, 4000)
	return event{fmt.Sprint("store busy ", reject, " slow ", delay, " forgets ", dropHistory, " for ", d), func(ctx context.Context) error {
		s.recordFault("store", d)
		s.store.setFaults(reject, delay, dropHistory)
		sleep(ctx, d)
		s.store.setFaults(false, 0, false)
		return nil
	}}, true
}

func (s *soakRun) newStoreLinkEvent() (event, bool) {
	blackhole, d := s.rng.IntN(2) == 0, s.randomDuration(500, 5000)
	return s.newBalancerEvent(fmt.Sprint("store link silent ", blackhole, " for ", d), func(ctx context.Context, b *balancerProcess) error {
		if blackhole {
			s.recordBalancerFault(b, d)
			b.storeLink.setMode(linkMode{blackhole: true})
			sleep(ctx, d)
			b.storeLink.setMode(linkMode{})
			b.storeLink.resetConnections()
			return nil
		}
		// This isn't recorded as a fault: the other balancers still reach the store, and this one
		// learns of changes from them.
		b.storeLink.refuseConnections()
		sleep(ctx, d)
		return b.storeLink.listen()
	})
}

// newUpstreamEvent returns an event on a random upstream. With replace, the upstream is no longer chosen
// by later events, and a new upstream of the same service is started first.
func (s *soakRun) newUpstreamEvent(name string, replace bool, run func(ctx context.Context, u *upstream)) (event, bool) {
	service := serviceSwap
	if s.rng.IntN(3) == 0 {
		service = serviceMaps
	}
	upstreams := s.upstreamsByService[service]
	i := s.rng.IntN(len(upstreams))
	u := upstreams[i]
	if replace {
		s.upstreamsByService[service] = append(upstreams[:i:i], upstreams[i+1:]...)
		if err := s.addUpstream(service, u.centre); err != nil {
			return event{name, func(context.Context) error { return err }}, true
		}
	}
	return event{name + " " + u.name(), func(ctx context.Context) error {
		run(ctx, u)
		return nil
	}}, true
}

func (s *soakRun) newCrashEvent() (event, bool) {
	return s.newUpstreamEvent("crash", true, func(ctx context.Context, u *upstream) {
		s.recordFault(u.name(), time.Hour)
		u.stop()
		sleep(ctx, registrationLease)
		u.unregister()
	})
}

func (s *soakRun) newDrainEvent() (event, bool) {
	return s.newUpstreamEvent("drain", true, func(ctx context.Context, u *upstream) {
		u.startDraining()
		sleep(ctx, 2*applyDeadline)
		s.recordFault(u.name(), time.Hour)
		u.stop()
		u.unregister()
	})
}

func (s *soakRun) newLinkEvent() (event, bool) {
	m, d := linkMode{delay: s.randomDuration(0, 200), dropDatagrams: s.rng.IntN(2) == 0}, s.randomDuration(300, 2500)
	return s.newUpstreamEvent(fmt.Sprintf("link delayed by %v lossy %v for %v of", m.delay, m.dropDatagrams, d), false, func(ctx context.Context, u *upstream) {
		s.recordFault(u.name(), d)
		u.link.setMode(m)
		sleep(ctx, d)
		u.link.setMode(linkMode{})
	})
}

func (s *soakRun) newRouteEvent() (event, bool) {
	service, d := rattanwood.ServiceID(""), s.randomDuration(200, 7000)
	if s.rng.IntN(2) == 0 {
		service = serviceSwap
	}
	return event{fmt.Sprintf("route to %q for %v", service, d), func(ctx context.Context) error {
		s.setRoute(addressMaps, service)
		sleep(ctx, d)
		s.setRoute(addressMaps, serviceMaps)
		return nil
	}}, true
}

func (s *soakRun) newFailingRequestsEvent() (event, bool) {
	hang, d := s.rng.IntN(2) == 0, s.randomDuration(1000, 5000)
	return s.newUpstreamEvent(fmt.Sprintf("requests fail, hang %v, for %v at", hang, d), false, func(ctx context.Context, u *upstream) {
		u.setFailureMode(failureMode{noAnswer: hang, errorAnswer: !hang})
		sleep(ctx, d)
		u.setFailureMode(failureMode{})
	})
}

// newRewindEvent returns an event in which the store is away for a moment and comes back from an older copy.
// Its authors then write again what it lost: the routing at once, the upstreams with their next heartbeats.
// Registrations of upstreams that have stopped expire.
func (s *soakRun) newRewindEvent() (event, bool) {
	lost, away, rewritten := s.randomDuration(500, 6000), s.randomDuration(100, 1000), s.randomDuration(200, 1500)
	return event{fmt.Sprintf("store comes back after %v from a copy that is %v old, rewritten after %v", away, lost, rewritten), func(ctx context.Context) error {
		s.recordRewind(away + rewritten)
		s.store.setFaults(true, 0, false)
		sleep(ctx, away)
		s.store.rewind(lost)
		s.store.setFaults(false, 0, false)
		sleep(ctx, rewritten)
		s.publishRoutes()
		s.reregisterUpstreams(true)
		sleep(ctx, registrationLease-rewritten)
		s.reregisterUpstreams(false)
		s.rewriteEvacuation()
		return nil
	}}, true
}

// newColdEvent returns an event in which a further upstream starts that is cold at first.
func (s *soakRun) newColdEvent() (event, bool) {
	d := s.randomDuration(2000, 6000)
	if err := s.addColdUpstream(serviceSwap, dataCentre, d); err != nil {
		return event{"cold upstream", func(context.Context) error { return err }}, true
	}
	return event{fmt.Sprint("upstream starts, cold for ", d), func(context.Context) error { return nil }}, true
}

// registrationLease is the time after which the platform removes the registration of an upstream that has
// stopped: three missed heartbeats.
const registrationLease = 3600 * time.Millisecond

// reregisterUpstreams lets all upstreams that run register again whose registration the store lost, or
// removes the registrations of all that have stopped.
func (s *soakRun) reregisterUpstreams(running bool) {
	s.mu.Lock()
	upstreams := slices.Clone(s.upstreams)
	s.mu.Unlock()
	for _, u := range upstreams {
		value := s.store.value(emulator.RegistrationKey(u.id))
		switch {
		case u.isRunning() != running:
		case !running && value != nil:
			u.unregister()
		case running && !bytes.Equal(value, u.lastRegistration()):
			u.register()
		}
	}
}

// randomDuration returns a whole number of milliseconds between the limits, both included.
func (s *soakRun) randomDuration(minMillis, maxMillis int) time.Duration {
	return time.Duration(minMillis+s.rng.IntN(maxMillis-minMillis+1)) * time.Millisecond
}

// playRandomEvents starts random events for the configured time and waits for their ends. After
// recoveryTime it counts answers for verificationTime.
func (s *soakRun) playRandomEvents(ctx context.Context) error {
	group, groupCtx := errgroup.WithContext(ctx)
	if s.cfg.Old != "" {
		group.Go(func() error { return s.replaceBuilds(groupCtx) })
	}
	for end := time.Now().Add(time.Duration(s.cfg.Seconds) * time.Second); time.Now().Before(end) && groupCtx.Err() == nil; {
		sleep(groupCtx, s.randomDuration(int(minEventGap.Milliseconds()), int(maxEventGap.Milliseconds())))
		e, ok := eventKinds[s.rng.IntN(s.kindCount)].newEvent(s)
		if !ok {
			continue
		}
		s.logEvent(e.name)
		group.Go(func() error { return e.run(groupCtx) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	sleep(ctx, recoveryTime)
	s.mu.Lock()
	s.verifying = true
	s.mu.Unlock()
	sleep(ctx, verificationTime)
	return nil
}
