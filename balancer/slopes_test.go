package balancer_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/balancer"
	"example.org/rattanwood/checker"
	"example.org/rattanwood/claimer"
	"example.org/rattanwood/compiler"
	"example.org/rattanwood/detector"
	"example.org/rattanwood/limiter"
	"example.org/rattanwood/marker"
	"example.org/rattanwood/router"
)

var slopesFile = flag.String("slopes", "", "measure the slopes of docs/CAPACITY.md and write them to this file")

// slope is the least-squares line through measured points, as written to the file for the capacity
// page.
type slope struct {
	Name   string       `json:"name"`
	Per    string       `json:"per"`
	Unit   string       `json:"unit"`
	Slope  float64      `json:"slope"`
	Offset float64      `json:"offset"`
	Points [][2]float64 `json:"points"`
}

// fitLine fits a line to points by least squares.
func fitLine(name, per, unit string, points [][2]float64) slope {
	var n, x, y, xx, xy float64
	for _, p := range points {
		n++
		x += p[0]
		y += p[1]
		xx += p[0] * p[0]
		xy += p[0] * p[1]
	}
	m := (n*xy - x*y) / (n*xx - x*x)
	return slope{Name: name, Per: per, Unit: unit, Slope: m, Offset: (y - m*x) / n, Points: points}
}

// TestWriteSlopes measures costs at several small sizes and fits lines to them. It runs only with
// the flag -slopes.
func TestWriteSlopes(t *testing.T) {
	if *slopesFile == "" {
		t.Skip("flag -slopes is not set")
	}
	var all []slope
	all = append(all, heartbeatSlopes(t)...)
	all = append(all, memberSlopes()...)
	all = append(all, flowSlopes()...)
	all = append(all, decisionSlopes()...)
	all = append(all, documentSlopes(t)...)
	all = append(all, claimSlopes()...)
	data, err := json.MarshalIndent(all, "", "  ")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, os.WriteFile(*slopesFile, append(data, '\n'), 0o644), qt.IsNil)
}

func heapInUse() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// meanNanoseconds returns the mean time of n calls of do.
func meanNanoseconds(n int, do func(i int)) float64 {
	begun := time.Now()
	for i := range n {
		do(i)
	}
	return float64(time.Since(begun).Nanoseconds()) / float64(n)
}

func heartbeatSlopes(t *testing.T) []slope {
	var sent, cpu [][2]float64
	for _, n := range []int{5, 10, 15, 30, 60} {
		f := newFleet(t, 1, 0)
		f.flowsPerInterval = 0
		f.config = func(vm rattanwood.VMID) balancer.Config {
			c := balancer.DefaultConfig(vm)
			c.Limiter = limiter.Config{Rate: 1 << 20, Burst: 1 << 20}
			return c
		}
		for i := range n {
			f.join(fmt.Sprintf("vm-%d", i))
		}
		begun := time.Now()
		f.run(nil)
		peers := float64(n - 1)
		sent = append(sent, [2]float64{peers, f.controlRate()})
		cpu = append(cpu, [2]float64{peers, time.Since(begun).Seconds() * 1e6 / endTime.Seconds() / float64(n)})
	}
	return []slope{
		fitLine("heartbeats sent", "peer", "B/s", sent),
		fitLine("processor time of heartbeats, with the fake network's part", "peer", "us/s", cpu),
	}
}

func memberSlopes() []slope {
	var memory, tick [][2]float64
	for _, n := range []int{100, 400, 1600} {
		before := heapInUse()
		d := detector.New(detector.Config{Self: "self", HeartbeatInterval: time.Second, SuspectAfter: time.Hour, DeadAfter: 2 * time.Hour, PauseThreshold: time.Hour})
		for i := range n {
			d.Add(rattanwood.VMID(fmt.Sprintf("vm-%d", i)), netip.MustParseAddrPort("127.0.0.1:1"), "east")
		}
		memory = append(memory, [2]float64{float64(n), heapInUse() - before})
		tick = append(tick, [2]float64{float64(n), meanNanoseconds(100, func(i int) {
			heartbeats, _ := d.Tick(time.Duration(i) * 4 * time.Second)
			for _, m := range heartbeats {
				d.BuildHeartbeat(0, m, detector.HeartbeatPayload{})
			}
		}) / 1000})
		runtime.KeepAlive(d)
	}
	return []slope{
		fitLine("memory of a member", "member", "B", memory),
		fitLine("one round of heartbeats built", "member", "us", tick),
	}
}

func bigDocument(upstreams, perService int) *rattanwood.Document {
	doc := &rattanwood.Document{Version: 1}
	for s := 0; s*perService < upstreams; s++ {
		def := rattanwood.Service{
			Name:      rattanwood.ServiceID(fmt.Sprintf("service-%d", s)),
			Addresses: []rattanwood.Binding{{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(s >> 8), byte(s)}), 80), Since: 1}},
			Limits:    rattanwood.Limits{MaxQueueLength: 32, MaxWaitMillis: 500, TimeoutMillis: 5000, RetryBudget: 0.2},
		}
		for u := range perService {
			n := s*perService + u
			at := netip.AddrFrom4([4]byte{10, byte(2 + n>>16), byte(n >> 8), byte(n)})
			def.Upstreams = append(def.Upstreams, rattanwood.Upstream{
				Name: fmt.Sprintf("upstream-%d", n), Tunnel: netip.AddrPortFrom(at, 6081), Web: netip.AddrPortFrom(at, 80), Slots: 2, Since: 1,
			})
		}
		doc.Services = append(doc.Services, def)
	}
	return doc
}

// flowRouter returns a router that owns n flows, in a document with one service.
func flowRouter(n, balancers, upstreams int) *router.Router {
	r := router.New(router.DefaultConfig("vm-0"), marker.New(3*time.Second))
	doc := bigDocument(upstreams, upstreams)
	doc.Services[0].Addresses[0].Address = board
	r.SetCatalog(0, compiler.Compile(doc, nil))
	v := router.View{LeaseExpiry: time.Hour}
	for i := range balancers {
		vm := rattanwood.VMID(fmt.Sprintf("vm-%d", i))
		v.Live = append(v.Live, router.Node{VM: vm, Seed: router.Seed(vm)})
	}
	r.SetView(v)
	for i := range n {
		r.Decide(0, &router.Packet{Flow: flowID(i), Address: board, Opens: true, Hops: router.MaxHops})
	}
	return r
}

func flowID(i int) rattanwood.FlowID { return rattanwood.FlowID(uint64(i)*0x9e3779b97f4a7c15 + 1) }

func flowSlopes() []slope {
	var memory, sweep, replicated [][2]float64
	for _, n := range []int{10_000, 30_000, 100_000} {
		before := heapInUse()
		r := flowRouter(n, 15, 14)
		memory = append(memory, [2]float64{float64(n), heapInUse() - before})
		now := replicateFully(r, 0)
		// A sweep covers 2 s, so ns/2000 are us per second.
		sweep = append(sweep, [2]float64{float64(n), meanNanoseconds(20, func(int) { r.Tick(now, 2*time.Second) }) / 2000})
		doc := *r.NewestCatalog().Document
		doc.Version = 2
		doc.Services = append([]rattanwood.Service{}, doc.Services...)
		doc.Services[0].Upstreams = append(append([]rattanwood.Upstream{}, doc.Services[0].Upstreams...), rattanwood.Upstream{Name: "new", Since: 2})
		r.SetCatalog(now, compiler.Compile(&doc, r.NewestCatalog()))
		bytes := 0
		for r.Watermark() != 2 {
			now += tickInterval
			r.Tick(now, tickInterval)
			for _, b := range r.NextBatches(now, 1<<20) {
				bytes += b.Size()
				r.AcknowledgeBatch(b.To, b.Seq)
			}
		}
		replicated = append(replicated, [2]float64{float64(n), float64(bytes)})
	}
	return []slope{
		fitLine("memory of a held flow", "flow", "B", memory),
		fitLine("sweep at steady state", "flow", "us/s", sweep),
		fitLine("replicated when a 15th upstream is added", "flow", "B", replicated),
	}
}

// replicateFully runs the router without a limit on replication until all overrides are replicated,
// at least until 5 s. It returns the time reached.
func replicateFully(r *router.Router, now time.Duration) time.Duration {
	for ; now < 5*time.Second || !r.FullyReplicated(); now += tickInterval {
		r.Tick(now, tickInterval)
		for _, b := range r.NextBatches(now, 1<<20) {
			r.AcknowledgeBatch(b.To, b.Seq)
		}
	}
	return now
}

func decisionSlopes() []slope {
	const rounds = 200_000
	var hashed, asked [][2]float64
	for _, n := range []int{4, 14, 50, 200} {
		r := flowRouter(0, 15, n)
		p := router.Packet{Address: board}
		hashed = append(hashed, [2]float64{float64(n), meanNanoseconds(rounds, func(i int) {
			p.Flow = flowID(i)
			r.Decide(time.Second, &p)
		})})
	}
	for _, n := range []int{15, 60, 240} {
		r := flowRouter(0, n, 14)
		p := router.Packet{Address: board, Opens: true}
		asked = append(asked, [2]float64{float64(n), meanNanoseconds(rounds, func(i int) {
			p.Flow = flowID(i)
			r.Decide(time.Second, &p)
		})})
	}
	return []slope{
		fitLine("decision on a derived flow", "upstream of the service", "ns", hashed),
		fitLine("decision on a first packet", "balancer", "ns", asked),
	}
}

func documentSlopes(t *testing.T) []slope {
	var size, memory, parse [][2]float64
	for _, n := range []int{1000, 2000, 4000} {
		data, err := json.Marshal(bigDocument(n, 11))
		qt.Assert(t, err, qt.IsNil)
		size = append(size, [2]float64{float64(n), float64(len(data))})
		before := heapInUse()
		doc, err := checker.Parse("big", data)
		qt.Assert(t, err, qt.IsNil)
		c := compiler.Compile(doc, nil)
		memory = append(memory, [2]float64{float64(n), heapInUse() - before})
		parse = append(parse, [2]float64{float64(n), meanNanoseconds(5, func(int) {
			doc, _ = checker.Parse("big", data)
			c = compiler.Compile(doc, nil)
		}) / 1000})
		runtime.KeepAlive(c)
	}
	return []slope{
		fitLine("size of a document", "upstream", "B", size),
		fitLine("memory of a document with its catalog", "upstream", "B", memory),
		fitLine("a document parsed, checked and compiled", "upstream", "us", parse),
	}
}

func claimSlopes() []slope {
	var memory [][2]float64
	for _, n := range []int{10_000, 50_000} {
		before := heapInUse()
		c := claimer.New(claimer.Config{RetentionTime: time.Hour})
		for i := range n {
			c.Claim(time.Hour, claimer.Claim{ID: rattanwood.RequestID(fmt.Sprintf("board/request-%d", i)), By: claimer.Claimant{VM: "vm-0", Incarnation: 1}})
		}
		memory = append(memory, [2]float64{float64(n), heapInUse() - before})
		runtime.KeepAlive(c)
	}
	return []slope{fitLine("memory of a claimed request id", "id", "B", memory)}
}
