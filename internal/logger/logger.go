// Package logger builds the JSON-lines logger with the few keys that all logs share.
package logger

import (
	"io"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Keys of log lines besides time, level and message.
const (
	// KeyVM is the VM that logs.
	KeyVM = "vm"
	// KeyPeer is another VM or an upstream.
	KeyPeer = "peer"
	// KeyVersion is a document version.
	KeyVersion = "version"
	// KeyReason is a fixed word that says why.
	KeyReason = "reason"
	// KeyError is an error's text.
	KeyError = "error"
	// KeyFlow is the id of a flow: the Caller's end and the address.
	KeyFlow = "flow"
	// KeyUpstream is the id of an upstream.
	KeyUpstream = "upstream"
	// KeyRevision is the revision of the records that a decision used.
	KeyRevision = "revision"
	// KeyAge is the age in milliseconds of what a decision used.
	KeyAge = "age"
	// KeyOutcome is what was decided.
	KeyOutcome = "outcome"
)

// Bounds on repeated lines: after the first few of a second, one in many is written.
const (
	sampleFirst = 20
	sampleRest  = 1000
)

// Logger is a logger that never blocks its callers.
type Logger struct {
	*zap.Logger
	queue *queue
}

// Dropped returns the number of lines that found no room.
func (l *Logger) Dropped() uint64 { return l.queue.dropped.Load() }

// New returns a logger that writes lines at or above level to w.
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
	core = zapcore.NewSamplerWithOptions(core, time.Second, sampleFirst, sampleRest)
	return &Logger{Logger: zap.New(core).With(zap.String(KeyVM, vm)), queue: q}, nil
}
