package messenger

import (
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
	return m.answer(now, to, &wire.Envelope{Body: &wire.Envelope_Ask{Ask: a}})
}

// Advise returns the action to answer an Ask, and false like Ask.
func (m *Messenger) Advise(now time.Duration, to rattanwood.VMID, a *wire.Advice) (Send, bool) {
	return m.answer(now, to, &wire.Envelope{Body: &wire.Envelope_Advice{Advice: a}})
}

// Tally returns the action to tell another balancer of requests that began and ended. It reports false if that is
// unknown or the budget isn't sufficient; the requests then count until they are too old.
func (m *Messenger) Tally(now time.Duration, to rattanwood.VMID, t *wire.Tally) (Send, bool) {
	return m.answer(now, to, &wire.Envelope{Body: &wire.Envelope_Tally{Tally: t}})
}

// answer returns the action to send a message of the class limiter.Answers to a balancer.
func (m *Messenger) answer(now time.Duration, to rattanwood.VMID, e *wire.Envelope) (Send, bool) {
	d, known := m.Members.Member(to)
	if !known {
		return Send{}, false
	}
	return m.prepare(now, limiter.Answers, d, e)
}
