package node

import (
	"time"

	"go.uber.org/zap"

	"example.org/rattanwood"
	"example.org/rattanwood/admitter"
	"example.org/rattanwood/internal/logger"
	"example.org/rattanwood/messenger"
	"example.org/rattanwood/tagger"
)

// AdmissionState describes the demand for a service at one level of importance in a State.
type AdmissionState struct {
	Service rattanwood.ServiceID `json:"service"`
	// Level is the importance; 0 is served first.
	Level admitter.Level `json:"level"`
	// Offered and Admitted are the demand of the whole fleet, and Limit what the service can bear, in slots.
	Offered  float64 `json:"offered"`
	Admitted float64 `json:"admitted"`
	Limit    float64 `json:"limit"`
	// WorkMillis is the measured time in milliseconds that a request occupies a slot.
	WorkMillis float64 `json:"work"`
	// Fraction is the part of the level's new flows that is let in.
	Fraction float64 `json:"fraction"`
}

// admissionStates returns a row for each service and level. The calling code must hold mu.
func (n *Node) admissionStates(now time.Duration) []AdmissionState {
	rows := []AdmissionState{}
	for _, r := range n.admitter.Rows(now) {
		rows = append(rows, AdmissionState{
			Service: r.Service, Level: r.Level, Offered: r.Offered, Admitted: r.Admitted, Limit: r.Limit,
			WorkMillis: float64(r.Work) / float64(time.Millisecond), Fraction: r.Fraction,
		})
	}
	return rows
}

// CountState describes an upstream in a State whose requests under way this balancer counts.
type CountState struct {
	Upstream string `json:"upstream"`
	UnderWay int    `json:"requests"`
	// MaxUnderWay is the number of requests from which on the upstream is taken to turn others away; zero means unknown.
	MaxUnderWay float64 `json:"most"`
	// Slowness is the time of its requests as a multiple of those of its service.
	Slowness float64 `json:"slowness"`
}

// countStates returns a row for each upstream whose requests are counted here. The calling code must hold mu.
func (n *Node) countStates(now time.Duration) []CountState {
	rows := []CountState{}
	for _, r := range n.allocator.Rows(now) {
		rows = append(rows, CountState{Upstream: r.Upstream.String(), UnderWay: r.UnderWay, MaxUnderWay: r.MaxUnderWay, Slowness: r.Slowness})
	}
	return rows
}

// setServices prepares the names of the services that routes lead to for mergeDemands. The calling code must
// hold mu.
func (n *Node) setServices(r *rattanwood.Routing) {
	n.services = map[messenger.ServiceHash]rattanwood.ServiceID{}
	for _, route := range r.Routes {
		for _, share := range route.Shares {
			n.services[messenger.HashService(share.Service)] = share.Service
		}
	}
}

// ownDemands returns the demand that this balancer has seen. The calling code must hold mu.
func (n *Node) ownDemands(now time.Duration) []messenger.DemandReport {
	var demands []messenger.DemandReport
	for _, r := range n.admitter.Reports(now) {
		demands = append(demands, messenger.DemandReport{Service: messenger.HashService(r.Service), Level: int(r.Level), Offered: r.Offered, Admitted: r.Admitted})
	}
	return demands
}

// mergeDemands records the demand that another balancer has seen. The calling code must hold mu.
func (n *Node) mergeDemands(now time.Duration, heartbeat *messenger.Heartbeat) {
	for _, d := range heartbeat.Demands {
		service, ok := n.services[d.Service]
		if !ok {
			// The routes that name it haven't arrived yet.
			continue
		}
		n.admitter.MergeReport(now, heartbeat.From, heartbeat.DataCentre, admitter.Report{Service: service, Level: admitter.Level(d.Level), Offered: d.Offered, Admitted: d.Admitted})
	}
}

// logRefusal logs a flow that wasn't let in, with the demand for the service and what it can bear in slots, and
// the age in milliseconds of the oldest report behind these.
func (n *Node) logRefusal(s rattanwood.Segment, r *tagger.Refusal) {
	if e := n.log.Check(zap.InfoLevel, "flow "+tagger.Overloaded.String()); e != nil {
		e.Write(zap.String(logger.KeyFlow, flowID(s)), zap.Stringer(logger.KeyOutcome, tagger.Reset), zap.String(logger.KeyReason, string(r.Reason)),
			zap.String("service", string(r.Service)), zap.Int("level", int(r.Level)), zap.Float64("load", r.Load), zap.Float64("limit", r.Limit),
			zap.Int64(logger.KeyAge, r.Age.Milliseconds()))
	}
}

// admissionOutcome returns the label of a decision on a new flow.
func admissionOutcome(admitted bool) string {
	if admitted {
		return "admitted"
	}
	return "refused"
}
