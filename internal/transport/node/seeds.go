package node

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"wigeonspring.example/wigeonspring/internal/fault"
	"wigeonspring.example/wigeonspring/internal/state/platform"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

const (
	seedPrefix = "seeds/"
	// maxSeeds bounds the entries of a failure domain, so that the writes do not
	// grow with the fleet.
	maxSeeds = 16
	// seedsPerDomain is how many nodes of each failure domain a starting node
	// contacts. Reading all domains keeps them from forming separate clusters.
	seedsPerDomain = 3
	seedTimeout    = 2 * time.Second
	seedAttempts   = 4
	maxSeedRetry   = 30 * time.Second
	// seedDelay is the longest wait before a node registers itself, so that a
	// fleet that starts as a whole spreads its writes.
	seedDelay = 10 * time.Second
	// Where the platform's store is the only way to find other nodes, nodes register
	// at once and read until they know others: quickSeedDelay spreads 2,100 reads
	// and the writes of 12 failure domains over a second.
	quickSeedDelay    = time.Second
	maxQuickSeeds     = 4
	quickSeedAttempts = 20
	quickSeedRetry    = 300 * time.Millisecond
	maxQuickSeedRetry = 2 * time.Second
	// maxSeedReads bounds the successful reads of a node that finds no other failure
	// domain, because there may be none.
	maxSeedReads = 60
)

// seedPace says how fast a node registers and looks for others.
type seedPace struct {
	delay, retry, maxRetry, rejoin time.Duration
	// empty is the shortest delay after a read that found no seed.
	empty    time.Duration
	attempts int
	// entries is the number of live entries of a failure domain that suffice.
	entries int
}

func (n *Node) seedPace() seedPace {
	if n.opts.Adapter != nil && len(n.opts.Settings.Membership.Seeds) == 0 {
		return seedPace{
			delay: quickSeedDelay, retry: quickSeedRetry, maxRetry: maxQuickSeedRetry,
			rejoin: quickSeedRetry, empty: quickSeedDelay, attempts: quickSeedAttempts, entries: maxQuickSeeds,
		}
	}
	return seedPace{delay: seedDelay, retry: seedTimeout, maxRetry: maxSeedRetry, rejoin: time.Second, attempts: seedAttempts, entries: maxSeeds}
}

type seed struct {
	Node registry.NodeID `json:"node"`
	Addr string          `json:"addr"`
}

// learnSeeds gives the seed addresses of the platform to the membership. It
// repeats a failed read with a growing delay; the seeds of the settings serve
// until then. Without seeds in the settings it reads on until the node knows
// another failure domain.
func (n *Node) learnSeeds(ctx context.Context) error {
	pace := n.seedPace()
	reads := 0
	for delay := pace.retry; ; delay = min(2*delay, pace.maxRetry) {
		addrs, err := n.readSeeds(ctx)
		if err == nil {
			reads++
		}
		switch {
		case err != nil:
			n.log.Warn("cannot read seeds from the platform", zap.Error(err))
		case n.gossip.AddSeeds(addrs) && (n.opts.Adapter == nil || n.knowsOtherDomain() || reads >= maxSeedReads):
			return nil
		}
		if err == nil && len(addrs) == 0 {
			// The fleet starts for the first time and nobody has registered yet.
			delay = max(delay, pace.empty)
		}
		if !sleep(ctx, delay/2+rand.N(delay)) {
			return nil
		}
	}
}

// knowsOtherDomain reports whether a node of another failure domain is alive.
func (n *Node) knowsOtherDomain() bool {
	for _, m := range n.directory.Snapshot().Nodes() {
		if m.Status == registry.Alive && m.FailureDomain != n.opts.Settings.Node.FailureDomain {
			return true
		}
	}
	return false
}

// readSeeds reads the seed addresses of all failure domains in one call.
func (n *Node) readSeeds(ctx context.Context) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	objects, _, err := n.platform.List(ctx, seedPrefix)
	if err != nil {
		return nil, err
	}
	var addrs []string
	for _, o := range objects {
		list, err := decodeSeeds(o)
		if err != nil {
			n.log.Warn("malformed seeds in the platform", zap.Error(err))
			continue
		}
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		if o.Key == seedPrefix+n.opts.Settings.Node.FailureDomain {
			n.ownSeeds.Store(&list)
		}
		for _, s := range list[:min(len(list), seedsPerDomain)] {
			addrs = append(addrs, s.Addr)
		}
	}
	return addrs, nil
}

func decodeSeeds(o platform.Object) ([]seed, error) {
	var list []seed
	if err := json.Unmarshal(o.Value, &list); err != nil {
		return nil, fault.New("decode seeds", o.Key, err)
	}
	// An address that no datagram can be sent to is of another writer.
	return slices.DeleteFunc(list, func(s seed) bool {
		addr, err := netip.ParseAddrPort(s.Addr)
		return err != nil || addr.Port() == 0
	}), nil
}

// registerSeed adds this node to the seeds of its failure domain if fewer than
// maxSeeds of the entries are alive. Entries of dead nodes are replaced.
func (n *Node) registerSeed(ctx context.Context) error {
	pace := n.seedPace()
	if !sleep(ctx, rand.N(pace.delay)) {
		return nil
	}
	if list := n.ownSeeds.Load(); list != nil && n.seedsSuffice(*list) {
		return nil
	}
	key := seedPrefix + n.opts.Settings.Node.FailureDomain
	for range pace.attempts {
		err := n.tryRegisterSeed(ctx, key)
		if err == nil || ctx.Err() != nil {
			return nil
		}
		n.log.Info("cannot register as seed", zap.Error(err))
		if !sleep(ctx, pace.rejoin+rand.N(pace.delay)) {
			return nil
		}
	}
	return nil
}

func (n *Node) tryRegisterSeed(ctx context.Context, key string) error {
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	object, err := n.platform.Get(ctx, key)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	var list []seed
	if err == nil {
		if list, err = decodeSeeds(object); err != nil {
			n.log.Warn("replacing malformed seeds", zap.Error(err))
		}
	}
	if n.seedsSuffice(list) {
		return nil
	}
	list = append(n.otherSeeds(list), n.selfSeed())
	slices.SortFunc(list, func(a, b seed) int { return strings.Compare(string(a.Node), string(b.Node)) })
	value, err := json.Marshal(list)
	if err != nil {
		return fault.New("encode seeds", key, err)
	}
	_, err = n.platform.Put(ctx, key, value, object.Version)
	return err
}

func (n *Node) selfSeed() seed { return seed{Node: n.ID(), Addr: n.peerAddr} }

// otherSeeds returns the entries of other nodes that are not known to be dead.
func (n *Node) otherSeeds(list []seed) []seed {
	return slices.DeleteFunc(slices.Clone(list), func(s seed) bool { return s.Node == n.ID() || n.isDead(s.Node) })
}

// seedsSuffice reports whether this node need not be added to the seeds of its
// failure domain.
func (n *Node) seedsSuffice(list []seed) bool {
	return slices.Contains(list, n.selfSeed()) || len(n.otherSeeds(list)) >= n.seedPace().entries
}

// isDead reports whether a node is known to be dead. An unknown node may be
// alive in a part of the fleet that this node has not heard of yet.
func (n *Node) isDead(id registry.NodeID) bool {
	record := n.directory.Snapshot().Node(id)
	return record != nil && record.Status == registry.Dead
}

// sleep waits for d and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
