package proxy

import (
	"net/http"
	"sync/atomic"
	"testing"
)

// Guards against calls made by a repeat that do not count as repeats: the called service
// would get more repeats than its retry budget allows. Also guards against calls that
// count as repeats although they are made by a first run or go to the service on the VM.
func TestCallsOfARepeatCount(t *testing.T) {
	for local, want := range map[string]float64{"other": 1, "booking": 0} {
		f := newFleet(t, 2, func(_ *OwnerOptions, in *IngressOptions) { in.LocalService = local })
		in := f.nodes[1].ingress
		m, err := in.opt.Policies.Match("booking.test", http.MethodGet, "/x")
		if err != nil {
			t.Fatal(err)
		}
		var broken atomic.Int64
		f.serve(0, "b0", func(w http.ResponseWriter, r *http.Request) {
			broken.Add(1)
			hijack("")(w, r)
		})
		inherited := make(chan float64, 1)
		f.serve(1, "b1", func(http.ResponseWriter, *http.Request) {
			// A call made by this run would arrive at the ingress of its node now.
			c := &call{in: in, route: m.Route, service: "booking"}
			inherited <- c.repeatProbability()
		})
		for repeats := 0; repeats < 2; {
			before := broken.Load()
			if res := f.send(0, http.MethodGet, "/x", nil); res.status != http.StatusOK {
				t.Fatalf("request failed: %+v", res)
			}
			got := <-inherited
			waitFor(t, func() bool { return f.nodes[1].owner.active.repeatShare() == 0 })
			if broken.Load() == before {
				if got != 0 {
					t.Fatalf("a call of a first run inherits %v", got)
				}
				continue
			}
			repeats++
			if got != want {
				t.Fatalf("service on the VM %s: a call of a repeat inherits %v, want %v", local, got, want)
			}
		}
	}
}
