package admission

import (
	"cmp"
	"maps"
	"slices"
	"testing"
	"time"
)

// replay drives a Controller with arrivals in steps of 10 ms. Requests hold their slots for
// their expected work or the service time of their route, or until their deadline while the backend server hangs.
type replay struct {
	ctrl        *Controller
	serviceTime map[string]time.Duration
	hangsFrom   time.Duration

	requests map[uint64]*replayed
	running  map[uint64]time.Duration // the end of each request in flight
}

// replayed is what became of a request.
type replayed struct {
	Request
	arrived, started, refused time.Duration
	wasStarted, wasRefused    bool
}

func newReplay(opt Options, serviceTime map[string]time.Duration) *replay {
	opt.SkipRamp = true
	return &replay{
		ctrl: NewController(opt, t0), serviceTime: serviceTime, hangsFrom: time.Hour,
		requests: make(map[uint64]*replayed), running: make(map[uint64]time.Duration),
	}
}

// run calls arrivals at each step for the requests that arrive then.
func (r *replay) run(duration time.Duration, arrivals func(time.Duration) []Request) {
	ticket := uint64(len(r.requests))
	for now := time.Duration(0); now < duration; now += 10 * time.Millisecond {
		for _, id := range slices.Sorted(maps.Keys(r.running)) {
			if r.running[id] <= now {
				delete(r.running, id)
				r.ctrl.Release(at(now), id, now-r.requests[id].started)
			}
		}
		r.apply(now)
		for _, q := range arrivals(now) {
			ticket++
			q.Ticket = ticket
			e := &replayed{Request: q, arrived: now}
			r.requests[ticket] = e
			switch v, _ := r.ctrl.Offer(at(now), q); v {
			case Admitted:
				r.start(now, ticket)
			case Refused:
				e.refused, e.wasRefused = now, true
			}
			r.apply(now)
		}
		if now%ForecastInterval == 0 {
			r.ctrl.RefuseForecastLate(at(now))
			r.apply(now)
		}
	}
}

func (r *replay) apply(now time.Duration) {
	for _, d := range r.ctrl.TakeDecisions(at(now)) {
		if d.Admitted {
			r.start(now, d.Ticket)
		} else {
			r.requests[d.Ticket].refused, r.requests[d.Ticket].wasRefused = now, true
		}
	}
}

func (r *replay) start(now time.Duration, ticket uint64) {
	e := r.requests[ticket]
	e.started, e.wasStarted = now, true
	end := now + cmp.Or(e.ExpectedWork, r.serviceTime[e.Route])
	r.running[ticket] = end
	if end > r.hangsFrom {
		r.running[ticket] = e.Deadline.Sub(t0)
	}
}

// Guards against requests that wait in the queue of a backend server that hangs until no time
// is left to try them elsewhere. Twice the service time must be left of the 6 s that they have.
func TestQueueOfHangingServerEmptiesInTime(t *testing.T) {
	r := newReplay(Options{Slots: 8}, map[string]time.Duration{"pay": time.Second})
	r.hangsFrom = 10 * time.Second
	r.run(20*time.Second, func(now time.Duration) []Request {
		if now%(150*time.Millisecond) != 0 || now > 14*time.Second {
			return nil
		}
		return []Request{{Route: "pay", Deadline: at(now + 6*time.Second)}}
	})
	waited := 0
	for _, e := range r.requests {
		if e.wasRefused && e.refused > e.arrived {
			waited++
		}
		if wait := max(e.started, e.refused) - e.arrived; wait > 4*time.Second {
			t.Errorf("arrived at %s, started or refused after %s", e.arrived, wait)
		}
	}
	if waited == 0 {
		t.Error("no request waited")
	}
}

// Guards against requests that wait for most of their time and are then refused because more
// urgent ones have passed them, at 1.5 times the capacity of a backend server. A third of the
// requests is more urgent.
func TestOverloadIsRefusedEarly(t *testing.T) {
	r := newReplay(Options{Slots: 4, QueueLimit: 32}, map[string]time.Duration{"pay": time.Second, "call": time.Second})
	n := 0
	r.run(30*time.Second, func(now time.Duration) []Request {
		if now%(170*time.Millisecond) != 0 {
			return nil
		}
		if n++; n%3 == 0 {
			return []Request{{Route: "call", Rank: 0, Deadline: at(now + 4*time.Second)}}
		}
		return []Request{{Route: "pay", Rank: 2, Deadline: at(now + 5*time.Second)}}
	})
	var started, refused int
	var waited time.Duration
	for _, e := range r.requests {
		if e.wasStarted {
			started++
		}
		if e.wasRefused {
			refused++
			waited += e.refused - e.arrived
		}
	}
	if want := 4 * 29; started < want {
		t.Errorf("%d requests started in 30 s, want %d: all slots in use", started, want)
	}
	if refused == 0 || waited/time.Duration(refused) > time.Second {
		t.Errorf("%d requests refused after %s in the mean, want 1s at most", refused, waited/time.Duration(max(refused, 1)))
	}
}

// Guards against refusing the requests of a team within its share because another team fills the
// queue: they start before most of the queue. The queue holds 5 s of work, and requests have 4 s.
func TestForecastRespectsSharesOfCallers(t *testing.T) {
	r := newReplay(Options{Slots: 4, QueueLimit: 32}, map[string]time.Duration{"pay": time.Second})
	r.run(30*time.Second, func(now time.Duration) []Request {
		var arrivals []Request
		if now%(50*time.Millisecond) == 0 {
			arrivals = append(arrivals, Request{Caller: "large", Route: "pay", Deadline: at(now + 4*time.Second)})
		}
		if now%(2*time.Second) == time.Second {
			arrivals = append(arrivals, Request{Caller: "small", Route: "pay", Deadline: at(now + 4*time.Second)})
		}
		return arrivals
	})
	var started, refused int
	for _, e := range r.requests {
		switch {
		case e.Caller != "small":
		case e.wasStarted:
			started++
		case e.wasRefused:
			refused++
		}
	}
	if started < 13 || refused > 0 {
		t.Errorf("%d requests of the small team started and %d refused, want all", started, refused)
	}
}
