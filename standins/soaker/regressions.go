package soaker

// regression is a seed whose run once violated a guarantee. A seed fixes the schedule of events but not
// the timing of the processes, so that each cause is also covered by a deterministic test.
type regression struct {
	seed uint64
	// kindCount is the number of kinds of events that existed when the violation was found.
	kindCount int
	// cause describes the fault in the balancer and names the test that covers it.
	cause string
}

// regressions are run before all other seeds if RunRegressions is set.
var regressions = []regression{
	{44, 11, "after a pause, a balancer opened flows from first packets in its socket buffer whose retransmissions had opened elsewhere: tagger TestFirstPacketsAfterAPauseAreDropped"},
	{649, 12, "balancers that started while the store was slow placed first packets that had waited, though retransmissions went elsewhere: node TestForwardingBeforeRoutesAreListed"},
}
