package rattanwood

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"time"
)

// Position is a point in the history of a Source: an era in the upper 16 bits, and in the lower 48 the
// number of the last change in that era. It only increases; numbers start again in a new era.
type Position uint64

// revisionBits is the number of bits of a Position that hold the revision.
const revisionBits = 48

// Era counts how often a Source came back from an older copy of itself, losing its last changes.
type Era uint16

// Revision numbers the changes of a Source within an era.
type Revision uint64

// NewPosition returns the position of a revision, which must be less than 1<<48, in an era.
func NewPosition(era Era, revision Revision) Position {
	return Position(era)<<revisionBits | Position(revision)
}

// Era returns the era of the position.
func (p Position) Era() Era { return Era(p >> revisionBits) }

// Revision returns the number of the change within the era.
func (p Position) Revision() Revision { return Revision(p & (1<<revisionBits - 1)) }

// String returns the era and the revision.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Era(), p.Revision()) }

// Record is a key of a Source with its value, whose format is known only to an Interpreter.
type Record struct {
	Key string
	// Value is empty if Deleted is set.
	Value []byte
	// Position is that of the record's last change.
	Position Position
	// Deleted marks a tombstone.
	Deleted bool
}

// Page is one page of a listing of a Source's records, sorted by key.
type Page struct {
	Records []Record
	// More is set if the listing continues after this page.
	More bool
	// Position is that of the source at the time of the answer.
	Position Position
}

// Changes holds the records that changed after some earlier position, up to and including Position. They
// are useless if Position is in a later era: changes before it are missing.
type Changes struct {
	Records  []Record
	Position Position
}

// Source is a read-only view of a versioned key-value store. Calls fail with a SourceError, or
// with a LostHistoryError if the requested changes are no longer available. Package platform
// implements it.
type Source interface {
	// List returns a page of the records whose keys sort after a key. An empty key starts the listing.
	List(ctx context.Context, after string) (Page, error)
	// ListUpstreams is like List, but returns only the records of upstreams. They are a small part of all
	// records and may be seconds old. They suffice to forward packets of established flows.
	ListUpstreams(ctx context.Context, after string) (Page, error)
	// Watch blocks until there are changes after a position and returns the last one of each key. After wait it
	// returns none.
	Watch(ctx context.Context, after Position, wait time.Duration) (Changes, error)
}

// Interpreter decodes records.
type Interpreter interface {
	// Interpret decodes a record that is not deleted, or fails with a RecordError.
	Interpret(r Record) (Entity, error)
	// Supersedes reports whether the author of a key wrote one value of it after another. It doesn't if
	// the values don't tell, or are the same.
	Supersedes(later, earlier Record) bool
	// Instance returns the upstream whose registration is stored under a key. ok is false if the key is
	// not that of an upstream.
	Instance(key string) (id InstanceID, ok bool)
	// Evacuated returns the data centre whose Evacuation is stored under a key. ok is false if the key is
	// not that of an evacuation.
	Evacuated(key string) (centre DataCentre, ok bool)
}

// IdentityChecker asks the server at the other end of a connection which upstream it is.
type IdentityChecker interface {
	// Identify returns the id of the upstream that answers on a new connection, or fails with a
	// SourceError. The path is that of the service's health check. The connection isn't used again.
	Identify(ctx context.Context, conn net.Conn, path string) (InstanceID, error)
}

// Entity is the content of a record: a *Routing, a *Registration or an *Evacuation.
type Entity interface{ entity() }

// Routing is the routing configuration of all addresses.
type Routing struct {
	Version Version
	Routes  []Route
	// HealthPaths holds the URL path of each service's HTTP health check.
	HealthPaths map[ServiceID]string
	// Services holds what the operators state about the upstreams of each service.
	Services map[ServiceID]ServiceLimits
	// InvalidRoutes is the number of routes that were skipped because they are invalid.
	InvalidRoutes int
}

// Route assigns the new flows of an address to services.
type Route struct {
	Name    string
	Address netip.AddrPort
	// Shares has at least one element, and all weights are positive.
	Shares []Share
	// Class describes the requests that the route's flows carry.
	Class Class
	// Homes are the regions whose upstreams and balancers may serve the route, and CustomerHomes those that may
	// serve the route's customer; empty means all. Where both have elements, only regions in both may.
	Homes, CustomerHomes []Region
}

// Class describes a kind of requests as far as it matters for who is served first.
type Class struct {
	// Priority is the operators' order of importance; 0 is the most important.
	Priority int
	// Repeatable is set if a Caller may send a request again without harm.
	Repeatable bool
	// Target is the latency in which a request should be answered, and Timeout the time after which its
	// answer is useless. Zero means unknown.
	Target, Timeout time.Duration
}

// ServiceLimits holds what the operators state about each upstream of a service.
type ServiceLimits struct {
	// WarmupTime is how long an upstream is cold after its start.
	WarmupTime time.Duration
	// WarmupRate is the number of new flows a second that a cold upstream bears; zero means no limit.
	WarmupRate float64
	// MaxFlows is the number of flows that an upstream holds; zero means no limit.
	MaxFlows int
}

// Share is a service with its weight in the traffic split of a route.
type Share struct {
	Service ServiceID
	Weight  int
}

// Registration is an upstream's own entry in the Source.
type Registration struct {
	Instance   InstanceID
	Service    ServiceID
	Address    netip.AddrPort
	DataCentre DataCentre
	// Slots is the number of requests that the upstream serves concurrently.
	Slots int
	// Draining is set when the upstream must get no new flows.
	Draining bool
	// RemainingWarmup is how much longer the upstream is slow after its start.
	RemainingWarmup time.Duration
	// StartTime distinguishes two processes of an upstream with the same InstanceID; zero means unknown.
	StartTime int64
}

// Evacuation asks that no new flows be sent to the upstreams of a data centre. It lasts until its record is
// deleted.
type Evacuation struct {
	DataCentre DataCentre
}

func (*Routing) entity()      {}
func (*Registration) entity() {}
func (*Evacuation) entity()   {}

// InstanceID is the full id of an upstream, which precedes each datagram that is forwarded to it.
type InstanceID uint64

// Upstream returns the lower 32 bits of the id, which fit in a flow's tag. Of two upstreams with
// the same lower 32 bits only one can be used.
func (i InstanceID) Upstream() UpstreamID { return UpstreamID(i) }

// String returns the id in hexadecimal.
func (i InstanceID) String() string { return strconv.FormatUint(uint64(i), 16) }

// Segment is the decoded header of a flow's packet.
type Segment struct {
	// Caller and Target are the endpoints of the flow as the Caller sees them.
	Caller, Target netip.AddrPort
	Flags          SegmentFlags
	// Seq and Ack count bytes, except that on a flow's first packet Ack counts its retransmissions.
	Seq, Ack uint32
	// Tag is the last tag that the Caller received for the flow, zero if none.
	Tag UpstreamID
	// Length is the size of the payload in bytes.
	Length int
	// Arrived is when the packet reached this balancer, by the clock of its process; zero if it isn't known.
	Arrived time.Duration
}

// SegmentFlags are the control bits of a Segment.
type SegmentFlags uint8

// Control bits of a packet.
const (
	// FlagOpen marks the first packet of a flow.
	FlagOpen SegmentFlags = 1 << iota
	FlagAck
	FlagClose
	// FlagReset tells the receiver that the flow has ended.
	FlagReset
)

// Has reports whether all flags in g are set.
func (f SegmentFlags) Has(g SegmentFlags) bool { return f&g == g }

// Codec decodes and encodes the datagrams that carry a flow's packets. Methods with a dst argument
// append to it.
type Codec interface {
	// Parse decodes the header of a packet, or fails with a SegmentError.
	Parse(datagram []byte) (Segment, error)
	// Forward appends the datagram that forwards a packet to an upstream, with the flow's tag set to that
	// upstream.
	Forward(dst, packet []byte, to InstanceID) []byte
	// Reset appends the packet that tells the Caller of s that its flow has ended.
	Reset(dst []byte, s Segment) []byte
	// CallerPort returns the port on which Callers receive packets.
	CallerPort() uint16
}

// SourceError reports a failed call of a Source or an IdentityChecker.
type SourceError struct {
	Call string
	// Reason is one of a fixed set of words, so that it can also be a metric label.
	Reason string
	// Recurs is set if the Source answered, but not in a way or a time that can be used, so that the same call would
	// probably fail again.
	Recurs bool
	Cause  error
}

// Error returns the call, the reason and the cause.
func (e *SourceError) Error() string {
	return fmt.Sprintf("source call %s failed: %s: %v", e.Call, e.Reason, e.Cause)
}

// Unwrap returns the underlying error.
func (e *SourceError) Unwrap() error { return e.Cause }

// LostHistoryError reports that a Source no longer has the changes after a position.
type LostHistoryError struct {
	After Position
}

// Error returns the revision.
func (e *LostHistoryError) Error() string {
	return fmt.Sprintf("source no longer has the changes after position %s", e.After)
}

// RecordKind is what a record's key names. It can be a metric label.
type RecordKind string

// Kinds of records.
const (
	RoutingRecord    RecordKind = "routing"
	UpstreamRecord   RecordKind = "upstream"
	EvacuationRecord RecordKind = "evacuation"
	// OtherRecord is one that means nothing here.
	OtherRecord RecordKind = "other"
)

// RecordError reports a record that can't be decoded.
type RecordError struct {
	Key    string
	Kind   RecordKind
	Reason string
	Cause  error
}

// Error returns the record's key, the reason and the cause.
func (e *RecordError) Error() string {
	return fmt.Sprintf("record %s: %s: %v", e.Key, e.Reason, e.Cause)
}

// Unwrap returns the underlying error.
func (e *RecordError) Unwrap() error { return e.Cause }

// SegmentError reports a datagram that isn't a valid packet.
type SegmentError struct {
	Reason string
}

// Error returns the reason.
func (e *SegmentError) Error() string { return "invalid packet: " + e.Reason }
