package node_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
)

const (
	evacuateEast = "op/evacuate/east"
	evacuateWest = "op/evacuate/west"
)

// newDividedFleet starts a fleet whose first upstream is in the data centre west and whose second one is in east.
func newDividedFleet(c *qt.C) *fleet {
	f := newFleet(c)
	f.upstreams[0].centre = "west"
	f.src.write(f.upstreams[0].key, f.upstreams[0].registration("ready"))
	return f
}

// eventuallyEvacuated waits until all the given nodes list the given data centres as evacuated.
func (f *fleet) eventuallyEvacuated(nodes []int, centres ...rattanwood.DataCentre) {
	f.c.Helper()
	for _, i := range nodes {
		f.eventually("evacuations in force", func() bool {
			rows := f.state(i).Evacuations
			if len(rows) != len(centres) {
				return false
			}
			for k, row := range rows {
				if row.DataCentre != centres[k] {
					return false
				}
			}
			return true
		})
	}
}

// opensOnlyOn checks that all new flows of a node reach one upstream.
func (f *fleet) opensOnlyOn(node, upstream int, firstPort uint16) {
	f.c.Helper()
	for port := firstPort; port < firstPort+12; port++ {
		f.c.Assert(f.open(node, port, "198.18.0.1:443"), qt.Equals, upstream, qt.Commentf("node %d", node))
	}
}

// TestEvacuation takes a fleet through an evacuation, a second one that overlaps it, and their ends, one of which
// is asked for while the source is away.
func TestEvacuation(t *testing.T) {
	c := qt.New(t)
	f := newDividedFleet(c)
	all := []int{0, 1, 2}
	f.src.write(evacuateWest, "{}")
	f.src.write("op/evacuate/", "{}")
	f.eventuallyEvacuated(all, "west")
	f.eventually("the record without a name is refused", func() bool {
		return len(f.logs[0].linesWith("record op/evacuate/: unknown_key")) > 0
	})
	for _, i := range all {
		f.opensOnlyOn(i, 1, 100)
		f.send(i, packet(7, "198.18.0.1:443", flagAck, tag(0), 2))
		c.Assert(f.receivedBy(), qt.Equals, 0, qt.Commentf("an open flow stays"))
		row := f.state(i).Evacuations[0]
		c.Assert(row.Upstreams, qt.Equals, 1)
		c.Assert(row.Flows, qt.Equals, 1)
		c.Assert(f.logs[i].linesWith("data centre evacuated"), qt.HasLen, 1)
	}

	c.Log("nothing may serve while both data centres are evacuated")
	f.src.write(evacuateEast, "{}")
	f.eventuallyEvacuated(all, "east", "west")
	f.opensOnlyOn(1, -1, 200)
	f.src.write(evacuateEast, "")
	f.eventuallyEvacuated(all, "west")
	f.opensOnlyOn(1, 1, 300)

	c.Log("the evacuation is taken back while the source is away, and ends once it is back")
	f.src.set(true, false)
	f.src.write(evacuateWest, "")
	f.eventually("records are older than 1.5 s", func() bool { return f.state(1).AgeMillis > 1500 })
	f.opensOnlyOn(1, 1, 400)
	f.src.set(false, false)
	f.eventuallyEvacuated(all)
	port := uint16(500)
	for _, i := range all {
		f.eventually("a new flow goes to the data centre again", func() bool {
			port++
			return f.open(i, port, "198.18.0.1:443") == 0
		})
		c.Assert(f.logs[i].linesWith("evacuation taken back"), qt.HasLen, 2)
	}
}

// TestStartDuringEvacuation has a node start while the source is away. It must know of the evacuation, from
// another node, before it places its first flow.
func TestStartDuringEvacuation(t *testing.T) {
	c := qt.New(t)
	f := newDividedFleet(c)
	f.src.write(evacuateWest, "{}")
	f.eventuallyEvacuated([]int{0, 1, 2}, "west")
	f.stops[2]()
	c.Assert(<-f.ended[2], qt.IsNil)
	f.src.set(true, false)
	f.start(2)
	f.eventually("the restarted node is ready", func() bool { return f.get(2, "/ready", nil) == http.StatusOK })
	f.opensOnlyOn(2, 1, 100)
	c.Assert(f.logs[3].linesWith("data centre evacuated"), qt.HasLen, 1)
}

// TestEvacuationOutlivesAnOlderCopy has the source come back from a copy that lacks an evacuation. It stays in force,
// also on a node that starts from the copy, and nothing else waits for it. Operators end it by writing it again.
func TestEvacuationOutlivesAnOlderCopy(t *testing.T) {
	c := qt.New(t)
	f := newDividedFleet(c)
	all := []int{0, 1, 2}
	f.src.write(evacuateWest, "{}")
	f.eventuallyEvacuated(all, "west")
	f.stops[2]()
	c.Assert(<-f.ended[2], qt.IsNil)
	f.src.rewind(1)
	for i := range 2 {
		f.eventually("node has learned of the return", func() bool { return f.state(i).Era == 1 })
	}
	f.eventually("settled", func() bool { return !f.state(0).Settling && !f.state(1).Settling })
	f.start(2)
	f.eventually("the restarted node is ready", func() bool { return f.get(2, "/ready", nil) == http.StatusOK })
	for _, i := range all {
		f.opensOnlyOn(i, 1, 100)
		c.Assert(f.state(i).Settling, qt.IsFalse)
		f.eventually("an address without a route is refused", func() bool { return f.open(i, 300, "198.18.0.9:443") == -1 })
		c.Assert(f.state(i).Evacuations[0].Position, qt.Matches, "0/.*", qt.Commentf("operators see that the source lacks it"))
	}
	f.src.write(evacuateWest, "{}")
	f.eventually("the request is known anew", func() bool { return f.state(2).Evacuations[0].Position == f.state(0).Evacuations[0].Position })
	f.src.write(evacuateWest, "")
	f.eventuallyEvacuated(all)
}

// TestEvacuatedUpstreamsAreCheckedForTheirFlows has an evacuated upstream stop. It isn't checked until there are
// flows on it.
func TestEvacuatedUpstreamsAreCheckedForTheirFlows(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c)
	f.src.write(evacuateEast, "{}")
	f.eventuallyEvacuated([]int{0, 1, 2}, "east")
	c.Assert(f.upstreams[1].tcp.Close(), qt.IsNil)
	// Regular checks within a data centre are a second apart.
	time.Sleep(2500 * time.Millisecond)
	avoided := func(i int) bool { return f.state(i).Upstreams[1].Avoid }
	for i := range 3 {
		c.Assert(avoided(i), qt.IsFalse)
	}
	for i := range 3 {
		f.send(i, packet(7, "198.18.0.1:443", flagAck, tag(1), 2))
	}
	f.eventually("a node that checks it has a flow there, and finds out", func() bool { return avoided(0) || avoided(1) || avoided(2) })
}
