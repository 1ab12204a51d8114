package server

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	goahttp "goa.design/goa/v3/http"

	"example.org/rattanwood"
	operatorsserver "example.org/rattanwood/gen/http/operators/server"
	requestsserver "example.org/rattanwood/gen/http/requests/server"
	genoperators "example.org/rattanwood/gen/operators"
	genrequests "example.org/rattanwood/gen/requests"
	"example.org/rattanwood/internal/listener"
	"example.org/rattanwood/router"
)

// closeTimeout limits the wait for HTTP requests in progress when the server stops.
const closeTimeout = 5 * time.Second

// handler returns the HTTP handler for Callers' requests, the operators' endpoints and metrics.
func (s *Server) handler() http.Handler {
	mux := goahttp.NewMuxer()
	decoder, encoder := goahttp.RequestDecoder, goahttp.ResponseEncoder
	fail := func(context.Context, http.ResponseWriter, error) { s.metrics.rejected.WithLabelValues("web").Inc() }
	requestsserver.Mount(mux, requestsserver.New(genrequests.NewEndpoints(&requests{server: s}), mux, decoder, encoder, fail, nil))
	operatorsserver.Mount(mux, operatorsserver.New(genoperators.NewEndpoints(&operators{server: s}), mux, decoder, encoder, fail, nil))
	mux.Handle(http.MethodGet, "/metrics", promhttp.HandlerFor(s.metrics.registry, promhttp.HandlerOpts{}).ServeHTTP)
	return mux
}

// serveWeb serves HTTP until ctx is cancelled.
func (s *Server) serveWeb(ctx context.Context) error {
	return listener.ServeHTTP(ctx, s.web, s.handler(), closeTimeout)
}

// operators implements the goa service for operators.
type operators struct {
	server *Server
}

// Health returns whether the balancer is serving, resuming after a pause (waking) or shutting down (leaving),
// and the document version in force.
func (o *operators) Health(context.Context) (*genoperators.HealthResult, error) {
	s := o.server
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &genoperators.HealthResult{State: "serving"}
	if s.core.Members.Resuming(s.now()) {
		r.State = "waking"
	}
	if s.core.ShuttingDown() {
		r.State = "leaving"
	}
	if c := s.core.Router.ActiveCatalog(); c != nil {
		r.Version = uint64(c.Version)
	}
	return r, nil
}

// Ready returns an error while the balancer shouldn't receive packets.
func (o *operators) Ready(context.Context) error {
	s := o.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.core.ShuttingDown() || s.core.Members.Resuming(s.now()) || s.core.Router.ActiveCatalog() == nil {
		return genoperators.MakeUnready(errNotReady)
	}
	return nil
}

// errNotReady is the cause of a failed readiness check.
var errNotReady = errors.New("leaving, waking or without a document")

// State is a snapshot of the balancer's tables, returned as JSON for debugging.
type State struct {
	VM          string `json:"vm"`
	Incarnation uint64 `json:"life"`
	// Newest is the newest document version known, and Adopted the one that new flows use.
	Newest  rattanwood.Version `json:"newest"`
	Adopted rattanwood.Version `json:"adopted"`
	// Watermark is the version for which all overrides have been replicated.
	Watermark rattanwood.Version `json:"base"`
	// LeaseValid is set while no live member can be acting on a change unknown to this balancer.
	LeaseValid bool `json:"fresh"`
	// WarmingUp is set for a while after the start or a pause of the process.
	WarmingUp bool `json:"young"`
	// Reader is set if this balancer reads documents from the platform.
	Reader    bool            `json:"reader"`
	Members   []MemberState   `json:"members"`
	Upstreams []UpstreamState `json:"marks"`
	// Counts holds the packets by decision.
	Counts map[string]uint64 `json:"counts"`
	// FlowCount is the size of the flow table, of which Flows lists a limited number of entries.
	FlowCount  int                 `json:"held"`
	Flows      []router.DumpedFlow `json:"flows"`
	ClaimCount int                 `json:"claims"`
	// RunningByUpstream holds the number of requests that this balancer runs on each upstream, by its id.
	RunningByUpstream map[string]int       `json:"running"`
	QueuedRequests    int                  `json:"waiting"`
	Document          *rattanwood.Document `json:"document"`
}

// MemberState is an entry of the member list in a State.
type MemberState struct {
	VM          rattanwood.VMID    `json:"vm"`
	State       string             `json:"state"`
	Leaving     bool               `json:"leaving,omitempty"`
	Incarnation uint64             `json:"life"`
	Version     rattanwood.Version `json:"version"`
	Address     string             `json:"address"`
}

// UpstreamState is the health state of one upstream in a State.
type UpstreamState struct {
	Upstream string `json:"upstream"`
	State    string `json:"state"`
	Seq      uint64 `json:"seq"`
}

// State returns a snapshot of the balancer's tables, with at most p.Rows flows.
func (o *operators) State(_ context.Context, p *genoperators.StatePayload) (any, error) {
	s := o.server
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	out := &State{
		VM:                s.cfg.Settings.VM,
		Incarnation:       uint64(s.cfg.Incarnation),
		Watermark:         s.core.Router.Watermark(),
		LeaseValid:        s.core.Members.LeaseExpiry(now) > now,
		WarmingUp:         s.core.Members.WarmingUp(now),
		Reader:            s.core.ReadsPlatform(),
		Counts:            packetCounts(s.core.Router.Counts()),
		FlowCount:         s.core.Router.FlowCount(),
		Flows:             s.core.Router.Dump(p.Rows),
		Members:           []MemberState{},
		Upstreams:         []UpstreamState{},
		ClaimCount:        s.claims.Len(),
		RunningByUpstream: map[string]int{},
		QueuedRequests:    s.slots.Waiting(),
	}
	if c := s.core.Router.NewestCatalog(); c != nil {
		out.Newest = c.Version
		out.Document = c.Document
	}
	if c := s.core.Router.ActiveCatalog(); c != nil {
		out.Adopted = c.Version
	}
	for id, n := range s.slots.Running() {
		out.RunningByUpstream[id.String()] = n
	}
	for _, m := range s.core.Members.Members() {
		out.Members = append(out.Members, MemberState{
			VM: m.VM, State: m.State.String(), Leaving: m.Leaving, Incarnation: uint64(m.Incarnation), Version: m.Version, Address: m.Address.String(),
		})
	}
	for _, m := range s.core.HealthTable.States() {
		out.Upstreams = append(out.Upstreams, UpstreamState{Upstream: m.Upstream.String(), State: m.Health.String(), Seq: m.Seq})
	}
	return out, nil
}
