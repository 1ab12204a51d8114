package node_test

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/internal/surveyor"
)

// TestStatusOfAFleet asks a fleet for the operators' requests: a version in force everywhere, one that can't be
// read, an evacuation, and a balancer that has stopped.
func TestStatusOfAFleet(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c)
	survey := func() *surveyor.Report {
		r, err := surveyor.Survey(context.Background(), netip.AddrPortFrom(netip.MustParseAddr(ip(0)), uint16(f.ports.Web)))
		c.Assert(err, qt.IsNil)
		return r
	}
	f.src.write("op/config", fmt.Sprintf(routingJSON, 4))
	f.eventually("version 4 on all", func() bool {
		r := survey()
		return r.InForce() && r.Balancers == 3 && r.Requests[0].Name == "4" && r.Requests[0].InForce == 3 && r.Requests[0].Known > 0
	})

	f.src.write("op/config", "{")
	f.eventually("the unreadable version is reported by all", func() bool {
		r := survey()
		for _, in := range r.Invalid {
			if in.Kind == rattanwood.RoutingRecord {
				return in.Balancers == 3 && in.Reason == "syntax" && in.Key == "op/config" && strings.HasPrefix(in.Position, "0/") && !r.InForce()
			}
		}
		return false
	})
	f.src.write("op/config", fmt.Sprintf(routingJSON, 5))
	f.eventually("version 5 on all", func() bool { return survey().InForce() })

	f.src.write("op/evacuate/east", "{}")
	f.eventually("the evacuation is in force on all", func() bool {
		r := survey()
		i := slices.IndexFunc(r.Requests, func(q surveyor.Request) bool { return q.Kind == "evacuation" && q.Name == "east" })
		return i >= 0 && r.Requests[i].InForce == 3 && r.Requests[i].Upstreams == 2 && r.Requests[i].Known > 0 && r.InForce()
	})
	f.src.write("op/evacuate/east", "")
	f.eventually("the evacuation is taken back on all", func() bool { r := survey(); return len(r.Requests) == 1 && r.InForce() })

	f.stops[2]()
	c.Assert(<-f.ended[2], qt.IsNil)
	f.eventually("the stopped balancer no longer counts", func() bool {
		r := survey()
		return r.Balancers == 2 && len(r.Gone) == 1 && r.InForce()
	})

	for i := range 20 {
		f.src.write(fmt.Sprintf("op/other-%d", i), "?")
	}
	f.eventually("invalid records are bounded", func() bool {
		invalid := f.state(0).Invalid
		return len(invalid) == 16 && invalid[15].Key == "op/other-19"
	})
}
