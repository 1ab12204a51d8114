package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// network is the loopback network 127.N of this run.
var network = "127.77"

// env is what all cases share.
type env struct {
	log     *recorder
	store   *store
	fleet   *fleet
	zones   []string
	trouble bool
	stop    chan struct{}
}

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	cantRun = 2
)

var cases = map[string]func(*env) int{}

func main() {
	name := flag.String("case", "", "case to run")
	root := flag.String("root", "", "root of the repository")
	out := flag.String("out", "", "folder for record.txt")
	keep := flag.Bool("keep", false, "keep the balancers' logs")
	flag.Parse()
	run := cases[*name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		os.Exit(cantRun)
	}
	os.Exit(play(run, *root, *out, *keep))
}

// maxTime ends a run that hangs.
const maxTime = 115 * time.Second

func play(run func(*env) int, root, out string, keep bool) int {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cantRun
	}
	if keep {
		fmt.Fprintln(os.Stderr, "logs in", dir)
	} else {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	log := newRecorder(filepath.Join(out, "record.txt"))
	defer log.close()
	e := &env{log: log, trouble: os.Getenv("TROUBLE") != "0", stop: make(chan struct{})}
	network = fmt.Sprintf("127.%d", 64+rand.IntN(180))
	p, ok := freePorts()
	if !ok {
		fmt.Fprintln(os.Stderr, "no free ports")
		return cantRun
	}
	e.store = newStore(log, 50)
	e.fleet = &fleet{root: root, dir: dir, ports: p, log: log, store: e.store, apply: configApply}
	defer e.fleet.stopAll()
	result := make(chan int, 1)
	go func() { result <- run(e) }()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	code := cantRun
	select {
	case code = <-result:
	case <-interrupted:
	case <-time.After(maxTime):
		fmt.Fprintln(os.Stderr, "the run took too long")
	}
	close(e.stop)
	return code
}

// freePorts returns ports that are free on the first addresses.
func freePorts() (ports, bool) {
	for range 50 {
		base := 20000 + rand.IntN(10000)
		ok := true
		for i := range 3 {
			lis, err := net.Listen("tcp4", fmt.Sprintf("%s.0.11:%d", network, base+i))
			if err != nil {
				ok = false
				break
			}
			_ = lis.Close()
		}
		if ok {
			return ports{tunnel: base, web: base + 1, peer: base + 2}, true
		}
	}
	return ports{}, false
}

// backendAddress returns the address of the i-th backend.
func backendAddress(i int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("%s.2.%d:8080", network, 1+i))
}

// routeAddress returns the address of the i-th route.
func routeAddress(i int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("%s.%d.%d:443", network, 200+i/250, 1+i%250))
}

// config returns a configuration with routes to one service.
func config(version, routes int, service string) map[string]any {
	list := []map[string]any{}
	for i := range routes {
		a := routeAddress(i)
		list = append(list, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "hostname": a.Addr().String(), "prefix": fmt.Sprintf("/%d/", a.Port()), "kind": "safe",
			"timeout_ms": 500, "target_latency_ms": 100, "priority": 2, "service": service, "max_attempts": 2,
		})
	}
	return map[string]any{
		"version": version, "routes": list,
		"services": []map[string]any{{"name": service, "health_check_path": "/health", "max_connections": 4286, "protocol": "h1", "tls_enabled": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// unsafeConfig is config with routes whose requests must not be repeated.
func unsafeConfig(version, routes int, service string) map[string]any {
	c := config(version, routes, service)
	for _, r := range c["routes"].([]map[string]any) {
		r["kind"] = "unsafe"
	}
	return c
}

// startFleet starts n balancers in zones and waits until all are in rotation.
func (e *env) startFleet(n int, zones []string) bool {
	e.zones = zones
	for i := range n {
		if _, err := e.fleet.add(i+1, zones[i%len(zones)]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return false
		}
	}
	for _, b := range e.fleet.balancers {
		if err := e.fleet.start(b); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return false
		}
	}
	go e.fleet.probeLoop(e.stop)
	for range 200 {
		if e.fleet.ready() == n {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	fmt.Fprintln(os.Stderr, "the balancers don't become ready")
	return false
}

// addBackend starts a backend.
func (e *env) addBackend(i int, id uint64, service string, work time.Duration) (*backend, error) {
	b := &backend{id: id, service: service, zone: e.zones[i%len(e.zones)], address: backendAddress(i), work: work, port: uint16(e.fleet.ports.tunnel), log: e.log}
	return b, b.start()
}
