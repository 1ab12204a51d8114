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

// Message takes in a datagram from the balancer at an address. It returns the
// news of a heartbeat, and false for any other message.
func (m *Messenger) Message(now time.Duration, from netip.AddrPort, e *wire.Envelope) (News, bool) {
	vm := rattanwood.VMID(e.GetVm())
	if _, known := m.Members.Member(vm); !known {
		m.Members.Add(vm, from, "")
	}
	sender, known := m.Members.Member(vm)
	if !known {
		return News{}, false
	}
	switch body := e.GetBody().(type) {
	case *wire.Envelope_Beat:
		return m.heard(now, sender, e, body.Beat)
	case *wire.Envelope_Probe:
		if w, ok := m.Members.Witness(now, body.Probe); ok {
			m.send(now, sender, &wire.Envelope{Body: &wire.Envelope_Witness{Witness: w}})
		}
	case *wire.Envelope_Witness:
		m.Members.Vouch(now, body.Witness)
	case *wire.Envelope_Roster:
		if m.Members.Enrol(body.Roster) {
			// Whoever beats next may know more.
			m.rostered = 0
		}
	case *wire.Envelope_Pull:
		m.send(now, sender, &wire.Envelope{Body: &wire.Envelope_Roster{Roster: m.Members.Roster(body.Pull)}})
	}
	return News{}, false
}

func (m *Messenger) heard(now time.Duration, sender *detector.Member, e *wire.Envelope, beat *wire.Beat) (News, bool) {
	event, ok := m.Members.Heard(now, sender.VM, rattanwood.Incarnation(e.GetLife()), beat, detector.Knowledge{})
	if !ok {
		return News{}, false
	}
	if event.Roster && (m.rostered == 0 || now-m.rostered >= rosterPause) {
		m.rostered = now
		m.send(now, sender, &wire.Envelope{Body: &wire.Envelope_Pull{Pull: m.Members.Pull()}})
	}
	news := News{From: sender.VM, DataCentre: sender.DataCentre}
	news.Prior = rattanwood.Revision(beat.GetPrior())
	// Records that can't be read are fetched, like those that are missing.
	news.Records, news.Bad = Decode(beat.GetRecords())
	news.Revision, news.Leaving, news.Blind = rattanwood.Revision(beat.GetVersion()), beat.GetLeaving(), beat.GetBlind()
	news.Age, news.Confirmed = DecodeAge(beat.GetConfirmed())
	news.Reader, news.Seq = watcher.Reader(beat.GetReader()), beat.GetConfirmation()
	for _, l := range beat.GetLoads() {
		news.Loads = append(news.Loads, Load{
			Upstream: rattanwood.UpstreamID(l.GetUpstream()), Work: float64(l.GetWork()) / hundredths,
			Failures: float64(l.GetFailures()) / hundredths, Rumour: float64(l.GetRumour()) / hundredths,
		})
	}
	news.Failing, news.Dead = decodeUpstreams(beat.GetFailing()), decodeUpstreams(beat.GetDead())
	return news, true
}

// Behind asks for a fetch from a balancer that knows a newer revision than this one.
func (m *Messenger) Behind(now time.Duration, vm rattanwood.VMID, own rattanwood.Revision) {
	sender, ok := m.Members.Member(vm)
	if !ok || m.synced != 0 && now-m.synced < syncPause {
		return
	}
	m.synced = now
	m.actions = append(m.actions, Sync{VM: vm, Address: sender.Address, After: own})
}

// Synced records that a fetch has ended, so that another may begin at once.
func (m *Messenger) Synced() { m.synced = 0 }

// able reports whether a member can take on duties, as far as is known here.
func able(d *detector.Member) bool {
	return d.State != detector.Dead && !d.Leaving && d.DataCentre != ""
}

// Sizes returns the number of balancers in each data centre, this one included.
func (m *Messenger) Sizes() map[rattanwood.DataCentre]int {
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

// Reader returns the number of this life as a reader.
func (m *Messenger) Reader() watcher.Reader {
	return watcher.Reader(ranker.Score(m.seed, uint64(m.cfg.Detector.Life)))
}

// readerKey orders the readers.
var readerKey = ranker.Seed("reader")

// Duty reports whether the check of an upstream falls to this balancer in its data centre.
func (m *Messenger) Duty(now time.Duration, id rattanwood.UpstreamID) bool {
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
