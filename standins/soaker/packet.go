package soaker

import (
	"encoding/binary"
	"net/netip"

	"example.org/rattanwood/platform"
)

// Bits of a packet's flags.
const (
	bitReset = 1
	bitOpen  = 2
	bitClose = 4
	bitAck   = 128
)

const (
	headerSize  = 34
	addressSize = 8
)

// packet is a packet of a flow as its ends see it.
type packet struct {
	from, to netip.AddrPort
	flags    byte
	seq, ack uint32
	echo     uint32
	// signed is false for packets that neither end wrote.
	signed bool
	data   string
}

// encode returns the packet in the platform's layout. The sum is one that no balancer writes.
func (p packet) encode() []byte {
	b := make([]byte, headerSize, headerSize+len(p.data))
	binary.BigEndian.PutUint16(b[0:], uint16(len(p.data)))
	binary.BigEndian.PutUint32(b[2:], p.seq)
	binary.BigEndian.PutUint32(b[6:], p.ack)
	binary.BigEndian.PutUint32(b[10:], p.echo)
	binary.BigEndian.PutUint16(b[14:], p.from.Port())
	to, from := p.to.Addr().As4(), p.from.Addr().As4()
	copy(b[16:], to[:])
	binary.BigEndian.PutUint16(b[20:], p.to.Port())
	copy(b[22:], from[:])
	b[26] = p.flags
	if p.signed {
		b[33] = 1
	}
	return append(b, p.data...)
}

// decode reads a packet; ok is false if there is none.
func decode(b []byte) (p packet, ok bool) {
	s, err := platform.Codec{}.Parse(b)
	if err != nil {
		return packet{}, false
	}
	return packet{
		from: s.Caller, to: s.Target, flags: b[26], seq: s.Seq, ack: s.Ack, echo: uint32(s.Tag), signed: b[33] != 0, data: string(b[headerSize:]),
	}, true
}
