package settings_test

import (
	"errors"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/internal/settings"
)

const minimalSettings = `{"vm": "a", "centre": "east", "address": "127.0.0.1", "platform": "127.0.0.1:1"}`

// TestExampleMatchesDefaults checks that the example file shows the defaults of all optional fields.
func TestExampleMatchesDefaults(t *testing.T) {
	c := qt.New(t)
	data, err := os.ReadFile("../../rattanwood.example.json")
	c.Assert(err, qt.IsNil)
	got, err := settings.Parse("example", data)
	c.Assert(err, qt.IsNil)
	want := settings.Default()
	want.VM, want.DataCentre, want.Address, want.Platform, want.Seeds = got.VM, got.DataCentre, got.Address, got.Platform, []string{}
	c.Assert(got, qt.DeepEquals, want)
}

// TestInvalidFields checks that the error for an invalid field names the file, the field and the allowed values.
func TestInvalidFields(t *testing.T) {
	tests := map[string]struct{ from, to, field string }{
		"no name":       {`"vm": "a"`, `"vm": ""`, "vm"},
		"host name":     {`"127.0.0.1", `, `"localhost", `, "address"},
		"no port":       {`"127.0.0.1:1"`, `"127.0.0.1"`, "platform"},
		"unknown field": {`"vm"`, `"wm"`, "wm"},
		"wrong type":    {`"vm": "a"`, `"vm": 1`, "vm"},
		"above maximum": {`{`, `{"times": {"hold": 9000}, `, "times.hold"},
		"control rate":  {`{`, `{"control": {"rate": 99999}, `, "control.rate"},
		"bad seed":      {`{`, `{"seeds": ["x"], `, "seeds[0]"},
		"keys, home":    {`{`, `{"keys": "keys.json", `, "keys"},
		"log level":     {`{`, `{"log": "loud", `, "log"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := settings.Parse("f.json", []byte(strings.Replace(minimalSettings, test.from, test.to, 1)))
			var field *rattanwood.FieldError
			qt.Assert(t, errors.As(err, &field), qt.IsTrue, qt.Commentf("%v", err))
			qt.Assert(t, field.Field, qt.Equals, test.field)
			qt.Assert(t, field.File, qt.Equals, "f.json")
			qt.Assert(t, field.Allowed, qt.Not(qt.Equals), "")
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(minimalSettings))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = settings.Parse("f", data)
	})
}
