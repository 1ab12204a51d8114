package listener

import "time"

// Arrival returns when a datagram counts as arrived that is read at a time. Stamp is by the time of day, which was ahead by
// offsetBefore when the buffer was last empty, and is by offset now.
func Arrival(emptyAt, offsetBefore, now, offset, stamp time.Duration, hasWaited, stamped bool) time.Duration {
	d := Datagrams{emptyAt: emptyAt, clockOffset: offsetBefore, hasWaited: hasWaited}
	return d.arrival(now, offset, stamp, stamped)
}
