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

// closeTimeout is how long running requests may take to finish when the HTTP server is shut down.
const closeTimeout = time.Second

// handler returns the handler of the HTTP server.
func (n *Node) handler() http.Handler {
	mux := goahttp.NewMuxer()
	fail := func(context.Context, http.ResponseWriter, error) { n.countRejected("web") }
	endpoints := genoperators.NewEndpoints(&operators{node: n})
	operatorsserver.Mount(mux, operatorsserver.New(endpoints, mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, fail, nil))
	mux.Handle(http.MethodGet, "/metrics", promhttp.HandlerFor(n.registry(), promhttp.HandlerOpts{}).ServeHTTP)
	return mux
}

// serveWeb serves the operators' endpoints, metrics, and the readiness check of the fabric.
func (n *Node) serveWeb(ctx context.Context) error {
	return listener.ServeHTTP(ctx, n.web, n.handler(), closeTimeout)
}

// operators implements the generated interface of the operators' endpoints.
type operators struct {
	node *Node
}

// NotReadyError reports why the fabric should send no packets to this balancer.
type NotReadyError struct {
	Reason string
}

// Error returns the reason.
func (e *NotReadyError) Error() string { return "not ready: " + e.Reason }

// Ready fails until this balancer has all records and has heard another one, while it is shutting down, and while others
// can serve new flows but this one can't.
func (o *operators) Ready(context.Context) error {
	n := o.node
	if n.shuttingDown.Load() {
		return genoperators.MakeUnready(&NotReadyError{Reason: "leaving"})
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	reason := ""
	switch {
	case !n.ready:
		reason = "no records"
	case !n.messenger.InTouch():
		// Flows that arrive nevertheless are placed, but none should be sent here that others couldn't be told of.
		reason = "no other balancer was heard"
	case !n.rotator.Stays():
		reason = "no upstream within reach"
	default:
		return nil
	}
	return genoperators.MakeUnready(&NotReadyError{Reason: reason})
}

// Health returns whether the balancer serves, starts or shuts down, and the version of its routes.
func (o *operators) Health(ctx context.Context) (*genoperators.HealthResult, error) {
	n := o.node
	r := &genoperators.HealthResult{State: "serving"}
	if o.Ready(ctx) != nil {
		r.State = "waking"
	}
	if n.shuttingDown.Load() {
		r.State = "leaving"
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	r.Version = uint64(n.tagger.Version())
	return r, nil
}

// State returns a dump of the tables as far as it is asked for.
func (o *operators) State(_ context.Context, p *genoperators.StatePayload) (any, error) {
	return o.node.dump(p.Rows, p.Upstreams), nil
}
