// Package sealer authenticates datagrams between balancers that share keys, and refuses replayed ones. Each
// sealed datagram carries a session number that its receiver chose for its sender, and a sequence number. A
// receiver that doesn't know the session answers with a challenge, a new session number, and the sender seals
// its latest messages again. So neither side depends on a clock or on state that survives its restart.
//
// A Sealer has no clock, socket or goroutine and isn't safe for concurrent use.
package sealer

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"
	"net/netip"
	"slices"
	"time"
)

// A sealed datagram consists of its kind (1 byte), a hint at the key (1), the session (6), the sequence number
// (4), the message and the code (16).
const (
	sessionAt  = 2
	seqAt      = 8
	headerSize = 12
	codeSize   = 16
	// Overhead is the number of bytes that sealing adds to a message.
	Overhead = headerSize + codeSize
)

// Kinds of datagrams. As protocol buffers both are invalid, so that balancers without keys can't misread them.
const (
	kindMessage   = 0x07
	kindChallenge = 0x0f
)

const (
	// sessionSize is the size of a session number in bytes.
	sessionSize = 6
	// windowSize is how far behind the highest sequence number a datagram may arrive.
	windowSize = 64
	// maxPeers bounds the peers of which state is kept. That of the longest unused is forgotten, after which
	// the peer is challenged again.
	maxPeers = 8192
	// maxKept and maxKeptBytes bound the messages that are kept for a peer in case it challenges them, and
	// keptTime the time for which they are, since what messages say about ages must stay true.
	maxKept      = 4
	maxKeptBytes = 1400
	keptTime     = 250 * time.Millisecond
	// challengeInterval is the shortest time between two challenges of one session of a peer.
	challengeInterval = 100 * time.Millisecond
	// maxSeq is the last sequence number of a session. A sender that reached it begins a new session.
	maxSeq = 1<<32 - 1
)

// Reason says why a datagram was rejected.
type Reason string

// Reasons for rejections.
const (
	// Truncated datagrams are shorter than an empty message.
	Truncated Reason = "truncated"
	// Unsealed datagrams are of no known kind.
	Unsealed Reason = "unsealed"
	// UnknownKey is the reason for a key that this balancer doesn't have.
	UnknownKey Reason = "key"
	// ExpiredKey is the reason for a right code of an expired key.
	ExpiredKey Reason = "expired"
	// Forged datagrams have a wrong code, or come from another address than they were sent from.
	Forged Reason = "forged"
	// Replayed datagrams were received before, or are too old to know.
	Replayed Reason = "replayed"
	// NoSession is the reason for a session that isn't in force: either side has just begun, or the datagram is
	// a replay from an earlier session.
	NoSession Reason = "session"
)

// RejectedError reports a datagram that isn't to be believed.
type RejectedError struct {
	Reason Reason
	// Size is that of the datagram in bytes.
	Size int
}

// Error returns the reason and the size.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("datagram of %d bytes rejected: %s", e.Size, e.Reason)
}

// Instant is a point of time: Now on the clock of the decision logic, and Date as the time of day, on which
// only the expiry of keys depends.
type Instant struct {
	Now  time.Duration
	Date time.Time
}

// Config holds a balancer's address and its source of randomness.
type Config struct {
	// Self is the address from which this balancer sends and at which it receives.
	Self netip.AddrPort
	// Random returns unpredictable numbers.
	Random func() uint64
}

// session identifies the datagrams of one sender to one receiver since the receiver's last challenge.
type session [sessionSize]byte

// Sealer seals and opens the datagrams of one balancer.
type Sealer struct {
	cfg   Config
	keys  []key
	peers map[netip.AddrPort]*peer
}

// key is a Key that is ready for use.
type key struct {
	Key
	hint byte
	mac  hash.Hash
}

// peer is the state of the exchange with another balancer.
type peer struct {
	used time.Duration
	// sending is the session of datagrams to the peer: random until the peer has chosen one.
	sending session
	sentSeq uint32
	kept    []keptMessage

	// receiving is the session of datagrams from the peer, in force if received is set. offered is the one that
	// the last challenge contained, if offering is set.
	receiving, offered session
	received, offering bool
	window             window
	// challenged is the session that was last challenged, at challengedAt.
	challenged   session
	challengedAt time.Duration
}

type keptMessage struct {
	at   time.Duration
	data []byte
}

// window holds which of the latest sequence numbers have been received.
type window struct {
	highest uint32
	// seen has bit i set if highest-i was received.
	seen uint64
}

// accept reports whether seq is received for the first time, and notes it.
func (w *window) accept(seq uint32) bool {
	switch {
	case seq > w.highest:
		w.seen = w.seen<<(seq-w.highest) | 1
		w.highest = seq
		return true
	case w.highest-seq >= windowSize || w.seen&(1<<(w.highest-seq)) != 0:
		return false
	}
	w.seen |= 1 << (w.highest - seq)
	return true
}

// New returns a sealer with keys.
func New(cfg Config, keys []Key) *Sealer {
	s := &Sealer{cfg: cfg, peers: map[netip.AddrPort]*peer{}}
	s.SetKeys(keys)
	return s
}

// SetKeys replaces the keys. Sessions go on, because a datagram belongs to its session whatever key it has.
func (s *Sealer) SetKeys(keys []Key) {
	s.keys = nil
	for _, k := range keys {
		sum := sha256.Sum256([]byte(k.ID))
		s.keys = append(s.keys, key{Key: k, hint: sum[0], mac: hmac.New(sha256.New, k.Secret)})
	}
}

// Opened is the result of opening a datagram.
type Opened struct {
	// Message is set if the datagram carries one. It shares the datagram's memory.
	Message []byte
	// Replies are sealed datagrams that are to be sent to the sender, whether there was an error or not.
	Replies [][]byte
}

// Seal appends the datagram with a message for a peer to dst. It returns a NoKeyError if no key can sign.
func (s *Sealer) Seal(at Instant, dst []byte, to netip.AddrPort, message []byte) ([]byte, error) {
	k := s.signing(at.Date)
	if k == nil {
		return dst, &NoKeyError{Keys: len(s.keys)}
	}
	p := s.peer(at.Now, to)
	p.keep(at.Now, message)
	return s.seal(k, dst, to, kindMessage, p, message), nil
}

// seal appends a datagram of the peer's sending session to dst.
func (s *Sealer) seal(k *key, dst []byte, to netip.AddrPort, kind byte, p *peer, message []byte) []byte {
	if p.sentSeq == maxSeq {
		p.sending, p.sentSeq = s.newSession(), 0
	}
	p.sentSeq++
	return s.finish(k, dst, to, kind, p.sending, p.sentSeq, message)
}

// finish appends a datagram to dst.
func (s *Sealer) finish(k *key, dst []byte, to netip.AddrPort, kind byte, in session, seq uint32, message []byte) []byte {
	begin := len(dst)
	dst = append(dst, kind, k.hint)
	dst = append(dst, in[:]...)
	dst = binary.BigEndian.AppendUint32(dst, seq)
	dst = append(dst, message...)
	sum := k.code(s.cfg.Self, to, dst[begin:])
	return append(dst, sum[:codeSize]...)
}

// code returns the code of a datagram's header and message between two addresses.
func (k *key) code(from, to netip.AddrPort, data []byte) (sum [sha256.Size]byte) {
	var ends [36]byte
	for i, a := range [2]netip.AddrPort{from, to} {
		ip := a.Addr().As16()
		copy(ends[18*i:], ip[:])
		binary.BigEndian.PutUint16(ends[18*i+16:], a.Port())
	}
	k.mac.Reset()
	k.mac.Write(ends[:])
	k.mac.Write(data)
	k.mac.Sum(sum[:0])
	return sum
}

// Open checks a datagram. The error is a RejectedError.
func (s *Sealer) Open(at Instant, from netip.AddrPort, datagram []byte) (Opened, error) {
	reject := func(r Reason) error { return &RejectedError{Reason: r, Size: len(datagram)} }
	switch {
	case len(datagram) == 0 || datagram[0] != kindMessage && datagram[0] != kindChallenge:
		return Opened{}, reject(Unsealed)
	case len(datagram) < Overhead:
		return Opened{}, reject(Truncated)
	}
	body := datagram[:len(datagram)-codeSize]
	if reason, ok := s.verify(at.Date, from, datagram[1], body, datagram[len(body):]); !ok {
		return Opened{}, reject(reason)
	}
	in, seq, message := session(body[sessionAt:seqAt]), binary.BigEndian.Uint32(body[seqAt:headerSize]), body[headerSize:]
	p := s.peer(at.Now, from)
	if datagram[0] == kindChallenge {
		if in != p.sending || len(message) != sessionSize {
			return Opened{}, reject(NoSession)
		}
		p.sending, p.sentSeq = session(message), 0
		return Opened{Replies: s.sealKept(at, from, p)}, nil
	}
	switch {
	case p.received && in == p.receiving:
	case p.offering && in == p.offered:
		p.receiving, p.received, p.offering, p.window = in, true, false, window{}
	default:
		return Opened{Replies: s.challenge(at, from, p, in)}, reject(NoSession)
	}
	if !p.window.accept(seq) {
		return Opened{}, reject(Replayed)
	}
	return Opened{Message: message}, nil
}

// verify checks the code of a datagram. If it isn't right, it returns the reason.
func (s *Sealer) verify(date time.Time, from netip.AddrPort, hint byte, body, code []byte) (Reason, bool) {
	reason := UnknownKey
	for i := range s.keys {
		k := &s.keys[i]
		if k.hint != hint {
			continue
		}
		sum := k.code(from, s.cfg.Self, body)
		switch {
		case !hmac.Equal(sum[:codeSize], code):
			reason = Forged
		case k.Expired(date):
			return ExpiredKey, false
		default:
			return "", true
		}
	}
	return reason, false
}

// challenge offers a peer a new session in answer to a datagram of another one. A session that was offered but
// not used yet is offered again, so that replays don't replace it.
func (s *Sealer) challenge(at Instant, to netip.AddrPort, p *peer, in session) [][]byte {
	k := s.signing(at.Date)
	if k == nil || in == p.challenged && at.Now-p.challengedAt < challengeInterval {
		return nil
	}
	p.challenged, p.challengedAt = in, at.Now
	if !p.offering {
		p.offered, p.offering = s.newSession(), true
	}
	return [][]byte{s.finish(k, nil, to, kindChallenge, in, 0, p.offered[:])}
}

// sealKept seals the latest messages to a peer again, in its new session.
func (s *Sealer) sealKept(at Instant, to netip.AddrPort, p *peer) (out [][]byte) {
	k := s.signing(at.Date)
	if k == nil {
		return nil
	}
	p.dropKept(at.Now)
	for _, m := range p.kept {
		out = append(out, s.seal(k, nil, to, kindMessage, p, m.data))
	}
	p.kept = nil
	return out
}

// keep keeps a message in case its session is challenged.
func (p *peer) keep(now time.Duration, message []byte) {
	p.dropKept(now)
	if len(message) > maxKeptBytes {
		return
	}
	if len(p.kept) == maxKept {
		p.kept = slices.Delete(p.kept, 0, 1)
	}
	p.kept = append(p.kept, keptMessage{at: now, data: bytes.Clone(message)})
}

// dropKept drops the messages that were kept for keptTime.
func (p *peer) dropKept(now time.Duration) {
	p.kept = slices.DeleteFunc(p.kept, func(m keptMessage) bool { return now-m.at > keptTime })
}

// signing returns the key that signs, or nil.
func (s *Sealer) signing(date time.Time) *key {
	for i := range s.keys {
		if !s.keys[i].Expired(date) {
			return &s.keys[i]
		}
	}
	return nil
}

// peer returns the state of a peer, and begins it if need be.
func (s *Sealer) peer(now time.Duration, address netip.AddrPort) *peer {
	p, ok := s.peers[address]
	if !ok {
		if len(s.peers) >= maxPeers {
			s.forgetOldest()
		}
		p = &peer{sending: s.newSession()}
		s.peers[address] = p
	}
	p.used = now
	return p
}

// forgetOldest forgets the peer that has been unused for longest.
func (s *Sealer) forgetOldest() {
	var oldest netip.AddrPort
	for address, p := range s.peers {
		if o, ok := s.peers[oldest]; !ok || p.used < o.used {
			oldest = address
		}
	}
	delete(s.peers, oldest)
}

// newSession returns a random session number.
func (s *Sealer) newSession() (out session) {
	var number [8]byte
	binary.BigEndian.PutUint64(number[:], s.cfg.Random())
	copy(out[:], number[:])
	return out
}
