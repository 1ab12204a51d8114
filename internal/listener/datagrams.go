package listener

import (
	"net"
	"syscall"
	"time"

	"github.com/samber/oops"
)

// Datagrams reads datagrams from a socket and knows when the socket's buffer was last empty. Whatever is read without a
// wait may have arrived long before.
type Datagrams struct {
	raw   syscall.RawConn
	began time.Time
	// emptyAt is when a read last had to wait, as the time since began.
	emptyAt time.Duration
}

// NewDatagrams returns a reader of a socket. Times count from began.
func NewDatagrams(conn *net.UDPConn, began time.Time) (*Datagrams, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, oops.Code("socket").Wrap(err)
	}
	return &Datagrams{raw: raw, began: began}, nil
}

// Read waits for the next datagram and returns its size. It fails with net.ErrClosed once the socket is closed.
func (d *Datagrams) Read(p []byte) (size int, err error) {
	var failure error
	err = d.raw.Read(func(fd uintptr) bool {
		for {
			size, failure = syscall.Read(int(fd), p)
			if failure != syscall.EINTR {
				break
			}
		}
		if failure == syscall.EAGAIN {
			d.emptyAt = time.Since(d.began)
			return false
		}
		return true
	})
	if err == nil {
		err = failure
	}
	return max(size, 0), err
}

// EmptyAt returns when the buffer was last empty before the datagram that was read last.
func (d *Datagrams) EmptyAt() time.Duration { return d.emptyAt }
