package soaker

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is the number of items on a page, few so that several are needed.
const pageItems = 5

// pollTime is how often a waiting watch looks for events.
const pollTime = 10 * time.Millisecond

// item is a value of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int    `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store stands in for the platform's store.
type store struct {
	mu  sync.Mutex
	log []item
	// kept is the revision from which on the history is kept.
	kept  int
	busy  bool
	delay time.Duration
	lis   net.Listener
}

func newStore(address string) (*store, error) {
	lis, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &store{lis: lis}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	go func() { _ = (&http.Server{Handler: mux, ReadHeaderTimeout: time.Second}).Serve(lis) }()
	return s, nil
}

// put writes a value; an empty one deletes the key.
func (s *store) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = append(s.log, item{Key: key, Value: []byte(value), Revision: len(s.log) + 1, Deleted: value == ""})
}

// set changes how the store answers, and may drop its history.
func (s *store) set(busy bool, delay time.Duration, forget bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy, s.delay = busy, delay
	if forget {
		s.kept = len(s.log)
	}
}

func (s *store) enter(w http.ResponseWriter) bool {
	s.mu.Lock()
	busy, delay := s.busy, s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	if busy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return !busy
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	if !s.enter(w) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := map[string]item{}
	for _, it := range s.log {
		newest[it.Key] = it
	}
	after := r.URL.Query().Get("after")
	items, more := []item{}, false
	for {
		next := item{}
		for key, it := range newest {
			if !it.Deleted && key > after && (next.Key == "" || key < next.Key) {
				next = it
			}
		}
		if more = next.Key != ""; !more || len(items) == pageItems {
			break
		}
		items, after = append(items, next), next.Key
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": more, "at": len(s.log)})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	if !s.enter(w) {
		return
	}
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	for end := time.Now().Add(time.Duration(wait) * time.Millisecond); ; time.Sleep(pollTime) {
		s.mu.Lock()
		log, kept := s.log, s.kept
		s.mu.Unlock()
		switch {
		case after < kept:
			w.WriteHeader(http.StatusGone)
			return
		case after < len(log) || time.Now().After(end) || r.Context().Err() != nil:
			_ = json.NewEncoder(w).Encode(map[string]any{"events": log[min(after, len(log)):], "at": len(log)})
			return
		}
	}
}

// routing returns a configuration; routes map addresses to services.
func routing(version int, routes map[string]string) string {
	list := []map[string]any{}
	for address, service := range routes {
		host, port, _ := strings.Cut(address, ":")
		list = append(list, map[string]any{"name": address, "hostname": host, "prefix": "/" + port + "/", "service": service})
	}
	services := []map[string]any{{"name": serviceSwap, "health_check_path": "/health"}, {"name": serviceMaps, "health_check_path": "/health"}}
	data, _ := json.Marshal(map[string]any{"version": version, "routes": list, "services": services})
	return string(data)
}
