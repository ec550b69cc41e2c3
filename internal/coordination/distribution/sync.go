package distribution

import (
	"maps"
	"slices"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// mismatch is a scheduled sync with a peer whose digest differs.
type mismatch struct {
	digest uint64
	due    time.Time
}

// comparison records a sync that need not be repeated until a time while both digests stay
// the same.
type comparison struct {
	peerDigest, ownDigest uint64
	until                 time.Time
}

// handleDigest schedules a sync with a peer whose table differs.
func (c *Core) handleDigest(d PeerDigest) {
	if c.opts.Disabled.AntiEntropy || c.domain[d.From] == "" {
		return
	}
	c.resetDigestTimeout()
	c.lastDigest[d.From] = c.now
	if d.Digest == c.table.Digest() {
		delete(c.mismatches, d.From)
		return
	}
	m, waiting := c.mismatches[d.From]
	if !waiting {
		m.due = c.now.Add(c.jitter(maxSyncDelay))
	}
	m.digest = d.Digest
	c.mismatches[d.From] = m
}

func (c *Core) syncMismatches() {
	active := 0
	for _, cl := range c.calls {
		if cl.Sync != nil && !cl.startup {
			active++
		}
	}
	ownDigest := c.table.Digest()
	for _, id := range slices.Sorted(maps.Keys(c.mismatches)) {
		m := c.mismatches[id]
		if c.now.Before(m.due) {
			continue
		}
		last := c.comparisons[id]
		if m.digest == ownDigest || (last.peerDigest == m.digest && last.ownDigest == ownDigest && c.now.Before(last.until)) {
			delete(c.mismatches, id)
			continue
		}
		if active >= maxSyncs {
			m.due = c.now.Add(maxSyncDelay)
			c.mismatches[id] = m
			continue
		}
		active++
		delete(c.mismatches, id)
		c.call(id, &call{Call: Call{Sync: &Sync{Digests: digests(c.table)}}, peerDigest: m.digest, ownDigest: ownDigest, retries: syncRetries})
	}
}

// retrySync syncs with another peer after a call failed. The failed peer had something that
// this node lacks, but other peers may have it too.
func (c *Core) retrySync(failed registry.NodeID, retries int) {
	if retries == 0 || c.opts.Disabled.AntiEntropy {
		return
	}
	var peers, failing []registry.NodeID
	for _, m := range c.members {
		switch {
		case m.ID == c.opts.Self || m.ID == failed:
		case c.failedRecently(m.ID):
			failing = append(failing, m.ID)
		default:
			peers = append(peers, m.ID)
		}
	}
	if len(peers) == 0 {
		peers = failing
	}
	if len(peers) > 0 {
		to := peers[c.rand.IntN(len(peers))]
		c.call(to, &call{Call: Call{Sync: &Sync{Digests: digests(c.table)}}, ownDigest: c.table.Digest(), retries: retries - 1})
	}
}

func (c *Core) failedRecently(id registry.NodeID) bool {
	at, ok := c.lastFailure[id]
	return ok && c.now.Sub(at) < failedPeerPenalty
}

// syncAfterDigestTimeout syncs with a random peer if no digest has arrived in time.
func (c *Core) syncAfterDigestTimeout() {
	if !c.confirmed.Load() || c.now.Before(c.digestDeadline) {
		return
	}
	if !c.digestDeadline.IsZero() {
		c.retrySync("", syncRetries)
	}
	c.resetDigestTimeout()
}

func (c *Core) resetDigestTimeout() {
	c.digestDeadline = c.now.Add(minDigestTimeout + c.jitter(maxDigestTimeout-minDigestTimeout))
}

// handleSyncReply processes the differences to a peer. Versions that are newer on the peer
// are pulled, and the peer is notified of versions that are newer on this node.
func (c *Core) handleSyncReply(cl *call, r *SyncReply) {
	peerVersions := map[string]Version{}
	wanted := 0
	for _, v := range r.Versions {
		peerVersions[v.Service] = v
		if c.accepts(v) {
			wanted++
			c.addWanted(v, cl.To, cl.retries)
		} else if p := c.table.Get(v.Service); p != nil && p.Epoch == v.Epoch && p.Hash != v.Hash {
			c.reportRefusal(v.Service, v.Epoch, v.Hash, "another text has the same epoch", "peer "+string(cl.To))
		}
	}
	notified := 0
	for _, p := range c.table.All() {
		if notified < maxSyncNotifications && r.Differs[bucket(p.Service)] && p.Epoch > peerVersions[p.Service].Epoch {
			notified++
			c.notify(cl.To, Version{p.Service, p.Epoch, p.Hash})
		}
	}
	// While the node starts, the reply to any sync counts for its startup.
	c.recordStartupReply(cl.To, r)
	if cl.startup {
		return
	}
	if wanted == 0 && cl.peerDigest != 0 {
		suppression := idleSyncSuppression
		if notified > 0 {
			suppression = syncSuppression
		}
		c.comparisons[cl.To] = comparison{peerDigest: cl.peerDigest, ownDigest: cl.ownDigest, until: c.now.Add(suppression)}
	}
}
