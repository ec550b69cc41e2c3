package events

import (
	"sync"

	"wigeonspring.example/wigeonspring/internal/state/event"
)

// Store keeps the most recent events in memory for explain queries.
type Store struct {
	mu     sync.Mutex
	events []event.Event
	next   int
	full   bool
}

// NewStore returns a store of the last capacity events.
func NewStore(capacity int) *Store { return &Store{events: make([]event.Event, capacity)} }

// Add stores an event and overwrites the oldest one if the store is full. Events of
// kind RequestPlaced are not stored. There is one for each request, so they would
// displace the decisions about backend servers within seconds. The log contains them.
func (s *Store) Add(e event.Event) {
	if e.Kind == event.RequestPlaced {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events[s.next] = e
	s.next = (s.next + 1) % len(s.events)
	s.full = s.full || s.next == 0
}

// Query selects events. Empty fields match every event.
type Query struct {
	Service   string
	Backend   string
	RequestID string
	// Limit is the maximum number of events returned. The default is 50.
	Limit int
}

func (q Query) matches(e *event.Event) bool {
	return (q.Service == "" || q.Service == e.Service) &&
		(q.Backend == "" || q.Backend == e.Backend) &&
		(q.RequestID == "" || q.RequestID == e.RequestID)
}

// Find returns the matching events, newest first.
func (s *Store) Find(q Query) []event.Event {
	limit := q.Limit
	if limit <= 0 {
		limit = 50
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.next
	if s.full {
		n = len(s.events)
	}
	var found []event.Event
	for i := 1; i <= n && len(found) < limit; i++ {
		e := &s.events[(s.next-i+len(s.events))%len(s.events)]
		if q.matches(e) {
			found = append(found, *e)
		}
	}
	return found
}
