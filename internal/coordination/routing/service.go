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

// service is the state of one service at the ingress node.
type service struct {
	mu       sync.Mutex
	id       registry.ServiceID
	version  uint64           // of the service in the snapshot behind views
	views    map[string]*view // by route name
	stats    map[registry.BackendID]*stat
	pressure [levels]pressure
	spill    spill
	samples  samples

	scratch, spare []candidate // reused by Pick
}

func newService(id registry.ServiceID) *service {
	return &service{id: id, views: make(map[string]*view), stats: make(map[registry.BackendID]*stat)}
}

// view is the ranking of a route's candidates for one version of the service.
type view struct {
	selector map[string]string
	// levels holds the candidates of each locality level in rendezvous order.
	levels [levels][]candidate
	// reason says why there are no candidates.
	reason Reason
}

type candidate struct {
	member registry.Member
	stat   *stat
	hash   uint64
}

func (v *view) empty() bool {
	return len(v.levels[SameDomain])+len(v.levels[SameRegion])+len(v.levels[OtherRegion]) == 0
}

// local reports whether the own region has candidates.
func (v *view) local() bool { return len(v.levels[SameDomain])+len(v.levels[SameRegion]) > 0 }

// slots returns the slots of the published record, capped by policy.
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

// view returns the cached ranking, or a new one if the backend servers of the
// service or the selector of the route have changed. Routes with equal selectors
// share a ranking: with 27,000 routes, a ranking for each would take about 30 MB.
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

// rank sorts the candidates of each level by rendezvous hash. Each ingress node
// prefers other backend servers, and the loss of one moves only its own share.
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
		if (!m.Backend.Serving() || m.Backend.Weight <= 0) && !b.off.states {
			continue
		}
		level := b.locality(m.Owner)
		v.levels[level] = append(v.levels[level], candidate{
			member: m,
			stat:   s.stat(m.Backend.ID),
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

func (s *service) stat(id registry.BackendID) *stat {
	st := s.stats[id]
	if st == nil {
		st = &stat{}
		s.stats[id] = st
	}
	return st
}

// prune drops the observations of backend servers that left the service. Those
// with samples in the baseline stay, so that a backend server that returns is
// still left out of its own baseline.
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

// stat is what this ingress node observed about a backend server.
type stat struct {
	inUse int // attempts of this node in flight
	// others, queued, slots and weight are from the latest load report; others is
	// the use by other nodes.
	others, queued, slots int
	weight                float64
	reportedAt            time.Time
	// suspectUntil is set by a report of weight 0.
	suspectUntil time.Time

	sampledAt  time.Time // latest sample
	baseline   evidence.Baseline
	baselineAt time.Time
}

// report records a load report. The report counts the attempt that it came with,
// which is still part of inUse.
func (st *stat) report(now time.Time, l evidence.Load) {
	st.others = max(0, l.InUse-st.inUse)
	st.queued, st.slots, st.weight = l.Queued, l.Slots, l.Weight
	st.reportedAt = now
	st.suspectUntil = time.Time{}
	if l.Weight == 0 {
		st.suspectUntil = now.Add(SuspectMemory)
	}
}

// reportAge returns the age of the latest report, or -1 if there was none.
func (st *stat) reportAge(now time.Time) time.Duration {
	if st.reportedAt.IsZero() {
		return -1
	}
	return now.Sub(st.reportedAt)
}

// trust is the share of the latest report that still counts, 1 to 0.
func (st *stat) trust(now time.Time) float64 {
	if st.reportedAt.IsZero() {
		return 0
	}
	return min(1, max(0, 1-float64(now.Sub(st.reportedAt))/float64(TrustWindow)))
}

// pressure is the share of requests that leave a level without spare capacity.
// Refusals raise it; answers and time lower it.
type pressure struct {
	level float64
	at    time.Time
}

const (
	// pressureStep moves the whole share within four refusals, so that a full
	// level loses few requests while spill starts.
	pressureStep = 0.25
	// pressureRelief is smaller than the step: a level that refuses one request
	// in five is still full.
	pressureRelief = 0.05
)

// value returns the share at now. It falls to zero in TrustWindow without a refusal.
func (p *pressure) value(now time.Time) float64 {
	if p.at.IsZero() {
		return 0
	}
	return max(0, p.level-max(0, float64(now.Sub(p.at))/float64(TrustWindow)))
}

func (p *pressure) raise(now time.Time) {
	p.level, p.at = min(1, p.value(now)+pressureStep), now
}

func (p *pressure) relieve(now time.Time) {
	if v := p.value(now); v > 0 {
		p.level, p.at = max(0, v-pressureRelief), now
	}
}
