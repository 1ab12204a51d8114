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
	// SourceStallTimeout is the time without a byte of an answer after which a call of the source is aborted.
	// A source sixty times slower than its usual 4 ms needs 240 ms; this is about twice that.
	SourceStallTimeout = 500 * time.Millisecond
	// answerTimeout bounds a complete answer of the source, in addition to the requested wait. A megabyte
	// takes that long on a link of 10 Mbit/s that is shared by two transfers.
	answerTimeout = 2 * time.Second
	// coalesceInterval is the pause after a change, so that changes in quick succession cost one call and one
	// round of heartbeats. It is an eighth of the shortest time in which a change must be in effect.
	coalesceInterval = 375 * time.Millisecond
	// maxAnswerAge bounds how old the state in an answer of the source may be on arrival. A call that waited
	// longer confirms the records only as of that long before its answer.
	maxAnswerAge = 250 * time.Millisecond
	// maxPages bounds a listing in case the source never reports a last page.
	maxPages = 1000
)

// sourceLoop reads the source while this balancer is the one that should.
func (n *Node) sourceLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		n.mu.Lock()
		due := n.watcher.ShouldRead(n.now(), n.messenger.ReaderRank()) && !n.shuttingDown.Load()
		complete := n.replica.Complete()
		n.mu.Unlock()
		switch {
		case !due:
			listener.Sleep(ctx, tickPeriod)
		case complete:
			n.readChanges(ctx)
		default:
			n.readAll(ctx)
		}
	}
	return nil
}

// fromSettled is the origin of records that come into effect because those that the source had lost on its
// return weren't written again.
const fromSettled = "settled"

// fromSource is the origin of records that this balancer read itself.
const fromSource = "source"

// startForwarding lets tunnelLoop handle packets. The calling code must hold mu.
func (n *Node) startForwarding() {
	if !n.forwarding {
		n.forwarding = true
		n.log.Info("upstreams known, forwarding established flows", zap.Int64("after", n.now().Milliseconds()))
		close(n.startedForwarding)
	}
}

// readAll lists all records. Before the first listing it lists only the upstreams and starts forwarding with
// them: established flows need no routes, and listing everything may take far longer, since when a whole fleet
// starts, its listings saturate the source's link. Pages may be of different revisions, so a listing counts as
// that of the first page's position, and the changes since then are read afterwards.
func (n *Node) readAll(ctx context.Context) {
	n.mu.Lock()
	forwarding, source := n.forwarding, n.source
	n.mu.Unlock()
	if !forwarding {
		upstreams, _, ok := n.readPages(ctx, source.ListUpstreams)
		if !ok {
			return
		}
		n.applyEarly(upstreams)
	}
	began := n.now()
	records, position, ok := n.readPages(ctx, source.List)
	if !ok {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	update, ok := n.copier.HandleListing(now, began, records, position)
	if !ok {
		n.log.Warn("listing of an earlier era ignored", zap.Inline(logger.Position(position)))
		n.copier.HandleFailure(now)
		return
	}
	n.applyUpdate(now, fromSource, update)
}

// readPages reads all pages of a listing and returns its records and the position of the first page.
func (n *Node) readPages(ctx context.Context, call func(context.Context, string) (rattanwood.Page, error)) (records []rattanwood.Record, position rattanwood.Position, ok bool) {
	after := ""
	for i := range maxPages {
		p, err := n.fetchPage(ctx, call, after)
		if err != nil {
			n.handleReadError(ctx, err)
			return nil, 0, false
		}
		if i == 0 {
			position = p.Position
		}
		if p.Position.Era() != position.Era() {
			n.log.Warn("source began a new era during a listing", zap.Inline(logger.Position(p.Position)))
			return nil, 0, false
		}
		records = append(records, p.Records...)
		if !p.More || len(p.Records) == 0 {
			break
		}
		after = p.Records[len(p.Records)-1].Key
	}
	return records, position, true
}

// applyEarly applies the upstreams of a listing that may be out of date, and starts forwarding.
func (n *Node) applyEarly(upstreams []rattanwood.Record) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.replica.Complete() {
		return
	}
	now := n.now()
	for _, r := range upstreams {
		if n.earlyUpstreams[r.Key] != r.Position {
			n.earlyUpstreams[r.Key] = r.Position
			n.applyRecord(now, fromSource, r)
		}
	}
	n.startForwarding()
}

// fetchPage makes one call of a listing.
func (n *Node) fetchPage(ctx context.Context, call func(context.Context, string) (rattanwood.Page, error), after string) (rattanwood.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	n.counters.sourceCalls.Add(1)
	began := time.Now()
	p, err := call(ctx, after)
	n.timings.source.Observe(time.Since(began).Seconds())
	return p, err
}

// readChanges makes one call that waits for changes, and applies them.
func (n *Node) readChanges(ctx context.Context) {
	n.mu.Lock()
	prior, began, source := n.replica.Position(), n.now(), n.source
	age, _ := n.watcher.Age(began)
	n.mu.Unlock()
	// A third of the apply deadline, as watcherConfig assumes.
	wait := settings.Duration(n.cfg.Settings.Times.ApplyDeadline) / 3
	if age > wait/2 {
		// The replica needs a confirmation that it is current now; an answer without a wait provides one.
		wait = 0
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+answerTimeout)
	defer cancel()
	n.counters.sourceCalls.Add(1)
	changes, err := source.Watch(callCtx, prior, wait)
	n.timings.source.Observe(max(n.now()-began-wait, 0).Seconds())
	var lost *rattanwood.LostHistoryError
	if errors.As(err, &lost) {
		n.log.Warn("source no longer has the changes, listing all records again", zap.Inline(logger.Position(prior)))
		n.readAll(ctx)
		return
	}
	var failed *rattanwood.SourceError
	if errors.As(err, &failed) && failed.Recurs && ctx.Err() == nil {
		n.counters.sourceErrors.Add(1)
		n.log.Warn("changes can't be read, listing all records again", zap.Inline(logger.Position(prior)), zap.String(logger.KeyError, err.Error()))
		n.readAll(ctx)
		return
	}
	if err != nil {
		n.handleReadError(ctx, err)
		return
	}
	n.mu.Lock()
	now := n.now()
	if n.watcher.SourceUnreachable() {
		n.log.Info("source reachable again", zap.Inline(logger.Position(changes.Position)))
	}
	update, ok := n.copier.HandleChanges(now, max(began, now-maxAnswerAge), prior, changes)
	if ok {
		n.applyUpdate(now, fromSource, update)
	}
	n.mu.Unlock()
	if !ok {
		n.log.Warn("source came back from an older copy, listing all records again", zap.Inline(logger.Position(changes.Position)))
		n.readAll(ctx)
		return
	}
	if len(changes.Records) > 0 {
		listener.Sleep(ctx, coalesceInterval)
	}
}

// handleReadError records that the source did not answer, unless the cause is the shutdown, and triggers
// heartbeats so that another balancer takes over.
func (n *Node) handleReadError(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	n.counters.sourceErrors.Add(1)
	n.mu.Lock()
	now := n.now()
	n.copier.HandleFailure(now)
	age, _ := n.watcher.Age(now)
	n.messenger.Members.TriggerHeartbeats()
	n.mu.Unlock()
	n.log.Warn("reading the source failed", zap.Int64(logger.KeyAge, age.Milliseconds()), zap.String(logger.KeyError, err.Error()))
}

// applyRecords applies changed records to the decision logic, and makes this balancer ready once the records
// are complete. The calling code must hold mu.
func (n *Node) applyRecords(now time.Duration, from string, changed []rattanwood.Record) {
	urgent := false
	for _, r := range changed {
		if early, ok := n.earlyUpstreams[r.Key]; ok && early == r.Position && !r.Deleted {
			continue
		}
		urgent = n.applyRecord(now, from, r) || urgent
	}
	if urgent {
		n.messenger.Members.TriggerHeartbeats()
	}
	n.becomeReady(now, from)
}

// maxTrustDelay bounds the wait for a peer that knows what the source lost on its last return. Heartbeats and a
// fetch take a tenth of it, also beside load.
const maxTrustDelay = time.Second

// becomeReady makes this balancer ready if the records are complete. While the source may have come back from
// an older copy, it waits for a peer that knows what the source lost. The calling code must hold mu.
func (n *Node) becomeReady(now time.Duration, from string) {
	if !n.replica.Complete() || n.ready || n.tagger.Version() == 0 {
		return
	}
	if n.copyListedAt == 0 {
		n.copyListedAt = now
	}
	if n.copier.MayTrust(now) || now-n.copyListedAt >= maxTrustDelay {
		n.ready = true
		n.removeOutdatedUpstreams(now)
		n.startForwarding()
		n.replayHeldPackets()
		n.log.Info("records complete, ready for new flows", zap.String(logger.KeyPeer, from), zap.Inline(logger.Position(n.replica.Position())),
			zap.Int("records", n.replica.Len()), zap.Int64("after", now.Milliseconds()))
	}
}

// removeOutdatedUpstreams removes the upstreams that applyEarly applied but that the complete records don't
// contain. The calling code must hold mu.
func (n *Node) removeOutdatedUpstreams(now time.Duration) {
	for key := range n.earlyUpstreams {
		if r, ok := n.replica.Find(key); !ok || r.Deleted {
			n.applyRecord(now, fromSource, rattanwood.Record{Key: key, Position: n.replica.Position(), Deleted: true})
		}
	}
	n.earlyUpstreams = nil
}

// applyRecord applies one record to the decision logic. It returns true if other balancers should learn of it
// soon, before the next regular heartbeat. The calling code must hold mu.
func (n *Node) applyRecord(now time.Duration, from string, r rattanwood.Record) (urgent bool) {
	instance, isUpstream := n.cfg.Interpreter.Instance(r.Key)
	n.removeInvalid(r.Key)
	if r.Deleted {
		if isUpstream {
			n.tagger.RemoveRegistration(now, instance)
			n.logChange("upstream removed", from, r, zap.Stringer(logger.KeyUpstream, instance.Upstream()))
		}
		if centre, ok := n.cfg.Interpreter.Evacuated(r.Key); ok {
			n.endEvacuation(now, from, r, centre)
		}
		return true
	}
	entity, err := n.cfg.Interpreter.Interpret(r)
	if err != nil {
		var bad *rattanwood.RecordError
		reason, kind := "unknown", rattanwood.OtherRecord
		if errors.As(err, &bad) {
			reason, kind = bad.Reason, bad.Kind
		}
		n.rejected["record_"+reason]++
		n.addInvalid(InvalidState{Kind: kind, Key: r.Key, Reason: reason, Position: r.Position.String()})
		n.log.Warn("invalid record rejected", zap.String(logger.KeyPeer, from), zap.Inline(logger.Position(r.Position)), zap.String(logger.KeyError, err.Error()))
		if isUpstream {
			// The record has replaced the registration, so the upstream can no longer be used.
			n.tagger.RemoveRegistration(now, instance)
		}
		return true
	}
	switch e := entity.(type) {
	case *rattanwood.Routing:
		if n.tagger.SetRouting(e) {
			n.routingAppliedAt = now
			if n.admitter != nil {
				n.setServices(e)
			}
			n.logChange("routing configuration applied", from, r, zap.Uint64(logger.KeyVersion, uint64(e.Version)), zap.Int("routes", len(e.Routes)), zap.Int("invalid", e.InvalidRoutes))
		}
	case *rattanwood.Evacuation:
		n.beginEvacuation(now, from, r, e.DataCentre)
	case *rattanwood.Registration:
		switch n.tagger.SetRegistration(now, *e) {
		case tagger.RegistrationUnchanged:
			// Only the remaining warm-up time has changed, which an upstream updates with each of its heartbeats.
			return false
		case tagger.RegistrationConflict:
			n.rejected["record_tag"]++
			n.log.Error("upstream ignored, another upstream has the same tag", zap.Stringer(logger.KeyUpstream, instance))
			return false
		case tagger.RegistrationChanged:
		}
		n.logChange("upstream registered", from, r, zap.Stringer(logger.KeyUpstream, instance.Upstream()), zap.String("service", string(e.Service)),
			zap.Bool("draining", e.Draining), zap.Int64("warmup", e.RemainingWarmup.Milliseconds()))
	}
	return true
}

// logChange logs a change of routes or upstreams, with the origin and revision of the record behind it.
func (n *Node) logChange(message, from string, r rattanwood.Record, more ...zap.Field) {
	if e := n.log.Check(zap.InfoLevel, message); e != nil {
		e.Write(append(more, zap.String(logger.KeyPeer, from), zap.Inline(logger.Position(r.Position)))...)
	}
}
