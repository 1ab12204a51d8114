package dispatcher

import "time"

// SlowStartTime is how long an upstream that is new or has recovered is given fewer requests than
// it has slots. Slow start is what a balancer does for such an upstream; the warm-up that an
// upstream itself reports is left to package tagger.
const SlowStartTime = 10 * time.Second

// SlowStartSlots returns the number of slots to use on an upstream that has been healthy for age:
// one at first, and all of them after SlowStartTime.
func SlowStartSlots(slots int, age time.Duration) int {
	if age >= SlowStartTime || slots <= 1 {
		return slots
	}
	return 1 + int(float64(slots-1)*max(age, 0).Seconds()/SlowStartTime.Seconds())
}
