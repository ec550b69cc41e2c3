package health

import (
	"context"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"wigeonspring.example/wigeonspring/internal/coordination/ejection"
	"wigeonspring.example/wigeonspring/internal/state/event"
	"wigeonspring.example/wigeonspring/internal/state/evidence"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type grantingPermits struct{}

func (grantingPermits) Request(_ registry.ServiceID, b registry.BackendID, done func(PermitResult)) {
	go done(PermitResult{Permit: ejection.Permit{ID: string(b), Position: 1}})
}
func (grantingPermits) Release(registry.ServiceID, registry.BackendID) {}

type eventRecorder struct {
	mu     sync.Mutex
	events []event.Event
}

func (s *eventRecorder) Publish(e event.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, e)
}

// Guards against decisions of the core that do not reach the record of the backend server or
// the event sink.
func TestFailingServerIsEjected(t *testing.T) {
	applied := make(chan registry.BackendState, 8)
	events := &eventRecorder{}
	h := New(Options{
		TickInterval: 5 * time.Millisecond,
		View:         func() ejection.View { return ejection.View{"s": {Floor: 9, Serving: 12, Capacity: 12}} },
		Permits:      grantingPermits{}, Events: events, Node: "n1",
		Apply: func(_ registry.BackendID, s registry.BackendState, _ float64) { applied <- s },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- h.Run(ctx) }()
	// Observations continue, because only exchanges that began after a suspicion can confirm
	// it.
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	limit := time.After(5 * time.Second)
	for decided := false; !decided; {
		select {
		case s := <-applied:
			if s != registry.Ejected {
				t.Errorf("state %d, want ejected", s)
			}
			decided = true
		case <-ticker.C:
			h.Observe(evidence.Observation{Backend: "b1", Service: "s", Kind: evidence.Timeout, At: time.Now()})
		case <-limit:
			t.Error("no decision within 5 s")
			decided = true
		}
	}
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	events.mu.Lock()
	defer events.mu.Unlock()
	want := []event.Kind{event.BackendSuspected, event.BackendEjected}
	if len(events.events) != len(want) {
		t.Fatalf("events %+v", events.events)
	}
	for i, e := range events.events {
		if e.Kind != want[i] || len(e.Evidence) == 0 {
			t.Errorf("event %d: %+v, want %s with evidence", i, e, want[i])
		}
	}
}

// Guards against a full ring that blocks the request path.
func TestFullRingDrops(t *testing.T) {
	h := New(Options{RingSize: 1})
	if !h.Observe(evidence.Observation{}) || h.Observe(evidence.Observation{}) || h.Dropped() != 1 {
		t.Fatalf("dropped %d, want 1", h.Dropped())
	}
}
