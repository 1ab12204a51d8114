// Package surveyor asks the balancers of a fleet for their state and sums up which of the operators' requests
// are in force on how many of them.
package surveyor

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"

	"example.org/rattanwood"
	"example.org/rattanwood/internal/node"
)

const (
	// answerTimeout bounds the answer of one balancer. The smallest ones have a twentieth of a core.
	answerTimeout = 3 * time.Second
	// maxConcurrent bounds the balancers that are asked at the same time. With 32, a fleet of 300 takes half a
	// minute even if none answers.
	maxConcurrent = 32
	// maxAnswerBytes bounds an answer. A member takes 200 bytes, and there are no rows of upstreams and flows.
	maxAnswerBytes = 1 << 20
)

// Answer is the outcome of asking one balancer.
type Answer struct {
	VM rattanwood.VMID
	// State is nil if the balancer didn't answer, and Reason then says why.
	State  *node.State
	Reason string
	// Gone is set if another balancer takes it for dead, or as shutting down.
	Gone bool
}

// Survey asks the balancer at an address, and then all balancers that it knows at the same port. It fails if
// the first one doesn't answer.
func Survey(ctx context.Context, address netip.AddrPort) (*Report, error) {
	first, err := ask(ctx, address)
	if err != nil {
		return nil, oops.Code("survey_first").Wrap(err)
	}
	answers := make([]Answer, len(first.Members)+1)
	answers[0] = Answer{VM: rattanwood.VMID(first.VM), State: first}
	var group errgroup.Group
	group.SetLimit(maxConcurrent)
	for i, m := range first.Members {
		group.Go(func() error {
			a := Answer{VM: m.VM, Gone: m.State == stateDead || m.ShuttingDown}
			// The address is that of the port for traffic between balancers.
			peer, err := netip.ParseAddrPort(m.Address)
			if err == nil {
				a.State, err = ask(ctx, netip.AddrPortFrom(peer.Addr(), address.Port()))
			}
			if err != nil {
				a.Reason = reasonOf(err)
			}
			answers[i+1] = a
			return nil
		})
	}
	// The tasks don't fail.
	_ = group.Wait()
	return Summarize(answers), nil
}

// stateDead is the state of a member that is taken for dead.
const stateDead = "dead"

// StatusError reports an HTTP status other than 200.
type StatusError struct {
	Status int
}

// Error returns the status.
func (e *StatusError) Error() string { return fmt.Sprintf("HTTP status %d", e.Status) }

// ask fetches the state of one balancer without its upstreams and flows.
func ask(ctx context.Context, address netip.AddrPort) (*node.State, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	s := &node.State{}
	if err := Fetch(ctx, address.String(), "rows=0&upstreams=false", maxAnswerBytes, s); err != nil {
		return nil, err
	}
	return s, nil
}

// Fetch decodes the state of the balancer at an address into a value. The query says which tables it contains, and
// a state of more than limit bytes is an error, as is a StatusError.
func Fetch(ctx context.Context, address, query string, limit int64, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/state?%s", address, query), nil)
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return &StatusError{Status: res.StatusCode}
	}
	return json.NewDecoder(io.LimitReader(res.Body, limit)).Decode(into)
}

// reasonOf returns a short form of the error of a call.
func reasonOf(err error) string {
	var status *StatusError
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return "no answer in time"
	case errors.Is(err, context.Canceled):
		return "not asked"
	case errors.As(err, &status):
		return err.Error()
	case errors.As(err, &syntax), errors.As(err, &kind), errors.Is(err, io.ErrUnexpectedEOF):
		return "not the state of a balancer: " + err.Error()
	}
	if inner := errors.Unwrap(err); inner != nil {
		err = inner
	}
	return err.Error()
}
