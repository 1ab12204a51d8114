package node

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"example.org/rattanwood"
	"example.org/rattanwood/internal/listener"
	"example.org/rattanwood/internal/logger"
	"example.org/rattanwood/internal/settings"
	"example.org/rattanwood/tagger"
)

const (
	// SourceStallTimeout is the time without a byte after which a call of the source is given up:
	// twice what a source needs that is sixty times slower than its usual 4 ms.
	SourceStallTimeout = 500 * time.Millisecond
	// callSlack bounds an answer as a whole beyond the wait that was asked for: a megabyte takes as long on a link
	// of 10 Mbit/s that is shared by two.
	callSlack = 2 * time.Second
	// gatherTime is the pause after a change, so that changes in quick succession cost one call and one
	// round of heartbeats: an eighth of the shortest time in which a change must be in force.
	gatherTime = 375 * time.Millisecond
	// confirmSlack is how old an answer may be when it arrives.
	confirmSlack = 250 * time.Millisecond
	// pagesMost bounds a listing, against a source that always has more.
	pagesMost = 1000
)

// sourceLoop reads the source while that falls to this balancer.
func (n *Node) sourceLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		n.mu.Lock()
		due := n.watch.ShouldRead(n.now(), n.talk.ReaderRank()) && !n.leaving.Load()
		whole := n.copy.Complete()
		n.mu.Unlock()
		switch {
		case !due:
			listener.Sleep(ctx, tickPeriod)
		case whole:
			n.readChanges(ctx)
		default:
			if n.glance(ctx) {
				n.readAll(ctx)
			}
		}
	}
	return nil
}

// fromGlance names the listing of upstreams where others name their sender.
const fromGlance = "glance"

// glance lists the upstreams, because all records may take far longer: where a whole fleet starts, their
// routes fill the source's link, and flows that have begun need none. It reports false if the source doesn't answer.
func (n *Node) glance(ctx context.Context) bool {
	n.mu.Lock()
	done := n.carrying
	n.mu.Unlock()
	if done {
		return true
	}
	after := ""
	for range pagesMost {
		p, err := n.list(ctx, n.cfg.Source.ListUpstreams, after)
		if err != nil {
			n.readFailed(ctx, err)
			return false
		}
		n.mu.Lock()
		if !n.copy.Complete() {
			now := n.now()
			for _, r := range p.Records {
				n.applyRecord(now, fromGlance, r)
			}
		}
		n.mu.Unlock()
		if !p.More || len(p.Records) == 0 {
			break
		}
		after = p.Records[len(p.Records)-1].Key
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.carry()
	return true
}

// carry lets packets be decided on; mu is held.
func (n *Node) carry() {
	if !n.carrying {
		n.carrying = true
		if now := n.now(); now > heldTime {
			// The socket's buffer holds first packets of which copies went elsewhere.
			n.flows.MarkResumed(now)
		}
		close(n.carried)
	}
}

// readAll lists all records. Pages may be of different revisions, so the changes since the first follow.
func (n *Node) readAll(ctx context.Context) {
	var records []rattanwood.Record
	var at rattanwood.Revision
	after, began := "", n.now()
	for page := range pagesMost {
		p, err := n.list(ctx, n.cfg.Source.List, after)
		if err != nil {
			n.readFailed(ctx, err)
			return
		}
		if page == 0 {
			at = p.Revision
		}
		records = append(records, p.Records...)
		if !p.More || len(p.Records) == 0 {
			break
		}
		after = p.Records[len(p.Records)-1].Key
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	n.take(now, "source", n.copies.HandleListing(now, began, records, at))
}

func (n *Node) list(ctx context.Context, call func(context.Context, string) (rattanwood.Page, error), after string) (rattanwood.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callSlack)
	defer cancel()
	n.counters.calls.Add(1)
	began := time.Now()
	p, err := call(ctx, after)
	n.timings.source.Observe(time.Since(began).Seconds())
	return p, err
}

// readChanges watches for changes once.
func (n *Node) readChanges(ctx context.Context) {
	n.mu.Lock()
	prior, began := n.copy.Revision(), n.now()
	age, _ := n.watch.Age(began)
	n.mu.Unlock()
	wait := settings.Duration(n.cfg.Settings.Times.ApplyDeadline) / 3
	if age > wait/2 {
		// The copy needs a confirmation now; an answer without a wait is one.
		wait = 0
	}
	call, cancel := context.WithTimeout(ctx, wait+callSlack)
	defer cancel()
	n.counters.calls.Add(1)
	changes, err := n.cfg.Source.Watch(call, prior, wait)
	n.timings.source.Observe(max(n.now()-began-wait, 0).Seconds())
	var lost *rattanwood.LostHistoryError
	if errors.As(err, &lost) {
		n.log.Warn("history lost, listing again", zap.Uint64(logger.KeyRevision, uint64(prior)))
		n.readAll(ctx)
		return
	}
	if err != nil {
		n.readFailed(ctx, err)
		return
	}
	n.mu.Lock()
	now := n.now()
	if n.watch.SourceUnreachable() {
		n.log.Info("source regained", zap.Uint64(logger.KeyRevision, uint64(changes.Revision)))
	}
	n.take(now, "source", n.copies.HandleChanges(now, max(began, now-confirmSlack), prior, changes))
	n.mu.Unlock()
	if len(changes.Records) > 0 {
		listener.Sleep(ctx, gatherTime)
	}
}

func (n *Node) readFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	n.counters.callErrors.Add(1)
	n.mu.Lock()
	now := n.now()
	n.watch.RecordFailure(now)
	age, _ := n.watch.Age(now)
	n.talk.Members.TriggerHeartbeats()
	n.mu.Unlock()
	n.log.Warn("source lost", zap.Int64(logger.KeyAge, age.Milliseconds()), zap.String(logger.KeyError, err.Error()))
}

// apply hands changed records to the decision logic; mu is held.
func (n *Node) apply(now time.Duration, from string, changed []rattanwood.Record) {
	urgent := false
	for _, r := range changed {
		urgent = n.applyRecord(now, from, r) || urgent
	}
	if urgent {
		n.talk.Members.TriggerHeartbeats()
	}
	if n.copy.Complete() && !n.newborn && n.flows.Version() > 0 {
		n.newborn = true
		n.settle(now)
		close(n.whole)
		n.carry()
		n.replay()
		n.log.Info("records complete", zap.String(logger.KeyPeer, from), zap.Uint64(logger.KeyRevision, uint64(n.copy.Revision())),
			zap.Int("records", n.copy.Len()), zap.Int64("after", now.Milliseconds()))
	}
}

// settle drops the upstreams that a glance showed and that are gone; mu is held.
func (n *Node) settle(now time.Duration) {
	for _, id := range n.flows.Registered() {
		r, _, _ := n.flows.Upstream(id)
		if !n.known[r.Instance] {
			n.flows.RemoveRegistration(now, r.Instance)
			n.log.Info("upstream vanished", zap.Stringer(logger.KeyUpstream, id), zap.String(logger.KeyPeer, "glance"))
		}
	}
	n.known = nil
}

// applyRecord hands one record to the decision logic and reports whether neighbours should hear of it soon; mu is held.
func (n *Node) applyRecord(now time.Duration, from string, r rattanwood.Record) (urgent bool) {
	in, isUpstream := n.cfg.Interpreter.Instance(r.Key)
	if r.Deleted {
		if isUpstream {
			n.flows.RemoveRegistration(now, in)
			n.logBelief("upstream vanished", from, r, zap.Stringer(logger.KeyUpstream, in.Upstream()))
		}
		return true
	}
	entity, err := n.cfg.Interpreter.Interpret(r)
	if err != nil {
		var bad *rattanwood.RecordError
		reason := "unknown"
		if errors.As(err, &bad) {
			reason = bad.Reason
		}
		n.refused["record_"+reason]++
		n.log.Warn("record refused", zap.String(logger.KeyPeer, from), zap.Uint64(logger.KeyRevision, uint64(r.Revision)), zap.String(logger.KeyError, err.Error()))
		if isUpstream {
			// Whoever wrote this, the key no longer names an upstream to use.
			n.flows.RemoveRegistration(now, in)
		}
		return true
	}
	switch e := entity.(type) {
	case *rattanwood.Routing:
		if n.flows.SetRouting(e) {
			n.logBelief("routes in force", from, r, zap.Uint64(logger.KeyVersion, uint64(e.Version)), zap.Int("routes", len(e.Routes)), zap.Int("invalid", e.InvalidRoutes))
		}
	case *rattanwood.Registration:
		if n.known != nil && from != fromGlance {
			n.known[e.Instance] = true
		}
		switch n.flows.SetRegistration(now, *e) {
		case tagger.RegistrationUnchanged:
			// An upstream that warms up says so with each of its heartbeats.
			return false
		case tagger.RegistrationConflict:
			n.refused["record_tag"]++
			n.log.Error("upstream not used, its tag is another's", zap.Stringer(logger.KeyUpstream, in))
			return false
		case tagger.RegistrationChanged:
		}
		n.logBelief("upstream registered", from, r, zap.Stringer(logger.KeyUpstream, in.Upstream()), zap.String("service", string(e.Service)),
			zap.Bool("draining", e.Draining), zap.Int64("warmup", e.Warmup.Milliseconds()))
	}
	return true
}

// logBelief logs a change of what this balancer believes.
func (n *Node) logBelief(message, from string, r rattanwood.Record, more ...zap.Field) {
	if e := n.log.Check(zap.InfoLevel, message); e != nil {
		e.Write(append(more, zap.String(logger.KeyPeer, from), zap.Uint64(logger.KeyRevision, uint64(r.Revision)))...)
	}
}
