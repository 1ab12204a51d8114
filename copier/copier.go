// Package copier keeps a balancer's copy of the records current, from the source and from what
// other balancers say.
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

// Config builds a Copier.
type Config struct {
	Replica   *replicator.Replicator
	Watcher   *watcher.Watcher
	Messenger *messenger.Messenger
	// SpreadInterval is the least time between two rounds of heartbeats that only spread a confirmation.
	SpreadInterval time.Duration
}

// Copier is the state of one balancer's copy.
type Copier struct {
	cfg Config
	// spread is when a round of heartbeats was last asked for.
	spread time.Duration
}

// New returns a copier of what the copy holds.
func New(cfg Config) *Copier { return &Copier{cfg: cfg} }

// Outcome is what an answer or a heartbeat led to.
type Outcome struct {
	// Changed are the records that are news.
	Changed []rattanwood.Record
	// Confirmed is set if the copy is now known to have been current at the time At.
	Confirmed bool
	At        time.Duration
}

// FetchAfter returns the revision whose later changes this balancer needs.
func (c *Copier) FetchAfter() rattanwood.Revision {
	if !c.cfg.Replica.Complete() {
		return 0
	}
	return c.cfg.Replica.Revision()
}

// FillHeartbeat fills in what heartbeats say of the copy.
func (c *Copier) FillHeartbeat(now time.Duration, k *messenger.HeartbeatPayload) {
	newest, ok := c.cfg.Watcher.Newest()
	k.Revision, k.SourceUnreachable = c.cfg.Replica.Revision(), c.cfg.Watcher.SourceUnreachable()
	k.Age, k.Confirmed, k.Reader, k.ConfirmationSeq = now-newest.At, ok, newest.Reader, newest.Seq
	k.Prior, k.Records = c.cfg.Replica.TakeChanges()
}

// HandleHeartbeat takes in the news of a heartbeat, and asks its sender for what is missing.
func (c *Copier) HandleHeartbeat(now time.Duration, news *messenger.Heartbeat) Outcome {
	var out Outcome
	held := c.cfg.Replica
	if news.Revision > held.Revision() && len(news.Records) > 0 {
		if changed, ok := held.Apply(news.Prior, rattanwood.Changes{Records: news.Records, Revision: news.Revision}); ok {
			out.Changed = changed
		}
	}
	switch {
	case news.Revision > held.Revision() || !held.Complete() && news.Confirmed:
		c.cfg.Messenger.RequestSync(now, news.From, c.FetchAfter())
	case news.Revision == held.Revision() && news.Confirmed && held.Complete():
		c.confirm(now, &out, watcher.Confirmation{Reader: news.Reader, Seq: news.ConfirmationSeq, At: now - news.Age})
	}
	return out
}

// Reply is what a balancer answers to one that is behind.
type Reply struct {
	Revision rattanwood.Revision
	// Whole is set if the records are all there are.
	Whole   bool
	Records []rattanwood.Record
	// Age is the time since the records were known to be current; Confirmed is set if they ever were.
	Age       time.Duration
	Confirmed bool
	// Reader and Seq name the confirmation.
	Reader watcher.ReaderID
	Seq    uint64
}

// Reply answers a balancer that needs the changes after a revision, zero for all records; ok is false before there are any.
func (c *Copier) Reply(now time.Duration, after rattanwood.Revision) (r Reply, ok bool) {
	if !c.cfg.Replica.Complete() {
		return Reply{}, false
	}
	records, whole := c.cfg.Replica.ChangesSince(after)
	newest, confirmed := c.cfg.Watcher.Newest()
	return Reply{
		Revision: c.cfg.Replica.Revision(), Whole: whole || after == 0, Records: records,
		Age: now - newest.At, Confirmed: confirmed, Reader: newest.Reader, Seq: newest.Seq,
	}, true
}

// HandleReply takes in a Reply to a question that was asked at a time, for the changes after a revision.
func (c *Copier) HandleReply(now, asked time.Duration, after rattanwood.Revision, r Reply) Outcome {
	var out Outcome
	if r.Whole {
		out.Changed = c.cfg.Replica.ReplaceAll(r.Records, r.Revision)
	} else {
		// Changes that don't fit any more are fetched again with the next heartbeat.
		out.Changed, _ = c.cfg.Replica.Apply(after, rattanwood.Changes{Records: r.Records, Revision: r.Revision})
	}
	if r.Confirmed && r.Revision == c.cfg.Replica.Revision() {
		c.confirm(now, &out, watcher.Confirmation{Reader: r.Reader, Seq: r.Seq, At: asked - r.Age})
	}
	return out
}

// HandleListing takes in all records of the source, which were current at a time.
func (c *Copier) HandleListing(now, at time.Duration, records []rattanwood.Record, revision rattanwood.Revision) Outcome {
	return c.read(now, Outcome{Changed: c.cfg.Replica.ReplaceAll(records, revision), At: at})
}

// HandleChanges takes in the changes of the source after a revision; there were no others at a time.
func (c *Copier) HandleChanges(now, at time.Duration, prior rattanwood.Revision, changes rattanwood.Changes) Outcome {
	changed, _ := c.cfg.Replica.Apply(prior, changes)
	return c.read(now, Outcome{Changed: changed, At: at})
}

func (c *Copier) read(now time.Duration, out Outcome) Outcome {
	out.Confirmed = true
	c.cfg.Watcher.RecordRead(now, out.At)
	c.TriggerHeartbeats(now)
	return out
}

// confirm takes in a confirmation, and lets the neighbours know soon if it is news.
func (c *Copier) confirm(now time.Duration, out *Outcome, confirmation watcher.Confirmation) {
	out.Confirmed, out.At = true, confirmation.At
	if c.cfg.Watcher.Confirm(now, confirmation) {
		c.TriggerHeartbeats(now)
	}
}

// TriggerHeartbeats lets the neighbours know soon of what isn't urgent, and not of each piece of news where there are many.
func (c *Copier) TriggerHeartbeats(now time.Duration) {
	if now-c.spread >= c.cfg.SpreadInterval {
		c.spread = now
		c.cfg.Messenger.Members.TriggerHeartbeats()
	}
}
