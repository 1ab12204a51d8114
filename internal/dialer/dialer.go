// Package dialer is a pool of RPC connections to other balancers. It replaces connections that no longer
// answer.
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
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"
)

// maxIdleConns is the number of idle connections that are kept to one balancer.
const maxIdleConns = 4

// maxReplySize is the largest reply in bytes: all records of the largest fleet, and some large ones.
const maxReplySize = 64 << 20

// idleTimeout is how long an idle connection is kept.
const idleTimeout = 30 * time.Second

// Dialer is a connection pool. It is safe for concurrent use.
type Dialer struct {
	mu     sync.Mutex
	idle   map[netip.AddrPort][]pooledConn
	closed bool
	// redials counts the connections that were closed after a failed call.
	redials uint64
}

// pooledConn is a connection with the time at which it was last put into the pool.
type pooledConn struct {
	*drpcconn.Conn
	idleSince time.Time
}

// New returns an empty pool.
func New() *Dialer {
	return &Dialer{idle: map[netip.AddrPort][]pooledConn{}}
}

// Call runs an idempotent call on an idle connection or a new one. An idle connection on which the call fails
// or doesn't end within half of the remaining time is closed, and the call runs again on a new connection.
func (d *Dialer) Call(ctx context.Context, address netip.AddrPort, call func(context.Context, drpc.Conn) error) error {
	if c, ok := d.takeIdle(address); ok {
		if err := d.callOn(ctx, address, c, true, call); err == nil || ctx.Err() != nil {
			return err
		}
	}
	c, err := d.dial(ctx, address)
	if err != nil {
		return err
	}
	return d.callOn(ctx, address, c, false, call)
}

// callOn runs a call on a connection, which it then releases, or closes if the call failed. A reused
// connection gets only half of the remaining time.
func (d *Dialer) callOn(ctx context.Context, address netip.AddrPort, c pooledConn, reused bool, call func(context.Context, drpc.Conn) error) error {
	if deadline, ok := ctx.Deadline(); ok && reused {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Until(deadline)/2)
		defer cancel()
	}
	err := call(ctx, c)
	if err != nil {
		d.discard(c)
		return oops.Code("peer_call").With("peer", address.String()).Wrap(err)
	}
	d.release(address, c)
	return nil
}

// takeIdle removes the most recently used idle connection from the pool, and closes expired ones.
func (d *Dialer) takeIdle(address netip.AddrPort) (pooledConn, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for idle := d.idle[address]; len(idle) > 0; idle = d.idle[address] {
		c := idle[len(idle)-1]
		d.idle[address] = idle[:len(idle)-1]
		if time.Since(c.idleSince) < idleTimeout {
			return c, true
		}
		_ = c.Close()
	}
	return pooledConn{}, false
}

// release puts a connection back in the pool, or closes it if the pool is full or closed.
func (d *Dialer) release(address netip.AddrPort, c pooledConn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || len(d.idle[address]) >= maxIdleConns {
		_ = c.Close()
		return
	}
	c.idleSince = time.Now()
	d.idle[address] = append(d.idle[address], c)
}

// discard closes a connection after a failed call.
func (d *Dialer) discard(c pooledConn) {
	d.mu.Lock()
	d.redials++
	d.mu.Unlock()
	_ = c.Close()
}

func (d *Dialer) dial(ctx context.Context, address netip.AddrPort) (pooledConn, error) {
	var n net.Dialer
	raw, err := n.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return pooledConn{}, oops.Code("peer_dial").With("peer", address.String()).Wrap(err)
	}
	return pooledConn{Conn: drpcconn.NewWithOptions(raw, drpcconn.Options{
		Manager: drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxReplySize}},
	})}, nil
}

// Redials returns the number of connections that were closed after a failed call.
func (d *Dialer) Redials() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.redials
}

// Close closes all idle connections. Connections in use are closed once their calls end.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for _, conns := range d.idle {
		for _, c := range conns {
			_ = c.Close()
		}
	}
	d.idle = nil
}
