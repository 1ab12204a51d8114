package messenger

import (
	"bytes"
	"compress/flate"
	"io"

	"example.org/rattanwood"
	"example.org/rattanwood/wire"
)

const (
	// packLeast is the size in bytes from which on a value is compressed; smaller ones gain nothing.
	packLeast = 1 << 10
	// valueMost is the largest value in bytes that is unpacked, the source's own limit.
	valueMost = 1 << 20
)

// Packer turns records into messages. It keeps compressed values, since many peers
// ask for the same ones. It isn't safe for concurrent use.
type Packer struct {
	kept map[string]packed
	// writer is made for the first value and used for all: making one takes a megabyte, and the collection of that
	// longer than many values.
	writer *flate.Writer
}

type packed struct {
	revision rattanwood.Revision
	data     []byte
}

// NewPacker returns a packer that keeps nothing yet.
func NewPacker() *Packer { return &Packer{kept: map[string]packed{}} }

// Encode returns records as messages carry them.
func (p *Packer) Encode(records []rattanwood.Record) []*wire.Record {
	out := make([]*wire.Record, len(records))
	for i, r := range records {
		out[i] = &wire.Record{Key: r.Key, Revision: uint64(r.Revision), Deleted: r.Deleted}
		if len(r.Value) < packLeast {
			out[i].Value = r.Value
			continue
		}
		out[i].Packed = p.pack(r)
	}
	return out
}

func (p *Packer) pack(r rattanwood.Record) []byte {
	if k := p.kept[r.Key]; k.revision == r.Revision {
		return k.data
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
	p.kept[r.Key] = packed{revision: r.Revision, data: buf.Bytes()}
	return buf.Bytes()
}

// Decode returns the records of a message, or a rattanwood.RecordError.
func Decode(records []*wire.Record) ([]rattanwood.Record, error) {
	out := make([]rattanwood.Record, len(records))
	for i, r := range records {
		out[i] = rattanwood.Record{Key: r.GetKey(), Value: r.GetValue(), Revision: rattanwood.Revision(r.GetRevision()), Deleted: r.GetDeleted()}
		if len(r.GetPacked()) == 0 {
			continue
		}
		value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(r.GetPacked())), valueMost+1))
		if err == nil && len(value) > valueMost {
			err = io.ErrShortBuffer
		}
		if err != nil {
			return nil, &rattanwood.RecordError{Key: r.GetKey(), Reason: "packed", Cause: err}
		}
		out[i].Value = value
	}
	return out, nil
}

// sizeOf returns the bytes of keys and values.
func sizeOf(records []*wire.Record) int {
	size := 0
	for _, r := range records {
		size += len(r.GetKey()) + len(r.GetValue()) + len(r.GetPacked())
	}
	return size
}
