package soaker

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/platform/emulator"
)

// probePeriod is the time between two questions whether a balancer is ready.
const probePeriod = 500 * time.Millisecond

// lossShare is the part of the packets from and to Callers that is lost for no reason.
const lossShare = 0.005

// router stands in for the platform's routers: it hashes flows over the balancers in rotation, by
// modulo, so that most flows move whenever that changes.
type router struct {
	w     *world
	mu    sync.Mutex
	nodes []*target
	conn  *net.UDPConn
}

type target struct {
	ip     string
	misses int
}

func newRouter(w *world, ips []string) (*router, error) {
	conn, err := net.ListenUDP("udp4", nil)
	if err != nil {
		return nil, err
	}
	r := &router{w: w, conn: conn}
	for _, ip := range ips {
		r.nodes = append(r.nodes, &target{ip: ip, misses: 2})
	}
	return r, nil
}

// run asks the balancers whether they are ready.
func (r *router) run(ctx context.Context) {
	client := &http.Client{Timeout: probePeriod, Transport: &http.Transport{DisableKeepAlives: true}}
	for ; ctx.Err() == nil; time.Sleep(probePeriod) {
		for _, t := range r.nodes {
			go func() {
				res, err := client.Get("http://" + net.JoinHostPort(t.ip, webPort) + "/ready")
				ok := err == nil && res.StatusCode == http.StatusOK
				if err == nil {
					_ = res.Body.Close()
				}
				r.mu.Lock()
				defer r.mu.Unlock()
				if t.misses++; ok {
					t.misses = 0
				}
			}()
		}
	}
}

// ready returns the number of balancers that are ready.
func (r *router) ready() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, t := range r.nodes {
		if t.misses == 0 {
			n++
		}
	}
	return n
}

// rotation returns the balancers that get packets: all, if fewer than half are ready.
func (r *router) rotation() []*target {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ready []*target
	for _, t := range r.nodes {
		if t.misses < 2 {
			ready = append(ready, t)
		}
	}
	if 2*len(ready) < len(r.nodes) {
		return r.nodes
	}
	return ready
}

func (r *router) forward(p emulator.Packet) {
	ready := r.rotation()
	h := fnv.New32a()
	_, _ = h.Write([]byte(p.Caller.String() + p.Target.String()))
	t := ready[int(h.Sum32()%uint32(len(ready)))]
	if p.Flags.Has(rattanwood.FlagOpen) {
		r.w.routed(flowEnds{caller: p.Caller, target: p.Target}, t.ip)
	}
	if rand.Float64() < lossShare {
		return
	}
	_, _ = r.conn.WriteToUDPAddrPort(p.Encode(), netip.AddrPortFrom(netip.MustParseAddr(t.ip), tunnelPort))
}
