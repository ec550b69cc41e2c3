package registry

import (
	"cmp"
	"maps"
	"slices"
)

// builder creates a snapshot from the previous one. It copies each changed shard and
// service once.
type builder struct {
	next     *Snapshot
	nodes    [nodeShards]bool
	backends [backendShards]bool
	services map[ServiceID]*serviceIndex // copies made by this builder
}

func newBuilder(prev *Snapshot) *builder {
	return &builder{
		next: &Snapshot{
			version:  prev.version + 1,
			size:     prev.size,
			nodes:    prev.nodes,
			backends: prev.backends,
			services: prev.services,
		},
		services: make(map[ServiceID]*serviceIndex),
	}
}

func (b *builder) nodeShard(id NodeID) map[NodeID]*Node {
	i := shardOf(id, nodeShards)
	if !b.nodes[i] {
		b.nodes[i] = true
		b.next.nodes[i] = cloneMap(b.next.nodes[i])
	}
	return b.next.nodes[i]
}

func (b *builder) removeNode(id NodeID) {
	delete(b.nodeShard(id), id)
	b.next.size--
}

func (b *builder) putNode(n *Node) {
	b.nodeShard(n.ID)[n.ID] = n
	b.next.size++
}

// putBackend replaces the index entry of a backend server. A member without an owner
// removes the entry.
func (b *builder) putBackend(id BackendID, m Member) {
	i := shardOf(id, backendShards)
	if !b.backends[i] {
		b.backends[i] = true
		b.next.backends[i] = cloneMap(b.next.backends[i])
	}
	shard := b.next.backends[i]
	if old, ok := shard[id]; ok && (m.Owner == nil || old.Backend.Service != m.Backend.Service || !acceptsWork(m.Owner)) {
		b.dropMember(old.Backend.Service, id)
	}
	if m.Owner == nil {
		delete(shard, id)
		return
	}
	shard[id] = m
	if acceptsWork(m.Owner) {
		b.putMember(m)
	}
}

// service returns the builder's copy of the index of a service.
func (b *builder) service(id ServiceID) *serviceIndex {
	if x := b.services[id]; x != nil {
		return x
	}
	x := &serviceIndex{version: b.next.version}
	if old := b.next.service(id); old != nil {
		x.members = slices.Clone(old.members)
	}
	b.services[id] = x
	return x
}

func (b *builder) putMember(m Member) {
	x := b.service(m.Backend.Service)
	i, found := findMember(x.members, m.Backend.ID)
	if found {
		x.members[i] = m
		return
	}
	x.members = slices.Insert(x.members, i, m)
}

func (b *builder) dropMember(service ServiceID, id BackendID) {
	x := b.service(service)
	if i, found := findMember(x.members, id); found {
		x.members = slices.Delete(x.members, i, i+1)
	}
}

// finish adds the changed services to the snapshot and returns it.
func (b *builder) finish() *Snapshot {
	var copied [serviceShards]bool
	for id, x := range b.services {
		i := shardOf(id, serviceShards)
		if !copied[i] {
			copied[i] = true
			b.next.services[i] = cloneMap(b.next.services[i])
		}
		if len(x.members) == 0 {
			delete(b.next.services[i], id)
			continue
		}
		for _, m := range x.members {
			if m.Backend.Serving() {
				x.serving++
			}
		}
		b.next.services[i][id] = x
	}
	return b.next
}

func findMember(members []Member, id BackendID) (int, bool) {
	return slices.BinarySearchFunc(members, id, func(m Member, id BackendID) int {
		return cmp.Compare(m.Backend.ID, id)
	})
}

func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return maps.Clone(m)
}
