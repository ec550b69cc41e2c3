package ejection

import (
	"slices"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/evidence"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

type serviceState struct {
	detectionWeight float64
}

// server is the state of one backend server.
type server struct {
	id       registry.BackendID
	service  registry.ServiceID
	detector Detector
	state    State
	// dirty means that a sample arrived since the last tick.
	dirty bool

	permit Permit
	// requestedAt is the time of the pending permit request, or zero.
	requestedAt time.Time
	// refusalReason is the reason of a refusal since the last tick.
	refusalReason  string
	nextRequestAt  time.Time
	requestBackoff time.Duration
	successes      int
	failures       int
	// failingSince is the time since which the detector reports a failure, and
	// confirmingSamples the number of exchanges that began since then.
	failingSince      time.Time
	confirmingSamples int
	// baseline describes the service without this backend server.
	baseline baseline

	// backoffExponent is the backoff exponent at returnedAt, the time of the last
	// return to service.
	backoffExponent float64
	returnedAt      time.Time
	ejectedUntil    time.Time
	revoked         bool
	// unconfirmed means that the process was paused while the server was ejected,
	// so its permit must not be used for another ejection.
	unconfirmed bool
	score       float64
}

// Core decides about the backend servers of one owner node.
type Core struct {
	opts     Options
	services map[registry.ServiceID]*serviceState
	servers  map[registry.BackendID]*server
	// order keeps the decisions of a tick independent of the map order.
	order []*server
	// pendingReleases holds the permits to be released at the next tick.
	pendingReleases []Decision
	lastTick        time.Time
}

// New returns a core without backend servers.
func New(o Options) *Core {
	return &Core{
		opts:     o.withDefaults(),
		services: make(map[registry.ServiceID]*serviceState),
		servers:  make(map[registry.BackendID]*server),
	}
}

// SetWeight sets the detection weight of a service, 0 to 1.
func (c *Core) SetWeight(id registry.ServiceID, detectionWeight float64) {
	c.serviceState(id).detectionWeight = detectionWeight
	for _, s := range c.order {
		if s.service == id {
			s.detector.SetWeight(detectionWeight)
		}
	}
}

// State returns the state of a backend server; an unknown one is healthy.
func (c *Core) State(id registry.BackendID) State {
	if s := c.servers[id]; s != nil {
		return s.state
	}
	return Healthy
}

func (c *Core) serviceState(id registry.ServiceID) *serviceState {
	s := c.services[id]
	if s == nil {
		s = &serviceState{detectionWeight: DefaultDetectionWeight}
		c.services[id] = s
	}
	return s
}

// Observe processes the outcome of one exchange with a backend server.
func (c *Core) Observe(o evidence.Observation) {
	svc := c.serviceState(o.Service)
	if o.Kind == evidence.Shed || o.Kind == evidence.Canceled {
		return
	}
	s := c.servers[o.Backend]
	if s == nil {
		s = &server{id: o.Backend, service: o.Service, detector: c.opts.NewDetector()}
		s.detector.SetWeight(svc.detectionWeight)
		c.servers[o.Backend] = s
		c.order = append(c.order, s)
	}
	// A report excludes the backend server whose exchange it came with, so this
	// baseline uses only the reports of its own exchanges. Those of other backend
	// servers contain the failures of this one.
	base := s.baseline.merge(o.Baseline)
	if s.state == Ejected {
		// An ejected server gets no new exchanges: this one began before the
		// ejection and must not influence the state after it.
		return
	}
	failure := isFailure(o.Kind)
	s.dirty = true
	if o.At.Add(-o.Latency).After(s.failingSince) {
		s.confirmingSamples++
	}
	s.detector.Observe(Sample{At: o.At, Route: o.Route, Failure: failure, Latency: o.Latency, Baseline: base})
	if failure {
		s.successes = 0
		s.failures++
	} else if base.Median <= 0 || o.Latency <= slowSuccessFactor*base.Median {
		s.successes++
	}
}

// slowSuccessFactor is the multiple of the median latency up to which a success
// counts towards the end of probation. A slower success neither counts nor resets
// the count, because the latency of a healthy server has a long tail.
const slowSuccessFactor = 4

// PermitGranted reports that a requested permit is held for the backend server.
func (c *Core) PermitGranted(_ time.Time, id registry.BackendID, p Permit) {
	s := c.servers[id]
	if s == nil {
		// Remove has already released the permit or the request.
		return
	}
	if s.permit.ID != "" || (s.state != Suspected && s.state != Degraded) {
		// The server recovered or returned while the request was pending.
		s.requestedAt = time.Time{}
		if s.permit.ID != p.ID {
			c.pendingReleases = append(c.pendingReleases, Decision{
				Action: ReleasePermit, Backend: id, Service: s.service, Permit: p, Weight: 1, Reason: ReasonPermitNotUsed,
			})
		}
		return
	}
	s.requestedAt = time.Time{}
	s.permit = p
	s.requestBackoff = 0
}

// PermitRefused reports that no permit could be obtained for the backend server.
func (c *Core) PermitRefused(now time.Time, id registry.BackendID, reason string) {
	s := c.servers[id]
	if s == nil || s.requestedAt.IsZero() {
		return
	}
	s.requestedAt = time.Time{}
	s.refusalReason = reason
	c.backOffRequest(now, s)
}

// PermitRevoked reports that the permit of a backend server is no longer valid.
// An ejected server returns at the next tick.
func (c *Core) PermitRevoked(now time.Time, id registry.BackendID) {
	s := c.servers[id]
	if s == nil {
		return
	}
	s.permit = Permit{}
	if s.state == Ejected {
		s.ejectedUntil, s.revoked = now, true
	}
}

// Remove deletes the state of a backend server that this node no longer owns. A
// held or requested permit is released at the next tick.
func (c *Core) Remove(id registry.BackendID) {
	s := c.servers[id]
	if s == nil {
		return
	}
	if s.permit.ID != "" || !s.requestedAt.IsZero() {
		c.pendingReleases = append(c.pendingReleases, Decision{
			Action: ReleasePermit, Backend: id, Service: s.service, Permit: s.permit, Reason: ReasonRemoved,
		})
	}
	delete(c.servers, id)
	c.order = slices.DeleteFunc(c.order, func(o *server) bool { return o == s })
}
