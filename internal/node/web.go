package node

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	goahttp "goa.design/goa/v3/http"

	operatorsserver "example.org/rattanwood/gen/http/operators/server"
	genoperators "example.org/rattanwood/gen/operators"
	"example.org/rattanwood/internal/listener"
)

// closeDeadline bounds the wait for requests under way when the web server ends.
const closeDeadline = time.Second

// handler returns the routes of the web server.
func (n *Node) handler() http.Handler {
	mux := goahttp.NewMuxer()
	fail := func(context.Context, http.ResponseWriter, error) { n.refuse("web") }
	endpoints := genoperators.NewEndpoints(&operators{node: n})
	operatorsserver.Mount(mux, operatorsserver.New(endpoints, mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, fail, nil))
	mux.Handle(http.MethodGet, "/metrics", promhttp.HandlerFor(n.registry(), promhttp.HandlerOpts{}).ServeHTTP)
	return mux
}

// serveWeb serves the operators' pages and the fabric's question whether this balancer is ready.
func (n *Node) serveWeb(ctx context.Context) error {
	return listener.ServeHTTP(ctx, n.web, n.handler(), closeDeadline)
}

// operators implements the operators service.
type operators struct {
	node *Node
}

// NotReadyError reports that a balancer shouldn't get packets.
type NotReadyError struct {
	Reason string
}

// Error names the reason.
func (e *NotReadyError) Error() string { return "not ready: " + e.Reason }

// Ready fails while this balancer has no records or is leaving.
func (o *operators) Ready(context.Context) error {
	n := o.node
	if n.leaving.Load() {
		return genoperators.MakeUnready(&NotReadyError{Reason: "leaving"})
	}
	select {
	case <-n.whole:
		return nil
	default:
		return genoperators.MakeUnready(&NotReadyError{Reason: "no records"})
	}
}

// Health says whether the balancer serves.
func (o *operators) Health(ctx context.Context) (*genoperators.HealthResult, error) {
	n := o.node
	r := &genoperators.HealthResult{State: "serving"}
	if o.Ready(ctx) != nil {
		r.State = "waking"
	}
	if n.leaving.Load() {
		r.State = "leaving"
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	r.Version = uint64(n.flows.Version())
	return r, nil
}

// State dumps the tables.
func (o *operators) State(_ context.Context, p *genoperators.StatePayload) (any, error) {
	return o.node.dump(p.Rows), nil
}
