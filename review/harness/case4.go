package main

import (
	"fmt"
	"net/netip"
	"sync"
	"time"
)

func init() { cases["large-answer"] = largeAnswer }

// contactWindow is the bound contact_window_ms.
const contactWindow = 4 * time.Second

// configApply is the bound config_apply_ms.
const configApply = 3 * time.Second

// cutTime is how long a machine is partitioned from the store.
const cutTime = 5500 * time.Millisecond

// largeAnswer partitions the machine that reads the store from it while versions of a large configuration come in quick succession.
func largeAnswer(e *env) int {
	const service, count, routes = "huvo11a", 8, 5000
	e.zones = []string{"seq-a", "seq-b"}
	for i := range count {
		b, err := e.addBackend(i, 0x10000000+uint64(i)*0x01000001, service, 3*time.Millisecond)
		if err != nil {
			fmt.Println(err)
			return cantRun
		}
		e.store.put(b.key(), b.entry("ready"))
	}
	version, n := 7, routes
	e.store.put("op/config", config(version, n, service))
	if !e.startFleet(4, e.zones) {
		return cantRun
	}
	r, err := newRequester(network+".100.1", e.fleet, e.log)
	if err != nil {
		fmt.Println(err)
		return cantRun
	}
	var mu sync.Mutex
	type added struct {
		route netip.AddrPort
		acked time.Time
	}
	list := []added{{route: routeAddress(0), acked: time.Now().Add(-time.Minute)}}
	cut, cutAt := "", time.Time{}
	late, served := map[string]int{}, 0
	total := 0
	go func() {
		for i := 0; !over(e.stop); i++ {
			time.Sleep(20 * time.Millisecond)
			go func() {
				sent := time.Now()
				// The newest route that every machine in touch has to know.
				mu.Lock()
				a := list[0]
				for _, c := range list {
					if sent.Sub(c.acked) > configApply {
						a = c
					}
				}
				mu.Unlock()
				f, ok := r.dial(a.route)
				if ok {
					_, ok = f.request(fmt.Sprint("a", i), time.Second)
					f.closeFlow()
				}
				mu.Lock()
				defer mu.Unlock()
				if ok {
					served++
					return
				}
				if f.openedBy == cut && sent.Sub(cutAt) < cutTime+contactWindow {
					return
				}
				late[f.openedBy]++
				if total++; total < 200 {
					e.log.note("CONFIG: a request to %v, sent %.1f s after the route was acknowledged, was refused by %s", a.route, sent.Sub(a.acked).Seconds(), f.openedBy)
				}
			}()
		}
	}()
	// Right after the start of the fleet several balancers may read.
	time.Sleep(4 * time.Second)
	for range 500 {
		if e.store.reader() != "" {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	// cutOff partitions the reader from the store, right after it has read.
	cutOff := func(reader string) {
		last := e.store.watchedAt(reader)
		for !over(e.stop) && e.store.watchedAt(reader) == last {
			time.Sleep(2 * time.Millisecond)
		}
		time.Sleep(50 * time.Millisecond)
		mu.Lock()
		cut, cutAt = reader, time.Now()
		mu.Unlock()
		e.log.note("network: %s is partitioned from the store", reader)
		e.store.setSilent(reader, true)
		time.AfterFunc(cutTime, func() {
			e.store.setSilent(reader, false)
			e.log.note("network: %s reaches the store again", reader)
		})
	}
	begin, started := time.Now(), false
	next := begin
	cutAfter := 300 * time.Millisecond
	for time.Since(begin) < 4*time.Second {
		version, n = version+3, n+1
		at := e.store.put("op/config", config(version, n, service))
		mu.Lock()
		list = append(list, added{route: routeAddress(n - 1), acked: at})
		mu.Unlock()
		e.log.note("operator: version %d adds route %v", version, routeAddress(n-1))
		if reader := e.store.reader(); e.trouble && !started && reader != "" && time.Since(begin) > cutAfter {
			started = true
			go cutOff(reader)
		}
		next = next.Add(330 * time.Millisecond)
		time.Sleep(time.Until(next))
	}
	time.Sleep(25 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	e.log.note("requests served: %d; refused or unanswered though the route was there for 3 s: %v", served, late)
	fmt.Printf("requests served: %d; refused or unanswered though the route was there for 3 s: %v\n", served, late)
	if total > 0 {
		return broken
	}
	return held
}
