// Package confiner decides which data centres may serve a route whose operators or customer confine it to
// some regions, its homes.
package confiner

import (
	"slices"

	"example.org/rattanwood"
)

// Config holds the settings of a Confiner.
type Config struct {
	// DataCentre and Region are those of this balancer. Region counts only if Regions lacks DataCentre.
	DataCentre rattanwood.DataCentre
	Region     rattanwood.Region
	// Regions holds the region of each data centre.
	Regions map[rattanwood.DataCentre]rattanwood.Region
}

// Confiner knows the regions of data centres. The zero Confiner knows none.
type Confiner struct {
	regions map[rattanwood.DataCentre]rattanwood.Region
}

// New returns a Confiner.
func New(cfg Config) Confiner {
	c := Confiner{regions: make(map[rattanwood.DataCentre]rattanwood.Region, len(cfg.Regions)+1)}
	c.regions[cfg.DataCentre] = cfg.Region
	for centre, region := range cfg.Regions {
		c.regions[centre] = region
	}
	return c
}

// Allows reports whether the packets of a route may be sent to the upstreams and balancers of a data centre.
// Where both the route and its customer have homes, both bind. A data centre whose region isn't known is in no
// home. A balancer that a Caller's packets reach may always forward them to where they are allowed, whatever
// its own region.
func (c Confiner) Allows(r *rattanwood.Route, centre rattanwood.DataCentre) bool {
	if len(r.Homes) == 0 && len(r.CustomerHomes) == 0 {
		return true
	}
	region := c.regions[centre]
	return region != "" && within(r.Homes, region) && within(r.CustomerHomes, region)
}

// within reports whether homes allow a region; without homes, all are allowed.
func within(homes []rattanwood.Region, region rattanwood.Region) bool {
	return len(homes) == 0 || slices.Contains(homes, region)
}
