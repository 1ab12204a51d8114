package router

import (
	"net/netip"
	"time"

	"example.org/rattanwood"
)

// role says how this balancer knows a flow.
type role uint8

const (
	// cached flows come from another balancer's answer, or are stateless ones on their hashed
	// upstream.
	cached role = iota
	// owned flows have, or had, this balancer as their owner.
	owned
	// replica flows were replicated by their owner in case that it fails.
	replica
)

// timestampUnit is the resolution of the times in entries, which keeps them in 32 bits.
const timestampUnit = 100 * time.Millisecond

// flowEntry is the entry of one flow in the table, 32 bytes long.
type flowEntry struct {
	flow     rattanwood.FlowID
	upstream rattanwood.UpstreamID
	// lastUpdate is the time of the last packet of an owned flow, of the last answer for a cached
	// one, or at which the sender of a replica was last seen live, in units of timestampUnit.
	lastUpdate uint32
	// created is the time at which the entry was added or the flow was placed, in units of
	// timestampUnit.
	created uint32
	// addressIndex is the index of the service's address in table.addresses; zero is unknown.
	addressIndex uint32
	// peerIndex is the index in replicationState.peers of the balancer that holds the replica of an
	// owned flow, or that sent this replica; zero is none.
	peerIndex uint16
	// checkedEpoch is the router's epoch in which the flow was last found to be replicated, or not
	// to need it.
	checkedEpoch uint8
	role         role
	// closed is set once the owner has seen a FIN or RST.
	closed bool
	// stateless is set for flows whose first packets look like later ones, as in UDP.
	stateless bool
	// needsRepeatedRefresh is set until another refresh packet has gone to the flow's owner, whoever
	// that is by then.
	needsRepeatedRefresh bool
	// queued is set while the flow waits for replication, until its batch is acknowledged.
	queued bool
}

// table holds the flows in a slice of entries, which a sweep visits in order, with an index by flow
// id.
type table struct {
	index   map[rattanwood.FlowID]int32
	entries []flowEntry
	// addresses are the service addresses that entries refer to by index; index zero is unused.
	addresses      []netip.AddrPort
	addressIndexes map[netip.AddrPort]uint32
}

func newTable() table {
	return table{
		index:          map[rattanwood.FlowID]int32{},
		addresses:      make([]netip.AddrPort, 1),
		addressIndexes: map[netip.AddrPort]uint32{},
	}
}

// find returns the entry of a flow, or nil. The pointer is valid until an entry is added or removed.
func (t *table) find(flow rattanwood.FlowID) *flowEntry {
	i, ok := t.index[flow]
	if !ok {
		return nil
	}
	return &t.entries[i]
}

// findOrAdd returns the entry of a flow, and adds a cached one if there is none.
func (t *table) findOrAdd(now time.Duration, flow rattanwood.FlowID) *flowEntry {
	if f := t.find(flow); f != nil {
		return f
	}
	t.index[flow] = int32(len(t.entries))
	t.entries = append(t.entries, flowEntry{flow: flow, created: toTimestamp(now)})
	return &t.entries[len(t.entries)-1]
}

// remove deletes entry i and moves the last entry to its place.
func (t *table) remove(i int) {
	last := len(t.entries) - 1
	delete(t.index, t.entries[i].flow)
	if i != last {
		t.entries[i] = t.entries[last]
		t.index[t.entries[i].flow] = int32(i)
	}
	t.entries = t.entries[:last]
}

// indexOfAddress returns the index of a service address, and adds the address if it is new.
func (t *table) indexOfAddress(a netip.AddrPort) uint32 {
	n, ok := t.addressIndexes[a]
	if !ok {
		n = uint32(len(t.addresses))
		t.addresses = append(t.addresses, a)
		t.addressIndexes[a] = n
	}
	return n
}

// toTimestamp converts a time since the process started to units of timestampUnit.
func toTimestamp(now time.Duration) uint32 { return uint32(now / timestampUnit) }

// age returns the time since the entry's last update.
func (f *flowEntry) age(now time.Duration) time.Duration {
	return now - time.Duration(f.lastUpdate)*timestampUnit
}
