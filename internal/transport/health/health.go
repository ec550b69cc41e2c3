package health

import (
	"context"
	"expvar"
	"sync"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/ejection"
	"wigeonspring.example/wigeonspring/internal/ring"
	"wigeonspring.example/wigeonspring/internal/state/event"
	"wigeonspring.example/wigeonspring/internal/state/evidence"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

var counters = expvar.NewMap("ejection")

// PermitResult is the result of a request for an ejection permit.
type PermitResult struct {
	// Permit is set if the permit was granted.
	Permit ejection.Permit
	// Reason states why the permit was refused.
	Reason string
}

// PermitSource grants ejection permits.
type PermitSource interface {
	// Request requests a permit without blocking. done is called at most once, on any
	// goroutine. It is not called if Release is called before the request is decided.
	Request(service registry.ServiceID, backend registry.BackendID, done func(PermitResult))
	// Release returns the permit of a backend server without blocking.
	Release(service registry.ServiceID, backend registry.BackendID)
}

// Options configures a Monitor. View, Permits and Apply are required.
type Options struct {
	Core ejection.Options
	// RingSize is the number of observations that can be buffered. The default is 4096,
	// about 100 ms at 40,000 requests/s.
	RingSize int
	// TickInterval is the interval at which the core makes decisions. The default is
	// 100 ms.
	TickInterval time.Duration
	// View returns the local view of the services. It is called once per tick and must
	// reflect all earlier calls of Apply.
	View    func() ejection.View
	Permits PermitSource
	// Apply sets the state and weight in the record of a backend server of this node.
	Apply func(backend registry.BackendID, state registry.BackendState, weight float64)
	// Events receives the events. The default discards them.
	Events event.Sink
	// Node is the ID of this node in events.
	Node string
	// Now returns the current time. The default is time.Now.
	Now func() time.Time
}

// Monitor drives the ejection core of a node.
type Monitor struct {
	opts         Options
	core         *ejection.Core
	observations *ring.Ring[evidence.Observation]

	mu       sync.Mutex
	commands []func(*ejection.Core)
}

// New returns a Monitor; Run starts it.
func New(o Options) *Monitor {
	if o.RingSize <= 0 {
		o.RingSize = 4096
	}
	if o.TickInterval <= 0 {
		o.TickInterval = 100 * time.Millisecond
	}
	if o.Events == nil {
		o.Events = event.Discard{}
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Monitor{
		opts:         o,
		core:         ejection.New(o.Core),
		observations: ring.New[evidence.Observation](o.RingSize),
	}
}

// Observe reports the result of one exchange without blocking. It returns false if the
// observation was dropped.
func (m *Monitor) Observe(o evidence.Observation) bool { return m.observations.Offer(o) }

// Dropped returns the number of dropped observations.
func (m *Monitor) Dropped() int64 { return m.observations.Dropped() }

// SetWeight sets the detection weight of a service.
func (m *Monitor) SetWeight(service registry.ServiceID, weight float64) {
	m.enqueue(func(c *ejection.Core) { c.SetWeight(service, weight) })
}

// Remove removes a backend server that this node no longer owns.
func (m *Monitor) Remove(backend registry.BackendID) {
	m.enqueue(func(c *ejection.Core) { c.Remove(backend) })
}

// ReportRevokedPermit records that the permit of a backend server is no longer valid.
func (m *Monitor) ReportRevokedPermit(backend registry.BackendID) {
	m.enqueue(func(c *ejection.Core) { c.PermitRevoked(m.opts.Now(), backend) })
}

// enqueue defers a call of the core to its goroutine. The queue has no limit of its own,
// because its callers bound it: policy changes, removals, revocations and one result per
// permit request.
func (m *Monitor) enqueue(f func(*ejection.Core)) {
	m.mu.Lock()
	m.commands = append(m.commands, f)
	m.mu.Unlock()
}

// Run drives the core until ctx is done.
func (m *Monitor) Run(ctx context.Context) error {
	ticker := time.NewTicker(m.opts.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case o := <-m.observations.Items():
			m.core.Observe(o)
		case <-ticker.C:
			m.tick()
		}
	}
}

func (m *Monitor) tick() {
	m.mu.Lock()
	commands := m.commands
	m.commands = nil
	m.mu.Unlock()
	for _, f := range commands {
		f(m.core)
	}
	now := m.opts.Now()
	for _, d := range m.core.Tick(now, m.opts.View()) {
		m.apply(now, d)
	}
}

// apply carries out one decision and publishes its events.
func (m *Monitor) apply(now time.Time, d ejection.Decision) {
	counters.Add(d.Action.String(), 1)
	switch d.Action {
	case ejection.RequestPermit:
		m.publish(now, event.BackendSuspected, d)
		m.opts.Permits.Request(d.Service, d.Backend, func(r PermitResult) { m.permitDone(d.Backend, r) })
	case ejection.ReleasePermit:
		m.opts.Permits.Release(d.Service, d.Backend)
	case ejection.Eject:
		m.opts.Apply(d.Backend, registry.Ejected, d.Weight)
		m.publish(now, event.BackendEjected, d)
	case ejection.Degrade:
		m.opts.Apply(d.Backend, registry.Active, d.Weight)
		m.publish(now, event.EjectionRefused, d)
		m.publish(now, event.BackendDegraded, d)
	case ejection.BeginProbation:
		m.opts.Apply(d.Backend, registry.Probation, d.Weight)
		m.publish(now, event.BackendProbation, d)
	case ejection.Restore:
		m.opts.Apply(d.Backend, registry.Active, d.Weight)
		m.publish(now, event.BackendRestored, d)
	}
}

func (m *Monitor) permitDone(backend registry.BackendID, r PermitResult) {
	m.enqueue(func(c *ejection.Core) {
		if r.Permit.ID != "" {
			c.PermitGranted(m.opts.Now(), backend, r.Permit)
		} else {
			c.PermitRefused(m.opts.Now(), backend, r.Reason)
		}
	})
}

func (m *Monitor) publish(now time.Time, kind event.Kind, d ejection.Decision) {
	m.opts.Events.Publish(event.Event{
		Time: now, Kind: kind, Node: m.opts.Node,
		Service: string(d.Service), Backend: string(d.Backend), Reason: d.Reason, Evidence: d.Evidence,
	})
}
