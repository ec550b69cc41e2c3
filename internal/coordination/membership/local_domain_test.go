package membership_test

import (
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/membership"
	"wigeonspring.example/wigeonspring/internal/coordination/membership/simnet"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Guards against failure domains that do not learn of changes in other domains when
// PreferLocalDomain is set. A death, a change and a new node must be known everywhere.
func TestChangesReachEveryDomainWithPreferLocalDomain(t *testing.T) {
	for seed := range uint64(5) {
		net := simnet.New(simnet.Options{Seed: seed})
		local := func(o *membership.Options) { o.PreferLocalDomain = true }
		fleet(net, 36, local)
		if wrong := wrongViews(net); len(wrong) > 0 {
			t.Fatalf("seed %d: after the start: %v", seed, wrong[0])
		}
		net.Kill(net.Nodes[7])
		changed := net.Nodes[8]
		self := changed.Core.Self()
		self.Backends[0].State = registry.Draining
		net.Do(changed, func(c *membership.Core) { c.UpdateSelf(net.Now(), self) })
		opts := membership.Options{Self: record(36), Seeds: []string{record(1).PeerAddr}}
		local(&opts)
		net.Add(opts)
		net.Run(15 * time.Second)
		if wrong := wrongViews(net); len(wrong) > 0 {
			t.Fatalf("seed %d: 15 s after a death, a change and a new node: %d wrong, %v", seed, len(wrong), wrong[0])
		}
	}
}
