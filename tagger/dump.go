package tagger

import (
	"cmp"
	"slices"
	"time"

	"example.org/rattanwood"
)

// UpstreamRow describes a known upstream in the state dump.
type UpstreamRow struct {
	ID         string                `json:"id"`
	Service    rattanwood.ServiceID  `json:"service"`
	Address    string                `json:"address"`
	DataCentre rattanwood.DataCentre `json:"centre"`
	Registered bool                  `json:"present"`
	Draining   bool                  `json:"draining"`
	Avoid      bool                  `json:"avoid"`
	Dead       bool                  `json:"dead"`
	Requests   float64               `json:"requests"`
	Failures   float64               `json:"failures"`
}

// FlowRow describes a recent flow in the state dump.
type FlowRow struct {
	Caller   string `json:"caller"`
	Target   string `json:"target"`
	Upstream string `json:"upstream"`
	Opening  bool   `json:"opening"`
}

// Upstreams returns a row for each known upstream, registered or not, sorted by ID.
func (t *Tagger) Upstreams(now time.Duration) []UpstreamRow {
	rows := []UpstreamRow{}
	for id, u := range t.upstreams {
		load := t.cfg.Placer.Load(now, id)
		rows = append(rows, UpstreamRow{
			ID: id.String(), Service: u.Service, Address: u.Address.String(), DataCentre: u.DataCentre, Registered: u.registered, Draining: u.Draining,
			Avoid: t.cfg.Prober.ShouldAvoid(now, id), Dead: t.cfg.Prober.IsDead(id), Requests: load.Requests, Failures: load.Failures,
		})
	}
	slices.SortFunc(rows, func(a, b UpstreamRow) int { return cmp.Compare(a.ID, b.ID) })
	return rows
}

// Usage returns the number of known upstreams in a data centre, and of the recent flows on them.
func (t *Tagger) Usage(centre rattanwood.DataCentre) (upstreams, flows int) {
	for _, u := range t.upstreams {
		if u.DataCentre == centre {
			upstreams++
		}
	}
	for _, r := range t.recentFlows {
		if u := t.upstreams[r.upstream]; u != nil && u.DataCentre == centre {
			flows++
		}
	}
	return upstreams, flows
}

// Flows returns rows for up to limit recent flows, sorted by Caller.
func (t *Tagger) Flows(limit int) []FlowRow {
	rows := []FlowRow{}
	for key, flow := range t.recentFlows {
		if len(rows) == limit {
			break
		}
		rows = append(rows, FlowRow{Caller: key.caller.String(), Target: key.target.String(), Upstream: flow.upstream.String(), Opening: flow.opening})
	}
	slices.SortFunc(rows, func(a, b FlowRow) int { return cmp.Compare(a.Caller, b.Caller) })
	return rows
}
