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

// heartbeatInterval is how often a backend writes its entry.
const heartbeatInterval = 1200 * time.Millisecond

// backend is a backend of a service. It may crash and start again under its id.
type backend struct {
	run     *run
	id      uint64
	service string
	zone    string
	address string
	slots   int
	// workTime is how long a request takes, and coldTime the same while the backend is cold, one request at a time.
	workTime, coldTime time.Duration

	mu       sync.Mutex
	alive    bool
	life     int
	born     time.Time
	cold     time.Duration
	draining bool
	sequence int
	entry    string
	flows    map[flowKey]*backendFlow
	// busyUntil is when the requests that came while the backend was cold are done.
	busyUntil time.Time
	udp       *net.UDPConn
	health    *http.Server
	// opened are the opening packets that the backend took.
	opened []opening
}

// opening is the opening packet of a flow that a backend took.
type opening struct {
	flow        flowKey
	life        int
	coldUntil   time.Time
	sent, taken time.Time
	via         string
}

type flowKey struct{ client, target netip.AddrPort }

type backendFlow struct {
	seq    uint32 // own next sequence number
	ack    uint32 // next expected of the client
	echo   uint32
	open   bool
	closed bool
	// retransmits counts the SYN+ACKs that were sent again.
	retransmits int
	// answers are kept for retransmissions by the sequence number of the request.
	answers map[uint32][]byte
}

func (b *backend) name() string { return fmt.Sprintf("i-%010x", b.id) }

func (b *backend) key() string { return "servers/" + b.name() }

// start begins a lifetime, which is cold for a time, and writes the entry.
func (b *backend) start(cold time.Duration) error {
	udpAddr, err := net.ResolveUDPAddr("udp4", b.address)
	if err != nil {
		return err
	}
	udp, err := net.ListenUDP("udp4", udpAddr)
	if err != nil {
		return err
	}
	_ = udp.SetReadBuffer(1 << 20)
	l, err := net.Listen("tcp4", b.address)
	if err != nil {
		_ = udp.Close()
		return err
	}
	b.mu.Lock()
	b.life++
	b.alive, b.born, b.cold, b.draining, b.sequence, b.entry = true, time.Now(), cold, false, 0, ""
	b.flows, b.udp = map[flowKey]*backendFlow{}, udp
	life := b.life
	b.health = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Rattanwood-Instance-Id", b.name())
		b.mu.Lock()
		leaving := b.draining
		b.mu.Unlock()
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})}
	health := b.health
	b.mu.Unlock()
	b.run.log("backend %s life %d starts, cold for %v", b.name(), life, cold)
	go func() { _ = health.Serve(l) }()
	go b.receive(udp, life)
	go b.beat(life)
	return nil
}

// crash ends the lifetime. The address refuses connections and drops packets until the next one begins.
func (b *backend) crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.alive {
		return
	}
	b.alive = false
	_ = b.udp.Close()
	_ = b.health.Close()
	b.run.log("backend %s life %d crashes", b.name(), b.life)
}

// beat writes the entry at once and then once in heartbeatInterval.
func (b *backend) beat(life int) {
	for b.writeEntry(life) {
		time.Sleep(heartbeatInterval)
	}
}

// writeEntry writes the entry, unless only the sequence differs. It reports false if the lifetime has ended.
func (b *backend) writeEntry(life int) bool {
	b.mu.Lock()
	if !b.alive || b.life != life {
		b.mu.Unlock()
		return false
	}
	b.sequence++
	state := "ready"
	if b.draining {
		state = "draining"
	}
	remaining := max(b.cold-time.Since(b.born), 0).Milliseconds()
	entry := func(sequence int) string {
		return mustJSON(map[string]any{
			"service": b.service, "address": b.address, "zone": b.zone, "version": "v1", "slots": b.slots, "state": state,
			"warmup_remaining_ms": remaining, "sequence": sequence, "born": b.born.UnixMilli(),
		})
	}
	unchanged, text := entry(0), entry(b.sequence)
	skip := unchanged == b.entry
	b.mu.Unlock()
	if skip {
		return true
	}
	if _, ok := b.run.store.put(b.key(), text); ok {
		b.mu.Lock()
		if b.life == life {
			b.entry = unchanged
		}
		b.mu.Unlock()
		b.run.log("backend %s life %d wrote its entry: %s, cold for %d ms more", b.name(), life, state, remaining)
	}
	return true
}

func (b *backend) receive(udp *net.UDPConn, life int) {
	buf := make([]byte, 2048)
	for {
		n, from, err := udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if n < 8 {
			continue
		}
		if id := binary.BigEndian.Uint64(buf); id != 0 && id != b.id {
			continue
		}
		p, genuine, ok := decode(buf[8:n])
		if !ok || !genuine {
			b.run.breakRule("UNASKED", "backend %s got a packet that its sender didn't write so, from %s", b.name(), from)
			continue
		}
		b.handle(p, life, from.Addr().String())
	}
}

func (b *backend) send(key flowKey, p packet) {
	p.src, p.dst = key.target, key.client
	if b.run.loses() {
		return
	}
	_, _ = b.udp.WriteToUDPAddrPort(p.encode(true), netip.AddrPortFrom(key.client.Addr(), b.run.tunnelPort))
}

func (b *backend) handle(p packet, life int, via string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.alive || b.life != life {
		return
	}
	key := flowKey{client: p.src, target: p.dst}
	f := b.flows[key]
	switch {
	case p.has(flagSYN) && p.has(flagACK):
		b.run.breakRule("UNASKED", "backend %s got a SYN+ACK", b.name())
	case p.has(flagSYN):
		if f == nil {
			f = &backendFlow{seq: rand.Uint32(), ack: p.seq + 1, answers: map[uint32][]byte{}}
			b.flows[key] = f
			o := opening{flow: key, life: life, sent: b.run.sentAt(key), taken: time.Now(), via: via}
			if b.cold > 0 {
				o.coldUntil = b.born.Add(b.cold)
			}
			b.opened = append(b.opened, o)
			b.run.tookOpening(b, o)
		}
		f.echo = p.echo
		b.send(key, packet{flags: flagSYN | flagACK, seq: f.seq, ack: f.ack, echo: f.echo})
		if f.retransmits == 0 {
			b.retransmit(key, f, life, 200*time.Millisecond)
		}
	case f == nil:
		if !p.has(flagRST) {
			b.run.sentReset(b, key)
			b.send(key, packet{flags: flagRST, seq: p.ack, echo: p.echo})
		}
	case !f.open && p.ack != f.seq+1:
		// The flow is open at another backend, or not at all.
		b.run.sentReset(b, key)
		b.send(key, packet{flags: flagRST, seq: p.ack, echo: p.echo})
	case f.closed:
		if p.has(flagFIN) {
			b.send(key, packet{flags: flagACK, seq: f.seq, ack: f.ack, echo: f.echo})
		} else if len(p.data) > 0 {
			b.send(key, packet{flags: flagRST, seq: p.ack, echo: p.echo})
		}
	default:
		b.handleOpen(key, f, p)
	}
}

// workFor returns how long from now a request takes that arrives now. The calling code must hold mu.
func (b *backend) workFor() time.Duration {
	now := time.Now()
	if b.coldTime == 0 || now.After(b.born.Add(b.cold)) {
		return b.workTime
	}
	if b.busyUntil.Before(now) {
		b.busyUntil = now
	}
	b.busyUntil = b.busyUntil.Add(b.coldTime)
	return b.busyUntil.Sub(now)
}

// maxRetransmits is how often a backend sends a packet again before it gives up.
const maxRetransmits = 8

// retransmit sends the SYN+ACK again until the flow is open. The calling code must hold mu.
func (b *backend) retransmit(key flowKey, f *backendFlow, life int, after time.Duration) {
	f.retransmits++
	time.AfterFunc(after, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if !b.alive || b.life != life || f.open || f.closed || b.flows[key] != f {
			return
		}
		if f.retransmits > maxRetransmits {
			delete(b.flows, key)
			return
		}
		b.send(key, packet{flags: flagSYN | flagACK, seq: f.seq, ack: f.ack, echo: f.echo})
		b.retransmit(key, f, life, min(2*after, 1600*time.Millisecond))
	})
}

func (b *backend) handleOpen(key flowKey, f *backendFlow, p packet) {
	if !f.open {
		f.open = true
		f.seq++
		b.run.openedAt(b, key)
	}
	f.echo = p.echo
	switch {
	case p.has(flagRST):
		f.closed = true
		b.run.closed(key)
		return
	case len(p.data) > 0:
		if reply, ok := f.answers[p.seq]; ok {
			if reply != nil {
				b.send(key, packet{flags: flagACK, seq: p.ack, ack: f.ack, echo: f.echo, data: reply})
			}
			return
		}
		if p.seq != f.ack {
			return
		}
		f.answers[p.seq] = nil
		f.ack += uint32(len(p.data))
		b.run.ran(b, key, string(p.data))
		life := b.life
		time.AfterFunc(b.workFor(), func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			if !b.alive || b.life != life || f.closed {
				return
			}
			reply := []byte(string(p.data) + "|" + b.name() + "|" + strings.Repeat(" ", 600))
			f.answers[p.seq] = reply
			f.seq += uint32(len(reply))
			flags := byte(flagACK)
			if b.draining {
				flags |= flagFIN
				f.closed = true
				b.run.closed(key)
			}
			b.send(key, packet{flags: flags, seq: p.ack, ack: f.ack, echo: f.echo, data: reply})
		})
	case p.has(flagFIN):
		f.closed = true
		b.run.closed(key)
		b.send(key, packet{flags: flagACK | flagFIN, seq: f.seq, ack: p.seq + 1, echo: f.echo})
	}
}
