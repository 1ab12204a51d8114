// Package platform simulates the platform's configuration service, which balancers read the document
// and the list of VMs from. The demo publishes through the same HTTP server, and can make the service
// fail or return an outdated document.
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

// Modes of the service, set through PUT /mode.
const (
	// ModeUp serves the document that was published last.
	ModeUp = "up"
	// ModeDown answers reads of the document and the VM list with 503.
	ModeDown = "down"
	// ModeStale serves the document that was published first.
	ModeStale = "stale"
)

// documentPollInterval is how often a pending long poll checks for a newer document.
const documentPollInterval = 20 * time.Millisecond

// Config holds the command-line arguments of the simulated configuration service.
type Config struct {
	Listen string `arg:"" help:"IP address and port to listen on."`
}

// publishedDocument is a document as it was published, with its version decoded.
type publishedDocument struct {
	version rattanwood.Version
	data    []byte
}

// configService holds the published documents and VM list, the mode and the number of reads.
type configService struct {
	mu        sync.Mutex
	documents []publishedDocument
	vms       []byte
	mode      string
	calls     int
}

// Run serves until ctx is cancelled.
func (c *Config) Run(ctx context.Context) error {
	s := &configService{mode: ModeUp, vms: []byte("[]")}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /document", s.handleGetDocument)
	mux.HandleFunc("GET /vms", s.handleGetVMs)
	mux.HandleFunc("PUT /document", s.handlePutDocument)
	mux.HandleFunc("PUT /vms", s.handlePutVMs)
	mux.HandleFunc("PUT /mode", s.handlePutMode)
	mux.HandleFunc("GET /calls", s.handleGetCalls)
	return Serve(ctx, c.Listen, mux)
}

// Serve runs an HTTP server until ctx is cancelled.
func Serve(ctx context.Context, listen string, h http.Handler) error {
	srv := &http.Server{Addr: listen, Handler: h, ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// ListActiveVMs fetches the VM list of the service at address and returns the IP addresses of the
// VMs that are not leaving. ok is false if the service could not be read.
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

// admitCall counts a read. In ModeDown it answers 503 and returns false.
func (s *configService) admitCall(w http.ResponseWriter) bool {
	s.mu.Lock()
	s.calls++
	down := s.mode == ModeDown
	s.mu.Unlock()
	if down {
		http.Error(w, "down", http.StatusServiceUnavailable)
	}
	return !down
}

// currentDocument returns the document to serve: in ModeStale the one that was published first,
// otherwise the last one. It returns false if none was published.
func (s *configService) currentDocument() (publishedDocument, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.documents) == 0 {
		return publishedDocument{}, false
	}
	if s.mode == ModeStale {
		return s.documents[0], true
	}
	return s.documents[len(s.documents)-1], true
}

// handleGetDocument is a long poll: it answers as soon as there is a document newer than version
// "after", or with 204 after "wait" milliseconds. In ModeStale it answers at once, whatever the version.
func (s *configService) handleGetDocument(w http.ResponseWriter, r *http.Request) {
	if !s.admitCall(w) {
		return
	}
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		v, ok := s.currentDocument()
		if ok && (uint64(v.version) > after || s.isStale()) {
			_, _ = w.Write(v.data)
			return
		}
		if time.Now().After(deadline) || r.Context().Err() != nil {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		time.Sleep(documentPollInterval)
	}
}

func (s *configService) isStale() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode == ModeStale
}

func (s *configService) handlePutDocument(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	var doc rattanwood.Document
	if err != nil || json.Unmarshal(data, &doc) != nil {
		http.Error(w, "not a document", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.documents = append(s.documents, publishedDocument{version: doc.Version, data: data})
}

func (s *configService) handleGetVMs(w http.ResponseWriter, _ *http.Request) {
	if !s.admitCall(w) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = w.Write(s.vms)
}

func (s *configService) handlePutVMs(_ http.ResponseWriter, r *http.Request) {
	data, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = data
}

func (s *configService) handlePutMode(_ http.ResponseWriter, r *http.Request) {
	data, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = string(data)
}

func (s *configService) handleGetCalls(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.calls)
}
