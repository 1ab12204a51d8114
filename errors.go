package rattanwood

import "fmt"

// FieldError reports a setting or document field with a value that is not allowed.
type FieldError struct {
	File    string
	Field   string
	Value   string
	Allowed string
}

// Error names the file, field, value and what is allowed.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: field %s: value %s is not allowed: want %s", e.File, e.Field, e.Value, e.Allowed)
}

// SyntaxError reports a file that is not JSON with comments.
type SyntaxError struct {
	File  string
	Cause error
}

// Error names the file and the cause.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("%s: not JSON with comments: %v", e.File, e.Cause)
}

// Unwrap returns the cause.
func (e *SyntaxError) Unwrap() error { return e.Cause }

// DuplicateAddressError reports an address that two services claim in one version.
type DuplicateAddressError struct {
	Address       string
	First, Second ServiceID
}

// Error names the address and both services.
func (e *DuplicateAddressError) Error() string {
	return fmt.Sprintf("address %s belongs to service %s and to service %s", e.Address, e.First, e.Second)
}

// DuplicateUpstreamError reports an upstream that stands in a document twice.
type DuplicateUpstreamError struct {
	Upstream      string
	First, Second ServiceID
}

// Error names the upstream and both services.
func (e *DuplicateUpstreamError) Error() string {
	return fmt.Sprintf("upstream %s belongs to service %s and to service %s", e.Upstream, e.First, e.Second)
}

// StaleVersionError reports a document whose version is not above the one in force.
type StaleVersionError struct {
	Got, Current Version
}

// Error names both versions.
func (e *StaleVersionError) Error() string {
	return fmt.Sprintf("version %d is not above version %d in force", e.Got, e.Current)
}

// HistoryError reports a document that contradicts the history of the one in force.
type HistoryError struct {
	Name   string
	Detail string
}

// Error names the entry and the contradiction.
func (e *HistoryError) Error() string {
	return fmt.Sprintf("history of %s: %s", e.Name, e.Detail)
}
