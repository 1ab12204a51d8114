package rattanwood

import "context"

// Platform is the operators' configuration service, which balancers only read. Package
// internal/reader implements it.
// Calls return an error when the platform is unreachable. Returned values may be stale.
type Platform interface {
	// Document returns the published document, still encoded.
	Document(ctx context.Context) ([]byte, error)
	// Watch blocks until a document with a version above after is published or ctx expires, and then
	// returns the same as Document. An implementation may return nothing if there is no such document.
	Watch(ctx context.Context, after Version) ([]byte, error)
	// VMs returns the list of VMs that run or are about to be removed. The list lags behind reality.
	VMs(ctx context.Context) ([]VM, error)
}
