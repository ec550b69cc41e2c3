package proxy

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/internal/state/evidence"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Guards against idempotent requests that are refused although a suspect backend server
// has free slots, and against more than one request that is not idempotent at a suspect
// backend server at a time.
func TestSuspectServesRequestsAsLastResort(t *testing.T) {
	for method, most := range map[string]int{http.MethodGet: 4, http.MethodPost: 1} {
		f := newFleet(t, 2, func(_ *OwnerOptions, in *IngressOptions) { in.FreeRefusals = 8 })
		f.nodes[0].backends.opt.SuspicionTrials = true
		var runs atomic.Int64
		f.serve(0, "suspect", func(http.ResponseWriter, *http.Request) {
			runs.Add(1)
			time.Sleep(100 * time.Millisecond)
		})
		f.nodes[0].backends.get("suspect").tracker.Observe(time.Now(), time.Now(), evidence.Reset)
		// The owner of the other backend servers refuses every request.
		for _, id := range []registry.BackendID{"b1", "b2", "b3"} {
			f.nodes[1].owned = append(f.nodes[1].owned, registry.Backend{ID: id, Service: "booking", Slots: 4, Weight: 1})
		}
		f.publish(f.nodes[1])
		time.Sleep(300 * time.Millisecond) // A trial is due.
		var served, refused atomic.Int64
		var requests sync.WaitGroup
		for range 4 {
			requests.Go(func() {
				switch res := f.send(0, method, "/x", nil); {
				case res.status == http.StatusOK:
					served.Add(1)
				case res.status == http.StatusServiceUnavailable && res.outcome == header.NotRun:
					refused.Add(1)
				}
			})
		}
		requests.Wait()
		if int(served.Load()) != most || int(refused.Load()) != 4-most || served.Load() != runs.Load() {
			t.Fatalf("%s: %d served, %d refused, %d runs, want %d served", method, served.Load(), refused.Load(), runs.Load(), most)
		}
	}
}

// Guards against a recovered backend server that stays suspect because it gets no trial:
// the retry budget is spent and requests of the service fail. This state arises when
// nodes stop one after another while the remaining backend servers are suspect.
func TestSuspectIsTestedWithoutAvailableRetry(t *testing.T) {
	f := newFleet(t, 2, func(_ *OwnerOptions, in *IngressOptions) { in.FreeRefusals = 8 })
	f.nodes[0].backends.opt.SuspicionTrials = true
	var runs atomic.Int64
	f.serve(0, "suspect", func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	f.serve(1, "b1", func(http.ResponseWriter, *http.Request) {})
	now := time.Now()
	long := now.Add(-10 * time.Second)
	f.nodes[0].backends.get("suspect").tracker.Observe(long, long, evidence.Reset)
	in := f.nodes[0].ingress
	for in.budget("booking", 10).Take(now, 0) {
	}
	for range 9 {
		in.unservedRate("booking").Add(now, true)
	}
	in.unservedRate("booking").Add(now, false)
	for i := range 40 {
		if res := f.send(0, http.MethodGet, "/x", nil); res.status != http.StatusOK {
			t.Fatalf("request %d: %+v", i, res)
		}
	}
	if runs.Load() == 0 {
		t.Fatal("no trial")
	}
}

// Guards against a request that must not be repeated and waits for a slot of a backend server
// that hangs and has become suspect, while another one is free.
func TestQueuedRequestLeavesSuspectServer(t *testing.T) {
	f := newFleet(t, 2, func(_ *OwnerOptions, in *IngressOptions) { in.FreeRefusals = 8 })
	f.nodes[1].backends.opt.SuspicionTrials = true
	free := make(chan struct{})
	f.serve(1, "hangs", func(http.ResponseWriter, *http.Request) { <-free })
	hanging := f.nodes[1].backends.get("hangs")
	hanging.admitter.controller.SetSlots(1)
	var requests sync.WaitGroup
	results := make(chan result, 2)
	for range 2 {
		requests.Go(func() { results <- f.send(0, http.MethodPost, "/", nil) })
	}
	waitFor(t, func() bool { l := hanging.admitter.controller.Load(); return l.InUse == 1 && l.Queued == 1 })
	f.serve(1, "works", func(http.ResponseWriter, *http.Request) {})
	start := time.Now()
	x := &exchange{owner: f.nodes[1].owner, attempt: &ownerAttempt{}, backend: hanging}
	x.updateTracker(hanging.tracker, evidence.Reset, time.Now())
	got := <-results
	if took := time.Since(start); got.status != http.StatusOK || took > 500*time.Millisecond {
		t.Errorf("%s, %s after %s", got.outcome, got.reason, took)
	}
	close(free)
	requests.Wait()
}
