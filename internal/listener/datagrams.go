package listener

import (
	"encoding/binary"
	"net"
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
)

// Datagrams reads datagrams from a socket and knows when they arrived there, which may be long before they are read.
type Datagrams struct {
	raw     syscall.RawConn
	began   time.Time
	control [controlSize]byte
	// emptyAt is when a read last had to wait, as the time since began, or when the socket was opened if none had to.
	// clockOffset is by how much the time of day was ahead of it then, and at the start. hasWaited is set by the first wait.
	emptyAt, clockOffset time.Duration
	hasWaited            bool
	// arrivedAt is when the datagram that was read last arrived.
	arrivedAt time.Duration
}

// NewDatagrams returns a reader of a socket that was opened at a time. Times count from began.
func NewDatagrams(conn *net.UDPConn, began, opened time.Time) (*Datagrams, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, oops.Code("socket").Wrap(err)
	}
	d := &Datagrams{raw: raw, began: began, emptyAt: opened.Sub(began)}
	_, d.clockOffset = d.now()
	return d, nil
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
			d.hasWaited = true
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
		stamped = stamped && stamp-clockOffset < calledAt
		d.arrivedAt = d.arrival(now, clockOffset, stamp, stamped)
	}
	return max(size, 0), err
}

// EmptyAt returns when the buffer was last empty before the datagram that was read last, which it was when the socket was
// opened.
func (d *Datagrams) EmptyAt() time.Duration { return d.emptyAt }

// ArrivedAt returns when the datagram that was read last arrived at the socket. It is before began for one that is older. If
// the system doesn't record that, datagrams count as old as the socket until a read has to wait, and then as new.
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
	case !stamped && d.hasWaited:
		return now
	case !stamped, d.clockOffset-clockOffset > maxClockDrift:
		// The time of day was set back, perhaps since the datagram arrived.
		return d.emptyAt
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
