// Package settings reads and checks the settings file of a balancer.
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

// Settings is the content of the settings file. Times are in milliseconds.
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
	LogLevel   string   `json:"log"`
}

// Affinity is the way in which flows stay on their upstreams.
type Affinity string

// The ways.
const (
	// AffinityOwner remembers flows at home balancers; packets travel in Geneve.
	AffinityOwner Affinity = "home"
	// AffinityTag lets packets carry their flow's upstream.
	AffinityTag Affinity = "tag"
)

// Listen replaces the addresses that follow from Address and Ports, where they are not empty.
type Listen struct {
	Tunnel string `json:"tunnel"`
	Web    string `json:"web"`
}

// Ports are the ports that every balancer uses on its own address.
type Ports struct {
	Peer   int `json:"peer"`
	Tunnel int `json:"tunnel"`
	Web    int `json:"web"`
}

// Control is the budget of the traffic between balancers.
type Control struct {
	Rate  int `json:"rate"`
	Burst int `json:"burst"`
}

// Times are durations in milliseconds.
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
	// ApplyDeadline is the time in which a change must be in force with the affinity Tag.
	ApplyDeadline int `json:"apply"`
	// GracePeriodSeconds is the time in seconds between the order to stop and the end by force, with the affinity Tag.
	GracePeriodSeconds float64 `json:"grace"`
}

// Default returns the settings of a file that leaves everything out that may be left out.
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
		LogLevel: "info",
	}
}

// Load reads and checks a settings file.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, &rattanwood.SyntaxError{File: file, Cause: err}
	}
	return Parse(file, data)
}

// Parse decodes and checks settings.
func Parse(file string, data []byte) (Settings, error) {
	s := Default()
	if err := checker.Decode(file, data, &s); err != nil {
		return Settings{}, err
	}
	return s, s.check(file)
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// levels are the allowed values of the log field.
var levels = []string{"debug", "info", "warn", "error"}

// limit is the allowed range of a number.
type limit struct {
	field     string
	value     int
	low, high int
}

func (s *Settings) check(file string) error {
	fail := func(field, value, allowed string) error {
		return &rattanwood.FieldError{File: file, Field: field, Value: strconv.Quote(value), Allowed: allowed}
	}
	const name = "1 to 63 lower-case letters, digits or hyphens"
	switch {
	case !namePattern.MatchString(s.VM):
		return fail("vm", s.VM, name)
	case !namePattern.MatchString(s.DataCentre):
		return fail("centre", s.DataCentre, name)
	case !isIP(s.Address):
		return fail("address", s.Address, "an IP number")
	case !isAddress(s.Platform):
		return fail("platform", s.Platform, "an IP number and a port")
	case !slices.Contains(levels, s.LogLevel):
		return fail("log", s.LogLevel, "debug, info, warn or error")
	}
	for i, seed := range s.Seeds {
		if !isIP(seed) && !isAddress(seed) {
			return fail(fmt.Sprintf("seeds[%d]", i), seed, "an IP number, with or without a port")
		}
	}
	if s.Affinity != AffinityOwner && s.Affinity != AffinityTag {
		return fail("affinity", string(s.Affinity), "home or tag")
	}
	for field, value := range map[string]string{"listen.tunnel": s.Listen.Tunnel, "listen.web": s.Listen.Web} {
		if value != "" && !isAddress(value) {
			return fail(field, value, "an IP number and a port")
		}
	}
	if s.Times.GracePeriodSeconds < 1 || s.Times.GracePeriodSeconds > 3600 {
		return fail("times.grace", strconv.FormatFloat(s.Times.GracePeriodSeconds, 'g', -1, 64), "1 to 3600")
	}
	return s.checkNumbers(file)
}

func (s *Settings) checkNumbers(file string) error {
	const hour = 3_600_000
	t := s.Times
	for _, l := range []limit{
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
		{"times.refresh", t.OwnerRefreshInterval, 2000, hour},
		{"times.keep", t.AnswerTTL, 1000, hour},
		{"times.idle", t.IdleTimeout, t.AnswerTTL, 48 * hour},
		{"times.memory", t.RequestIDRetention, 1000, 24 * hour},
		{"times.stop", t.ShutdownTimeout, t.DeadAfter, hour},
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

func isAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0
}

// Duration converts milliseconds of a settings file.
func Duration(milliseconds int) time.Duration {
	return time.Duration(milliseconds) * time.Millisecond
}

// MustAddrPort returns one of the balancer's own ports on an IP number that was checked.
func MustAddrPort(ip string, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr(ip), uint16(port))
}

// TunnelAddress returns where packets arrive.
func (s *Settings) TunnelAddress() netip.AddrPort {
	return s.listen(s.Listen.Tunnel, s.Ports.Tunnel)
}

// WebAddress returns where the pages of operators are served.
func (s *Settings) WebAddress() netip.AddrPort {
	return s.listen(s.Listen.Web, s.Ports.Web)
}

// PeerAddress returns where other balancers are heard.
func (s *Settings) PeerAddress() netip.AddrPort { return MustAddrPort(s.Address, s.Ports.Peer) }

func (s *Settings) listen(own string, port int) netip.AddrPort {
	if own != "" {
		return netip.MustParseAddrPort(own)
	}
	return MustAddrPort(s.Address, port)
}

// SeedAddresses returns where seeds are heard. A seed's own port is that of another listener.
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
