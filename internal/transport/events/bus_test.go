package events

import (
	"context"
	"expvar"
	"fmt"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/event"
)

// Guards against a slow consumer that blocks producers or other consumers.
func TestSlowConsumerDropsAndDoesNotBlock(t *testing.T) {
	bus, err := New(Options{Node: "n1", Capacity: 8})
	if err != nil {
		t.Fatal(err)
	}
	release := make(chan struct{})
	fast := make(chan event.Event, 1000)
	bus.AddConsumer("slow", func(event.Event) { <-release })
	bus.AddConsumer("fast", func(e event.Event) { fast <- e })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- bus.Run(ctx) }()
	<-bus.router.Running()

	const published = 200
	for i := range published {
		start := time.Now()
		bus.Publish(event.Event{Kind: event.BackendEjected, Reason: fmt.Sprint(i)})
		if d := time.Since(start); d > time.Second {
			t.Fatalf("Publish blocked for %v", d)
		}
		time.Sleep(time.Millisecond)
	}
	deadline := time.After(5 * time.Second)
	select {
	case e := <-fast:
		if e.Node != "n1" || e.Kind != event.BackendEjected {
			t.Fatalf("event changed on the way: %+v", e)
		}
	case <-deadline:
		t.Fatal("fast consumer received no event while another consumer was blocked")
	}
	if drops.Get("slow") == nil {
		t.Fatal("drops of the slow consumer were not counted")
	}
	close(release)
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// Guards against a burst of one kind that fills the log or displaces events of other
// kinds, and against suppressed events that are not counted.
func TestEventRateOfOneKindIsBounded(t *testing.T) {
	const burst, published = 5, 1000
	b, err := New(Options{Node: "n1", Rate: 1, Burst: burst})
	if err != nil {
		t.Fatal(err)
	}
	seen := make(chan event.Kind, published)
	b.AddConsumer("test", func(e event.Event) { seen <- e.Kind })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = b.Run(ctx) }()
	<-b.router.Running()
	before := suppressedCount(string(event.RequestRefused))
	begin := time.Now()
	for range published {
		b.Publish(event.Event{Kind: event.RequestRefused})
	}
	b.Publish(event.Event{Kind: event.NodeDead})
	maxRefused := burst + int(time.Since(begin).Seconds()) + 1
	refused := 0
	for kind := event.RequestRefused; kind != event.NodeDead; {
		select {
		case kind = <-seen:
		case <-time.After(10 * time.Second):
			t.Fatalf("event of the other kind not delivered after %d events of the limited kind", refused)
		}
		if kind == event.RequestRefused {
			refused++
		}
	}
	if refused < burst || refused > maxRefused {
		t.Errorf("%d events of the limited kind delivered, want %d to %d", refused, burst, maxRefused)
	}
	if suppressed := suppressedCount(string(event.RequestRefused)) - before; suppressed != int64(published-refused) {
		t.Errorf("%d events counted as suppressed, want %d", suppressed, published-refused)
	}
}

// suppressedCount returns the number of suppressed events of a kind.
func suppressedCount(kind string) int64 {
	if v, ok := suppressed.Get(kind).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// Guards against a store that loses recent events after it wraps around.
func TestStoreReturnsNewestFirst(t *testing.T) {
	s := NewStore(3)
	for i := range 5 {
		s.Add(event.Event{Backend: "b", Reason: fmt.Sprint(i)})
	}
	s.Add(event.Event{Backend: "other"})
	got := s.Find(Query{Backend: "b"})
	if len(got) != 2 || got[0].Reason != "4" || got[1].Reason != "3" {
		t.Fatalf("got %+v", got)
	}
}
