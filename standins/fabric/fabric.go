// Package fabric simulates the network in front of the balancers: it tunnels each packet of a Caller
// to a balancer chosen at random, so that packets of one flow reach different balancers.
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

// vmListInterval is how often the fabric fetches the VM list. Until the next fetch, it goes on sending
// to a VM that has left the list.
const vmListInterval = 500 * time.Millisecond

// Config holds the command-line arguments of the simulated fabric.
type Config struct {
	Listen   string `arg:"" help:"IP address and port for packets of Callers."`
	Platform string `help:"Address of the platform." required:""`
	Tunnel   uint16 `help:"Tunnel port of the balancers." required:""`
	Seed     uint64 `help:"Seed of the random choice of balancers." default:"1"`
}

// fabric is the state of a running fabric. mu guards vms.
type fabric struct {
	cfg  *Config
	mu   sync.Mutex
	vms  []netip.Addr
	conn *net.UDPConn
}

// Run forwards packets until ctx is cancelled.
func (c *Config) Run(ctx context.Context) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(c.Listen)))
	if err != nil {
		return err
	}
	_ = conn.SetReadBuffer(4 << 20)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	f := &fabric{cfg: c, conn: conn}
	go f.refreshVMs(ctx)
	random := rand.New(rand.NewPCG(c.Seed, 0))
	buf := make([]byte, encapsulator.MaxSize)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return nil
		}
		f.forward(random, buf[:n])
	}
}

// forward encapsulates a packet and sends it to a random balancer. It drops the packet if no
// balancer is known.
func (f *fabric) forward(random *rand.Rand, inner []byte) {
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
	balancer := netip.AddrPortFrom(vms[random.IntN(len(vms))], f.cfg.Tunnel)
	_, _ = f.conn.WriteToUDPAddrPort(data, balancer)
}

// refreshVMs fetches the VM list every vmListInterval until ctx is cancelled, and keeps the last one
// while the platform is down. VMs that are leaving get no more packets.
func (f *fabric) refreshVMs(ctx context.Context) {
	for ctx.Err() == nil {
		if vms, ok := platform.ListActiveVMs(f.cfg.Platform); ok {
			f.mu.Lock()
			f.vms = vms
			f.mu.Unlock()
		}
		time.Sleep(vmListInterval)
	}
}
