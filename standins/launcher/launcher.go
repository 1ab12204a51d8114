// Package launcher starts processes and ends those that it started.
package launcher

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
)

// Process is one process that a Launcher started.
type Process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// Launcher starts and stops processes, whose logs go to files in Dir. It is safe for concurrent use.
type Launcher struct {
	Dir string
	mu  sync.Mutex
	all []*Process
}

// Start runs a program, whose output goes to a file named after name.
func (p *Launcher) Start(name, program string, args ...string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(p.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	one := &Process{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(one.done)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all = append(p.all, one)
	return one, nil
}

// Signal sends a signal to a process that has not ended.
func (o *Process) Signal(s os.Signal) {
	select {
	case <-o.done:
	default:
		_ = o.cmd.Process.Signal(s)
	}
}

// Wait returns once the process has ended or ctx has.
func (o *Process) Wait(ctx context.Context) {
	select {
	case <-o.done:
	case <-ctx.Done():
	}
}

// StopAll ends every process that still runs.
func (p *Launcher) StopAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range p.all {
		o.Signal(syscall.SIGCONT)
		o.Signal(syscall.SIGKILL)
	}
	for _, o := range p.all {
		<-o.done
	}
}
