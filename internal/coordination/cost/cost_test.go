package cost

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/proptest"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

var t0 = time.Unix(1_700_000_000, 0)

func class(route string) Class { return Class{Service: "s", Route: route, Method: "GET", Shape: "wn"} }

// near reports whether got is within a factor of want.
func near(got, want time.Duration, factor float64) bool {
	r := float64(got) / float64(want)
	return r <= factor && r >= 1/factor
}

// exponential returns a random service time with the given mean.
func exponential(rng *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(rng.ExpFloat64() * float64(mean))
}

// Guards against a class that is not learned within a few requests, and against an unknown
// class that is not estimated from its route and its service. Load: two routes of 20 ms and 2 s.
func TestLearnsClassesAndFallsBack(t *testing.T) {
	rng, e := proptest.Rand(t), NewEstimator()
	for i := range 8 {
		now := t0.Add(time.Duration(i) * 100 * time.Millisecond)
		e.Observe(now, class("light"), "b", 15*time.Millisecond+exponential(rng, 5*time.Millisecond))
		e.Observe(now, class("heavy"), "b", 1500*time.Millisecond+exponential(rng, 500*time.Millisecond))
	}
	now := t0.Add(time.Second)
	light, heavy := e.Estimate(now, class("light")).Mean, e.Estimate(now, class("heavy")).Mean
	if 4*light > heavy {
		t.Errorf("after 8 requests each: light %v, heavy %v", light, heavy)
	}
	unknown := class("heavy")
	unknown.Method = "PUT"
	if got := e.Estimate(now, unknown); got.Samples != 0 || !near(got.Mean, heavy, 1.5) {
		t.Errorf("unknown class of a known route: %+v, route %v", got, heavy)
	}
	if got := e.Estimate(now, class("new")); got.Mean < light || got.Mean > heavy || got.P90 < got.Median {
		t.Errorf("unknown route of a known service: %+v", got)
	}
}

// Guards against quantiles that hide the heavy requests of a class. Load: 90% of 50 ms and 10%
// of 3 s.
func TestQuantilesOfTwoPointWork(t *testing.T) {
	e := NewEstimator()
	for i := range 200 {
		work := 50 * time.Millisecond
		if i%10 == 0 {
			work = 3 * time.Second
		}
		e.Observe(t0.Add(time.Duration(i)*10*time.Millisecond), class("r"), registry.BackendID(fmt.Sprint("b", i%7)), work)
	}
	got := e.Estimate(t0.Add(2*time.Second), class("r"))
	if !near(got.Median, 50*time.Millisecond, 1.2) || !near(got.Mean, 345*time.Millisecond, 1.5) || got.P90 < 50*time.Millisecond {
		t.Errorf("got %+v", got)
	}
}

// Guards against estimates that stay at an earlier mix. Load: a class whose work falls from 2 s
// to 50 ms, at 20 requests per second, and at 100 per second within little more than a second.
func TestForgetsEarlierMix(t *testing.T) {
	for _, load := range []struct {
		interval      time.Duration
		before, after int
	}{{50 * time.Millisecond, 200, 200}, {10 * time.Millisecond, 400, 130}} {
		e, now := NewEstimator(), t0
		for n := range load.before + load.after {
			work := 2 * time.Second
			if n >= load.before {
				work = 50 * time.Millisecond
			}
			now = now.Add(load.interval)
			e.Observe(now, class("r"), registry.BackendID(fmt.Sprint("b", n%7)), work)
		}
		if got := e.Estimate(now, class("r")).Median; !near(got, 50*time.Millisecond, 2) {
			t.Errorf("median %v after %d requests of another mix", got, load.after)
		}
	}
}

// Guards against a slow backend server that makes its requests look heavy, and against a speed
// that stays when the backend server has no more requests. Load: ten servers, one four times as
// slow.
func TestLearnsSpeeds(t *testing.T) {
	rng, e := proptest.Rand(t), NewEstimator()
	now := t0
	for i := range 600 {
		now = now.Add(10 * time.Millisecond)
		work := 80*time.Millisecond + exponential(rng, 40*time.Millisecond)
		if i%10 == 0 {
			work *= 4
		}
		e.Observe(now, class("r"), registry.BackendID(fmt.Sprint("b", i%10)), work)
	}
	slow, usual := e.Speed(now, "b0"), e.Speed(now, "b1")
	if slow > usual/2 || usual < 0.6 || usual > 1.6 {
		t.Errorf("speeds: slow %.2f, usual %.2f", slow, usual)
	}
	if got := e.Estimate(now, class("r")).Mean; !near(got, 120*time.Millisecond, 1.4) {
		t.Errorf("mean %v", got)
	}
	if got := e.Speed(now.Add(5*time.Minute), "b0"); math.Abs(got-1) > 0.05 {
		t.Errorf("speed %.2f after 5 minutes without requests", got)
	}
}

// Guards against memory that grows with what callers send, and against paths that become part
// of a class. Load: 100,000 requests of different routes and paths.
func TestBoundedClasses(t *testing.T) {
	e := NewEstimator()
	for i := range 100_000 {
		e.Observe(t0.Add(time.Duration(i)*time.Microsecond), class(fmt.Sprint("r", i)), registry.BackendID(fmt.Sprint("b", i)), time.Second)
	}
	if len(e.groups) > maxGroups || e.order.Len() != len(e.groups) || len(e.speeds) > maxServers {
		t.Errorf("%d groups, %d in order, %d speeds", len(e.groups), e.order.Len(), len(e.speeds))
	}
	for path, want := range map[string]string{"/": "", "/a/12/x7": "wnx", "/secret-token/": "w", "//a//b/": "ww", "/1/2/3/4/5/6/7/8/9": "nnnnnnnn"} {
		if got := PathShape(path); got != want {
			t.Errorf("shape of %q: %q, want %q", path, got, want)
		}
	}
	if SizeBucket(-1) == SizeBucket(0) || SizeBucket(1000) != SizeBucket(900) || SizeBucket(1000) == SizeBucket(3000) {
		t.Error("sizes are not grouped by powers of two")
	}
}
