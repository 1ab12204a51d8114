package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"time"
)

// rollCopies stops and starts all nodes in turn. At times, also without trouble, packets from and to requesters are lost,
// so that some SYNs are sent again and reach a node that has just started.
func rollCopies(r *run) error {
	const (
		nodes, backends, clients = 4, 12, 50
		flowsPerSecond           = 1200
		loss                     = 0.025
		lossTime, lossPeriod     = 5500 * time.Millisecond, 17 * time.Second
		contactWindow            = 4 * time.Second
		gap                      = 1300 * time.Millisecond
		duration                 = 102 * time.Second
	)
	// Two of the three seeds are addresses that no node has any more.
	seeds := []string{r.ip(40, 1) + ":8166", r.ip(41, 1) + ":8166", r.ip(41, 2) + ":8166"}
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
	cfg := nodeConfig{
		zone: "zone-a", region: "region", platform: r.store.address, seeds: seeds,
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
	r.onReset = func(key flowKey, from string, bySystem bool, at *openFlow) {
		if at == nil || !bySystem && at.backend.address == from+":8080" {
			return
		}
		who := "backend " + from
		if bySystem {
			who = "node " + from
		}
		text := fmt.Sprintf("requester %s got a reset of %s, but its flow is open at %s (%s); its packets went to %s",
			key.client, who, at.backend.name(), at.backend.address, r.router.lastNode(key).name)
		if time.Since(r.lossEnded()) < contactWindow {
			r.log("not counted, datagrams were lost in the last %v: %s", contactWindow, text)
			return
		}
		r.breakRule("FLOW", "%s", text)
		r.log("  its history: %s", r.historyOf(key))
	}
	r.onTwice = func(key flowKey) {
		r.count("flows placed on two backends")
		r.log("placed on two backends: %s", r.historyOf(key))
	}
	r.log("traffic begins")
	start := time.Now()
	go func() {
		for i := 0; !r.over(); i++ {
			pauses := []time.Duration{8*time.Second + time.Duration(rand.IntN(1000))*time.Millisecond}
			go r.clients[i%clients].lasting(target, time.Second, pauses)
			time.Sleep(time.Until(start.Add(time.Duration(float64(i) * float64(time.Second) / flowsPerSecond))))
		}
	}()
	go func() {
		for i := 0; !r.over(); i++ {
			time.Sleep(time.Until(start.Add(8*time.Second + time.Duration(i)*lossPeriod)))
			r.log("the links of requesters lose packets")
			r.setLoss(loss)
			time.Sleep(lossTime)
			r.setLoss(0)
			r.log("the links of requesters lose none")
		}
	}()
	time.Sleep(time.Until(start.Add(6 * time.Second)))
	done := make([]chan struct{}, nodes)
	for i := 0; time.Since(start) < duration; i++ {
		if r.trouble {
			k := i % nodes
			if done[k] != nil {
				<-done[k]
			}
			done[k] = make(chan struct{})
			r.stopAndStart(r.nodes[k], done[k])
		}
		time.Sleep(gap)
	}
	for _, d := range done {
		if d != nil {
			<-d
		}
	}
	return nil
}

// stopAndStart stops a node with SIGTERM, and starts it again after a short delay. It closes done then.
func (r *run) stopAndStart(n *node, done chan struct{}) {
	r.log("node %s gets SIGTERM", n.name)
	_ = n.cmd.Process.Signal(syscall.SIGTERM)
	go func() {
		defer close(done)
		_ = n.cmd.Wait()
		r.log("node %s has ended", n.name)
		time.Sleep(500 * time.Millisecond)
		if err := r.startNode(n); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}()
}

// setLoss sets the share of the packets from and to requesters that are lost.
func (r *run) setLoss(loss float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loss, r.lossChanged = loss, time.Now()
}

func (r *run) loses() bool {
	r.mu.Lock()
	loss := r.loss
	r.mu.Unlock()
	return loss > 0 && rand.Float64() < loss
}

// lossEnded returns when packets were last lost.
func (r *run) lossEnded() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loss > 0 {
		return time.Now()
	}
	return r.lossChanged
}
