// Package encapsulator reads and writes the Geneve packets (RFC 8926) that the fabric, the balancers
// and the upstreams exchange. It doesn't decide where a packet goes; see the router package.
package encapsulator

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"google.golang.org/protobuf/proto"

	"example.org/rattanwood"
	"example.org/rattanwood/wire"
)

// MaxSize is the largest encapsulated packet in bytes.
const MaxSize = 65535

// The Geneve option that carries a wire.Relay: a length byte, the message, and padding to a multiple of
// four bytes.
const (
	optionClass   = 0xff01
	optionType    = 0x01
	maxOptionSize = 124
)

// Reason is the part of a packet that is malformed, and the label of dropped packets in metrics.
type Reason string

const (
	// ReasonFrame is a malformed Geneve header.
	ReasonFrame Reason = "frame"
	// ReasonOption is a relay option that is malformed, or too large to be written.
	ReasonOption Reason = "option"
	// ReasonNetwork is a malformed inner IP header.
	ReasonNetwork Reason = "network"
	// ReasonTransport is a malformed inner TCP or UDP header, or another protocol.
	ReasonTransport Reason = "transport"
	// ReasonSize is an encapsulated packet larger than MaxSize.
	ReasonSize Reason = "size"
)

// PacketError reports a packet that can't be decoded or encoded.
type PacketError struct {
	Reason Reason
}

// Error returns a message that names the malformed part.
func (e *PacketError) Error() string { return "packet dropped: bad " + string(e.Reason) }

// Packet is a decoded packet; Inner aliases the decoded bytes.
type Packet struct {
	Inner  []byte
	Flow   rattanwood.FlowID
	Caller netip.AddrPort
	Target netip.AddrPort
	// Opens is set for a SYN, Closes for a FIN or RST, and Stateless for UDP, as in router.Packet.
	Opens, Closes, Stateless bool
	// Relay is nil for packets from the fabric.
	Relay *wire.Relay
	// VNI is the virtual network identifier of the service, zero for packets from the fabric.
	VNI     uint32
	Payload []byte
}

// Decoder decodes packets. It reuses its memory and isn't safe for concurrent use.
type Decoder struct {
	geneve layers.Geneve
	ip4    layers.IPv4
	ip6    layers.IPv6
	tcp    layers.TCP
	udp    layers.UDP
}

// Decode decodes an encapsulated packet, its relay option and the headers of the inner packet. Errors are
// of type *PacketError.
func (d *Decoder) Decode(data []byte) (Packet, error) {
	if err := d.geneve.DecodeFromBytes(data, gopacket.NilDecodeFeedback); err != nil {
		return Packet{}, &PacketError{Reason: ReasonFrame}
	}
	p := Packet{Inner: d.geneve.Payload, VNI: d.geneve.VNI}
	if err := d.decodeOption(&p); err != nil {
		return Packet{}, err
	}
	return p, d.decodeInner(&p)
}

// decodeOption decodes the option that carries a wire.Relay, if there is one.
func (d *Decoder) decodeOption(p *Packet) error {
	for _, o := range d.geneve.Options {
		if o.Class != optionClass || o.Type != optionType {
			continue
		}
		if len(o.Data) == 0 || int(o.Data[0]) > len(o.Data)-1 {
			return &PacketError{Reason: ReasonOption}
		}
		p.Relay = &wire.Relay{}
		if err := proto.Unmarshal(o.Data[1:1+o.Data[0]], p.Relay); err != nil {
			return &PacketError{Reason: ReasonOption}
		}
	}
	return nil
}

// decodeInner decodes the IP header of the inner packet and what follows.
func (d *Decoder) decodeInner(p *Packet) error {
	var protocol layers.IPProtocol
	var payload []byte
	var source, target netip.Addr
	switch {
	case len(p.Inner) > 0 && p.Inner[0]>>4 == 4 && d.ip4.DecodeFromBytes(p.Inner, gopacket.NilDecodeFeedback) == nil:
		protocol, payload = d.ip4.Protocol, d.ip4.Payload
		source, _ = netip.AddrFromSlice(d.ip4.SrcIP)
		target, _ = netip.AddrFromSlice(d.ip4.DstIP)
	case len(p.Inner) > 0 && p.Inner[0]>>4 == 6 && d.ip6.DecodeFromBytes(p.Inner, gopacket.NilDecodeFeedback) == nil:
		protocol, payload = d.ip6.NextHeader, d.ip6.Payload
		source, _ = netip.AddrFromSlice(d.ip6.SrcIP)
		target, _ = netip.AddrFromSlice(d.ip6.DstIP)
	default:
		return &PacketError{Reason: ReasonNetwork}
	}
	return d.decodeTransport(p, protocol, payload, source, target)
}

// decodeTransport decodes the TCP or UDP header of the inner packet.
func (d *Decoder) decodeTransport(p *Packet, protocol layers.IPProtocol, payload []byte, source, target netip.Addr) error {
	switch protocol {
	case layers.IPProtocolTCP:
		if d.tcp.DecodeFromBytes(payload, gopacket.NilDecodeFeedback) != nil {
			return &PacketError{Reason: ReasonTransport}
		}
		p.Caller = netip.AddrPortFrom(source, uint16(d.tcp.SrcPort))
		p.Target = netip.AddrPortFrom(target, uint16(d.tcp.DstPort))
		p.Opens = d.tcp.SYN && !d.tcp.ACK
		p.Closes = d.tcp.FIN || d.tcp.RST
		p.Payload = d.tcp.Payload
	case layers.IPProtocolUDP:
		if d.udp.DecodeFromBytes(payload, gopacket.NilDecodeFeedback) != nil {
			return &PacketError{Reason: ReasonTransport}
		}
		p.Caller = netip.AddrPortFrom(source, uint16(d.udp.SrcPort))
		p.Target = netip.AddrPortFrom(target, uint16(d.udp.DstPort))
		p.Stateless = true
		p.Payload = d.udp.Payload
	default:
		return &PacketError{Reason: ReasonTransport}
	}
	p.Flow = FlowOf(p.Caller, p.Target, uint8(protocol))
	return nil
}

// FlowOf returns the id of a flow, a hash of its addresses, ports and IP protocol.
func FlowOf(source, target netip.AddrPort, protocol uint8) rattanwood.FlowID {
	var key [37]byte
	from, to := source.Addr().As16(), target.Addr().As16()
	copy(key[0:], from[:])
	copy(key[16:], to[:])
	binary.BigEndian.PutUint16(key[32:], source.Port())
	binary.BigEndian.PutUint16(key[34:], target.Port())
	key[36] = protocol
	return rattanwood.FlowID(xxhash.Sum64(key[:]))
}

// VNI returns the virtual network identifier of a service, 24 bits of the hash of its name.
func VNI(s rattanwood.ServiceID) uint32 {
	return uint32(xxhash.Sum64String(string(s))) & 0xffffff
}

// Encode encapsulates an inner IP packet. A nil relay writes no option.
func Encode(inner []byte, vni uint32, relay *wire.Relay) ([]byte, error) {
	g := &layers.Geneve{Protocol: layers.EthernetTypeIPv4, VNI: vni}
	if len(inner) > 0 && inner[0]>>4 == 6 {
		g.Protocol = layers.EthernetTypeIPv6
	}
	if relay != nil {
		option, err := encodeOption(relay)
		if err != nil {
			return nil, err
		}
		g.Options = []*layers.GeneveOption{option}
	}
	buf := gopacket.NewSerializeBuffer()
	if err := gopacket.SerializeLayers(buf, gopacket.SerializeOptions{FixLengths: true}, g, gopacket.Payload(inner)); err != nil {
		return nil, &PacketError{Reason: ReasonFrame}
	}
	if len(buf.Bytes()) > MaxSize {
		return nil, &PacketError{Reason: ReasonSize}
	}
	return buf.Bytes(), nil
}

func encodeOption(relay *wire.Relay) (*layers.GeneveOption, error) {
	body, err := proto.Marshal(relay)
	if err != nil || len(body) >= maxOptionSize {
		return nil, &PacketError{Reason: ReasonOption}
	}
	padded := (1 + len(body) + 3) / 4 * 4
	data := make([]byte, padded)
	data[0] = byte(len(body))
	copy(data[1:], body)
	// Length includes the option's own header of four bytes.
	return &layers.GeneveOption{Class: optionClass, Type: optionType, Length: uint8(padded + 4), Data: data}, nil
}
