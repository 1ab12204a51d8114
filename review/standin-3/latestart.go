package main

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// lateStart kills a node again and again while the store answers slowly. First packets wait at the process that starts
// until it is ready, while the routers take the node out of rotation, so that their copies go to another node.
func lateStart(r *run) error {
	const (
		nodes, backends, clients = 3, 8, 40
		flowsPerSecond           = 200
		contactWindow            = 4 * time.Second
		slowAnswer               = 30 * answerTime
		kills                    = 9
	)
	pause := 6500 * time.Millisecond
	target := r.target(1, 8443)
	r.store.put("op/config", mustJSON(map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "r-badge", "hostname": target.Addr().String(), "prefix": fmt.Sprintf("/%d/", target.Port()), "kind": "unsafe", "timeout_ms": 1000,
			"target_latency_ms": 250, "priority": 2, "service": "pitch", "max_attempts": 2,
		}},
		"services": []any{map[string]any{"name": "pitch", "health_check_path": "/health", "max_connections": 4286}},
		"limits":   map[string]any{"idle_timeout_ms": 12000},
	}))
	for i := range backends {
		if err := r.addBackend(i+1, &backend{service: "pitch", zone: "zone-a", slots: 2, workTime: 5 * time.Millisecond}); err != nil {
			return err
		}
	}
	for i := range nodes {
		cfg := nodeConfig{
			zone: "zone-a", region: "region", platform: r.store.address, seeds: []string{r.ip(40, 1) + ":8166", r.ip(40, 2) + ":8166", r.ip(40, 3) + ":8166"},
			zones: map[string]string{"zone-a": "region"}, applyMs: 3000, graceS: 6,
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
	r.onReset = func(key flowKey, from string, bySystem bool, at *openFlow) {
		if at == nil || !bySystem && at.backend.address == from+":8080" {
			return
		}
		taker := r.router.lastNode(key)
		who := "backend " + from
		if bySystem {
			who = "node " + from
		}
		text := fmt.Sprintf("requester %s got a reset of %s, but its flow is open at %s (%s); its packets went to %s",
			key.client, who, at.backend.name(), at.backend.address, taker.name)
		if time.Since(taker.impairedAt(r)) < contactWindow || r.store.sinceImpaired() < contactWindow {
			r.log("not counted, a machine isn't in touch: %s", text)
			return
		}
		r.breakRule("FLOW", "%s", text)
		r.log("  its history: %s", r.historyOf(key))
	}
	r.log("traffic begins")
	start := time.Now()
	go func() {
		for i := 0; !r.over(); i++ {
			go r.clients[i%clients].lasting(target, time.Second, []time.Duration{pause})
			time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(time.Second) / flowsPerSecond))
		}
	}()
	time.Sleep(time.Until(start.Add(8 * time.Second)))
	for i := range kills {
		n := r.nodes[rand.IntN(len(r.nodes))]
		if r.trouble {
			r.store.setDelay(slowAnswer)
			r.log("%d: the store is slow", i+1)
			time.Sleep(time.Duration(rand.IntN(500)) * time.Millisecond)
			r.kill(n)
			time.Sleep(500 * time.Millisecond)
			if err := r.startNode(n); err != nil {
				return err
			}
			time.Sleep(700 * time.Millisecond)
			r.store.setDelay(answerTime)
			r.log("%d: the store is as fast as usual", i+1)
		}
		time.Sleep(8500 * time.Millisecond)
	}
	return nil
}

// kill ends a node's process with SIGKILL.
func (r *run) kill(n *node) {
	r.log("node %s is killed", n.name)
	_ = n.cmd.Process.Signal(syscall.SIGKILL)
	_ = n.cmd.Wait()
}

// impairedAt returns when the last impairment of the node ended.
func (n *node) impairedAt(r *run) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return n.impaired
}
