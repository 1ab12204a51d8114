package router

// DumpedFlow describes one entry of the flow table for operators.
type DumpedFlow struct {
	Flow     string `json:"flow"`
	Upstream string `json:"upstream"`
	Role     string `json:"role"`
	Closed   bool   `json:"closed,omitempty"`
}

// Dump returns at most limit entries of the flow table.
func (r *Router) Dump(limit int) []DumpedFlow {
	out := []DumpedFlow{}
	for i := range min(limit, len(r.flows.entries)) {
		f := &r.flows.entries[i]
		out = append(out, DumpedFlow{
			Flow:     f.flow.String(),
			Upstream: f.upstream.String(),
			Role:     [...]string{"cached", "owned", "replica"}[f.role],
			Closed:   f.closed,
		})
	}
	return out
}
