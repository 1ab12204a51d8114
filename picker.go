package rattanwood

// Candidate is an upstream with spare capacity to which a Picker may send a request.
type Candidate struct {
	Upstream UpstreamID
	// Slots is the number of requests that the upstream serves concurrently.
	Slots int
	// Running is the number of requests that are known to run on the upstream.
	Running int
	// Reported is the load that the upstream last reported, in requests. It may be out of date or wrong.
	Reported float64
}

// Picker chooses the upstream of a request among those with spare capacity.
type Picker interface {
	// Pick returns an index into candidates, which is not empty.
	Pick(candidates []Candidate) int
}
