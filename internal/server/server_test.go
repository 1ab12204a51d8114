package server_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"go.uber.org/zap"

	"example.org/rattanwood"
	"example.org/rattanwood/encapsulator"
	"example.org/rattanwood/internal/server"
	"example.org/rattanwood/internal/settings"
)

// testTimeout limits every wait of the tests.
const testTimeout = 20 * time.Second

// upstreamDelay is how long the fake upstream takes to answer a request.
const upstreamDelay = 800 * time.Millisecond

// fleet is a set of three balancers, run in this process on loopback addresses, with one fake upstream and
// a fake platform.
type fleet struct {
	c     *qt.C
	ports settings.Ports
	// mu guards runs, the number of times that the upstream ran each request id.
	mu   sync.Mutex
	runs map[string]int
	// packets are those that reached the upstream's tunnel.
	packets chan encapsulator.Packet
	// stops shut the balancers down, and ended receive the results of their Run.
	stops []context.CancelFunc
	ended []chan error
}

func newFleet(c *qt.C) *fleet {
	f := &fleet{c: c, runs: map[string]int{}, packets: make(chan encapsulator.Packet, 10)}
	f.ports = settings.Ports{Peer: freePort(c), Tunnel: freePort(c), Web: freePort(c)}
	tunnel, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = tunnel.Close() })
	go f.receivePackets(tunnel)
	upstream := httptest.NewServer(http.HandlerFunc(f.serveUpstream))
	c.Cleanup(upstream.Close)
	doc := rattanwood.Document{Version: 1, Services: []rattanwood.Service{{
		Name:      "board",
		Addresses: []rattanwood.Binding{{Address: netip.MustParseAddrPort("10.0.0.1:80"), Since: 1}},
		Upstreams: []rattanwood.Upstream{{
			Name: "b1", Tunnel: netip.MustParseAddrPort(tunnel.LocalAddr().String()),
			Web: netip.MustParseAddrPort(upstream.Listener.Addr().String()), Slots: 8, Since: 1,
		}},
		Limits: rattanwood.Limits{MaxQueueLength: 8, MaxWaitMillis: 2000, TimeoutMillis: 10_000, RetryBudget: 0.5},
	}}}
	platform := httptest.NewServer(f.platformHandler(&doc))
	c.Cleanup(platform.Close)
	for i := range 3 {
		f.startBalancer(i, strings.TrimPrefix(platform.URL, "http://"))
	}
	return f
}

func freePort(c *qt.C) int {
	lis, err := net.Listen("tcp", "127.0.21.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = lis.Close() }()
	return int(netip.MustParseAddrPort(lis.Addr().String()).Port())
}

func ip(i int) string { return fmt.Sprintf("127.0.21.%d", i+1) }

func (f *fleet) web(i int) string { return fmt.Sprintf("http://%s:%d", ip(i), f.ports.Web) }

func (f *fleet) platformHandler(doc *rattanwood.Document) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/document", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("after") == "1" {
			time.Sleep(100 * time.Millisecond)
			w.WriteHeader(http.StatusNoContent)
			return
		}
		_ = json.NewEncoder(w).Encode(doc)
	})
	mux.HandleFunc("/vms", func(w http.ResponseWriter, _ *http.Request) {
		var vms []rattanwood.VM
		for i := range 3 {
			vms = append(vms, rattanwood.VM{Name: rattanwood.VMID(fmt.Sprintf("vm-%d", i)), Address: settings.MustAddrPort(ip(i), f.ports.Peer)})
		}
		_ = json.NewEncoder(w).Encode(vms)
	})
	return mux
}

func (f *fleet) startBalancer(i int, platform string) {
	set := settings.Default()
	set.VM = fmt.Sprintf("vm-%d", i)
	set.DataCentre = "east"
	set.Address = ip(i)
	set.Platform = platform
	set.Ports = f.ports
	set.Times.HeartbeatInterval, set.Times.SuspectAfter, set.Times.DeadAfter = 200, 1500, 2500
	set.Times.ActivationDelay, set.Times.PauseThreshold, set.Times.VMListInterval = 800, 800, 500
	s, err := server.New(server.Config{Settings: set, Incarnation: 1, Log: zap.NewNop()})
	f.c.Assert(err, qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	f.stops = append(f.stops, stop)
	f.ended = append(f.ended, ended)
}

// stopBalancer shuts a balancer down gracefully and waits until it has stopped.
func (f *fleet) stopBalancer(i int) {
	f.stops[i]()
	select {
	case err := <-f.ended[i]:
		f.c.Check(err, qt.IsNil)
	case <-time.After(testTimeout):
		f.c.Errorf("balancer %d did not stop in time", i)
	}
}

func (f *fleet) serveUpstream(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		_, _ = w.Write([]byte(`{"state": "ok", "load": 0}`))
		return
	}
	body, _ := io.ReadAll(r.Body)
	f.mu.Lock()
	f.runs[r.Header.Get("Request-Id")]++
	f.mu.Unlock()
	if strings.HasSuffix(r.Header.Get("Request-Id"), "truncated") {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write(body)
		return
	}
	time.Sleep(upstreamDelay)
	_, _ = w.Write(body)
}

func (f *fleet) receivePackets(conn *net.UDPConn) {
	buf := make([]byte, encapsulator.MaxSize)
	for {
		n, err := conn.Read(buf)
		if err != nil {
			return
		}
		var d encapsulator.Decoder
		if p, err := d.Decode(append([]byte{}, buf[:n]...)); err == nil {
			f.packets <- p
		}
	}
}

// reply is a balancer's response to a request.
type reply struct {
	Status   int
	Body     string `json:"body"`
	Reason   string `json:"reason"`
	Replayed bool   `json:"replayed"`
}

func (f *fleet) request(i int, id string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.web(i)+"/v1/board/requests/"+id, strings.NewReader(`"swap"`))
	f.c.Assert(err, qt.IsNil)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Age-Of-Request", "0")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{Reason: err.Error()}
	}
	defer func() { _ = res.Body.Close() }()
	out := reply{Status: res.StatusCode}
	_ = json.NewDecoder(res.Body).Decode(&out)
	return out
}

// requestUntilOK repeats a request until it succeeds, because balancers refuse claims while they warm up.
func (f *fleet) requestUntilOK(i int, id string) reply {
	for begun := time.Now(); ; time.Sleep(100 * time.Millisecond) {
		r := f.request(i, id)
		if r.Status == http.StatusOK || time.Since(begun) > testTimeout {
			return r
		}
	}
}

func (f *fleet) runCount(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs["board/"+id]
}

func packet(opens bool) []byte {
	ip := &layers.IPv4{Version: 4, TTL: 64, Protocol: layers.IPProtocolTCP, SrcIP: net.IP{10, 0, 0, 9}, DstIP: net.IP{10, 0, 0, 1}}
	tcp := &layers.TCP{SrcPort: 1234, DstPort: 80, SYN: opens}
	_ = tcp.SetNetworkLayerForChecksum(ip)
	buf := gopacket.NewSerializeBuffer()
	_ = gopacket.SerializeLayers(buf, gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}, ip, tcp, gopacket.Payload("badge"))
	return buf.Bytes()
}

func (f *fleet) send(address string, data []byte) {
	conn, err := net.Dial("udp", address)
	f.c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write(data)
	f.c.Assert(err, qt.IsNil)
}

// TestServers runs three balancers on loopback addresses and checks requests, packets, invalid input and
// graceful shutdown.
func TestServers(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c)
	first := f.requestUntilOK(0, "warm")
	c.Assert(first.Status, qt.Equals, http.StatusOK, qt.Commentf("%+v", first))

	c.Run("a request id runs once whichever balancer gets it", func(c *qt.C) {
		var wg sync.WaitGroup
		for i := range 3 {
			wg.Go(func() { c.Check(f.requestUntilOK(i, "once").Body, qt.Equals, "swap") })
		}
		wg.Wait()
		c.Assert(f.runCount("once"), qt.Equals, 1)
		c.Assert(f.requestUntilOK(1, "once").Replayed, qt.IsTrue)
	})

	c.Run("a truncated response is unknown, and the request isn't run again", func(c *qt.C) {
		for i := range 3 {
			r := f.request(i, "truncated")
			c.Assert(r.Status, qt.Equals, http.StatusGatewayTimeout, qt.Commentf("%+v", r))
		}
		c.Assert(f.runCount("truncated"), qt.Equals, 1)
	})

	c.Run("invalid input is rejected and counted", func(c *qt.C) {
		f.send(fmt.Sprintf("%s:%d", ip(0), f.ports.Tunnel), []byte("not a packet"))
		f.send(fmt.Sprintf("%s:%d", ip(0), f.ports.Peer), []byte{0xff, 0xff, 0xff})
		c.Assert(f.request(0, "no*id").Status, qt.Equals, http.StatusBadRequest)
		for _, reason := range []string{"packet_frame", "peer_syntax"} {
			c.Assert(f.metric(0, fmt.Sprintf(`rattanwood_rejected_total{reason=%q}`, reason)), qt.Equals, "1")
		}
		c.Assert(f.requestUntilOK(0, "after").Status, qt.Equals, http.StatusOK)
	})

	c.Run("packets reach the upstream from every balancer", func(c *qt.C) {
		for i := range 3 {
			data, err := encapsulator.Encode(packet(i == 0), 0, nil)
			c.Assert(err, qt.IsNil)
			f.send(fmt.Sprintf("%s:%d", ip(i), f.ports.Tunnel), data)
			select {
			case p := <-f.packets:
				c.Assert(string(p.Payload), qt.Equals, "badge")
				c.Assert(p.VNI, qt.Equals, encapsulator.VNI("board"))
			case <-time.After(testTimeout):
				c.Fatal("upstream received no packet")
			}
		}
	})

	c.Run("a graceful shutdown interrupts no request", func(c *qt.C) {
		got := make(chan reply, 1)
		go func() { got <- f.request(2, "swap") }()
		for f.runCount("swap") == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		f.stopBalancer(2)
		r := <-got
		c.Assert(r.Status, qt.Equals, http.StatusOK, qt.Commentf("%+v", r))
		c.Assert(f.runCount("swap"), qt.Equals, 1)
	})
	f.stopBalancer(1)
	f.stopBalancer(0)
}

// metric waits until a balancer exposes a metric and returns its value.
func (f *fleet) metric(i int, name string) string {
	for begun := time.Now(); time.Since(begun) < testTimeout; time.Sleep(50 * time.Millisecond) {
		res, err := http.Get(f.web(i) + "/metrics")
		f.c.Assert(err, qt.IsNil)
		data, _ := io.ReadAll(res.Body)
		_ = res.Body.Close()
		for line := range strings.Lines(string(data)) {
			if value, ok := strings.CutPrefix(line, name+" "); ok {
				return strings.TrimSpace(value)
			}
		}
	}
	return ""
}
