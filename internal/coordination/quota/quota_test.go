package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// scenario is a load with one fault. The hot team is the largest one.
const (
	// hotAt is when the hot team begins to send hotFactor times its usual load, for hotFor.
	hotAt     = 8 * time.Second
	hotFor    = 6 * time.Second
	hotFactor = 6
	// playTime is the length of a play.
	playTime = hotAt + hotFor + 3*time.Second
)

// scenario is a load with a fault.
type scenario struct {
	name string
	// disturb brings the fault about.
	disturb func(s *simulation, hot *simTeam)
	// protection is what the check depends on.
	protection Protection
	// failed checks a play.
	failed func(s *simulation, hot *simTeam) string
}

func scenarios() []scenario {
	return []scenario{
		{"hot team", func(*simulation, *simTeam) {}, Directives, unfair},
		{"retry abuse", func(s *simulation, _ *simTeam) { s.retryAtOnce = 0.9 }, Directives, unfair},
		{"lost and doubled datagrams", func(s *simulation, _ *simTeam) { s.loss, s.duplicates = 0.1, 0.3 }, Deduplication, unfair},
		{"callers that move twice a second", moveCallers, Directives, unfair},
		{"isolated nodes", func(s *simulation, _ *simTeam) {
			s.after(hotAt-time.Second, func() { s.isolate(func(i int) int { return i + 1 }) })
		}, LocalBuckets | Prudence, exceeded},
		{"isolated failure domain", func(s *simulation, _ *simTeam) {
			s.after(hotAt-5*time.Second, func() { s.isolate(func(int) int { return 1 }) })
		}, Reserve, exceeded},
		{"killed aggregator", func(s *simulation, hot *simTeam) {
			s.after(hotAt+time.Second, func() { s.killAggregator(hot) })
		}, Failover, unfair},
		{"restart of all nodes", func(s *simulation, hot *simTeam) {
			// With a large burst, quotas that are handed out twice exceed the bound.
			hot.limit.Burst = 5 * hot.limit.RatePerSecond
			s.after(hotAt+2*time.Second, s.restart)
		}, EmptyStart, exceeded},
		{"lowered rate", func(s *simulation, hot *simTeam) {
			s.after(hotAt+2*time.Second, func() {
				hot.lowered = s.since()
				hot.limit.RatePerSecond /= 3
				hot.limit.Burst /= 3
			})
		}, CurrentLimits, exceeded},
	}
}

// play plays a scenario with a hot team.
func play(c *scenario, seed uint64, team int, disabled Protection) string {
	s := newSimulation(seed, disabled)
	hot := s.teams[team]
	hot.factor = func(at time.Duration) float64 {
		if at >= hotAt && at < hotAt+hotFor {
			return hotFactor
		}
		return 1
	}
	c.disturb(s, hot)
	s.run(playTime)
	return c.failed(s, hot)
}

// exceeded reports a team that exceeds its bound in a window.
func exceeded(s *simulation, _ *simTeam) string {
	for _, t := range s.teams {
		if excess := t.worstExcess(); excess > 0 {
			return fmt.Sprintf("%s exceeds its bound by %.0f requests", t.limit.Team, excess)
		}
	}
	return ""
}

// unfair also reports that the hot team gets less than 90% of its quota, beyond the scatter of
// the number of its requests, or that more than 1%
// of the requests of the others that are within their quotas are refused.
func unfair(s *simulation, hot *simTeam) string {
	if e := exceeded(s, hot); e != "" {
		return e
	}
	quota := float64(hot.owed)
	if float64(len(hot.admitted)) < 0.9*quota-math.Sqrt(quota) {
		return fmt.Sprintf("the hot team got %d of %d requests of its quota", len(hot.admitted), hot.owed)
	}
	owed, refused := 0, 0
	for _, t := range s.teams {
		if t != hot {
			owed += t.owed
			refused += t.refusedOwed
		}
	}
	if refused > owed/100 {
		return fmt.Sprintf("%d of %d requests of other teams within their quotas were refused", refused, owed)
	}
	return ""
}

// moveCallers moves all callers to another third of the nodes twice a second.
func moveCallers(s *simulation, _ *simTeam) {
	s.at = func(r float64) *simNode {
		third := len(s.nodes) / 3
		step := int(s.since() / (500 * time.Millisecond))
		return s.nodes[(step*third+int(r*float64(third)))%len(s.nodes)]
	}
}

// isolate cuts off 35% of the nodes, each in the group that the function returns.
func (s *simulation) isolate(group func(i int) int) {
	for i, n := range s.nodes[:30] {
		n.group, n.changed = group(i), s.now
	}
}

// killAggregator kills the aggregator of a team.
func (s *simulation) killAggregator(t *simTeam) {
	p := partitionOf(KeyOf(t.limit.Team), 1)
	n := s.node(aggregatorOf(p, s.nodes[0].members, func(registry.NodeID) bool { return false }))
	n.down, n.changed = true, s.now
}

// restart kills all nodes and starts them again 1 s later.
func (s *simulation) restart() {
	for _, n := range s.nodes {
		n.down, n.changed = true, s.now
		s.after(time.Second, func() { s.boot(n) })
	}
}

// Guards against requests beyond a quota, and against refused ones within it. The load is that
// of 86 nodes and 78 teams, of which the largest, or one with 10 requests a second, sends six
// times its usual requests for 6 s.
func TestBoundOfQuotas(t *testing.T) {
	for _, c := range scenarios() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for _, seed := range []uint64{1, 2, 3} {
				for _, team := range []int{0, 8} {
					if failure := play(&c, seed, team, 0); failure != "" {
						t.Errorf("seed %d, hot team %d: %s", seed, team, failure)
					}
				}
			}
		})
	}
}

// Guards against protections without effect: each scenario fails without the protection that it
// is about.
func TestEachProtectionIsNeeded(t *testing.T) {
	for _, c := range scenarios() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			failure := play(&c, 1, 0, c.protection)
			if failure == "" {
				t.Error("does not fail")
			}
			t.Log(failure)
		})
	}
}

// Guards against a node that stays without contact after the number of partitions has changed
// and changed back, because the aggregator takes its reports for old ones.
func TestReportsAfterPartitionsChangeBack(t *testing.T) {
	now := time.Unix(1000, 0)
	limit := Limit{Team: "bakers", RatePerSecond: 100, Burst: 100}
	l := NewLimiter(LimiterOptions{Session: 1, Rand: rand.New(rand.NewPCG(1, 1))})
	a := NewAggregator(AggregatorOptions{Partition: 1, Limit: func(TeamKey) (Limit, bool) { return limit, true }})
	few, many := make([]registry.NodeID, 2*nodesPerPartition-1), make([]registry.NodeID, 2*nodesPerPartition)
	for i := range many {
		many[i] = registry.NodeID(fmt.Sprintf("n%d", i))
	}
	copy(few, many)
	acknowledged := func() bool {
		now = now.Add(reportInterval)
		l.Admit(now, limit)
		reports := l.Tick(now)
		if len(reports) != 1 {
			t.Fatalf("%d reports", len(reports))
		}
		reply, _ := a.HandleReport(now, "n1", reports[0].Report)
		l.HandleReply(now, reply)
		return l.uplinks[1].inContact(now) && l.uplinks[1].unanswered.IsZero()
	}
	l.SetMembers(now, few)
	for range 5 {
		if !acknowledged() {
			t.Fatal("no contact before the change")
		}
	}
	l.SetMembers(now, many)
	l.SetMembers(now, few)
	if !acknowledged() {
		t.Error("the first report after the change is not acknowledged")
	}
}

// Guards against teams that are not limited at nodes with few of their requests while more teams
// are limited than a reply contains.
func TestManyLimitedTeams(t *testing.T) {
	now := time.Unix(1000, 0)
	quiet, busy := Limit{Team: "quiet", RatePerSecond: 10, Burst: 10}, Limit{Team: "busy", RatePerSecond: 10, Burst: 10}
	l := NewLimiter(LimiterOptions{Session: 1, Rand: rand.New(rand.NewPCG(1, 1))})
	l.SetMembers(now, []registry.NodeID{"n0"})
	var most []Directive
	for i := range maxUnrequested {
		most = append(most, Directive{Team: TeamKey(i)})
	}
	// reply reports the requests so far and applies a reply.
	reply := func(directives []Directive) {
		now = now.Add(reportInterval)
		report := l.Tick(now)[0].Report
		l.HandleReply(now, Reply{Session: 1, Seq: report.Seq, Partition: 1, Directives: directives})
	}
	limited := func(limit Limit) bool { ok, _ := l.Admit(now, limit); return !ok }

	reply(nil)
	l.Admit(now, quiet)
	reply(append([]Directive{{Team: KeyOf("quiet")}}, most...))
	l.Admit(now, busy)
	reply(most)
	if !limited(quiet) {
		t.Error("a reply without room for a team ends its limit")
	}
	reply(most)
	if limited(quiet) {
		t.Error("the reply to a report with the team does not end its limit")
	}
	reply(append([]Directive{{Team: KeyOf("quiet")}}, most...))
	reply(most[1:])
	if limited(quiet) {
		t.Error("a reply with room for the team does not end its limit")
	}
}
