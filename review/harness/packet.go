// Command harness runs the review's cases: it starts balancers as processes and plays the platform's store, the
// routers, the backends and the requesters around them, all on loopback addresses.
package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

const (
	headSize = 34
	flagRST  = 1
	flagSYN  = 2
	flagFIN  = 4
	flagACK  = 128
	flagBack = 64
)

// packet is a packet as PROTOCOL.md describes it.
type packet struct {
	src, dst netip.AddrPort
	flags    byte
	seq, ack uint32
	echo     uint32
	data     []byte
	sumOK    bool
	sum      uint32
}

// sumKey stands for the key that only the ends of a flow know.
var sumKey = []byte("review")

// checksum is a keyed sum over all fields but echo, pad, BOUNCED and itself.
func checksum(b []byte) uint32 {
	h := fnv.New32a()
	_, _ = h.Write(sumKey)
	_, _ = h.Write(b[:10])
	_, _ = h.Write(b[14:26])
	_, _ = h.Write([]byte{b[26] &^ flagBack})
	_, _ = h.Write(b[headSize:])
	return max(h.Sum32(), 1)
}

func (p *packet) encode() []byte {
	b := make([]byte, headSize+len(p.data))
	binary.BigEndian.PutUint16(b, uint16(len(p.data)))
	binary.BigEndian.PutUint32(b[2:], p.seq)
	binary.BigEndian.PutUint32(b[6:], p.ack)
	binary.BigEndian.PutUint32(b[10:], p.echo)
	s, d := p.src.Addr().As4(), p.dst.Addr().As4()
	binary.BigEndian.PutUint16(b[14:], p.src.Port())
	copy(b[16:], d[:])
	binary.BigEndian.PutUint16(b[20:], p.dst.Port())
	copy(b[22:], s[:])
	b[26] = p.flags
	copy(b[headSize:], p.data)
	binary.BigEndian.PutUint32(b[30:], checksum(b))
	return b
}

func decode(b []byte) (packet, bool) {
	if len(b) < headSize || int(binary.BigEndian.Uint16(b)) != len(b)-headSize {
		return packet{}, false
	}
	p := packet{
		src:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[22:26])), binary.BigEndian.Uint16(b[14:])),
		dst:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[16:20])), binary.BigEndian.Uint16(b[20:])),
		flags: b[26], seq: binary.BigEndian.Uint32(b[2:]), ack: binary.BigEndian.Uint32(b[6:]), echo: binary.BigEndian.Uint32(b[10:]),
		sum: binary.BigEndian.Uint32(b[30:]),
	}
	p.data = append(p.data, b[headSize:]...)
	p.sumOK = p.sum == checksum(b)
	return p, true
}
