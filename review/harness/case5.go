package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

func init() { cases["lost-answer"] = lostAnswer }

// lossRate is the share of the backends' datagrams that are lost.
const lossRate = 0.005

// lostAnswer loses a few of the datagrams that backends send. Requesters keep flows open for many requests.
func lostAnswer(e *env) int {
	const service, count, seconds = "huvo11a", 8, 60
	e.zones = []string{"seq-a", "seq-b"}
	var mu sync.Mutex
	// resets holds the backend that sent the last reset to a requester's end of a flow.
	resets := map[netip.AddrPort]*backend{}
	for i := range count {
		b, err := e.addBackend(i, 0x10000000+uint64(i)*0x01000001, service, 15*time.Millisecond)
		if err != nil {
			fmt.Println(err)
			return cantRun
		}
		b.onReset = func(b *backend, p packet) {
			mu.Lock()
			defer mu.Unlock()
			resets[p.src] = b
		}
		b.lose = func() bool { return e.trouble && rand.Float64() < lossRate }
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
	breaks, system := 0, 0
	r.onReset = func(f *clientFlow, p packet) {
		if p.sum == 0 {
			system++
			e.log.note("FLOW: flow %v, open at i-%08x, is reset by the system", f.src, f.upstream)
			return
		}
		mu.Lock()
		from := resets[f.src]
		mu.Unlock()
		if from == nil || uint32(from.id) == f.upstream {
			return
		}
		breaks++
		e.log.note("FLOW: flow %v, open at i-%08x, is reset by %s, to which the system sent its packets; first packets sent: %d, a request was waiting: %v",
			f.src, f.upstream, from.name(), f.synCopies+1, f.waiting)
	}
	var flows sync.WaitGroup
	begin := time.Now()
	for n := 0; time.Since(begin) < seconds*time.Second; n++ {
		flows.Go(func() {
			f, ok := r.dial(routeAddress(n % 3))
			if !ok {
				return
			}
			for k := range 20 {
				if _, ok := f.request(fmt.Sprintf("%d-%d", n, k), 5*time.Second); !ok {
					break
				}
				time.Sleep(150 * time.Millisecond)
			}
			f.closeFlow()
		})
		time.Sleep(20 * time.Millisecond)
	}
	flows.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	e.log.note("flows opened %d, refused %d, silent %d, answered %d, reset %d", r.stats.opened, r.stats.refused, r.stats.silent, r.stats.answered, r.stats.reset)
	fmt.Printf("flows opened %d; open flows that a foreign backend reset: %d, that the system reset: %d; requests never answered: %d\n", r.stats.opened, breaks, system, r.stats.lost)
	e.log.note("open flows that a foreign backend reset: %d, that the system reset: %d; requests never answered: %d", breaks, system, r.stats.lost)
	if breaks+system > 0 {
		return broken
	}
	return held
}
