// Package detector is a failure detector for the members of a fleet. It decides which members are
// alive and until when this process's view of them may be relied on; sending and receiving datagrams
// is left to its users.
//
// Members exchange heartbeats. A heartbeat echoes the sequence number of the newest one received from
// its receiver and the time since then. The receiver thereby knows, by its own clock alone, the
// earliest time at which the heartbeat can have been sent. A silent member is first suspected, then
// other members are asked about it, then it is declared dead. Indirect probes and incarnations follow
// SWIM (Das, Gupta and Motivala, 2002).
package detector

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/ranker"
	"example.org/rattanwood/wire"
)

// State is the liveness of a member as seen from this process.
type State uint8

const (
	// Listed members were named by the platform or by peers, but this process doesn't know whether
	// they are alive.
	Listed State = iota
	// Alive members have sent a heartbeat within Config.SuspectAfter.
	Alive
	// Suspect members have been silent for Config.SuspectAfter, but not yet for Config.DeadAfter, or
	// a probe helper has heard them since.
	Suspect
	// Dead members have been silent for Config.DeadAfter, also to all probe helpers that answered.
	Dead
)

// String returns the state as dumps and metrics show it.
func (s State) String() string {
	return [...]string{"listed", "alive", "suspect", "dead"}[s]
}

// heartbeatHistory is the number of this process's own heartbeats whose sending times are kept.
const heartbeatHistory = 64

// probeHelpers is the number of members that are asked about a suspect in each round.
const probeHelpers = 3

// Config holds the identity of this process and the timeouts of its Detector.
type Config struct {
	Self        rattanwood.VMID
	Address     netip.AddrPort
	DataCentre  rattanwood.DataCentre
	Incarnation rattanwood.Incarnation
	// HeartbeatInterval is the time between two regular heartbeats to a member.
	HeartbeatInterval time.Duration
	// SuspectAfter is the time without a heartbeat after which a member is suspected.
	SuspectAfter time.Duration
	// DeadAfter is the time after which a suspect that no probe helper has heard is declared dead.
	DeadAfter time.Duration
	// ActivationDelay is how long every member waits between learning of a change and acting on it.
	// A heartbeat that announces nothing new therefore guarantees for this long that its sender acts
	// on no change that this process doesn't know.
	ActivationDelay time.Duration
	// PauseThreshold is the time between two ticks above which this process counts as paused and no
	// longer relies on what it knew before.
	PauseThreshold time.Duration
	// Seed seeds the random choices of members.
	Seed uint64
	// Sparse restricts heartbeats to each member's neighbours, so that the cost per member hardly
	// grows with the fleet. A sparse detector doesn't hear every member, so its LeaseExpiry can't be
	// relied on.
	Sparse bool
	// MemberRetention is how long a sparse detector keeps members that are dead. DefaultMemberRetention
	// is used if it is zero.
	MemberRetention time.Duration
}

// HeartbeatPayload is what a heartbeat tells about the state of its sender.
type HeartbeatPayload struct {
	Version rattanwood.Version
	// HealthDigest is equal for senders that know the same health states of upstreams.
	HealthDigest uint64
	// Leaving is set during a graceful shutdown.
	Leaving bool
	// PlatformUnreachable is set while the platform can't be reached.
	PlatformUnreachable bool
	// Watermark is the version whose overrides have been replicated in full.
	Watermark rattanwood.Version
}

// Differences tells in which respects the sender of a heartbeat knows something else than this
// process, and so what the calling code should fetch from it.
type Differences struct {
	// NewerDocument is set when the sender knows a newer document.
	NewerDocument bool
	// Health is set when the sender's health states of upstreams differ.
	Health bool
	// Members is set when the sender's member list differs.
	Members bool
}

// Detector holds the member list with the state of each member. It isn't safe for concurrent use.
type Detector struct {
	cfg     Config
	members map[rattanwood.VMID]*Member
	// sorted has all members in the order of their names.
	sorted []*Member
	random *rand.Rand
	// seq numbers the rounds of heartbeats; sent holds when the last rounds were sent, by seq
	// modulo heartbeatHistory.
	seq       uint64
	sent      [heartbeatHistory]time.Duration
	lastRound time.Duration
	lastTick  time.Duration
	// resumedAt is when the process began or was last found to have been paused. resuming is set
	// from then until a member answers a later heartbeat.
	resumedAt time.Duration
	resuming  bool
	started   bool
	// triggered asks for a round before the heartbeat interval is over.
	triggered bool
	// cachedDigest is the digest of the member list; digestStale is set when it has to be computed
	// again.
	cachedDigest uint64
	digestStale  bool
	// generation counts the changes that Generation tells of.
	generation uint64
	// ring holds the members in the order of their hashes as of ringGeneration. centre and fleet are reused by
	// chooseNeighbours.
	ring, centre, fleet []*Member
	ringGeneration      uint64
	// news holds for each member of which there is news the number of rounds in which it is still sent.
	news map[rattanwood.VMID]int
	// changes are those for TakeChanges.
	changes []Change
}

// New returns a detector that knows only itself.
func New(cfg Config) *Detector {
	cfg.MemberRetention = cmp.Or(cfg.MemberRetention, DefaultMemberRetention)
	return &Detector{
		cfg:         cfg,
		members:     map[rattanwood.VMID]*Member{},
		news:        map[rattanwood.VMID]int{},
		random:      rand.New(rand.NewPCG(cfg.Seed, ranker.Seed(string(cfg.Self)))),
		digestStale: true,
		generation:  1,
	}
}

// Tick updates the states of all members. It returns the members that are due a heartbeat and the
// indirect probes to send for suspects.
func (d *Detector) Tick(now time.Duration) (heartbeats []*Member, probes []IndirectProbe) {
	d.handlePause(now)
	d.lastTick = now
	interval := d.cfg.HeartbeatInterval
	if d.triggered {
		interval = minRoundInterval
	}
	if now-d.lastRound < interval && d.seq != 0 {
		return nil, nil
	}
	d.lastRound, d.triggered = now, false
	d.seq++
	d.sent[d.seq%heartbeatHistory] = now
	if d.cfg.Sparse {
		d.forgetMembers(now)
		d.chooseNeighbours(now)
	}
	for _, m := range d.sorted {
		probes = append(probes, d.updateState(now, m)...)
		if m.heartbeatDue(now, d.cfg.HeartbeatInterval) {
			m.lastContacted = now
			heartbeats = append(heartbeats, m)
		}
	}
	if d.cfg.Sparse {
		heartbeats = append(heartbeats, d.randomPeers(now)...)
	}
	return heartbeats, probes
}

// IndirectProbe is a question to Helper, when it last heard Target.
type IndirectProbe struct {
	Helper *Member
	Target rattanwood.VMID
}

// TriggerHeartbeats starts the next round of heartbeats early, at most once per minRoundInterval,
// to spread a change.
func (d *Detector) TriggerHeartbeats() { d.triggered = true }

// minRoundInterval is the shortest time between two rounds of heartbeats.
const minRoundInterval = 100 * time.Millisecond

// inactiveSlowdown is the factor by which heartbeats to listed and dead members are rarer.
const inactiveSlowdown = 4

// leavingDeadTimes is the multiple of Config.DeadAfter after which a member that was leaving and isn't heard has
// either been told to be dead or hasn't left for good.
const leavingDeadTimes = 3

// heartbeatDue reports whether the member gets a heartbeat in this round.
func (m *Member) heartbeatDue(now, interval time.Duration) bool {
	if m.distant {
		return false
	}
	if m.State == Alive || m.State == Suspect {
		return true
	}
	return m.lastContacted == 0 || now-m.lastContacted >= inactiveSlowdown*interval
}

// handlePause recognises a pause of this process by the time since the last tick. It then extends the
// timeouts of all members by the length of the pause, makes heartbeats from before the pause prove
// nothing any more, and begins the resuming state. The first tick begins that state as well.
func (d *Detector) handlePause(now time.Duration) {
	if !d.started {
		d.started = true
		d.resumedAt = now
		d.resuming = true
		return
	}
	if now-d.lastTick <= d.cfg.PauseThreshold {
		return
	}
	pause := now - d.lastTick
	d.resumedAt = now
	d.resuming = true
	// This makes echoes of earlier heartbeats too old to count, see sentNotBefore.
	d.seq += heartbeatHistory
	for _, m := range d.sorted {
		m.lastHeard += pause
		m.heardByHelper += pause
		for _, at := range []*time.Duration{&m.heardAt, &m.deadAt} {
			if *at != 0 {
				*at += pause
			}
		}
		m.inSyncAt = 0
	}
}

// updateState moves a member between its states and returns the indirect probes for a suspect.
func (d *Detector) updateState(now time.Duration, m *Member) []IndirectProbe {
	silence := now - max(m.lastHeard, m.heardByHelper)
	switch {
	case m.State != Alive && m.State != Suspect:
		if d.cfg.Sparse && m.Leaving && m.State == Listed && now-m.heardAt >= leavingDeadTimes*d.cfg.DeadAfter {
			// It has come back on its VM before anyone declared it dead.
			m.Leaving = false
			d.generation++
		}
		return nil
	case m.distant:
		if silence >= d.cfg.SuspectAfter {
			// Members that aren't neighbours send this process no heartbeats, so silence is no sign of
			// failure.
			m.State = Listed
			d.digestStale = true
		}
		return nil
	case silence >= d.cfg.DeadAfter:
		if m.heardAt == 0 {
			// It was named by others but never heard.
			m.heardAt = m.lastHeard
		}
		d.declareDead(now, m, false)
		return nil
	case now-m.lastHeard < d.cfg.SuspectAfter:
		return nil
	}
	if m.State == Alive {
		m.State = Suspect
		d.digestStale = true
	}
	return d.pickHelpers(m)
}

// pickHelpers chooses random alive members to be asked about a suspect.
func (d *Detector) pickHelpers(target *Member) []IndirectProbe {
	var probes []IndirectProbe
	for _, i := range d.random.Perm(len(d.sorted)) {
		m := d.sorted[i]
		if m.State == Alive && len(probes) < probeHelpers {
			probes = append(probes, IndirectProbe{Helper: m, Target: target.VM})
		}
	}
	return probes
}

// BuildHeartbeat builds the heartbeat for a member, which echoes the member's newest one.
func (d *Detector) BuildHeartbeat(now time.Duration, m *Member, payload HeartbeatPayload) *wire.Beat {
	b := &wire.Beat{
		Seq:     d.seq,
		Version: uint64(payload.Version),
		Marks:   payload.HealthDigest,
		Roster:  d.digest(),
		Leaving: payload.Leaving,
		Blind:   payload.PlatformUnreachable,
		Base:    uint64(payload.Watermark),

		Courtesy: d.cfg.Sparse && !m.neighbour,
	}
	if d.cfg.Sparse {
		b.Centre = string(d.cfg.DataCentre)
	}
	if m.lastSeq != 0 {
		b.Echo = m.lastSeq
		b.Held = uint64((now - m.lastSeqAt) / time.Microsecond)
	}
	return b
}

// HandleHeartbeat records a heartbeat of a member and compares it with own, the state of this
// process. A heartbeat that is older than one already heard, or comes from an unknown member or an
// earlier incarnation, is ignored; ok is false then.
func (d *Detector) HandleHeartbeat(now time.Duration, vm rattanwood.VMID, incarnation rattanwood.Incarnation, b *wire.Beat, own HeartbeatPayload) (diff Differences, ok bool) {
	m, known := d.members[vm]
	if !known || incarnation < m.Incarnation && !d.clockSteppedBack(now, m) {
		return Differences{}, false
	}
	if incarnation != m.Incarnation {
		m.Incarnation = incarnation
		d.digestStale = true
		m.inSyncAt = 0
		m.lastSeq = 0
	}
	if b.Seq < m.lastSeq {
		return Differences{}, false
	}
	d.recordHeartbeat(now, m, b)
	d.setDataCentre(m, rattanwood.DataCentre(b.GetCentre()))
	m.Version = rattanwood.Version(b.Version)
	m.PlatformUnreachable = b.Blind
	diff = Differences{NewerDocument: m.Version > own.Version, Health: b.Marks != own.HealthDigest, Members: b.Roster != d.digest()}
	if sent, ok := d.sentNotBefore(now, b); ok && !diff.NewerDocument && !diff.Health {
		m.inSyncAt = max(m.inSyncAt, sent)
	}
	return diff, true
}

// clockSteppedBack reports whether a lower incarnation may be a new process on a VM whose clock was
// set back: datagrams of a process that has ended don't arrive this late. Only a sparse detector
// accepts that as proof, because no guarantee about requests depends on it.
func (d *Detector) clockSteppedBack(now time.Duration, m *Member) bool {
	return d.cfg.Sparse && now-m.lastHeard >= d.cfg.SuspectAfter
}

// recordHeartbeat marks the sender of b as alive.
func (d *Detector) recordHeartbeat(now time.Duration, m *Member, b *wire.Beat) {
	m.lastHeard = now
	m.lastSeqAt = now
	if d.cfg.Sparse {
		m.heardAt = now
	}
	m.lastSeq = b.Seq
	if !b.Courtesy {
		m.lastAsNeighbour = now
	}
	if m.State != Alive || m.Leaving != b.Leaving {
		if m.State == Dead {
			d.recordChange(now, m, Revived, false)
		}
		if m.Leaving != b.Leaving {
			d.generation++
		}
		m.State = Alive
		m.Leaving = b.Leaving
		d.digestStale = true
	}
}

// sentNotBefore returns the earliest time, by the clock of this process, at which b can have been
// sent: when the heartbeat that b echoes was sent, plus the time for which the peer held it. The
// second result is false if b echoes no heartbeat whose sending time is still known. If the echoed
// heartbeat was sent after the process resumed, the resuming state ends.
func (d *Detector) sentNotBefore(now time.Duration, b *wire.Beat) (time.Duration, bool) {
	if b.Echo == 0 || b.Echo > d.seq || d.seq-b.Echo >= heartbeatHistory {
		return 0, false
	}
	sent := d.sent[b.Echo%heartbeatHistory]
	if d.resuming && sent >= d.resumedAt {
		d.resuming = false
	}
	return min(now, sent+time.Duration(b.Held)*time.Microsecond), true
}

// maxAgeMillis caps the age that a probe helper can report, in milliseconds, so that it fits in a
// time.Duration.
const maxAgeMillis = 1 << 40

// AnswerProbe answers an indirect probe with the time that SinceHeartbeat returns for the target; ok
// is false if that isn't known.
func (d *Detector) AnswerProbe(now time.Duration, p *wire.Probe) (w *wire.Witness, ok bool) {
	age, ok := d.SinceHeartbeat(now, rattanwood.VMID(p.GetTarget()))
	if !ok {
		return nil, false
	}
	return &wire.Witness{Target: p.GetTarget(), Age: uint64(age / time.Millisecond)}, true
}

// HandleProbeAnswer records when a probe helper last heard a member.
func (d *Detector) HandleProbeAnswer(now time.Duration, w *wire.Witness) {
	m, known := d.members[rattanwood.VMID(w.GetTarget())]
	age := time.Duration(min(w.GetAge(), maxAgeMillis)) * time.Millisecond
	if known && age < d.cfg.SuspectAfter {
		m.heardByHelper = max(m.heardByHelper, now-age)
		if d.cfg.Sparse {
			m.heardAt = max(m.heardAt, now-age)
		}
	}
}

// SinceHeartbeat returns the time since a member was last heard; ok is false if it is unknown or in
// state Listed, or wasn't heard yet.
func (d *Detector) SinceHeartbeat(now time.Duration, vm rattanwood.VMID) (silence time.Duration, ok bool) {
	m, known := d.members[vm]
	if !known || m.State == Listed || d.cfg.Sparse && m.heardAt == 0 {
		return 0, false
	}
	if d.cfg.Sparse {
		return now - m.heardAt, true
	}
	return now - m.lastHeard, true
}

// LeaseExpiry returns until when no member that may be alive acts on a change that this process
// doesn't know. Until then the choices that this process makes from its own state are those that all
// others make.
func (d *Detector) LeaseExpiry(now time.Duration) time.Duration {
	until := now + d.cfg.ActivationDelay
	for _, m := range d.sorted {
		if m.State == Alive || m.State == Suspect {
			until = min(until, m.inSyncAt+d.cfg.ActivationDelay)
		}
	}
	return until
}

// Resuming reports whether this process has just started or resumed after a pause and no other
// member has answered a heartbeat since.
func (d *Detector) Resuming(now time.Duration) bool {
	if d.started && now-d.lastTick > d.cfg.PauseThreshold {
		return true
	}
	return d.resuming && now-d.resumedAt < d.cfg.DeadAfter && d.hasOtherMembers()
}

// hasOtherMembers reports whether there are members that aren't known to be dead.
func (d *Detector) hasOtherMembers() bool {
	return slices.ContainsFunc(d.sorted, func(m *Member) bool { return m.State != Dead })
}

// WarmingUp reports whether so little time has passed since the start or the last pause that members
// may not yet know of this process, or that it may have missed what they decided.
func (d *Detector) WarmingUp(now time.Duration) bool {
	return now-d.resumedAt < d.cfg.DeadAfter+d.cfg.ActivationDelay
}
