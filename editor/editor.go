// Package editor turns a filled-in form into the next document.
//
// Every form changes one thing. The result is always checked against the
// document in force, and the document in force is never changed.
package editor

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strconv"

	"example.org/rattanwood"
	"example.org/rattanwood/checker"
)

// Field is one input of a form.
type Field struct {
	Name  string
	Label string
	Help  string
	// Default is shown in an empty form.
	Default string
}

// Form is a kind of change.
type Form struct {
	Name   string
	Title  string
	Fields []Field
	apply  func(doc *rattanwood.Document, v values) error
}

// Values are the inputs by field name.
type Values map[string]string

// UnknownFormError reports a form that doesn't exist.
type UnknownFormError struct{ Name string }

// Error names the form.
func (e *UnknownFormError) Error() string { return "there is no form " + strconv.Quote(e.Name) }

var (
	fieldService  = Field{Name: "service", Label: "Service", Help: "Name of the service"}
	fieldAddress  = Field{Name: "address", Label: "Address", Help: "IP number and port that Callers use"}
	fieldUpstream = Field{Name: "upstream", Label: "Upstream", Help: "Name of the upstream"}
)

// defaultLimits and defaultBalance are those of a new service.
var (
	defaultLimits  = rattanwood.Limits{MaxQueueLength: 32, MaxWaitMillis: 500, DeadlineMillis: 5000, RetryBudget: 0.2}
	defaultBalance = rattanwood.Balance{LoadPlacedShare: 0.25, ExcessLoad: 0.1}
)

// Forms returns all forms in the order in which they are shown.
func Forms() []Form {
	return []Form{
		{Name: "service", Title: "Create a service", Fields: []Field{fieldService, fieldAddress}, apply: createService},
		{Name: "bind", Title: "Bind an address", Fields: []Field{fieldService, fieldAddress}, apply: bindAddress},
		{Name: "release", Title: "Release an address", Fields: []Field{fieldService, fieldAddress}, apply: releaseAddress},
		{Name: "upstream", Title: "Add an upstream", Fields: []Field{
			fieldService, fieldUpstream,
			{Name: "tunnel", Label: "Tunnel", Help: "IP number and port for packets in Geneve"},
			{Name: "web", Label: "Web", Help: "IP number and port for requests and health"},
			{Name: "slots", Label: "Slots", Help: "Requests that it serves at one time", Default: "2"},
		}, apply: addUpstream},
		{Name: "drain", Title: "Drain an upstream", Fields: []Field{fieldService, fieldUpstream}, apply: drainUpstream},
		{Name: "drop", Title: "Drop a drained upstream", Fields: []Field{fieldService, fieldUpstream}, apply: dropUpstream},
		{Name: "limits", Title: "Set limits", Fields: []Field{
			fieldService,
			{Name: "queue", Label: "Queue", Help: "Requests that wait in one balancer", Default: "32"},
			{Name: "wait", Label: "Wait", Help: "Longest wait in milliseconds", Default: "500"},
			{Name: "deadline", Label: "Deadline", Help: "Longest time of a request in milliseconds", Default: "5000"},
			{Name: "retry", Label: "Retry", Help: "Retries for each request, 0 to 1", Default: "0.2"},
		}, apply: setLimits},
		{Name: "balance", Title: "Set the balance dial", Fields: []Field{
			fieldService,
			{Name: "free", Label: "Free", Help: "Share of new flows placed by load, 0 to 1: more evens load, less breaks fewer flows at a loss", Default: "0.25"},
			{Name: "excess", Label: "Excess", Help: "Load over the mean at which a free flow moves on, 0 to 1", Default: "0.1"},
		}, apply: setBalance},
		{Name: "forget", Title: "Forget old versions", Fields: []Field{
			{Name: "oldest", Label: "Oldest", Help: "First version under which flows that still run began"},
		}, apply: forget},
	}
}

// FindForm returns the form with the given name.
func FindForm(name string) (Form, error) {
	for _, f := range Forms() {
		if f.Name == name {
			return f, nil
		}
	}
	return Form{}, &UnknownFormError{Name: name}
}

// Apply returns the document that follows current when the form is filled in with v.
func (f Form) Apply(current *rattanwood.Document, v Values) (*rattanwood.Document, error) {
	next, err := clone(current)
	if err != nil {
		return nil, err
	}
	next.Version++
	if err := f.apply(next, values{form: f.Name, values: v}); err != nil {
		return nil, err
	}
	if err := checker.Check(f.Name, next); err != nil {
		return nil, err
	}
	if current.Version == 0 {
		return next, nil
	}
	return next, checker.CheckTransition(current, next)
}

func clone(doc *rattanwood.Document) (*rattanwood.Document, error) {
	data, err := json.Marshal(doc)
	if err != nil {
		return nil, &rattanwood.SyntaxError{File: "document", Cause: err}
	}
	next := &rattanwood.Document{}
	if err := json.Unmarshal(data, next); err != nil {
		return nil, &rattanwood.SyntaxError{File: "document", Cause: err}
	}
	return next, nil
}

// values reads typed inputs and names the field in errors.
type values struct {
	form   string
	values Values
}

func (v values) fail(field, allowed string) error {
	return &rattanwood.FieldError{File: v.form, Field: field, Value: strconv.Quote(v.values[field]), Allowed: allowed}
}

func (v values) address(field string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(v.values[field])
	if err != nil || a.Port() == 0 {
		return netip.AddrPort{}, v.fail(field, "an IP number and a port")
	}
	return a, nil
}

func (v values) whole(field string, low, high int) (int, error) {
	n, err := strconv.Atoi(v.values[field])
	if err != nil || n < low || n > high {
		return 0, v.fail(field, fmt.Sprintf("%d to %d", low, high))
	}
	return n, nil
}

func (v values) share(field string) (float64, error) {
	x, err := strconv.ParseFloat(v.values[field], 64)
	if err != nil || !(x >= 0 && x <= 1) {
		return 0, v.fail(field, "0 to 1")
	}
	return x, nil
}

// service returns the service that the form names.
func (v values) service(doc *rattanwood.Document) (*rattanwood.Service, error) {
	for i := range doc.Services {
		if string(doc.Services[i].Name) == v.values["service"] {
			return &doc.Services[i], nil
		}
	}
	return nil, v.fail("service", "the name of a service")
}

// serviceAndAddress returns the service and the address that the form names.
func (v values) serviceAndAddress(doc *rattanwood.Document) (*rattanwood.Service, netip.AddrPort, error) {
	s, err := v.service(doc)
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	address, err := v.address("address")
	return s, address, err
}

// serviceAndUpstream returns the service and the upstream that the form names, and its index.
func (v values) serviceAndUpstream(doc *rattanwood.Document) (*rattanwood.Service, *rattanwood.Upstream, int, error) {
	s, err := v.service(doc)
	if err != nil {
		return nil, nil, 0, err
	}
	for i := range s.Upstreams {
		if s.Upstreams[i].Name == v.values["upstream"] {
			return s, &s.Upstreams[i], i, nil
		}
	}
	return nil, nil, 0, v.fail("upstream", "the name of an upstream of the service")
}
