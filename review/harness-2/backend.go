package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

type flowKey struct{ src, dst endpoint }

// backend stands in for one server of a service.
type backend struct {
	w       *world
	id      uint32
	service string
	zone    string
	addr    netip.AddrPort
	slots   int
	udp     *net.UDPConn
	http    *http.Server
	born    int64
	mu      sync.Mutex
	flows   map[flowKey]*backendFlow
	state   string
	seq     int
	stopped bool
	workMs  float64
	// limited is set if the backend works on as many requests at a time as it has slots, queues four times as many and
	// turns others away unrun.
	limited    bool
	busy, shed int
	queue      []func()
}

// backendFlow is the backend's end of a flow.
type backendFlow struct {
	open, closed bool
	echo         uint32
	iss          uint32
	// next is the next sequence number that is expected of the requester, sent the own next one.
	next, sent uint32
	answers    map[uint32][]byte
	tries      int
}

func (b *backend) key() string { return fmt.Sprintf("servers/i-%08x", b.id) }

func newBackend(w *world, service, zone, ip string, slots int) (*backend, error) {
	b := &backend{w: w, id: rand.Uint32() | 1, service: service, zone: zone, slots: slots, born: time.Now().UnixMilli(), flows: map[flowKey]*backendFlow{}, state: "ready", workMs: 15}
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.MustParseAddr(ip), 0)))
	if err != nil {
		return nil, err
	}
	_ = udp.SetReadBuffer(4 << 20)
	b.udp, b.addr = udp, udp.LocalAddr().(*net.UDPAddr).AddrPort()
	lis, err := net.Listen("tcp4", b.addr.String())
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("X-Rattanwood-Instance-Id", fmt.Sprintf("i-%08x", b.id))
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.state != "ready" {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	b.http = &http.Server{Handler: mux}
	go func() { _ = b.http.Serve(lis) }()
	go b.receive()
	b.report()
	return b, nil
}

// report writes the backend's entry to the store.
func (b *backend) report() {
	b.mu.Lock()
	b.seq++
	value, _ := json.Marshal(map[string]any{
		"service": b.service, "address": b.addr.String(), "zone": b.zone, "version": "v1", "slots": b.slots, "state": b.state,
		"warmup_remaining_ms": 0, "sequence": b.seq, "born": b.born,
	})
	b.mu.Unlock()
	b.w.store.put(b.key(), value)
}

func (b *backend) receive() {
	buf := make([]byte, 4096)
	for {
		n, from, err := b.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if n < 8 || b.w.lost() {
			continue
		}
		if id := binary.BigEndian.Uint64(buf); id != 0 && id != uint64(b.id) {
			continue
		}
		p, err := decode(buf[8:n])
		if err != nil || p.sum != signature {
			b.w.violate("UNASKED: backend %08x got a datagram that no requester wrote so, from %v", b.id, from)
			continue
		}
		b.handle(p, from.Addr().String())
	}
}

func (b *backend) handle(p packet, via string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := flowKey{p.src, p.dst}
	f := b.flows[key]
	b.w.check.arrival(key, b.id, p, via, f != nil && f.open)
	switch {
	case p.flags&flagOpen != 0:
		if f == nil {
			f = &backendFlow{iss: rand.Uint32(), next: p.seq + 1, answers: map[uint32][]byte{}}
			f.sent = f.iss + 1
			b.flows[key] = f
			b.w.rec.flow(key, "backend %08x takes the opening packet, copy %d, from balancer %s", b.id, p.ack, via)
			b.repeatOpening(key, f, 200*time.Millisecond)
		}
		if !f.open {
			f.echo = p.echo
			b.send(key, packet{flags: flagOpen | flagAck, seq: f.iss, ack: f.next, echo: f.echo})
		}
		return
	case f == nil || f.closed && len(p.data) > 0 || !f.open && p.ack != f.iss+1:
		// A flow that this backend doesn't hold, or that the requester opened at another backend.
		if f != nil && !f.open {
			delete(b.flows, key)
		}
		if p.flags&flagReset == 0 {
			b.w.rec.flow(key, "backend %08x doesn't hold the flow and resets it", b.id)
			b.send(key, packet{flags: flagReset, seq: p.ack, echo: p.echo})
		}
		return
	case p.flags&flagReset != 0:
		delete(b.flows, key)
		b.w.check.end(key)
		return
	}
	if !f.open {
		f.open = true
		b.w.check.open(key, b.id)
	}
	f.echo = p.echo
	if p.flags&flagClose != 0 {
		f.closed = true
		b.w.check.end(key)
		b.send(key, packet{flags: flagAck | flagClose, seq: f.sent, ack: p.seq + 1, echo: f.echo})
		return
	}
	if len(p.data) == 0 {
		return
	}
	b.request(key, f, p)
}

// repeatOpening sends the answer to the opening packet again while it is missing.
func (b *backend) repeatOpening(key flowKey, f *backendFlow, after time.Duration) {
	time.AfterFunc(after, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if f.open || b.stopped || b.flows[key] != f {
			return
		}
		if f.tries++; f.tries > 8 {
			delete(b.flows, key)
			return
		}
		b.send(key, packet{flags: flagOpen | flagAck, seq: f.iss, ack: f.next, echo: f.echo})
		b.repeatOpening(key, f, min(2*after, 1600*time.Millisecond))
	})
}

// request runs a request once and answers it, also when it comes again.
func (b *backend) request(key flowKey, f *backendFlow, p packet) {
	if answer, ok := f.answers[p.seq]; ok {
		if answer != nil {
			b.send(key, packet{flags: flagAck, seq: f.sent - uint32(len(answer)), ack: f.next, echo: f.echo, data: answer})
		}
		return
	}
	if p.seq != f.next {
		return
	}
	f.next += uint32(len(p.data))
	f.answers[p.seq] = nil
	id := strings.TrimRight(string(p.data), " ")
	finish := func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.stopped {
			return
		}
		answer := fmt.Appendf(nil, "%-600s", id+"|"+fmt.Sprintf("%08x", b.id))
		f.answers[p.seq] = answer
		b.send(key, packet{flags: flagAck, seq: f.sent, ack: f.next, echo: f.echo, data: answer})
		f.sent += uint32(len(answer))
	}
	shed := b.limited && b.busy >= b.slots && len(b.queue) >= 4*b.slots
	if !shed {
		b.w.check.ran(id, b.service)
		b.w.rec.line("run %s at backend %08x", id, b.id)
	}
	if !b.limited {
		time.AfterFunc(time.Duration(b.workMs*float64(time.Millisecond)), finish)
		return
	}
	if shed {
		answer := fmt.Appendf(nil, "%-100s", id+"|shed")
		f.answers[p.seq] = answer
		b.send(key, packet{flags: flagAck, seq: f.sent, ack: f.next, echo: f.echo, data: answer})
		f.sent += uint32(len(answer))
		b.shed++
		return
	}
	if b.busy < b.slots {
		b.busy++
		b.runJob(finish)
	} else {
		b.queue = append(b.queue, finish)
	}
}

// runJob works on a request and then on the next one in the queue.
func (b *backend) runJob(finish func()) {
	d := time.Duration(b.workMs * (0.5 + rand.Float64()) * float64(time.Millisecond))
	time.AfterFunc(d, func() {
		finish()
		b.mu.Lock()
		defer b.mu.Unlock()
		if len(b.queue) > 0 {
			next := b.queue[0]
			b.queue = b.queue[1:]
			b.runJob(next)
		} else {
			b.busy--
		}
	})
}

// send sends a packet to the requester directly.
func (b *backend) send(key flowKey, p packet) {
	if b.w.lost() {
		b.w.rec.flow(key, "a packet of backend %08x with flags %d is lost on its way", b.id, p.flags)
		return
	}
	p.src, p.dst, p.sum = key.dst, key.src, signature
	_, _ = b.udp.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(key.src.Addr(), uint16(b.w.ports.tunnel)))
}

// String returns both ends.
func (k flowKey) String() string { return k.src.String() + ">" + k.dst.String() }

func (b *backend) isStopped() bool { b.mu.Lock(); defer b.mu.Unlock(); return b.stopped }
