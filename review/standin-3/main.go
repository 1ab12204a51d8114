// Command standin-3 plays scenarios of the third review: it starts the balancers' processes beside stand-ins for the
// platform, its routers, backends and requesters, and checks the rules by what these see.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxRunTime is how long a run may take.
const maxRunTime = 118 * time.Second

// scenarios are those that can be played, by the name on the command line.
var scenarios = map[string]func(*run) error{
	"roll-copies":  rollCopies,
	"cold-restart": coldRestart,
	"late-start":   lateStart,
	"narrow-start": narrowStart,
	"moved-store":  movedStore,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil || os.Getenv("RATTANWOOD") == "" {
		fmt.Fprintln(os.Stderr, "usage: RATTANWOOD=PROGRAM standin-3 SCENARIO RECORD")
		os.Exit(2)
	}
	r, err := newRun(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	go func() {
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
		select {
		case <-stop:
		case <-time.After(maxRunTime):
		}
		r.log("the run was ended early")
		r.finish()
		os.Exit(2)
	}()
	err = scenarios[os.Args[1]](r)
	status := r.finish()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		status = 2
	}
	os.Exit(status)
}
