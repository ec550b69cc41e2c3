package main

import (
	"math"
	"math/rand"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/evidence"
)

const (
	// requestTimeout is the time from the arrival of a request to its deadline.
	requestTimeout = time.Second
	// healthyMedian is the median latency of a healthy backend server.
	healthyMedian = 20 * time.Millisecond
	// disturbancePeriod is the time between two disturbances of a case without a failing
	// server, and disturbanceLength is their length.
	disturbancePeriod = 10 * time.Minute
	disturbanceLength = 2 * time.Minute
)

// outcome is the result of one request at a backend server.
type outcome struct {
	kind    evidence.Kind
	latency time.Duration
	// lost means that the owner does not observe the response.
	lost bool
}

// testCase describes how backend servers respond. The argument age is the time since the
// failure began, or since the start of the simulation if the case has no failure.
type testCase struct {
	name string
	// fails means that the observed server fails from the onset on. Otherwise every
	// ejection is false.
	fails bool
	// respond returns the outcome of a request to the observed server. It is used
	// while this server fails, or all the time if the case has no failure.
	respond func(rng *rand.Rand, route int, age time.Duration) outcome
	// othersRespond returns the outcome of a request to the other servers. If it is
	// nil, they are healthy.
	othersRespond func(rng *rand.Rand, age time.Duration) outcome
	// trafficFactor multiplies the request rate of the observed server while it fails.
	// 0 means 1.
	trafficFactor float64
}

// healthy has log-normal latency and 0.2% failures.
func healthy(rng *rand.Rand) outcome {
	out := outcome{latency: time.Duration(float64(healthyMedian) * math.Exp(0.5*rng.NormFloat64()))}
	if rng.Float64() < 0.002 {
		out.kind = evidence.ServerError
	}
	return out
}

func timeout() outcome { return outcome{kind: evidence.Timeout, latency: requestTimeout} }

func slower(out outcome, factor time.Duration) outcome {
	if out.latency *= factor; out.latency >= requestTimeout {
		return timeout()
	}
	return out
}

func isDisturbed(age time.Duration) bool {
	return age%disturbancePeriod >= disturbancePeriod-disturbanceLength
}

func noisy(rng *rand.Rand) outcome {
	out := healthy(rng)
	out.kind = evidence.Success
	if rng.Float64() < 0.01 {
		out.kind = evidence.ServerError
	}
	return out
}

// heavyTailed has Pareto-distributed latency with shape 1.1.
func heavyTailed(rng *rand.Rand) outcome {
	out := healthy(rng)
	out.latency = time.Duration(float64(10*time.Millisecond) * math.Pow(1-rng.Float64(), -1/1.1))
	if out.latency >= requestTimeout {
		return timeout()
	}
	return out
}

func serviceSlow(rng *rand.Rand, age time.Duration) outcome {
	out := healthy(rng)
	if isDisturbed(age) {
		out = slower(out, 10)
	}
	return out
}

func serviceFailing(rng *rand.Rand, age time.Duration) outcome {
	out := healthy(rng)
	if isDisturbed(age) && rng.Float64() < 0.5 {
		out.kind = evidence.ServerError
	}
	return out
}

func serviceTimeouts(rng *rand.Rand, age time.Duration) outcome {
	if isDisturbed(age) {
		return timeout()
	}
	return healthy(rng)
}

var cases = []testCase{
	{name: "gray timeouts on all work", fails: true,
		respond: func(*rand.Rand, int, time.Duration) outcome { return timeout() }},
	{name: "one route of 5 times out", fails: true,
		respond: func(rng *rand.Rand, route int, _ time.Duration) outcome {
			if route == 0 {
				return timeout()
			}
			return healthy(rng)
		}},
	{name: "slow but correct, 10 times", fails: true,
		respond: func(rng *rand.Rand, _ int, _ time.Duration) outcome { return slower(healthy(rng), 10) }},
	{name: "flapping 10 s on, 10 s off", fails: true,
		respond: func(rng *rand.Rand, _ int, age time.Duration) outcome {
			if age%(20*time.Second) < 10*time.Second {
				return timeout()
			}
			return healthy(rng)
		}},
	{name: "lying load report, half fails fast", fails: true, trafficFactor: 2,
		respond: func(rng *rand.Rand, _ int, _ time.Duration) outcome {
			out := healthy(rng)
			if rng.Float64() < 0.5 {
				out = outcome{kind: evidence.ServerError, latency: healthyMedian / 4}
			}
			return out
		}},
	{name: "whole service slow at once", othersRespond: serviceSlow,
		respond: func(rng *rand.Rand, _ int, age time.Duration) outcome { return serviceSlow(rng, age) }},
	{name: "whole service fails half at once", othersRespond: serviceFailing,
		respond: func(rng *rand.Rand, _ int, age time.Duration) outcome { return serviceFailing(rng, age) }},
	{name: "whole service times out at once", othersRespond: serviceTimeouts,
		respond: func(rng *rand.Rand, _ int, age time.Duration) outcome { return serviceTimeouts(rng, age) }},
	{name: "1% random noise", othersRespond: func(rng *rand.Rand, _ time.Duration) outcome { return noisy(rng) },
		respond: func(rng *rand.Rand, _ int, _ time.Duration) outcome { return noisy(rng) }},
	{name: "faulty link, 10 s gaps", othersRespond: func(rng *rand.Rand, _ time.Duration) outcome { return noisy(rng) },
		respond: func(rng *rand.Rand, _ int, age time.Duration) outcome {
			out := noisy(rng)
			out.lost = age%time.Minute < 10*time.Second
			return out
		}},
	{name: "healthy heavy-tailed latency", othersRespond: func(rng *rand.Rand, _ time.Duration) outcome { return heavyTailed(rng) },
		respond: func(rng *rand.Rand, _ int, _ time.Duration) outcome { return heavyTailed(rng) }},
}
