package logger

import (
	"io"
	"sync"
	"sync/atomic"
)

// maxQueuedLines is the largest number of lines that may wait for a slow output.
const maxQueuedLines = 1024

// queue is a zapcore.WriteSyncer that writes lines in the background. When the output is slow it drops lines
// instead of blocking.
type queue struct {
	lines   chan []byte
	pending sync.WaitGroup
	dropped atomic.Uint64
}

func newQueue(w io.Writer) *queue {
	q := &queue{lines: make(chan []byte, maxQueuedLines)}
	go func() {
		for line := range q.lines {
			if _, err := w.Write(line); err != nil {
				// The log itself has failed, so the error can only be counted.
				q.dropped.Add(1)
			}
			q.pending.Done()
		}
	}()
	return q
}

// Write queues a copy of a line.
func (q *queue) Write(line []byte) (int, error) {
	q.pending.Add(1)
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.pending.Done()
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Sync waits until all queued lines have been written.
func (q *queue) Sync() error {
	q.pending.Wait()
	return nil
}
