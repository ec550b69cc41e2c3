package distribution

import "time"

const (
	// takeOverPeers are asked to watch the platform after each call that failed. With 24
	// watchers, an outage for all makes 96 more calls in each pause.
	takeOverPeers = 4
	// takeOverTime is how long a peer watches. Asked again, it goes on.
	takeOverTime = 3 * time.Second
	// doubters in the number of members is the chance that a node watches after a probe
	// that was not answered: all nodes of a small fleet do, and four a second of 2,100 if
	// a failure domain is lost.
	doubters = 48
	// freshRevision is the age up to which a revision of the platform can be watched from;
	// it is below the time for which the platform keeps its history.
	freshRevision = 10 * time.Second
)

// watches reports whether the node watches the platform, as the watcher of its failure
// domain or in place of others.
func (c *Core) watches() bool { return c.source.watcher || c.now.Before(c.source.takenOver) }

// askTakeOver asks members at random to watch the platform, which may answer others
// while it does not answer this node.
func (c *Core) askTakeOver() {
	s := &c.source
	if !s.watcher {
		// A peer that cannot help is not asked for more.
		s.takenOver = time.Time{}
		return
	}
	if !c.ready {
		return
	}
	asked := 0
	for _, i := range c.rand.Perm(len(c.members)) {
		if asked == takeOverPeers {
			break
		}
		if id := c.members[i].ID; id != c.o.Self {
			asked++
			c.call(id, &call{Call: Call{TakeOver: &TakeOver{Revision: s.revision}}})
		}
	}
}

// takeOver watches the platform for a peer.
func (c *Core) takeOver(t TakeOver) {
	s := &c.source
	if s.watcher || !c.confirmed.Load() || c.o.Disabled.TakeOver {
		return
	}
	if !c.watches() {
		s.listed, s.revision, s.retryAt = t.Revision > 0, t.Revision, c.now
	}
	s.takenOver = c.now.Add(takeOverTime)
}

// doubtWatchers watches the platform because a probe was not answered: the watchers may
// be lost too, and are replaced seconds later, when the members know.
func (c *Core) doubtWatchers() {
	s := &c.source
	if c.rand.Float64()*float64(len(c.members)) >= doubters {
		return
	}
	var t TakeOver
	if c.now.Sub(s.seen) < freshRevision {
		t.Revision = s.revision
	}
	c.takeOver(t)
}
