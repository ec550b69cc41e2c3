package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/membership"
	"wigeonspring.example/wigeonspring/internal/coordination/membership/simnet"
)

// Guards against nodes that stay unknown to most others while the fleet keeps changing. All 91 nodes in 9 failure domains start together, each gets a backend
// server within 1.5 s, and one node changes every 300 ms. Also guards against a start
// in which most syncs go to other failure domains, where traffic is charged by volume.
func TestDirectoryIsCompleteWhileFleetChanges(t *testing.T) {
	const nodes, failureDomains = 91, 9
	for seed := range uint64(3) {
		net := simnet.New(simnet.Options{Seed: seed, MinDelay: time.Millisecond, MaxDelay: 9 * time.Millisecond, Loss: 0.01})
		rng := rand.New(rand.NewPCG(seed, 7))
		registered := make([][]string, failureDomains)
		for i := range nodes {
			self := record(i)
			backends := self.Backends[:1]
			self.Backends = nil
			self.FailureDomain = fmt.Sprintf("domain-%d", i%failureDomains)
			node := net.Add(membership.Options{Self: self, PreferLocalDomain: true})
			// A node registers as a seed and reads the seeds of all failure domains.
			var learn func()
			learn = func() {
				for d := range registered {
					known := registered[d]
					net.Do(node, func(c *membership.Core) { c.AddSeeds(net.Now(), known[:min(3, len(known))]) })
				}
				if net.Elapsed() < 2*time.Second {
					net.After(300*time.Millisecond, learn)
				}
			}
			net.After(time.Duration(rng.Int64N(int64(time.Second))), func() {
				if d := i % failureDomains; len(registered[d]) < 4 {
					registered[d] = append(registered[d], self.PeerAddr)
				}
			})
			net.After(time.Duration(rng.Int64N(int64(500*time.Millisecond))), learn)
			net.After(time.Duration(rng.Int64N(int64(1500*time.Millisecond))), func() {
				next := node.Core.Self()
				next.Backends = backends
				net.Do(node, func(c *membership.Core) { c.UpdateSelf(net.Now(), next) })
			})
		}
		var change func()
		change = func() {
			node := net.Nodes[rng.IntN(nodes)]
			next := node.Core.Self()
			if len(next.Backends) > 0 {
				next.Backends[0].Slots = 1 + rng.IntN(9)
				net.Do(node, func(c *membership.Core) { c.UpdateSelf(net.Now(), next) })
			}
			net.After(300*time.Millisecond, change)
		}
		net.After(2*time.Second, change)
		// Callers send their first requests 8 s after the nodes have started.
		net.Run(8*time.Second - net.Elapsed())
		unknown := 0
		for _, a := range net.Nodes {
			for _, b := range net.Nodes {
				if got, ok := a.Core.Lookup(b.ID); !ok || len(got.Backends) == 0 {
					unknown++
				}
			}
		}
		if net.CrossDomainSyncs*2 > net.Syncs {
			t.Errorf("seed %d: %d of %d syncs cross failure domains", seed, net.CrossDomainSyncs, net.Syncs)
		}
		if unknown > 0 {
			t.Errorf("seed %d: %d of %d views lack a backend server after 8 s", seed, unknown, nodes*nodes)
		}
	}
}
