package dispatcher

import "time"

// SlowStartTime is how long an upstream that is new or has recovered gets less than all its slots filled.
const SlowStartTime = 10 * time.Second

// SlowStartSlots returns the slots to fill on an upstream that has been well for age: one
// at first, all of them after ColdTime.
func SlowStartSlots(slots int, age time.Duration) int {
	if age >= SlowStartTime || slots <= 1 {
		return slots
	}
	return 1 + int(float64(slots-1)*max(age, 0).Seconds()/SlowStartTime.Seconds())
}
