package compiler_test

import (
	"fmt"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"example.org/rattanwood"
	"example.org/rattanwood/compiler"
)

var address = netip.MustParseAddrPort("10.0.0.1:80")

func document(t *rapid.T) *rattanwood.Document {
	version := rattanwood.Version(rapid.IntRange(1, 6).Draw(t, "version"))
	oldest := rattanwood.Version(rapid.IntRange(0, int(version)).Draw(t, "oldest"))
	doc := &rattanwood.Document{Version: version, Oldest: oldest}
	s := rattanwood.Service{Name: "board", Addresses: []rattanwood.Binding{{Address: address, Since: 1}}}
	for i := range rapid.IntRange(1, 8).Draw(t, "upstreams") {
		since := rattanwood.Version(rapid.IntRange(1, int(version)).Draw(t, "since"))
		until := rattanwood.Version(rapid.IntRange(0, int(version)).Draw(t, "until"))
		if until <= since {
			until = 0
		}
		s.Upstreams = append(s.Upstreams, rattanwood.Upstream{Name: fmt.Sprintf("u%d", i), Since: since, Until: until})
	}
	doc.Services = append(doc.Services, s)
	return doc
}

// TestAgreedMatchesEveryVersion compares AgreedUpstream, which looks at each candidate once, with
// HashedUpstream in every version in turn.
func TestAgreedMatchesEveryVersion(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		doc := document(rt)
		r := compiler.Compile(doc, nil).Route(address)
		flow := rattanwood.FlowID(rapid.Uint64().Draw(rt, "flow"))
		got, ok := r.AgreedUpstream(flow)
		if !ok {
			return
		}
		for v := r.OldestVersion; v <= doc.Version; v++ {
			want, found := r.HashedUpstream(flow, v)
			if !found || got != want {
				rt.Fatalf("hashed upstream in version %d is %v (found %v), AgreedUpstream returned %v", v, want, found, got)
			}
		}
	})
}

func TestDroppedUpstreamStaysATarget(t *testing.T) {
	c := qt.New(t)
	binding := []rattanwood.Binding{{Address: address, Since: 1}}
	first := &rattanwood.Document{Version: 1, Services: []rattanwood.Service{{
		Name: "board", Addresses: binding,
		Upstreams: []rattanwood.Upstream{{Name: "a", Since: 1}, {Name: "b", Since: 1}},
	}}}
	second := &rattanwood.Document{Version: 2, Services: []rattanwood.Service{{
		Name: "board", Addresses: binding,
		Upstreams: []rattanwood.Upstream{{Name: "a", Since: 1}},
	}}}
	cat := compiler.Compile(second, compiler.Compile(first, nil))
	_, ok := cat.Target(rattanwood.UpstreamIDOf("b"))
	c.Assert(ok, qt.IsTrue)
	for flow := range rattanwood.FlowID(100) {
		got, ok := cat.Route(address).HashedUpstream(flow, 2)
		c.Assert(ok, qt.IsTrue)
		c.Assert(got, qt.Equals, rattanwood.UpstreamIDOf("a"))
		if was, _ := cat.Route(address).HashedUpstream(flow, 1); was == rattanwood.UpstreamIDOf("b") {
			_, agreed := cat.Route(address).AgreedUpstream(flow)
			c.Assert(agreed, qt.IsFalse)
		}
	}
}
