package routing

import (
	"cmp"
	"slices"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/cost"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// RuledOut is the reason why a request would not go to a backend server now.
type RuledOut string

// Reasons of RuledOut.
const (
	// MayBeChosen means that the request may go there.
	MayBeChosen RuledOut = ""
	// NotMatched means that the labels do not match the selector of the route.
	NotMatched RuledOut = "labels_do_not_match"
	// NotServing means that the backend server is draining or ejected.
	NotServing RuledOut = "not_serving"
	// OwnerExcluded means that the owner is avoided after a failed connection or a restart.
	OwnerExcluded RuledOut = "owner_excluded"
	// IsSuspect means that the backend server is suspect and this request avoids it.
	IsSuspect RuledOut = "suspect"
	// OutsideSubset means that this node sends the route to other backend servers of the level.
	OutsideSubset RuledOut = "outside_subset"
	// NoFreeSlot means that others at the same level have free slots.
	NoFreeSlot RuledOut = "no_free_slot"
	// NearerLevel means that a nearer level has room.
	NearerLevel RuledOut = "nearer_level_has_room"
	// RegionLimited means that the limit of traffic to other regions is reached.
	RegionLimited RuledOut = "spill_limited"
)

// Candidate is a backend server of a service as Explain sees it.
type Candidate struct {
	Backend       registry.BackendID
	Owner         registry.NodeID
	Locality      Locality
	RuledOut      RuledOut
	InUse, Queued int
	FreeSlots     int
	// ReportAge is the age of the owner's load report, or negative if there is none.
	ReportAge time.Duration
	// Wait and Completion are estimates, or 0 if this node makes none.
	Wait, Completion time.Duration
}

// Explanation describes where a request would go.
type Explanation struct {
	// Work is the expected work of the request, or 0 if this node makes no estimates.
	Work time.Duration
	// Candidates are all backend servers of the service, the most likely ones first.
	Candidates []Candidate
	// Refusal is the reason if the request would be refused.
	Refusal Reason
}

// Explain returns where a request would go now. It changes nothing.
func (b *Balancer) Explain(now time.Time, snap *registry.Snapshot, r Request) Explanation {
	if r.Route == nil {
		return Explanation{Refusal: NoRoute}
	}
	s := b.service(r.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.view(now, b, snap, r.Route)
	p := picker{b: b, s: s, v: v, now: now, r: &r, excluded: b.exclusions.Load(), avoidSuspects: r.AvoidSuspects, awaitTurn: !r.AvoidSuspects}
	var e Explanation
	usual := time.Duration(0)
	if b.opt.Cost != nil {
		e.Work = b.opt.Cost.Estimate(now, r.Class).Mean
		usual = b.opt.Cost.Estimate(now, cost.Class{Service: r.Service}).Mean
	}
	usable := p.explain(&e, usual)
	if !usable {
		// The last resorts of Pick.
		p.avoidSuspects, p.awaitTurn = false, false
		usable = p.explain(&e, usual)
	}
	if !usable {
		p.excluded = nil
		usable = p.explain(&e, usual)
	}
	e.Candidates = append(e.Candidates, unusable(b, snap, r, v)...)
	if usable {
		return e
	}
	e.Refusal = AllTried
	switch {
	case v.empty():
		e.Refusal = v.reason
	case slices.ContainsFunc(e.Candidates, func(c Candidate) bool { return c.RuledOut == RegionLimited }):
		e.Refusal = SpillLimited
	}
	return e
}

// explain lists the candidates of all levels and reports whether one of them may be chosen.
func (p *picker) explain(e *Explanation, usual time.Duration) (usable bool) {
	e.Candidates = nil
	room := false
	for level := range Locality(levels) {
		list := p.explainLevel(level, room, e.Work, usual)
		for _, c := range list {
			usable = usable || c.RuledOut == MayBeChosen
			room = room || c.RuledOut == MayBeChosen && c.FreeSlots > 0 && !p.lateAt(c)
		}
		e.Candidates = append(e.Candidates, list...)
	}
	return usable
}

// lateAt reports whether the request would be late at a candidate.
func (p *picker) lateAt(c Candidate) bool {
	return p.r.TimeToObjective > 0 && c.Completion > p.r.TimeToObjective
}

// explainLevel describes the candidates of a level, in the order of their completion times.
// room is set if a nearer level has room.
func (p *picker) explainLevel(level Locality, room bool, work, usual time.Duration) []Candidate {
	var list []Candidate
	subset, free := 0, false
	for _, c := range p.v.levels[level] {
		x := Candidate{
			Backend: c.member.Backend.ID, Owner: c.member.Owner.ID, Locality: level, InUse: c.stats.inUse, Queued: c.stats.queued,
			FreeSlots: max(p.freeSlots(c), 0), ReportAge: c.stats.reportAge(p.now),
		}
		if p.b.opt.Cost != nil {
			x.Wait = p.expectedWait(c, usual)
			x.Completion = x.Wait + time.Duration(float64(work)/p.b.opt.Cost.Speed(p.now, x.Backend)) + distances[level].roundTrip
		}
		excluded := p.excluded.has(c.member.Owner, p.now)
		switch {
		case excluded:
			x.RuledOut = OwnerExcluded
		case subset == p.b.opt.SubsetSize:
			x.RuledOut = OutsideSubset
		case p.avoidSuspects && p.now.Before(c.stats.suspectUntil), p.awaitTurn && p.now.Before(c.stats.trialAfter):
			x.RuledOut = IsSuspect
		case level == OtherRegion && !p.spillAllowed():
			x.RuledOut = RegionLimited
		case room:
			x.RuledOut = NearerLevel
		}
		if !excluded && subset < p.b.opt.SubsetSize {
			subset++
		}
		free = free || x.RuledOut == MayBeChosen && x.FreeSlots > 0
		list = append(list, x)
	}
	for i := range list {
		if x := &list[i]; free && x.RuledOut == MayBeChosen && x.FreeSlots == 0 {
			x.RuledOut = NoFreeSlot
		}
	}
	slices.SortStableFunc(list, compareCandidates)
	return list
}

// compareCandidates orders those that may be chosen first, and these by completion time.
func compareCandidates(x, y Candidate) int {
	if a, b := x.RuledOut == MayBeChosen, y.RuledOut == MayBeChosen; a != b {
		if a {
			return -1
		}
		return 1
	}
	return cmp.Compare(x.Completion, y.Completion)
}

// unusable returns the backend servers that are no candidates for the route.
func unusable(b *Balancer, snap *registry.Snapshot, r Request, v *view) []Candidate {
	var list []Candidate
	for _, m := range snap.Service(r.Service) {
		x := Candidate{Backend: m.Backend.ID, Owner: m.Owner.ID, Locality: b.locality(m.Owner), ReportAge: -1}
		switch {
		case !matches(m.Backend.Labels, v.selector):
			x.RuledOut = NotMatched
		case !m.Backend.Serving() || m.Backend.Weight <= 0:
			x.RuledOut = NotServing
		default:
			continue
		}
		list = append(list, x)
	}
	return list
}
