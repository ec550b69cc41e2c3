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

// Answer is the answer to a request for an ejection permit.
type Answer struct {
	// Permit is set if the permit was granted.
	Permit ejection.Permit
	// Reason says why it was refused.
	Reason string
}

// Permits is the source of ejection permits.
type Permits interface {
	// Request asks for a permit. It does not block; done is called once, on any
	// goroutine.
	Request(service registry.ServiceID, backend registry.BackendID, done func(Answer))
	// Release gives the permit of a backend server back. It does not block.
	Release(service registry.ServiceID, backend registry.BackendID)
}

// Options configures a Health. View, Permits and Apply are required.
type Options struct {
	Core ejection.Options
	// Ring is the number of observations that may wait. The default is 4096,
	// about 100 ms of work at 40,000 requests/s.
	Ring int
	// Tick is the interval between decisions. The default is 100 ms.
	Tick time.Duration
	// View returns the local view of the services. It is called once per tick
	// and must reflect all earlier calls of Apply.
	View    func() ejection.View
	Permits Permits
	// Apply puts a decision into effect in the record of a backend server of
	// this node.
	Apply func(backend registry.BackendID, state registry.BackendState, weight float64)
	// Sink takes the events; the default discards them.
	Sink event.Sink
	// Node is the id of this node in events.
	Node string
	// Now is the clock; the default is time.Now.
	Now func() time.Time
}

// Health owns the ejection core of a node.
type Health struct {
	opts         Options
	core         *ejection.Core
	observations *ring.Ring[evidence.Observation]

	mu       sync.Mutex
	commands []func(*ejection.Core)
}

// New returns a Health; Run starts it.
func New(o Options) *Health {
	if o.Ring <= 0 {
		o.Ring = 4096
	}
	if o.Tick <= 0 {
		o.Tick = 100 * time.Millisecond
	}
	if o.Sink == nil {
		o.Sink = event.Discard{}
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Health{
		opts:         o,
		core:         ejection.New(o.Core),
		observations: ring.New[evidence.Observation](o.Ring),
	}
}

// Observe hands over one exchange without blocking. It returns false if the
// observation was dropped.
func (h *Health) Observe(o evidence.Observation) bool { return h.observations.Offer(o) }

// Dropped returns the number of dropped observations.
func (h *Health) Dropped() int64 { return h.observations.Dropped() }

// SetWeight sets the detection weight of a service.
func (h *Health) SetWeight(service registry.ServiceID, weight float64) {
	h.enqueue(func(c *ejection.Core) { c.SetWeight(service, weight) })
}

// Remove forgets a backend server that left this node.
func (h *Health) Remove(backend registry.BackendID) {
	h.enqueue(func(c *ejection.Core) { c.Remove(backend) })
}

// Revoke reports that the permit of a backend server is no longer valid.
func (h *Health) Revoke(backend registry.BackendID) {
	h.enqueue(func(c *ejection.Core) { c.PermitRevoked(h.opts.Now(), backend) })
}

// enqueue defers a change of the core to its goroutine. The queue is bounded by
// its callers: policy changes, departures and one answer per request for a
// permit.
func (h *Health) enqueue(f func(*ejection.Core)) {
	h.mu.Lock()
	h.commands = append(h.commands, f)
	h.mu.Unlock()
}

// Run drives the core until ctx ends.
func (h *Health) Run(ctx context.Context) error {
	ticker := time.NewTicker(h.opts.Tick)
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

func (h *Health) tick() {
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
func (h *Health) apply(now time.Time, d ejection.Decision) {
	metrics.Add(d.Action.String(), 1)
	switch d.Action {
	case ejection.RequestPermit:
		h.publish(now, event.BackendSuspected, d)
		h.opts.Permits.Request(d.Service, d.Backend, func(a Answer) { h.answer(d.Backend, a) })
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

func (h *Health) answer(backend registry.BackendID, a Answer) {
	h.enqueue(func(c *ejection.Core) {
		if a.Permit.ID != "" {
			c.PermitGranted(h.opts.Now(), backend, a.Permit)
		} else {
			c.PermitRefused(h.opts.Now(), backend, a.Reason)
		}
	})
}

func (h *Health) publish(now time.Time, kind event.Kind, d ejection.Decision) {
	h.opts.Sink.Publish(event.Event{
		Time: now, Kind: kind, Node: h.opts.Node,
		Service: string(d.Service), Backend: string(d.Backend), Reason: d.Reason, Evidence: d.Evidence,
	})
}
