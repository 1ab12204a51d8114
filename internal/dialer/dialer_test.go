package dialer_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"example.org/rattanwood/internal/dialer"
	"example.org/rattanwood/wire"
)

type peer struct {
	wire.DRPCPeerUnimplementedServer
}

func (*peer) Fetch(context.Context, *wire.FetchRequest) (*wire.FetchReply, error) {
	return &wire.FetchReply{Version: 7}, nil
}

// link forwards connections to a server; muted ones stay open and lose all bytes, as when
// something between the two ends has forgotten them.
type link struct {
	address netip.AddrPort
	mute    atomic.Bool
	opened  atomic.Int32
}

func newLink(ctx context.Context, t *testing.T, target string) *link {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = lis.Close() })
	l := &link{address: netip.MustParseAddrPort(lis.Addr().String())}
	go func() {
		for ctx.Err() == nil {
			in, err := lis.Accept()
			if err != nil {
				return
			}
			l.mute.Store(false)
			l.opened.Add(1)
			out, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			quiet := &atomic.Bool{}
			go l.copy(out, in, quiet)
			go l.copy(in, out, quiet)
		}
	}()
	return l
}

func (l *link) copy(w io.Writer, r io.Reader, quiet *atomic.Bool) {
	buf := make([]byte, 4096)
	for {
		n, err := r.Read(buf)
		if err != nil {
			return
		}
		if l.mute.Load() {
			quiet.Store(true)
		}
		if !quiet.Load() {
			_, _ = w.Write(buf[:n])
		}
	}
}

func TestSilentConnectionIsRedialled(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	mux := drpcmux.New()
	c.Assert(wire.DRPCRegisterPeer(mux, &peer{}), qt.IsNil)
	go func() { _ = drpcserver.New(mux).Serve(ctx, lis) }()
	l := newLink(ctx, t, lis.Addr().String())

	d := dialer.New()
	t.Cleanup(d.Close)
	fetch := func() error {
		ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		return d.Call(ctx, l.address, func(ctx context.Context, conn drpc.Conn) error {
			_, err := wire.NewDRPCPeerClient(conn).Fetch(ctx, &wire.FetchRequest{})
			return err
		})
	}
	c.Assert(fetch(), qt.IsNil)
	c.Assert(fetch(), qt.IsNil)
	c.Assert(l.opened.Load(), qt.Equals, int32(1))
	l.mute.Store(true)
	c.Assert(fetch(), qt.IsNil)
	c.Assert(l.opened.Load(), qt.Equals, int32(2))
	c.Assert(d.Redials(), qt.Equals, uint64(1))
}
