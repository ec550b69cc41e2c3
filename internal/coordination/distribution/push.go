package distribution

import (
	"maps"
	"slices"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/policy"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// push notifies peers in the failure domain that are not in the list of already notified
// ones, and returns the peers it chose. These are the two neighbors in the order of IDs, so
// that every node is notified by some peer, and random others, so that the version spreads
// fast. A node pushes only versions in force, because the peer pulls the document from it.
func (c *Core) push(v Version, notified []registry.NodeID) []registry.NodeID {
	var peers []registry.NodeID
	for _, m := range c.members { // Sorted by ID.
		if m.FailureDomain == c.opts.FailureDomain && m.ID != c.opts.Self {
			peers = append(peers, m.ID)
		}
	}
	// Rotate the list so that the next neighbor is first and the previous one last.
	next, _ := slices.BinarySearch(peers, c.opts.Self)
	peers = slices.Concat(peers[next:], peers[:next])
	if n := len(peers); n > 2 {
		peers[1], peers[n-1] = peers[n-1], peers[1]
		rest := peers[2:]
		c.rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	}
	peers = slices.DeleteFunc(peers, func(id registry.NodeID) bool { return slices.Contains(notified, id) })
	peers = peers[:min(len(peers), pushFanout)]
	for _, id := range peers {
		c.notify(id, v)
	}
	return peers
}

// notify sends a peer a notification of a version in force. It includes a small document,
// because a peer whose calls or replies are lost may still receive datagrams.
func (c *Core) notify(to registry.NodeID, v Version) {
	d := Notification{To: to, Version: v}
	if p := c.table.Get(v.Service); p != nil && p.Epoch == v.Epoch && len(p.Text) <= maxNotificationBytes {
		d.Text = p.Text
	}
	c.out.Notifications = append(c.out.Notifications, d)
}

// handleNotification applies the document of a notification, or records the version as
// wanted.
func (c *Core) handleNotification(n ReceivedNotification) {
	if len(n.Text) > 0 && c.accepts(n.Version) && policy.Hash(n.Text) == n.Version.Hash {
		c.applyIfNewer(policy.VersionedDocument{Service: n.Version.Service, Epoch: n.Version.Epoch, Text: n.Text}, "notice of peer "+string(n.From))
	}
	c.addWanted(n.Version, n.From, syncRetries)
}

// pushCrossDomain notifies one member of each other failure domain, in case none of the
// watchers there reaches the platform. It chooses the member with the latest digest,
// because others may be lost. The notification omits the document, which most of these
// members already have.
func (c *Core) pushCrossDomain(v Version) {
	domains := map[string][]registry.NodeID{}
	for _, i := range c.rand.Perm(len(c.members)) {
		if m := c.members[i]; m.FailureDomain != c.opts.FailureDomain {
			domains[m.FailureDomain] = append(domains[m.FailureDomain], m.ID)
		}
	}
	for _, d := range slices.Sorted(maps.Keys(domains)) {
		to := slices.MaxFunc(domains[d], func(a, b registry.NodeID) int { return c.lastDigest[a].Compare(c.lastDigest[b]) })
		c.out.Notifications = append(c.out.Notifications, Notification{To: to, Version: v})
	}
}

// sendDelayedPushes makes the pushes that are due, unless their epoch was superseded.
func (c *Core) sendDelayedPushes() {
	c.delayedPushes = slices.DeleteFunc(c.delayedPushes, func(d delayedPush) bool {
		if c.now.Before(d.due) {
			return false
		}
		switch p := c.table.Get(d.Service); {
		case p.Epoch != d.Epoch:
		case d.crossDomain:
			c.pushCrossDomain(d.Version)
		default:
			c.push(d.Version, d.notified)
		}
		return true
	})
}

// delayedPush is a later push of a version, either to other failure domains or to members
// of the same failure domain that were not notified before.
type delayedPush struct {
	Version
	due         time.Time
	crossDomain bool
	notified    []registry.NodeID
}
