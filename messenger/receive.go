package messenger

import (
	"net/netip"
	"slices"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/detector"
	"example.org/rattanwood/ranker"
	"example.org/rattanwood/watcher"
	"example.org/rattanwood/wire"
)

// HandleMessage processes a datagram from the balancer at an address. It returns the content of a
// heartbeat, and false for any other message.
func (m *Messenger) HandleMessage(now time.Duration, from netip.AddrPort, e *wire.Envelope) (Heartbeat, bool) {
	sender, ok := m.senderAt(rattanwood.VMID(e.GetVm()), from)
	if !ok {
		return Heartbeat{}, false
	}
	m.introduction.unheard = false
	switch body := e.GetBody().(type) {
	case *wire.Envelope_Beat:
		return m.handleHeartbeat(now, sender, e, body.Beat)
	case *wire.Envelope_Probe:
		if w, ok := m.Members.AnswerProbe(now, body.Probe); ok {
			m.send(now, sender, &wire.Envelope{Body: &wire.Envelope_Witness{Witness: w}})
		}
	case *wire.Envelope_Witness:
		m.Members.HandleProbeAnswer(now, body.Witness)
	case *wire.Envelope_Roster:
		m.Members.ApplyNews(now, body.Roster)
		if m.Members.MergeMemberList(body.Roster) {
			// The sender of the next heartbeat may know further members, so ask it without delay. Peers that
			// know fewer see that by this balancer's next heartbeat.
			m.lastPull = 0
			m.spreadNames(now)
		}
		m.handleMemberList(now, sender, body.Roster)
	case *wire.Envelope_Ballot:
		m.handleBallot(now, sender, body.Ballot)
	case *wire.Envelope_Pull:
		m.send(now, sender, &wire.Envelope{Body: &wire.Envelope_Roster{Roster: m.answerPull(now, body.Pull)}})
	}
	return Heartbeat{}, false
}

// senderAt returns the member that sent a message from an address, and adds it if it isn't known.
func (m *Messenger) senderAt(vm rattanwood.VMID, from netip.AddrPort) (*detector.Member, bool) {
	if _, known := m.Members.Member(vm); !known {
		m.Members.Add(vm, from, "")
	}
	return m.Members.Member(vm)
}

// spreadNames triggers a round of heartbeats because members became known or their states changed, unless it
// did so within namesSpreadInterval.
func (m *Messenger) spreadNames(now time.Duration) {
	if now-m.lastNamesSpread >= namesSpreadInterval {
		m.lastNamesSpread = now
		m.Members.TriggerHeartbeats()
	}
}

// handleHeartbeat records a heartbeat, asks its sender for its member list if that differs, and
// decodes the payload; the result is false for a heartbeat that must be ignored.
func (m *Messenger) handleHeartbeat(now time.Duration, sender *detector.Member, e *wire.Envelope, message *wire.Beat) (Heartbeat, bool) {
	diff, ok := m.Members.HandleHeartbeat(now, sender.VM, rattanwood.Incarnation(e.GetLife()), message, detector.HeartbeatPayload{})
	if !ok {
		return Heartbeat{}, false
	}
	if sender.DataCentre != m.cfg.Detector.DataCentre {
		m.lastRemote = now
	}
	m.settling.agreed = m.settling.agreed || !diff.Members
	if m.cfg.Warmer != nil {
		m.cfg.Warmer.HearPeer()
	}
	switch {
	case m.KnowsFleet() && message.GetStarting():
		// The sender names the members that it has learned of so far, which are known here.
	case !m.KnowsFleet() && !message.GetStarting():
		m.pullAtStart(now, sender)
	case diff.Members && (m.lastPull == 0 || now-m.lastPull >= pullInterval):
		m.lastPull = now
		m.send(now, sender, &wire.Envelope{Body: &wire.Envelope_Pull{Pull: m.Members.BuildPull()}})
	}
	heartbeat := Heartbeat{From: sender.VM, DataCentre: sender.DataCentre}
	heartbeat.Prior = rattanwood.Position(message.GetPrior())
	if rattanwood.Position(message.GetVersion()) > m.cfg.Position() {
		// Records that can't be decoded are fetched, like those that are missing.
		heartbeat.Records, heartbeat.RecordsError = DecodeBundle(message.GetRecords(), message.GetPacked())
	}
	heartbeat.Position, heartbeat.Leaving, heartbeat.SourceUnreachable = rattanwood.Position(message.GetVersion()), message.GetLeaving(), message.GetBlind()
	heartbeat.Settling, heartbeat.Informed, heartbeat.Kept = message.GetSettling(), message.GetInformed(), message.GetKept()
	heartbeat.Age, heartbeat.Confirmed = DecodeAge(message.GetConfirmed())
	heartbeat.Reader, heartbeat.ConfirmationSeq = watcher.ReaderID(message.GetReader()), message.GetConfirmation()
	for _, l := range message.GetLoads() {
		heartbeat.Loads = append(heartbeat.Loads, LoadReport{
			Upstream: rattanwood.UpstreamID(l.GetUpstream()), Requests: float64(l.GetWork()) / unitsPerRequest,
			Failures: float64(l.GetFailures()) / unitsPerRequest, KnownFailures: float64(l.GetRumour()) / unitsPerRequest,
		})
	}
	heartbeat.Demands = decodeDemands(message.GetDemands())
	heartbeat.Failing, heartbeat.Dead = decodeUpstreams(message.GetFailing()), decodeUpstreams(message.GetDead())
	return heartbeat, true
}

// RequestFetch fetches the changes after a position from a balancer that has a newer one, unless a
// fetch is under way that began within fetchRetryInterval.
func (m *Messenger) RequestFetch(now time.Duration, vm rattanwood.VMID, after rattanwood.Position) {
	sender, ok := m.Members.Member(vm)
	if !ok || m.fetchStarted != 0 && now-m.fetchStarted < fetchRetryInterval {
		return
	}
	m.fetchStarted = now
	m.actions = append(m.actions, Fetch{VM: vm, Address: sender.Address, After: after})
}

// FinishFetch records that a fetch has ended, so that the next one may begin at once.
func (m *Messenger) FinishFetch() { m.fetchStarted = 0 }

// eligible reports whether a member takes part in the rankings, as far as is known here.
func eligible(d *detector.Member) bool {
	return d.State != detector.Dead && !d.Leaving && d.DataCentre != ""
}

// HearsOtherDataCentre reports whether a balancer of another data centre was heard within two intervals of
// heartbeats, or none is known. Each balancer has several neighbours there.
func (m *Messenger) HearsOtherDataCentre(now time.Duration) bool {
	if m.lastRemote != 0 && now-m.lastRemote <= 2*m.cfg.Detector.HeartbeatInterval {
		return true
	}
	return !slices.ContainsFunc(m.Members.Members(), func(other *detector.Member) bool {
		return other.DataCentre != "" && other.DataCentre != m.cfg.Detector.DataCentre
	})
}

// BalancersPerDataCentre returns the number of balancers in each data centre, this one included.
func (m *Messenger) BalancersPerDataCentre() map[rattanwood.DataCentre]int {
	sizes := map[rattanwood.DataCentre]int{m.cfg.Detector.DataCentre: 1}
	for _, d := range m.Members.Members() {
		if eligible(d) {
			sizes[d.DataCentre]++
		}
	}
	return sizes
}

// ReaderRank returns how many balancers come before this one in the order in which they take over
// reading the source.
func (m *Messenger) ReaderRank() int {
	return m.countHigherRanked(readerKey)
}

// ReaderID returns the identity of this incarnation as a reader of the source.
func (m *Messenger) ReaderID() watcher.ReaderID {
	return watcher.ReaderID(ranker.Score(m.seed, uint64(m.cfg.Detector.Incarnation)))
}

// readerKey is the key by which readers are ranked.
var readerKey = ranker.Seed("reader")

// ChecksUpstream reports whether this balancer is the one of its own data centre that checks an
// upstream, wherever the upstream is. No balancer is until its list of members is complete or has had the
// time to become so.
func (m *Messenger) ChecksUpstream(now time.Duration, id rattanwood.UpstreamID) bool {
	if !m.settling.done {
		return false
	}
	if generation := m.Members.Generation(); m.rankedGeneration != generation {
		m.rankedGeneration = generation
		m.assignments.setBalancers(m.localBalancers())
	}
	return m.assignments.firstFor(now, id) == m.seed
}

// localBalancers returns the hashes of the names of the eligible balancers in this data centre, this one included.
func (m *Messenger) localBalancers() []uint64 {
	seeds := []uint64{m.seed}
	for _, d := range m.Members.Members() {
		if eligible(d) && d.DataCentre == m.cfg.Detector.DataCentre {
			seeds = append(seeds, d.Seed)
		}
	}
	return seeds
}

// countHigherRanked returns the number of eligible members that rendezvous hashing ranks above this
// balancer for a key.
func (m *Messenger) countHigherRanked(key uint64) int {
	own := ranker.Score(key, m.seed)
	higher := 0
	for _, d := range m.Members.Members() {
		if eligible(d) && ranker.Score(key, d.Seed) > own {
			higher++
		}
	}
	return higher
}
