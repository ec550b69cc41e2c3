package node

import (
	"math"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/ownership"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// storedDepartures is the value of the object on the platform.
type storedDepartures struct {
	// Generation is that of the platform's data in which the object held everything that the node
	// had acknowledged; 0 if the platform does not tell or the writer did not know.
	Generation uint64            `json:"generation,omitempty"`
	Departures []storedDeparture `json:"departures"`
	// Drained are the backend servers that an operator drains, with their starts.
	Drained map[registry.BackendID]uint64 `json:"drained,omitempty"`
}

// empty reports whether nothing binds.
func (s storedDepartures) empty() bool { return len(s.Departures) == 0 && len(s.Drained) == 0 }

type storedDeparture struct {
	Backend     registry.BackendID `json:"backend"`
	Incarnation uint64             `json:"incarnation"`
	// Sequence is that of the announced drain; 0 stands for a release.
	Sequence uint64 `json:"sequence,omitempty"`
	AtMillis int64  `json:"at_millis"`
}

func storeDepartures(list []ownership.Departure) []storedDeparture {
	stored := make([]storedDeparture, 0, len(list))
	for _, d := range list {
		s := storedDeparture{Backend: d.Backend, Incarnation: d.Incarnation, Sequence: d.Sequence, AtMillis: d.At.UnixMilli()}
		if d.Released() {
			s.Sequence = 0
		}
		stored = append(stored, s)
	}
	return stored
}

func (s storedDepartures) list() []ownership.Departure {
	list := make([]ownership.Departure, 0, len(s.Departures))
	for _, d := range s.Departures {
		departure := ownership.Departure{Backend: d.Backend, Incarnation: d.Incarnation, Sequence: d.Sequence, At: time.UnixMilli(d.AtMillis)}
		if d.Sequence == 0 {
			departure.Sequence = math.MaxUint64
		}
		list = append(list, departure)
	}
	return list
}
