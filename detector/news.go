package detector

import (
	"net/netip"
	"slices"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/wire"
)

// The members of a sparse detector hear only their neighbours, so these tell the others of deaths, and
// of members that turn out to be alive. News says when a member was last heard by anyone: of two items
// about the same incarnation, the one with the later time holds, unless the times are so close that
// both are about the last heartbeats before the death. A living member that was declared dead is
// thereby refuted by whoever has heard it since, also after a partition.

const (
	// DefaultMemberRetention is how long a dead member is kept. It is longer than the partitions after
	// which members should find each other by themselves; later ones need a bootstrap address.
	DefaultMemberRetention = 5 * time.Minute
	// newsRounds is the number of rounds of heartbeats with which an item of news is sent. More than one,
	// because datagrams are lost.
	newsRounds = 2
	// maxNews is the number of items sent in one round. They take 2 KB.
	maxNews = 64
	// bootstrapRounds is the period, in rounds of heartbeats, in which a bootstrap address behind which no
	// living member is known gets a heartbeat.
	bootstrapRounds = 10
	// maxChanges is the number of changes kept for TakeChanges.
	maxChanges = 256
)

// Change is a change of a member's state that an operator should see.
type Change struct {
	VM          rattanwood.VMID
	Incarnation rattanwood.Incarnation
	Kind        ChangeKind
	// Silence is the time since any member is known to have heard it.
	Silence time.Duration
	// Told is true if the change follows from news by a peer.
	Told bool
}

// ChangeKind says what a Change is about.
type ChangeKind uint8

const (
	// Died members are in state Dead from now on.
	Died ChangeKind = iota
	// Revived members were in state Dead.
	Revived
	// Forgotten members were in state Dead for Config.MemberRetention.
	Forgotten
)

// String returns the kind as logs show it.
func (k ChangeKind) String() string { return [...]string{"dead", "alive", "forgotten"}[k] }

// TakeChanges returns the changes of a sparse detector's members since the last call.
func (d *Detector) TakeChanges() []Change {
	changes := d.changes
	d.changes = nil
	return changes
}

// recordChange keeps a change for TakeChanges. All but Forgotten are sent to others as news.
func (d *Detector) recordChange(now time.Duration, m *Member, kind ChangeKind, told bool) {
	d.digestStale = true
	d.generation++
	if !d.cfg.Sparse {
		return
	}
	if len(d.changes) < maxChanges {
		d.changes = append(d.changes, Change{VM: m.VM, Incarnation: m.Incarnation, Kind: kind, Silence: now - m.heardAt, Told: told})
	}
	if kind != Forgotten {
		d.spread(m.VM)
	}
}

// spread queues news of a member, or of this process itself.
func (d *Detector) spread(vm rattanwood.VMID) { d.news[vm] = newsRounds }

// HasNews reports whether there is news to send with the next round of heartbeats.
func (d *Detector) HasNews() bool { return len(d.news) > 0 }

// TakeNews returns the news to send with a round of heartbeats, or nil if there is none. A process that
// hears nobody is probably cut off, and says nothing of others.
func (d *Detector) TakeNews(now time.Duration) *wire.Roster {
	if len(d.news) == 0 {
		return nil
	}
	if !slices.ContainsFunc(d.sorted, func(m *Member) bool { return m.State == Alive }) {
		clear(d.news)
		return nil
	}
	r := &wire.Roster{}
	if d.takeItem(d.cfg.Self) {
		r.Members = append(r.Members, &wire.Member{Vm: string(d.cfg.Self), Life: uint64(d.cfg.Incarnation), Age: 1})
	}
	for _, m := range d.sorted {
		if len(r.Members) < maxNews && d.takeItem(m.VM) {
			w := m.entry(now)
			w.Address, w.Centre = "", ""
			r.Members = append(r.Members, w)
		}
	}
	return r
}

// takeItem reports whether there is news of a member, and counts that it is sent once more.
func (d *Detector) takeItem(vm rattanwood.VMID) bool {
	rounds := d.news[vm]
	if rounds <= 1 {
		delete(d.news, vm)
	} else {
		d.news[vm] = rounds - 1
	}
	return rounds > 0
}

// ownEntry returns the entry of this process in a member list.
func (d *Detector) ownEntry() *wire.Member {
	return &wire.Member{Vm: string(d.cfg.Self), Life: uint64(d.cfg.Incarnation), Address: d.cfg.Address.String(), Centre: string(d.cfg.DataCentre)}
}

// entry returns the member's entry in a member list.
func (m *Member) entry(now time.Duration) *wire.Member {
	w := &wire.Member{
		Vm: string(m.VM), Life: uint64(m.Incarnation), Address: m.Address.String(), Centre: string(m.DataCentre), Gone: m.State == Dead,
	}
	if m.heardAt != 0 {
		w.Age = uint64(max(now-m.heardAt, 0)/time.Millisecond) + 1
	}
	return w
}

// ApplyNews applies what the entries of a member list say about the lives of members that are known.
func (d *Detector) ApplyNews(now time.Duration, r *wire.Roster) {
	if !d.cfg.Sparse {
		return
	}
	for _, w := range r.GetMembers() {
		if w.GetAge() == 0 {
			continue
		}
		vm, heard := rattanwood.VMID(w.GetVm()), now-time.Duration(min(w.GetAge()-1, maxAgeMillis))*time.Millisecond
		switch m := d.members[vm]; {
		case vm == d.cfg.Self && w.GetGone():
			d.spread(vm)
		case m != nil && w.GetGone():
			d.applyDeath(now, m, rattanwood.Incarnation(w.GetLife()), heard)
		case m != nil:
			d.applyLife(now, m, rattanwood.Incarnation(w.GetLife()), heard)
		}
	}
}

// applyDeath applies the news that an incarnation of a member was last heard at a time and is dead. The
// incarnation is zero if the sender of the news knows the member only by name.
func (d *Detector) applyDeath(now time.Duration, m *Member, incarnation rattanwood.Incarnation, heard time.Duration) {
	switch {
	case m.State == Dead || incarnation != 0 && incarnation < m.Incarnation:
	case m.heardAt > heard+d.cfg.SuspectAfter:
		// Members that take it for dead learn from this process that it isn't.
		d.spread(m.VM)
	default:
		// The news keeps its time on its way. If it took on that of later signs of life, it would outlast them.
		m.Incarnation, m.heardAt = max(m.Incarnation, incarnation), max(heard, 1)
		d.declareDead(now, m, true)
	}
}

// applyLife applies the news that an incarnation of a member was heard at a time.
func (d *Detector) applyLife(now time.Duration, m *Member, incarnation rattanwood.Incarnation, heard time.Duration) {
	newer := incarnation > m.Incarnation || incarnation == m.Incarnation && heard > m.heardAt+d.cfg.SuspectAfter
	if !newer || heard <= m.heardAt {
		return
	}
	if incarnation > m.Incarnation {
		if m.Leaving {
			m.Leaving = false
			d.generation++
		}
		m.Incarnation, m.inSyncAt, m.lastSeq = incarnation, 0, 0
	}
	m.heardAt, m.heardByHelper = heard, max(m.heardByHelper, heard)
	if m.State == Dead {
		m.State = Listed
		d.recordChange(now, m, Revived, true)
	}
}

// declareDead moves a member to the state Dead.
func (d *Detector) declareDead(now time.Duration, m *Member, told bool) {
	m.State, m.deadAt = Dead, now
	d.recordChange(now, m, Died, told)
}

// AddBootstrap adds the address of a bootstrap member, whose name isn't known yet. It is never forgotten.
func (d *Detector) AddBootstrap(name rattanwood.VMID, address netip.AddrPort) {
	d.Add(name, address, "")
	if m := d.members[name]; m != nil {
		m.bootstrap = true
	}
}

// forgetMembers removes the members that have been dead, or that have named no data centre, for
// Config.MemberRetention.
func (d *Detector) forgetMembers(now time.Duration) {
	d.sorted = slices.DeleteFunc(d.sorted, func(m *Member) bool {
		if m.State != Dead && m.DataCentre != "" {
			return false
		}
		if m.deadAt == 0 {
			// This is the first round with a member that has named no data centre.
			m.deadAt = now
		}
		if m.bootstrap || now-m.deadAt < d.cfg.MemberRetention {
			return false
		}
		delete(d.members, m.VM)
		delete(d.news, m.VM)
		d.recordChange(now, m, Forgotten, false)
		return true
	})
}

// Bootstrap returns the bootstrap members.
func (d *Detector) Bootstrap() []*Member {
	var out []*Member
	for _, m := range d.sorted {
		if m.bootstrap {
			out = append(out, m)
		}
	}
	return out
}

// unclaimedBootstrap returns a random bootstrap address behind which no living member is known, or nil. Halves of
// a fleet that were partitioned for longer than the retention time find each other by such an address.
func (d *Detector) unclaimedBootstrap() *Member {
	claimed := map[netip.AddrPort]bool{d.cfg.Address: true}
	for _, m := range d.sorted {
		if !m.bootstrap && m.State != Dead && m.DataCentre != "" {
			claimed[m.Address] = true
		}
	}
	bootstrap := slices.DeleteFunc(d.Bootstrap(), func(m *Member) bool { return claimed[m.Address] || !m.distant })
	if len(bootstrap) == 0 {
		return nil
	}
	return bootstrap[d.random.IntN(len(bootstrap))]
}
