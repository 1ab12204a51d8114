package tagger

import (
	"time"

	"example.org/rattanwood"
)

// sighting holds when packets of a flow arrived here.
type sighting struct{ first, last time.Duration }

// firstSeen returns when the first packet of a flow arrived here, and records this one if the flow isn't remembered.
func (t *Tagger) firstSeen(now time.Duration, s rattanwood.Segment) time.Duration {
	key := keyOf(s)
	if r := t.recentFlows[key]; r != nil {
		return r.firstSeen
	}
	f, known := t.undecided[key]
	if !known {
		f.first = now
	}
	f.last = now
	if known || len(t.undecided) < t.cfg.MaxRecentFlows {
		t.undecided[key] = f
	}
	return f.first
}

// maxFlowPause is the time without a packet after which a flow may have been at other balancers meanwhile. Its Caller
// retransmits every 1.6 s at least.
const maxFlowPause = 2 * time.Second

// arrival returns when the flow of a packet that arrives now came here.
func (r *recentFlow) arrival(now time.Duration) time.Duration {
	if now-r.lastSeen > maxFlowPause {
		return now
	}
	return r.arrived
}

// isProvedDead reports whether the upstream of a flow was found dead since the flow came here. If the proof is older, it
// may come from a fault that has ended, and another check is requested.
func (t *Tagger) isProvedDead(now time.Duration, s rattanwood.Segment) bool {
	if !t.cfg.Prober.IsDead(s.Tag) {
		return false
	}
	arrived := t.firstSeen(now, s)
	if r := t.recentFlows[keyOf(s)]; r != nil {
		arrived = r.arrival(now)
	}
	if t.cfg.Prober.IsDeadSince(s.Tag, arrived) {
		return true
	}
	t.cfg.Prober.ConfirmDead(s.Tag)
	return false
}

// mayPostdate reports whether a flow may rest on routes or upstreams that aren't known here yet: another balancer
// has placed it, and the replica hasn't been confirmed since the flow was first seen here.
func (t *Tagger) mayPostdate(now time.Duration, s rattanwood.Segment) bool {
	if r := t.recentFlows[keyOf(s)]; r != nil && r.opened && r.upstream == s.Tag {
		return false
	}
	first := t.firstSeen(now, s)
	return !t.everConfirmed || t.confirmedAt < first+t.cfg.MaxConfirmationDelay
}
