package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// narrowStart kills more than half of the nodes at once, again and again, while the store answers as usual. The machines
// have the processor and the link of the smallest ones on the sheet, so that a start takes over 200 ms while the
// configuration is large. First packets wait at processes that start, and their copies go to other nodes.
func narrowStart(r *run) error {
	const (
		nodes, backends, others, clients = 21, 120, 30, 60
		flowsPerSecond                   = 1200
		contactWindow                    = 5 * time.Second
		cpuShare                         = 0.043
		linkBytesPerSecond               = 10_000_000 / 8
		killed                           = 11 // a share of 0.52
		idleRoutes                       = 40
	)
	// The configuration grows and shrinks between the kills, so that it doesn't depend on the speed of this machine whether
	// a start takes long enough; big_config may add 1,400 routes.
	extraRoutes := []int{380, 320, 260, 350, 290, 380, 320, 260, 350, 290, 380, 320, 400, 260}
	pause := 5500 * time.Millisecond
	target := r.target(1, 8443)
	version := 0
	config := func(extra int) string {
		version += 3
		route := func(name, host string, port int) any {
			return map[string]any{
				"name": name, "hostname": host, "prefix": fmt.Sprintf("/%d/", port), "kind": "unsafe", "timeout_ms": 1200,
				"target_latency_ms": 250, "priority": 1, "service": "pitch", "max_attempts": 2,
			}
		}
		routes := []any{route("r-badge", target.Addr().String(), int(target.Port()))}
		for i := range idleRoutes + extra {
			routes = append(routes, route(fmt.Sprintf("r-idle-%04d", i), r.ip(91, i/200+1), 9000+i%200))
		}
		return mustJSON(map[string]any{
			"version": version, "routes": routes,
			"services": []any{
				map[string]any{"name": "pitch", "health_check_path": "/health", "max_connections": 3206},
				map[string]any{"name": "map", "health_check_path": "/health", "max_connections": 3206},
			},
			"limits": map[string]any{"idle_timeout_ms": 12000},
		})
	}
	r.router.spread = true
	r.store.put("op/config", config(0))
	for i := range backends + others {
		service := "pitch"
		if i >= backends {
			service = "map"
		}
		if err := r.addBackend(i+1, &backend{service: service, zone: "zone-a", slots: 2, workTime: 5 * time.Millisecond}); err != nil {
			return err
		}
	}
	for i := range nodes {
		link, err := r.addLink(r.ip(2, i+1)+":8169", linkBytesPerSecond)
		if err != nil {
			return err
		}
		cfg := nodeConfig{
			zone: "zone-a", region: "region", platform: link, seeds: []string{r.ip(40, 1) + ":8166", r.ip(40, 2) + ":8166", r.ip(40, 3) + ":8166"},
			zones: map[string]string{"zone-a": "region"}, applyMs: 5000, graceS: 6,
		}
		if err := r.addNode(i+1, cfg); err != nil {
			return err
		}
		go r.limitProcessor(r.nodes[i], cpuShare)
	}
	if err := r.addClients(clients); err != nil {
		return err
	}
	if err := r.awaitReady(15 * time.Second); err != nil {
		return err
	}
	r.onTwice = func(key flowKey) { r.count("flows placed on two backends") }
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
		if time.Since(r.lastImpaired()) < contactWindow {
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
			go r.clients[i%clients].lasting(target, 1200*time.Millisecond, []time.Duration{pause})
			time.Sleep(time.Until(start.Add(time.Duration(float64(i) * float64(time.Second) / flowsPerSecond))))
		}
	}()
	for i, extra := range extraRoutes {
		time.Sleep(time.Until(start.Add(time.Duration(4000+7000*i) * time.Millisecond)))
		r.store.put("op/config", config(extra))
		r.log("the configuration has %d routes", 1+idleRoutes+extra)
		time.Sleep(3*time.Second + time.Duration(rand.IntN(500))*time.Millisecond)
		if !r.trouble {
			continue
		}
		chosen := rand.Perm(nodes)[:killed]
		for _, k := range chosen {
			r.log("node %s is killed", r.nodes[k].name)
			_ = r.nodes[k].cmd.Process.Signal(syscall.SIGKILL)
		}
		for _, k := range chosen {
			_ = r.nodes[k].cmd.Wait()
		}
		time.Sleep(500 * time.Millisecond)
		for _, k := range chosen {
			if err := r.startNode(r.nodes[k]); err != nil {
				return err
			}
			// limitProcessor continues it with its next turn.
			_ = r.nodes[k].cmd.Process.Signal(syscall.SIGSTOP)
		}
	}
	time.Sleep(8 * time.Second)
	return nil
}

// lastImpaired returns when the last impairment of any node ended.
func (r *run) lastImpaired() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	var last time.Time
	for _, n := range r.nodes {
		if n.impaired.After(last) {
			last = n.impaired
		}
	}
	return last
}

// processorPeriod is how often a node whose processor is limited gets its turn.
const processorPeriod = 20 * time.Millisecond

// limitProcessor gives a node's process a share of a processor, by stopping it for the rest of each period.
func (r *run) limitProcessor(n *node, share float64) {
	runtime.LockOSThread()
	turn := time.Duration(share * float64(processorPeriod))
	for !r.over() {
		r.mu.Lock()
		process := n.process
		r.mu.Unlock()
		_ = process.Signal(syscall.SIGCONT)
		nap(turn)
		_ = process.Signal(syscall.SIGSTOP)
		nap(processorPeriod - turn)
	}
}

// nap sleeps more exactly than time.Sleep does.
func nap(d time.Duration) {
	t := syscall.NsecToTimespec(int64(d))
	_ = syscall.Nanosleep(&t, nil)
}

// addLink returns an address at which the store is reached by a link that carries so many bytes a second from it.
func (r *run) addLink(address string, bytesPerSecond int) (string, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return "", err
	}
	k := &link{bytesPerSecond: bytesPerSecond}
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			go k.carry(near, r.store.address)
		}
	}()
	return address, nil
}

// link carries bytes from the store at a limited rate.
type link struct {
	bytesPerSecond int
	mu             sync.Mutex
	// free is when the link has carried all that it was given.
	free time.Time
}

// carry connects a node's connection to the store until either end closes it.
func (k *link) carry(near net.Conn, address string) {
	defer func() { _ = near.Close() }()
	far, err := net.Dial("tcp4", address)
	if err != nil {
		return
	}
	go func() {
		_, _ = io.Copy(far, near)
		_ = far.Close()
	}()
	buf := make([]byte, 1500)
	for {
		n, err := far.Read(buf)
		if err != nil {
			return
		}
		k.mu.Lock()
		now := time.Now()
		if k.free.Before(now) {
			k.free = now
		}
		k.free = k.free.Add(time.Duration(n) * time.Second / time.Duration(k.bytesPerSecond))
		due := k.free
		k.mu.Unlock()
		nap(time.Until(due))
		if _, err := near.Write(buf[:n]); err != nil {
			return
		}
	}
}
