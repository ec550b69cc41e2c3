package membership

import (
	"slices"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// SyncRequest is the request of a directory sync.
type SyncRequest struct {
	From            registry.NodeID
	FromIncarnation uint64
	// Fill requests all records.
	Fill bool
	// Digests holds the digest of each bucket, or is empty.
	Digests []uint64
	// Want lists members whose full records are requested. Records and Versions are
	// newer at the sender than at the receiver.
	Want     []registry.NodeID
	Records  []registry.Node
	Versions []Version
}

// SyncResponse answers a SyncRequest.
type SyncResponse struct {
	From            registry.NodeID
	FromIncarnation uint64
	// Buckets lists the buckets whose digests differ, and Versions all members in
	// them. In the response to a fill, Versions lists the dead members.
	Buckets  []int
	Versions []Version
	Records  []registry.Node
}

// tickSync fills the directory of a starting node and then starts syncs, one at a
// time. A sync with a random peer runs every SyncInterval. A sync with a peer whose
// digest differs for MismatchDelay runs earlier.
func (c *Core) tickSync() {
	if c.syncing {
		return
	}
	if c.joined && !c.filled && len(c.live) > 0 {
		// The node learned of a member before it knew a seed.
		c.joined, c.fillTries, c.nextFill = false, 0, c.now
	}
	if !c.joined {
		if !c.now.Before(c.nextFill) {
			c.nextFill = c.now.Add(fillRetry + c.jitter(fillRetry))
			c.startSync(c.fillPeer(), true)
		}
		return
	}
	if c.opts.Disabled.AntiEntropy {
		return
	}
	if c.starting() && c.tickStart() {
		return
	}
	if c.budget.debt > 0 {
		// Earlier syncs are not paid off yet.
		return
	}
	if c.mismatchPeer.ID != "" && c.now.Sub(c.mismatchSince) >= c.opts.MismatchDelay && c.now.Sub(c.mismatchSync) >= mismatchSyncInterval {
		c.mismatchSync = c.now
		c.startSync(c.mismatchPeer, false)
		return
	}
	if !c.now.Before(c.nextSync) {
		c.nextSync = c.now.Add(c.opts.SyncInterval)
		c.startSync(c.randomPeer(), false)
	}
}

// randomPeer returns a random member that is alive, or the zero Peer if there is
// none.
func (c *Core) randomPeer() Peer {
	for _, m := range c.randomLive(1, "") {
		return m.peer()
	}
	return Peer{}
}

// tickStart syncs a starting node with others until startEqualSyncs consecutive syncs
// have found no difference. The peer of the fill may itself have known few members,
// because all nodes fill their directories at the same time when a whole fleet
// starts.
func (c *Core) tickStart() bool {
	if c.equalSyncs >= startEqualSyncs || c.now.Before(c.nextStartSync) {
		return false
	}
	c.nextStartSync = c.now.Add(startSyncInterval/2 + c.jitter(startSyncInterval))
	c.startSync(c.startPeer(), false)
	return c.syncing
}

// startPeer returns the peer for a sync of a starting node: a seed or a random member,
// with equal probability. With PreferLocalDomain, most syncs go to members of the
// local failure domain until one finds no difference. This limits the traffic between
// failure domains when a whole fleet starts.
func (c *Core) startPeer() Peer {
	if c.opts.PreferLocalDomain && c.equalSyncs == 0 {
		if local := c.localMembers(); len(local) > 0 && c.rand.IntN(startSyncsPerRemoteSync) > 0 {
			return local[c.rand.IntN(len(local))].peer()
		}
	}
	if n := len(c.opts.Seeds); n > 0 && c.rand.IntN(2) == 0 {
		return Peer{Addr: c.opts.Seeds[c.rand.IntN(n)]}
	}
	return c.randomPeer()
}

// fillPeer returns the peer to fill the directory from. The first attempt goes to a
// known member if there is one, because a seed may no longer run. Further attempts go
// to seeds.
func (c *Core) fillPeer() Peer {
	n := len(c.opts.Seeds)
	if c.fillTries == 0 || n == 0 {
		if peer := c.randomPeer(); peer.Addr != "" {
			return peer
		}
	}
	if n == 0 {
		return Peer{}
	}
	return Peer{Addr: c.opts.Seeds[c.rand.IntN(n)]}
}

func (c *Core) startSync(peer Peer, fill bool) {
	if c.syncing || peer.Addr == "" || peer.Addr == c.self.node.PeerAddr {
		return
	}
	c.syncing = true
	c.ready.Syncs = append(c.ready.Syncs, Sync{Peer: peer, Fill: fill})
}

// SyncStart returns the first request of a directory sync.
func (c *Core) SyncStart(fill bool) *SyncRequest {
	req := &SyncRequest{From: c.self.node.ID, FromIncarnation: c.self.node.Incarnation, Fill: fill}
	if fill {
		req.Records = []registry.Node{c.self.node}
	} else {
		req.Digests = slices.Clone(c.buckets[:])
	}
	c.digestsSent = !fill
	return req
}

// SyncServe applies a sync request and returns the response to it.
func (c *Core) SyncServe(now time.Time, from string, req *SyncRequest) *SyncResponse {
	c.observe(now)
	resp := &SyncResponse{From: c.self.node.ID, FromIncarnation: c.self.node.Incarnation}
	if c.superseded {
		return resp
	}
	peer := Peer{ID: req.From, Addr: from}
	if m := c.members[req.From]; m != nil {
		peer.Addr = m.node.PeerAddr
	}
	for i := range req.Records {
		if req.Records[i].ID == req.From {
			peer.Addr = req.Records[i].PeerAddr
		}
	}
	c.applySync(peer, req.Records, req.Versions)
	if req.Fill {
		for _, m := range c.sorted() {
			if m.node.ID == req.From && m.node.Incarnation <= req.FromIncarnation && m.node.Status != registry.Dead {
				continue
			}
			if m.node.Status == registry.Dead {
				resp.Versions = append(resp.Versions, m.version())
			} else {
				resp.Records = append(resp.Records, m.node)
			}
		}
		return resp
	}
	if len(req.Digests) == Buckets && c.budget.debt < maxSyncDebt {
		var differs [Buckets]bool
		for b, d := range req.Digests {
			if d != c.buckets[b] {
				differs[b] = true
				resp.Buckets = append(resp.Buckets, b)
			}
		}
		if len(resp.Buckets) > 0 {
			for _, m := range c.sorted() {
				if differs[m.bucket] {
					resp.Versions = append(resp.Versions, m.version())
				}
			}
		}
	}
	for _, id := range req.Want {
		if m := c.members[id]; m != nil && m.node.Status != registry.Dead {
			resp.Records = append(resp.Records, m.node)
		}
	}
	return resp
}

// SyncContinue applies the response to a sync request. It returns the next request,
// or nil if the sync is complete.
func (c *Core) SyncContinue(now time.Time, sync Sync, resp *SyncResponse) *SyncRequest {
	c.observe(now)
	if c.digestsSent {
		c.digestsSent = false
		c.equalSyncs++
		if len(resp.Buckets) > 0 {
			c.equalSyncs = 0
		}
	}
	peer := Peer{ID: resp.From, Addr: sync.Peer.Addr}
	c.applySync(peer, resp.Records, nil)
	next := &SyncRequest{From: c.self.node.ID, FromIncarnation: c.self.node.Incarnation}
	listed := make(map[registry.NodeID]bool, len(resp.Versions))
	for _, v := range resp.Versions {
		listed[v.ID] = true
		m := c.members[v.ID]
		switch {
		case m != nil && newerThan(m, &v):
			// The peer knows the member and requests the record if it needs it.
			next.Versions = append(next.Versions, m.version())
		case v.ID == c.self.node.ID, v.Status == registry.Dead, v.Status == registry.Suspect && m != nil,
			m != nil && (v.ContentHash == m.hash || !supersedes(v.Incarnation, v.Sequence, m)):
			c.applyVersion(peer, v)
		default:
			next.Want = append(next.Want, v.ID)
		}
	}
	if len(resp.Buckets) > 0 {
		var differs [Buckets]bool
		for _, b := range resp.Buckets {
			if b >= 0 && b < Buckets {
				differs[b] = true
			}
		}
		for _, m := range c.sorted() {
			if differs[m.bucket] && !listed[m.node.ID] {
				c.addRecord(next, m)
			}
		}
	}
	if len(next.Want)+len(next.Records)+len(next.Versions) == 0 {
		return nil
	}
	return next
}

// newerThan reports whether the local state of the member supersedes v.
func newerThan(m *member, v *Version) bool {
	if m.node.Incarnation != v.Incarnation {
		return m.node.Incarnation > v.Incarnation
	}
	if m.node.Sequence != v.Sequence {
		return m.node.Sequence > v.Sequence
	}
	return m.node.Status > v.Status
}

// addRecord adds a member that the peer does not know to a request.
func (c *Core) addRecord(req *SyncRequest, m *member) {
	if m.node.Status == registry.Dead {
		req.Versions = append(req.Versions, m.version())
	} else {
		req.Records = append(req.Records, m.node)
	}
}

// SyncDone reports the end of a sync that Ready has requested.
func (c *Core) SyncDone(now time.Time, sync Sync, err error) {
	c.observe(now)
	c.syncing = false
	if !sync.Fill || c.joined {
		return
	}
	reason := "directory received from " + sync.Peer.Addr
	if err != nil {
		if c.fillTries++; c.fillTries < fillAttempts {
			return
		}
		reason = "no seed reachable"
	}
	c.joined, c.filled = true, true
	// The local record is queued again, because no members were known to send it to
	// before the fill.
	c.queue.add(c.self.node.ID, true)
	c.event(EventFilled, c.self, reason)
}

func (c *Core) applySync(peer Peer, records []registry.Node, versions []Version) {
	for i := range records {
		c.applyRecord(peer, &records[i])
	}
	for _, v := range versions {
		c.applyVersion(peer, v)
	}
}

// sorted lists all members in the order of their ids.
func (c *Core) sorted() []*member {
	ids := make([]registry.NodeID, 0, len(c.members))
	for id := range c.members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	out := make([]*member, len(ids))
	for i, id := range ids {
		out[i] = c.members[id]
	}
	return out
}
