package placer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/placer"
)

// queueingUpstream serves requests in its slots, one after the other in each.
type queueingUpstream struct {
	// free is when each slot is free again.
	free []time.Duration
	work time.Duration
}

// serve returns when a request that arrives now is answered.
func (u *queueingUpstream) serve(now time.Duration) time.Duration {
	i := slices.Index(u.free, slices.Min(u.free))
	u.free[i] = max(u.free[i], now) + u.work
	return u.free[i]
}

// response is the end of a request, at the balancer that forwarded it.
type response struct {
	at, sentAt time.Duration
	balancer   int
	id         rattanwood.UpstreamID
}

// TestSlowUpstreamsGetFewerFlows is the load of the RTK network: 400 flows a second of one request each, with
// 40 ms of work, over 14 upstreams of 3 slots. Two of them then turn four times slower. At an even share their
// queues grow without end: 57 requests a second arrive for 37 that they can serve.
func TestSlowUpstreamsGetFewerFlows(t *testing.T) {
	const balancers, upstreams, slow, rate = 18, 14, 2, 400
	const work, aim = 40 * time.Millisecond, 200 * time.Millisecond
	const slowFrom, measuredFrom, end = 4 * time.Second, 8 * time.Second, 14 * time.Second
	c := qt.New(t)
	random := rand.New(rand.NewPCG(3, 3))
	var placers []*placer.Placer
	for i := range balancers {
		cfg := placer.DefaultConfig(rand.New(rand.NewPCG(uint64(i), 2)))
		cfg.DataCentre = "east"
		placers = append(placers, placer.New(cfg))
	}
	var candidates []placer.Candidate
	var servers []*queueingUpstream
	for id := range upstreams {
		candidates = append(candidates, placer.Candidate{ID: rattanwood.UpstreamID(id), Capacity: 3, Local: true})
		servers = append(servers, &queueingUpstream{free: make([]time.Duration, 3), work: work})
	}
	var pending []response
	total, onSlow, late := 0, 0, 0
	for now := time.Duration(0); now < end; now += time.Millisecond {
		if now == slowFrom {
			for _, s := range servers[:slow] {
				s.work = 4 * work
			}
		}
		pending = slices.DeleteFunc(pending, func(r response) bool {
			if r.at <= now {
				placers[r.balancer].AddResponse(now, r.id, (r.at-r.sentAt).Seconds()/work.Seconds())
			}
			return r.at <= now
		})
		for range rate / 100 {
			if random.IntN(10) != 0 {
				continue
			}
			b := random.IntN(balancers)
			id := candidates[placers[b].Pick(now, candidates)].ID
			placers[b].AddFlow(now, id, 0)
			placers[b].AddRequest(now, id)
			r := response{at: servers[id].serve(now), sentAt: now, balancer: b, id: id}
			pending = append(pending, r)
			if now >= measuredFrom {
				total++
				onSlow += boolToInt(id < slow)
				late += boolToInt(r.at-r.sentAt > aim)
			}
		}
		if now%time.Second == 0 {
			for i, from := range placers {
				for j, to := range placers {
					for _, k := range candidates {
						if i != j {
							to.MergeReport(now, rattanwood.VMID(fmt.Sprint(i)), "east", k.ID, from.OwnLoad(now, k.ID))
						}
					}
				}
				from.Tick(now, map[rattanwood.DataCentre]int{"east": balancers})
			}
		}
	}
	share := float64(onSlow) / float64(total) * upstreams / slow
	t.Logf("%d of %d late, %.2f of a fair share on the slow ones", late, total, share)
	// They can serve 0.65 of a fair share at most.
	c.Assert(share < 0.5, qt.IsTrue, qt.Commentf("%.2f of a fair share", share))
	c.Assert(float64(late) < 0.02*float64(total), qt.IsTrue, qt.Commentf("%d of %d late", late, total))
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
