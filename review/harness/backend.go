package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// backend is a backend of one lifetime. It answers packets, over UDP, and status checks, over TCP, at its address.
type backend struct {
	id      uint64
	service string
	zone    string
	address netip.AddrPort
	work    time.Duration
	port    uint16 // on which requesters receive packets
	log     *recorder
	// onOpening is called for each first packet that arrives.
	onOpening func(b *backend, p packet)
	// onReset, if set, is called for each packet that is answered with a reset.
	onReset func(b *backend, p packet)
	// lose, if set, tells whether the next datagram is lost on its way.
	lose func() bool

	mu       sync.Mutex
	udp      *net.UDPConn
	web      *http.Server
	flows    map[[2]netip.AddrPort]*serverFlow
	sequence int
	state    string
}

// serverFlow is a flow at a backend.
type serverFlow struct {
	client, route netip.AddrPort
	// own is the number of the SYN+ACK; sent and next are those of the next bytes to send and to receive.
	own, sent, next uint32
	echo            uint32
	open            bool
	unacked         []*packet
	timer           *time.Timer
	tries           int
	served          map[uint32]bool
}

func (b *backend) name() string { return fmt.Sprintf("i-%08x", b.id) }
func (b *backend) key() string  { return "servers/" + b.name() }

// entry returns what the backend writes to the store.
func (b *backend) entry(state string) map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state = state
	b.sequence++
	return map[string]any{
		"service": b.service, "address": b.address.String(), "zone": b.zone, "version": "v1", "slots": 2, "state": state,
		"warmup_remaining_ms": 0, "sequence": b.sequence,
	}
}

// start opens the sockets.
func (b *backend) start() error {
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(b.address))
	if err != nil {
		return err
	}
	tcp, err := net.Listen("tcp4", b.address.String())
	if err != nil {
		_ = udp.Close()
		return err
	}
	b.udp, b.flows = udp, map[[2]netip.AddrPort]*serverFlow{}
	b.web = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Rattanwood-Instance-Id", b.name())
		w.Header().Set("X-Rattanwood-Server-Load", "0,0,8")
	})}
	go func() { _ = b.web.Serve(tcp) }()
	go b.loop()
	return nil
}

// stop ends the backend.
func (b *backend) stop() {
	_ = b.udp.Close()
	_ = b.web.Close()
}

func (b *backend) loop() {
	buf := make([]byte, 2048)
	for {
		n, _, err := b.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if n < 8 {
			continue
		}
		if want := binary.BigEndian.Uint64(buf); want != 0 && want != b.id {
			continue
		}
		p, ok := decode(buf[8:n])
		if !ok || !p.sumOK {
			b.log.note("%s got a packet that its sender didn't write", b.name())
			continue
		}
		b.handle(p)
	}
}

// send sends a packet to a requester.
func (b *backend) send(f *serverFlow, p *packet) {
	p.src, p.dst, p.echo = f.route, f.client, f.echo
	if b.lose != nil && b.lose() {
		b.log.note("network: a packet of %s to %v is lost, flags %d, %d bytes", b.name(), f.client, p.flags, len(p.data))
		return
	}
	_, _ = b.udp.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(f.client.Addr(), b.port))
}

func (b *backend) handle(p packet) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := [2]netip.AddrPort{p.src, p.dst}
	f := b.flows[key]
	if p.flags&flagSYN != 0 {
		if b.onOpening != nil {
			b.onOpening(b, p)
		}
		if f == nil {
			f = &serverFlow{client: p.src, route: p.dst, own: rand.Uint32(), next: p.seq + 1, served: map[uint32]bool{}}
			f.sent = f.own + 1
			b.flows[key] = f
			f.echo = p.echo
			b.sendSynAck(f)
			b.await(f)
			return
		}
		f.echo = p.echo
		if !f.open {
			b.sendSynAck(f)
		}
		return
	}
	if f == nil || !f.open && p.ack != f.own+1 {
		if p.flags&flagRST != 0 || p.flags == flagFIN|flagACK && len(p.data) == 0 {
			return
		}
		b.log.note("%s sends a reset to %v: it doesn't hold the flow to %v", b.name(), p.src, p.dst)
		if b.onReset != nil {
			b.onReset(b, p)
		}
		rst := packet{src: p.dst, dst: p.src, flags: flagRST, seq: p.ack, echo: p.echo}
		_, _ = b.udp.WriteToUDPAddrPort(rst.encode(), netip.AddrPortFrom(p.src.Addr(), b.port))
		return
	}
	f.echo = p.echo
	if !f.open {
		f.open, f.tries = true, 0
		b.log.note("%s: flow %v > %v is open", b.name(), p.src, p.dst)
	}
	if p.flags&flagRST != 0 {
		b.drop(key, f)
		return
	}
	for len(f.unacked) > 0 && int32(p.ack-f.unacked[0].seq-uint32(len(f.unacked[0].data))) >= 0 {
		f.unacked, f.tries = f.unacked[1:], 0
	}
	if len(p.data) > 0 {
		switch {
		case p.seq == f.next:
			f.next += uint32(len(p.data))
			b.log.note("%s runs %q of %v", b.name(), firstLine(p.data), p.src)
			body := append([]byte(nil), p.data...)
			time.AfterFunc(b.work, func() { b.answer(key, f, body) })
		case int32(p.seq-f.next) < 0:
			b.send(f, &packet{flags: flagACK, seq: f.sent, ack: f.next})
		}
	}
	if p.flags&flagFIN != 0 {
		b.send(f, &packet{flags: flagACK | flagFIN, seq: f.sent, ack: p.seq + uint32(len(p.data)) + 1})
		b.drop(key, f)
	}
}

func (b *backend) drop(key [2]netip.AddrPort, f *serverFlow) {
	if f.timer != nil {
		f.timer.Stop()
	}
	delete(b.flows, key)
}

func (b *backend) sendSynAck(f *serverFlow) {
	b.send(f, &packet{flags: flagSYN | flagACK, seq: f.own, ack: f.next})
}

// answer sends the response to a request.
func (b *backend) answer(key [2]netip.AddrPort, f *serverFlow, request []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.flows[key] != f {
		return
	}
	id := header(request, "X-Rattanwood-Attempt-Id")
	body := strings.Repeat("x", 200)
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Rattanwood-Server-Signature: %s\r\nX-Rattanwood-Attempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", b.name(), id, len(body), body)
	p := &packet{flags: flagACK, seq: f.sent, ack: f.next, data: []byte(text)}
	f.sent += uint32(len(text))
	f.unacked = append(f.unacked, p)
	b.send(f, p)
	b.await(f)
}

// firstRetry and lastRetry bound the pauses before retransmissions, and maxRetries is their number.
const (
	firstRetry = 200 * time.Millisecond
	lastRetry  = 1600 * time.Millisecond
	maxRetries = 8
)

// await retransmits what is missing.
func (b *backend) await(f *serverFlow) {
	if f.timer != nil {
		f.timer.Stop()
	}
	f.timer = time.AfterFunc(min(firstRetry<<f.tries, lastRetry), func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		key := [2]netip.AddrPort{f.client, f.route}
		if b.flows[key] != f {
			return
		}
		switch {
		case f.tries >= maxRetries:
			b.drop(key, f)
			return
		case !f.open:
			b.sendSynAck(f)
		case len(f.unacked) == 0:
			return
		default:
			p := f.unacked[0]
			p.ack = f.next
			b.send(f, p)
		}
		f.tries++
		b.await(f)
	})
}

func firstLine(b []byte) string {
	line, _, _ := strings.Cut(string(b), "\r\n")
	return line + " " + header(b, "X-Rattanwood-Attempt-Id")
}

func header(b []byte, name string) string {
	for _, line := range strings.Split(string(b), "\r\n") {
		if k, v, ok := strings.Cut(line, ": "); ok && strings.EqualFold(k, name) {
			return v
		}
	}
	return ""
}
