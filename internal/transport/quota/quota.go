package quota

import (
	"context"
	"expvar"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"wigeonspring.example/wigeonspring/internal/coordination/pause"
	"wigeonspring.example/wigeonspring/internal/coordination/quota"
	protocol "wigeonspring.example/wigeonspring/internal/protocol/quota"
	"wigeonspring.example/wigeonspring/internal/state/event"
	"wigeonspring.example/wigeonspring/internal/state/policy"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// counters counts requests by the decision about them, and datagrams.
var counters = expvar.NewMap("quota")

const (
	// membersInterval is the time between two looks at the members.
	membersInterval = 500 * time.Millisecond
	// aggregatorLifetime is how long an aggregator without reports is kept.
	aggregatorLifetime = 10 * time.Second
	// maxAggregators bounds the partitions of which a node aggregates the reports.
	maxAggregators = 64
)

// Options configures a Manager. All fields are required.
type Options struct {
	Self  registry.NodeID
	Bound quota.Bound
	// Teams returns the teams in force, or nil.
	Teams func() *policy.Teams
	// Members returns the live members, the local node included. It returns nil until the
	// members are known.
	Members func() []registry.NodeID
	// Address returns the address of a member, or false if it is unknown.
	Address func(registry.NodeID) (string, bool)
	// Send sends a datagram. It must not block.
	Send   func(addr string, data []byte)
	Events event.Sink
	Logger *zap.Logger
}

// Manager runs the quotas of a node. It implements proxy.Quotas.
type Manager struct {
	opts Options

	mu          sync.Mutex
	pauses      pause.Detector
	wokeAt      time.Time
	limiter     *quota.Limiter
	aggregators map[quota.Partition]*aggregator
	members     int
	nextMembers time.Time
	teams       *policy.Teams
	// byKey holds the teams with a rate.
	byKey map[quota.TeamKey]quota.Limit
}

type aggregator struct {
	*quota.Aggregator
	lastReport time.Time
}

// datagram is an encoded message and its destination.
type datagram struct {
	to   string
	data []byte
}

// New returns a Manager; Run starts it.
func New(o Options) *Manager {
	return &Manager{
		opts:   o,
		pauses: pause.Detector{MaxGap: quota.MaxGap},
		limiter: quota.NewLimiter(quota.LimiterOptions{
			Session: rand.Uint64(), Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		}),
		aggregators: make(map[quota.Partition]*aggregator),
	}
}

// Admit implements proxy.Quotas.
func (m *Manager) Admit(team *policy.Team) (bool, time.Duration) {
	now := m.lock()
	admitted, retryAfter := m.limiter.Admit(now, limitOf(team))
	m.mu.Unlock()
	if admitted {
		counters.Add("admitted", 1)
	} else {
		counters.Add("refused", 1)
	}
	return admitted, retryAfter
}

// Refund implements proxy.Quotas.
func (m *Manager) Refund(team *policy.Team) {
	now := m.lock()
	m.limiter.Refund(now, team.Name)
	m.mu.Unlock()
	counters.Add("refunded", 1)
}

func limitOf(t *policy.Team) quota.Limit {
	return quota.Limit{Team: t.Name, RatePerSecond: t.RatePerSecond, Burst: t.Burst}
}

// Run sends reports and directives until ctx is done.
func (m *Manager) Run(ctx context.Context) error {
	ticker := time.NewTicker(quota.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			for _, d := range m.tick() {
				m.opts.Send(d.to, d.data)
			}
		}
	}
}

// lock locks the manager and returns the time. If the process was paused until then, the limiter and
// the aggregators learn of it before anything else.
func (m *Manager) lock() time.Time {
	m.mu.Lock()
	now := time.Now()
	if m.pauses.Ended(now) {
		counters.Add("pauses", 1)
		m.wokeAt = now
		m.limiter.Wake(now)
		for _, a := range m.aggregators {
			a.Wake(now)
		}
	}
	return now
}

// tick returns the datagrams that are due.
func (m *Manager) tick() []datagram {
	now := m.lock()
	defer m.mu.Unlock()
	if m.updateTeams(); len(m.byKey) == 0 {
		return nil
	}
	if !m.updateMembers(now) {
		return nil
	}
	var out []datagram
	for _, o := range m.limiter.Tick(now) {
		counters.Add("reports", 1)
		if o.To == m.opts.Self {
			if reply, ok := m.aggregate(now, "", o.Report); ok {
				m.limiter.HandleReply(now, reply)
			}
		} else if addr, ok := m.opts.Address(o.To); ok {
			out = append(out, datagram{addr, protocol.AppendReport(nil, o.Report)})
		}
	}
	for p, a := range m.aggregators {
		for _, push := range a.Tick(now) {
			if push.To == "" {
				m.limiter.HandleReply(now, push.Reply)
			} else {
				out = append(out, datagram{push.To, protocol.AppendReply(nil, push.Reply)})
			}
		}
		m.publish(a.TakeChanges())
		if now.Sub(a.lastReport) > aggregatorLifetime {
			delete(m.aggregators, p)
		}
	}
	return out
}

// updateTeams indexes the teams in force if they have changed.
func (m *Manager) updateTeams() {
	teams := m.opts.Teams()
	if teams == m.teams {
		return
	}
	m.teams, m.byKey = teams, nil
	if teams == nil {
		return
	}
	m.byKey = make(map[quota.TeamKey]quota.Limit)
	for _, t := range teams.All() {
		if t.RatePerSecond > 0 {
			m.byKey[quota.KeyOf(t.Name)] = limitOf(t)
		}
	}
}

// updateMembers reports whether the members are known.
func (m *Manager) updateMembers(now time.Time) bool {
	if now.Before(m.nextMembers) {
		return true
	}
	live := m.opts.Members()
	if len(live) == 0 {
		return false
	}
	m.nextMembers = now.Add(membersInterval)
	m.members = len(live)
	m.limiter.SetMembers(now, live)
	for _, a := range m.aggregators {
		a.SetMembers(now, m.members)
	}
	return true
}

// aggregate applies a report. It returns false if this node aggregates too many partitions, or
// if it does not know the quotas and members yet: an acknowledgement would then admit requests
// without a limit, or with tokens that an earlier process may have given out.
func (m *Manager) aggregate(now time.Time, from string, r quota.Report) (quota.Reply, bool) {
	if m.members == 0 {
		return quota.Reply{}, false
	}
	a := m.aggregators[r.Partition]
	if a == nil {
		if len(m.aggregators) >= maxAggregators {
			return quota.Reply{}, false
		}
		a = &aggregator{Aggregator: quota.NewAggregator(quota.AggregatorOptions{
			Partition: r.Partition, Bound: m.opts.Bound,
			Limit: func(key quota.TeamKey) (quota.Limit, bool) { l, ok := m.byKey[key]; return l, ok },
		})}
		a.SetMembers(now, m.members)
		a.Wake(m.wokeAt)
		m.aggregators[r.Partition] = a
	}
	a.lastReport = now
	return a.HandleReport(now, from, r)
}

// Receive handles a datagram of another node.
func (m *Manager) Receive(from string, data []byte) {
	report, reply, err := protocol.Decode(data)
	if err != nil {
		counters.Add("drops_malformed", 1)
		m.opts.Logger.Debug("malformed quota datagram", zap.String("peer", from), zap.Error(err))
		return
	}
	if reply != nil {
		now := m.lock()
		m.limiter.HandleReply(now, *reply)
		m.mu.Unlock()
		return
	}
	now := m.lock()
	m.updateTeams()
	out, ok := m.aggregate(now, from, *report)
	m.mu.Unlock()
	if ok {
		counters.Add("replies", 1)
		m.opts.Send(from, protocol.AppendReply(nil, out))
	}
}

// publish publishes that teams begin or cease to be limited.
func (m *Manager) publish(changes []quota.Change) {
	for _, c := range changes {
		kind := event.TeamWithinQuota
		if c.Limited {
			kind = event.TeamLimited
		}
		counters.Add(string(kind), 1)
		m.opts.Events.Publish(event.Event{Kind: kind, Evidence: []event.Field{
			{Key: "team", Value: c.Limit.Team},
			{Key: "rate_per_second", Value: formatNumber(c.Limit.RatePerSecond)},
			{Key: "demand_per_second", Value: formatNumber(c.Demand)},
			{Key: "admitted_share", Value: formatNumber(c.Fraction)},
		}})
	}
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'g', 3, 64) }
