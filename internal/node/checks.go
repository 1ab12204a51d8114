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
	// stallMost is the delay of a tick beyond which checks under way prove nothing.
	stallMost = 50 * time.Millisecond
)

// startChecks opens a connection to each upstream and closes it at once.
func (n *Node) startChecks(ctx context.Context, began time.Duration, due []rattanwood.UpstreamID) {
	for _, id := range due {
		n.running.Go(func() { n.check(ctx, began, id) })
	}
}

func (n *Node) check(ctx context.Context, began time.Duration, id rattanwood.UpstreamID) {
	n.mu.Lock()
	r, _, ok := n.flows.Upstream(id)
	n.mu.Unlock()
	outcome := prober.Unclear
	if ok {
		n.counters.checks.Add(1)
		dialled := time.Now()
		outcome = dial(ctx, r.Address.String())
		n.timings.check.Observe(time.Since(dialled).Seconds())
	}
	n.mu.Lock()
	now := n.now()
	if outcome == prober.Silent && (n.stalled >= began || now-began > checkDeadline+stallMost) {
		outcome = prober.Unclear
	}
	v := n.checks.Result(id, began, outcome)
	var emissions []tagger.Emission
	if v.Avoid {
		emissions = n.flows.Moves(now, id)
		n.talk.Members.Hurry()
	}
	if v.Dead {
		n.talk.Members.Hurry()
		emissions = append(emissions, n.flows.Ends(id)...)
	}
	age, _ := n.watch.Age(now)
	revision := n.copy.At()
	due := n.checks.Due(now, n.duty)
	n.mu.Unlock()
	n.startChecks(ctx, now, due)
	if v != (prober.Verdict{}) {
		n.log.Info("upstream checked", zap.Stringer(logger.KeyUpstream, id), zap.Stringer(logger.KeyOutcome, outcome),
			zap.Bool("avoid", v.Avoid), zap.Bool("dead", v.Dead), zap.Bool("well", v.Well), zap.Int64(logger.KeyAge, (now-began).Milliseconds()))
	}
	n.emitAll(emissions, age, revision)
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
		return prober.Unclear
	}
	return prober.Silent
}
