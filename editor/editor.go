// Package editor applies the operators' forms to a document and returns the next one.
//
// Every form makes one kind of change. The result is validated by itself and against the document
// in force, which is left unmodified. Publishing the result is left to the calling code.
package editor

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strconv"

	"example.org/rattanwood"
	"example.org/rattanwood/checker"
)

// Field describes one input of a form.
type Field struct {
	Name  string
	Label string
	Help  string
	// Default is the value with which the form is first shown.
	Default string
}

// Form is one kind of change to a document, with the inputs that it needs.
type Form struct {
	Name   string
	Title  string
	Fields []Field
	apply  func(doc *rattanwood.Document, v inputParser) error
}

// Values holds the submitted inputs by field name.
type Values map[string]string

// UnknownFormError reports a form name that doesn't exist.
type UnknownFormError struct{ Name string }

// Error returns a message with the name.
func (e *UnknownFormError) Error() string { return "unknown form " + strconv.Quote(e.Name) }

var (
	fieldService  = Field{Name: "service", Label: "Service", Help: "Name of the service"}
	fieldAddress  = Field{Name: "address", Label: "Address", Help: "IP address and port that Callers use"}
	fieldUpstream = Field{Name: "upstream", Label: "Upstream", Help: "Name of the upstream"}
)

// defaultLimits and defaultBalance are the settings of a newly created service.
var (
	defaultLimits  = rattanwood.Limits{MaxQueueLength: 32, MaxWaitMillis: 500, TimeoutMillis: 5000, RetryBudget: 0.2}
	defaultBalance = rattanwood.Balance{LoadPlacedShare: 0.25, ExcessLoad: 0.1}
)

// Forms returns all forms in display order.
func Forms() []Form {
	return []Form{
		{Name: "service", Title: "Create a service", Fields: []Field{fieldService, fieldAddress}, apply: createService},
		{Name: "bind", Title: "Bind an address", Fields: []Field{fieldService, fieldAddress}, apply: bindAddress},
		{Name: "release", Title: "Release an address", Fields: []Field{fieldService, fieldAddress}, apply: releaseAddress},
		{Name: "upstream", Title: "Add an upstream", Fields: []Field{
			fieldService, fieldUpstream,
			{Name: "tunnel", Label: "Tunnel", Help: "IP address and port for packets in Geneve"},
			{Name: "web", Label: "Web", Help: "IP address and port for requests and health"},
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
			{Name: "free", Label: "Free", Help: "Share of new flows placed by load, 0 to 1: a larger share evens out the load, a smaller one breaks fewer flows when a balancer is lost", Default: "0.25"},
			{Name: "excess", Label: "Excess", Help: "Load above the mean at which a flow placed by load goes to its next choice, 0 to 1", Default: "0.1"},
		}, apply: setBalance},
		{Name: "forget", Title: "Forget old versions", Fields: []Field{
			{Name: "oldest", Label: "Oldest", Help: "First version under which flows that still run may have begun"},
		}, apply: forgetVersions},
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

// Apply returns the document that results from submitting the form with inputs v. Its version is the one
// after current's.
func (f Form) Apply(current *rattanwood.Document, v Values) (*rattanwood.Document, error) {
	next, err := clone(current)
	if err != nil {
		return nil, err
	}
	next.Version++
	if err := f.apply(next, inputParser{form: f.Name, inputs: v}); err != nil {
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

// clone returns a deep copy of a document.
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

// inputParser parses the inputs of a submitted form. Its errors name the form and the field.
type inputParser struct {
	form   string
	inputs Values
}

func (v inputParser) fieldError(field, allowed string) error {
	return &rattanwood.FieldError{File: v.form, Field: field, Value: strconv.Quote(v.inputs[field]), Allowed: allowed}
}

func (v inputParser) address(field string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(v.inputs[field])
	if err != nil || a.Port() == 0 {
		return netip.AddrPort{}, v.fieldError(field, "an IP address and a port")
	}
	return a, nil
}

func (v inputParser) integer(field string, low, high int) (int, error) {
	n, err := strconv.Atoi(v.inputs[field])
	if err != nil || n < low || n > high {
		return 0, v.fieldError(field, fmt.Sprintf("%d to %d", low, high))
	}
	return n, nil
}

func (v inputParser) fraction(field string) (float64, error) {
	x, err := strconv.ParseFloat(v.inputs[field], 64)
	if err != nil || !(x >= 0 && x <= 1) {
		return 0, v.fieldError(field, "0 to 1")
	}
	return x, nil
}

// service returns the service named in the form.
func (v inputParser) service(doc *rattanwood.Document) (*rattanwood.Service, error) {
	for i := range doc.Services {
		if string(doc.Services[i].Name) == v.inputs["service"] {
			return &doc.Services[i], nil
		}
	}
	return nil, v.fieldError("service", "the name of an existing service")
}

// serviceAndAddress returns the service and the address named in the form.
func (v inputParser) serviceAndAddress(doc *rattanwood.Document) (*rattanwood.Service, netip.AddrPort, error) {
	s, err := v.service(doc)
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	address, err := v.address("address")
	return s, address, err
}

// serviceAndUpstream returns the service and the upstream named in the form, and the upstream's index.
func (v inputParser) serviceAndUpstream(doc *rattanwood.Document) (*rattanwood.Service, *rattanwood.Upstream, int, error) {
	s, err := v.service(doc)
	if err != nil {
		return nil, nil, 0, err
	}
	for i := range s.Upstreams {
		if s.Upstreams[i].Name == v.inputs["upstream"] {
			return s, &s.Upstreams[i], i, nil
		}
	}
	return nil, nil, 0, v.fieldError("upstream", "the name of an upstream of the service")
}
