package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"wigeonspring.example/wigeonspring/internal/invariant"
)

// picker is one decision.
type picker struct {
	b        *Balancer
	s        *service
	v        *view
	now      time.Time
	rng      *rand.Rand
	r        *Request
	excluded *exclusions
	// avoid leaves out suspects.
	avoid bool
}

// pick chooses the level and the backend server in it. It returns a reason if
// there is none.
func (p *picker) pick() (Target, Reason) {
	nearest := Locality(levels) // nearest level with candidates
	for level := range Locality(levels) {
		cands, tried := p.candidates(level)
		if len(cands) == 0 {
			continue
		}
		spare := p.withSpare(cands)
		if level == OtherRegion && !p.spillAllowed() {
			if nearest < levels {
				break
			}
			return Target{}, SpillLimited
		}
		if len(spare) > 0 {
			return p.take(level, p.twoChoices(spare)), ""
		}
		nearest = min(nearest, level)
		if !p.passOn(level, tried) {
			break
		}
	}
	if nearest == levels {
		return Target{}, AllTried
	}
	// All levels that may be used are full, so the request waits nearby.
	cands, _ := p.candidates(nearest)
	return p.take(nearest, p.twoChoices(cands)), ""
}

// candidates returns the subset of a level without the backend servers that were
// tried, and whether one of them was tried.
func (p *picker) candidates(level Locality) (cands []candidate, tried bool) {
	cands = p.s.scratch[:0]
	subset := 0
	for _, c := range p.v.levels[level] {
		if subset == p.b.opt.SubsetSize {
			break
		}
		if p.excluded.has(c.member.Owner.ID, p.now) {
			continue
		}
		subset++
		if slices.Contains(p.r.Tried, c.member.Backend.ID) && !p.b.off.tried {
			tried = true
			continue
		}
		if p.avoid && p.now.Before(c.stat.suspectUntil) {
			continue
		}
		cands = append(cands, c)
	}
	p.s.scratch = cands
	return cands, tried
}

// withSpare returns the candidates with a free slot.
func (p *picker) withSpare(cands []candidate) []candidate {
	spare := p.s.spare[:0]
	for _, c := range cands {
		if p.spare(c) >= 1 {
			spare = append(spare, c)
		}
	}
	p.s.spare = spare
	return spare
}

// spare estimates the free slots of a candidate. Use by other nodes is known from
// reports and counts less the older the report is. Only whole slots count, so
// that a full backend server stays full for a second, not for an instant.
func (p *picker) spare(c candidate) int {
	slots, trust := c.slots(p.r.Limits.MaxSlots), c.stat.trust(p.now)
	if trust > 0 {
		slots = min(slots, c.stat.slots)
	}
	return slots - c.stat.inUse - int(math.Ceil(trust*float64(c.stat.others)))
}

// passOn decides whether a request leaves a level without spare capacity. The
// share grows with the refusals at the level. A request that was itself refused
// there leaves at once.
func (p *picker) passOn(level Locality, tried bool) bool {
	return tried || p.rng.Float64() < p.s.pressure[level].value(p.now)
}

func (p *picker) spillAllowed() bool {
	return (p.s.spill.allows(p.now, p.r.Limits, p.v.local()) || p.b.off.spillShare) && p.b.nodeAllows(p.now)
}

// twoChoices returns the better of two random candidates. A backend server of low
// weight would lose against every idle one and bring no evidence of its recovery,
// so it is taken with the probability of its weight when it is drawn first.
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

// score is the expected wait at a candidate.
func (p *picker) score(c candidate) float64 {
	return (float64(c.stat.inUse) + c.stat.trust(p.now)*float64(c.stat.queued) + 1) / p.weight(c)
}

func (p *picker) weight(c candidate) float64 {
	w := c.member.Backend.Weight
	if c.stat.trust(p.now) > 0 && c.stat.weight > 0 {
		w = c.stat.weight
	}
	return w
}

func (p *picker) take(level Locality, c candidate) Target {
	backend := c.member.Backend
	// The arguments of Check would be allocated on each call.
	if !backend.Serving() {
		invariant.Check(false, "routing_serving", "backend server %s chosen in state %d", backend.ID, backend.State)
	}
	if slices.Contains(p.r.Tried, backend.ID) {
		invariant.Check(false, "routing_not_tried", "backend server %s chosen twice", backend.ID)
	}
	a := &attempt{service: p.s, stat: c.stat, body: max(p.r.BodyBytes, 0)}
	if level == OtherRegion {
		a.charged = p.s.spill.spend(p.now, a.body, p.v.local())
		p.b.chargeNode(p.now, a.charged)
	}
	t := Target{
		Backend: backend.ID, Service: p.r.Service, Owner: c.member.Owner, Locality: level,
		InUse: c.stat.inUse, Queued: c.stat.queued, ReportAge: c.stat.reportAge(p.now), attempt: a,
	}
	c.stat.inUse++
	return t
}
