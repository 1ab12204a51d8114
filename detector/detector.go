// Package detector keeps the members of the system and what each has proved to know.
//
// Members exchange heartbeats. A heartbeat echoes the receiver's last one, so
// that the receiver can bound from its own clock alone when the heartbeat's
// content was true. A silent member is first suspected, then its state is asked
// from others, then it is declared dead. Indirect probes and incarnations
// follow SWIM (Das, Gupta and Motivala, 2002).
package detector

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/ranker"
	"example.org/rattanwood/wire"
)

// State is what is believed of a member.
type State uint8

// The states.
const (
	// Listed members were named by others but never heard.
	Listed State = iota
	// Alive members were heard lately.
	Alive
	// Suspect members are silent, but not for long or not for everybody.
	Suspect
	// Dead members are silent for everybody that could be asked.
	Dead
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"listed", "alive", "suspect", "dead"}[s]
}

// remembered is the number of own heartbeats whose sending times are kept.
const remembered = 64

// witnesses is the number of members that are asked about a suspect.
const witnesses = 3

// Config builds a Detector.
type Config struct {
	Self        rattanwood.VMID
	Address     netip.AddrPort
	DataCentre  rattanwood.DataCentre
	Incarnation rattanwood.Incarnation
	// HeartbeatInterval is the time between two heartbeats to a member.
	HeartbeatInterval time.Duration
	// SuspectAfter is the silence after which a member is suspected.
	SuspectAfter time.Duration
	// DeadAfter is the silence after which a suspect without a witness is dead.
	DeadAfter time.Duration
	// ActivationDelay is how long a member waits before it acts on news, so the longest age of a useful proof.
	ActivationDelay time.Duration
	// PauseThreshold is the pause of this process after which it trusts nothing that it knew.
	PauseThreshold time.Duration
	// Seed feeds the choice of witnesses.
	Seed uint64
	// Sparse lets each member beat only its neighbours, so that its cost hardly grows with the
	// fleet. Then nothing is proved about the others.
	Sparse bool
}

// HeartbeatPayload is what a heartbeat says of its sender.
type HeartbeatPayload struct {
	Version      rattanwood.Version
	HealthDigest uint64
	// Leaving is set during a graceful shutdown.
	Leaving bool
	// PlatformUnreachable is set while the platform can't be reached.
	PlatformUnreachable bool
	// Watermark is the version whose exceptions have been replicated in full.
	Watermark rattanwood.Version
}

// Differences tells the caller what it should do about a heartbeat.
type Differences struct {
	// NewerDocument is set when the sender knows a newer document.
	NewerDocument bool
	// Health is set when the sender's marks differ.
	Health bool
	// Members is set when the sender's members differ.
	Members bool
}

// Detector is the table of members. It isn't safe for concurrent use.
type Detector struct {
	cfg     Config
	rows    map[rattanwood.VMID]*Member
	order   []*Member
	random  *rand.Rand
	seq     uint64
	sent    [remembered]time.Duration
	beat    time.Duration
	ticked  time.Duration
	woke    time.Duration
	waking  bool
	started bool
	hurried bool
	// roster is the digest of the members; stale is set when it has to be computed again.
	roster uint64
	stale  bool
}

// New returns a detector that knows only itself.
func New(cfg Config) *Detector {
	return &Detector{
		cfg:    cfg,
		rows:   map[rattanwood.VMID]*Member{},
		random: rand.New(rand.NewPCG(cfg.Seed, ranker.Seed(string(cfg.Self)))),
		stale:  true,
	}
}

// Tick advances the table and returns the members to beat and, for each suspect, those to ask.
func (d *Detector) Tick(now time.Duration) (beats []*Member, probes []IndirectProbe) {
	d.wake(now)
	d.ticked = now
	wait := d.cfg.HeartbeatInterval
	if d.hurried {
		wait = hurry
	}
	if now-d.beat < wait && d.seq != 0 {
		return nil, nil
	}
	d.beat, d.hurried = now, false
	d.seq++
	d.sent[d.seq%remembered] = now
	if d.cfg.Sparse {
		d.choose(now)
	}
	for _, m := range d.order {
		probes = append(probes, d.judge(now, m)...)
		if m.due(now, d.cfg.HeartbeatInterval) {
			m.contacted = now
			beats = append(beats, m)
		}
	}
	if d.cfg.Sparse {
		beats = append(beats, d.stranger(now)...)
	}
	return beats, probes
}

// IndirectProbe asks Witness about Target.
type IndirectProbe struct {
	Helper *Member
	Target rattanwood.VMID
}

// TriggerHeartbeats makes one of the next ticks beat all members, to spread news.
func (d *Detector) TriggerHeartbeats() { d.hurried = true }

// hurry is the shortest time between two rounds of heartbeats.
const hurry = 100 * time.Millisecond

// slowdown is how much less often members are beaten that are not alive.
const slowdown = 4

func (m *Member) due(now, beat time.Duration) bool {
	if m.distant {
		return false
	}
	if m.State == Alive || m.State == Suspect {
		return true
	}
	return m.contacted == 0 || now-m.contacted >= slowdown*beat
}

// wake notices a pause of this process by the gap since its last tick.
func (d *Detector) wake(now time.Duration) {
	if !d.started {
		d.started = true
		d.woke = now
		d.waking = true
		return
	}
	if now-d.ticked <= d.cfg.PauseThreshold {
		return
	}
	pause := now - d.ticked
	d.woke = now
	d.waking = true
	d.seq += remembered
	for _, m := range d.order {
		m.heard += pause
		m.vouched += pause
		m.proved = 0
	}
}

func (d *Detector) judge(now time.Duration, m *Member) []IndirectProbe {
	silence := now - max(m.heard, m.vouched)
	switch {
	case m.State != Alive && m.State != Suspect:
		return nil
	case m.distant:
		if silence >= d.cfg.SuspectAfter {
			// Nobody beats here without being a neighbour, so silence says nothing.
			m.State = Listed
			d.stale = true
		}
		return nil
	case silence >= d.cfg.DeadAfter:
		m.State = Dead
		d.stale = true
		return nil
	case now-m.heard < d.cfg.SuspectAfter:
		return nil
	}
	if m.State == Alive {
		m.State = Suspect
		d.stale = true
	}
	return d.questions(m)
}

func (d *Detector) questions(target *Member) []IndirectProbe {
	var asked []IndirectProbe
	for _, i := range d.random.Perm(len(d.order)) {
		m := d.order[i]
		if m.State == Alive && len(asked) < witnesses {
			asked = append(asked, IndirectProbe{Helper: m, Target: target.VM})
		}
	}
	return asked
}

// BuildHeartbeat builds the heartbeat for a member.
func (d *Detector) BuildHeartbeat(now time.Duration, m *Member, k HeartbeatPayload) *wire.Beat {
	b := &wire.Beat{
		Seq:     d.seq,
		Version: uint64(k.Version),
		Marks:   k.HealthDigest,
		Roster:  d.digest(),
		Leaving: k.Leaving,
		Blind:   k.PlatformUnreachable,
		Base:    uint64(k.Watermark),

		Courtesy: d.cfg.Sparse && !m.chosen,
	}
	if d.cfg.Sparse {
		b.Centre = string(d.cfg.DataCentre)
	}
	if m.seq != 0 {
		b.Echo = m.seq
		b.Held = uint64((now - m.received) / time.Microsecond)
	}
	return b
}

// HandleHeartbeat takes in a heartbeat; own is what this process knows.
// An answer from an earlier incarnation is ignored and ok is false.
func (d *Detector) HandleHeartbeat(now time.Duration, vm rattanwood.VMID, life rattanwood.Incarnation, b *wire.Beat, own HeartbeatPayload) (e Differences, ok bool) {
	m, known := d.rows[vm]
	if !known || life < m.Incarnation && !d.steppedBack(now, m) {
		return Differences{}, false
	}
	if life != m.Incarnation {
		m.Incarnation = life
		d.stale = true
		m.proved = 0
		m.seq = 0
	}
	if b.Seq < m.seq {
		return Differences{}, false
	}
	d.revive(now, m, b)
	d.locate(m, rattanwood.DataCentre(b.GetCentre()))
	m.Version = rattanwood.Version(b.Version)
	m.PlatformUnreachable = b.Blind
	e = Differences{NewerDocument: m.Version > own.Version, Health: b.Marks != own.HealthDigest, Members: b.Roster != d.digest()}
	if sent, ok := d.echoed(now, b); ok && !e.NewerDocument && !e.Health {
		m.proved = max(m.proved, sent)
	}
	return e, true
}

// steppedBack reports whether an earlier incarnation may be a new one of a VM whose clock was set
// back: datagrams of a life that has ended don't arrive this late. Only a sparse detector, on which no
// promise about requests rests, takes that for proof.
func (d *Detector) steppedBack(now time.Duration, m *Member) bool {
	return d.cfg.Sparse && now-m.heard >= d.cfg.SuspectAfter
}

func (d *Detector) revive(now time.Duration, m *Member, b *wire.Beat) {
	m.heard = now
	m.received = now
	m.seq = b.Seq
	if !b.Courtesy {
		m.wanted = now
	}
	if m.State != Alive || m.Leaving != b.Leaving {
		m.State = Alive
		m.Leaving = b.Leaving
		d.stale = true
	}
}

// echoed returns a time at which the sender of b had not yet sent it.
func (d *Detector) echoed(now time.Duration, b *wire.Beat) (time.Duration, bool) {
	if b.Echo == 0 || b.Echo > d.seq || d.seq-b.Echo >= remembered {
		return 0, false
	}
	sent := d.sent[b.Echo%remembered]
	if d.waking && sent >= d.woke {
		d.waking = false
	}
	return min(now, sent+time.Duration(b.Held)*time.Microsecond), true
}

// maxAge is the largest age that a witness can report, in milliseconds.
const maxAge = 1 << 40

// AnswerProbe answers a probe; ok is false if the target was never heard here.
func (d *Detector) AnswerProbe(now time.Duration, p *wire.Probe) (w *wire.Witness, ok bool) {
	age, ok := d.SinceHeartbeat(now, rattanwood.VMID(p.GetTarget()))
	if !ok {
		return nil, false
	}
	return &wire.Witness{Target: p.GetTarget(), Age: uint64(age / time.Millisecond)}, true
}

// HandleProbeAnswer takes in what a witness knows of a member.
func (d *Detector) HandleProbeAnswer(now time.Duration, w *wire.Witness) {
	m, known := d.rows[rattanwood.VMID(w.GetTarget())]
	age := time.Duration(min(w.GetAge(), maxAge)) * time.Millisecond
	if known && age < d.cfg.SuspectAfter {
		m.vouched = max(m.vouched, now-age)
	}
}

// SinceHeartbeat returns how long ago a member was heard; ok is false if never.
func (d *Detector) SinceHeartbeat(now time.Duration, vm rattanwood.VMID) (age time.Duration, ok bool) {
	m, known := d.rows[vm]
	if !known || m.State == Listed {
		return 0, false
	}
	return now - m.heard, true
}

// LeaseExpiry returns until when this process may rely on knowing all that any member acts on.
func (d *Detector) LeaseExpiry(now time.Duration) time.Duration {
	until := now + d.cfg.ActivationDelay
	for _, m := range d.order {
		if m.State == Alive || m.State == Suspect {
			until = min(until, m.proved+d.cfg.ActivationDelay)
		}
	}
	return until
}

// Resuming reports whether the process began or was paused and no member has answered since.
func (d *Detector) Resuming(now time.Duration) bool {
	if d.started && now-d.ticked > d.cfg.PauseThreshold {
		return true
	}
	return d.waking && now-d.woke < d.cfg.DeadAfter && d.company()
}

// company reports whether there are other members that may live.
func (d *Detector) company() bool {
	return slices.ContainsFunc(d.order, func(m *Member) bool { return m.State != Dead })
}

// WarmingUp reports whether members may not yet know of this one, or it may have missed what they decided.
func (d *Detector) WarmingUp(now time.Duration) bool {
	return now-d.woke < d.cfg.DeadAfter+d.cfg.ActivationDelay
}
