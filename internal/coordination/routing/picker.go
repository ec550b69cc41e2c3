package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"wigeonspring.example/wigeonspring/internal/invariant"
)

// picker holds the inputs of one routing decision.
type picker struct {
	b        *Balancer
	s        *service
	v        *view
	now      time.Time
	rng      *rand.Rand
	r        *Request
	excluded *exclusions
	// avoidSuspects leaves out backend servers that were reported as suspect.
	avoidSuspects bool
	// awaitTurn leaves out suspect backend servers whose next trial is not due yet.
	awaitTurn bool
	// avoidFull leaves out backend servers that have just refused a request that was as urgent.
	avoidFull bool
	// full counts the candidates that avoidFull left out.
	full int
	// avoided counts the candidates that avoidSuspects left out at each level.
	avoided [levels]int
}

// pick chooses the locality level and the backend server in it. It returns the
// reason if there is none.
func (p *picker) pick() (Target, Reason) {
	if p.b.opt.Cost != nil {
		return p.pickByCompletion()
	}
	nearest := Locality(levels) // nearest level with candidates
	for level := range Locality(levels) {
		cands, tried := p.candidates(level)
		if len(cands) == 0 {
			continue
		}
		free := p.withFreeSlots(cands)
		if level == OtherRegion && !p.spillAllowed() {
			if nearest < levels {
				break
			}
			return Target{}, SpillLimited
		}
		if len(free) > 0 {
			return p.reserve(level, p.twoChoices(free)), ""
		}
		nearest = min(nearest, level)
		if !p.leavesLevel(level, tried) {
			break
		}
	}
	if nearest == levels {
		return Target{}, AllTried
	}
	// All levels that may be used are full, so the request queues at the nearest one.
	cands, _ := p.candidates(nearest)
	return p.reserve(nearest, p.twoChoices(cands)), ""
}

// candidates returns the subset of a level without the backend servers that this
// request has already tried. tried reports whether any were left out for that reason.
func (p *picker) candidates(level Locality) (cands []candidate, tried bool) {
	cands = p.s.candidateBuf[:0]
	subset := 0
	p.avoided[level] = 0
	if level == SameDomain {
		p.full = 0
	}
	for _, c := range p.v.levels[level] {
		if subset == p.b.opt.SubsetSize {
			break
		}
		if p.excluded.has(c.member.Owner, p.now) {
			continue
		}
		subset++
		if slices.Contains(p.r.Tried, c.member.Backend.ID) && !p.b.disabled.tried {
			tried = true
			continue
		}
		if p.avoidSuspects && p.now.Before(c.stats.suspectUntil) || p.awaitTurn && p.now.Before(c.stats.trialAfter) {
			p.avoided[level]++
			continue
		}
		if p.avoidFull && p.now.Before(c.stats.fullUntil) && p.r.Rank >= c.stats.fullRank {
			p.full++
			tried = true
			continue
		}
		cands = append(cands, c)
	}
	p.s.candidateBuf = cands
	return cands, tried
}

// refusalsAreCertain reports whether the request has been refused and every other candidate is
// known to refuse it too. Under overload, asking them all would only use the links between the
// nodes. A request that has not been refused yet asks one of them, because a report may be wrong.
func (p *picker) refusalsAreCertain() bool {
	return len(p.r.Tried) > 0 && p.full > 0
}

// withFreeSlots returns the candidates with a free slot.
func (p *picker) withFreeSlots(cands []candidate) []candidate {
	free := p.s.freeBuf[:0]
	for _, c := range cands {
		if p.freeSlots(c) >= 1 {
			free = append(free, c)
		}
	}
	p.s.freeBuf = free
	return free
}

// freeSlots estimates the free slots of a candidate. The slots in use by other nodes
// are known from load reports, and count less the older the report is. The estimate
// is rounded up to whole slots. A full backend server of five slots therefore counts as
// full for a second after the report instead of only for an instant.
func (p *picker) freeSlots(c candidate) int {
	slots, weight := c.slots(p.r.Limits.MaxSlots), c.stats.reportWeight(p.now)
	if weight > 0 {
		slots = min(slots, c.stats.slots)
	}
	return slots - c.stats.inUse - int(math.Ceil(weight*float64(c.stats.inUseElsewhere)))
}

// leavesLevel decides whether a request leaves a level that has no free slots. The
// share of requests that leave grows with the refusals at the level. A request that
// was itself refused at the level, or avoids suspect backend servers there, always leaves.
func (p *picker) leavesLevel(level Locality, tried bool) bool {
	return tried || p.avoided[level] > 0 || p.rng.Float64() < p.s.overflow[level].value(p.now)
}

func (p *picker) spillAllowed() bool {
	return (p.s.spill.allows(p.now, p.r.Limits, p.v.hasLocalCandidates()) || p.b.disabled.spillShare) && p.b.nodeSpillAllowed(p.now)
}

// twoChoices returns the better of two random candidates. A backend server of low
// weight would lose against every idle one, and then no request would show whether
// it has recovered. If it is drawn first, it is therefore chosen with a probability
// equal to its weight.
func (p *picker) twoChoices(cands []candidate) candidate {
	n := len(cands)
	if n == 1 {
		return cands[0]
	}
	i := p.rng.IntN(n)
	j := p.rng.IntN(n - 1)
	if j >= i {
		j++
	}
	a, b := cands[i], cands[j]
	if w := p.weight(a); w < 1 && p.rng.Float64() < w {
		return a
	}
	if p.score(b) < p.score(a) {
		return b
	}
	return a
}

// score estimates the wait at a candidate: the requests in use and queued, divided by
// the weight. Lower is better.
func (p *picker) score(c candidate) float64 {
	return (float64(c.stats.inUse) + c.stats.reportWeight(p.now)*float64(c.stats.queued) + 1) / p.weight(c)
}

// weight returns the weight of a candidate, from the latest load report if it still
// counts and from the published record otherwise.
func (p *picker) weight(c candidate) float64 {
	w := c.member.Backend.Weight
	if c.stats.reportWeight(p.now) > 0 && c.stats.weight > 0 {
		w = c.stats.weight
	}
	return w
}

// reserve counts an attempt at the candidate as in flight and returns its Target.
func (p *picker) reserve(level Locality, c candidate) Target {
	backend := c.member.Backend
	// Check is called only on a violation, because its arguments are allocated on
	// each call.
	if !backend.Serving() {
		invariant.Check(false, "routing_serving", "backend server %s chosen in state %d", backend.ID, backend.State)
	}
	if slices.Contains(p.r.Tried, backend.ID) {
		invariant.Check(false, "routing_not_tried", "backend server %s chosen twice", backend.ID)
	}
	a := &attempt{service: p.s, stats: c.stats, bodyBytes: max(p.r.BodyBytes, 0), rank: p.r.Rank, mayTest: !p.r.AvoidSuspects, class: p.r.Class}
	if level == OtherRegion {
		a.chargedBytes = p.s.spill.charge(p.now, a.bodyBytes, p.v.hasLocalCandidates())
		p.b.chargeNodeSpill(p.now, a.chargedBytes)
	}
	t := Target{
		Backend: backend.ID, Service: p.r.Service, Owner: c.member.Owner, Locality: level,
		InUse: c.stats.inUse, Queued: c.stats.queued, ReportAge: c.stats.reportAge(p.now), attempt: a,
		AvoidedSuspects: p.avoided[SameDomain] + p.avoided[SameRegion] + p.avoided[OtherRegion],
	}
	c.stats.inUse++
	return t
}
