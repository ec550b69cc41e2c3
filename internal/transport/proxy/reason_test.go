package proxy

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/event"
)

// eventRecorder keeps the events of a node.
type eventRecorder struct {
	mu   sync.Mutex
	seen []event.Event
}

func (r *eventRecorder) Publish(e event.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen = append(r.seen, e)
}

func (r *eventRecorder) reason(kind event.Kind) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.seen {
		if e.Kind == kind {
			return e.Reason
		}
	}
	return ""
}

// Guards against a canceled request that is reported as a lost connection to the owner,
// which would direct the operator to a healthy node.
func TestCanceledRequestIsReportedAsCanceledByCaller(t *testing.T) {
	events := &eventRecorder{}
	f := newFleet(t, 2, func(_ *OwnerOptions, in *IngressOptions) { in.Events = events })
	working, done := make(chan struct{}), make(chan struct{})
	defer close(done)
	f.serve(1, "b1", func(_ http.ResponseWriter, r *http.Request) {
		close(working)
		select {
		case <-r.Context().Done():
		case <-done:
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-working
		cancel()
	}()
	f.send(0, http.MethodPost, "/x", nil, func(r *http.Request) { *r = *r.WithContext(ctx) })
	for deadline := time.Now().Add(5 * time.Second); events.reason(event.RequestFailed) == ""; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no event about the request")
		}
	}
	if got := events.reason(event.RequestFailed); got != reasonCanceled {
		t.Fatalf("reason %q, want %q", got, reasonCanceled)
	}
}
