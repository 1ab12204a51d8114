package node_test

import (
	"encoding/binary"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
)

// TestAdmissionWithRoom opens flows while there is room. With admission they are counted and let in; without,
// nothing is counted.
func TestAdmissionWithRoom(t *testing.T) {
	for name, on := range map[string]bool{"on": true, "off": false} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newStoppedFleet(c)
			f.admission = on
			for i := range 2 {
				f.start(i)
			}
			for i := range 2 {
				f.eventually("ready", func() bool { return f.get(i, "/ready", nil) == http.StatusOK })
			}
			for port := uint16(1); port <= 20; port++ {
				c.Assert(f.open(int(port)%2, port, "198.18.0.1:443"), qt.Not(qt.Equals), -1)
			}
			text := f.metrics()
			if !on {
				c.Assert(text, qt.Not(qt.Contains), "rattanwood_admissions_total")
				c.Assert(f.state(0).Admission, qt.HasLen, 0)
				return
			}
			c.Assert(text, qt.Contains, `rattanwood_admissions_total{level="`)
			c.Assert(text, qt.Contains, `outcome="admitted"`)
			c.Assert(text, qt.Not(qt.Contains), `outcome="refused"`)
		})
	}
}

// data returns a packet of a Caller's flow that carries a request, or the acknowledgement of a response.
func data(port uint16, tag uint32, flags byte, seq, ack uint32, size int) []byte {
	p := packet(port, "198.18.0.1:443", flags, tag, seq)
	binary.BigEndian.PutUint16(p, uint16(size))
	binary.BigEndian.PutUint32(p[6:], ack)
	return append(p, make([]byte, size)...)
}

// TestAdmissionUnderOverload has upstreams answer at first, and then not at all while many more flows are
// opened. The node must refuse some of them, and keep those that it let in.
func TestAdmissionUnderOverload(t *testing.T) {
	const firstPort, openPort = 1000, 1
	c := qt.New(t)
	f := newStoppedFleet(c)
	f.admission = true
	f.start(0)
	f.eventually("ready", func() bool { return f.get(0, "/ready", nil) == http.StatusOK })
	at := 0
	for port := uint16(openPort); port <= 30; port++ {
		at = f.answer(0, port)
	}
	c.Assert(f.metrics(), qt.Not(qt.Contains), `outcome="refused"`)

	port, refused := uint16(firstPort), 0
	f.eventually("flows are refused", func() bool {
		refused += f.overload(&port)
		return refused > 10
	})
	c.Assert(f.metrics(), qt.Matches, `(?s).*rattanwood_admissions_total{level="\d+",outcome="refused",reason="(overload|excess)"} \d+.*`)
	lines := f.logs[0].linesWith(`"message":"flow overloaded"`)
	c.Assert(len(lines) > 0, qt.IsTrue)
	c.Assert(lines[0], qt.Matches, `.*"outcome":"reset","reason":"(overload|excess)","service":"s","level":\d+,"load":[\d.]+,"limit":[\d.]+,"age":\d+.*\n`)
	var line struct{ Load, Limit float64 }
	c.Assert(json.Unmarshal([]byte(lines[0]), &line), qt.IsNil)
	c.Assert(line.Load > line.Limit, qt.IsTrue, qt.Commentf("%s", lines[0]))
	rows := f.state(0).Admission
	c.Assert(len(rows) > 0, qt.IsTrue)
	c.Assert(rows[0].Service, qt.Equals, rattanwood.ServiceID("s"))
	c.Assert(rows[0].Limit > 0 && rows[0].WorkMillis > 20, qt.IsTrue, qt.Commentf("%+v", rows[0]))

	time.Sleep(100 * time.Millisecond)
	for len(f.upstreams[0].packets)+len(f.upstreams[1].packets)+len(f.resets) > 0 {
		select {
		case <-f.upstreams[0].packets:
		case <-f.upstreams[1].packets:
		case <-f.resets:
		}
	}
	f.send(0, data(30, tag(at), flagAck, 202, 1100, 200))
	c.Assert(f.receivedBy(), qt.Equals, at, qt.Commentf("an open flow goes on"))
}

// overload opens ten flows by way of the nodes in turn, from port on. Their Callers send a request at once and end the
// flow without an answer. It returns the number of flows that were refused meanwhile.
func (f *fleet) overload(port *uint16) (refused int) {
	const flagClose = 4
	for range 10 {
		f.send(int(*port)%len(f.stops), packet(*port, "198.18.0.1:443", flagOpen, 0, 1))
		*port++
		time.Sleep(2 * time.Millisecond)
	}
	for i, u := range f.upstreams {
		for len(u.packets) > 0 {
			// Behind the upstream's id of 8 bytes come the packet's flags at byte 26 and its source port at byte 14.
			if p := <-u.packets; p[8+26] == flagOpen {
				from := binary.BigEndian.Uint16(p[8+14:])
				f.send(int(from)%len(f.stops), data(from, tag(i), flagAck, 2, 100, 200))
				f.send(int(from)%len(f.stops), data(from, tag(i), flagAck|flagClose, 202, 100, 0))
			}
		}
	}
	for ; len(f.resets) > 0; refused++ {
		<-f.resets
	}
	return refused
}

// TestDemandsPassBetweenNodes sends all flows to one of two nodes. The other must learn of the demand.
func TestDemandsPassBetweenNodes(t *testing.T) {
	c := qt.New(t)
	f := newStoppedFleet(c)
	f.admission = true
	for i := range 2 {
		f.start(i)
	}
	for i := range 2 {
		f.eventually("ready", func() bool { return f.get(i, "/ready", nil) == http.StatusOK })
	}
	port := uint16(0)
	f.eventually("node 0 knows what node 1 has seen", func() bool {
		port++
		f.answer(1, port)
		rows := f.state(0).Admission
		return len(rows) > 0 && rows[0].Service == "s" && rows[0].Offered > 0
	})
	c.Assert(f.metrics(), qt.Not(qt.Contains), "rattanwood_admissions_total")
}

// answer opens a flow by way of a node and has its request answered after 40 ms. It returns the upstream.
func (f *fleet) answer(i int, port uint16) int {
	at := f.open(i, port, "198.18.0.1:443")
	f.send(i, data(port, tag(at), flagAck, 2, 100, 200))
	f.c.Assert(f.receivedBy(), qt.Equals, at)
	time.Sleep(40 * time.Millisecond)
	f.send(i, data(port, tag(at), flagAck, 202, 1100, 0))
	f.c.Assert(f.receivedBy(), qt.Equals, at)
	return at
}
