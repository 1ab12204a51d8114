// Package compiler turns a document into tables that are read for each packet.
package compiler

import (
	"net/netip"
	"slices"

	"example.org/rattanwood"
	"example.org/rattanwood/ranker"
)

// Candidate is an upstream that an address's flows could have begun on, with the versions for that.
type Candidate struct {
	ID           rattanwood.UpstreamID
	Seed         uint64
	Since, Until rattanwood.Version
}

// Route is what an address leads to in all versions that the document covers.
type Route struct {
	// Service is bound to the address in the newest version; empty if none is.
	Service    rattanwood.ServiceID
	Balance    rattanwood.Balance
	Candidates []Candidate
	// OldestVersion is the first version with a candidate.
	OldestVersion rattanwood.Version
}

// Target is where the packets for an upstream go.
type Target struct {
	rattanwood.Upstream
	Service rattanwood.ServiceID
}

// Catalog is a compiled document; it is never changed after Compile.
type Catalog struct {
	Version  rattanwood.Version
	Document *rattanwood.Document
	routes   map[netip.AddrPort]*Route
	targets  map[rattanwood.UpstreamID]Target
}

// Compile returns the catalog of doc. Upstreams of previous that doc has
// dropped stay known as targets, so that their flows can finish.
func Compile(doc *rattanwood.Document, previous *Catalog) *Catalog {
	c := &Catalog{
		Version:  doc.Version,
		Document: doc,
		routes:   map[netip.AddrPort]*Route{},
		targets:  map[rattanwood.UpstreamID]Target{},
	}
	for i := range doc.Services {
		c.add(&doc.Services[i])
	}
	if previous != nil {
		c.keepDropped(previous)
	}
	return c
}

func (c *Catalog) add(s *rattanwood.Service) {
	for _, u := range s.Upstreams {
		c.targets[u.ID()] = Target{Upstream: u, Service: s.Name}
	}
	for _, b := range s.Addresses {
		r := c.route(b.Address)
		if rattanwood.Within(b.Since, b.Until, c.Version) {
			r.Service = s.Name
			r.Balance = s.Balance
		}
		for _, u := range s.Upstreams {
			r.add(candidate(u, b), c.Document.Oldest)
		}
	}
}

func (c *Catalog) route(address netip.AddrPort) *Route {
	r, ok := c.routes[address]
	if !ok {
		r = &Route{}
		c.routes[address] = r
	}
	return r
}

func candidate(u rattanwood.Upstream, b rattanwood.Binding) Candidate {
	return Candidate{
		ID:    u.ID(),
		Seed:  ranker.Seed(u.Name),
		Since: max(u.Since, b.Since),
		Until: earlier(u.Until, b.Until),
	}
}

// earlier returns the lower of two ends, where zero is no end.
func earlier(a, b rattanwood.Version) rattanwood.Version {
	if a == 0 || (b != 0 && b < a) {
		return b
	}
	return a
}

// add puts a candidate into the route unless all its versions lie before oldest.
func (r *Route) add(c Candidate, oldest rattanwood.Version) {
	c.Since = max(c.Since, oldest)
	if c.Until != 0 && c.Until <= c.Since {
		return
	}
	if len(r.Candidates) == 0 || c.Since < r.OldestVersion {
		r.OldestVersion = c.Since
	}
	r.Candidates = append(r.Candidates, c)
}

// keepDropped ends the dropped upstreams of earlier documents at this version and keeps them.
func (c *Catalog) keepDropped(previous *Catalog) {
	for id, t := range previous.targets {
		if _, known := c.targets[id]; known {
			continue
		}
		if t.Until == 0 {
			t.Until = c.Version
		}
		c.targets[id] = t
	}
	for address, old := range previous.routes {
		r := c.route(address)
		for _, cand := range old.Candidates {
			if r.has(cand.ID) {
				continue
			}
			cand.Until = earlier(cand.Until, c.Version)
			r.add(cand, c.Document.Oldest)
		}
	}
}

func (r *Route) has(id rattanwood.UpstreamID) bool {
	return slices.ContainsFunc(r.Candidates, func(c Candidate) bool { return c.ID == id })
}

// Route returns the route of an address, or nil.
func (c *Catalog) Route(address netip.AddrPort) *Route {
	return c.routes[address]
}

// Target returns where the packets for an upstream go.
func (c *Catalog) Target(id rattanwood.UpstreamID) (Target, bool) {
	t, ok := c.targets[id]
	return t, ok
}

// Targets returns all upstreams that the catalog knows.
func (c *Catalog) Targets() map[rattanwood.UpstreamID]Target {
	return c.targets
}

// Service returns the service with the given name, or nil.
func (c *Catalog) Service(name rattanwood.ServiceID) *rattanwood.Service {
	for i := range c.Document.Services {
		if c.Document.Services[i].Name == name {
			return &c.Document.Services[i]
		}
	}
	return nil
}

// HashedUpstream returns the upstream that flows beginning in version v take by default.
func (r *Route) HashedUpstream(flow rattanwood.FlowID, v rattanwood.Version) (rattanwood.UpstreamID, bool) {
	return r.HashedUpstreamExcept(flow, v, nil)
}

// HashedUpstreamExcept returns the first-ranked upstream of version v for which skip is false; a nil skip skips none.
func (r *Route) HashedUpstreamExcept(flow rattanwood.FlowID, v rattanwood.Version, skip func(rattanwood.UpstreamID) bool) (rattanwood.UpstreamID, bool) {
	var best uint64
	var id rattanwood.UpstreamID
	found := false
	for i := range r.Candidates {
		c := &r.Candidates[i]
		if !rattanwood.Within(c.Since, c.Until, v) {
			continue
		}
		s := ranker.Score(uint64(flow), c.Seed)
		if found && s <= best {
			continue
		}
		if skip != nil && skip(c.ID) {
			continue
		}
		best, id, found = s, c.ID, true
	}
	return id, found
}

// AgreedUpstream returns the upstream that every version from the oldest to the newest
// derives for a flow; ok is false if two versions differ.
func (r *Route) AgreedUpstream(flow rattanwood.FlowID) (id rattanwood.UpstreamID, ok bool) {
	var best uint64
	top := -1
	for i := range r.Candidates {
		s := ranker.Score(uint64(flow), r.Candidates[i].Seed)
		if top < 0 || s > best {
			best, top = s, i
		}
	}
	if top < 0 {
		return 0, false
	}
	c := &r.Candidates[top]
	return c.ID, c.Since == r.OldestVersion && c.Until == 0
}
