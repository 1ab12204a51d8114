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

// Member is a balancer in the member list and what is known of it.
type Member struct {
	VM          rattanwood.VMID
	Address     netip.AddrPort
	DataCentre  rattanwood.DataCentre
	Incarnation rattanwood.Incarnation
	State       State
	Leaving     bool
	// PlatformUnreachable is set while the member can't reach the platform.
	PlatformUnreachable bool
	// Version is the newest document version that the member is known to have.
	Version rattanwood.Version
	// Seed is the hash of the member's name, which every rendezvous ranking uses.
	Seed uint64

	// neighbour is set if this process chose the member as a neighbour, and distant if the member gets
	// no regular heartbeats. Only a sparse detector sets either.
	neighbour, distant bool
	// lastAsNeighbour is when the member last sent a heartbeat because it has this process as a
	// neighbour.
	lastAsNeighbour time.Duration
	// lastHeard is when its last heartbeat arrived, or when it became a neighbour without having been
	// heard. heardByHelper is when a probe helper last heard it. Both are moved on by the length of
	// this process's pauses.
	lastHeard     time.Duration
	heardByHelper time.Duration
	// lastContacted is when the last heartbeat was sent to it.
	lastContacted time.Duration
	// inSyncAt is the latest time for which the member is proved to have known no newer document and
	// no other health states than this process.
	inSyncAt time.Duration
	// lastSeq is the number of the member's newest heartbeat, and lastSeqAt is when it arrived.
	lastSeq   uint64
	lastSeqAt time.Duration
	// heardAt is the latest time at which any member is known to have heard it; zero for never. deadAt is when it
	// became Dead here. Only a sparse detector uses them.
	heardAt, deadAt time.Duration
	// bootstrap is set for the address of a bootstrap member.
	bootstrap bool
}

// Add adds a member that the platform or a peer names, or updates its address and data centre. The
// address of a member that is alive stays.
func (d *Detector) Add(vm rattanwood.VMID, address netip.AddrPort, centre rattanwood.DataCentre) {
	if vm == d.cfg.Self || vm == "" || !address.IsValid() {
		return
	}
	m, known := d.members[vm]
	if !known {
		m = &Member{VM: vm, DataCentre: centre, Seed: ranker.Seed(string(vm))}
		d.digestStale = true
		d.generation++
		d.members[vm] = m
		i, _ := slices.BinarySearchFunc(d.sorted, vm, func(m *Member, vm rattanwood.VMID) int { return strings.Compare(string(m.VM), string(vm)) })
		d.sorted = slices.Insert(d.sorted, i, m)
	}
	if m.State != Alive {
		m.Address = address
	}
	d.setDataCentre(m, centre)
}

// setDataCentre records the data centre of a member, unless centre is empty.
func (d *Detector) setDataCentre(m *Member, centre rattanwood.DataCentre) {
	if centre != "" && m.DataCentre != centre {
		m.DataCentre = centre
		d.digestStale = true
		d.generation++
	}
}

// MergeMemberList adds the members that a peer names and reports whether one of them is new. Entries
// without a valid address and those of dead members are skipped.
func (d *Detector) MergeMemberList(r *wire.Roster) (added bool) {
	before := len(d.sorted)
	for _, w := range r.GetMembers() {
		address, err := netip.ParseAddrPort(w.GetAddress())
		if err != nil || w.GetGone() {
			continue
		}
		d.Add(rattanwood.VMID(w.GetVm()), address, rattanwood.DataCentre(w.GetCentre()))
	}
	return len(d.sorted) > before
}

// SetVMs adds the VMs that the platform lists. Members that it doesn't list are removed if they are
// in state Dead or Listed.
func (d *Detector) SetVMs(vms []rattanwood.VM) {
	listed := map[rattanwood.VMID]bool{}
	for _, vm := range vms {
		listed[vm.Name] = true
		d.Add(vm.Name, vm.Address, vm.DataCentre)
	}
	d.sorted = slices.DeleteFunc(d.sorted, func(m *Member) bool {
		forget := !listed[m.VM] && (m.State == Dead || m.State == Listed)
		if forget {
			delete(d.members, m.VM)
			d.generation++
		}
		return forget
	})
}

// Generation returns a number that grows whenever a member joins, dies, lives again, begins or stops to
// leave, is forgotten, or names another data centre. It is at least one.
func (d *Detector) Generation() uint64 { return d.generation }

// Members returns all other members in the order of their names.
func (d *Detector) Members() []*Member { return d.sorted }

// Member returns the member on a VM, and whether there is one.
func (d *Detector) Member(vm rattanwood.VMID) (*Member, bool) {
	m, ok := d.members[vm]
	return m, ok
}

// digest returns a hash of the member list that is equal on two members with the same list.
func (d *Detector) digest() uint64 {
	if !d.digestStale {
		return d.cachedDigest
	}
	sum := d.memberHash(ranker.Seed(string(d.cfg.Self)), d.cfg.Incarnation)
	for _, m := range d.sorted {
		if d.inMemberList(m) {
			sum ^= d.memberHash(m.Seed, m.Incarnation)
		}
	}
	d.cachedDigest, d.digestStale = sum, false
	return sum
}

// memberHash returns a member's part of the digest.
func (d *Detector) memberHash(seed uint64, incarnation rattanwood.Incarnation) uint64 {
	if d.cfg.Sparse {
		// Only its neighbours learn of a member's new incarnation.
		incarnation = 0
	}
	return ranker.Score(seed, uint64(incarnation))
}

// inMemberList reports whether the member list that is sent to peers names a member. That of a sparse
// detector names all that aren't known to be dead, also those that this process doesn't hear.
func (d *Detector) inMemberList(m *Member) bool {
	if d.cfg.Sparse {
		return m.DataCentre != "" && m.State != Dead
	}
	return m.State == Alive
}

const (
	// maxPartMembers is the number of members in one part of the member list: their hashes take 2 KB
	// of a Pull.
	maxPartMembers = 512
	// maxNamedMembers is the number of members named in the answer to a Pull. They take 4 KB, so that
	// a bootstrap member can answer sixty members that start at once from the burst of its control
	// budget.
	maxNamedMembers = 64
)

// BuildPull builds a request for the member list of a peer. A sparse detector asks only for members
// that it doesn't know, in one random part of the list at a time.
func (d *Detector) BuildPull() *wire.Pull {
	if !d.cfg.Sparse {
		return &wire.Pull{Roster: true}
	}
	parts := 1 + len(d.sorted)/maxPartMembers
	p := &wire.Pull{Roster: true, Parts: uint32(parts), Part: uint32(d.random.IntN(parts))}
	for _, m := range d.sorted {
		if d.inMemberList(m) && inPart(m.Seed, p) {
			p.Known = append(p.Known, uint32(m.Seed))
		}
	}
	return p
}

// inPart reports whether a member belongs to the requested part. Parts divide members by the upper
// half of their hashes, because Known holds the lower half.
func inPart(seed uint64, p *wire.Pull) bool {
	return uint32(seed>>32)%p.GetParts() == p.GetPart()
}

// BuildMemberList builds the answer to a Pull. It names this process as well, and the dead members that
// the sender of the Pull takes for alive. It reports whether the sender of the Pull then knows all members.
func (d *Detector) BuildMemberList(now time.Duration, p *wire.Pull) (r *wire.Roster, whole bool) {
	named := make([]*Member, 0, len(d.sorted))
	for _, m := range d.sorted {
		if d.inMemberList(m) {
			named = append(named, m)
		}
	}
	whole = p.GetParts() <= 1
	if p.GetParts() > 0 {
		var all bool
		named, all = d.unknownToSender(named, p)
		whole = whole && all
	}
	r = &wire.Roster{Members: []*wire.Member{d.ownEntry()}}
	for _, m := range named {
		r.Members = append(r.Members, m.entry(now))
	}
	return r, whole
}

// unknownToSender returns the members that the sender of a Pull doesn't know, and the dead ones among those
// that it does. If there are more than fit, it draws some at random and reports false: peers that received different
// ones exchange the rest by gossip.
func (d *Detector) unknownToSender(members []*Member, p *wire.Pull) (missing []*Member, all bool) {
	known := make(map[uint32]bool, len(p.GetKnown()))
	for _, hash := range p.GetKnown() {
		known[hash] = true
	}
	missing = slices.DeleteFunc(members, func(m *Member) bool { return !inPart(m.Seed, p) || known[uint32(m.Seed)] })
	for _, m := range d.sorted {
		if m.State == Dead && inPart(m.Seed, p) && known[uint32(m.Seed)] {
			missing = append(missing, m)
		}
	}
	if len(missing) > maxNamedMembers {
		d.random.Shuffle(len(missing), func(i, j int) { missing[i], missing[j] = missing[j], missing[i] })
		return missing[:maxNamedMembers], false
	}
	return missing, true
}
