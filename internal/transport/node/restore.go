package node

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"wigeonspring.example/wigeonspring/internal/state/platform"
)

const (
	// restoreCheckInterval is the interval at which the generation of the platform is compared.
	restoreCheckInterval = 500 * time.Millisecond
	// maxRewriteDelay spreads the calls of 2,100 nodes after a restore that nothing waits for.
	maxRewriteDelay = 10 * time.Second
)

// watchRestores writes the objects of this node again after the platform has returned to an
// older copy of its data, until ctx is done. The node learns of that from its own calls and from
// the peers that confirm its policies.
func (n *Node) watchRestores(ctx context.Context) error {
	client, ok := n.platform.(platform.Generations)
	if !ok {
		return nil
	}
	var group errgroup.Group
	defer func() { _ = group.Wait() }() // The tasks return no error.
	for last := uint64(0); sleep(ctx, restoreCheckInterval); {
		generation := max(client.Generation(), n.peerGeneration.Load())
		if generation == last {
			continue
		}
		n.departures.observeGeneration(generation)
		if last > 0 && n.registeredSeed.Load() {
			group.Go(func() error { return n.rewriteSeed(ctx) })
		}
		last = generation
	}
	return nil
}

// rewriteSeed registers this node again if a restore has lost its entry.
func (n *Node) rewriteSeed(ctx context.Context) error {
	if !sleep(ctx, rand.N(maxRewriteDelay)) {
		return nil
	}
	return n.registerSeed(ctx)
}

// observeGeneration records the generation of the platform that a peer has seen.
func (n *Node) observeGeneration(generation uint64) {
	for {
		old := n.peerGeneration.Load()
		if generation <= old || n.peerGeneration.CompareAndSwap(old, generation) {
			return
		}
	}
}
