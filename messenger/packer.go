package messenger

import (
	"bytes"
	"compress/flate"
	"io"

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
	var buf bytes.Buffer
	// Neither the level nor a write to memory can fail.
	if p.writer == nil {
		p.writer, _ = flate.NewWriter(&buf, flate.BestSpeed)
	} else {
		p.writer.Reset(&buf)
	}
	_, _ = p.writer.Write(r.Value)
	_ = p.writer.Close()
	p.cache[r.Key] = cachedValue{position: r.Position, data: buf.Bytes()}
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
		value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(r.GetPacked())), maxValueSize+1))
		if err == nil && len(value) > maxValueSize {
			err = io.ErrShortBuffer
		}
		if err != nil {
			return nil, &rattanwood.RecordError{Key: r.GetKey(), Reason: "packed", Cause: err}
		}
		out[i].Value = value
	}
	return out, nil
}

// sizeOf returns the size in bytes of all keys and values.
func sizeOf(records []*wire.Record) int {
	size := 0
	for _, r := range records {
		size += len(r.GetKey()) + len(r.GetValue()) + len(r.GetPacked())
	}
	return size
}
