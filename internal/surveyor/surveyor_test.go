package surveyor_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/internal/node"
	"example.org/rattanwood/internal/surveyor"
)

func evacuated(since int64, flows int) []node.EvacuationState {
	return []node.EvacuationState{{DataCentre: "east", SinceMillis: since, Position: "0/5", Flows: flows, Upstreams: 40}}
}

func TestSummarize(t *testing.T) {
	type state = node.State
	answers := func(states ...*state) (out []surveyor.Answer) {
		for _, s := range states {
			out = append(out, surveyor.Answer{VM: rattanwood.VMID(s.VM), State: s})
		}
		return out
	}
	silent := surveyor.Answer{VM: "c", Reason: "no answer in time"}
	gone := surveyor.Answer{VM: "d", Reason: "refused", Gone: true}
	tests := map[string]struct {
		answers []surveyor.Answer
		inForce bool
		// want are lines of the text, without repeated spaces.
		want []string
	}{
		"all alike": {answers(&state{VM: "a", Version: 7, AppliedMillis: 4000, AgeMillis: 300}, &state{VM: "b", Version: 7, AppliedMillis: 5000, AgeMillis: 900}), true,
			[]string{"balancers 2 of 2 answered, oldest records 900ms", "document 7 in force on 2 of 2 known for 5s"}},
		"one has an older version": {answers(&state{VM: "a", Version: 7}, &state{VM: "b", Version: 6, AppliedMillis: 9000}), false,
			[]string{"document 7 in force on 1 of 2 not on b"}},
		"one doesn't answer": {append(answers(&state{VM: "a", Version: 7}), silent), false,
			[]string{"balancers 1 of 2 answered, oldest records 0s", "document 7 in force on 1 of 2", "no answer c no answer in time"}},
		"one has stopped": {append(answers(&state{VM: "a", Version: 7}), gone), true,
			[]string{"balancers 1 of 1 answered, oldest records 0s", "document 7 in force on 1 of 1", "gone d refused"}},
		"one is taken for dead, but answers": {append(answers(&state{VM: "a", Version: 7}), surveyor.Answer{VM: "b", Gone: true, State: &state{VM: "b", Version: 6}}), false,
			[]string{"document 7 in force on 1 of 2 not on b"}},
		"one is listed twice": {answers(&state{VM: "a", Version: 7}, &state{VM: "a", Version: 7}), true,
			[]string{"document 7 in force on 1 of 1"}},
		"one never had current records": {answers(&state{VM: "a", AgeMillis: 20}, &state{VM: "b", AgeMillis: -1}), true,
			[]string{"balancers 2 of 2 answered, oldest records 20ms, 1 never confirmed (b)"}},
		"evacuation in force everywhere": {answers(&state{VM: "a", Revision: 6, Evacuations: evacuated(2000, 3)}, &state{VM: "b", Revision: 6, Evacuations: evacuated(2500, 4)}), true,
			[]string{"evacuation east in force on 2 of 2 known for 2.5s 40 upstreams, 7 flows open"}},
		"evacuation not yet everywhere": {answers(&state{VM: "a", Revision: 6, Evacuations: evacuated(100, 3)}, &state{VM: "b", Revision: 5}), false,
			[]string{"evacuation east in force on 1 of 2 known for 100ms 40 upstreams, 3 flows open not on b"}},
		"evacuation taken back, not yet everywhere": {answers(&state{VM: "a", Revision: 7}, &state{VM: "b", Revision: 6, Evacuations: evacuated(9000, 3)}), false,
			[]string{"return east in force on 1 of 2 not on b"}},
		"evacuation asked for in a later era": {answers(&state{VM: "a", Revision: 900}, &state{VM: "b", Era: 1, Revision: 2, Evacuations: evacuated(10, 0)}), false,
			[]string{"evacuation east in force on 1 of 2 known for 10ms 40 upstreams, 0 flows open not on a"}},
		"document that can't be read": {answers(&state{VM: "a", Version: 7, Invalid: []node.InvalidState{{Kind: rattanwood.RoutingRecord, Key: "k", Reason: "syntax", Position: "0/9"}}}, &state{VM: "b", Version: 7}), false,
			[]string{"document 7 in force on 2 of 2", "unreadable routing k at 0/9: syntax, on 1 balancers"}},
		"record of another writer": {answers(&state{VM: "a", Version: 7, Invalid: []node.InvalidState{{Kind: rattanwood.UpstreamRecord, Key: "k", Reason: "field", Position: "0/9"}}}), true,
			[]string{"unreadable upstream k at 0/9: field, on 1 balancers"}},
		"nobody": {nil, false, []string{"balancers 0 of 0 answered, oldest records 0s"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := surveyor.Summarize(test.answers)
			var out strings.Builder
			c.Assert(r.Write(&out), qt.IsNil)
			lines := map[string]bool{}
			for line := range strings.Lines(out.String()) {
				lines[strings.Join(strings.Fields(line), " ")] = true
			}
			for _, want := range test.want {
				c.Check(lines[want], qt.IsTrue, qt.Commentf("want %q in\n%s", want, out.String()))
			}
			c.Assert(r.InForce(), qt.Equals, test.inForce)
		})
	}
}

// serve answers requests for the state of a balancer at an IP address and a port, which it returns.
func serve(c *qt.C, ip string, port int, handler http.HandlerFunc) int {
	lis, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.ParseIP(ip), Port: port})
	c.Assert(err, qt.IsNil)
	s := &httptest.Server{Listener: lis, Config: &http.Server{Handler: handler}}
	s.Start()
	c.Cleanup(s.Close)
	return lis.Addr().(*net.TCPAddr).Port
}

// TestSurvey asks a fleet of which one balancer answers, one hangs, one answers with an error and one isn't there.
func TestSurvey(t *testing.T) {
	c := qt.New(t)
	answer := func(s node.State) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			c.Check(r.URL.String(), qt.Equals, "/state?rows=0&upstreams=false")
			c.Check(json.NewEncoder(w).Encode(s), qt.IsNil)
		}
	}
	first := node.State{VM: "a", Version: 3}
	for vm, ip := range map[rattanwood.VMID]string{"b": "127.0.23.2", "c": "127.0.23.3", "d": "127.0.23.4", "e": "127.0.23.5"} {
		first.Members = append(first.Members, node.MemberState{VM: vm, Address: ip + ":9", State: "alive"})
	}
	port := serve(c, "127.0.23.1", 0, answer(first))
	serve(c, "127.0.23.2", port, answer(node.State{VM: "b", Version: 3}))
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	serve(c, "127.0.23.3", port, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	serve(c, "127.0.23.4", port, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) })
	r, err := surveyor.Survey(ctx, netip.AddrPortFrom(netip.MustParseAddr("127.0.23.1"), uint16(port)))
	c.Assert(err, qt.IsNil)
	c.Assert(r.Answered, qt.Equals, 2)
	c.Assert(r.Balancers, qt.Equals, 5)
	reasons := map[rattanwood.VMID]string{}
	for _, a := range r.Silent {
		reasons[a.VM] = a.Reason
	}
	c.Assert(reasons["c"], qt.Equals, "no answer in time")
	c.Assert(reasons["d"], qt.Equals, "HTTP status 418")
	c.Assert(reasons["e"], qt.Matches, ".*connection refused.*")
	c.Assert(r.InForce(), qt.IsFalse)

	_, err = surveyor.Survey(ctx, netip.AddrPortFrom(netip.MustParseAddr("127.0.23.9"), uint16(port)))
	c.Assert(err, qt.IsNotNil)
}
