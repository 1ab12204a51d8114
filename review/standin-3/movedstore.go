package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"
)

// movedStore changes the platform's address in the settings of all nodes, has the store answer at both addresses for a
// while and then only at the new one. After that the operator removes a route.
func movedStore(r *run) error {
	const (
		nodes, backends, clients = 4, 6, 20
		flowsPerSecond           = 40
		configApply              = 3 * time.Second
		overlap                  = 25 * time.Second
	)
	kept, removed := r.target(1, 8443), r.target(2, 8443)
	config := func(version int, targets ...netip.AddrPort) string {
		var routes []any
		for i, t := range targets {
			routes = append(routes, map[string]any{
				"name": fmt.Sprintf("r-%d", i), "hostname": t.Addr().String(), "prefix": fmt.Sprintf("/%d/", t.Port()), "kind": "safe", "timeout_ms": 1000,
				"target_latency_ms": 250, "priority": 2, "service": "pitch", "max_attempts": 2,
			})
		}
		return mustJSON(map[string]any{
			"version": version, "routes": routes,
			"services": []any{map[string]any{"name": "pitch", "health_check_path": "/health", "max_connections": 4286}},
			"limits":   map[string]any{"idle_timeout_ms": 12000},
		})
	}
	r.store.put("op/config", config(3, kept, removed))
	for i := range backends {
		if err := r.addBackend(i+1, &backend{service: "pitch", zone: "zone-a", slots: 2, workTime: 15 * time.Millisecond}); err != nil {
			return err
		}
	}
	cfg := nodeConfig{
		zone: "zone-a", region: "region", platform: r.store.address, seeds: []string{r.ip(40, 1) + ":8166", r.ip(40, 2) + ":8166", r.ip(40, 3) + ":8166"},
		zones: map[string]string{"zone-a": "region"}, applyMs: 3000, graceS: 6,
	}
	for i := range nodes {
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
	var ackedAt time.Time
	r.onOpen = func(b *backend, o opening) {
		r.mu.Lock()
		acked := ackedAt
		r.mu.Unlock()
		if o.flow.target == removed && !acked.IsZero() && o.sent.Sub(acked) > configApply {
			r.breakRule("CONFIG", "backend %s took the opening packet of %s by way of %s, sent %.1f s after the ack of the version without its route",
				b.name(), o.flow.client, o.via, o.sent.Sub(acked).Seconds())
		}
	}
	r.log("traffic begins")
	go func() {
		for i := 0; !r.over(); i++ {
			go r.clients[i%clients].once([]netip.AddrPort{kept, removed}[i%2], time.Second)
			time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(time.Second) / flowsPerSecond))
		}
	}()
	time.Sleep(8 * time.Second)
	if r.trouble {
		moved := r.ip(1, 2) + ":8169"
		if err := r.store.serve(moved); err != nil {
			return err
		}
		cfg.platform = moved
		for _, n := range r.nodes {
			if err := r.writeSettings(n, cfg); err != nil {
				return err
			}
		}
		r.log("the store also answers at %s, which the settings of all nodes name now", moved)
	}
	time.Sleep(overlap)
	if r.trouble {
		_ = r.store.servers[0].Close()
		r.log("the store no longer answers at %s", r.store.address)
	}
	time.Sleep(6 * time.Second)
	at, _ := r.store.put("op/config", config(9, kept))
	r.mu.Lock()
	ackedAt = at
	r.mu.Unlock()
	r.log("version 9 is acknowledged, which removes the route to %s", removed)
	time.Sleep(10 * time.Second)
	return nil
}
