package console_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/checker"
	"example.org/rattanwood/editor"
	"example.org/rattanwood/internal/console"
)

var update = flag.Bool("update", false, "write golden files")

// platform is a fake platform that returns the document published by the test.
type platform struct {
	doc *rattanwood.Document
}

func (p *platform) Document(context.Context) ([]byte, error) {
	if p.doc == nil {
		return nil, nil
	}
	return checker.Encode(p.doc)
}

func (p *platform) Watch(ctx context.Context, _ rattanwood.Version) ([]byte, error) {
	return p.Document(ctx)
}

func (p *platform) VMs(context.Context) ([]rattanwood.VM, error) { return nil, nil }

// publish applies a form and publishes the resulting document, as operators would.
func (p *platform) publish(t *testing.T, form string, v editor.Values) {
	f, err := editor.FindForm(form)
	qt.Assert(t, err, qt.IsNil)
	current := p.doc
	if current == nil {
		current = &rattanwood.Document{}
	}
	next, err := f.Apply(current, v)
	qt.Assert(t, err, qt.IsNil)
	p.doc = next
}

// step is one page request of a session: the start page, a form (without values) or the submission of a form.
// With publish set, the resulting document is published afterwards.
type step struct {
	title   string
	form    string
	values  editor.Values
	publish bool
}

// TestSession replays an operator's session and compares every page with the golden file.
func TestSession(t *testing.T) {
	c := qt.New(t)
	session := []step{
		{title: "an empty platform"},
		{title: "create a service", form: "service", values: editor.Values{"service": "board", "address": "10.1.0.1:80"}, publish: true},
		{title: "an address without a port", form: "service", values: editor.Values{"service": "maps", "address": "10.1.0.2"}},
		{title: "an address of another service", form: "service", values: editor.Values{"service": "maps", "address": "10.1.0.1:80"}},
		{title: "a second service", form: "service", values: editor.Values{"service": "maps", "address": "10.1.0.2:80"}, publish: true},
		{title: "an empty form", form: "upstream"},
		{title: "an upstream", form: "upstream", values: editor.Values{"service": "board", "upstream": "board-1", "tunnel": "10.2.0.1:6081", "web": "10.2.0.1:80", "slots": "2"}, publish: true},
		{title: "the upstream in two services", form: "upstream", values: editor.Values{"service": "maps", "upstream": "board-1", "tunnel": "10.2.0.2:6081", "web": "10.2.0.2:80", "slots": "2"}},
		{title: "a name that is markup", form: "upstream", values: editor.Values{"service": "maps", "upstream": "<b>x</b>", "tunnel": "10.2.0.2:6081", "web": "10.2.0.2:80", "slots": "2"}},
		{title: "too many slots", form: "upstream", values: editor.Values{"service": "maps", "upstream": "maps-1", "tunnel": "10.2.0.2:6081", "web": "10.2.0.2:80", "slots": "5000"}},
		{title: "drop without drain", form: "drop", values: editor.Values{"service": "board", "upstream": "board-1"}},
		{title: "drain", form: "drain", values: editor.Values{"service": "board", "upstream": "board-1"}, publish: true},
		{title: "drop", form: "drop", values: editor.Values{"service": "board", "upstream": "board-1"}, publish: true},
		{title: "the balance dial", form: "balance", values: editor.Values{"service": "board", "free": "0.5", "excess": "0.05"}, publish: true},
		{title: "limits", form: "limits", values: editor.Values{"service": "board", "queue": "16", "wait": "250", "deadline": "2000", "retry": "2"}},
		{title: "an unknown form", form: "nonsense"},
	}
	p := &platform{}
	srv := httptest.NewServer(console.New(console.Config{Platform: p}).Handler())
	c.Cleanup(srv.Close)
	var record strings.Builder
	for _, v := range session {
		fmt.Fprintf(&record, "=== %s\n", v.title)
		record.WriteString(fetchPage(c, srv.URL, v))
		if v.publish {
			p.publish(t, v.form, v.values)
		}
	}
	const golden = "testdata/session.golden"
	if *update {
		c.Assert(os.WriteFile(golden, []byte(record.String()), 0o600), qt.IsNil)
	}
	want, err := os.ReadFile(golden)
	c.Assert(err, qt.IsNil)
	c.Assert(record.String(), qt.Equals, string(want))
}

// fetchPage returns the status, the content type and the main element of a page.
func fetchPage(c *qt.C, base string, v step) string {
	var res *http.Response
	var err error
	switch {
	case v.form == "":
		res, err = http.Get(base + "/")
	case v.values == nil:
		res, err = http.Get(base + "/forms/" + v.form)
	default:
		form := url.Values{}
		for name, value := range v.values {
			form.Set(name, value)
		}
		res, err = http.PostForm(base+"/forms/"+v.form, form)
	}
	c.Assert(err, qt.IsNil)
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	c.Assert(err, qt.IsNil)
	body := string(data)
	if i := strings.Index(body, "<main>"); i >= 0 {
		body = body[i:]
	} else {
		body = "(no page)\n"
	}
	return fmt.Sprintf("%d %s\n%s", res.StatusCode, res.Header.Get("Content-Type"), body)
}

// TestLargeFormIsRefused submits a form whose last values lie beyond the largest size. It must not be applied
// without them.
func TestLargeFormIsRefused(t *testing.T) {
	c := qt.New(t)
	srv := httptest.NewServer(console.New(console.Config{Platform: &platform{}}).Handler())
	defer srv.Close()
	for size, status := range map[int]int{100: http.StatusOK, 64 << 10: http.StatusBadRequest} {
		values := url.Values{"service": {"board"}, "address": {"10.1.0.1:80"}}
		body := values.Encode() + "&other=" + strings.Repeat("x", size)
		res, err := http.Post(srv.URL+"/forms/service", "application/x-www-form-urlencoded", strings.NewReader(body))
		c.Assert(err, qt.IsNil)
		c.Assert(res.Body.Close(), qt.IsNil)
		c.Assert(res.StatusCode, qt.Equals, status)
	}
}

// TestStatus checks that the page Status needs a configured balancer, and says so when that doesn't answer.
func TestStatus(t *testing.T) {
	c := qt.New(t)
	balancer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"vm":"vm-1","version":12,"applied":3000,"age":100}`)
	}))
	defer balancer.Close()
	get := func(cfg console.Config, path string) (int, string) {
		cfg.Platform = &platform{}
		w := httptest.NewRecorder()
		console.New(cfg).Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		return w.Code, w.Body.String()
	}
	configured := console.Config{Balancer: netip.MustParseAddrPort(balancer.Listener.Addr().String())}
	code, body := get(configured, "/status")
	c.Assert(code, qt.Equals, http.StatusOK)
	c.Assert(body, qt.Contains, "document 12")
	c.Assert(body, qt.Contains, "in force on 1 of 1")
	c.Assert(body, qt.Not(qt.Contains), `role="alert"`)
	_, body = get(configured, "/")
	c.Assert(body, qt.Contains, `href="/status"`)

	balancer.Close()
	_, body = get(configured, "/status")
	c.Assert(body, qt.Contains, "The balancer can&#39;t be asked")

	code, _ = get(console.Config{}, "/status")
	c.Assert(code, qt.Equals, http.StatusNotFound)
	_, body = get(console.Config{}, "/")
	c.Assert(body, qt.Not(qt.Contains), `href="/status"`)
}
