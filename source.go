package rattanwood

import (
	"context"
	"fmt"
	"net/netip"
	"strconv"
	"time"
)

// Revision orders the changes of a Source; it only goes up.
type Revision uint64

// Record is a value under a key of a Source. Only an Interpreter knows what it holds.
type Record struct {
	Key string
	// Value is empty if the record was deleted.
	Value []byte
	// Revision is that of the record's last change.
	Revision Revision
	Deleted  bool
}

// Page is a part of all records of a Source, in the order of their keys.
type Page struct {
	Records []Record
	// More is set when other records follow.
	More bool
	// Revision is the revision of the source when it answered.
	Revision Revision
}

// Changes are the records that changed after a revision, up to the revision At.
type Changes struct {
	Records  []Record
	Revision Revision
}

// Source is a store of records that can only be read. Calls fail with a
// SourceError, or with a LostHistoryError when the changes are no longer available.
type Source interface {
	// List returns the records after a key; an empty key begins with the first.
	List(ctx context.Context, after string) (Page, error)
	// ListUpstreams returns the records of upstreams after a key. They are a small part of all, and may be seconds old;
	// flows that have begun can be carried on with them.
	ListUpstreams(ctx context.Context, after string) (Page, error)
	// Watch returns once there are changes after a revision, or without any after wait.
	Watch(ctx context.Context, after Revision, wait time.Duration) (Changes, error)
}

// Interpreter turns records into entities.
type Interpreter interface {
	// Interpret returns what a record that is not deleted says, or a RecordError.
	Interpret(r Record) (Entity, error)
	// Instance returns the upstream that a key belongs to; ok is false if it belongs to none.
	Instance(key string) (in InstanceID, ok bool)
}

// IdentityChecker asks an upstream who it is.
type IdentityChecker interface {
	// Identify returns the instance that answers at an address, or a SourceError.
	Identify(ctx context.Context, address netip.AddrPort, path string) (InstanceID, error)
}

// Entity is a *Routing or a *Registration.
type Entity interface{ entity() }

// Routing is the configuration of all addresses.
type Routing struct {
	Version Version
	Routes  []Route
	// HealthPaths is where each service's upstreams answer questions about themselves, over HTTP.
	HealthPaths map[ServiceID]string
	// InvalidRoutes counts the routes that were left out because they can't be used.
	InvalidRoutes int
}

// Route says which services take the new flows of an address.
type Route struct {
	Name    string
	Address netip.AddrPort
	// Shares are not empty; their weights are positive.
	Shares []Share
}

// Share is the part of a route's new flows that a service takes.
type Share struct {
	Service ServiceID
	Weight  int
}

// Registration is what an upstream says of itself.
type Registration struct {
	Instance   InstanceID
	Service    ServiceID
	Address    netip.AddrPort
	DataCentre DataCentre
	// Slots is the number of requests that the upstream serves at one time.
	Slots int
	// Draining is set when the upstream wants no new flows.
	Draining bool
	// Warmup is how much longer the upstream is slow after its start.
	Warmup time.Duration
	// StartTime tells two lives of an upstream under one instance apart; zero if unknown.
	StartTime int64
}

func (*Routing) entity()      {}
func (*Registration) entity() {}

// InstanceID is the whole id of an upstream, by which datagrams address it.
type InstanceID uint64

// Upstream returns the lower half of the instance, which fits in a flow's tag. Of two instances that
// share it only one can be used.
func (i InstanceID) Upstream() UpstreamID { return UpstreamID(i) }

// String returns the id in hexadecimal.
func (i InstanceID) String() string { return strconv.FormatUint(uint64(i), 16) }

// Segment is the header of a packet of a flow.
type Segment struct {
	// Caller and Target are the ends as the Caller wrote them.
	Caller, Target netip.AddrPort
	Flags          SegmentFlags
	// Seq and Ack count bytes; Ack counts the copies on a first packet.
	Seq, Ack uint32
	// Tag is what the Caller was last sent as the flow's tag, zero before that.
	Tag UpstreamID
	// Length is the number of bytes of data.
	Length int
}

// SegmentFlags are the control bits of a Segment.
type SegmentFlags uint8

// The control bits.
const (
	FlagOpen SegmentFlags = 1 << iota
	FlagAck
	FlagClose
	FlagReset
)

// Has reports whether all bits of g are set.
func (f SegmentFlags) Has(g SegmentFlags) bool { return f&g == g }

// Codec reads and writes datagrams that carry packets. Its methods append to dst.
type Codec interface {
	// Parse reads the header of a packet, or fails with a SegmentError.
	Parse(datagram []byte) (Segment, error)
	// Forward appends the datagram that brings a packet to an upstream, with the flow's tag set to it.
	Forward(dst, packet []byte, to InstanceID) []byte
	// Reset appends the packet that tells a Caller that its flow has ended.
	Reset(dst []byte, s Segment) []byte
	// CallerPort returns the port at which Callers take packets.
	CallerPort() uint16
}

// SourceError reports a call that a Source or an Identifier did not answer.
type SourceError struct {
	Call string
	// Reason is a fixed word, also used as a label of metrics.
	Reason string
	Cause  error
}

// Error names the call, the reason and the cause.
func (e *SourceError) Error() string {
	return fmt.Sprintf("source: %s: %s: %v", e.Call, e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *SourceError) Unwrap() error { return e.Cause }

// LostHistoryError reports that the changes after a revision are no longer available.
type LostHistoryError struct {
	After Revision
}

// Error names the revision.
func (e *LostHistoryError) Error() string {
	return fmt.Sprintf("source: changes after revision %d are gone", e.After)
}

// RecordError reports a record that can't be interpreted.
type RecordError struct {
	Key    string
	Reason string
	Cause  error
}

// Error names the record, the reason and the cause.
func (e *RecordError) Error() string {
	return fmt.Sprintf("record %s: %s: %v", e.Key, e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }

// SegmentError reports a datagram that holds no packet.
type SegmentError struct {
	Reason string
}

// Error names the reason.
func (e *SegmentError) Error() string { return "packet: " + e.Reason }
