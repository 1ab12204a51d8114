package rattanwood

import "fmt"

// FieldError reports a field of a settings file or a document whose value is not allowed.
type FieldError struct {
	File    string
	Field   string
	Value   string
	Allowed string
}

// Error returns the file, the field, its value and the allowed values.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: field %s: value %s is not allowed: want %s", e.File, e.Field, e.Value, e.Allowed)
}

// SyntaxError reports a file or an answer that can't be read or isn't valid JSON (files may have comments).
type SyntaxError struct {
	File  string
	Cause error
}

// Error returns the file and the cause.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("%s: cannot be read as JSON with comments: %v", e.File, e.Cause)
}

// Unwrap returns the underlying error.
func (e *SyntaxError) Unwrap() error { return e.Cause }

// DuplicateAddressError reports an address that a document assigns to two services in the same version.
type DuplicateAddressError struct {
	Address       string
	First, Second ServiceID
}

// Error returns the address and both services.
func (e *DuplicateAddressError) Error() string {
	return fmt.Sprintf("address %s belongs to service %s and to service %s", e.Address, e.First, e.Second)
}

// DuplicateUpstreamError reports an upstream that a document, or two successive ones, list in two places.
type DuplicateUpstreamError struct {
	Upstream      string
	First, Second ServiceID
}

// Error returns the upstream and both services.
func (e *DuplicateUpstreamError) Error() string {
	return fmt.Sprintf("upstream %s belongs to service %s and to service %s", e.Upstream, e.First, e.Second)
}

// StaleVersionError reports a document whose version is not higher than that of the document in force.
type StaleVersionError struct {
	Got, Current Version
}

// Error returns both versions.
func (e *StaleVersionError) Error() string {
	return fmt.Sprintf("document version %d is not higher than version %d in force", e.Got, e.Current)
}

// HistoryError reports a document whose history contradicts that of the document in force.
type HistoryError struct {
	Name   string
	Detail string
}

// Error returns the entry and the contradiction.
func (e *HistoryError) Error() string {
	return fmt.Sprintf("history of %s: %s", e.Name, e.Detail)
}
