package proxy

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/retry"
	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/internal/state/evidence"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Guards against callers whose connection is closed without an answer at the end of a
// planned stop, while their request runs, waits at an owner or brings its response.
func TestEveryCallerIsAnsweredWhenDrainEnds(t *testing.T) {
	for _, owner := range []int{0, 1} {
		f := newFleet(t, 2)
		begun, free := make(chan struct{}, 2), make(chan struct{})
		callerSawResponse := func(r *http.Request) {
			trace := &httptrace.ClientTrace{GotFirstResponseByte: func() { begun <- struct{}{} }}
			*r = *r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
		}
		f.serve(owner, "b1", func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/begun" {
				_, _ = io.WriteString(w, "first ")
				_ = http.NewResponseController(w).Flush()
			} else {
				begun <- struct{}{}
			}
			select {
			case <-free:
			case <-r.Context().Done():
			}
			_, _ = io.WriteString(w, "last")
		})
		f.nodes[owner].backends.get("b1").admitter.controller.SetSlots(2)
		results := map[string]chan result{}
		for _, path := range []string{"/begun", "/running", "/waiting"} {
			ch := make(chan result, 1)
			results[path] = ch
			edit := func(*http.Request) {}
			if path == "/begun" {
				edit = callerSawResponse
			}
			go func() { ch <- f.send(0, "POST", path, nil, edit) }()
			if path != "/waiting" {
				<-begun
			}
		}
		waitFor(t, func() bool { l, _ := f.nodes[owner].backends.Load("b1"); return l.Queued == 1 })
		f.nodes[0].ingress.StopAttempts()
		f.nodes[0].ingress.EndRequests()
		if got := <-results["/running"]; got.status != http.StatusBadGateway || got.outcome != header.Unknown || got.reason != reasonStopping {
			t.Errorf("owner %d: the running request: %+v", owner, got)
		}
		// Only an owner in the same process proves that a waiting request has not run.
		want := map[int]string{0: header.NotRun, 1: header.Unknown}[owner]
		if got := <-results["/waiting"]; got.outcome != want || got.err != nil {
			t.Errorf("owner %d: the waiting request: %+v", owner, got)
		}
		close(free)
		if got := <-results["/begun"]; got.body != "first last" || got.err != nil {
			t.Errorf("owner %d: the response that had begun: %+v", owner, got)
		}
	}
}

// Guards against a slow response that is given up so that the request can be repeated, although
// no retry is left.
func TestAttemptWithoutRetryMayUseItsTime(t *testing.T) {
	f := newFleet(t, 2)
	f.serve(1, "b1", func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(1200 * time.Millisecond) // The timeout of the route is 2 s.
		_, _ = io.WriteString(w, "whole")
	})
	budget := f.nodes[0].ingress.budget("booking", 0)
	for budget.Take(time.Now(), 0) {
	}
	if got := f.send(0, "GET", "/", nil); got.body != "whole" {
		t.Errorf("%+v", got)
	}
}

// Guards against a request that may be repeated and still fails, because its owner ends it at the
// end of a planned stop and the retry budget is spent or all other backend servers are suspect.
func TestRequestInterruptedByPlannedStopIsRepeated(t *testing.T) {
	t.Run("healthy", func(t *testing.T) { interruptRequests(t, false) })
	t.Run("suspect", func(t *testing.T) { interruptRequests(t, true) })
}

func interruptRequests(t *testing.T, suspect bool) {
	t.Helper()
	f := newFleet(t, 2, func(_ *OwnerOptions, in *IngressOptions) { in.FreeRefusals = 8 })
	f.nodes[0].backends.opt.SuspicionTrials = suspect
	begun := make(chan struct{}, 2)
	f.serve(1, "b1", func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		begun <- struct{}{}
		<-r.Context().Done()
	})
	safe, once := make(chan result, 1), make(chan result, 1)
	go func() { safe <- f.send(0, "GET", "/safe", nil) }()
	go func() { once <- f.send(0, "POST", "/once", strings.NewReader("x")) }()
	<-begun
	<-begun
	f.serve(0, "b2", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
	if suspect {
		f.nodes[0].backends.get("b2").tracker.Observe(time.Now(), time.Now(), evidence.Reset)
		time.Sleep(300 * time.Millisecond) // A trial is due.
	}
	budget, _ := f.nodes[0].ingress.budgets.Load(registry.ServiceID("booking"))
	for budget.(*retry.Budget).Take(time.Now(), 0) {
	}
	f.nodes[1].owner.EndRequests()
	stop, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if err := f.nodes[1].owner.Drain(stop); err != nil {
		t.Errorf("the owner did not end its requests: %v", err)
	}
	if got := <-safe; got.body != "whole" {
		t.Errorf("the request that may be repeated: %+v", got)
	}
	if got := <-once; got.outcome != header.Unknown || got.reason != reasonStopping {
		t.Errorf("the other request: %+v", got)
	}
}

// Guards against calls of a backend server that are refused because its node stops. The
// request that makes the call then fails, although it was accepted before.
func TestCallsOfRunningRequestsAreServedDuringDrain(t *testing.T) {
	f := newFleet(t, 2)
	f.nodes[0].ingress.opt.LocalService = "parent"
	free, begun := make(chan struct{}), make(chan struct{}, 1)
	f.serve(0, "b1", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/parent" {
			begun <- struct{}{}
			<-free
		}
	})
	parent := make(chan result, 1)
	go func() { parent <- f.send(0, "POST", "/parent", nil) }()
	<-begun
	in := f.nodes[0].ingress
	in.AcceptCallsUntil(time.Now().Add(3 * time.Second))
	short, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	_ = in.Drain(short)
	if got := f.send(0, "GET", "/call", nil); got.outcome != header.Answered {
		t.Errorf("a call during the drain: %+v", got)
	}
	if got := f.send(0, "POST", "/new", strings.NewReader("x")); got.reason != reasonStopping {
		t.Errorf("a request that cannot be a call: %+v", got)
	}
	in.AcceptCallsUntil(time.Now().Add(time.Second)) // The route allows 2 s.
	if got := f.send(0, "GET", "/late", nil); got.reason != reasonStopping {
		t.Errorf("a call that may not end in time: %+v", got)
	}
	in.AcceptCallsUntil(time.Now().Add(3 * time.Second))
	close(free)
	<-parent
	if err := in.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := f.send(0, "GET", "/after", nil); got.reason != reasonStopping {
		t.Errorf("a call after the last request has ended: %+v", got)
	}
}
