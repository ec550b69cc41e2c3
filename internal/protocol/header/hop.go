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
	// AnswerWithin is the time within which the response must begin. 0 means TimeLeft.
	AnswerWithin time.Duration
	Attempt      int
	Caller       string
	// CallerWeight is the share of the caller in the slots of a backend server, relative to
	// other callers. 0 means 1.
	CallerWeight float64
	// Region is the region of the ingress node.
	Region   string
	Baseline evidence.Baseline
	// Rank is the rank of the route. Rank 0 is served first.
	Rank int
	// Idempotent is set if the request may run more than once.
	Idempotent bool
	// Trial is set if the request may test a suspect backend server, because the request
	// is retried elsewhere if it fails, or because no other backend server is left for it.
	Trial bool
	// Origin identifies the ingress process. If it is empty, the attempt cannot be recovered;
	// see Recovery.
	Origin string
	// Sequence numbers the attempts of the ingress process in the order of their start.
	Sequence uint64
	// Objective is the time left in which a response is fully useful to the caller. 0
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
	// StatusInHeader is set if a status of 300 or above must not be that of the reply. The
	// HTTP/2 client of net/http sends no more of a body once a reply of status 300 or above
	// has begun.
	StatusInHeader bool
}

// flagSet is the value of a header that is either absent or set.
const flagSet = "1"

// Write sets the headers of the hop in h.
func (hop *Hop) Write(h http.Header) {
	set := func(name, value string) {
		if value != "" {
			h[name] = []string{value}
		}
	}
	set(RequestID, hop.RequestID)
	set(Backend, string(hop.Backend))
	set(Service, string(hop.Service))
	set(Route, hop.Route)
	set(OwnerIncarnation, strconv.FormatUint(hop.Incarnation, 10))
	set(DeadlineMillis, FormatDeadline(hop.TimeLeft))
	set(Attempt, FormatAttempt(hop.Attempt))
	set(Region, hop.Region)
	set(Baseline, FormatBaseline(hop.Baseline))
	set(Caller, hop.Caller)
	if hop.CallerWeight > 0 {
		set(CallerWeight, strconv.FormatFloat(hop.CallerWeight, 'g', -1, 64))
	}
	if hop.AnswerWithin > 0 {
		set(AnswerWithinMillis, FormatDeadline(hop.AnswerWithin))
	}
	if hop.Rank > 0 {
		set(Rank, strconv.Itoa(hop.Rank))
	}
	if hop.Idempotent {
		set(Idempotent, flagSet)
	}
	if hop.Trial {
		set(Trial, flagSet)
	}
	if hop.Objective > 0 {
		set(ObjectiveMillis, FormatDeadline(hop.Objective))
	}
	if hop.Explore {
		set(Explore, flagSet)
	}
	if hop.Repeat {
		set(Repeat, flagSet)
	}
	if hop.NoBetterBackend {
		set(NoBetterBackend, flagSet)
	}
	if hop.StatusInHeader {
		set(StatusInHeader, flagSet)
	}
	if hop.Origin != "" {
		set(Origin, hop.Origin)
		set(Sequence, strconv.FormatUint(hop.Sequence, 10))
	}
}

// ReadHop reads the headers that Write sets.
func ReadHop(h http.Header) (Hop, error) {
	hop := Hop{
		RequestID: h.Get(RequestID),
		Backend:   registry.BackendID(h.Get(Backend)),
		Service:   registry.ServiceID(h.Get(Service)),
		Route:     h.Get(Route),
		Caller:    CallerName(h.Get(Caller)),
		Region:    h.Get(Region),
	}
	if !UsableRequestID(hop.RequestID) {
		return hop, fmt.Errorf("%s: invalid request id", RequestID)
	}
	if hop.Backend == "" || hop.Service == "" {
		return hop, fmt.Errorf("%s, %s: missing", Backend, Service)
	}
	hop.Idempotent = h.Get(Idempotent) == flagSet
	hop.Explore = h.Get(Explore) == flagSet
	hop.Repeat = h.Get(Repeat) == flagSet
	hop.NoBetterBackend = h.Get(NoBetterBackend) == flagSet
	hop.Trial = h.Get(Trial) == flagSet
	hop.StatusInHeader = h.Get(StatusInHeader) == flagSet
	var err error
	if s := h.Get(Rank); s != "" {
		if hop.Rank, err = strconv.Atoi(s); err != nil || hop.Rank < 0 {
			return hop, fmt.Errorf("%s: %q is not a rank", Rank, s)
		}
	}
	if s := h.Get(ObjectiveMillis); s != "" {
		if hop.Objective, err = ParseDeadline(s); err != nil {
			return hop, err
		}
	}
	if s := h.Get(CallerWeight); s != "" {
		hop.CallerWeight, err = strconv.ParseFloat(s, 64)
		if err != nil || !(hop.CallerWeight > 0 && hop.CallerWeight <= maxCallerWeight) {
			return hop, fmt.Errorf("%s: %q is not a weight", CallerWeight, s)
		}
	}
	if hop.Origin, hop.Sequence, err = readOrigin(h); err != nil {
		return hop, err
	}
	if hop.Incarnation, err = strconv.ParseUint(h.Get(OwnerIncarnation), 10, 64); err != nil {
		return hop, fmt.Errorf("%s: invalid incarnation", OwnerIncarnation)
	}
	if hop.TimeLeft, err = ParseDeadline(h.Get(DeadlineMillis)); err != nil {
		return hop, err
	}
	if s := h.Get(AnswerWithinMillis); s != "" {
		if hop.AnswerWithin, err = ParseDeadline(s); err != nil {
			return hop, err
		}
	}
	if hop.Attempt, err = ParseAttempt(h.Get(Attempt)); err != nil {
		return hop, err
	}
	hop.Baseline, err = ParseBaseline(h.Get(Baseline))
	return hop, err
}

// maxCallerWeight bounds the weight of a caller.
const maxCallerWeight = 1e12

// maxOriginBytes bounds the length of the name of an ingress process.
const maxOriginBytes = 128

// readOrigin reads the headers Origin and Sequence, which are absent or present together.
func readOrigin(h http.Header) (origin string, sequence uint64, err error) {
	origin = h.Get(Origin)
	if origin == "" {
		return "", 0, nil
	}
	if len(origin) > maxOriginBytes {
		return "", 0, fmt.Errorf("%s: longer than %d bytes", Origin, maxOriginBytes)
	}
	if sequence, err = strconv.ParseUint(h.Get(Sequence), 10, 64); err != nil {
		return "", 0, fmt.Errorf("%s: invalid sequence", Sequence)
	}
	return origin, sequence, nil
}

// Recovery asks an owner what became of an attempt whose connection failed. The reply is that
// to the attempt itself, as soon as it is complete. If the owner has not received the attempt,
// it refuses it from then on, and the reply is that it has not run.
type Recovery struct {
	RequestID string
	Origin    string
	Sequence  uint64
	// Incarnation is the incarnation of the owner to which the attempt was sent.
	Incarnation uint64
	// TimeLeft is the time left for the request.
	TimeLeft time.Duration
}

// Write sets the headers of the query in h.
func (r *Recovery) Write(h http.Header) {
	h[Recover] = []string{flagSet}
	h[RequestID] = []string{r.RequestID}
	h[Origin] = []string{r.Origin}
	h[Sequence] = []string{strconv.FormatUint(r.Sequence, 10)}
	h[OwnerIncarnation] = []string{strconv.FormatUint(r.Incarnation, 10)}
	h[DeadlineMillis] = []string{FormatDeadline(r.TimeLeft)}
}

// ReadRecovery reads the headers that Recovery.Write sets.
func ReadRecovery(h http.Header) (Recovery, error) {
	r := Recovery{RequestID: h.Get(RequestID)}
	if !UsableRequestID(r.RequestID) {
		return r, fmt.Errorf("%s: invalid request id", RequestID)
	}
	var err error
	if r.Origin, r.Sequence, err = readOrigin(h); err != nil {
		return r, err
	}
	if r.Origin == "" {
		return r, fmt.Errorf("%s: missing", Origin)
	}
	if r.Incarnation, err = strconv.ParseUint(h.Get(OwnerIncarnation), 10, 64); err != nil {
		return r, fmt.Errorf("%s: invalid incarnation", OwnerIncarnation)
	}
	r.TimeLeft, err = ParseDeadline(h.Get(DeadlineMillis))
	return r, err
}
