package encapsulator_test

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp"
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"google.golang.org/protobuf/testing/protocmp"

	"example.org/rattanwood/encapsulator"
	"example.org/rattanwood/wire"
)

func innerPacket(syn bool) []byte {
	ip := &layers.IPv4{Version: 4, TTL: 64, Protocol: layers.IPProtocolTCP, SrcIP: net.IP{10, 0, 0, 9}, DstIP: net.IP{10, 0, 0, 1}}
	tcp := &layers.TCP{SrcPort: 1234, DstPort: 80, SYN: syn}
	_ = tcp.SetNetworkLayerForChecksum(ip)
	buf := gopacket.NewSerializeBuffer()
	opts := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	_ = gopacket.SerializeLayers(buf, opts, ip, tcp, gopacket.Payload("badge"))
	return buf.Bytes()
}

func TestEncodeThenDecode(t *testing.T) {
	tests := map[string]*wire.Relay{
		"from the fabric": nil,
		"short names":     {Kind: 1, Hops: 2, From: "a"},
		"long names":      {Kind: 4, Hops: 5, From: "east-entry-vm-000001", Origin: "east-entry-vm-000002", Home: "east-entry-vm-000003"},
	}
	for name, relay := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			data, err := encapsulator.Encode(innerPacket(true), 77, relay)
			c.Assert(err, qt.IsNil)
			var d encapsulator.Decoder
			p, err := d.Decode(data)
			c.Assert(err, qt.IsNil)
			c.Assert(p.VNI, qt.Equals, uint32(77))
			c.Assert(p.Opens, qt.IsTrue)
			c.Assert(p.Target.String(), qt.Equals, "10.0.0.1:80")
			c.Assert(string(p.Payload), qt.Equals, "badge")
			c.Assert(cmp.Diff(p.Relay, relay, protocmp.Transform()), qt.Equals, "")
		})
	}
}

func FuzzDecode(f *testing.F) {
	plain, _ := encapsulator.Encode(innerPacket(false), 1, nil)
	relayed, _ := encapsulator.Encode(innerPacket(false), 1, &wire.Relay{Kind: 1, From: "a"})
	f.Add(plain)
	f.Add(relayed)
	f.Fuzz(func(_ *testing.T, data []byte) {
		var d encapsulator.Decoder
		_, _ = d.Decode(data)
	})
}
