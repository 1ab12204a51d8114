package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Flags of a packet's header.
const (
	flagRST = 1
	flagSYN = 2
	flagFIN = 4
	flagACK = 128
)

const (
	headerSize = 34
	maxData    = 1200
)

// sumKey is the key of the checksum, which only requesters and backends know.
const sumKey = 0x5eed1e57

// packet is a packet as PROTOCOL.md describes it.
type packet struct {
	src, dst netip.AddrPort
	flags    byte
	seq, ack uint32
	echo     uint32
	sum      uint32
	data     []byte
}

// encode returns the packet's bytes. A packet is signed unless it is meant to be a reset of the system.
func (p *packet) encode(signed bool) []byte {
	b := make([]byte, headerSize+len(p.data))
	binary.BigEndian.PutUint16(b[0:], uint16(len(p.data)))
	binary.BigEndian.PutUint32(b[2:], p.seq)
	binary.BigEndian.PutUint32(b[6:], p.ack)
	binary.BigEndian.PutUint32(b[10:], p.echo)
	binary.BigEndian.PutUint16(b[14:], p.src.Port())
	dst, src := p.dst.Addr().As4(), p.src.Addr().As4()
	copy(b[16:], dst[:])
	binary.BigEndian.PutUint16(b[20:], p.dst.Port())
	copy(b[22:], src[:])
	b[26] = p.flags
	copy(b[headerSize:], p.data)
	if signed {
		binary.BigEndian.PutUint32(b[30:], checksum(b))
	}
	return b
}

// checksum is taken over all fields except echo, pad and sum. It is never zero.
func checksum(b []byte) uint32 {
	h := crc32.NewIEEE()
	var key [4]byte
	binary.BigEndian.PutUint32(key[:], sumKey)
	_, _ = h.Write(key[:])
	_, _ = h.Write(b[0:10])
	_, _ = h.Write(b[14:27])
	_, _ = h.Write(b[headerSize:])
	return max(h.Sum32(), 1)
}

// decode parses a datagram; ok is false if it holds no packet. Genuine is set if a requester or backend wrote it so.
func decode(b []byte) (p packet, genuine, ok bool) {
	if len(b) < headerSize || int(binary.BigEndian.Uint16(b)) != len(b)-headerSize || len(b) > headerSize+maxData {
		return packet{}, false, false
	}
	p = packet{
		src:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[22:26])), binary.BigEndian.Uint16(b[14:])),
		dst:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[16:20])), binary.BigEndian.Uint16(b[20:])),
		flags: b[26], seq: binary.BigEndian.Uint32(b[2:]), ack: binary.BigEndian.Uint32(b[6:]), echo: binary.BigEndian.Uint32(b[10:]),
		sum: binary.BigEndian.Uint32(b[30:]), data: append([]byte(nil), b[headerSize:]...),
	}
	return p, p.sum == checksum(b), true
}

func (p *packet) has(flag byte) bool { return p.flags&flag != 0 }
