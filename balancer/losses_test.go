package balancer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood"
)

// protectedAge is the age from which on a flow must survive an unplanned loss of a balancer.
const protectedAge = 5 * time.Second

// knownToAllAge is the age after which every balancer has seen packets of a flow.
const knownToAllAge = 20 * time.Second

// partition returns a cut between the given VMs and all others.
func partition(vms ...rattanwood.VMID) func(a, b rattanwood.VMID) bool {
	side := map[rattanwood.VMID]bool{}
	for _, vm := range vms {
		side[vm] = true
	}
	return func(a, b rattanwood.VMID) bool { return side[a] != side[b] }
}

// noPartition cuts no link.
func noPartition(rattanwood.VMID, rattanwood.VMID) bool { return false }

// checkScenario runs a scenario with each seed, with flows of a mean lifetime, and checks that no
// flow broke that was at least minAge old at the fault.
func checkScenario(t *testing.T, scenario func(*fleet) map[time.Duration]func(), lifetime, minAge time.Duration) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		f := newFleet(t, seed, 8)
		f.meanLifetime = lifetime
		f.run(relativeToFault(scenario(f)))
		all, older := f.countBroken(minAge)
		qt.Check(t, older, qt.Equals, 0, qt.Commentf("seed %d, %d younger flows broke\n%s", seed, all-older, f.brokenHistory(minAge)))
		qt.Check(t, f.misrouted, qt.Equals, 0)
	}
}

// TestLossesBreakNoProtectedFlow kills, pauses or cuts off balancers without warning. Flows that were
// 5 s old by then must keep their upstream.
func TestLossesBreakNoProtectedFlow(t *testing.T) {
	tests := map[string]func(f *fleet) map[time.Duration]func(){
		"killed": func(f *fleet) map[time.Duration]func() {
			return map[time.Duration]func(){0: func() { f.kill("vm-1") }}
		},
		"killed, flows that few balancers have seen": func(f *fleet) map[time.Duration]func() {
			f.meanPacketGap, f.flowsPerInterval = 1000, 10
			return map[time.Duration]func(){0: func() { f.kill("vm-1") }}
		},
		"owner and successor lost in turn, flows that few have seen": func(f *fleet) map[time.Duration]func() {
			f.meanPacketGap, f.flowsPerInterval, f.meanLifetime = 1000, 10, 60*time.Second
			return map[time.Duration]func(){
				0:                func() { f.kill("vm-1") },
				15 * time.Second: func() { f.kill("vm-2") },
			}
		},
		"killed while another joins": func(f *fleet) map[time.Duration]func() {
			return map[time.Duration]func(){0: func() { f.kill("vm-1"); f.join("joined") }}
		},
		"owner and successor lost in turn": func(f *fleet) map[time.Duration]func() {
			return map[time.Duration]func(){
				0:                func() { f.kill("vm-1") },
				15 * time.Second: func() { f.kill("vm-2") },
			}
		},
		"killed and back under the same name": func(f *fleet) map[time.Duration]func() {
			return map[time.Duration]func(){
				0:               func() { f.kill("vm-1") },
				3 * time.Second: func() { f.join("vm-1") },
			}
		},
		"killed long after an upstream was added": func(f *fleet) map[time.Duration]func() {
			return map[time.Duration]func(){
				-15 * time.Second: func() { f.publishChange(addUpstream("new")) },
				0:                 func() { f.kill("vm-1") },
			}
		},
		"killed soon after an upstream was added": func(f *fleet) map[time.Duration]func() {
			return map[time.Duration]func(){
				-4 * time.Second: func() { f.publishChange(addUpstream("new")) },
				0:                func() { f.kill("vm-1") },
			}
		},
		"killed at the moment that an upstream is added": func(f *fleet) map[time.Duration]func() {
			return map[time.Duration]func(){0: func() { f.publishChange(addUpstream("new")); f.kill("vm-1") }}
		},
		"paused for 3 s": func(f *fleet) map[time.Duration]func() {
			return map[time.Duration]func(){
				0:               func() { f.node("vm-1").paused = true },
				3 * time.Second: func() { f.resume(f.node("vm-1")) },
			}
		},
		"paused for 20 s across two changes": func(f *fleet) map[time.Duration]func() {
			return map[time.Duration]func(){
				0:                func() { f.node("vm-1").paused = true },
				4 * time.Second:  func() { f.publishChange(addUpstream("new")) },
				9 * time.Second:  func() { f.publishChange(drainUpstream(1)) },
				20 * time.Second: func() { f.resume(f.node("vm-1")) },
			}
		},
		"a balancer is cut off for 4 s across a change": func(f *fleet) map[time.Duration]func() {
			return map[time.Duration]func(){
				-500 * time.Millisecond: func() { f.isCut = partition("vm-2") },
				0:                       func() { f.publishChange(addUpstream("new")) },
				4 * time.Second:         func() { f.isCut = noPartition },
			}
		},
		"one link cut": func(f *fleet) map[time.Duration]func() {
			return map[time.Duration]func(){
				0: func() {
					f.isCut = func(a, b rattanwood.VMID) bool {
						return (a == "vm-1" && b == "vm-2") || (a == "vm-2" && b == "vm-1")
					}
				},
				20 * time.Second: func() { f.isCut = noPartition },
			}
		},
	}
	for name, scenario := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkScenario(t, scenario, meanFlowLifetime, protectedAge)
		})
	}
}

// TestPartitions cuts the fleet in two while both sides go on serving. Flows that were old enough
// for each side to have seen them must keep their upstream; a side can't know younger ones.
func TestPartitions(t *testing.T) {
	tests := map[string]func(f *fleet) map[time.Duration]func(){
		"half and half": func(f *fleet) map[time.Duration]func() {
			return map[time.Duration]func(){
				0:                func() { f.isCut = partition("vm-0", "vm-1", "vm-2", "vm-3") },
				20 * time.Second: func() { f.isCut = noPartition },
			}
		},
		"one alone": func(f *fleet) map[time.Duration]func() {
			return map[time.Duration]func(){
				0:                func() { f.isCut = partition("vm-0") },
				20 * time.Second: func() { f.isCut = noPartition },
			}
		},
	}
	for name, scenario := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkScenario(t, scenario, 80*time.Second, knownToAllAge)
		})
	}
}
