package main

import (
	"fmt"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

func init() { cases["young-route"] = youngRoute }

// youngRoute adds routes while balancers are stopped and started in turn. Requesters use each route as soon as the
// store has acknowledged it, and keep their flows.
func youngRoute(e *env) int {
	const service, count, seconds = "huvo11a", 8, 60
	e.zones = []string{"seq-a", "seq-b"}
	for i := range count {
		b, err := e.addBackend(i, 0x10000000+uint64(i)*0x01000001, service, 10*time.Millisecond)
		if err != nil {
			fmt.Println(err)
			return cantRun
		}
		e.store.put(b.key(), b.entry("ready"))
	}
	version, routes := 7, 3
	e.store.put("op/config", config(version, routes, service))
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
		e.log.note("FLOW: flow %v > %v, open at i-%08x since its first packet went by way of %s, is reset by the system %.3f s after its route was acknowledged; its last packet went by way of %s",
			f.src, f.dst, f.upstream, f.openedBy, time.Since(at).Seconds(), f.lastVia)
	}
	var flows sync.WaitGroup
	use := func(route netip.AddrPort, n int) {
		for i := range n {
			flows.Go(func() {
				// Requesters open flows all the time, not only at the moment of the change.
				time.Sleep(time.Duration(i) * 2 * time.Millisecond)
				for try := range 60 {
					f, ok := r.dial(route)
					if !ok {
						time.Sleep(10 * time.Millisecond)
						continue
					}
					for k := range 40 {
						if _, ok := f.request(fmt.Sprintf("%d-%d-%d", f.src.Port(), try, k), time.Second); !ok {
							break
						}
						time.Sleep(20 * time.Millisecond)
					}
					f.closeFlow()
					return
				}
			})
		}
	}
	stop := make(chan struct{})
	var plan sync.WaitGroup
	plan.Go(func() {
		for !over(stop) {
			// A storm of changes lasts 4 s, with 0.33 s between two.
			for range 12 {
				version, routes = version+3, routes+1
				at := e.store.put("op/config", config(version, routes, service))
				mu.Lock()
				acked[routeAddress(routes-1)] = at
				mu.Unlock()
				e.log.note("operator: version %d adds route %v", version, routeAddress(routes-1))
				use(routeAddress(routes-1), 50)
				time.Sleep(330 * time.Millisecond)
			}
			time.Sleep(500 * time.Millisecond)
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
				time.Sleep(1300 * time.Millisecond)
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
	fmt.Printf("flows opened %d, refused %d; open flows that the system reset: %d\n", r.stats.opened, r.stats.refused, breaks)
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
