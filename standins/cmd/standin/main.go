// Command standin runs the stand-ins for what lies around the balancers, and the demo.
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
	"example.org/rattanwood/standins/platform"
	"example.org/rattanwood/standins/runner"
	"example.org/rattanwood/standins/soaker"
	"example.org/rattanwood/standins/upstream"
)

type commands struct {
	Platform platform.Config `cmd:"" help:"Run the configuration service."`
	Fabric   fabric.Config   `cmd:"" help:"Spray packets over the balancers."`
	Upstream upstream.Config `cmd:"" help:"Run one upstream."`
	Caller   caller.Config   `cmd:"" help:"Open flows and send requests."`
	Demo     runner.Config   `cmd:"" help:"Run everything and report."`
	Soak     soaker.Soak     `cmd:"" help:"Run balancers with tags through random faults and check the promises."`
	Load     soaker.Load     `cmd:"" help:"Put a load with set faults on balancers with tags and print what Callers got in each second."`
}

func main() {
	os.Exit(run())
}

func run() int {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	chosen := kong.Parse(&commands{}, kong.Name("standin"), kong.Vars{"kinds": soaker.FaultKinds()}, kong.BindTo(ctx, (*context.Context)(nil)))
	if err := chosen.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}
