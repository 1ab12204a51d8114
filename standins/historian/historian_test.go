package historian

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const log = `  41.900 vm-1 {"message":"started","vm":"vm-1"}
  42.100 vm-1 {"message":"started","vm":"vm-1"}
not a log line
  42.150 vm-2 {"message":"started","vm":"vm-2"}
  42.200 vm-1 {"message":"first packet forwarded","vm":"vm-1","reason":"tagged"}
  42.300 vm-1 {"message":"first packet forwarded","vm":"vm-1","reason":"placed"}
  42.900 vm-1 {"message":"started","vm":"vm-1"}
`

func TestTimeLine(t *testing.T) {
	c := qt.New(t)
	r := &Return{Back: 42, Down: time.Second, TimeLimit: 500 * time.Millisecond, ServiceTime: 30 * time.Millisecond}
	times := map[string][]float64{}
	c.Assert(r.scan(strings.NewReader(log), times), qt.IsNil)
	c.Assert(times["sockets open"], qt.HasLen, 2, qt.Commentf("the start before the return, and a second one, don't count"))
	var out strings.Builder
	c.Assert(r.print(&out, times), qt.IsNil)
	// The last copy in time is sent after 200 ms: of the requests of 1 s those of 0.8 s are lost, and 0.2 s more
	// if a balancer forwards after 0.2 s.
	c.Assert(out.String(), qt.Contains, "first established flow forwarded  1          0.200    0.200     0.200          0.200   1.25")
	c.Assert(out.String(), qt.Contains, "requests of 0.80 s are lost")
}
