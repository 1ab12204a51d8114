package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

func init() { cases["young-route"] = youngRoute }

// youngRoute adds routes while balancers are stopped and started in turn. Requesters use each route as soon as the
// store has acknowledged it, and keep their flows.
func youngRoute(e *env) int {
	const service, count, seconds = "huvo11a", 8, 90
	e.zones = []string{"seq-a", "seq-b"}
	for i := range count {
		b, err := e.addBackend(i, 0x10000000+uint64(i)*0x01000001, service, 3*time.Millisecond)
		if err != nil {
			fmt.Println(err)
			return cantRun
		}
		e.store.put(b.key(), b.entry("ready"))
	}
	version, routes := 7, 3
	e.store.put("op/config", unsafeConfig(version, routes, service))
	if !e.startFleet(4, e.zones) {
		return cantRun
	}
	r, err := newRequester(network+".100.1", e.fleet, e.log)
	if err != nil {
		fmt.Println(err)
		return cantRun
	}
	breaks := 0
	acked := map[netip.AddrPort]time.Time{}
	var mu sync.Mutex
	r.onReset = func(f *clientFlow, p packet) {
		if p.sum != 0 {
			return
		}
		breaks++
		mu.Lock()
		at := acked[f.dst]
		mu.Unlock()
		e.log.note("FLOW: flow %v > %v, open at i-%08x since its first packet went by way of %s, is reset by the system %.3f s after its route was acknowledged; its last packet went by way of %s; a request was waiting: %v",
			f.src, f.dst, f.upstream, f.openedBy, time.Since(at).Seconds(), f.lastVia, f.waiting)
	}
	var flows sync.WaitGroup
	use := func(route netip.AddrPort, n int) {
		for i := range n {
			flows.Go(func() {
				// Requesters open flows all the time; these are the first ones to the new address.
				time.Sleep(time.Duration(i) * 1500 * time.Microsecond)
				f, ok := r.dial(route)
				if !ok {
					return
				}
				for k := range 40 {
					if _, ok := f.request(fmt.Sprintf("%d-%d", f.src.Port(), k), time.Second); !ok {
						break
					}
					time.Sleep(5 * time.Millisecond)
				}
				f.closeFlow()
			})
		}
	}
	stop := make(chan struct{})
	var plan sync.WaitGroup
	plan.Go(func() {
		for !over(stop) {
			// The changes come at a pace slower than that of a storm, which has 0.33 s between two.
			time.Sleep(350*time.Millisecond + rand.N(150*time.Millisecond))
			version, routes = version+3, routes+1
			at := e.store.put("op/config", unsafeConfig(version, routes, service))
			mu.Lock()
			acked[routeAddress(routes-1)] = at
			mu.Unlock()
			e.log.note("operator: version %d adds route %v", version, routeAddress(routes-1))
			use(routeAddress(routes-1), 30)
		}
	})
	if e.trouble {
		plan.Go(func() {
			for i := 0; !over(stop); i++ {
				b := e.fleet.balancers[i%len(e.fleet.balancers)]
				plan.Go(func() {
					e.fleet.signal(b, syscall.SIGTERM)
					<-b.done
					time.Sleep(200 * time.Millisecond)
					_ = e.fleet.start(b)
				})
				time.Sleep(2500 * time.Millisecond)
			}
		})
	}
	time.Sleep(seconds * time.Second)
	close(stop)
	plan.Wait()
	flows.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	e.log.note("flows opened %d, refused %d, silent %d, answered %d, reset %d", r.stats.opened, r.stats.refused, r.stats.silent, r.stats.answered, r.stats.reset)
	e.log.note("open flows that the system reset: %d", breaks)
	fmt.Printf("flows opened %d, refused %d; open flows that the system reset: %d; requests never answered: %d\n", r.stats.opened, r.stats.refused, breaks, r.stats.lost)
	if breaks > 0 {
		return broken
	}
	return held
}

// over reports whether stop is closed.
func over(stop <-chan struct{}) bool {
	select {
	case <-stop:
		return true
	default:
		return false
	}
}
