// Command standin runs simulated platforms, fabrics, upstreams and Callers to test balancers with,
// one at a time or all together in a demo, a soak test or a load test.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"example.org/rattanwood/standins/caller"
	"example.org/rattanwood/standins/fabric"
	"example.org/rattanwood/standins/historian"
	"example.org/rattanwood/standins/platform"
	"example.org/rattanwood/standins/runner"
	"example.org/rattanwood/standins/soaker"
	"example.org/rattanwood/standins/upstream"
)

// commands defines the command line; the field names are the names of the commands.
type commands struct {
	Platform platform.Config  `cmd:"" help:"Run a simulated configuration service."`
	Fabric   fabric.Config    `cmd:"" help:"Forward each packet to a random balancer."`
	Upstream upstream.Config  `cmd:"" help:"Run a simulated upstream."`
	Caller   caller.Config    `cmd:"" help:"Open flows, send requests and report the outcomes."`
	Demo     runner.Config    `cmd:"" help:"Run balancers and all stand-ins, inject faults and report."`
	Soak     soaker.Soak      `cmd:"" help:"Run balancers that use tags, inject random faults and check the guarantees."`
	Return   historian.Return `cmd:"" help:"Print from the logs of balancers how a fleet returned after all of it had stopped."`
	Load     soaker.Load      `cmd:"" help:"Put load on balancers that use tags, inject the given faults and print the outcomes of each second."`
}

func main() {
	os.Exit(run())
}

func run() int {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	command := kong.Parse(&commands{}, kong.Name("standin"), kong.Vars{"kinds": soaker.FaultKinds()}, kong.BindTo(ctx, (*context.Context)(nil)))
	if err := command.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}
