// Package logger builds the logger of the daemons and the console, which writes one JSON object per line, and
// defines the keys that all log lines share. Under load it samples and drops lines instead of blocking.
package logger

import (
	"io"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"example.org/rattanwood"
)

// Keys of log lines besides time, level and message.
const (
	// KeyVM is the VM that writes the line.
	KeyVM = "vm"
	// KeyPeer is the VM, upstream or other source that an event comes from.
	KeyPeer = "peer"
	// KeyVersion is a document version.
	KeyVersion = "version"
	// KeyReason is one of a fixed set of words that says why something happened.
	KeyReason = "reason"
	// KeyError is the text of an error.
	KeyError = "error"
	// KeyFlow is the id of a flow: the Caller's endpoint and the address.
	KeyFlow = "flow"
	// KeyUpstream is the id of an upstream.
	KeyUpstream = "upstream"
	// KeyEra and KeyRevision are the position of the records on which a decision was based. The era is left
	// out while it is zero.
	KeyEra      = "era"
	KeyRevision = "revision"
	// KeyAge is the age in milliseconds of the data on which a decision was based.
	KeyAge = "age"
	// KeyOutcome is the result of a decision or a check.
	KeyOutcome = "outcome"
)

// Position returns the fields of a position, for zap.Inline.
func Position(p rattanwood.Position) zapcore.ObjectMarshaler { return position(p) }

type position rattanwood.Position

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (p position) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	if era := rattanwood.Position(p).Era(); era > 0 {
		enc.AddUint16(KeyEra, uint16(era))
	}
	enc.AddUint64(KeyRevision, uint64(rattanwood.Position(p).Revision()))
	return nil
}

// Sampling of lines with the same level and message: in each second the first sampleFirst are written, and
// after them one in sampleThereafter.
const (
	sampleFirst      = 20
	sampleThereafter = 1000
)

// Logger is a zap logger whose calls never block on the output.
type Logger struct {
	*zap.Logger
	queue *queue
}

// Dropped returns the number of lines that were lost because the queue was full or the output failed.
func (l *Logger) Dropped() uint64 { return l.queue.dropped.Load() }

// New returns a logger that writes the lines of a VM at or above level to w.
func New(w io.Writer, level, vm string) (*Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, oops.Code("log_level").With("level", level).Wrap(err)
	}
	enc := zap.NewProductionEncoderConfig()
	enc.TimeKey = "time"
	enc.MessageKey = "message"
	enc.EncodeTime = zapcore.TimeEncoderOfLayout(time.RFC3339Nano)
	q := newQueue(w)
	core := zapcore.NewCore(zapcore.NewJSONEncoder(enc), q, parsed)
	core = zapcore.NewSamplerWithOptions(core, time.Second, sampleFirst, sampleThereafter)
	return &Logger{Logger: zap.New(core).With(zap.String(KeyVM, vm)), queue: q}, nil
}
