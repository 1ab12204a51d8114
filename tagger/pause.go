package tagger

import "time"

// lateTick is the time between two ticks from which on this balancer counts as late.
const lateTick = 100 * time.Millisecond

// Tick records that the process is running. It must be called at intervals shorter than
// PauseThreshold.
func (t *Tagger) Tick(now time.Duration) {
	if t.lastTick != 0 && now-t.lastTick > t.cfg.PauseThreshold {
		t.resumedAt = now
	}
	if t.lastTick != 0 && now-t.lastTick >= lateTick {
		t.RecordTurnover(now)
	}
	t.lastTick = now
	t.knowsTrackers(now)
	if t.cfg.Allocation != nil {
		t.cfg.Allocation.Allocator.Tick(now)
	}
}

// MarkRead records that a packet was read, and that the socket's buffer was last empty at a time. If that was before the
// end of a pause, the packet may have waited during it, however long it takes to read the buffer.
func (t *Tagger) MarkRead(now, emptyAt time.Duration) {
	t.IsResuming(now)
	switch {
	case t.resumedAt <= emptyAt:
		t.waitingPackets = 0
	case t.waitingPackets < t.cfg.MaxWaitingPackets:
		t.waitingPackets++
		t.resumedAt = now
	}
}

// IsResuming reports whether a packet may have waited while this process was paused. It also detects
// a pause that Tick hasn't recorded yet.
func (t *Tagger) IsResuming(now time.Duration) bool {
	if t.lastTick != 0 && now-t.lastTick > t.cfg.PauseThreshold {
		t.Tick(now)
	}
	return t.resumedAt != 0 && now-t.resumedAt < t.cfg.ResumeTime
}
