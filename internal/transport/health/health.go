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

var metrics = expvar.NewMap("ejection")

// PermitResult is the answer to a request for an ejection permit.
type PermitResult struct {
	// Permit is set if the permit was granted.
	Permit ejection.Permit
	// Reason says why it was refused.
	Reason string
}

// PermitSource is the source of ejection permits.
type PermitSource interface {
	// Request asks for a permit. It does not block; done is called once, on any
	// goroutine.
	Request(service registry.ServiceID, backend registry.BackendID, done func(PermitResult))
	// Release gives the permit of a backend server back. It does not block.
	Release(service registry.ServiceID, backend registry.BackendID)
}

// Options configures a Monitor. View, Permits and Apply are required.
type Options struct {
	Core ejection.Options
	// RingSize is the number of observations that may wait. The default is 4096,
	// about 100 ms of work at 40,000 requests/s.
	RingSize int
	// TickInterval is the interval between decisions. The default is 100 ms.
	TickInterval time.Duration
	// View returns the local view of the services. It is called once per tick
	// and must reflect all earlier calls of Apply.
	View    func() ejection.View
	Permits PermitSource
	// Apply puts a decision into effect in the record of a backend server of
	// this node.
	Apply func(backend registry.BackendID, state registry.BackendState, weight float64)
	// Events takes the events; the default discards them.
	Events event.Sink
	// Node is the id of this node in events.
	Node string
	// Now is the clock; the default is time.Now.
	Now func() time.Time
}

// Monitor owns the ejection core of a node.
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

// Observe hands over one exchange without blocking. It returns false if the
// observation was dropped.
func (h *Monitor) Observe(o evidence.Observation) bool { return h.observations.Offer(o) }

// Dropped returns the number of dropped observations.
func (h *Monitor) Dropped() int64 { return h.observations.Dropped() }

// SetWeight sets the detection weight of a service.
func (h *Monitor) SetWeight(service registry.ServiceID, weight float64) {
	h.enqueue(func(c *ejection.Core) { c.SetWeight(service, weight) })
}

// Remove forgets a backend server that left this node.
func (h *Monitor) Remove(backend registry.BackendID) {
	h.enqueue(func(c *ejection.Core) { c.Remove(backend) })
}

// ReportRevokedPermit reports that the permit of a backend server is no longer valid.
func (h *Monitor) ReportRevokedPermit(backend registry.BackendID) {
	h.enqueue(func(c *ejection.Core) { c.PermitRevoked(h.opts.Now(), backend) })
}

// enqueue defers a change of the core to its goroutine. The queue is bounded by
// its callers: policy changes, departures and one answer per request for a
// permit.
func (h *Monitor) enqueue(f func(*ejection.Core)) {
	h.mu.Lock()
	h.commands = append(h.commands, f)
	h.mu.Unlock()
}

// Run drives the core until ctx ends.
func (h *Monitor) Run(ctx context.Context) error {
	ticker := time.NewTicker(h.opts.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case o := <-h.observations.Items():
			h.core.Observe(o)
		case <-ticker.C:
			h.tick()
		}
	}
}

func (h *Monitor) tick() {
	h.mu.Lock()
	commands := h.commands
	h.commands = nil
	h.mu.Unlock()
	for _, f := range commands {
		f(h.core)
	}
	now := h.opts.Now()
	for _, d := range h.core.Tick(now, h.opts.View()) {
		h.apply(now, d)
	}
}

// apply puts one decision into effect and publishes its event.
func (h *Monitor) apply(now time.Time, d ejection.Decision) {
	metrics.Add(d.Action.String(), 1)
	switch d.Action {
	case ejection.RequestPermit:
		h.publish(now, event.BackendSuspected, d)
		h.opts.Permits.Request(d.Service, d.Backend, func(a PermitResult) { h.answer(d.Backend, a) })
	case ejection.ReleasePermit:
		h.opts.Permits.Release(d.Service, d.Backend)
	case ejection.Eject:
		h.opts.Apply(d.Backend, registry.Ejected, d.Weight)
		h.publish(now, event.BackendEjected, d)
	case ejection.Degrade:
		h.opts.Apply(d.Backend, registry.Active, d.Weight)
		h.publish(now, event.EjectionRefused, d)
		h.publish(now, event.BackendDegraded, d)
	case ejection.BeginProbation:
		h.opts.Apply(d.Backend, registry.Probation, d.Weight)
		h.publish(now, event.BackendProbation, d)
	case ejection.Restore:
		h.opts.Apply(d.Backend, registry.Active, d.Weight)
		h.publish(now, event.BackendRestored, d)
	}
}

func (h *Monitor) answer(backend registry.BackendID, a PermitResult) {
	h.enqueue(func(c *ejection.Core) {
		if a.Permit.ID != "" {
			c.PermitGranted(h.opts.Now(), backend, a.Permit)
		} else {
			c.PermitRefused(h.opts.Now(), backend, a.Reason)
		}
	})
}

func (h *Monitor) publish(now time.Time, kind event.Kind, d ejection.Decision) {
	h.opts.Events.Publish(event.Event{
		Time: now, Kind: kind, Node: h.opts.Node,
		Service: string(d.Service), Backend: string(d.Backend), Reason: d.Reason, Evidence: d.Evidence,
	})
}
