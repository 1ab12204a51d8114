// Package admitter decides which first packets of flows are let in when a service has too little room.
//
// Each balancer decides alone, from the demand that it sees, the demand that others report, and the
// slots of the service's upstreams. Demand is counted in slots: requests a second times the measured
// time that a request occupies a slot. When demand exceeds what the service can bear, the more
// important levels are served whole, the boundary level in part, and those below not at all (priority
// admission by load level; Zhou and others, "Overload control for scaling WeChat microservices", 2018).
// What the service can bear follows from the share of requests that its upstreams turn away (adaptive
// concurrency limits). Without evidence of overload nothing is refused. docs/design/admission.md weighs
// the alternatives.
package admitter

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"example.org/rattanwood"
)

// Config holds the settings of an Admitter.
type Config struct {
	// DataCentre is the data centre of this balancer.
	DataCentre rattanwood.DataCentre
	// DemandWindow is the time in which the weight of past offers decays to 1/e.
	DemandWindow time.Duration
	// ReportWindow is the time in which the weight of a report decays to 1/e.
	ReportWindow time.Duration
	// ReportTTL is the age after which a peer's report no longer counts, and RemoteReportTTL the same for
	// a peer in another data centre.
	ReportTTL, RemoteReportTTL time.Duration
	// FlowWindow is the time over which the number of requests in a flow is averaged.
	FlowWindow time.Duration
	// RecentWindow is the time over which a Caller's present load is averaged, and UsualWindow that of
	// its usual one.
	RecentWindow, UsualWindow time.Duration
	// CallerExcess is the multiple of its usual load beyond which a Caller's offers rank below all others.
	CallerExcess float64
	// LossTarget is the share of tries that upstreams may turn away when a service is at its limit.
	LossTarget float64
	Random     *rand.Rand
}

// DefaultConfig returns the settings that the daemon uses.
func DefaultConfig(random *rand.Rand) Config {
	return Config{
		// Short enough to see a burst within a second, and some 30 offers at a balancer's usual share of
		// a service at its limit.
		DemandWindow: 500 * time.Millisecond,
		// Reports come once a second.
		ReportWindow: time.Second,
		// Three reports, sent once a second, may be lost.
		ReportTTL: 4 * time.Second,
		// Three reports, sent every third round, may be lost.
		RemoteReportTTL: 12 * time.Second,
		FlowWindow:      30 * time.Second,
		RecentWindow:    5 * time.Second,
		UsualWindow:     5 * time.Minute,
		CallerExcess:    2,
		// Of requests with three tries, 2 in 100 then fail.
		LossTarget: 0.26,
		Random:     random,
	}
}

// Level is an importance; 0 is served first.
type Level int

// excessLevel is that of the offers of a Caller that asks for far more than usual.
const excessLevel Level = 1 << 16

// LevelOf returns the importance of a class of requests: the operators' priority first, then requests that
// must not be repeated, then those that can wait least.
func LevelOf(c rattanwood.Class) Level {
	const (
		maxPriority  = 15
		patienceBits = 5
	)
	level := Level(min(max(c.Priority, 0), maxPriority)) << 1
	if c.Repeatable {
		level |= 1
	}
	patience := c.Target
	if patience <= 0 {
		patience = c.Timeout
	}
	// Targets within a factor of two rank alike; an unknown one ranks last.
	wait := 1<<patienceBits - 1
	if patience > 0 {
		wait = min(bits.Len64(uint64(patience.Milliseconds())), wait)
	}
	return level<<patienceBits | Level(wait)
}

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
	// Age is that of the oldest report in Load.
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
	// Fraction is the part of the level's offers that is admitted.
	Fraction float64
}

// evaluationInterval is the time between two computations of the admitted fractions.
const evaluationInterval = 50 * time.Millisecond

// Admitter holds the demand by service and level. It isn't safe for concurrent use.
type Admitter struct {
	cfg      Config
	services map[rattanwood.ServiceID]*service
	callers  *callerLoads
	// centres holds the data centres, sorted by name.
	centres []centre
}

// New returns an Admitter that admits everything until it knows better.
func New(cfg Config) *Admitter {
	return &Admitter{cfg: cfg, services: map[rattanwood.ServiceID]*service{}, callers: newCallerLoads(cfg)}
}

// Decide counts an offer and reports whether to admit it.
func (a *Admitter) Decide(now time.Duration, o Offer) Decision {
	d := Decision{Admit: true, Reason: Unknown, Level: LevelOf(o.Class)}
	s := a.services[o.Service]
	if s == nil {
		return d
	}
	rank, l := a.count(now, s, o)
	d.Load, d.Limit, d.Age = s.load, s.limit, now-s.oldestReport
	if s.limit > 0 {
		d.Reason = Room
		if l.fraction < 1 {
			d.Admit, d.Reason = l.thin(), Overload
			if rank == excessLevel {
				d.Reason = Excess
			}
		}
	}
	if d.Admit {
		l.admissions.add(now)
		s.level(now, d.Level).flows.add(now)
	}
	return d
}

// count counts an offer and returns its rank, which is below all levels for a Caller that asks for far more than usual.
func (a *Admitter) count(now time.Duration, s *service, o Offer) (Level, *levelState) {
	rank := LevelOf(o.Class)
	if a.isExcess(now, s, o) {
		rank = excessLevel
	}
	l := s.level(now, rank)
	l.offers.add(now)
	if now-s.evaluatedAt >= evaluationInterval {
		a.evaluate(now, s)
	}
	return rank, l
}

// Count counts an offer on which the balancer that counts the requests under way decides, and returns its rank.
func (a *Admitter) Count(now time.Duration, o Offer) Level {
	s := a.services[o.Service]
	if s == nil {
		return LevelOf(o.Class)
	}
	rank, l := a.count(now, s, o)
	l.admissions.add(now)
	s.level(now, LevelOf(o.Class)).flows.add(now)
	return rank
}

// Work returns the mean measured time that a request of a service occupies a slot; zero means unknown.
func (a *Admitter) Work(id rattanwood.ServiceID) time.Duration {
	s := a.services[id]
	if s == nil {
		return 0
	}
	sum, samples := 0.0, 0
	for _, l := range s.levels {
		if l.samples >= minWorkSamples {
			sum += l.work * float64(l.samples)
			samples += l.samples
		}
	}
	return time.Duration(sum / float64(max(samples, 1)) * float64(time.Second))
}

const (
	// busyLoad and calmLoad are the shares of its slots from which on a service becomes busy and ceases to be. Below
	// half of the slots hardly any request waits, however the flows are placed.
	busyLoad, calmLoad = 0.5, 0.4
)

// IsBusy reports whether the demand for a service is so high that it matters which upstream a flow goes to.
func (a *Admitter) IsBusy(id rattanwood.ServiceID) bool {
	s := a.services[id]
	return s != nil && s.busy
}

// SetSlots sets the number of requests that the service's usable upstreams serve concurrently. Zero means
// that it isn't known.
func (a *Admitter) SetSlots(now time.Duration, id rattanwood.ServiceID, slots float64) {
	s := a.services[id]
	if s == nil {
		s = newService(a.cfg)
		a.services[id] = s
	}
	s.slots = max(slots, 0)
	a.evaluate(now, s)
}

// RecordResponse records the time until a request's response began, and the round trip without any work.
func (a *Admitter) RecordResponse(now time.Duration, o Offer, latency, roundTrip time.Duration) {
	s := a.services[o.Service]
	if s == nil {
		return
	}
	l := s.level(now, LevelOf(o.Class))
	l.requests.add(now)
	l.addWork(s, max(latency-roundTrip, 0).Seconds())
	s.record(now, o.Class.Target > 0 && latency > o.Class.Target)
}

// RecordFailure records a request without a response, or with an error.
func (a *Admitter) RecordFailure(now time.Duration, o Offer) {
	s := a.services[o.Service]
	if s == nil {
		return
	}
	s.level(now, LevelOf(o.Class)).requests.add(now)
	s.record(now, true)
}

// Reports returns the balancer's own demand, for its neighbours.
func (a *Admitter) Reports(now time.Duration) []Report {
	var out []Report
	for id, s := range a.services {
		for _, l := range s.levels {
			// Also without demand, which counts in the mean.
			d := s.ownDemand(now, l)
			out = append(out, Report{Service: id, Level: l.level, Offered: d.offered, Admitted: d.admitted})
		}
	}
	slices.SortFunc(out, func(x, y Report) int {
		return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.Level, y.Level))
	})
	return out
}

// MergeReport records a neighbour's report; it replaces the earlier one of the same service and level.
func (a *Admitter) MergeReport(now time.Duration, vm rattanwood.VMID, dc rattanwood.DataCentre, r Report) {
	s := a.services[r.Service]
	if s == nil {
		return
	}
	p := s.peer(vm)
	if p.at != now {
		// The first report of a heartbeat: levels that the peer forgot aren't reported again.
		p.loads = p.loads[:0]
	}
	p.dataCentre, p.at = dc, now
	if r.Offered <= 0 {
		// Balancers that report a level without demand to each other must not keep it for good.
		return
	}
	p.loads = append(p.loads, peerDemand{
		demand: demand{offered: r.Offered, admitted: r.Admitted},
		level:  r.Level, ownOffers: s.level(now, r.Level).offers.decayed(now),
	})
}

// Tick drops what is too old. Members is the number of balancers in each data centre, this one included.
func (a *Admitter) Tick(now time.Duration, members map[rattanwood.DataCentre]int) {
	a.centres = a.centres[:0]
	for dc, n := range members {
		a.centres = append(a.centres, centre{name: dc, members: float64(n)})
	}
	slices.SortFunc(a.centres, func(x, y centre) int { return cmp.Compare(x.name, y.name) })
	for id, s := range a.services {
		s.expire(now, a.cfg)
		if s.slots == 0 && len(s.levels) == 0 {
			delete(a.services, id)
			continue
		}
		a.evaluate(now, s)
	}
}

// Rows returns the state of each service and level, sorted.
func (a *Admitter) Rows(now time.Duration) []Row {
	var out []Row
	for id, s := range a.services {
		fleet := a.fleetDemand(now, s)
		for i, l := range s.levels {
			out = append(out, Row{
				Service: id, Level: l.level, Offered: fleet[i].offered, Admitted: fleet[i].admitted, Limit: s.limit,
				Work: time.Duration(s.workOf(l) * float64(time.Second)), Fraction: l.fraction,
			})
		}
	}
	slices.SortFunc(out, func(x, y Row) int {
		return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.Level, y.Level))
	})
	return out
}
