package node

import (
	"sync"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/ownership"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// healthState is the state and weight that a backend server has because of its health.
type healthState struct {
	state  registry.BackendState
	weight float64
}

// records combines the leases of the backend servers that this node owns with the
// decisions about their health and the drains that operators requested.
type records struct {
	leases *ownership.Table

	mu      sync.Mutex
	health  map[registry.BackendID]healthState
	drained map[registry.BackendID]bool
}

// newRecords returns records without backend servers. now must be a time before the node
// listens: pauses are detected from now on, and announcements that wait in the listen
// backlog during a pause must be recognized as old.
func newRecords(now time.Time, lease time.Duration) *records {
	r := &records{
		leases:  ownership.New(ownership.Options{Lease: lease}),
		health:  make(map[registry.BackendID]healthState),
		drained: make(map[registry.BackendID]bool),
	}
	r.leases.Tick(now)
	return r
}

// setHealth stores a decision about the health of a backend server.
func (r *records) setHealth(id registry.BackendID, v healthState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.health[id] = v
}

// drain marks a backend server as draining until its lease ends.
func (r *records) drain(id registry.BackendID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drained[id] = true
}

// remove deletes the health and the drain of a backend server whose lease has ended.
func (r *records) remove(id registry.BackendID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.health, id)
	delete(r.drained, id)
}

// effective returns the published state and weight of an owned backend server. Draining
// overrides its health state.
func (r *records) effective(o *ownership.OwnedBackend) (registry.BackendState, float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v, ok := r.health[o.Backend]
	if !ok {
		v = healthState{state: registry.Active, weight: 1}
	}
	if o.Draining || r.drained[o.Backend] {
		v.state = registry.Draining
	}
	return v.state, v.weight
}

// backends returns the records of the owned backend servers for publication.
func (r *records) backends() []registry.Backend {
	owned := r.leases.Owned()
	list := make([]registry.Backend, 0, len(owned))
	for i := range owned {
		o := &owned[i]
		state, weight := r.effective(o)
		list = append(list, registry.Backend{
			ID:               o.Backend,
			Service:          o.Service,
			Slots:            o.Slots,
			Labels:           o.Labels,
			State:            state,
			Weight:           weight,
			LeaseStartMillis: uint64(o.Since.UnixMilli()),
		})
	}
	return list
}

// Announce implements control.Node.
func (n *Node) Announce(now time.Time, a ownership.Announcement) ownership.Result {
	n.leaseMu.Lock()
	defer n.leaseMu.Unlock()
	service, held := n.records.leases.Service(a.Backend)
	res := n.records.leases.Announce(now, a)
	if !res.Accepted {
		return res
	}
	if res.Replaced != nil {
		n.removeBackend(*res.Replaced)
	}
	switch {
	case !a.Released:
		n.addOrUpdateBackend(a, res)
	case held:
		n.removeBackend(ownership.EndedLease{Backend: a.Backend, Service: service, Reason: ownership.Released})
	}
	return res
}

// isDrained reports whether an operator has requested the drain of a backend server.
func (r *records) isDrained(id registry.BackendID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.drained[id]
}
