package node_test

import (
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"example.org/rattanwood/internal/node"
	"example.org/rattanwood/sealer"
	"example.org/rattanwood/wire"
)

func testKey(id sealer.KeyID, fill string) sealer.KeyEntry {
	return sealer.NewKeyEntry(id, []byte(strings.Repeat(fill, 32)), time.Time{})
}

// setKeys writes the key file of a node.
func (f *fleet) setKeys(i int, keys ...sealer.KeyEntry) {
	data, err := (&sealer.KeyFile{Keys: keys}).Encode()
	f.c.Assert(err, qt.IsNil)
	if f.keyFiles == nil {
		f.keyFiles = map[int]string{}
	}
	if f.keyFiles[i] == "" {
		f.keyFiles[i] = filepath.Join(f.c.TempDir(), "keys.json")
	}
	f.c.Assert(os.WriteFile(f.keyFiles[i], data, 0o600), qt.IsNil)
}

// newKeyedFleet starts a fleet whose nodes all have a key, and waits until they know each other.
func newKeyedFleet(c *qt.C) *fleet {
	f := newStoppedFleet(c)
	for i := range 3 {
		f.setKeys(i, testKey("k1", "a"))
		f.start(i)
	}
	for i := range 3 {
		f.eventually("ready", func() bool { return f.get(i, "/ready", nil) == http.StatusOK })
		f.eventually("knows the others", func() bool { return f.alive(i) == 2 })
	}
	return f
}

// alive returns how many other nodes a node believes alive.
func (f *fleet) alive(i int) (count int) {
	for _, m := range f.state(i).Members {
		count += boolToInt(m.State == "alive" && strings.HasPrefix(string(m.VM), "vm-"))
	}
	return count
}

// forgedHeartbeat claims, in the name of a node that exists, that both upstreams are dead.
func (f *fleet) forgedHeartbeat() []byte {
	beat := &wire.Beat{Seq: 1 << 40, Failing: []uint32{1, 2}, Dead: []uint32{1, 2}, Version: 1 << 20, Centre: "east"}
	data, err := proto.Marshal(&wire.Envelope{Vm: "vm-1", Life: uint64(time.Now().UnixNano()), Body: &wire.Envelope_Beat{Beat: beat}})
	f.c.Assert(err, qt.IsNil)
	return data
}

// TestForgedHeartbeats sends node 0 heartbeats that declare all upstreams dead. None may have an effect: the
// life of the node in whose name they are would change. All are counted and logged with their sender. Whoever
// replays what a node sealed in an earlier life has the right code, but no session.
func TestForgedHeartbeats(t *testing.T) {
	c := qt.New(t)
	f := newKeyedFleet(c)
	lives := func() (out []uint64) {
		for _, m := range f.state(0).Members {
			out = append(out, uint64(m.Incarnation))
		}
		return out
	}
	before := lives()
	target := netip.AddrPortFrom(netip.MustParseAddr(ip(0)), uint16(f.ports.Peer))
	attacker, err := net.DialUDP("udp4", &net.UDPAddr{IP: net.ParseIP(callerIP)}, net.UDPAddrFromAddrPort(target))
	c.Assert(err, qt.IsNil)
	defer func() { _ = attacker.Close() }()
	self := attacker.LocalAddr().(*net.UDPAddr).AddrPort()
	for reason, key := range map[string]string{"unsealed": "", "forged": "b", "session": "a"} {
		data := f.forgedHeartbeat()
		if key != "" {
			s := sealer.New(sealer.Config{Self: self, Random: func() uint64 { return 1 }}, []sealer.Key{{ID: "k1", Secret: []byte(strings.Repeat(key, 32))}})
			data, err = s.Seal(sealer.Instant{Date: time.Now()}, nil, target, data)
			c.Assert(err, qt.IsNil)
		}
		_, err = attacker.Write(data)
		c.Assert(err, qt.IsNil)
		f.eventually("rejected "+reason, func() bool {
			return strings.Contains(f.metrics(), `rattanwood_rejected_total{reason="peer_`+reason+`"}`)
		})
		lines := f.logs[0].linesWith("datagram to the peer port rejected")
		c.Assert(strings.Join(lines, ""), qt.Contains, `"peer":"`+self.String()+`","reason":"`+reason+`"`)
	}
	c.Assert(lives(), qt.DeepEquals, before)
	for port := uint16(1); port < 10; port++ {
		c.Assert(f.open(0, port, "198.18.0.1:443"), qt.Not(qt.Equals), -1)
	}
}

// TestKeys has two nodes with a key exchange records while a third has another key and stays alone.
func TestKeys(t *testing.T) {
	c := qt.New(t)
	f := newStoppedFleet(c)
	f.setKeys(0, testKey("k1", "a"))
	f.setKeys(1, testKey("k1", "a"))
	f.setKeys(2, testKey("k1", "b"))
	for i := range 3 {
		f.start(i)
	}
	for i := range 2 {
		f.eventually("knows the other", func() bool { return f.alive(i) == 1 })
	}
	f.src.write(f.upstreams[0].key, f.upstreams[0].registration("draining"))
	for i := range 2 {
		f.eventually("has the record", func() bool { return f.state(i).Revision == 5 })
	}
	f.eventually("one of the two reads for both", func() bool {
		return boolToInt(f.state(0).IsReader)+boolToInt(f.state(1).IsReader) == 1
	})
	f.eventually("third is rejected", func() bool { return strings.Contains(f.metrics(), `reason="peer_forged"`) })
	c.Assert(f.alive(2), qt.Equals, 0)
	c.Assert(f.alive(0), qt.Equals, 1)
	s := f.state(0)
	c.Assert(s.Authenticated, qt.IsTrue)
	c.Assert(s.Keys, qt.DeepEquals, []node.KeyState{{ID: "k1", Signs: true}})
}

// TestNoKeys checks that a node without keys says so once, in its log and in its dump.
func TestNoKeys(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c)
	c.Assert(f.logs[0].linesWith("no keys in the settings"), qt.HasLen, 1)
	c.Assert(f.state(0).Authenticated, qt.IsFalse)
}

// TestRotation replaces the key of a fleet, node by node and without a restart. At each step the nodes hear each
// other, and an established flow goes on.
func TestRotation(t *testing.T) {
	c := qt.New(t)
	f := newKeyedFleet(c)
	at := f.open(0, 1, "198.18.0.1:443")
	old, next := testKey("k1", "a"), testKey("k2", "b")
	for step, keys := range [][]sealer.KeyEntry{{old, next}, {next, old}, {next}} {
		for i := range 3 {
			f.setKeys(i, keys...)
			f.reload()
			f.eventually("keys in force", func() bool {
				s := f.state(i).Keys
				return len(s) == len(keys) && string(s[0].ID) == keys[0].ID
			})
			f.send(i, packet(1, "198.18.0.1:443", flagAck, tag(at), 2))
			c.Assert(f.receivedBy(), qt.Equals, at)
		}
		f.src.write("op/other", strings.Repeat("?", step+2))
		for i := range 3 {
			f.eventually("has the record", func() bool { return int(f.state(i).Revision) == 5+step })
		}
	}
	time.Sleep(2500 * time.Millisecond) // longer than until a silent node is suspected
	for i := range 3 {
		c.Assert(f.alive(i), qt.Equals, 2)
		c.Assert(f.logs[i].linesWith("datagram to the peer port rejected"), qt.HasLen, len(f.logs[i].linesWith(`"reason":"session"`)))
	}
	c.Log("the new key alone is in use: a node that never had another hears the others")
	f.stops[2]()
	c.Assert(<-f.ended[2], qt.IsNil)
	f.start(2)
	f.eventually("restarted node knows the others", func() bool { return f.alive(2) == 2 })
}

// TestInvalidKeyFile checks that a key file that became invalid leaves the keys in force.
func TestInvalidKeyFile(t *testing.T) {
	c := qt.New(t)
	f := newStoppedFleet(c)
	f.setKeys(0, testKey("k1", "a"))
	f.start(0)
	f.eventually("ready", func() bool { return f.get(0, "/ready", nil) == http.StatusOK })
	c.Assert(os.Chmod(f.keyFiles[0], 0o644), qt.IsNil)
	f.reload()
	const rejected = "invalid key file, keeping the current keys"
	f.eventually("rejected", func() bool { return f.logs[0].contains(rejected) })
	f.reload()
	f.eventually("rejected again", func() bool { return len(f.logs[0].linesWith(rejected)) == 2 })
	c.Assert(f.logs[0].contains("turned off"), qt.IsFalse)
	c.Assert(os.WriteFile(f.files[0], []byte(strings.Replace(f.settings(0), f.keyFiles[0], "", 1)), 0o600), qt.IsNil)
	f.reload()
	f.eventually("not turned off", func() bool { return f.logs[0].contains("keys can't be turned off without a restart") })
	c.Assert(f.state(0).Keys, qt.HasLen, 1)
}
