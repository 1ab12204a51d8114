package main

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// run is one play of a scenario: the stand-ins and the balancers' processes.
type run struct {
	trouble    bool
	network    int
	dir        string
	began      time.Time
	tunnelPort uint16
	store      *store
	router     *router
	nodes      []*node
	backends   []*backend
	clients    []*client

	// starter takes what is to be called on the thread that starts processes.
	starter chan func()

	mu sync.Mutex
	// loss is the share of the packets from and to requesters that are lost, since lossChanged.
	loss        float64
	lossChanged time.Time
	record      *os.File
	ended       bool
	broken      int
	counts      map[string]int
	sent        map[flowKey]time.Time
	openAt      map[flowKey]*openFlow
	runs        map[string]int
	// history holds the steps of opening a flow.
	history map[flowKey][]string
	// onReset is called for each reset that a requester gets. The flow's backend is nil if it isn't open.
	onReset func(key flowKey, from string, bySystem bool, at *openFlow)
	onOpen  func(b *backend, o opening)
	// onTwice is called when a second backend takes a flow's SYN.
	onTwice func(key flowKey)
	takers  map[flowKey]*backend
}

// openFlow is where a flow is open.
type openFlow struct {
	backend *backend
	life    int
	at      time.Time
}

// node is a balancer on a machine of its own.
type node struct {
	name, zone, ip string
	tunnel, ready  string
	settings       string
	log            *os.File
	cmd            *exec.Cmd
	// process is that of cmd, once it has started.
	process *os.Process
	misses  int
	// impaired is when the last impairment of the node ended.
	impaired time.Time
}

const (
	peerPort  = 7720
	readyPort = 8167
)

// newRun prepares a run, which writes to the file record.
func newRun(record string) (*run, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	r := &run{
		trouble: os.Getenv("TROUBLE") != "0", dir: dir, began: time.Now(), tunnelPort: 8172, record: f,
		counts: map[string]int{}, sent: map[flowKey]time.Time{}, openAt: map[flowKey]*openFlow{}, runs: map[string]int{}, history: map[flowKey][]string{}, takers: map[flowKey]*backend{}, starter: make(chan func()),
	}
	go func() {
		runtime.LockOSThread()
		for f := range r.starter {
			f()
		}
	}()
	if r.network, err = freeNetwork(); err != nil {
		return nil, err
	}
	if r.store, err = newStore(r.ip(1, 1) + ":8169"); err != nil {
		return nil, err
	}
	r.router, err = newRouter(r)
	r.log("trouble: %t, network 127.%d.0.0/16", r.trouble, r.network)
	return r, err
}

// freeNetwork returns a loopback network that no other run uses.
func freeNetwork() (int, error) {
	for i := range 100 {
		n := 140 + (os.Getpid()+i)%100
		l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.1.1:8169", n))
		if err == nil {
			return n, l.Close()
		}
	}
	return 0, fmt.Errorf("no loopback network is free")
}

// ip returns a loopback address of the run. The third byte is 1 for the store, 2 for links to it, 40 for nodes, 44 for
// backends, 50 for requesters, 60 for the router and 90 for routes.
func (r *run) ip(net, host int) string { return fmt.Sprintf("127.%d.%d.%d", r.network, net, host) }

func (r *run) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.logLocked(format, args...)
}

func (r *run) logLocked(format string, args ...any) {
	_, _ = fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// breakRule records that a rule was broken.
func (r *run) breakRule(rule, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken++
	r.logLocked("BROKEN %s: %s", rule, fmt.Sprintf(format, args...))
}

func (r *run) count(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[what]++
}

func (r *run) over() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended
}

// sending records that a requester sends a SYN.
func (r *run) sending(key flowKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[key] = time.Now()
}

func (r *run) sentAt(key flowKey) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sent[key]
}

func (r *run) tookOpening(b *backend, o opening) {
	r.mu.Lock()
	_, asked := r.sent[o.flow]
	onOpen, onTwice := r.onOpen, r.onTwice
	twice := r.takers[o.flow] != nil && r.takers[o.flow] != b
	r.takers[o.flow] = b
	r.mu.Unlock()
	r.note(o.flow, "SYN taken by backend %s by way of %s", b.name(), o.via)
	if !asked {
		r.breakRule("UNASKED", "backend %s got a flow that no requester opened: %v", b.name(), o.flow)
	}
	if twice && onTwice != nil {
		onTwice(o.flow)
	}
	if onOpen != nil {
		onOpen(b, o)
	}
}

// openedAt records that a flow is open at a backend, whose lock is held.
func (r *run) openedAt(b *backend, key flowKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.openAt[key] = &openFlow{backend: b, life: b.life, at: time.Now()}
	r.noteLocked(key, "open at backend %s", b.name())
}

// closed records that a flow has ended.
func (r *run) closed(key flowKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.openAt, key)
}

// ran records that a backend began to work on a request, and checks that this happens once.
func (r *run) ran(b *backend, key flowKey, id string) {
	r.mu.Lock()
	r.runs[id]++
	again := r.runs[id] > 1
	r.mu.Unlock()
	if again {
		r.breakRule("UNASKED", "request %s ran twice, the second time at %s", id, b.name())
	}
}

// sentReset records that a backend resets a flow that it doesn't hold.
func (r *run) sentReset(b *backend, key flowKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f := r.openAt[key]; f != nil && f.backend != b {
		r.logLocked("backend %s resets %s, which is open at %s", b.name(), key.client, f.backend.name())
	}
}

// gotReset records that a requester got a reset.
func (r *run) gotReset(key flowKey, from string, bySystem bool) {
	r.mu.Lock()
	onReset, at := r.onReset, r.openAt[key]
	if bySystem {
		r.counts["resets of the system"]++
	} else {
		r.counts["resets of backends"]++
	}
	r.mu.Unlock()
	if onReset != nil {
		onReset(key, from, bySystem, at)
	}
}

// addNode writes the settings of a node as deploy/settings.json has them, and starts it.
func (r *run) addNode(i int, cfg nodeConfig) error {
	n := &node{name: fmt.Sprintf("frontend-%s-%d", cfg.zone, i), zone: cfg.zone, ip: r.ip(40, i), misses: 2}
	n.tunnel, n.ready = fmt.Sprintf("%s:%d", n.ip, r.tunnelPort), fmt.Sprintf("%s:%d", n.ip, readyPort)
	n.settings = filepath.Join(r.dir, n.name+".toml")
	var err error
	if n.log, err = os.Create(filepath.Join(r.dir, n.name+".log")); err != nil {
		return err
	}
	r.nodes = append(r.nodes, n)
	r.router.mu.Lock()
	r.router.nodes = append(r.router.nodes, n)
	r.router.mu.Unlock()
	if err := r.writeSettings(n, cfg); err != nil {
		return err
	}
	return r.startNode(n)
}

// nodeConfig holds the fields of a node's settings that differ between scenarios.
type nodeConfig struct {
	zone, region string
	platform     string
	seeds        []string
	zones        map[string]string
	// warmup is the warm-up setting, or empty.
	warmup  string
	applyMs int
	graceS  int
}

func (r *run) writeSettings(n *node, cfg nodeConfig) error {
	seeds := mustJSON(cfg.seeds)
	text := fmt.Sprintf(`{"vm": %q, "centre": %q, "address": %q, "platform": %q, "affinity": "tag", "seeds": %s,
  "ports": {"peer": %d}, "listen": {"tunnel": %q, "web": %q}, "control": {"rate": 27648, "burst": 262144},
  "region": %q, "regions": %s, %s "admission": true, "times": {"apply": %d, "grace": %d}}`,
		n.name, cfg.zone, n.ip, cfg.platform, seeds, peerPort, n.tunnel, n.ready, cfg.region, mustJSON(cfg.zones), cfg.warmup, cfg.applyMs, cfg.graceS)
	return os.WriteFile(n.settings, []byte(text), 0o600)
}

func (r *run) startNode(n *node) error {
	n.cmd = exec.Command(os.Getenv("RATTANWOOD"), "serve", n.settings)
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.dir, "RATTANWOOD_BOOT=" + n.settings}
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.onStarter(n.cmd.Start); err != nil {
		return err
	}
	r.log("node %s starts, process %d", n.name, n.cmd.Process.Pid)
	r.mu.Lock()
	n.process, n.impaired = n.cmd.Process, time.Now()
	r.mu.Unlock()
	return nil
}

// awaitReady waits until all nodes are in rotation.
func (r *run) awaitReady(limit time.Duration) error {
	go r.router.probe()
	for end := time.Now().Add(limit); r.router.readyCount() < len(r.nodes); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("only %d of %d nodes are ready", r.router.readyCount(), len(r.nodes))
		}
	}
	return nil
}

// finish stops everything and returns the exit status.
func (r *run) finish() int {
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
	for _, n := range r.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Signal(syscall.SIGKILL)
			_ = n.cmd.Wait()
		}
	}
	for _, b := range r.backends {
		b.crash()
	}
	for _, c := range r.clients {
		_ = c.conn.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for what, n := range r.counts {
		r.logLocked("count: %s: %d", what, n)
	}
	r.logLocked("rules broken: %d", r.broken)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Println("logs in", r.dir)
	}
	if r.broken > 0 {
		return 1
	}
	return 0
}

// addBackend starts a backend that is warm.
func (r *run) addBackend(i int, b *backend) error {
	b.run, b.id, b.address = r, 0x0a00000000+uint64(0x51d00000+i*7919), r.ip(44, i)+":8080"
	r.backends = append(r.backends, b)
	return b.start(0)
}

// addClients adds requesters.
func (r *run) addClients(n int) error {
	for i := range n {
		c, err := newClient(r, r.ip(50, i+1))
		if err != nil {
			return err
		}
		r.clients = append(r.clients, c)
	}
	return nil
}

func (r *run) target(i, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr(r.ip(90, i)), uint16(port))
}

// note adds a step to the history of a flow.
func (r *run) note(key flowKey, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteLocked(key, format, args...)
}

func (r *run) noteLocked(key flowKey, format string, args ...any) {
	r.history[key] = append(r.history[key], fmt.Sprintf("%.3f %s", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...)))
}

// historyOf returns the steps of a flow in a line.
func (r *run) historyOf(key flowKey) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Join(r.history[key], "; ")
}

// onStarter calls a function on the thread that starts processes. They are killed when that thread ends.
func (r *run) onStarter(f func() error) error {
	result := make(chan error)
	r.starter <- func() { result <- f() }
	return <-result
}
