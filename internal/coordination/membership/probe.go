package membership

import (
	"time"

	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// probe is the probe in flight.
type probe struct {
	number   uint64
	target   registry.NodeID
	sent     time.Time
	indirect bool
}

// relay is a ping that was sent on behalf of another node.
type relay struct {
	origin  Peer
	number  uint64
	target  registry.NodeID
	expires time.Time
}

// tickProbe handles timeouts of the probe in flight and starts the next probe.
func (c *Core) tickProbe() {
	if p := c.probe; p != nil {
		m := c.members[p.target]
		switch {
		case m == nil || m.node.Status == registry.Dead:
			c.probe = nil
		case c.now.Sub(p.sent) >= c.opts.ProbeInterval:
			c.probe = nil
			c.probeFailed(m)
		case !p.indirect && c.now.Sub(p.sent) >= c.opts.AckTimeout:
			p.indirect = true
			c.ready.UnansweredProbes++
			c.probeIndirectly(p, m, c.opts.IndirectProbes)
		}
	}
	for number, r := range c.relays {
		if c.now.After(r.expires) {
			delete(c.relays, number)
		}
	}
	c.expireExtraProbes()
	if c.now.Before(c.nextProbe) {
		return
	}
	c.nextProbe = c.nextProbe.Add(c.opts.ProbeInterval)
	if c.nextProbe.Before(c.now) {
		c.nextProbe = c.now.Add(c.opts.ProbeInterval)
	}
	if c.probe != nil {
		return
	}
	m := c.nextTarget()
	if m == nil {
		return
	}
	c.probeCounter++
	if c.ping(m.peer(), m, c.probeCounter) {
		c.probe = &probe{number: c.probeCounter, target: m.node.ID, sent: c.now}
	}
}

// joinSuspicion makes the local node, whose own probe of a suspect failed, one of those
// that probe it again and declare it dead at the end of the suspicion timeout.
func (c *Core) joinSuspicion(m *member) {
	m.nextReprobe = c.now.Add(c.opts.ProbeInterval)
	if end := c.now.Add(c.opts.SuspicionTimeout); end.Before(m.suspectUntil) {
		m.suspectUntil = end
	}
}

// extraProbe is a probe outside the probe round, of a member that the local node
// suspects or that was reported dead.
type extraProbe struct {
	target        registry.NodeID
	sent, expires time.Time
	// reportedDead is set if the member was reported dead. indirect is set once
	// indirect probes were sent for such a member.
	reportedDead, indirect bool
}

// reprobeSuspect probes a suspect again, directly and through other members. The
// local node may have missed an earlier refutation. Other nodes then ignore its
// suspicion, so that no new refutation follows. Only a node whose own probe failed
// probes again, so a dead member causes few of these probes.
//
// For the same reason every node gossips a suspicion again halfway to its end. A
// peer that knows of a refutation responds with it.
func (c *Core) reprobeSuspect(m *member) {
	if !m.regossiped && c.budget.available(c.opts.BurstBytes/2) > 0 && m.suspectUntil.Sub(c.now) < c.opts.SuspicionTimeout/2 && !c.opts.Disabled.SuspectReprobes {
		m.regossiped = true
		c.queue.requeue(m.node.ID, c.opts.Fanout)
	}
	if m.nextReprobe.IsZero() || c.now.Before(m.nextReprobe) || c.opts.Disabled.SuspectReprobes {
		return
	}
	m.nextReprobe = c.now.Add(c.opts.ProbeInterval)
	c.probeCounter++
	c.extraProbes[c.probeCounter] = extraProbe{target: m.node.ID, expires: c.now.Add(c.opts.ProbeInterval)}
	c.ping(m.peer(), m, c.probeCounter)
	// Twice the usual number of indirect probes, because the member is declared dead
	// if they fail. The traffic is small, because few nodes send them.
	c.probeIndirectly(&probe{number: c.probeCounter}, m, 2*c.opts.IndirectProbes)
}

// extendSuspicion restarts the suspicion timeout of a suspect that has sent an ack or
// another message, because a reachable suspect will refute the suspicion.
func (c *Core) extendSuspicion(m *member, incarnation uint64) {
	if m.node.Status == registry.Suspect && incarnation >= m.node.Incarnation && !c.opts.Disabled.SuspectReprobes {
		m.suspectSince = c.now
		m.suspectUntil = c.suspicionEnd(m)
	}
}

// nextTarget returns the next member of the shuffled probe round.
func (c *Core) nextTarget() *member {
	for pass := 0; pass < 2; pass++ {
		for len(c.round) > 0 {
			id := c.round[len(c.round)-1]
			c.round = c.round[:len(c.round)-1]
			if m := c.members[id]; m != nil && m != c.self && m.node.Status != registry.Dead {
				return m
			}
		}
		c.buildRound()
		c.rand.Shuffle(len(c.round), func(i, j int) { c.round[i], c.round[j] = c.round[j], c.round[i] })
	}
	return nil
}

// buildRound lists the members of the next probe round.
func (c *Core) buildRound() {
	var others []registry.NodeID
	for _, m := range c.live {
		if c.opts.PreferLocalDomain && m.node.FailureDomain != c.self.node.FailureDomain {
			others = append(others, m.node.ID)
			continue
		}
		c.round = append(c.round, m.node.ID)
	}
	// One member in probesPerRemoteProbe, and at least one, is of another failure
	// domain. All are if the local domain has no other member.
	extra := len(others)
	if len(c.round) > 0 {
		extra = min(extra, (len(c.round)+probesPerRemoteProbe-2)/(probesPerRemoteProbe-1))
	}
	c.rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	c.round = append(c.round, others[:extra]...)
}

// ping sends a ping. m is nil if the member at the address is not known.
func (c *Core) ping(to Peer, m *member, number uint64) bool {
	msg := c.message(Ping)
	msg.Probe = number
	msg.Target = to.ID
	if m != nil {
		msg.TargetIncarnation = m.node.Incarnation
	}
	return c.send(to, msg, 0)
}

func (c *Core) probeIndirectly(p *probe, m *member, k int) {
	if c.opts.Disabled.IndirectProbes {
		return
	}
	for _, via := range c.randomLive(k, m.node.ID) {
		msg := c.message(PingRequest)
		msg.Probe = p.number
		msg.Target, msg.TargetAddr, msg.TargetIncarnation = m.node.ID, m.node.PeerAddr, m.node.Incarnation
		c.send(via.peer(), msg, 0)
	}
}

// probeFailed handles a member that answered neither directly nor indirectly.
func (c *Core) probeFailed(m *member) {
	switch m.node.Status {
	case registry.Alive:
		c.suspect(m, "no ack, direct or indirect")
		c.joinSuspicion(m)
	case registry.Suspect:
		if m.nextReprobe.IsZero() {
			c.joinSuspicion(m)
		}
	case registry.Leaving:
		// A leaving member is not expected to answer again, so it is declared dead
		// without a suspicion.
		c.declareDead(m, "left")
	}
}

// tickDeadProbe periodically pings a random dead member or a seed at whose address no
// live member is known.
func (c *Core) tickDeadProbe() {
	if c.now.Before(c.nextDead) || c.opts.Disabled.DeadProbes {
		return
	}
	c.nextDead = c.now.Add(c.opts.DeadProbeInterval/2 + c.jitter(c.opts.DeadProbeInterval))
	var seeds []string
	for _, s := range c.opts.Seeds {
		if !c.liveAt(s) {
			seeds = append(seeds, s)
		}
	}
	dead := c.sortedDead()
	n := len(dead) + len(seeds)
	if n == 0 {
		return
	}
	c.probeCounter++
	pick := c.rand.IntN(n)
	if pick < len(seeds) {
		c.ping(Peer{Addr: seeds[pick]}, nil, c.probeCounter)
		return
	}
	// A member stored by addTombstone has no address.
	if m := dead[pick-len(seeds)]; m.node.PeerAddr != "" {
		c.ping(m.peer(), m, c.probeCounter)
	}
}

func (c *Core) liveAt(addr string) bool {
	for _, m := range c.live {
		if m.node.PeerAddr == addr {
			return true
		}
	}
	return false
}

// receivePing answers a ping.
func (c *Core) receivePing(from Peer, msg *Message) {
	if msg.Target != "" && msg.Target != c.self.node.ID {
		// The address now belongs to this node. An ack would keep the previous node
		// alive at the sender.
		return
	}
	ack := c.message(Ack)
	ack.Probe = msg.Probe
	c.send(from, ack, 0)
	if msg.TargetIncarnation > c.self.node.Incarnation {
		c.applyVersion(from, Version{
			ID: c.self.node.ID, Incarnation: msg.TargetIncarnation, Status: registry.Alive,
		})
	}
}

// receivePingRequest pings the target on behalf of the sender.
func (c *Core) receivePingRequest(from Peer, msg *Message) {
	m := c.members[msg.Target]
	if msg.Target == c.self.node.ID || msg.TargetAddr == "" {
		return
	}
	if m != nil && m.node.Incarnation > msg.TargetIncarnation && msg.TargetIncarnation != 0 {
		reply := c.message(Gossip)
		reply.Versions = []Version{m.version()}
		c.send(from, reply, reserveUrgent)
	}
	c.probeCounter++
	c.relays[c.probeCounter] = relay{
		origin: from, number: msg.Probe, target: msg.Target, expires: c.now.Add(c.opts.ProbeInterval),
	}
	c.ping(Peer{ID: msg.Target, Addr: msg.TargetAddr}, m, c.probeCounter)
}

// receiveAck relays an ack to the node that requested the ping, or ends the probe or
// extra probe that it answers.
func (c *Core) receiveAck(from Peer, msg *Message) {
	if r, ok := c.relays[msg.Probe]; ok && r.target == msg.From {
		delete(c.relays, msg.Probe)
		ack := c.message(Ack)
		ack.Probe, ack.Target, ack.TargetIncarnation = r.number, msg.From, msg.FromIncarnation
		c.send(r.origin, ack, 0)
		return
	}
	id, incarnation := msg.From, msg.FromIncarnation
	if msg.Target != "" {
		id, incarnation = msg.Target, msg.TargetIncarnation
	}
	if p, ok := c.extraProbes[msg.Probe]; ok && p.target == id {
		delete(c.extraProbes, msg.Probe)
		if m := c.members[id]; m != nil {
			c.extendSuspicion(m, incarnation)
			if incarnation > m.node.Incarnation {
				c.requestRecord(from, id)
			}
		}
		return
	}
	p := c.probe
	if p == nil || p.number != msg.Probe {
		return
	}
	m := c.members[p.target]
	if id != p.target || m == nil {
		return
	}
	if incarnation < m.node.Incarnation && !c.opts.Disabled.IncarnationOrder {
		// An ack of a replaced process does not show that the current one runs.
		c.stats.StaleIncarnations++
		return
	}
	c.probe = nil
}
