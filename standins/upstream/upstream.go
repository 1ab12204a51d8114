// Package upstream stands in for a back end and counts what really reached it.
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

// Config builds an upstream.
type Config struct {
	Name    string        `help:"Name." required:""`
	Service string        `help:"Service that it belongs to." required:""`
	Tunnel  string        `help:"IP number and port for packets." required:""`
	Web     string        `help:"IP number and port for requests." required:""`
	Slots   int           `help:"Requests at one time." default:"2"`
	Work    time.Duration `help:"Mean time of a request." default:"10ms"`
	Seed    uint64        `help:"Seed of the times." default:"1"`
}

// FlowStats is what an upstream saw of one flow. Times are in Unix milliseconds.
type FlowStats struct {
	Packets     int   `json:"packets"`
	FirstMillis int64 `json:"first"`
	LastMillis  int64 `json:"last"`
}

// Stats is all that an upstream counted.
type Stats struct {
	Name    string               `json:"name"`
	Service string               `json:"service"`
	Flows   map[string]FlowStats `json:"flows"`
	Runs    map[string]int       `json:"runs"`
	// Misrouted are packets and requests that were meant for another service.
	Misrouted int `json:"strays"`
	// Rejected are requests that came while all slots were taken.
	Rejected int `json:"overruns"`
}

type upstream struct {
	cfg      *Config
	mu       sync.Mutex
	truth    Stats
	running  int
	draining bool
	random   *rand.Rand
}

// Run serves until ctx ends.
func (c *Config) Run(ctx context.Context) error {
	u := &upstream{
		cfg:    c,
		random: rand.New(rand.NewPCG(c.Seed, 0)),
		truth:  Stats{Name: c.Name, Service: c.Service, Flows: map[string]FlowStats{}, Runs: map[string]int{}},
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(c.Tunnel)))
	if err != nil {
		return err
	}
	_ = conn.SetReadBuffer(4 << 20)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	go u.packets(conn)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run", u.run)
	mux.HandleFunc("GET /health", u.health)
	mux.HandleFunc("PUT /drain", u.drain)
	mux.HandleFunc("GET /truth", u.report)
	return platform.Serve(ctx, c.Web, mux)
}

// packets counts packets and answers each to the address that its payload names.
func (u *upstream) packets(conn *net.UDPConn) {
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
		words := strings.Fields(string(p.Payload))
		if len(words) != 4 {
			continue
		}
		u.count(words[1], words[2])
		if to, err := netip.ParseAddrPort(words[0]); err == nil {
			_, _ = conn.WriteToUDPAddrPort([]byte(fmt.Sprintf("%s %s %s", words[2], words[3], u.cfg.Name)), to)
		}
	}
}

func (u *upstream) count(service, flow string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if service != u.cfg.Service {
		u.truth.Misrouted++
	}
	now := time.Now().UnixMilli()
	f, known := u.truth.Flows[flow]
	if !known {
		f.FirstMillis = now
	}
	f.Packets++
	f.LastMillis = now
	u.truth.Flows[flow] = f
}

// run runs a request if there is a slot.
func (u *upstream) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	work, ok := u.begin(id, r.Header.Get("Service"))
	if !ok {
		w.Header().Set("Run", "none")
		http.Error(w, "busy", http.StatusTooManyRequests)
		return
	}
	time.Sleep(work)
	u.mu.Lock()
	u.running--
	u.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]string{"id": id, "echo": string(body), "end": "whole"})
}

func (u *upstream) begin(id, service string) (time.Duration, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if service != u.cfg.Service {
		u.truth.Misrouted++
	}
	if u.draining || u.running >= u.cfg.Slots {
		u.truth.Rejected++
		return 0, false
	}
	u.running++
	u.truth.Runs[id]++
	return time.Duration(float64(u.cfg.Work) * (0.5 + u.random.Float64())), true
}

func (u *upstream) health(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	state := "ok"
	if u.draining {
		state = "draining"
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"state": state, "load": u.running})
}

func (u *upstream) drain(http.ResponseWriter, *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.draining = true
}

func (u *upstream) report(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	_ = json.NewEncoder(w).Encode(&u.truth)
}
