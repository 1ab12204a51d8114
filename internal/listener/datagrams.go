package listener

import (
	"crypto/rand"
	"encoding/binary"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/samber/oops"
)

const (
	// controlSize is the room for the control messages of a datagram in bytes. The one with the time of arrival takes 32.
	controlSize = 64
	// maxClockDrift is how far the time of day may fall behind the monotonic clock between two reads. Beyond it, the time
	// of day was set back.
	maxClockDrift = 5 * time.Millisecond
	// nonceSize and markSize are the sizes of a mark's nonce and of a mark, which also holds a time.
	nonceSize, markSize = 16, 24
)

// Datagrams reads datagrams from a socket and knows when they arrived there, which may be long before they are read.
type Datagrams struct {
	conn  *net.UDPConn
	raw   syscall.RawConn
	began time.Time
	// nonce tells the marks in the socket's buffer from other datagrams, and self is the address that they are sent to.
	nonce [nonceSize]byte
	self  netip.AddrPort
	// markedAt is when the newest mark that was read had been sent: what is read later arrived later. stamped is set while the
	// system records when datagrams arrive, so that no marks are needed.
	markedAt time.Duration
	stamped  atomic.Bool
	control  [controlSize]byte
	// emptyAt is when a read last had to wait, as the time since began, or when the socket was opened if none had to.
	// clockOffset is by how much the time of day was ahead of it then, and at the start.
	emptyAt, clockOffset time.Duration
	// arrivedAt is when the datagram that was read last arrived.
	arrivedAt time.Duration
}

// NewDatagrams returns a reader of a socket that was opened at a time. Times count from began.
func NewDatagrams(conn *net.UDPConn, began, opened time.Time) (*Datagrams, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, oops.Code("socket").Wrap(err)
	}
	d := &Datagrams{conn: conn, raw: raw, began: began, emptyAt: opened.Sub(began)}
	if _, err := rand.Read(d.nonce[:]); err != nil {
		return nil, oops.Code("random").Wrap(err)
	}
	d.self = conn.LocalAddr().(*net.UDPAddr).AddrPort()
	if d.self.Addr().IsUnspecified() {
		loopback := netip.AddrFrom4([4]byte{127, 0, 0, 1})
		if d.self.Addr().Is6() && !d.self.Addr().Is4In6() {
			loopback = netip.IPv6Loopback()
		}
		d.self = netip.AddrPortFrom(loopback, d.self.Port())
	}
	_, d.clockOffset = d.now()
	return d, nil
}

// Mark puts a mark with the time into the socket's buffer, unless the system records when datagrams arrive. Without marks, a
// datagram counts as old as the time at which the buffer was last empty. Mark may be called beside Read.
func (d *Datagrams) Mark() error {
	if d.stamped.Load() {
		return nil
	}
	var mark [markSize]byte
	copy(mark[:], d.nonce[:])
	binary.BigEndian.PutUint64(mark[nonceSize:], uint64(time.Since(d.began)))
	_, err := d.conn.WriteToUDPAddrPort(mark[:], d.self)
	return oops.Code("socket").Wrap(err)
}

// readMark records a mark and reports whether a datagram is one.
func (d *Datagrams) readMark(p []byte) bool {
	if len(p) != markSize || [nonceSize]byte(p[:nonceSize]) != d.nonce {
		return false
	}
	d.markedAt = max(d.markedAt, time.Duration(binary.BigEndian.Uint64(p[nonceSize:])))
	return true
}

// RecordArrivals has the system record when datagrams arrive at a socket. Without that, Datagrams falls back on the time at
// which the socket's buffer was last empty.
func RecordArrivals(conn *net.UDPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return oops.Code("socket").Wrap(err)
	}
	var failure error
	err = raw.Control(func(fd uintptr) {
		failure = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_TIMESTAMPNS, 1)
	})
	if err == nil {
		err = failure
	}
	return oops.Code("socket").Wrap(err)
}

// Read waits for the next datagram and returns its size. It fails with net.ErrClosed once the socket is closed.
func (d *Datagrams) Read(p []byte) (size int, err error) {
	for {
		size, err = d.readAny(p)
		if err != nil || !d.readMark(p[:size]) {
			return size, err
		}
	}
}

// readAny is Read for datagrams and marks.
func (d *Datagrams) readAny(p []byte) (size int, err error) {
	var control int
	var failure error
	var calledAt time.Duration
	err = d.raw.Read(func(fd uintptr) bool {
		for {
			calledAt = time.Since(d.began)
			size, control, _, _, failure = syscall.Recvmsg(int(fd), p, d.control[:], 0)
			if failure != syscall.EINTR {
				break
			}
		}
		if failure == syscall.EAGAIN {
			d.emptyAt, d.clockOffset = d.now()
			return false
		}
		return true
	})
	if err == nil {
		err = failure
	}
	if err == nil {
		now, clockOffset := d.now()
		stamp, stamped := arrivalStamp(d.control[:control])
		// A datagram that came before the system had begun to record arrivals gets the time at which it is read.
		d.stamped.Store(stamped)
		stamped = stamped && stamp-clockOffset < calledAt
		d.arrivedAt = d.arrival(now, clockOffset, stamp, stamped)
	}
	return max(size, 0), err
}

// EmptyAt returns when the buffer was last empty before the datagram that was read last, which it was when the socket was
// opened.
func (d *Datagrams) EmptyAt() time.Duration { return d.emptyAt }

// ArrivedAt returns when the datagram that was read last arrived at the socket. It is before began for one that is older. If
// the system doesn't record that, it is the time of the last mark before the datagram, or when the buffer was last empty.
func (d *Datagrams) ArrivedAt() time.Duration { return d.arrivedAt }

// now returns the time since began, and by how much the time of day is ahead of it.
func (d *Datagrams) now() (now, clockOffset time.Duration) {
	t := time.Now()
	now = t.Sub(d.began)
	return now, time.Duration(t.UnixNano()) - now
}

// arrival returns when a datagram arrived that is read now. Stamp is the time of day at which it did, if stamped is set, and
// clockOffset by how much the time of day is ahead of now.
func (d *Datagrams) arrival(now, clockOffset, stamp time.Duration, stamped bool) time.Duration {
	switch {
	case !stamped, d.clockOffset-clockOffset > maxClockDrift:
		// The time of day was set back, perhaps since the datagram arrived.
		return max(d.emptyAt, d.markedAt)
	default:
		// If the time of day was set forward meanwhile, the datagram counts as older than it is. The same holds if the
		// machine was suspended, which the monotonic clock doesn't count.
		return min(stamp-clockOffset, now)
	}
}

// arrivalStamp returns the Unix time of arrival in control messages; ok is false if there is none.
func arrivalStamp(control []byte) (at time.Duration, ok bool) {
	messages, err := syscall.ParseSocketControlMessage(control)
	if err != nil {
		return 0, false
	}
	for _, m := range messages {
		// The data is a timespec of two numbers of 64 bits.
		if m.Header.Level == syscall.SOL_SOCKET && m.Header.Type == syscall.SCM_TIMESTAMPNS && len(m.Data) >= 16 {
			seconds, nanos := binary.NativeEndian.Uint64(m.Data), binary.NativeEndian.Uint64(m.Data[8:])
			return time.Duration(seconds)*time.Second + time.Duration(nanos), true
		}
	}
	return 0, false
}
