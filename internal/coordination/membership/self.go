package membership

import "wigeonspring.example/wigeonspring/internal/state/registry"

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
