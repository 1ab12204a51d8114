// Package rattanwood defines the ids, configuration documents, errors and interfaces that the
// packages of the layer-4 load balancer share. The decision logic is in the packages below it
// and can be embedded without the daemons.
//
// A Caller is a client that opens flows and sends requests. The fabric is the network in front of
// the balancers, which spreads the packets of Callers over them; packets of one flow may reach
// different balancers.
//
// A balancer keeps flows on their upstreams in one of two ways. With the affinity "home" it reads a
// Document from a Platform, and each flow has an owner, a balancer that stores the flow's upstream;
// see package router. With the affinity "tag" it reads records from a Source, and the packets of a
// flow carry the id of their upstream; see package tagger.
package rattanwood

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// VMID is the name of a VM on which a balancer runs.
type VMID string

// DataCentre is the name of a data centre.
type DataCentre string

// Region is the name of a group of data centres that are close to each other.
type Region string

// ServiceID is the name of a service.
type ServiceID string

// UpstreamID identifies an upstream. It is the hash of its name if it comes from a Document, and the
// lower 32 bits of its InstanceID if it comes from a Source. No two upstreams in use have the same id.
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
