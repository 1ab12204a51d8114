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
func TCP(address netip.AddrPort) (*net.TCPListener, error) {
	lis, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
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
func CloseAll(conns []*net.UDPConn, listeners []*net.TCPListener) {
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

// acceptGrace is how long connections are still accepted after the end of ctx. The system has established
// those in its queue already, and closing the listener would reset them.
const acceptGrace = 100 * time.Millisecond

// lastingListener accepts connections until acceptGrace after the end of a context. Accept then fails with
// http.ErrServerClosed.
type lastingListener struct {
	*net.TCPListener
}

func newLastingListener(ctx context.Context, lis *net.TCPListener) *lastingListener {
	context.AfterFunc(ctx, func() { _ = lis.SetDeadline(time.Now().Add(acceptGrace)) })
	return &lastingListener{TCPListener: lis}
}

// Accept implements net.Listener.
func (l *lastingListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return nil, http.ErrServerClosed
	}
	return conn, err
}

// ServeHTTP serves HTTP until ctx ends and then closes the listener. Connections that the system has accepted by
// then are still served, each for one request, and requests in progress may take up to grace to finish.
func ServeHTTP(ctx context.Context, lis *net.TCPListener, handler http.Handler, grace time.Duration) error {
	last := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if ctx.Err() != nil {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
	srv := &http.Server{Handler: last, ReadHeaderTimeout: headerTimeout}
	if err := srv.Serve(newLastingListener(ctx, lis)); !errors.Is(err, http.ErrServerClosed) {
		return IgnoreClosed(ctx, err)
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
