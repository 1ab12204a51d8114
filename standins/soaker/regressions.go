package soaker

// seedRun describes a run with one seed: one of regressions, or a run with all kinds of events and
// without a cause.
type seedRun struct {
	seed uint64
	// kindCount is the number of kinds of events to choose from: for one of regressions, those that
	// existed when the violation was found.
	kindCount int
	// cause describes the fault in the balancer that once violated a guarantee with this seed, and names
	// the test that covers it.
	cause string
}

// regressions are runs that once violated a guarantee. They come before all other seeds if RunRegressions
// is set. A seed fixes the schedule of events but not the timing of the processes, so that each cause is
// also covered by a deterministic test.
var regressions = []seedRun{
	{44, 11, "after a pause, a balancer opened flows from first packets in its socket buffer whose retransmissions had opened elsewhere: tagger TestFirstPacketsAfterAPauseAreDropped"},
	{649, 12, "balancers that started while the store was slow placed first packets that had waited, though retransmissions went elsewhere: node TestForwardingBeforeRoutesAreListed"},
}
