package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// coldRestart has a backend crash and start again under its id, cold. The trouble is that the platform's store is down
// meanwhile, so that its entry is still that of the lifetime before.
func coldRestart(r *run) error {
	const (
		nodes, backends, clients = 5, 6, 30
		flowsPerSecond           = 73 // 12.2 a second for each backend
		warmupPerSecond          = 4
		warmupSeconds            = 6
		overage, slack           = 1.5, 5
		timeLimit                = 3 * time.Second
	)
	limit := int(warmupPerSecond*overage + slack)
	target := r.target(1, 8443)
	config := func(version int) string {
		return mustJSON(map[string]any{
			"version": version,
			"routes": []any{map[string]any{
				"name": "r-tile", "hostname": target.Addr().String(), "prefix": fmt.Sprintf("/%d/", target.Port()), "kind": "safe", "timeout_ms": 3000,
				"target_latency_ms": 500, "priority": 2, "service": "viewer", "max_attempts": 2,
			}},
			"services": []any{map[string]any{
				"name": "viewer", "health_check_path": "/health", "max_connections": 3215, "warmup_s": warmupSeconds, "warmup_per_s": warmupPerSecond,
			}},
			"limits": map[string]any{"idle_timeout_ms": 12000},
		})
	}
	r.store.put("op/config", config(3))
	for i := range backends {
		if err := r.addBackend(i+1, &backend{service: "viewer", zone: "zone-a", slots: 2, workTime: 22 * time.Millisecond, coldTime: time.Second / warmupPerSecond}); err != nil {
			return err
		}
	}
	for i := range nodes {
		cfg := nodeConfig{
			zone: "zone-a", region: "region", platform: r.store.address, seeds: []string{r.ip(40, 1) + ":8166", r.ip(40, 2) + ":8166", r.ip(40, 3) + ":8166"},
			zones: map[string]string{"zone-a": "region"}, warmup: fmt.Sprintf(`"warmup": {"overage": %g, "slack": %d},`, overage, slack), applyMs: 5000, graceS: 6,
		}
		if err := r.addNode(i+1, cfg); err != nil {
			return err
		}
	}
	if err := r.addClients(clients); err != nil {
		return err
	}
	if err := r.awaitReady(15 * time.Second); err != nil {
		return err
	}
	r.log("traffic begins")
	start := time.Now()
	go func() {
		for i := 0; !r.over(); i++ {
			go r.clients[i%clients].once(target, timeLimit)
			time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(time.Second) / flowsPerSecond))
		}
	}()
	at := func(seconds float64) {
		time.Sleep(time.Until(start.Add(time.Duration(seconds * float64(time.Second)))))
	}
	cold := r.backends[2]
	at(12)
	cold.crash()
	at(14)
	if r.trouble {
		r.log("the store is down")
		r.store.setDown(true)
	}
	at(15)
	if err := cold.start(warmupSeconds * time.Second); err != nil {
		return err
	}
	at(18.5)
	if r.trouble {
		r.store.setDown(false)
		r.log("the store is back")
	}
	at(24)
	most := 0
	cold.mu.Lock()
	defer cold.mu.Unlock()
	var window []opening
	for _, o := range cold.opened {
		if o.life < 2 || o.taken.After(o.coldUntil) {
			continue
		}
		window = append(window, o)
		n := 0
		for _, w := range window {
			if begin := o.taken.Add(-time.Second); w.sent.After(begin) && w.taken.After(begin) {
				n++
			}
		}
		if n > most {
			most = n
		}
		r.log("cold backend took the opening packet of %s, sent %.3f s before, by way of %s; %d in a second", o.flow.client, o.taken.Sub(o.sent).Seconds(), o.via, n)
	}
	r.log("cold backend: %d flows while cold, %d at most in a second, allowed are %d", len(window), most, limit)
	if most > limit {
		r.breakRule("FAILBACK", "a cold backend got %d requests in a second, more than %d x %g + %d", most, warmupPerSecond, overage, slack)
	}
	return nil
}
