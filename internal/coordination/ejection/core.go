package ejection

import (
	"slices"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/evidence"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

type service struct {
	weight float64
}

// server is the state of one backend server.
type server struct {
	id       registry.BackendID
	service  registry.ServiceID
	detector Detector
	state    State
	// dirty says that a sample arrived since the last tick.
	dirty bool

	permit Permit
	// asked is the time of the unanswered request for a permit; zero if none.
	asked time.Time
	// refused is the reason of the last refusal until the next tick.
	refused   string
	askAgain  time.Time
	askWait   time.Duration
	successes int
	failures  int
	// failingSince is the time since which the detector reports a failure, and
	// confirming the number of exchanges that began since then.
	failingSince time.Time
	confirming   int
	// baseline is the behaviour of the service without this backend server.
	baseline baseline

	// level is the backoff exponent at the time of returned.
	level    float64
	returned time.Time
	until    time.Time
	revoked  bool
	// unconfirmed says that the process was paused while the server was ejected,
	// so its permit must not serve for another ejection.
	unconfirmed bool
	score       float64
}

// Core decides about the backend servers of one owner node.
type Core struct {
	opts     Options
	services map[registry.ServiceID]*service
	servers  map[registry.BackendID]*server
	// order keeps the decisions of a tick independent of the map order.
	order []*server
	// unused holds the permits to be released at the next tick.
	unused   []Decision
	lastTick time.Time
}

// New returns a core without backend servers.
func New(o Options) *Core {
	return &Core{
		opts:     o.withDefaults(),
		services: make(map[registry.ServiceID]*service),
		servers:  make(map[registry.BackendID]*server),
	}
}

// SetWeight sets the detection weight of a service, 0 to 1.
func (c *Core) SetWeight(id registry.ServiceID, detectionWeight float64) {
	c.service(id).weight = detectionWeight
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

func (c *Core) service(id registry.ServiceID) *service {
	s := c.services[id]
	if s == nil {
		s = &service{weight: DefaultDetectionWeight}
		c.services[id] = s
	}
	return s
}

// Observe takes one exchange with a backend server.
func (c *Core) Observe(o evidence.Observation) {
	svc := c.service(o.Service)
	if o.Kind == evidence.Shed || o.Kind == evidence.Canceled {
		return
	}
	s := c.servers[o.Backend]
	if s == nil {
		s = &server{id: o.Backend, service: o.Service, detector: c.opts.NewDetector()}
		s.detector.SetWeight(svc.weight)
		c.servers[o.Backend] = s
		c.order = append(c.order, s)
	}
	// Each report leaves out the backend server that it came with. Reports that
	// came with other backend servers contain the failures of this one.
	base := s.baseline.merge(o.Baseline)
	if s.state == Ejected {
		// Exchanges that began before the ejection are judged already.
		return
	}
	failure := isFailure(o.Kind)
	s.dirty = true
	if o.At.Add(-o.Latency).After(s.failingSince) {
		s.confirming++
	}
	s.detector.Observe(Sample{At: o.At, Route: o.Route, Failure: failure, Latency: o.Latency, Baseline: base})
	if failure {
		s.successes = 0
		s.failures++
	} else if base.Median <= 0 || o.Latency <= slowSuccess*base.Median {
		s.successes++
	}
}

// slowSuccess is the multiple of the median latency up to which a success
// counts towards the end of probation. A slower success neither counts nor
// starts the count again, because healthy latency has a long tail.
const slowSuccess = 4

// PermitGranted reports that a requested permit is held for the backend server.
func (c *Core) PermitGranted(_ time.Time, id registry.BackendID, p Permit) {
	s := c.servers[id]
	if s == nil {
		// Remove has released what was held or asked for.
		return
	}
	if s.permit.ID != "" || (s.state != Suspected && s.state != Degraded) {
		// The server recovered or returned while the request was under way.
		s.asked = time.Time{}
		if s.permit.ID != p.ID {
			c.unused = append(c.unused, Decision{
				Action: ReleasePermit, Backend: id, Service: s.service, Permit: p, Weight: 1, Reason: ReasonNotUsed,
			})
		}
		return
	}
	s.asked = time.Time{}
	s.permit = p
	s.askWait = 0
}

// PermitRefused reports that no permit could be had for the backend server.
func (c *Core) PermitRefused(now time.Time, id registry.BackendID, reason string) {
	s := c.servers[id]
	if s == nil || s.asked.IsZero() {
		return
	}
	s.asked = time.Time{}
	s.refused = reason
	c.delayRequest(now, s)
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
		s.until, s.revoked = now, true
	}
}

// Remove forgets a backend server that left this owner. A permit held or asked
// for is released at the next tick.
func (c *Core) Remove(id registry.BackendID) {
	s := c.servers[id]
	if s == nil {
		return
	}
	if s.permit.ID != "" || !s.asked.IsZero() {
		c.unused = append(c.unused, Decision{
			Action: ReleasePermit, Backend: id, Service: s.service, Permit: s.permit, Reason: ReasonRemoved,
		})
	}
	delete(c.servers, id)
	c.order = slices.DeleteFunc(c.order, func(o *server) bool { return o == s })
}
