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

// pageSize is the number of records on a page of a listing, small enough that listings take several
// pages.
const pageSize = 5

// pollInterval is the time between two checks for changes in a waiting watch, and between two checks
// whether all balancers are ready.
const pollInterval = 10 * time.Millisecond

// store stands in for the platform's store of registrations and routing. It can reject or delay calls
// and drop its history, and come back from an older copy of itself.
type store struct {
	mu      sync.Mutex
	records []rattanwood.Record
	// writtenAt holds the time of each of records.
	writtenAt []time.Time
	// era counts how often the store came back from a copy.
	era rattanwood.Era
	// historyStart is the oldest revision that a watch can start from.
	historyStart rattanwood.Revision
	rejecting    bool
	delay        time.Duration
	listener     net.Listener
}

var _ rattanwood.Source = (*store)(nil)

// errCallRejected is the cause of errors while the store rejects all calls.
var errCallRejected = errors.New("store rejects all calls")

func newStore(address string) (*store, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &store{listener: listener}
	go func() {
		_ = (&http.Server{Handler: emulator.StoreHandler(s), ReadHeaderTimeout: time.Second}).Serve(listener)
	}()
	return s, nil
}

// put writes a value; an empty value deletes the key.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, rattanwood.Record{Key: key, Value: value, Position: s.position() + 1, Deleted: len(value) == 0})
	s.writtenAt = append(s.writtenAt, time.Now())
}

// revision returns the store's current revision. The caller holds mu.
func (s *store) revision() rattanwood.Revision { return rattanwood.Revision(len(s.records)) }

// position returns the store's current position. The caller holds mu.
func (s *store) position() rattanwood.Position { return rattanwood.NewPosition(s.era, s.revision()) }

// rewind loses all that was written during the last d, and begins a new era.
func (s *store) rewind(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := time.Now().Add(-d)
	n, _ := slices.BinarySearchFunc(s.writtenAt, lost, time.Time.Compare)
	s.era++
	s.records, s.writtenAt = slices.Clone(s.records[:n]), slices.Clone(s.writtenAt[:n])
	for i := range s.records {
		s.records[i].Position = rattanwood.NewPosition(s.era, rattanwood.Revision(i+1))
	}
	s.historyStart = min(s.historyStart, s.revision())
}

// value returns the value of a key, or nil if it has none.
func (s *store) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range slices.Backward(s.records) {
		if r.Key == key {
			return r.Value
		}
	}
	return nil
}

// setFaults sets whether calls are rejected and how long they are delayed. With dropHistory, watches
// can no longer start from earlier revisions.
func (s *store) setFaults(rejecting bool, delay time.Duration, dropHistory bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejecting, s.delay = rejecting, delay
	if dropHistory {
		s.historyStart = s.revision()
	}
}

// beginCall delays a call and fails while the store rejects calls.
func (s *store) beginCall(call string) error {
	s.mu.Lock()
	rejecting, delay := s.rejecting, s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	if rejecting {
		return &rattanwood.SourceError{Call: call, Reason: "busy", Cause: errCallRejected}
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

// list returns a page of the records that match, aren't deleted and have keys after the given one, sorted
// by key.
func (s *store) list(after string, match func(key string) bool) (rattanwood.Page, error) {
	if err := s.beginCall("list"); err != nil {
		return rattanwood.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	latest := map[string]rattanwood.Record{}
	for _, r := range s.records {
		latest[r.Key] = r
	}
	page := rattanwood.Page{Position: s.position()}
	for _, r := range latest {
		if !r.Deleted && r.Key > after && match(r.Key) {
			page.Records = append(page.Records, r)
		}
	}
	slices.SortFunc(page.Records, func(a, b rattanwood.Record) int { return strings.Compare(a.Key, b.Key) })
	if len(page.Records) > pageSize {
		page.Records, page.More = page.Records[:pageSize], true
	}
	return page, nil
}

// Watch implements rattanwood.Source.
func (s *store) Watch(ctx context.Context, after rattanwood.Position, wait time.Duration) (rattanwood.Changes, error) {
	if err := s.beginCall("watch"); err != nil {
		return rattanwood.Changes{}, err
	}
	for end := time.Now().Add(wait); ; time.Sleep(pollInterval) {
		s.mu.Lock()
		records, historyStart, position := s.records, s.historyStart, s.position()
		s.mu.Unlock()
		known, revision := after.Revision(), position.Revision()
		switch {
		case known < historyStart, known > revision:
			return rattanwood.Changes{}, &rattanwood.LostHistoryError{After: after}
		case known < revision || time.Now().After(end) || ctx.Err() != nil:
			return rattanwood.Changes{Records: records[known:], Position: position}, nil
		}
	}
}
