package quota

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/pause"
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
	// delay is what the delivery of a datagram takes at least.
	delay time.Duration
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
	// held is what waits for the end of a pause.
	paused bool
	held   []func()
	pauses pause.Detector
	wokeAt time.Time
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
	weights := 0.0
	for i := range 78 {
		weights += math.Pow(float64(i+1), -1.2)
	}
	var teams []*simTeam
	for i := range 78 {
		usual := 290 * math.Pow(float64(i+1), -1.2) / weights
		teams = append(teams, newSimTeam(i, usual, 1.6*usual))
	}
	return newFleet(seed, disabled, 86, teams)
}

// newSimTeam returns a team whose quota has a burst of one second.
func newSimTeam(i int, usual, rate float64) *simTeam {
	return &simTeam{
		limit:  Limit{Team: fmt.Sprintf("team-%02d", i), RatePerSecond: rate, Burst: max(1, rate)},
		usual:  usual,
		factor: func(time.Duration) float64 { return 1 },
		tokens: max(1, rate),
	}
}

func newFleet(seed uint64, disabled Protection, nodes int, teams []*simTeam) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), disabled: disabled,
		start: time.Unix(1_700_000_000, 0), now: time.Unix(1_700_000_000, 0), teams: teams,
	}
	for i := range nodes {
		n := &simNode{id: registry.NodeID(fmt.Sprintf("n%02d", i))}
		s.nodes = append(s.nodes, n)
		s.boot(n)
	}
	s.at = func(r float64) *simNode { return s.nodes[int(r*float64(len(s.nodes)))] }
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
	n.down, n.membersAt, n.pauses, n.wokeAt = false, time.Time{}, pause.Detector{MaxGap: MaxGap}, time.Time{}
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
	s.work(n)
}

// work does what is due at a node.
func (s *simulation) work(n *simNode) {
	if n.down || n.paused {
		return
	}
	s.notice(n)
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
	if !m.down && !m.paused && n.group == m.group {
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
		a.Wake(to.wokeAt)
		to.aggregator[r.Partition] = a
	}
	reply, ok := a.HandleReport(s.now, string(from.id), r)
	if !ok {
		return
	}
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
		s.after(s.delay+time.Millisecond+time.Duration(s.rng.Int64N(int64(8*time.Millisecond))), func() {
			s.receive(to, func() {
				if !to.down && to.process == process {
					deliver()
				}
			})
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
	s.receive(n, func() {
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
	})
}

// receive handles a message or request, after the end of a pause.
func (s *simulation) receive(n *simNode, handle func()) {
	if n.paused {
		n.held = append(n.held, handle)
		return
	}
	s.notice(n)
	handle()
}

// notice tells a node of a pause that has ended.
func (s *simulation) notice(n *simNode) {
	if !n.pauses.Ended(s.now) {
		return
	}
	n.wokeAt = s.now
	n.limiter.Wake(s.now)
	for _, a := range n.aggregator {
		a.Wake(s.now)
	}
}

func (s *simulation) pause(n *simNode) { n.paused, n.changed = true, s.now }

// resume ends a pause. What waited is handled in the next 200 ms, in a random order beside what
// is due.
func (s *simulation) resume(n *simNode) {
	n.paused = false
	for _, handle := range n.held {
		s.after(time.Duration(s.rng.Int64N(int64(200*time.Millisecond))), func() { s.receive(n, handle) })
	}
	n.held = nil
	s.after(time.Duration(s.rng.Int64N(int64(20*time.Millisecond))), func() { s.work(n) })
}

// worstExcess returns the most admitted requests that were sent in a window beyond the bound. A
// lowered quota bounds the windows that begin after the change.
func (t *simTeam) worstExcess() float64 {
	allowed := t.limit.RatePerSecond*testBound.Window.Seconds() + t.limit.Burst + testBound.excess(t.limit)
	worst := math.Inf(-1)
	first := 0
	slices.Sort(t.admitted)
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
