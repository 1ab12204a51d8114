package editor_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/editor"
)

// change is the submission of one form.
type change struct {
	form   string
	values editor.Values
}

// apply submits forms in turn, starting from an empty document. Only the last one may fail.
func apply(t *testing.T, changes ...change) (*rattanwood.Document, error) {
	doc := &rattanwood.Document{}
	for i, ch := range changes {
		f, err := editor.FindForm(ch.form)
		qt.Assert(t, err, qt.IsNil)
		next, err := f.Apply(doc, ch.values)
		if err != nil {
			qt.Assert(t, i, qt.Equals, len(changes)-1, qt.Commentf("%v", err))
			return nil, err
		}
		qt.Assert(t, next.Version, qt.Equals, doc.Version+1)
		doc = next
	}
	return doc, nil
}

var (
	board      = change{"service", editor.Values{"service": "board", "address": "10.0.0.1:80"}}
	maps       = change{"service", editor.Values{"service": "maps", "address": "10.0.0.2:80"}}
	add        = change{"upstream", editor.Values{"service": "board", "upstream": "b1", "tunnel": "10.1.0.1:1", "web": "10.1.0.1:2", "slots": "2"}}
	drain      = change{"drain", editor.Values{"service": "board", "upstream": "b1"}}
	drop       = change{"drop", editor.Values{"service": "board", "upstream": "b1"}}
	release    = change{"release", editor.Values{"service": "board", "address": "10.0.0.1:80"}}
	bindMaps   = change{"bind", editor.Values{"service": "maps", "address": "10.0.0.1:80"}}
	raiseShare = change{"balance", editor.Values{"service": "board", "free": "0.5", "excess": "0"}}
	lowerShare = change{"balance", editor.Values{"service": "board", "free": "0", "excess": "0"}}
)

// TestFormSequences checks which sequences of forms are accepted and with which error others are rejected.
func TestFormSequences(t *testing.T) {
	tests := map[string]struct {
		changes []change
		want    any
	}{
		"drain and drop":               {[]change{board, add, drain, drop}, nil},
		"drop without drain":           {[]change{board, add, drop}, new(*rattanwood.FieldError)},
		"drain twice":                  {[]change{board, add, drain, drain}, new(*rattanwood.FieldError)},
		"address moves to another":     {[]change{board, maps, release, bindMaps}, nil},
		"address bound to another":     {[]change{board, maps, bindMaps}, new(*rattanwood.DuplicateAddressError)},
		"upstream twice":               {[]change{board, add, add}, new(*rattanwood.DuplicateUpstreamError)},
		"share raised and lowered":     {[]change{board, raiseShare, lowerShare}, nil},
		"forget a future version":      {[]change{board, {"forget", editor.Values{"oldest": "9"}}}, new(*rattanwood.FieldError)},
		"forget ended entries":         {[]change{board, add, drain, {"forget", editor.Values{"oldest": "4"}}}, nil},
		"limits that aren't numbers":   {[]change{board, {"limits", editor.Values{"service": "board", "queue": "many"}}}, new(*rattanwood.FieldError)},
		"limits of an unknown service": {[]change{board, {"limits", editor.Values{"service": "x"}}}, new(*rattanwood.FieldError)},
		"release an address not bound": {[]change{board, maps, {"release", editor.Values{"service": "maps", "address": "10.0.0.1:80"}}}, new(*rattanwood.FieldError)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := apply(t, test.changes...)
			if test.want == nil {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			qt.Assert(t, err, qt.ErrorAs, test.want)
		})
	}
}

// TestBalanceKeepsPeakShare checks that lowering the load-placed share keeps the earlier one as the peak, until
// the versions under which flows were placed with it are forgotten.
func TestBalanceKeepsPeakShare(t *testing.T) {
	c := qt.New(t)
	doc, err := apply(t, board, raiseShare, lowerShare)
	c.Assert(err, qt.IsNil)
	c.Assert(doc.Services[0].Balance, qt.Equals, rattanwood.Balance{LoadPlacedShare: 0, PeakLoadPlacedShare: 0.5})
	doc, err = apply(t, board, raiseShare, lowerShare, change{"forget", editor.Values{"oldest": "4"}})
	c.Assert(err, qt.IsNil)
	c.Assert(doc.Services[0].Balance, qt.Equals, rattanwood.Balance{})
}
