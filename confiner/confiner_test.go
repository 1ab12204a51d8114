package confiner_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/confiner"
)

func TestAllows(t *testing.T) {
	type regions = []rattanwood.Region
	type centres = map[rattanwood.DataCentre]rattanwood.Region
	two := centres{"east": "north", "west": "north", "far": "south"}
	tests := map[string]struct {
		route, customer regions
		known           centres
		want            map[rattanwood.DataCentre]bool
	}{
		"no homes":                {want: map[rattanwood.DataCentre]bool{"east": true, "far": true, "unknown": true}, known: two},
		"no homes, no regions":    {want: map[rattanwood.DataCentre]bool{"east": true, "unknown": true}},
		"route only":              {route: regions{"north"}, known: two, want: map[rattanwood.DataCentre]bool{"east": true, "west": true, "far": false, "unknown": false}},
		"customer only":           {customer: regions{"south"}, known: two, want: map[rattanwood.DataCentre]bool{"east": false, "far": true, "unknown": false}},
		"both":                    {route: regions{"north", "south"}, customer: regions{"south", "other"}, known: two, want: map[rattanwood.DataCentre]bool{"east": false, "far": true}},
		"disjoint":                {route: regions{"north"}, customer: regions{"south"}, known: two, want: map[rattanwood.DataCentre]bool{"east": false, "west": false, "far": false}},
		"only the own region":     {route: regions{"north"}, want: map[rattanwood.DataCentre]bool{"east": true, "west": false}},
		"a map without own":       {route: regions{"north"}, known: centres{"far": "north"}, want: map[rattanwood.DataCentre]bool{"east": true, "far": true}},
		"the map before the own":  {route: regions{"north"}, known: centres{"east": "south"}, want: map[rattanwood.DataCentre]bool{"east": false}},
		"a home without a name":   {route: regions{""}, known: two, want: map[rattanwood.DataCentre]bool{"unknown": false, "east": false}},
		"a home without machines": {route: regions{"other"}, known: two, want: map[rattanwood.DataCentre]bool{"east": false, "far": false}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := confiner.New(confiner.Config{DataCentre: "east", Region: "north", Regions: test.known})
			for centre, want := range test.want {
				got := c.Allows(&rattanwood.Route{Homes: test.route, CustomerHomes: test.customer}, centre)
				qt.New(t).Check(got, qt.Equals, want, qt.Commentf("%s", centre))
			}
		})
	}
}
