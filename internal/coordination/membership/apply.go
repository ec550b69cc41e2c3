package membership

import (
	"time"

	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Receive handles a message that arrived from the address from.
func (c *Core) Receive(now time.Time, from string, msg *Message) {
	c.observe(now)
	if c.superseded || msg.From == "" {
		return
	}
	if msg.From == c.self.node.ID {
		// The message was sent by this process or by another one with the same id.
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
	for _, n := range msg.PolicyNotices {
		c.ready.PolicyNotices = append(c.ready.PolicyNotices, PeerPolicyNotice{Peer: peer, Notice: n})
	}
	stale := c.checkSender(peer, msg)
	if msg.Kind != Ping {
		c.sendCorrections(peer)
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
		c.receiveRecordRequest(peer, msg)
	}
	if !stale && (msg.Kind == Ping || msg.Kind == Ack) {
		c.compareDigests(peer, msg)
	}
}

// sendCorrections sends a peer the newer versions of members that it reported as
// not alive. Without this, a node that missed a refutation would declare the member
// dead after its suspicion, while all others ignore that report as outdated.
func (c *Core) sendCorrections(peer Peer) {
	if len(c.corrections) > 0 {
		c.send(peer, c.message(Gossip), reserveUrgent)
	}
}

// addCorrection records that the sender of the current message has an old version
// of m.
func (c *Core) addCorrection(m *member, v Version) {
	if v.Status != registry.Alive && len(c.corrections) < maxCorrections {
		c.corrections = append(c.corrections, m)
	}
}

// checkSender compares the incarnation of the sender with the known one. It reports
// whether the sender is a process that has been replaced.
func (c *Core) checkSender(peer Peer, msg *Message) bool {
	m := c.members[peer.ID]
	if m != nil {
		c.extendSuspicion(m, msg.FromIncarnation)
	}
	switch {
	case m == nil || msg.FromIncarnation > m.node.Incarnation:
		c.requestRecord(peer, peer.ID)
	case msg.FromIncarnation < m.node.Incarnation:
		c.stats.StaleIncarnations++
		// The newer record is sent to the old process at most once a second.
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

// compareDigests records the policy digest of a peer and whether its directory
// digest differs from the local one. Only a match ends a mismatch. A change of the
// local digest does not, because in a fleet that changes continuously no mismatch
// would then last for MismatchDelay.
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

// supersedes reports whether version (inc, seq) is newer than the version of m.
func supersedes(inc, seq uint64, m *member) bool {
	if inc != m.node.Incarnation {
		return inc > m.node.Incarnation
	}
	return seq > m.node.Sequence
}

// applyRecord handles a full record that a peer sent.
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
		m = &member{node: *n, hash: ContentHash(n), bucket: Bucket(n.ID), liveIndex: -1}
		m.node.Status = registry.Alive
		c.members[n.ID] = m
		delete(c.recordRequests, n.ID)
		c.reindex(m)
		c.change(Stored, m)
		if c.joined {
			// Members received in a fill are already known to other nodes.
			c.event(EventJoined, m, "record received")
			c.queue.add(n.ID, true)
		}
		c.applyStatus(m, n.Status, n.Incarnation)
		return
	}
	revives := n.Incarnation > m.node.Incarnation
	stale := !supersedes(n.Incarnation, n.Sequence, m)
	if c.opts.Disabled.IncarnationOrder {
		stale = n.Incarnation == m.node.Incarnation && n.Sequence <= m.node.Sequence
		revives = true
	}
	if stale || (m.node.Status == registry.Dead && !revives) {
		if !stale || n.Incarnation == m.node.Incarnation {
			c.applyStatus(m, n.Status, n.Incarnation)
		}
		return
	}
	delete(c.recordRequests, n.ID)
	c.store(m, *n, ContentHash(n), revives)
	c.applyStatus(m, n.Status, n.Incarnation)
}

// store replaces the record of a member by a newer one. A newer incarnation makes a
// suspect, leaving or dead member alive. A newer sequence only makes a suspect
// member alive.
func (c *Core) store(m *member, n registry.Node, hash uint64, newIncarnation bool) {
	old := m.node.Status
	n.Status = old
	if newIncarnation || old == registry.Suspect {
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

// applyVersion handles the version of a member that a peer sent.
func (c *Core) applyVersion(from Peer, v Version) {
	if v.ID == c.self.node.ID {
		c.applySelfVersion(from, v)
		return
	}
	m := c.members[v.ID]
	if m == nil {
		if v.Status == registry.Dead {
			c.addTombstone(v)
		} else {
			c.requestRecord(from, v.ID)
		}
		return
	}
	if v.Incarnation < m.node.Incarnation && !c.opts.Disabled.IncarnationOrder {
		c.addCorrection(m, v)
		return
	}
	if v.ContentHash != 0 && supersedes(v.Incarnation, v.Sequence, m) &&
		(m.node.Status != registry.Dead || v.Incarnation > m.node.Incarnation) {
		if v.ContentHash != m.hash {
			c.requestRecord(from, v.ID)
			return
		}
		n := m.node
		n.Incarnation, n.Sequence = v.Incarnation, v.Sequence
		delete(c.recordRequests, v.ID)
		c.store(m, n, m.hash, v.Incarnation > m.node.Incarnation)
	}
	if v.Incarnation > m.node.Incarnation && v.Status != registry.Alive {
		// The status is that of an incarnation whose record has not arrived yet.
		c.requestRecord(from, v.ID)
		return
	}
	if v.Status == registry.Suspect && v.Sequence < m.node.Sequence {
		c.addCorrection(m, v)
		return
	}
	c.applyStatus(m, v.Status, v.Incarnation)
}

// addTombstone stores a dead member without a record, so that an older record of it
// is not taken for a new member.
func (c *Core) addTombstone(v Version) {
	m := &member{
		node: registry.Node{
			ID: v.ID, Incarnation: v.Incarnation, Sequence: v.Sequence, Status: registry.Dead,
		},
		bucket: Bucket(v.ID), liveIndex: -1, deadSince: c.now,
	}
	c.members[v.ID] = m
	c.reindex(m)
}

// applyStatus handles a status that another node reported. It applies only if the
// report is about the current incarnation of the member.
func (c *Core) applyStatus(m *member, status registry.MemberStatus, incarnation uint64) {
	if incarnation != m.node.Incarnation && !c.opts.Disabled.IncarnationOrder {
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

// reportedDead handles a death report about the current incarnation of the member.
// It is accepted if the member is leaving or has been suspected here for about the
// suspicion timeout, which is the usual case. Otherwise the reporter may come from
// the other side of a partition that has healed. An alive member is then probed
// before the report is accepted.
func (c *Core) reportedDead(m *member) {
	const reason = "reported dead by another member"
	switch {
	case c.opts.Disabled.DeathReportProbes || m.node.Status == registry.Leaving:
		c.declareDead(m, reason)
	case m.node.Status == registry.Alive:
		c.queueDeathReport(m)
	default:
		end := m.suspectSince.Add(c.opts.SuspicionTimeout)
		if !c.now.Add(deathReportTolerance).Before(end) {
			c.declareDead(m, reason)
		} else if end.Before(m.suspectUntil) {
			m.suspectUntil = end
		}
	}
}

// suspicionEnd returns when a suspicion that begins now ends. A node whose own probe
// did not fail may have missed the refutation. It leaves the decision to the nodes
// whose probes failed, and waits twice as long in case these nodes die too.
func (c *Core) suspicionEnd(m *member) time.Time {
	if m.nextReprobe.IsZero() && !c.opts.Disabled.SuspectReprobes {
		return c.now.Add(2 * c.opts.SuspicionTimeout)
	}
	return c.now.Add(c.opts.SuspicionTimeout)
}

func (c *Core) suspect(m *member, reason string) {
	m.node.Status = registry.Suspect
	m.nextReprobe, m.regossiped = time.Time{}, false
	m.suspectSince = c.now
	m.suspectUntil = c.suspicionEnd(m)
	if !m.inSuspects {
		m.inSuspects = true
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

// expire ends suspicions and deletes old dead records.
func (c *Core) expire() {
	kept := c.suspects[:0]
	for _, m := range c.suspects {
		switch {
		case m.node.Status != registry.Suspect:
			m.inSuspects = false
		case !c.now.Before(m.suspectUntil):
			m.inSuspects = false
			c.declareDead(m, "suspicion not refuted")
		default:
			c.reprobeSuspect(m)
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
