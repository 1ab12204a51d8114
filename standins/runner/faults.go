package runner

import (
	"context"
	"fmt"
	"os"
	"slices"
	"syscall"
	"time"

	"example.org/rattanwood"
)

// removeVM drops balancer n from the VM list that the demo publishes next.
func (d *demo) removeVM(n int) {
	d.vms = slices.DeleteFunc(d.vms, func(vm rattanwood.VM) bool { return vm.Name == d.vmID(n) })
}

// waitForEvent sleeps until the given share of the load time has passed, then records and prints
// the event that follows.
func (d *demo) waitForEvent(ctx context.Context, share float64, event string) {
	sleep(ctx, time.Until(d.loadStart.Add(time.Duration(share*float64(d.cfg.Seconds)*float64(time.Second)))))
	d.events = append(d.events, event)
	fmt.Fprintf(os.Stderr, "%5.1f s: %s\n", time.Since(d.loadStart).Seconds(), event)
}

// injectFaults runs the fixed schedule of planned changes and failures, each at its share of the
// load time.
func (d *demo) injectFaults(ctx context.Context) error {
	d.waitForEvent(ctx, 0.15, "balancer 1 is killed")
	d.failureTimes = append(d.failureTimes, time.Now())
	d.balancers[d.vmID(1)].Signal(syscall.SIGKILL)
	sleep(ctx, vmListDelay)
	d.removeVM(1)
	if err := d.put("/vms", d.vms); err != nil {
		return err
	}
	d.waitForEvent(ctx, 0.35, "a new document adds an upstream while balancer 2 stops and is replaced")
	d.doc.Version++
	if err := d.addUpstream(0); err != nil {
		return err
	}
	if err := d.replaceBalancer(2); err != nil {
		return err
	}
	if err := d.publish(); err != nil {
		return err
	}
	d.waitForEvent(ctx, 0.5, "balancer 3 is paused for 3 s")
	d.failureTimes = append(d.failureTimes, time.Now())
	d.balancers[d.vmID(3)].Signal(syscall.SIGSTOP)
	sleep(ctx, 3*time.Second)
	d.balancers[d.vmID(3)].Signal(syscall.SIGCONT)
	d.waitForEvent(ctx, 0.65, "an upstream is drained by a new document, and 1 s later the platform goes down")
	d.doc.Version++
	d.doc.Services[0].Upstreams[0].Until = d.doc.Version
	if err := d.publish(); err != nil {
		return err
	}
	sleep(ctx, time.Second)
	if err := d.put("/mode", "down"); err != nil {
		return err
	}
	d.waitForEvent(ctx, 0.75, "an upstream reports in its health check that it is draining")
	if err := put("http://"+d.upstreams["board-2"].String()+"/drain", ""); err != nil {
		return err
	}
	d.waitForEvent(ctx, 0.85, "the platform comes back with an outdated document")
	return d.put("/mode", "stale")
}

// replaceBalancer shuts balancer n down gracefully and starts a new VM in its place.
func (d *demo) replaceBalancer(n int) error {
	d.stoppedControlBytes = append(d.stoppedControlBytes, d.controlBytesOf(n))
	d.balancers[d.vmID(n)].Signal(syscall.SIGTERM)
	d.removeVM(n)
	next := d.cfg.Balancers + 1
	d.addVM(next)
	if err := d.startBalancer(next); err != nil {
		return err
	}
	return d.put("/vms", d.vms)
}
