// Package dialer keeps connections to other balancers and replaces those that went silent.
package dialer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/samber/oops"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
)

// idleMost is the largest number of unused connections to one balancer.
const idleMost = 4

// idleTime is how long an unused connection is kept.
const idleTime = 30 * time.Second

// Dialer is a pool of connections. It is safe for concurrent use.
type Dialer struct {
	mu     sync.Mutex
	idle   map[netip.AddrPort][]conn
	closed bool
	// Redials counts the connections that were given up.
	redials uint64
}

type conn struct {
	*drpcconn.Conn
	since time.Time
}

// New returns an empty pool.
func New() *Dialer {
	return &Dialer{idle: map[netip.AddrPort][]conn{}}
}

// Call runs an idempotent call. A kept connection that doesn't answer within
// half of the remaining time is closed, and the call runs again on a new one.
func (d *Dialer) Call(ctx context.Context, address netip.AddrPort, call func(context.Context, drpc.Conn) error) error {
	if c, ok := d.take(address); ok {
		if err := d.try(ctx, address, c, true, call); err == nil || ctx.Err() != nil {
			return err
		}
	}
	c, err := d.dial(ctx, address)
	if err != nil {
		return err
	}
	return d.try(ctx, address, c, false, call)
}

func (d *Dialer) try(ctx context.Context, address netip.AddrPort, c conn, kept bool, call func(context.Context, drpc.Conn) error) error {
	if deadline, ok := ctx.Deadline(); ok && kept {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Until(deadline)/2)
		defer cancel()
	}
	err := call(ctx, c)
	if err != nil {
		d.discard(c)
		return oops.Code("peer_call").With("peer", address.String()).Wrap(err)
	}
	d.put(address, c)
	return nil
}

func (d *Dialer) take(address netip.AddrPort) (conn, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for kept := d.idle[address]; len(kept) > 0; kept = d.idle[address] {
		c := kept[len(kept)-1]
		d.idle[address] = kept[:len(kept)-1]
		if time.Since(c.since) < idleTime {
			return c, true
		}
		_ = c.Close()
	}
	return conn{}, false
}

func (d *Dialer) put(address netip.AddrPort, c conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || len(d.idle[address]) >= idleMost {
		_ = c.Close()
		return
	}
	c.since = time.Now()
	d.idle[address] = append(d.idle[address], c)
}

func (d *Dialer) discard(c conn) {
	d.mu.Lock()
	d.redials++
	d.mu.Unlock()
	_ = c.Close()
}

func (d *Dialer) dial(ctx context.Context, address netip.AddrPort) (conn, error) {
	var n net.Dialer
	raw, err := n.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return conn{}, oops.Code("peer_dial").With("peer", address.String()).Wrap(err)
	}
	return conn{Conn: drpcconn.New(raw)}, nil
}

// Redials returns the number of connections that were given up.
func (d *Dialer) Redials() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.redials
}

// Close closes all unused connections.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for _, kept := range d.idle {
		for _, c := range kept {
			_ = c.Close()
		}
	}
	d.idle = nil
}
