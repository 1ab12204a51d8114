package cli

import (
	"context"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/samber/oops"

	"example.org/rattanwood/internal/surveyor"
)

// surveyTimeout bounds the survey of a whole fleet.
const surveyTimeout = 40 * time.Second

type statusCommand struct {
	Address string `arg:"" help:"HTTP address of a balancer, an IP address and a port. The others are asked at the same port."`
}

// NotInForceError reports that the operators' requests aren't in force on all balancers.
type NotInForceError struct {
	Balancers, Answered int
}

// Error returns what is missing.
func (e *NotInForceError) Error() string {
	if e.Answered < e.Balancers {
		return "not every balancer answered"
	}
	return "not every request is in force everywhere"
}

// Run prints which of the operators' requests are in force on how many balancers. It fails unless all are in
// force everywhere.
func (c *statusCommand) Run() error {
	address, err := netip.ParseAddrPort(c.Address)
	if err != nil {
		return oops.Code("status_address").Wrap(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	report, err := surveyor.Survey(ctx, address)
	if err != nil {
		return err
	}
	if err := report.Write(os.Stdout); err != nil {
		return oops.Code("write").Wrap(err)
	}
	if !report.InForce() {
		return &NotInForceError{Balancers: report.Balancers, Answered: report.Answered}
	}
	return nil
}
