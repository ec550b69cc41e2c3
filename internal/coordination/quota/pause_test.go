package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/proptest"
)

// playPauses plays a small fleet and a team that sends many times its quota again and again while
// random nodes are paused. As a platform would, callers leave a paused node after 2 s and return to
// it 1 s after its end. It returns by how many requests the team exceeds its bound, and the play.
func playPauses(seed uint64, disabled Protection) (excess float64, play string) {
	const rounds, roundTime, hotTime = 3, 15 * time.Second, 6500 * time.Millisecond
	rng := rand.New(rand.NewPCG(seed, 2))
	rate, factor, nodes := 5+20*rng.Float64(), 3+5*rng.Float64(), 2+rng.IntN(8)
	callers := 1 + rng.IntN(nodes)
	team := newSimTeam(int(seed), rate, rate)
	team.limit.Burst *= 1 + 2*rng.Float64()
	team.factor = func(at time.Duration) float64 {
		if at >= roundTime && at%roundTime < hotTime {
			return factor
		}
		return 1
	}
	play = fmt.Sprintf("%.1f times %.1f requests a second, burst %.1f, %d of %d nodes, paused:", factor, rate, team.limit.Burst, callers, nodes)
	s := newFleet(seed, disabled, nodes, []*simTeam{team})
	s.delay = time.Duration(s.rng.Int64N(int64(15 * time.Millisecond)))
	away := make(map[*simNode]bool)
	s.at = func(r float64) *simNode {
		var open []*simNode
		for _, n := range s.nodes[:callers] {
			if !away[n] {
				open = append(open, n)
			}
		}
		if open == nil {
			return s.nodes[0]
		}
		return open[int(r*float64(len(open)))]
	}
	for round := range rounds {
		for range 1 + s.rng.IntN(2) {
			n := s.nodes[s.rng.IntN(len(s.nodes))]
			at := time.Duration(round+1)*roundTime + time.Duration(s.rng.Int64N(int64(hotTime)))
			length := 300*time.Millisecond + time.Duration(s.rng.Int64N(int64(3700*time.Millisecond)))
			s.after(at, func() { s.pausePlay(n, length, away) })
			play += fmt.Sprintf(" %s at %.1f s for %.1f s", n.id, at.Seconds(), length.Seconds())
		}
	}
	s.run((rounds + 1) * roundTime)
	return team.worstExcess(), play
}

func (s *simulation) pausePlay(n *simNode, length time.Duration, away map[*simNode]bool) {
	if n.paused {
		return
	}
	s.pause(n)
	s.after(length, func() { s.resume(n) })
	if length > 2*time.Second {
		s.after(2*time.Second, func() { away[n] = true })
		s.after(length+time.Second, func() { away[n] = false })
	}
}

// pausePlays is the number of plays of a seed.
const pausePlays = 300

// Guards against a node that wakes up from a pause and admits the requests that have waited there
// beyond the quota of their team, be it an ingress node or also the aggregator of the team.
func TestPausedNodesKeepBoundOfQuotas(t *testing.T) {
	first := uint64(proptest.Seed(t)) * 1000
	worst := math.Inf(-1)
	for i := range uint64(pausePlays) {
		excess, play := playPauses(first+i, 0)
		worst = max(worst, excess)
		if excess > 0 {
			t.Errorf("play %d: the team exceeds its bound by %.0f requests: %s", first+i, excess, play)
		}
	}
	t.Logf("nearest to the bound: %.0f requests", worst)
}

// Guards against protections without effect: plays exceed the bound without each of them. Few need
// the second one.
func TestPausesNeedEachProtection(t *testing.T) {
	var first []uint64
	for i := range uint64(pausePlays) {
		first = append(first, 1000+i)
	}
	for name, c := range map[string]struct {
		disabled Protection
		plays    []uint64
	}{
		"settling":          {Settling, first},
		"fresh aggregators": {FreshAggregators, []uint64{15301, 15422, 17935}},
		"prudence":          {Prudence, []uint64{3152, 13477, 17526}},
	} {
		broken := 0
		for _, play := range c.plays {
			if excess, _ := playPauses(play, 0); excess > 0 {
				t.Errorf("%s: play %d exceeds the bound", name, play)
			}
			if excess, _ := playPauses(play, c.disabled); excess > 0 {
				broken++
			}
		}
		if broken == 0 {
			t.Errorf("no play needs %s", name)
		}
		t.Logf("%s: %d of %d plays exceed the bound without", name, broken, len(c.plays))
	}
}
