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
	// startInterval is the time between two looks at the state of a start.
	startInterval = 50 * time.Millisecond
	// startSyncs are the syncs of a starting node at once, and startRetry is the
	// time before the same peer is asked again.
	startSyncs = 4
	startRetry = time.Second
	// paceLow and paceHigh bound the time between two rounds of syncs; it doubles
	// with each round. Without a pace, 2,100 nodes that start at the same time and
	// cannot confirm each other ask as fast as the answers arrive.
	paceLow  = 100 * time.Millisecond
	paceHigh = time.Second
	// startDomains is the number of failure domains whose confirmed peers make a
	// starting node confirmed without the platform.
	startDomains = 2
	// peerGrace is the time that a starting node looks for a confirmed peer before
	// a listing of the platform suffices alone. A listing may be stale, and a
	// starting node has no epoch of its own to notice.
	peerGrace = 2 * time.Second
	// peerTries is the number of peers that must have failed to confirm by then.
	peerTries = 3
	// listDelay keeps the nodes of a fleet that starts as a whole from all listing
	// the policies. The watchers list them at once and confirm the others.
	listDelay = 10 * time.Second
	// startPatience is the time after which a node serves without confirmation.
	startPatience = 30 * time.Second
	// evidenceAge is how long a peer that reported an epoch, but does not deliver
	// its text, holds up the start.
	evidenceAge = 10 * time.Second
)

// starter is the state of a start until the node is confirmed.
type starter struct {
	begun time.Time
	// listAt is when a node that is no watcher lists the policies.
	listAt time.Time
	listed bool
	peers  map[registry.NodeID]*evidence
	// askAt is the time of the next round of syncs.
	askAt time.Time
	pace  time.Duration
}

// evidence is what a peer contributed to the start.
type evidence struct {
	asked time.Time
	// pending is set while a sync with the peer waits for its answer.
	pending bool
	failed  bool
	replied time.Time
	// confirmed says that the peer knew that it was not behind.
	confirmed bool
	// have are the epochs of the peer that this node lacked.
	have []Version
}

func (s *starter) init(c *Core) {
	s.begun = c.o.Start
	s.listAt = c.o.Start.Add(listDelay + c.jitter(listDelay))
	if c.o.Linearizable {
		s.listAt = c.o.Start
	}
	s.peers = map[registry.NodeID]*evidence{}
	s.pace = paceLow
}

// startReply notes the answer of a peer, or nil if there was none.
func (c *Core) startReply(from registry.NodeID, r *SyncReply) {
	if c.confirmed.Load() {
		return
	}
	e := c.start.peers[from]
	if e == nil {
		e = &evidence{}
		c.start.peers[from] = e
	}
	e.pending = false
	if e.failed = r == nil; e.failed {
		return
	}
	e.replied, e.confirmed, e.have = c.now, r.Confirmed, nil
	for _, h := range r.Versions {
		if c.lacks(h) {
			e.have = append(e.have, h)
		}
	}
}

// lacks reports whether an epoch of a peer is neither in force nor refused.
func (c *Core) lacks(h Version) bool {
	p := c.table.Get(h.Service)
	return (p == nil || p.Epoch < h.Epoch) && c.refused[h.Service] != h
}

// startStep goes on with the start and decides whether the node may serve.
func (c *Core) startStep() {
	if c.confirmed.Load() {
		return
	}
	c.ready = c.ready || (c.o.Disabled.StartCheck && len(c.table.All()) > 0)
	s := &c.start
	maps.DeleteFunc(s.peers, func(id registry.NodeID, _ *evidence) bool { return c.domain[id] == "" })
	// A wanted epoch was reported by a peer, so the node is behind it.
	complete := len(c.wants) == 0
	for _, id := range slices.Sorted(maps.Keys(s.peers)) {
		e := s.peers[id]
		e.have = slices.DeleteFunc(e.have, func(h Version) bool { return !c.lacks(h) })
		if len(e.have) > 0 && c.now.Sub(e.replied) > evidenceAge {
			e.have, e.confirmed, e.failed = nil, false, true
		}
		for _, h := range e.have {
			complete = false
			c.want(h, id, 0)
		}
	}
	if complete {
		c.decideStart()
	}
	if !c.confirmed.Load() {
		c.askStartPeers()
	}
}

func (c *Core) decideStart() {
	s := &c.start
	domains := map[string]bool{}
	confirmed, failed, reached := 0, 0, s.listed
	for id, e := range s.peers {
		if e.replied.IsZero() {
			if e.failed {
				failed++
			}
			continue
		}
		reached = true
		if e.confirmed {
			confirmed++
			domains[c.domain[id]] = true
		} else {
			failed++
		}
	}
	live := map[string]bool{}
	peers := 0
	for _, m := range c.members {
		if m.ID != c.o.Self {
			peers++
			live[m.FailureDomain] = true
		}
	}
	reason := ""
	switch {
	case len(domains) >= startDomains:
		reason = fmt.Sprintf("synced with %d peers of %d failure domains", confirmed, len(domains))
	case peers > 0 && len(live) < startDomains && confirmed == peers:
		reason = fmt.Sprintf("synced with all %d live peers", peers)
	case s.listed && c.o.Linearizable:
		reason = "read the platform"
	case s.listed && confirmed > 0:
		reason = "read the platform and synced with a peer"
	case s.listed && c.now.Sub(s.begun) >= peerGrace && failed >= min(peers, peerTries):
		reason = "read the platform, no peer could confirm"
	}
	switch {
	case reason != "":
		c.confirmed.Store(true)
		c.ready = true
		// Only a start needs the evidence.
		s.peers = nil
		c.event(event.NodeJoined, "", "ready: "+reason)
	case !c.ready && reached && c.now.Sub(s.begun) >= startPatience && len(c.table.All()) > 0:
		c.ready = true
		c.event(event.NodeJoined, "", "ready without confirmation: serving the highest epochs of the sources that were reached")
	}
}

// askStartPeers syncs with peers of failure domains that have not confirmed
// yet. It alternates between watchers, which are the first to be confirmed when
// a whole fleet starts, and random members, which share the load.
func (c *Core) askStartPeers() {
	s := &c.start
	if c.now.Before(s.askAt) {
		return
	}
	active := 0
	covered := map[string]bool{}
	for id, e := range s.peers {
		if e.pending {
			active++
		}
		if e.confirmed {
			covered[c.domain[id]] = true
		}
	}
	var candidates, watchers []registry.NodeID
	domains := map[string]bool{}
	for _, m := range c.members {
		domains[m.FailureDomain] = true
	}
	single := len(domains) < startDomains
	for _, m := range c.members {
		e := s.peers[m.ID]
		waits := e != nil && (e.pending || c.now.Sub(e.asked) < startRetry || e.confirmed)
		if m.ID != c.o.Self && !waits && (single || !covered[m.FailureDomain]) {
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
	s.askAt = c.now.Add(s.pace/2 + c.jitter(s.pace))
	s.pace = min(2*s.pace, paceHigh)
	for ; active < startSyncs && len(candidates) > 0; active++ {
		pool := candidates
		if len(watchers) > 0 && c.rand.IntN(2) == 0 {
			pool = watchers
		}
		id := pool[c.rand.IntN(len(pool))]
		same := func(other registry.NodeID) bool { return other == id }
		candidates = slices.DeleteFunc(candidates, same)
		watchers = slices.DeleteFunc(watchers, same)
		e := s.peers[id]
		if e == nil {
			e = &evidence{}
			s.peers[id] = e
		}
		e.asked, e.pending = c.now, true
		c.call(id, &call{Call: Call{Sync: &Sync{Digests: digests(c.table)}}, starting: true})
	}
}
