package node

import (
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/ejection"
	"wigeonspring.example/wigeonspring/internal/coordination/floor"
	"wigeonspring.example/wigeonspring/internal/state/registry"
	"wigeonspring.example/wigeonspring/internal/transport/permits"
)

func (n *Node) newPermits() *permits.Manager {
	return permits.New(permits.Options{
		Node:        n.ID(),
		Incarnation: n.incarnation,
		View:        n.floorView,
		Platform:    n.platform,
		PeerAddress: func(id registry.NodeID) (string, bool) {
			addr, err := n.peerAddress(id)
			return addr, err == nil
		},
		PeerClient: n.peerClient,
		OnRevoked: func(_ registry.ServiceID, id registry.BackendID) {
			n.health.ReportRevokedPermit(id)
		},
	})
}

// healthView returns this node's view of the services of which it owns backend servers.
// A service without a policy has no known floor. It is left out, so that none of its
// backend servers is ejected.
func (n *Node) healthView() ejection.View {
	view := make(ejection.View)
	own := n.records.backends()
	for i := range own {
		service := own[i].Service
		if _, done := view[service]; done {
			continue
		}
		if v, ok := n.serviceView(service, own); ok {
			view[service] = v
		}
	}
	return view
}

// serviceView counts the backend servers of a service. The records of this node, own, are
// taken from the leases, because the directory receives them with a delay. The records of
// other nodes come from the directory. Backend servers of a suspected node do not count.
func (n *Node) serviceView(service registry.ServiceID, own []registry.Backend) (ejection.ServiceView, bool) {
	p := n.policies.Get(string(service))
	if p == nil {
		return ejection.ServiceView{}, false
	}
	v := ejection.ServiceView{}
	n.forEachAlive(service, own, func(_ registry.NodeID, b *registry.Backend) {
		switch {
		case b.Serving():
			v.Serving++
			v.Capacity += b.Weight
		case b.State == registry.Ejected:
			v.Ejected++
		}
	})
	v.Floor = p.Document.Service.EffectiveFloor(v.Serving + v.Ejected)
	return v, true
}

// floorView returns the view of a service on which the permit holder bases its decisions.
func (n *Node) floorView(service registry.ServiceID) (floor.View, bool) {
	p := n.policies.Get(string(service))
	if p == nil {
		return floor.View{}, false
	}
	v := floor.View{
		Ejected:     make(map[registry.BackendID]bool),
		OwnBackends: make(map[registry.BackendID]bool),
		Nodes:       n.nodeViews.get(n.directory.Snapshot()),
	}
	owners := make(map[registry.NodeID]bool)
	n.forEachAlive(service, n.records.backends(), func(owner registry.NodeID, b *registry.Backend) {
		if owner == n.ID() {
			v.OwnBackends[b.ID] = true
		}
		if !owners[owner] {
			owners[owner] = true
			v.Owners = append(v.Owners, owner)
		}
		switch {
		case b.Serving():
			v.Serving++
		case b.State == registry.Ejected:
			v.Ejected[b.ID] = true
		}
	})
	v.Floor = p.Document.Service.EffectiveFloor(v.Serving + len(v.Ejected))
	return v, true
}

// nodeViews caches the nodes of the latest directory version. The permit holder requests
// them several times a second for each service, while the directory of 2,100 nodes
// changes only about every 29 s. It is not safe for concurrent use.
type nodeViews struct {
	built   bool
	version uint64
	views   map[registry.NodeID]floor.NodeView
}

// get returns the nodes of a snapshot. The caller must not change the map.
func (c *nodeViews) get(snap *registry.Snapshot) map[registry.NodeID]floor.NodeView {
	if c.built && c.version == snap.Version() {
		return c.views
	}
	views := make(map[registry.NodeID]floor.NodeView, snap.Len())
	for _, m := range snap.Nodes() {
		v := floor.NodeView{
			Incarnation:   m.Incarnation,
			FailureDomain: m.FailureDomain,
			Alive:         m.Status == registry.Alive,
		}
		if m.Status == registry.Dead {
			v.DeadSince = c.deadSince(m.ID)
		}
		views[m.ID] = v
	}
	c.built, c.version, c.views = true, snap.Version(), views
	return views
}

// deadSince returns when a node that is dead now was first seen dead.
func (c *nodeViews) deadSince(id registry.NodeID) time.Time {
	if old, ok := c.views[id]; ok && !old.DeadSince.IsZero() {
		return old.DeadSince
	}
	return time.Now()
}

// forEachAlive calls f for each backend server of a service whose owner is alive. own
// holds the records of this node.
func (n *Node) forEachAlive(service registry.ServiceID, own []registry.Backend, f func(registry.NodeID, *registry.Backend)) {
	for i := range own {
		if own[i].Service == service {
			f(n.ID(), &own[i])
		}
	}
	for _, m := range n.directory.Snapshot().Service(service) {
		if m.Owner.ID != n.ID() && m.Owner.Status == registry.Alive {
			f(m.Owner.ID, m.Backend)
		}
	}
}
