package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"
)

// counter returns the balancer that has placed the most flows for others.
func (f *fleet) counter() *node {
	best, most := f.nodes[0], -1.0
	for _, n := range f.nodes {
		res, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", n.ip, f.w.ports.ready))
		if err != nil {
			continue
		}
		body, _ := io.ReadAll(res.Body)
		_ = res.Body.Close()
		for _, l := range strings.Split(string(body), "\n") {
			var v float64
			if k, _ := fmt.Sscanf(l, `rattanwood_handovers_total{outcome="admitted"} %g`, &v); k == 1 && v > most {
				best, most = n, v
			}
		}
	}
	return best
}

// playFreeze has the balancer that counts the requests of a busy service stand still for four seconds. Each balancer has
// the processor time of a small machine, as an allowance for each tenth of a second. No datagram is lost.
func playFreeze(record, bin, dir string) (*world, error) {
	const (
		slots  = 3
		workMs = 45
		// share is that of a core that a balancer has.
		share = 0.061
		// load is the share of the backends' slots that requests occupy.
		load            = 0.65
		requestsPerFlow = 4
		freezeTime      = 4 * time.Second
		// pause is the time between two freezes.
		pause = 5 * time.Second
	)
	w, err := setUp(record, bin, dir, []string{"zone-1"}, 10, 8, 6, slots)
	if err != nil {
		return w, err
	}
	w.interrupts()
	w.trouble = os.Getenv("TROUBLE") != "0"
	for _, b := range w.backends {
		b.workMs, b.limited = workMs, true
	}
	w.putConfig(3, "unsafe", 2000)
	if err := w.startFleet(); err != nil {
		return w, err
	}
	w.heartbeats()
	time.Sleep(3 * time.Second)
	if err := w.fleet.limitAll(share); err != nil {
		return w, err
	}
	flows := load * float64(len(w.backends)*slots) / workMs * 1000 / requestsPerFlow
	w.rec.event("traffic begins with %.0f flows a second, trouble %v", flows, w.trouble)
	end := time.Now().Add(98 * time.Second)
	if w.trouble {
		go func() {
			for time.Sleep(pause); time.Now().Before(end.Add(-10 * time.Second)); time.Sleep(pause) {
				w.fleet.freeze(w.fleet.counter(), freezeTime)
			}
		}()
	}
	w.traffic(end, int(flows), requestsPerFlow)
	return w, nil
}
