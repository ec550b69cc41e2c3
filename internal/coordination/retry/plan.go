package retry

import (
	"fmt"
	"time"

	"wigeonspring.example/wigeonspring/internal/invariant"
	"wigeonspring.example/wigeonspring/internal/state/evidence"
)

// State is the progress of an attempt.
type State uint8

// States of an attempt: NotSent becomes Refused or Sent, Sent becomes Answered.
const (
	// NotSent: no byte reached a connection to the owner or backend server.
	NotSent State = iota
	// Refused: the owner refused the attempt before the first byte reached the backend
	// server, or the backend server refused it; see AttemptResult.RefusedByBackend.
	Refused
	// Sent: bytes may have reached the backend server; the outcome is unknown.
	Sent
	// Answered: the complete response of the backend server was received.
	Answered
)

var stateNames = [...]string{"not_sent", "refused", "sent", "answered"}

// String returns the name of the state.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state(%d)", uint8(s))
}

// AttemptResult is how an attempt ended.
type AttemptResult struct {
	State State
	// Shed marks a complete response with status 503, with which the backend server
	// sheds load. Only an idempotent request is retried after it.
	Shed bool
	// RefusedByBackend marks a Refused attempt that the backend server, not the owner,
	// refused.
	RefusedByBackend bool
	// Interrupted marks a Sent attempt that its owner ended because of a planned stop. The
	// budget limits what failures add to an overload, and such an attempt is no failure of
	// a backend server: another one takes a retry from the budget only if there is one.
	Interrupted bool
	// NoRetry states that no other attempt follows, for example because the caller has left.
	// Nothing is taken from the budget then.
	NoRetry Reason
}

// Action is what the ingress node does next.
type Action uint8

// Actions of a Decision. All but Retry are final.
const (
	// Retry: start another attempt on a backend server that was not tried yet.
	Retry Action = iota
	// Answer: forward the response of the backend server to the caller.
	Answer
	// ReportNotRun: tell the caller that no backend server began the request.
	ReportNotRun
	// ReportUnknown: tell the caller that the request may have run.
	ReportUnknown
	// ReportFailed: tell the caller that an idempotent request failed. It may have run.
	ReportFailed
)

var actionNames = [...]string{"retry", "answer", "report_not_run", "report_unknown", "report_failed"}

// String returns the name of the action.
func (a Action) String() string {
	if int(a) < len(actionNames) {
		return actionNames[a]
	}
	return fmt.Sprintf("action(%d)", uint8(a))
}

// Reason is the machine-readable reason of a Decision.
type Reason string

// Reasons of a Decision.
const (
	// Complete: the response is complete.
	Complete Reason = "complete"
	// AttemptNotSent: the attempt reached no backend server, so it may be repeated.
	AttemptNotSent Reason = "attempt_not_sent"
	// AttemptRefused: the owner refused the attempt, so it may be repeated.
	AttemptRefused Reason = "attempt_refused"
	// AttemptLost: the outcome of an idempotent attempt is unknown.
	AttemptLost Reason = "attempt_lost"
	// AttemptShed: the backend server answered an idempotent request with 503.
	AttemptShed Reason = "attempt_shed"
	// MayHaveRun: the request is not idempotent and may have run.
	MayHaveRun Reason = "may_have_run"
	// AttemptsSpent: the maximum number of attempts is reached.
	AttemptsSpent Reason = "attempts_spent"
	// DeadlinePassed: the caller's deadline has passed.
	DeadlinePassed Reason = "deadline_passed"
	// BudgetSpent: the retry budget of the service is exhausted.
	BudgetSpent Reason = "retry_budget_spent"
	// NoTarget: no further backend server could be chosen.
	NoTarget Reason = "no_target"
)

// Decision is what the ingress node does after an attempt, and why.
type Decision struct {
	Action Action
	Reason Reason
}

// Final reports whether the request ends with this decision.
func (d Decision) Final() bool { return d.Action != Retry }

// DefaultMaxAttempts is the maximum number of attempts if the policy states none.
const DefaultMaxAttempts = 3

// Options configures a Plan.
type Options struct {
	// Idempotent allows the request to run more than once.
	Idempotent bool
	// Rank orders the retries of requests that compete for the budget; see Priority.
	Rank int
	// MaxAttempts bounds the attempts including the first; 0 selects the default.
	MaxAttempts int
	// Deadline is the caller's deadline; zero means none.
	Deadline time.Time
	// LatencyObjective is the time within which the response to an attempt is fully
	// useful; 0 means that none is stated.
	LatencyObjective time.Duration
	// FreeRefusals is the number of attempts that may fail before anything reaches a
	// backend server without counting as attempts or retries. Such attempts add no
	// load to the service.
	FreeRefusals int
	// UpstreamRetryProbability is the probability, 0 to 1, that the request was made by a
	// backend server while it handled a retry.
	UpstreamRetryProbability float64
}

// Plan tracks the attempts of one request. It is not safe for concurrent use.
type Plan struct {
	opt      Options
	attempts int
	// freeRefusals counts the refusals that did not count as attempts; see
	// Options.FreeRefusals.
	freeRefusals   int
	requestCounted bool
	// mayHaveRun is set once an attempt may have reached a backend server.
	mayHaveRun bool
	final      *Decision
	// noRetry is AttemptResult.NoRetry of the latest attempt.
	noRetry Reason

	idempotencyCheckDisabled bool // allows retries of requests that are not idempotent, in tests
}

// NewPlan returns the plan of a request whose first attempt is about to start.
func NewPlan(opt Options) *Plan {
	if opt.MaxAttempts <= 0 {
		opt.MaxAttempts = DefaultMaxAttempts
	}
	return &Plan{opt: opt}
}

// AllowsRetry reports whether the attempt that starts now could be followed by another
// one if its response is lost.
func (p *Plan) AllowsRetry(now time.Time, b *Budget) bool {
	return p.opt.Idempotent && p.attempts+1 < p.opt.MaxAttempts && b.Available(now, p.priority())
}

func (p *Plan) priority() Priority { return PriorityOf(p.opt.Rank, p.opt.Idempotent) }

// Renew returns a new plan for the same request with the full number of attempts. The
// ingress node uses it to try suspect backend servers before it reports that the request
// was not run. It may be called only if no attempt can have run.
func (p *Plan) Renew() *Plan {
	invariant.Check(!p.mayHaveRun, "retry_again_not_run", "a request that may have run is planned again")
	return &Plan{opt: p.opt, requestCounted: p.requestCounted, mayHaveRun: p.mayHaveRun, idempotencyCheckDisabled: p.idempotencyCheckDisabled}
}

// Parameters of ResponseDeadline.
const (
	// medianFactor is the limit in multiples of the median latency. It is far beyond
	// the 99th percentile of a healthy service.
	medianFactor = 20
	// minSamples is the number of samples required to use the median.
	minSamples = 20
	// minTimeDivisor bounds the limit from below, at an eighth of the time left.
	minTimeDivisor = 8
)

// ResponseDeadline returns the time by which the response to the next attempt must
// begin, so that time is left for an attempt on another backend server. It is zero if
// the attempt may take all the time left: if it is the last one, if the request cannot
// be repeated, or if the service is slow as a whole.
func (p *Plan) ResponseDeadline(now time.Time, baseline evidence.Baseline) time.Time {
	if !p.opt.Idempotent || p.attempts+1 >= p.opt.MaxAttempts || p.opt.Deadline.IsZero() {
		return time.Time{}
	}
	if p.opt.LatencyObjective > 0 {
		return time.Time{} // The request is hedged instead; see HedgeDelay.
	}
	left := p.opt.Deadline.Sub(now)
	limit := left / 2
	if baseline.Samples >= minSamples {
		limit = max(left/minTimeDivisor, medianFactor*baseline.Median)
	}
	if limit >= left {
		return time.Time{}
	}
	return now.Add(limit)
}

// HedgeDelay returns how long the next attempt may take before a hedging attempt starts
// in parallel, or 0 if the attempt is not hedged. The delay is the latency objective.
// The last attempt is not hedged, and neither is one without a latency objective or with
// less than twice the latency objective left until the deadline.
func (p *Plan) HedgeDelay(now time.Time) time.Duration {
	if !p.opt.Idempotent || p.attempts+1 >= p.opt.MaxAttempts {
		return 0
	}
	if p.opt.Deadline.IsZero() || 2*p.opt.LatencyObjective > p.opt.Deadline.Sub(now) {
		return 0
	}
	return p.opt.LatencyObjective
}

// Hedge decides whether a hedging attempt starts in parallel to the running one. If so,
// it takes one retry from the budget.
func (p *Plan) Hedge(now time.Time, b *Budget) bool {
	if !p.AllowsRetry(now, b) || !b.Take(now, HedgePriority) {
		return false
	}
	// One of the two attempts is counted here, the other one by Next.
	p.attempts++
	return true
}

// HedgeAgain decides whether another hedging attempt takes the place of one that was refused
// before it reached a backend server. It takes no further retry from the budget, because the
// refused attempt added no load. At most FreeRefusals refusals are followed by another attempt.
func (p *Plan) HedgeAgain(now time.Time) bool {
	if p.freeRefusals >= p.opt.FreeRefusals || !p.opt.Deadline.IsZero() && !now.Before(p.opt.Deadline) {
		return false
	}
	p.freeRefusals++
	p.attempts++
	return true
}

// HedgeEnded records the end of one of two parallel attempts while the other one
// continues. An attempt that did not reach a backend server does not count.
func (p *Plan) HedgeEnded(r AttemptResult) {
	switch r.State {
	case Sent, Answered:
		p.mayHaveRun = true
	default:
		if !r.RefusedByBackend {
			p.attempts--
		}
	}
}

// Next records the end of an attempt and decides what follows. The first call adds the
// request to the budget. Each Retry takes one retry from the budget, also after a
// refusal, so that retries do not amplify an overload; only the first FreeRefusals
// attempts that reached no backend server are exempt. After a final decision, Next
// returns the same decision again.
func (p *Plan) Next(now time.Time, b *Budget, r AttemptResult) Decision {
	invariant.Check(p.final == nil, "retry_single_outcome", "attempt ended as %s after the final decision", r.State)
	if p.final != nil {
		return *p.final
	}
	p.noRetry = r.NoRetry
	if !p.requestCounted {
		p.requestCounted = true
		b.AddRequest(now)
		if p.opt.UpstreamRetryProbability > 0 {
			b.AddUpstreamRetry(now, p.opt.UpstreamRetryProbability)
		}
	}
	if free := r.State == NotSent || r.State == Refused && !r.RefusedByBackend; free && p.freeRefusals < p.opt.FreeRefusals {
		return p.retryWithoutBudget(now, r.State)
	}
	p.attempts++
	if r.State == Sent || r.State == Answered {
		p.mayHaveRun = true
	}
	switch r.State {
	case Answered:
		if !r.Shed || !p.opt.Idempotent {
			return p.end(Decision{Answer, Complete})
		}
		if d := p.retry(now, b, AttemptShed); d.Action == Retry {
			return d
		}
		return p.end(Decision{Answer, Complete})
	case Refused:
		return p.retry(now, b, AttemptRefused)
	case NotSent:
		return p.retry(now, b, AttemptNotSent)
	default:
		if r.Interrupted && !b.Available(now, p.priority()) {
			b = nil
		}
		return p.retry(now, b, AttemptLost)
	}
}

// GiveUp ends the request without another attempt, for example because no
// backend server could be chosen. It may be called before the first attempt.
func (p *Plan) GiveUp(reason Reason) Decision {
	if p.final != nil {
		return *p.final
	}
	return p.report(reason)
}

// retry decides whether the limits of the request and the budget allow another attempt. A nil
// budget allows it.
func (p *Plan) retry(now time.Time, b *Budget, reason Reason) Decision {
	switch {
	case p.mayHaveRun && !p.opt.Idempotent && !p.idempotencyCheckDisabled:
		return p.report(MayHaveRun)
	case p.noRetry != "":
		return p.report(p.noRetry)
	case p.attempts >= p.opt.MaxAttempts:
		return p.report(AttemptsSpent)
	case !p.opt.Deadline.IsZero() && !now.Before(p.opt.Deadline):
		return p.report(DeadlinePassed)
	case b != nil && !b.Take(now, p.priority()):
		return p.report(BudgetSpent)
	}
	invariant.Check(!p.mayHaveRun || p.opt.Idempotent, "retry_at_most_once",
		"attempt %d follows one that may have run", p.attempts+1)
	return Decision{Retry, reason}
}

// retryWithoutBudget decides about another attempt after one that reached no backend
// server and takes no retry from the budget.
func (p *Plan) retryWithoutBudget(now time.Time, s State) Decision {
	p.freeRefusals++
	if p.noRetry != "" {
		return p.report(p.noRetry)
	}
	reason := AttemptRefused
	if s == NotSent {
		reason = AttemptNotSent
	}
	if !p.opt.Deadline.IsZero() && !now.Before(p.opt.Deadline) {
		return p.report(DeadlinePassed)
	}
	invariant.Check(!p.mayHaveRun || p.opt.Idempotent, "retry_at_most_once",
		"attempt after %d refusals follows one that may have run", p.freeRefusals)
	return Decision{Retry, reason}
}

// report ends the request with a report of whether it may have run.
func (p *Plan) report(reason Reason) Decision {
	action := ReportNotRun
	if p.mayHaveRun {
		action = ReportUnknown
		if p.opt.Idempotent {
			action = ReportFailed
		}
	}
	return p.end(Decision{action, reason})
}

func (p *Plan) end(d Decision) Decision {
	p.final = &d
	return d
}
