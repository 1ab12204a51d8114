package node_test

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLeaseHolderIsAsked has an upstream that is cold and bears eight flows a second, of which one holder of its lease admits
// half. Other nodes must ask the holder for flows that arrive at them, and those beyond go elsewhere.
func TestLeaseHolderIsAsked(t *testing.T) {
	const share = 4
	c := qt.New(t)
	f := newFleet(c)
	f.src.write("op/config", strings.Replace(fmt.Sprintf(routingJSON, 2), "}]}", `}],"services":[{"name":"s","warmup_s":60,"warmup_per_s":8}]}`, 1))
	f.src.write(f.upstreams[0].key, strings.Replace(f.upstreams[0].registration("ready"), `"warmup_remaining_ms":0`, `"warmup_remaining_ms":60000`, 1))
	holder := -1
	f.eventually("all nodes know who holds the lease", func() bool {
		known := 0
		for i := range 3 {
			for _, row := range f.state(i).Cold {
				switch row.Lease {
				case "held":
					holder = i
					known++
				case "elsewhere":
					known++
				}
			}
		}
		return known == 3 && holder >= 0
	})
	other, cold := (holder+1)%3, 0
	begin := time.Now()
	for port := uint16(1); port <= 40; port++ {
		if f.open(other, port, "198.18.0.1:443") == 0 {
			cold++
		}
	}
	windows := 1 + int(time.Since(begin)/time.Second)
	c.Assert(cold > 0 && cold <= share*windows, qt.IsTrue, qt.Commentf("%d flows in %d windows", cold, windows))
	for i, outcome := range map[int]string{other: "sent", holder: "admitted"} {
		c.Assert(f.metric(i, fmt.Sprintf(`rattanwood_asks_total{outcome=%q}`, outcome)) >= cold, qt.IsTrue)
	}
	c.Assert(len(f.logs[holder].linesWith(`"message":"advice given"`)) >= cold, qt.IsTrue)
	c.Assert(f.logs[holder].contains("leases on cold upstreams changed"), qt.IsTrue)
}

// metric returns the value of a counter of a node.
func (f *fleet) metric(i int, name string) (value int) {
	res, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", ip(i), f.ports.Web))
	f.c.Assert(err, qt.IsNil)
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	f.c.Assert(err, qt.IsNil)
	if m := regexp.MustCompile(regexp.QuoteMeta(name) + ` (\d+)`).FindSubmatch(text); m != nil {
		_, err = fmt.Sscan(string(m[1]), &value)
		f.c.Assert(err, qt.IsNil)
	}
	return value
}
