package distribution

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/event"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

const (
	// startupCheckInterval is the interval between checks of the startup state.
	startupCheckInterval = 50 * time.Millisecond
	// maxStartupSyncs is the number of concurrent syncs of a starting node, and
	// startRetryInterval the time before the same peer is asked again.
	maxStartupSyncs    = 4
	startRetryInterval = time.Second
	// minRoundInterval and maxRoundInterval bound the time between rounds of syncs, which
	// doubles with each round. Without it, 2,100 nodes that start at the same time and
	// cannot confirm each other would send syncs as fast as the replies arrive.
	minRoundInterval = 100 * time.Millisecond
	maxRoundInterval = time.Second
	// minConfirmedDomains is the number of failure domains with a confirmed peer that
	// suffice to confirm a starting node without the platform.
	minConfirmedDomains = 2
	// peerConfirmationWait is how long a starting node looks for a confirmed peer before
	// a listing of the platform alone suffices. A listing may be stale, and a starting
	// node has no earlier epochs to detect that.
	peerConfirmationWait = 2 * time.Second
	// minUnconfirmedPeers is the number of peers that must have failed to confirm the node
	// before a listing alone suffices.
	minUnconfirmedPeers = 3
	// minListingDelay delays the listing on nodes that are not watchers. If a whole fleet
	// starts at once, its watchers list the policies immediately and then confirm the
	// other nodes.
	minListingDelay = 10 * time.Second
	// unconfirmedStartDelay is the time after which a node serves without being confirmed.
	unconfirmedStartDelay = 30 * time.Second
	// undeliveredVersionTimeout is how long the startup waits for a document if the peer
	// that reported its version does not deliver it.
	undeliveredVersionTimeout = 10 * time.Second
)

// startup is the state of a starting node until it is confirmed.
type startup struct {
	startedAt time.Time
	// nextListing is the time at which a node that does not watch lists the policies.
	nextListing time.Time
	listed      bool
	peers       map[registry.NodeID]*startupPeer
	// nextRound is the time of the next round of syncs.
	nextRound     time.Time
	roundInterval time.Duration
}

// startupPeer is what a starting node knows about a peer.
type startupPeer struct {
	lastSync time.Time
	// pending is set while a sync with the peer is waiting for the reply.
	pending   bool
	failed    bool
	lastReply time.Time
	// confirmed is set if the peer knew that its policies were up to date.
	confirmed bool
	// missing holds the versions of the peer that this node still lacks.
	missing []Version
}

func (s *startup) init(c *Core) {
	s.startedAt = c.opts.Start
	s.nextListing = c.opts.Start.Add(minListingDelay + c.jitter(minListingDelay))
	if c.opts.Linearizable {
		s.nextListing = c.opts.Start
	}
	s.peers = map[registry.NodeID]*startupPeer{}
	s.roundInterval = minRoundInterval
}

// recordStartupReply records the reply of a peer; r is nil if there was none.
func (c *Core) recordStartupReply(from registry.NodeID, r *SyncReply) {
	if c.confirmed.Load() {
		return
	}
	peer := c.startup.peers[from]
	if peer == nil {
		peer = &startupPeer{}
		c.startup.peers[from] = peer
	}
	peer.pending = false
	if peer.failed = r == nil; peer.failed {
		return
	}
	peer.lastReply, peer.confirmed, peer.missing = c.now, r.Confirmed, nil
	for _, v := range r.Versions {
		if c.isBehind(v) {
			peer.missing = append(peer.missing, v)
		}
	}
}

// isBehind reports whether a version is newer than the one in force and was not refused.
func (c *Core) isBehind(v Version) bool {
	p := c.table.Get(v.Service)
	return (p == nil || p.Epoch < v.Epoch) && c.refused[v.Service] != v
}

// advanceStartup decides whether a starting node may serve, and otherwise asks more peers.
func (c *Core) advanceStartup() {
	if c.confirmed.Load() {
		return
	}
	c.ready = c.ready || (c.opts.Disabled.StartCheck && len(c.table.All()) > 0)
	s := &c.startup
	maps.DeleteFunc(s.peers, func(id registry.NodeID, _ *startupPeer) bool { return c.domain[id] == "" })
	// A wanted version was reported by a peer, so this node is behind that peer.
	complete := len(c.wanted) == 0
	for _, id := range slices.Sorted(maps.Keys(s.peers)) {
		peer := s.peers[id]
		peer.missing = slices.DeleteFunc(peer.missing, func(v Version) bool { return !c.isBehind(v) })
		if len(peer.missing) > 0 && c.now.Sub(peer.lastReply) > undeliveredVersionTimeout {
			peer.missing, peer.confirmed, peer.failed = nil, false, true
		}
		for _, v := range peer.missing {
			complete = false
			c.addWanted(v, id, 0)
		}
	}
	if complete {
		c.evaluateStartup()
	}
	if !c.confirmed.Load() {
		c.syncStartupPeers()
	}
}

func (c *Core) evaluateStartup() {
	s := &c.startup
	domains := map[string]bool{}
	confirmed, failed, reached := 0, 0, s.listed
	for id, peer := range s.peers {
		if peer.lastReply.IsZero() {
			if peer.failed {
				failed++
			}
			continue
		}
		reached = true
		if peer.confirmed {
			confirmed++
			domains[c.domain[id]] = true
		} else {
			failed++
		}
	}
	live := map[string]bool{}
	peers := 0
	for _, m := range c.members {
		if m.ID != c.opts.Self {
			peers++
			live[m.FailureDomain] = true
		}
	}
	reason := ""
	switch {
	case len(domains) >= minConfirmedDomains:
		reason = fmt.Sprintf("synced with %d peers of %d failure domains", confirmed, len(domains))
	case peers > 0 && len(live) < minConfirmedDomains && confirmed == peers:
		reason = fmt.Sprintf("synced with all %d live peers", peers)
	case s.listed && c.opts.Linearizable:
		reason = "read the platform"
	case s.listed && confirmed > 0:
		reason = "read the platform and synced with a peer"
	case s.listed && c.now.Sub(s.startedAt) >= peerConfirmationWait && failed >= min(peers, minUnconfirmedPeers):
		reason = "read the platform, no peer could confirm"
	}
	switch {
	case reason != "":
		c.confirmed.Store(true)
		c.ready = true
		// The peers' replies are not needed after the startup.
		s.peers = nil
		c.event(event.NodeJoined, "", "ready: "+reason)
	case !c.ready && reached && c.now.Sub(s.startedAt) >= unconfirmedStartDelay && len(c.table.All()) > 0:
		c.ready = true
		c.event(event.NodeJoined, "", "ready without confirmation: serving the highest epochs of the sources that were reached")
	}
}

// syncStartupPeers syncs with peers in failure domains from which no peer has confirmed
// yet. It chooses at random between watchers, which are confirmed first when a whole fleet
// starts, and all members, which spread the load.
func (c *Core) syncStartupPeers() {
	s := &c.startup
	if c.now.Before(s.nextRound) {
		return
	}
	active := 0
	covered := map[string]bool{}
	for id, peer := range s.peers {
		if peer.pending {
			active++
		}
		if peer.confirmed {
			covered[c.domain[id]] = true
		}
	}
	var candidates, watchers []registry.NodeID
	domains := map[string]bool{}
	for _, m := range c.members {
		domains[m.FailureDomain] = true
	}
	single := len(domains) < minConfirmedDomains
	for _, m := range c.members {
		peer := s.peers[m.ID]
		skip := peer != nil && (peer.pending || c.now.Sub(peer.lastSync) < startRetryInterval || peer.confirmed)
		if m.ID != c.opts.Self && !skip && (single || !covered[m.FailureDomain]) {
			candidates = append(candidates, m.ID)
		}
	}
	for _, d := range slices.Sorted(maps.Keys(domains)) {
		for _, id := range Watchers(c.members, d) {
			if slices.Contains(candidates, id) {
				watchers = append(watchers, id)
			}
		}
	}
	if len(candidates) == 0 {
		return
	}
	s.nextRound = c.now.Add(s.roundInterval/2 + c.jitter(s.roundInterval))
	s.roundInterval = min(2*s.roundInterval, maxRoundInterval)
	for ; active < maxStartupSyncs && len(candidates) > 0; active++ {
		pool := candidates
		if len(watchers) > 0 && c.rand.IntN(2) == 0 {
			pool = watchers
		}
		id := pool[c.rand.IntN(len(pool))]
		same := func(other registry.NodeID) bool { return other == id }
		candidates = slices.DeleteFunc(candidates, same)
		watchers = slices.DeleteFunc(watchers, same)
		peer := s.peers[id]
		if peer == nil {
			peer = &startupPeer{}
			s.peers[id] = peer
		}
		peer.lastSync, peer.pending = c.now, true
		c.call(id, &call{Call: Call{Sync: &Sync{Digests: digests(c.table)}}, startup: true})
	}
}
