package messenger

import (
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/detector"
	"example.org/rattanwood/limiter"
	"example.org/rattanwood/warmer"
	"example.org/rattanwood/wire"
)

// RequestLeases asks for the leases on the cold upstreams of the own data centre if it is this balancer's
// turn. Cold holds the rates that they bear.
func (m *Messenger) RequestLeases(now time.Duration, cold map[rattanwood.UpstreamID]float64) {
	if m.cfg.Warmer == nil {
		return
	}
	if m.votersListedAt == 0 || now-m.votersListedAt >= warmer.RoundInterval {
		m.votersListedAt = now
		m.listVoters()
	}
	for _, r := range m.cfg.Warmer.Tick(now, cold, m.voterMembers) {
		for _, to := range m.voters {
			m.sendBallot(now, to, &wire.Ballot{Group: uint32(r.Group), Round: r.Round, Granted: r.Held})
		}
	}
}

// listVoters lists the members of the own data centre. The dead among them count as well: that they are dead is
// this balancer's opinion.
func (m *Messenger) listVoters() {
	m.voters, m.voterMembers = nil, nil
	members := m.Members.Members()
	for _, d := range members {
		if d.DataCentre == m.cfg.Detector.DataCentre {
			m.voters = append(m.voters, d)
			m.voterMembers = append(m.voterMembers, warmer.Member{Seed: d.Seed, Eligible: eligible(d)})
		}
	}
	if len(members) == 0 {
		m.cfg.Warmer.HearPeer()
	}
}

// handleBallot answers a request for a vote or counts an answer. Only balancers of the own data centre vote.
func (m *Messenger) handleBallot(now time.Duration, sender *detector.Member, b *wire.Ballot) {
	if m.cfg.Warmer == nil || sender.DataCentre != m.cfg.Detector.DataCentre || b.GetGroup() > maxGroup {
		return
	}
	request := warmer.Request{Group: warmer.Group(b.GetGroup()), Round: b.GetRound(), Held: b.GetGranted() && !b.GetAnswer()}
	if b.GetAnswer() {
		m.cfg.Warmer.HandleAnswer(sender.VM, warmer.Answer{Request: request, Granted: b.GetGranted(), Members: int(b.GetMembers())})
		return
	}
	a := m.cfg.Warmer.HandleRequest(now, sender.VM, request)
	m.sendBallot(now, sender, &wire.Ballot{Group: b.GetGroup(), Round: b.GetRound(), Answer: true, Granted: a.Granted, Members: uint32(a.Members)})
}

// maxGroup is the highest number of a group that fits in a warmer.Group.
const maxGroup = 1<<8 - 1

// sendBallot queues a ballot. Without enough budget, cold upstreams get fewer flows, which costs least.
func (m *Messenger) sendBallot(now time.Duration, to *detector.Member, b *wire.Ballot) {
	if a, ok := m.prepare(now, limiter.State, to, &wire.Envelope{Body: &wire.Envelope_Ballot{Ballot: b}}); ok {
		m.actions = append(m.actions, a)
	}
}
