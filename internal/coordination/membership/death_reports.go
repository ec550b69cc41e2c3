package membership

import (
	"time"

	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// reportProbeInterval is the time between two probes of members that were reported
// dead while they are alive here. After a partition these are all members on the
// same side as the local node. Every node on that side has the same list, so a few
// probes per second from each node reach all of them.
const reportProbeInterval = 200 * time.Millisecond

// queueDeathReport queues a member that was reported dead while it is alive here.
func (c *Core) queueDeathReport(m *member) {
	if m.reportedIncarnation == m.node.Incarnation {
		return
	}
	m.reportedIncarnation = m.node.Incarnation
	c.deathReports = append(c.deathReports, m)
}

// tickDeathReports probes a random one of the members that were reported dead. The
// ping carries the report, so that the member refutes it. A member that does not
// answer is declared dead by expireExtraProbes.
func (c *Core) tickDeathReports() {
	if len(c.deathReports) == 0 || c.now.Before(c.nextReportProbe) {
		return
	}
	for len(c.deathReports) > 0 {
		last := len(c.deathReports) - 1
		i := c.rand.IntN(len(c.deathReports))
		m := c.deathReports[i]
		if m.node.Status == registry.Alive && m.reportedIncarnation == m.node.Incarnation {
			if c.budget.available(reserveNormal) == 0 {
				return
			}
			c.nextReportProbe = c.now.Add(reportProbeInterval)
			c.pingReportedDead(m)
		}
		c.deathReports[i], c.deathReports[last] = c.deathReports[last], nil
		c.deathReports = c.deathReports[:last]
		if c.now.Before(c.nextReportProbe) {
			return
		}
	}
}

func (c *Core) pingReportedDead(m *member) {
	c.probeCounter++
	msg := c.message(Ping)
	msg.Probe, msg.Target, msg.TargetIncarnation = c.probeCounter, m.node.ID, m.node.Incarnation
	msg.Versions = []Version{{
		ID: m.node.ID, Incarnation: m.node.Incarnation, Sequence: m.node.Sequence, Status: registry.Dead,
	}}
	if c.send(m.peer(), msg, 0) {
		c.extraProbes[c.probeCounter] = extraProbe{
			target: m.node.ID, expires: c.now.Add(c.opts.ProbeInterval), sent: c.now, reportedDead: true,
		}
	}
}

// expireExtraProbes handles extra probes without an ack. A member that was reported
// dead gets indirect probes before it is declared dead.
func (c *Core) expireExtraProbes() {
	for number, p := range c.extraProbes {
		m := c.members[p.target]
		if p.reportedDead && !p.indirect && m != nil && c.now.Sub(p.sent) >= c.opts.AckTimeout {
			p.indirect = true
			c.extraProbes[number] = p
			c.lateProbes = append(c.lateProbes, number)
		}
		if !c.now.After(p.expires) {
			continue
		}
		delete(c.extraProbes, number)
		if p.reportedDead && m != nil && m.node.Status == registry.Alive {
			c.unresponsive = append(c.unresponsive, m)
		}
	}
	// Messages are sent in the order of the probe numbers, so that runs are
	// reproducible.
	sortNumbers(c.lateProbes)
	for _, number := range c.lateProbes {
		if m := c.members[c.extraProbes[number].target]; m != nil {
			c.probeIndirectly(&probe{number: number}, m, c.opts.IndirectProbes)
		}
	}
	c.lateProbes = c.lateProbes[:0]
	sortMembers(c.unresponsive)
	for _, m := range c.unresponsive {
		// Another node suspected the member for the whole timeout, and the member does
		// not answer this node either.
		c.declareDead(m, "reported dead by another member and no ack")
	}
	c.unresponsive = c.unresponsive[:0]
}
