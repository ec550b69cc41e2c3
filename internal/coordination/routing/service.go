package routing

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"wigeonspring.example/wigeonspring/internal/state/evidence"
	"wigeonspring.example/wigeonspring/internal/state/policy"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// service is the routing state of one service at the ingress node.
type service struct {
	mu       sync.Mutex
	id       registry.ServiceID
	version  uint64           // version of the service that views were built from
	views    map[string]*view // by route name
	stats    map[registry.BackendID]*backendStats
	overflow [levels]overflow
	spill    spill
	samples  samples

	candidateBuf, freeBuf []candidate // buffers reused by Pick
}

func newService(id registry.ServiceID) *service {
	return &service{id: id, views: make(map[string]*view), stats: make(map[registry.BackendID]*backendStats)}
}

// view ranks the candidates of a route for one version of the service.
type view struct {
	selector map[string]string
	// levels holds the candidates of each locality level in rendezvous order.
	levels [levels][]candidate
	// reason says why there are no candidates.
	reason Reason
}

type candidate struct {
	member registry.Member
	stats  *backendStats
	hash   uint64
}

func (v *view) empty() bool {
	return len(v.levels[SameDomain])+len(v.levels[SameRegion])+len(v.levels[OtherRegion]) == 0
}

// hasLocalCandidates reports whether the region of this node has candidates.
func (v *view) hasLocalCandidates() bool {
	return len(v.levels[SameDomain])+len(v.levels[SameRegion]) > 0
}

// slots returns the slots of the published record, at most limit if it is positive.
// A backend server on probation has one slot.
func (c *candidate) slots(limit int) int {
	slots := c.member.Backend.Slots
	if limit > 0 {
		slots = min(slots, limit)
	}
	if c.member.Backend.State == registry.Probation {
		slots = min(slots, 1)
	}
	return slots
}

// view returns the cached ranking of a route. It builds a new one if the backend
// servers of the service or the selector of the route have changed. Routes with equal
// selectors share a ranking, because separate rankings for 27,000 routes would take
// about 30 MB.
func (s *service) view(now time.Time, b *Balancer, snap *registry.Snapshot, route *policy.Route) *view {
	version := snap.ServiceVersion(s.id)
	if version != s.version {
		s.version = version
		clear(s.views)
		s.prune(now, snap.Service(s.id))
	}
	v := s.views[route.Name]
	if v != nil && maps.Equal(v.selector, route.Selector) {
		return v
	}
	v = nil
	for _, other := range s.views {
		if maps.Equal(other.selector, route.Selector) {
			v = other
			break
		}
	}
	if v == nil {
		v = s.rank(b, snap.Service(s.id), route.Selector)
	}
	s.views[route.Name] = v
	return v
}

// rank sorts the candidates of each level by rendezvous hash. Each ingress node thus
// prefers different backend servers, and the loss of one backend server moves only the
// requests that it received.
func (s *service) rank(b *Balancer, members []registry.Member, selector map[string]string) *view {
	v := &view{selector: selector, reason: NoBackend}
	if len(members) > 0 {
		v.reason = NoMatch
	}
	prefix := string(b.opt.Self) + "\x00"
	for _, m := range members {
		if !matches(m.Backend.Labels, selector) {
			continue
		}
		v.reason = NoneServing
		if (!m.Backend.Serving() || m.Backend.Weight <= 0) && !b.disabled.states {
			continue
		}
		level := b.locality(m.Owner)
		v.levels[level] = append(v.levels[level], candidate{
			member: m,
			stats:  s.statsOf(m.Backend.ID),
			hash:   xxhash.Sum64String(prefix + string(m.Backend.ID)),
		})
	}
	for _, cands := range v.levels {
		slices.SortFunc(cands, func(x, y candidate) int { return cmp.Compare(y.hash, x.hash) })
	}
	return v
}

func (b *Balancer) locality(owner *registry.Node) Locality {
	switch {
	case owner.Region != b.opt.Region:
		return OtherRegion
	case owner.FailureDomain != b.opt.FailureDomain:
		return SameRegion
	}
	return SameDomain
}

func matches(labels, selector map[string]string) bool {
	for key, want := range selector {
		if got, ok := labels[key]; !ok || got != want {
			return false
		}
	}
	return true
}

func (s *service) statsOf(id registry.BackendID) *backendStats {
	st := s.stats[id]
	if st == nil {
		st = &backendStats{}
		s.stats[id] = st
	}
	return st
}

// prune removes the statistics of backend servers that left the service. It keeps
// those of backend servers with samples in the baseline window: if such a backend
// server returns, its earlier samples must still be left out of its own baseline.
func (s *service) prune(now time.Time, members []registry.Member) {
	for id, st := range s.stats {
		_, found := slices.BinarySearchFunc(members, id, func(m registry.Member, id registry.BackendID) int {
			return cmp.Compare(m.Backend.ID, id)
		})
		if !found && st.inUse == 0 && now.Sub(st.sampledAt) > baselineWindow {
			delete(s.stats, id)
		}
	}
}

// backendStats is what this ingress node observed about a backend server.
type backendStats struct {
	inUse int // attempts of this node in flight
	// inUseElsewhere, queued, slots and weight are from the latest load report.
	// inUseElsewhere is the number of slots in use by other nodes.
	inUseElsewhere, queued, slots int
	weight                        float64
	reportedAt                    time.Time
	// suspectUntil is set by a load report with weight 0, and by Result.RetryAfter.
	suspectUntil time.Time
	// fullUntil is set by a refusal because of a full queue, and fullRank is the rank of the
	// refused request. More urgent ones may still take the place of a queued one.
	fullUntil time.Time
	fullRank  int
	// backlog is the owner's estimate of the wait for a slot, if backlogReported is set, and
	// placedWork the expected work of the attempts that this node has started since.
	backlog         time.Duration
	backlogReported bool
	placedWork      time.Duration
	placedAt        time.Time // time of the latest placement by expected completion
	// trialAfter is the time from which the owner expects the next trial of this node.
	trialAfter time.Time

	sampledAt  time.Time // time of the latest sample
	baseline   evidence.Baseline
	baselineAt time.Time
}

// report records a load report. Both the report and inUse still count the attempt that
// the report came with.
func (st *backendStats) report(now time.Time, l evidence.Load) {
	st.inUseElsewhere = max(0, l.InUse-st.inUse)
	st.queued, st.slots, st.weight = l.Queued, l.Slots, l.Weight
	st.reportedAt = now
	st.suspectUntil, st.trialAfter = time.Time{}, time.Time{}
	if l.Weight == 0 {
		st.suspectUntil = now.Add(SuspectReportTTL)
	}
}

// reportBacklog records the wait for a slot that came with a load report, or a negative value
// if the owner reported none.
func (st *backendStats) reportBacklog(backlog time.Duration) {
	st.backlog, st.backlogReported, st.placedWork = backlog, backlog >= 0, 0
}

// reportAge returns the age of the latest report, or -1 if there was none.
func (st *backendStats) reportAge(now time.Time) time.Duration {
	if st.reportedAt.IsZero() {
		return -1
	}
	return now.Sub(st.reportedAt)
}

// reportWeight returns how much the latest load report counts. It falls linearly with
// the age of the report, from 1 to 0 at LoadReportMaxAge.
func (st *backendStats) reportWeight(now time.Time) float64 {
	if st.reportedAt.IsZero() {
		return 0
	}
	return min(1, max(0, 1-float64(now.Sub(st.reportedAt))/float64(LoadReportMaxAge)))
}

// overflow is the share of requests that leave a level without free slots. Refusals
// raise it; responses and time lower it.
type overflow struct {
	share float64
	at    time.Time
}

const (
	// overflowIncrease raises the share from 0 to 1 in four refusals, so that few
	// requests are refused at a full level before they are sent elsewhere.
	overflowIncrease = 0.25
	// overflowDecrease is a fifth of overflowIncrease, because a level that refuses
	// one request in five is still full.
	overflowDecrease = 0.05
)

// value returns the share at now. Without a refusal, it falls to zero within
// LoadReportMaxAge.
func (p *overflow) value(now time.Time) float64 {
	if p.at.IsZero() {
		return 0
	}
	return max(0, p.share-max(0, float64(now.Sub(p.at))/float64(LoadReportMaxAge)))
}

func (p *overflow) increase(now time.Time) {
	p.share, p.at = min(1, p.value(now)+overflowIncrease), now
}

func (p *overflow) decrease(now time.Time) {
	if v := p.value(now); v > 0 {
		p.share, p.at = max(0, v-overflowDecrease), now
	}
}
