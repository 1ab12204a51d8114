package soaker

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"example.org/rattanwood"
)

// gap bounds the time between the beginnings of two faults, which overlap since most last longer.
const (
	gapLeast = 200 * time.Millisecond
	gapMost  = 1200 * time.Millisecond
)

// event is a fault or planned work. Its run returns when it is over.
type event struct {
	name string
	run  func(ctx context.Context) error
}

// draw makes a kind of event and takes what that acts on; without anything to act on there is no event.
type draw struct {
	name string
	make func(s *soak) (event, bool)
}

// draws have equal chances. New kinds go to the end, since a regression is played with the kinds of its time.
var draws = []draw{
	{"kill", (*soak).drawKill},
	{"pause", (*soak).drawPause},
	{"stop", (*soak).drawStop},
	{"reload", (*soak).drawReload},
	{"herd", (*soak).drawKillAll},
	{"store", (*soak).drawStore},
	{"storelink", (*soak).drawStoreLink},
	{"crash", (*soak).drawCrash},
	{"drain", (*soak).drawDrain},
	{"link", (*soak).drawLink},
	{"route", (*soak).drawRoute},
	{"ill", (*soak).drawIll},
}

// onNode makes an event that acts on a balancer which no other event acts on.
func (s *soak) onNode(name string, run func(ctx context.Context, n *nodeProcess) error) (event, bool) {
	for _, i := range s.random.Perm(len(s.nodes)) {
		if n := s.nodes[i]; s.occupy(n) {
			return event{name + " " + n.name, func(ctx context.Context) error {
				defer s.release(n)
				return run(ctx, n)
			}}, true
		}
	}
	return event{}, false
}

func (s *soak) occupy(n *nodeProcess) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	free := !n.busy
	n.busy = true
	return free
}

func (s *soak) release(n *nodeProcess) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n.busy = false
}

func (s *soak) drawKill() (event, bool) {
	d := s.span(0, 1000)
	return s.onNode(fmt.Sprint("kill for ", d), func(ctx context.Context, n *nodeProcess) error { return s.kill(ctx, n, d) })
}

func (s *soak) drawPause() (event, bool) {
	d := s.span(300, 3000)
	return s.onNode(fmt.Sprint("pause for ", d), func(ctx context.Context, n *nodeProcess) error {
		s.harm(n, d)
		n.process.Signal(syscall.SIGSTOP)
		pauseFor(ctx, d)
		n.process.Signal(syscall.SIGCONT)
		return nil
	})
}

func (s *soak) drawStop() (event, bool) { return s.onNode("stop", s.term) }

func (s *soak) drawReload() (event, bool) {
	return s.onNode("reload", func(_ context.Context, n *nodeProcess) error {
		n.process.Signal(syscall.SIGHUP)
		return nil
	})
}

func (s *soak) drawKillAll() (event, bool) {
	var taken []*nodeProcess
	for _, n := range s.nodes {
		if s.occupy(n) {
			taken = append(taken, n)
		}
	}
	return event{fmt.Sprint("kill ", len(taken)), func(ctx context.Context) error {
		var group errgroup.Group
		for _, n := range taken {
			group.Go(func() error {
				defer s.release(n)
				return s.kill(ctx, n, 300*time.Millisecond)
			})
		}
		return group.Wait()
	}}, true
}

func (s *soak) drawStore() (event, bool) {
	busy, delay, forget, d := s.random.IntN(2) == 0, s.span(0, 300), s.random.IntN(3) == 0, s.span(500, 4000)
	return event{fmt.Sprint("store busy ", busy, " slow ", delay, " forgets ", forget, " for ", d), func(ctx context.Context) error {
		s.fault("store", d)
		s.store.set(busy, delay, forget)
		pauseFor(ctx, d)
		s.store.set(false, 0, false)
		return nil
	}}, true
}

func (s *soak) drawStoreLink() (event, bool) {
	silent, d := s.random.IntN(2) == 0, s.span(500, 5000)
	return s.onNode(fmt.Sprint("store link silent ", silent, " for ", d), func(ctx context.Context, n *nodeProcess) error {
		if silent {
			s.harm(n, d)
			n.store.set(linkMode{silent: true})
			pauseFor(ctx, d)
			n.store.set(linkMode{})
			n.store.reset()
			return nil
		}
		// A store that turns one balancer away serves the others, so that this one stays in touch.
		n.store.refuse()
		pauseFor(ctx, d)
		return n.store.open()
	})
}

// onUpstream makes an event that acts on an upstream of a service. With replace, another one is started first.
func (s *soak) onUpstream(name string, replace bool, run func(ctx context.Context, b *back)) (event, bool) {
	service := serviceSwap
	if s.random.IntN(3) == 0 {
		service = serviceMaps
	}
	all := s.services[service]
	i := s.random.IntN(len(all))
	b := all[i]
	if replace {
		s.services[service] = append(all[:i:i], all[i+1:]...)
		if err := s.addBack(service); err != nil {
			return event{name, func(context.Context) error { return err }}, true
		}
	}
	return event{name + " " + b.name(), func(ctx context.Context) error {
		run(ctx, b)
		return nil
	}}, true
}

func (s *soak) drawCrash() (event, bool) {
	return s.onUpstream("crash", true, func(ctx context.Context, b *back) {
		s.fault(b.name(), time.Hour)
		b.end()
		// The registry drops it after three heartbeats of silence.
		pauseFor(ctx, 3600*time.Millisecond)
		b.unregister()
	})
}

func (s *soak) drawDrain() (event, bool) {
	return s.onUpstream("drain", true, func(ctx context.Context, b *back) {
		b.drain()
		pauseFor(ctx, 2*applyTime)
		s.fault(b.name(), time.Hour)
		b.end()
		b.unregister()
	})
}

func (s *soak) drawLink() (event, bool) {
	m, d := linkMode{delay: s.span(0, 200), lossy: s.random.IntN(2) == 0}, s.span(300, 2500)
	return s.onUpstream(fmt.Sprintf("link delayed by %v lossy %v for %v of", m.delay, m.lossy, d), false, func(ctx context.Context, b *back) {
		s.fault(b.name(), d)
		b.link.set(m)
		pauseFor(ctx, d)
		b.link.set(linkMode{})
	})
}

func (s *soak) drawRoute() (event, bool) {
	service, d := rattanwood.ServiceID(""), s.span(200, 7000)
	if s.random.IntN(2) == 0 {
		service = serviceSwap
	}
	return event{fmt.Sprintf("route to %q for %v", service, d), func(ctx context.Context) error {
		s.route(addressMaps, service)
		pauseFor(ctx, d)
		s.route(addressMaps, serviceMaps)
		return nil
	}}, true
}

func (s *soak) drawIll() (event, bool) {
	hang, d := s.random.IntN(2) == 0, s.span(1000, 5000)
	return s.onUpstream(fmt.Sprintf("requests fail, hang %v, for %v at", hang, d), false, func(ctx context.Context, b *back) {
		b.turn(ill{mute: hang, short: !hang})
		pauseFor(ctx, d)
		b.turn(ill{})
	})
}

func (s *soak) span(least, most int) time.Duration {
	return time.Duration(least+s.random.IntN(most-least+1)) * time.Millisecond
}

// schedule plays random events, and then lets everything become well.
func (s *soak) schedule(ctx context.Context) error {
	group, working := errgroup.WithContext(ctx)
	for end := time.Now().Add(time.Duration(s.cfg.Seconds) * time.Second); time.Now().Before(end) && working.Err() == nil; {
		pauseFor(working, s.span(int(gapLeast.Milliseconds()), int(gapMost.Milliseconds())))
		e, ok := draws[s.random.IntN(s.kinds)].make(s)
		if !ok {
			continue
		}
		s.log(e.name)
		group.Go(func() error { return e.run(working) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	pauseFor(ctx, settleTime)
	s.mu.Lock()
	s.settled = true
	s.mu.Unlock()
	pauseFor(ctx, watchTime)
	return nil
}
