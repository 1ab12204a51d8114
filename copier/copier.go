// Package copier keeps a balancer's replica of the source's records current, from the source itself
// and from the heartbeats and replies of other balancers.
//
// A Copier has no clock, socket or goroutine and isn't safe for concurrent use.
package copier

import (
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/messenger"
	"example.org/rattanwood/replicator"
	"example.org/rattanwood/watcher"
)

// Config holds the dependencies and settings of a Copier.
type Config struct {
	Replica   *replicator.Replicator
	Watcher   *watcher.Watcher
	Messenger *messenger.Messenger
	// SpreadInterval is the shortest time between two early rounds of heartbeats for what isn't
	// urgent, such as a confirmation.
	SpreadInterval time.Duration
}

// Copier applies changes and confirmations to a balancer's replica.
type Copier struct {
	cfg Config
	// lastTrigger is when a round of heartbeats was last triggered.
	lastTrigger time.Duration
}

// New returns a Copier that keeps cfg.Replica current.
func New(cfg Config) *Copier { return &Copier{cfg: cfg} }

// Update holds the changes that a read, a reply or a heartbeat made to the replica, and whether it
// confirmed the replica.
type Update struct {
	// Changed holds the records that changed in the replica.
	Changed []rattanwood.Record
	// Confirmed is true if the replica is now known to have been current at the time At.
	Confirmed bool
	At        time.Duration
}

// FetchAfter returns the revision after which this balancer needs the changes, or zero if it needs
// all records.
func (c *Copier) FetchAfter() rattanwood.Revision {
	if !c.cfg.Replica.Complete() {
		return 0
	}
	return c.cfg.Replica.Revision()
}

// FillHeartbeat sets the fields of a heartbeat that concern the replica.
func (c *Copier) FillHeartbeat(now time.Duration, payload *messenger.HeartbeatPayload) {
	confirmation, ok := c.cfg.Watcher.ConfirmationToSpread()
	payload.Revision, payload.SourceUnreachable = c.cfg.Replica.Revision(), c.cfg.Watcher.SourceUnreachable()
	payload.Age, payload.Confirmed, payload.Reader, payload.ConfirmationSeq = now-confirmation.At, ok, confirmation.Reader, confirmation.Seq
	payload.Prior, payload.Records = c.cfg.Replica.TakeChanges()
}

// HandleHeartbeat applies the changes and the confirmation in a heartbeat, and asks its sender for
// changes that are missing.
func (c *Copier) HandleHeartbeat(now time.Duration, heartbeat *messenger.Heartbeat) Update {
	var out Update
	replica := c.cfg.Replica
	if heartbeat.Revision > replica.Revision() && len(heartbeat.Records) > 0 {
		if changed, ok := replica.Apply(heartbeat.Prior, rattanwood.Changes{Records: heartbeat.Records, Revision: heartbeat.Revision}); ok {
			out.Changed = changed
		}
	}
	switch {
	case heartbeat.Revision > replica.Revision() || !replica.Complete() && heartbeat.Confirmed:
		c.cfg.Messenger.RequestFetch(now, heartbeat.From, c.FetchAfter())
	case heartbeat.Revision == replica.Revision() && heartbeat.Confirmed && replica.Complete():
		c.confirm(now, &out, watcher.Confirmation{Reader: heartbeat.Reader, Seq: heartbeat.ConfirmationSeq, At: now - heartbeat.Age})
	}
	return out
}

// Reply is what a balancer answers to one whose replica is behind.
type Reply struct {
	Revision rattanwood.Revision
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
}

// Reply returns the changes after a revision, or all records if that is zero; ok is false if this
// balancer's own replica isn't complete yet.
func (c *Copier) Reply(now time.Duration, after rattanwood.Revision) (r Reply, ok bool) {
	if !c.cfg.Replica.Complete() {
		return Reply{}, false
	}
	records, whole := c.cfg.Replica.ChangesSince(after)
	confirmation, confirmed := c.cfg.Watcher.ConfirmationToSpread()
	return Reply{
		Revision: c.cfg.Replica.Revision(), Whole: whole || after == 0, Records: records,
		Age: now - confirmation.At, Confirmed: confirmed, Reader: confirmation.Reader, Seq: confirmation.Seq,
	}, true
}

// HandleReply applies a reply to the request for the changes after a revision. requestedAt is when
// the request was sent.
func (c *Copier) HandleReply(now, requestedAt time.Duration, after rattanwood.Revision, r Reply) Update {
	var out Update
	if r.Whole {
		out.Changed = c.cfg.Replica.ReplaceAll(r.Records, r.Revision)
	} else {
		// Changes that no longer fit the replica are fetched again after the next heartbeat.
		out.Changed, _ = c.cfg.Replica.Apply(after, rattanwood.Changes{Records: r.Records, Revision: r.Revision})
	}
	if r.Confirmed && r.Revision == c.cfg.Replica.Revision() {
		c.confirm(now, &out, watcher.Confirmation{Reader: r.Reader, Seq: r.Seq, At: requestedAt - r.Age})
	}
	return out
}

// HandleListing applies a full listing of the source; at is when the listing was current.
func (c *Copier) HandleListing(now, at time.Duration, records []rattanwood.Record, revision rattanwood.Revision) Update {
	return c.finishRead(now, Update{Changed: c.cfg.Replica.ReplaceAll(records, revision), At: at})
}

// HandleChanges applies the changes of the source after the revision prior; at is the time up to
// which they are complete.
func (c *Copier) HandleChanges(now, at time.Duration, prior rattanwood.Revision, changes rattanwood.Changes) Update {
	changed, _ := c.cfg.Replica.Apply(prior, changes)
	return c.finishRead(now, Update{Changed: changed, At: at})
}

// finishRead records a successful read of the source.
func (c *Copier) finishRead(now time.Duration, out Update) Update {
	out.Confirmed = true
	c.cfg.Watcher.RecordRead(now, out.At)
	c.RequestHeartbeats(now)
	return out
}

// confirm records a confirmation and triggers heartbeats if it is to be passed on.
func (c *Copier) confirm(now time.Duration, out *Update, confirmation watcher.Confirmation) {
	out.Confirmed, out.At = true, confirmation.At
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
