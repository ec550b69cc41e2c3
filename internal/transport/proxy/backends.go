package proxy

import (
	"net/http"
	"sync"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/admission"
	"wigeonspring.example/wigeonspring/internal/coordination/ownership"
	"wigeonspring.example/wigeonspring/internal/coordination/suspicion"
	"wigeonspring.example/wigeonspring/internal/state/evidence"
	"wigeonspring.example/wigeonspring/internal/state/policy"
	"wigeonspring.example/wigeonspring/internal/state/registry"
	"wigeonspring.example/wigeonspring/internal/transport/backend"
)

// BackendsOptions configures Backends. Zero values select the defaults.
type BackendsOptions struct {
	// DialTimeout and IdleTimeout are those of the connections; see backend.Options.
	DialTimeout time.Duration
	IdleTimeout time.Duration
	// RampDuration is the duration of the slow start of a backend server; see
	// admission.Options.
	RampDuration time.Duration
	// IDHeader, CloseDelimited, Belongs and NotRun are those of the connections; see backend.Options.
	IDHeader       string
	CloseDelimited bool
	Belongs        func(resp *http.Response, id string, reused bool) bool
	NotRun         func(*http.Response) bool
	// SuspicionTrials makes a backend server that fails suspect at once and tests it
	// with idempotent requests; see package suspicion.
	SuspicionTrials bool
	// SkipRamp gives a new backend server all its slots at once.
	SkipRamp bool
	Now      func() time.Time
}

// Backends holds the admission controller and the connection pool of every backend
// server that this node owns. It is safe for concurrent use.
type Backends struct {
	opt BackendsOptions

	mu   sync.RWMutex
	byID map[registry.BackendID]*ownedBackend
	// end is when the process exits; zero means that no exit is planned.
	end time.Time
}

// ownedBackend is a backend server that this node owns.
type ownedBackend struct {
	id          registry.BackendID
	service     registry.ServiceID
	address     string
	incarnation uint64
	pool        *backend.Pool
	admitter    *admitter
	// tracker is nil unless BackendsOptions.SuspicionTrials is set.
	tracker *suspicion.Tracker

	// state is the state last set by SetState. A drain, announced or requested by an
	// operator, takes precedence.
	state    registry.BackendState
	draining bool
}

// NewBackends returns an empty set.
func NewBackends(o BackendsOptions) *Backends {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Backends{opt: o, byID: make(map[registry.BackendID]*ownedBackend)}
}

// Upsert adds a backend server, or updates it after a change of its announcement or
// of the limits of its service. A backend server that is new, was restarted or has
// moved to another address starts cold, in the state Active.
func (b *Backends) Upsert(a ownership.Announcement, limits policy.Limits) {
	slots := max(a.Slots, 1)
	if limits.MaxSlots > 0 {
		slots = min(slots, limits.MaxSlots)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	o := b.byID[a.Backend]
	if o != nil && (o.address != a.Address || o.incarnation != a.Incarnation || o.service != a.Service) {
		o.retire()
		o = nil
	}
	if o == nil {
		ramp, warm := b.opt.RampDuration, b.opt.SkipRamp
		if a.WarmupStated {
			ramp, warm = a.Warmup, a.Warmup <= 0
		}
		o = &ownedBackend{
			id: a.Backend, service: a.Service, address: a.Address, incarnation: a.Incarnation,
			pool: backend.NewPool(backend.Options{
				Addr: a.Address, MaxConns: slots + 1, DialTimeout: b.opt.DialTimeout, IdleTimeout: b.opt.IdleTimeout,
				IDHeader: b.opt.IDHeader, CloseDelimited: b.opt.CloseDelimited,
				Belongs: b.opt.Belongs, NotRun: b.opt.NotRun,
			}),
			admitter: newAdmitter(admission.NewController(admission.Options{
				Slots: slots, QueueLimit: limits.Queue, CallerInFlight: limits.CallerInFlight,
				RampDuration: ramp, SkipRamp: warm,
			}, b.opt.Now()), b.opt.Now),
		}
		if b.opt.SuspicionTrials {
			o.tracker = &suspicion.Tracker{}
		}
		if !b.end.IsZero() {
			o.admitter.controller.StopBy(b.opt.Now(), b.end)
		}
		b.byID[a.Backend] = o
	}
	o.draining = a.Draining
	o.pool.SetMaxConns(slots + 1)
	o.admitter.controller.SetSlots(slots)
	o.admitter.controller.SetLimits(limits.Queue, limits.CallerInFlight)
	o.applyState()
}

// SetState sets the state and the weight of a backend server. It reports false if
// this node does not own the backend server.
func (b *Backends) SetState(id registry.BackendID, state registry.BackendState, weight float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	o := b.byID[id]
	if o == nil {
		return false
	}
	readmitted := state == registry.Active && (o.state == registry.Ejected || o.state == registry.Probation)
	o.state = state
	if readmitted {
		o.admitter.controller.StartRamp(b.opt.Now())
	}
	o.admitter.controller.SetWeight(b.opt.Now(), weight)
	o.applyState()
	return true
}

// Remove removes a backend server that this node no longer owns. Queued requests are
// refused; requests in flight end normally.
func (b *Backends) Remove(id registry.BackendID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if o := b.byID[id]; o != nil {
		delete(b.byID, id)
		o.retire()
	}
}

// StopBy announces that the process exits at end, so that only requests that will end
// before are admitted; see admission.Controller.StopBy.
func (b *Backends) StopBy(end time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end = end
	for _, o := range b.byID {
		o.admitter.controller.StopBy(b.opt.Now(), end)
		o.admitter.deliverDecisions()
	}
}

// LatestStart returns the time after which no backend server admits more than requests with
// an early deadline, or zero if there is none; see admission.Controller.LatestStart.
func (b *Backends) LatestStart() time.Time {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var latest time.Time
	for _, o := range b.byID {
		if at := o.admitter.controller.LatestStart(b.opt.Now()); at.After(latest) {
			latest = at
		}
	}
	return latest
}

// Close removes all backend servers.
func (b *Backends) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, o := range b.byID {
		delete(b.byID, id)
		o.retire()
	}
}

// Load returns the load of a backend server.
func (b *Backends) Load(id registry.BackendID) (evidence.Load, bool) {
	o := b.get(id)
	if o == nil {
		return evidence.Load{}, false
	}
	return o.admitter.controller.Load(), true
}

func (b *Backends) get(id registry.BackendID) *ownedBackend {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.byID[id]
}

// applyState passes the state to the admission controller. The lock of Backends must be
// held.
func (o *ownedBackend) applyState() {
	state := o.state
	if o.draining {
		state = registry.Draining
	}
	o.admitter.controller.SetState(state)
	o.admitter.deliverDecisions()
}

// retire refuses the queued requests and closes the idle connections.
func (o *ownedBackend) retire() {
	o.admitter.controller.SetState(registry.Draining)
	o.admitter.deliverDecisions()
	o.admitter.close()
	o.pool.Close()
}
