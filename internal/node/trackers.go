package node

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"example.org/rattanwood"
	"example.org/rattanwood/allocator"
	"example.org/rattanwood/internal/logger"
	"example.org/rattanwood/messenger"
	"example.org/rattanwood/tagger"
	"example.org/rattanwood/wire"
)

// maxToldFlows bounds the flows in a message to a tracker or from one.
const maxToldFlows = 100

// maxSpan bounds the span in a message. A Caller opens a flow within 1.4 s or gives up.
const maxSpan = time.Minute

// prepareReports returns the datagrams that tell trackers where flows went. The calling code must hold mu.
func (n *Node) prepareReports(now time.Duration) []messenger.Send {
	var out []messenger.Send
	for tracker, reports := range n.tagger.TakeReports(now, n.messenger.MaxToldTrackers(now)) {
		for len(reports) > 0 {
			size := min(len(reports), maxToldFlows)
			if a, ok := n.messenger.Tell(now, tracker, encodeReports(reports[:size])); ok {
				out = append(out, a)
			}
			reports = reports[size:]
		}
	}
	return out
}

// prepareLateReports is prepareReports right after a decision of which the trackers must hear before the packet is sent. It
// returns nothing after other decisions, which the next tick reports. The calling code must hold mu.
func (n *Node) prepareLateReports(now time.Duration) []messenger.Send {
	if !n.tagger.MustReport(now) {
		return nil
	}
	return n.prepareReports(now)
}

// prepareSeeks returns the datagrams that ask the trackers of a flow. The calling code must hold mu.
func (n *Node) prepareSeeks(now time.Duration, q *tagger.Request) []messenger.Send {
	var out []messenger.Send
	for _, tracker := range q.Trackers {
		if a, ok := n.messenger.Seek(now, tracker, &wire.Seek{Flows: []uint64{uint64(q.Flow)}}); ok {
			out = append(out, a)
		}
	}
	return out
}

// handleSeek answers a balancer that asks where flows went.
func (n *Node) handleSeek(from rattanwood.VMID, m *wire.Seek) {
	flows := make([]allocator.FlowID, min(len(m.GetFlows()), maxToldFlows))
	for i := range flows {
		flows[i] = allocator.FlowID(m.GetFlows()[i])
	}
	n.mu.Lock()
	now := n.now()
	located := n.tagger.Locate(now, flows)
	answer, ok := n.messenger.Tell(now, from, encodeReports(located))
	n.mu.Unlock()
	if ok {
		n.sendDatagram(answer)
	}
	for _, p := range located {
		n.log.Info("flow located", zap.String(logger.KeyPeer, string(from)), zap.Uint64("id", uint64(p.Flow)), zap.Stringer(logger.KeyUpstream, p.Upstream))
	}
}

// handleTold records where flows went, and sends the copies of first packets that waited for that.
func (n *Node) handleTold(from rattanwood.VMID, m *wire.Told) {
	size := min(len(m.GetFlows()), len(m.GetUpstreams()), maxToldFlows)
	reports := make([]tagger.PlacementReport, size)
	for i := range reports {
		reports[i] = tagger.PlacementReport{
			Flow: allocator.FlowID(m.GetFlows()[i]), Upstream: rattanwood.UpstreamID(m.GetUpstreams()[i]), Span: time.Duration(m.GetSpan()) * time.Millisecond,
		}
	}
	n.mu.Lock()
	now := n.now()
	n.finishPackets(now, n.tagger.HandleReports(now, from, reports))
}

// describeAnswers returns the answers of a flow's trackers for logs, one text each.
func describeAnswers(answers []tagger.TrackerAnswer) []string {
	out := make([]string, len(answers))
	for i, a := range answers {
		out[i] = fmt.Sprintf("%s silent", a.Tracker)
		switch {
		case a.Younger:
			out[i] = fmt.Sprintf("%s younger after %d ms", a.Tracker, a.After.Milliseconds())
		case a.Answered:
			out[i] = fmt.Sprintf("%s %v after %d ms", a.Tracker, a.Upstream, a.After.Milliseconds())
		}
	}
	return out
}

func encodeReports(reports []tagger.PlacementReport) *wire.Told {
	m := &wire.Told{}
	for _, p := range reports {
		m.Flows, m.Upstreams = append(m.Flows, uint64(p.Flow)), append(m.Upstreams, uint32(p.Upstream))
		m.Span = max(m.Span, uint32(min(p.Span, maxSpan).Milliseconds()))
	}
	return m
}
