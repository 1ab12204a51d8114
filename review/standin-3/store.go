package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's metadata store. Values are JSON texts.
type store struct {
	mu       sync.Mutex
	address  string
	revision uint64
	items    map[string]item
	history  []item
	// compacted is the revision up to which the history is gone.
	compacted uint64
	// changed is closed and replaced with each change.
	changed chan struct{}
	// down makes every call hang without an answer, as behind a silent partition.
	down bool
	// delay is how long an answer takes, and impaired when the last impairment ended.
	delay    time.Duration
	impaired time.Time
	servers  []*http.Server
}

type item struct {
	key      string
	value    string
	revision uint64
	created  uint64
	deleted  bool
}

func newStore(address string) (*store, error) {
	s := &store{address: address, revision: 1, items: map[string]item{}, delay: answerTime, changed: make(chan struct{})}
	return s, s.serve(address)
}

// serve answers calls at an address, in addition to those that it has.
func (s *store) serve(address string) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.handleRange)
	mux.HandleFunc("GET /kv-watch", s.handleWatch)
	mux.HandleFunc("GET /kv-key", s.handleKey)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	s.servers = append(s.servers, srv)
	go func() { _ = srv.Serve(l) }()
	return nil
}

// put writes a value and returns when the store has acknowledged it; ok is false while the store is down.
func (s *store) put(key, value string) (at time.Time, ok bool) {
	return s.write(item{key: key, value: value})
}

// remove deletes a key.
func (s *store) remove(key string) (at time.Time, ok bool) {
	return s.write(item{key: key, deleted: true})
}

func (s *store) write(it item) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return time.Time{}, false
	}
	old, known := s.items[it.key]
	if it.deleted && !known {
		return time.Now(), true
	}
	s.revision++
	it.revision, it.created = s.revision, s.revision
	if known {
		it.created = old.created
	}
	if it.deleted {
		delete(s.items, it.key)
	} else {
		s.items[it.key] = it
	}
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now(), true
}

func (s *store) value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].value
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.impaired = down, time.Now()
	if down {
		// Waiting watches notice and go silent.
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// setDelay makes answers take longer, or as long as usual.
func (s *store) setDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay, s.impaired = d, time.Now()
}

func (s *store) answerDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.delay
}

func (s *store) sinceImpaired() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.impaired)
}

// hang keeps a call without an answer until its client gives up.
func hang(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func encodeItem(it item) string {
	if it.deleted {
		return fmt.Sprintf(`{"key":%q,"revision":%d,"deleted":true}`, it.key, it.revision)
	}
	return fmt.Sprintf(`{"key":%q,"value":%q,"revision":%d,"created":%d,"lease":0}`, it.key, base64.StdEncoding.EncodeToString([]byte(it.value)), it.revision, it.created)
}

func answer(w http.ResponseWriter, text string) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(text))
}

// answerTime is how long the store takes for an answer.
const answerTime = 4 * time.Millisecond

// pageSize is the number of items in a page of a listing.
const pageSize = 500

func (s *store) handleRange(w http.ResponseWriter, r *http.Request) {
	if s.isDown() {
		hang(r)
	}
	time.Sleep(s.answerDelay())
	q := r.URL.Query()
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageSize
	keys = keys[:min(len(keys), pageSize)]
	texts := make([]string, len(keys))
	for i, key := range keys {
		texts[i] = encodeItem(s.items[key])
	}
	at := s.revision
	s.mu.Unlock()
	answer(w, fmt.Sprintf(`{"items":[%s],"has_more":%t,"at":%d}`, strings.Join(texts, ","), more, at))
}

func (s *store) handleKey(w http.ResponseWriter, r *http.Request) {
	if s.isDown() {
		hang(r)
	}
	time.Sleep(s.answerDelay())
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	answer(w, encodeItem(it))
}

func (s *store) handleWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		down, at, changed, lost := s.down, s.revision, s.changed, after < s.compacted
		var texts []string
		for _, it := range s.history {
			if it.revision > after && strings.HasPrefix(it.key, q.Get("prefix")) {
				texts = append(texts, encodeItem(it))
			}
		}
		s.mu.Unlock()
		if down {
			hang(r)
		}
		if lost {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(texts) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-end.C:
				if s.isDown() {
					hang(r)
				}
			}
		}
		time.Sleep(s.answerDelay())
		answer(w, fmt.Sprintf(`{"events":[%s],"at":%d}`, strings.Join(texts, ","), at))
		return
	}
}

// mustJSON encodes a value that always can be encoded.
func mustJSON(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(b)
}
