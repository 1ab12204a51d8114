package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	w     *bufio.Writer
	f     *os.File
	begin time.Time
}

func newRecorder(path string) *recorder {
	f, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	return &recorder{w: bufio.NewWriter(f), f: f, begin: time.Now()}
}

// note writes a line with the time in seconds since the start.
func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f ", time.Since(r.begin).Seconds())
	fmt.Fprintf(r.w, format, args...)
	_ = r.w.WriteByte('\n')
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.f.Close()
}
