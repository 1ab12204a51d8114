// Package rattanwood holds the ids, documents, errors and interfaces that the
// parts of the layer-4 load balancer share. The decision logic is in the
// packages below it and can be embedded without the daemons.
package rattanwood

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// VMID names a VM on which a balancer runs.
type VMID string

// DataCentre names a data centre.
type DataCentre string

// ServiceID names a service.
type ServiceID string

// UpstreamID is the hash of an upstream's name; a document has no two alike.
type UpstreamID uint32

// FlowID is the hash of a flow's addresses, ports and protocol.
type FlowID uint64

// RequestID names a request; its Caller makes it unique.
type RequestID string

// Version counts published documents; it only goes up.
type Version uint64

// Incarnation tells two runs of a balancer under one VMID apart; later is higher.
type Incarnation uint64

// UpstreamIDOf returns the id of the upstream with the given name.
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
