package routing

import (
	"math"
	"math/rand/v2"
	"testing"

	"wigeonspring.example/wigeonspring/internal/state/policy"
)

func splitMatch(version uint64, weights ...float64) policy.Match {
	m := policy.Match{Route: &policy.Route{Name: "r"}, Epoch: version}
	for _, w := range weights {
		m.Targets = append(m.Targets, policy.MatchTarget{Weight: w})
	}
	return m
}

// Guards against shares at one node that differ from the weights. Also guards against
// nodes that all begin with the service of the highest weight: each node receives few
// requests after a change, so the other services would receive almost none.
func TestSplitFollowsWeights(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, c := range []struct {
		name            string
		nodes, requests int
		weights         []float64
	}{
		{"one node", 1, 200, []float64{90, 10}},
		{"three services", 1, 300, []float64{50, 30, 20}},
		{"fractions", 1, 400, []float64{0.25, 0.75}},
		{"36 nodes with 6 requests each", 36, 6, []float64{90, 10}},
		{"one service", 1, 10, []float64{7}},
	} {
		t.Run(c.name, func(t *testing.T) {
			counts := make([]float64, len(c.weights))
			total := 0.0
			for _, w := range c.weights {
				total += w
			}
			for range c.nodes {
				var s Splitter
				for range c.requests {
					counts[s.Choose(rng, splitMatch(1, c.weights...))]++
				}
			}
			for i, w := range c.weights {
				share := counts[i] / float64(c.nodes*c.requests)
				if math.Abs(share-w/total) > 0.05 {
					t.Errorf("service %d has a share of %.3f, want %.3f", i, share, w/total)
				}
			}
		})
	}
}

// Guards against credits of an old version of the weights that distort the shares of
// the new one.
func TestSplitResetsWithNewVersion(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 1))
	var s Splitter
	for range 50 {
		s.Choose(rng, splitMatch(1, 99, 1))
	}
	counts := [2]int{}
	for range 100 {
		counts[s.Choose(rng, splitMatch(2, 50, 50))]++
	}
	if counts[0] < 45 || counts[0] > 55 {
		t.Fatalf("shares %v after the change to equal weights", counts)
	}
}
