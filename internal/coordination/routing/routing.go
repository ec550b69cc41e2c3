package routing

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/cost"
	"wigeonspring.example/wigeonspring/internal/invariant"
	"wigeonspring.example/wigeonspring/internal/state/evidence"
	"wigeonspring.example/wigeonspring/internal/state/policy"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Parameters of the balancer.
const (
	// DefaultSubsetSize is the number of backend servers per locality level to
	// which one ingress node sends the requests of a route.
	DefaultSubsetSize = 12
	// LoadReportMaxAge is the age at which a load report no longer counts. Until
	// then, its weight falls linearly.
	LoadReportMaxAge = 5 * time.Second
	// PeerExclusion is how long an owner is avoided after the connection to it has
	// failed.
	PeerExclusion = 5 * time.Second
	// SuspectReportTTL is how long a report that a backend server is suspect counts if it
	// does not state a time. It is shorter than a suspicion, which lasts at least a second.
	// After it, the next request may go to the backend server again, which costs a round
	// trip if the owner still refuses it.
	SuspectReportTTL = 700 * time.Millisecond
	// maxRetryAfter bounds how long a report that a backend server is suspect counts.
	maxRetryAfter = 5 * time.Second
	// FullReportTTL is how long a refusal because of a full queue counts. A queue of two
	// requests for each slot does not run empty meanwhile.
	FullReportTTL = 150 * time.Millisecond
	// DefaultSpillPercent and DefaultSpillBytesPerSecond limit the traffic to other
	// regions if the policy states no limits. The balancer itself applies no
	// defaults: a limit of 0 in a request means that no such traffic is allowed.
	DefaultSpillPercent        = 5
	DefaultSpillBytesPerSecond = 64 << 10
)

// Locality is the distance between the ingress node and the owner of a backend server.
type Locality uint8

// Locality levels, nearest first.
const (
	SameDomain Locality = iota
	SameRegion
	OtherRegion
	levels = 3
)

var localityNames = [levels]string{"same_domain", "same_region", "other_region"}

// String returns the name of the level.
func (l Locality) String() string {
	if int(l) < levels {
		return localityNames[l]
	}
	return fmt.Sprintf("locality(%d)", uint8(l))
}

// Reason is the machine-readable reason why no backend server was chosen.
type Reason string

// Reasons of a Refusal.
const (
	// NoRoute: the request matches no route.
	NoRoute Reason = "no_route"
	// NoBackend: no backend server of the service is known.
	NoBackend Reason = "no_backend"
	// NoMatch: no backend server carries the labels of the route.
	NoMatch Reason = "no_backend_matches_route"
	// NoneServing: all backend servers of the route are draining or ejected.
	NoneServing Reason = "no_backend_serving"
	// AllTried: this request has tried all backend servers of the route.
	AllTried Reason = "all_backends_tried"
	// AllFull: all backend servers of the route that this request has not tried have just
	// refused one that was as urgent, because their queues are full, or are suspect.
	AllFull Reason = "all_backends_full"
	// SpillLimited: only other regions have candidates, and the limit of traffic to
	// other regions is reached.
	SpillLimited Reason = "spill_limited"
)

// Refusal is the error of Pick. The request has not run.
type Refusal struct {
	Reason  Reason
	Service registry.ServiceID
	Route   string
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("no backend server for service %q, route %q: %s", r.Service, r.Route, r.Reason)
}

// Options configures a Balancer.
type Options struct {
	// Self is the ID of the ingress node.
	Self          registry.NodeID
	FailureDomain string
	Region        string
	// SubsetSize bounds the candidates per level; 0 selects DefaultSubsetSize.
	SubsetSize int
	// SpillBytesPerSecond limits the traffic from this node to other regions over all
	// services, in addition to the limit of each service; 0 means no limit.
	SpillBytesPerSecond int64
	// Cost estimates the work of requests. Requests are then placed by their expected
	// completion time; nil places them by free slots.
	Cost *cost.Estimator
}

// Request describes a request to Pick.
type Request struct {
	Service registry.ServiceID
	Route   *policy.Route
	Limits  policy.Limits
	// BodyBytes is the size of the request body, or negative if it is unknown.
	BodyBytes int64
	// Class is the class of the request for Options.Cost.
	Class cost.Class
	// TimeToObjective is the time left until a response is late; 0 if there is no objective or
	// if it has passed.
	TimeToObjective time.Duration
	// Tried lists the backend servers of earlier attempts.
	Tried []registry.BackendID
	// Rank is the priority of the request at the owners, 0 being the highest.
	Rank int
	// NoBetterBackend states that owners admit the request also to suspect backend servers.
	NoBetterBackend bool
	// AvoidSuspects leaves out backend servers that their owner has recently reported
	// as suspect, unless no others are left.
	AvoidSuspects bool
}

// Target is a chosen backend server. Each Target is passed to Done exactly once.
type Target struct {
	Backend  registry.BackendID
	Service  registry.ServiceID
	Owner    *registry.Node
	Locality Locality
	// InUse and Queued are the load of the backend server as the ingress node knew it
	// at the time of the choice. ReportAge is the age of the owner's load report, or
	// negative if there was none.
	InUse, Queued int
	ReportAge     time.Duration
	// ExpectedWork and ExpectedWait are the estimates on which the choice was based, or 0.
	ExpectedWork, ExpectedWait time.Duration
	// AvoidedSuspects is the number of suspect backend servers that AvoidSuspects left out, at
	// the levels that were considered.
	AvoidedSuspects int

	attempt *attempt
}

// attempt is the balancer's accounting of a Target.
type attempt struct {
	service      *service
	stats        *backendStats
	bodyBytes    int64
	rank         int
	work         time.Duration // expected work
	class        cost.Class
	mayTest      bool  // the request may test a suspect backend server
	chargedBytes int64 // bytes charged to the limits of traffic to other regions
	done         bool
}

// Outcome is how an attempt ended, as far as the balancer is concerned.
type Outcome uint8

// Outcomes.
const (
	// Completed: the owner forwarded a response or reported a failure of the backend
	// server.
	Completed Outcome = iota
	// RefusedByOwner: the owner refused the request before it ran.
	RefusedByOwner
	// PeerFailed: the connection to the owner failed.
	PeerFailed
	// Abandoned: the attempt was given up, for example because the caller canceled
	// the request. It is no evidence about the backend server or its owner.
	Abandoned
)

// Result describes how an attempt ended.
type Result struct {
	Outcome Outcome
	// Failed marks a Completed attempt as a failure of the backend server.
	Failed  bool
	Latency time.Duration
	// Load is the load that the owner reported with its response, or nil.
	Load *evidence.Load
	// Work is the service time at the backend server, or 0 if it is not known.
	Work time.Duration
	// Backlog is the owner's estimate of the wait for a slot, or negative if it is not known.
	Backlog time.Duration
	// RetryAfter is how long requests like this one should avoid the backend server because
	// it is suspect, or 0.
	RetryAfter time.Duration
	// OwnerReplaced is set if the owner refused the request because it was meant for another
	// process of the node. The node is avoided until its new record arrives.
	OwnerReplaced bool
	// QueueFull is set if the owner refused the request because its queue is full.
	QueueFull bool
	// Bytes is the total size of the request and the response.
	Bytes int64
}

// Balancer chooses backend servers at one ingress node. It is safe for concurrent
// use.
type Balancer struct {
	opt        Options
	services   sync.Map // registry.ServiceID -> *service
	exclusions atomic.Pointer[exclusions]
	mu         sync.Mutex // serializes writes to exclusions and guards nodeSpill
	nodeSpill  *byteLimiter

	disabled disabledMechanisms
}

// disabledMechanisms switches mechanisms off in tests, which show that the invariants detect
// their absence.
type disabledMechanisms struct{ states, tried, spillShare bool }

// exclusions is an immutable set of owners to avoid.
type exclusions struct {
	until map[registry.NodeID]exclusion
	last  time.Time // when the last exclusion ends
}

// exclusion avoids an owner for some time.
type exclusion struct {
	until time.Time
	// incarnation restricts the exclusion to one incarnation, unless it is 0.
	incarnation uint64
}

func (e *exclusions) has(owner *registry.Node, now time.Time) bool {
	if e == nil {
		return false
	}
	x, ok := e.until[owner.ID]
	return ok && now.Before(x.until) && (x.incarnation == 0 || x.incarnation == owner.Incarnation)
}

// New returns a balancer without observations.
func New(opt Options) *Balancer {
	opt.SubsetSize = cmp.Or(opt.SubsetSize, DefaultSubsetSize)
	b := &Balancer{opt: opt}
	if opt.SpillBytesPerSecond > 0 {
		b.nodeSpill = newByteLimiter(opt.SpillBytesPerSecond)
	}
	return b
}

// Pick chooses the backend server of an attempt, or returns a *Refusal. rng must
// not be used by another call at the same time.
func (b *Balancer) Pick(now time.Time, rng *rand.Rand, snap *registry.Snapshot, r Request) (Target, error) {
	if r.Route == nil {
		return Target{}, &Refusal{Reason: NoRoute, Service: r.Service}
	}
	s := b.service(r.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.view(now, b, snap, r.Route)
	if len(r.Tried) == 0 {
		s.spill.addCredit(r.Limits.SpillPercent)
	}
	p := picker{b: b, s: s, v: v, now: now, rng: rng, r: &r}
	if e := b.exclusions.Load(); e != nil && now.Before(e.last) {
		p.excluded = e
	}
	p.avoidSuspects, p.awaitTurn, p.avoidFull = r.AvoidSuspects, !r.AvoidSuspects && !r.NoBetterBackend, true
	t, reason := p.pick()
	if reason != "" && p.refusalsAreCertain() {
		return Target{}, &Refusal{Reason: AllFull, Service: r.Service, Route: r.Route.Name}
	}
	if reason != "" {
		p.avoidSuspects, p.awaitTurn, p.avoidFull = false, false, false
		t, reason = p.pick()
	}
	if reason != "" && p.excluded != nil {
		// Trying an excluded owner is better than refusing the request: the failure
		// may have been brief, and a failed connection attempt costs little.
		p.excluded = nil
		t, reason = p.pick()
	}
	if reason != "" {
		if v.empty() {
			reason = v.reason
		}
		return Target{}, &Refusal{Reason: reason, Service: r.Service, Route: r.Route.Name}
	}
	return t, nil
}

// HasFreeSlot reports whether a backend server that was not tried is known to have a
// free slot, at any locality level that the request may go to.
func (b *Balancer) HasFreeSlot(now time.Time, snap *registry.Snapshot, r Request) bool {
	s := b.service(r.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := picker{b: b, s: s, v: s.view(now, b, snap, r.Route), now: now, r: &r, avoidSuspects: r.AvoidSuspects, excluded: b.exclusions.Load()}
	for level := range Locality(levels) {
		if level == OtherRegion && !p.spillAllowed() {
			break
		}
		cands, _ := p.candidates(level)
		if len(p.withFreeSlots(cands)) > 0 {
			return true
		}
	}
	return false
}

// Done records the end of the attempt for which Pick returned the target. If the
// outcome is PeerFailed, Done also calls Balancer.PeerFailed for the owner.
func (b *Balancer) Done(now time.Time, t Target, r Result) {
	a := t.attempt
	if a == nil {
		return
	}
	switch {
	case r.Outcome == PeerFailed:
		b.PeerFailed(now, t.Owner.ID)
	case r.OwnerReplaced:
		b.exclude(now, t.Owner.ID, t.Owner.Incarnation)
	}
	s := a.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.done {
		invariant.Check(false, "routing_done_once", "attempt at backend server %s ended twice", t.Backend)
		return
	}
	a.done = true
	if r.Load != nil {
		a.stats.report(now, *r.Load)
		a.stats.reportBacklog(r.Backlog)
	}
	if r.RetryAfter > 0 {
		until := now.Add(min(r.RetryAfter, maxRetryAfter))
		if a.mayTest {
			a.stats.trialAfter = until
		} else {
			a.stats.suspectUntil = until
		}
	}
	if r.QueueFull {
		a.stats.fullUntil, a.stats.fullRank = now.Add(FullReportTTL), a.rank
	}
	a.stats.inUse--
	a.stats.placedWork = max(0, a.stats.placedWork-a.work)
	switch r.Outcome {
	case Completed:
		s.overflow[t.Locality].decrease(now)
		a.stats.sampledAt = now
		s.samples.add(now, a.stats, r.Failed, r.Latency)
		b.learn(now, t.Backend, a, r.Work)
	case RefusedByOwner:
		s.overflow[t.Locality].increase(now)
	}
	if t.Locality == OtherRegion {
		s.spill.settle(now, a, r.Bytes)
		b.chargeNodeSpill(now, r.Bytes-a.chargedBytes)
	}
}

// PeerFailed makes the balancer avoid an owner for PeerExclusion.
func (b *Balancer) PeerFailed(now time.Time, id registry.NodeID) {
	if id != b.opt.Self {
		b.exclude(now, id, 0)
	}
}

// exclude avoids an owner for PeerExclusion. An incarnation other than 0 ends the exclusion
// when the owner has another one.
func (b *Balancer) exclude(now time.Time, id registry.NodeID, incarnation uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	end := now.Add(PeerExclusion)
	next := &exclusions{until: map[registry.NodeID]exclusion{id: {end, incarnation}}, last: end}
	if old := b.exclusions.Load(); old != nil {
		for other, x := range old.until {
			if other != id && now.Before(x.until) {
				next.until[other] = x
				next.last = maxTime(next.last, x.until)
			}
		}
	}
	b.exclusions.Store(next)
}

// Baseline summarizes the attempts of this node at a service in the last 30 s, without
// those at one backend server. It is computed at most twice a second per backend
// server.
func (b *Balancer) Baseline(now time.Time, id registry.ServiceID, exclude registry.BackendID) evidence.Baseline {
	s := b.service(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stats[exclude]
	if st == nil {
		return s.samples.baseline(now, nil)
	}
	if st.baselineAt.IsZero() || now.Sub(st.baselineAt) >= baselineRefresh {
		st.baseline, st.baselineAt = s.samples.baseline(now, st), now
	}
	return st.baseline
}

// InUse returns the number of attempts of this node in flight at a backend server.
func (b *Balancer) InUse(service registry.ServiceID, id registry.BackendID) int {
	s := b.service(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.stats[id]; st != nil {
		return st.inUse
	}
	return 0
}

func (b *Balancer) service(id registry.ServiceID) *service {
	if s, ok := b.services.Load(id); ok {
		return s.(*service)
	}
	s, _ := b.services.LoadOrStore(id, newService(id))
	return s.(*service)
}

// nodeSpillAllowed reports whether the limit of the node allows traffic to other
// regions now.
func (b *Balancer) nodeSpillAllowed(now time.Time) bool {
	if b.nodeSpill == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.nodeSpill.hasTokens(now)
}

func (b *Balancer) chargeNodeSpill(now time.Time, bytes int64) {
	if b.nodeSpill == nil || bytes <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodeSpill.charge(now, bytes)
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
