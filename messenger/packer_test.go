package messenger_test

import (
	"bytes"
	"errors"
	"fmt"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/messenger"
	"example.org/rattanwood/wire"
)

func TestRecordsSurviveEncoding(t *testing.T) {
	c := qt.New(t)
	p := messenger.NewPacker()
	large := bytes.Repeat([]byte(`{"hostname":"198.18.0.1","prefix":"/8443/"},`), 2000)
	records := []rattanwood.Record{
		{Key: "small", Value: []byte("v"), Position: 1},
		{Key: "large", Value: large, Position: 2},
		{Key: "deleted", Position: 3, Deleted: true},
	}
	for range 2 {
		got := p.Encode(records)
		c.Assert(len(got[1].GetPacked()) < len(large)/10, qt.IsTrue)
		decoded, err := messenger.Decode(got)
		c.Assert(err, qt.IsNil)
		c.Assert(decoded, qt.DeepEquals, records)
	}
	records[1].Value, records[1].Position = large[1:], 4
	decoded, err := messenger.Decode(p.Encode(records))
	c.Assert(err, qt.IsNil)
	c.Assert(decoded, qt.DeepEquals, records, qt.Commentf("a newer revision must not come from the cache"))
}

// TestRegistrationsShrink has many registrations change at once, as in a release on a fleet of 3,000 upstreams.
// Sent one by one they took most of a node's traffic.
func TestRegistrationsShrink(t *testing.T) {
	c := qt.New(t)
	var records []rattanwood.Record
	size := 0
	for i := range 200 {
		value := fmt.Sprintf(`{"service":"caster","address":"10.1.%d.%d:8001","zone":"a","version":"v1","slots":3,"state":"ready","warmup_remaining_ms":%d,"sequence":%d,"born":17700558%05d}`, i/100, i%100, 7*i, i, 31*i)
		records = append(records, rattanwood.Record{Key: fmt.Sprintf("servers/i-%010x", 0xab00000000+i*0x9e3779b1), Value: []byte(value), Position: rattanwood.Position(i + 1)})
		size += len(value)
	}
	records = append(records, rattanwood.Record{Key: "large", Value: bytes.Repeat([]byte("x"), 4<<10), Position: 900})
	single, packed := messenger.NewPacker().EncodeBundle(records)
	c.Assert(len(packed) < size/4, qt.IsTrue, qt.Commentf("%d B of %d", len(packed), size))
	got, err := messenger.DecodeBundle(single, packed)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.HasLen, len(records))
	c.Assert(got[1:], qt.DeepEquals, records[:200])
	single, packed = messenger.NewPacker().EncodeBundle(records[:2])
	c.Assert(single, qt.HasLen, 2)
	c.Assert(packed, qt.HasLen, 0)
	_, err = messenger.DecodeBundle(nil, []byte("plain text"))
	var bad *rattanwood.RecordError
	c.Assert(errors.As(err, &bad), qt.IsTrue)
}

func TestMalformedRecordsAreRejected(t *testing.T) {
	bomb := messenger.NewPacker().Encode([]rattanwood.Record{{Key: "bomb", Value: make([]byte, 2<<20), Position: 1}})
	tests := map[string]*wire.Record{
		"not compressed": {Key: "k", Packed: []byte("plain text")},
		"too large":      bomb[0],
	}
	for name, r := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			_, err := messenger.Decode([]*wire.Record{r})
			var bad *rattanwood.RecordError
			c.Assert(errors.As(err, &bad), qt.IsTrue)
			c.Assert(bad.Key, qt.Equals, r.GetKey())
		})
	}
}

// TestEncodingReusesCompressor encodes configurations in quick succession, as every balancer does. A
// new compressor for each value took 44 ms per configuration on a slow machine.
func TestEncodingReusesCompressor(t *testing.T) {
	c := qt.New(t)
	p := messenger.NewPacker()
	value := bytes.Repeat([]byte(`{"name":"route","hostname":"198.18.0.1"},`), 250)
	revision := rattanwood.Position(0)
	encode := func() {
		revision++
		p.Encode([]rattanwood.Record{{Key: "k", Value: value, Position: revision}})
	}
	encode()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range 20 {
		encode()
	}
	runtime.ReadMemStats(&after)
	c.Assert((after.TotalAlloc-before.TotalAlloc)/20 < 16<<10, qt.IsTrue, qt.Commentf("%d B for each value", (after.TotalAlloc-before.TotalAlloc)/20))
}
