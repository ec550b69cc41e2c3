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

// maxLateness is how late a step may run before all later ones are postponed by the same time.
const maxLateness = 100 * time.Millisecond

// Runner runs steps one after another. One that runs late postpones the others, so that none
// overtakes what follows from an earlier one. Its methods may be called by steps only.
type Runner struct {
	// Log logs the name of each step.
	Log func(format string, args ...any)
	// start is when the run started, plus the time by which steps were postponed.
	start time.Time
	steps []Step
	ends  []end
}

// end is what follows the end of a process.
type end struct {
	exited <-chan struct{}
	then   func()
}

// Run runs the steps and those that follow from them. The function check runs between steps.
// An error means that some are left after the limit, which postponed steps extend.
func (r *Runner) Run(steps []Step, limit time.Duration, check func()) error {
	r.start, r.steps = time.Now(), slices.Clone(steps)
	for ; len(r.steps)+len(r.ends) > 0; time.Sleep(pollInterval) {
		if r.elapsed() > limit {
			return fmt.Errorf("%d steps are left and %d processes have not ended after %v", len(r.steps), len(r.ends), limit)
		}
		check()
		r.runEnds()
		slices.SortStableFunc(r.steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
		for len(r.steps) > 0 && r.steps[0].At <= r.elapsed() {
			step := r.steps[0]
			r.steps = r.steps[1:]
			if late := r.elapsed() - step.At; late > maxLateness {
				r.Log("%.2f s: late by %v", r.elapsed().Seconds(), late.Round(time.Millisecond))
				r.start = r.start.Add(late)
			}
			if step.Name != "" {
				r.Log("%.2f s: %s", r.elapsed().Seconds(), step.Name)
			}
			step.Run()
		}
	}
	return nil
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
	r.steps = append(r.steps, Step{r.elapsed() + max(0, delay), name, run})
}

// WhenEnded runs a function when a process has ended.
func (r *Runner) WhenEnded(exited <-chan struct{}, then func()) {
	r.ends = append(r.ends, end{exited, then})
}

func (r *Runner) elapsed() time.Duration { return time.Since(r.start) }
