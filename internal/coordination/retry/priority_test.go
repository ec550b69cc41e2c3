package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

const refusingFrom, refusingUntil = 10 * time.Second, 20 * time.Second

// overload replays a service whose backend servers refuse half of what arrives from
// refusingFrom to refusingUntil. Of its 100 requests a second, half are not idempotent
// (rank 1) and half idempotent (rank 2); a tenth of the idempotent attempts is lost as well.
// It returns the shares of both that are served in this time.
func overload(seed uint64) (once, idempotent float64) {
	b, rng := NewBudget(BudgetOptions{Percent: 20, Slack: 20}), rand.New(rand.NewPCG(seed, 1))
	var requests, served [2]float64
	for t := time.Duration(0); t < refusingUntil; t += 10 * time.Millisecond {
		now, kind := t0.Add(t), int(t/(10*time.Millisecond))%2
		p := NewPlan(Options{Idempotent: kind == 1, Rank: 1 + kind})
		d := Decision{Action: Retry}
		for d.Action == Retry {
			result := AttemptResult{State: Answered}
			if t >= refusingFrom && rng.IntN(2) == 0 {
				result = AttemptResult{State: Refused, RefusedByBackend: true}
			} else if kind == 1 && rng.IntN(10) == 0 {
				result = AttemptResult{State: Sent}
			}
			d = p.Next(now, b, result)
		}
		if t < refusingFrom {
			continue
		}
		requests[kind]++
		if d.Action == Answer {
			served[kind]++
		}
	}
	return served[0] / requests[0], served[1] / requests[1]
}

// Guards against repeats of idempotent requests that leave no retries for requests that are
// more urgent and have not run, and against idempotent requests that get none. Three
// quarters of the 220 retries are wanted for the former, half of which succeed.
func TestUrgentRetriesGoFirst(t *testing.T) {
	const seeds = 20
	var once, idempotent float64
	for seed := range uint64(seeds) {
		o, i := overload(seed)
		once, idempotent = once+o/seeds, idempotent+i/seeds
	}
	if want := 0.5 + 0.75*220/2/500; once < want {
		t.Errorf("%.3f of the requests that must run once are served while half of the attempts are refused, want %.3f", once, want)
	}
	if want := 0.45 + 220.0/guaranteedDivisor/2/500; idempotent < want {
		t.Errorf("%.3f of the idempotent requests are served, want %.3f: those that need no retry and their guaranteed share", idempotent, want)
	}
}

// Guards against retries that are taken from the budget for callers that have left.
func TestNoRetryTakesNothing(t *testing.T) {
	b := NewBudget(BudgetOptions{Slack: 1})
	for _, r := range []AttemptResult{
		{State: Sent, NoRetry: DeadlinePassed}, {State: NotSent, NoRetry: DeadlinePassed},
		{State: Refused, RefusedByBackend: true, NoRetry: DeadlinePassed},
	} {
		p := NewPlan(Options{Idempotent: true, FreeRefusals: 1})
		if d := p.Next(t0, b, r); d.Action == Retry || d.Reason != DeadlinePassed {
			t.Errorf("%s: %v after the caller has left", r.State, d)
		}
	}
	if _, retries := b.Totals(); retries != 0 {
		t.Errorf("%d retries taken", retries)
	}
}

// Guards against retries that are kept for urgent requests and then not used. Each of 80 nodes
// may retry about 7 requests in a window; 70% of that is wanted, half of it by urgent requests.
// As many are retried as by a budget without priorities.
func TestRetriesAreNotKeptWithoutNeed(t *testing.T) {
	priorities := func(kind int) Priority { return PriorityOf(kind, kind == 1) }
	granted, wanted := retriesOfFleet(priorities)
	reference, _ := retriesOfFleet(func(int) Priority { return 0 })
	if share := granted[0] / wanted[0]; share < 0.9 {
		t.Errorf("%.2f of the urgent requests are retried, want 0.9", share)
	}
	if share := granted[1] / wanted[1]; share < 0.85 {
		t.Errorf("%.2f of the others are retried, want 0.85", share)
	}
	if got, want := granted[0]+granted[1], reference[0]+reference[1]; got < 0.99*want {
		t.Errorf("%.0f requests are retried, %.0f without priorities", got, want)
	}
}

// retriesOfFleet returns the retries that 80 nodes grant and want for urgent (0) and other
// requests (1).
func retriesOfFleet(priority func(kind int) Priority) (granted, wanted [2]float64) {
	const nodes = 80
	rng := rand.New(rand.NewPCG(3, 1))
	for range nodes {
		b := NewBudget(BudgetOptions{Percent: 20, Slack: 2, RoundingOffset: rng.Float64()})
		for t := time.Duration(0); t < 40*time.Second; t += 10 * time.Millisecond {
			now := t0.Add(t)
			if t%(400*time.Millisecond) == 0 {
				b.AddRequest(now)
			}
			if t < 10*time.Second || rng.Float64() >= 0.7*7/1000 {
				continue
			}
			kind := rng.IntN(2)
			wanted[kind]++
			if b.Take(now, priority(kind)) {
				granted[kind]++
			}
		}
	}
	return granted, wanted
}
