package soaker

import (
	"net"
	"sync"
	"time"
)

// link is a loopback proxy for connections and datagrams from balancers to one place. It can delay
// what passes, silence it, drop datagrams on their one way, and reset or refuse connections.
type link struct {
	to    string
	mu    sync.Mutex
	mode  linkMode
	conns map[net.Conn]bool
	lis   net.Listener
	udp   *net.UDPConn
	at    string
}

// linkMode is what a link does to what passes.
type linkMode struct {
	delay time.Duration
	// silent holds connections without passing anything on, and drops datagrams.
	silent bool
	// lossy drops datagrams but leaves connections alone.
	lossy bool
}

// newLink listens at an address, for datagrams as well if both is set.
func newLink(at, to string, both bool) (*link, error) {
	l := &link{at: at, to: to, conns: map[net.Conn]bool{}}
	if err := l.open(); err != nil {
		return nil, err
	}
	if !both {
		return l, nil
	}
	address, err := net.ResolveUDPAddr("udp4", at)
	if err != nil {
		return nil, err
	}
	if l.udp, err = net.ListenUDP("udp4", address); err != nil {
		return nil, err
	}
	target, err := net.ResolveUDPAddr("udp4", to)
	if err != nil {
		return nil, err
	}
	go l.datagrams(target)
	return l, nil
}

// open accepts connections, after refuse has ended that as well.
func (l *link) open() error {
	lis, err := net.Listen("tcp4", l.at)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.lis = lis
	l.mu.Unlock()
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go l.pipe(c)
		}
	}()
	return nil
}

// refuse closes the port and resets what is open.
func (l *link) refuse() {
	l.mu.Lock()
	_ = l.lis.Close()
	l.mu.Unlock()
	l.reset()
}

func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (l *link) set(m linkMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
}

func (l *link) get() linkMode {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode
}

func (l *link) pipe(c net.Conn) {
	l.mu.Lock()
	l.conns[c] = true
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.conns, c)
		l.mu.Unlock()
		_ = c.Close()
	}()
	out, err := net.Dial("tcp4", l.to)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	go l.copy(out, c)
	l.copy(c, out)
}

// copy passes on what comes; while the link is silent, nothing does, for good on this connection.
func (l *link) copy(to, from net.Conn) {
	defer func() { _ = to.Close() }()
	buf := make([]byte, 32<<10)
	dead := false
	for {
		n, err := from.Read(buf)
		m := l.get()
		time.Sleep(m.delay)
		dead = dead || m.silent
		if n > 0 && !dead {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (l *link) datagrams(to *net.UDPAddr) {
	buf := make([]byte, 2048)
	for {
		n, _, err := l.udp.ReadFromUDP(buf)
		if err != nil {
			return
		}
		m := l.get()
		if m.silent || m.lossy {
			continue
		}
		data := append([]byte(nil), buf[:n]...)
		if m.delay == 0 {
			_, _ = l.udp.WriteToUDP(data, to)
			continue
		}
		time.AfterFunc(m.delay, func() { _, _ = l.udp.WriteToUDP(data, to) })
	}
}
