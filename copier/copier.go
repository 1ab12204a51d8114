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
	Copy  *replicator.Replicator
	Watch *watcher.Watcher
	Talk  *messenger.Messenger
	// Spread is the least time between two rounds of heartbeats that only spread a confirmation.
	Spread time.Duration
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

// After returns the revision whose later changes this balancer needs.
func (c *Copier) After() rattanwood.Revision {
	if !c.cfg.Copy.Whole() {
		return 0
	}
	return c.cfg.Copy.At()
}

// Tell fills in what heartbeats say of the copy.
func (c *Copier) Tell(now time.Duration, k *messenger.Knowledge) {
	newest, ok := c.cfg.Watch.Newest()
	k.Revision, k.Blind = c.cfg.Copy.At(), c.cfg.Watch.Blind()
	k.Age, k.Confirmed, k.Reader, k.Seq = now-newest.At, ok, newest.Reader, newest.Seq
	k.Prior, k.Records = c.cfg.Copy.Take()
}

// Heard takes in the news of a heartbeat, and asks its sender for what is missing.
func (c *Copier) Heard(now time.Duration, news *messenger.News) Outcome {
	var out Outcome
	held := c.cfg.Copy
	if news.Revision > held.At() && len(news.Records) > 0 {
		if changed, ok := held.Apply(news.Prior, rattanwood.Changes{Records: news.Records, At: news.Revision}); ok {
			out.Changed = changed
		}
	}
	switch {
	case news.Revision > held.At() || !held.Whole() && news.Confirmed:
		c.cfg.Talk.Behind(now, news.From, c.After())
	case news.Revision == held.At() && news.Confirmed && held.Whole():
		c.confirm(now, &out, watcher.Confirmation{Reader: news.Reader, Seq: news.Seq, At: now - news.Age})
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
	Reader watcher.Reader
	Seq    uint64
}

// Reply answers a balancer that needs the changes after a revision, zero for all records; ok is false before there are any.
func (c *Copier) Reply(now time.Duration, after rattanwood.Revision) (r Reply, ok bool) {
	if !c.cfg.Copy.Whole() {
		return Reply{}, false
	}
	records, whole := c.cfg.Copy.Since(after)
	newest, confirmed := c.cfg.Watch.Newest()
	return Reply{
		Revision: c.cfg.Copy.At(), Whole: whole || after == 0, Records: records,
		Age: now - newest.At, Confirmed: confirmed, Reader: newest.Reader, Seq: newest.Seq,
	}, true
}

// Fetched takes in a Reply to a question that was asked at a time, for the changes after a revision.
func (c *Copier) Fetched(now, asked time.Duration, after rattanwood.Revision, r Reply) Outcome {
	var out Outcome
	if r.Whole {
		out.Changed = c.cfg.Copy.Replace(r.Records, r.Revision)
	} else {
		// Changes that don't fit any more are fetched again with the next heartbeat.
		out.Changed, _ = c.cfg.Copy.Apply(after, rattanwood.Changes{Records: r.Records, At: r.Revision})
	}
	if r.Confirmed && r.Revision == c.cfg.Copy.At() {
		c.confirm(now, &out, watcher.Confirmation{Reader: r.Reader, Seq: r.Seq, At: asked - r.Age})
	}
	return out
}

// Listed takes in all records of the source, which were current at a time.
func (c *Copier) Listed(now, at time.Duration, records []rattanwood.Record, revision rattanwood.Revision) Outcome {
	return c.read(now, Outcome{Changed: c.cfg.Copy.Replace(records, revision), At: at})
}

// Watched takes in the changes of the source after a revision; there were no others at a time.
func (c *Copier) Watched(now, at time.Duration, prior rattanwood.Revision, changes rattanwood.Changes) Outcome {
	changed, _ := c.cfg.Copy.Apply(prior, changes)
	return c.read(now, Outcome{Changed: changed, At: at})
}

func (c *Copier) read(now time.Duration, out Outcome) Outcome {
	out.Confirmed = true
	c.cfg.Watch.Read(now, out.At)
	c.Spread(now)
	return out
}

// confirm takes in a confirmation, and lets the neighbours know soon if it is news.
func (c *Copier) confirm(now time.Duration, out *Outcome, confirmation watcher.Confirmation) {
	out.Confirmed, out.At = true, confirmation.At
	if c.cfg.Watch.Confirm(now, confirmation) {
		c.Spread(now)
	}
}

// Spread lets the neighbours know soon of what isn't urgent, and not of each piece of news where there are many.
func (c *Copier) Spread(now time.Duration) {
	if now-c.spread >= c.cfg.Spread {
		c.spread = now
		c.cfg.Talk.Members.Hurry()
	}
}
