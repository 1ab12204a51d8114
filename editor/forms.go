package editor

import (
	"slices"

	"example.org/rattanwood"
	"example.org/rattanwood/checker"
)

func createService(doc *rattanwood.Document, v inputParser) error {
	address, err := v.address("address")
	if err != nil {
		return err
	}
	name := rattanwood.ServiceID(v.inputs["service"])
	for _, s := range doc.Services {
		if s.Name == name {
			return v.fieldError("service", "a name that no other service has")
		}
	}
	doc.Services = append(doc.Services, rattanwood.Service{
		Name:      name,
		Addresses: []rattanwood.Binding{{Address: address, Since: doc.Version}},
		Upstreams: []rattanwood.Upstream{},
		Balance:   defaultBalance,
		Limits:    defaultLimits,
	})
	return nil
}

func bindAddress(doc *rattanwood.Document, v inputParser) error {
	s, address, err := v.serviceAndAddress(doc)
	if err != nil {
		return err
	}
	s.Addresses = append(s.Addresses, rattanwood.Binding{Address: address, Since: doc.Version})
	return nil
}

func releaseAddress(doc *rattanwood.Document, v inputParser) error {
	s, address, err := v.serviceAndAddress(doc)
	if err != nil {
		return err
	}
	for i := range s.Addresses {
		if s.Addresses[i].Address == address && s.Addresses[i].Until == 0 {
			s.Addresses[i].Until = doc.Version
			return nil
		}
	}
	return v.fieldError("address", "an address that is bound to the service")
}

func addUpstream(doc *rattanwood.Document, v inputParser) error {
	s, err := v.service(doc)
	if err != nil {
		return err
	}
	u := rattanwood.Upstream{Name: v.inputs["upstream"], Since: doc.Version}
	if u.Tunnel, err = v.address("tunnel"); err != nil {
		return err
	}
	if u.Web, err = v.address("web"); err != nil {
		return err
	}
	if u.Slots, err = v.integer("slots", 1, checker.MaxSlots); err != nil {
		return err
	}
	s.Upstreams = append(s.Upstreams, u)
	return nil
}

func drainUpstream(doc *rattanwood.Document, v inputParser) error {
	_, u, _, err := v.serviceAndUpstream(doc)
	if err != nil {
		return err
	}
	if u.Until != 0 {
		return v.fieldError("upstream", "an upstream that isn't drained yet")
	}
	u.Until = doc.Version
	return nil
}

func dropUpstream(doc *rattanwood.Document, v inputParser) error {
	s, u, i, err := v.serviceAndUpstream(doc)
	if err != nil {
		return err
	}
	if u.Until == 0 {
		return v.fieldError("upstream", "an upstream that was drained by an earlier document")
	}
	s.Upstreams = slices.Delete(s.Upstreams, i, i+1)
	return nil
}

func setLimits(doc *rattanwood.Document, v inputParser) error {
	s, err := v.service(doc)
	if err != nil {
		return err
	}
	var l rattanwood.Limits
	if l.MaxQueueLength, err = v.integer("queue", 0, checker.MaxSlots); err != nil {
		return err
	}
	if l.MaxWaitMillis, err = v.integer("wait", 0, checker.MaxWaitMillis); err != nil {
		return err
	}
	if l.TimeoutMillis, err = v.integer("deadline", 1, checker.MaxWaitMillis); err != nil {
		return err
	}
	if l.RetryBudget, err = v.fraction("retry"); err != nil {
		return err
	}
	s.Limits = l
	return nil
}

func setBalance(doc *rattanwood.Document, v inputParser) error {
	s, err := v.service(doc)
	if err != nil {
		return err
	}
	b := rattanwood.Balance{PeakLoadPlacedShare: s.Balance.HighestLoadPlacedShare()}
	if b.LoadPlacedShare, err = v.fraction("free"); err != nil {
		return err
	}
	if b.ExcessLoad, err = v.fraction("excess"); err != nil {
		return err
	}
	b.PeakLoadPlacedShare = max(b.PeakLoadPlacedShare, b.LoadPlacedShare)
	s.Balance = b
	return nil
}

// forgetVersions sets the oldest version under which flows that still run may have begun. It removes the
// addresses and upstreams that ended by that version. If no earlier version is left, it also lowers each
// service's highest load-placed share to the current one.
func forgetVersions(doc *rattanwood.Document, v inputParser) error {
	oldest, err := v.integer("oldest", int(doc.Oldest), int(doc.Version))
	if err != nil {
		return err
	}
	doc.Oldest = rattanwood.Version(oldest)
	for i := range doc.Services {
		s := &doc.Services[i]
		s.Addresses = slices.DeleteFunc(s.Addresses, func(b rattanwood.Binding) bool { return endedBy(b.Until, doc.Oldest) })
		s.Upstreams = slices.DeleteFunc(s.Upstreams, func(u rattanwood.Upstream) bool { return endedBy(u.Until, doc.Oldest) })
		if doc.Oldest == doc.Version {
			s.Balance.PeakLoadPlacedShare = s.Balance.LoadPlacedShare
		}
	}
	return nil
}

// endedBy reports whether an entry with the given until version had ended by version oldest.
func endedBy(until, oldest rattanwood.Version) bool {
	return until != 0 && until <= oldest
}
