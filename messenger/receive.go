package messenger

import (
	"net/netip"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/detector"
	"example.org/rattanwood/ranker"
	"example.org/rattanwood/watcher"
	"example.org/rattanwood/wire"
)

// HandleMessage takes in a datagram from the balancer at an address. It returns the
// news of a heartbeat, and false for any other message.
func (m *Messenger) HandleMessage(now time.Duration, from netip.AddrPort, e *wire.Envelope) (Heartbeat, bool) {
	vm := rattanwood.VMID(e.GetVm())
	if _, known := m.Members.Member(vm); !known {
		m.Members.Add(vm, from, "")
	}
	sender, known := m.Members.Member(vm)
	if !known {
		return Heartbeat{}, false
	}
	switch body := e.GetBody().(type) {
	case *wire.Envelope_Beat:
		return m.heard(now, sender, e, body.Beat)
	case *wire.Envelope_Probe:
		if w, ok := m.Members.AnswerProbe(now, body.Probe); ok {
			m.send(now, sender, &wire.Envelope{Body: &wire.Envelope_Witness{Witness: w}})
		}
	case *wire.Envelope_Witness:
		m.Members.HandleProbeAnswer(now, body.Witness)
	case *wire.Envelope_Roster:
		if m.Members.MergeMemberList(body.Roster) {
			// Whoever beats next may know more.
			m.rostered = 0
		}
	case *wire.Envelope_Pull:
		m.send(now, sender, &wire.Envelope{Body: &wire.Envelope_Roster{Roster: m.Members.BuildMemberList(body.Pull)}})
	}
	return Heartbeat{}, false
}

func (m *Messenger) heard(now time.Duration, sender *detector.Member, e *wire.Envelope, beat *wire.Beat) (Heartbeat, bool) {
	event, ok := m.Members.HandleHeartbeat(now, sender.VM, rattanwood.Incarnation(e.GetLife()), beat, detector.HeartbeatPayload{})
	if !ok {
		return Heartbeat{}, false
	}
	if event.Members && (m.rostered == 0 || now-m.rostered >= rosterPause) {
		m.rostered = now
		m.send(now, sender, &wire.Envelope{Body: &wire.Envelope_Pull{Pull: m.Members.BuildPull()}})
	}
	news := Heartbeat{From: sender.VM, DataCentre: sender.DataCentre}
	news.Prior = rattanwood.Revision(beat.GetPrior())
	// Records that can't be read are fetched, like those that are missing.
	news.Records, news.RecordsError = Decode(beat.GetRecords())
	news.Revision, news.Leaving, news.SourceUnreachable = rattanwood.Revision(beat.GetVersion()), beat.GetLeaving(), beat.GetBlind()
	news.Age, news.Confirmed = DecodeAge(beat.GetConfirmed())
	news.Reader, news.ConfirmationSeq = watcher.ReaderID(beat.GetReader()), beat.GetConfirmation()
	for _, l := range beat.GetLoads() {
		news.Loads = append(news.Loads, Load{
			Upstream: rattanwood.UpstreamID(l.GetUpstream()), Work: float64(l.GetWork()) / hundredths,
			Failures: float64(l.GetFailures()) / hundredths, ReportedFailures: float64(l.GetRumour()) / hundredths,
		})
	}
	news.Failing, news.Dead = decodeUpstreams(beat.GetFailing()), decodeUpstreams(beat.GetDead())
	return news, true
}

// RequestSync asks for a fetch from a balancer that knows a newer revision than this one.
func (m *Messenger) RequestSync(now time.Duration, vm rattanwood.VMID, own rattanwood.Revision) {
	sender, ok := m.Members.Member(vm)
	if !ok || m.synced != 0 && now-m.synced < syncPause {
		return
	}
	m.synced = now
	m.actions = append(m.actions, Sync{VM: vm, Address: sender.Address, After: own})
}

// FinishSync records that a fetch has ended, so that another may begin at once.
func (m *Messenger) FinishSync() { m.synced = 0 }

// able reports whether a member can take on duties, as far as is known here.
func able(d *detector.Member) bool {
	return d.State != detector.Dead && !d.Leaving && d.DataCentre != ""
}

// BalancersPerDataCentre returns the number of balancers in each data centre, this one included.
func (m *Messenger) BalancersPerDataCentre() map[rattanwood.DataCentre]int {
	sizes := map[rattanwood.DataCentre]int{m.cfg.Detector.DataCentre: 1}
	for _, d := range m.Members.Members() {
		if able(d) {
			sizes[d.DataCentre]++
		}
	}
	return sizes
}

// ReaderRank returns how many balancers come before this one in taking over the reading of the source.
func (m *Messenger) ReaderRank() int {
	return m.rank(readerKey, func(*detector.Member) bool { return true })
}

// ReaderID returns the number of this life as a reader.
func (m *Messenger) ReaderID() watcher.ReaderID {
	return watcher.ReaderID(ranker.Score(m.seed, uint64(m.cfg.Detector.Incarnation)))
}

// readerKey orders the readers.
var readerKey = ranker.Seed("reader")

// ChecksUpstream reports whether the check of an upstream falls to this balancer in its data centre.
func (m *Messenger) ChecksUpstream(now time.Duration, id rattanwood.UpstreamID) bool {
	if now-m.ranked >= dutyKeep {
		m.ranked = now
		clear(m.duties)
	}
	first, ok := m.duties[id]
	if !ok {
		first = m.rank(uint64(id), func(d *detector.Member) bool { return d.DataCentre == m.cfg.Detector.DataCentre }) == 0
		m.duties[id] = first
	}
	return first
}

func (m *Messenger) rank(key uint64, match func(*detector.Member) bool) int {
	own := ranker.Score(key, m.seed)
	above := 0
	for _, d := range m.Members.Members() {
		if able(d) && match(d) && ranker.Score(key, d.Seed) > own {
			above++
		}
	}
	return above
}
