// Package copier keeps a balancer's replica of the source's records current, from the source itself
// and from the heartbeats and replies of other balancers.
//
// A Copier has no clock, socket or goroutine and isn't safe for concurrent use.
package copier

import (
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/messenger"
	"example.org/rattanwood/reconciler"
	"example.org/rattanwood/replicator"
	"example.org/rattanwood/watcher"
)

// Config holds the dependencies and settings of a Copier.
type Config struct {
	Replica    *replicator.Replicator
	Reconciler *reconciler.Reconciler
	Watcher    *watcher.Watcher
	Messenger  *messenger.Messenger
	// MaxFetchAge is the age up to which a peer's last confirmation lets an empty replica start from that
	// peer's records, unless the source doesn't answer. Older ones may list upstreams that have left.
	MaxFetchAge time.Duration
	// SpreadInterval is the shortest time between two early rounds of heartbeats for what isn't
	// urgent, such as a confirmation.
	SpreadInterval time.Duration
}

// Copier applies changes and confirmations to a balancer's replica.
type Copier struct {
	cfg Config
	// lastTrigger is when a round of heartbeats was last triggered.
	lastTrigger time.Duration
	// outdatedPeer is a balancer whose records were confirmed too long ago to start from them while the
	// source may answer; it is empty if none was heard from.
	outdatedPeer rattanwood.VMID
	// uninformedPeers started after the source's last return like this balancer; informedPeer is set if any
	// other was heard from.
	uninformedPeers map[rattanwood.VMID]bool
	informedPeer    bool
}

// New returns a Copier that keeps cfg.Replica current.
func New(cfg Config) *Copier {
	return &Copier{cfg: cfg, uninformedPeers: map[rattanwood.VMID]bool{}}
}

// Update holds the changes that a read, a reply or a heartbeat brought into effect, and whether it
// confirmed the replica.
type Update struct {
	// Changed holds the records that came into effect.
	Changed []rattanwood.Record
	// Confirmed is true if the records in effect are now known to have been current at the time At. They
	// aren't while the source may lack what was written before its return.
	Confirmed bool
	At        time.Duration
}

// FetchAfter returns the position after which this balancer needs the changes, or zero if it needs
// all records.
func (c *Copier) FetchAfter() rattanwood.Position {
	if !c.cfg.Replica.Complete() {
		return 0
	}
	return c.cfg.Replica.Position()
}

// FillHeartbeat sets the fields of a heartbeat that concern the replica.
func (c *Copier) FillHeartbeat(now time.Duration, payload *messenger.HeartbeatPayload) {
	confirmation, ok := c.cfg.Watcher.ConfirmationToSpread()
	payload.Position, payload.SourceUnreachable = c.cfg.Replica.Position(), c.cfg.Watcher.SourceUnreachable()
	payload.Age, payload.Confirmed, payload.Reader, payload.ConfirmationSeq = now-confirmation.At, ok, confirmation.Reader, confirmation.Seq
	payload.Prior, payload.Records = c.cfg.Replica.TakeChanges()
	payload.Informed = c.cfg.Reconciler.Informed(now)
	payload.Settling = payload.Informed && c.cfg.Reconciler.Settling(now)
	payload.Kept = c.cfg.Reconciler.KeptDigest()
}

// HandleHeartbeat applies the changes and the confirmation in a heartbeat, and asks its sender for
// changes that are missing.
func (c *Copier) HandleHeartbeat(now time.Duration, heartbeat *messenger.Heartbeat) Update {
	var out Update
	replica := c.cfg.Replica
	c.compareKnowledge(now, heartbeat)
	if heartbeat.Position > replica.Position() && len(heartbeat.Records) > 0 {
		if changed, ok := replica.Apply(heartbeat.Prior, rattanwood.Changes{Records: heartbeat.Records, Position: heartbeat.Position}); ok {
			out.Changed = c.cfg.Reconciler.HandleChanges(changed)
		}
	}
	switch {
	case !replica.Complete() && heartbeat.Confirmed && heartbeat.Age > c.cfg.MaxFetchAge && !c.cfg.Watcher.SourceUnreachable():
		c.outdatedPeer = heartbeat.From
	case !replica.Complete() && heartbeat.Confirmed:
		c.cfg.Messenger.RequestFetch(now, heartbeat.From, c.FetchAfter())
	case heartbeat.Position > replica.Position():
		c.cfg.Messenger.RequestFetch(now, heartbeat.From, c.FetchAfter())
	case heartbeat.Settling && heartbeat.Position.Era() == replica.Position().Era() && !c.cfg.Reconciler.Informed(now):
		// The sender knows records that the source lost, and sends them with all others.
		c.cfg.Messenger.RequestFetch(now, heartbeat.From, 0)
	case heartbeat.Position == replica.Position() && heartbeat.Confirmed && replica.Complete():
		c.confirm(now, &out, watcher.Confirmation{Reader: heartbeat.Reader, Seq: heartbeat.ConfirmationSeq, At: now - heartbeat.Age})
	}
	if c.keepsOthers(heartbeat) {
		c.cfg.Messenger.RequestFetch(now, heartbeat.From, c.FetchAfter())
	}
	return out
}

// keepsOthers reports whether a peer may keep lasting records in effect that this balancer doesn't. One that lags
// behind may just not have heard yet of their end.
func (c *Copier) keepsOthers(heartbeat *messenger.Heartbeat) bool {
	replica := c.cfg.Replica
	return heartbeat.Kept != 0 && heartbeat.Kept != c.cfg.Reconciler.KeptDigest() &&
		replica.Complete() && heartbeat.Position.Era() == replica.Position().Era() && heartbeat.Position >= replica.Position()
}

// compareKnowledge records whether a peer knows what the source lost on its last return.
func (c *Copier) compareKnowledge(now time.Duration, heartbeat *messenger.Heartbeat) {
	era := c.cfg.Replica.Position().Era()
	switch {
	case !c.cfg.Replica.Complete() || c.cfg.Reconciler.Informed(now) || heartbeat.Position == 0:
	case heartbeat.Position.Era() == era && !heartbeat.Informed:
		c.uninformedPeers[heartbeat.From] = true
	case heartbeat.Position.Era() == era && !heartbeat.Settling && !c.keepsOthers(heartbeat):
		c.cfg.Reconciler.SetInformed()
	default:
		c.informedPeer = true
	}
}

// minUninformedPeers is the number of peers that know no more than this balancer of what the source may have
// lost, after which it takes the whole fleet to have started anew.
const minUninformedPeers = 2

// MayTrust reports whether the replica may be used for new flows: this balancer knows what the source may have
// lost, or has heard from peers but from none that does.
func (c *Copier) MayTrust(now time.Duration) bool {
	return c.cfg.Reconciler.Informed(now) || !c.informedPeer && len(c.uninformedPeers) >= minUninformedPeers
}

// Reply is what a balancer answers to one whose replica is behind.
type Reply struct {
	Position rattanwood.Position
	// Whole is true if Records is a full listing rather than changes.
	Whole   bool
	Records []rattanwood.Record
	// Age is the time since the records were known to be current; Confirmed is true if they ever
	// were.
	Age       time.Duration
	Confirmed bool
	// Reader and Seq identify the confirmation.
	Reader watcher.ReaderID
	Seq    uint64
	// Held are records that the source lost on its return but that are in effect for the time Settling.
	// Informed is true if the sender knows them; one that started later doesn't.
	Held     []rattanwood.Record
	Settling time.Duration
	Informed bool
}

// Reply returns the changes after a position, or all records if that is zero; ok is false if this
// balancer's own replica isn't complete yet.
func (c *Copier) Reply(now time.Duration, after rattanwood.Position) (r Reply, ok bool) {
	if !c.cfg.Replica.Complete() {
		return Reply{}, false
	}
	records, whole := c.cfg.Replica.ChangesSince(after)
	confirmation, confirmed := c.cfg.Watcher.ConfirmationToSpread()
	held, settling := c.cfg.Reconciler.Held(now)
	return Reply{
		Held: held, Settling: settling, Informed: c.cfg.Reconciler.Informed(now),
		Position: c.cfg.Replica.Position(), Whole: whole || after == 0, Records: records,
		Age: now - confirmation.At, Confirmed: confirmed, Reader: confirmation.Reader, Seq: confirmation.Seq,
	}, true
}

// HandleReply applies a reply to the request for the changes after a position. requestedAt is when
// the request was sent.
func (c *Copier) HandleReply(now, requestedAt time.Duration, after rattanwood.Position, r Reply) Update {
	var out Update
	if r.Whole {
		out.Changed = c.replaceAll(now, r.Records, r.Position)
	} else {
		// Changes that no longer fit the replica are fetched again after the next heartbeat.
		changed, _ := c.cfg.Replica.Apply(after, rattanwood.Changes{Records: r.Records, Position: r.Position})
		out.Changed = c.cfg.Reconciler.HandleChanges(changed)
	}
	if r.Informed && r.Position.Era() == c.cfg.Replica.Position().Era() && r.Position.Era() > 0 {
		out.Changed = append(out.Changed, c.cfg.Reconciler.Adopt(now, r.Settling-(now-requestedAt), r.Held, c.cfg.Replica.Find)...)
	}
	if r.Confirmed && r.Position == c.cfg.Replica.Position() {
		c.confirm(now, &out, watcher.Confirmation{Reader: r.Reader, Seq: r.Seq, At: requestedAt - r.Age})
	}
	return out
}

// replaceAll applies a full listing and returns the records that come into effect.
func (c *Copier) replaceAll(now time.Duration, records []rattanwood.Record, at rattanwood.Position) []rattanwood.Record {
	replica, era := c.cfg.Replica, c.cfg.Replica.Position().Era()
	switch {
	case !replica.Complete():
		c.cfg.Reconciler.Begin(now, at.Era())
		return replica.ReplaceAll(records, at)
	case at.Era() > era:
		earlier := replica.Records()
		changed := replica.ReplaceAll(records, at)
		return c.cfg.Reconciler.HandleReturn(now, at.Era(), changed, func(key string) (rattanwood.Record, bool) {
			r, ok := earlier[key]
			return r, ok
		})
	}
	return c.cfg.Reconciler.HandleChanges(replica.ReplaceAll(records, at))
}

// Settling reports whether records that the source lost on its last return may still be in effect.
func (c *Copier) Settling(now time.Duration) bool { return c.cfg.Reconciler.Settling(now) }

// Expire returns the records that come into effect because the source has had the time to get back what
// it lost.
func (c *Copier) Expire(now time.Duration) []rattanwood.Record {
	return c.cfg.Reconciler.Expire(now, c.cfg.Replica.Find)
}

// HandleListing applies a full listing of the source; at is when the listing was current. A listing of an
// earlier era comes from a copy that is no longer the source, and is ignored.
func (c *Copier) HandleListing(now, at time.Duration, records []rattanwood.Record, position rattanwood.Position) (u Update, ok bool) {
	if position.Era() < c.cfg.Replica.Position().Era() {
		return Update{}, false
	}
	return c.finishRead(now, Update{Changed: c.replaceAll(now, records, position), At: at}), true
}

// HandleChanges applies the changes of the source after the position prior; at is the time up to
// which they are complete. It reports false if they don't fit the replica, so that all records must be
// listed: they are of another era, or older than what the replica held when they were asked for.
func (c *Copier) HandleChanges(now, at time.Duration, prior rattanwood.Position, changes rattanwood.Changes) (u Update, ok bool) {
	if changes.Position.Era() != prior.Era() || changes.Position < prior {
		return Update{}, false
	}
	changed, _ := c.cfg.Replica.Apply(prior, changes)
	return c.finishRead(now, Update{Changed: c.cfg.Reconciler.HandleChanges(changed), At: at}), true
}

// finishRead records a successful read of the source.
func (c *Copier) finishRead(now time.Duration, out Update) Update {
	out.Confirmed = !c.cfg.Reconciler.Settling(now)
	c.cfg.Watcher.RecordRead(now, out.At)
	c.RequestHeartbeats(now)
	return out
}

// HandleFailure records that the source didn't answer. A balancer without records then starts from those of
// a peer, however old.
func (c *Copier) HandleFailure(now time.Duration) {
	c.cfg.Watcher.RecordFailure(now)
	if !c.cfg.Replica.Complete() && c.outdatedPeer != "" {
		c.cfg.Messenger.RequestFetch(now, c.outdatedPeer, c.FetchAfter())
	}
}

// confirm records a confirmation and triggers heartbeats if it is to be passed on.
func (c *Copier) confirm(now time.Duration, out *Update, confirmation watcher.Confirmation) {
	out.Confirmed, out.At = !c.cfg.Reconciler.Settling(now), confirmation.At
	if c.cfg.Watcher.Confirm(now, confirmation) {
		c.RequestHeartbeats(now)
	}
}

// RequestHeartbeats triggers a round of heartbeats for an update that isn't urgent, unless it
// triggered one within SpreadInterval.
func (c *Copier) RequestHeartbeats(now time.Duration) {
	if now-c.lastTrigger >= c.cfg.SpreadInterval {
		c.lastTrigger = now
		c.cfg.Messenger.Members.TriggerHeartbeats()
	}
}
