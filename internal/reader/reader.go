// Package reader is the client of the platform's read-only configuration service.
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

// StatusError reports an answer of the platform other than a value.
type StatusError struct {
	Status int
}

// Error names the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("platform answered with status %d", e.Status)
}

// Client reads the platform over HTTP; it implements rattanwood.Platform.
type Client struct {
	base string
	http *http.Client
}

var _ rattanwood.Platform = (*Client)(nil)

// New returns a client of the platform at an IP number and port.
func New(address string) *Client {
	return &Client{base: "http://" + address, http: &http.Client{}}
}

// Document returns the published document.
func (c *Client) Document(ctx context.Context) ([]byte, error) {
	return c.get(ctx, "/document")
}

// Watch waits until the version is above after, or for most of ctx's time.
// It returns no bytes if nothing has changed.
func (c *Client) Watch(ctx context.Context, after rattanwood.Version) ([]byte, error) {
	wait := time.Minute
	if deadline, ok := ctx.Deadline(); ok {
		wait = time.Until(deadline) * 3 / 4
	}
	return c.get(ctx, fmt.Sprintf("/document?after=%d&wait=%d", after, wait.Milliseconds()))
}

// VMs returns the list of live and leaving VMs.
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
