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

// readinessProbePeriod is the time between two readiness probes of a balancer, and their timeout.
const readinessProbePeriod = 500 * time.Millisecond

// packetLossRate is the share of packets from and to Callers that are dropped at random.
const packetLossRate = 0.005

// router stands in for the platform's routers. It hashes flows over the balancers in rotation by
// modulo, so that most flows move to another balancer whenever the rotation changes.
type router struct {
	monitor *monitor
	mu      sync.Mutex
	targets []*routerTarget
	conn    *net.UDPConn
}

// routerTarget is a balancer, with the number of failed readiness probes in a row.
type routerTarget struct {
	ip           string
	missedProbes int
}

func newRouter(m *monitor, balancerIPs []string) (*router, error) {
	conn, err := net.ListenUDP("udp4", nil)
	if err != nil {
		return nil, err
	}
	r := &router{monitor: m, conn: conn}
	// Balancers start out of rotation, as if two readiness probes had failed.
	for _, ip := range balancerIPs {
		r.targets = append(r.targets, &routerTarget{ip: ip, missedProbes: 2})
	}
	return r, nil
}

// probeTargets probes the readiness of all balancers until ctx ends.
func (r *router) probeTargets(ctx context.Context) {
	client := &http.Client{Timeout: readinessProbePeriod, Transport: &http.Transport{DisableKeepAlives: true}}
	for ; ctx.Err() == nil; time.Sleep(readinessProbePeriod) {
		for _, t := range r.targets {
			go func() {
				res, err := client.Get("http://" + net.JoinHostPort(t.ip, webPort) + "/ready")
				ok := err == nil && res.StatusCode == http.StatusOK
				if err == nil {
					_ = res.Body.Close()
				}
				r.mu.Lock()
				defer r.mu.Unlock()
				if t.missedProbes++; ok {
					t.missedProbes = 0
				}
			}()
		}
	}
}

// readyCount returns the number of balancers whose last readiness probe succeeded.
func (r *router) readyCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, t := range r.targets {
		if t.missedProbes == 0 {
			n++
		}
	}
	return n
}

// rotation returns the balancers that get packets: those that failed fewer than two readiness probes
// in a row, or all if that leaves fewer than half.
func (r *router) rotation() []*routerTarget {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ready []*routerTarget
	for _, t := range r.targets {
		if t.missedProbes < 2 {
			ready = append(ready, t)
		}
	}
	if 2*len(ready) < len(r.targets) {
		return r.targets
	}
	return ready
}

// forward sends a packet of a Caller to the balancer that its flow hashes to.
func (r *router) forward(p emulator.Packet) {
	ready := r.rotation()
	h := fnv.New32a()
	_, _ = h.Write([]byte(p.Caller.String() + p.Target.String()))
	t := ready[int(h.Sum32()%uint32(len(ready)))]
	if p.Flags.Has(rattanwood.FlagOpen) {
		r.monitor.recordFirstPacket(flowEnds{caller: p.Caller, target: p.Target}, t.ip)
	}
	if rand.Float64() < packetLossRate {
		return
	}
	_, _ = r.conn.WriteToUDPAddrPort(p.Encode(), netip.AddrPortFrom(netip.MustParseAddr(t.ip), tunnelPort))
}
