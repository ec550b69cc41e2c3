package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against two faults: refusals before anything was sent count as attempts or
// retries, or refusals by backend servers do not.
func TestFreeRefusals(t *testing.T) {
	now := t0
	budget := NewBudget(BudgetOptions{Slack: 1})
	p := NewPlan(Options{MaxAttempts: 2, FreeRefusals: 3})
	for i := range 3 {
		if d := p.Next(now, budget, AttemptResult{State: Refused}); d.Action != Retry {
			t.Fatalf("refusal %d: %v", i, d)
		}
	}
	if _, retries := budget.Totals(); retries != 0 {
		t.Fatalf("%d retries taken from the budget", retries)
	}
	if d := p.Next(now, budget, AttemptResult{State: Refused, RefusedByBackend: true}); d.Action != Retry {
		t.Fatalf("first refusal by a backend server: %v", d)
	}
	if _, retries := budget.Totals(); retries != 1 {
		t.Fatalf("%d retries taken for a request that reached a backend server", retries)
	}
	if d := p.Next(now, budget, AttemptResult{State: Refused, RefusedByBackend: true}); d.Action != ReportNotRun || d.Reason != AttemptsSpent {
		t.Fatalf("second refusal by a backend server: %v", d)
	}
	p = NewPlan(Options{MaxAttempts: 2, FreeRefusals: 3, Deadline: now})
	if d := p.Next(now, budget, AttemptResult{State: Refused}); d.Action != ReportNotRun || d.Reason != DeadlinePassed {
		t.Fatalf("refusal at the deadline: %v", d)
	}
}

// Guards against budgets of the nodes that add up to more retries than the fleet is
// allowed, or to far fewer because each budget is rounded down.
func TestSlackIsSharedByNodes(t *testing.T) {
	const nodes, requests, percent, slack = 36, 12, 15, 47.6
	rng := rand.New(rand.NewPCG(1, 1))
	var sum, rounds float64
	for range 50 {
		rounds++
		for range nodes {
			b, now := NewBudget(BudgetOptions{Percent: percent, Slack: slack / nodes, RoundingOffset: rng.Float64()}), t0
			for range requests {
				now = now.Add(100 * time.Millisecond)
				b.AddRequest(now)
			}
			for b.Available(now, 0) {
				if !b.Take(now, 0) {
					t.Fatal("an available retry is refused")
				}
				sum++
			}
		}
	}
	// The oldest of the 100 buckets of a window does not count.
	want := slack + nodes*requests*percent/100.0
	if got := sum / rounds; got > want*1.02 || got < want*0.95 {
		t.Fatalf("the nodes may retry %.1f requests in a window, want %.1f", got, want)
	}
}

// Guards against nodes that restart within a window and use their share of the slack a
// second time.
func TestRestartedNodesGetNoSecondSlack(t *testing.T) {
	const nodes, requests, percent, slack = 36, 12, 15, 47.6
	rng := rand.New(rand.NewPCG(2, 1))
	var sum float64
	const rounds = 50
	spend := func(b *Budget, now time.Time) {
		for range requests {
			b.AddRequest(now)
		}
		for b.Take(now.Add(DefaultWindow/buckets), 0) {
			sum++
		}
	}
	for range rounds {
		for range nodes {
			options := BudgetOptions{Percent: percent, Slack: slack / nodes, RoundingOffset: rng.Float64()}
			spend(NewBudget(options), t0)
			restart := t0.Add(DefaultWindow / 2)
			options.SlackStart, options.RoundingOffset = restart.Add(DefaultWindow), rng.Float64()
			spend(NewBudget(options), restart)
		}
	}
	if got, want := sum/rounds, slack+2*nodes*requests*percent/100.0; got > want*1.02 || got < want*0.95 {
		t.Fatalf("the nodes may retry %.1f requests in a window, want %.1f", got, want)
	}
}

// Guards against upstream retries that do not count in the budget of the called service,
// or that count for longer than the window.
func TestUpstreamRetriesCountInBudget(t *testing.T) {
	b := NewBudget(BudgetOptions{Percent: 10, Slack: 2})
	for range 2 {
		p := NewPlan(Options{MaxAttempts: 2, UpstreamRetryProbability: 0.6})
		p.Next(t0, b, AttemptResult{State: Answered})
	}
	if b.Available(t0, 0) || b.Take(t0, 0) {
		t.Error("a retry beyond a limit of 2.2 after 1.2 upstream retries")
	}
	if later := t0.Add(2 * DefaultWindow); !b.Take(later, 0) {
		t.Error("upstream retries count beyond the window")
	}
}

// Guards against a hedging attempt that the budget does not allow or that starts too
// late, and against one that counts although it was refused.
func TestHedge(t *testing.T) {
	objective := time.Second
	options := Options{Idempotent: true, MaxAttempts: 2, Deadline: t0.Add(4 * time.Second), LatencyObjective: objective}
	p := NewPlan(options)
	if got := p.HedgeDelay(t0); got != objective {
		t.Fatalf("hedged after %s", got)
	}
	if got := p.HedgeDelay(t0.Add(2500 * time.Millisecond)); got != 0 {
		t.Fatalf("hedged after %s with too little time left", got)
	}
	budget := NewBudget(BudgetOptions{Slack: 1})
	if !p.AllowsRetry(t0, budget) {
		t.Fatal("no retry with a budget and an attempt left")
	}
	if !p.Hedge(t0, budget) || p.Hedge(t0, budget) {
		t.Fatal("not exactly one hedging attempt")
	}
	if p.AllowsRetry(t0, budget) || NewPlan(options).Hedge(t0, budget) {
		t.Fatal("another attempt although the budget is spent")
	}
	more := NewBudget(BudgetOptions{Slack: 1})
	p.HedgeEnded(AttemptResult{State: Refused})
	if d := p.Next(t0, more, AttemptResult{State: Sent}); d.Action != Retry {
		t.Fatalf("the first attempt is lost and the other one was refused: %v", d)
	}
	p = NewPlan(options)
	p.Hedge(t0, NewBudget(BudgetOptions{Slack: 1}))
	p.HedgeEnded(AttemptResult{State: Sent})
	if d := p.Next(t0, more, AttemptResult{State: Refused, RefusedByBackend: true}); d.Action != ReportFailed {
		t.Fatalf("one attempt is lost and one refused: %v", d)
	}
	p = NewPlan(options)
	p.Hedge(t0, NewBudget(BudgetOptions{Slack: 1}))
	p.HedgeEnded(AttemptResult{State: Refused, RefusedByBackend: true})
	if d := p.Next(t0, more, AttemptResult{State: Refused, RefusedByBackend: true}); d.Action != ReportNotRun {
		t.Fatalf("both attempts are refused by their backend servers: %v", d)
	}
	p = NewPlan(options)
	p.Hedge(t0, NewBudget(BudgetOptions{Slack: 1}))
	p.HedgeEnded(AttemptResult{State: Sent})
	if d := p.Next(t0, more, AttemptResult{State: Sent}); d.Action != ReportFailed || d.Reason != AttemptsSpent {
		t.Fatalf("both attempts are lost: %v", d)
	}
	last := options
	last.MaxAttempts = 1
	if got := NewPlan(last).HedgeDelay(t0); got != 0 {
		t.Fatalf("the last attempt is hedged after %s", got)
	}
	once := options
	once.Idempotent = false
	if p := NewPlan(once); p.HedgeDelay(t0) != 0 || p.AllowsRetry(t0, NewBudget(BudgetOptions{})) {
		t.Fatal("a request that must not be repeated is hedged")
	}
}

// Guards against a renewed plan that adds its request to the budget a second time.
func TestRenewDoesNotCountTheRequestAgain(t *testing.T) {
	budget := NewBudget(BudgetOptions{})
	p := NewPlan(Options{MaxAttempts: 1})
	p.Next(t0, budget, AttemptResult{State: Refused})
	p.Renew().Next(t0, budget, AttemptResult{State: Answered})
	if requests, _ := budget.Totals(); requests != 1 {
		t.Fatalf("one request counted %d times", requests)
	}
}

// Guards against nodes that allow themselves a minimum of retries although the slack that they
// share is 0.
func TestSharedSlackOfZeroAllowsNoMinimum(t *testing.T) {
	if NewBudget(BudgetOptions{Shared: true}).Take(t0, 0) {
		t.Error("a retry without requests is allowed")
	}
	if !NewBudget(BudgetOptions{}).Take(t0, 0) {
		t.Error("no minimum without a shared slack")
	}
}
