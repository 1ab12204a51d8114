// Package console serves the operators' forms in a browser.
//
// It keeps nothing and writes nothing: every page starts from the document that
// the platform shows, and ends with a document that operators publish.
package console

import (
	"bytes"
	"context"
	_ "embed"
	"errors"
	"html/template"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pmezard/go-difflib/difflib"
	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	"example.org/rattanwood"
	"example.org/rattanwood/checker"
	"example.org/rattanwood/editor"
	genconsole "example.org/rattanwood/gen/console"
	consoleserver "example.org/rattanwood/gen/http/console/server"
)

const (
	contentType = "text/html; charset=utf-8"
	// formMost is the largest filled-in form in bytes.
	formMost = 64 << 10
	// platformDeadline bounds a read of the document in force.
	platformDeadline = 5 * time.Second
	// diffContext is the number of unchanged lines around a change.
	diffContext = 3
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

// Config builds a Console.
type Config struct {
	Platform rattanwood.Platform
}

// Console implements the console service.
type Console struct {
	cfg Config
}

// New returns a console.
func New(cfg Config) *Console { return &Console{cfg: cfg} }

// Handler returns the routes of the console.
func (c *Console) Handler() http.Handler {
	mux := goahttp.NewMuxer()
	h := consoleserver.New(genconsole.NewEndpoints(c), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, nil)
	consoleserver.Mount(mux, h)
	return mux
}

// page is what the template shows.
type page struct {
	Forms    []editor.Form
	Form     *editor.Form
	Inputs   []input
	Problem  string
	Current  *rattanwood.Document
	Next     *rattanwood.Document
	Document string
	Diff     []line
}

// input is a field with what was typed and what is wrong with it.
type input struct {
	editor.Field
	Value   string
	Problem string
}

// line is a line of the difference; its kind is add, remove, place or same.
type line struct {
	Kind string
	Text string
}

// Page shows the list of forms and the document in force.
func (c *Console) Page(ctx context.Context) (*genconsole.PageResult, io.ReadCloser, error) {
	p := &page{}
	c.load(ctx, p)
	if p.Current != nil {
		p.Document = text(p.Current)
	}
	return &genconsole.PageResult{Type: contentType}, render(p), nil
}

// Form shows an empty form.
func (c *Console) Form(ctx context.Context, in *genconsole.FormPayload) (*genconsole.FormResult, io.ReadCloser, error) {
	f, err := editor.FindForm(in.Name)
	if err != nil {
		return nil, nil, genconsole.MakeMissing(err)
	}
	p := &page{Form: &f}
	for _, field := range f.Fields {
		p.Inputs = append(p.Inputs, input{Field: field, Value: field.Default})
	}
	c.load(ctx, p)
	return &genconsole.FormResult{Type: contentType}, render(p), nil
}

// Submit shows the document that a form yields, or the form with what is wrong.
func (c *Console) Submit(ctx context.Context, in *genconsole.SubmitPayload, body io.ReadCloser) (*genconsole.SubmitResult, io.ReadCloser, error) {
	f, err := editor.FindForm(in.Name)
	if err != nil {
		return nil, nil, genconsole.MakeMissing(err)
	}
	values, err := decode(body, f)
	if err != nil {
		return nil, nil, err
	}
	p := &page{Form: &f}
	c.load(ctx, p)
	if p.Current != nil {
		p.Next, err = f.Apply(p.Current, values)
	}
	p.fill(values, err)
	return &genconsole.SubmitResult{Type: contentType}, render(p), nil
}

// decode reads a filled-in form.
func decode(body io.ReadCloser, f editor.Form) (editor.Values, error) {
	defer func() { _ = body.Close() }()
	data, err := io.ReadAll(io.LimitReader(body, formMost))
	if err != nil {
		return nil, goa.DecodePayloadError(err.Error())
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

// load reads the document in force; without one yet, the first will have version 1.
func (c *Console) load(ctx context.Context, p *page) {
	p.Forms = editor.Forms()
	ctx, cancel := context.WithTimeout(ctx, platformDeadline)
	defer cancel()
	data, err := c.cfg.Platform.Document(ctx)
	if err != nil {
		p.Problem = "The document in force can't be read: " + err.Error()
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

// fill puts the outcome of a form into the page.
func (p *page) fill(values editor.Values, err error) {
	var field *rattanwood.FieldError
	isField := errors.As(err, &field)
	matched := false
	for _, f := range p.Form.Fields {
		in := input{Field: f, Value: values[f.Name]}
		if isField && names(field.Field, f.Name) {
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
		p.Document = text(p.Next)
		p.Diff = difference(text(p.Current), p.Document)
	}
}

// names reports whether a path in the document ends with an input's name.
// A service or an upstream is its entry's name in the document.
func names(path, input string) bool {
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

func text(doc *rattanwood.Document) string {
	data, err := checker.Encode(doc)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// difference returns the changed lines with their surroundings.
func difference(from, to string) []line {
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
		lines = append(lines, line{Kind: kind(row[0]), Text: row})
	}
	return lines
}

func kind(mark byte) string {
	switch mark {
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
	if err := pageTemplate.Execute(&buf, p); err != nil {
		buf.Reset()
		buf.WriteString("The page can't be shown.")
	}
	return io.NopCloser(&buf)
}
