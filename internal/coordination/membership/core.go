package membership

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// member is the state that the core keeps about one node.
type member struct {
	node registry.Node
	// hash is the content hash of node.
	hash uint64
	// digest is the hash that the member adds to the directory digest.
	digest uint64
	bucket int
	// liveIndex is the position in Core.live, or -1 for a dead member.
	liveIndex int
	// suspectUntil is when a suspect is declared dead.
	suspectUntil time.Time
	// suspectSince is when the local node began to suspect the member, or when it
	// last received a message from the suspect.
	suspectSince time.Time
	// inSuspects is set while the member is in Core.suspects.
	inSuspects bool
	// nextReprobe is when the local node probes the suspect again. It is zero if only
	// other nodes reported the suspicion.
	nextReprobe time.Time
	// reportedIncarnation is the incarnation at which the member was reported dead
	// while it was alive here.
	reportedIncarnation uint64
	// regossiped is set once the suspicion has been gossiped again before its end.
	regossiped bool
	deadSince  time.Time
	// correctedAt is when the current record was last sent to a replaced process of
	// this member.
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

// recordRequest is a pending request for a full record.
type recordRequest struct {
	from  Peer
	asked time.Time
	tries int
}

// Core is the membership state machine of one node. It is not safe for concurrent
// use.
type Core struct {
	opts Options
	rand *rand.Rand

	now     time.Time
	members map[registry.NodeID]*member
	self    *member
	// live lists the members other than self that are not dead.
	live []*member
	// dead holds the dead members by id.
	dead map[registry.NodeID]*member
	// suspects lists the suspect members. Members that are no longer suspect stay in
	// it until the next call of expire.
	suspects []*member
	buckets  [Buckets]uint64
	digest   uint64

	// joined is false while the node has a seed or a member to fill its directory
	// from and has not done so.
	joined bool
	// filled is set once the directory was received from another member, or all
	// attempts to do so have failed. A node that starts without seeds cannot fill its
	// directory until it learns of a member.
	filled     bool
	superseded bool
	own        ownIncarnations // read concurrently
	// corrections lists the members of which the sender of the current message has
	// reported an old version. The next message carries the version known here.
	corrections []*member
	// leaving is set once the local node has announced that it is leaving.
	leaving bool

	// deathReports lists the members that were reported dead while they are alive
	// here, and that are to be probed.
	deathReports    []*member
	nextReportProbe time.Time
	// lateProbes and unresponsive are buffers of expireExtraProbes.
	lateProbes   []uint64
	unresponsive []*member
	assemblies   map[registry.NodeID]*assembly

	queue          *queue
	budget         tokenBucket
	recordRequests map[registry.NodeID]*recordRequest

	probeCounter uint64
	probe        *probe
	round        []registry.NodeID
	relays       map[uint64]relay
	extraProbes  map[uint64]extraProbe
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
	// equalSyncs counts the latest consecutive syncs that found no difference. A
	// digest mismatch in a ping or an ack resets it.
	equalSyncs    int
	nextStartSync time.Time
	// digestsSent is set between the request of a sync that carries digests and its
	// response.
	digestsSent bool

	mismatchPeer  Peer
	mismatchSince time.Time
	mismatchSync  time.Time

	pendingSelf   *registry.Node
	selfPublished time.Time

	ready Ready
	stats Stats
}

// New returns a core whose node starts at time now.
func New(now time.Time, opts Options) *Core {
	opts.setDefaults()
	c := &Core{
		opts:           opts,
		rand:           opts.Rand,
		now:            now,
		members:        make(map[registry.NodeID]*member),
		dead:           make(map[registry.NodeID]*member),
		queue:          newQueue(),
		recordRequests: make(map[registry.NodeID]*recordRequest),
		assemblies:     make(map[registry.NodeID]*assembly),
		relays:         make(map[uint64]relay),
		extraProbes:    make(map[uint64]extraProbe),
		budget: tokenBucket{
			rate: float64(opts.BytesPerSecond), burst: float64(opts.BurstBytes), unlimited: opts.Disabled.Budget,
		},
	}
	c.budget.refill(now)
	self := opts.Self
	c.own.reset(self.Incarnation)
	self.Status = registry.Alive
	if self.Sequence == 0 {
		self.Sequence = 1
	}
	c.self = &member{node: self, hash: ContentHash(&self), bucket: Bucket(self.ID), liveIndex: -1}
	c.members[self.ID] = c.self
	c.reindex(c.self)
	c.change(Stored, c.self)
	c.queue.add(self.ID, true)
	c.opts.Seeds = slices.DeleteFunc(slices.Clone(opts.Seeds), func(s string) bool { return s == self.PeerAddr })
	c.joined = len(c.opts.Seeds) == 0
	// A random phase prevents nodes that start together from probing at the same
	// time.
	c.nextProbe = now.Add(c.jitter(opts.ProbeInterval))
	c.nextDead = now.Add(c.jitter(opts.DeadProbeInterval))
	c.nextSync = now.Add(c.jitter(opts.SyncInterval))
	c.nextFill = now
	c.startedAt = now
	c.nextExpiry = now.Add(time.Minute)
	c.selfPublished = now.Add(-publishInterval) // The first change is published at once.
	return c
}

func (c *Core) jitter(d time.Duration) time.Duration {
	return time.Duration(c.rand.Int64N(int64(d)))
}

// Ready returns the output since the previous call. The caller sends the datagrams
// and applies the changes in order.
func (c *Core) Ready() Ready {
	r := c.ready
	c.ready = Ready{}
	return r
}

// Tick advances time. The caller must call it at least every TickInterval. A gap
// of more than pauseGap counts as a pause of the process.
func (c *Core) Tick(now time.Time) {
	c.observe(now)
	if c.superseded {
		return
	}
	c.publishPending()
	c.expire()
	c.tickProbe()
	c.tickDeadProbe()
	c.tickDeathReports()
	c.tickRecordRequests()
	c.tickAssemblies()
	c.tickSync()
	c.gossipFresh()
}

// observe sets the time of an input and detects pauses of the process. After a
// pause, missing acks say nothing about other members, because the acks may wait
// unread in the socket. After a gap of more than pauseGap, the probe in flight is
// therefore dropped without a result and suspicions are extended by the gap. After
// a gap of more than refuteGap, the node also raises its incarnation, because
// other members probably suspect it.
func (c *Core) observe(now time.Time) {
	gap := now.Sub(c.now)
	if gap < 0 {
		return
	}
	c.now = now
	c.corrections = c.corrections[:0]
	c.budget.refill(now)
	if gap <= pauseGap || c.opts.Disabled.PauseDetection {
		return
	}
	c.stats.Pauses++
	c.probe = nil
	clear(c.relays)
	clear(c.extraProbes)
	c.nextProbe = now.Add(c.jitter(c.opts.ProbeInterval))
	for _, m := range c.suspects {
		m.suspectUntil = m.suspectUntil.Add(gap)
		m.suspectSince = m.suspectSince.Add(gap)
	}
	c.event(EventPaused, c.self, "no input for "+gap.Round(time.Millisecond).String())
	if gap > refuteGap && !c.leaving {
		c.refute(c.self.node.Incarnation, "resumed after a pause")
	}
}

// AddSeeds adds seed addresses that became known after the start, such as those
// stored in the platform. A node that knows no other member, or that has not
// filled its directory yet, then tries to fill it.
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

// SetPolicyDigest sets the digest of the policy table that is sent with pings and
// acks.
func (c *Core) SetPolicyDigest(d uint64) { c.policyDigest = d }

// SendPolicyNotice sends a policy notice to the listed members, except for dead and
// unknown ones.
func (c *Core) SendPolicyNotice(now time.Time, notice PolicyNotice, to []registry.NodeID) {
	c.observe(now)
	for _, id := range to {
		m := c.members[id]
		if m == nil || m == c.self || m.node.Status == registry.Dead {
			continue
		}
		msg := c.message(Gossip)
		msg.PolicyNotices = []PolicyNotice{notice}
		c.send(m.peer(), msg, 0)
	}
}

// Debit charges the send budget with n bytes that the transport sent outside of
// datagrams, as in a directory sync. Syncs of a starting node are not charged.
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

// Joined reports whether the node has filled its directory, has given up trying,
// or knows no node to fill it from.
func (c *Core) Joined() bool { return c.joined }

// Digest returns the digest of the directory.
func (c *Core) Digest() uint64 { return c.digest }

// Len returns the number of known members that are not dead, including the local
// node.
func (c *Core) Len() int { return len(c.live) + 1 }

// Lookup returns the record of a member.
func (c *Core) Lookup(id registry.NodeID) (registry.Node, bool) {
	m := c.members[id]
	if m == nil {
		return registry.Node{}, false
	}
	return m.node, true
}

// transmitLimit returns the number of times that this node sends an update.
func (c *Core) transmitLimit() int {
	return c.opts.TransmitFactor * bits.Len(uint(len(c.live)+1))
}

// change adds a change of the directory to the output.
func (c *Core) change(kind ChangeKind, m *member) {
	c.ready.Changes = append(c.ready.Changes, Change{Kind: kind, Node: m.node})
}

func (c *Core) event(kind EventKind, m *member, reason string) {
	c.ready.Events = append(c.ready.Events, Event{
		Kind: kind, Node: m.node.ID, Incarnation: m.node.Incarnation, Reason: reason,
	})
}

// reindex updates the directory digest and the lists of live and dead members
// after a change of m.
func (c *Core) reindex(m *member) {
	d := entryHash(&m.node, m.hash)
	c.buckets[m.bucket] ^= m.digest ^ d
	c.digest ^= m.digest ^ d
	m.digest = d
	if m == c.self {
		return
	}
	switch dead := m.node.Status == registry.Dead; {
	case dead && m.liveIndex >= 0:
		last := c.live[len(c.live)-1]
		c.live[m.liveIndex], last.liveIndex = last, m.liveIndex
		c.live[len(c.live)-1] = nil
		c.live = c.live[:len(c.live)-1]
		m.liveIndex = -1
	case !dead && m.liveIndex < 0:
		m.liveIndex = len(c.live)
		c.live = append(c.live, m)
	}
	if m.node.Status == registry.Dead {
		c.dead[m.node.ID] = m
	} else {
		delete(c.dead, m.node.ID)
	}
}

// randomLive returns up to k distinct random members with status Alive, without
// the member except.
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
