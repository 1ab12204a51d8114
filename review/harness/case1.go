package main

import (
	"fmt"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

func init() { cases["lost-change"] = lostChange }

// drainTimeout is the bound drain_timeout_ms.
const drainTimeout = 3 * time.Second

// contactWindow is the bound contact_window_ms.
const contactWindow = 4 * time.Second

// lostChange kills the process that reads the store and starts it again. While it lists the store, page by page, a
// step of a release is written: a new backend registers, and an old one starts to drain.
func lostChange(e *env) int {
	const service, count = "huvo11a", 56
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
	e.store.put("op/config", config(7, 3, service))
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
			if !ok || f == nil || a.when.Sub(at) <= drainTimeout {
				continue
			}
			if k, ok := killed[f.openedBy]; ok && a.when.Sub(k) < 2*contactWindow {
				continue
			}
			late++
			through[f.openedBy]++
			e.log.note("DRAIN: the opening packet of %v reached %s by way of %s %.3f s after it was acknowledged as draining", a.src, a.b.name(), f.openedBy, a.when.Sub(at).Seconds())
		}
	}
	const rounds = 5
	for round := 0; round < rounds && late == 0; round++ {
		fresh, old := count+2*round, count-1-2*round
		var once sync.Once
		first := func() { once.Do(func() { step(fresh, old) }) }
		if !e.trouble {
			time.Sleep(500 * time.Millisecond)
			first()
		} else if !e.killReader(killed, first) {
			return cantRun
		}
		time.Sleep(time.Second)
		step(fresh+1, old-1)
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

// killReader kills the process that reads the store and starts it again. It calls between after the first page of the
// listing that the new process makes.
func (e *env) killReader(killed map[string]time.Time, between func()) bool {
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
	e.store.mu.Lock()
	e.store.afterRange = func(machine, prefix, _ string, more bool) {
		if machine == reader && prefix == "" && more {
			between()
		}
	}
	last := e.store.lastWatch[reader]
	e.store.mu.Unlock()
	// Shortly after a watch was answered, all know that the records are current.
	for range 400 {
		e.store.mu.Lock()
		began := e.store.lastWatch[reader]
		e.store.mu.Unlock()
		if began != last {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond)
	e.fleet.signal(victim, syscall.SIGKILL)
	killed[victim.name] = time.Now()
	<-victim.done
	time.Sleep(200 * time.Millisecond)
	return e.fleet.start(victim) == nil
}
