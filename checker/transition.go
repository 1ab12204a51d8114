package checker

import (
	"fmt"
	"net/netip"

	"example.org/rattanwood"
)

// CheckTransition checks that next may follow current; a nil current allows any valid document.
//
// Balancers read the sets of earlier versions from the newest document, so it
// must not rewrite what an earlier one said about them.
func CheckTransition(current, next *rattanwood.Document) error {
	if current == nil {
		return nil
	}
	if next.Version <= current.Version {
		return &rattanwood.StaleVersionError{Got: next.Version, Current: current.Version}
	}
	if next.Oldest < current.Oldest {
		return &rattanwood.HistoryError{Name: "oldest", Detail: "went down"}
	}
	if err := peaks(current, next); err != nil {
		return err
	}
	after := upstreams(next)
	for id, old := range upstreams(current) {
		if err := successor(current.Version, id, old, after); err != nil {
			return err
		}
	}
	if err := newcomers(current, next); err != nil {
		return err
	}
	return bindings(current, next)
}

type located struct {
	rattanwood.Upstream
	service rattanwood.ServiceID
}

func upstreams(doc *rattanwood.Document) map[string]located {
	all := map[string]located{}
	for _, s := range doc.Services {
		for _, u := range s.Upstreams {
			all[u.Name] = located{Upstream: u, service: s.Name}
		}
	}
	return all
}

func successor(version rattanwood.Version, name string, old located, after map[string]located) error {
	u, kept := after[name]
	switch {
	case !kept && old.Until == 0:
		return &rattanwood.HistoryError{Name: name, Detail: "an active upstream must drain (until) before it is dropped"}
	case !kept:
		return nil
	case u.service != old.service:
		return &rattanwood.DuplicateUpstreamError{Upstream: name, First: old.service, Second: u.service}
	case u.Since != old.Since:
		return &rattanwood.HistoryError{Name: name, Detail: fmt.Sprintf("since changed from %d to %d", old.Since, u.Since)}
	case old.Until != 0 && u.Until != old.Until:
		return &rattanwood.HistoryError{Name: name, Detail: fmt.Sprintf("until changed from %d to %d", old.Until, u.Until)}
	case old.Until == 0 && u.Until != 0 && u.Until <= version:
		return &rattanwood.HistoryError{Name: name, Detail: fmt.Sprintf("until %d is not above version %d in force", u.Until, version)}
	case u.Tunnel != old.Tunnel:
		return &rattanwood.HistoryError{Name: name, Detail: "tunnel changed; add an upstream under another name instead"}
	}
	return nil
}

func newcomers(current, next *rattanwood.Document) error {
	before := upstreams(current)
	for name, u := range upstreams(next) {
		if _, known := before[name]; known {
			continue
		}
		if u.Since <= current.Version {
			return &rattanwood.HistoryError{Name: name, Detail: fmt.Sprintf("since %d of a new upstream is not above version %d in force", u.Since, current.Version)}
		}
	}
	return nil
}

type bindingKey struct {
	address netip.AddrPort
	service rattanwood.ServiceID
	since   rattanwood.Version
}

func bindingTable(doc *rattanwood.Document) map[bindingKey]rattanwood.Binding {
	table := map[bindingKey]rattanwood.Binding{}
	for _, s := range doc.Services {
		for _, b := range s.Addresses {
			table[bindingKey{address: b.Address, service: s.Name, since: b.Since}] = b
		}
	}
	return table
}

func bindings(current, next *rattanwood.Document) error {
	before, after := bindingTable(current), bindingTable(next)
	for key, old := range before {
		b, kept := after[key]
		switch {
		case !kept && old.Until == 0:
			return &rattanwood.HistoryError{Name: key.address.String(), Detail: "an address must be released (until) before it is dropped"}
		case kept && old.Until != 0 && b.Until != old.Until:
			return &rattanwood.HistoryError{Name: key.address.String(), Detail: "until changed after the release"}
		case kept && old.Until == 0 && b.Until != 0 && b.Until <= current.Version:
			return &rattanwood.HistoryError{Name: key.address.String(), Detail: "the release lies before the version in force"}
		}
	}
	for key := range after {
		if _, known := before[key]; !known && key.since <= current.Version {
			return &rattanwood.HistoryError{Name: key.address.String(), Detail: "since of a new address is not above the version in force"}
		}
	}
	return nil
}

// peaks checks that a free share stays on record while flows placed under it may run.
func peaks(current, next *rattanwood.Document) error {
	before := map[rattanwood.ServiceID]rattanwood.Balance{}
	for _, s := range current.Services {
		before[s.Name] = s.Balance
	}
	for _, s := range next.Services {
		old, known := before[s.Name]
		if known && s.Balance.HighestLoadPlacedShare() < old.HighestLoadPlacedShare() && next.Oldest <= current.Version {
			return &rattanwood.HistoryError{Name: string(s.Name), Detail: "balance.peak went down while flows placed under it may run"}
		}
	}
	return nil
}
