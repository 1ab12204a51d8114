// Package checker decodes configuration documents and validates them: each one by itself, and the
// transition from the document in force to the next.
package checker

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"

	"example.org/rattanwood"
)

// MaxDocumentSize is the largest encoded document in bytes. It is the platform's limit for a value.
const MaxDocumentSize = 1 << 20

// MaxSlots is the largest number of slots that an upstream may have, and the largest length of a queue.
const MaxSlots = 1024

// MaxWaitMillis is the largest allowed queue wait and request deadline in milliseconds.
const MaxWaitMillis = 600_000

// maxNameLength is the largest length of a name.
const maxNameLength = 63

// namePattern leaves out the length: a pattern that counts takes ten times as long to compile, which delays
// each start of a balancer.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]*$`)

func isName(s string) bool { return len(s) <= maxNameLength && namePattern.MatchString(s) }

const nameAllowed = "1 to 63 lower-case letters, digits, dots or hyphens"

// Decode parses JSON with comments into v and rejects unknown fields. File names the source in errors.
func Decode(file string, data []byte, v any) error {
	std, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return &rattanwood.SyntaxError{File: file, Cause: err}
	}
	dec := json.NewDecoder(bytes.NewReader(std))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return decodeError(file, err)
	}
	return nil
}

// decodeError converts an error of encoding/json to a FieldError where it concerns one field.
func decodeError(file string, err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return &rattanwood.FieldError{File: file, Field: typeErr.Field, Value: typeErr.Value, Allowed: typeErr.Type.String()}
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return &rattanwood.FieldError{File: file, Field: strings.Trim(name, `"`), Value: "present", Allowed: "a documented field"}
	}
	return &rattanwood.SyntaxError{File: file, Cause: err}
}

// Parse decodes a document and checks it by itself. File names the source in errors.
func Parse(file string, data []byte) (*rattanwood.Document, error) {
	if len(data) > MaxDocumentSize {
		return nil, &rattanwood.FieldError{File: file, Field: "(size)", Value: strconv.Itoa(len(data)), Allowed: fmt.Sprintf("at most %d bytes", MaxDocumentSize)}
	}
	doc := &rattanwood.Document{}
	if err := Decode(file, data, doc); err != nil {
		return nil, err
	}
	if err := Check(file, doc); err != nil {
		return nil, err
	}
	return doc, nil
}

// Encode returns the document as indented JSON, the form in which it is published.
func Encode(doc *rattanwood.Document) ([]byte, error) {
	data, err := json.MarshalIndent(doc, "", "  ")
	if err != nil {
		return nil, &rattanwood.SyntaxError{File: "document", Cause: err}
	}
	return append(data, '\n'), nil
}

// checker holds the state of one validation pass over a document. Its maps contain what has been checked so
// far, to detect duplicates.
type checker struct {
	file      string
	doc       *rattanwood.Document
	services  map[rattanwood.ServiceID]bool
	upstreams map[rattanwood.UpstreamID]seenUpstream
	// tunnels has the name of the upstream at each tunnel address.
	tunnels   map[netip.AddrPort]string
	addresses map[netip.AddrPort][]serviceBinding
}

// seenUpstream is the name of an upstream, of which its id is a hash, with the service that lists it.
type seenUpstream struct {
	name    string
	service rattanwood.ServiceID
}

// serviceBinding is an address binding with the service that lists it.
type serviceBinding struct {
	rattanwood.Binding
	service rattanwood.ServiceID
}

// Check validates a document by itself and returns the first violation. File names the source in errors.
func Check(file string, doc *rattanwood.Document) error {
	c := &checker{
		file:      file,
		doc:       doc,
		services:  map[rattanwood.ServiceID]bool{},
		upstreams: map[rattanwood.UpstreamID]seenUpstream{},
		tunnels:   map[netip.AddrPort]string{},
		addresses: map[netip.AddrPort][]serviceBinding{},
	}
	if doc.Version == 0 {
		return c.fieldError("version", doc.Version, "at least 1")
	}
	if doc.Oldest > doc.Version {
		return c.fieldError("oldest", doc.Oldest, fmt.Sprintf("0 to the document's version %d", doc.Version))
	}
	for i := range doc.Services {
		if err := c.checkService(fmt.Sprintf("services[%d]", i), &doc.Services[i]); err != nil {
			return err
		}
	}
	return nil
}

func (c *checker) fieldError(field string, value any, allowed string) error {
	return &rattanwood.FieldError{File: c.file, Field: field, Value: fmt.Sprintf("%#v", value), Allowed: allowed}
}

func (c *checker) checkService(path string, s *rattanwood.Service) error {
	if !isName(string(s.Name)) {
		return c.fieldError(path+".name", string(s.Name), nameAllowed)
	}
	if c.services[s.Name] {
		return c.fieldError(path+".name", string(s.Name), "a name that no other service has")
	}
	c.services[s.Name] = true
	for i, b := range s.Addresses {
		if err := c.checkBinding(fmt.Sprintf("%s.addresses[%d]", path, i), s.Name, b); err != nil {
			return err
		}
	}
	for i, u := range s.Upstreams {
		if err := c.checkUpstream(fmt.Sprintf("%s.upstreams[%d]", path, i), s.Name, u); err != nil {
			return err
		}
	}
	return c.checkBalanceAndLimits(path, s)
}

func (c *checker) checkBalanceAndLimits(path string, s *rattanwood.Service) error {
	switch {
	case !(s.Balance.LoadPlacedShare >= 0 && s.Balance.LoadPlacedShare <= 1):
		return c.fieldError(path+".balance.free", s.Balance.LoadPlacedShare, "0 to 1")
	case s.Balance.PeakLoadPlacedShare != 0 && !(s.Balance.PeakLoadPlacedShare >= s.Balance.LoadPlacedShare && s.Balance.PeakLoadPlacedShare <= 1):
		return c.fieldError(path+".balance.peak", s.Balance.PeakLoadPlacedShare, "0, or free to 1")
	case !(s.Balance.ExcessLoad >= 0 && s.Balance.ExcessLoad <= 1):
		return c.fieldError(path+".balance.excess", s.Balance.ExcessLoad, "0 to 1")
	case s.Limits.MaxQueueLength < 0 || s.Limits.MaxQueueLength > MaxSlots:
		return c.fieldError(path+".limits.queue", s.Limits.MaxQueueLength, fmt.Sprintf("0 to %d", MaxSlots))
	case s.Limits.MaxWaitMillis < 0 || s.Limits.MaxWaitMillis > MaxWaitMillis:
		return c.fieldError(path+".limits.wait", s.Limits.MaxWaitMillis, fmt.Sprintf("0 to %d milliseconds", MaxWaitMillis))
	case s.Limits.TimeoutMillis < 1 || s.Limits.TimeoutMillis > MaxWaitMillis:
		return c.fieldError(path+".limits.deadline", s.Limits.TimeoutMillis, fmt.Sprintf("1 to %d milliseconds", MaxWaitMillis))
	case !(s.Limits.RetryBudget >= 0 && s.Limits.RetryBudget <= 1):
		return c.fieldError(path+".limits.retry", s.Limits.RetryBudget, "0 to 1")
	}
	return nil
}

func (c *checker) checkBinding(path string, service rattanwood.ServiceID, b rattanwood.Binding) error {
	if !b.Address.IsValid() || b.Address.Port() == 0 {
		return c.fieldError(path+".address", b.Address.String(), "an IP address and a port")
	}
	if err := c.checkVersionRange(path, b.Since, b.Until); err != nil {
		return err
	}
	for _, other := range c.addresses[b.Address] {
		if rangesOverlap(other.Since, other.Until, b.Since, b.Until) {
			return &rattanwood.DuplicateAddressError{Address: b.Address.String(), First: other.service, Second: service}
		}
	}
	c.addresses[b.Address] = append(c.addresses[b.Address], serviceBinding{Binding: b, service: service})
	return nil
}

func (c *checker) checkUpstream(path string, service rattanwood.ServiceID, u rattanwood.Upstream) error {
	if !isName(u.Name) {
		return c.fieldError(path+".name", u.Name, nameAllowed)
	}
	if other, taken := c.upstreams[u.ID()]; taken {
		if other.name == u.Name {
			return &rattanwood.DuplicateUpstreamError{Upstream: u.Name, First: other.service, Second: service}
		}
		return c.fieldError(path+".name", u.Name, "a name without a hash collision with upstream "+other.name)
	}
	c.upstreams[u.ID()] = seenUpstream{name: u.Name, service: service}
	if !u.Tunnel.IsValid() || u.Tunnel.Port() == 0 {
		return c.fieldError(path+".tunnel", u.Tunnel.String(), "an IP address and a port")
	}
	if !u.Web.IsValid() || u.Web.Port() == 0 {
		return c.fieldError(path+".web", u.Web.String(), "an IP address and a port")
	}
	if other, taken := c.tunnels[u.Tunnel]; taken {
		return c.fieldError(path+".tunnel", u.Tunnel.String(), "an address that no other upstream has as its tunnel; upstream "+other+" has this one")
	}
	c.tunnels[u.Tunnel] = u.Name
	if u.Slots < 1 || u.Slots > MaxSlots {
		return c.fieldError(path+".slots", u.Slots, fmt.Sprintf("1 to %d", MaxSlots))
	}
	return c.checkVersionRange(path, u.Since, u.Until)
}

// checkVersionRange checks that since and until form a range of versions up to the document's own.
func (c *checker) checkVersionRange(path string, since, until rattanwood.Version) error {
	if since < 1 || since > c.doc.Version {
		return c.fieldError(path+".since", since, fmt.Sprintf("1 to the document's version %d", c.doc.Version))
	}
	if until != 0 && (until <= since || until > c.doc.Version) {
		return c.fieldError(path+".until", until, fmt.Sprintf("0, or above since and at most the document's version %d", c.doc.Version))
	}
	return nil
}

// rangesOverlap reports whether two ranges of versions have one in common. A range excludes its until, and
// zero means no end.
func rangesOverlap(since, until, otherSince, otherUntil rattanwood.Version) bool {
	return (until == 0 || otherSince < until) && (otherUntil == 0 || since < otherUntil)
}
