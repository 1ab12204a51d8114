package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// balancer is a machine that runs the balancer.
type balancer struct {
	name, ip, zone string
	// platform is the address at which the store answers this machine.
	platform   netip.AddrPort
	settings   string
	cmd        *exec.Cmd
	done       chan struct{}
	misses     int
	inRotation bool
}

// fleet holds the balancers and the routers before them.
type fleet struct {
	root, dir string
	ports     ports
	// apply is the bound config_apply_ms.
	apply     time.Duration
	store     *store
	log       *recorder
	mu        sync.Mutex
	balancers []*balancer
	client    *http.Client
	// probed is when the routers last asked the balancers.
	probed time.Time
}

// ports are those of all balancers.
type ports struct{ tunnel, web, peer int }

func (f *fleet) add(n int, zone string) (*balancer, error) {
	ip := fmt.Sprintf("%s.0.%d", network, 10+n)
	b := &balancer{name: fmt.Sprintf("frontend-%s-%d", zone, n), ip: ip, zone: zone}
	var err error
	b.platform, err = f.store.listen(fmt.Sprintf("%s.1.%d:0", network, 10+n), b.name)
	f.balancers = append(f.balancers, b)
	return b, err
}

// writeSettings renders the fields that deploy/settings.json asks for.
func (f *fleet) writeSettings(b *balancer) error {
	seeds := []string{}
	for _, s := range f.balancers[:min(3, len(f.balancers))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", s.ip, f.ports.peer))
	}
	regions := map[string]string{}
	for _, s := range f.balancers {
		regions[s.zone] = "seq"
	}
	data, err := json.MarshalIndent(map[string]any{
		"vm": b.name, "centre": b.zone, "address": b.ip, "platform": b.platform.String(), "affinity": "tag", "seeds": seeds,
		"ports":   map[string]any{"peer": f.ports.peer},
		"listen":  map[string]any{"tunnel": fmt.Sprintf("%s:%d", b.ip, f.ports.tunnel), "web": fmt.Sprintf("%s:%d", b.ip, f.ports.web)},
		"control": map[string]any{"rate": 27648, "burst": 262144},
		"region":  "seq", "regions": regions, "admission": true,
		"times": map[string]any{"apply": f.apply.Milliseconds(), "grace": 6},
	}, "", "  ")
	if err != nil {
		return err
	}
	b.settings = filepath.Join(f.dir, b.name+".toml")
	return os.WriteFile(b.settings, data, 0o600)
}

// start starts a balancer with the command of the deploy file.
func (f *fleet) start(b *balancer) error {
	if err := f.writeSettings(b); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(f.dir, b.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	b.cmd = exec.Command(filepath.Join(f.root, "target", "rattanwood"), "serve", b.settings)
	b.cmd.Dir, b.cmd.Stdout, b.cmd.Stderr = f.root, out, out
	b.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := b.cmd.Start(); err != nil {
		return err
	}
	b.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) { _ = cmd.Wait(); close(done) }(b.cmd, b.done)
	f.log.note("platform: %s (%s) starts", b.name, b.ip)
	return nil
}

// signal sends a signal to a balancer's process.
func (f *fleet) signal(b *balancer, s syscall.Signal) {
	f.log.note("platform: %s (%s) gets %v", b.name, b.ip, s)
	_ = b.cmd.Process.Signal(s)
}

// stopAll ends all processes.
func (f *fleet) stopAll() {
	for _, b := range f.balancers {
		if b.cmd != nil {
			_ = b.cmd.Process.Kill()
			<-b.done
		}
	}
}

// probeInterval is the time between two questions of the routers.
const probeInterval = 500 * time.Millisecond

// sleepUntilProbe sleeps until some time before the routers ask next.
func (f *fleet) sleepUntilProbe(before time.Duration) {
	f.mu.Lock()
	next := f.probed.Add(probeInterval)
	f.mu.Unlock()
	pause := time.Until(next) - before
	if pause < probeInterval/10 {
		pause += probeInterval
	}
	time.Sleep(pause)
}

// probeLoop asks each balancer twice a second whether it is ready, as the platform's routers do.
func (f *fleet) probeLoop(stop <-chan struct{}) {
	f.client = &http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		f.mu.Lock()
		f.probed = time.Now()
		f.mu.Unlock()
		for _, b := range f.balancers {
			go f.probe(b)
		}
		select {
		case <-stop:
			return
		case <-time.After(probeInterval):
		}
	}
}

func (f *fleet) probe(b *balancer) {
	// The deploy folder's wire.toml names this path for GET /readiness.
	res, err := f.client.Get(fmt.Sprintf("http://%s:%d/ready", b.ip, f.ports.web))
	ok := err == nil && res.StatusCode == http.StatusOK
	if err == nil {
		_ = res.Body.Close()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	was := b.inRotation
	if ok {
		b.misses, b.inRotation = 0, true
	} else if b.misses++; b.misses >= 2 {
		b.inRotation = false
	}
	if was != b.inRotation {
		f.log.note("routers: %s in rotation: %v", b.name, b.inRotation)
	}
}

// ready returns the number of balancers in rotation.
func (f *fleet) ready() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, b := range f.balancers {
		if b.inRotation {
			n++
		}
	}
	return n
}

// route returns the balancer to which the routers forward a packet: by a hash of the four addresses and ports over
// those in rotation, or over all if fewer than half are.
func (f *fleet) route(src, dst netip.AddrPort) *balancer {
	f.mu.Lock()
	defer f.mu.Unlock()
	var in []*balancer
	for _, b := range f.balancers {
		if b.inRotation {
			in = append(in, b)
		}
	}
	if 2*len(in) < len(f.balancers) {
		in = f.balancers
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(src.String() + dst.String()))
	return in[h.Sum64()%uint64(len(in))]
}
