package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

const (
	// resendInterval is the time after which an unanswered packet is sent again.
	resendInterval = 200 * time.Millisecond
	// giveUpTimeout is the time after which a flow with an unanswered packet counts as stalled, and
	// how long requests may go on after the load has ended.
	giveUpTimeout = 10 * time.Second
)

// answerRouter hands each answer that arrives on the shared socket to the flow that waits for it.
// The key of an answer is the flow's name and the packet's sequence number.
type answerRouter struct {
	mu      sync.Mutex
	waiting map[string]chan string
}

// receive reads answers until conn is closed and drops those that no flow waits for.
func (a *answerRouter) receive(conn *net.UDPConn) {
	buf := make([]byte, 2048)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		fields := strings.Fields(string(buf[:n]))
		if len(fields) != 3 {
			continue
		}
		a.mu.Lock()
		waiter := a.waiting[fields[0]+" "+fields[1]]
		a.mu.Unlock()
		if waiter != nil {
			select {
			case waiter <- fields[2]:
			default:
			}
		}
	}
}

func (a *answerRouter) register(key string) chan string {
	ch := make(chan string, 1)
	a.mu.Lock()
	a.waiting[key] = ch
	a.mu.Unlock()
	return ch
}

func (a *answerRouter) unregister(key string) {
	a.mu.Lock()
	delete(a.waiting, key)
	a.mu.Unlock()
}

// flow is one simulated TCP flow.
type flow struct {
	name    string
	service string
	source  netip.AddrPort
	target  netip.AddrPort
	// replyAddress is where upstreams send their answers.
	replyAddress string
	// packets is the number of packets besides the first and the last.
	packets int
	// meanInterval is the mean pause between two packets; the pauses vary from 0.5 to 1.5 times that.
	meanInterval time.Duration
}

// sendPackets sends a SYN, the flow's packets and a FIN, each after the answer to the one before,
// and reports whether all were answered. When ctx is cancelled it goes on with the FIN.
func (f *flow) sendPackets(ctx context.Context, conn *net.UDPConn, fabric netip.AddrPort, answers *answerRouter, random *rand.Rand) bool {
	for i := 0; i <= f.packets+1; i++ {
		tcp := &layers.TCP{SYN: i == 0, ACK: i > 0, FIN: i == f.packets+1}
		if !f.sendPacket(conn, fabric, answers, tcp, i) {
			return false
		}
		wait := f.meanInterval/2 + time.Duration(random.Int64N(int64(f.meanInterval)))
		select {
		case <-ctx.Done():
			i = max(i, f.packets)
		case <-time.After(wait):
		}
	}
	return true
}

// sendPacket sends a packet, again every resendInterval until it is answered, and returns false
// after giveUpTimeout.
func (f *flow) sendPacket(conn *net.UDPConn, fabric netip.AddrPort, answers *answerRouter, tcp *layers.TCP, seq int) bool {
	key := fmt.Sprintf("%s %d", f.name, seq)
	answer := answers.register(key)
	defer answers.unregister(key)
	data := f.encodePacket(tcp, []byte(fmt.Sprintf("%s %s %s", f.replyAddress, f.service, key)))
	for start := time.Now(); time.Since(start) < giveUpTimeout; {
		_, _ = conn.WriteToUDPAddrPort(data, fabric)
		select {
		case <-answer:
			return true
		case <-time.After(resendInterval):
		}
	}
	return false
}

// encodePacket returns the IPv4 packet with the given TCP flags and payload.
func (f *flow) encodePacket(tcp *layers.TCP, payload []byte) []byte {
	ip := &layers.IPv4{Version: 4, TTL: 64, Protocol: layers.IPProtocolTCP, SrcIP: f.source.Addr().AsSlice(), DstIP: f.target.Addr().AsSlice()}
	tcp.SrcPort = layers.TCPPort(f.source.Port())
	tcp.DstPort = layers.TCPPort(f.target.Port())
	_ = tcp.SetNetworkLayerForChecksum(ip)
	buf := gopacket.NewSerializeBuffer()
	opts := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	_ = gopacket.SerializeLayers(buf, opts, ip, tcp, gopacket.Payload(payload))
	return buf.Bytes()
}
