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

// copyPeer replies with records of a size.
type copyPeer struct {
	wire.DRPCCopyUnimplementedServer
	size int
}

func (p *copyPeer) Sync(context.Context, *wire.SyncRequest) (*wire.SyncReply, error) {
	return &wire.SyncReply{Packed: make([]byte, p.size)}, nil
}

// TestLargeRepliesArrive guards against a fetch of all records that fails for ever because some of them are large.
func TestLargeRepliesArrive(t *testing.T) {
	const size = 12 << 20
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	mux := drpcmux.New()
	c.Assert(wire.DRPCRegisterCopy(mux, &copyPeer{size: size}), qt.IsNil)
	go func() { _ = drpcserver.New(mux).Serve(ctx, lis) }()
	d := dialer.New()
	t.Cleanup(d.Close)
	var reply *wire.SyncReply
	c.Assert(d.Call(ctx, netip.MustParseAddrPort(lis.Addr().String()), func(ctx context.Context, conn drpc.Conn) (err error) {
		reply, err = wire.NewDRPCCopyClient(conn).Sync(ctx, &wire.SyncRequest{})
		return err
	}), qt.IsNil)
	c.Assert(reply.GetPacked(), qt.HasLen, size)
}

// proxy forwards connections to a server. Once silenced is set, the existing connections stay open but lose
// all bytes, as when a middlebox between the two ends has dropped its state. A new connection works again.
type proxy struct {
	address     netip.AddrPort
	silenced    atomic.Bool
	connections atomic.Int32
}

func newProxy(ctx context.Context, t *testing.T, target string) *proxy {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = lis.Close() })
	p := &proxy{address: netip.MustParseAddrPort(lis.Addr().String())}
	go func() {
		for ctx.Err() == nil {
			in, err := lis.Accept()
			if err != nil {
				return
			}
			p.silenced.Store(false)
			p.connections.Add(1)
			out, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			dropping := &atomic.Bool{}
			go p.copy(out, in, dropping)
			go p.copy(in, out, dropping)
		}
	}()
	return p
}

// copy forwards one direction of a connection. Once it has seen silenced set, it sets dropping, which both
// directions share, so that the connection stays silent after a new one has cleared silenced.
func (p *proxy) copy(w io.Writer, r io.Reader, dropping *atomic.Bool) {
	buf := make([]byte, 4096)
	for {
		n, err := r.Read(buf)
		if err != nil {
			return
		}
		if p.silenced.Load() {
			dropping.Store(true)
		}
		if !dropping.Load() {
			_, _ = w.Write(buf[:n])
		}
	}
}

// TestSilentConnectionIsRedialled guards against calls that hang on a pooled connection which is open but
// loses all bytes: the call must succeed on a new connection within its deadline.
func TestSilentConnectionIsRedialled(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	mux := drpcmux.New()
	c.Assert(wire.DRPCRegisterPeer(mux, &peer{}), qt.IsNil)
	go func() { _ = drpcserver.New(mux).Serve(ctx, lis) }()
	p := newProxy(ctx, t, lis.Addr().String())

	d := dialer.New()
	t.Cleanup(d.Close)
	fetch := func() error {
		ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		return d.Call(ctx, p.address, func(ctx context.Context, conn drpc.Conn) error {
			_, err := wire.NewDRPCPeerClient(conn).Fetch(ctx, &wire.FetchRequest{})
			return err
		})
	}
	c.Assert(fetch(), qt.IsNil)
	c.Assert(fetch(), qt.IsNil)
	c.Assert(p.connections.Load(), qt.Equals, int32(1))
	p.silenced.Store(true)
	c.Assert(fetch(), qt.IsNil)
	c.Assert(p.connections.Load(), qt.Equals, int32(2))
	c.Assert(d.Redials(), qt.Equals, uint64(1))
}
