package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// cpuUsed returns the processor time that a process has used.
func cpuUsed(pid int) time.Duration {
	var total time.Duration
	tasks, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
	if err != nil {
		return 0
	}
	for _, t := range tasks {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/task/%s/schedstat", pid, t.Name()))
		if err != nil {
			continue
		}
		if f := strings.Fields(string(data)); len(f) > 0 {
			ns, _ := strconv.ParseInt(f[0], 10, 64)
			total += time.Duration(ns)
		}
	}
	return total
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
		begin, used := time.Now(), cpuUsed(pid)
		stopped := false
		for time.Since(begin) < period {
			if !stopped && cpuUsed(pid)-used >= allowance {
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
