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
	VM       string   `json:"vm"`
	Centre   string   `json:"centre"`
	Address  string   `json:"address"`
	Platform string   `json:"platform"`
	Affinity Affinity `json:"affinity"`
	Seeds    []string `json:"seeds"`
	Ports    Ports    `json:"ports"`
	Listen   Listen   `json:"listen"`
	Control  Control  `json:"control"`
	Times    Times    `json:"times"`
	Log      string   `json:"log"`
}

// Affinity is the way in which flows stay on their upstreams.
type Affinity string

// The ways.
const (
	// Home remembers flows at home balancers; packets travel in Geneve.
	Home Affinity = "home"
	// Tag lets packets carry their flow's upstream.
	Tag Affinity = "tag"
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
	Beat    int `json:"beat"`
	Suspect int `json:"suspect"`
	Dead    int `json:"dead"`
	Hold    int `json:"hold"`
	Gap     int `json:"gap"`
	Refresh int `json:"refresh"`
	Keep    int `json:"keep"`
	Idle    int `json:"idle"`
	Memory  int `json:"memory"`
	Stop    int `json:"stop"`
	Probe   int `json:"probe"`
	List    int `json:"list"`
	// Apply is the time in which a change must be in force with the affinity Tag.
	Apply int `json:"apply"`
	// Grace is the time in seconds between the order to stop and the end by force, with the affinity Tag.
	Grace float64 `json:"grace"`
}

// Default returns the settings of a file that leaves everything out that may be left out.
func Default() Settings {
	return Settings{
		Affinity: Home,
		Ports:    Ports{Peer: 4790, Tunnel: 6081, Web: 8080},
		Control:  Control{Rate: 4096, Burst: 8192},
		Times: Times{
			Beat: 1000, Suspect: 2500, Dead: 5000, Hold: 3000, Gap: 1000,
			Refresh: 60_000, Keep: 60_000, Idle: 14_400_000, Memory: 600_000,
			Stop: 20_000, Probe: 500, List: 5000,
			Apply: 3000, Grace: 6,
		},
		Log: "info",
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
	case !namePattern.MatchString(s.Centre):
		return fail("centre", s.Centre, name)
	case !isIP(s.Address):
		return fail("address", s.Address, "an IP number")
	case !isAddress(s.Platform):
		return fail("platform", s.Platform, "an IP number and a port")
	case !slices.Contains(levels, s.Log):
		return fail("log", s.Log, "debug, info, warn or error")
	}
	for i, seed := range s.Seeds {
		if !isIP(seed) && !isAddress(seed) {
			return fail(fmt.Sprintf("seeds[%d]", i), seed, "an IP number, with or without a port")
		}
	}
	if s.Affinity != Home && s.Affinity != Tag {
		return fail("affinity", string(s.Affinity), "home or tag")
	}
	for field, value := range map[string]string{"listen.tunnel": s.Listen.Tunnel, "listen.web": s.Listen.Web} {
		if value != "" && !isAddress(value) {
			return fail(field, value, "an IP number and a port")
		}
	}
	if s.Times.Grace < 1 || s.Times.Grace > 3600 {
		return fail("times.grace", strconv.FormatFloat(s.Times.Grace, 'g', -1, 64), "1 to 3600")
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
		{"times.beat", t.Beat, 50, 10_000},
		{"times.suspect", t.Suspect, 2 * t.Beat, 60_000},
		{"times.dead", t.Dead, t.Suspect + t.Beat, 120_000},
		{"times.hold", t.Hold, 2 * t.Beat, 4000},
		{"times.gap", t.Gap, 200, t.Hold},
		{"times.refresh", t.Refresh, 2000, hour},
		{"times.keep", t.Keep, 1000, hour},
		{"times.idle", t.Idle, t.Keep, 48 * hour},
		{"times.memory", t.Memory, 1000, 24 * hour},
		{"times.stop", t.Stop, t.Dead, hour},
		{"times.probe", t.Probe, 50, 60_000},
		{"times.list", t.List, 100, 60_000},
		{"times.apply", t.Apply, 500, 60_000},
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

// At returns one of the balancer's own ports on an IP number that was checked.
func At(ip string, port int) netip.AddrPort {
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
func (s *Settings) PeerAddress() netip.AddrPort { return At(s.Address, s.Ports.Peer) }

func (s *Settings) listen(own string, port int) netip.AddrPort {
	if own != "" {
		return netip.MustParseAddrPort(own)
	}
	return At(s.Address, port)
}

// SeedAddresses returns where seeds are heard. A seed's own port is that of another listener.
func (s *Settings) SeedAddresses() []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		if a, err := netip.ParseAddrPort(seed); err == nil {
			seed = a.Addr().String()
		}
		out = append(out, At(seed, s.Ports.Peer))
	}
	return out
}
