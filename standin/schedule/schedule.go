// Package schedule selects the faults and the planned work of a fault soak from a seed, and
// runs them.
package schedule

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Step is one action.
type Step struct {
	// At is the time since the start of the run.
	At time.Duration
	// Name describes the action. It is empty for the end of a fault.
	Name string
	Run  func()
}

// At returns a step.
func At(at time.Duration, name string, run func()) Step { return Step{at, name, run} }

// pollInterval is the time between two looks for steps that are due and processes that have
// ended.
const pollInterval = 5 * time.Millisecond

// maxAdvance bounds by how much one call of advance moves the time of a run.
const maxAdvance = 100 * time.Millisecond

// Runner runs steps one after another, on a clock of its own. That clock counts only maxAdvance of
// a longer delay, such as that of a slow step, so that no step overtakes what follows from an
// earlier one. The methods may be called by steps only.
type Runner struct {
	// Log logs the name of each step.
	Log func(format string, args ...any)
	// now is the time of the run, and advanced is when it was last updated.
	now      time.Duration
	advanced time.Time
	steps    []Step
	ends     []end
}

// end is what follows the end of a process.
type end struct {
	exited <-chan struct{}
	then   func()
}

// Run runs the steps and those that follow from them. The function check runs between steps.
// An error means that some are left after the limit, in the time of the run.
func (r *Runner) Run(steps []Step, limit time.Duration, check func()) error {
	r.now, r.advanced, r.steps = 0, time.Now(), slices.Clone(steps)
	for ; len(r.steps)+len(r.ends) > 0; time.Sleep(pollInterval) {
		if r.advance(); r.now > limit {
			return fmt.Errorf("%d steps are left and %d processes have not ended after %v", len(r.steps), len(r.ends), limit)
		}
		check()
		r.runEnds()
		slices.SortStableFunc(r.steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
		for len(r.steps) > 0 && r.steps[0].At <= r.now {
			step := r.steps[0]
			r.steps = r.steps[1:]
			if step.Name != "" {
				r.Log("%.2f s: %s", r.now.Seconds(), step.Name)
			}
			step.Run()
		}
	}
	return nil
}

// advance updates the time of the run.
func (r *Runner) advance() {
	passed := time.Since(r.advanced)
	r.advanced = r.advanced.Add(passed)
	if passed > maxAdvance {
		r.Log("%.2f s: late by %v", r.now.Seconds(), (passed - maxAdvance).Round(time.Millisecond))
	}
	r.now += min(passed, maxAdvance)
}

func (r *Runner) runEnds() {
	ends := r.ends
	r.ends = nil
	for _, e := range ends {
		select {
		case <-e.exited:
			e.then()
		default:
			r.ends = append(r.ends, e)
		}
	}
}

// After adds a step, which is due at once if the delay is negative.
func (r *Runner) After(delay time.Duration, name string, run func()) {
	r.advance()
	r.steps = append(r.steps, Step{r.now + max(0, delay), name, run})
}

// WhenEnded runs a function when a process has ended.
func (r *Runner) WhenEnded(exited <-chan struct{}, then func()) {
	r.ends = append(r.ends, end{exited, then})
}
