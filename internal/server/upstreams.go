package server

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/marker"
)

// Headers of requests to upstreams and of their responses. A response should repeat the request's id.
const (
	headerID       = "Request-Id"
	headerService  = "Service"
	headerDeadline = "Deadline"
	headerRun      = "Run"
)

// runHeaderNone is the value of the Run header by which an upstream says that it did not start a request.
const runHeaderNone = "none"

// maxResponseBytes is the largest response body that is accepted from an upstream.
const maxResponseBytes = 1 << 20

// maxIdleConnsPerUpstream is the number of idle HTTP connections kept open to one upstream.
const maxIdleConnsPerUpstream = 8

// upstreams is the HTTP client for requests and health checks, shared by all upstreams.
type upstreams struct {
	http *http.Client
	// mu guards namesRequests.
	mu sync.Mutex
	// namesRequests holds the upstreams whose last response named its request. Only their connections are
	// reused: on the others, a late second copy of a response would be taken for that of the next request.
	namesRequests map[netip.AddrPort]bool
}

func newUpstreams() *upstreams {
	return &upstreams{
		http: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: maxIdleConnsPerUpstream,
				IdleConnTimeout:     30 * time.Second,
			},
			// A request that is sent on to another address might run twice.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		namesRequests: map[netip.AddrPort]bool{},
	}
}

// reusesConnections reports whether connections to an upstream may be reused.
func (u *upstreams) reusesConnections(web netip.AddrPort) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.namesRequests[web]
}

func (u *upstreams) setNamesRequests(web netip.AddrPort, names bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if names {
		u.namesRequests[web] = true
	} else {
		delete(u.namesRequests, web)
	}
}

// checkHealth asks an upstream for its health state. An upstream without a valid response within the
// timeout is down.
func (u *upstreams) checkHealth(ctx context.Context, web netip.AddrPort, timeout time.Duration) marker.Health {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+web.String()+"/health", nil)
	if err != nil {
		return marker.Down
	}
	// A late response to an earlier request must not be taken for a health state.
	req.Close = true
	res, err := u.http.Do(req)
	if err != nil {
		return marker.Down
	}
	defer func() { _ = res.Body.Close() }()
	var h struct {
		State string `json:"state"`
	}
	if res.StatusCode != http.StatusOK || json.NewDecoder(io.LimitReader(res.Body, maxResponseBytes)).Decode(&h) != nil {
		return marker.Down
	}
	if h.State == "draining" {
		return marker.Draining
	}
	return marker.Healthy
}

// NotRunError reports a request that an upstream certainly did not start, so that it can be sent again.
type NotRunError struct {
	// Reason is request (none could be built), deadline (it had passed), dial (no connection) or shed (the
	// upstream says that it did not start the request).
	Reason string
}

// Error returns a message with the reason.
func (e *NotRunError) Error() string { return "request not run by the upstream: " + e.Reason }

// IncompleteResponseError reports a request that an upstream may have run, but to which it gave no complete
// response.
type IncompleteResponseError struct {
	Cause error
}

// Error returns a message with the cause.
func (e *IncompleteResponseError) Error() string {
	return "no complete response from the upstream: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *IncompleteResponseError) Unwrap() error { return e.Cause }

// upstreamRequest is a Caller's request with the upstream that it is sent to.
type upstreamRequest struct {
	web     netip.AddrPort
	service rattanwood.ServiceID
	id      rattanwood.RequestID
	body    string
}

// send runs a request on an upstream and returns the response body. The upstream is told the time left
// until ctx's deadline. Errors are a NotRunError or an IncompleteResponseError.
func (u *upstreams) send(ctx context.Context, r upstreamRequest) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.web.String()+"/run", bytes.NewReader([]byte(r.body)))
	if err != nil {
		return nil, &NotRunError{Reason: "request"}
	}
	// Without GetBody the transport can't rewind the body, and so never sends the request a second time.
	req.GetBody = nil
	req.Header.Set(headerID, string(r.id))
	req.Header.Set(headerService, string(r.service))
	if deadline, ok := ctx.Deadline(); ok {
		remaining := time.Until(deadline)
		if remaining <= 0 {
			return nil, &NotRunError{Reason: "deadline"}
		}
		req.Header.Set(headerDeadline, strconv.FormatInt(remaining.Milliseconds(), 10))
	}
	reused := u.reusesConnections(r.web)
	req.Close = !reused
	res, err := u.http.Do(req)
	if err != nil {
		return nil, classifySendError(err)
	}
	defer func() { _ = res.Body.Close() }()
	named := res.Header.Get(headerID)
	u.setNamesRequests(r.web, named == string(r.id))
	if named != string(r.id) && (named != "" || reused) {
		return nil, &IncompleteResponseError{Cause: errOtherRequest}
	}
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes+1))
	switch {
	case res.Header.Get(headerRun) == runHeaderNone:
		return nil, &NotRunError{Reason: "shed"}
	case err != nil:
		return nil, &IncompleteResponseError{Cause: err}
	case res.StatusCode != http.StatusOK:
		return nil, &IncompleteResponseError{Cause: &StatusError{Status: res.StatusCode}}
	case len(data) > maxResponseBytes:
		return nil, &IncompleteResponseError{Cause: errTooLong}
	case res.ContentLength < 0 && len(res.TransferEncoding) == 0 && !res.Uncompressed:
		return nil, &IncompleteResponseError{Cause: errUnknownLength}
	}
	return data, nil
}

// classifySendError distinguishes a connection that was never established, over which nothing was sent,
// from one that broke.
func classifySendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &NotRunError{Reason: "dial"}
	}
	return &IncompleteResponseError{Cause: err}
}

// Causes of an IncompleteResponseError: the response names another request, or none although the upstream named
// those before; it is longer than maxResponseBytes; or it has neither a length nor chunks, so that a broken
// connection looks like its end.
var (
	errOtherRequest  = errors.New("response to another request")
	errTooLong       = errors.New("response is too long")
	errUnknownLength = errors.New("response of unknown length")
)

// StatusError reports a response with an unexpected HTTP status.
type StatusError struct {
	Status int
}

// Error returns a message with the status.
func (e *StatusError) Error() string { return "unexpected HTTP status " + strconv.Itoa(e.Status) }
