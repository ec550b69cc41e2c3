package main

import (
	"math"
	"math/rand"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/evidence"
)

const (
	// deadline is the time that a request has.
	deadline = time.Second
	// median is the healthy median latency.
	median = 20 * time.Millisecond
	// period is the time between two disturbances of a case without a failing
	// server, and disturbance their length.
	period      = 10 * time.Minute
	disturbance = 2 * time.Minute
)

// work is one request as a backend server would answer it.
type work struct {
	kind    evidence.Kind
	latency time.Duration
	// lost says that the answer never reaches the owner's evidence.
	lost bool
}

// testCase describes how servers answer. age is the time since the failure
// began, or since the start for a case without one.
type testCase struct {
	name string
	// fails says that the judged server fails from the onset on; otherwise every
	// ejection is false.
	fails bool
	// answer gives the answer of the judged server while it fails, or all the
	// time if the case has no failing server.
	answer func(rng *rand.Rand, route int, age time.Duration) work
	// others gives the answers of the other servers; nil means healthy ones.
	others func(rng *rand.Rand, age time.Duration) work
	// traffic multiplies the request rate of the failing server.
	traffic float64
}

// healthy answers with log-normal latency and 0.2% failures.
func healthy(rng *rand.Rand) work {
	w := work{latency: time.Duration(float64(median) * math.Exp(0.5*rng.NormFloat64()))}
	if rng.Float64() < 0.002 {
		w.kind = evidence.ServerError
	}
	return w
}

func timeout() work { return work{kind: evidence.Timeout, latency: deadline} }

func slower(w work, factor time.Duration) work {
	if w.latency *= factor; w.latency >= deadline {
		return timeout()
	}
	return w
}

func disturbed(age time.Duration) bool { return age%period >= period-disturbance }

func noisy(rng *rand.Rand) work {
	w := healthy(rng)
	w.kind = evidence.Success
	if rng.Float64() < 0.01 {
		w.kind = evidence.ServerError
	}
	return w
}

// heavyTailed has Pareto-distributed latency with shape 1.1.
func heavyTailed(rng *rand.Rand) work {
	w := healthy(rng)
	w.latency = time.Duration(float64(10*time.Millisecond) * math.Pow(1-rng.Float64(), -1/1.1))
	if w.latency >= deadline {
		return timeout()
	}
	return w
}

func serviceSlow(rng *rand.Rand, age time.Duration) work {
	w := healthy(rng)
	if disturbed(age) {
		w = slower(w, 10)
	}
	return w
}

func serviceFailing(rng *rand.Rand, age time.Duration) work {
	w := healthy(rng)
	if disturbed(age) && rng.Float64() < 0.5 {
		w.kind = evidence.ServerError
	}
	return w
}

func serviceTimeouts(rng *rand.Rand, age time.Duration) work {
	if disturbed(age) {
		return timeout()
	}
	return healthy(rng)
}

var cases = []testCase{
	{name: "gray timeouts on all work", fails: true,
		answer: func(*rand.Rand, int, time.Duration) work { return timeout() }},
	{name: "one route of 5 times out", fails: true,
		answer: func(rng *rand.Rand, route int, _ time.Duration) work {
			if route == 0 {
				return timeout()
			}
			return healthy(rng)
		}},
	{name: "slow but correct, 10 times", fails: true,
		answer: func(rng *rand.Rand, _ int, _ time.Duration) work { return slower(healthy(rng), 10) }},
	{name: "flapping 10 s on, 10 s off", fails: true,
		answer: func(rng *rand.Rand, _ int, age time.Duration) work {
			if age%(20*time.Second) < 10*time.Second {
				return timeout()
			}
			return healthy(rng)
		}},
	{name: "lying load report, half fails fast", fails: true, traffic: 2,
		answer: func(rng *rand.Rand, _ int, _ time.Duration) work {
			w := healthy(rng)
			if rng.Float64() < 0.5 {
				w = work{kind: evidence.ServerError, latency: median / 4}
			}
			return w
		}},
	{name: "whole service slow at once", others: serviceSlow,
		answer: func(rng *rand.Rand, _ int, age time.Duration) work { return serviceSlow(rng, age) }},
	{name: "whole service fails half at once", others: serviceFailing,
		answer: func(rng *rand.Rand, _ int, age time.Duration) work { return serviceFailing(rng, age) }},
	{name: "whole service times out at once", others: serviceTimeouts,
		answer: func(rng *rand.Rand, _ int, age time.Duration) work { return serviceTimeouts(rng, age) }},
	{name: "1% random noise", others: func(rng *rand.Rand, _ time.Duration) work { return noisy(rng) },
		answer: func(rng *rand.Rand, _ int, _ time.Duration) work { return noisy(rng) }},
	{name: "faulty link, 10 s gaps", others: func(rng *rand.Rand, _ time.Duration) work { return noisy(rng) },
		answer: func(rng *rand.Rand, _ int, age time.Duration) work {
			w := noisy(rng)
			w.lost = age%time.Minute < 10*time.Second
			return w
		}},
	{name: "healthy heavy-tailed latency", others: func(rng *rand.Rand, _ time.Duration) work { return heavyTailed(rng) },
		answer: func(rng *rand.Rand, _ int, _ time.Duration) work { return heavyTailed(rng) }},
}
