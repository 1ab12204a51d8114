// Package admitter decides which first packets of flows are let in when a service has too little room.
package admitter

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"example.org/rattanwood"
)

// Config holds the settings of an Admitter.
type Config struct {
	// DataCentre is the data centre of this balancer.
	DataCentre rattanwood.DataCentre
	Random     *rand.Rand
}

// DefaultConfig returns the settings that the daemon uses.
func DefaultConfig(random *rand.Rand) Config { return Config{Random: random} }

// Level is an importance; 0 is served first.
type Level int

// LevelOf returns the importance of a class of requests.
func LevelOf(rattanwood.Class) Level { return 0 }

// Reason tells why an offer was admitted or refused. It can be a metric label.
type Reason string

// Reasons of decisions.
const (
	// Unknown means that the service's slots or the work of its requests aren't known.
	Unknown Reason = "unknown"
	// Room means that the service has room for the level.
	Room Reason = "room"
	// Overload means that the service is short of room and the level is served in part or not at all.
	Overload Reason = "overload"
	// Excess means that the service is short of room and the Caller asks for far more than usual.
	Excess Reason = "excess"
)

// Offer is a flow that a Caller asks for.
type Offer struct {
	Service rattanwood.ServiceID
	Class   rattanwood.Class
	Caller  netip.Addr
}

// Decision is the answer to an Offer, with what it was based on.
type Decision struct {
	Admit  bool
	Reason Reason
	Level  Level
	// Load is the fleet's demand for the service and Limit what it can bear, both in slots.
	Load, Limit float64
	// Age is that of the oldest input.
	Age time.Duration
}

// Report is a balancer's own demand for a service at one level, in slots.
type Report struct {
	Service           rattanwood.ServiceID
	Level             Level
	Offered, Admitted float64
}

// Row describes a service at one level for dumps.
type Row struct {
	Service rattanwood.ServiceID
	Level   Level
	// Offered and Admitted are the demand of the whole fleet, and Limit what the service can bear, in slots.
	Offered, Admitted, Limit float64
	// Work is the measured time that a request occupies a slot.
	Work time.Duration
	// Fraction is the part of the level's flows that are admitted.
	Fraction float64
}

// Admitter holds the demand by service and level. It isn't safe for concurrent use.
type Admitter struct {
	cfg Config
}

// New returns an Admitter that admits everything until it knows better.
func New(cfg Config) *Admitter { return &Admitter{cfg: cfg} }

// Decide counts an offer and reports whether to admit it.
func (a *Admitter) Decide(_ time.Duration, o Offer) Decision {
	return Decision{Admit: true, Reason: Unknown, Level: LevelOf(o.Class)}
}

// SetSlots sets the number of requests that the service's usable upstreams serve concurrently.
func (a *Admitter) SetSlots(time.Duration, rattanwood.ServiceID, float64) {}

// RecordResponse records the time until a request's response began, and the round trip without any work.
func (a *Admitter) RecordResponse(_ time.Duration, _ Offer, _, _ time.Duration) {}

// RecordFailure records a request without a response, or with an error.
func (a *Admitter) RecordFailure(time.Duration, Offer) {}

// Reports returns the balancer's own demand, for its neighbours.
func (a *Admitter) Reports(time.Duration) []Report { return nil }

// MergeReport records a neighbour's report; it replaces the earlier one of the same service and level.
func (a *Admitter) MergeReport(time.Duration, rattanwood.VMID, rattanwood.DataCentre, Report) {}

// Tick drops reports that are too old. Members is the number of balancers in each data centre, this one
// included.
func (a *Admitter) Tick(time.Duration, map[rattanwood.DataCentre]int) {}

// Rows returns the state of each service and level, sorted.
func (a *Admitter) Rows(time.Duration) []Row { return nil }
