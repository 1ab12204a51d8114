package main

import (
	"encoding/binary"
	"errors"
	"net/netip"
)

// Flags of a packet's header.
const (
	flagReset = 1
	flagOpen  = 2
	flagClose = 4
	flagAck   = 128
)

const headerSize = 34

// signature stands in for the keyed sum of packets that one of the two ends wrote. The sum of a reset by a balancer
// is 0.
const signature = 0x5ec0de

// endpoint is one end of a flow.
type endpoint = netip.AddrPort

// packet is a packet of a flow, as PROTOCOL.md describes it.
type packet struct {
	src, dst endpoint
	flags    byte
	echo     uint32
	seq, ack uint32
	sum      uint32
	data     []byte
}

func (p *packet) encode() []byte {
	b := make([]byte, headerSize, headerSize+len(p.data))
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
	binary.BigEndian.PutUint32(b[30:], p.sum)
	return append(b, p.data...)
}

var errPacket = errors.New("not a packet")

func decode(b []byte) (packet, error) {
	if len(b) < headerSize || len(b) != headerSize+int(binary.BigEndian.Uint16(b)) {
		return packet{}, errPacket
	}
	return packet{
		src:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[22:26])), binary.BigEndian.Uint16(b[14:])),
		dst:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[16:20])), binary.BigEndian.Uint16(b[20:])),
		flags: b[26], echo: binary.BigEndian.Uint32(b[10:]),
		seq: binary.BigEndian.Uint32(b[2:]), ack: binary.BigEndian.Uint32(b[6:]), sum: binary.BigEndian.Uint32(b[30:]),
		data: append([]byte(nil), b[headerSize:]...),
	}, nil
}
