package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// node is one balancer process and its place in the router's rotation.
type node struct {
	name, zone, ip string
	settings       string
	mu             sync.Mutex
	cmd            *exec.Cmd
	done           chan struct{}
	misses         int
	inRotation     bool
	// frozen is set while the case has the process stand still, and harmedAt is when that last ended, in nanoseconds.
	frozen    atomic.Bool
	harmedAt  atomic.Int64
	throttled atomic.Int64
}

// fleet starts balancers and plays the platform's routers.
type fleet struct {
	w     *world
	bin   string
	dir   string
	nodes []*node
	mu    sync.Mutex
}

func (f *fleet) add(name, zone, ip string) *node {
	n := &node{name: name, zone: zone, ip: ip, settings: filepath.Join(f.dir, name+".json")}
	f.nodes = append(f.nodes, n)
	return n
}

// writeSettings writes the settings that deploy/settings.json makes of the platform's fields.
func (f *fleet) writeSettings(zones []string) error {
	seeds := []string{}
	for i := 0; i < len(f.nodes) && len(seeds) < 3; i += max(len(f.nodes)/3, 1) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", f.nodes[i].ip, f.w.ports.control))
	}
	regions := map[string]string{}
	for _, z := range zones {
		regions[z] = "region-1"
	}
	for _, n := range f.nodes {
		data, err := json.Marshal(map[string]any{
			"vm": n.name, "centre": n.zone, "address": n.ip, "platform": f.w.store.address, "affinity": "tag", "seeds": seeds,
			"ports":   map[string]int{"peer": f.w.ports.peer},
			"listen":  map[string]string{"tunnel": fmt.Sprintf("%s:%d", n.ip, f.w.ports.tunnel), "web": fmt.Sprintf("%s:%d", n.ip, f.w.ports.ready)},
			"control": map[string]int{"rate": 27648, "burst": 262144}, "region": "region-1", "regions": regions, "admission": true,
			"times": map[string]any{"apply": 3000, "grace": 6},
		})
		if err != nil {
			return err
		}
		if err := os.WriteFile(n.settings, data, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// start starts a balancer with the command of the deploy file.
func (f *fleet) start(n *node) error {
	log, err := os.OpenFile(filepath.Join(f.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(f.bin, "serve", n.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.done = cmd, done
	n.mu.Unlock()
	go func() { _ = cmd.Wait(); _ = log.Close(); close(done) }()
	return nil
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil && n.cmd.Process != nil {
		_ = n.cmd.Process.Signal(s)
	}
}

// graceful stops a balancer as the platform does, and starts it again after a short delay.
func (f *fleet) graceful(n *node) {
	f.w.rec.event("SIGTERM to %s", n.name)
	n.signal(syscall.SIGTERM)
	n.mu.Lock()
	done := n.done
	n.mu.Unlock()
	select {
	case <-done:
	case <-time.After(6 * time.Second):
		n.signal(syscall.SIGKILL)
		<-done
	}
	f.w.rec.event("%s has ended", n.name)
	time.Sleep(300 * time.Millisecond)
	if err := f.start(n); err != nil {
		f.w.rec.event("%s can't start: %v", n.name, err)
	}
}

func (f *fleet) stopAll() {
	for _, n := range f.nodes {
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
	}
	for _, n := range f.nodes {
		if n.done != nil {
			<-n.done
		}
	}
}

// poll asks each balancer twice a second whether it is ready; after two misses it is out of the rotation.
func (f *fleet) poll() {
	client := &http.Client{Timeout: 450 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, n := range f.nodes {
		go func() {
			for range time.Tick(500 * time.Millisecond) {
				res, err := client.Get(fmt.Sprintf("http://%s:%d/ready", n.ip, f.w.ports.ready))
				ok := err == nil && res.StatusCode == http.StatusOK
				if err == nil {
					_ = res.Body.Close()
				}
				f.mu.Lock()
				was := n.inRotation
				if ok {
					n.misses, n.inRotation = 0, true
				} else if n.misses++; n.misses >= 2 {
					n.inRotation = false
				}
				is := n.inRotation
				f.mu.Unlock()
				if was != is {
					f.w.rec.event("rotation: %s %v", n.name, is)
				}
			}
		}()
	}
}

// route returns the balancer that gets a packet of a flow: a hash modulo the balancers of the zone that are in rotation.
func (f *fleet) route(zone string, src, dst endpoint) (netip.AddrPort, *node) {
	h := fnv.New64a()
	fmt.Fprint(h, src, dst)
	f.mu.Lock()
	defer f.mu.Unlock()
	var all, in []*node
	for _, n := range f.nodes {
		if n.zone != zone {
			continue
		}
		all = append(all, n)
		if n.inRotation {
			in = append(in, n)
		}
	}
	if 2*len(in) < len(all) {
		in = all
	}
	n := in[h.Sum64()%uint64(len(in))]
	return netip.AddrPortFrom(netip.MustParseAddr(n.ip), uint16(f.w.ports.tunnel)), n
}

func (f *fleet) allReady(d time.Duration) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		f.mu.Lock()
		n := 0
		for _, x := range f.nodes {
			if x.inRotation {
				n++
			}
		}
		f.mu.Unlock()
		if n == len(f.nodes) {
			return true
		}
	}
	return false
}

func freePort(ips []string) (int, error) {
	for range 200 {
		lis, err := net.Listen("tcp4", ips[0]+":0")
		if err != nil {
			return 0, err
		}
		port := lis.Addr().(*net.TCPAddr).Port
		_ = lis.Close()
		ok := true
		for _, ip := range ips {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				ok = false
				break
			}
			_ = l.Close()
			u, err := net.ListenPacket("udp4", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				ok = false
				break
			}
			_ = u.Close()
		}
		if ok {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free port")
}

// contactWindow is the bound contact_window_ms.
const contactWindow = 4 * time.Second

// inTouch reports whether the balancer at an address has been without unplanned impairment for contactWindow.
func (f *fleet) inTouch(ip string) bool {
	for _, n := range f.nodes {
		if n.ip == ip && (n.frozen.Load() || time.Now().UnixNano()-n.harmedAt.Load() < int64(contactWindow)) {
			return false
		}
	}
	return true
}

// freeze has a balancer stand still for some time.
func (f *fleet) freeze(n *node, d time.Duration) {
	f.w.rec.event("%s stands still", n.name)
	n.frozen.Store(true)
	n.signal(syscall.SIGSTOP)
	time.Sleep(d)
	n.harmedAt.Store(time.Now().UnixNano())
	n.frozen.Store(false)
	n.signal(syscall.SIGCONT)
	f.w.rec.event("%s goes on", n.name)
}
