package registry

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"wigeonspring.example/wigeonspring/internal/invariant"
)

// The indexes by node and by backend server are split into shards, so that a
// change copies one small map instead of one map with every key.
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
	// claims lists the nodes whose records contain a backend server. It has more
	// than one entry only while a backend server moves.
	claims map[BackendID][]NodeID

	off bool // disables the precedence of records in tests
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

// Apply stores the record if it supersedes the one that the directory has (see
// Node.Newer) and reports whether it did. A record of a lower incarnation never
// replaces one of a higher incarnation. The caller must not change the record's
// backend servers or labels afterwards.
func (d *Directory) Apply(n Node) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.current.Load().Node(n.ID)
	if old != nil && !n.Newer(old) && !d.off {
		return false
	}
	invariant.Check(old == nil || n.Incarnation >= old.Incarnation, "registry_incarnation",
		"node %s: incarnation %d replaces a higher one", n.ID, n.Incarnation)
	d.replace(old, &n)
	return true
}

// SetStatus records an observed status of a node and reports whether the record
// changed. The status applies only to the recorded incarnation, and only a
// status of higher precedence replaces another: a suspected node becomes alive
// again only through Apply of its own newer record. A status of another
// incarnation is ignored, of a lower one because it is outdated, of a higher one
// because the record that it is about has not arrived yet.
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

// Remove forgets a node. The directory keeps no trace of it, so the caller
// removes a dead node only after gossip about it has ended; otherwise a late
// record brings it back.
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
		b.putBackend(id, d.winner(b.next, id))
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

// winner returns the member of the record to which the backend server belongs.
func (d *Directory) winner(s *Snapshot, id BackendID) Member {
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

// supersedes reports whether a rather than b is the owner's record of a backend
// server that both list. The order is: an owner that takes work, the later
// announcement, the higher node incarnation, the lower node id. Announcements are
// compared by wall clock: a backend server changes its owner only after the lease
// has lapsed, so two leases begin at least LeaseDuration apart and smaller clock
// differences do no harm.
func supersedes(a, b Member) bool {
	if x, y := takesWork(a.Owner), takesWork(b.Owner); x != y {
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

func takesWork(n *Node) bool { return n.Status == Alive || n.Status == Suspect }

// Version rises with every change of the directory.
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

// ServiceVersion returns the directory version of the last change of a service,
// or 0 if the service has no members. Views that are derived from Service stay
// valid while it is the same.
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

// Backend returns a backend server with its owner. If several nodes list it, it
// belongs to an owner that is alive or suspect before others, then to the one
// whose lease began last. If only leaving or dead owners list it, one of them is
// returned.
func (s *Snapshot) Backend(id BackendID) (Member, bool) {
	m, ok := s.backends[shardOf(id, backendShards)][id]
	return m, ok
}

// Serving returns the number of backend servers of a service that are healthy
// capacity: the owner is alive or suspect and Backend.Serving holds.
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
