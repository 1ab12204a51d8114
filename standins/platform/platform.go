// Package platform stands in for the operators' read-only configuration service.
package platform

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"example.org/rattanwood"
)

// Modes of the service, set through /mode.
const (
	ModeUp    = "up"
	ModeDown  = "down"
	ModeStale = "stale"
)

// watchPoll is how often a waiting watch looks for a change.
const watchPoll = 20 * time.Millisecond

// Config builds the service.
type Config struct {
	Listen string `arg:"" help:"IP number and port."`
}

// value is one published document.
type value struct {
	version rattanwood.Version
	data    []byte
}

// service holds what operators published.
type service struct {
	mu     sync.Mutex
	values []value
	vms    []byte
	mode   string
	calls  int
}

// Run serves until ctx ends.
func (c *Config) Run(ctx context.Context) error {
	s := &service{mode: ModeUp, vms: []byte("[]")}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /document", s.document)
	mux.HandleFunc("GET /vms", s.list)
	mux.HandleFunc("PUT /document", s.publish)
	mux.HandleFunc("PUT /vms", s.setList)
	mux.HandleFunc("PUT /mode", s.setMode)
	mux.HandleFunc("GET /calls", s.count)
	return Serve(ctx, c.Listen, mux)
}

// Serve runs an HTTP server until ctx ends.
func Serve(ctx context.Context, listen string, h http.Handler) error {
	srv := &http.Server{Addr: listen, Handler: h, ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// ListActiveVMs reads the list of VMs that takes packets and requests; ok is false while the service is down.
func ListActiveVMs(address string) (vms []netip.Addr, ok bool) {
	res, err := http.Get("http://" + address + "/vms")
	if err != nil {
		return nil, false
	}
	defer func() { _ = res.Body.Close() }()
	var list []rattanwood.VM
	if res.StatusCode != http.StatusOK || json.NewDecoder(res.Body).Decode(&list) != nil {
		return nil, false
	}
	for _, vm := range list {
		if !vm.Leaving {
			vms = append(vms, vm.Address.Addr())
		}
	}
	return vms, true
}

// enter counts a call and reports whether the service is up.
func (s *service) enter(w http.ResponseWriter) bool {
	s.mu.Lock()
	s.calls++
	down := s.mode == ModeDown
	s.mu.Unlock()
	if down {
		http.Error(w, "down", http.StatusServiceUnavailable)
	}
	return !down
}

// current returns the value that the service shows: the first one while it is stale.
func (s *service) current() (value, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.values) == 0 {
		return value{}, false
	}
	if s.mode == ModeStale {
		return s.values[0], true
	}
	return s.values[len(s.values)-1], true
}

func (s *service) document(w http.ResponseWriter, r *http.Request) {
	if !s.enter(w) {
		return
	}
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		v, ok := s.current()
		if ok && (uint64(v.version) > after || s.stale()) {
			_, _ = w.Write(v.data)
			return
		}
		if time.Now().After(deadline) || r.Context().Err() != nil {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		time.Sleep(watchPoll)
	}
}

func (s *service) stale() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode == ModeStale
}

func (s *service) publish(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	var doc rattanwood.Document
	if err != nil || json.Unmarshal(data, &doc) != nil {
		http.Error(w, "not a document", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values = append(s.values, value{version: doc.Version, data: data})
}

func (s *service) list(w http.ResponseWriter, _ *http.Request) {
	if !s.enter(w) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = w.Write(s.vms)
}

func (s *service) setList(_ http.ResponseWriter, r *http.Request) {
	data, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = data
}

func (s *service) setMode(_ http.ResponseWriter, r *http.Request) {
	data, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = string(data)
}

func (s *service) count(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.calls)
}
