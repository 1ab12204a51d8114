package main

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is an item of the store.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is the platform's metadata store.
type store struct {
	mu     sync.Mutex
	items  map[string]storeItem
	events []storeItem
	// written holds when each event was written; discarded is the revision up to which the history is gone.
	written   []time.Time
	discarded uint64
	revision  uint64
	changed   chan struct{}
	// page is the largest number of items in a listing's answer, and pageBytes that of their bytes.
	page, pageBytes int
	// linkRate is the rate of each machine's link in bytes a second; zero means any.
	linkRate int
	// lastWatch holds when each machine sent its newest watch.
	lastWatch map[string]time.Time
	// silent holds the machines that get no answer.
	silent map[string]bool
	log    *recorder
}

func newStore(log *recorder, page int) *store {
	return &store{items: map[string]storeItem{}, revision: 100, changed: make(chan struct{}), page: page, pageBytes: 1 << 20, lastWatch: map[string]time.Time{}, silent: map[string]bool{}, log: log}
}

// put writes an item and returns when the store acknowledged it.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := storeItem{Key: key, Value: data, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.publish(it)
	return time.Now()
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.publish(storeItem{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) publish(it storeItem) {
	s.events, s.written = append(s.events, it), append(s.written, time.Now())
	s.discard()
	close(s.changed)
	s.changed = make(chan struct{})
}

// history is how long the store keeps its changes, the setting history_s.
const history = 20 * time.Second

// discard forgets the changes that are older than history.
func (s *store) discard() {
	for len(s.written) > 0 && time.Since(s.written[0]) > history {
		s.discarded = s.events[0].Revision
		s.events, s.written = s.events[1:], s.written[1:]
	}
}

// reader returns the machine that watches, or nothing unless just one has watched in the last 2.5 s.
func (s *store) reader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	reader := ""
	for m, t := range s.lastWatch {
		if time.Since(t) > 2500*time.Millisecond {
			continue
		}
		if reader != "" {
			return ""
		}
		reader = m
	}
	return reader
}

// watchedAt returns when a machine sent its newest watch.
func (s *store) watchedAt(machine string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastWatch[machine]
}

// newestReader returns the machine that sent the newest watch.
func (s *store) newestReader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest, at := "", time.Time{}
	for m, t := range s.lastWatch {
		if t.After(at) {
			newest, at = m, t
		}
	}
	s.log.note("newest watches: %v", s.lastWatch)
	return newest
}

// answerDelay is the time that the store takes for an answer.
const answerDelay = 4 * time.Millisecond

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.handleRange)
	mux.HandleFunc("GET /kv-watch", s.handleWatch)
	return mux
}

// machineKey is the key of the calling machine in the context of a call.
type machineKey struct{}

// listen serves the store to a machine at an address of its own: calls over loopback don't show who sent them.
func (s *store) listen(address, machine string) (netip.AddrPort, error) {
	lis, err := net.Listen("tcp4", address)
	if err != nil {
		return netip.AddrPort{}, err
	}
	srv := &http.Server{Handler: s.handler(), BaseContext: func(net.Listener) context.Context {
		return context.WithValue(context.Background(), machineKey{}, machine)
	}}
	go func() { _ = srv.Serve(lis) }()
	return netip.MustParseAddrPort(lis.Addr().String()), nil
}

func machineOf(r *http.Request) string {
	machine, _ := r.Context().Value(machineKey{}).(string)
	return machine
}

// setSilent makes the store give no answers to a machine.
func (s *store) setSilent(machine string, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent[machine] = silent
}

func (s *store) isSilent(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent[machineOf(r)]
}

// reply sends an answer at the rate of the machine's link.
func (s *store) reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	const slices = 100
	for part := range slices {
		from, to := len(data)*part/slices, len(data)*(part+1)/slices
		if _, err := w.Write(data[from:to]); err != nil {
			return
		}
		if s.linkRate > 0 {
			_ = http.NewResponseController(w).Flush()
			time.Sleep(time.Duration(to-from) * time.Second / time.Duration(s.linkRate))
		}
	}
}

func (s *store) handleRange(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerDelay)
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []storeItem{}
	for k, it := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	size, n := 0, 0
	for n < min(len(items), s.page) {
		if size += base64.StdEncoding.EncodedLen(len(items[n].Value)) + 100; n > 0 && size > s.pageBytes {
			break
		}
		n++
	}
	more := len(items) > n
	items = items[:n]
	at := s.revision
	s.mu.Unlock()
	s.log.note("store: %s lists %q after %q: %d items at %d, more %v", machineOf(r), prefix, after, len(items), at, more)
	if s.isSilent(r) {
		<-r.Context().Done()
		return
	}
	s.reply(w, map[string]any{"items": items, "has_more": more, "at": at})
}

func (s *store) handleWatch(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerDelay)
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	s.mu.Lock()
	s.lastWatch[machineOf(r)] = time.Now()
	s.mu.Unlock()
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		s.discard()
		if after < s.discarded {
			s.mu.Unlock()
			http.Error(w, "this history is gone", http.StatusGone)
			return
		}
		events := []storeItem{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		done := len(events) > 0
		if !done {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-limit:
			}
		}
		if s.isSilent(r) {
			<-r.Context().Done()
			return
		}
		if done {
			size := 0
			for _, e := range events {
				size += len(e.Value)
			}
			s.log.note("store: %s watched after %d: %d events of %d bytes, at %d", machineOf(r), after, len(events), size, at)
		}
		s.reply(w, map[string]any{"events": events, "at": at})
		return
	}
}
