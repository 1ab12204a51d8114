// Package compiler turns a document into lookup tables for the decision on each packet: from an
// address to the upstreams that its flows may be on, and from an upstream id to its addresses.
package compiler

import (
	"net/netip"
	"slices"

	"example.org/rattanwood"
	"example.org/rattanwood/ranker"
)

// Candidate is an upstream on which an address's flows may have begun, with the versions in which
// they could: from Since up to but without Until, or without end if that is zero.
type Candidate struct {
	ID           rattanwood.UpstreamID
	Seed         uint64
	Since, Until rattanwood.Version
}

// Route holds the service and the candidate upstreams of an address in all versions that the
// document covers.
type Route struct {
	// Service is the service bound to the address in the newest version; empty if there is none.
	Service    rattanwood.ServiceID
	Balance    rattanwood.Balance
	Candidates []Candidate
	// OldestVersion is the lowest version that has a candidate.
	OldestVersion rattanwood.Version
}

// Target is an upstream with the service that it belongs to.
type Target struct {
	rattanwood.Upstream
	Service rattanwood.ServiceID
}

// Catalog is a compiled document. It doesn't change after Compile, so that it can be shared.
type Catalog struct {
	Version  rattanwood.Version
	Document *rattanwood.Document
	routes   map[netip.AddrPort]*Route
	targets  map[rattanwood.UpstreamID]Target
}

// Compile returns the catalog of doc. Upstreams of the previous catalog that are missing in doc
// stay known as targets, so that their flows can finish. The previous catalog may be nil.
func Compile(doc *rattanwood.Document, previous *Catalog) *Catalog {
	c := &Catalog{
		Version:  doc.Version,
		Document: doc,
		routes:   map[netip.AddrPort]*Route{},
		targets:  map[rattanwood.UpstreamID]Target{},
	}
	for i := range doc.Services {
		c.addService(&doc.Services[i])
	}
	if previous != nil {
		c.keepDropped(previous)
	}
	return c
}

func (c *Catalog) addService(s *rattanwood.Service) {
	for _, u := range s.Upstreams {
		c.targets[u.ID()] = Target{Upstream: u, Service: s.Name}
	}
	for _, b := range s.Addresses {
		r := c.findOrAddRoute(b.Address)
		if rattanwood.Within(b.Since, b.Until, c.Version) {
			r.Service = s.Name
			r.Balance = s.Balance
		}
		for _, u := range s.Upstreams {
			r.addCandidate(newCandidate(u, b), c.Document.Oldest)
		}
	}
}

// findOrAddRoute returns the route of an address, and adds an empty one if there is none.
func (c *Catalog) findOrAddRoute(address netip.AddrPort) *Route {
	r, ok := c.routes[address]
	if !ok {
		r = &Route{}
		c.routes[address] = r
	}
	return r
}

// newCandidate returns an upstream with the versions in which both it and the binding of the
// address hold.
func newCandidate(u rattanwood.Upstream, b rattanwood.Binding) Candidate {
	return Candidate{
		ID:    u.ID(),
		Seed:  ranker.Seed(u.Name),
		Since: max(u.Since, b.Since),
		Until: earlierEnd(u.Until, b.Until),
	}
}

// earlierEnd returns the lower of two ends of version ranges, where zero means no end.
func earlierEnd(a, b rattanwood.Version) rattanwood.Version {
	if a == 0 || (b != 0 && b < a) {
		return b
	}
	return a
}

// addCandidate adds a candidate to the route, unless all its versions are below oldest.
func (r *Route) addCandidate(c Candidate, oldest rattanwood.Version) {
	c.Since = max(c.Since, oldest)
	if c.Until != 0 && c.Until <= c.Since {
		return
	}
	if len(r.Candidates) == 0 || c.Since < r.OldestVersion {
		r.OldestVersion = c.Since
	}
	r.Candidates = append(r.Candidates, c)
}

// keepDropped adds the upstreams of the previous catalog that this document has dropped, with this
// version as their end.
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
		r := c.findOrAddRoute(address)
		for _, cand := range old.Candidates {
			if r.hasCandidate(cand.ID) {
				continue
			}
			cand.Until = earlierEnd(cand.Until, c.Version)
			r.addCandidate(cand, c.Document.Oldest)
		}
	}
}

func (r *Route) hasCandidate(id rattanwood.UpstreamID) bool {
	return slices.ContainsFunc(r.Candidates, func(c Candidate) bool { return c.ID == id })
}

// Route returns the route of an address, or nil if no service was ever bound to it.
func (c *Catalog) Route(address netip.AddrPort) *Route {
	return c.routes[address]
}

// Target returns the upstream with an id, and its service; it reports false if the id isn't known.
func (c *Catalog) Target(id rattanwood.UpstreamID) (Target, bool) {
	t, ok := c.targets[id]
	return t, ok
}

// Targets returns all known upstreams, dropped ones included. The caller must not change the map.
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

// HashedUpstream returns the upstream chosen by rendezvous hashing for a flow that begins in
// version v.
func (r *Route) HashedUpstream(flow rattanwood.FlowID, v rattanwood.Version) (rattanwood.UpstreamID, bool) {
	return r.HashedUpstreamExcept(flow, v, nil)
}

// HashedUpstreamExcept returns the first-ranked upstream of version v for which skip is false. A
// nil skip skips none.
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

// AgreedUpstream returns the upstream that rendezvous hashing chooses for a flow in every version
// from the oldest to the newest; ok is false if two versions differ. The candidate that ranks first
// among those of all versions wins in each version that has it, so the versions agree if and only if
// all have it.
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
