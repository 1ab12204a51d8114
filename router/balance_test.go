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

var balanceFile = flag.String("balance", "", "measure the balance settings and write the figures to this file")

// balancePoint is the cost of one setting of the balance: the imbalance it leaves, the overrides
// for each flow, and the share of flows that a failed owner would break. The JSON keys are read by
// the figures.
type balancePoint struct {
	LoadPlacedShare float64 `json:"free"`
	ExcessLoad      float64 `json:"excess"`
	Imbalance       float64 `json:"imbalance"`
	Overrides       float64 `json:"exceptions"`
	Broken          float64 `json:"broken"`
}

// TestWriteBalance measures the balance settings for a service of 14 upstreams with 430 flows each.
// It runs only with the flag -balance.
func TestWriteBalance(t *testing.T) {
	if *balanceFile == "" {
		t.Skip("flag -balance is not set")
	}
	var points []balancePoint
	for _, excess := range []float64{0.02, 0.1} {
		for _, share := range []float64{0, 0.1, 0.25, 0.5, 1} {
			imbalance, overrides := measureSpread(share, excess, 14, 14*430, 15)
			points = append(points, balancePoint{LoadPlacedShare: share, ExcessLoad: excess, Imbalance: imbalance, Overrides: overrides, Broken: misroutedAfterLoss(share, excess)})
		}
	}
	data, err := json.MarshalIndent(points, "", "  ")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, os.WriteFile(*balanceFile, append(data, '\n'), 0o644), qt.IsNil)
}

// misroutedAfterLoss returns the share of an owner's flows that its successors would misroute if it
// failed while 3,000 new flows a second come, with the default budget for control traffic.
func misroutedAfterLoss(share, excess float64) float64 {
	const perSecond, seconds = 3000, 10
	r := newRouter(15, 14, share)
	r.SetCatalog(time.Millisecond, catalog(2, 14, rattanwood.Balance{LoadPlacedShare: share, ExcessLoad: excess}))
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
		for _, b := range r.NextBatches(now, (4096-heartbeatRate)/20) {
			for _, a := range b.Flows {
				replicated[a.Flow] = true
			}
			r.AcknowledgeBatch(b.To, b.Seq)
		}
	}
	misrouted := 0
	for f, id := range placed {
		if hashed, _ := r.NewestCatalog().Route(address).HashedUpstream(f, 2); hashed != id && !replicated[f] {
			misrouted++
		}
	}
	return float64(misrouted) / float64(len(placed))
}

// TestFlowsSpreadEvenly checks the required bound on the most loaded upstream, for a service of 14
// upstreams with 4,300 flows each. Placement doesn't use load reports, so that late or false ones
// change nothing.
func TestFlowsSpreadEvenly(t *testing.T) {
	const limit = 1.15
	for _, share := range []float64{0, 0.25, 0.5, 1} {
		t.Run(fmt.Sprintf("free=%v", share), func(t *testing.T) {
			imbalance, _ := measureSpread(share, 0.05, 14, 14*4300, 15)
			qt.Assert(t, imbalance <= limit, qt.IsTrue, qt.Commentf("the most loaded upstream has %v times the mean", imbalance))
		})
	}
}
