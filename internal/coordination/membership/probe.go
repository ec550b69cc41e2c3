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

// tickProbe drives the probe in flight and starts the next one.
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
	c.expireChecks()
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

// ownSuspicion makes the local node one that checks the suspect and declares it
// dead when the suspicion timeout ends.
func (c *Core) ownSuspicion(m *member) {
	m.nextCheck = c.now.Add(c.opts.ProbeInterval)
	if end := c.now.Add(c.opts.SuspicionTimeout); end.Before(m.suspectUntil) {
		m.suspectUntil = end
	}
}

// check is a probe outside the round, of a member that the local node suspects
// or that was reported dead.
type check struct {
	target        registry.NodeID
	sent, expires time.Time
	// doubted is set for a member that was reported dead; indirect once indirect
	// probes were sent for it.
	doubted, indirect bool
}

// checkSuspect probes a suspect again, directly and through other members. The
// local node may have missed an earlier refutation, in which case the others
// ignore its suspicion and nobody refutes it. Only the node whose own probe
// failed does this, so a dead member causes few of these probes.
//
// Every node gossips a suspicion again halfway to its end, for the same reason: a
// peer that knows of a refutation answers with it.
func (c *Core) checkSuspect(m *member) {
	if !m.reminded && c.budget.available(c.opts.BurstBytes/2) > 0 && m.suspectUntil.Sub(c.now) < c.opts.SuspicionTimeout/2 && !c.opts.Disable.SuspectChecks {
		m.reminded = true
		c.queue.remind(m.node.ID, c.opts.Fanout)
	}
	if m.nextCheck.IsZero() || c.now.Before(m.nextCheck) || c.opts.Disable.SuspectChecks {
		return
	}
	m.nextCheck = c.now.Add(c.opts.ProbeInterval)
	c.probeCounter++
	c.checks[c.probeCounter] = check{target: m.node.ID, expires: c.now.Add(c.opts.ProbeInterval)}
	c.ping(m.peer(), m, c.probeCounter)
	// Twice the usual number: this is the last chance to learn better, and few
	// nodes do it.
	c.probeIndirectly(&probe{number: c.probeCounter}, m, 2*c.opts.IndirectProbes)
}

// heardFrom takes an ack or message that shows that a member runs. A suspect
// gets the whole suspicion timeout again, because it has been reached and will
// refute.
func (c *Core) heardFrom(m *member, incarnation uint64) {
	if m.node.Status == registry.Suspect && incarnation >= m.node.Incarnation && !c.opts.Disable.SuspectChecks {
		m.suspectSince = c.now
		m.suspectUntil = c.suspicionEnd(m)
	}
}

// nextTarget returns the next member of the shuffled round.
func (c *Core) nextTarget() *member {
	for pass := 0; pass < 2; pass++ {
		for len(c.round) > 0 {
			id := c.round[len(c.round)-1]
			c.round = c.round[:len(c.round)-1]
			if m := c.members[id]; m != nil && m != c.self && m.node.Status != registry.Dead {
				return m
			}
		}
		c.fillRound()
		c.rand.Shuffle(len(c.round), func(i, j int) { c.round[i], c.round[j] = c.round[j], c.round[i] })
	}
	return nil
}

// fillRound lists the members of the next round.
func (c *Core) fillRound() {
	var others []registry.NodeID
	for _, m := range c.live {
		if c.opts.PreferLocalDomain && m.node.FailureDomain != c.self.node.FailureDomain {
			others = append(others, m.node.ID)
			continue
		}
		c.round = append(c.round, m.node.ID)
	}
	// At least one of each round goes elsewhere, and all if the domain is empty.
	extra := len(others)
	if len(c.round) > 0 {
		extra = min(extra, (len(c.round)+remoteShare-2)/(remoteShare-1))
	}
	c.rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	c.round = append(c.round, others[:extra]...)
}

// ping sends a ping; m is nil if the member behind the address is not known.
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
	if c.opts.Disable.IndirectProbes {
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
		c.ownSuspicion(m)
	case registry.Suspect:
		if m.nextCheck.IsZero() {
			c.ownSuspicion(m)
		}
	case registry.Leaving:
		// A leaving member has no reason to come back, so no suspicion is needed.
		c.declareDead(m, "left")
	}
}

// tickDeadProbe now and then pings a dead member or a seed that is not alive.
func (c *Core) tickDeadProbe() {
	if c.now.Before(c.nextDead) || c.opts.Disable.DeadProbes {
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
	// The address of a member that was only heard of as dead is not known.
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
		// The address now belongs to another node: an ack would keep the old one alive.
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

// receiveAck ends the probe in flight or relays the ack to the node that asked.
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
	if k, ok := c.checks[msg.Probe]; ok && k.target == id {
		delete(c.checks, msg.Probe)
		if m := c.members[id]; m != nil {
			c.heardFrom(m, incarnation)
			if incarnation > m.node.Incarnation {
				c.wantRecord(from, id)
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
	if incarnation < m.node.Incarnation && !c.opts.Disable.IncarnationOrder {
		// An old process of the member is no evidence that the new one runs.
		c.stats.StaleIncarnations++
		return
	}
	c.probe = nil
}
