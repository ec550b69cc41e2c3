package quota

import (
	"testing"
	"time"
)

// scenario is a load with one fault. The hot team is the largest one.
type scenario struct {
	name string
	// protection keeps the bound; without it, the scenario exceeds the bound.
	protection Protection
	// run plays the scenario and returns the requests by which the hot team exceeds a bound.
	run func(s *simulation) float64
}

// hotAt is when the hot team begins to send six times its usual load, for hotFor.
const (
	hotAt  = 12 * time.Second
	hotFor = 6 * time.Second
)

func (s *simulation) hot() *simTeam {
	t := s.teams[0]
	t.factor = func(at time.Duration) float64 {
		if at >= hotAt && at < hotAt+hotFor {
			return 6
		}
		return 1
	}
	return t
}

// excess plays the scenario to its end.
func (s *simulation) excess() float64 {
	s.run(hotAt + hotFor + 6*time.Second)
	_, excess := s.worst()
	return excess
}

func scenarios() []scenario {
	return []scenario{
		{"hot team", Directives, func(s *simulation) float64 {
			s.hot()
			return s.excess()
		}},
		{"retry abuse", Directives, func(s *simulation) float64 {
			s.hot()
			s.retryAtOnce = 0.9
			return s.excess()
		}},
		{"lost and doubled datagrams", Directives, func(s *simulation) float64 {
			s.hot()
			s.loss, s.duplicates = 0.1, 0.1
			return s.excess()
		}},
		// All callers of the hot team move to other nodes twice a second.
		{"moving callers", Directives, func(s *simulation) float64 {
			hot := s.hot()
			s.at = func(r float64) *simNode {
				step := int(s.since() / (500 * time.Millisecond))
				return s.nodes[(step*29+int(r*29))%len(s.nodes)]
			}
			_ = hot
			return s.excess()
		}},
		{"isolated nodes", LocalBuckets, func(s *simulation) float64 {
			s.hot()
			s.after(hotAt-time.Second, func() {
				for i, n := range s.nodes[:30] {
					s.isolate(n, i+1)
				}
			})
			return s.excess()
		}},
		{"isolated domain", Reserve, func(s *simulation) float64 {
			s.hot()
			s.after(hotAt-5*time.Second, func() {
				for _, n := range s.nodes[:30] {
					s.isolate(n, 1)
				}
			})
			return s.excess()
		}},
		{"killed aggregators", EmptyStart, func(s *simulation) float64 {
			s.hot()
			// Each aggregator is killed when it has learned of the hot team.
			for at := hotAt + time.Second; at < hotAt+hotFor; at += time.Second {
				s.after(at, s.killAggregator)
			}
			return s.excess()
		}},
		{"killed aggregator", Failover, func(s *simulation) float64 {
			s.hot()
			s.after(hotAt+time.Second, s.killAggregator)
			return s.excess()
		}},
		{"restart of all nodes", EmptyStart, func(s *simulation) float64 {
			s.hot()
			s.after(hotAt+2*time.Second, func() {
				for _, n := range s.nodes {
					s.kill(n)
				}
			})
			s.after(hotAt+3*time.Second, func() {
				for _, n := range s.nodes {
					s.boot(n)
				}
			})
			return s.excess()
		}},
		{"lowered rate", CurrentLimits, func(s *simulation) float64 {
			hot := s.hot()
			lowered := hot.limit
			lowered.RatePerSecond /= 3
			lowered.Burst /= 3
			at := hotAt + 2*time.Second
			s.after(at, func() { hot.limit = lowered })
			s.excess()
			return hot.worstExcess(lowered, at)
		}},
	}
}

// killAggregator kills the aggregator of the hot team.
func (s *simulation) killAggregator() {
	id := s.nodes[len(s.nodes)-1].limiter.uplinks[partitionOf(KeyOf(s.teams[0].limit.Team), 1)].aggregator
	for _, n := range s.nodes {
		if n.id == id {
			s.kill(n)
		}
	}
}

func TestScenarios(t *testing.T) {
	for _, c := range scenarios() {
		for _, seed := range seeds() {
			s := newSimulation(seed, 0)
			e := c.run(s)
			team, _ := s.worst()
			d := newSimulation(seed, c.protection)
			e2 := c.run(d)
			var ref, off int
			for _, c := range s.teams[1:] {
				ref += c.refusedOwed
				off += len(c.offered)
			}
			hot := s.teams[0]
			t.Logf("%s seed %d: excess %.0f (%s), hot %.0f, disabled %.0f; hot admitted %d of %d owed; others refused %d of %d", c.name, seed, e, team.limit.Team, hot.worstExcess(hot.limit, 0), e2, len(hot.admitted), hot.owed, ref, off)
		}
	}
}
