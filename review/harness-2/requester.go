package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// requester stands in for the requesters at one address.
type requester struct {
	w    *world
	zone string
	ip   netip.Addr
	udp  *net.UDPConn
	mu   sync.Mutex
	ends map[endpoint]chan arrived
	port atomic.Uint32
}

type arrived struct {
	packet
	from netip.AddrPort
}

func newRequester(w *world, zone, ip string) (*requester, error) {
	r := &requester{w: w, zone: zone, ip: netip.MustParseAddr(ip), ends: map[endpoint]chan arrived{}}
	r.port.Store(20000)
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(r.ip, uint16(w.ports.tunnel))))
	if err != nil {
		return nil, err
	}
	_ = udp.SetReadBuffer(4 << 20)
	r.udp = udp
	go func() {
		buf := make([]byte, 4096)
		for {
			n, from, err := udp.ReadFromUDPAddrPort(buf)
			if err != nil {
				return
			}
			p, err := decode(buf[:n])
			if err != nil {
				w.violate("MIXED: requester got bytes that are no packet, from %v", from)
				continue
			}
			if p.sum != signature && (p.sum != 0 || p.flags != flagReset) {
				w.violate("MIXED: requester got a packet that its sender didn't write so, from %v", from)
				continue
			}
			r.mu.Lock()
			ch := r.ends[p.dst]
			r.mu.Unlock()
			if ch != nil {
				select {
				case ch <- arrived{p, from}:
				default:
				}
			}
		}
	}()
	return r, nil
}

// flow is the requester's end of a flow.
type flow struct {
	r        *requester
	key      flowKey
	in       chan arrived
	echo     uint32
	seq, ack uint32
	isOpen   bool
}

func (f *flow) send(p packet) {
	p.src, p.dst, p.echo, p.sum = f.key.src, f.key.dst, f.echo, signature
	if p.flags&flagOpen != 0 {
		p.echo = 0
	}
	if f.r.w.lost() {
		return
	}
	to, _ := f.r.w.fleet.route(f.r.zone, f.key.src, f.key.dst)
	_, _ = f.r.udp.WriteToUDPAddrPort(p.encode(), to)
}

// await returns the first packet that matches, or false after a time. The flow takes over the echo of every packet.
func (f *flow) await(d time.Duration, match func(arrived) bool) (arrived, bool) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return arrived{}, false
		case p := <-f.in:
			if p.flags&flagReset != 0 {
				if f.isOpen && int32(p.seq-f.ack) > 76800 || f.isOpen && int32(p.seq-f.ack) < -76800 {
					continue
				}
				f.r.w.check.reset(f.key, p.from, p.sum == 0)
				return p, true
			}
			f.echo = p.echo
			if match(p) {
				return p, true
			}
		}
	}
}

// open opens a flow to a route; it returns nil if that fails.
func (r *requester) open(route endpoint) *flow {
	f := &flow{r: r, in: make(chan arrived, 64), seq: rand.Uint32()}
	f.key = flowKey{netip.AddrPortFrom(r.ip, uint16(r.port.Add(1))), route}
	r.mu.Lock()
	r.ends[f.key.src] = f.in
	r.mu.Unlock()
	r.w.check.sentOpening(f.key)
	for copyNo, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		if copyNo > 0 {
			_, n := r.w.fleet.route(r.zone, f.key.src, f.key.dst)
			r.w.rec.flow(f.key, "requester sends copy %d of the opening packet, by way of %s", copyNo, n.name)
		}
		f.send(packet{flags: flagOpen, seq: f.seq, ack: uint32(copyNo)})
		p, ok := f.await(wait, func(p arrived) bool { return p.flags&(flagOpen|flagAck) == flagOpen|flagAck })
		if !ok {
			continue
		}
		if p.flags&flagReset != 0 {
			break
		}
		f.seq, f.ack, f.isOpen = f.seq+1, p.seq+1, true
		return f
	}
	f.forget()
	return nil
}

func (f *flow) forget() {
	f.r.mu.Lock()
	delete(f.r.ends, f.key.src)
	f.r.mu.Unlock()
}

// request sends a request and waits for its answer until the time limit.
func (f *flow) request(id string, limit time.Duration) bool {
	f.r.w.check.sent(id)
	f.r.w.rec.line("sent %s", id)
	data := fmt.Appendf(nil, "%-200s", id)
	end := time.Now().Add(limit)
	for wait := 200 * time.Millisecond; ; wait = min(2*wait, 1600*time.Millisecond) {
		left := time.Until(end)
		if left <= 0 {
			return false
		}
		f.send(packet{flags: flagAck, seq: f.seq, ack: f.ack, data: data})
		p, ok := f.await(min(wait, left), func(p arrived) bool { return len(p.data) > 0 && p.seq == f.ack })
		if !ok {
			continue
		}
		if p.flags&flagReset != 0 {
			return false
		}
		if got, _, _ := strings.Cut(string(p.data), "|"); got != id {
			f.r.w.violate("MIXED: request %s got the answer of %s", id, got)
		}
		f.r.w.rec.line("answered %s", id)
		f.seq += uint32(len(data))
		f.ack += uint32(len(p.data))
		return true
	}
}

// pause waits between requests; it returns false if the flow was reset meanwhile.
func (f *flow) pause(d time.Duration) bool {
	if p, ok := f.await(min(d, 40*time.Millisecond), func(arrived) bool { return false }); ok && p.flags&flagReset != 0 {
		return false
	}
	f.send(packet{flags: flagAck, seq: f.seq, ack: f.ack})
	if p, ok := f.await(max(d-40*time.Millisecond, 0), func(arrived) bool { return false }); ok && p.flags&flagReset != 0 {
		return false
	}
	return true
}

func (f *flow) close() {
	f.r.w.check.end(f.key)
	f.send(packet{flags: flagAck | flagClose, seq: f.seq, ack: f.ack})
	f.forget()
}
