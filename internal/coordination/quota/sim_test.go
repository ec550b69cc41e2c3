package quota

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/registry"
)

var testBound = Bound{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

const simTick = 100 * time.Millisecond

// membersInterval is the time between two looks of a node at its members.
const membersInterval = 500 * time.Millisecond

// detectionTime is the time in which the membership protocol notices a lost node.
const detectionTime = 4 * time.Second

// simulation replays the requests of teams at the ingress nodes of a fleet.
type simulation struct {
	rng      *rand.Rand
	start    time.Time
	now      time.Time
	queue    eventQueue
	order    int
	nodes    []*simNode
	teams    []*simTeam
	byKey    map[TeamKey]*simTeam
	disabled Protection
	// loss and duplicates are the shares of the datagrams that are lost or doubled.
	loss, duplicates float64
	// retryAtOnce is the share of the refused requests that callers repeat without delay.
	retryAtOnce float64
	// at returns the node of a request, by a random number between 0 and 1.
	at func(r float64) *simNode
}

type simNode struct {
	id         registry.NodeID
	limiter    *Limiter
	aggregator map[Partition]*Aggregator
	// group holds the nodes that reach each other. changed is when a node was last killed or
	// moved to another group.
	group   int
	down    bool
	changed time.Time
	process int
	// members are those that the node knew at membersAt.
	members   []registry.NodeID
	membersAt time.Time
}

type simTeam struct {
	limit    Limit
	usual    float64
	factor   func(since time.Duration) float64
	admitted []time.Duration
	// lowered is when the quota was lowered.
	lowered time.Duration
	// owed counts the requests that a token bucket of the quota admits.
	owed     int
	tokens   float64
	refilled time.Duration
	// refusedOwed counts refused requests within the quota.
	refusedOwed int
}

type simEvent struct {
	at    time.Time
	order int
	run   func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// newSimulation returns a fleet of 86 nodes and 78 teams. The demand of the teams is Zipf
// distributed with exponent 1.2 and sums up to 290 requests a second; each quota is 1.6 times
// the usual demand, with a burst of one second.
func newSimulation(seed uint64, disabled Protection) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), disabled: disabled,
		start: time.Unix(1_700_000_000, 0), now: time.Unix(1_700_000_000, 0),
	}
	for i := range 86 {
		n := &simNode{id: registry.NodeID(fmt.Sprintf("n%02d", i))}
		s.nodes = append(s.nodes, n)
		s.boot(n)
	}
	s.at = func(r float64) *simNode { return s.nodes[int(r*float64(len(s.nodes)))] }
	weights := 0.0
	for i := range 78 {
		weights += math.Pow(float64(i+1), -1.2)
	}
	for i := range 78 {
		usual := 290 * math.Pow(float64(i+1), -1.2) / weights
		rate := 1.6 * usual
		s.teams = append(s.teams, &simTeam{
			limit:  Limit{Team: fmt.Sprintf("team-%02d", i), RatePerSecond: rate, Burst: max(1, rate)},
			usual:  usual,
			factor: func(time.Duration) float64 { return 1 },
			tokens: max(1, rate),
		})
	}
	s.byKey = make(map[TeamKey]*simTeam)
	for _, t := range s.teams {
		s.byKey[KeyOf(t.limit.Team)] = t
	}
	for _, n := range s.nodes {
		s.after(time.Duration(s.rng.Int64N(int64(simTick))), func() { s.tick(n) })
	}
	for _, team := range s.teams {
		s.arrive(team)
	}
	return s
}

// boot starts the process of a node.
func (s *simulation) boot(n *simNode) {
	n.process++
	n.down, n.membersAt = false, time.Time{}
	n.limiter = NewLimiter(LimiterOptions{Session: s.rng.Uint64(), Rand: s.rng, Disabled: s.disabled})
	n.aggregator = make(map[Partition]*Aggregator)
}

func (s *simulation) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.queue, simEvent{at: s.now.Add(d), order: s.order, run: run})
}

// run plays the events until the given time since the start.
func (s *simulation) run(until time.Duration) {
	end := s.start.Add(until)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
}

func (s *simulation) since() time.Duration { return s.now.Sub(s.start) }

// tick runs the timers of a node.
func (s *simulation) tick(n *simNode) {
	s.after(simTick, func() { s.tick(n) })
	if n.down {
		return
	}
	if s.now.Sub(n.membersAt) >= membersInterval {
		n.membersAt = s.now
		n.members = n.members[:0:0]
		for _, m := range s.nodes {
			if m == n || s.seemsLive(n, m) {
				n.members = append(n.members, m.id)
			}
		}
		n.limiter.SetMembers(s.now, n.members)
	}
	for _, o := range n.limiter.Tick(s.now) {
		to := s.node(o.To)
		s.send(n, to, func() { s.report(to, n, o.Report) })
	}
	for _, a := range n.aggregator {
		a.SetMembers(s.now, len(n.members))
		for _, p := range a.Tick(s.now) {
			to := s.node(registry.NodeID(p.To))
			s.send(n, to, func() { to.limiter.HandleReply(s.now, p.Reply) })
		}
	}
}

func (s *simulation) node(id registry.NodeID) *simNode {
	return s.nodes[slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.id == id })]
}

// seemsLive reports whether a node takes another one for live. The loss of a node is noticed
// after detectionTime.
func (s *simulation) seemsLive(n, m *simNode) bool {
	if !m.down && n.group == m.group {
		return true
	}
	return s.now.Sub(later(n.changed, m.changed)) < detectionTime
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (s *simulation) report(to, from *simNode, r Report) {
	a := to.aggregator[r.Partition]
	if a == nil {
		a = NewAggregator(AggregatorOptions{Partition: r.Partition, Bound: testBound, Limit: s.limit, Disabled: s.disabled})
		a.SetMembers(s.now, len(s.nodes))
		to.aggregator[r.Partition] = a
	}
	reply := a.HandleReport(s.now, string(from.id), r)
	s.send(to, from, func() { from.limiter.HandleReply(s.now, reply) })
}

func (s *simulation) limit(key TeamKey) (Limit, bool) {
	t := s.byKey[key]
	return t.limit, true
}

// send delivers a datagram after 1 to 9 ms.
func (s *simulation) send(from, to *simNode, deliver func()) {
	copies := 1
	if s.rng.Float64() < s.duplicates {
		copies = 2
	}
	for range copies {
		if from != to && (s.rng.Float64() < s.loss || from.group != to.group) {
			continue
		}
		process := to.process
		s.after(time.Millisecond+time.Duration(s.rng.Int64N(int64(8*time.Millisecond))), func() {
			if !to.down && to.process == process {
				deliver()
			}
		})
	}
}

// arrive sends a request of a team and plans the next one.
func (s *simulation) arrive(t *simTeam) {
	rate := t.usual * t.factor(s.since())
	s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		s.request(t)
		s.arrive(t)
	})
}

func (s *simulation) request(t *simTeam) {
	n := s.at(s.rng.Float64())
	if n.down {
		return
	}
	since := s.since()
	owed := false
	t.tokens = min(t.limit.Burst, t.tokens+(since-t.refilled).Seconds()*t.limit.RatePerSecond)
	t.refilled = since
	if t.tokens >= 1 {
		t.tokens--
		t.owed++
		owed = true
	}
	if ok, _ := n.limiter.Admit(s.now, t.limit); ok {
		t.admitted = append(t.admitted, since)
		return
	}
	if owed {
		t.refusedOwed++
	}
	if s.rng.Float64() < s.retryAtOnce {
		s.after(20*time.Millisecond, func() { s.request(t) })
	}
}

// worstExcess returns the most requests that were admitted in a window beyond the bound. A
// lowered quota bounds the windows that begin after the change.
func (t *simTeam) worstExcess() float64 {
	allowed := t.limit.RatePerSecond*testBound.Window.Seconds() + t.limit.Burst + testBound.excess(t.limit)
	worst := math.Inf(-1)
	first := 0
	for i, at := range t.admitted {
		for at-t.admitted[first] > testBound.Window {
			first++
		}
		if at-testBound.Window >= t.lowered {
			worst = max(worst, float64(i-first+1)-allowed)
		}
	}
	return worst
}
