// Package runner runs the demo: it starts the balancers and the simulated platform, fabric,
// upstreams and Callers as processes, injects faults under load, and checks the guarantees by the
// counts of the stand-ins.
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

// Ports of the demo, as offsets from the first one. Balancers and upstreams use the same ports, each
// on an IP address of its own.
const (
	peerPort     = 0
	tunnelPort   = 1
	webPort      = 2
	platformPort = 3
	fabricPort   = 4
	callerPort   = 5
)

// warmUpTime is how long the balancers may take to discover each other before the load starts.
const warmUpTime = 9 * time.Second

// readyTimeout bounds the wait for a process to answer HTTP requests.
const readyTimeout = 10 * time.Second

// vmListDelay is how long the platform's VM list still contains a balancer that was killed.
const vmListDelay = 2 * time.Second

// Config holds the command-line arguments of the demo.
type Config struct {
	Bin       string `help:"Folder with the programs." default:"bin"`
	Logs      string `help:"Folder for logs; a temporary one if empty."`
	Balancers int    `help:"Number of balancers." default:"5"`
	Flows     int    `help:"Number of flows to open." default:"1000"`
	Rate      int    `help:"Number of requests a second." default:"60"`
	Seconds   int    `help:"Duration of the load in seconds." default:"30"`
	Faults    string `help:"Faults to inject." enum:"none,all" default:"all"`
	Seed      uint64 `help:"Seed of all random choices." default:"1"`
	Ports     int    `help:"First of six ports to use." default:"21000"`
}

// service describes a service of the demo: its address, its number of upstreams and the slots of
// each.
type service struct {
	name          rattanwood.ServiceID
	address       netip.AddrPort
	upstreamCount int
	slots         int
}

var services = []service{
	{name: "board", address: netip.MustParseAddrPort("10.1.0.1:80"), upstreamCount: 14, slots: 2},
	{name: "maps", address: netip.MustParseAddrPort("10.1.0.2:80"), upstreamCount: 4, slots: 2},
}

// demo is the state of one run.
type demo struct {
	cfg       *Config
	processes launcher.Launcher
	doc       rattanwood.Document
	vms       []rattanwood.VM
	balancers map[rattanwood.VMID]*launcher.Process
	// upstreams holds the web addresses of the upstreams by name.
	upstreams map[string]netip.AddrPort
	// failureTimes holds the times at which a balancer was killed or paused without warning.
	failureTimes []time.Time
	loadStart    time.Time
	events       []string
	// stoppedControlBytes holds the control bytes that each replaced balancer had sent before it was
	// stopped. The report doesn't use them.
	stoppedControlBytes []float64
}

// Run runs the demo and prints its report as one line of JSON, the last line of the output. It
// returns an error if a guarantee was violated.
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
		processes: launcher.Launcher{Dir: dir},
		balancers: map[rattanwood.VMID]*launcher.Process{},
		upstreams: map[string]netip.AddrPort{},
	}
	defer d.processes.StopAll()
	fmt.Fprintln(os.Stderr, "writing logs to", dir)
	if err := d.start(ctx); err != nil {
		return err
	}
	report, err := d.runLoad(ctx)
	if err != nil {
		return err
	}
	line, err := json.Marshal(report)
	if err != nil {
		return err
	}
	fmt.Println(string(line))
	return report.check()
}

func (d *demo) port(n int) int { return d.cfg.Ports + n }

func (d *demo) platformAddress() string { return fmt.Sprintf("127.0.0.1:%d", d.port(platformPort)) }

func (d *demo) standinPath() string { return filepath.Join(d.cfg.Bin, "standin") }

// start launches the platform, the upstreams, the balancers and the fabric, and waits until the
// balancers have had time to discover each other.
func (d *demo) start(ctx context.Context) error {
	if _, err := d.processes.Start("platform", d.standinPath(), "platform", d.platformAddress()); err != nil {
		return err
	}
	if err := waitUntilServing(ctx, "http://"+d.platformAddress()+"/calls"); err != nil {
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
		d.addVM(i + 1)
	}
	if err := d.put("/vms", d.vms); err != nil {
		return err
	}
	for i := range d.cfg.Balancers {
		if err := d.startBalancer(i + 1); err != nil {
			return err
		}
	}
	fabricAddress := fmt.Sprintf("127.0.0.1:%d", d.port(fabricPort))
	_, err := d.processes.Start("fabric", d.standinPath(), "fabric", fabricAddress, "--platform", d.platformAddress(),
		"--tunnel", fmt.Sprint(d.port(tunnelPort)), "--seed", fmt.Sprint(d.cfg.Seed))
	if err != nil {
		return err
	}
	for i := range d.cfg.Balancers {
		if err := waitUntilServing(ctx, d.webURL(i+1)+"/health"); err != nil {
			return err
		}
	}
	sleep(ctx, warmUpTime)
	return nil
}

// addService adds a service and its upstreams to the document and starts the upstreams.
func (d *demo) addService(i int, s service) error {
	def := rattanwood.Service{
		Name:      s.name,
		Addresses: []rattanwood.Binding{{Address: s.address, Since: d.doc.Version}},
		Balance:   rattanwood.Balance{LoadPlacedShare: 0.25, ExcessLoad: 0.1},
		Limits:    rattanwood.Limits{MaxQueueLength: 32, MaxWaitMillis: 500, TimeoutMillis: 2000, RetryBudget: 0.5},
	}
	d.doc.Services = append(d.doc.Services, def)
	for range s.upstreamCount {
		if err := d.addUpstream(i); err != nil {
			return err
		}
	}
	return nil
}

// addUpstream starts one more upstream of service i and adds it to the document that is published
// next.
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
	_, err := d.processes.Start(name, d.standinPath(), "upstream", "--name", name, "--service", string(s.name),
		"--tunnel", u.Tunnel.String(), "--web", u.Web.String(), "--slots", fmt.Sprint(s.slots), "--seed", fmt.Sprint(d.cfg.Seed+uint64(n)))
	return err
}

// publish checks the document in the way that rattanctl does and uploads it to the platform.
func (d *demo) publish() error {
	if err := checker.Check("document", &d.doc); err != nil {
		return err
	}
	return d.put("/document", &d.doc)
}

// put uploads a value to the platform: a string as it is, anything else as JSON.
func (d *demo) put(path string, v any) error {
	data, ok := v.(string)
	if !ok {
		encoded, err := json.Marshal(v)
		if err != nil {
			return err
		}
		data = string(encoded)
	}
	return put("http://"+d.platformAddress()+path, data)
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

func (d *demo) vmID(n int) rattanwood.VMID { return rattanwood.VMID(fmt.Sprintf("entry-%d", n)) }

func (d *demo) vmIP(n int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, 1, byte(n)}) }

func (d *demo) webURL(n int) string {
	return fmt.Sprintf("http://%s", netip.AddrPortFrom(d.vmIP(n), uint16(d.port(webPort))))
}

// dataCentreCount is the number of data centres that the balancers are spread over.
const dataCentreCount = 3

func (d *demo) dataCentre(n int) string { return fmt.Sprintf("centre-%d", n%dataCentreCount+1) }

// addVM adds balancer n to the VM list that the demo publishes next.
func (d *demo) addVM(n int) {
	d.vms = append(d.vms, rattanwood.VM{
		Name:       d.vmID(n),
		Address:    netip.AddrPortFrom(d.vmIP(n), uint16(d.port(peerPort))),
		DataCentre: rattanwood.DataCentre(d.dataCentre(n)),
	})
}

// startBalancer writes the settings of balancer n and starts it.
func (d *demo) startBalancer(n int) error {
	settingsFile := filepath.Join(d.processes.Dir, string(d.vmID(n))+".json")
	settings := fmt.Sprintf(`// Settings of a balancer of the demo.
{"vm": %q, "centre": %q, "address": %q, "platform": %q, "ports": {"peer": %d, "tunnel": %d, "web": %d}, "times": {"list": 1000}}
`, d.vmID(n), d.dataCentre(n), d.vmIP(n), d.platformAddress(), d.port(peerPort), d.port(tunnelPort), d.port(webPort))
	if err := os.WriteFile(settingsFile, []byte(settings), 0o600); err != nil {
		return err
	}
	p, err := d.processes.Start(string(d.vmID(n)), filepath.Join(d.cfg.Bin, "rattanwood"), "serve", settingsFile)
	d.balancers[d.vmID(n)] = p
	return err
}

// runLoad runs the Caller to its end, injects the faults meanwhile, and collects the counts.
func (d *demo) runLoad(ctx context.Context) (*Report, error) {
	reportFile := filepath.Join(d.processes.Dir, "caller.json")
	args := []string{
		"caller", "--listen", fmt.Sprintf("127.0.0.1:%d", d.port(callerPort)), "--fabric", fmt.Sprintf("127.0.0.1:%d", d.port(fabricPort)),
		"--platform", d.platformAddress(), "--web", fmt.Sprint(d.port(webPort)), "--flows", fmt.Sprint(d.cfg.Flows), "--rate", fmt.Sprint(d.cfg.Rate),
		"--time", fmt.Sprintf("%ds", d.cfg.Seconds), "--seed", fmt.Sprint(d.cfg.Seed), "--out", reportFile,
	}
	for _, s := range services {
		args = append(args, "--targets", fmt.Sprintf("%s=%s", s.name, s.address))
	}
	before := d.controlBytes()
	d.loadStart = time.Now()
	callerProcess, err := d.processes.Start("caller", d.standinPath(), args...)
	if err != nil {
		return nil, err
	}
	if d.cfg.Faults == "all" {
		if err := d.injectFaults(ctx); err != nil {
			return nil, err
		}
	}
	callerProcess.Wait(ctx)
	seconds := time.Since(d.loadStart).Seconds()
	return d.collect(reportFile, before, seconds)
}

// waitUntilServing polls a URL until it answers, for readyTimeout at most. It returns the error of
// the last attempt.
func waitUntilServing(ctx context.Context, url string) error {
	var last error
	for start := time.Now(); time.Since(start) < readyTimeout && ctx.Err() == nil; {
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

// get fetches a URL and returns the response body, whatever the status.
func get(url string) ([]byte, error) {
	res, err := http.Get(url)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	return io.ReadAll(res.Body)
}

// controlBytes returns how many bytes of control traffic each balancer has sent, by number. It
// leaves out the balancers that don't answer.
func (d *demo) controlBytes() map[int]float64 {
	bytesByBalancer := map[int]float64{}
	for n := 1; n <= d.cfg.Balancers+1; n++ {
		if v := d.controlBytesOf(n); v > 0 {
			bytesByBalancer[n] = v
		}
	}
	return bytesByBalancer
}

// controlBytesOf returns how many bytes of control traffic balancer n has sent according to its
// metrics, or 0 if it doesn't answer.
func (d *demo) controlBytesOf(n int) float64 {
	data, err := get(d.webURL(n) + "/metrics")
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
