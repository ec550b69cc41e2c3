package distribution

import "time"

const (
	// takeOverPeers is the number of peers that a watcher asks to watch the platform after
	// a failed request. With 24 watchers, an outage that affects all of them causes 96
	// additional calls in each retry interval.
	takeOverPeers = 4
	// takeOverDuration is how long a peer watches after a request. Another request extends
	// it.
	takeOverDuration = 3 * time.Second
	// probeFailureWatchers divided by the number of members is the probability that a node
	// watches the platform after a probe without an ack. In a small fleet all nodes do; of
	// 2,100 nodes, four start per second while a failure domain is lost.
	probeFailureWatchers = 48
	// maxRevisionAge is the age up to which a platform revision is used as the start of a
	// watch. It is less than the time for which the platform keeps its history.
	maxRevisionAge = 10 * time.Second
)

// isWatching reports whether the node watches the platform, either as a watcher of its
// failure domain or in place of others.
func (c *Core) isWatching() bool { return c.watch.watcher || c.now.Before(c.watch.takeOverUntil) }

// requestTakeOver asks random members to watch the platform, because it may reply to them
// even though it does not reply to this node.
func (c *Core) requestTakeOver() {
	w := &c.watch
	if !w.watcher {
		// A node that watches in place of others and fails gives up.
		w.takeOverUntil = time.Time{}
		return
	}
	if !c.ready {
		return
	}
	requested := 0
	for _, i := range c.rand.Perm(len(c.members)) {
		if requested == takeOverPeers {
			break
		}
		if id := c.members[i].ID; id != c.opts.Self {
			requested++
			c.call(id, &call{Call: Call{TakeOver: &TakeOver{Revision: w.revision}}})
		}
	}
}

// takeOver starts or extends a watch in place of a peer.
func (c *Core) takeOver(t TakeOver) {
	w := &c.watch
	if w.watcher || !c.confirmed.Load() || c.opts.Disabled.TakeOver {
		return
	}
	if !c.isWatching() {
		// The changes before that revision may be unknown to this node.
		w.listed, w.revision, w.retryAt, w.newest = t.Revision > 0, t.Revision, c.now, Version{}
	}
	w.takeOverUntil = c.now.Add(takeOverDuration)
}

// watchAfterFailedProbe may start to watch the platform after a probe without an ack. The
// watchers may have failed too, and they are replaced only seconds later, when membership
// has detected that.
func (c *Core) watchAfterFailedProbe() {
	w := &c.watch
	if c.rand.Float64()*float64(len(c.members)) >= probeFailureWatchers {
		return
	}
	var t TakeOver
	if c.now.Sub(w.lastReply) < maxRevisionAge {
		t.Revision = w.revision
	}
	c.takeOver(t)
}
