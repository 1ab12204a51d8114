package rattanwood

import (
	"net/netip"
	"time"
)

// Document is the whole configuration that operators publish.
//
// It carries its own history: an upstream belongs to the set of version v if
// Since <= v and either Until is zero or v < Until. A balancer that has read
// only the newest document can therefore rebuild the set of every version.
type Document struct {
	Version Version `json:"version"`
	// Oldest is the first version under which flows that still run may have begun.
	Oldest   Version   `json:"oldest,omitempty"`
	Services []Service `json:"services"`
}

// Service is a set of upstreams behind one or more addresses.
type Service struct {
	Name      ServiceID  `json:"name"`
	Addresses []Binding  `json:"addresses"`
	Upstreams []Upstream `json:"upstreams"`
	Balance   Balance    `json:"balance"`
	Limits    Limits     `json:"limits"`
}

// Binding ties an address to a service for a range of versions.
type Binding struct {
	Address netip.AddrPort `json:"address"`
	Since   Version        `json:"since"`
	Until   Version        `json:"until,omitempty"`
}

// Upstream is one back end of a service.
type Upstream struct {
	Name string `json:"name"`
	// Tunnel receives packets in Geneve.
	Tunnel netip.AddrPort `json:"tunnel"`
	// Web serves requests, health and load over HTTP.
	Web   netip.AddrPort `json:"web"`
	Slots int            `json:"slots"`
	Since Version        `json:"since"`
	// Until is the first version whose new flows no longer go here.
	Until Version `json:"until,omitempty"`
}

// Balance trades even load against exceptions that must be replicated.
type Balance struct {
	// LoadPlacedShare is the share of new flows that are placed by load, 0 to 1.
	LoadPlacedShare float64 `json:"free"`
	// PeakLoadPlacedShare is the highest Free of all versions since the oldest; zero means Free.
	PeakLoadPlacedShare float64 `json:"peak,omitempty"`
	// ExcessLoad is the load over the mean that a free flow's first choice may have, 0 to 1.
	ExcessLoad float64 `json:"excess"`
}

// Limits bounds the requests of a service.
type Limits struct {
	// MaxQueueLength is the largest number of requests that wait in one balancer.
	MaxQueueLength int `json:"queue"`
	// MaxWaitMillis is the longest time in the queue, in milliseconds.
	MaxWaitMillis int `json:"wait"`
	// DeadlineMillis is the longest time for a request, in milliseconds.
	DeadlineMillis int `json:"deadline"`
	// RetryBudget is the number of retries allowed for each request, 0 to 1.
	RetryBudget float64 `json:"retry"`
}

// HighestLoadPlacedShare returns the largest share of flows that any retained version placed by load.
func (b Balance) HighestLoadPlacedShare() float64 {
	return max(b.LoadPlacedShare, b.PeakLoadPlacedShare)
}

// ID returns the id of the upstream.
func (u Upstream) ID() UpstreamID {
	return UpstreamIDOf(u.Name)
}

// Active reports whether the upstream takes new flows in version v.
func (u Upstream) Active(v Version) bool {
	return Within(u.Since, u.Until, v)
}

// Within reports whether v lies in the range from since up to but without until; zero is no end.
func Within(since, until, v Version) bool {
	return since <= v && (until == 0 || v < until)
}

// MaxWait returns the longest time in the queue.
func (l Limits) MaxWait() time.Duration {
	return time.Duration(l.MaxWaitMillis) * time.Millisecond
}

// Timeout returns the longest time for a request.
func (l Limits) Timeout() time.Duration {
	return time.Duration(l.DeadlineMillis) * time.Millisecond
}

// VM is one entry of the platform's list of live and leaving VMs.
type VM struct {
	Name       VMID           `json:"name"`
	Address    netip.AddrPort `json:"address"`
	DataCentre DataCentre     `json:"centre"`
	Leaving    bool           `json:"leaving,omitempty"`
}
