package schedule

import (
	"slices"
	"testing"
	"time"
)

// Guards against a late runner that lets a step overtake what follows from an earlier one: a VM
// would lose power before its killed node has started again, and the node would start twice.
func TestLateStepsKeepTheirOrder(t *testing.T) {
	const ms = time.Millisecond
	cases := map[string]struct{ before, within time.Duration }{
		"in time":           {},
		"late step":         {before: 400 * ms},
		"long step":         {within: 800 * ms},
		"late and long one": {before: 400 * ms, within: 400 * ms},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var order []string
			r := Runner{Log: t.Logf}
			note := func(name string) func() { return func() { order = append(order, name) } }
			steps := []Step{
				At(0, "", func() { time.Sleep(c.before) }),
				At(10*ms, "", func() {
					note("kill")()
					time.Sleep(c.within)
					r.After(-time.Second, "", note("signal"))
					r.After(50*ms, "", note("start"))
				}),
				At(300*ms, "", note("power")),
				At(600*ms, "", note("kill again")),
			}
			begin := time.Now()
			if err := r.Run(steps, 2*time.Second, func() {}); err != nil {
				t.Fatal(err)
			}
			if want := []string{"kill", "signal", "start", "power", "kill again"}; !slices.Equal(order, want) {
				t.Errorf("order %v, want %v", order, want)
			}
			if took := time.Since(begin); took > 2500*ms {
				t.Errorf("took %v, want no delay for a step that is due at once", took)
			}
		})
	}
}
