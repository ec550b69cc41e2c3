package distribution

import (
	"maps"
	"slices"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/policy"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// push tells peers of the failure domain, apart from those that were told
// before, and returns them: the two neighbors in the order of IDs, so that every
// node is told by somebody, and others at random, so that the news spreads fast. A
// node pushes only what it has in force, because the peer pulls the text from it.
func (c *Core) push(h Version, told []registry.NodeID) []registry.NodeID {
	var peers []registry.NodeID
	for _, m := range c.members { // Sorted by ID.
		if m.FailureDomain == c.o.FailureDomain && m.ID != c.o.Self {
			peers = append(peers, m.ID)
		}
	}
	// From the next neighbor around to the previous one.
	next, _ := slices.BinarySearch(peers, c.o.Self)
	peers = slices.Concat(peers[next:], peers[:next])
	if n := len(peers); n > 2 {
		peers[1], peers[n-1] = peers[n-1], peers[1]
		rest := peers[2:]
		c.rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	}
	peers = slices.DeleteFunc(peers, func(id registry.NodeID) bool { return slices.Contains(told, id) })
	peers = peers[:min(len(peers), pushFanout)]
	for _, id := range peers {
		c.notify(id, h)
	}
	return peers
}

// notify tells a peer of an epoch that is in force here. A small document goes
// along, because a peer whose calls or their answers are lost still hears
// datagrams.
func (c *Core) notify(to registry.NodeID, h Version) {
	d := Notification{To: to, Version: h}
	if p := c.table.Get(h.Service); p != nil && p.Epoch == h.Epoch && len(p.Text) <= maxNoticeText {
		d.Text = p.Text
	}
	c.out.Notifications = append(c.out.Notifications, d)
}

// heard takes in the notice of a peer.
func (c *Core) heard(h ReceivedNotification) {
	if len(h.Text) > 0 && c.missing(h.Version) && policy.Hash(h.Text) == h.Version.Hash {
		c.offer(policy.VersionedDocument{Service: h.Version.Service, Epoch: h.Version.Epoch, Text: h.Text}, "notice of peer "+string(h.From))
	}
	c.want(h.Version, h.From, syncRetries)
}

// pushAcross tells a member of each other failure domain, because none of its watchers
// may reach the platform: the one that was heard from last, as others may be lost. The
// document stays here: hardly any of them lacks it.
func (c *Core) pushAcross(h Version) {
	domains := map[string][]registry.NodeID{}
	for _, i := range c.rand.Perm(len(c.members)) {
		if m := c.members[i]; m.FailureDomain != c.o.FailureDomain {
			domains[m.FailureDomain] = append(domains[m.FailureDomain], m.ID)
		}
	}
	for _, d := range slices.Sorted(maps.Keys(domains)) {
		to := slices.MaxFunc(domains[d], func(a, b registry.NodeID) int { return c.heardOf[a].Compare(c.heardOf[b]) })
		c.out.Notifications = append(c.out.Notifications, Notification{To: to, Version: h})
	}
}

// repeatPushes makes the pushes that are due of epochs that are still in force.
func (c *Core) repeatPushes() {
	c.repeats = slices.DeleteFunc(c.repeats, func(r repeat) bool {
		if c.now.Before(r.due) {
			return false
		}
		switch p := c.table.Get(r.Service); {
		case p.Epoch != r.Epoch:
		case r.across:
			c.pushAcross(r.Version)
		default:
			c.push(r.Version, r.told)
		}
		return true
	})
}

// repeat is a later push of an epoch: across to other failure domains, or in the own
// one to members that were not told.
type repeat struct {
	Version
	due    time.Time
	across bool
	told   []registry.NodeID
}
