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

func (d *demo) delist(n int) {
	d.vms = slices.DeleteFunc(d.vms, func(vm rattanwood.VM) bool { return vm.Name == d.vm(n) })
}

// at sleeps until a share of the load time has passed.
func (d *demo) at(ctx context.Context, share float64, event string) {
	sleep(ctx, time.Until(d.begun.Add(time.Duration(share*float64(d.cfg.Seconds)*float64(time.Second)))))
	d.events = append(d.events, event)
	fmt.Fprintf(os.Stderr, "%5.1f s: %s\n", time.Since(d.begun).Seconds(), event)
}

// faults brings about one fault of each kind.
func (d *demo) faults(ctx context.Context) error {
	d.at(ctx, 0.15, "balancer 1 is killed")
	d.losses = append(d.losses, time.Now())
	d.balancers[d.vm(1)].Signal(syscall.SIGKILL)
	sleep(ctx, listLag)
	d.delist(1)
	if err := d.put("/vms", d.vms); err != nil {
		return err
	}
	d.at(ctx, 0.35, "a new document adds an upstream while balancer 2 stops and is replaced")
	d.doc.Version++
	if err := d.addUpstream(0); err != nil {
		return err
	}
	if err := d.replace(2); err != nil {
		return err
	}
	if err := d.publish(); err != nil {
		return err
	}
	d.at(ctx, 0.5, "balancer 3 is paused for 3 s")
	d.losses = append(d.losses, time.Now())
	d.balancers[d.vm(3)].Signal(syscall.SIGSTOP)
	sleep(ctx, 3*time.Second)
	d.balancers[d.vm(3)].Signal(syscall.SIGCONT)
	d.at(ctx, 0.65, "an upstream drains by document, and the platform goes down and comes back stale")
	d.doc.Version++
	d.doc.Services[0].Upstreams[0].Until = d.doc.Version
	if err := d.publish(); err != nil {
		return err
	}
	sleep(ctx, time.Second)
	if err := d.put("/mode", "down"); err != nil {
		return err
	}
	d.at(ctx, 0.75, "an upstream says that it drains")
	if err := put("http://"+d.upstreams["board-2"].String()+"/drain", ""); err != nil {
		return err
	}
	d.at(ctx, 0.85, "the platform answers with old values")
	return d.put("/mode", "stale")
}

// replace stops balancer n gracefully and starts another VM in its place.
func (d *demo) replace(n int) error {
	d.controls = append(d.controls, d.controlOf(n))
	d.balancers[d.vm(n)].Signal(syscall.SIGTERM)
	d.delist(n)
	next := d.cfg.Balancers + 1
	d.enlist(next)
	if err := d.startBalancer(next); err != nil {
		return err
	}
	return d.put("/vms", d.vms)
}
