package soaker

import (
	"net"
	"sync"
	"time"
)

// link is a loopback proxy for connections and datagrams from balancers to one target, for injecting
// network faults. Datagrams pass in this direction only.
type link struct {
	target        string
	mu            sync.Mutex
	mode          linkMode
	conns         map[net.Conn]bool
	listener      net.Listener
	udp           *net.UDPConn
	listenAddress string
}

// linkMode is the fault that a link injects; the zero value injects none.
type linkMode struct {
	delay time.Duration
	// blackhole keeps connections open but passes nothing on, and drops datagrams.
	blackhole bool
	// dropDatagrams drops all datagrams; connections work.
	dropDatagrams bool
}

// newLink starts a link for connections, and for datagrams as well if withDatagrams is set.
func newLink(listenAddress, target string, withDatagrams bool) (*link, error) {
	l := &link{listenAddress: listenAddress, target: target, conns: map[net.Conn]bool{}}
	if err := l.listen(); err != nil {
		return nil, err
	}
	if !withDatagrams {
		return l, nil
	}
	address, err := net.ResolveUDPAddr("udp4", listenAddress)
	if err != nil {
		return nil, err
	}
	if l.udp, err = net.ListenUDP("udp4", address); err != nil {
		return nil, err
	}
	targetAddress, err := net.ResolveUDPAddr("udp4", target)
	if err != nil {
		return nil, err
	}
	go l.forwardDatagrams(targetAddress)
	return l, nil
}

// listen accepts connections, at first and again after refuseConnections.
func (l *link) listen() error {
	listener, err := net.Listen("tcp4", l.listenAddress)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.listener = listener
	l.mu.Unlock()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.proxyConnection(c)
		}
	}()
	return nil
}

// refuseConnections closes the listener and resets the open connections.
func (l *link) refuseConnections() {
	l.mu.Lock()
	_ = l.listener.Close()
	l.mu.Unlock()
	l.resetConnections()
}

func (l *link) resetConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (l *link) setMode(m linkMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
}

func (l *link) currentMode() linkMode {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode
}

// proxyConnection connects to the target and forwards in both directions until one side closes.
func (l *link) proxyConnection(in net.Conn) {
	l.mu.Lock()
	l.conns[in] = true
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.conns, in)
		l.mu.Unlock()
		_ = in.Close()
	}()
	out, err := net.Dial("tcp4", l.target)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	go l.forwardBytes(out, in)
	l.forwardBytes(in, out)
}

// forwardBytes forwards one direction of a connection. Once it has read bytes or EOF while the link was
// a blackhole, it forwards nothing more, since a gap would corrupt the stream.
func (l *link) forwardBytes(to, from net.Conn) {
	defer func() { _ = to.Close() }()
	buf := make([]byte, 32<<10)
	blackholed := false
	for {
		n, err := from.Read(buf)
		m := l.currentMode()
		time.Sleep(m.delay)
		blackholed = blackholed || m.blackhole
		if n > 0 && !blackholed {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (l *link) forwardDatagrams(target *net.UDPAddr) {
	buf := make([]byte, 2048)
	for {
		n, _, err := l.udp.ReadFromUDP(buf)
		if err != nil {
			return
		}
		m := l.currentMode()
		if m.blackhole || m.dropDatagrams {
			continue
		}
		data := append([]byte(nil), buf[:n]...)
		if m.delay == 0 {
			_, _ = l.udp.WriteToUDP(data, target)
			continue
		}
		time.AfterFunc(m.delay, func() { _, _ = l.udp.WriteToUDP(data, target) })
	}
}
