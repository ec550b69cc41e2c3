package proxy

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/routing"
	"wigeonspring.example/wigeonspring/internal/state/policy"
	"wigeonspring.example/wigeonspring/internal/state/registry"
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

// Guards against a caller whose connection is closed without a response because two
// attempts bring their responses at the same time.
func TestConcurrentResponsesOfTwoAttempts(t *testing.T) {
	const objective = 20 * time.Millisecond
	f := newFleet(t, 2, func(_ *OwnerOptions, in *IngressOptions) {
		in.Policies = withObjective{in.Policies, objective}
		in.RetrySlack = func() float64 { return 1000 }
		in.Balancer = routing.New(routing.Options{Self: in.Self, FailureDomain: "d1", Region: "r1"})
	})
	var n atomic.Int64
	respond := func(w http.ResponseWriter, _ *http.Request) {
		// The response begins between 1 ms before and 1 ms after the second attempt
		// starts.
		time.Sleep(objective + time.Duration(n.Add(1)%21-10)*100*time.Microsecond)
		_, _ = w.Write(make([]byte, 2000))
	}
	f.serve(0, "b0", respond)
	f.serve(1, "b1", respond)
	for i := range 200 {
		if res := f.send(0, http.MethodGet, "/x", nil); res.err != nil {
			t.Fatalf("request %d: %v", i, res.err)
		}
	}
}

// Guards against hedging that adds load under overload: a second attempt starts only if
// a backend server has a free slot for it.
func TestNoHedgeWithoutFreeSlot(t *testing.T) {
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
		// With free slots at both, the request may start at either of them.
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

// Guards against a slow first attempt that is canceled although every backend server
// refuses the second attempt. The first attempt must go on and bring the response.
func TestRefusedHedgeDoesNotCancelFirstAttempt(t *testing.T) {
	const objective = 30 * time.Millisecond
	f := newFleet(t, 2, func(_ *OwnerOptions, in *IngressOptions) {
		in.Policies = withObjective{in.Policies, objective}
		in.FreeRefusals = 8
		in.RetrySlack = func() float64 { return 1000 }
	})
	var runs atomic.Int64
	f.serve(0, "b0", func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		time.Sleep(4 * objective)
	})
	// The owner of the others refuses everything.
	for i := range 8 {
		id := registry.BackendID(fmt.Sprint("refused", i))
		f.nodes[1].owned = append(f.nodes[1].owned, registry.Backend{ID: id, Service: "booking", Slots: 4, Weight: 1})
	}
	f.publish(f.nodes[1])
	for i := range 10 {
		if res := f.send(0, http.MethodGet, "/x", nil); res.status != http.StatusOK || runs.Load() != int64(i+1) {
			t.Fatalf("request %d: status %d, %s, after %d runs", i, res.status, res.reason, runs.Load())
		}
	}
}

// Guards against a caller that waits for a backend server that hangs although another
// one has responded, and against a hanging attempt that is not canceled afterwards.
func TestHedgeCancelsSlowAttempt(t *testing.T) {
	const objective, hang = 30 * time.Millisecond, 5 * time.Second
	f := newFleet(t, 2, func(_ *OwnerOptions, in *IngressOptions) {
		in.Policies = withObjective{in.Policies, objective}
		in.RetrySlack = func() float64 { return 1000 }
	})
	var first atomic.Bool
	first.Store(true)
	ended := make(chan time.Time, 1)
	respond := func(_ http.ResponseWriter, r *http.Request) {
		if first.CompareAndSwap(true, false) {
			select {
			case <-r.Context().Done():
			case <-time.After(hang):
			}
			ended <- time.Now()
		}
	}
	f.serve(0, "b0", respond)
	f.serve(1, "b1", respond)
	begin := time.Now()
	res := f.send(0, http.MethodGet, "/x", nil)
	if res.status != http.StatusOK || time.Since(begin) > hang/2 {
		t.Fatalf("status %d after %s", res.status, time.Since(begin))
	}
	if at := <-ended; at.Sub(begin) > hang/2 {
		t.Fatalf("the backend server that hangs was released after %s", at.Sub(begin))
	}
}

// Guards against a caller that waits for a backend server that hangs because the first owner
// that was asked to hedge the request has refused it.
func TestRefusedHedgeIsPlacedElsewhere(t *testing.T) {
	const objective, hang = 30 * time.Millisecond, time.Second
	f := newFleet(t, 3, func(_ *OwnerOptions, in *IngressOptions) {
		in.Policies = withObjective{in.Policies, objective}
		in.FreeRefusals = 8
		in.RetrySlack = func() float64 { return 1000 }
	})
	f.serve(0, "b0", func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-time.After(hang):
		}
	})
	// The owner of the others refuses everything; the last one is another node's.
	for i := range 4 {
		id := registry.BackendID(fmt.Sprint("refused", i))
		f.nodes[1].owned = append(f.nodes[1].owned, registry.Backend{ID: id, Service: "booking", Slots: 4, Weight: 1})
	}
	f.publish(f.nodes[1])
	done := make(chan result, 1)
	start := time.Now()
	go func() { done <- f.send(0, http.MethodGet, "/x", nil) }()
	waitFor(t, func() bool { l, _ := f.nodes[0].backends.Load("b0"); return l.InUse == 1 })
	f.serve(2, "b9", func(http.ResponseWriter, *http.Request) {})
	if res := <-done; res.status != http.StatusOK || time.Since(start) > hang/2 {
		t.Fatalf("status %d after %s", res.status, time.Since(start))
	}
}
