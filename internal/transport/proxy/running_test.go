package proxy

import (
	"net/http"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Guards against calls of repeated runs that count as first requests: the service
// that they call would get more repeats than are allowed. Requests that cannot be
// such calls, because they go to the service on the VM, do not count.
func TestCallsOfARepeatCount(t *testing.T) {
	for local, want := range map[string]float64{"other": 1, "booking": 0} {
		f := newFleet(t, 2, func(_ *OwnerOptions, in *IngressOptions) { in.LocalService = local })
		var inherited float64
		share := make(chan float64, 1)
		f.serve(0, "b0", hijack(""))
		f.serve(1, "b1", func(http.ResponseWriter, *http.Request) {
			// A call of this run would come to the ingress of its node now.
			m, err := f.nodes[1].ingress.opt.Policies.Match("booking.test", http.MethodGet, "/x")
			if err != nil {
				t.Error(err)
				return
			}
			c := &call{in: f.nodes[1].ingress, route: m.Route, service: registry.ServiceID("booking")}
			select {
			case share <- c.inherited():
			default:
			}
		})
		deadline := time.Now().Add(10 * time.Second)
		for inherited != want || want == 0 {
			if res := f.send(0, http.MethodGet, "/x", nil); res.status == http.StatusOK {
				inherited = <-share
			}
			if want == 0 && inherited == 0 || time.Now().After(deadline) {
				break
			}
		}
		if inherited != want {
			t.Errorf("service on the VM %s: a call of a repeat inherits %v, want %v", local, inherited, want)
		}
		waitFor(t, func() bool { return f.nodes[1].owner.running.repeatShare() == 0 })
	}
}
