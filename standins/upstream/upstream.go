// Package upstream simulates a back-end server that receives tunnelled packets and HTTP requests.
// It counts what reached it, so that the demo can compare these counts with what Callers were
// told. The counts are served under /truth.
package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"example.org/rattanwood/encapsulator"
	"example.org/rattanwood/standins/platform"
)

// Config holds the command-line arguments of a simulated upstream.
type Config struct {
	Name    string        `help:"Name of the upstream." required:""`
	Service string        `help:"Service that it belongs to." required:""`
	Tunnel  string        `help:"IP address and port for packets." required:""`
	Web     string        `help:"IP address and port for requests." required:""`
	Slots   int           `help:"Number of requests served at the same time." default:"2"`
	Work    time.Duration `help:"Mean duration of a request." default:"10ms"`
	Seed    uint64        `help:"Seed of the random request durations." default:"1"`
}

// FlowStats counts the packets of one flow that reached an upstream.
type FlowStats struct {
	Packets int `json:"packets"`
	// FirstMillis and LastMillis are the times of the first and the last packet, in Unix milliseconds.
	FirstMillis int64 `json:"first"`
	LastMillis  int64 `json:"last"`
}

// Stats holds everything that an upstream counted.
type Stats struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Flows holds the flows that reached the upstream, by name.
	Flows map[string]FlowStats `json:"flows"`
	// Runs counts how often each request was run, by request ID.
	Runs map[string]int `json:"runs"`
	// Misrouted counts the packets and requests that were meant for another service.
	Misrouted int `json:"strays"`
	// Rejected counts the requests that came while all slots were taken or the upstream was draining.
	Rejected int `json:"overruns"`
}

// upstream is the state of a running upstream. mu guards every field but cfg; running is the
// number of slots in use.
type upstream struct {
	cfg      *Config
	mu       sync.Mutex
	stats    Stats
	running  int
	draining bool
	random   *rand.Rand
}

// Run serves packets and HTTP requests until ctx is cancelled.
func (c *Config) Run(ctx context.Context) error {
	u := &upstream{
		cfg:    c,
		random: rand.New(rand.NewPCG(c.Seed, 0)),
		stats:  Stats{Name: c.Name, Service: c.Service, Flows: map[string]FlowStats{}, Runs: map[string]int{}},
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(c.Tunnel)))
	if err != nil {
		return err
	}
	_ = conn.SetReadBuffer(4 << 20)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	go u.servePackets(conn)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run", u.handleRun)
	mux.HandleFunc("GET /health", u.handleHealth)
	mux.HandleFunc("PUT /drain", u.handleDrain)
	mux.HandleFunc("GET /truth", u.handleStats)
	return platform.Serve(ctx, c.Web, mux)
}

// servePackets counts packets and answers each of them until conn is closed. The payload of a
// packet holds the address to reply to, the service, the flow's name and a sequence number.
func (u *upstream) servePackets(conn *net.UDPConn) {
	buf := make([]byte, encapsulator.MaxSize)
	var d encapsulator.Decoder
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p, err := d.Decode(buf[:n])
		if err != nil {
			continue
		}
		fields := strings.Fields(string(p.Payload))
		if len(fields) != 4 {
			continue
		}
		u.countPacket(fields[1], fields[2])
		if replyTo, err := netip.ParseAddrPort(fields[0]); err == nil {
			_, _ = conn.WriteToUDPAddrPort([]byte(fmt.Sprintf("%s %s %s", fields[2], fields[3], u.cfg.Name)), replyTo)
		}
	}
}

func (u *upstream) countPacket(service, flow string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if service != u.cfg.Service {
		u.stats.Misrouted++
	}
	now := time.Now().UnixMilli()
	f, known := u.stats.Flows[flow]
	if !known {
		f.FirstMillis = now
	}
	f.Packets++
	f.LastMillis = now
	u.stats.Flows[flow] = f
}

// handleRun simulates a request: it takes a slot for a random time and echoes the body, or
// answers 429 if no slot is free or the upstream is draining. The header "Run: none" tells the
// balancer that the request did not start.
func (u *upstream) handleRun(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	duration, ok := u.startRequest(id, r.Header.Get("Service"))
	if !ok {
		w.Header().Set("Run", "none")
		http.Error(w, "busy", http.StatusTooManyRequests)
		return
	}
	time.Sleep(duration)
	u.mu.Lock()
	u.running--
	u.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]string{"id": id, "echo": string(body), "end": "whole"})
}

// startRequest takes a slot and returns how long the request shall run, a random time between 0.5
// and 1.5 times the mean. It returns false if no slot is free or the upstream is draining.
func (u *upstream) startRequest(id, service string) (time.Duration, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if service != u.cfg.Service {
		u.stats.Misrouted++
	}
	if u.draining || u.running >= u.cfg.Slots {
		u.stats.Rejected++
		return 0, false
	}
	u.running++
	u.stats.Runs[id]++
	return time.Duration(float64(u.cfg.Work) * (0.5 + u.random.Float64())), true
}

func (u *upstream) handleHealth(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	state := "ok"
	if u.draining {
		state = "draining"
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"state": state, "load": u.running})
}

func (u *upstream) handleDrain(http.ResponseWriter, *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.draining = true
}

func (u *upstream) handleStats(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	_ = json.NewEncoder(w).Encode(&u.stats)
}
