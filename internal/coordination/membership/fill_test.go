package membership_test

import (
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/membership"
	"wigeonspring.example/wigeonspring/internal/coordination/membership/simnet"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Guards against a restarted node that receives messages of its peers before it has
// read the seeds, does not fill its directory, and routes for seconds with the few
// backend servers that these messages contained.
func TestRestartedNodeWithoutSeedsFillsItsDirectory(t *testing.T) {
	const nodes = 36
	for seed := range uint64(5) {
		net := simnet.New(simnet.Options{Seed: seed})
		local := func(o *membership.Options) { o.PreferLocalDomain = true }
		fleet(net, nodes, local)
		node := net.Nodes[7]
		net.Kill(node)
		net.Run(300 * time.Millisecond)
		self := record(7)
		self.Incarnation = node.Core.Self().Incarnation + 1
		opts := membership.Options{Self: self}
		local(&opts)
		net.Restart(node, opts)
		net.Run(1500 * time.Millisecond)
		known := 0
		for _, other := range net.Nodes {
			if got, ok := node.Core.Lookup(other.ID); ok && got.Status == registry.Alive && len(got.Backends) == 2 {
				known++
			}
		}
		if known != nodes {
			t.Fatalf("seed %d: the restarted node knows %d of %d nodes after 1.5 s", seed, known, nodes)
		}
	}
}
