package checker

import (
	"fmt"
	"net/netip"

	"example.org/rattanwood"
)

// CheckTransition checks that next may replace current. If current is nil, any valid document may be published.
//
// Balancers rebuild the upstream sets of earlier versions from the newest document,
// so a new document must not change the history that an earlier one recorded.
func CheckTransition(current, next *rattanwood.Document) error {
	if current == nil {
		return nil
	}
	if next.Version <= current.Version {
		return &rattanwood.StaleVersionError{Got: next.Version, Current: current.Version}
	}
	if next.Oldest < current.Oldest {
		return &rattanwood.HistoryError{Name: "oldest", Detail: "lower than in the document in force"}
	}
	if err := checkPeakShares(current, next); err != nil {
		return err
	}
	after := upstreamsByName(next)
	for name, old := range upstreamsByName(current) {
		if err := checkUpstreamChange(current.Version, name, old, after); err != nil {
			return err
		}
	}
	if err := checkNewUpstreams(current, next); err != nil {
		return err
	}
	return checkBindingChanges(current, next)
}

// serviceUpstream is an upstream with the service that lists it.
type serviceUpstream struct {
	rattanwood.Upstream
	service rattanwood.ServiceID
}

func upstreamsByName(doc *rattanwood.Document) map[string]serviceUpstream {
	all := map[string]serviceUpstream{}
	for _, s := range doc.Services {
		for _, u := range s.Upstreams {
			all[u.Name] = serviceUpstream{Upstream: u, service: s.Name}
		}
	}
	return all
}

// checkUpstreamChange checks what the next document says about an upstream of the current one.
func checkUpstreamChange(version rattanwood.Version, name string, old serviceUpstream, after map[string]serviceUpstream) error {
	u, kept := after[name]
	switch {
	case !kept && old.Until == 0:
		return &rattanwood.HistoryError{Name: name, Detail: "an active upstream must be drained (until set) before it is removed"}
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

// checkNewUpstreams checks that upstreams are not added to versions that have been published.
func checkNewUpstreams(current, next *rattanwood.Document) error {
	before := upstreamsByName(current)
	for name, u := range upstreamsByName(next) {
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

// bindingTable indexes the address bindings of a document. An address may be released and bound again to the
// same service, so the key includes the version since which it is bound.
func bindingTable(doc *rattanwood.Document) map[bindingKey]rattanwood.Binding {
	table := map[bindingKey]rattanwood.Binding{}
	for _, s := range doc.Services {
		for _, b := range s.Addresses {
			table[bindingKey{address: b.Address, service: s.Name, since: b.Since}] = b
		}
	}
	return table
}

// checkBindingChanges checks that addresses are added and released only in versions after the current one.
func checkBindingChanges(current, next *rattanwood.Document) error {
	before, after := bindingTable(current), bindingTable(next)
	for key, old := range before {
		b, kept := after[key]
		switch {
		case !kept && old.Until == 0:
			return &rattanwood.HistoryError{Name: key.address.String(), Detail: "an address must be released (until set) before it is removed"}
		case kept && old.Until != 0 && b.Until != old.Until:
			return &rattanwood.HistoryError{Name: key.address.String(), Detail: "until changed after the address was released"}
		case kept && old.Until == 0 && b.Until != 0 && b.Until <= current.Version:
			return &rattanwood.HistoryError{Name: key.address.String(), Detail: "until of a released address is not above the version in force"}
		}
	}
	for key := range after {
		if _, known := before[key]; !known && key.since <= current.Version {
			return &rattanwood.HistoryError{Name: key.address.String(), Detail: "since of a new address is not above the version in force"}
		}
	}
	return nil
}

// checkPeakShares checks that the highest load-placed share of a service, balance.peak, isn't lowered while
// flows that were placed under it may still run.
func checkPeakShares(current, next *rattanwood.Document) error {
	before := map[rattanwood.ServiceID]rattanwood.Balance{}
	for _, s := range current.Services {
		before[s.Name] = s.Balance
	}
	for _, s := range next.Services {
		old, known := before[s.Name]
		if known && s.Balance.HighestLoadPlacedShare() < old.HighestLoadPlacedShare() && next.Oldest <= current.Version {
			return &rattanwood.HistoryError{Name: string(s.Name), Detail: "balance.peak is lower than before, but flows placed under the earlier value may still run"}
		}
	}
	return nil
}
