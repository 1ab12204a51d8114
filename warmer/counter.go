package warmer

import "time"

// Counter counts events in a sliding window exactly: it holds the time of each event in the window. It isn't
// safe for concurrent use.
type Counter struct {
	window time.Duration
	// events are the times of the events in the window, oldest first.
	events []time.Duration
}

// NewCounter returns a counter of the events within a window.
func NewCounter(window time.Duration) *Counter { return &Counter{window: window} }

// Count returns the number of events in the window that ends now.
func (c *Counter) Count(now time.Duration) int {
	expired := 0
	for expired < len(c.events) && now-c.events[expired] >= c.window {
		expired++
	}
	c.events = c.events[:copy(c.events, c.events[expired:])]
	return len(c.events)
}

// Add counts an event, unless that would make more than limit events in the window; it reports whether it did.
func (c *Counter) Add(now time.Duration, limit int) bool {
	if c.Count(now) >= limit {
		return false
	}
	c.events = append(c.events, now)
	return true
}
