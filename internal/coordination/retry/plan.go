package retry

import (
	"fmt"
	"time"

	"wigeonspring.example/wigeonspring/internal/invariant"
	"wigeonspring.example/wigeonspring/internal/state/evidence"
)

// State is how far an attempt got.
type State uint8

// States of an attempt: NotSent becomes Refused or Sent, Sent becomes Answered.
const (
	// NotSent: no byte reached a connection to the owner or backend server.
	NotSent State = iota
	// Refused: the owner refused it before the first byte reached the backend server.
	Refused
	// Sent: bytes may have reached the backend server; the outcome is unknown.
	Sent
	// Answered: the complete answer of the backend server arrived.
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

// CanBecome reports whether an attempt may pass from s to next.
func (s State) CanBecome(next State) bool {
	return s == NotSent && (next == Refused || next == Sent) || s == Sent && next == Answered
}

// AttemptResult is how an attempt ended.
type AttemptResult struct {
	State State
	// Shed marks a complete answer with status 503: the backend server refused
	// the work. Only an idempotent request is retried after it.
	Shed bool
	// RefusedByBackend marks a Refused attempt that the backend server itself refused.
	RefusedByBackend bool
}

// Action is what the ingress node does next.
type Action uint8

// Actions of a Decision. All but Retry are final.
const (
	// Retry: start another attempt on a backend server that was not tried yet.
	Retry Action = iota
	// Answer: pass the backend server's answer to the caller.
	Answer
	// ReportNotRun: tell the caller that no backend server began the request.
	ReportNotRun
	// ReportUnknown: tell the caller that the request may have run.
	ReportUnknown
	// ReportFailed: tell the caller that an idempotent request, which may have
	// run, brought no result.
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

// Reason says why an action was chosen.
type Reason string

// Reasons of a Decision.
const (
	// Complete: the answer is complete.
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
	// AttemptsSpent: the number of attempts is used up.
	AttemptsSpent Reason = "attempts_spent"
	// DeadlinePassed: the caller's deadline has passed.
	DeadlinePassed Reason = "deadline_passed"
	// BudgetSpent: the retry budget of the service is used up.
	BudgetSpent Reason = "retry_budget_spent"
	// NoTarget: no further backend server could be chosen.
	NoTarget Reason = "no_target"
)

// Decision is what follows an attempt.
type Decision struct {
	Action Action
	Reason Reason
}

// Final reports whether the request ends with this decision.
func (d Decision) Final() bool { return d.Action != Retry }

// DefaultMaxAttempts is the number of attempts if the policy states none.
const DefaultMaxAttempts = 3

// Options configures a Plan.
type Options struct {
	// Idempotent allows the request to run more than once.
	Idempotent bool
	// MaxAttempts bounds the attempts including the first; 0 selects the default.
	MaxAttempts int
	// Deadline is the caller's deadline; zero means none.
	Deadline time.Time
	// LatencyObjective is the time within which an answer of an attempt is fully useful; 0
	// means that none is stated.
	LatencyObjective time.Duration
	// FreeRefusals is the number of attempts that may end before anything reached
	// a backend server without counting as attempts or retries. Such an attempt
	// adds no load to the service.
	FreeRefusals int
	// UpstreamRetryProbability is how likely the request was made by a run that is a repeat, 0 to 1.
	UpstreamRetryProbability float64
}

// Plan follows the attempts of one request. It is not safe for concurrent use.
type Plan struct {
	opt      Options
	attempts int
	// refusals counts the attempts that were free; see Options.FreeRefusals.
	refusals int
	counted  bool
	// mayHaveRun is set once an attempt may have reached a backend server.
	mayHaveRun bool
	final      *Decision

	off bool // disables the rule for requests that are not idempotent, in tests
}

// NewPlan returns the plan of a request whose first attempt is about to start.
func NewPlan(opt Options) *Plan {
	if opt.MaxAttempts <= 0 {
		opt.MaxAttempts = DefaultMaxAttempts
	}
	return &Plan{opt: opt}
}

// AllowsRetry reports whether the attempt that starts now could be followed by
// another if its answer is lost.
func (p *Plan) AllowsRetry(now time.Time, b *Budget) bool {
	return p.opt.Idempotent && p.attempts+1 < p.opt.MaxAttempts && b.Available(now)
}

// Renew returns the plan of the same request with its limits of attempts renewed,
// for a last resort. It may follow only a decision that nothing was sent.
func (p *Plan) Renew() *Plan {
	invariant.Check(!p.mayHaveRun, "retry_again_not_run", "a request that may have run is planned again")
	return &Plan{opt: p.opt, counted: p.counted, mayHaveRun: p.mayHaveRun, off: p.off}
}

// Attempts returns the number of attempts that have ended.
func (p *Plan) Attempts() int { return p.attempts }

// Limits of the time in which an attempt must begin to be answered.
const (
	// typicalFactor times the median latency is far beyond the 99th percentile of
	// a healthy service.
	typicalFactor = 20
	// minSamples is the number of samples from which the median is trusted.
	minSamples = 20
	// minShare keeps the limit from falling below an eighth of the time left.
	minShare = 8
)

// ResponseDeadline returns the time by which the next attempt must begin to be answered,
// so that time is left for another attempt on another backend server. It is zero
// if the attempt may take all the time: the last one, one that cannot be repeated,
// or one of a service that is slow as a whole.
func (p *Plan) ResponseDeadline(now time.Time, typical evidence.Baseline) time.Time {
	if !p.opt.Idempotent || p.attempts+1 >= p.opt.MaxAttempts || p.opt.Deadline.IsZero() {
		return time.Time{}
	}
	if p.opt.LatencyObjective > 0 {
		return time.Time{} // See HedgeAfter.
	}
	left := p.opt.Deadline.Sub(now)
	limit := left / 2
	if typical.Samples >= minSamples {
		limit = max(left/minShare, typicalFactor*typical.Median)
	}
	if limit >= left {
		return time.Time{}
	}
	return now.Add(limit)
}

// HedgeDelay returns how long the next attempt may take before another one starts
// beside it, or 0 if it stays alone, as the last attempt does. It gets the time in
// which an answer is fully useful, if about as much is left for the other one.
func (p *Plan) HedgeDelay(now time.Time) time.Duration {
	if !p.opt.Idempotent || p.attempts+1 >= p.opt.MaxAttempts {
		return 0
	}
	if p.opt.Deadline.IsZero() || 2*p.opt.LatencyObjective > p.opt.Deadline.Sub(now) {
		return 0
	}
	return p.opt.LatencyObjective
}

// Hedge decides whether another attempt starts beside the one that runs. It takes one
// retry from the budget.
func (p *Plan) Hedge(now time.Time, b *Budget) bool {
	if !p.AllowsRetry(now, b) || !b.Take(now) {
		return false
	}
	// One of the two is counted now, and the end of the other one by Next.
	p.attempts++
	return true
}

// HedgeEnded records the end of one of two attempts that run, while the other one
// goes on. One that did not reach a backend server does not count.
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

// Next records the end of an attempt and decides what follows. The first call
// counts the request in the budget and each Retry takes one retry from it, also
// after a refusal, so that overload is not amplified. After a final decision Next
// returns the same decision again.
func (p *Plan) Next(now time.Time, b *Budget, r AttemptResult) Decision {
	invariant.Check(p.final == nil, "retry_single_outcome", "attempt ended as %s after the final decision", r.State)
	if p.final != nil {
		return *p.final
	}
	if !p.counted {
		p.counted = true
		b.AddRequest(now)
		if p.opt.UpstreamRetryProbability > 0 {
			b.AddUpstreamRetry(now, p.opt.UpstreamRetryProbability)
		}
	}
	if free := r.State == NotSent || r.State == Refused && !r.RefusedByBackend; free && p.refusals < p.opt.FreeRefusals {
		return p.retryFree(now, r.State)
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

// retry decides on another attempt within the limits of the request.
func (p *Plan) retry(now time.Time, b *Budget, why Reason) Decision {
	switch {
	case p.mayHaveRun && !p.opt.Idempotent && !p.off:
		return p.report(MayHaveRun)
	case p.attempts >= p.opt.MaxAttempts:
		return p.report(AttemptsSpent)
	case !p.opt.Deadline.IsZero() && !now.Before(p.opt.Deadline):
		return p.report(DeadlinePassed)
	case !b.Take(now):
		return p.report(BudgetSpent)
	}
	invariant.Check(!p.mayHaveRun || p.opt.Idempotent, "retry_at_most_once",
		"attempt %d follows one that may have run", p.attempts+1)
	return Decision{Retry, why}
}

// retryFree follows an attempt that reached no backend server.
func (p *Plan) retryFree(now time.Time, s State) Decision {
	p.refusals++
	why := AttemptRefused
	if s == NotSent {
		why = AttemptNotSent
	}
	if !p.opt.Deadline.IsZero() && !now.Before(p.opt.Deadline) {
		return p.report(DeadlinePassed)
	}
	invariant.Check(!p.mayHaveRun || p.opt.Idempotent, "retry_at_most_once",
		"attempt after %d refusals follows one that may have run", p.refusals)
	return Decision{Retry, why}
}

// report ends the request with what is known about it.
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
