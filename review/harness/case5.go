package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

func init() { cases["lost-answer"] = lostAnswer }

// Loss of datagrams that backends send: the share that is lost, how long that lasts, and how often it comes.
const (
	lossRate   = 0.025
	lossTime   = 5500 * time.Millisecond
	lossPeriod = 20 * time.Second
)

// lossy reports whether datagrams are lost some time after the start, and for how long none was.
func lossy(t time.Duration) (lossy bool, calm time.Duration) {
	phase := t % lossPeriod
	return phase < lossTime, phase - lossTime
}

// lostAnswer loses a few of the datagrams that backends send, for some seconds at a time. Requesters keep flows open
// for several requests with pauses between them. Resets count once no datagram was lost for contactWindow.
func lostAnswer(e *env) int {
	const service, count, seconds, pause = "huvo11a", 8, 52, 7 * time.Second
	var begin time.Time
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
		b.lose = func() bool {
			if !e.trouble || begin.IsZero() {
				return false
			}
			lossy, _ := lossy(time.Since(begin))
			return lossy && rand.Float64() < lossRate
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
	breaks, system, excused := 0, 0, 0
	r.onReset = func(f *clientFlow, p packet) {
		if lossy, calm := lossy(time.Since(begin)); lossy || calm < contactWindow {
			excused++
			return
		}
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
	begin = time.Now()
	for n := 0; time.Since(begin) < seconds*time.Second; n++ {
		flows.Go(func() {
			f, ok := r.dial(routeAddress(n % 3))
			if !ok {
				return
			}
			for k := range 3 {
				if _, ok := f.request(fmt.Sprintf("%d-%d", n, k), 5*time.Second); !ok {
					break
				}
				time.Sleep(pause)
			}
			f.closeFlow()
		})
		time.Sleep(10 * time.Millisecond)
	}
	flows.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	e.log.note("flows opened %d, refused %d, silent %d, answered %d, reset %d", r.stats.opened, r.stats.refused, r.stats.silent, r.stats.answered, r.stats.reset)
	result := fmt.Sprintf("flows opened %d; open flows that a foreign backend reset: %d, that the system reset: %d (and %d within the contact window of a loss); requests never answered: %d",
		r.stats.opened, breaks, system, excused, r.stats.lost)
	fmt.Println(result)
	e.log.note("%s", result)
	if breaks+system > 0 {
		return broken
	}
	return held
}
