package detector

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/ranker"
	"example.org/rattanwood/wire"
)

// Member is a row of the table of members.
type Member struct {
	VM          rattanwood.VMID
	Address     netip.AddrPort
	DataCentre  rattanwood.DataCentre
	Incarnation rattanwood.Incarnation
	State       State
	Leaving     bool
	// PlatformUnreachable members can't reach the platform.
	PlatformUnreachable bool
	// Version is the newest document version that the member is known to have.
	Version rattanwood.Version
	// Seed is the member's in every ranking.
	Seed uint64

	// chosen members are this one's neighbours, and distant ones get no heartbeats; only a
	// sparse detector has either.
	chosen, distant bool
	// wanted is when the member last beat this one as its neighbour.
	wanted    time.Duration
	heard     time.Duration
	vouched   time.Duration
	contacted time.Duration
	// proved is the time since when the member is known to know no more than this one.
	proved time.Duration
	// seq and received belong to the member's newest heartbeat.
	seq      uint64
	received time.Duration
}

// Add records a member that the platform or a peer names.
func (d *Detector) Add(vm rattanwood.VMID, address netip.AddrPort, centre rattanwood.DataCentre) {
	if vm == d.cfg.Self || vm == "" || !address.IsValid() {
		return
	}
	m, known := d.rows[vm]
	if !known {
		m = &Member{VM: vm, DataCentre: centre, Seed: ranker.Seed(string(vm))}
		d.stale = true
		d.rows[vm] = m
		d.order = append(d.order, m)
		slices.SortFunc(d.order, func(a, b *Member) int { return strings.Compare(string(a.VM), string(b.VM)) })
	}
	if m.State != Alive {
		m.Address = address
	}
	d.locate(m, centre)
}

// locate records where a member is, if that is said.
func (d *Detector) locate(m *Member, centre rattanwood.DataCentre) {
	if centre != "" && m.DataCentre != centre {
		m.DataCentre = centre
		d.stale = true
	}
}

// MergeMemberList takes in the members that a peer names and reports whether one of them is new; entries without
// an address are passed over.
func (d *Detector) MergeMemberList(r *wire.Roster) (news bool) {
	before := len(d.order)
	for _, w := range r.GetMembers() {
		address, err := netip.ParseAddrPort(w.GetAddress())
		if err != nil {
			continue
		}
		d.Add(rattanwood.VMID(w.GetVm()), address, rattanwood.DataCentre(w.GetCentre()))
	}
	return len(d.order) > before
}

// SetVMs takes in the platform's list of VMs; members that are dead and not listed are forgotten.
func (d *Detector) SetVMs(vms []rattanwood.VM) {
	listed := map[rattanwood.VMID]bool{}
	for _, vm := range vms {
		listed[vm.Name] = true
		d.Add(vm.Name, vm.Address, vm.DataCentre)
	}
	d.order = slices.DeleteFunc(d.order, func(m *Member) bool {
		forget := !listed[m.VM] && (m.State == Dead || m.State == Listed)
		if forget {
			delete(d.rows, m.VM)
		}
		return forget
	})
}

// Members returns all rows in the order of their names.
func (d *Detector) Members() []*Member { return d.order }

// Member returns the row of a VM.
func (d *Detector) Member(vm rattanwood.VMID) (*Member, bool) {
	m, ok := d.rows[vm]
	return m, ok
}

// digest is equal on two members that believe the same members alive.
func (d *Detector) digest() uint64 {
	if !d.stale {
		return d.roster
	}
	sum := d.digestOf(ranker.Seed(string(d.cfg.Self)), d.cfg.Incarnation)
	for _, m := range d.order {
		if d.enrolled(m) {
			sum ^= d.digestOf(m.Seed, m.Incarnation)
		}
	}
	d.roster, d.stale = sum, false
	return sum
}

// digestOf is a member's part of the digest.
func (d *Detector) digestOf(seed uint64, life rattanwood.Incarnation) uint64 {
	if d.cfg.Sparse {
		// Who isn't a neighbour doesn't learn of a new life.
		life = 0
	}
	return ranker.Score(seed, uint64(life))
}

// enrolled reports whether the roster names a member. That of a sparse detector names the dead as well, because
// only their neighbours know, and rosters must become equal.
func (d *Detector) enrolled(m *Member) bool {
	if d.cfg.Sparse {
		return m.DataCentre != ""
	}
	return m.State == Alive
}

const (
	// partMost is the number of members in a part of the table: their hashes take 2 KB of a Pull.
	partMost = 512
	// namesMost is the number of members that a Roster names to a Pull: 4 KB, so that a seed
	// can answer sixty members of a fleet that starts from what its budget saves up.
	namesMost = 64
)

// BuildPull asks for the members that this one doesn't know, in one part of the table at a time.
func (d *Detector) BuildPull() *wire.Pull {
	if !d.cfg.Sparse {
		return &wire.Pull{Roster: true}
	}
	parts := 1 + len(d.order)/partMost
	p := &wire.Pull{Roster: true, Parts: uint32(parts), Part: uint32(d.random.IntN(parts))}
	for _, m := range d.order {
		if d.enrolled(m) && inPart(m.Seed, p) {
			p.Known = append(p.Known, uint32(m.Seed))
		}
	}
	return p
}

// inPart divides the members by the upper half of their hashes, as Known holds the lower one.
func inPart(seed uint64, p *wire.Pull) bool {
	return uint32(seed>>32)%p.GetParts() == p.GetPart()
}

// BuildMemberList builds the answer to a Pull, with this member among those named.
func (d *Detector) BuildMemberList(p *wire.Pull) *wire.Roster {
	named := make([]*Member, 0, len(d.order))
	for _, m := range d.order {
		if d.enrolled(m) {
			named = append(named, m)
		}
	}
	if p.GetParts() > 0 {
		named = d.missing(named, p)
	}
	r := &wire.Roster{Members: []*wire.Member{{
		Vm: string(d.cfg.Self), Life: uint64(d.cfg.Incarnation),
		Address: d.cfg.Address.String(), Centre: string(d.cfg.DataCentre),
	}}}
	for _, m := range named {
		r.Members = append(r.Members, &wire.Member{
			Vm: string(m.VM), Life: uint64(m.Incarnation),
			Address: m.Address.String(), Centre: string(m.DataCentre),
		})
	}
	return r
}

// missing returns those members that the sender of a Pull doesn't know. Where they are too many, they are drawn at
// random: members that were told different ones tell each other the rest.
func (d *Detector) missing(members []*Member, p *wire.Pull) []*Member {
	known := make(map[uint32]bool, len(p.GetKnown()))
	for _, hash := range p.GetKnown() {
		known[hash] = true
	}
	missing := slices.DeleteFunc(members, func(m *Member) bool { return !inPart(m.Seed, p) || known[uint32(m.Seed)] })
	if len(missing) > namesMost {
		d.random.Shuffle(len(missing), func(i, j int) { missing[i], missing[j] = missing[j], missing[i] })
		missing = missing[:namesMost]
	}
	return missing
}
