// Package fabric stands in for the network that sprays packets over the balancers.
package fabric

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"example.org/rattanwood/encapsulator"
	"example.org/rattanwood/standins/platform"
)

// listPeriod is how often the fabric reads the list of VMs, so how long it sends to lost ones.
const listPeriod = 500 * time.Millisecond

// Config builds the fabric.
type Config struct {
	Listen   string `arg:"" help:"IP number and port for packets of callers."`
	Platform string `help:"Address of the platform." required:""`
	Tunnel   uint16 `help:"Tunnel port of the balancers." required:""`
	Seed     uint64 `help:"Seed of the spray." default:"1"`
}

type fabric struct {
	cfg  *Config
	mu   sync.Mutex
	vms  []netip.Addr
	conn *net.UDPConn
}

// Run sprays until ctx ends.
func (c *Config) Run(ctx context.Context) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(c.Listen)))
	if err != nil {
		return err
	}
	_ = conn.SetReadBuffer(4 << 20)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	f := &fabric{cfg: c, conn: conn}
	go f.follow(ctx)
	random := rand.New(rand.NewPCG(c.Seed, 0))
	buf := make([]byte, encapsulator.MaxSize)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return nil
		}
		f.spray(random, buf[:n])
	}
}

func (f *fabric) spray(random *rand.Rand, inner []byte) {
	f.mu.Lock()
	vms := f.vms
	f.mu.Unlock()
	if len(vms) == 0 {
		return
	}
	data, err := encapsulator.Encode(inner, 0, nil)
	if err != nil {
		return
	}
	to := netip.AddrPortFrom(vms[random.IntN(len(vms))], f.cfg.Tunnel)
	_, _ = f.conn.WriteToUDPAddrPort(data, to)
}

// follow keeps the list of VMs; leaving ones get no more packets.
func (f *fabric) follow(ctx context.Context) {
	for ctx.Err() == nil {
		if vms, ok := platform.ListActiveVMs(f.cfg.Platform); ok {
			f.mu.Lock()
			f.vms = vms
			f.mu.Unlock()
		}
		time.Sleep(listPeriod)
	}
}
