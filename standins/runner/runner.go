// Package runner starts the whole path as processes, brings about faults, and
// reports what the stand-ins counted.
package runner

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/checker"
	"example.org/rattanwood/standins/launcher"
)

// Ports of the demo; every balancer and upstream has an IP number of its own.
const (
	peerPort     = 0
	tunnelPort   = 1
	webPort      = 2
	platformPort = 3
	fabricPort   = 4
	callerPort   = 5
)

// warmUp is the time in which new balancers get to know each other.
const warmUp = 9 * time.Second

// readyDeadline bounds the wait for a process.
const readyDeadline = 10 * time.Second

// listLag is how long the platform's list still names a lost VM.
const listLag = 2 * time.Second

// Config builds a demo.
type Config struct {
	Bin       string `help:"Folder of the programs." default:"bin"`
	Logs      string `help:"Folder for logs; a temporary one if empty."`
	Balancers int    `help:"Number of balancers." default:"5"`
	Flows     int    `help:"Flows to open." default:"1000"`
	Rate      int    `help:"Requests a second." default:"60"`
	Seconds   int    `help:"Seconds of load." default:"30"`
	Faults    string `help:"Faults to bring about." enum:"none,all" default:"all"`
	Seed      uint64 `help:"Seed." default:"1"`
	Ports     int    `help:"First of six ports to use." default:"21000"`
}

// service is a service of the demo.
type service struct {
	name    rattanwood.ServiceID
	address netip.AddrPort
	size    int
	slots   int
}

var services = []service{
	{name: "board", address: netip.MustParseAddrPort("10.1.0.1:80"), size: 14, slots: 2},
	{name: "maps", address: netip.MustParseAddrPort("10.1.0.2:80"), size: 4, slots: 2},
}

// demo is a run under way.
type demo struct {
	cfg       *Config
	procs     launcher.Launcher
	doc       rattanwood.Document
	vms       []rattanwood.VM
	balancers map[rattanwood.VMID]*launcher.Process
	upstreams map[string]netip.AddrPort
	// losses are when a balancer was killed or paused without warning.
	losses []time.Time
	begun  time.Time
	events []string
	// controls are readings of balancers that are gone.
	controls []float64
}

// Run runs the demo and prints its report as the last line.
func (c *Config) Run(ctx context.Context) error {
	dir := c.Logs
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "rattanwood-demo-"); err != nil {
			return err
		}
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	d := &demo{
		cfg:       c,
		procs:     launcher.Launcher{Dir: dir},
		balancers: map[rattanwood.VMID]*launcher.Process{},
		upstreams: map[string]netip.AddrPort{},
	}
	defer d.procs.StopAll()
	fmt.Fprintln(os.Stderr, "logs are in", dir)
	if err := d.start(ctx); err != nil {
		return err
	}
	report, err := d.load(ctx)
	if err != nil {
		return err
	}
	line, err := json.Marshal(report)
	if err != nil {
		return err
	}
	fmt.Println(string(line))
	return report.verdict()
}

func (d *demo) port(n int) int { return d.cfg.Ports + n }

func (d *demo) platform() string { return fmt.Sprintf("127.0.0.1:%d", d.port(platformPort)) }

func (d *demo) standin() string { return filepath.Join(d.cfg.Bin, "standin") }

// start brings up the platform, the upstreams, the balancers and the fabric.
func (d *demo) start(ctx context.Context) error {
	if _, err := d.procs.Start("platform", d.standin(), "platform", d.platform()); err != nil {
		return err
	}
	if err := ready(ctx, "http://"+d.platform()+"/calls"); err != nil {
		return err
	}
	d.doc = rattanwood.Document{Version: 1}
	for i, s := range services {
		if err := d.addService(i, s); err != nil {
			return err
		}
	}
	if err := d.publish(); err != nil {
		return err
	}
	for i := range d.cfg.Balancers {
		d.enlist(i + 1)
	}
	if err := d.put("/vms", d.vms); err != nil {
		return err
	}
	for i := range d.cfg.Balancers {
		if err := d.startBalancer(i + 1); err != nil {
			return err
		}
	}
	fabric := fmt.Sprintf("127.0.0.1:%d", d.port(fabricPort))
	_, err := d.procs.Start("fabric", d.standin(), "fabric", fabric, "--platform", d.platform(),
		"--tunnel", fmt.Sprint(d.port(tunnelPort)), "--seed", fmt.Sprint(d.cfg.Seed))
	if err != nil {
		return err
	}
	for i := range d.cfg.Balancers {
		if err := ready(ctx, d.web(i+1)+"/health"); err != nil {
			return err
		}
	}
	sleep(ctx, warmUp)
	return nil
}

func (d *demo) addService(i int, s service) error {
	def := rattanwood.Service{
		Name:      s.name,
		Addresses: []rattanwood.Binding{{Address: s.address, Since: d.doc.Version}},
		Balance:   rattanwood.Balance{LoadPlacedShare: 0.25, ExcessLoad: 0.1},
		Limits:    rattanwood.Limits{MaxQueueLength: 32, MaxWaitMillis: 500, DeadlineMillis: 2000, RetryBudget: 0.5},
	}
	d.doc.Services = append(d.doc.Services, def)
	for range s.size {
		if err := d.addUpstream(i); err != nil {
			return err
		}
	}
	return nil
}

// addUpstream starts one more upstream of service i and puts it into the next document.
func (d *demo) addUpstream(i int) error {
	s := services[i]
	n := len(d.doc.Services[i].Upstreams) + 1
	name := fmt.Sprintf("%s-%d", s.name, n)
	ip := netip.AddrFrom4([4]byte{127, 0, byte(10 + i), byte(n)})
	u := rattanwood.Upstream{
		Name:   name,
		Tunnel: netip.AddrPortFrom(ip, uint16(d.port(tunnelPort))),
		Web:    netip.AddrPortFrom(ip, uint16(d.port(webPort))),
		Slots:  s.slots,
		Since:  d.doc.Version,
	}
	d.doc.Services[i].Upstreams = append(d.doc.Services[i].Upstreams, u)
	d.upstreams[name] = u.Web
	_, err := d.procs.Start(name, d.standin(), "upstream", "--name", name, "--service", string(s.name),
		"--tunnel", u.Tunnel.String(), "--web", u.Web.String(), "--slots", fmt.Sprint(s.slots), "--seed", fmt.Sprint(d.cfg.Seed+uint64(n)))
	return err
}

// publish checks the document as rattanctl would and puts it on the platform.
func (d *demo) publish() error {
	if err := checker.Check("document", &d.doc); err != nil {
		return err
	}
	return d.put("/document", &d.doc)
}

func (d *demo) put(path string, v any) error {
	data, ok := v.(string)
	if !ok {
		encoded, err := json.Marshal(v)
		if err != nil {
			return err
		}
		data = string(encoded)
	}
	return put("http://"+d.platform()+path, data)
}

func put(url, data string) error {
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewBufferString(data))
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return res.Body.Close()
}

func (d *demo) vm(n int) rattanwood.VMID { return rattanwood.VMID(fmt.Sprintf("entry-%d", n)) }

func (d *demo) ip(n int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, 1, byte(n)}) }

func (d *demo) web(n int) string {
	return fmt.Sprintf("http://%s", netip.AddrPortFrom(d.ip(n), uint16(d.port(webPort))))
}

// centres is the number of data centres that the balancers are spread over.
const centres = 3

func (d *demo) centre(n int) string { return fmt.Sprintf("centre-%d", n%centres+1) }

func (d *demo) enlist(n int) {
	d.vms = append(d.vms, rattanwood.VM{
		Name:       d.vm(n),
		Address:    netip.AddrPortFrom(d.ip(n), uint16(d.port(peerPort))),
		DataCentre: rattanwood.DataCentre(d.centre(n)),
	})
}

func (d *demo) startBalancer(n int) error {
	file := filepath.Join(d.procs.Dir, string(d.vm(n))+".json")
	text := fmt.Sprintf(`// Settings of a balancer of the demo.
{"vm": %q, "centre": %q, "address": %q, "platform": %q, "ports": {"peer": %d, "tunnel": %d, "web": %d}, "times": {"list": 1000}}
`, d.vm(n), d.centre(n), d.ip(n), d.platform(), d.port(peerPort), d.port(tunnelPort), d.port(webPort))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	p, err := d.procs.Start(string(d.vm(n)), filepath.Join(d.cfg.Bin, "rattanwood"), "serve", file)
	d.balancers[d.vm(n)] = p
	return err
}

// load runs the Caller while faults happen, and collects the counts.
func (d *demo) load(ctx context.Context) (*Report, error) {
	out := filepath.Join(d.procs.Dir, "caller.json")
	args := []string{
		"caller", "--listen", fmt.Sprintf("127.0.0.1:%d", d.port(callerPort)), "--fabric", fmt.Sprintf("127.0.0.1:%d", d.port(fabricPort)),
		"--platform", d.platform(), "--web", fmt.Sprint(d.port(webPort)), "--flows", fmt.Sprint(d.cfg.Flows), "--rate", fmt.Sprint(d.cfg.Rate),
		"--time", fmt.Sprintf("%ds", d.cfg.Seconds), "--seed", fmt.Sprint(d.cfg.Seed), "--out", out,
	}
	for _, s := range services {
		args = append(args, "--targets", fmt.Sprintf("%s=%s", s.name, s.address))
	}
	before := d.control()
	d.begun = time.Now()
	c, err := d.procs.Start("caller", d.standin(), args...)
	if err != nil {
		return nil, err
	}
	if d.cfg.Faults == "all" {
		if err := d.faults(ctx); err != nil {
			return nil, err
		}
	}
	c.Wait(ctx)
	seconds := time.Since(d.begun).Seconds()
	return d.collect(out, before, seconds)
}

// ready waits until a URL answers.
func ready(ctx context.Context, url string) error {
	var last error
	for begun := time.Now(); time.Since(begun) < readyDeadline && ctx.Err() == nil; {
		res, err := http.Get(url)
		if err == nil {
			return res.Body.Close()
		}
		last = err
		sleep(ctx, 50*time.Millisecond)
	}
	return last
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// get reads a URL whole.
func get(url string) ([]byte, error) {
	res, err := http.Get(url)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	return io.ReadAll(res.Body)
}

// control returns the control bytes that each balancer has sent.
func (d *demo) control() map[int]float64 {
	out := map[int]float64{}
	for n := 1; n <= d.cfg.Balancers+1; n++ {
		if v := d.controlOf(n); v > 0 {
			out[n] = v
		}
	}
	return out
}

func (d *demo) controlOf(n int) float64 {
	data, err := get(d.web(n) + "/metrics")
	if err != nil {
		return 0
	}
	sum := 0.0
	for line := range strings.Lines(string(data)) {
		if !strings.HasPrefix(line, "rattanwood_control_bytes_total") || !strings.Contains(line, `fate="sent"`) {
			continue
		}
		var v float64
		_, _ = fmt.Sscan(line[strings.LastIndex(line, " "):], &v)
		sum += v
	}
	return sum
}
