package main

import (
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// router stands for the platform's routers of one zone. It hashes flows by "mod" over the nodes in rotation.
type router struct {
	run   *run
	conn  *net.UDPConn
	mu    sync.Mutex
	nodes []*node
	// spread is set if the nodes are asked at different times within each half a second.
	spread bool
	// last is the node that got the last packet of a flow.
	last map[flowKey]*node
}

func newRouter(r *run) (*router, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(r.ip(60, 1))})
	if err != nil {
		return nil, err
	}
	return &router{run: r, conn: conn, last: map[flowKey]*node{}}, nil
}

// probe asks each node twice a second whether it is ready, until the run ends.
func (ro *router) probe() {
	const interval = 500 * time.Millisecond
	client := &http.Client{Timeout: interval, Transport: &http.Transport{DisableKeepAlives: true}}
	for ; !ro.run.over(); time.Sleep(interval) {
		for i, n := range ro.nodes {
			go func() {
				if ro.spread {
					time.Sleep(time.Duration(i) * interval / time.Duration(len(ro.nodes)))
				}
				ro.ask(client, n)
			}()
		}
	}
}

// ask asks a node whether it is ready.
func (ro *router) ask(client *http.Client, n *node) {
	res, err := client.Get("http://" + n.ready + "/ready")
	ok := err == nil && res.StatusCode == http.StatusOK
	if err == nil {
		_ = res.Body.Close()
	}
	ro.mu.Lock()
	defer ro.mu.Unlock()
	before := n.misses < 2
	if n.misses++; ok {
		n.misses = 0
	}
	if after := n.misses < 2; after != before {
		ro.run.log("node %s in rotation: %t", n.name, after)
	}
}

// rotation returns the nodes that get packets.
func (ro *router) rotation() []*node {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	var in []*node
	for _, n := range ro.nodes {
		if n.misses < 2 {
			in = append(in, n)
		}
	}
	if 2*len(in) < len(ro.nodes) {
		return ro.nodes
	}
	return in
}

func (ro *router) readyCount() int {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	count := 0
	for _, n := range ro.nodes {
		if n.misses == 0 {
			count++
		}
	}
	return count
}

// forward sends a packet of a requester to the node that its flow hashes to.
func (ro *router) forward(key flowKey, p *packet, data []byte) {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key.client.String() + ">" + key.target.String()))
	in := ro.rotation()
	n := in[(h.Sum64()>>17)%uint64(len(in))]
	ro.mu.Lock()
	moved := ro.last[key] != nil && ro.last[key] != n
	ro.last[key] = n
	ro.mu.Unlock()
	if p.has(flagSYN) {
		ro.run.note(key, "SYN %d sent to %s", p.ack+1, n.name)
	} else if moved {
		ro.run.note(key, "other packets now go to %s", n.name)
	}
	if ro.run.loses() {
		return
	}
	_, _ = ro.conn.WriteToUDPAddrPort(data, netip.MustParseAddrPort(n.tunnel))
}

// lastNode returns the node that got the last packet of a flow.
func (ro *router) lastNode(key flowKey) *node {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	return ro.last[key]
}
