// Package launcher starts the processes of a test run, writes their output to log files, and kills
// them at the end of the run.
package launcher

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
)

// Process is a process that a Launcher started.
type Process struct {
	cmd *exec.Cmd
	// done is closed when the process has ended.
	done chan struct{}
}

// Launcher starts and kills processes. It is safe for concurrent use.
type Launcher struct {
	// Dir is the folder of the log files.
	Dir       string
	mu        sync.Mutex
	processes []*Process
}

// Start starts a program and appends its output to the file name.log in Dir.
func (l *Launcher) Start(name, program string, args ...string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(l.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	process := &Process{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(process.done)
	}()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.processes = append(l.processes, process)
	return process, nil
}

// Signal sends a signal to the process, or does nothing if it has ended.
func (p *Process) Signal(s os.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// Wait returns when the process has ended or ctx is cancelled.
func (p *Process) Wait(ctx context.Context) {
	select {
	case <-p.done:
	case <-ctx.Done():
	}
}

// StopAll kills every process that still runs, paused ones included, and waits until all have ended.
func (l *Launcher) StopAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.processes {
		p.Signal(syscall.SIGCONT)
		p.Signal(syscall.SIGKILL)
	}
	for _, p := range l.processes {
		<-p.done
	}
}
