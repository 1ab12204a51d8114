package checker_test

import (
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/checker"
)

// validDocument is the document that the tests break in one place each.
const validDocument = `{
  // Two services.
  "version": 3,
  "services": [
    {"name": "board", "addresses": [{"address": "10.0.0.1:80", "since": 1}],
     "upstreams": [{"name": "b1", "tunnel": "10.1.0.1:6081", "web": "10.1.0.1:80", "slots": 2, "since": 1},
                   {"name": "b2", "tunnel": "10.1.0.2:6081", "web": "10.1.0.2:80", "slots": 2, "since": 2, "until": 3}],
     "balance": {"free": 0.2, "excess": 0.1}, "limits": {"queue": 4, "wait": 100, "deadline": 1000, "retry": 0.1}},
    {"name": "maps", "addresses": [{"address": "10.0.0.2:80", "since": 1}], "upstreams": [],
     "balance": {"free": 0, "excess": 0}, "limits": {"queue": 4, "wait": 100, "deadline": 1000, "retry": 0.1}},
  ],
}`

// TestParseReportsField checks that errors about one field name its path.
func TestParseReportsField(t *testing.T) {
	tests := map[string]struct{ from, to, field string }{
		"version 0":           {`"version": 3`, `"version": 0`, "version"},
		"unknown field":       {`"version": 3`, `"revision": 3`, "revision"},
		"wrong type":          {`"version": 3`, `"version": "x"`, "version"},
		"name in capitals":    {`"name": "board"`, `"name": "Board"`, "services[0].name"},
		"service twice":       {`"name": "maps"`, `"name": "board"`, "services[1].name"},
		"no port":             {`"10.1.0.1:6081"`, `"10.1.0.1:0"`, "services[0].upstreams[0].tunnel"},
		"no slots":            {`"slots": 2, "since": 1`, `"slots": 0, "since": 1`, "services[0].upstreams[0].slots"},
		"since in the future": {`"since": 2`, `"since": 4`, "services[0].upstreams[1].since"},
		"until before since":  {`"until": 3`, `"until": 1`, "services[0].upstreams[1].until"},
		"free above 1":        {`"free": 0.2`, `"free": 1.2`, "services[0].balance.free"},
		"queue too long":      {`"queue": 4`, `"queue": 5000`, "services[0].limits.queue"},
		"same tunnel":         {`"10.1.0.2:6081"`, `"10.1.0.1:6081"`, "services[0].upstreams[1].tunnel"},
	}
	_, err := checker.Parse("d", []byte(validDocument))
	qt.Assert(t, err, qt.IsNil)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := checker.Parse("d", []byte(strings.Replace(validDocument, test.from, test.to, 1)))
			var field *rattanwood.FieldError
			qt.Assert(t, errors.As(err, &field), qt.IsTrue, qt.Commentf("%v", err))
			qt.Assert(t, field.Field, qt.Equals, test.field)
		})
	}
}

// TestInvariants checks the errors for violations that concern more than one field.
func TestInvariants(t *testing.T) {
	tests := map[string]struct {
		from, to string
		as       any
	}{
		"two services on one address": {`"10.0.0.2:80"`, `"10.0.0.1:80"`, new(*rattanwood.DuplicateAddressError)},
		"upstream in two services":    {`"upstreams": []`, `"upstreams": [{"name": "b1", "tunnel": "10.1.0.9:1", "web": "10.1.0.9:2", "slots": 1, "since": 1}]`, new(*rattanwood.DuplicateUpstreamError)},
		"not JSON":                    {`{`, `[`, new(*rattanwood.SyntaxError)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := checker.Parse("d", []byte(strings.Replace(validDocument, test.from, test.to, 1)))
			qt.Assert(t, err, qt.ErrorAs, test.as)
		})
	}
}

// TestCheckTransition checks which changes of the document in force are accepted.
func TestCheckTransition(t *testing.T) {
	tests := map[string]struct {
		from, to string
		want     any
	}{
		"same version":            {`"version": 3`, `"version": 3`, new(*rattanwood.StaleVersionError)},
		"active upstream removed": {`{"name": "b1"`, `{"name": "b9"`, new(*rattanwood.HistoryError)},
		"since changed":           {`"slots": 2, "since": 1`, `"slots": 2, "since": 2`, new(*rattanwood.HistoryError)},
		"until removed":           {`, "until": 3`, ``, new(*rattanwood.HistoryError)},
		"drained in the past":     {`"slots": 2, "since": 1}`, `"slots": 2, "since": 1, "until": 3}`, new(*rattanwood.HistoryError)},
		"tunnel changed":          {`"10.1.0.1:6081"`, `"10.1.0.7:6081"`, new(*rattanwood.HistoryError)},
		"address without release": {`"10.0.0.2:80"`, `"10.0.0.3:80"`, new(*rattanwood.HistoryError)},
		"peak share not kept":     {`"free": 0.2`, `"free": 0.1`, new(*rattanwood.HistoryError)},
		"drained now":             {`"slots": 2, "since": 1}`, `"slots": 2, "since": 1, "until": 4}`, nil},
		"peak share kept":         {`"free": 0.2`, `"free": 0.1, "peak": 0.2`, nil},
		"only the version":        {`"version": 3`, `"version": 4`, nil},
	}
	current, err := checker.Parse("d", []byte(validDocument))
	qt.Assert(t, err, qt.IsNil)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(validDocument, test.from, test.to, 1)
			if !strings.Contains(test.from, "version") {
				text = strings.Replace(text, `"version": 3`, `"version": 4`, 1)
			}
			next, err := checker.Parse("d", []byte(text))
			qt.Assert(t, err, qt.IsNil)
			err = checker.CheckTransition(current, next)
			if test.want == nil {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			qt.Assert(t, err, qt.ErrorAs, test.want)
		})
	}
}

// FuzzParse checks that a document that Parse accepts is still accepted after Encode.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validDocument))
	f.Add([]byte(`{"version": 1, "services": []}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := checker.Parse("d", data)
		if err != nil {
			return
		}
		again, err := checker.Encode(doc)
		qt.Assert(t, err, qt.IsNil)
		_, err = checker.Parse("d", again)
		qt.Assert(t, err, qt.IsNil)
	})
}
