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
	// checkDeadline bounds the wait for an upstream to accept a connection: many times the round trip of a few
	// milliseconds in which a living host answers, whatever its load, and short enough for
	// two checks within the 200 ms after which Callers repeat a packet.
	checkDeadline = 80 * time.Millisecond
	// identifyDeadline bounds the wait for an upstream to say who it is, which takes a slot of it.
	identifyDeadline = 200 * time.Millisecond
	// stallMost is the delay of a tick beyond which checks under way prove nothing.
	stallMost = 50 * time.Millisecond
)

// startChecks opens a connection to each upstream and closes it at once, or asks the upstream who it is.
func (n *Node) startChecks(ctx context.Context, began time.Duration, due []prober.Check) {
	for _, c := range due {
		n.running.Go(func() { n.check(ctx, began, c) })
	}
}

func (n *Node) check(ctx context.Context, began time.Duration, c prober.Check) {
	id := c.Upstream
	n.mu.Lock()
	r, _, ok := n.flows.Upstream(id)
	path := n.flows.HealthPath(r.Service)
	n.mu.Unlock()
	outcome := prober.Inconclusive
	if ok {
		n.counters.checks.Add(1)
		dialled := time.Now()
		outcome = dial(ctx, r.Address.String())
		n.timings.check.Observe(time.Since(dialled).Seconds())
		if outcome == prober.Answered && c.Identify && path != "" {
			outcome = n.identify(ctx, r, path)
		}
	}
	n.mu.Lock()
	now := n.now()
	if outcome == prober.TimedOut && (n.stalled >= began || now-began > checkDeadline+stallMost) {
		outcome = prober.Inconclusive
	}
	v := n.checks.RecordResult(id, began, outcome)
	var emissions []tagger.OutgoingPacket
	if v.Avoid {
		emissions = n.flows.ReassignOpeningFlows(now, id)
		n.talk.Members.TriggerHeartbeats()
	}
	if v.Dead {
		n.talk.Members.TriggerHeartbeats()
		emissions = append(emissions, n.flows.ResetFlows(id)...)
	}
	age, _ := n.watch.Age(now)
	revision := n.copy.Revision()
	due := n.checks.StartDueChecks(now, n.duty)
	n.mu.Unlock()
	n.startChecks(ctx, now, due)
	if v != (prober.StateChange{}) {
		n.log.Info("upstream checked", zap.Stringer(logger.KeyUpstream, id), zap.Stringer(logger.KeyOutcome, outcome),
			zap.Bool("avoid", v.Avoid), zap.Bool("dead", v.Dead), zap.Bool("well", v.Recovered), zap.Int64(logger.KeyAge, (now-began).Milliseconds()))
	}
	n.emitAll(emissions, age, revision)
}

// identify reports whether it is the upstream that answers at its address. An upstream that
// is too busy to say so has accepted the connection, which is enough.
func (n *Node) identify(ctx context.Context, r rattanwood.Registration, path string) prober.Outcome {
	ctx, cancel := context.WithTimeout(ctx, identifyDeadline)
	defer cancel()
	n.counters.identities.Add(1)
	in, err := n.cfg.IdentityChecker.Identify(ctx, r.Address, path)
	switch {
	case err != nil:
		n.log.Debug("upstream not identified", zap.Stringer(logger.KeyUpstream, r.Instance.Upstream()), zap.String(logger.KeyError, err.Error()))
		return prober.Answered
	case in != r.Instance:
		return prober.Refused
	}
	return prober.Answered
}

// dial reports whether a connection can be made.
func dial(ctx context.Context, address string) prober.Outcome {
	d := net.Dialer{Timeout: checkDeadline}
	conn, err := d.DialContext(ctx, "tcp4", address)
	switch {
	case err == nil:
		_ = conn.Close()
		return prober.Answered
	case errors.Is(err, syscall.ECONNREFUSED):
		return prober.Refused
	case ctx.Err() != nil:
		return prober.Inconclusive
	}
	return prober.TimedOut
}
