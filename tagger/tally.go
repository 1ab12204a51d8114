package tagger

import (
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/allocator"
)

const (
	// tallyDelay is how long news of requests wait for others to the same balancer.
	tallyDelay = 5 * time.Millisecond
	// maxTally bounds the news for a balancer; what is beyond it is left to the age of the requests.
	maxTally = 1000
)

// EndedRequest is a request whose response began. Work is zero if the time that it took isn't known.
type EndedRequest struct {
	Flow   allocator.FlowID
	Work   time.Duration
	Failed bool
}

// BegunRequest is a request that began on a flow without having been placed by counts.
type BegunRequest struct {
	Flow     allocator.FlowID
	Upstream rattanwood.UpstreamID
}

// Tally is news of requests for the balancer that counts them.
type Tally struct {
	Ended []EndedRequest
	Begun []BegunRequest
	// Pressures tell how much room the sender found for the flows that it was asked for.
	Pressures []allocator.Pressure
}

// recordTally tells the balancer that counts the requests on an upstream of one that began or ended.
func (t *Tagger) recordTally(now time.Duration, id rattanwood.UpstreamID, add func(*Tally)) {
	u := t.upstreams[id]
	if u == nil || t.cfg.Allocation == nil {
		return
	}
	part := partOf(id, t.parts(u.Service, u.DataCentre))
	peer, own, ok := t.cfg.Allocation.Ranked(u.DataCentre, groupKey(u.Service, u.DataCentre, part))
	switch {
	case own:
		news := Tally{}
		add(&news)
		t.applyTally(now, news)
	case ok:
		if news := t.tallyFor(now, peer); len(news.Ended)+len(news.Begun) < maxTally {
			add(news)
		}
	}
}

// tallyFor returns the news for a balancer, which are sent even if they stay empty.
func (t *Tagger) tallyFor(now time.Duration, peer rattanwood.VMID) *Tally {
	news := t.tallies[peer]
	if news == nil {
		news = &Tally{}
		t.tallies[peer] = news
	}
	if t.tallySince == 0 {
		t.tallySince = now
	}
	return news
}

// recordBegin tells of a request of a flow, unless the flow was just placed by counts.
func (t *Tagger) recordBegin(now time.Duration, key flowKey, r *recentFlow) {
	u := t.upstreams[r.upstream]
	first := r.requests == 1 && r.counted
	r.tallied = first
	if first || u == nil || !t.isCounted(u.Service, key.target) {
		return
	}
	r.tallied = true
	t.recordTally(now, r.upstream, func(news *Tally) {
		news.Begun = append(news.Begun, BegunRequest{Flow: flowIDOf(key), Upstream: r.upstream})
	})
}

// recordEnd tells of the end of a flow's request if its begin was told. If the flow ends as well, its begin may have been
// told by another balancer, to which its packets went before.
func (t *Tagger) recordEnd(now time.Duration, key flowKey, r *recentFlow, flowEnds bool) {
	u := t.upstreams[r.upstream]
	if u == nil || !r.tallied && (r.opened || !flowEnds || !t.isCounted(u.Service, key.target)) {
		return
	}
	r.tallied = false
	work := time.Duration(0)
	if r.latency > 0 {
		work = max(r.latency-t.averagesOf(key.target).roundTrip, 0)
	}
	t.recordTally(now, r.upstream, func(news *Tally) {
		news.Ended = append(news.Ended, EndedRequest{Flow: flowIDOf(key), Work: work, Failed: r.failed})
	})
}

// TakeTallies returns the news of requests by balancer once they have waited long enough.
func (t *Tagger) TakeTallies(now time.Duration) map[rattanwood.VMID]*Tally {
	t.answerPeers(now)
	if t.tallySince == 0 || now-t.tallySince < tallyDelay {
		return nil
	}
	out := t.tallies
	t.tallies, t.tallySince = map[rattanwood.VMID]*Tally{}, 0
	return out
}

// HandleTally counts requests that began and ended, as another balancer tells.
func (t *Tagger) HandleTally(now time.Duration, from rattanwood.VMID, news Tally) {
	t.recordAnswer(from)
	for _, p := range news.Pressures {
		t.pressures[pressureKey{peer: from, service: p.Service, level: p.Level}] = timedPressure{Pressure: p, at: now}
	}
	t.applyTally(now, news)
}

// KeepTally takes back news that couldn't be sent, for the next time.
func (t *Tagger) KeepTally(now time.Duration, peer rattanwood.VMID, news *Tally) {
	later := t.tallyFor(now, peer)
	later.Ended = append(later.Ended, news.Ended[:min(len(news.Ended), maxTally)]...)
	later.Begun = append(later.Begun, news.Begun[:min(len(news.Begun), maxTally)]...)
}

func (t *Tagger) applyTally(now time.Duration, news Tally) {
	if t.cfg.Allocation == nil {
		return
	}
	a := t.cfg.Allocation.Allocator
	for _, b := range news.Begun {
		if u := t.upstreams[b.Upstream]; u != nil {
			a.Begin(now, allocator.Offer{Flow: b.Flow, Service: u.Service}, allocator.Candidate{ID: u.id, Capacity: u.capacity(now)})
		}
	}
	for _, e := range news.Ended {
		a.End(now, e.Flow, e.Work, e.Failed)
	}
}
