package tagger

import (
	"cmp"
	"slices"
	"time"

	"example.org/rattanwood"
)

// UpstreamRow is an upstream in a dump.
type UpstreamRow struct {
	ID         string                `json:"id"`
	Service    rattanwood.ServiceID  `json:"service"`
	Address    string                `json:"address"`
	DataCentre rattanwood.DataCentre `json:"centre"`
	Present    bool                  `json:"present"`
	Draining   bool                  `json:"draining"`
	Avoid      bool                  `json:"avoid"`
	Dead       bool                  `json:"dead"`
	Requests   float64               `json:"requests"`
	Failures   float64               `json:"failures"`
}

// FlowRow is a recent flow in a dump.
type FlowRow struct {
	Caller   string `json:"caller"`
	Target   string `json:"target"`
	Upstream string `json:"upstream"`
	Opening  bool   `json:"opening"`
}

// Registered returns the ids of the upstreams that are registered, in order.
func (t *Tagger) Registered() []rattanwood.UpstreamID {
	var out []rattanwood.UpstreamID
	for id, u := range t.upstreams {
		if u.present {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Upstreams returns all upstreams that are known.
func (t *Tagger) Upstreams(now time.Duration) []UpstreamRow {
	rows := []UpstreamRow{}
	for id, u := range t.upstreams {
		load := t.cfg.Placer.Load(now, id)
		rows = append(rows, UpstreamRow{
			ID: id.String(), Service: u.Service, Address: u.Address.String(), DataCentre: u.DataCentre, Present: u.present, Draining: u.Draining,
			Avoid: t.cfg.Prober.ShouldAvoid(now, id), Dead: t.cfg.Prober.IsDead(id), Requests: load.Requests, Failures: load.Failures,
		})
	}
	slices.SortFunc(rows, func(a, b UpstreamRow) int { return cmp.Compare(a.ID, b.ID) })
	return rows
}

// Flows returns up to most recent flows.
func (t *Tagger) Flows(most int) []FlowRow {
	rows := []FlowRow{}
	for key, r := range t.recent {
		if len(rows) == most {
			break
		}
		rows = append(rows, FlowRow{Caller: key.caller.String(), Target: key.target.String(), Upstream: r.upstream.String(), Opening: r.opening})
	}
	slices.SortFunc(rows, func(a, b FlowRow) int { return cmp.Compare(a.Caller, b.Caller) })
	return rows
}
