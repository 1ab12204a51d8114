package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// requester is a requester's machine with its flows.
type requester struct {
	ip    netip.Addr
	fleet *fleet
	log   *recorder
	udp   *net.UDPConn
	mu    sync.Mutex
	flows map[[2]netip.AddrPort]*clientFlow
	next  uint16
	// onReset is called for each reset of a flow that was open.
	onReset func(f *clientFlow, p packet)
	stats   struct{ opened, refused, silent, answered, reset, lost int }
}

// clientFlow is a flow at a requester.
type clientFlow struct {
	r          *requester
	src, dst   netip.AddrPort
	isn, seq   uint32
	ack        uint32
	echo       uint32
	server     uint32 // number of the SYN+ACK that opened the flow
	open, dead bool
	// waiting is set while a request has no response yet.
	waiting   bool
	upstream  uint32 // tag of the backend at which the flow opened
	openedBy  string
	lastVia   string
	pending   *packet
	tries     int
	timer     *time.Timer
	opened    chan bool
	response  chan string
	synCopies uint32
}

func newRequester(ip string, f *fleet, log *recorder) (*requester, error) {
	a := netip.MustParseAddr(ip)
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(a, uint16(f.ports.tunnel))))
	if err != nil {
		return nil, err
	}
	r := &requester{ip: a, fleet: f, log: log, udp: udp, flows: map[[2]netip.AddrPort]*clientFlow{}, next: 20000}
	go r.loop()
	return r, nil
}

func (r *requester) loop() {
	buf := make([]byte, 2048)
	for {
		n, _, err := r.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if p, ok := decode(buf[:n]); ok {
			r.handle(p)
		}
	}
}

// send sends a packet of a flow by way of the routers.
func (f *clientFlow) send(p *packet) *balancer {
	p.src, p.dst = f.src, f.dst
	if p.flags&flagSYN == 0 {
		p.echo = f.echo
	}
	b := f.r.fleet.route(f.src, f.dst)
	f.lastVia = b.name
	to := netip.AddrPortFrom(netip.MustParseAddr(b.ip), uint16(f.r.fleet.ports.tunnel))
	_, _ = f.r.udp.WriteToUDPAddrPort(p.encode(), to)
	return b
}

// dial opens a flow. It reports false if the flow was reset or not answered within 1.4 s.
func (r *requester) dial(route netip.AddrPort) (*clientFlow, bool) {
	r.mu.Lock()
	r.next++
	f := &clientFlow{r: r, src: netip.AddrPortFrom(r.ip, r.next), dst: route, isn: rand.Uint32(), opened: make(chan bool, 1), response: make(chan string, 1)}
	f.seq = f.isn + 1
	r.flows[[2]netip.AddrPort{f.src, f.dst}] = f
	b := f.send(&packet{flags: flagSYN, seq: f.isn})
	f.openedBy = b.name
	r.mu.Unlock()
	for i, pause := range []time.Duration{200, 400, 800} {
		select {
		case ok := <-f.opened:
			return f, ok
		case <-time.After(pause * time.Millisecond):
		}
		if i < 2 {
			r.mu.Lock()
			f.synCopies++
			f.openedBy = f.send(&packet{flags: flagSYN, seq: f.isn, ack: f.synCopies}).name
			r.mu.Unlock()
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.silent++
	r.forget(f)
	return f, false
}

func (r *requester) forget(f *clientFlow) {
	f.dead = true
	if f.timer != nil {
		f.timer.Stop()
	}
	delete(r.flows, [2]netip.AddrPort{f.src, f.dst})
}

// request sends a request and returns the response; ok is false if the flow was reset or no response came in time.
func (f *clientFlow) request(id string, limit time.Duration) (string, bool) {
	r := f.r
	r.mu.Lock()
	if f.dead {
		r.mu.Unlock()
		return "", false
	}
	text := fmt.Sprintf("GET /live HTTP/1.1\r\nHost: %s\r\nX-Rattanwood-Attempt-Id: %s\r\n\r\n", f.dst, id)
	p := &packet{flags: flagACK, seq: f.seq, ack: f.ack, data: []byte(text)}
	f.seq += uint32(len(text))
	f.pending, f.tries, f.waiting = p, 0, true
	f.send(p)
	f.await()
	r.mu.Unlock()
	select {
	case s := <-f.response:
		if s == "" {
			return "", false
		}
		return s, true
	case <-time.After(limit):
		r.mu.Lock()
		r.stats.lost++
		r.mu.Unlock()
		return "", false
	}
}

// await retransmits the pending request.
func (f *clientFlow) await() {
	if f.timer != nil {
		f.timer.Stop()
	}
	f.timer = time.AfterFunc(min(firstRetry<<f.tries, lastRetry), func() {
		f.r.mu.Lock()
		defer f.r.mu.Unlock()
		if f.dead || f.pending == nil || f.tries > maxRetries {
			return
		}
		f.tries++
		f.pending.ack = f.ack
		f.send(f.pending)
		f.await()
	})
}

// closeFlow ends a flow.
func (f *clientFlow) closeFlow() {
	f.r.mu.Lock()
	defer f.r.mu.Unlock()
	if f.dead {
		return
	}
	f.send(&packet{flags: flagFIN | flagACK, seq: f.seq, ack: f.ack})
	f.r.forget(f)
}

func (r *requester) handle(p packet) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.flows[[2]netip.AddrPort{p.dst, p.src}]
	if f == nil {
		return
	}
	if p.flags&flagRST != 0 {
		if f.open && p.seq-f.ack+76800 > 2*76800 {
			return
		}
		if !f.open {
			r.stats.refused++
			r.forget(f)
			f.opened <- false
			return
		}
		r.stats.reset++
		if f.waiting {
			r.stats.lost++
		}
		if r.onReset != nil {
			r.onReset(f, p)
		}
		r.forget(f)
		select {
		case f.response <- "":
		default:
		}
		return
	}
	if !p.sumOK {
		r.log.note("MIXED: %v got a packet that its sender didn't write", f.src)
		return
	}
	f.echo = p.echo
	if p.flags&flagSYN != 0 {
		if !f.open {
			f.open, f.server, f.ack, f.upstream = true, p.seq, p.seq+1, p.echo
			r.stats.opened++
			// The next packet completes the handshake.
			f.send(&packet{flags: flagACK, seq: f.seq, ack: f.ack})
			f.opened <- true
		}
		return
	}
	if f.pending != nil && int32(p.ack-f.pending.seq-uint32(len(f.pending.data))) >= 0 {
		f.pending = nil
	}
	if len(p.data) == 0 {
		return
	}
	switch {
	case p.seq == f.ack:
		f.ack += uint32(len(p.data))
		r.stats.answered++
		f.waiting = false
		select {
		case f.response <- string(p.data):
		default:
		}
		f.send(&packet{flags: flagACK, seq: f.seq, ack: f.ack})
	case int32(p.seq-f.ack) < 0:
		f.send(&packet{flags: flagACK, seq: f.seq, ack: f.ack})
	}
}
