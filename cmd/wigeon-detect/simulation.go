package main

import (
	"container/heap"
	"math"
	"math/rand"
	"strconv"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/ejection"
	"wigeonspring.example/wigeonspring/internal/state/evidence"
)

const (
	// A trial runs for warmUpTime before the failure begins, and for
	// detectionTimeout after that.
	warmUpTime       = time.Minute
	detectionTimeout = time.Minute
	tickInterval     = 100 * time.Millisecond
	// sliceLength is the time resolution of the view that ingress nodes have of the
	// service.
	sliceLength = 500 * time.Millisecond
	// ingressNodes share the requests of the service evenly.
	ingressNodes   = 6
	backendServers = 12
	slots          = 5
	routes         = 5
)

// pendingExchange is a request to the observed server that has not ended yet.
type pendingExchange struct {
	end         time.Time
	observation evidence.Observation
}

type pendingHeap []pendingExchange

func (h pendingHeap) Len() int           { return len(h) }
func (h pendingHeap) Less(i, j int) bool { return h[i].end.Before(h[j].end) }
func (h pendingHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *pendingHeap) Push(x any)        { *h = append(*h, x.(pendingExchange)) }
func (h *pendingHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// simulation simulates the requests to one observed server, and the view that the ingress
// nodes have of the other servers. Each detector has its own ejection core and sees the
// same requests.
type simulation struct {
	testCase    testCase
	rate        float64
	rng         *rand.Rand
	now         time.Time
	start       time.Time
	onset       time.Time
	nextArrival time.Time
	slotFreeAt  [slots]time.Time
	pending     pendingHeap
	views       [ingressNodes]*view
	cores       []*ejection.Core
	ejections   []int
	detected    []time.Time
	routes      [routes]string
}

func newSimulation(o options, c testCase, rate float64, seed int64, detectors []detectorConfig) *simulation {
	s := &simulation{
		testCase: c, rate: rate, rng: rand.New(rand.NewSource(seed)),
		now:       time.Unix(1_700_000_000, 0),
		ejections: make([]int, len(detectors)), detected: make([]time.Time, len(detectors)),
	}
	s.start, s.nextArrival = s.now, s.now
	for i := range s.views {
		s.views[i] = newView(o.BaselineWindow, o.Recent)
	}
	for i := range s.routes {
		s.routes[i] = "route-" + strconv.Itoa(i)
	}
	for _, c := range detectors {
		core := ejection.New(ejection.Options{
			NewDetector: c.newDetector, ConfirmShort: o.ConfirmShort, ConfirmLong: o.ConfirmLong, ConfirmSamples: o.ConfirmSamples,
		})
		core.SetWeight("service", c.weight)
		s.cores = append(s.cores, core)
	}
	return s
}

// failing reports whether the observed server fails at time t.
func (s *simulation) failing(t time.Time) bool {
	return s.testCase.fails && !s.onset.IsZero() && !t.Before(s.onset)
}

func (s *simulation) run(d time.Duration) {
	end := s.now.Add(d)
	for i := 0; s.now.Before(end); i++ {
		if i%int(sliceLength/tickInterval) == 0 {
			s.updateViews()
		}
		s.now = s.now.Add(tickInterval)
		s.startRequests()
		for len(s.pending) > 0 && s.pending[0].end.Before(s.now) {
			p := heap.Pop(&s.pending).(pendingExchange)
			for _, core := range s.cores {
				core.Observe(p.observation)
			}
		}
		s.tickCores()
	}
}

// startRequests simulates the requests that arrived for the observed server up to now.
func (s *simulation) startRequests() {
	for s.nextArrival.Before(s.now) {
		at := s.nextArrival
		rate := s.rate
		failing := s.failing(at)
		if failing && s.testCase.trafficFactor > 0 {
			rate *= s.testCase.trafficFactor
		}
		s.nextArrival = at.Add(time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second)))
		slot := 0
		for i := range s.slotFreeAt {
			if s.slotFreeAt[i].Before(s.slotFreeAt[slot]) {
				slot = i
			}
		}
		start := at
		if s.slotFreeAt[slot].After(at) {
			start = s.slotFreeAt[slot]
		}
		if start.Sub(at) >= requestTimeout {
			// The request was refused in the queue and never reached the server.
			continue
		}
		route := s.rng.Intn(routes)
		var out outcome
		switch {
		case failing:
			out = s.testCase.respond(s.rng, route, at.Sub(s.onset))
		case s.testCase.fails:
			out = healthy(s.rng)
		default:
			out = s.testCase.respond(s.rng, route, at.Sub(s.start))
		}
		end := start.Add(out.latency)
		if limit := at.Add(requestTimeout); !end.Before(limit) {
			end, out.kind = limit, evidence.Timeout
		}
		s.slotFreeAt[slot] = end
		if out.lost {
			continue
		}
		// The view is sent with the request, so the observation has the view of that
		// time.
		heap.Push(&s.pending, pendingExchange{end: end, observation: evidence.Observation{
			Baseline: s.views[s.rng.Intn(ingressNodes)].baseline(),
			Backend:  "judged", Service: "service", Route: s.routes[route], Kind: out.kind, Latency: end.Sub(start), At: end,
		}})
	}
}

// updateViews adds one time slice of requests to the other servers to the views.
func (s *simulation) updateViews() {
	mean := s.rate * (backendServers - 1) / ingressNodes * sliceLength.Seconds()
	for _, v := range s.views {
		v.advance()
		for range poisson(s.rng, mean) {
			out := respondOrHealthy(s.testCase.othersRespond, s.rng, s.now.Sub(s.start))
			v.add(out)
		}
	}
}

func respondOrHealthy(f func(*rand.Rand, time.Duration) outcome, rng *rand.Rand, age time.Duration) outcome {
	if f == nil {
		return healthy(rng)
	}
	return f(rng, age)
}

// tickCores runs one tick of each core. Only the detectors are compared, so every permit is
// granted and the number of serving backend servers is far above the floor.
func (s *simulation) tickCores() {
	view := ejection.View{"service": {Floor: 1, Serving: backendServers, Capacity: backendServers}}
	for i, core := range s.cores {
		for _, d := range core.Tick(s.now, view) {
			switch d.Action {
			case ejection.RequestPermit:
				core.PermitGranted(s.now, d.Backend, ejection.Permit{ID: "p", Position: 1})
			case ejection.Eject:
				s.ejections[i]++
				if s.failing(s.now) && s.detected[i].IsZero() {
					s.detected[i] = s.now
				}
			}
		}
	}
}

func poisson(rng *rand.Rand, mean float64) int {
	n, p, limit := 0, rng.Float64(), math.Exp(-mean)
	for p > limit {
		n++
		p *= rng.Float64()
	}
	return n
}
