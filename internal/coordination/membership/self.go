package membership

import (
	"time"

	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// UpdateSelf publishes a new record of the local node. The core sets id,
// incarnation, sequence and status. Changes within publishInterval are published
// together.
func (c *Core) UpdateSelf(now time.Time, n registry.Node) {
	c.observe(now)
	c.pendingSelf = &n
	c.publishPending()
}

func (c *Core) publishPending() {
	if c.pendingSelf == nil || c.now.Sub(c.selfPublished) < publishInterval {
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
	if c.leaving {
		return
	}
	c.leaving = true
	c.self.node.Status = registry.Leaving
	c.reindex(c.self)
	c.change(StatusChanged, c.self)
	c.event(EventLeaving, c.self, "planned stop")
	c.queue.add(c.self.node.ID, true)
	c.gossipFresh()
}

// applySelfVersion handles a version of the local node that another node sent.
func (c *Core) applySelfVersion(from Peer, v Version) {
	self := &c.self.node
	switch {
	case v.Incarnation < self.Incarnation:
		c.addCorrection(c.self, v)
	case v.Incarnation > self.Incarnation && c.joined && v.Status <= registry.Suspect:
		// Only the full record shows whether a newer process has the id of the local
		// node.
		c.requestRecord(from, self.ID)
	case v.Incarnation > self.Incarnation:
		c.refuteEarlierProcess(v.Incarnation, "heard of a later incarnation of itself")
	case v.Status == registry.Alive, c.leaving:
	default:
		c.refute(v.Incarnation, "reported as not alive")
	}
}

// applySelfRecord handles a full record with the id of the local node. A record
// with a higher incarnation comes from one of two processes:
//   - An earlier process of this node whose clock was ahead. A starting node raises
//     its incarnation above it.
//   - A newer process at another address. This process then stops, because only the
//     newest process may publish records under the id.
func (c *Core) applySelfRecord(n *registry.Node) {
	self := &c.self.node
	delete(c.recordRequests, self.ID)
	if n.Incarnation < self.Incarnation {
		return
	}
	other := n.PeerAddr != self.PeerAddr
	if n.Incarnation == self.Incarnation {
		switch {
		case other && n.PeerAddr > self.PeerAddr && c.joined:
			c.markSuperseded(n)
		case other || n.Sequence > self.Sequence:
			c.refuteEarlierProcess(n.Incarnation, "another process has the same incarnation")
		case n.Status != registry.Alive && !c.leaving:
			c.refute(n.Incarnation, "reported as not alive")
		}
		return
	}
	if c.joined && other && n.Status <= registry.Suspect {
		c.markSuperseded(n)
		return
	}
	c.refuteEarlierProcess(n.Incarnation, "heard of a later incarnation of itself")
}

func (c *Core) markSuperseded(n *registry.Node) {
	if c.opts.Disabled.IncarnationOrder {
		return
	}
	c.superseded = true
	c.event(EventSuperseded, c.self, "a newer process runs at "+n.PeerAddr)
}

// refuteEarlierProcess raises the incarnation above that of an earlier process of the local
// node, to which all lower ones may belong.
func (c *Core) refuteEarlierProcess(reported uint64, reason string) {
	if c.refute(reported, reason) {
		c.own.reset(c.self.node.Incarnation)
	}
}

// refute raises the incarnation of the local node above reported and publishes it, unless that
// is disabled.
func (c *Core) refute(reported uint64, reason string) bool {
	if c.opts.Disabled.Refutation {
		return false
	}
	c.self.node.Incarnation = c.incarnationAbove(reported)
	c.own.add(c.self.node.Incarnation)
	c.stats.Refutations++
	c.reindex(c.self)
	c.change(Stored, c.self)
	c.event(EventRefuted, c.self, reason)
	c.queue.add(c.self.node.ID, true)
	return true
}
