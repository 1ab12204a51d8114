// Package listener opens the sockets of a balancer, and serves HTTP and calls on them until their task ends.
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

// headerDeadline bounds the wait for the head of an HTTP request.
const headerDeadline = 5 * time.Second

// UDP opens a socket for datagrams and asks for a receive buffer of a size in bytes.
func UDP(address netip.AddrPort, buffer int) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, oops.Code("listen").With("address", address.String()).Wrap(err)
	}
	// A smaller buffer than asked for is what the system allows, and no reason not to serve.
	_ = conn.SetReadBuffer(buffer)
	return conn, nil
}

// TCP opens a socket for connections.
func TCP(address netip.AddrPort) (net.Listener, error) {
	lis, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, oops.Code("listen").With("address", address.String()).Wrap(err)
	}
	return lis, nil
}

// IgnoreClosed turns the error of a socket that was closed on purpose into nil.
func IgnoreClosed(ctx context.Context, err error) error {
	if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return oops.Code("socket").Wrap(err)
}

// CloseAll closes what is open of a balancer's sockets.
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

// ServeHTTP serves until ctx ends, and then gives requests under way until grace is over.
func ServeHTTP(ctx context.Context, lis net.Listener, handler http.Handler, grace time.Duration) error {
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: headerDeadline}
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
	closing, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	if err := srv.Shutdown(closing); err != nil && !errors.Is(err, net.ErrClosed) {
		return oops.Code("web_close").Wrap(err)
	}
	return nil
}

// ServeRPC serves the calls of other balancers until ctx ends.
func ServeRPC(ctx context.Context, lis net.Listener, handler drpc.Handler) error {
	if err := drpcserver.New(handler).Serve(ctx, lis); err != nil {
		return IgnoreClosed(ctx, err)
	}
	return nil
}

// Sleep sleeps, or returns early when ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
