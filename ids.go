// Package rattanwood defines the ids, configuration documents, errors and interfaces that the
// packages of the layer-4 load balancer share. The decision logic is in the packages below it
// and can be embedded without the daemons.
package rattanwood

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// VMID is the name of a VM on which a balancer runs.
type VMID string

// DataCentre is the name of a data centre.
type DataCentre string

// ServiceID is the name of a service.
type ServiceID string

// UpstreamID identifies an upstream: it is the hash of its name, or with a Source the lower half of
// its InstanceID. No two upstreams of a document have the same id.
type UpstreamID uint32

// FlowID is the hash of a flow's source and destination addresses, ports and protocol.
type FlowID uint64

// RequestID identifies a request. The Caller chooses it and must keep it unique.
type RequestID string

// Version numbers the published documents. It only increases.
type Version uint64

// Incarnation distinguishes the processes that run one after the other under the same VMID. A later
// process has a higher number.
type Incarnation uint64

// UpstreamIDOf hashes the name of an upstream to its id.
func UpstreamIDOf(name string) UpstreamID {
	return UpstreamID(xxhash.Sum64String(name))
}

// String returns the id in hexadecimal.
func (u UpstreamID) String() string {
	return strconv.FormatUint(uint64(u), 16)
}

// String returns the id in hexadecimal.
func (f FlowID) String() string {
	return strconv.FormatUint(uint64(f), 16)
}
