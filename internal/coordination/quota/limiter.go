package quota

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/pause"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// TickInterval is the longest time between two calls of Tick.
const TickInterval = fastReportInterval

const (
	// reportInterval is the time between two reports, also without requests, and
	// fastReportInterval that while a team sends many requests.
	reportInterval     = time.Second
	fastReportInterval = 100 * time.Millisecond
	// fastShare is the share of a quota, in seconds of its rate divided by the number of
	// members, from which the requests of a team are reported fast.
	fastShare = 0.1
	// replyTimeout is the time after which a report that is not acknowledged is sent again.
	replyTimeout = 200 * time.Millisecond
	// switchTimeout is the time without an acknowledgement after which a limiter reports to
	// the next aggregator. It does not return to the old one for unresponsiveTime.
	switchTimeout    = 500 * time.Millisecond
	unresponsiveTime = 3 * time.Second
	// contactTimeout is the time without an acknowledgement after which a limiter admits by
	// local buckets.
	contactTimeout = 800 * time.Millisecond
	// MaxGap is the longest time in which a process may do nothing without being taken for paused.
	// Others would have moved on from an aggregator that is silent for longer.
	MaxGap = switchTimeout
	// settleTime is the time after a pause whose requests an aggregator must know before a limiter
	// relies on it again. What has waited for the end of the pause arrives at once, and no directive
	// takes account of it.
	settleTime = 2 * fastReportInterval
	// directiveLifetime is how long a directive applies that is not repeated.
	directiveLifetime = 2500 * time.Millisecond
	// entryLifetime is how long a limiter keeps the state of a team without requests.
	entryLifetime = 10 * time.Second
	// usageLifetime is how long a limiter tries to report a usage.
	usageLifetime = 5 * time.Second
	// maxEntries bounds the teams of which a limiter keeps the state.
	maxEntries = 1 << 14
	// memberMemory is how long a member that is no longer live counts as one that may still
	// admit requests.
	memberMemory = 15 * time.Second
	// minRetryAfter is the shortest retry delay of a request beyond a quota.
	minRetryAfter = time.Second
	// maxRetryAfter is the longest one.
	maxRetryAfter = 5 * time.Second
)

// LimiterOptions configures a Limiter.
type LimiterOptions struct {
	// Session identifies the process. It must be random.
	Session uint64
	Rand    *rand.Rand
	// Disabled switches protections off, for tests that show their effect.
	Disabled Protection
}

// Protection is a set of protections.
type Protection uint

// Protections.
const (
	// Directives limits teams at all.
	Directives Protection = 1 << iota
	// LocalBuckets bounds what nodes without contact to an aggregator admit.
	LocalBuckets
	// Reserve leaves the parts of silent members unused.
	Reserve
	// EmptyStart starts the buckets of a new aggregator without tokens.
	EmptyStart
	// Deduplication recognizes the usages that were in an earlier report.
	Deduplication
	// Failover replaces an aggregator that does not respond.
	Failover
	// CurrentLimits makes aggregators follow changes of the quotas.
	CurrentLimits
	// Settling makes limiters that wake up from a pause admit by local buckets at first.
	Settling
	// FreshAggregators makes aggregators that wake up from a pause forget what they knew.
	FreshAggregators
	// Prudence bounds what limiters admit while an aggregator does not answer.
	Prudence
)

// Limiter admits the requests of teams at one ingress node.
type Limiter struct {
	opts    LimiterOptions
	live    []registry.NodeID
	members memberCount
	uplinks map[Partition]*uplink
	count   int
	// firstSeq is above the numbers of the reports of all earlier uplinks.
	firstSeq uint64
	entries  map[TeamKey]*entry
	nextTidy time.Time
	// wokeAt is when the latest pause of the process ended.
	wokeAt time.Time
}

// entry is the state of a team with recent requests.
type entry struct {
	lastUsed time.Time
	// admitted and refused count since the last acknowledged report.
	admitted int64
	refused  uint64
	// fraction and retryAfter are the directive in force until the given time.
	fraction   float64
	retryAfter time.Duration
	until      time.Time
	// carry is the part of the next admitted request that earlier requests left over.
	carry float64
	// tokens is the level of the local bucket, which is valid while localSince is set.
	tokens     float64
	localSince time.Time
	refilled   time.Time
}

// uplink is the connection to the aggregator of a partition.
type uplink struct {
	partition    Partition
	aggregator   registry.NodeID
	unresponsive map[registry.NodeID]time.Time // until when
	seq, base    uint64
	// sent is the content of the last report that is not acknowledged yet.
	sent []Usage
	// unanswered is when the first report was sent since the last acknowledgement, or zero.
	unanswered time.Time
	// switchAt is when the aggregator counts as unresponsive.
	switchAt time.Time
	lastSent time.Time
	// acknowledged is set once an aggregator has acknowledged a report.
	acknowledged bool
	// settling is set from the end of a pause until a report with the number settled or a higher one
	// is acknowledged. settled is 0 until it is sent, settleTime after the pause.
	settling bool
	settled  uint64
	// fast is set if there are many requests of one team that no report contains yet, and
	// deferred if the next report has no room for all teams.
	fast, deferred bool
}

// NewLimiter returns a limiter that knows no members yet.
func NewLimiter(opts LimiterOptions) *Limiter {
	return &Limiter{opts: opts, uplinks: make(map[Partition]*uplink), entries: make(map[TeamKey]*entry), count: 1}
}

// SetMembers sets the live members of the fleet, the local node included.
func (l *Limiter) SetMembers(now time.Time, live []registry.NodeID) {
	l.live = live
	l.members.observe(now, len(live))
	if count := partitionCount(len(live)); count != l.count {
		l.count = count
		// An aggregator may know the reports of an earlier uplink to the same partition.
		for _, u := range l.uplinks {
			l.firstSeq = max(l.firstSeq, u.seq+1)
		}
		clear(l.uplinks)
	}
	for i := range l.count {
		p := Partition(l.count + i)
		if l.uplinks[p] == nil {
			l.uplinks[p] = &uplink{partition: p, seq: l.firstSeq, base: l.firstSeq, unresponsive: make(map[registry.NodeID]time.Time)}
		}
	}
}

// Admit decides about a request of a team. For a refused one, it returns the retry delay.
func (l *Limiter) Admit(now time.Time, limit Limit) (bool, time.Duration) {
	key := KeyOf(limit.Team)
	e := l.entry(now, key)
	if e == nil {
		return false, minRetryAfter
	}
	u := l.uplinks[partitionOf(key, l.count)]
	e.lastUsed = now
	admitted, counted, retryAfter := l.decide(now, e, u, limit)
	if counted && u != nil {
		if admitted {
			e.admitted++
		} else {
			e.refused++
		}
		u.fast = u.fast || float64(e.admitted)+float64(e.refused) >= max(2, fastShare*limit.RatePerSecond/l.members.count())
	}
	if admitted {
		return true, 0
	}
	retryAfter = min(max(retryAfter, minRetryAfter), maxRetryAfter)
	return false, retryAfter + time.Duration(l.opts.Rand.Float64()*float64(retryAfter))
}

// decide applies the directive of the team, the contact to the aggregator or the local bucket,
// in this order, but only the local bucket while the limiter settles after a pause. While the
// aggregator is late with a reply, what it may not know of is bounded. The requests
// that a local bucket admits are not counted, because the aggregator leaves room for them. Those
// that it refuses after a pause are, because the directives must take account of them.
func (l *Limiter) decide(now time.Time, e *entry, u *uplink, limit Limit) (admitted, counted bool, retryAfter time.Duration) {
	switch {
	case u != nil && u.settling:
		admitted = l.takeLocal(now, e, limit)
		return admitted, !admitted, 0
	case u.silent(now) && float64(e.admitted) >= l.unheardShare(limit) && l.opts.Disabled&Prudence == 0:
		return false, true, 0
	case now.Before(e.until) && l.opts.Disabled&Directives == 0:
		e.localSince = time.Time{}
		e.carry += e.fraction
		if e.carry < 1 {
			return false, true, e.retryAfter
		}
		e.carry--
		return true, true, 0
	case u.inContact(now) || l.opts.Disabled&LocalBuckets != 0:
		e.localSince = time.Time{}
		return true, true, 0
	}
	return l.takeLocal(now, e, limit), false, 0
}

// unheardShare is the number of requests of a team that a limiter admits while the aggregator may
// not know of them: twice its equal part of what the team may send until contact ends. Teams with few
// requests at each node are not limited by that.
func (l *Limiter) unheardShare(limit Limit) float64 {
	return max(3, 2*(limit.Burst+limit.RatePerSecond*contactTimeout.Seconds())/l.members.count())
}

// takeLocal takes a request from the local bucket of a team.
func (l *Limiter) takeLocal(now time.Time, e *entry, limit Limit) bool {
	part := 1 / l.members.count()
	if e.localSince.IsZero() {
		e.localSince, e.refilled, e.tokens = now, now, 0
		// The nodes that lose contact admit a burst together, which may have fewer requests
		// than they are. The quota of a team that was limited is used up.
		if l.members.unknown() || e.until.IsZero() && l.opts.Rand.Float64() < limit.Burst*part {
			e.tokens = 1
		}
	}
	e.tokens += now.Sub(e.refilled).Seconds() * limit.RatePerSecond * part
	e.tokens = min(e.tokens, max(1, limit.Burst*part))
	e.refilled = now
	if e.tokens < 1 {
		return false
	}
	e.tokens--
	return true
}

// Wake ends what the limiter knew by time before a pause of the process. Other nodes may have used
// the quotas meanwhile, and the requests that have waited for the end of the pause come at once.
// It must be called before anything else is handled after the pause.
func (l *Limiter) Wake(now time.Time) {
	if l.opts.Disabled&Settling != 0 {
		return
	}
	l.wokeAt = now
	for _, u := range l.uplinks {
		u.settling, u.settled = true, 0
		// The aggregator may have answered; it was this process that did not read the reply.
		u.switchAt = time.Time{}
	}
}

// Refund returns an admitted request that has not run and will not run.
func (l *Limiter) Refund(now time.Time, team string) {
	key := KeyOf(team)
	e := l.entry(now, key)
	if e == nil {
		return
	}
	if !e.localSince.IsZero() {
		e.tokens++
		return
	}
	e.admitted--
}

// entry returns the state of a team, or nil if there are too many.
func (l *Limiter) entry(now time.Time, key TeamKey) *entry {
	e := l.entries[key]
	if e == nil {
		if len(l.entries) >= maxEntries {
			return nil
		}
		// A random start keeps nodes with few requests each from admitting the same ones.
		e = &entry{carry: l.opts.Rand.Float64(), lastUsed: now}
		l.entries[key] = e
	}
	return e
}

// Tick returns the reports that are due. It must be called at least once in each
// TickInterval.
func (l *Limiter) Tick(now time.Time) []OutgoingReport {
	l.tidy(now)
	var out []OutgoingReport
	var due map[Partition]*uplink
	for p, u := range l.uplinks {
		l.chooseAggregator(now, u)
		if u.aggregator == "" || !u.due(now) {
			continue
		}
		if due == nil {
			due = make(map[Partition]*uplink)
		}
		due[p] = u
		l.repeat(u)
	}
	if len(due) == 0 {
		return nil
	}
	// The order makes reports with the same requests equal.
	for _, key := range slices.Sorted(maps.Keys(l.entries)) {
		e := l.entries[key]
		u := due[partitionOf(key, l.count)]
		if u == nil || e.admitted == 0 && e.refused == 0 || u.contains(key) {
			continue
		}
		if len(u.sent) < MaxUsages {
			u.sent = append(u.sent, Usage{Team: key, Admitted: e.admitted, Refused: e.refused})
		} else {
			u.deferred = true
		}
	}
	for _, u := range due {
		out = append(out, u.report(now, l.opts.Session))
		if u.settling && u.settled == 0 && pause.Elapsed(now, l.wokeAt) >= settleTime {
			u.settled = u.seq
		}
	}
	return out
}

// repeat brings the usages of the last report up to date if it was not acknowledged. A report
// contains all usages of the one that it repeats.
func (l *Limiter) repeat(u *uplink) {
	sent := make([]Usage, 0, len(u.sent))
	for _, usage := range u.sent {
		if e := l.entries[usage.Team]; e != nil {
			usage.Admitted, usage.Refused = e.admitted, e.refused
		}
		sent = append(sent, usage)
	}
	u.sent = sent
}

// chooseAggregator moves the uplink to the preferred aggregator.
func (l *Limiter) chooseAggregator(now time.Time, u *uplink) {
	if !u.switchAt.IsZero() && !now.Before(u.switchAt) && l.opts.Disabled&Failover == 0 {
		u.unresponsive[u.aggregator] = now.Add(unresponsiveTime)
		u.switchAt = time.Time{}
	}
	best := aggregatorOf(u.partition, l.live, func(id registry.NodeID) bool { return now.Before(u.unresponsive[id]) })
	if best == "" {
		clear(u.unresponsive)
	}
	if best != "" && best != u.aggregator {
		u.aggregator, u.switchAt, u.lastSent = best, time.Time{}, time.Time{}
	}
}

// tidy removes what is no longer used.
func (l *Limiter) tidy(now time.Time) {
	if now.Before(l.nextTidy) {
		return
	}
	l.nextTidy = now.Add(time.Second)
	for key, e := range l.entries {
		unused := now.Sub(e.lastUsed)
		if unused > entryLifetime && !now.Before(e.until) {
			delete(l.entries, key)
		}
	}
	for _, u := range l.uplinks {
		if !u.unanswered.IsZero() && now.Sub(u.unanswered) > usageLifetime {
			l.forget(u)
		}
		for id, until := range u.unresponsive {
			if !now.Before(until) {
				delete(u.unresponsive, id)
			}
		}
	}
}

// forget drops the usages of a partition that could not be reported in time.
func (l *Limiter) forget(u *uplink) {
	u.base, u.sent = u.seq, nil
	for key, e := range l.entries {
		if partitionOf(key, l.count) == u.partition {
			e.admitted, e.refused = 0, 0
		}
	}
}

// contains reports whether the last report has a usage of a team.
func (u *uplink) contains(key TeamKey) bool {
	return slices.ContainsFunc(u.sent, func(v Usage) bool { return v.Team == key })
}

// due reports whether a report is to be sent.
func (u *uplink) due(now time.Time) bool {
	since := now.Sub(u.lastSent)
	switch {
	case u.settling:
		return since >= fastReportInterval
	case !u.unanswered.IsZero():
		return since >= replyTimeout || u.fast && since >= fastReportInterval
	case u.fast:
		return since >= fastReportInterval
	}
	return since >= reportInterval
}

func (u *uplink) report(now time.Time, session uint64) OutgoingReport {
	u.seq++
	u.lastSent, u.fast, u.deferred = now, u.deferred, false
	if u.unanswered.IsZero() {
		u.unanswered = now
	}
	if u.switchAt.IsZero() {
		u.switchAt = now.Add(switchTimeout)
	}
	return OutgoingReport{To: u.aggregator, Report: Report{
		Session: session, Partition: u.partition, Seq: u.seq, Base: u.base, Usages: u.sent,
	}}
}

// silent reports whether the aggregator has not answered in the usual time.
func (u *uplink) silent(now time.Time) bool {
	return u != nil && !u.unanswered.IsZero() && now.Sub(u.unanswered) >= replyTimeout
}

// inContact reports whether an aggregator has acknowledged the latest reports.
func (u *uplink) inContact(now time.Time) bool {
	return u != nil && u.acknowledged && (u.unanswered.IsZero() || now.Sub(u.unanswered) < contactTimeout)
}

// HandleReply applies a reply of an aggregator.
func (l *Limiter) HandleReply(now time.Time, r Reply) {
	u := l.uplinks[r.Partition]
	if u == nil || r.Session != l.opts.Session {
		return
	}
	if r.Seq != 0 {
		if r.Seq <= u.base || r.Seq > u.seq {
			return
		}
		u.acknowledged, u.unanswered, u.switchAt = true, time.Time{}, time.Time{}
		if u.settled != 0 && r.Seq >= u.settled {
			u.settling = false
		}
		l.endDirectives(u, r)
		if r.Seq == u.seq {
			l.acknowledge(u)
		}
	}
	for _, d := range r.Directives {
		if e := l.entry(now, d.Team); e != nil && partitionOf(d.Team, l.count) == r.Partition {
			e.fraction, e.retryAfter, e.until = d.Fraction, d.RetryAfter, now.Add(directiveLifetime)
		}
	}
}

// endDirectives ends the directives that a reply replaces: those of the reported teams, and the
// others if the reply has room for all limited teams.
func (l *Limiter) endDirectives(u *uplink, r Reply) {
	for _, usage := range u.sent {
		if e := l.entries[usage.Team]; e != nil {
			e.until = time.Time{}
		}
	}
	if len(r.Directives) >= maxUnrequested {
		return
	}
	for key, e := range l.entries {
		if partitionOf(key, l.count) == u.partition {
			e.until = time.Time{}
		}
	}
}

// acknowledge takes the usages of the last report off the counts.
func (l *Limiter) acknowledge(u *uplink) {
	u.base = u.seq
	for _, usage := range u.sent {
		if e := l.entries[usage.Team]; e != nil {
			e.admitted -= usage.Admitted
			e.refused -= usage.Refused
		}
	}
	u.sent = nil
}

// memberCount is the highest number of live members within memberMemory.
type memberCount struct {
	current, previous int
	since             time.Time
}

func (m *memberCount) observe(now time.Time, live int) {
	if now.Sub(m.since) >= memberMemory {
		m.previous, m.current, m.since = m.current, 0, now
	}
	m.current = max(m.current, live)
}

// unknown reports whether no members have been observed yet.
func (m *memberCount) unknown() bool { return m.since.IsZero() }

// count returns the number of members, or a high one if it is unknown.
func (m *memberCount) count() float64 {
	if m.unknown() {
		return nodesPerPartition
	}
	return float64(max(m.current, m.previous, 1))
}
