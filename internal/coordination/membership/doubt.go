package membership

import (
	"time"

	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// doubtInterval is the time between two probes of members that were reported
// dead while they are alive here. After a partition there are as many of them as
// members on the own side, and every node has the same list, so a few probes a
// second by each node reach all of them.
const doubtInterval = 200 * time.Millisecond

// doubt notes that a member that is alive here was reported dead.
func (c *Core) doubt(m *member) {
	if m.doubted == m.node.Incarnation {
		return
	}
	m.doubted = m.node.Incarnation
	c.doubts = append(c.doubts, m)
}

// tickDoubts probes one doubted member. The ping tells it of the report, so that
// it refutes; a member that does not answer is suspected.
func (c *Core) tickDoubts() {
	if len(c.doubts) == 0 || c.now.Before(c.nextDoubt) {
		return
	}
	for len(c.doubts) > 0 {
		last := len(c.doubts) - 1
		i := c.rand.IntN(len(c.doubts))
		m := c.doubts[i]
		if m.node.Status == registry.Alive && m.doubted == m.node.Incarnation {
			if c.budget.available(reserveNormal) == 0 {
				return
			}
			c.nextDoubt = c.now.Add(doubtInterval)
			c.pingDoubted(m)
		}
		c.doubts[i], c.doubts[last] = c.doubts[last], nil
		c.doubts = c.doubts[:last]
		if c.now.Before(c.nextDoubt) {
			return
		}
	}
}

func (c *Core) pingDoubted(m *member) {
	c.probeCounter++
	msg := c.message(Ping)
	msg.Probe, msg.Target, msg.TargetIncarnation = c.probeCounter, m.node.ID, m.node.Incarnation
	msg.Versions = []Version{{
		ID: m.node.ID, Incarnation: m.node.Incarnation, Sequence: m.node.Sequence, Status: registry.Dead,
	}}
	if c.send(m.peer(), msg, 0) {
		c.checks[c.probeCounter] = check{
			target: m.node.ID, expires: c.now.Add(c.opts.ProbeInterval), sent: c.now, doubted: true,
		}
	}
}

// expireChecks ends checks without an answer. A doubted member gets indirect
// probes like any other member before it is suspected.
func (c *Core) expireChecks() {
	for number, k := range c.checks {
		m := c.members[k.target]
		if k.doubted && !k.indirect && m != nil && c.now.Sub(k.sent) >= c.opts.AckTimeout {
			k.indirect = true
			c.checks[number] = k
			c.lateChecks = append(c.lateChecks, number)
		}
		if !c.now.After(k.expires) {
			continue
		}
		delete(c.checks, number)
		if k.doubted && m != nil && m.node.Status == registry.Alive {
			c.silent = append(c.silent, m)
		}
	}
	// Messages are sent in the order of the probes, so that a run is reproducible.
	sortNumbers(c.lateChecks)
	for _, number := range c.lateChecks {
		if m := c.members[c.checks[number].target]; m != nil {
			c.probeIndirectly(&probe{number: number}, m, c.opts.IndirectProbes)
		}
	}
	c.lateChecks = c.lateChecks[:0]
	sortMembers(c.silent)
	for _, m := range c.silent {
		// Another node suspected the member for the whole timeout, and it does not
		// answer here either.
		c.declareDead(m, "reported dead by another member and no ack")
	}
	c.silent = c.silent[:0]
}
