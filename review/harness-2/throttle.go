package main

import (
	"syscall"
	"time"
	"unsafe"
)

// cpuUsed returns the processor time that a process has used, by its processor-time clock.
func cpuUsed(pid int) (time.Duration, error) {
	var t syscall.Timespec
	// The clock of a process is its inverted id, shifted by three, and 2 for the scheduler's clock.
	clock := uintptr(^pid<<3 | 2)
	if _, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clock, uintptr(unsafe.Pointer(&t)), 0); errno != 0 {
		return 0, errno
	}
	return time.Duration(t.Nano()), nil
}

// limitCPU gives a balancer an allowance of processor time: a share of each tenth of a second. It stops the process for
// the rest of a tenth in which the allowance is used up.
func (f *fleet) limitCPU(n *node, share float64) {
	const period = 100 * time.Millisecond
	allowance := time.Duration(share * float64(period))
	for {
		n.mu.Lock()
		pid := n.cmd.Process.Pid
		n.mu.Unlock()
		begin := time.Now()
		used, err := cpuUsed(pid)
		if err != nil {
			f.w.rec.event("processor time of %s can't be read: %v", n.name, err)
			return
		}
		stopped := false
		for time.Since(begin) < period {
			if now, err := cpuUsed(pid); err == nil && !stopped && now-used >= allowance {
				stopped = true
				n.signal(syscall.SIGSTOP)
				n.throttled.Add(1)
			}
			time.Sleep(time.Millisecond)
		}
		if stopped && !n.frozen.Load() {
			n.signal(syscall.SIGCONT)
		}
	}
}

// limitAll gives every balancer an allowance of processor time.
func (f *fleet) limitAll(share float64) error {
	for _, n := range f.nodes {
		if _, err := cpuUsed(n.cmd.Process.Pid); err != nil {
			return err
		}
		go f.limitCPU(n, share)
	}
	return nil
}
