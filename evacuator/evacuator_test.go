package evacuator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/evacuator"
)

// TestRequests covers requests that are repeated, overlap, or are taken back twice.
func TestRequests(t *testing.T) {
	type steps = func(e *evacuator.Evacuator)
	tests := map[string]struct {
		steps steps
		want  []evacuator.Evacuation
	}{
		"none": {func(*evacuator.Evacuator) {}, nil},
		"repeated": {func(e *evacuator.Evacuator) {
			e.Set(time.Second, "east", 5)
			e.Set(2*time.Second, "east", 9)
		}, []evacuator.Evacuation{{DataCentre: "east", Since: time.Second, Position: 9}}},
		"two overlap, the first is taken back": {func(e *evacuator.Evacuator) {
			e.Set(time.Second, "west", 5)
			e.Set(2*time.Second, "east", 6)
			e.Clear("west")
		}, []evacuator.Evacuation{{DataCentre: "east", Since: 2 * time.Second, Position: 6}}},
		"two overlap": {func(e *evacuator.Evacuator) {
			e.Set(time.Second, "west", 5)
			e.Set(2*time.Second, "east", 6)
		}, []evacuator.Evacuation{{DataCentre: "east", Since: 2 * time.Second, Position: 6}, {DataCentre: "west", Since: time.Second, Position: 5}}},
		"asked again after it was taken back": {func(e *evacuator.Evacuator) {
			e.Set(time.Second, "east", 5)
			e.Clear("east")
			e.Clear("east")
			e.Set(3*time.Second, "east", 7)
		}, []evacuator.Evacuation{{DataCentre: "east", Since: 3 * time.Second, Position: 7}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			e := evacuator.New()
			test.steps(e)
			c.Assert(e.Evacuations(), qt.DeepEquals, test.want)
			for _, centre := range []rattanwood.DataCentre{"east", "west", "north"} {
				listed := false
				for _, row := range test.want {
					listed = listed || row.DataCentre == centre
				}
				c.Assert(e.Evacuated(centre), qt.Equals, listed)
			}
		})
	}
	c := qt.New(t)
	e := evacuator.New()
	_, ok := e.Clear("east")
	c.Assert(ok, qt.IsFalse)
	c.Assert(e.Set(0, "east", 5), qt.IsTrue)
	c.Assert(e.Set(0, "east", 6), qt.IsFalse)
	was, ok := e.Clear("east")
	c.Assert(ok, qt.IsTrue)
	c.Assert(was, qt.Equals, evacuator.Evacuation{DataCentre: "east", Position: 6})
}
