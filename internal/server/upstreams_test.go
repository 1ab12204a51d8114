package server

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/marker"
)

// rawUpstream accepts connections and lets serve write whatever it likes to them. Serve gets each request in
// turn and the connection's number, and reports whether the connection stays open.
func rawUpstream(c *qt.C, serve func(conn net.Conn, number int, r *http.Request) bool) netip.AddrPort {
	lis, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = lis.Close() })
	go func() {
		for number := 1; ; number++ {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				in := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(in)
					if err != nil || !serve(conn, number, r) {
						return
					}
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(lis.Addr().String())
}

func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func (u *upstreams) run(web netip.AddrPort, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	body, err := u.send(ctx, upstreamRequest{web: web, service: "s", id: rattanwood.RequestID(id), body: "b"})
	return string(body), err
}

// TestResponses covers responses that must not be passed on as successes, or not as those of their request.
func TestResponses(t *testing.T) {
	long := strings.Repeat("x", maxResponseBytes)
	const head = "HTTP/1.1 200 OK\r\n"
	tests := map[string]struct {
		response string
		want     string
		cause    error
		notRun   bool
	}{
		"whole":                              {response("s/1", "whole"), "whole", nil, false},
		"names no request":                   {head + "Content-Length: 5\r\n\r\nwhole", "whole", nil, false},
		"names another request":              {response("s/0", "whole"), "", errOtherRequest, false},
		"another request wasn't run":         {"HTTP/1.1 429 Busy\r\nRun: none\r\nRequest-Id: s/0\r\nContent-Length: 0\r\n\r\n", "", errOtherRequest, false},
		"wasn't run":                         {"HTTP/1.1 429 Busy\r\nRun: none\r\nRequest-Id: s/1\r\nContent-Length: 0\r\n\r\n", "", nil, true},
		"as long as allowed":                 {response("s/1", long), long, nil, false},
		"too long":                           {response("s/1", long+"x"), "", errTooLong, false},
		"broken off":                         {head + "Content-Length: 9\r\n\r\nwho", "", nil, false},
		"broken off between chunks":          {head + "Transfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n", "", nil, false},
		"whole in chunks":                    {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", "whole", nil, false},
		"ends with the connection":           {head + "\r\nwho", "", errUnknownLength, false},
		"ends with the connection, HTTP/1.0": {"HTTP/1.0 200 OK\r\n\r\nwho", "", errUnknownLength, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			web := rawUpstream(c, func(conn net.Conn, _ int, _ *http.Request) bool {
				_, _ = conn.Write([]byte(test.response))
				return false
			})
			body, err := newUpstreams().run(web, "s/1")
			if test.want != "" {
				c.Assert(err, qt.IsNil)
				c.Assert(body == test.want, qt.IsTrue)
				return
			}
			var notRun *NotRunError
			var incomplete *IncompleteResponseError
			c.Assert(errors.As(err, &notRun), qt.Equals, test.notRun)
			c.Assert(errors.As(err, &incomplete), qt.Equals, !test.notRun)
			if test.cause != nil {
				c.Assert(errors.Is(err, test.cause), qt.IsTrue, qt.Commentf("%v", err))
			}
		})
	}
}

// TestLateCopyOfResponse has an upstream send each response twice, the second copy only once the next request
// has arrived on the same connection.
func TestLateCopyOfResponse(t *testing.T) {
	for name, named := range map[string]bool{"responses name their request": true, "they don't": false} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			// last holds the last answer on each connection.
			var last sync.Map
			web := rawUpstream(c, func(conn net.Conn, number int, r *http.Request) bool {
				id := r.Header.Get(headerID)
				answer := response(id, "answer to "+id)
				if !named {
					answer = strings.Replace(answer, headerID+": "+id, "Other: x", 1)
				}
				late, _ := last.Swap(number, answer)
				text, _ := late.(string)
				_, _ = conn.Write([]byte(text + answer))
				return true
			})
			u := newUpstreams()
			for i := range 5 {
				id := fmt.Sprintf("s/%d", i)
				body, err := u.run(web, id)
				if err == nil {
					c.Assert(body, qt.Equals, "answer to "+id)
					continue
				}
				var incomplete *IncompleteResponseError
				c.Assert(errors.As(err, &incomplete), qt.IsTrue, qt.Commentf("%v", err))
			}
			body, err := u.run(web, "s/last")
			if err == nil {
				c.Assert(body, qt.Equals, "answer to s/last")
			}
			c.Assert(u.checkHealth(context.Background(), web, time.Second), qt.Equals, marker.Down, qt.Commentf("a response to a request was taken for a health state"))
		})
	}
}

// TestRequestIsSentOnce has an upstream close its connections in all ways, and redirect. Each request must reach
// an upstream once at most.
func TestRequestIsSentOnce(t *testing.T) {
	tests := map[string]string{
		"closes an idle connection": response("s/%d", "ok"),
		"no answer":                 "",
		"half an answer":            "HTTP/1.1 200",
		"moved":                     "HTTP/1.1 302 Found\r\nLocation: /run\r\nContent-Length: 0\r\n\r\n",
		"moved, same method":        "HTTP/1.1 307 Moved\r\nLocation: /run\r\nContent-Length: 0\r\n\r\n",
	}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var requests atomic.Int64
			web := rawUpstream(c, func(conn net.Conn, _ int, _ *http.Request) bool {
				n := requests.Add(1)
				if strings.Contains(answer, "%d") {
					_, _ = fmt.Fprintf(conn, answer, n)
				} else {
					_, _ = conn.Write([]byte(answer))
				}
				// The first request's connection stays open for the second, and is closed when that arrives.
				return n == 1 && answer != "" && !strings.HasSuffix(answer, "200")
			})
			u := newUpstreams()
			for i := 1; i <= 4; i++ {
				before := requests.Load()
				_, err := u.run(web, fmt.Sprintf("s/%d", i))
				sent := requests.Load() - before
				c.Assert(sent <= 1, qt.IsTrue, qt.Commentf("sent %d times", sent))
				var notRun *NotRunError
				c.Assert(errors.As(err, &notRun) && sent > 0, qt.IsFalse, qt.Commentf("a request that was sent is said not to have run: %v", err))
			}
		})
	}
}
