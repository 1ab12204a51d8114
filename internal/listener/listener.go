// Package listener opens the sockets of the daemons and the console, and serves HTTP and RPC on them until a
// context ends.
package listener

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/samber/oops"
	"storj.io/drpc"
	"storj.io/drpc/drpcserver"
)

// headerTimeout limits the time to receive the header of an HTTP request.
const headerTimeout = 5 * time.Second

// UDP opens a UDP socket and requests a receive buffer of the given size in bytes.
func UDP(address netip.AddrPort, buffer int) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, oops.Code("listen").With("address", address.String()).Wrap(err)
	}
	// The system may limit the buffer to a smaller size, with which the socket still works.
	_ = conn.SetReadBuffer(buffer)
	return conn, nil
}

// TCP opens a listening TCP socket.
func TCP(address netip.AddrPort) (net.Listener, error) {
	lis, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, oops.Code("listen").With("address", address.String()).Wrap(err)
	}
	return lis, nil
}

// IgnoreClosed returns nil for an error that was caused by closing the socket or ending ctx, and otherwise
// wraps the error.
func IgnoreClosed(ctx context.Context, err error) error {
	if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return oops.Code("socket").Wrap(err)
}

// CloseAll closes sockets. Those that haven't been opened may be nil.
func CloseAll(conns []*net.UDPConn, listeners []net.Listener) {
	for _, c := range conns {
		if c != nil {
			_ = c.Close()
		}
	}
	for _, lis := range listeners {
		if lis != nil {
			_ = lis.Close()
		}
	}
}

// ServeHTTP serves HTTP until ctx ends. Requests in progress may then take up to grace to finish.
func ServeHTTP(ctx context.Context, lis net.Listener, handler http.Handler, grace time.Duration) error {
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	done := make(chan error, 1)
	go func() { done <- srv.Serve(lis) }()
	select {
	case err := <-done:
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return IgnoreClosed(ctx, err)
	case <-ctx.Done():
	}
	closeCtx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	if err := srv.Shutdown(closeCtx); err != nil && !errors.Is(err, net.ErrClosed) {
		return oops.Code("web_close").Wrap(err)
	}
	return nil
}

// ServeRPC serves the remote procedure calls of other balancers until ctx ends.
func ServeRPC(ctx context.Context, lis net.Listener, handler drpc.Handler) error {
	if err := drpcserver.New(handler).Serve(ctx, lis); err != nil {
		return IgnoreClosed(ctx, err)
	}
	return nil
}

// Sleep sleeps for a duration or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
