package logger

import (
	"io"
	"sync"
	"sync/atomic"
)

// queueMost is the largest number of lines that wait for a slow reader of the log.
const queueMost = 1024

// queue writes lines in the background. When its reader is slow it drops lines instead of blocking.
type queue struct {
	lines   chan []byte
	idle    sync.WaitGroup
	dropped atomic.Uint64
}

func newQueue(w io.Writer) *queue {
	q := &queue{lines: make(chan []byte, queueMost)}
	go func() {
		for line := range q.lines {
			if _, err := w.Write(line); err != nil {
				// There is nowhere left to report this but the counter.
				q.dropped.Add(1)
			}
			q.idle.Done()
		}
	}()
	return q
}

// Write queues a copy of a line.
func (q *queue) Write(line []byte) (int, error) {
	q.idle.Add(1)
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.idle.Done()
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Sync waits until the queued lines are written.
func (q *queue) Sync() error {
	q.idle.Wait()
	return nil
}
