package registry

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"wigeonspring.example/wigeonspring/internal/invariant"
)

// The indexes by node, backend server and service are split into shards, so that a
// change copies a small map instead of one with all keys.
const (
	nodeShards    = 64
	backendShards = 256
	serviceShards = 64
)

// Directory is the set of node records that a node knows. It is safe for
// concurrent use. Readers take an immutable Snapshot with one atomic load;
// writers copy only the shards and services that a change touches.
type Directory struct {
	mu      sync.Mutex
	current atomic.Pointer[Snapshot]
	// claims lists the nodes whose records contain a backend server. A backend server
	// has more than one only while it changes its owner.
	claims map[BackendID][]NodeID

	ignorePrecedence bool // makes Apply accept outdated records, for tests
}

// Snapshot is an immutable view of a Directory. The records that it returns are
// shared and must not be changed.
type Snapshot struct {
	version  uint64
	size     int
	nodes    [nodeShards]map[NodeID]*Node
	backends [backendShards]map[BackendID]Member
	services [serviceShards]map[ServiceID]*serviceIndex

	// sorted caches the result of Nodes.
	sorted atomic.Pointer[[]*Node]
}

// serviceIndex is the immutable index of one service.
type serviceIndex struct {
	version uint64
	members []Member // sorted by backend id
	serving int
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	d := &Directory{claims: make(map[BackendID][]NodeID)}
	d.current.Store(&Snapshot{version: 1})
	return d
}

// Snapshot returns the current view.
func (d *Directory) Snapshot() *Snapshot { return d.current.Load() }

// Apply stores a record if it supersedes the stored one (see Node.Newer) and reports
// whether it did. A record of a lower incarnation never replaces one of a higher
// incarnation. The caller must not change the backend servers or labels of the record
// afterwards.
func (d *Directory) Apply(n Node) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.current.Load().Node(n.ID)
	if old != nil && !n.Newer(old) && !d.ignorePrecedence {
		return false
	}
	invariant.Check(old == nil || n.Incarnation >= old.Incarnation, "registry_incarnation",
		"node %s: incarnation %d replaces a higher one", n.ID, n.Incarnation)
	d.replace(old, &n)
	return true
}

// SetStatus sets the status of a node and reports whether the record changed. Only a
// status of higher precedence replaces another, so a suspect node becomes alive again
// only if Apply stores its newer record. A status of another incarnation than the
// stored one is ignored: that of a lower one is outdated, and the record of a higher
// one has not arrived yet.
func (d *Directory) SetStatus(id NodeID, incarnation uint64, status MemberStatus) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.current.Load().Node(id)
	if old == nil || old.Incarnation != incarnation || status <= old.Status {
		return false
	}
	n := *old
	n.Status = status
	d.replace(old, &n)
	return true
}

// Remove deletes a node. The directory keeps nothing about it, so the caller must remove
// a dead node only after gossip about it has ended. Otherwise a late record would add
// the node again.
func (d *Directory) Remove(id NodeID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if old := d.current.Load().Node(id); old != nil {
		d.replace(old, nil)
	}
}

// replace publishes a snapshot in which old is replaced by n. Either may be nil.
func (d *Directory) replace(old, n *Node) {
	b := newBuilder(d.current.Load())
	touched := make(map[BackendID]struct{})
	if old != nil {
		for i := range old.Backends {
			id := old.Backends[i].ID
			touched[id] = struct{}{}
			d.unclaim(id, old.ID)
		}
		b.removeNode(old.ID)
	}
	if n != nil {
		for i := range n.Backends {
			id := n.Backends[i].ID
			touched[id] = struct{}{}
			d.claim(id, n.ID)
		}
		b.putNode(n)
	}
	for id := range touched {
		b.putBackend(id, d.currentOwner(b.next, id))
	}
	d.current.Store(b.finish())
}

func (d *Directory) claim(id BackendID, node NodeID) {
	if c := d.claims[id]; !slices.Contains(c, node) {
		d.claims[id] = append(c, node)
	}
}

func (d *Directory) unclaim(id BackendID, node NodeID) {
	c := d.claims[id]
	if i := slices.Index(c, node); i >= 0 {
		c = slices.Delete(c, i, i+1)
	}
	if len(c) == 0 {
		delete(d.claims, id)
		return
	}
	d.claims[id] = c
}

// currentOwner returns the backend server together with the node that owns it, or an
// empty Member if no node lists it.
func (d *Directory) currentOwner(s *Snapshot, id BackendID) Member {
	var best Member
	for _, nodeID := range d.claims[id] {
		n := s.Node(nodeID)
		i := slices.IndexFunc(n.Backends, func(b Backend) bool { return b.ID == id })
		m := Member{Backend: &n.Backends[i], Owner: n}
		if best.Owner == nil || supersedes(m, best) {
			best = m
		}
	}
	return best
}

// supersedes reports whether the owner in a rather than the one in b owns a backend
// server that both list. The criteria, in this order, are an owner that accepts work,
// the later start of the lease, the higher node incarnation and the lower node id. The
// starts of leases are wall clock times of different nodes. Two leases begin at least
// LeaseDuration apart, because a backend server changes its owner only after the lease
// has lapsed. Clock differences below LeaseDuration therefore do not matter.
func supersedes(a, b Member) bool {
	if x, y := acceptsWork(a.Owner), acceptsWork(b.Owner); x != y {
		return x
	}
	if a.Backend.LeaseStartMillis != b.Backend.LeaseStartMillis {
		return a.Backend.LeaseStartMillis > b.Backend.LeaseStartMillis
	}
	if a.Owner.Incarnation != b.Owner.Incarnation {
		return a.Owner.Incarnation > b.Owner.Incarnation
	}
	return a.Owner.ID < b.Owner.ID
}

func acceptsWork(n *Node) bool { return n.Status == Alive || n.Status == Suspect }

// Version returns the version of the directory, which increases with every change.
func (s *Snapshot) Version() uint64 { return s.version }

// Len returns the number of nodes.
func (s *Snapshot) Len() int { return s.size }

// Node returns the record of a node, or nil.
func (s *Snapshot) Node(id NodeID) *Node { return s.nodes[shardOf(id, nodeShards)][id] }

// Nodes returns all nodes sorted by id. The slice is shared by all callers.
func (s *Snapshot) Nodes() []*Node {
	if p := s.sorted.Load(); p != nil {
		return *p
	}
	list := make([]*Node, 0, s.size)
	for _, shard := range s.nodes {
		for _, n := range shard {
			list = append(list, n)
		}
	}
	slices.SortFunc(list, func(a, b *Node) int { return cmp.Compare(a.ID, b.ID) })
	s.sorted.Store(&list)
	return list
}

// Service returns the backend servers of a service whose owners are alive or
// suspect, sorted by backend id. The slice is shared by all callers.
func (s *Snapshot) Service(id ServiceID) []Member {
	if x := s.service(id); x != nil {
		return x.members
	}
	return nil
}

// ServiceVersion returns the directory version of the last change of a service, or 0
// if the service has no members. Data derived from Service is valid as long as the
// version is the same.
func (s *Snapshot) ServiceVersion(id ServiceID) uint64 {
	if x := s.service(id); x != nil {
		return x.version
	}
	return 0
}

// Services returns the ids of all services that have members, in no particular
// order.
func (s *Snapshot) Services() []ServiceID {
	var ids []ServiceID
	for _, shard := range s.services {
		for id := range shard {
			ids = append(ids, id)
		}
	}
	return ids
}

// Backend returns a backend server with its owner. If several nodes list it, the owner
// is the one whose lease began last among those that are alive or suspect. If all of
// them are leaving or dead, the owner is one of these.
func (s *Snapshot) Backend(id BackendID) (Member, bool) {
	m, ok := s.backends[shardOf(id, backendShards)][id]
	return m, ok
}

// Serving returns the number of backend servers of a service that count as healthy
// capacity. Their owner is alive or suspect, and Backend.Serving is true.
func (s *Snapshot) Serving(id ServiceID) int {
	if x := s.service(id); x != nil {
		return x.serving
	}
	return 0
}

func (s *Snapshot) service(id ServiceID) *serviceIndex {
	return s.services[shardOf(id, serviceShards)][id]
}

func shardOf[K ~string](id K, shards uint64) uint64 {
	return xxhash.Sum64String(string(id)) % shards
}
