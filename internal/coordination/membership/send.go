package membership

import (
	"cmp"
	"slices"

	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Reserves of the token bucket by class of traffic. Probes and acks may use the
// last byte, because a node that cannot answer is suspected; full records wait
// first, because they can be asked for again. Repeated transmissions of an update
// leave half of the bucket to newer updates: without that, the loss of a failure
// domain uses up the bucket with repetitions.
const (
	reserveUrgent = 1000
	reserveNormal = 1700
	reserveRecord = 2200
)

func (c *Core) message(kind Kind) *Message {
	return &Message{
		Kind:            kind,
		From:            c.self.node.ID,
		FromIncarnation: c.self.node.Incarnation,
	}
}

// send completes a message with digests and piggybacked updates and queues it.
// It returns false if the send budget refused it.
func (c *Core) send(to Peer, msg *Message, reserve int) bool {
	if c.superseded {
		return false
	}
	if msg.Kind == Ping || msg.Kind == Ack {
		msg.PolicyDigest = c.policyDigest
		msg.DirectoryDigest = c.digest
	}
	// A member that is suspect or dead here is told first, so that it can refute.
	if m := c.members[to.ID]; m != nil && m != c.self &&
		(m.node.Status == registry.Suspect || m.node.Status == registry.Dead) {
		msg.Versions = append(msg.Versions, m.version())
	}
	for _, m := range c.outdated {
		if m.node.ID != to.ID {
			msg.Versions = append(msg.Versions, m.version())
		}
	}
	c.outdated = c.outdated[:0]
	size := msg.Size() + headerBytes
	if !c.budget.allow(size, reserve) {
		c.stats.Deferred++
		return false
	}
	c.piggyback(to, msg, size)
	c.ready.Datagrams = append(c.ready.Datagrams, Datagram{To: to, Message: msg})
	return true
}

// piggyback adds queued updates to a message within the limit of the datagram
// and of the send budget.
func (c *Core) piggyback(to Peer, msg *Message, size int) {
	if c.queue.len() == 0 {
		return
	}
	room := min(c.opts.PiggybackBytes, DefaultMaxRecordBytes+headerBytes-size)
	used := 0
	c.queue.take(c.transmitLimit(), func(id registry.NodeID, urgent bool, sent int) bool {
		m := c.members[id]
		if m == nil {
			return true
		}
		if id == to.ID && m != c.self {
			// The receiver knows its own record.
			return false
		}
		reserve := reserveNormal
		switch {
		case sent >= c.opts.Fanout:
			reserve = c.opts.BurstBytes / 2
		case urgent:
			reserve = reserveUrgent
		}
		v := m.version()
		n := versionBytes(&v)
		full := c.opts.Disable.ShortVersions && v.ContentHash != 0
		if full {
			n = RecordBytes(&m.node)
		}
		if used+n > room || !c.budget.allow(n, reserve) {
			return false
		}
		used += n
		if full {
			msg.Records = append(msg.Records, m.node)
		} else {
			msg.Versions = append(msg.Versions, v)
		}
		return true
	})
}

// gossipFresh sends updates that are new here to a few random members at once.
// Waiting for the next probe would cost up to a second per hop.
func (c *Core) gossipFresh() {
	if c.opts.Disable.EagerGossip || !c.queue.fresh(c.opts.Fanout) {
		return
	}
	for _, m := range c.gossipTargets() {
		if c.budget.available(reserveUrgent) < 200 {
			return
		}
		c.send(m.peer(), c.message(Gossip), reserveUrgent)
	}
}

// gossipTargets returns the members that a fresh update is sent to.
func (c *Core) gossipTargets() []*member {
	if !c.opts.PreferLocalDomain {
		return c.randomLive(c.opts.Fanout, "")
	}
	targets := c.randomLive(1, "")
	near := slices.DeleteFunc(c.near(), func(m *member) bool { return contains(targets, m) })
	c.rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	return append(targets, near[:min(len(near), c.opts.Fanout-1)]...)
}

// near returns the members of the own failure domain that are alive.
func (c *Core) near() []*member {
	var near []*member
	for _, m := range c.live {
		if m.node.Status == registry.Alive && m.node.FailureDomain == c.self.node.FailureDomain {
			near = append(near, m)
		}
	}
	return near
}

// wantRecord asks a peer for the full record of a member.
func (c *Core) wantRecord(from Peer, id registry.NodeID) {
	w := c.wants[id]
	if w == nil {
		w = &want{}
		c.wants[id] = w
	}
	w.from = from
	if w.tries > 0 && c.now.Sub(w.asked) < wantRetry {
		return
	}
	c.askRecord(id, w)
}

func (c *Core) askRecord(id registry.NodeID, w *want) {
	w.asked = c.now
	w.tries++
	msg := c.message(Gossip)
	msg.Want = []registry.NodeID{id}
	c.send(w.from, msg, reserveUrgent)
}

// tickWants repeats requests for records that did not arrive.
func (c *Core) tickWants() {
	if len(c.wants) == 0 {
		return
	}
	var late []registry.NodeID
	for id, w := range c.wants {
		if c.now.Sub(w.asked) >= wantRetry {
			late = append(late, id)
		}
	}
	slices.Sort(late)
	for _, id := range late {
		w := c.wants[id]
		if w.tries >= 4 {
			// The next version heard or the next sync asks again.
			delete(c.wants, id)
			continue
		}
		c.askRecord(id, w)
	}
}

// receiveWant answers a request for full records.
func (c *Core) receiveWant(from Peer, msg *Message) {
	for _, id := range msg.Want {
		m := c.members[id]
		if m == nil || m.node.Status == registry.Dead {
			continue
		}
		c.sendRecord(from, m)
	}
}

// sortedDead lists the dead members in a reproducible order.
func (c *Core) sortedDead() []*member {
	out := make([]*member, 0, len(c.dead))
	for _, m := range c.dead {
		out = append(out, m)
	}
	sortMembers(out)
	return out
}

func sortMembers(list []*member) {
	slices.SortFunc(list, func(a, b *member) int { return cmp.Compare(a.node.ID, b.node.ID) })
}

func sortNumbers(list []uint64) { slices.Sort(list) }
