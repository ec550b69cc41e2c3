package routing

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/admission"
	"wigeonspring.example/wigeonspring/internal/coordination/cost"
	"wigeonspring.example/wigeonspring/internal/proptest"
	"wigeonspring.example/wigeonspring/internal/state/evidence"
	"wigeonspring.example/wigeonspring/internal/state/policy"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// load is a load that a replay sends to 8 backend servers of 4 slots in two failure domains,
// through 4 ingress nodes.
type load struct {
	// rate is the number of requests per second, and objective that of each request.
	rate      float64
	objective time.Duration
	// draw returns the route of a request and its work at a server of speed 1.
	draw func(rng *rand.Rand, at time.Duration) (string, time.Duration)
	// speed returns the speed of a server; nil means 1.
	speed func(server int, at time.Duration) float64
	// report changes what an ingress node gets from an owner; nil changes nothing.
	report func(r *Result, rng *rand.Rand)
}

// latencies describe the requests of a replay. Refused requests count as past the objective.
type latencies struct {
	median, p99 time.Duration
	late        float64 // share past the objective
	byRoute     map[string][]time.Duration
	byServer    map[registry.BackendID]int
}

// replayed is a request of a replay.
type replayed struct {
	at      time.Duration
	kind    uint8
	seq     int
	start   time.Duration
	route   string
	work    time.Duration
	ingress int
	tried   []registry.BackendID
	target  Target
	started time.Duration
}

const (
	arrive = iota
	end
)

// replay plays 30 s of a load. byCost selects placement by expected cost.
func replay(rng *rand.Rand, l load, byCost bool) latencies {
	var events []*replayed // in the order of their times
	seq := 0
	places := []string{"r0a", "r0a", "r0b", "r0b"}
	snap := nodes(places...).Snapshot()
	var ingresses []*Balancer
	estimators := make([]*cost.Estimator, len(places))
	for i, place := range places {
		opt := Options{Self: registry.NodeID(fmt.Sprint("ingress", i)), Region: place[:2], FailureDomain: place}
		if byCost {
			estimators[i] = cost.NewEstimator()
			opt.Cost = estimators[i]
		}
		ingresses = append(ingresses, New(opt))
	}
	owners := make(map[registry.BackendID]*admission.Controller)
	waiting := make(map[uint64]*replayed)
	for k := range 2 * len(places) {
		owners[registry.BackendID(fmt.Sprint("b", k))] = admission.NewController(admission.Options{Slots: 4, SkipRamp: true}, t0)
	}
	result := latencies{byRoute: make(map[string][]time.Duration), byServer: make(map[registry.BackendID]int)}
	push := func(e *replayed) {
		seq++
		e.seq = seq
		i, _ := slices.BinarySearchFunc(events, e, func(a, b *replayed) int {
			return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.seq, b.seq))
		})
		events = slices.Insert(events, i, e)
	}
	finish := func(e *replayed, now time.Duration, served bool) {
		latency := now - e.start
		if !served {
			latency = math.MaxInt64
		}
		result.byRoute[e.route] = append(result.byRoute[e.route], latency)
	}
	serverOf := func(id registry.BackendID) int { return int(id[1] - '0') }
	start := func(e *replayed, now time.Duration) {
		needed := e.work
		if l.speed != nil {
			needed = time.Duration(float64(needed) / l.speed(serverOf(e.target.Backend), now))
		}
		e.kind, e.started, e.at = end, now, now+needed
		push(e)
	}
	done := func(e *replayed, now time.Duration, r Result) {
		owner := owners[e.target.Backend]
		load := owner.Load()
		r.Load, r.Backlog = &load, owner.Backlog(t0.Add(now))
		if l.report != nil {
			l.report(&r, rng)
		}
		ingresses[e.ingress].Done(t0.Add(now), e.target, r)
	}
	var place func(e *replayed, now time.Duration)
	place = func(e *replayed, now time.Duration) {
		at := t0.Add(now)
		r := Request{Service: serviceID, Route: &policy.Route{Name: e.route}, Limits: limits, Tried: e.tried,
			Class: cost.Class{Service: serviceID, Route: e.route}, TimeToObjective: max(0, e.start+l.objective-now)}
		target, err := ingresses[e.ingress].Pick(at, rng, snap, r)
		if err != nil || len(e.tried) == 3 {
			if err == nil {
				ingresses[e.ingress].Done(at, target, Result{Outcome: Abandoned})
			}
			finish(e, now, false)
			return
		}
		e.target, e.tried = target, append(e.tried, target.Backend)
		request := admission.Request{Ticket: uint64(e.seq), Route: e.route, Deadline: t0.Add(e.start + 20*time.Second)}
		if est := estimators[e.ingress]; est != nil {
			request.ExpectedWork = target.ExpectedWork
		}
		switch verdict, _ := owners[target.Backend].Offer(at, request); verdict {
		case admission.Admitted:
			start(e, now)
		case admission.Queued:
			waiting[uint64(e.seq)] = e
		case admission.Refused:
			done(e, now, Result{Outcome: RefusedByOwner})
			place(e, now)
		}
	}
	for at := time.Duration(0); at < 30*time.Second; at += time.Duration(rng.ExpFloat64() / l.rate * float64(time.Second)) {
		e := &replayed{at: at, start: at, kind: arrive, ingress: rng.IntN(len(places))}
		e.route, e.work = l.draw(rng, at)
		push(e)
	}
	tickets := make(map[*replayed]uint64)
	for len(events) > 0 {
		e := events[0]
		events = events[1:]
		now := e.at
		if e.kind == arrive {
			tickets[e] = uint64(e.seq)
			place(e, now)
		} else {
			owners[e.target.Backend].Release(t0.Add(now), tickets[e], now-e.started)
			result.byServer[e.target.Backend]++
			done(e, now, Result{Outcome: Completed, Latency: now - e.start, Work: now - e.started})
			finish(e, now, true)
		}
		for k := range 2 * len(places) {
			for _, d := range owners[registry.BackendID(fmt.Sprint("b", k))].TakeDecisions(t0.Add(now)) {
				w := waiting[d.Ticket]
				if delete(waiting, d.Ticket); d.Admitted {
					start(w, now)
				} else {
					done(w, now, Result{Outcome: RefusedByOwner})
					place(w, now)
				}
			}
		}
	}
	var all []time.Duration
	late := 0
	for _, ls := range result.byRoute {
		all = append(all, ls...)
	}
	slices.Sort(all)
	for _, d := range all {
		if d > l.objective {
			late++
		}
	}
	result.median, result.p99, result.late = all[len(all)/2], all[len(all)*99/100], float64(late)/float64(len(all))
	return result
}

// twoPoint draws light requests of 30 ms and 5% heavy ones of 1.5 s, on routes of their own.
func twoPoint(rng *rand.Rand, _ time.Duration) (string, time.Duration) {
	if rng.Float64() < 0.05 {
		return "heavy", 1500 * time.Millisecond
	}
	return "light", 30 * time.Millisecond
}

// heavyTailed draws the work of a single route from a Pareto distribution from 30 ms to 5 s.
func heavyTailed(rng *rand.Rand, _ time.Duration) (string, time.Duration) {
	return "r", time.Duration(min(30*math.Pow(1-rng.Float64(), -1/1.3), 5000) * float64(time.Millisecond))
}

// shifting draws heavy requests on route a and light ones on route b, and the reverse after 15 s.
func shifting(rng *rand.Rand, at time.Duration) (string, time.Duration) {
	_, work := twoPoint(rng, at)
	if (work > time.Second) == (at < 15*time.Second) {
		return "a", work
	}
	return "b", work
}

func unevenSpeed(server int, _ time.Duration) float64 {
	if server%4 == 0 {
		return 0.25
	}
	return 1
}

// turnsSlow makes one server ten times as slow after 10 s.
func turnsSlow(server int, at time.Duration) float64 {
	if server == 0 && at > 10*time.Second {
		return 0.1
	}
	return 1
}

// loseReports drops half of the reports, and wrongReports makes half of them tell any backlog.
func loseReports(r *Result, rng *rand.Rand) {
	if rng.IntN(2) == 0 {
		r.Load, r.Work, r.Backlog = nil, 0, -1
	}
}

func wrongReports(r *Result, rng *rand.Rand) {
	if rng.IntN(2) == 0 {
		r.Backlog = time.Duration(rng.Int64N(int64(3 * time.Second)))
	}
}

// runs is the number of runs of each load. negligible is a difference between shares of late
// requests that does not count, one request in 500. minServed is the number of requests in 30 s
// with which a server still counts as in use.
const (
	runs       = 10
	negligible = 0.002
	minServed  = 20
)

// Guards against placement by cost that serves fewer requests within their objective than
// placement by free slots, and against servers without requests. Each load runs ten times.
func TestReplayedLoads(t *testing.T) {
	for name, c := range map[string]struct {
		load load
		// share is the largest share of the late requests of placement by free slots.
		share float64
	}{
		"two-point work":            {load{rate: 220, objective: 2 * time.Second, draw: twoPoint}, 1},
		"heavy-tailed work":         {load{rate: 220, objective: time.Second, draw: heavyTailed}, 1.1},
		"a mix that shifts":         {load{rate: 220, objective: 2 * time.Second, draw: shifting}, 1},
		"cold start under overload": {load{rate: 330, objective: 2 * time.Second, draw: twoPoint}, 1.1},
		"uneven speeds":             {load{rate: 160, objective: 2 * time.Second, draw: twoPoint, speed: unevenSpeed}, 0.5},
		"a server that turns slow":  {load{rate: 200, objective: 2 * time.Second, draw: twoPoint, speed: turnsSlow}, 0.8},
		"reports lost":              {load{rate: 160, objective: 2 * time.Second, draw: twoPoint, speed: unevenSpeed, report: loseReports}, 0.8},
		"reports wrong":             {load{rate: 160, objective: 2 * time.Second, draw: twoPoint, speed: unevenSpeed, report: wrongReports}, 0.8},
	} {
		t.Run(name, func(t *testing.T) {
			var late [2]float64
			seed := proptest.Seed(t)
			for run := range int64(runs) {
				for k, byCost := range []bool{false, true} {
					got := replay(rand.New(rand.NewPCG(uint64(seed+run), 0)), c.load, byCost)
					late[k] += got.late / runs
					if run == 0 {
						t.Logf("by cost %v: median %v, p99 %v, late %.4f", byCost, got.median, got.p99, got.late)
					}
					for id, n := range got.byServer {
						if n < minServed {
							t.Errorf("by cost %v: %s served %d requests in 30 s", byCost, id, n)
						}
					}
				}
			}
			t.Logf("late: %.4f by free slots, %.4f by cost", late[0], late[1])
			if late[1] > c.share*late[0]+negligible {
				t.Errorf("late: %.4f by free slots, %.4f by cost", late[0], late[1])
			}
		})
	}
}

// Guards against light requests that wait behind heavy ones, and against heavy ones that starve.
// Load: 5% of the requests need 50 times the work of the others, at 70% of the capacity.
func TestHeavyRequestsDoNotHoldUpLightOnes(t *testing.T) {
	got := replay(proptest.Rand(t), load{rate: 220, objective: 2 * time.Second, draw: twoPoint}, true)
	light, heavy := got.byRoute["light"], got.byRoute["heavy"]
	slices.Sort(light)
	slices.Sort(heavy)
	if p99 := light[len(light)*99/100]; p99 > 2*time.Second {
		t.Errorf("light requests of 30 ms: p99 %v", p99)
	}
	if p90 := heavy[len(heavy)*9/10]; p90 > 2*time.Second {
		t.Errorf("heavy requests of 1.5 s: p90 %v", p90)
	}
}

// Guards against a new backend server that gets no requests in its first 2 s. Load: 50 requests
// per second to 4 known backend servers that are half busy.
func TestNewServerTakesPart(t *testing.T) {
	rng, d := proptest.Rand(t), nodes("r0a", "r0a")
	b := New(Options{Self: "ingress", Region: "r0", FailureDomain: "r0a", Cost: cost.NewEstimator()})
	for i := range 100 {
		if i == 50 {
			addNode(d, 2, "r0a", 4, 5, func(int) int { return 0 })
		}
		now := t0.Add(time.Duration(i) * 20 * time.Millisecond)
		target, err := b.Pick(now, rng, d.Snapshot(), request())
		if err != nil {
			t.Fatal(err)
		}
		if target.Backend == "b4" {
			return
		}
		b.Done(now, target, Result{Outcome: Completed, Latency: time.Second, Work: time.Second, Backlog: 0,
			Load: &evidence.Load{Slots: 5, InUse: 3, Weight: 1}})
	}
	t.Error("no request within a second")
}
