package rattanwood

// Candidate is an upstream with room for a request, as a Picker sees it.
type Candidate struct {
	Upstream UpstreamID
	// Slots is the number of requests that the upstream serves at one time.
	Slots int
	// Running is the number of requests known to run there.
	Running int
	// Reported is the load that the upstream last reported, in requests; it may lag or mislead.
	Reported float64
}

// Picker chooses the upstream of a request among those with room.
type Picker interface {
	// Pick returns an index into open, which is not empty.
	Pick(open []Candidate) int
}
