package node

import (
	"maps"
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

	mu     sync.Mutex
	health map[registry.BackendID]healthState
	// drained are the backend servers that an operator drains, with their starts.
	drained map[registry.BackendID]uint64
}

// newRecords returns records without backend servers. now must be a time before the node
// listens: pauses are detected from now on, and announcements that wait in the listen
// backlog during a pause must be recognized as old.
func newRecords(now time.Time, opt ownership.Options) *records {
	r := &records{
		leases:  ownership.New(opt),
		health:  make(map[registry.BackendID]healthState),
		drained: make(map[registry.BackendID]uint64),
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

// drain marks a start of a backend server as draining, for as long as it runs.
func (r *records) drain(id registry.BackendID, incarnation uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drained[id] = incarnation
}

// removeHealth deletes the health of a backend server whose lease has ended.
func (r *records) removeHealth(id registry.BackendID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.health, id)
}

// removeDrain deletes the drain of a backend server that has left or has been restarted.
func (r *records) removeDrain(id registry.BackendID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.drained, id)
}

// departures returns what later processes of this node must know.
func (r *records) departures() storedDepartures {
	r.mu.Lock()
	defer r.mu.Unlock()
	return storedDepartures{Departures: storeDepartures(r.leases.Departures(time.Now())), Drained: maps.Clone(r.drained)}
}

// recall adds what an earlier process of this node has stored, which may be incomplete until
// completeFrom. It returns the leases that were granted to backend servers that have left.
func (r *records) recall(s storedDepartures, completeFrom time.Time) []ownership.EndedLease {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, incarnation := range s.Drained {
		r.drained[id] = max(r.drained[id], incarnation)
	}
	return r.leases.Recall(time.Now(), s.list(), completeFrom)
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
	if o.Draining || r.isDrainedLocked(o.Backend, o.Incarnation) {
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

// Announce implements control.Node. A departure takes effect at once, and it is acknowledged when
// it binds later processes of this node; otherwise the result is Unstored.
func (n *Node) Announce(arrival time.Time, a ownership.Announcement) ownership.Result {
	n.departures.awaitRecall()
	if a.LeaseFrom.IsZero() || a.LeaseFrom.After(arrival) {
		a.LeaseFrom = arrival
	}
	res := n.applyAnnouncement(time.Now(), a)
	if res.DepartureChanged {
		n.departures.changedNow()
	}
	if res.Departed && n.departures.wait > 0 {
		res.Unstored = !n.departures.awaitStored(n.departures.wait)
	}
	return res
}

func (n *Node) applyAnnouncement(now time.Time, a ownership.Announcement) ownership.Result {
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
	if !a.Released {
		n.addOrUpdateBackend(a, res)
		return res
	}
	n.records.removeDrain(a.Backend)
	if held {
		n.removeBackend(ownership.EndedLease{Backend: a.Backend, Service: service, Reason: ownership.Released})
	}
	return res
}

// isDrained reports whether an operator has requested the drain of a start of a backend
// server.
func (r *records) isDrained(id registry.BackendID, incarnation uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isDrainedLocked(id, incarnation)
}

func (r *records) isDrainedLocked(id registry.BackendID, incarnation uint64) bool {
	drained, ok := r.drained[id]
	return ok && drained == incarnation
}
