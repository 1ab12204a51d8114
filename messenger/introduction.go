package messenger

import (
	"net/netip"
	"slices"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/detector"
	"example.org/rattanwood/wire"
)

const (
	// newFleetDelay is the time after the start for which a balancer that has only heard of others that have just started
	// as well waits for one that hasn't. It is the time after which Callers repeat a first packet.
	newFleetDelay = 200 * time.Millisecond
	// introductionInterval is the time between two requests to the bootstrap members.
	introductionInterval = 100 * time.Millisecond
	// introductionMargin is added to the time within which the neighbours of a balancer send it a heartbeat.
	introductionMargin = 100 * time.Millisecond
	// maxIntroductionPeers bounds the balancers that are asked because they sent a message, before the time limit and after
	// it. A request takes 1 KB in a fleet of 300.
	maxIntroductionPeers = 4
	// maxIntroductionParts bounds the requests for the rest of a member list that is too long for one answer. The answers
	// take 4 KB each.
	maxIntroductionParts = 6
)

// introduction tells whether a balancer that has just started knows the other balancers. A member list from one that
// knows them introduces it. Without one, it counts as introduced after a time limit, with a partial view at first: its
// neighbours from before the start would have sent heartbeats by then.
type introduction struct {
	began, done bool
	// beganAt is when Introduce was called first.
	beganAt time.Duration
	// answered is set once another balancer has been heard.
	answered bool
	// nextAt is when the bootstrap members are asked again.
	nextAt time.Duration
	// asked are the balancers that were asked because they sent a message.
	asked map[rattanwood.VMID]bool
	// source is the balancer that is asked for the rest of its member list, and parts counts the requests for that.
	source rattanwood.VMID
	parts  int
	// announcing is set until the next round of heartbeats also goes to members that aren't neighbours. They may take this
	// balancer for the process before it, which was leaving, and so wouldn't ask it for flows.
	announcing bool
	// unheard is set while no other balancer has been heard since the start, although there are bootstrap addresses: those
	// that know the fleet may be too slow to answer.
	unheard bool
	// partial is set after the time limit until a member list from a balancer that knows the fleet arrives, or members count
	// as dead. The bootstrap members may have started at the same time, and others not.
	partial bool
}

// Introduced reports whether this balancer knows other ones, and so has trackers for flows. They are the ones that others find
// once KnowsFleet reports true.
func (m *Messenger) Introduced() bool { return m.introduction.done }

// InTouch reports whether another balancer has answered this one since its start, or none did within the time limit.
func (m *Messenger) InTouch() bool { return m.introduction.done || m.introduction.answered }

// Introduce asks the bootstrap members for their member lists until a balancer is heard, and ends the introduction after the
// time limit. Tick calls it as well; a call at the start saves the time until the first Tick.
func (m *Messenger) Introduce(now time.Duration) {
	in := &m.introduction
	if (in.unheard || in.partial) && now-in.beganAt >= m.cfg.Detector.DeadAfter {
		in.unheard, in.partial = false, false
	}
	if in.done {
		return
	}
	if !in.began {
		*in = introduction{began: true, beganAt: now, nextAt: now, asked: map[rattanwood.VMID]bool{}, unheard: len(m.Members.Bootstrap()) > 0}
	}
	limit := m.cfg.Detector.HeartbeatInterval + introductionMargin
	if in.answered && in.source == "" {
		limit = newFleetDelay
	}
	if now-in.beganAt >= limit {
		m.endIntroduction()
		in.partial = len(m.Members.Bootstrap()) > 0
		return
	}
	if in.answered || now < in.nextAt {
		return
	}
	in.nextAt = now + introductionInterval
	for _, d := range m.Members.Bootstrap() {
		m.introduceTo(now, d)
	}
}

// maxAnnouncements bounds the heartbeats by which a balancer announces that it has started. They take 5 KB.
const maxAnnouncements = 64

// announce adds members that aren't among the receivers of a round of heartbeats, those of the own data centre first.
func (m *Messenger) announce(receivers []*detector.Member) []*detector.Member {
	m.introduction.announcing = false
	for _, local := range []bool{true, false} {
		for _, d := range m.Members.Members() {
			if len(receivers) < maxAnnouncements && d.DataCentre != "" && d.State != detector.Dead &&
				(d.DataCentre == m.cfg.Detector.DataCentre) == local && !slices.Contains(receivers, d) {
				receivers = append(receivers, d)
			}
		}
	}
	return receivers
}

func (m *Messenger) endIntroduction() {
	in := &m.introduction
	*in = introduction{began: true, done: true, beganAt: in.beganAt, unheard: in.unheard, asked: map[rattanwood.VMID]bool{}}
}

// KnowsFleet reports whether another balancer that knows the fleet has introduced this one, or none did for so long that
// there is probably none.
func (m *Messenger) KnowsFleet() bool { return m.introduction.done && !m.introduction.partial }

// Hear records that a balancer at an address sent a message, of whatever kind. One that doesn't know the fleet asks it for
// its member list.
func (m *Messenger) Hear(now time.Duration, vm rattanwood.VMID, from netip.AddrPort) {
	if m.KnowsFleet() {
		return
	}
	if sender, ok := m.senderAt(vm, from); ok {
		m.pullAtStart(now, sender)
	}
}

// pullAtStart asks a balancer that has sent a message for its member list, once.
func (m *Messenger) pullAtStart(now time.Duration, sender *detector.Member) {
	in := &m.introduction
	peers := maxIntroductionPeers
	if now-in.beganAt < introductionInterval {
		// The bootstrap members were asked as well.
		peers = 1
	}
	if !in.began || in.source != "" || in.asked[sender.VM] || len(in.asked) >= peers {
		return
	}
	in.asked[sender.VM] = true
	m.introduceTo(now, sender)
}

// handleMemberList records the answer to a request for a member list.
func (m *Messenger) handleMemberList(now time.Duration, sender *detector.Member, r *wire.Roster) {
	in := &m.introduction
	switch members := r.GetMembers(); {
	case m.KnowsFleet() || !in.began:
	case r.GetWhole():
		m.endIntroduction()
		m.introduction.announcing = true
		m.Members.TriggerHeartbeats()
	case len(members) > 0 && members[0].GetAddress() == "":
		// This is news of members.
	default:
		in.answered = true
		if r.GetMore() && in.parts < maxIntroductionParts && (in.source == "" || in.source == sender.VM) {
			in.source = sender.VM
			in.parts++
			m.introduceTo(now, sender)
		}
	}
}

// answerPull returns the answer to a request for the member list.
func (m *Messenger) answerPull(now time.Duration, p *wire.Pull) *wire.Roster {
	if p.GetStarting() && !m.introduction.done {
		m.introduction.answered = true
		// All balancers may have started at once, and would overload those at the bootstrap addresses.
		return &wire.Roster{}
	}
	r, whole := m.Members.BuildMemberList(now, p)
	if m.KnowsFleet() {
		r.Whole, r.More = whole, !whole
	}
	return r
}

// introduceTo asks a balancer for its member list.
func (m *Messenger) introduceTo(now time.Duration, to *detector.Member) {
	p := m.Members.BuildPull()
	p.Starting = true
	m.send(now, to, &wire.Envelope{Body: &wire.Envelope_Pull{Pull: p}})
}
