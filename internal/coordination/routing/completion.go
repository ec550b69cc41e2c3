package routing

import (
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/cost"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

const (
	// sampleSize is the number of candidates per level whose completion times are compared.
	// With all of them, the ingress nodes would send their requests to the same backend
	// server until its next load report.
	sampleSize = 3
	// exploreAfter is the time without a request of this node after which a backend server gets
	// the share exploreShare of the requests that consider it and would not be late there.
	exploreAfter = 2 * time.Second
	exploreShare = 0.125
)

// distance is what a locality level adds to a completion time.
type distance struct {
	// roundTrip is the time that the hop takes.
	roundTrip time.Duration
	// minSaving is the time by which a request must end earlier than at a nearer level, for the
	// bytes that cross the boundary and so that requests do not swing between levels. It does
	// not count for a request that would miss its objective at the nearer level.
	minSaving time.Duration
}

var distances = [levels]distance{
	SameDomain:  {},
	SameRegion:  {roundTrip: 8 * time.Millisecond, minSaving: 100 * time.Millisecond},
	OtherRegion: {roundTrip: 16 * time.Millisecond, minSaving: time.Second},
}

// option is a candidate with its expected completion time.
type option struct {
	candidate  candidate
	level      Locality
	completion time.Duration
	// cost is the completion time with the minimum savings of its level.
	cost time.Duration
}

// pickByCompletion chooses the backend server with the least expected completion time among a
// sample of the candidates of each level. A request leaves a level if it would be late there,
// or on the same conditions as without estimates.
func (p *picker) pickByCompletion() (Target, Reason) {
	work := p.b.opt.Cost.Estimate(p.now, p.r.Class).Mean
	usual := p.b.opt.Cost.Estimate(p.now, cost.Class{Service: p.r.Service}).Mean
	var best *option
	for level := range Locality(levels) {
		cands, tried := p.candidates(level)
		if len(cands) == 0 {
			continue
		}
		if level == OtherRegion && !p.spillAllowed() {
			if best == nil {
				return Target{}, SpillLimited
			}
			break
		}
		free := p.withFreeSlots(cands)
		hasFree := len(free) > 0
		if hasFree {
			cands = free
		}
		o := p.leastOf(level, cands, work, usual)
		if best == nil || o.cost < best.cost {
			best = &o
		}
		if late := p.r.TimeToObjective > 0 && best.completion > p.r.TimeToObjective; !late && (hasFree || !p.leavesLevel(level, tried)) {
			break
		}
	}
	if best == nil {
		return Target{}, AllTried
	}
	t := p.reserve(best.level, best.candidate)
	t.attempt.work = work
	best.candidate.stats.placedWork += work
	best.candidate.stats.placedAt = p.now
	t.ExpectedWork, t.ExpectedWait = work, p.expectedWait(best.candidate, usual)
	return t, ""
}

// leastOf returns the option of the least cost among a random sample of candidates. It reorders
// the candidates.
func (p *picker) leastOf(level Locality, cands []candidate, work, usual time.Duration) option {
	var best option
	for k := range min(sampleSize, len(cands)) {
		i := p.rng.IntN(len(cands))
		o := p.option(level, cands[i], work, usual)
		if p.explores(o) {
			return o
		}
		if k == 0 || o.cost < best.cost {
			best = o
		}
		cands[i], cands = cands[len(cands)-1], cands[:len(cands)-1]
	}
	return best
}

// explores reports whether a request goes to an option although others may be better. A slow
// backend server would otherwise get too few requests to show that it has become faster.
func (p *picker) explores(o option) bool {
	if p.now.Sub(o.candidate.stats.placedAt) < exploreAfter || p.freeSlots(o.candidate) < 1 || p.r.TimeToObjective > 0 && o.completion > p.r.TimeToObjective {
		return false
	}
	return p.rng.Float64() < exploreShare
}

// option estimates the completion of a request that needs the given work. usual is the mean work
// of the service.
func (p *picker) option(level Locality, c candidate, work, usual time.Duration) option {
	// A backend server of low weight takes its share of the requests although its expected
	// completion is later, so that they show whether it has recovered.
	weight := p.weight(c)
	if weight < 1 && p.rng.Float64() < weight {
		weight = 1
	}
	needed := time.Duration(float64(work) / p.b.opt.Cost.Speed(p.now, c.member.Backend.ID))
	d := distances[level]
	o := option{candidate: c, level: level}
	o.completion = time.Duration(float64(p.expectedWait(c, usual)+needed)/weight) + d.roundTrip
	o.cost = o.completion + d.minSaving
	if p.r.TimeToObjective > 0 && o.completion > p.r.TimeToObjective {
		// The response would be late; a longer way that is in time is always better.
		o.cost += distances[OtherRegion].minSaving + o.completion - p.r.TimeToObjective
	}
	if p.queueFull(c) {
		o.cost += distances[OtherRegion].minSaving
	}
	return o
}

// queueFull reports whether the queue of a candidate is likely to refuse a request.
func (p *picker) queueFull(c candidate) bool {
	slots := max(c.slots(p.r.Limits.MaxSlots), 1)
	limit := p.r.Limits.Queue
	if limit <= 0 {
		limit = 2 * slots
	}
	return p.ahead(c, slots) >= float64(limit)
}

// ahead returns the number of requests that wait for one of the slots, with this one.
func (p *picker) ahead(c candidate, slots int) float64 {
	st := c.stats
	return float64(st.inUse) + st.reportWeight(p.now)*float64(st.inUseElsewhere+st.queued) + 1 - float64(slots)
}

// expectedWait estimates how long a request would wait for a slot. The owner's report counts
// less the older it is, and the work that this node has placed since is added to it. Without a
// report, the wait follows from the requests that are known to be in use and queued.
func (p *picker) expectedWait(c candidate, usual time.Duration) time.Duration {
	st, slots := c.stats, max(c.slots(p.r.Limits.MaxSlots), 1)
	weight := st.reportWeight(p.now)
	if weight > 0 && st.slots > 0 {
		slots = min(slots, st.slots)
	}
	ahead := p.ahead(c, slots)
	if ahead <= 0 {
		return 0
	}
	counted := time.Duration(ahead / float64(slots) * float64(usual))
	if weight == 0 || !st.backlogReported {
		return counted
	}
	age := p.now.Sub(st.reportedAt)
	reported := max(0, st.backlog+st.placedWork/time.Duration(slots)-age)
	return time.Duration(weight*float64(reported) + (1-weight)*float64(counted))
}

// learn records the service time of a completed attempt.
func (b *Balancer) learn(now time.Time, id registry.BackendID, a *attempt, work time.Duration) {
	if b.opt.Cost != nil && work > 0 {
		b.opt.Cost.Observe(now, a.class, id, work)
	}
}
