package node

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"net/netip"
	"reflect"
	"sync"
	"time"

	"go.uber.org/zap"

	"example.org/rattanwood/internal/logger"
	"example.org/rattanwood/internal/settings"
	"example.org/rattanwood/sealer"
)

// seal passes datagrams through a sealer, or leaves them as they are while there are no keys. It is safe for
// concurrent use.
type seal struct {
	mu     sync.Mutex
	keys   []sealer.Key
	sealer *sealer.Sealer
}

// setKeys puts keys into force, and reports whether they differ from those before. Without keys, datagrams are
// neither sealed nor checked.
func (s *seal) setKeys(self netip.AddrPort, keys []sealer.Key) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reflect.DeepEqual(keys, s.keys) {
		return false
	}
	s.keys = keys
	switch {
	case len(keys) == 0:
		s.sealer = nil
	case s.sealer == nil:
		s.sealer = sealer.New(sealer.Config{Self: self, Random: randomNumber}, keys)
	default:
		s.sealer.SetKeys(keys)
	}
	return true
}

// randomNumber returns an unpredictable number.
func randomNumber() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return binary.BigEndian.Uint64(b[:])
}

// overhead returns the bytes that are added to a message.
func (s *seal) overhead() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sealer == nil {
		return 0
	}
	return sealer.Overhead
}

func (s *seal) seal(at sealer.Instant, to netip.AddrPort, message []byte) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sealer == nil {
		return message, nil
	}
	return s.sealer.Seal(at, nil, to, message)
}

func (s *seal) open(at sealer.Instant, from netip.AddrPort, datagram []byte) (sealer.Opened, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sealer == nil {
		return sealer.Opened{Message: datagram}, nil
	}
	return s.sealer.Open(at, from, datagram)
}

// current returns the keys in force.
func (s *seal) current() []sealer.Key {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys
}

func (n *Node) instant() sealer.Instant { return sealer.Instant{Now: n.now(), Date: time.Now()} }

// openDatagram returns the message in a datagram, and ok if there is one that can be believed. It sends what the
// sealer replies.
func (n *Node) openDatagram(from netip.AddrPort, datagram []byte) (message []byte, ok bool) {
	opened, err := n.seal.open(n.instant(), from, datagram)
	for _, reply := range opened.Replies {
		n.writeDatagram(from, reply)
	}
	var rejected *sealer.RejectedError
	if errors.As(err, &rejected) {
		n.countRejected("peer_" + string(rejected.Reason))
		n.log.Warn("datagram to the peer port rejected", zap.String(logger.KeyPeer, from.String()),
			zap.String(logger.KeyReason, string(rejected.Reason)), zap.Int("bytes", rejected.Size))
	}
	return opened.Message, opened.Message != nil
}

// KeyState describes a key in a State.
type KeyState struct {
	ID sealer.KeyID `json:"id"`
	// Signs is set if datagrams are sent with this key; the others only verify.
	Signs bool `json:"signs"`
	// Expires is the time of day at which the key expires, if it does.
	Expires *time.Time `json:"expires,omitempty"`
	Expired bool       `json:"expired,omitempty"`
}

// keyStates describes the keys for dumps and logs.
func (n *Node) keyStates() []KeyState {
	keys, date := n.seal.current(), time.Now()
	signing, err := sealer.Signing(keys, date)
	out := make([]KeyState, 0, len(keys))
	for _, k := range keys {
		s := KeyState{ID: k.ID, Signs: err == nil && k.ID == signing.ID, Expired: k.Expired(date)}
		if !k.Expires.IsZero() {
			s.Expires = &k.Expires
		}
		out = append(out, s)
	}
	return out
}

// logKeys logs the keys in force.
func (n *Node) logKeys() {
	keys := n.keyStates()
	if len(keys) == 0 {
		n.log.Warn("no keys in the settings, whoever reaches the peer port is believed")
		return
	}
	n.log.Info("keys in force", zap.Any("keys", keys))
	if _, err := sealer.Signing(n.seal.current(), time.Now()); err != nil {
		n.log.Error("no key can sign, other balancers hear nothing of this one", zap.String(logger.KeyError, err.Error()))
	}
}

// reloadKeys reads the key file that the settings name, and puts its keys into force if they have changed.
// The keys in force stay if the file is invalid.
func (n *Node) reloadKeys(set *settings.Settings) {
	keys, err := set.ReadKeys()
	if err != nil {
		n.log.Error("invalid key file, keeping the current keys", zap.String(logger.KeyError, err.Error()))
		return
	}
	if len(keys) == 0 && len(n.seal.current()) > 0 {
		n.log.Error("keys can't be turned off without a restart, keeping the current keys")
		return
	}
	if n.seal.setKeys(n.cfg.Settings.PeerAddress(), keys) {
		n.logKeys()
	}
}
