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

// tickLength is the resolution of the times in rows, which keeps them in 32 bits.
const tickLength = 100 * time.Millisecond

// row is the entry of one flow, 32 bytes long.
type row struct {
	flow     rattanwood.FlowID
	upstream rattanwood.UpstreamID
	// lastUpdate is the time of an owned flow's last packet, of the last answer for a cached flow,
	// or of the last check of a replica while its sender was live, in ticks.
	lastUpdate uint32
	// created is the time at which the row was added or the flow was placed, in ticks.
	created uint32
	// addressIndex is the place of the service's address in table.addresses; zero is unknown.
	addressIndex uint32
	// peerIndex is the number of the peer that holds the replica of an owned flow, or that sent a
	// replica; zero is none.
	peerIndex uint16
	// checkedEpoch is the router's epoch in which the flow was last found to be replicated, or not
	// to need it.
	checkedEpoch uint8
	role         role
	// closed is set once the owner has seen a FIN or RST.
	closed bool
	// stateless is set for flows whose first packets look like later ones, as in UDP.
	stateless bool
	// needsSecondRefresh is set until a second refresh packet has gone to the flow's owner, whoever
	// that is by then.
	needsSecondRefresh bool
	// queued is set while the flow waits for replication, until its batch is acknowledged.
	queued bool
}

// table holds the flows in a slice of rows, which a sweep visits in order, with an index by flow
// id.
type table struct {
	index map[rattanwood.FlowID]int32
	rows  []row
	// addresses are the service addresses that rows refer to by index; index zero is unused.
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

// find returns the row of a flow, or nil. The pointer is valid until a row is added or removed.
func (t *table) find(flow rattanwood.FlowID) *row {
	i, ok := t.index[flow]
	if !ok {
		return nil
	}
	return &t.rows[i]
}

// findOrAdd returns the row of a flow, and adds a cached one if there is none.
func (t *table) findOrAdd(now time.Duration, flow rattanwood.FlowID) *row {
	if r := t.find(flow); r != nil {
		return r
	}
	t.index[flow] = int32(len(t.rows))
	t.rows = append(t.rows, row{flow: flow, created: toTicks(now)})
	return &t.rows[len(t.rows)-1]
}

// remove deletes row i and moves the last row to its place.
func (t *table) remove(i int) {
	last := len(t.rows) - 1
	delete(t.index, t.rows[i].flow)
	if i != last {
		t.rows[i] = t.rows[last]
		t.index[t.rows[i].flow] = int32(i)
	}
	t.rows = t.rows[:last]
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

// toTicks converts a time since the process started to ticks.
func toTicks(now time.Duration) uint32 { return uint32(now / tickLength) }

// age returns the time since the row's last update.
func (r *row) age(now time.Duration) time.Duration {
	return now - time.Duration(r.lastUpdate)*tickLength
}
