// Package caller simulates Callers: it opens TCP flows through the fabric, sends HTTP requests to
// the balancers, and reports the outcomes as Callers see them. The demo checks these against the
// counts of the upstreams.
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

// portsPerSourceIP is the number of flows that share a source IP address, each with a port of its own.
const portsPerSourceIP = 60_000

// vmListInterval is how often Callers fetch the list of balancers from the platform.
const vmListInterval = 500 * time.Millisecond

// Config holds the command-line arguments of the simulated Callers.
type Config struct {
	Listen   string        `help:"IP address and port for answers." required:""`
	Fabric   string        `help:"Address of the fabric." required:""`
	Platform string        `help:"Address of the platform." required:""`
	Web      int           `help:"Web port of the balancers." required:""`
	Targets  []string      `help:"Services and their addresses, as name=address; flows to the first one last until the end." required:""`
	Flows    int           `help:"Number of flows to open." default:"1000"`
	Rate     int           `help:"Number of requests a second." default:"60"`
	Time     time.Duration `help:"How long to open flows and send requests." default:"20s"`
	Seed     uint64        `help:"Seed of all random choices." default:"1"`
	Out      string        `help:"File that the report is written to." required:""`
}

// Report holds the outcomes of all flows and requests.
type Report struct {
	Flows int `json:"flows"`
	// StalledFlows holds the names of the flows that were given up because a packet got no answer.
	StalledFlows []string        `json:"stalled"`
	Requests     []RequestResult `json:"requests"`
}

// caller is the state of one run. mu guards the fields below it.
type caller struct {
	cfg               *Config
	mu                sync.Mutex
	balancerAddresses []string
	report            Report
}

// target is a service and the address that Callers reach it at.
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
	targets, err := c.parseTargets()
	if err != nil {
		return err
	}
	answers := &answerRouter{waiting: map[string]chan string{}}
	go answers.receive(conn)
	state := &caller{cfg: c}
	ctx, cancel := context.WithTimeout(ctx, c.Time)
	defer cancel()
	go state.refreshBalancers(ctx)
	time.Sleep(100 * time.Millisecond)
	var wg sync.WaitGroup
	wg.Go(func() { state.openFlows(ctx, conn, targets, answers) })
	wg.Go(func() { state.sendRequests(ctx, targets) })
	wg.Wait()
	data, err := json.Marshal(&state.report)
	if err != nil {
		return err
	}
	return os.WriteFile(c.Out, data, 0o600)
}

// InvalidTargetError reports a target that isn't name=address.
type InvalidTargetError struct{ Value string }

// Error quotes the argument.
func (e *InvalidTargetError) Error() string { return "target is not name=address: " + e.Value }

func (c *Config) parseTargets() ([]target, error) {
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

// openFlows opens the flows at a steady rate over the first three quarters of the time, to the
// targets in turn, and waits until all have ended.
func (c *caller) openFlows(ctx context.Context, conn *net.UDPConn, targets []target, answers *answerRouter) {
	interval := c.cfg.Time * 3 / 4 / time.Duration(c.cfg.Flows)
	fabric := netip.MustParseAddrPort(c.cfg.Fabric)
	var wg sync.WaitGroup
	start := time.Now()
	for i := range c.cfg.Flows {
		sleep(ctx, time.Until(start.Add(time.Duration(i)*interval)))
		f := c.newFlow(i, targets)
		r := rand.New(rand.NewPCG(c.cfg.Seed, uint64(i)))
		wg.Go(func() {
			if !f.sendPackets(ctx, conn, fabric, answers, r) {
				c.mu.Lock()
				c.report.StalledFlows = append(c.report.StalledFlows, f.name)
				c.mu.Unlock()
			}
		})
	}
	wg.Wait()
	c.report.Flows = c.cfg.Flows
}

// newFlow builds flow i. Flows to the first target send a packet a second on average and last until
// the end of the run; the others send 8 packets, one every 100 ms on average.
func (c *caller) newFlow(i int, targets []target) *flow {
	t := targets[i%len(targets)]
	ip := netip.AddrFrom4([4]byte{10, 9, byte(c.cfg.Seed), byte(i / portsPerSourceIP)})
	f := &flow{
		name:         fmt.Sprintf("f%d", i),
		service:      t.service,
		source:       netip.AddrPortFrom(ip, uint16(1024+i%portsPerSourceIP)),
		target:       t.address,
		replyAddress: c.cfg.Listen,
		packets:      6,
		meanInterval: 100 * time.Millisecond,
	}
	if i%len(targets) == 0 {
		f.meanInterval = time.Second
		f.packets = int(c.cfg.Time / f.meanInterval)
	}
	return f
}

// sendRequests sends requests at a steady rate and waits for their outcomes. Half of them are not
// idempotent, and a tenth are sent to two balancers at the same time.
func (c *caller) sendRequests(ctx context.Context, targets []target) {
	if c.cfg.Rate <= 0 {
		return
	}
	requester := &client{http: &http.Client{}, balancers: c.balancers}
	random := rand.New(rand.NewPCG(c.cfg.Seed, 2))
	interval := time.Second / time.Duration(c.cfg.Rate)
	requestCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.cfg.Time+giveUpTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for i := 0; ctx.Err() == nil; i++ {
		service := targets[random.IntN(len(targets))].service
		idempotent, racing := random.IntN(2) == 0, random.IntN(10) == 0
		r := rand.New(rand.NewPCG(c.cfg.Seed, uint64(i)<<32))
		wg.Go(func() {
			result := requester.sendUntilDone(requestCtx, service, fmt.Sprintf("r%d", i), idempotent, racing, r)
			c.mu.Lock()
			c.report.Requests = append(c.report.Requests, result)
			c.mu.Unlock()
		})
		sleep(ctx, interval)
	}
	wg.Wait()
}

// balancers returns the addresses of the balancers, which must not be changed.
func (c *caller) balancers() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.balancerAddresses
}

// refreshBalancers fetches the list of balancers every vmListInterval until ctx is cancelled, and
// keeps the last one while the platform is down.
func (c *caller) refreshBalancers(ctx context.Context) {
	for ctx.Err() == nil {
		if vms, ok := platform.ListActiveVMs(c.cfg.Platform); ok {
			c.setBalancers(vms)
		}
		sleep(ctx, vmListInterval)
	}
}

func (c *caller) setBalancers(vms []netip.Addr) {
	var addresses []string
	for _, vm := range vms {
		addresses = append(addresses, netip.AddrPortFrom(vm, uint16(c.cfg.Web)).String())
	}
	c.mu.Lock()
	c.balancerAddresses = addresses
	c.mu.Unlock()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
