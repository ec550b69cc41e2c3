package node

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"wigeonspring.example/wigeonspring/internal/coordination/seeding"
	"wigeonspring.example/wigeonspring/internal/fault"
	"wigeonspring.example/wigeonspring/internal/state/platform"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

const (
	seedPrefix = "seeds/"
	// maxSeeds bounds the seed entries of a failure domain, so that the number of
	// writes does not grow with the fleet.
	maxSeeds = 16
	// seedsPerDomain is how many nodes of each failure domain a starting node
	// contacts. Reading all domains keeps them from forming separate clusters.
	seedsPerDomain = 3
	seedTimeout    = 2 * time.Second
	seedAttempts   = 4
	maxSeedRetry   = 30 * time.Second
	// seedDelay is the longest wait before a node registers itself. It spreads the
	// writes when the whole fleet starts at once.
	seedDelay = 10 * time.Second
	// The quick constants apply if the store of the platform is the only way to find
	// other nodes. Nodes then register soon and read until they know others.
	// quickSeedDelay spreads the reads of 2,100 nodes and the writes of 12 failure
	// domains over a second.
	quickSeedDelay    = time.Second
	maxQuickSeeds     = 4
	quickSeedAttempts = 20
	quickSeedRetry    = 300 * time.Millisecond
	maxQuickSeedRetry = 2 * time.Second
	// maxSeedReads is the number of successful reads after which a node that found no
	// other failure domain stops reading, because there may be none.
	maxSeedReads = 60
	// seedRenewalStart is when a process first checks that the seeds of its failure domain are
	// live: it has found the fleet by then, or the seeds have not answered. seedRenewalInterval
	// is the shortest time between two checks. The checks make no calls unless seeds are missing.
	seedRenewalStart    = 10 * time.Second
	seedRenewalInterval = 2 * time.Second
	// unknownSeeds is the number of entries that may be kept beyond the live ones.
	unknownSeeds = 4
)

// seedTiming is how soon and how often a node registers itself and reads the seeds.
type seedTiming struct {
	delay, retry, maxRetry, registerRetry time.Duration
	// emptyRetry is the shortest delay after a read that found no seed.
	emptyRetry time.Duration
	attempts   int
	// enoughEntries is the number of live entries of a failure domain from which on a
	// node need not register itself.
	enoughEntries int
}

func (n *Node) seedTiming() seedTiming {
	if n.opts.Adapter != nil && len(n.opts.Settings.Membership.Seeds) == 0 {
		return seedTiming{
			delay: quickSeedDelay, retry: quickSeedRetry, maxRetry: maxQuickSeedRetry,
			registerRetry: quickSeedRetry, emptyRetry: quickSeedDelay, attempts: quickSeedAttempts, enoughEntries: maxQuickSeeds,
		}
	}
	return seedTiming{delay: seedDelay, retry: seedTimeout, maxRetry: maxSeedRetry, registerRetry: time.Second, attempts: seedAttempts, enoughEntries: maxSeeds}
}

// discoverSeeds reads the seed addresses from the platform and adds them to the gossip
// transport. It repeats a failed read with a growing delay; until then, the node uses the
// seeds of the settings. With an adapter, it continues to read until the node knows
// another failure domain or has read maxSeedReads times.
func (n *Node) discoverSeeds(ctx context.Context) error {
	timing := n.seedTiming()
	reads, delay := 0, timing.retry
	if n.opts.Settings.FirstStart() && timing.emptyRetry > 0 {
		// No node has registered yet, so a listing would be empty.
		if !sleep(ctx, timing.emptyRetry/2+rand.N(timing.emptyRetry)) {
			return nil
		}
		delay = min(2*timing.emptyRetry, timing.maxRetry)
	}
	for ; ; delay = min(2*delay, timing.maxRetry) {
		addrs, err := n.readSeeds(ctx)
		added := false
		if err != nil {
			n.log.Warn("cannot read seeds from the platform", zap.Error(err))
		} else {
			reads++
			added = n.gossip.AddSeeds(addrs)
		}
		if added && (n.opts.Adapter == nil || n.knowsOtherDomain() || reads >= maxSeedReads) {
			return nil
		}
		if err == nil && len(addrs) == 0 {
			// The fleet starts for the first time and no node has registered yet.
			delay = max(delay, timing.emptyRetry)
		}
		if !sleep(ctx, delay/2+rand.N(delay)) {
			return nil
		}
		if added && len(addrs) > 0 && n.knowsOtherDomain() {
			return nil // The seeds have answered.
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
			n.domainSeeds.Store(&list)
		}
		for _, s := range list[:min(len(list), seedsPerDomain)] {
			addrs = append(addrs, s.Addr)
		}
	}
	return addrs, nil
}

func decodeSeeds(o platform.Object) ([]seeding.Entry, error) {
	var list []seeding.Entry
	if err := json.Unmarshal(o.Value, &list); err != nil {
		return nil, fault.New("decode seeds", o.Key, err)
	}
	// An address that no datagram can be sent to was written by another program.
	return slices.DeleteFunc(list, func(s seeding.Entry) bool {
		addr, err := netip.ParseAddrPort(s.Addr)
		return err != nil || addr.Port() == 0
	}), nil
}

// registerSeed adds this node to the seeds of its failure domain if fewer than
// seedTiming.enoughEntries of the entries are alive. Entries of dead nodes are replaced.
func (n *Node) registerSeed(ctx context.Context) error {
	timing := n.seedTiming()
	if !sleep(ctx, rand.N(timing.delay)) {
		return nil
	}
	if list := n.domainSeeds.Load(); !n.registeredSeed.Load() && list != nil && n.enoughSeeds(*list) {
		return nil
	}
	key := seedPrefix + n.opts.Settings.Node.FailureDomain
	for range timing.attempts {
		err := n.tryRegisterSeed(ctx, key)
		if err == nil || ctx.Err() != nil {
			return nil
		}
		n.log.Info("cannot register as seed", zap.Error(err))
		if !sleep(ctx, timing.registerRetry+rand.N(timing.delay)) {
			return nil
		}
	}
	return nil
}

// tryRegisterSeed adds this node to the seeds of its failure domain unless there are enough.
func (n *Node) tryRegisterSeed(ctx context.Context, key string) error {
	return n.updateSeeds(ctx, key, func(list []seeding.Entry) []seeding.Entry {
		if n.enoughSeeds(list) {
			return list
		}
		return seeding.Add(n.seedOptions(), n.otherSeeds(list), n.selfSeed(), n.seedStatus)
	})
}

// updateSeeds reads the seeds of this node's failure domain and writes them if change adds this
// node.
func (n *Node) updateSeeds(ctx context.Context, key string, change func([]seeding.Entry) []seeding.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	object, err := n.platform.Get(ctx, key)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	var list []seeding.Entry
	if err == nil {
		if list, err = decodeSeeds(object); err != nil {
			n.log.Warn("replacing malformed seeds", zap.Error(err))
		}
	}
	changed := change(list)
	if slices.Equal(changed, list) {
		n.domainSeeds.Store(&list)
		return nil
	}
	value, err := json.Marshal(changed)
	if err != nil {
		return fault.New("encode seeds", key, err)
	}
	if _, err = n.platform.Put(ctx, key, value, object.Version); err == nil {
		n.registeredSeed.Store(true)
		n.domainSeeds.Store(&changed)
	}
	return err
}

// renewSeeds adds this node to the seeds of its failure domain when too few of them are live, which
// is so after the VMs of earlier seeds were replaced, until ctx is done.
func (n *Node) renewSeeds(ctx context.Context) error {
	key := seedPrefix + n.opts.Settings.Node.FailureDomain
	for wait := seedRenewalStart; sleep(ctx, wait); wait = seedRenewalInterval + rand.N(seedRenewalInterval) {
		if n.stopping.Load() || !n.shouldBeSeed() {
			continue
		}
		err := n.updateSeeds(ctx, key, func(list []seeding.Entry) []seeding.Entry {
			if !seeding.Needs(n.seedOptions(), list, n.selfSeed(), n.seedStatus) {
				return list
			}
			return seeding.Add(n.seedOptions(), list, n.selfSeed(), n.seedStatus)
		})
		if err != nil && ctx.Err() == nil {
			n.log.Info("cannot renew the seeds", zap.Error(err))
		}
	}
	return nil
}

// shouldBeSeed reports whether this node is one of those that replace seeds which are not live.
func (n *Node) shouldBeSeed() bool {
	var list []seeding.Entry
	if known := n.domainSeeds.Load(); known != nil {
		list = *known
	}
	if !seeding.Needs(n.seedOptions(), list, n.selfSeed(), n.seedStatus) {
		return false
	}
	var members []registry.NodeID
	for _, m := range n.directory.Snapshot().Nodes() {
		if m.FailureDomain == n.opts.Settings.Node.FailureDomain && m.Status == registry.Alive {
			members = append(members, m.ID)
		}
	}
	return seeding.Candidate(n.seedOptions(), n.ID(), members)
}

func (n *Node) seedOptions() seeding.Options {
	want := n.seedTiming().enoughEntries
	return seeding.Options{Want: want, Limit: want + unknownSeeds}
}

// seedStatus returns what this node knows of a node.
func (n *Node) seedStatus(id registry.NodeID) seeding.Status {
	record := n.directory.Snapshot().Node(id)
	switch {
	case record == nil:
		return seeding.Unknown
	case record.Status == registry.Alive || record.Status == registry.Suspect:
		return seeding.Live
	}
	return seeding.Gone
}

func (n *Node) selfSeed() seeding.Entry { return seeding.Entry{Node: n.ID(), Addr: n.peerAddr} }

// otherSeeds returns the entries of other nodes that are not known to be dead.
func (n *Node) otherSeeds(list []seeding.Entry) []seeding.Entry {
	return slices.DeleteFunc(slices.Clone(list), func(s seeding.Entry) bool { return s.Node == n.ID() || n.isDead(s.Node) })
}

// enoughSeeds reports whether this node need not be added to the seeds of its
// failure domain.
func (n *Node) enoughSeeds(list []seeding.Entry) bool {
	return slices.Contains(list, n.selfSeed()) || len(n.otherSeeds(list)) >= n.seedTiming().enoughEntries
}

// isDead reports whether a node is known to be dead. An unknown node may be alive in a
// part of the fleet that this node does not know yet.
func (n *Node) isDead(id registry.NodeID) bool {
	record := n.directory.Snapshot().Node(id)
	return record != nil && record.Status == registry.Dead
}

// sleep waits for d and returns false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
