package membership

import (
	"time"

	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// UpdateSelf publishes a new record of the local node. Id, incarnation,
// sequence and status are kept by the core. Changes that follow each other
// within a second are published together.
func (c *Core) UpdateSelf(now time.Time, n registry.Node) {
	c.observe(now)
	c.pendingSelf = &n
	c.publishPending()
}

func (c *Core) publishPending() {
	if c.pendingSelf == nil || c.now.Sub(c.selfPublished) < selfInterval {
		return
	}
	n, old := *c.pendingSelf, &c.self.node
	c.pendingSelf = nil
	n.ID, n.Incarnation, n.Status = old.ID, old.Incarnation, old.Status
	n.Sequence = old.Sequence
	hash := ContentHash(&n)
	if hash == c.self.hash {
		return
	}
	n.Sequence++
	c.self.node, c.self.hash = n, hash
	c.selfPublished = c.now
	c.reindex(c.self)
	c.change(Stored, c.self)
	c.queue.add(n.ID, true)
}

// Leave announces that the local node is leaving.
func (c *Core) Leave(now time.Time) {
	c.observe(now)
	if c.left {
		return
	}
	c.left = true
	c.self.node.Status = registry.Leaving
	c.reindex(c.self)
	c.change(StatusChanged, c.self)
	c.event(EventLeaving, c.self, "planned stop")
	c.queue.add(c.self.node.ID, true)
	c.gossipFresh()
}

// applySelfVersion takes a short record about the local node.
func (c *Core) applySelfVersion(from Peer, v Version) {
	self := &c.self.node
	switch {
	case v.Incarnation < self.Incarnation:
		c.noteOutdated(c.self, v)
	case v.Incarnation > self.Incarnation && c.joined && v.Status <= registry.Suspect:
		// Only the full record tells whether a newer process has our id.
		c.wantRecord(from, self.ID)
	case v.Incarnation > self.Incarnation:
		c.refute(v.Incarnation, "heard of a later incarnation of itself")
	case v.Status == registry.Alive, c.left:
	default:
		c.refute(v.Incarnation, "reported as not alive")
	}
}

// applySelfRecord takes a full record of the local node's id. A record at a
// later incarnation is either of an earlier life of this node whose clock was
// ahead, which a starting node outbids, or of a newer process at another
// address, to which this process gives way: an old process must not speak for
// the id any more.
func (c *Core) applySelfRecord(n *registry.Node) {
	self := &c.self.node
	delete(c.wants, self.ID)
	if n.Incarnation < self.Incarnation {
		return
	}
	other := n.PeerAddr != self.PeerAddr
	if n.Incarnation == self.Incarnation {
		switch {
		case other && n.PeerAddr > self.PeerAddr && c.joined:
			c.giveWay(n)
		case other || n.Sequence > self.Sequence:
			c.refute(n.Incarnation, "another process has the same incarnation")
		case n.Status != registry.Alive && !c.left:
			c.refute(n.Incarnation, "reported as not alive")
		}
		return
	}
	if c.joined && other && n.Status <= registry.Suspect {
		c.giveWay(n)
		return
	}
	c.refute(n.Incarnation, "heard of a later incarnation of itself")
}

func (c *Core) giveWay(n *registry.Node) {
	if c.opts.Disable.IncarnationOrder {
		return
	}
	c.superseded = true
	c.event(EventSuperseded, c.self, "a newer process runs at "+n.PeerAddr)
}

// refute raises the own incarnation above heard and publishes it.
func (c *Core) refute(heard uint64, reason string) {
	if c.opts.Disable.Refutation {
		return
	}
	c.self.node.Incarnation = heard + 1
	c.stats.Refutations++
	c.reindex(c.self)
	c.change(Stored, c.self)
	c.event(EventRefuted, c.self, reason)
	c.queue.add(c.self.node.ID, true)
}
