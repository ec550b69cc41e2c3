package events

import (
	"testing"

	"wigeonspring.example/wigeonspring/internal/state/event"
)

// Guards against placements that displace the event of an ejection from the store.
func TestStoreKeepsDecisionsUnderLoad(t *testing.T) {
	s := NewStore(16)
	s.Add(event.Event{Kind: event.BackendEjected, Backend: "b1"})
	for range 100 {
		s.Add(event.Event{Kind: event.RequestPlaced, Backend: "b1"})
	}
	if found := s.Find(Query{Backend: "b1"}); len(found) != 1 || found[0].Kind != event.BackendEjected {
		t.Fatalf("found %+v", found)
	}
}
