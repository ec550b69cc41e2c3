package header

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/evidence"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Hop is the information about a request that an ingress node sends to the owner.
type Hop struct {
	RequestID   string
	Backend     registry.BackendID
	Service     registry.ServiceID
	Route       string
	Incarnation uint64
	// TimeLeft is the time left for the request.
	TimeLeft time.Duration
	// AnswerWithin is the time within which the answer must begin. 0 means TimeLeft.
	AnswerWithin time.Duration
	Attempt      int
	Caller       string
	// Region is the region of the ingress node.
	Region   string
	Baseline evidence.Baseline
	// Rank is the rank of the route. Rank 0 is served first.
	Rank int
	// Idempotent is set if the request may run more than once.
	Idempotent bool
	// Trial is set if the request may test a suspect backend server, because it is
	// retried elsewhere if it fails or has no other backend server left.
	Trial bool
	// Objective is the time left in which an answer is fully useful to the caller. 0
	// means that there is no objective or that it has passed.
	Objective time.Duration
	// Explore is set if the request was tried elsewhere before or may run again, and the
	// share of unserved requests of the service is high. The request may then test a
	// suspect backend server that has had no trial for some time.
	Explore bool
	// Repeat is set if the request may have reached a backend server before.
	Repeat bool
	// NoBetterBackend is set if no other backend server is better for the request, so that
	// a suspect one may serve it. This is the case if most backend servers of the service
	// are suspect, or if all others have refused a request that may run again.
	NoBetterBackend bool
}

// flagSet is the value of a header that is either absent or set.
const flagSet = "1"

// Write sets the headers of the hop in h.
func (p *Hop) Write(h http.Header) {
	set := func(name, value string) {
		if value != "" {
			h[name] = []string{value}
		}
	}
	set(RequestID, p.RequestID)
	set(Backend, string(p.Backend))
	set(Service, string(p.Service))
	set(Route, p.Route)
	set(OwnerIncarnation, strconv.FormatUint(p.Incarnation, 10))
	set(DeadlineMillis, FormatDeadline(p.TimeLeft))
	set(Attempt, FormatAttempt(p.Attempt))
	set(Region, p.Region)
	set(Baseline, FormatBaseline(p.Baseline))
	set(Caller, p.Caller)
	if p.AnswerWithin > 0 {
		set(AnswerWithinMillis, FormatDeadline(p.AnswerWithin))
	}
	if p.Rank > 0 {
		set(Rank, strconv.Itoa(p.Rank))
	}
	if p.Idempotent {
		set(Idempotent, flagSet)
	}
	if p.Trial {
		set(Trial, flagSet)
	}
	if p.Objective > 0 {
		set(ObjectiveMillis, FormatDeadline(p.Objective))
	}
	if p.Explore {
		set(Explore, flagSet)
	}
	if p.Repeat {
		set(Repeat, flagSet)
	}
	if p.NoBetterBackend {
		set(NoBetterBackend, flagSet)
	}
}

// ReadHop reads the headers that Write sets.
func ReadHop(h http.Header) (Hop, error) {
	p := Hop{
		RequestID: h.Get(RequestID),
		Backend:   registry.BackendID(h.Get(Backend)),
		Service:   registry.ServiceID(h.Get(Service)),
		Route:     h.Get(Route),
		Caller:    CallerName(h.Get(Caller)),
		Region:    h.Get(Region),
	}
	if !UsableRequestID(p.RequestID) {
		return p, fmt.Errorf("%s: invalid request id", RequestID)
	}
	if p.Backend == "" || p.Service == "" {
		return p, fmt.Errorf("%s, %s: missing", Backend, Service)
	}
	p.Idempotent = h.Get(Idempotent) == flagSet
	p.Explore = h.Get(Explore) == flagSet
	p.Repeat = h.Get(Repeat) == flagSet
	p.NoBetterBackend = h.Get(NoBetterBackend) == flagSet
	p.Trial = h.Get(Trial) == flagSet
	var err error
	if s := h.Get(Rank); s != "" {
		if p.Rank, err = strconv.Atoi(s); err != nil || p.Rank < 0 {
			return p, fmt.Errorf("%s: %q is not a rank", Rank, s)
		}
	}
	if s := h.Get(ObjectiveMillis); s != "" {
		if p.Objective, err = ParseDeadline(s); err != nil {
			return p, err
		}
	}
	if p.Incarnation, err = strconv.ParseUint(h.Get(OwnerIncarnation), 10, 64); err != nil {
		return p, fmt.Errorf("%s: invalid incarnation", OwnerIncarnation)
	}
	if p.TimeLeft, err = ParseDeadline(h.Get(DeadlineMillis)); err != nil {
		return p, err
	}
	if s := h.Get(AnswerWithinMillis); s != "" {
		if p.AnswerWithin, err = ParseDeadline(s); err != nil {
			return p, err
		}
	}
	if p.Attempt, err = ParseAttempt(h.Get(Attempt)); err != nil {
		return p, err
	}
	p.Baseline, err = ParseBaseline(h.Get(Baseline))
	return p, err
}
