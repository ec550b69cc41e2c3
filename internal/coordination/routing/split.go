package routing

import (
	"math/rand/v2"
	"sync"

	"wigeonspring.example/wigeonspring/internal/state/policy"
)

// Splitter distributes the requests of a route among its services in proportion to
// their weights. It uses smooth weighted round robin: each request adds to the credit
// of every service its weight, and the service with the highest credit receives the
// request and has the sum of all weights subtracted. Unlike with a random choice, the
// shares are exact even over few requests. The zero value is ready to use.
type Splitter struct {
	mu     sync.Mutex
	routes map[string]*split
}

type split struct {
	version uint64
	credit  []float64
}

// Choose returns the index of the target that receives the next request. rng selects
// the starting point of a new split, so that the nodes do not all begin with the same
// service.
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

// splitPhases is the number of starting points of a split. A split with a share of one
// percent repeats after 100 requests.
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
