package node

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"go.uber.org/zap"

	"example.org/rattanwood"
	"example.org/rattanwood/internal/logger"
	"example.org/rattanwood/prober"
	"example.org/rattanwood/tagger"
)

const (
	// checkTimeout is how long an upstream may take to accept a connection. It is many times the round trip
	// of a few milliseconds in which a running host answers under any load, and short enough for two checks
	// within the 200 ms after which Callers retransmit a packet.
	checkTimeout = 80 * time.Millisecond
	// identifyTimeout is how long an upstream may take to send its id. The request occupies one of its slots.
	identifyTimeout = 200 * time.Millisecond
	// maxTickDelay is the delay of a tick above which timeouts of running checks are discarded, because this
	// process was stalled and may have missed the answers.
	maxTickDelay = 50 * time.Millisecond
)

// startChecks runs health checks in the background. A check opens a connection to an upstream and closes
// it at once; if requested, it first asks the upstream for its id.
func (n *Node) startChecks(ctx context.Context, began time.Duration, due []prober.Check) {
	for _, c := range due {
		n.background.Go(func() { n.checkUpstream(ctx, began, c) })
	}
}

// requestCheck has tickLoop check an upstream whose Caller has repeated a packet, if that is due. If it can't take the
// request, the next tick begins the check.
func (n *Node) requestCheck(id rattanwood.UpstreamID) {
	select {
	case n.suspects <- id:
	default:
	}
}

// startSuspectedCheck begins the check that requestCheck asked for.
func (n *Node) startSuspectedCheck(ctx context.Context, id rattanwood.UpstreamID) {
	n.mu.Lock()
	now := n.now()
	c, ok := n.prober.StartSuspectedCheck(now, id, n.assignment(id))
	n.mu.Unlock()
	if ok {
		n.startChecks(ctx, now, []prober.Check{c})
	}
}

// startReference runs the reference check that a check still running after prober.ReferenceDelay may need.
func (n *Node) startReference(ctx context.Context, id rattanwood.UpstreamID, began time.Duration) {
	n.mu.Lock()
	now := n.now()
	reference, ok := n.prober.StartReference(now, id, began)
	n.mu.Unlock()
	if ok {
		n.startChecks(ctx, now, []prober.Check{reference})
	}
}

// checkUpstream runs one check, records its result and sends the packets that the result leads to.
func (n *Node) checkUpstream(ctx context.Context, began time.Duration, c prober.Check) {
	id := c.Upstream
	n.mu.Lock()
	r, _, ok := n.tagger.Upstream(id)
	path := n.tagger.HealthPath(r.Service)
	n.mu.Unlock()
	outcome := prober.Inconclusive
	if ok {
		n.counters.checks[c.Cause].Add(1)
		outcome = n.connect(ctx, began, c, r, path)
	}
	n.mu.Lock()
	now := n.now()
	if outcome == prober.TimedOut && (n.lastStall >= began || now-began > checkTimeout+maxTickDelay) {
		outcome = prober.Inconclusive
	}
	v := n.prober.RecordResult(id, began, outcome)
	var outgoing []tagger.OutgoingPacket
	if v != (prober.StateChange{}) {
		n.tagger.MarkSlotsOutdated()
	}
	if v.Avoid {
		outgoing = n.tagger.ReassignOpeningFlows(now, id)
		n.messenger.Members.TriggerHeartbeats()
	}
	if v.Dead {
		n.messenger.Members.TriggerHeartbeats()
	}
	if v.Dead || v.Revived {
		n.tagger.AssumeRestart(now, id)
	}
	if v.Dead || v.Confirmed {
		outgoing = append(outgoing, n.tagger.ResetFlows(id)...)
	}
	age, _ := n.watcher.Age(now)
	position := n.replica.Position()
	due := n.prober.StartDueChecks(now, n.assignment)
	reports := n.prepareLateReports(now)
	n.mu.Unlock()
	n.startChecks(ctx, now, due)
	if v.Avoid || v.Dead || v.Recovered {
		n.log.Info("upstream health changed", zap.Stringer(logger.KeyUpstream, id), zap.Stringer(logger.KeyOutcome, outcome),
			zap.Bool("avoid", v.Avoid), zap.Bool("dead", v.Dead), zap.Bool("well", v.Recovered), zap.Int64(logger.KeyAge, (now-began).Milliseconds()))
	}
	n.sendDatagrams(reports)
	n.sendPackets(outgoing, age, position)
}

// connect opens the connection of a check. Over the same connection, it asks the upstream for its id if the check
// requests that.
func (n *Node) connect(ctx context.Context, began time.Duration, c prober.Check, r rattanwood.Registration, path string) prober.Outcome {
	pending := time.AfterFunc(prober.ReferenceDelay, func() { n.startReference(ctx, c.Upstream, began) })
	dialled := time.Now()
	conn, outcome := dialUpstream(ctx, r.Address.String())
	pending.Stop()
	n.timings.check.Observe(time.Since(dialled).Seconds())
	if conn == nil {
		return outcome
	}
	defer func() { _ = conn.Close() }()
	if c.Identify && path != "" {
		return n.identify(ctx, conn, r, path)
	}
	return outcome
}

// identify checks that the upstream itself, and not another one, answers at its address. If the request
// fails, the check still passes, since the upstream has accepted a connection and may just be busy.
func (n *Node) identify(ctx context.Context, conn net.Conn, r rattanwood.Registration, path string) prober.Outcome {
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	n.counters.identifications.Add(1)
	answering, err := n.cfg.IdentityChecker.Identify(ctx, conn, path)
	switch {
	case err != nil:
		n.log.Debug("upstream identity check failed", zap.Stringer(logger.KeyUpstream, r.Instance.Upstream()), zap.String(logger.KeyError, err.Error()))
		return prober.Passed
	case answering != r.Instance:
		return prober.Refused
	}
	return prober.Passed
}

// dialUpstream checks whether an upstream accepts connections, and returns the connection if it does.
func dialUpstream(ctx context.Context, address string) (net.Conn, prober.Outcome) {
	d := net.Dialer{Timeout: checkTimeout}
	conn, err := d.DialContext(ctx, "tcp4", address)
	switch {
	case err == nil:
		return conn, prober.Passed
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, prober.Refused
	case ctx.Err() != nil:
		return nil, prober.Inconclusive
	}
	return nil, prober.TimedOut
}
