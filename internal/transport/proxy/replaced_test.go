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

// Guards against work that is given up under overload: an attempt is replaced only if
// another backend server has a free slot.
func TestAttemptIsNotReplacedWithoutAFreeSlot(t *testing.T) {
	const objective = 30 * time.Millisecond
	for _, full := range []bool{false, true} {
		f := newFleet(t, 2, func(_ *OwnerOptions, in *IngressOptions) {
			in.Policies = withObjective{in.Policies, objective}
			in.RetrySlack = func() float64 { return 1000 }
		})
		var runs atomic.Int64
		release := make(chan struct{})
		f.serve(0, "b0", func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/hold" {
				<-release
				return
			}
			runs.Add(1)
			time.Sleep(4 * objective)
		})
		if full {
			for range 4 { // All slots of the other backend server.
				go f.send(0, http.MethodPost, "/hold", nil)
			}
			waitFor(t, func() bool { l, _ := f.nodes[0].backends.Load("b0"); return l.InUse == 4 })
		}
		f.serve(1, "b1", func(http.ResponseWriter, *http.Request) {
			runs.Add(1)
			time.Sleep(4 * objective)
		})
		// With both free, a request starts at either of them.
		res := f.send(0, http.MethodGet, "/x", nil)
		close(release)
		want := int64(2)
		if full {
			want = 1
		}
		if res.status != http.StatusOK || runs.Load() != want {
			t.Fatalf("other full %v: status %d after %d runs, want %d", full, res.status, runs.Load(), want)
		}
	}
}
