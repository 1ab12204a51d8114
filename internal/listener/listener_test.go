package listener_test

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood/internal/listener"
)

// TestStopAnswersAcceptedConnections has Callers connect and send requests just before a planned stop. The
// system has accepted their connections, although the process hasn't yet.
func TestStopAnswersAcceptedConnections(t *testing.T) {
	c := qt.New(t)
	lis, err := listener.TCP(netip.MustParseAddrPort("127.0.0.1:0"))
	c.Assert(err, qt.IsNil)
	const callers = 20
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			res, err := (&http.Client{Transport: &http.Transport{}}).Get("http://" + lis.Addr().String())
			if !c.Check(err, qt.IsNil) {
				return
			}
			defer func() { _ = res.Body.Close() }()
			body, err := io.ReadAll(res.Body)
			c.Check(err, qt.IsNil)
			c.Check(string(body), qt.Equals, "ok")
			c.Check(res.Close, qt.IsTrue, qt.Commentf("the Caller may send another request on this connection"))
		})
	}
	time.Sleep(100 * time.Millisecond)
	ctx, stop := context.WithCancel(context.Background())
	stop()
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	c.Assert(listener.ServeHTTP(ctx, lis, handler, 5*time.Second), qt.IsNil)
	wg.Wait()
	_, err = http.Get("http://" + lis.Addr().String())
	c.Assert(err, qt.IsNotNil, qt.Commentf("the listener is still open"))
}
