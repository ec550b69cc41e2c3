package membership

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// member is what the core knows about one node.
type member struct {
	node registry.Node
	// hash is the content hash of node.
	hash uint64
	// digest is the member's share of the directory digest.
	digest uint64
	bucket int
	// index is the position in Core.live, or -1.
	index int
	// suspectUntil is when a suspect becomes dead.
	suspectUntil time.Time
	// suspectSince is when the suspicion began here or the member was last heard.
	suspectSince time.Time
	// listed is set while the member is in Core.suspects.
	listed bool
	// nextCheck is when the local node, whose probe began the suspicion, checks
	// the member again; zero if another node began it.
	nextCheck time.Time
	// doubted is the incarnation at which the member was reported dead while it
	// was alive here.
	doubted uint64
	// reminded is set once the suspicion has been gossiped again before its end.
	reminded  bool
	deadSince time.Time
	// correctedAt is when a stale process of this member was last told the
	// newer record.
	correctedAt time.Time
}

func (m *member) peer() Peer { return Peer{ID: m.node.ID, Addr: m.node.PeerAddr} }

func (m *member) version() Version {
	v := Version{ID: m.node.ID, Incarnation: m.node.Incarnation, Sequence: m.node.Sequence, Status: m.node.Status}
	if v.Status == registry.Alive || v.Status == registry.Leaving {
		v.ContentHash = m.hash
	}
	return v
}

// want is a record that was asked for.
type want struct {
	from  Peer
	asked time.Time
	tries int
}

// Core is the decision core of the membership of one node. It is not safe for
// concurrent use.
type Core struct {
	opts Options
	rand *rand.Rand

	now     time.Time
	members map[registry.NodeID]*member
	self    *member
	// live lists the members other than self that are not dead.
	live []*member
	// dead lists the ids of dead members.
	dead map[registry.NodeID]*member
	// suspects lists the members under suspicion, and some that no longer are.
	suspects []*member
	buckets  [Buckets]uint64
	digest   uint64

	joined bool
	// filled is set once the directory was taken over from another member, or the
	// tries for it are used up. A node that starts without seeds has nobody to ask
	// until it hears of a member.
	filled     bool
	superseded bool
	// outdated lists members of whom the sender of the message in hand holds an
	// old version; the next message to it carries ours.
	outdated []*member
	// left is set once the local node has announced that it is leaving.
	left bool

	// doubts lists members that were reported dead while they are alive here.
	doubts     []*member
	nextDoubt  time.Time
	lateChecks []uint64
	silent     []*member
	assemblies map[registry.NodeID]*assembly

	queue  *queue
	budget bucket
	wants  map[registry.NodeID]*want

	probeCounter uint64
	probe        *probe
	round        []registry.NodeID
	relays       map[uint64]relay
	checks       map[uint64]check
	nextProbe    time.Time
	nextDead     time.Time
	nextSync     time.Time
	nextFill     time.Time
	fillTries    int
	nextExpiry   time.Time
	syncing      bool

	policyDigest uint64
	// startedAt is when the node started; see startPeriod.
	startedAt time.Time
	// equalSyncs counts the latest syncs that found no difference; digestsSent is set
	// from the digests of a sync to the answer to them.
	equalSyncs    int
	nextStartSync time.Time
	digestsSent   bool

	mismatchPeer  Peer
	mismatchSince time.Time
	mismatchSync  time.Time

	pendingSelf   *registry.Node
	selfPublished time.Time

	ready Ready
	stats Stats
}

// New returns a core that starts at time now.
func New(now time.Time, opts Options) *Core {
	opts.setDefaults()
	c := &Core{
		opts:       opts,
		rand:       opts.Rand,
		now:        now,
		members:    make(map[registry.NodeID]*member),
		dead:       make(map[registry.NodeID]*member),
		queue:      newQueue(),
		wants:      make(map[registry.NodeID]*want),
		assemblies: make(map[registry.NodeID]*assembly),
		relays:     make(map[uint64]relay),
		checks:     make(map[uint64]check),
		budget: bucket{
			rate: float64(opts.BytesPerSecond), burst: float64(opts.BurstBytes), off: opts.Disable.Budget,
		},
	}
	c.budget.refill(now)
	self := opts.Self
	self.Status = registry.Alive
	if self.Sequence == 0 {
		self.Sequence = 1
	}
	c.self = &member{node: self, hash: ContentHash(&self), bucket: Bucket(self.ID), index: -1}
	c.members[self.ID] = c.self
	c.reindex(c.self)
	c.change(Stored, c.self)
	c.queue.add(self.ID, true)
	c.opts.Seeds = slices.DeleteFunc(slices.Clone(opts.Seeds), func(s string) bool { return s == self.PeerAddr })
	c.joined = len(c.opts.Seeds) == 0
	// A random phase keeps nodes that start together from probing in step.
	c.nextProbe = now.Add(c.jitter(opts.ProbeInterval))
	c.nextDead = now.Add(c.jitter(opts.DeadProbeInterval))
	c.nextSync = now.Add(c.jitter(opts.SyncInterval))
	c.nextFill = now
	c.startedAt = now
	c.nextExpiry = now.Add(time.Minute)
	c.selfPublished = now.Add(-selfInterval) // The first change is published at once.
	return c
}

func (c *Core) jitter(d time.Duration) time.Duration {
	return time.Duration(c.rand.Int64N(int64(d)))
}

// Ready returns the output since the last call. The caller sends the datagrams
// and applies the changes in order.
func (c *Core) Ready() Ready {
	r := c.ready
	c.ready = Ready{}
	return r
}

// Tick advances time. It is called at least every TickInterval; a longer gap
// counts as a pause of the process.
func (c *Core) Tick(now time.Time) {
	c.observe(now)
	if c.superseded {
		return
	}
	c.publishPending()
	c.expire()
	c.tickProbe()
	c.tickDeadProbe()
	c.tickDoubts()
	c.tickWants()
	c.tickAssemblies()
	c.tickSync()
	c.gossipFresh()
}

// observe takes the time of an input and applies the pause rule: a process that
// did not run cannot judge the silence of others. After a gap of more than
// pauseGap the probe in flight is abandoned without a verdict and suspicions
// are extended by the gap. After refuteGap the node also raises its
// incarnation, because others probably suspect it.
func (c *Core) observe(now time.Time) {
	gap := now.Sub(c.now)
	if gap < 0 {
		return
	}
	c.now = now
	c.outdated = c.outdated[:0]
	c.budget.refill(now)
	if gap <= pauseGap || c.opts.Disable.PauseRule {
		return
	}
	c.stats.Pauses++
	c.probe = nil
	clear(c.relays)
	clear(c.checks)
	c.nextProbe = now.Add(c.jitter(c.opts.ProbeInterval))
	for _, m := range c.suspects {
		m.suspectUntil = m.suspectUntil.Add(gap)
		m.suspectSince = m.suspectSince.Add(gap)
	}
	c.event(EventPaused, c.self, "no input for "+gap.Round(time.Millisecond).String())
	if gap > refuteGap && !c.left {
		c.refute(c.self.node.Incarnation, "resumed after a pause")
	}
}

// AddSeeds adds addresses that were learned after the start, such as those
// listed in the platform. A node that knows no other member tries to fill its
// directory from them.
func (c *Core) AddSeeds(now time.Time, seeds []string) {
	c.observe(now)
	for _, s := range seeds {
		if s != c.self.node.PeerAddr && !slices.Contains(c.opts.Seeds, s) {
			c.opts.Seeds = append(c.opts.Seeds, s)
		}
	}
	if (len(c.live) == 0 || !c.filled) && len(c.opts.Seeds) > 0 {
		c.joined, c.fillTries, c.nextFill = false, 0, now
	}
}

// SetPolicyDigest sets the digest of the policy table that probes carry.
func (c *Core) SetPolicyDigest(d uint64) { c.policyDigest = d }

// SendPolicyNotice sends a policy notice to members that are not dead.
func (c *Core) SendPolicyNotice(now time.Time, have PolicyNotice, to []registry.NodeID) {
	c.observe(now)
	for _, id := range to {
		m := c.members[id]
		if m == nil || m == c.self || m.node.Status == registry.Dead {
			continue
		}
		msg := c.message(Gossip)
		msg.PolicyNotices = []PolicyNotice{have}
		c.send(m.peer(), msg, 0)
	}
}

// Debit takes bytes that the transport sent on behalf of the core, such as by a
// directory sync, from the send budget. The syncs of a starting node are not part of it.
func (c *Core) Debit(n int) {
	if !c.starting() {
		c.budget.debt += float64(n)
	}
}

func (c *Core) starting() bool { return c.now.Sub(c.startedAt) < startPeriod }

// Stats returns the counters.
func (c *Core) Stats() Stats { return c.stats }

// Self returns the published record of the local node.
func (c *Core) Self() registry.Node { return c.self.node }

// Joined reports whether the directory was filled at start.
func (c *Core) Joined() bool { return c.joined }

// Digest returns the digest of the directory.
func (c *Core) Digest() uint64 { return c.digest }

// Len returns the number of known members that are not dead, the local node
// included.
func (c *Core) Len() int { return len(c.live) + 1 }

// Lookup returns the record of a member.
func (c *Core) Lookup(id registry.NodeID) (registry.Node, bool) {
	m := c.members[id]
	if m == nil {
		return registry.Node{}, false
	}
	return m.node, true
}

// transmitLimit is how often one node sends an update.
func (c *Core) transmitLimit() int {
	return c.opts.TransmitFactor * bits.Len(uint(len(c.live)+1))
}

// change records a change of the directory.
func (c *Core) change(kind ChangeKind, m *member) {
	c.ready.Changes = append(c.ready.Changes, Change{Kind: kind, Node: m.node})
}

func (c *Core) event(kind EventKind, m *member, reason string) {
	c.ready.Events = append(c.ready.Events, Event{
		Kind: kind, Node: m.node.ID, Incarnation: m.node.Incarnation, Reason: reason,
	})
}

// reindex updates the digest and the list of live members after a change of m.
func (c *Core) reindex(m *member) {
	d := entryHash(&m.node, m.hash)
	c.buckets[m.bucket] ^= m.digest ^ d
	c.digest ^= m.digest ^ d
	m.digest = d
	if m == c.self {
		return
	}
	switch dead := m.node.Status == registry.Dead; {
	case dead && m.index >= 0:
		last := c.live[len(c.live)-1]
		c.live[m.index], last.index = last, m.index
		c.live[len(c.live)-1] = nil
		c.live = c.live[:len(c.live)-1]
		m.index = -1
	case !dead && m.index < 0:
		m.index = len(c.live)
		c.live = append(c.live, m)
	}
	if m.node.Status == registry.Dead {
		c.dead[m.node.ID] = m
	} else {
		delete(c.dead, m.node.ID)
	}
}

// randomLive returns up to k distinct random members that are alive.
func (c *Core) randomLive(k int, except registry.NodeID) []*member {
	var out []*member
	for tries := 0; len(out) < k && tries < 4*k+8 && len(c.live) > 0; tries++ {
		m := c.live[c.rand.IntN(len(c.live))]
		if m.node.Status != registry.Alive || m.node.ID == except || contains(out, m) {
			continue
		}
		out = append(out, m)
	}
	return out
}

func contains(list []*member, m *member) bool {
	for _, x := range list {
		if x == m {
			return true
		}
	}
	return false
}
