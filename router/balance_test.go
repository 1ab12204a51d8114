package router_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/router"
)

var balanceFile = flag.String("balance", "", "measure the balance dial and write the figures to this file")

// point is what a setting of the balance dial costs.
type point struct {
	Free       float64 `json:"free"`
	Excess     float64 `json:"excess"`
	Imbalance  float64 `json:"imbalance"`
	Exceptions float64 `json:"exceptions"`
	Broken     float64 `json:"broken"`
}

// TestWriteBalance measures the dial for today's larger service; it runs only when a file is named.
func TestWriteBalance(t *testing.T) {
	if *balanceFile == "" {
		t.Skip("no file is named")
	}
	var points []point
	for _, excess := range []float64{0.02, 0.1} {
		for _, free := range []float64{0, 0.1, 0.25, 0.5, 1} {
			imbalance, exceptions := spread(free, excess, 14, 14*430, 15)
			points = append(points, point{Free: free, Excess: excess, Imbalance: imbalance, Exceptions: exceptions, Broken: brokenAtLoss(free, excess)})
		}
	}
	data, err := json.MarshalIndent(points, "", "  ")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, os.WriteFile(*balanceFile, append(data, '\n'), 0o644), qt.IsNil)
}

// brokenAtLoss is the share of a home's flows that its successors would derive wrongly if it was
// lost while flows come at 3,000 a second, with the default budget.
func brokenAtLoss(free, excess float64) float64 {
	const perSecond, seconds = 3000, 10
	r := newRouter(15, 14, free)
	r.SetCatalog(time.Millisecond, catalog(2, 14, rattanwood.Balance{LoadPlacedShare: free, ExcessLoad: excess}))
	random := rand.New(rand.NewPCG(1, 1))
	replicated := map[rattanwood.FlowID]bool{}
	placed := map[rattanwood.FlowID]rattanwood.UpstreamID{}
	now := 10 * time.Second
	r.Tick(now, step)
	for n := 0; n < perSecond*seconds; {
		now += step
		for range perSecond * step / time.Second {
			n++
			f := rattanwood.FlowID(random.Uint64())
			placed[f] = r.Decide(now, &router.Packet{Flow: f, Address: address, Opens: true, Hops: router.MaxHops}).Upstream
		}
		r.Tick(now, step)
		for _, b := range r.NextBatches(now, (4096-heartbeats)/20) {
			for _, a := range b.Flows {
				replicated[a.Flow] = true
			}
			r.AcknowledgeBatch(b.To, b.Seq)
		}
	}
	lost := 0
	for f, id := range placed {
		if d, _ := r.NewestCatalog().Route(address).HashedUpstream(f, 2); d != id && !replicated[f] {
			lost++
		}
	}
	return float64(lost) / float64(len(placed))
}

// TestFlowsLieEvenly checks the Council's bound on new flows at today's sizes. Placement doesn't
// read load reports, so that late or false ones change nothing.
func TestFlowsLieEvenly(t *testing.T) {
	const limit = 1.15
	for _, free := range []float64{0, 0.25, 0.5, 1} {
		t.Run(fmt.Sprintf("free=%v", free), func(t *testing.T) {
			imbalance, _ := spread(free, 0.05, 14, 14*4300, 15)
			qt.Assert(t, imbalance <= limit, qt.IsTrue, qt.Commentf("%v", imbalance))
		})
	}
}
