// Package reader is the HTTP client of the platform's configuration service. It neither decodes nor checks
// documents.
package reader

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/samber/oops"

	"example.org/rattanwood"
	"example.org/rattanwood/checker"
)

// StatusError reports an HTTP status of the platform other than 200 and 204.
type StatusError struct {
	Status int
}

// Error returns the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("platform answered with HTTP status %d", e.Status)
}

// Client implements rattanwood.Platform over HTTP.
type Client struct {
	base string
	http *http.Client
}

var _ rattanwood.Platform = (*Client)(nil)

// New returns a client of the platform at an address, an IP address with a port.
func New(address string) *Client {
	return &Client{base: "http://" + address, http: &http.Client{}}
}

// Document returns the published document, still encoded.
func (c *Client) Document(ctx context.Context) ([]byte, error) {
	return c.get(ctx, "/document")
}

// Watch waits for a document with a version above after, for up to a minute if ctx has no deadline, and
// otherwise for three quarters of the time left, so that the answer arrives before the deadline. It returns
// no bytes if there is no such document.
func (c *Client) Watch(ctx context.Context, after rattanwood.Version) ([]byte, error) {
	wait := time.Minute
	if deadline, ok := ctx.Deadline(); ok {
		wait = time.Until(deadline) * 3 / 4
	}
	return c.get(ctx, fmt.Sprintf("/document?after=%d&wait=%d", after, wait.Milliseconds()))
}

// VMs returns the list of VMs that run or are about to be removed.
func (c *Client) VMs(ctx context.Context) ([]rattanwood.VM, error) {
	data, err := c.get(ctx, "/vms")
	if err != nil {
		return nil, err
	}
	var vms []rattanwood.VM
	if err := json.Unmarshal(data, &vms); err != nil {
		return nil, oops.Code("platform_vms").Wrap(&rattanwood.SyntaxError{File: "vms", Cause: err})
	}
	return vms, nil
}

// get fetches a path. It returns no bytes for the status 204, and reads at most one byte more than the
// largest valid document, which suffices for checker.Parse to reject a document that is too large.
func (c *Client) get(ctx context.Context, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return nil, oops.Code("platform_request").Wrap(err)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, oops.Code("platform_down").Wrap(err)
	}
	defer func() { _ = res.Body.Close() }()
	switch res.StatusCode {
	case http.StatusNoContent:
		return nil, nil
	case http.StatusOK:
	default:
		return nil, oops.Code("platform_status").Wrap(&StatusError{Status: res.StatusCode})
	}
	data, err := io.ReadAll(io.LimitReader(res.Body, checker.MaxDocumentSize+1))
	if err != nil {
		return nil, oops.Code("platform_read").Wrap(err)
	}
	return data, nil
}
