package soaker

// regression is a seed that once saw a promise broken. The schedule of a seed is fixed, the timing of
// processes is not, so that a cause also has a test without processes.
type regression struct {
	seed uint64
	// kinds is the number of kinds of events that there were.
	kinds int
	// cause says what was wrong, and names the test.
	cause string
}

// regressions are played first by each run.
var regressions = []regression{
	{44, 11, "a paused node opened flows from its buffer whose copies had opened elsewhere: tagger TestWakingNodeOpensNothing"},
	{649, 12, "nodes that started beside a slow store placed first packets that had waited while copies went elsewhere: node TestFlowsGoOnBeforeRoutes"},
}
