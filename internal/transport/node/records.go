package node

import (
	"sync"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/ownership"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// verdict is what the health of a backend server allows it to receive.
type verdict struct {
	state  registry.BackendState
	weight float64
}

// records combines the leases of the backend servers that this node owns with
// the decisions about their health and with drains that operators asked for.
type records struct {
	leases *ownership.Table

	mu       sync.Mutex
	verdicts map[registry.BackendID]verdict
	drained  map[registry.BackendID]bool
}

// newRecords returns records without backend servers. now is before the node
// listens: a pause from then on counts for announcements that wait in a backlog.
func newRecords(now time.Time, lease time.Duration) *records {
	r := &records{
		leases:   ownership.New(ownership.Options{Lease: lease}),
		verdicts: make(map[registry.BackendID]verdict),
		drained:  make(map[registry.BackendID]bool),
	}
	r.leases.Tick(now)
	return r
}

// setVerdict stores a decision about the health of a backend server.
func (r *records) setVerdict(id registry.BackendID, v verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.verdicts[id] = v
}

// drain marks a backend server as draining until its lease ends.
func (r *records) drain(id registry.BackendID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drained[id] = true
}

// forget drops what is known about a backend server whose lease ended.
func (r *records) forget(id registry.BackendID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.verdicts, id)
	delete(r.drained, id)
}

// effective returns the state and weight of an owned backend server. Draining
// overrides every decision about its health.
func (r *records) effective(o *ownership.OwnedBackend) (registry.BackendState, float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v, ok := r.verdicts[o.Backend]
	if !ok {
		v = verdict{state: registry.Active, weight: 1}
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
		n.lose(*res.Replaced)
	}
	switch {
	case !a.Released:
		n.take(a, res)
	case held:
		n.lose(ownership.EndedLease{Backend: a.Backend, Service: service, Reason: ownership.Released})
	}
	return res
}

// isDrained reports whether an operator asked for the drain of a backend server.
func (r *records) isDrained(id registry.BackendID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.drained[id]
}
