package messenger

import (
	"bytes"
	"compress/flate"
	"io"
	"slices"

	"google.golang.org/protobuf/proto"

	"example.org/rattanwood"
	"example.org/rattanwood/wire"
)

const (
	// minPackedSize is the size in bytes from which a value is compressed; smaller ones hardly shrink.
	minPackedSize = 1 << 10
	// maxValueSize is the largest value in bytes that is decompressed, the limit of the source itself.
	maxValueSize = 1 << 20
)

// Packer encodes records for messages and compresses large values. It caches these, because many
// peers ask for the same ones. It isn't safe for concurrent use.
type Packer struct {
	cache map[string]cachedValue
	// writer is allocated for the first value and reused: a new one takes a megabyte, and collecting
	// that costs more time than compressing many values.
	writer *flate.Writer
}

type cachedValue struct {
	position rattanwood.Position
	data     []byte
}

// NewPacker returns a packer with an empty cache.
func NewPacker() *Packer { return &Packer{cache: map[string]cachedValue{}} }

// Encode returns records as messages carry them.
func (p *Packer) Encode(records []rattanwood.Record) []*wire.Record {
	out := make([]*wire.Record, len(records))
	for i, r := range records {
		out[i] = &wire.Record{Key: r.Key, Revision: uint64(r.Position), Deleted: r.Deleted}
		if len(r.Value) < minPackedSize {
			out[i].Value = r.Value
			continue
		}
		out[i].Packed = p.compress(r)
	}
	return out
}

// compress returns the compressed value of a record, from the cache if that has the same position.
func (p *Packer) compress(r rattanwood.Record) []byte {
	if cached := p.cache[r.Key]; cached.position == r.Position {
		return cached.data
	}
	data := p.deflate(r.Value)
	p.cache[r.Key] = cachedValue{position: r.Position, data: data}
	return data
}

func (p *Packer) deflate(data []byte) []byte {
	var buf bytes.Buffer
	// Neither the level nor a write to memory can fail.
	if p.writer == nil {
		p.writer, _ = flate.NewWriter(&buf, flate.BestSpeed)
	} else {
		p.writer.Reset(&buf)
	}
	_, _ = p.writer.Write(data)
	_ = p.writer.Close()
	return buf.Bytes()
}

// Decode returns the records of a message, or a rattanwood.RecordError if a value can't be
// decompressed or is too large.
func Decode(records []*wire.Record) ([]rattanwood.Record, error) {
	out := make([]rattanwood.Record, len(records))
	for i, r := range records {
		out[i] = rattanwood.Record{Key: r.GetKey(), Value: r.GetValue(), Position: rattanwood.Position(r.GetRevision()), Deleted: r.GetDeleted()}
		if len(r.GetPacked()) == 0 {
			continue
		}
		value, err := inflate(r.GetPacked(), maxValueSize)
		if err != nil {
			return nil, &rattanwood.RecordError{Key: r.GetKey(), Reason: "packed", Cause: err}
		}
		out[i].Value = value
	}
	return out, nil
}

// minBundleSize is the size in bytes of records from which they are compressed together.
const minBundleSize = 512

// maxBundleSize bounds the decompressed size of a bundle in bytes: all registrations of the largest fleet.
const maxBundleSize = 32 << 20

// EncodeBundle is like Encode, but compresses small records together: registrations are much alike, and
// shrink to a sixth.
func (p *Packer) EncodeBundle(records []rattanwood.Record) (single []*wire.Record, packed []byte) {
	bundle := &wire.Bundle{}
	for _, r := range p.Encode(records) {
		if len(r.Packed) > 0 {
			single = append(single, r)
		} else {
			bundle.Records = append(bundle.Records, r)
		}
	}
	if sizeOf(bundle.Records) < minBundleSize {
		return append(single, bundle.Records...), nil
	}
	// Marshalling fails only for keys that aren't valid UTF-8, which no source returns in JSON.
	data, err := proto.Marshal(bundle)
	if err != nil {
		return append(single, bundle.Records...), nil
	}
	return single, p.deflate(data)
}

// DecodeBundle returns the records that EncodeBundle encoded, or a rattanwood.RecordError.
func DecodeBundle(single []*wire.Record, packed []byte) ([]rattanwood.Record, error) {
	if len(packed) == 0 {
		return Decode(single)
	}
	data, err := inflate(packed, maxBundleSize)
	bundle := &wire.Bundle{}
	if err == nil {
		err = proto.Unmarshal(data, bundle)
	}
	if err != nil {
		return nil, &rattanwood.RecordError{Reason: "packed", Cause: err}
	}
	return Decode(append(slices.Clone(single), bundle.GetRecords()...))
}

// inflate decompresses data, to at most limit bytes.
func inflate(data []byte, limit int64) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), limit+1))
	if err == nil && int64(len(out)) > limit {
		err = io.ErrShortBuffer
	}
	return out, err
}

// sizeOf returns the size in bytes of all keys and values.
func sizeOf(records []*wire.Record) int {
	size := 0
	for _, r := range records {
		size += len(r.GetKey()) + len(r.GetValue()) + len(r.GetPacked())
	}
	return size
}
