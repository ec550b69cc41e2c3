package header

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/evidence"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Hop is what an ingress node tells the owner about a request.
type Hop struct {
	RequestID   string
	Backend     registry.BackendID
	Service     registry.ServiceID
	Route       string
	Incarnation uint64
	// Left is the time left for the request.
	Left time.Duration
	// AnswerWithin is the time within which the answer must begin; 0 means Left.
	AnswerWithin time.Duration
	Attempt      int
	Caller       string
	// Region is the region of the ingress node.
	Region   string
	Baseline evidence.Baseline
}

// Write adds the headers of the hop to h.
func (p *Hop) Write(h http.Header) {
	names := [...]string{
		RequestID, Backend, Service, Route, OwnerIncarnation, DeadlineMillis, Attempt, Region, Baseline,
		Caller, AnswerWithinMillis,
	}
	values := [len(names)]string{
		p.RequestID, string(p.Backend), string(p.Service), p.Route, strconv.FormatUint(p.Incarnation, 10),
		FormatDeadline(p.Left), FormatAttempt(p.Attempt), p.Region, FormatBaseline(p.Baseline), p.Caller,
	}
	if p.AnswerWithin > 0 {
		values[len(names)-1] = FormatDeadline(p.AnswerWithin)
	}
	for i, name := range names {
		if values[i] != "" {
			h[name] = values[i : i+1 : i+1]
		}
	}
}

// ReadHop reads the headers that Write adds.
func ReadHop(h http.Header) (Hop, error) {
	p := Hop{
		RequestID: h.Get(RequestID),
		Backend:   registry.BackendID(h.Get(Backend)),
		Service:   registry.ServiceID(h.Get(Service)),
		Route:     h.Get(Route),
		Caller:    CallerName(h.Get(Caller)),
		Region:    h.Get(Region),
	}
	if !ValidRequestID(p.RequestID) {
		return p, fmt.Errorf("%s: not a request id", RequestID)
	}
	if p.Backend == "" || p.Service == "" {
		return p, fmt.Errorf("%s, %s: missing", Backend, Service)
	}
	var err error
	if p.Incarnation, err = strconv.ParseUint(h.Get(OwnerIncarnation), 10, 64); err != nil {
		return p, fmt.Errorf("%s: not an incarnation", OwnerIncarnation)
	}
	if p.Left, err = ParseDeadline(h.Get(DeadlineMillis)); err != nil {
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
