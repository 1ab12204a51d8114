package sealer_test

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/sealer"
)

var (
	addrA = netip.MustParseAddrPort("192.0.2.1:4790")
	addrB = netip.MustParseAddrPort("192.0.2.2:4790")
	today = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

func key(id string, fill byte) sealer.Key {
	return sealer.Key{ID: sealer.KeyID(id), Secret: bytes.Repeat([]byte{fill}, 32)}
}

func expiring(k sealer.Key, date time.Time) sealer.Key {
	k.Expires = date
	return k
}

// seeds counts the sealers, so that the random numbers of each are different, as those of processes are.
var seeds uint64

func newSealer(self netip.AddrPort, keys ...sealer.Key) *sealer.Sealer {
	seeds++
	return sealer.New(sealer.Config{Self: self, Random: rand.New(rand.NewPCG(seeds, 1)).Uint64}, keys)
}

// pair is two sealers, a at addrA that sends and b at addrB that receives, and the time at both.
type pair struct {
	c    *qt.C
	a, b *sealer.Sealer
	now  time.Duration
	date time.Time
}

func newPair(c *qt.C) *pair {
	return &pair{c: c, a: newSealer(addrA, key("k1", 1)), b: newSealer(addrB, key("k1", 1)), now: time.Hour, date: today}
}

func (p *pair) at() sealer.Instant { return sealer.Instant{Now: p.now, Date: p.date} }

func (p *pair) seal(message string) []byte {
	out, err := p.a.Seal(p.at(), nil, addrB, []byte(message))
	p.c.Assert(err, qt.IsNil)
	return out
}

// deliver has b open a datagram, and carries replies to and fro until there are none. It returns the messages
// that b believed, and the reason if b rejected the first datagram.
func (p *pair) deliver(datagram []byte) (messages []string, reason sealer.Reason) {
	queue := [][]byte{datagram}
	for i := 0; i < len(queue); i++ {
		opened, err := p.b.Open(p.at(), addrA, queue[i])
		if i == 0 {
			reason = reasonOf(p.c, err)
		}
		if err == nil {
			messages = append(messages, string(opened.Message))
		}
		for _, r := range opened.Replies {
			back, _ := p.a.Open(p.at(), addrB, r)
			queue = append(queue, back.Replies...)
		}
	}
	return messages, reason
}

func reasonOf(c *qt.C, err error) sealer.Reason {
	if err == nil {
		return ""
	}
	var rejected *sealer.RejectedError
	c.Assert(errors.As(err, &rejected), qt.IsTrue)
	return rejected.Reason
}

// begin makes a and b agree on a session, after earlier messages are no longer kept.
func (p *pair) begin() {
	p.now += time.Second
	messages, _ := p.deliver(p.seal("first"))
	p.c.Assert(messages, qt.DeepEquals, []string{"first"}, qt.Commentf("sealed again after the challenge"))
}

// TestRejections has a datagram changed on its way, or brought at another time, to another receiver or by another
// sender than it was meant for.
func TestRejections(t *testing.T) {
	tests := map[string]struct {
		prepare func(p *pair)
		change  func(p *pair, d []byte) []byte
		want    sealer.Reason
	}{
		"untouched":          {want: ""},
		"empty":              {change: func(_ *pair, d []byte) []byte { return d[:0] }, want: sealer.Unsealed},
		"unsealed":           {change: func(*pair, []byte) []byte { return []byte("\x0a\x04vm-1 and more than a seal's bytes") }, want: sealer.Unsealed},
		"truncated header":   {change: func(_ *pair, d []byte) []byte { return d[:5] }, want: sealer.Truncated},
		"truncated code":     {change: func(_ *pair, d []byte) []byte { return d[:len(d)-1] }, want: sealer.Forged},
		"code changed":       {change: flip(-1), want: sealer.Forged},
		"message changed":    {change: flip(12), want: sealer.Forged},
		"session changed":    {change: flip(2), want: sealer.Forged},
		"sequence changed":   {change: flip(11), want: sealer.Forged},
		"made a challenge":   {change: func(_ *pair, d []byte) []byte { d[0] = 0x0f; return d }, want: sealer.Forged},
		"unknown key":        {prepare: func(p *pair) { p.a.SetKeys([]sealer.Key{key("k9", 1)}) }, want: sealer.UnknownKey},
		"other fleet's key":  {prepare: func(p *pair) { p.a.SetKeys([]sealer.Key{key("k1", 2)}) }, want: sealer.Forged},
		"expired key":        {prepare: func(p *pair) { p.b.SetKeys([]sealer.Key{expiring(key("k1", 1), today)}) }, want: sealer.ExpiredKey},
		"key not expired":    {prepare: func(p *pair) { p.b.SetKeys([]sealer.Key{expiring(key("k1", 1), today.Add(1))}) }, want: ""},
		"received twice":     {change: func(p *pair, d []byte) []byte { p.deliver(d); return d }, want: sealer.Replayed},
		"from another life":  {change: func(p *pair, d []byte) []byte { p.a = newSealer(addrA, key("k1", 1)); p.begin(); return d }, want: sealer.NoSession},
		"to another life":    {change: func(p *pair, d []byte) []byte { p.b = newSealer(addrB, key("k1", 1)); p.begin(); return d }, want: sealer.NoSession},
		"to another node":    {change: func(p *pair, d []byte) []byte { p.b = newSealer(addrA, key("k1", 1)); return d }, want: sealer.Forged},
		"clock stepped":      {change: func(p *pair, d []byte) []byte { p.date = p.date.Add(-time.Hour); return d }, want: ""},
		"65 behind":          {change: later(65), want: sealer.Replayed},
		"64 behind":          {change: later(64), want: sealer.Replayed},
		"63 behind":          {change: later(63), want: ""},
		"63 behind, but had": {change: func(p *pair, d []byte) []byte { p.deliver(d); return later(63)(p, d) }, want: sealer.Replayed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPair(qt.New(t))
			p.begin()
			if test.prepare != nil {
				test.prepare(p)
			}
			d := p.seal("message")
			if test.change != nil {
				d = test.change(p, d)
			}
			opened, err := p.b.Open(p.at(), addrA, d)
			qt.Assert(t, reasonOf(p.c, err), qt.Equals, test.want)
			if test.want == "" {
				qt.Assert(t, string(opened.Message), qt.Equals, "message")
			} else {
				qt.Assert(t, opened.Message, qt.IsNil)
			}
		})
	}
}

// flip changes a byte; negative positions count from the end.
func flip(at int) func(*pair, []byte) []byte {
	return func(_ *pair, d []byte) []byte {
		d[(at+len(d))%len(d)] ^= 1
		return d
	}
}

// later lets n more datagrams arrive before a datagram.
func later(n int) func(*pair, []byte) []byte {
	return func(p *pair, d []byte) []byte {
		for range n {
			p.deliver(p.seal("later"))
		}
		return d
	}
}

// TestSpoofedSource checks that a datagram is believed only from the address that sealed it.
func TestSpoofedSource(t *testing.T) {
	p := newPair(qt.New(t))
	p.begin()
	_, err := p.b.Open(p.at(), netip.MustParseAddrPort("192.0.2.3:4790"), p.seal("message"))
	qt.Assert(t, reasonOf(p.c, err), qt.Equals, sealer.Forged)
}

// TestReplayedChallenge checks that a challenge that was answered can't move a sender to an old session.
func TestReplayedChallenge(t *testing.T) {
	p := newPair(qt.New(t))
	opened, err := p.b.Open(p.at(), addrA, p.seal("first"))
	p.c.Assert(reasonOf(p.c, err), qt.Equals, sealer.NoSession)
	challenge := opened.Replies[0]
	_, err = p.a.Open(p.at(), addrB, challenge)
	p.c.Assert(err, qt.IsNil)
	_, err = p.a.Open(p.at(), addrB, challenge)
	p.c.Assert(reasonOf(p.c, err), qt.Equals, sealer.NoSession)
	messages, _ := p.deliver(p.seal("second"))
	p.c.Assert(messages, qt.DeepEquals, []string{"second"})
}

// TestReplaysOfAllEarlierDatagrams records whatever is sent while both sides restart in turn, clocks step and
// datagrams are lost or reordered, and replays all of it after each step. Each message is believed once at most,
// and messages still pass at the end.
func TestReplaysOfAllEarlierDatagrams(t *testing.T) {
	c := qt.New(t)
	r := rand.New(rand.NewPCG(21, 1))
	p := newPair(c)
	believed := map[string]int{}
	var recorded [][]byte
	for i := range 400 {
		switch r.IntN(20) {
		case 0:
			p.a = newSealer(addrA, key("k1", 1))
		case 1:
			p.b = newSealer(addrB, key("k1", 1))
		case 2:
			p.date = p.date.Add(time.Duration(r.IntN(20)-10) * time.Second)
		}
		p.now += time.Second
		d := p.seal(fmt.Sprint(i))
		recorded = append(recorded, d)
		if r.IntN(5) > 0 { // else lost for now
			messages, _ := p.deliver(d)
			for _, m := range messages {
				believed[m]++
			}
		}
		for _, old := range recorded[:r.IntN(len(recorded)+1)] {
			messages, _ := p.deliver(old)
			for _, m := range messages {
				believed[m]++
			}
		}
	}
	for m, count := range believed {
		c.Assert(count, qt.Equals, 1, qt.Commentf("message %s", m))
	}
	c.Assert(len(believed) > 300, qt.IsTrue, qt.Commentf("%d of 400 messages arrived", len(believed)))
	p.now += time.Second
	messages, _ := p.deliver(p.seal("end"))
	c.Assert(messages, qt.DeepEquals, []string{"end"})
}

// TestKeptMessagesAge checks that messages whose session was challenged are sealed again only while what they say
// about ages is about true.
func TestKeptMessagesAge(t *testing.T) {
	tests := map[string]struct {
		delay time.Duration
		want  []string
	}{
		"at once":     {0, []string{"one", "two"}},
		"after 0.2 s": {200 * time.Millisecond, []string{"one", "two"}},
		"after 0.3 s": {300 * time.Millisecond, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPair(qt.New(t))
			p.seal("one")
			d := p.seal("two")
			p.now += test.delay
			messages, _ := p.deliver(d)
			qt.Assert(t, messages, qt.DeepEquals, test.want)
		})
	}
}

// TestRotation has sealers with the old key, both and the new one exchange messages, in each stage of a rotation.
func TestRotation(t *testing.T) {
	old, next := key("k1", 1), key("k2", 2)
	stages := map[string]struct {
		keys [][]sealer.Key
		want bool
	}{
		"new key added":   {[][]sealer.Key{{old}, {old, next}}, true},
		"new key signs":   {[][]sealer.Key{{old, next}, {next, old}}, true},
		"old key removed": {[][]sealer.Key{{next, old}, {next}}, true},
		"old key expired": {[][]sealer.Key{{next, old}, {expiring(old, today), next}, {next}}, true},
		"stage left out":  {[][]sealer.Key{{old}, {next}}, false},
	}
	for name, stage := range stages {
		t.Run(name, func(t *testing.T) {
			p := newPair(qt.New(t))
			p.begin()
			for i, from := range stage.keys {
				for j, to := range stage.keys {
					p.a.SetKeys(from)
					p.b.SetKeys(to)
					_, reason := p.deliver(p.seal("message"))
					qt.Assert(t, reason == "", qt.Equals, stage.want || i == j, qt.Commentf("from %d to %d: %s", i, j, reason))
				}
			}
		})
	}
}

func TestNoKeySigns(t *testing.T) {
	a := newSealer(addrA, expiring(key("k1", 1), today))
	_, err := a.Seal(sealer.Instant{Date: today}, nil, addrB, []byte("message"))
	var none *sealer.NoKeyError
	qt.Assert(t, errors.As(err, &none), qt.IsTrue)
}

// TestBoundedPeers has more peers than are kept send, after which the first is challenged again and goes on.
func TestBoundedPeers(t *testing.T) {
	c := qt.New(t)
	p := newPair(c)
	p.begin()
	for i := range 8192 {
		p.now += time.Millisecond
		var ip [4]byte
		binary.BigEndian.PutUint32(ip[:], 10<<24+uint32(i))
		_, err := p.b.Seal(p.at(), nil, netip.AddrPortFrom(netip.AddrFrom4(ip), 1), []byte("x"))
		c.Assert(err, qt.IsNil)
	}
	c.Assert(p.b.Peers(), qt.Equals, 8192)
	messages, reason := p.deliver(p.seal("message"))
	c.Assert(reason, qt.Equals, sealer.NoSession)
	c.Assert(messages, qt.DeepEquals, []string{"message"})
}

func TestParseKeys(t *testing.T) {
	const secret = "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="
	entry := func(id, secret, more string) string {
		return fmt.Sprintf(`{"id": %q, "secret": %q%s}`, id, secret, more)
	}
	nine := entry("k0", secret, "")
	for i := 1; i < 9; i++ {
		nine += "," + entry(fmt.Sprint("k", i), secret, "")
	}
	tests := map[string]struct{ keys, field string }{
		"valid":          {entry("k1", secret, "") + "," + entry("k2", secret, `, "expires": "2027-01-01T00:00:00Z"`) + "/* old */", ""},
		"none":           {"", "keys"},
		"too many":       {nine, "keys"},
		"no id":          {entry("", secret, ""), "keys[0].id"},
		"two words":      {entry("a b", secret, ""), "keys[0].id"},
		"twice":          {entry("k1", secret, "") + "," + entry("k1", secret, ""), "keys[1].id"},
		"short secret":   {entry("k1", secret[:40], ""), "keys[0].secret"},
		"not base64":     {entry("k1", "!"+secret, ""), "keys[0].secret"},
		"unknown field":  {entry("k1", secret, `, "owner": "x"`), "owner"},
		"secret missing": {`{"id": "k1"}`, "keys[0].secret"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			keys, err := sealer.ParseKeys("k.json", []byte(`{"keys": [`+test.keys+`]}`))
			if test.field == "" {
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, keys, qt.HasLen, 2)
				qt.Assert(t, keys[1].Expired(time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)), qt.IsTrue)
				return
			}
			var field *rattanwood.FieldError
			qt.Assert(t, errors.As(err, &field), qt.IsTrue, qt.Commentf("%v", err))
			qt.Assert(t, field.Field, qt.Equals, test.field)
		})
	}
}

// FuzzOpen checks that no datagram but those that were sealed for the receiver is believed or answered.
func FuzzOpen(f *testing.F) {
	p := newPair(qt.New(f))
	p.begin()
	known := map[string]bool{}
	for _, m := range []string{"", "message"} {
		d := p.seal(m)
		known[string(d)] = true
		f.Add(d)
		f.Add(d[:len(d)-1])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		opened, err := p.b.Open(p.at(), addrA, data)
		if !known[string(data)] && (err == nil || opened.Message != nil || opened.Replies != nil) {
			t.Errorf("believed %x: %v", data, opened)
		}
	})
}

// BenchmarkSealAndOpen measures a heartbeat of the usual size.
func BenchmarkSealAndOpen(b *testing.B) {
	p := newPair(qt.New(b))
	p.begin()
	message := make([]byte, 500)
	var out []byte
	b.Run("seal", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			out, _ = p.a.Seal(p.at(), out[:0], addrB, message)
		}
		b.ReportMetric(float64(len(out)-len(message)), "bytes/message")
	})
	b.Run("open", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = p.b.Open(p.at(), addrA, out) // a replay costs as much, but for the window
		}
	})
}
