package membership

import (
	"cmp"
	"slices"

	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Bytes that must stay in the token bucket, by class of traffic. Probes and acks may
// use the whole bucket, because a node that cannot answer is suspected. Full records
// need the largest reserve, because they can be requested again. Repeated
// transmissions of an update leave half of the bucket to newer updates. Otherwise
// the repetitions after the loss of a failure domain would empty the bucket.
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

// send adds digests and piggybacked updates to a message and queues it for sending.
// It returns false if the message exceeds the send budget.
func (c *Core) send(to Peer, msg *Message, reserve int) bool {
	if c.superseded {
		return false
	}
	if msg.Kind == Ping || msg.Kind == Ack {
		msg.PolicyDigest = c.policyDigest
		msg.DirectoryDigest = c.digest
	}
	// A member that is suspect or dead here is informed, so that it can refute.
	if m := c.members[to.ID]; m != nil && m != c.self &&
		(m.node.Status == registry.Suspect || m.node.Status == registry.Dead) {
		msg.Versions = append(msg.Versions, m.version())
	}
	for _, m := range c.corrections {
		if m.node.ID != to.ID {
			msg.Versions = append(msg.Versions, m.version())
		}
	}
	c.corrections = c.corrections[:0]
	size := msg.Size() + headerBytes
	if !c.budget.allow(size, reserve) {
		c.stats.DroppedDatagrams++
		return false
	}
	c.piggyback(to, msg, size)
	c.ready.Datagrams = append(c.ready.Datagrams, Datagram{To: to, Message: msg})
	return true
}

// piggyback adds queued updates to a message within the limits of the datagram and
// of the send budget.
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
		full := c.opts.Disabled.ShortVersions && v.ContentHash != 0
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

// gossipFresh sends new updates to a few random members at once. Waiting for the next
// probe would add up to a second per hop.
func (c *Core) gossipFresh() {
	if c.opts.Disabled.EagerGossip || !c.queue.hasFresh(c.opts.Fanout) {
		return
	}
	for _, m := range c.gossipTargets() {
		if c.budget.available(reserveUrgent) < 200 {
			return
		}
		c.send(m.peer(), c.message(Gossip), reserveUrgent)
	}
}

// gossipTargets returns the members that a new update is sent to.
func (c *Core) gossipTargets() []*member {
	if !c.opts.PreferLocalDomain {
		return c.randomLive(c.opts.Fanout, "")
	}
	targets := c.randomLive(1, "")
	local := slices.DeleteFunc(c.localMembers(), func(m *member) bool { return contains(targets, m) })
	c.rand.Shuffle(len(local), func(i, j int) { local[i], local[j] = local[j], local[i] })
	return append(targets, local[:min(len(local), c.opts.Fanout-1)]...)
}

// localMembers returns the other members of the local failure domain that are alive.
func (c *Core) localMembers() []*member {
	var local []*member
	for _, m := range c.live {
		if m.node.Status == registry.Alive && m.node.FailureDomain == c.self.node.FailureDomain {
			local = append(local, m)
		}
	}
	return local
}

// requestRecord requests the full record of a member from a peer. A request that is
// already pending goes to this peer when it is repeated.
func (c *Core) requestRecord(from Peer, id registry.NodeID) {
	r := c.recordRequests[id]
	if r == nil {
		r = &recordRequest{}
		c.recordRequests[id] = r
	}
	r.from = from
	if r.tries > 0 && c.now.Sub(r.asked) < recordRequestRetry {
		return
	}
	c.sendRecordRequest(id, r)
}

func (c *Core) sendRecordRequest(id registry.NodeID, r *recordRequest) {
	r.asked = c.now
	r.tries++
	msg := c.message(Gossip)
	msg.Want = []registry.NodeID{id}
	c.send(r.from, msg, reserveUrgent)
}

// tickRecordRequests repeats requests for records that did not arrive.
func (c *Core) tickRecordRequests() {
	if len(c.recordRequests) == 0 {
		return
	}
	var late []registry.NodeID
	for id, r := range c.recordRequests {
		if c.now.Sub(r.asked) >= recordRequestRetry {
			late = append(late, id)
		}
	}
	slices.Sort(late)
	for _, id := range late {
		r := c.recordRequests[id]
		if r.tries >= 4 {
			// The next version received or the next sync requests the record again.
			delete(c.recordRequests, id)
			continue
		}
		c.sendRecordRequest(id, r)
	}
}

// receiveRecordRequest sends the full records that a peer has requested.
func (c *Core) receiveRecordRequest(from Peer, msg *Message) {
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
