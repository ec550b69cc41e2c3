package proxy

import (
	"net/http"
	"sync/atomic"
	"testing"
)

// Guards against calls made by a repeat that do not count as repeats: the called service
// would get more repeats than its retry budget allows. Also guards against calls that
// count as repeats although they are made by a first run or go to the service on the VM.
func TestCallsOfRepeatCountAsRepeats(t *testing.T) {
	for local, want := range map[string]float64{"other": 1, "booking": 0} {
		f := newFleet(t, 2, func(_ *OwnerOptions, in *IngressOptions) { in.LocalService = local })
		in := f.nodes[1].ingress
		m, err := in.opt.Policies.Match("booking.test", http.MethodGet, "/x")
		if err != nil {
			t.Fatal(err)
		}
		var failedRuns atomic.Int64
		f.serve(0, "b0", func(w http.ResponseWriter, r *http.Request) {
			failedRuns.Add(1)
			hijack("")(w, r)
		})
		probabilities := make(chan float64, 1)
		f.serve(1, "b1", func(http.ResponseWriter, *http.Request) {
			// A call made by this run would arrive at the ingress of its node now.
			c := &call{in: in, route: m.Route, service: "booking"}
			probabilities <- c.repeatProbability()
		})
		for repeats := 0; repeats < 2; {
			before := failedRuns.Load()
			if res := f.send(0, http.MethodGet, "/x", nil); res.status != http.StatusOK {
				t.Fatalf("request failed: %+v", res)
			}
			got := <-probabilities
			waitFor(t, func() bool { return f.nodes[1].owner.active.repeatShare() == 0 })
			if failedRuns.Load() == before {
				if got != 0 {
					t.Fatalf("a call of a first run counts as a repeat with probability %v", got)
				}
				continue
			}
			repeats++
			if got != want {
				t.Fatalf("service on the VM %s: a call of a repeat counts as a repeat with probability %v, want %v", local, got, want)
			}
		}
	}
}
