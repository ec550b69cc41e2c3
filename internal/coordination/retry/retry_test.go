package retry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter/gen"

	"wigeonspring.example/wigeonspring/internal/proptest"
)

var t0 = time.Unix(1_700_000_000, 0)

// runBudget sends requests and retries to a budget at random times. It compares each
// allowed retry with exact counts of its window, and the totals with the stated bound.
func runBudget(script []uint32) error {
	b, now := NewBudget(BudgetOptions{}), t0
	var requests, retries []time.Time
	inWindow := func(times []time.Time) int {
		first, _ := slices.BinarySearchFunc(times, now.Add(1-DefaultWindow), time.Time.Compare)
		return len(times) - first
	}
	for step, op := range script {
		arg := int(op >> 8)
		now = now.Add(time.Duration(arg%5) * 130 * time.Millisecond)
		if arg%97 == 0 {
			now = now.Add(time.Duration(arg%17) * time.Second)
		}
		if op%8 < 5 {
			for range 1 + arg%20 {
				b.AddRequest(now)
				requests = append(requests, now)
			}
			continue
		}
		allowed := b.Take(now, 0)
		n, k := inWindow(requests), inWindow(retries)
		if allowed {
			retries = append(retries, now)
			if float64(k+1) > max(DefaultMinimum, float64(n)*DefaultPercent/100) {
				return fmt.Errorf("step %d: retry %d for %d requests in the window", step, k+1, n)
			}
		} else if k < DefaultMinimum-1 && len(retries) < DefaultMinimum {
			return fmt.Errorf("step %d: refused below the minimum", step)
		}
		windows := int(now.Sub(t0)/DefaultWindow) + 1
		if float64(len(retries)) > 0.1*float64(len(requests))+float64(3*windows) {
			return fmt.Errorf("step %d: %d retries for %d requests in %d windows", step, len(retries), len(requests), windows)
		}
	}
	return nil
}

// Guards against retries that amplify an overload.
func TestBudgetBoundsAttempts(t *testing.T) {
	proptest.Check(t, 100, "attempts <= 1.1 x requests + 3 per window", func(script []uint32) string {
		return proptest.Result(runBudget(script))
	}, gen.SliceOfN(400, gen.UInt32()))
}

// runPlan feeds random results to a plan and checks the outcome against what the
// attempts are known to have done.
func runPlan(idempotent bool, script []uint8) error {
	b := NewBudget(BudgetOptions{Minimum: 5})
	p := NewPlan(Options{Idempotent: idempotent, MaxAttempts: 4, Deadline: t0.Add(time.Second)})
	ran := false
	for i, op := range script {
		r := AttemptResult{State: State(op % 4), Shed: op&16 != 0}
		ran = ran || r.State >= Sent
		d := p.Next(t0.Add(time.Duration(op>>5)*150*time.Millisecond), b, r)
		if d.Action == Retry {
			if ran && !idempotent {
				return fmt.Errorf("attempt %d may have run and is repeated", i+1)
			}
			if i+1 >= 4 {
				return fmt.Errorf("retry after attempt %d of 4", i+1)
			}
			continue
		}
		want := map[Action]bool{Answer: r.State == Answered, ReportNotRun: !ran,
			ReportUnknown: ran && !idempotent, ReportFailed: ran && idempotent}
		if !want[d.Action] || p.GiveUp(NoTarget) != d {
			return fmt.Errorf("final decision %v after %s, may have run: %t", d, r.State, ran)
		}
		return nil
	}
	if d := p.GiveUp(NoTarget); (d.Action == ReportNotRun) == ran {
		return fmt.Errorf("gave up with %s, may have run: %t", d.Action, ran)
	}
	return nil
}

// Guards against a second run of a request that is not idempotent, and against a report
// that a request has not run when it may have.
func TestPlanOutcomeMatchesAttempts(t *testing.T) {
	proptest.Check(t, 2000, "outcome matches the attempts", func(idempotent bool, script []uint8) string {
		return proptest.Result(runPlan(idempotent, script))
	}, gen.Bool(), gen.SliceOfN(6, gen.UInt8()))
}

// Guards against a wrong action or reason for each state of an attempt.
func TestPlanDecisions(t *testing.T) {
	cases := []struct {
		idempotent, spent bool
		result            AttemptResult
		after             time.Duration
		want              string
	}{
		{false, false, AttemptResult{State: NotSent}, 0, "retry attempt_not_sent"},
		{false, false, AttemptResult{State: Refused}, 0, "retry attempt_refused"},
		{false, false, AttemptResult{State: Sent}, 0, "report_unknown may_have_run"},
		{false, false, AttemptResult{State: Answered, Shed: true}, 0, "answer complete"},
		{false, false, AttemptResult{State: Refused}, time.Second, "report_not_run deadline_passed"},
		{false, true, AttemptResult{State: Refused}, 0, "report_not_run retry_budget_spent"},
		{true, false, AttemptResult{State: Sent}, 0, "retry attempt_lost"},
		{true, false, AttemptResult{State: Sent}, time.Second, "report_failed deadline_passed"},
		{true, false, AttemptResult{State: Answered}, 0, "answer complete"},
		{true, false, AttemptResult{State: Answered, Shed: true}, 0, "retry attempt_shed"},
		{true, true, AttemptResult{State: Answered, Shed: true}, 0, "answer complete"},
		{true, true, AttemptResult{State: Sent}, 0, "report_failed retry_budget_spent"},
	}
	for _, c := range cases {
		b := NewBudget(BudgetOptions{})
		for c.spent && b.Take(t0, 0) {
		}
		d := NewPlan(Options{Idempotent: c.idempotent, Deadline: t0.Add(time.Second)}).Next(t0.Add(c.after), b, c.result)
		if got := fmt.Sprint(d.Action, " ", d.Reason); got != c.want {
			t.Errorf("idempotent %t, %s, shed %t: %s, want %s", c.idempotent, c.result.State, c.result.Shed, got, c.want)
		}
	}
}

// Checks that each invariant reports a violation when its mechanism is disabled.
func TestInvariantsDetectMissingMechanisms(t *testing.T) {
	takeAll := func(b *Budget, now time.Time) {
		b.limitDisabled = true
		for range DefaultMinimum + 1 {
			b.Take(now, 0)
		}
	}
	proptest.ExpectViolation(t, "retry_attempts_bound", func() { takeAll(NewBudget(BudgetOptions{}), t0) })
	proptest.ExpectViolation(t, "retry_budget_window", func() {
		b := NewBudget(BudgetOptions{})
		// These requests raise the bound of the totals and are no longer in the window.
		for range 1000 {
			b.AddRequest(t0)
		}
		takeAll(b, t0.Add(time.Minute))
	})
	proptest.ExpectViolation(t, "retry_at_most_once", func() {
		p := NewPlan(Options{})
		p.idempotencyCheckDisabled = true
		p.Next(t0, NewBudget(BudgetOptions{}), AttemptResult{State: Sent})
	})
	proptest.ExpectViolation(t, "retry_single_outcome", func() {
		p, b := NewPlan(Options{}), NewBudget(BudgetOptions{})
		p.Next(t0, b, AttemptResult{State: Answered})
		p.Next(t0, b, AttemptResult{State: Answered})
	})
}

func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ backends, services int }{{36, 3}, {2500, 65}, {25000, 650}} {
		b.Run(fmt.Sprintf("backends=%d", size.backends), func(b *testing.B) {
			budgets := make([]*Budget, size.services)
			for i := range budgets {
				budgets[i] = NewBudget(BudgetOptions{})
			}
			rng, now := rand.New(rand.NewPCG(1, 1)), t0
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Microsecond)
				budget := budgets[rng.IntN(size.services)]
				p := NewPlan(Options{Idempotent: true, Deadline: now.Add(time.Second)})
				if i%20 != 0 || p.Next(now, budget, AttemptResult{State: Refused}).Action == Retry {
					p.Next(now, budget, AttemptResult{State: Answered})
				}
			}
		})
	}
}
