package cli

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/samber/oops"

	"example.org/rattanwood"
	"example.org/rattanwood/checker"
	"example.org/rattanwood/editor"
	"example.org/rattanwood/internal/console"
	"example.org/rattanwood/internal/listener"
	"example.org/rattanwood/internal/logger"
	"example.org/rattanwood/internal/reader"
)

// consoleCloseTimeout is how long running requests may take to finish when the console is shut down.
const consoleCloseTimeout = 5 * time.Second

// consoleCommands defines the commands of rattanctl.
type consoleCommands struct {
	Serve   consoleCommand        `cmd:"" help:"Serve the web console with the forms."`
	Status  statusCommand         `cmd:"" help:"Print which of the operators' requests are in force on the balancers; fail unless all are, everywhere."`
	Check   documentCommand       `cmd:"" help:"Check a document."`
	Edit    editCommand           `cmd:"" help:"Fill in a form and print the resulting document."`
	Forms   formsCommand          `cmd:"" help:"List the forms and their fields."`
	Key     keyCommand            `cmd:"" help:"Print a key file with a new key, for datagrams between balancers."`
	Version consoleVersionCommand `cmd:"" help:"Print the version."`
}

// Console runs the rattanctl command with args and returns the exit status.
func Console(args []string) int {
	return runCommand("rattanctl", "Console for the documents of rattanwood.", &consoleCommands{}, args)
}

type consoleCommand struct {
	Listen   string `help:"IP address and port of the console." default:"127.0.0.1:8090"`
	Platform string `help:"IP address and port of the platform." required:""`
	Balancer string `help:"HTTP address of a balancer, whose fleet the page Status shows." placeholder:"IP:PORT"`
}

// Run serves the console until SIGTERM or SIGINT.
func (c *consoleCommand) Run() error {
	log, err := logger.New(os.Stdout, "info", "console")
	if err != nil {
		return err
	}
	address, err := netip.ParseAddrPort(c.Listen)
	if err != nil {
		return oops.Code("console_listen").Wrap(err)
	}
	cfg := console.Config{Platform: reader.New(c.Platform)}
	if c.Balancer != "" {
		if cfg.Balancer, err = netip.ParseAddrPort(c.Balancer); err != nil {
			return oops.Code("console_balancer").Wrap(err)
		}
	}
	lis, err := listener.TCP(address)
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	log.Info("console started")
	handler := console.New(cfg).Handler()
	err = listener.ServeHTTP(ctx, lis, handler, consoleCloseTimeout)
	return errors.Join(err, log.Sync())
}

type documentCommand struct {
	Document string `arg:"" help:"Document to check." type:"existingfile"`
	Current  string `help:"Document in force that the checked document would replace." type:"existingfile"`
}

// Run validates a document and, if the document in force is given, that it may replace that one.
func (c *documentCommand) Run() error {
	next, err := readDocument(c.Document)
	if err != nil {
		return err
	}
	if c.Current != "" {
		current, err := readDocument(c.Current)
		if err != nil {
			return err
		}
		if err := checker.CheckTransition(current, next); err != nil {
			return oops.Code("document_transition").Wrap(err)
		}
	}
	fmt.Printf("%s: valid, version %d\n", c.Document, next.Version)
	return nil
}

// readDocument reads and validates a document file.
func readDocument(file string) (*rattanwood.Document, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, oops.Code("document_read").Wrap(err)
	}
	return checker.Parse(file, data)
}

type editCommand struct {
	Form    string   `arg:"" help:"Name of the form."`
	Inputs  []string `arg:"" help:"Inputs as field=value." optional:""`
	Current string   `help:"Document in force; leave out for the first document." type:"existingfile"`
}

// Run fills in a form and prints the resulting document.
func (c *editCommand) Run() error {
	form, err := editor.FindForm(c.Form)
	if err != nil {
		return err
	}
	current := &rattanwood.Document{}
	if c.Current != "" {
		if current, err = readDocument(c.Current); err != nil {
			return err
		}
	}
	values := editor.Values{}
	for _, input := range c.Inputs {
		name, value, _ := strings.Cut(input, "=")
		values[name] = value
	}
	next, err := form.Apply(current, values)
	if err != nil {
		return err
	}
	return writeIndented(os.Stdout, next)
}

type formsCommand struct{}

// Run lists the forms with their fields.
func (c *formsCommand) Run() error {
	for _, f := range editor.Forms() {
		fmt.Printf("%s: %s\n", f.Name, f.Title)
		for _, field := range f.Fields {
			fmt.Printf("  %-10s %s\n", field.Name, field.Help)
		}
	}
	return nil
}

type consoleVersionCommand struct{}

// Run prints the version.
func (c *consoleVersionCommand) Run() error { return printVersion("rattanctl") }
