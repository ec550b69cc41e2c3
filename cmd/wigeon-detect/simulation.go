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
	warmUp = time.Minute
	giveUp = time.Minute
	tick   = 100 * time.Millisecond
	// slice is the resolution of the ingress nodes' view.
	slice = 500 * time.Millisecond
	// ingressNodes share the requests of the service evenly.
	ingressNodes   = 6
	backendServers = 12
	slots          = 5
	routes         = 5
)

// pending is an exchange of the judged server that has not ended yet.
type pending struct {
	end time.Time
	o   evidence.Observation
}

type pendingHeap []pending

func (h pendingHeap) Len() int           { return len(h) }
func (h pendingHeap) Less(i, j int) bool { return h[i].end.Before(h[j].end) }
func (h pendingHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *pendingHeap) Push(x any)        { *h = append(*h, x.(pending)) }
func (h *pendingHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// simulation runs one judged server and the ingress nodes' view of the others.
// Every contender sees the same exchanges; each has a core of its own.
type simulation struct {
	c         testCase
	rate      float64
	rng       *rand.Rand
	now       time.Time
	begin     time.Time
	onset     time.Time
	next      time.Time
	free      [slots]time.Time
	exchanges pendingHeap
	views     [ingressNodes]*view
	cores     []*ejection.Core
	ejections []int
	detected  []time.Time
	routes    [routes]string
}

func newSimulation(o options, c testCase, rate float64, seed int64, contenders []contender) *simulation {
	s := &simulation{
		c: c, rate: rate, rng: rand.New(rand.NewSource(seed)),
		now:       time.Unix(1_700_000_000, 0),
		ejections: make([]int, len(contenders)), detected: make([]time.Time, len(contenders)),
	}
	s.begin, s.next = s.now, s.now
	for i := range s.views {
		s.views[i] = newView(o.BaselineWindow, o.Recent)
	}
	for i := range s.routes {
		s.routes[i] = "route-" + strconv.Itoa(i)
	}
	for _, c := range contenders {
		core := ejection.New(ejection.Options{
			NewDetector: c.build, ConfirmShort: o.ConfirmShort, ConfirmLong: o.ConfirmLong, ConfirmSamples: o.ConfirmSamples,
		})
		core.SetWeight("service", c.weight)
		s.cores = append(s.cores, core)
	}
	return s
}

// failing reports whether the judged server fails at a time.
func (s *simulation) failing(t time.Time) bool {
	return s.c.fails && !s.onset.IsZero() && !t.Before(s.onset)
}

func (s *simulation) run(d time.Duration) {
	end := s.now.Add(d)
	for i := 0; s.now.Before(end); i++ {
		if i%int(slice/tick) == 0 {
			s.baselines()
		}
		s.now = s.now.Add(tick)
		s.arrivals()
		for len(s.exchanges) > 0 && s.exchanges[0].end.Before(s.now) {
			p := heap.Pop(&s.exchanges).(pending)
			for _, core := range s.cores {
				core.Observe(p.o)
			}
		}
		s.decide()
	}
}

// arrivals starts the requests of the judged server up to now.
func (s *simulation) arrivals() {
	for s.next.Before(s.now) {
		at := s.next
		rate := s.rate
		failing := s.failing(at)
		if failing && s.c.traffic > 0 {
			rate *= s.c.traffic
		}
		s.next = at.Add(time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second)))
		slot := 0
		for i := range s.free {
			if s.free[i].Before(s.free[slot]) {
				slot = i
			}
		}
		start := at
		if s.free[slot].After(at) {
			start = s.free[slot]
		}
		if start.Sub(at) >= deadline {
			// It was refused in the queue and never reached the server.
			continue
		}
		route := s.rng.Intn(routes)
		var w work
		switch {
		case failing:
			w = s.c.answer(s.rng, route, at.Sub(s.onset))
		case s.c.fails:
			w = healthy(s.rng)
		default:
			w = s.c.answer(s.rng, route, at.Sub(s.begin))
		}
		end := start.Add(w.latency)
		if limit := at.Add(deadline); !end.Before(limit) {
			end, w.kind = limit, evidence.Timeout
		}
		s.free[slot] = end
		if w.lost {
			continue
		}
		// The view travels with the request, so it is as old as the exchange.
		heap.Push(&s.exchanges, pending{end: end, o: evidence.Observation{
			Baseline: s.views[s.rng.Intn(ingressNodes)].baseline(),
			Backend:  "judged", Service: "service", Route: s.routes[route], Kind: w.kind, Latency: end.Sub(start), At: end,
		}})
	}
}

// baselines adds one slice of the other servers' work to the views.
func (s *simulation) baselines() {
	mean := s.rate * (backendServers - 1) / ingressNodes * slice.Seconds()
	for _, v := range s.views {
		v.advance()
		for range poisson(s.rng, mean) {
			w := healthyOr(s.c.others, s.rng, s.now.Sub(s.begin))
			v.add(w)
		}
	}
}

func healthyOr(f func(*rand.Rand, time.Duration) work, rng *rand.Rand, age time.Duration) work {
	if f == nil {
		return healthy(rng)
	}
	return f(rng, age)
}

// decide ticks the cores. Permits are always granted and the floor is far away,
// because only the detectors are compared.
func (s *simulation) decide() {
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
