package surveyor

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/internal/node"
)

// Kinds of an operators' request.
const (
	kindDocument   = "document"
	kindEvacuation = "evacuation"
	// kindReturn is an evacuation that was taken back, but not yet everywhere.
	kindReturn = "return"
)

// Request is one request of the operators and where it is in force.
type Request struct {
	Kind string
	// Name is a document version or a data centre.
	Name string
	// Known is the time since the first balancer that says so learned of the request; zero means unknown.
	Known time.Duration
	// InForce is the number of balancers on which the request is in force.
	InForce int
	// Lagging are the balancers that answered and on which it isn't.
	Lagging []rattanwood.VMID
	// Upstreams and Flows are, for an evacuation, the number of upstreams in the data centre and of flows that
	// are still open there. A flow counts at each balancer that its packets passed lately.
	Upstreams, Flows int
}

// InvalidRow is a record that can't be decoded, with the number of balancers that say so.
type InvalidRow struct {
	node.InvalidState
	Balancers int
}

// Report says which of the operators' requests are in force where.
type Report struct {
	// Balancers is the number of balancers that serve, as far as is known, and Answered that of those that answered.
	Balancers, Answered int
	// Silent are the balancers that didn't answer, and Gone those of which that is expected.
	Silent, Gone []Answer
	// OldestAge is the age of the oldest records on any balancer that answered. Unconfirmed are the balancers
	// whose records never were known to be current.
	OldestAge   time.Duration
	Unconfirmed []rattanwood.VMID
	Requests    []Request
	Invalid     []InvalidRow
}

// Summarize sums up answers. What holds is what the balancer with the newest records says. A balancer counts
// as serving unless it was said to be gone and doesn't answer.
func Summarize(answers []Answer) *Report {
	r := &Report{}
	var states []*node.State
	answered := map[string]bool{}
	for _, a := range answers {
		switch {
		case a.State != nil && answered[a.State.VM]:
			// A member may be listed under an earlier name as well.
		case a.State != nil:
			answered[a.State.VM] = true
			states = append(states, a.State)
			r.Balancers++
			r.Answered++
		case a.Gone:
			r.Gone = append(r.Gone, a)
		default:
			r.Silent = append(r.Silent, a)
			r.Balancers++
		}
	}
	if len(states) == 0 {
		return r
	}
	newest := slices.MaxFunc(states, func(a, b *node.State) int { return cmp.Compare(position(a), position(b)) })
	for _, s := range states {
		if s.AgeMillis < 0 {
			r.Unconfirmed = append(r.Unconfirmed, rattanwood.VMID(s.VM))
		}
		r.OldestAge = max(r.OldestAge, millis(s.AgeMillis))
	}
	r.Requests = append(r.Requests, documentRequest(states))
	r.Requests = append(r.Requests, evacuationRequests(states, newest)...)
	r.Invalid = invalidRows(states)
	return r
}

// position returns that of a balancer's records.
func position(s *node.State) rattanwood.Position { return rattanwood.NewPosition(s.Era, s.Revision) }

// documentRequest returns the request for the newest version that any balancer has in force.
func documentRequest(states []*node.State) Request {
	var version rattanwood.Version
	for _, s := range states {
		version = max(version, s.Version)
	}
	q := Request{Kind: kindDocument, Name: fmt.Sprint(version)}
	for _, s := range states {
		if s.Version != version {
			q.Lagging = append(q.Lagging, rattanwood.VMID(s.VM))
			continue
		}
		q.InForce++
		q.Known = max(q.Known, millis(s.AppliedMillis))
	}
	return q
}

// evacuationRequests returns a request for each evacuation that any balancer knows. One that the balancer with
// the newest records lacks was taken back.
func evacuationRequests(states []*node.State, newest *node.State) []Request {
	byCentre := map[rattanwood.DataCentre]*Request{}
	for _, s := range states {
		for _, e := range s.Evacuations {
			q := byCentre[e.DataCentre]
			if q == nil {
				q = &Request{Kind: kindReturn, Name: string(e.DataCentre)}
				byCentre[e.DataCentre] = q
			}
			if s == newest {
				q.Kind = kindEvacuation
			}
			q.Known = max(q.Known, millis(e.SinceMillis))
			q.Upstreams = max(q.Upstreams, e.Upstreams)
			q.Flows += e.Flows
		}
	}
	requests := []Request{}
	for centre, q := range byCentre {
		for _, s := range states {
			evacuated := slices.ContainsFunc(s.Evacuations, func(e node.EvacuationState) bool { return e.DataCentre == centre })
			if evacuated == (q.Kind == kindEvacuation) {
				q.InForce++
			} else {
				q.Lagging = append(q.Lagging, rattanwood.VMID(s.VM))
			}
		}
		if q.Kind == kindReturn {
			// What the balancers that lag say of it is about the evacuation.
			q.Known, q.Upstreams, q.Flows = 0, 0, 0
		}
		requests = append(requests, *q)
	}
	slices.SortFunc(requests, func(a, b Request) int { return cmp.Compare(a.Name, b.Name) })
	return requests
}

// invalidRows returns the records that any balancer couldn't decode.
func invalidRows(states []*node.State) []InvalidRow {
	counts := map[node.InvalidState]int{}
	for _, s := range states {
		for _, in := range s.Invalid {
			counts[in]++
		}
	}
	rows := []InvalidRow{}
	for in, n := range counts {
		rows = append(rows, InvalidRow{InvalidState: in, Balancers: n})
	}
	slices.SortFunc(rows, func(a, b InvalidRow) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Key, b.Key), cmp.Compare(a.Position, b.Position))
	})
	return rows
}

// InForce reports whether every request is in force on every balancer that serves. A request that can't be
// decoded is in force nowhere; upstreams' own records and keys of others are no requests.
func (r *Report) InForce() bool {
	for _, q := range r.Requests {
		if q.InForce < r.Balancers {
			return false
		}
	}
	return !slices.ContainsFunc(r.Invalid, func(in InvalidRow) bool {
		return in.Kind == rattanwood.RoutingRecord || in.Kind == rattanwood.EvacuationRecord
	}) && r.Answered > 0
}

// maxNames bounds the balancers that are named in a line.
const maxNames = 8

// Write writes the report as text.
func (r *Report) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	age := r.OldestAge.String()
	if len(r.Unconfirmed) > 0 {
		age += fmt.Sprintf(", %d never confirmed (%s)", len(r.Unconfirmed), names(r.Unconfirmed))
	}
	_, _ = fmt.Fprintf(w, "balancers\t%d of %d answered, oldest records %s\n", r.Answered, r.Balancers, age)
	for _, q := range r.Requests {
		_, _ = fmt.Fprintf(w, "%s %s\tin force on %d of %d", q.Kind, q.Name, q.InForce, r.Balancers)
		if q.Known > 0 {
			_, _ = fmt.Fprintf(w, "\tknown for %s", q.Known)
		}
		if q.Kind == kindEvacuation {
			_, _ = fmt.Fprintf(w, "\t%d upstreams, %d flows open", q.Upstreams, q.Flows)
		}
		if len(q.Lagging) > 0 {
			_, _ = fmt.Fprintf(w, "\tnot on %s", names(q.Lagging))
		}
		_, _ = fmt.Fprintln(w)
	}
	for _, in := range r.Invalid {
		_, _ = fmt.Fprintf(w, "unreadable %s\t%s\tat %s: %s, on %d balancers\n", in.Kind, in.Key, in.Position, in.Reason, in.Balancers)
	}
	for _, a := range r.Silent {
		_, _ = fmt.Fprintf(w, "no answer\t%s\t%s\n", a.VM, a.Reason)
	}
	for _, a := range r.Gone {
		_, _ = fmt.Fprintf(w, "gone\t%s\t%s\n", a.VM, a.Reason)
	}
	return w.Flush()
}

// names lists balancers, the first few by name.
func names(vms []rattanwood.VMID) string {
	var b strings.Builder
	for i, vm := range vms {
		if i == maxNames {
			_, _ = fmt.Fprintf(&b, " and %d more", len(vms)-maxNames)
			break
		}
		if i > 0 {
			b.WriteString(" ")
		}
		b.WriteString(string(vm))
	}
	return b.String()
}

func millis(n int64) time.Duration { return time.Duration(max(n, 0)) * time.Millisecond }
