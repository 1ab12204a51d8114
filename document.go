package rattanwood

import (
	"net/netip"
	"time"
)

// Document is the complete configuration that operators publish.
//
// It contains its own history: an upstream takes the new flows of version v if Since <= v and
// either Until is zero or v < Until. A balancer that has read only the newest document can
// therefore tell which upstreams were active in each retained version.
type Document struct {
	Version Version `json:"version"`
	// Oldest is the oldest version under which a flow that is still open may have started.
	Oldest   Version   `json:"oldest,omitempty"`
	Services []Service `json:"services"`
}

// Service is a set of upstreams that serve one or more addresses, with their settings.
type Service struct {
	Name      ServiceID  `json:"name"`
	Addresses []Binding  `json:"addresses"`
	Upstreams []Upstream `json:"upstreams"`
	Balance   Balance    `json:"balance"`
	Limits    Limits     `json:"limits"`
}

// Binding assigns an address to a service from version Since up to, but not including, Until.
// A zero Until means that the assignment has no end.
type Binding struct {
	Address netip.AddrPort `json:"address"`
	Since   Version        `json:"since"`
	Until   Version        `json:"until,omitempty"`
}

// Upstream is one back end of a service.
type Upstream struct {
	Name string `json:"name"`
	// Tunnel is the address that receives packets encapsulated in Geneve.
	Tunnel netip.AddrPort `json:"tunnel"`
	// Web is the address that serves requests and reports health and load over HTTP.
	Web netip.AddrPort `json:"web"`
	// Slots is the number of requests that the upstream serves concurrently.
	Slots int `json:"slots"`
	// Since is the first version whose new flows may go to the upstream.
	Since Version `json:"since"`
	// Until is the first version whose new flows no longer go to the upstream; zero means no end.
	Until Version `json:"until,omitempty"`
}

// Balance sets how many new flows are placed by load instead of by rendezvous hashing. Placement
// by load evens out the upstreams, but each such flow is an override that must be replicated.
type Balance struct {
	// LoadPlacedShare is the share of new flows that are placed by load, from 0 to 1.
	LoadPlacedShare float64 `json:"free"`
	// PeakLoadPlacedShare is the highest LoadPlacedShare of all versions since Document.Oldest.
	// Zero means that it equals LoadPlacedShare.
	PeakLoadPlacedShare float64 `json:"peak,omitempty"`
	// ExcessLoad is how far an upstream's load may exceed the mean before a flow that is placed by
	// load goes to another upstream than its first choice, as a fraction of the mean from 0 to 1.
	ExcessLoad float64 `json:"excess"`
}

// Limits bounds queueing, duration and retries of a service's requests.
type Limits struct {
	// MaxQueueLength is the largest number of requests that may wait in one balancer's queue.
	MaxQueueLength int `json:"queue"`
	// MaxWaitMillis is the longest time that a request may wait in the queue, in milliseconds.
	MaxWaitMillis int `json:"wait"`
	// TimeoutMillis is the longest total time that a request may take, in milliseconds.
	TimeoutMillis int `json:"deadline"`
	// RetryBudget is the average number of retries allowed per request, from 0 to 1.
	RetryBudget float64 `json:"retry"`
}

// HighestLoadPlacedShare returns the largest share of new flows that any retained version places by load.
func (b Balance) HighestLoadPlacedShare() float64 {
	return max(b.LoadPlacedShare, b.PeakLoadPlacedShare)
}

// ID returns the hash of the upstream's name.
func (u Upstream) ID() UpstreamID {
	return UpstreamIDOf(u.Name)
}

// Active reports whether the upstream takes new flows in version v.
func (u Upstream) Active(v Version) bool {
	return Within(u.Since, u.Until, v)
}

// Within reports whether since <= v and v < until. A zero until means no upper bound.
func Within(since, until, v Version) bool {
	return since <= v && (until == 0 || v < until)
}

// MaxWait returns MaxWaitMillis as a duration.
func (l Limits) MaxWait() time.Duration {
	return time.Duration(l.MaxWaitMillis) * time.Millisecond
}

// Timeout returns TimeoutMillis as a duration.
func (l Limits) Timeout() time.Duration {
	return time.Duration(l.TimeoutMillis) * time.Millisecond
}

// VM is an entry of the platform's list of VMs that run or are about to be removed.
type VM struct {
	Name       VMID           `json:"name"`
	Address    netip.AddrPort `json:"address"`
	DataCentre DataCentre     `json:"centre"`
	// Leaving is set while the VM is about to be removed.
	Leaving bool `json:"leaving,omitempty"`
}
