package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

func init() { cases["lost-change"] = lostChange }

// stepGap is the time between two steps of the release.
const stepGap = time.Second

// Bounds of the grown deployments: drain_timeout_ms, config_apply_ms and contact_window_ms.
const (
	grownDrain   = 5 * time.Second
	grownApply   = 5 * time.Second
	grownContact = 5 * time.Second
)

// lostChange kills the process that reads the store and starts it again, while a release goes on: each second a new
// backend registers, and an old one starts to drain. The configuration fills a page of the store's listings, and a link
// of 20 Mbit/s takes 0.45 s for it, so that a step of the release comes between two pages of the new process's listing.
func lostChange(e *env) int {
	const service, count, routes, rounds, steps = "huvo11a", 56, 5000, 5, 6
	e.fleet.apply = grownApply
	e.store.page, e.store.linkRate = 500, 20_000_000/8
	e.zones = []string{"seq-a", "seq-b"}
	var mu sync.Mutex
	type arrival struct {
		b    *backend
		src  netip.AddrPort
		when time.Time
	}
	var arrivals []arrival
	onOpening := func(b *backend, p packet) {
		mu.Lock()
		defer mu.Unlock()
		arrivals = append(arrivals, arrival{b: b, src: p.src, when: time.Now()})
	}
	var backends []*backend
	add := func(i int) *backend {
		b, err := e.addBackend(i, 0x10000000+uint64(i)*0x01000001, service, 15*time.Millisecond)
		if err != nil {
			fmt.Println(err)
			return nil
		}
		b.onOpening = onOpening
		backends = append(backends, b)
		return b
	}
	for i := range count {
		b := add(i)
		if b == nil {
			return cantRun
		}
		e.store.put(b.key(), b.entry("ready"))
	}
	e.store.put("op/config", config(7, routes, service))
	if !e.startFleet(4, e.zones) {
		return cantRun
	}
	r, err := newRequester(network+".100.1", e.fleet, e.log)
	if err != nil {
		fmt.Println(err)
		return cantRun
	}
	// via is the balancer through which a flow was opened, by the requester's end.
	via := map[netip.AddrPort]*clientFlow{}
	go func() {
		for n := 0; ; n++ {
			select {
			case <-e.stop:
				return
			case <-time.After(6 * time.Millisecond):
			}
			go func() {
				f, ok := r.dial(routeAddress(0))
				mu.Lock()
				via[f.src] = f
				mu.Unlock()
				if !ok {
					return
				}
				_, _ = f.request(fmt.Sprintf("a%d", n), time.Second)
				f.closeFlow()
			}()
		}
	}()
	time.Sleep(6 * time.Second)

	// A step of the release: a new backend starts first, then an old one drains.
	drained := map[*backend]time.Time{}
	step := func(fresh, old int) {
		b := add(fresh)
		if b == nil {
			return
		}
		e.store.put(b.key(), b.entry("ready"))
		o := backends[old]
		at := e.store.put(o.key(), o.entry("draining"))
		e.log.note("store: %s is registered, %s is draining", b.name(), o.name())
		mu.Lock()
		drained[o] = at
		mu.Unlock()
	}
	// killed holds when each machine was killed last.
	killed := map[string]time.Time{}
	// judge counts the openings that reached a draining backend too late by way of machines in touch.
	judged := 0
	through := map[string]int{}
	late := 0
	judge := func() {
		mu.Lock()
		defer mu.Unlock()
		for ; judged < len(arrivals); judged++ {
			a := arrivals[judged]
			at, ok := drained[a.b]
			f := via[a.src]
			if !ok || f == nil || a.when.Sub(at) <= grownDrain {
				continue
			}
			if k, ok := killed[f.openedBy]; ok && a.when.Sub(k) < 2*grownContact {
				continue
			}
			late++
			through[f.openedBy]++
			e.log.note("DRAIN: the opening packet of %v reached %s by way of %s %.3f s after it was acknowledged as draining", a.src, a.b.name(), f.openedBy, a.when.Sub(at).Seconds())
		}
	}
	next := 0
	for round := 0; round < rounds && late == 0; round++ {
		if e.trouble {
			if !e.killReader(killed, func() {
				for range steps {
					step(count+next, count-1-next)
					next++
					time.Sleep(stepGap)
				}
			}) {
				return cantRun
			}
		} else {
			for range steps {
				step(count+next, count-1-next)
				next++
				time.Sleep(stepGap)
			}
		}
		// A backend that drains serves for drain_timeout_ms and a little longer, at times many seconds.
		time.Sleep(9 * time.Second)
		judge()
	}
	r.mu.Lock()
	e.log.note("flows opened %d, refused %d, silent %d, answered %d, reset %d", r.stats.opened, r.stats.refused, r.stats.silent, r.stats.answered, r.stats.reset)
	r.mu.Unlock()
	e.log.note("late openings at draining backends: %d %v", late, through)
	fmt.Printf("late openings at draining backends: %d %v\n", late, through)
	if late > 0 {
		return broken
	}
	return held
}

// killReader kills the process that reads the store and starts it again, and carries out a release meanwhile.
func (e *env) killReader(killed map[string]time.Time, release func()) bool {
	reader := ""
	for range 200 {
		if reader = e.store.reader(); reader != "" {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	if reader == "" {
		reader = e.store.newestReader()
	}
	var victim *balancer
	for _, b := range e.fleet.balancers {
		if b.name == reader {
			victim = b
		}
	}
	if victim == nil {
		fmt.Println("no balancer reads the store")
		return false
	}
	e.log.note("the reader of the store is %s", reader)
	released := make(chan struct{})
	go func() { release(); close(released) }()
	// The kill comes at any time of the release.
	time.Sleep(stepGap + rand.N(stepGap))
	e.fleet.signal(victim, syscall.SIGKILL)
	killed[victim.name] = time.Now()
	<-victim.done
	time.Sleep(200 * time.Millisecond)
	ok := e.fleet.start(victim) == nil
	<-released
	return ok
}
