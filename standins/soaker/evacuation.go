package soaker

import (
	"context"
	"fmt"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/platform/emulator"
)

// evacuation is the state of the request to send no new flows to dataCentre.
type evacuation struct {
	// planned is set while an event acts on it, and asked while the request holds.
	planned, asked bool
	// since is when balancers could learn of the request. It is zero if none may know of it any more.
	since time.Time
	// askedBefore is set once there was a request.
	askedBefore bool
}

// upstreamsInSecondDataCentre is the number of upstreams of each service that start there.
const upstreamsInSecondDataCentre = 2

var evacuationKey = emulator.EvacuationKey(dataCentre)

// newEvacuationEvent returns an event in which dataCentre is evacuated and taken back, unless that is under way.
// Its first occurrence starts the upstreams in secondDataCentre that carry the load.
func (s *soakRun) newEvacuationEvent() (event, bool) {
	d := applyDeadline + s.randomDuration(500, 14000)
	if !s.planEvacuation() {
		return event{}, false
	}
	name := fmt.Sprintf("evacuate %s for %v", dataCentre, d)
	for _, service := range []rattanwood.ServiceID{serviceSwap, serviceMaps} {
		for i := 0; i < upstreamsInSecondDataCentre && !s.hasSecondDataCentre; i++ {
			if err := s.addUpstream(service, secondDataCentre); err != nil {
				return event{name, func(context.Context) error { return err }}, true
			}
		}
	}
	s.hasSecondDataCentre = true
	return event{name, func(ctx context.Context) error {
		// The balancers must know the upstreams that are to carry the load.
		sleep(ctx, applyDeadline)
		s.beginEvacuation()
		sleep(ctx, d)
		s.endEvacuation()
		return nil
	}}, true
}

// planEvacuation reports whether no evacuation was planned or under way, and reserves the only one.
func (m *monitor) planEvacuation() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	free := !m.evacuation.planned
	m.evacuation.planned = true
	return free
}

// beginEvacuation writes the request.
func (m *monitor) beginEvacuation() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.evacuation.asked, m.evacuation.askedBefore, m.evacuation.since = true, true, time.Now()
	m.store.put(evacuationKey, []byte(emulator.EvacuationValue))
}

// endEvacuation takes the request back.
func (m *monitor) endEvacuation() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.evacuation = evacuation{askedBefore: true}
	m.deleteEvacuation()
}

// deleteEvacuation deletes the request. If the store has lost it, it is written first, since balancers hear of the
// deletion only of what the store has.
func (m *monitor) deleteEvacuation() {
	if m.store.value(evacuationKey) == nil {
		m.store.put(evacuationKey, []byte(emulator.EvacuationValue))
	}
	m.store.put(evacuationKey, nil)
}

// forgetLostEvacuation records that all balancers stop, so that none knows of a request that the store has lost.
func (m *monitor) forgetLostEvacuation() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.store.value(evacuationKey) == nil {
		m.evacuation.since = time.Time{}
	}
}

// rewriteEvacuation writes what was asked for in the end, after the store came back from an older copy. A request that
// balancers knew before isn't written again: they must keep it in force.
func (m *monitor) rewriteEvacuation() {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.evacuation.asked && !m.evacuation.since.IsZero() && m.evacuation.since.Add(applyDeadline).Before(m.rewoundAt):
	case m.evacuation.asked:
		m.evacuation.since = time.Now()
		m.store.put(evacuationKey, []byte(emulator.EvacuationValue))
	case m.evacuation.askedBefore:
		m.deleteEvacuation()
	}
}
