// Package cli implements the command lines of the two binaries: the balancer rattanwood and the console
// rattanctl.
package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/samber/oops"

	"example.org/rattanwood"
	"example.org/rattanwood/internal/logger"
	"example.org/rattanwood/internal/node"
	"example.org/rattanwood/internal/server"
	"example.org/rattanwood/internal/settings"
	"example.org/rattanwood/internal/surveyor"
	"example.org/rattanwood/platform"
	"example.org/rattanwood/sealer"
)

// dumpTimeout limits the request for the state of a balancer.
const dumpTimeout = 5 * time.Second

const (
	// tagGCPercent is the GC percentage (GOGC) with the affinity "tag". A balancer without a table of flows has a
	// heap of a megabyte or two, and CPU time to spare for more frequent collections.
	tagGCPercent = 25
	// tagGCDelay is how long after the start the default GC percentage applies. More frequent collections would
	// delay the first forwarded packet: on a slow machine, one takes as long as all other work until then.
	tagGCDelay = 3 * time.Second
)

// balancerCommands defines the commands of rattanwood.
type balancerCommands struct {
	Serve   serveCommand   `cmd:"" help:"Run a balancer until SIGTERM or SIGINT."`
	Check   checkCommand   `cmd:"" help:"Check a settings file and the key file that it names."`
	Dump    dumpCommand    `cmd:"" help:"Print the state of a running balancer as JSON."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

// Balancer runs the rattanwood command with args and returns the exit status.
func Balancer(args []string) int {
	commands := &balancerCommands{}
	if len(args) > 0 && args[0] == serveName {
		commands.Serve.signals = takeSignals()
	}
	return runCommand("rattanwood", "Layer-4 load balancer.", commands, args)
}

// serveName is the name of the command that runs a balancer.
const serveName = "serve"

// signals are those that a balancer's process gets.
type signals struct {
	// stop is done once the process is asked to end.
	stop context.Context
	// reload receives a value for each request to read the settings again.
	reload chan os.Signal
}

// takeSignals receives the signals that would end the process otherwise. Any may arrive right after its start.
func takeSignals() signals {
	s := signals{reload: make(chan os.Signal, 1)}
	signal.Notify(s.reload, syscall.SIGHUP)
	s.stop, _ = signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	return s
}

// runCommand parses args and runs the chosen command. It returns the exit status.
func runCommand(name, about string, commands any, args []string) int {
	parser, err := kong.New(commands, kong.Name(name), kong.Description(about), kong.UsageOnError())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	command, err := parser.Parse(args)
	if err != nil {
		parser.FatalIfErrorf(err)
	}
	if err := command.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

type serveCommand struct {
	Settings string `arg:"" help:"Settings file." type:"existingfile"`

	signals signals
}

// Run runs a balancer until SIGTERM or SIGINT.
func (c *serveCommand) Run() error {
	set, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	log, err := logger.New(os.Stdout, set.LogLevel, set.VM)
	if err != nil {
		return err
	}
	incarnation := rattanwood.Incarnation(time.Now().UnixNano())
	if set.Affinity == settings.AffinityTag {
		time.AfterFunc(tagGCDelay, func() { debug.SetGCPercent(tagGCPercent) })
		n, err := node.New(node.Config{
			Settings: set, SettingsFile: c.Settings, Incarnation: incarnation, Log: log,
			OpenSource: openStore, Interpreter: platform.Interpreter{},
			Codec: platform.Codec{Port: set.TunnelAddress().Port()}, IdentityChecker: platform.IdentityChecker{}, Reload: c.signals.reload,
		})
		if err != nil {
			return err
		}
		return n.Run(c.signals.stop)
	}
	s, err := server.New(server.Config{Settings: set, Incarnation: incarnation, Log: log.Logger})
	if err != nil {
		return err
	}
	return s.Run(c.signals.stop)
}

// openStore returns the client of the store at an address, which is valid in settings that were parsed.
func openStore(address string) rattanwood.Source {
	return platform.NewStore(platform.Config{Address: netip.MustParseAddrPort(address), StallTimeout: node.SourceStallTimeout})
}

type checkCommand struct {
	Settings string `arg:"" help:"Settings file." type:"existingfile"`
}

// Run validates a settings file and its key file.
func (c *checkCommand) Run() error {
	set, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	keys, err := set.ReadKeys()
	if err != nil {
		return err
	}
	if len(keys) > 0 {
		if _, err := sealer.Signing(keys, time.Now()); err != nil {
			return fmt.Errorf("%s: %w", set.Keys, err)
		}
	}
	fmt.Printf("%s: valid\n", c.Settings)
	return nil
}

type dumpCommand struct {
	Address string `arg:"" help:"HTTP address of the balancer, an IP address and a port."`
	Rows    int    `help:"Maximum number of flows to list." default:"100"`
}

// Run fetches and prints the state of a balancer.
func (c *dumpCommand) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), dumpTimeout)
	defer cancel()
	var state json.RawMessage
	if err := surveyor.Fetch(ctx, c.Address, fmt.Sprint("rows=", c.Rows), math.MaxInt64, &state); err != nil {
		return oops.Code("dump").Wrap(err)
	}
	return writeIndented(os.Stdout, state)
}

func writeIndented(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return oops.Code("write").Wrap(err)
	}
	return nil
}

type versionCommand struct{}

// Run prints the version.
func (c *versionCommand) Run() error { return printVersion("rattanwood") }

func printVersion(program string) error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	fmt.Println(program, version)
	return nil
}
