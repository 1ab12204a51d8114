package listener_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood/internal/listener"
)

// TestDatagramsThatWaited has datagrams wait in a socket's buffer: the reader doesn't find it empty until all are read.
func TestDatagramsThatWaited(t *testing.T) {
	c := qt.New(t)
	conn, err := listener.UDP(netip.MustParseAddrPort("127.0.0.1:0"), 1<<16)
	c.Assert(err, qt.IsNil)
	sender, err := net.Dial("udp4", conn.LocalAddr().String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = sender.Close() }()
	d, err := listener.NewDatagrams(conn, time.Now())
	c.Assert(err, qt.IsNil)
	send := func(text string) {
		_, err := sender.Write([]byte(text))
		c.Assert(err, qt.IsNil)
	}
	buf := make([]byte, 100)
	read := func() string {
		size, err := d.Read(buf)
		c.Assert(err, qt.IsNil)
		return string(buf[:size])
	}
	for _, text := range []string{"a", "b", "c"} {
		send(text)
	}
	for _, text := range []string{"a", "b", "c"} {
		c.Assert(read(), qt.Equals, text)
		c.Assert(d.EmptyAt(), qt.Equals, time.Duration(0))
	}
	go func() {
		time.Sleep(20 * time.Millisecond)
		_, _ = sender.Write([]byte("d"))
	}()
	c.Assert(read(), qt.Equals, "d")
	c.Assert(d.EmptyAt() > 0, qt.IsTrue)
	c.Assert(conn.Close(), qt.IsNil)
	_, err = d.Read(buf)
	c.Assert(err, qt.ErrorIs, net.ErrClosed)
}
