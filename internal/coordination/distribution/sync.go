package distribution

import (
	"maps"
	"slices"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/registry"
)

type mismatch struct {
	digest uint64
	due    time.Time
}

type comparison struct {
	theirs, mine uint64
	until        time.Time
}

// heardDigest schedules a sync with a peer whose table differs.
func (c *Core) heardDigest(d PeerDigest) {
	if c.o.Disabled.AntiEntropy || c.domain[d.From] == "" {
		return
	}
	c.heardSomething()
	c.heardOf[d.From] = c.now
	if d.Digest == c.table.Digest() {
		delete(c.mismatches, d.From)
		return
	}
	m, waiting := c.mismatches[d.From]
	if !waiting {
		m.due = c.now.Add(c.jitter(syncDelay))
	}
	m.digest = d.Digest
	c.mismatches[d.From] = m
}

func (c *Core) syncMismatches() {
	active := 0
	for _, cl := range c.calls {
		if cl.Sync != nil && !cl.starting {
			active++
		}
	}
	mine := c.table.Digest()
	for _, id := range slices.Sorted(maps.Keys(c.mismatches)) {
		m := c.mismatches[id]
		if c.now.Before(m.due) {
			continue
		}
		last := c.compared[id]
		if m.digest == mine || (last.theirs == m.digest && last.mine == mine && c.now.Before(last.until)) {
			delete(c.mismatches, id)
			continue
		}
		if active >= maxSyncs {
			m.due = c.now.Add(syncDelay)
			c.mismatches[id] = m
			continue
		}
		active++
		delete(c.mismatches, id)
		c.call(id, &call{Call: Call{Sync: &Sync{Digests: digests(c.table)}}, theirs: m.digest, mine: mine, retries: syncRetries})
	}
}

// retrySync asks another peer after a call failed. The failed peer showed that
// there is something to learn, but any other peer may know it too.
func (c *Core) retrySync(failed registry.NodeID, retries int) {
	if retries == 0 || c.o.Disabled.AntiEntropy {
		return
	}
	var peers, failing []registry.NodeID
	for _, m := range c.members {
		switch {
		case m.ID == c.o.Self || m.ID == failed:
		case c.failedLately(m.ID):
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
		c.call(to, &call{Call: Call{Sync: &Sync{Digests: digests(c.table)}}, mine: c.table.Digest(), retries: retries - 1})
	}
}

func (c *Core) failedLately(id registry.NodeID) bool {
	at, ok := c.failures[id]
	return ok && c.now.Sub(at) < failureMemory
}

// syncWhenQuiet syncs with a random peer if no digest arrives.
func (c *Core) syncWhenQuiet() {
	if !c.confirmed.Load() || c.now.Before(c.quietAt) {
		return
	}
	if !c.quietAt.IsZero() {
		c.retrySync("", syncRetries)
	}
	c.heardSomething()
}

func (c *Core) heardSomething() {
	c.quietAt = c.now.Add(quietLow + c.jitter(quietHigh-quietLow))
}

// synced takes in the difference to a peer: it wants what the peer has newer
// and reports to the peer what it has newer itself.
func (c *Core) synced(cl *call, r *SyncReply) {
	theirs := map[string]Version{}
	wanted := 0
	for _, h := range r.Versions {
		theirs[h.Service] = h
		if c.missing(h) {
			wanted++
			c.want(h, cl.To, cl.retries)
		} else if p := c.table.Get(h.Service); p != nil && p.Epoch == h.Epoch && p.Hash != h.Hash {
			c.refusal(h.Service, h.Epoch, h.Hash, "another text has the same epoch", "peer "+string(cl.To))
		}
	}
	told := 0
	for _, p := range c.table.All() {
		if told < maxPushback && r.Differs[bucket(p.Service)] && p.Epoch > theirs[p.Service].Epoch {
			told++
			c.notify(cl.To, Version{p.Service, p.Epoch, p.Hash})
		}
	}
	// While the node starts, every peer that it syncs with is evidence.
	c.startReply(cl.To, r)
	if cl.starting {
		return
	}
	if wanted == 0 && cl.theirs != 0 {
		memory := idleSyncMemory
		if told > 0 {
			memory = syncMemory
		}
		c.compared[cl.To] = comparison{theirs: cl.theirs, mine: cl.mine, until: c.now.Add(memory)}
	}
}
