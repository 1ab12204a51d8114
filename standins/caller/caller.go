// Package caller stands in for Callers: it opens flows, sends requests, and
// reports what it was told.
package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"example.org/rattanwood/standins/platform"
)

// sourcePorts is the number of source ports on one source address.
const sourcePorts = 60_000

// listPeriod is how often a Caller looks up the balancers.
const listPeriod = 500 * time.Millisecond

// Config builds a Caller.
type Config struct {
	Listen   string        `help:"IP number and port for answers." required:""`
	Fabric   string        `help:"Address of the fabric." required:""`
	Platform string        `help:"Address of the platform." required:""`
	Web      int           `help:"Web port of the balancers." required:""`
	Targets  []string      `help:"Services and their addresses, as name=address." required:""`
	Flows    int           `help:"Flows to open." default:"1000"`
	Rate     int           `help:"Requests a second." default:"60"`
	Time     time.Duration `help:"Time to run." default:"20s"`
	Seed     uint64        `help:"Seed." default:"1"`
	Out      string        `help:"File for the report." required:""`
}

// Report is what a Caller saw.
type Report struct {
	Flows        int             `json:"flows"`
	StalledFlows []string        `json:"stalled"`
	Requests     []RequestResult `json:"requests"`
}

type caller struct {
	cfg    *Config
	mu     sync.Mutex
	webs   []string
	report Report
}

type target struct {
	service string
	address netip.AddrPort
}

// Run opens flows and sends requests, then writes the report.
func (c *Config) Run(ctx context.Context) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(c.Listen)))
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadBuffer(4 << 20)
	targets, err := c.targets()
	if err != nil {
		return err
	}
	a := &waiter{waiting: map[string]chan string{}}
	go a.receive(conn)
	k := &caller{cfg: c}
	ctx, cancel := context.WithTimeout(ctx, c.Time)
	defer cancel()
	go k.follow(ctx)
	time.Sleep(100 * time.Millisecond)
	var wg sync.WaitGroup
	wg.Go(func() { k.flows(ctx, conn, targets, a) })
	wg.Go(func() { k.requests(ctx, targets) })
	wg.Wait()
	data, err := json.Marshal(&k.report)
	if err != nil {
		return err
	}
	return os.WriteFile(c.Out, data, 0o600)
}

// InvalidTargetError reports a target that isn't name=address.
type InvalidTargetError struct{ Value string }

// Error names the value.
func (e *InvalidTargetError) Error() string { return "target is not name=address: " + e.Value }

func (c *Config) targets() ([]target, error) {
	var out []target
	for _, v := range c.Targets {
		var t target
		for i := range v {
			if v[i] == '=' {
				t.service = v[:i]
				t.address, _ = netip.ParseAddrPort(v[i+1:])
			}
		}
		if !t.address.IsValid() {
			return nil, &InvalidTargetError{Value: v}
		}
		out = append(out, t)
	}
	return out, nil
}

// flows opens all flows over the first three quarters of the time: half of them
// long, on the first service, and half short.
func (k *caller) flows(ctx context.Context, conn *net.UDPConn, targets []target, a *waiter) {
	gap := k.cfg.Time * 3 / 4 / time.Duration(k.cfg.Flows)
	fabric := netip.MustParseAddrPort(k.cfg.Fabric)
	var wg sync.WaitGroup
	begun := time.Now()
	for i := range k.cfg.Flows {
		pause(ctx, time.Until(begun.Add(time.Duration(i)*gap)))
		f := k.flow(i, targets)
		r := rand.New(rand.NewPCG(k.cfg.Seed, uint64(i)))
		wg.Go(func() {
			if !f.run(ctx, conn, fabric, a, r) {
				k.mu.Lock()
				k.report.StalledFlows = append(k.report.StalledFlows, f.name)
				k.mu.Unlock()
			}
		})
	}
	wg.Wait()
	k.report.Flows = k.cfg.Flows
}

func (k *caller) flow(i int, targets []target) *flow {
	t := targets[i%len(targets)]
	ip := netip.AddrFrom4([4]byte{10, 9, byte(k.cfg.Seed), byte(i / sourcePorts)})
	f := &flow{
		name:    fmt.Sprintf("f%d", i),
		service: t.service,
		source:  netip.AddrPortFrom(ip, uint16(1024+i%sourcePorts)),
		target:  t.address,
		answers: k.cfg.Listen,
		packets: 6,
		pause:   100 * time.Millisecond,
	}
	if i%len(targets) == 0 {
		f.pause = time.Second
		f.packets = int(k.cfg.Time / f.pause)
	}
	return f
}

// requests sends requests at a steady rate; half may run once only, and a tenth race.
func (k *caller) requests(ctx context.Context, targets []target) {
	if k.cfg.Rate <= 0 {
		return
	}
	c := &client{http: &http.Client{}, webs: k.list}
	random := rand.New(rand.NewPCG(k.cfg.Seed, 2))
	gap := time.Second / time.Duration(k.cfg.Rate)
	asking, cancel := context.WithTimeout(context.WithoutCancel(ctx), k.cfg.Time+patience)
	defer cancel()
	var wg sync.WaitGroup
	for i := 0; ctx.Err() == nil; i++ {
		service := targets[random.IntN(len(targets))].service
		idempotent, racing := random.IntN(2) == 0, random.IntN(10) == 0
		r := rand.New(rand.NewPCG(k.cfg.Seed, uint64(i)<<32))
		wg.Go(func() {
			got := c.ask(asking, service, fmt.Sprintf("r%d", i), idempotent, racing, r)
			k.mu.Lock()
			k.report.Requests = append(k.report.Requests, got)
			k.mu.Unlock()
		})
		pause(ctx, gap)
	}
	wg.Wait()
}

func (k *caller) list() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.webs
}

// follow keeps the list of balancers that Callers know.
func (k *caller) follow(ctx context.Context) {
	for ctx.Err() == nil {
		if vms, ok := platform.ListActiveVMs(k.cfg.Platform); ok {
			k.set(vms)
		}
		pause(ctx, listPeriod)
	}
}

func (k *caller) set(vms []netip.Addr) {
	var webs []string
	for _, vm := range vms {
		webs = append(webs, netip.AddrPortFrom(vm, uint16(k.cfg.Web)).String())
	}
	k.mu.Lock()
	k.webs = webs
	k.mu.Unlock()
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
