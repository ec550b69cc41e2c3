package routing

import (
	"math/rand/v2"
	"sync"

	"wigeonspring.example/wigeonspring/internal/state/policy"
)

// Splitter distributes the requests of a route among its services in proportion
// to their weights. It follows the smooth weighted round robin: each request
// raises the credit of every service by its weight, and the service with the
// highest credit takes the request and pays the total. The shares are exact
// over short spans, unlike those of random draws. The zero value is ready to use.
type Splitter struct {
	mu     sync.Mutex
	routes map[string]*split
}

type split struct {
	version uint64
	credit  []float64
}

// Choose returns the index of the target that takes the next request. rng sets
// the phase of a new split, so that nodes do not all begin with the same service.
func (s *Splitter) Choose(rng *rand.Rand, m policy.Match) int {
	if len(m.Targets) == 1 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.routes == nil {
		s.routes = make(map[string]*split)
	}
	r := s.routes[m.Route.Name]
	if r == nil || r.version != m.Epoch || len(r.credit) != len(m.Targets) {
		r = &split{version: m.Epoch, credit: make([]float64, len(m.Targets))}
		s.routes[m.Route.Name] = r
		for range rng.IntN(splitPhases) {
			r.next(m.Targets)
		}
	}
	return r.next(m.Targets)
}

// splitPhases is the number of starting points of a split: a share of one in a
// hundred has as many.
const splitPhases = 100

func (r *split) next(targets []policy.MatchTarget) int {
	total, best := 0.0, 0
	for i, t := range targets {
		r.credit[i] += t.Weight
		total += t.Weight
		if r.credit[i] > r.credit[best] {
			best = i
		}
	}
	r.credit[best] -= total
	return best
}
