package node_test

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestAdmissionWithRoom opens flows while there is room. With admission they are counted and let in; without,
// nothing is counted.
func TestAdmissionWithRoom(t *testing.T) {
	for name, on := range map[string]bool{"on": true, "off": false} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newStoppedFleet(c)
			f.admission = on
			for i := range 2 {
				f.start(i)
			}
			for i := range 2 {
				f.eventually("ready", func() bool { return f.get(i, "/ready", nil) == http.StatusOK })
			}
			for port := uint16(1); port <= 20; port++ {
				c.Assert(f.open(int(port)%2, port, "198.18.0.1:443"), qt.Not(qt.Equals), -1)
			}
			text := f.metrics(0)
			if !on {
				c.Assert(text, qt.Not(qt.Contains), "rattanwood_admissions_total")
				c.Assert(f.state(0).Admission, qt.HasLen, 0)
				return
			}
			c.Assert(text, qt.Contains, `rattanwood_admissions_total{level="`)
			c.Assert(text, qt.Contains, `outcome="admitted"`)
			c.Assert(text, qt.Not(qt.Contains), `outcome="refused"`)
		})
	}
}
