package schedule

import (
	"slices"
	"testing"
	"time"
)

// Guards against a late runner that lets a step overtake what follows from an earlier one: a VM
// would lose power before its killed node has started again, and the node would start twice.
func TestLateStepsKeepTheirOrder(t *testing.T) {
	var order []string
	r := Runner{Log: func(string, ...any) {}}
	note := func(name string) func() { return func() { order = append(order, name) } }
	const ms = time.Millisecond
	steps := []Step{
		At(0, "", func() { time.Sleep(400 * ms) }),
		At(10*ms, "", func() {
			note("kill")()
			r.After(-time.Second, "", note("signal"))
			r.After(50*ms, "", note("start"))
		}),
		At(250*ms, "", note("power")),
	}
	begin := time.Now()
	if err := r.Run(steps, time.Minute, func() {}); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(begin); took > time.Second {
		t.Errorf("took %v, want no delay for a step that is due at once", took)
	}
	if want := []string{"kill", "signal", "start", "power"}; !slices.Equal(order, want) {
		t.Errorf("order %v, want %v", order, want)
	}
}
