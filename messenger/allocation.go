package messenger

import (
	"cmp"
	"slices"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/detector"
	"example.org/rattanwood/limiter"
	"example.org/rattanwood/ranker"
	"example.org/rattanwood/wire"
)

// Ranked returns the balancer of a data centre that rendezvous hashing ranks first for a key, and whether it is this
// one. It reports false if none is known, or while the list of members may lack many.
func (m *Messenger) Ranked(dc rattanwood.DataCentre, key uint64) (vm rattanwood.VMID, own, ok bool) {
	if !m.settling.done {
		return "", false, false
	}
	highest := uint64(0)
	if dc == m.cfg.Detector.DataCentre {
		highest, own, ok = ranker.Score(key, m.seed), true, true
	}
	for _, d := range m.eligibleIn(dc) {
		if score := ranker.Score(key, d.Seed); !ok || score > highest {
			vm, highest, own, ok = d.VM, score, false, true
		}
	}
	return vm, own, ok
}

// localTrackers and regionalTrackers are the numbers of trackers of a flow in each data centre and in the region. All but
// one of those in the data centre must know that a flow is new, so that balancers which know different members agree on
// another one.
const localTrackers, regionalTrackers = 3, 2

// MaxTrackers is the largest number of trackers of a flow.
const MaxTrackers = localTrackers + regionalTrackers

// MaxToldTrackers returns how many trackers of a flow are to be told: only those of the data centre while the traffic budget
// is used up. Copies hardly ever reach another one.
func (m *Messenger) MaxToldTrackers(now time.Duration) int {
	if m.Limiter.Available(now, limiter.Answers) <= 0 {
		return localTrackers
	}
	return MaxTrackers
}

// Trackers returns the other balancers that rendezvous hashing ranks first for a flow in the own data centre and in its
// region: packets reach other data centres if Callers move, or if a data centre has no balancer in the fabric's rotation.
// They are told of a flow that is placed here. It reports false until this balancer is introduced and has heard another one,
// or none for the time after which members count as dead.
func (m *Messenger) Trackers(flow uint64) (trackers []rattanwood.VMID, known bool) {
	if !m.introduction.done || m.introduction.unheard {
		return nil, false
	}
	return m.rankTrackers(flow, nil), true
}

// AskedTrackers returns the other balancers to ask for a flow. Unlike Trackers, it counts this balancer where it is a tracker
// itself: the next one in rank was told by none.
func (m *Messenger) AskedTrackers(flow uint64) []rattanwood.VMID {
	self := m.cfg.Detector.Self
	trackers := m.rankTrackers(flow, []ranked{{vm: self, score: ranker.Score(flow, m.seed)}})
	return slices.DeleteFunc(trackers, func(vm rattanwood.VMID) bool { return vm == self })
}

// rankTrackers ranks the other members, and those in first, for a flow.
func (m *Messenger) rankTrackers(flow uint64, first []ranked) []rattanwood.VMID {
	own := m.cfg.Detector.DataCentre
	local := first
	for _, d := range m.eligibleIn(own) {
		local = addRanked(local, ranked{vm: d.VM, score: ranker.Score(flow, d.Seed)}, localTrackers)
	}
	var regional []ranked
	for _, r := range local {
		regional = addRanked(regional, r, regionalTrackers)
	}
	for dc, members := range m.eligible {
		if dc == own || m.cfg.IsNear == nil || !m.cfg.IsNear(dc) {
			continue
		}
		for _, d := range members {
			regional = addRanked(regional, ranked{vm: d.VM, score: ranker.Score(flow, d.Seed)}, regionalTrackers)
		}
	}
	var trackers []rattanwood.VMID
	for _, r := range slices.Concat(local, regional) {
		if !slices.Contains(trackers, r.vm) {
			trackers = append(trackers, r.vm)
		}
	}
	return trackers
}

// ranked is a balancer with its score.
type ranked struct {
	vm    rattanwood.VMID
	score uint64
}

// addRanked adds a balancer to the count highest ones, which are in order.
func addRanked(highest []ranked, r ranked, count int) []ranked {
	i, _ := slices.BinarySearchFunc(highest, r, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
	if i == count {
		return highest
	}
	highest = slices.Insert(highest, i, r)
	return highest[:min(len(highest), count)]
}

// observeTurnover records whether a balancer of the own data centre came, went or started again since the last call.
func (m *Messenger) observeTurnover(now time.Duration) {
	digest := uint64(0)
	for _, d := range m.eligibleIn(m.cfg.Detector.DataCentre) {
		digest ^= ranker.Score(d.Seed, uint64(d.Incarnation))
	}
	if digest != m.turnover {
		m.turnover, m.turnoverAt = digest, now
	}
}

// TurnoverAt returns when a balancer of the own data centre last came, went or started again, as far as is known here, or
// zero.
func (m *Messenger) TurnoverAt() time.Duration { return m.turnoverAt }

// Seek returns the action to ask another balancer where a flow went, and false like Ask.
func (m *Messenger) Seek(now time.Duration, to rattanwood.VMID, s *wire.Seek) (Send, bool) {
	return m.sendTo(now, limiter.Placements, to, &wire.Envelope{Body: &wire.Envelope_Seek{Seek: s}})
}

// Tell returns the action to tell another balancer where flows went, and false like Ask.
func (m *Messenger) Tell(now time.Duration, to rattanwood.VMID, t *wire.Told) (Send, bool) {
	return m.sendTo(now, limiter.Placements, to, &wire.Envelope{Body: &wire.Envelope_Told{Told: t}})
}

// eligibleIn returns the other members of a data centre that take part in the rankings.
func (m *Messenger) eligibleIn(dc rattanwood.DataCentre) []*detector.Member {
	if generation := m.Members.Generation(); m.eligibleGeneration != generation || m.eligible == nil {
		m.eligibleGeneration, m.eligible = generation, map[rattanwood.DataCentre][]*detector.Member{}
		for _, d := range m.Members.Members() {
			if eligible(d) {
				m.eligible[d.DataCentre] = append(m.eligible[d.DataCentre], d)
			}
		}
	}
	return m.eligible[dc]
}

// Ask returns the action to ask another balancer where a flow's first packet goes. It reports false if that is unknown or
// the budget isn't sufficient.
func (m *Messenger) Ask(now time.Duration, to rattanwood.VMID, a *wire.Ask) (Send, bool) {
	return m.sendTo(now, limiter.Answers, to, &wire.Envelope{Body: &wire.Envelope_Ask{Ask: a}})
}

// Advise returns the action to answer an Ask, and false like Ask.
func (m *Messenger) Advise(now time.Duration, to rattanwood.VMID, a *wire.Advice) (Send, bool) {
	return m.sendTo(now, limiter.Answers, to, &wire.Envelope{Body: &wire.Envelope_Advice{Advice: a}})
}

// Tally returns the action to tell another balancer of requests that began and ended. It reports false if that is
// unknown or the budget isn't sufficient; the requests then count until they are too old.
func (m *Messenger) Tally(now time.Duration, to rattanwood.VMID, t *wire.Tally) (Send, bool) {
	return m.sendTo(now, limiter.Answers, to, &wire.Envelope{Body: &wire.Envelope_Tally{Tally: t}})
}

// sendTo returns the action to send a message of a class to a balancer, and false like Ask.
func (m *Messenger) sendTo(now time.Duration, class limiter.Class, to rattanwood.VMID, e *wire.Envelope) (Send, bool) {
	d, known := m.Members.Member(to)
	if !known {
		return Send{}, false
	}
	return m.prepare(now, class, d, e)
}
