package tagger

import (
	"time"

	"example.org/rattanwood"
)

// A copy of a flow's first packet goes where the first one went. Two upstreams that hold the same flow both answer, and
// the one that answers last takes over the tag of the flow, wherever it is open. An answer that is missing is evidence
// for a check and keeps new flows away, but it doesn't show that the upstream won't answer.

// recordSilence records that the upstream of an opening flow most likely hasn't answered, unless it has answered flows
// that were placed later.
func (t *Tagger) recordSilence(now time.Duration, r *recentFlow) {
	u := t.upstreams[r.upstream]
	if u == nil || !t.isUnanswered(r) || u.answeredPlacedAt > r.placedAt {
		return
	}
	u.silentAt = now
}

// keepsFlows reports whether the copies of first packets that an upstream got go on going there: it doesn't fail its
// checks, and the route still allows it.
func (t *Tagger) keepsFlows(now time.Duration, route *rattanwood.Route, u *upstream) bool {
	return u != nil && !t.cfg.Prober.ShouldAvoid(now, u.id) && t.allowed(route, u)
}

// maxAckStep bounds the difference between two acknowledgement numbers of a flow that follow each other here. The number at
// which an upstream begins is random, so those of two upstreams are hardly ever that close.
const maxAckStep = 1 << 16

// isOpenAt returns the upstream at which a flow is open whose packet carries on the acknowledgements of earlier ones. If
// two upstreams got the flow's first packet all the same, the tag may be that of the other one, which answered last.
func (t *Tagger) isOpenAt(s rattanwood.Segment) (rattanwood.UpstreamID, bool) {
	r := t.recentFlows[keyOf(s)]
	// A packet that acknowledges nothing has the number zero.
	if r == nil || r.opening || s.Ack == 0 || r.segment.Ack == 0 || t.upstreams[r.upstream] == nil {
		return 0, false
	}
	step := int32(s.Ack - r.segment.Ack)
	return r.upstream, -maxAckStep < step && step < maxAckStep
}
