package soaker

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/platform/emulator"
)

// pageRecords is the number of records on a page, few so that several are needed.
const pageRecords = 5

// pollTime is how often a waiting watch looks for changes.
const pollTime = 10 * time.Millisecond

// store stands in for the platform's store.
type store struct {
	mu  sync.Mutex
	log []rattanwood.Record
	// kept is the revision from which on the history is kept.
	kept  rattanwood.Revision
	busy  bool
	delay time.Duration
	lis   net.Listener
}

var _ rattanwood.Source = (*store)(nil)

// errBusy says that the store turns everybody away.
var errBusy = errors.New("turned away")

func newStore(address string) (*store, error) {
	lis, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &store{lis: lis}
	go func() {
		_ = (&http.Server{Handler: emulator.StoreHandler(s), ReadHeaderTimeout: time.Second}).Serve(lis)
	}()
	return s, nil
}

// put writes a value; an empty one deletes the key.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = append(s.log, rattanwood.Record{Key: key, Value: value, Revision: s.at() + 1, Deleted: len(value) == 0})
}

// at is the store's revision; mu is held.
func (s *store) at() rattanwood.Revision { return rattanwood.Revision(len(s.log)) }

// set changes how the store answers, and may drop its history.
func (s *store) set(busy bool, delay time.Duration, forget bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy, s.delay = busy, delay
	if forget {
		s.kept = s.at()
	}
}

func (s *store) enter(call string) error {
	s.mu.Lock()
	busy, delay := s.busy, s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	if busy {
		return &rattanwood.SourceError{Call: call, Reason: "busy", Cause: errBusy}
	}
	return nil
}

// List implements rattanwood.Source.
func (s *store) List(_ context.Context, after string) (rattanwood.Page, error) {
	return s.list(after, func(string) bool { return true })
}

// ListUpstreams implements rattanwood.Source.
func (s *store) ListUpstreams(_ context.Context, after string) (rattanwood.Page, error) {
	return s.list(after, func(key string) bool { return key != emulator.RoutingKey })
}

func (s *store) list(after string, match func(key string) bool) (rattanwood.Page, error) {
	if err := s.enter("list"); err != nil {
		return rattanwood.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := map[string]rattanwood.Record{}
	for _, r := range s.log {
		newest[r.Key] = r
	}
	p := rattanwood.Page{Revision: s.at()}
	for _, r := range newest {
		if !r.Deleted && r.Key > after && match(r.Key) {
			p.Records = append(p.Records, r)
		}
	}
	slices.SortFunc(p.Records, func(a, b rattanwood.Record) int { return strings.Compare(a.Key, b.Key) })
	if len(p.Records) > pageRecords {
		p.Records, p.More = p.Records[:pageRecords], true
	}
	return p, nil
}

// Watch implements rattanwood.Source.
func (s *store) Watch(ctx context.Context, after rattanwood.Revision, wait time.Duration) (rattanwood.Changes, error) {
	if err := s.enter("watch"); err != nil {
		return rattanwood.Changes{}, err
	}
	for end := time.Now().Add(wait); ; time.Sleep(pollTime) {
		s.mu.Lock()
		log, kept, at := s.log, s.kept, s.at()
		s.mu.Unlock()
		switch {
		case after < kept:
			return rattanwood.Changes{}, &rattanwood.LostHistoryError{After: after}
		case after < at || time.Now().After(end) || ctx.Err() != nil:
			return rattanwood.Changes{Records: log[min(after, at):], Revision: at}, nil
		}
	}
}
