package proxy

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/routing"
	"wigeonspring.example/wigeonspring/internal/state/policy"
)

// withObjective gives every route an objective.
type withObjective struct {
	Policies
	objective time.Duration
}

func (p withObjective) Match(host, method, path string) (policy.Match, error) {
	m, err := p.Policies.Match(host, method, path)
	if err == nil {
		route := *m.Route
		route.Objective = policy.Duration(p.objective)
		m.Route = &route
	}
	return m, err
}

// Guards against a caller whose connection is closed without an answer because the
// answer began at the moment at which its attempt was replaced.
func TestAnswerAtTheMomentOfReplacement(t *testing.T) {
	const objective = 20 * time.Millisecond
	f := newFleet(t, 2, func(_ *OwnerOptions, in *IngressOptions) {
		in.Policies = withObjective{in.Policies, objective}
		in.RetrySlack = func() float64 { return 1000 }
		in.Balancer = routing.New(routing.Options{Self: in.Self, FailureDomain: "d1", Region: "r1"})
	})
	var n atomic.Int64
	answer := func(w http.ResponseWriter, _ *http.Request) {
		// The answers begin from 1 ms before the replacement to 1 ms after it.
		time.Sleep(objective + time.Duration(n.Add(1)%21-10)*100*time.Microsecond)
		_, _ = w.Write(make([]byte, 2000))
	}
	f.serve(0, "b0", answer)
	f.serve(1, "b1", answer)
	for i := range 200 {
		if res := f.send(0, http.MethodGet, "/x", nil); res.err != nil {
			t.Fatalf("request %d: %v", i, res.err)
		}
	}
}
