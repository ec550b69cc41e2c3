package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"wigeonspring.example/wigeonspring/internal/coordination/membership"
	"wigeonspring.example/wigeonspring/internal/coordination/membership/simnet"
	"wigeonspring.example/wigeonspring/internal/invariant"
	"wigeonspring.example/wigeonspring/internal/proptest"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// violations collects the violated invariants of one run.
type violations struct{ list []string }

// recordViolations adds violated invariants to the returned list until the returned
// function is called.
func recordViolations() (*violations, func()) {
	v := &violations{}
	invariant.SetHandler(func(name, detail string) { v.list = append(v.list, name+": "+detail) })
	return v, func() { invariant.SetHandler(func(name, detail string) { panic(name + ": " + detail) }) }
}

// scenario runs a simulation with a seed and returns the violated invariants.
type scenario func(seed uint64, disabled membership.DisabledMechanisms) []string

// checkInvariants checks that no seed violates an invariant with all mechanisms enabled.
// It also checks that some seed violates one with each of the given mechanisms disabled,
// which shows that the check can fail.
func checkInvariants(t *testing.T, run scenario, disabled ...membership.DisabledMechanisms) {
	t.Helper()
	for _, m := range disabled {
		seed := uint64(1)
		for ; seed <= 20; seed++ {
			if v := run(seed, m); len(v) > 0 {
				t.Logf("with %+v disabled, seed %d: %d violations, the first: %s", m, seed, len(v), v[0])
				break
			}
		}
		if seed > 20 {
			t.Errorf("with %+v disabled, no seed violates the invariant, so the check proves nothing", m)
		}
	}
	params := gopter.DefaultTestParametersWithSeed(proptest.Seed(t))
	params.MinSuccessfulTests = 25
	if testing.Short() {
		params.MinSuccessfulTests = 5
	}
	properties := gopter.NewProperties(params)
	properties.Property("holds", prop.ForAll(func(seed uint64) bool {
		v := run(seed, membership.DisabledMechanisms{})
		for i := 0; i < len(v) && i < 3; i++ {
			t.Logf("seed %d: %s", seed, v[i])
		}
		return len(v) == 0
	}, gen.UInt64().WithShrinker(gopter.NoShrinker)))
	properties.TestingRun(t)
}

func withDisabled(disabled membership.DisabledMechanisms) func(*membership.Options) {
	return func(o *membership.Options) { o.Disabled = disabled }
}

// Guards against the suspicion of a member to which datagrams from one node are dropped,
// although indirect probes reach it.
func TestOneWayPartitionCausesNoSuspicion(t *testing.T) {
	checkInvariants(t, func(seed uint64, disabled membership.DisabledMechanisms) []string {
		violated, done := recordViolations()
		defer done()
		blocking := false
		net := simnet.New(simnet.Options{
			Seed: seed, MinDelay: time.Millisecond, MaxDelay: 10 * time.Millisecond,
			OnEvent: func(n *simnet.Node, e membership.Event) {
				invariant.Check(!blocking || e.Kind != membership.EventSuspected, "one-way", "%s suspects %s: %s", n.ID, e.Node, e.Reason)
			},
		})
		fleet(net, 12, withDisabled(disabled))
		// The affected pairs are disjoint, so an indirect path through every other
		// member remains.
		order := net.Rand.Perm(12)
		net.Blocked = func(from, to *simnet.Node) bool {
			for i := 0; i < 6; i += 2 {
				if from.Index == order[i] && to.Index == order[i+1] {
					return true
				}
			}
			return false
		}
		blocking = true
		net.Run(40 * time.Second)
		return violated.list
	}, membership.DisabledMechanisms{IndirectProbes: true})
}

// Guards against a live member that is declared dead. Many links drop all datagrams in
// one direction and all links lose some, so that suspicions do occur.
func TestOneWayLossDeclaresNoMemberDead(t *testing.T) {
	checkInvariants(t, func(seed uint64, disabled membership.DisabledMechanisms) []string {
		violated, done := recordViolations()
		defer done()
		net := simnet.New(simnet.Options{
			Seed: seed, MinDelay: time.Millisecond, MaxDelay: 10 * time.Millisecond, Loss: 0.02,
			OnEvent: func(n *simnet.Node, e membership.Event) {
				invariant.Check(e.Kind != membership.EventDead, "no-false-death", "%s declares %s dead: %s", n.ID, e.Node, e.Reason)
			},
		})
		fleet(net, 16, withDisabled(disabled))
		blocked := make(map[[2]int]bool)
		for range 60 { // a quarter of the 240 directed links
			blocked[[2]int{net.Rand.IntN(16), net.Rand.IntN(16)}] = true
		}
		net.Blocked = func(from, to *simnet.Node) bool { return blocked[[2]int{from.Index, to.Index}] }
		net.Run(60 * time.Second)
		return violated.list
	}, membership.DisabledMechanisms{Refutation: true})
}

// Guards against a process that resumes after a pause and declares members dead whose
// acks wait in its socket. Also guards against a resumed process that stays dead at the
// other nodes.
func TestPausedProcessDeclaresNoMemberDead(t *testing.T) {
	checkInvariants(t, func(seed uint64, disabled membership.DisabledMechanisms) []string {
		violated, done := recordViolations()
		defer done()
		net := simnet.New(simnet.Options{
			Seed: seed, MinDelay: time.Millisecond, MaxDelay: 10 * time.Millisecond, Loss: 0.05,
			OnEvent: func(n *simnet.Node, e membership.Event) {
				invariant.Check(e.Kind != membership.EventDead || n.Index != 5, "pause",
					"the resumed node declares %s dead: %s", e.Node, e.Reason)
			},
		})
		fleet(net, 10, withDisabled(disabled))
		for range 10 {
			// The node suspects a member just before the pause, as it does after lost
			// acks.
			target := net.Nodes[net.Rand.IntN(5)]
			net.Do(net.Nodes[5], func(core *membership.Core) {
				self := target.Core.Self()
				core.Receive(net.Now(), "10.9.9.9:1", &membership.Message{
					Kind: membership.Gossip, From: net.Nodes[6].ID, FromIncarnation: net.Nodes[6].Core.Self().Incarnation,
					Versions: []membership.Version{{
						ID: self.ID, Incarnation: self.Incarnation, Sequence: self.Sequence, Status: registry.Suspect,
					}},
				})
			})
			before := net.Nodes[5].Core.Self().Incarnation
			net.Pause(net.Nodes[5], 2*time.Second+time.Duration(net.Rand.Int64N(int64(8*time.Second))))
			net.Run(20 * time.Second)
			invariant.Check(net.Nodes[5].Core.Self().Incarnation > before, "pause", "incarnation not raised after a pause")
		}
		net.Loss = 0
		net.Run(20 * time.Second)
		for _, wrong := range wrongViews(net) {
			invariant.Check(false, "pause", "after the pauses: %s", wrong)
		}
		return violated.list
	}, membership.DisabledMechanisms{PauseDetection: true})
}

// injectFaults applies random faults of every kind for some time and then ends them.
func injectFaults(net *simnet.Network, disabled membership.DisabledMechanisms, partition time.Duration) {
	random := rand.New(rand.NewPCG(net.Rand.Uint64(), 2))
	blocked := make(map[[2]int]bool)
	net.Blocked = func(from, to *simnet.Node) bool { return blocked[[2]int{from.Index, to.Index}] }
	for range 12 {
		n := net.Nodes[random.IntN(len(net.Nodes))]
		switch random.IntN(5) {
		case 0:
			net.Pause(n, time.Duration(random.Int64N(int64(10*time.Second))))
		case 1:
			net.Kill(n)
		case 2:
			if n.Down {
				opts := membership.Options{Self: record(n.Index), Seeds: []string{record(0).PeerAddr, record(1).PeerAddr}}
				opts.Disabled = disabled
				net.Restart(n, opts)
			}
		case 3:
			blocked[[2]int{n.Index, random.IntN(len(net.Nodes))}] = true
		case 4:
			changed := record(n.Index)
			changed.Backends[0].State = registry.BackendState(random.IntN(4))
			net.Do(n, func(c *membership.Core) { c.UpdateSelf(net.Now(), changed) })
		}
		net.Run(time.Duration(random.Int64N(int64(6 * time.Second))))
	}
	if partition > 0 {
		net.Blocked = func(from, to *simnet.Node) bool { return from.Index%2 != to.Index%2 }
		net.Run(partition)
		changed := record(2)
		changed.Backends[1].State = registry.Ejected
		net.Do(net.Nodes[2], func(c *membership.Core) { c.UpdateSelf(net.Now(), changed) })
		net.Run(partition)
	}
	net.Blocked = func(*simnet.Node, *simnet.Node) bool { return false }
	net.Run(10 * time.Second)
	// Node 3 is paused and declared dead. Meanwhile the others finish the transmission
	// of changes, so that node 3 can only get them by a sync.
	net.Pause(net.Nodes[3], 30*time.Second)
	net.Run(10 * time.Second)
	for i := 5; i < 10; i++ {
		changed := record(i)
		changed.Backends[0].Weight = 0.1
		net.Do(net.Nodes[i], func(c *membership.Core) { c.UpdateSelf(net.Now(), changed) })
	}
	net.Run(25 * time.Second)
	net.Loss, net.Duplicate = 0, 0
}

// Guards against views that stay different after all faults have ended, for example
// because the two sides of a partition consider each other dead forever.
func TestViewsConverge(t *testing.T) {
	checkInvariants(t, func(seed uint64, disabled membership.DisabledMechanisms) []string {
		violated, done := recordViolations()
		defer done()
		net := simnet.New(simnet.Options{
			Seed: seed, MinDelay: time.Millisecond, MaxDelay: 200 * time.Millisecond, Loss: 0.05, Duplicate: 0.05,
		})
		fleet(net, 14, withDisabled(disabled))
		injectFaults(net, disabled, 30*time.Second)
		// Dead members are probed every 10 s and a full sync runs every 60 s.
		net.Run(150 * time.Second)
		for _, wrong := range wrongViews(net) {
			invariant.Check(false, "convergence", "%s", wrong)
		}
		return violated.list
	}, membership.DisabledMechanisms{DeadProbes: true}, membership.DisabledMechanisms{AntiEntropy: true})
}

// Guards against nodes that, after a partition has healed, declare members of their own
// side dead because the other side did so.
func TestHealedPartitionDeclaresNoMemberDead(t *testing.T) {
	checkInvariants(t, func(seed uint64, disabled membership.DisabledMechanisms) []string {
		violated, done := recordViolations()
		defer done()
		healed := false
		net := simnet.New(simnet.Options{
			Seed: seed, MinDelay: time.Millisecond, MaxDelay: 10 * time.Millisecond,
			OnEvent: func(n *simnet.Node, e membership.Event) {
				invariant.Check(!healed || e.Kind != membership.EventDead, "healing", "%s declares %s dead: %s", n.ID, e.Node, e.Reason)
			},
		})
		fleet(net, 30, withDisabled(disabled))
		net.Blocked = func(from, to *simnet.Node) bool { return from.Index%2 != to.Index%2 }
		net.Run(60 * time.Second)
		net.Blocked = func(*simnet.Node, *simnet.Node) bool { return false }
		healed = true
		net.Run(60 * time.Second)
		for _, wrong := range wrongViews(net) {
			invariant.Check(false, "healing", "%s", wrong)
		}
		return violated.list
	}, membership.DisabledMechanisms{DeathReportProbes: true})
}

// Guards against a replaced process or a late message that replaces the record of a
// member by one of a lower incarnation.
func TestIncarnationNeverDecreases(t *testing.T) {
	checkInvariants(t, func(seed uint64, disabled membership.DisabledMechanisms) []string {
		violated, done := recordViolations()
		defer done()
		highest := make(map[string]uint64)
		generation := make(map[int]int)
		net := simnet.New(simnet.Options{
			// With delays of up to 3 s, old messages arrive after new ones.
			Seed: seed, MinDelay: time.Millisecond, MaxDelay: 3 * time.Second, Duplicate: 0.2,
			OnChange: func(n *simnet.Node, ch membership.Change) {
				key := fmt.Sprintf("%d.%d/%s", n.Index, generation[n.Index], ch.Node.ID)
				invariant.Check(ch.Node.Incarnation >= highest[key], "incarnation", "%s changes the incarnation of %s from %d to %d",
					n.ID, ch.Node.ID, highest[key], ch.Node.Incarnation)
				highest[key] = ch.Node.Incarnation
			},
		})
		fleet(net, 8, withDisabled(disabled))
		for i := range 4 {
			victim := net.Nodes[2+i]
			net.Pause(victim, 12*time.Second)
			net.Run(time.Second)
			// While the old process is paused, a new one starts with the same id at
			// another address. Then the old process resumes.
			self := record(victim.Index)
			self.PeerAddr = fmt.Sprintf("10.1.0.%d:7946", victim.Index)
			generation[len(net.Nodes)]++
			net.Add(membership.Options{Self: self, Seeds: []string{record(0).PeerAddr, record(1).PeerAddr}, Disabled: disabled})
			net.Run(20 * time.Second)
		}
		return violated.list
	}, membership.DisabledMechanisms{IncarnationOrder: true})
}

// Guards against control traffic above the send budget. Every record changes every
// second, which is far more than the fleet is designed for.
func TestSendBudget(t *testing.T) {
	const seconds = 40
	checkInvariants(t, func(seed uint64, disabled membership.DisabledMechanisms) []string {
		violated, done := recordViolations()
		defer done()
		net := simnet.New(simnet.Options{Seed: seed, MinDelay: time.Millisecond, MaxDelay: 10 * time.Millisecond, Loss: 0.01})
		fleet(net, 40, withDisabled(disabled))
		begin := int64(net.Elapsed() / time.Second)
		for s := range seconds {
			for _, n := range net.Nodes {
				changed := record(n.Index)
				changed.Backends[0].Slots = s + 1
				net.Do(n, func(core *membership.Core) { core.UpdateSelf(net.Now(), changed) })
			}
			net.Run(time.Second)
		}
		for _, n := range net.Nodes {
			// In each window a node may send its rate times the length of the window plus
			// one burst.
			for from := begin; from < begin+seconds; from++ {
				sum := int64(0)
				for to := from; to < begin+seconds; to++ {
					sum += n.BytesBySecond[to]
					limit := membership.DefaultBurstBytes + (to-from+2)*membership.DefaultBytesPerSecond
					invariant.Check(sum <= limit, "send-budget", "%s sent %d bytes in %d s, limit %d", n.ID, sum, to-from+1, limit)
				}
			}
		}
		return violated.list
	}, membership.DisabledMechanisms{Budget: true})
}
