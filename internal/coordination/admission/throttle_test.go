package admission

import (
	"math/rand/v2"
	"testing"
	"time"
)

// replayCalls replays requests of 40 nodes, each with two calls one after the other to
// a service that serves a number of calls in each 100 ms, and returns how many requests
// were good, failed at a call and were refused.
func replayCalls(seed uint64, throttled bool, capacity func(time.Duration) int, length time.Duration) (good, failed, refused int) {
	const (
		nodes = 40
		step  = 100 * time.Millisecond
	)
	rng := rand.New(rand.NewPCG(seed, 1))
	throttles := make([]Throttle, nodes)
	type request struct {
		node  int
		calls int
	}
	due := map[int][]request{} // by step of the next call
	for i := range int(length / step) {
		now := t0.Add(time.Duration(i) * step)
		for node := range nodes {
			if rng.Float64() >= 0.5 { // 5 requests a second for each node
				continue
			}
			if throttled && throttles[node].Refuse(now, rng.Float64()) {
				refused++
				continue
			}
			due[i+10] = append(due[i+10], request{node, 2})
		}
		left := capacity(time.Duration(i) * step)
		calls := due[i]
		rng.Shuffle(len(calls), func(a, b int) { calls[a], calls[b] = calls[b], calls[a] })
		for _, r := range calls {
			if left--; left < 0 {
				failed++
				throttles[r.node].Observe(now, true)
				continue
			}
			if r.calls--; r.calls > 0 {
				due[i+5] = append(due[i+5], r)
				continue
			}
			good++
			throttles[r.node].Observe(now, false)
		}
		delete(due, i)
	}
	return good, failed, refused
}

// Guards against requests that run and then fail because a service that they call has
// two thirds of the slots that all of them need, and against less service by refusing.
func TestReplayOfCallsWithoutSlots(t *testing.T) {
	short := func(time.Duration) int { return 26 } // 40 calls would be needed.
	for seed := range uint64(5) {
		good, failed, _ := replayCalls(seed, false, short, 60*time.Second)
		throttledGood, throttledFailed, refused := replayCalls(seed, true, short, 60*time.Second)
		t.Logf("seed %d: good %d, failed %d; with the throttle good %d, failed %d, refused %d", seed, good, failed, throttledGood, throttledFailed, refused)
		if throttledGood < good {
			t.Errorf("seed %d: the throttle lowers the good ends from %d to %d", seed, good, throttledGood)
		}
		if 2*throttledFailed > failed {
			t.Errorf("seed %d: %d requests failed at a call, %d without the throttle", seed, throttledFailed, failed)
		}
	}
}

// Guards against refusals without a shortage, and against refusals that outlast it.
func TestThrottleEndsWithTheShortage(t *testing.T) {
	if _, failed, refused := replayCalls(1, true, func(time.Duration) int { return 100 }, 30*time.Second); failed+refused > 0 {
		t.Errorf("%d failed and %d refused without a shortage", failed, refused)
	}
	var throttle Throttle
	for range 20 {
		throttle.Observe(t0, true)
	}
	if got := throttle.Share(t0); got != throttleMax {
		t.Errorf("share %.2f after failures only, want %.2f", got, throttleMax)
	}
	if got := throttle.Share(t0.Add(throttleWindow)); got != 0 {
		t.Errorf("share %.2f after the window", got)
	}
}
