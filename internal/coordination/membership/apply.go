package membership

import (
	"time"

	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Receive handles a message from the address from.
func (c *Core) Receive(now time.Time, from string, msg *Message) {
	c.observe(now)
	if c.superseded || msg.From == "" {
		return
	}
	if msg.From == c.self.node.ID {
		// Either our own datagram or another process with our id.
		if msg.FromIncarnation > c.self.node.Incarnation {
			c.applyVersion(Peer{ID: msg.From, Addr: from}, Version{ID: msg.From, Incarnation: msg.FromIncarnation})
		}
		return
	}
	peer := Peer{ID: msg.From, Addr: from}
	for i := range msg.Records {
		c.applyRecord(peer, &msg.Records[i])
	}
	for i := range msg.Parts {
		c.applyPart(peer, &msg.Parts[i])
	}
	for _, v := range msg.Versions {
		c.applyVersion(peer, v)
	}
	for _, h := range msg.PolicyNotices {
		c.ready.PolicyNotices = append(c.ready.PolicyNotices, PeerPolicyNotice{Peer: peer, Notice: h})
	}
	stale := c.checkSender(peer, msg)
	if msg.Kind != Ping {
		c.correct(peer)
	}
	switch msg.Kind {
	case Ping:
		c.receivePing(peer, msg)
	case Ack:
		c.receiveAck(peer, msg)
	case PingRequest:
		c.receivePingRequest(peer, msg)
	}
	if len(msg.Want) > 0 {
		c.receiveWant(peer, msg)
	}
	if !stale && (msg.Kind == Ping || msg.Kind == Ack) {
		c.compareDigests(peer, msg)
	}
}

// correct tells a peer the newer versions of members that it reported as suspect
// or dead. Without this, a node that missed a refutation would declare the member
// dead after its suspicion, while all others ignore that report as outdated.
func (c *Core) correct(peer Peer) {
	if len(c.outdated) > 0 {
		c.send(peer, c.message(Gossip), reserveUrgent)
	}
}

// noteOutdated remembers that the sender of the current message holds an old
// version of m.
func (c *Core) noteOutdated(m *member, v Version) {
	if v.Status != registry.Alive && len(c.outdated) < maxCorrections {
		c.outdated = append(c.outdated, m)
	}
}

// checkSender compares the incarnation of the sender with what is known. It
// reports whether the sender is a process that has been replaced.
func (c *Core) checkSender(peer Peer, msg *Message) bool {
	m := c.members[peer.ID]
	if m != nil {
		c.heardFrom(m, msg.FromIncarnation)
	}
	switch {
	case m == nil || msg.FromIncarnation > m.node.Incarnation:
		c.wantRecord(peer, peer.ID)
	case msg.FromIncarnation < m.node.Incarnation:
		c.stats.StaleIncarnations++
		// The old process is told the newer record, at most once a second.
		if c.now.Sub(m.correctedAt) > time.Second {
			m.correctedAt = c.now
			reply := c.message(Gossip)
			if m.node.Status == registry.Dead {
				reply.Versions = []Version{m.version()}
			} else {
				reply.Records = []registry.Node{m.node}
			}
			c.send(Peer{Addr: peer.Addr}, reply, reserveUrgent)
		}
		return true
	}
	return false
}

// compareDigests notes the policy digest of a peer and whether its directory
// digest differs from ours. Only a match ends a mismatch: in a fleet that changes all
// the time, the own digest changes before a mismatch has lasted.
func (c *Core) compareDigests(peer Peer, msg *Message) {
	if msg.Kind == Ping || msg.Kind == Ack {
		c.ready.PolicyDigests = append(c.ready.PolicyDigests, PolicyDigest{Peer: peer, Digest: msg.PolicyDigest})
	}
	switch {
	case msg.DirectoryDigest == 0:
	case msg.DirectoryDigest == c.digest:
		c.mismatchPeer = Peer{}
	default:
		if c.mismatchPeer.ID == "" {
			c.mismatchSince = c.now
		}
		c.mismatchPeer = peer
		c.equalSyncs = 0
	}
}

// supersedes reports whether version (inc, seq) is newer than that of m.
func supersedes(inc, seq uint64, m *member) bool {
	if inc != m.node.Incarnation {
		return inc > m.node.Incarnation
	}
	return seq > m.node.Sequence
}

// applyRecord takes a full record.
func (c *Core) applyRecord(from Peer, n *registry.Node) {
	if n.ID == c.self.node.ID {
		c.applySelfRecord(n)
		return
	}
	m := c.members[n.ID]
	if m == nil {
		if n.Status == registry.Dead {
			return
		}
		m = &member{node: *n, hash: ContentHash(n), bucket: Bucket(n.ID), index: -1}
		m.node.Status = registry.Alive
		c.members[n.ID] = m
		delete(c.wants, n.ID)
		c.reindex(m)
		c.change(Stored, m)
		if c.joined {
			// The members of a fill are no news to anybody else.
			c.event(EventJoined, m, "record received")
			c.queue.add(n.ID, true)
		}
		c.applyStatus(m, n.Status, n.Incarnation)
		return
	}
	revives := n.Incarnation > m.node.Incarnation
	stale := !supersedes(n.Incarnation, n.Sequence, m)
	if c.opts.Disable.IncarnationOrder {
		stale = n.Incarnation == m.node.Incarnation && n.Sequence <= m.node.Sequence
		revives = true
	}
	if stale || (m.node.Status == registry.Dead && !revives) {
		if !stale || n.Incarnation == m.node.Incarnation {
			c.applyStatus(m, n.Status, n.Incarnation)
		}
		return
	}
	delete(c.wants, n.ID)
	c.store(m, *n, ContentHash(n), revives)
	c.applyStatus(m, n.Status, n.Incarnation)
}

// store replaces the record of a member by a newer one. A newer incarnation
// makes a suspect, leaving or dead member alive; a newer sequence refutes a
// suspicion only.
func (c *Core) store(m *member, n registry.Node, hash uint64, newLife bool) {
	old := m.node.Status
	n.Status = old
	if newLife || old == registry.Suspect {
		n.Status = registry.Alive
	}
	m.node, m.hash = n, hash
	c.reindex(m)
	c.change(Stored, m)
	if old != n.Status {
		c.event(EventRevived, m, "newer version")
	}
	c.queue.add(n.ID, true)
}

// applyVersion takes a short record.
func (c *Core) applyVersion(from Peer, v Version) {
	if v.ID == c.self.node.ID {
		c.applySelfVersion(from, v)
		return
	}
	m := c.members[v.ID]
	if m == nil {
		if v.Status == registry.Dead {
			c.buryUnknown(v)
		} else {
			c.wantRecord(from, v.ID)
		}
		return
	}
	if v.Incarnation < m.node.Incarnation && !c.opts.Disable.IncarnationOrder {
		c.noteOutdated(m, v)
		return
	}
	if v.ContentHash != 0 && supersedes(v.Incarnation, v.Sequence, m) &&
		(m.node.Status != registry.Dead || v.Incarnation > m.node.Incarnation) {
		if v.ContentHash != m.hash {
			c.wantRecord(from, v.ID)
			return
		}
		n := m.node
		n.Incarnation, n.Sequence = v.Incarnation, v.Sequence
		delete(c.wants, v.ID)
		c.store(m, n, m.hash, v.Incarnation > m.node.Incarnation)
	}
	if v.Incarnation > m.node.Incarnation && v.Status != registry.Alive {
		// Status of an incarnation whose record we have not seen yet.
		c.wantRecord(from, v.ID)
		return
	}
	if v.Status == registry.Suspect && v.Sequence < m.node.Sequence {
		c.noteOutdated(m, v)
		return
	}
	c.applyStatus(m, v.Status, v.Incarnation)
}

// buryUnknown remembers the death of a member that was never seen, so that an
// older record of it is not taken as a new member.
func (c *Core) buryUnknown(v Version) {
	m := &member{
		node: registry.Node{
			ID: v.ID, Incarnation: v.Incarnation, Sequence: v.Sequence, Status: registry.Dead,
		},
		bucket: Bucket(v.ID), index: -1, deadSince: c.now,
	}
	c.members[v.ID] = m
	c.reindex(m)
}

// applyStatus takes a status report of another node about the member's current
// incarnation.
func (c *Core) applyStatus(m *member, status registry.MemberStatus, incarnation uint64) {
	if incarnation != m.node.Incarnation && !c.opts.Disable.IncarnationOrder {
		return
	}
	switch {
	case status <= m.node.Status:
	case status == registry.Suspect:
		c.suspect(m, "reported by another member")
	case status == registry.Leaving:
		m.node.Status = registry.Leaving
		c.reindex(m)
		c.change(StatusChanged, m)
		c.event(EventLeaving, m, "announced")
		c.queue.add(m.node.ID, true)
	default:
		c.reportedDead(m)
	}
}

// reportedDead takes a death report about the member's current incarnation. It
// is believed if the member is leaving or has been suspected here for about the
// suspicion timeout, as is usual. Otherwise the reporter may come from the other
// side of a healed partition, and the member is probed before it is suspected.
func (c *Core) reportedDead(m *member) {
	const reason = "reported dead by another member"
	switch {
	case c.opts.Disable.DeadReportChecks || m.node.Status == registry.Leaving:
		c.declareDead(m, reason)
	case m.node.Status == registry.Alive:
		c.doubt(m)
	default:
		end := m.suspectSince.Add(c.opts.SuspicionTimeout)
		if !c.now.Add(suspicionSkew).Before(end) {
			c.declareDead(m, reason)
		} else if end.Before(m.suspectUntil) {
			m.suspectUntil = end
		}
	}
}

// suspicionEnd returns when a suspicion that begins now ends. A node that only
// heard of it leaves the verdict to those whose probes failed and waits twice as
// long, in case that they die too: it may have missed the refutation.
func (c *Core) suspicionEnd(m *member) time.Time {
	if m.nextCheck.IsZero() && !c.opts.Disable.SuspectChecks {
		return c.now.Add(2 * c.opts.SuspicionTimeout)
	}
	return c.now.Add(c.opts.SuspicionTimeout)
}

func (c *Core) suspect(m *member, reason string) {
	m.node.Status = registry.Suspect
	m.nextCheck, m.reminded = time.Time{}, false
	m.suspectSince = c.now
	m.suspectUntil = c.suspicionEnd(m)
	if !m.listed {
		m.listed = true
		c.suspects = append(c.suspects, m)
	}
	c.reindex(m)
	c.change(StatusChanged, m)
	c.event(EventSuspected, m, reason)
	c.queue.add(m.node.ID, true)
}

func (c *Core) declareDead(m *member, reason string) {
	m.node.Status = registry.Dead
	m.deadSince = c.now
	c.reindex(m)
	c.change(StatusChanged, m)
	c.event(EventDead, m, reason)
	c.queue.add(m.node.ID, true)
}

// expire ends suspicions and forgets old dead records.
func (c *Core) expire() {
	kept := c.suspects[:0]
	for _, m := range c.suspects {
		switch {
		case m.node.Status != registry.Suspect:
			m.listed = false
		case !c.now.Before(m.suspectUntil):
			m.listed = false
			c.declareDead(m, "suspicion not refuted")
		default:
			c.checkSuspect(m)
			kept = append(kept, m)
		}
	}
	clear(c.suspects[len(kept):])
	c.suspects = kept
	if c.now.Before(c.nextExpiry) {
		return
	}
	c.nextExpiry = c.now.Add(time.Minute)
	for _, m := range c.sortedDead() {
		if c.now.Sub(m.deadSince) > c.opts.DeadRetention {
			delete(c.dead, m.node.ID)
			delete(c.members, m.node.ID)
			c.queue.remove(m.node.ID)
			c.change(Removed, m)
		}
	}
}
