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
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/marker"
)

// Headers of the HTTP interface of upstreams.
const (
	headerID       = "Request-Id"
	headerService  = "Service"
	headerDeadline = "Deadline"
	headerRun      = "Run"
)

// runNone is the value of the Run header on an answer of an upstream that did not begin a request.
const runNone = "none"

// answerMost is the largest answer of an upstream in bytes.
const answerMost = 1 << 20

// idlePerUpstream is the number of kept connections to one upstream.
const idlePerUpstream = 8

// upstreams is the HTTP client of all upstreams.
type upstreams struct {
	http *http.Client
}

func newUpstreams() *upstreams {
	return &upstreams{http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: idlePerUpstream,
		IdleConnTimeout:     30 * time.Second,
	}}}
}

// health asks an upstream for its state.
func (u *upstreams) health(ctx context.Context, web netip.AddrPort, deadline time.Duration) marker.Health {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+web.String()+"/health", nil)
	if err != nil {
		return marker.Down
	}
	res, err := u.http.Do(req)
	if err != nil {
		return marker.Down
	}
	defer func() { _ = res.Body.Close() }()
	var h struct {
		State string `json:"state"`
	}
	if res.StatusCode != http.StatusOK || json.NewDecoder(io.LimitReader(res.Body, answerMost)).Decode(&h) != nil {
		return marker.Down
	}
	if h.State == "draining" {
		return marker.Draining
	}
	return marker.Healthy
}

// NotRunError reports a request that an upstream certainly did not begin.
type NotRunError struct {
	Reason string
}

// Error names the reason.
func (e *NotRunError) Error() string { return "upstream did not run the request: " + e.Reason }

// IncompleteResponseError reports a request that an upstream may have run, without a whole answer.
type IncompleteResponseError struct {
	Cause error
}

// Error names the cause.
func (e *IncompleteResponseError) Error() string {
	return "no whole answer from the upstream: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *IncompleteResponseError) Unwrap() error { return e.Cause }

// order is a request as an upstream gets it.
type order struct {
	web     netip.AddrPort
	service rattanwood.ServiceID
	id      rattanwood.RequestID
	body    string
}

// send runs a request on an upstream; ctx's deadline travels with it.
func (u *upstreams) send(ctx context.Context, o order) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+o.web.String()+"/run", bytes.NewReader([]byte(o.body)))
	if err != nil {
		return nil, &NotRunError{Reason: "request"}
	}
	// A body that can't be read again keeps the transport from sending the request twice by itself.
	req.GetBody = nil
	req.Header.Set(headerID, string(o.id))
	req.Header.Set(headerService, string(o.service))
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline)
		if left <= 0 {
			return nil, &NotRunError{Reason: "deadline"}
		}
		req.Header.Set(headerDeadline, strconv.FormatInt(left.Milliseconds(), 10))
	}
	res, err := u.http.Do(req)
	if err != nil {
		return nil, sendError(err)
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, answerMost))
	switch {
	case res.Header.Get(headerRun) == runNone:
		return nil, &NotRunError{Reason: "shed"}
	case err != nil:
		return nil, &IncompleteResponseError{Cause: err}
	case res.StatusCode != http.StatusOK:
		return nil, &IncompleteResponseError{Cause: &StatusError{Status: res.StatusCode}}
	}
	return data, nil
}

// sendError tells a connection that was never made from one that broke.
func sendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &NotRunError{Reason: "dial"}
	}
	return &IncompleteResponseError{Cause: err}
}

// StatusError reports an answer with an unexpected HTTP status.
type StatusError struct {
	Status int
}

// Error names the status.
func (e *StatusError) Error() string { return "status " + strconv.Itoa(e.Status) }
