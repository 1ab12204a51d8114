package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the platform's store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store stands in for the platform's store.
type store struct {
	address  string
	mu       sync.Mutex
	items    map[string]item
	events   []item
	revision uint64
	changed  chan struct{}
}

func newStore(address string) (*store, error) {
	s := &store{address: address, items: map[string]item{}, revision: 1, changed: make(chan struct{})}
	lis, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.key)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	go func() { _ = http.Serve(lis, mux) }()
	return s, nil
}

// put writes a value; nil deletes the key.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Deleted: value == nil}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	if value == nil {
		delete(s.items, key)
	} else {
		s.items[key] = it
	}
	s.events = append(s.events, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	at := s.revision
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	reply(w, struct {
		item
		At uint64 `json:"at"`
	}{it, at})
}

// pageSize is the number of items in a page of a listing.
const pageSize = 500

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			items = append(items, it)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > pageSize
	reply(w, map[string]any{"items": items[:min(len(items), pageSize)], "has_more": more, "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ctx.Err() != nil {
			reply(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}
