package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// client is a requester with an address of its own.
type client struct {
	run  *run
	addr netip.Addr
	conn *net.UDPConn

	mu       sync.Mutex
	lastPort uint16
	flows    map[flowKey]*flow
}

func newClient(r *run, ip string) (*client, error) {
	c := &client{run: r, addr: netip.MustParseAddr(ip), lastPort: 20000, flows: map[flowKey]*flow{}}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.addr, r.tunnelPort)))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(1 << 20)
	c.conn = conn
	go c.receive()
	return c, nil
}

func (c *client) receive() {
	buf := make([]byte, 2048)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p, genuine, ok := decode(buf[:n])
		reset := ok && p.flags == flagRST && p.sum == 0 && len(p.data) == 0
		if !ok || !genuine && !reset {
			c.run.breakRule("MIXED", "requester %s got a packet that its sender didn't write so, from %s", c.addr, from)
			continue
		}
		key := flowKey{client: p.dst, target: p.src}
		c.mu.Lock()
		f := c.flows[key]
		if f != nil && genuine {
			// The last echo that arrived on a flow goes with all further packets.
			f.echo = p.echo
		}
		c.mu.Unlock()
		if p.has(flagRST) {
			c.run.gotReset(key, from.Addr().String(), reset)
		}
		if f != nil {
			select {
			case f.in <- p:
			default:
			}
		}
	}
}

// flow is the requester's end of a flow.
type flow struct {
	c        *client
	key      flowKey
	in       chan packet
	seq, ack uint32
	echo     uint32
	// ended is set once the backend has closed the flow.
	ended bool
}

// result is how a request or an attempt to open a flow ended.
type result string

const (
	answered result = "answered"
	reset    result = "reset"
	silent   result = "silent"
)

// synTimes are the times after which a SYN is sent again, and after which the requester gives up.
var synTimes = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}

// open opens a flow from a new port to a target.
func (c *client) open(target netip.AddrPort) (*flow, result) {
	c.mu.Lock()
	c.lastPort++
	f := &flow{c: c, key: flowKey{client: netip.AddrPortFrom(c.addr, c.lastPort), target: target}, in: make(chan packet, 64), seq: rand.Uint32()}
	c.flows[f.key] = f
	c.mu.Unlock()
	for i, wait := range synTimes {
		c.run.sending(f.key)
		f.send(packet{flags: flagSYN, seq: f.seq, ack: uint32(i)})
		deadline := time.After(wait)
		for waiting := true; waiting; {
			select {
			case <-deadline:
				waiting = false
			case p := <-f.in:
				if p.has(flagRST) {
					f.forget()
					return f, reset
				}
				if p.has(flagSYN) && p.has(flagACK) && p.ack == f.seq+1 {
					f.seq, f.ack = f.seq+1, p.seq+1
					f.send(packet{flags: flagACK, seq: f.seq, ack: f.ack})
					return f, answered
				}
			}
		}
	}
	f.forget()
	return f, silent
}

func (f *flow) forget() {
	f.c.mu.Lock()
	delete(f.c.flows, f.key)
	f.c.mu.Unlock()
}

func (f *flow) send(p packet) {
	p.src, p.dst = f.key.client, f.key.target
	if !p.has(flagSYN) {
		f.c.mu.Lock()
		p.echo = f.echo
		f.c.mu.Unlock()
	}
	f.c.run.router.forward(f.key, &p, p.encode(true))
}

// request sends a request and waits for its answer until the time limit.
func (f *flow) request(id string, limit time.Duration) result {
	deadline, again, interval := time.After(limit), time.Duration(0), 200*time.Millisecond
	for {
		f.send(packet{flags: flagACK, seq: f.seq, ack: f.ack, data: []byte(id)})
		timer := time.After(interval)
		again, interval = again+interval, min(2*interval, 1600*time.Millisecond)
		for waiting := true; waiting; {
			select {
			case <-deadline:
				return silent
			case <-timer:
				waiting = false
			case p := <-f.in:
				switch {
				case p.has(flagRST):
					return reset
				case p.seq == f.ack && strings.HasPrefix(string(p.data), id+"|"):
					f.seq += uint32(len(id))
					f.ack += uint32(len(p.data))
					f.send(packet{flags: flagACK, seq: f.seq, ack: f.ack})
					f.ended = p.has(flagFIN)
					return answered
				}
			}
		}
	}
}

// close ends the flow.
func (f *flow) close() {
	f.send(packet{flags: flagACK | flagFIN, seq: f.seq, ack: f.ack})
	f.c.run.closed(f.key)
	time.AfterFunc(2*time.Second, f.forget)
}

// lasting opens a flow, and sends requests on it with pauses between them.
func (c *client) lasting(target netip.AddrPort, limit time.Duration, pauses []time.Duration) {
	f, got := c.open(target)
	if got != answered {
		c.run.count("not opened: " + string(got))
		return
	}
	for i, pause := range append([]time.Duration{0}, pauses...) {
		time.Sleep(pause)
		got = f.request(fmt.Sprintf("%s#%d.%d", f.key.client, f.seq, i), limit)
		c.run.count(fmt.Sprintf("request %d %s", i+1, got))
		if got != answered || f.ended {
			break
		}
	}
	f.close()
}

// once opens a flow, sends one request on it and closes it.
func (c *client) once(target netip.AddrPort, limit time.Duration) result {
	f, got := c.open(target)
	if got != answered {
		c.run.count("not opened: " + string(got))
		return got
	}
	got = f.request(fmt.Sprintf("%s#%d", f.key.client, f.seq), limit)
	c.run.count("request " + string(got))
	f.close()
	return got
}
