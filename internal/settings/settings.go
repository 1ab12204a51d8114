// Package settings reads and validates the settings file of a balancer. It holds the defaults and makes the
// addresses to listen on out of the file's addresses and ports. rattanwood.example.json describes each key.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strconv"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/checker"
)

// Settings is the content of the settings file.
type Settings struct {
	VM         string   `json:"vm"`
	DataCentre string   `json:"centre"`
	Address    string   `json:"address"`
	Platform   string   `json:"platform"`
	Affinity   Affinity `json:"affinity"`
	Seeds      []string `json:"seeds"`
	Ports      Ports    `json:"ports"`
	Listen     Listen   `json:"listen"`
	Control    Control  `json:"control"`
	Times      Times    `json:"times"`
	// Region is that of DataCentre, and Regions that of each data centre. Only routes with homes need them.
	Region  rattanwood.Region                           `json:"region"`
	Regions map[rattanwood.DataCentre]rattanwood.Region `json:"regions"`
	Warmup  Warmup                                      `json:"warmup"`
	// Admission turns on the refusal of new flows that can't be served in time, with AffinityTag.
	Admission bool `json:"admission"`
	// Keys is the path of the file with the keys that authenticate datagrams between balancers, with AffinityTag;
	// empty for no authentication.
	Keys     string `json:"keys"`
	LogLevel string `json:"log"`
}

// Warmup sets how many new flows all balancers together may send to a cold upstream within any second: its
// service's rate times Overage, plus Slack. It applies with AffinityTag to services that state a rate.
type Warmup struct {
	Overage float64 `json:"overage"`
	Slack   float64 `json:"slack"`
}

// Affinity selects how flows stay on their upstreams.
type Affinity string

const (
	// AffinityOwner gives each flow an owner, a balancer that stores the flow's upstream. Packets are
	// encapsulated in Geneve.
	AffinityOwner Affinity = "home"
	// AffinityTag lets the packets of a flow carry the id of its upstream.
	AffinityTag Affinity = "tag"
)

// Listen holds addresses to listen on in place of those made of Settings.Address and Ports. Empty means no
// replacement.
type Listen struct {
	Tunnel string `json:"tunnel"`
	Web    string `json:"web"`
}

// Ports holds the ports that every balancer uses on its own address.
type Ports struct {
	Peer   int `json:"peer"`
	Tunnel int `json:"tunnel"`
	Web    int `json:"web"`
}

// Control sets the token bucket that limits the traffic between balancers.
type Control struct {
	// Rate is in bytes per second.
	Rate int `json:"rate"`
	// Burst is in bytes.
	Burst int `json:"burst"`
}

// Times holds durations, in milliseconds unless noted.
type Times struct {
	HeartbeatInterval    int `json:"beat"`
	SuspectAfter         int `json:"suspect"`
	DeadAfter            int `json:"dead"`
	ActivationDelay      int `json:"hold"`
	PauseThreshold       int `json:"gap"`
	OwnerRefreshInterval int `json:"refresh"`
	AnswerTTL            int `json:"keep"`
	IdleTimeout          int `json:"idle"`
	RequestIDRetention   int `json:"memory"`
	ShutdownTimeout      int `json:"stop"`
	ProbeInterval        int `json:"probe"`
	VMListInterval       int `json:"list"`
	// ApplyDeadline is the time within which a change must be in effect on all balancers, with AffinityTag.
	ApplyDeadline int `json:"apply"`
	// GracePeriodSeconds is the time in seconds between SIGTERM and SIGKILL, with AffinityTag.
	GracePeriodSeconds float64 `json:"grace"`
}

// Default returns the defaults of all optional fields.
func Default() Settings {
	return Settings{
		Affinity: AffinityOwner,
		Ports:    Ports{Peer: 4790, Tunnel: 6081, Web: 8080},
		Control:  Control{Rate: 4096, Burst: 8192},
		Times: Times{
			HeartbeatInterval: 1000, SuspectAfter: 2500, DeadAfter: 5000, ActivationDelay: 3000, PauseThreshold: 1000,
			OwnerRefreshInterval: 60_000, AnswerTTL: 60_000, IdleTimeout: 14_400_000, RequestIDRetention: 600_000,
			ShutdownTimeout: 20_000, ProbeInterval: 500, VMListInterval: 5000,
			ApplyDeadline: 3000, GracePeriodSeconds: 6,
		},
		Regions: map[rattanwood.DataCentre]rattanwood.Region{}, Warmup: Warmup{Overage: 1},
		LogLevel: "info",
	}
}

// Load reads, decodes and validates a settings file.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, &rattanwood.SyntaxError{File: file, Cause: err}
	}
	return Parse(file, data)
}

// Parse decodes and validates the content of a settings file, whose name appears in errors.
func Parse(file string, data []byte) (Settings, error) {
	s := Default()
	if err := checker.Decode(file, data, &s); err != nil {
		return Settings{}, err
	}
	return s, s.validate(file)
}

// maxNameLength is the largest length of a name.
const maxNameLength = 63

var validName = regexp.MustCompile(`^[a-z0-9][a-z0-9-]*$`)

func isName(s string) bool { return len(s) <= maxNameLength && validName.MatchString(s) }

// logLevels holds the allowed values of the log field.
var logLevels = []string{"debug", "info", "warn", "error"}

// numberRange is a numeric field with its inclusive bounds.
type numberRange struct {
	field     string
	value     int
	low, high int
}

func (s *Settings) validate(file string) error {
	fail := func(field, value, allowed string) error {
		return &rattanwood.FieldError{File: file, Field: field, Value: strconv.Quote(value), Allowed: allowed}
	}
	const nameAllowed = "1 to 63 lower-case letters, digits or hyphens"
	switch {
	case !isName(s.VM):
		return fail("vm", s.VM, nameAllowed)
	case !isName(s.DataCentre):
		return fail("centre", s.DataCentre, nameAllowed)
	case !isIP(s.Address):
		return fail("address", s.Address, "an IP address")
	case !isAddrPort(s.Platform):
		return fail("platform", s.Platform, "an IP address and a port")
	case !slices.Contains(logLevels, s.LogLevel):
		return fail("log", s.LogLevel, "debug, info, warn or error")
	}
	for i, seed := range s.Seeds {
		if !isIP(seed) && !isAddrPort(seed) {
			return fail(fmt.Sprintf("seeds[%d]", i), seed, "an IP address, with or without a port")
		}
	}
	if s.Affinity != AffinityOwner && s.Affinity != AffinityTag {
		return fail("affinity", string(s.Affinity), "home or tag")
	}
	if s.Keys != "" && s.Affinity != AffinityTag {
		return fail("keys", s.Keys, `empty, since only the affinity "tag" has keys`)
	}
	for field, value := range map[string]string{"listen.tunnel": s.Listen.Tunnel, "listen.web": s.Listen.Web} {
		if value != "" && !isAddrPort(value) {
			return fail(field, value, "an IP address and a port")
		}
	}
	for field, limit := range map[string]struct{ value, low, high float64 }{
		"warmup.overage": {s.Warmup.Overage, 0.1, 100}, "warmup.slack": {s.Warmup.Slack, 0, 10_000},
	} {
		if !(limit.value >= limit.low && limit.value <= limit.high) {
			return fail(field, strconv.FormatFloat(limit.value, 'g', -1, 64), fmt.Sprintf("%g to %g", limit.low, limit.high))
		}
	}
	for centre, region := range s.Regions {
		if !isName(string(centre)) || !isName(string(region)) {
			return fail("regions", fmt.Sprintf("%s: %s", centre, region), "names of data centres and their regions, each "+nameAllowed)
		}
	}
	if s.Region != "" && !isName(string(s.Region)) {
		return fail("region", string(s.Region), nameAllowed)
	}
	if s.Times.GracePeriodSeconds < 1 || s.Times.GracePeriodSeconds > 3600 {
		return fail("times.grace", strconv.FormatFloat(s.Times.GracePeriodSeconds, 'g', -1, 64), "1 to 3600")
	}
	return s.validateNumbers(file)
}

func (s *Settings) validateNumbers(file string) error {
	const hourMillis = 3_600_000
	t := s.Times
	for _, l := range []numberRange{
		{"ports.peer", s.Ports.Peer, 1, 65535},
		{"ports.tunnel", s.Ports.Tunnel, 1, 65535},
		{"ports.web", s.Ports.Web, 1, 65535},
		{"control.rate", s.Control.Rate, 1024, 27 << 10},
		{"control.burst", s.Control.Burst, 1500, 1 << 20},
		{"times.beat", t.HeartbeatInterval, 50, 10_000},
		{"times.suspect", t.SuspectAfter, 2 * t.HeartbeatInterval, 60_000},
		{"times.dead", t.DeadAfter, t.SuspectAfter + t.HeartbeatInterval, 120_000},
		{"times.hold", t.ActivationDelay, 2 * t.HeartbeatInterval, 4000},
		{"times.gap", t.PauseThreshold, 200, t.ActivationDelay},
		{"times.refresh", t.OwnerRefreshInterval, 2000, hourMillis},
		{"times.keep", t.AnswerTTL, 1000, hourMillis},
		{"times.idle", t.IdleTimeout, t.AnswerTTL, 48 * hourMillis},
		{"times.memory", t.RequestIDRetention, 1000, 24 * hourMillis},
		{"times.stop", t.ShutdownTimeout, t.DeadAfter, hourMillis},
		{"times.probe", t.ProbeInterval, 50, 60_000},
		{"times.list", t.VMListInterval, 100, 60_000},
		{"times.apply", t.ApplyDeadline, 500, 60_000},
	} {
		if l.value < l.low || l.value > l.high {
			allowed := fmt.Sprintf("%d to %d", l.low, l.high)
			return &rattanwood.FieldError{File: file, Field: l.field, Value: strconv.Itoa(l.value), Allowed: allowed}
		}
	}
	return nil
}

func isIP(s string) bool {
	_, err := netip.ParseAddr(s)
	return err == nil
}

func isAddrPort(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0
}

// Duration converts a time of the settings file, in milliseconds.
func Duration(milliseconds int) time.Duration {
	return time.Duration(milliseconds) * time.Millisecond
}

// MustAddrPort joins an IP address and a port. It panics if the IP address isn't valid.
func MustAddrPort(ip string, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr(ip), uint16(port))
}

// TunnelAddress returns the address on which packets are received.
func (s *Settings) TunnelAddress() netip.AddrPort {
	return s.listenAddress(s.Listen.Tunnel, s.Ports.Tunnel)
}

// WebAddress returns the address of the HTTP server.
func (s *Settings) WebAddress() netip.AddrPort {
	return s.listenAddress(s.Listen.Web, s.Ports.Web)
}

// PeerAddress returns the address for traffic with other balancers.
func (s *Settings) PeerAddress() netip.AddrPort { return MustAddrPort(s.Address, s.Ports.Peer) }

// listenAddress returns the replacement if there is one, and otherwise the port on the balancer's address.
func (s *Settings) listenAddress(replacement string, port int) netip.AddrPort {
	if replacement != "" {
		return netip.MustParseAddrPort(replacement)
	}
	return MustAddrPort(s.Address, port)
}

// SeedAddresses returns the bootstrap addresses: the peer addresses of the balancers listed as seeds. All
// balancers use the same peer port; a port given with a seed is ignored, since it belongs to another of that
// balancer's listeners.
func (s *Settings) SeedAddresses() []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		if a, err := netip.ParseAddrPort(seed); err == nil {
			seed = a.Addr().String()
		}
		out = append(out, MustAddrPort(seed, s.Ports.Peer))
	}
	return out
}
