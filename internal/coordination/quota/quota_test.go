package quota

import (
	"testing"
	"time"
)

func TestTrial(t *testing.T) {
	for _, seed := range seeds() {
		s := newSimulation(seed, 0)
		s.teams[0].factor = hot(12*time.Second, 18*time.Second, 6)
		s.run(26 * time.Second)
		s.show(t)
	}
}

func (s *simulation) show(t *testing.T) {
	team, e := s.worst()
	t.Logf("worst %s %.0f", team.limit.Team, e)
	for _, i := range []int{0, 1, 2, 10, 40} {
		c := s.teams[i]
		t.Logf("%s rate %.2f offered %d admitted %d owed %d refused %d refusedOwed %d excess %.0f", c.limit.Team, c.limit.RatePerSecond, len(c.offered), len(c.admitted), c.owed, c.refused, c.refusedOwed, c.worstExcess(c.limit, 0))
	}
	var ref, off int
	for _, c := range s.teams[1:] {
		ref += c.refusedOwed
		off += len(c.offered)
	}
	t.Logf("others: refused owed %d of %d", ref, off)
}
