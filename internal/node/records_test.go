package node_test

import (
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood/platform"
	"example.org/rattanwood/platform/emulator"
)

// nested returns a JSON value of that many arrays in each other.
func nested(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

// TestOddRecordsNearCapacity guards against nodes that end or stop following the source because another writer left an
// entry among those of the upstreams that is nested too deeply, has a number too large or a port out of range, or is too
// large. The service is near its capacity, so that flows are placed by counts.
func TestOddRecordsNearCapacity(t *testing.T) {
	const valid = `{"service":"s","address":"127.0.22.51:9","zone":"east","version":"v","slots":2,"state":"ready","warmup_remaining_ms":0,"sequence":1,"born":1}`
	change := func(from, to string) string { return strings.Replace(valid, from, to, 1) }
	odd := map[string]string{
		"nested value":       nested(200_000),
		"nested field":       change(`{`, `{"more":`+nested(200_000)+`,`),
		"nested service":     change(`"s"`, nested(200_000)),
		"half of a nesting":  strings.Repeat(`{"a":[`, 100_000),
		"large":              change(`"v"`, `"`+strings.Repeat("v", 700_000)+`"`),
		"slots near 2^63":    change(`"slots":2`, `"slots":9223372036854775807`),
		"slots near 2^62":    change(`"slots":2`, `"slots":4611686018427387904`),
		"slots beyond 2^64":  change(`"slots":2`, `"slots":36893488147419103232`),
		"slots as exponent":  change(`"slots":2`, `"slots":1e400`),
		"warm-up too long":   change(`"warmup_remaining_ms":0`, `"warmup_remaining_ms":1e300`),
		"warm-up near 2^63":  change(`"warmup_remaining_ms":0`, `"warmup_remaining_ms":9223372036853`),
		"sequence too large": change(`"sequence":1`, `"sequence":9223372036854775807`),
		"start too large":    change(`"born":1`, `"born":-9223372036854775808`),
		"port out of range":  change(`:9"`, `:99999"`),
		"negative port":      change(`:9"`, `:-1"`),
		"broadcast address":  change(`127.0.22.51`, `255.255.255.255`),
		"not UTF-8":          change(`"v"`, "\"\xff\xfe\""),
	}
	c := qt.New(t)
	f := newStoppedFleet(c)
	store := httptest.NewServer(emulator.StoreHandler(f.src))
	c.Cleanup(store.Close)
	f.source = platform.NewStore(platform.Config{Address: netip.MustParseAddrPort(store.Listener.Addr().String()), StallTimeout: time.Second})
	f.admission = true
	f.start(0)
	f.eventually("ready", func() bool { return f.get(0, "/ready", nil) == http.StatusOK })
	for port := uint16(1); port <= 30; port++ {
		f.answer(0, port)
	}
	// Many more flows are opened than the upstreams answer, by way of both nodes.
	port, refused := uint16(1000), 0
	load := func() bool {
		refused += f.overload(&port)
		return refused > 50
	}
	f.eventually("flows are refused", load)
	id := 0xcd00000010
	for _, name := range slices.Sorted(maps.Keys(odd)) {
		id++
		f.src.write(fmt.Sprintf("servers/i-%010x", id), odd[name])
		// Numbers that are too large could balance each other.
		for range 5 {
			load()
		}
	}
	f.src.write("op/config", fmt.Sprintf(routingJSON, 4))
	f.start(1)
	for i := range 2 {
		f.eventually("node follows the source", func() bool { load(); return f.state(i).Version == 4 })
	}
	f.src.write(f.upstreams[1].key, "")
	for i := range 2 {
		f.eventually("node follows the source", func() bool {
			load()
			for _, u := range f.state(i).Upstreams {
				if u.Address == f.upstreams[1].address && u.Registered {
					return false
				}
			}
			return true
		})
		c.Assert(f.get(i, "/ready", nil), qt.Equals, http.StatusOK)
		c.Assert(f.ended[i], qt.HasLen, 0)
	}
}

// TestUnreadableChangesAreListed guards against a reader that repeats a watch whose answer it can't read, while no
// balancer learns of any change.
func TestUnreadableChangesAreListed(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c)
	f.src.mu.Lock()
	f.src.unreadable = true
	f.src.mu.Unlock()
	f.src.write("op/config", fmt.Sprintf(routingJSON, 4))
	written := time.Now()
	for i := range 3 {
		f.eventually("new version", func() bool { return f.state(i).Version == 4 })
	}
	c.Assert(time.Since(written) < 3*time.Second, qt.IsTrue, qt.Commentf("in force after %v", time.Since(written)))
}
