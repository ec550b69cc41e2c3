package node

import (
	"wigeonspring.example/wigeonspring/internal/coordination/quota"
	"wigeonspring.example/wigeonspring/internal/state/registry"
	quotas "wigeonspring.example/wigeonspring/internal/transport/quota"
)

func (n *Node) newQuotas() *quotas.Manager {
	bound := n.opts.Settings.Quota()
	return quotas.New(quotas.Options{
		Self:    n.ID(),
		Bound:   quota.Bound{Window: bound.Window, Overage: bound.Overage, Slack: bound.Slack},
		Teams:   n.policies.Teams,
		Members: n.quotaMembers,
		Address: func(id registry.NodeID) (string, bool) {
			addr, err := n.peerAddress(id)
			return addr, err == nil
		},
		// The gossip transport is created later, and before the first datagram.
		Send:   func(addr string, data []byte) { n.gossip.Send(addr, data) },
		Events: n.bus,
		Logger: n.log,
	})
}

// quotaMembers returns the members that may admit requests of teams. It returns nil until the
// node has filled its directory.
func (n *Node) quotaMembers() []registry.NodeID {
	if !n.gossip.HasJoined() {
		return nil
	}
	var live []registry.NodeID
	self := false
	for _, m := range n.directory.Snapshot().Nodes() {
		if m.ID == n.ID() || m.Status == registry.Alive || m.Status == registry.Suspect {
			live = append(live, m.ID)
			self = self || m.ID == n.ID()
		}
	}
	if !self {
		live = append(live, n.ID())
	}
	return live
}
