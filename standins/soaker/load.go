package soaker

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
)

// Load is the command line of an experiment: a load, faults at set seconds, and a table of what
// Callers got in each second.
type Load struct {
	Config
	Faults []string `name:"fault" help:"Kind and second of a fault, such as kill@5; may be repeated. Kinds: ${kinds}."`
	// MinAnsweredShare is the part of the requests that must be answered.
	MinAnsweredShare float64 `name:"least" help:"Fail if a smaller part of the requests is answered." default:"0"`
}

// FaultKinds returns the names of the faults that an experiment can have.
func FaultKinds() string {
	var names []string
	for _, d := range draws {
		names = append(names, d.name)
	}
	return strings.Join(names, ", ")
}

// InvalidFaultError reports a fault that can't be planned.
type InvalidFaultError struct {
	Fault string
}

// Error names the fault.
func (e *InvalidFaultError) Error() string {
	return fmt.Sprintf("fault %q: want a kind and a second, such as kill@5; kinds are %s", e.Fault, FaultKinds())
}

// TooFewAnsweredError reports that too few requests were answered.
type TooFewAnsweredError struct {
	Answered, Failed int
}

// Error gives the numbers.
func (e *TooFewAnsweredError) Error() string {
	return fmt.Sprintf("%d of %d requests answered", e.Answered, e.Answered+e.Failed)
}

// planned is a fault at a time after the beginning.
type planned struct {
	draw draw
	at   time.Duration
}

func (l *Load) plan() ([]planned, error) {
	var out []planned
	for _, fault := range l.Faults {
		name, at, _ := strings.Cut(fault, "@")
		i := slices.IndexFunc(draws, func(d draw) bool { return d.name == name })
		seconds, err := strconv.ParseFloat(at, 64)
		if i < 0 || err != nil || seconds < 0 || seconds > float64(l.Seconds) {
			return nil, &InvalidFaultError{Fault: fault}
		}
		out = append(out, planned{draw: draws[i], at: time.Duration(seconds * float64(time.Second))})
	}
	slices.SortStableFunc(out, func(a, b planned) int { return int(a.at - b.at) })
	return out, nil
}

// Run plays the experiment, prints its table, and fails with a BrokenError or a FewError.
func (l *Load) Run(ctx context.Context) error {
	plan, err := l.plan()
	if err != nil {
		return err
	}
	if l.Bin, err = filepath.Abs(l.Bin); err != nil {
		return err
	}
	s, err := newSoak(l.Config)
	if err != nil {
		return err
	}
	if err := s.serve(ctx, func(ctx context.Context) error { return s.experiment(ctx, plan) }); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	err = s.tally.print(os.Stdout)
	if !s.tidy() {
		err = errors.Join(err, &ViolationError{Seeds: []uint64{l.Seed}})
	}
	if float64(s.good) < l.MinAnsweredShare*float64(s.good+s.bad) {
		err = errors.Join(err, &TooFewAnsweredError{Answered: s.good, Failed: s.bad})
	}
	return err
}

// experiment plays the faults and waits until its time is over.
func (s *soak) experiment(ctx context.Context, plan []planned) error {
	began := time.Now()
	// The table begins now, not with the processes.
	s.mu.Lock()
	s.began, s.tally = began, tally{}
	s.mu.Unlock()
	group, working := errgroup.WithContext(ctx)
	for _, p := range plan {
		pauseFor(working, time.Until(began.Add(p.at)))
		e, ok := p.draw.make(s)
		if !ok {
			continue
		}
		s.log(e.name)
		group.Go(func() error { return e.run(working) })
	}
	pauseFor(working, time.Until(began.Add(time.Duration(s.cfg.Seconds)*time.Second)))
	return group.Wait()
}
