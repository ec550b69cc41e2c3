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

// checks collects the violated invariants of one run.
type checks struct{ violated []string }

func watch() (*checks, func()) {
	c := &checks{}
	invariant.SetHandler(func(name, detail string) { c.violated = append(c.violated, name+": "+detail) })
	return c, func() { invariant.SetHandler(func(name, detail string) { panic(name + ": " + detail) }) }
}

// run is one seeded run; it returns the violated invariants.
type run func(seed uint64, off membership.Mechanisms) []string

// holds checks that no seed violates an invariant with all mechanisms on, and
// that some seed does with each of the given mechanisms off, which shows that
// the check can fail.
func holds(t *testing.T, r run, off ...membership.Mechanisms) {
	t.Helper()
	for _, m := range off {
		seed := uint64(1)
		for ; seed <= 20; seed++ {
			if v := r(seed, m); len(v) > 0 {
				t.Logf("with %+v off, seed %d: %d violations, the first: %s", m, seed, len(v), v[0])
				break
			}
		}
		if seed > 20 {
			t.Errorf("with %+v off no seed violates the invariant, so the check proves nothing", m)
		}
	}
	params := gopter.DefaultTestParametersWithSeed(proptest.Seed(t))
	params.MinSuccessfulTests = 25
	if testing.Short() {
		params.MinSuccessfulTests = 5
	}
	properties := gopter.NewProperties(params)
	properties.Property("holds", prop.ForAll(func(seed uint64) bool {
		v := r(seed, membership.Mechanisms{})
		for i := 0; i < len(v) && i < 3; i++ {
			t.Logf("seed %d: %s", seed, v[i])
		}
		return len(v) == 0
	}, gen.UInt64().WithShrinker(gopter.NoShrinker)))
	properties.TestingRun(t)
}

func settings(off membership.Mechanisms) func(*membership.Options) {
	return func(o *membership.Options) { o.Disable = off }
}

// Guards against suspecting a member only because the direct way to it is cut in
// one direction.
func TestOneWayCutIsNoSuspicion(t *testing.T) {
	holds(t, func(seed uint64, off membership.Mechanisms) []string {
		c, done := watch()
		defer done()
		cutting := false
		net := simnet.New(simnet.Options{
			Seed: seed, MinDelay: time.Millisecond, MaxDelay: 10 * time.Millisecond,
			OnEvent: func(n *simnet.Node, e membership.Event) {
				invariant.Check(!cutting || e.Kind != membership.EventSuspected, "one-way", "%s suspects %s: %s", n.ID, e.Node, e.Reason)
			},
		})
		fleet(net, 12, settings(off))
		// Disjoint pairs leave an indirect path through every other member.
		order := net.Rand.Perm(12)
		net.Blocked = func(from, to *simnet.Node) bool {
			for i := 0; i < 6; i += 2 {
				if from.Index == order[i] && to.Index == order[i+1] {
					return true
				}
			}
			return false
		}
		cutting = true
		net.Run(40 * time.Second)
		return c.violated
	}, membership.Mechanisms{IndirectProbes: true})
}

// Guards against declaring a live member dead when many links are cut one way
// and datagrams are lost, so that suspicions do occur.
func TestOneWayLossIsNoDeath(t *testing.T) {
	holds(t, func(seed uint64, off membership.Mechanisms) []string {
		c, done := watch()
		defer done()
		net := simnet.New(simnet.Options{
			Seed: seed, MinDelay: time.Millisecond, MaxDelay: 10 * time.Millisecond, Loss: 0.02,
			OnEvent: func(n *simnet.Node, e membership.Event) {
				invariant.Check(e.Kind != membership.EventDead, "no-false-death", "%s declares %s dead: %s", n.ID, e.Node, e.Reason)
			},
		})
		fleet(net, 16, settings(off))
		cuts := make(map[[2]int]bool)
		for range 60 { // a quarter of the 240 directed links
			cuts[[2]int{net.Rand.IntN(16), net.Rand.IntN(16)}] = true
		}
		net.Blocked = func(from, to *simnet.Node) bool { return cuts[[2]int{from.Index, to.Index}] }
		net.Run(60 * time.Second)
		return c.violated
	}, membership.Mechanisms{Refutation: true})
}

// Guards against a process that resumes after a pause and declares members dead
// whose answers wait in its socket, and against its own death being final.
func TestPausedProcessJudgesNobody(t *testing.T) {
	holds(t, func(seed uint64, off membership.Mechanisms) []string {
		c, done := watch()
		defer done()
		net := simnet.New(simnet.Options{
			Seed: seed, MinDelay: time.Millisecond, MaxDelay: 10 * time.Millisecond, Loss: 0.05,
			OnEvent: func(n *simnet.Node, e membership.Event) {
				invariant.Check(e.Kind != membership.EventDead || n.Index != 5, "pause",
					"the resumed node declares %s dead: %s", e.Node, e.Reason)
			},
		})
		fleet(net, 10, settings(off))
		for range 10 {
			// The node suspects a member just before the pause, as after lost acks.
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
		return c.violated
	}, membership.Mechanisms{PauseRule: true})
}

// faults applies random faults of every kind for a while and then ends them.
func faults(net *simnet.Network, off membership.Mechanisms, partition time.Duration) {
	random := rand.New(rand.NewPCG(net.Rand.Uint64(), 2))
	cuts := make(map[[2]int]bool)
	net.Blocked = func(from, to *simnet.Node) bool { return cuts[[2]int{from.Index, to.Index}] }
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
				opts.Disable = off
				net.Restart(n, opts)
			}
		case 3:
			cuts[[2]int{n.Index, random.IntN(len(net.Nodes))}] = true
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
	// While node 3 is paused and taken for dead, the others finish transmitting
	// changes that it does not see.
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

// Guards against views that stay different after all faults have ended, such as
// two halves of a partition that hold each other dead for good.
func TestViewsConverge(t *testing.T) {
	holds(t, func(seed uint64, off membership.Mechanisms) []string {
		c, done := watch()
		defer done()
		net := simnet.New(simnet.Options{
			Seed: seed, MinDelay: time.Millisecond, MaxDelay: 200 * time.Millisecond, Loss: 0.05, Duplicate: 0.05,
		})
		fleet(net, 14, settings(off))
		faults(net, off, 30*time.Second)
		// Dead members are probed every 10 s and a full sync runs every 60 s.
		net.Run(150 * time.Second)
		for _, wrong := range wrongViews(net) {
			invariant.Check(false, "convergence", "%s", wrong)
		}
		return c.violated
	}, membership.Mechanisms{DeadProbes: true}, membership.Mechanisms{AntiEntropy: true})
}

// Guards against nodes that, when a partition heals, take members of their own
// side for dead because the other side did.
func TestHealingDeclaresNobodyDead(t *testing.T) {
	holds(t, func(seed uint64, off membership.Mechanisms) []string {
		c, done := watch()
		defer done()
		healed := false
		net := simnet.New(simnet.Options{
			Seed: seed, MinDelay: time.Millisecond, MaxDelay: 10 * time.Millisecond,
			OnEvent: func(n *simnet.Node, e membership.Event) {
				invariant.Check(!healed || e.Kind != membership.EventDead, "healing", "%s declares %s dead: %s", n.ID, e.Node, e.Reason)
			},
		})
		fleet(net, 30, settings(off))
		net.Blocked = func(from, to *simnet.Node) bool { return from.Index%2 != to.Index%2 }
		net.Run(60 * time.Second)
		net.Blocked = func(*simnet.Node, *simnet.Node) bool { return false }
		healed = true
		net.Run(60 * time.Second)
		for _, wrong := range wrongViews(net) {
			invariant.Check(false, "healing", "%s", wrong)
		}
		return c.violated
	}, membership.Mechanisms{DeadReportChecks: true})
}

// Guards against an old process or a late message that takes a member's record
// back to an earlier incarnation.
func TestIncarnationNeverFalls(t *testing.T) {
	holds(t, func(seed uint64, off membership.Mechanisms) []string {
		c, done := watch()
		defer done()
		highest := make(map[string]uint64)
		generation := make(map[int]int)
		net := simnet.New(simnet.Options{
			// Delays of up to 3 s make old messages arrive after new ones.
			Seed: seed, MinDelay: time.Millisecond, MaxDelay: 3 * time.Second, Duplicate: 0.2,
			OnChange: func(n *simnet.Node, ch membership.Change) {
				key := fmt.Sprintf("%d.%d/%s", n.Index, generation[n.Index], ch.Node.ID)
				invariant.Check(ch.Node.Incarnation >= highest[key], "incarnation", "%s takes %s from %d to %d",
					n.ID, ch.Node.ID, highest[key], ch.Node.Incarnation)
				highest[key] = ch.Node.Incarnation
			},
		})
		fleet(net, 8, settings(off))
		for i := range 4 {
			victim := net.Nodes[2+i]
			net.Pause(victim, 12*time.Second)
			net.Run(time.Second)
			// A new process takes over the id at another address while the old one
			// is paused and then resumes.
			self := record(victim.Index)
			self.PeerAddr = fmt.Sprintf("10.1.0.%d:7946", victim.Index)
			generation[len(net.Nodes)]++
			net.Add(membership.Options{Self: self, Seeds: []string{record(0).PeerAddr, record(1).PeerAddr}, Disable: off})
			net.Run(20 * time.Second)
		}
		return c.violated
	}, membership.Mechanisms{IncarnationOrder: true})
}

// Guards against control traffic above the budget, here with every record
// changing every second, far above the design churn.
func TestSendBudget(t *testing.T) {
	const seconds = 40
	holds(t, func(seed uint64, off membership.Mechanisms) []string {
		c, done := watch()
		defer done()
		net := simnet.New(simnet.Options{Seed: seed, MinDelay: time.Millisecond, MaxDelay: 10 * time.Millisecond, Loss: 0.01})
		fleet(net, 40, settings(off))
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
			// Every window may use its seconds of rate plus one burst.
			for from := begin; from < begin+seconds; from++ {
				sum := int64(0)
				for to := from; to < begin+seconds; to++ {
					sum += n.BytesBySecond[to]
					limit := membership.DefaultBurstBytes + (to-from+2)*membership.DefaultBytesPerSecond
					invariant.Check(sum <= limit, "send-budget", "%s sent %d bytes in %d s, limit %d", n.ID, sum, to-from+1, limit)
				}
			}
		}
		return c.violated
	}, membership.Mechanisms{Budget: true})
}
