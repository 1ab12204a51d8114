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

// Load is the command that puts a load on balancers, injects faults at given seconds, and prints a
// table of what Callers got in each second.
type Load struct {
	Config
	Faults []string `name:"fault" help:"Kind and second of a fault, such as kill@5; may be repeated. Kinds: ${kinds}."`
	// MinAnsweredShare is the share of all requests that must be answered, from 0 to 1.
	MinAnsweredShare float64 `name:"least" help:"Fail if a smaller part of the requests is answered." default:"0"`
}

// FaultKinds lists the names of all kinds of faults for help and error texts.
func FaultKinds() string {
	var names []string
	for _, kind := range eventKinds {
		names = append(names, kind.name)
	}
	return strings.Join(names, ", ")
}

// InvalidFaultError reports a fault of unknown kind or with a second outside of the run.
type InvalidFaultError struct {
	Fault string
}

// Error quotes the fault and explains the syntax.
func (e *InvalidFaultError) Error() string {
	return fmt.Sprintf("fault %q: want a kind and a second, such as kill@5; kinds are %s", e.Fault, FaultKinds())
}

// TooFewAnsweredError reports that fewer requests were answered than MinAnsweredShare demands.
type TooFewAnsweredError struct {
	Answered, Failed int
}

// Error returns the numbers of answered and of all requests.
func (e *TooFewAnsweredError) Error() string {
	return fmt.Sprintf("answered share below --least: %d of %d requests answered", e.Answered, e.Answered+e.Failed)
}

// plannedFault is a fault and its start, counted from the start of the load.
type plannedFault struct {
	kind eventKind
	at   time.Duration
}

// parseFaults returns the faults in the order of their times.
func (l *Load) parseFaults() ([]plannedFault, error) {
	var faults []plannedFault
	for _, fault := range l.Faults {
		name, at, _ := strings.Cut(fault, "@")
		i := slices.IndexFunc(eventKinds, func(kind eventKind) bool { return kind.name == name })
		seconds, err := strconv.ParseFloat(at, 64)
		if i < 0 || err != nil || seconds < 0 || seconds > float64(l.Seconds) {
			return nil, &InvalidFaultError{Fault: fault}
		}
		faults = append(faults, plannedFault{kind: eventKinds[i], at: time.Duration(seconds * float64(time.Second))})
	}
	slices.SortStableFunc(faults, func(a, b plannedFault) int { return int(a.at - b.at) })
	return faults, nil
}

// Run executes the load and prints the table. It fails with a ViolationError if a guarantee was
// violated, and with a TooFewAnsweredError if fewer requests were answered than MinAnsweredShare.
func (l *Load) Run(ctx context.Context) error {
	faults, err := l.parseFaults()
	if err != nil {
		return err
	}
	if l.Bin, err = filepath.Abs(l.Bin); err != nil {
		return err
	}
	s, err := newSoakRun(l.Config)
	if err != nil {
		return err
	}
	if err := s.execute(ctx, func(ctx context.Context) error { return s.playFaults(ctx, faults) }); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	err = s.timeline.print(os.Stdout)
	if !s.cleanUpLogs() {
		err = errors.Join(err, &ViolationError{Seeds: []uint64{l.Seed}})
	}
	if float64(s.answered) < l.MinAnsweredShare*float64(s.answered+s.failed) {
		err = errors.Join(err, &TooFewAnsweredError{Answered: s.answered, Failed: s.failed})
	}
	return err
}

// playFaults starts each fault at its time. It returns when the time of the load is over and all faults
// have ended.
func (s *soakRun) playFaults(ctx context.Context, faults []plannedFault) error {
	startedAt := time.Now()
	// The table counts from here, after the processes have started.
	s.mu.Lock()
	s.startedAt, s.timeline = startedAt, timeline{}
	s.mu.Unlock()
	group, groupCtx := errgroup.WithContext(ctx)
	for _, fault := range faults {
		sleep(groupCtx, time.Until(startedAt.Add(fault.at)))
		e, ok := fault.kind.newEvent(s)
		if !ok {
			continue
		}
		s.logEvent(e.name)
		group.Go(func() error { return e.run(groupCtx) })
	}
	sleep(groupCtx, time.Until(startedAt.Add(time.Duration(s.cfg.Seconds)*time.Second)))
	return group.Wait()
}
