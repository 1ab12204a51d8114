package warmer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
	"example.org/rattanwood/ranker"
	"example.org/rattanwood/warmer"
)

const (
	step    = 50 * time.Millisecond
	rate    = 4
	overage = 1.5
	slack   = 5
	// limit is the most flows that an upstream may get within any second, and half what one holder gives.
	limit = int(rate*overage + slack)
	half  = limit / 2
)

var upstreams = []rattanwood.UpstreamID{11, 22, 33, 44, 55, 66, 77, 88}

// peer is a Warmer with what it knows of the others.
type peer struct {
	*warmer.Warmer
	vm          rattanwood.VMID
	incarnation rattanwood.Incarnation
	up          bool
	pausedUntil time.Duration
	knows       map[rattanwood.VMID]bool
	waiting     []func()
}

// network carries requests, answers and flows handed over between the balancers of a data centre, in virtual
// time. Every balancer tries to send each upstream a flow in each step.
type network struct {
	peers  []*peer
	now    time.Duration
	random *rand.Rand
	loss   float64
	// delay is the longest delay of a datagram, and duplicate the share of those that arrive twice.
	delay     time.Duration
	duplicate float64
	// doubt is the probability with which a balancer takes another for dead, whatever it is.
	doubt    float64
	isCut    func(from, to int) bool
	inFlight map[time.Duration][]func()
	// arrived holds when flows arrived at each upstream.
	arrived map[rattanwood.UpstreamID][]time.Duration
}

func newNetwork(seed uint64, n int) *network {
	w := &network{
		random: rand.New(rand.NewPCG(seed, 7)), doubt: 0.2, isCut: func(int, int) bool { return false },
		inFlight: map[time.Duration][]func(){}, arrived: map[rattanwood.UpstreamID][]time.Duration{},
	}
	for range n {
		w.add()
	}
	for _, p := range w.peers {
		for _, q := range w.peers {
			p.knows[q.vm] = true
		}
	}
	return w
}

func (w *network) add() *peer {
	p := &peer{vm: rattanwood.VMID(fmt.Sprint("vm-", len(w.peers))), knows: map[rattanwood.VMID]bool{}}
	w.peers = append(w.peers, p)
	w.restart(p)
	return p
}

func (w *network) restartAll(which func(*peer) bool) {
	for _, p := range w.peers {
		if which(p) {
			w.restart(p)
		}
	}
}

func (w *network) restart(p *peer) {
	p.incarnation++
	p.up, p.waiting, p.pausedUntil = true, nil, 0
	p.Warmer = warmer.New(warmer.Config{Self: p.vm, Incarnation: p.incarnation, Started: w.now, Overage: overage, Slack: slack})
}

// send delivers a datagram unless it is lost. Datagrams for a paused peer wait until it goes on.
func (w *network) send(from, to int, deliver func()) {
	copies := 1
	if w.random.Float64() < w.duplicate {
		copies = 2
	}
	target := w.peers[to]
	incarnation := target.incarnation
	for range copies {
		if w.isCut(from, to) || w.random.Float64() < w.loss {
			continue
		}
		at := w.now + step
		if w.delay > 0 {
			at += time.Duration(w.random.Int64N(int64(w.delay))).Truncate(step)
		}
		w.inFlight[at] = append(w.inFlight[at], func() {
			switch {
			case !target.up || target.incarnation != incarnation:
			case w.now < target.pausedUntil:
				target.waiting = append(target.waiting, deliver)
			default:
				deliver()
			}
		})
	}
}

func (w *network) run(d time.Duration) {
	cold := map[rattanwood.UpstreamID]float64{}
	for _, id := range upstreams {
		cold[id] = rate
	}
	for end := w.now + d; w.now < end; w.now += step {
		for _, deliver := range w.inFlight[w.now] {
			deliver()
		}
		delete(w.inFlight, w.now)
		for i, p := range w.peers {
			if !p.up || w.now < p.pausedUntil {
				continue
			}
			for _, deliver := range p.waiting {
				deliver()
			}
			p.waiting = nil
			w.tick(i, p, cold)
		}
	}
}

func (w *network) tick(i int, p *peer, cold map[rattanwood.UpstreamID]float64) {
	var members []warmer.Member
	for _, q := range w.peers {
		if q != p && p.knows[q.vm] {
			p.HearPeer()
			members = append(members, warmer.Member{Seed: ranker.Seed(string(q.vm)), Eligible: w.random.Float64() >= w.doubt})
		}
	}
	for _, r := range p.Tick(w.now, cold, members) {
		for j, q := range w.peers {
			if q == p || !p.knows[q.vm] {
				continue
			}
			w.send(i, j, func() {
				a := q.HandleRequest(w.now, p.vm, r)
				w.send(j, i, func() { p.HandleAnswer(q.vm, a) })
			})
		}
	}
	for _, id := range upstreams {
		w.admit(p, id)
		if vm, ok := p.Holder(w.now, id, rate); ok {
			j := slices.IndexFunc(w.peers, func(q *peer) bool { return q.vm == vm })
			w.send(i, j, func() { w.admit(w.peers[j], id) })
		}
	}
}

func (w *network) admit(p *peer, id rattanwood.UpstreamID) {
	if p.Admit(w.now, id, rate) {
		w.arrived[id] = append(w.arrived[id], w.now)
	}
}

// most returns the most flows that an upstream got within a second, and the number of all flows.
func (w *network) most() (most, total int) {
	for _, times := range w.arrived {
		total += len(times)
		for i, from := range times {
			n := 0
			for _, at := range times[i:] {
				if at-from < time.Second {
					n++
				}
			}
			most = max(most, n)
		}
	}
	return most, total
}

func (w *network) cutInto(parts int) {
	w.isCut = func(from, to int) bool { return from%parts != to%parts }
}

// TestUpstreamsGetNoMoreThanTheyBear brings about one failure at a time. Each holder gives half of the limit, so
// flows also have to stay within that where no two balancers can take themselves for the holder.
func TestUpstreamsGetNoMoreThanTheyBear(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		fail func(w *network)
		// most is the most flows that an upstream may get within a second.
		most int
		// least is the least number of flows that all upstreams together get, so that the bound isn't kept by
		// sending nothing.
		least int
	}{
		"none":           {func(w *network) { w.run(20 * time.Second) }, half, 100},
		"lost datagrams": {func(w *network) { w.loss = 0.1; w.run(20 * time.Second) }, half, 100},
		"late and doubled datagrams": {func(w *network) {
			w.delay, w.duplicate = 300*time.Millisecond, 0.3
			w.run(20 * time.Second)
		}, half, 100},
		"very late datagrams": {func(w *network) {
			w.run(10 * time.Second)
			w.delay, w.duplicate = 5*time.Second, 0.3
			w.run(20 * time.Second)
			w.delay = 0
			w.run(10 * time.Second)
		}, half, 100},
		"halves are cut off": {func(w *network) {
			w.run(10 * time.Second)
			w.cutInto(2)
			w.run(10 * time.Second)
			w.cutInto(1)
			w.run(10 * time.Second)
		}, half, 100},
		"each node is cut off": {func(w *network) {
			w.run(10 * time.Second)
			w.isCut = func(int, int) bool { return true }
			w.run(10 * time.Second)
			w.cutInto(1)
			w.run(10 * time.Second)
		}, half, 100},
		"links fail one way": {func(w *network) {
			for range 10 {
				bad := w.random.Perm(len(w.peers))[:len(w.peers)/3]
				w.isCut = func(from, to int) bool { return slices.Contains(bad, from) && to%2 == 0 }
				w.run(3 * time.Second)
			}
		}, half, 100},
		"half are killed": {func(w *network) {
			w.run(10 * time.Second)
			for i := range len(w.peers) / 2 {
				w.peers[2*i].up = false
			}
			w.run(10 * time.Second)
		}, half, 100},
		"processes restart at once": {func(w *network) {
			w.run(10 * time.Second)
			w.restartAll(func(*peer) bool { return true })
			w.run(20 * time.Second)
		}, half, 100},
		"processes restart in turn": {func(w *network) {
			for i := range 4 * len(w.peers) {
				w.restart(w.peers[i%len(w.peers)])
				w.run(400 * time.Millisecond)
			}
		}, half, 0},
		"holders restart": {func(w *network) {
			w.run(10 * time.Second)
			for range 8 {
				w.restartAll(func(p *peer) bool { return len(p.Held(w.now)) > 0 })
				w.run(4 * time.Second)
			}
		}, half, 100},
		"voters restart while holders are cut off": {func(w *network) {
			for range 4 {
				w.run(10 * time.Second)
				var holders []int
				for i, p := range w.peers {
					if len(p.Held(w.now)) > 0 {
						holders = append(holders, i)
					}
				}
				w.isCut = func(from, to int) bool { return slices.Contains(holders, from) != slices.Contains(holders, to) }
				w.restartAll(func(p *peer) bool { return len(p.Held(w.now)) == 0 && w.random.IntN(4) > 0 })
				w.run(4 * time.Second)
				w.cutInto(1)
			}
		}, half, 100},
		"a third knows only two others": {func(w *network) {
			for i, p := range w.peers {
				if i%3 == 0 && i+2 < len(w.peers) {
					clear(p.knows)
					p.knows[w.peers[i+1].vm] = true
					p.knows[w.peers[i+2].vm] = true
				}
			}
			w.run(30 * time.Second)
		}, half, 0},
		"holders are paused, and flows wait there": {func(w *network) {
			w.run(10 * time.Second)
			for range 8 {
				for _, p := range w.peers {
					if len(p.Held(w.now)) > 0 {
						p.pausedUntil = w.now + time.Duration(1+w.random.IntN(5))*time.Second
					}
				}
				w.run(2500 * time.Millisecond)
			}
		}, half, 100},
		"nodes that only some know are added": {func(w *network) {
			w.run(10 * time.Second)
			old := len(w.peers)
			for range old / 2 {
				p := w.add()
				for i := range old {
					p.knows[w.peers[i].vm] = true
				}
			}
			w.run(20 * time.Second)
		}, limit, 100},
		"lists of members lack up to a third": {func(w *network) {
			for range 10 {
				for _, p := range w.peers {
					for i := range w.peers {
						p.knows[w.peers[i].vm] = w.peers[i] == p || w.random.IntN(10) < 8
					}
				}
				w.run(3 * time.Second)
			}
		}, limit, 100},
		"nodes that start cut off from all": {func(w *network) {
			w.isCut = func(int, int) bool { return true }
			for _, p := range w.peers {
				clear(p.knows)
			}
			w.run(20 * time.Second)
		}, 0, 0},
	}
	for name, test := range tests {
		for _, n := range []int{5, 15, 40} {
			t.Run(fmt.Sprintf("%s, %d nodes", name, n), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				for seed := range uint64(60 / n) {
					w := newNetwork(seed, n)
					test.fail(w)
					most, total := w.most()
					c.Assert(most <= test.most, qt.IsTrue, qt.Commentf("seed %d: %d flows, limit %d", seed, most, test.most))
					c.Assert(total >= test.least, qt.IsTrue, qt.Commentf("seed %d: %d flows in all", seed, total))
				}
			})
		}
	}
}

// TestLeasePassesOn checks that another balancer holds the lease soon after its holder is lost, and that it admits
// nothing while the flows of the earlier one are within the window.
func TestLeasePassesOn(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	for seed := range uint64(10) {
		w := newNetwork(seed, 15)
		// Nobody notices the loss.
		w.doubt = 0
		w.run(10 * time.Second)
		for _, p := range w.peers {
			p.up = len(p.Held(w.now)) == 0
		}
		clear(w.arrived)
		w.run(5 * time.Second)
		for _, id := range upstreams {
			c.Assert(len(w.arrived[id]) > 0, qt.IsTrue, qt.Commentf("seed %d", seed))
		}
	}
}

// TestLateAnswers checks that only answers to the newest request of the present process count.
func TestLateAnswers(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		incarnation rattanwood.Incarnation
		ask         time.Duration
		held        bool
	}{
		"newest request":     {1, 0, true},
		"earlier request":    {1, time.Second, false},
		"request by another": {2, 0, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ask := func(w *warmer.Warmer, now time.Duration) []warmer.Request {
				w.HearPeer()
				return w.Tick(now, map[rattanwood.UpstreamID]float64{1: rate}, make([]warmer.Member, 2))
			}
			asked, now := warmer.New(warmer.Config{Self: "a", Incarnation: 1}), warmer.SettleTime
			requests := ask(asked, now)
			c.Assert(requests, qt.HasLen, 1)
			w := asked
			if test.incarnation > 1 {
				w = warmer.New(warmer.Config{Self: "a", Incarnation: test.incarnation})
				ask(w, now)
			}
			if test.ask > 0 {
				now += test.ask
				ask(w, now)
			}
			w.HandleAnswer("b", warmer.Answer{Request: requests[0], Granted: true, Members: 3})
			c.Assert(len(w.Held(now)) > 0, qt.Equals, test.held)
		})
	}
}

// TestLongIsolationGivesNoLease has a balancer that knew two others forget them, as the detector does with members
// that are dead for long. Alone, it would count itself as the whole data centre.
func TestLongIsolationGivesNoLease(t *testing.T) {
	c := qt.New(t)
	cold := map[rattanwood.UpstreamID]float64{11: rate}
	w := warmer.New(warmer.Config{Self: "vm-0", Incarnation: 1, Overage: overage, Slack: slack})
	w.HearPeer()
	others := []warmer.Member{{Seed: ranker.Seed("vm-1")}, {Seed: ranker.Seed("vm-2")}}
	admitted := 0
	for now := step; now < 10*time.Minute; now += step {
		if now > 5*time.Minute {
			others = nil
		}
		w.Tick(now, cold, others)
		if w.Admit(now, 11, rate) {
			admitted++
		}
	}
	c.Assert(admitted, qt.Equals, 0)
}
