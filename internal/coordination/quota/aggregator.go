package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/pause"
)

const (
	// demandDecay is the time constant of the average of a team's demand.
	demandDecay = 400 * time.Millisecond
	// repayTime is the time in which a debt is paid back, and unused tokens are used.
	repayTime = time.Second
	// reactionTime is the time between the arrival of requests and the effect of a directive
	// because of them.
	reactionTime = time.Second
	// toleratedShare is the share of the permitted excess that a bucket may owe, less the
	// demand in the reaction time, before its team is limited below its rate.
	toleratedShare = 0.7
	// inheritedShare is the share of the permitted excess that a limited team is assumed to owe
	// to an earlier aggregator.
	inheritedShare = 0.3
	// silentAfter is the time without a report after which a session counts as silent.
	silentAfter = 2 * time.Second
	// takeoverGap is the time without any report after which an aggregator starts anew.
	takeoverGap = 5 * time.Second
	// bucketLifetime is how long a full bucket without requests is kept.
	bucketLifetime = 10 * time.Second
	tidyInterval   = 500 * time.Millisecond
	// maxUnrequested bounds the directives of a reply about teams that its report does not
	// contain.
	maxUnrequested = 16
	// pushFactor is the change of a fraction that is sent without waiting for a report.
	pushFactor = 0.8
	// changeDelay is the time after which a team that is no longer limited is reported.
	changeDelay = 2 * time.Second
	// minDemand, in requests per second, avoids fractions of a demand that is about 0.
	minDemand = 0.01
)

// Bound is how far requests may exceed a quota within a window; see settings.QuotaBound.
type Bound struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// excess returns the requests by which a team may exceed its quota within a window.
func (b Bound) excess(l Limit) float64 {
	return b.Overage*(l.RatePerSecond*b.Window.Seconds()+l.Burst) + b.Slack
}

// AggregatorOptions configures an Aggregator.
type AggregatorOptions struct {
	Partition Partition
	Bound     Bound
	// Limit returns the quota of a team in force, or false if it has none.
	Limit func(TeamKey) (Limit, bool)
	// Disabled switches protections off, for tests that show their effect.
	Disabled Protection
}

// Aggregator keeps the token buckets of the teams of one partition.
type Aggregator struct {
	opts    AggregatorOptions
	members memberCount
	// lastReport is when the latest report of any session arrived.
	lastReport time.Time
	// earned is the time in which the quotas have earned tokens, in seconds, up to earnedAt. It
	// grows by the share of the members that report.
	earned   float64
	earnedAt time.Time
	sessions map[uint64]*session
	buckets  map[TeamKey]*bucket
	limited  []*bucket
	changes  []Change
	nextTidy time.Time
	// wokeAt is when the latest pause of the process ended.
	wokeAt time.Time
}

// session is the state of one reporting process.
type session struct {
	id        uint64
	from      string
	seq, base uint64
	usages    []Usage
	heard     time.Time
}

// bucket is the token bucket of a team.
type bucket struct {
	key   TeamKey
	limit Limit
	// level is the number of tokens, less than 0 for a debt, when the aggregator had earned
	// the given time. demand, in requests per second, is the average at the time at.
	level, earned float64
	demand        float64
	at            time.Time
	used          time.Time
	// inherited is set once the debt to an earlier aggregator is counted.
	inherited bool
	// limited is set while the team's requests are admitted in part.
	limited  bool
	fraction float64
	// reported is set while the team was last reported as limited.
	reported    bool
	lastLimited time.Time
	// pushed is the fraction when it was last sent to all sessions.
	pushed float64
}

// Change reports that a team begins or ceases to be limited.
type Change struct {
	Limit   Limit
	Limited bool
	// Demand is in requests per second, Fraction is the share that is admitted.
	Demand, Fraction float64
}

// Push is a reply that no report has asked for.
type Push struct {
	To    string
	Reply Reply
}

// NewAggregator returns an aggregator without reports.
func NewAggregator(opts AggregatorOptions) *Aggregator {
	return &Aggregator{opts: opts, sessions: make(map[uint64]*session), buckets: make(map[TeamKey]*bucket)}
}

// SetMembers sets the number of live members of the fleet.
func (a *Aggregator) SetMembers(now time.Time, live int) { a.members.observe(now, live) }

// Wake forgets what the aggregator knew before a pause of the process that ended at the given time:
// the nodes have moved to another aggregator, whose buckets this one does not know. It must be called
// before anything else is handled after the pause, and for an aggregator that is created later.
func (a *Aggregator) Wake(now time.Time) {
	if a.opts.Disabled&FreshAggregators != 0 {
		return
	}
	a.wokeAt, a.lastReport, a.limited = now, time.Time{}, nil
	clear(a.buckets)
	clear(a.sessions)
}

// HandleReport applies a report and returns the reply. from is the address of the session. For
// unresponsiveTime after a pause, it applies nothing and returns false: the nodes do not return
// earlier, a report that waited for the end of the pause is old, and this node is to join the others.
func (a *Aggregator) HandleReport(now time.Time, from string, r Report) (Reply, bool) {
	if !a.wokeAt.IsZero() && pause.Elapsed(now, a.wokeAt) < unresponsiveTime {
		return Reply{}, false
	}
	if now.Sub(a.lastReport) > takeoverGap {
		a.earned, a.earnedAt = 0, now
		clear(a.buckets)
		clear(a.sessions)
	}
	a.lastReport = now
	a.earn(now)
	s := a.sessions[r.Session]
	if s == nil {
		s = &session{id: r.Session}
		a.sessions[r.Session] = s
		// The first report contains the requests since an earlier aggregator acknowledged one,
		// for which that one has not used the session's part of the quotas.
		a.earned += switchTimeout.Seconds() / a.members.count()
	}
	s.heard, s.from = now, from
	if r.Seq > s.seq || a.opts.Disabled&Deduplication != 0 {
		a.apply(now, s, r)
		s.seq, s.base, s.usages = r.Seq, r.Base, r.Usages
	}
	return Reply{Session: r.Session, Seq: s.seq, Partition: r.Partition, Directives: a.directives(now, r.Usages)}, true
}

// earn advances the time in which the quotas earn tokens.
func (a *Aggregator) earn(now time.Time) {
	if elapsed := now.Sub(a.earnedAt).Seconds(); elapsed > 0 {
		a.earned += elapsed * a.share()
		a.earnedAt = now
	}
}

// apply adds the usages of a report to the buckets. A report with the same base as the
// previous one contains the usages of that one.
func (a *Aggregator) apply(now time.Time, s *session, r Report) {
	period := demandDecay
	if s.seq == 0 {
		period = reportInterval
	}
	repeated := r.Base == s.base && s.seq != 0 && a.opts.Disabled&Deduplication == 0
	for _, u := range r.Usages {
		b := a.bucket(now, u.Team)
		if b == nil {
			continue
		}
		if repeated {
			if i := slices.IndexFunc(s.usages, func(v Usage) bool { return v.Team == u.Team }); i >= 0 {
				u.Admitted -= s.usages[i].Admitted
				u.Refused -= min(s.usages[i].Refused, u.Refused)
			}
		}
		if s.seq == 0 && u.Refused > 0 && !b.inherited && a.opts.Disabled&EmptyStart == 0 {
			// An earlier aggregator has limited the team, which may owe it the tolerated debt.
			b.inherited = true
			b.level -= inheritedShare * a.opts.Bound.excess(b.limit)
		}
		b.level -= float64(u.Admitted)
		b.demand += float64(max(u.Admitted, 0)+int64(u.Refused)) / period.Seconds()
		b.used = now
	}
}

// bucket returns the bucket of a team up to date, or nil if the team has no quota.
func (a *Aggregator) bucket(now time.Time, key TeamKey) *bucket {
	b := a.buckets[key]
	if b == nil {
		limit, ok := a.opts.Limit(key)
		if !ok {
			return nil
		}
		b = &bucket{key: key, limit: limit, level: limit.Burst, at: now, earned: a.earned, used: now, fraction: 1, pushed: 1}
		if a.opts.Disabled&EmptyStart == 0 {
			// An earlier aggregator may have given out the tokens of the time before.
			b.level = min(a.capacity(limit), limit.RatePerSecond*a.earned)
		}
		a.buckets[key] = b
	}
	a.refill(now, b)
	return b
}

// refill adds the tokens that a bucket has earned, and brings its demand up to date.
func (a *Aggregator) refill(now time.Time, b *bucket) {
	a.earn(now)
	b.level = min(a.capacity(b.limit), b.level+b.limit.RatePerSecond*(a.earned-b.earned))
	b.earned = a.earned
	if elapsed := now.Sub(b.at).Seconds(); elapsed > 0 {
		b.demand *= math.Exp(-elapsed / demandDecay.Seconds())
		b.at = now
	}
}

// share returns the share of a quota that the members that report may use. The others may use
// their parts without a report.
func (a *Aggregator) share() float64 {
	if a.opts.Disabled&Reserve != 0 {
		return 1
	}
	return min(1, float64(len(a.sessions))/a.members.count())
}

// capacity returns the tokens of a full bucket.
func (a *Aggregator) capacity(l Limit) float64 { return max(1, l.Burst*a.share()) }

// evaluate brings all buckets up to date and lists the limited ones by their demand.
func (a *Aggregator) evaluate(now time.Time) {
	if !now.Before(a.nextTidy) {
		a.nextTidy = now.Add(tidyInterval)
		a.tidy(now)
	}
	a.limited = a.limited[:0]
	for _, b := range a.buckets {
		a.decide(now, b)
		if b.limited {
			a.limited = append(a.limited, b)
		}
	}
	slices.SortFunc(a.limited, func(x, y *bucket) int {
		return cmp.Or(cmp.Compare(y.demand, x.demand), cmp.Compare(x.key, y.key))
	})
}

// decide sets the fraction of a team.
func (a *Aggregator) decide(now time.Time, b *bucket) {
	a.refill(now, b)
	share := a.share()
	tolerated := max(0, share*a.tolerated(b.limit)-b.demand*reactionTime.Seconds())
	allowed := max(0, b.limit.RatePerSecond*share+(b.level+tolerated)/repayTime.Seconds())
	b.fraction = min(1, allowed/max(b.demand, minDemand))
	b.limited = b.fraction < 1
	if !b.limited {
		b.pushed = 1
	}
	a.reportChange(now, b)
}

// tolerated returns the debt of a bucket up to which its team is not limited below its rate.
func (a *Aggregator) tolerated(l Limit) float64 { return toleratedShare * a.opts.Bound.excess(l) }

// reportChange reports that a team is limited, or has not been for changeDelay.
func (a *Aggregator) reportChange(now time.Time, b *bucket) {
	if b.limited {
		b.lastLimited = now
	}
	if b.reported == b.limited || b.reported && now.Sub(b.lastLimited) < changeDelay {
		return
	}
	b.reported = b.limited
	a.changes = append(a.changes, Change{Limit: b.limit, Limited: b.limited, Demand: b.demand, Fraction: b.fraction})
}

func (a *Aggregator) tidy(now time.Time) {
	for id, s := range a.sessions {
		if now.Sub(s.heard) > silentAfter {
			delete(a.sessions, id)
		}
	}
	for key, b := range a.buckets {
		limit, ok := a.opts.Limit(key)
		full := b.level >= a.capacity(b.limit) && now.Sub(b.used) > bucketLifetime
		if !ok || full {
			delete(a.buckets, key)
			continue
		}
		if a.opts.Disabled&CurrentLimits == 0 {
			b.limit = limit
			b.level = min(b.level, a.capacity(limit))
		}
	}
}

// directives returns the directives of the limited teams with the highest demand, and of those
// in a report.
func (a *Aggregator) directives(now time.Time, reported []Usage) []Directive {
	var out []Directive
	add := func(b *bucket) {
		a.decide(now, b)
		if b.limited {
			out = append(out, b.directive())
		}
	}
	most := a.limited[:min(len(a.limited), maxUnrequested)]
	for _, b := range most {
		add(b)
	}
	for _, u := range reported {
		if b := a.buckets[u.Team]; b != nil && !slices.Contains(most, b) {
			add(b)
		}
	}
	return out
}

func (b *bucket) directive() Directive {
	wait := time.Duration(max(0, -b.level) / max(b.limit.RatePerSecond, minDemand) * float64(time.Second))
	return Directive{Team: b.key, Fraction: b.fraction, RetryAfter: min(wait, maxRetryAfter)}
}

// Tick returns the directives to be sent at once: those of teams whose fraction has fallen.
func (a *Aggregator) Tick(now time.Time) []Push {
	if len(a.buckets) == 0 {
		return nil
	}
	a.evaluate(now)
	var urgent []Directive
	for i, b := range a.limited {
		if i < maxUnrequested && b.fraction < pushFactor*b.pushed {
			b.pushed = b.fraction
			urgent = append(urgent, b.directive())
		}
	}
	if urgent == nil {
		return nil
	}
	var out []Push
	for _, id := range slices.Sorted(maps.Keys(a.sessions)) {
		s := a.sessions[id]
		out = append(out, Push{To: s.from, Reply: Reply{Session: s.id, Partition: a.opts.Partition, Directives: urgent}})
	}
	return out
}

// TakeChanges returns the changes since the previous call.
func (a *Aggregator) TakeChanges() []Change {
	changes := a.changes
	a.changes = nil
	return changes
}
