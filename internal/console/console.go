// Package console serves the operators' forms as web pages.
//
// It holds no state and writes nothing: every page is built from the document that the platform
// returns, and a submitted form yields a new document, which operators publish themselves.
package console

import (
	"bytes"
	"context"
	_ "embed"
	"errors"
	"html/template"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/pmezard/go-difflib/difflib"
	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	"example.org/rattanwood"
	"example.org/rattanwood/checker"
	"example.org/rattanwood/editor"
	genconsole "example.org/rattanwood/gen/console"
	consoleserver "example.org/rattanwood/gen/http/console/server"
	"example.org/rattanwood/internal/surveyor"
)

const (
	contentType = "text/html; charset=utf-8"
	// maxFormBytes is the largest request body of a submitted form.
	maxFormBytes = 64 << 10
	// platformTimeout limits the read of the document in force.
	platformTimeout = 5 * time.Second
	// diffContext is the number of unchanged lines shown around a change.
	diffContext = 3
)

//go:embed page.html
var pageText string

// pageTemplate is parsed when first used, since the balancer links this package as well.
var pageTemplate = sync.OnceValue(func() *template.Template { return template.Must(template.New("page").Parse(pageText)) })

// Config holds the parameters of a Console.
type Config struct {
	Platform rattanwood.Platform
	// Balancer is the HTTP address of a balancer whose fleet the page Status shows; not valid means none.
	Balancer netip.AddrPort
}

// Console implements the goa service for the operators' forms.
type Console struct {
	cfg Config
}

// New returns a console that reads documents from the platform in cfg.
func New(cfg Config) *Console { return &Console{cfg: cfg} }

// Handler returns the HTTP handler of the console.
func (c *Console) Handler() http.Handler {
	mux := goahttp.NewMuxer()
	h := consoleserver.New(genconsole.NewEndpoints(c), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, nil)
	consoleserver.Mount(mux, h)
	return mux
}

// page is the data of the page template. Current is the document in force, and Next the one that a submitted
// form yields; Document is the one of them that is shown, as JSON.
type page struct {
	Forms []editor.Form
	// HasStatus is set if the page Status can be shown, and Status is its text.
	HasStatus bool
	Status    string
	Form      *editor.Form
	Inputs    []input
	Problem   string
	Current   *rattanwood.Document
	Next      *rattanwood.Document
	Document  string
	Diff      []line
}

// input is a form field with the submitted value and, if that is invalid, the problem with it.
type input struct {
	editor.Field
	Value   string
	Problem string
}

// line is a line of a unified diff. Kind is its CSS class: add, remove, place (a hunk header) or same.
type line struct {
	Kind string
	Text string
}

// Page shows the list of forms and the document in force.
func (c *Console) Page(ctx context.Context) (*genconsole.PageResult, io.ReadCloser, error) {
	p := &page{}
	c.loadCurrent(ctx, p)
	if p.Current != nil {
		p.Document = encodeDocument(p.Current)
	}
	return &genconsole.PageResult{Type: contentType}, render(p), nil
}

// surveyTimeout limits the time to ask a whole fleet.
const surveyTimeout = 40 * time.Second

// Status shows which of the operators' requests are in force on the balancers.
func (c *Console) Status(ctx context.Context) (*genconsole.StatusResult, io.ReadCloser, error) {
	if !c.cfg.Balancer.IsValid() {
		return nil, nil, genconsole.MakeMissing(errors.New("no balancer is configured"))
	}
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	p := &page{Forms: editor.Forms(), HasStatus: true}
	report, err := surveyor.Survey(ctx, c.cfg.Balancer)
	if err != nil {
		p.Problem = "The balancer can't be asked: " + err.Error()
		return &genconsole.StatusResult{Type: contentType}, render(p), nil
	}
	if !report.InForce() {
		p.Problem = "Not every request is in force on every balancer."
	}
	var text strings.Builder
	if err := report.Write(&text); err != nil {
		return nil, nil, err
	}
	p.Status = text.String()
	return &genconsole.StatusResult{Type: contentType}, render(p), nil
}

// Form shows a form with its default values.
func (c *Console) Form(ctx context.Context, in *genconsole.FormPayload) (*genconsole.FormResult, io.ReadCloser, error) {
	f, err := editor.FindForm(in.Name)
	if err != nil {
		return nil, nil, genconsole.MakeMissing(err)
	}
	p := &page{Form: &f}
	for _, field := range f.Fields {
		p.Inputs = append(p.Inputs, input{Field: field, Value: field.Default})
	}
	c.loadCurrent(ctx, p)
	return &genconsole.FormResult{Type: contentType}, render(p), nil
}

// Submit shows the document that a submitted form yields, or the form again with its errors.
func (c *Console) Submit(ctx context.Context, in *genconsole.SubmitPayload, body io.ReadCloser) (*genconsole.SubmitResult, io.ReadCloser, error) {
	f, err := editor.FindForm(in.Name)
	if err != nil {
		return nil, nil, genconsole.MakeMissing(err)
	}
	values, err := decodeForm(body, f)
	if err != nil {
		return nil, nil, err
	}
	p := &page{Form: &f}
	c.loadCurrent(ctx, p)
	if p.Current != nil {
		p.Next, err = f.Apply(p.Current, values)
	}
	p.showResult(values, err)
	return &genconsole.SubmitResult{Type: contentType}, render(p), nil
}

// decodeForm returns the values of a submitted form, without surrounding spaces.
func decodeForm(body io.ReadCloser, f editor.Form) (editor.Values, error) {
	defer func() { _ = body.Close() }()
	data, err := io.ReadAll(io.LimitReader(body, maxFormBytes+1))
	if err != nil {
		return nil, goa.DecodePayloadError(err.Error())
	}
	if len(data) > maxFormBytes {
		// A form that is cut off would be applied with part of its values.
		return nil, goa.DecodePayloadError("form is too large")
	}
	query, err := url.ParseQuery(string(data))
	if err != nil {
		return nil, goa.DecodePayloadError(err.Error())
	}
	values := editor.Values{}
	for _, field := range f.Fields {
		values[field.Name] = strings.TrimSpace(query.Get(field.Name))
	}
	return values, nil
}

// loadCurrent reads the document in force into p. If none has been published yet, it starts from an empty
// document of version 0, so that the first one gets version 1.
func (c *Console) loadCurrent(ctx context.Context, p *page) {
	p.Forms, p.HasStatus = editor.Forms(), c.cfg.Balancer.IsValid()
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	data, err := c.cfg.Platform.Document(ctx)
	if err != nil {
		p.Problem = "The document in force can't be read from the platform: " + err.Error()
		return
	}
	if len(data) == 0 {
		p.Current = &rattanwood.Document{Services: []rattanwood.Service{}}
		return
	}
	if p.Current, err = checker.Parse("document in force", data); err != nil {
		p.Problem = err.Error()
	}
}

// showResult fills the page with the inputs of a submitted form and its result: the next document with a
// diff, or the error.
func (p *page) showResult(values editor.Values, err error) {
	var field *rattanwood.FieldError
	isField := errors.As(err, &field)
	matched := false
	for _, f := range p.Form.Fields {
		in := input{Field: f, Value: values[f.Name]}
		if isField && pathMatchesInput(field.Field, f.Name) {
			in.Problem = "Not allowed: want " + field.Allowed + "."
			matched = true
		}
		p.Inputs = append(p.Inputs, in)
	}
	if err != nil {
		p.Next = nil
		if !matched {
			p.Problem = err.Error()
		}
		return
	}
	if p.Next != nil {
		p.Document = encodeDocument(p.Next)
		p.Diff = diffLines(encodeDocument(p.Current), p.Document)
	}
}

// pathMatchesInput reports whether the path of a document field in an error belongs to a form input.
// The service and upstream inputs belong to the name fields of services and upstreams.
func pathMatchesInput(path, input string) bool {
	switch {
	case path == input, strings.HasSuffix(path, "."+input):
		return true
	case input == "upstream":
		return strings.Contains(path, ".upstreams[") && strings.HasSuffix(path, ".name")
	case input == "service":
		return strings.HasPrefix(path, "services[") && strings.HasSuffix(path, "].name") && !strings.Contains(path, ".upstreams[")
	}
	return false
}

func encodeDocument(doc *rattanwood.Document) string {
	data, err := checker.Encode(doc)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// diffLines returns the lines of the unified diff of two documents, or nil if it can't be computed.
func diffLines(from, to string) []line {
	out, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(from), B: difflib.SplitLines(to), Context: diffContext,
	})
	if err != nil {
		return nil
	}
	var lines []line
	for row := range strings.Lines(out) {
		row = strings.TrimRight(row, "\n")
		if row == "" {
			continue
		}
		lines = append(lines, line{Kind: diffLineKind(row[0]), Text: row})
	}
	return lines
}

func diffLineKind(prefix byte) string {
	switch prefix {
	case '+':
		return "add"
	case '-':
		return "remove"
	case '@':
		return "place"
	}
	return "same"
}

func render(p *page) io.ReadCloser {
	var buf bytes.Buffer
	if err := pageTemplate().Execute(&buf, p); err != nil {
		buf.Reset()
		buf.WriteString("The page can't be shown.")
	}
	return io.NopCloser(&buf)
}
