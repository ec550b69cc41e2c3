package attempts

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var t0 = time.Unix(1_700_000_000, 0)

// Guards against an answer about an attempt that what happened to it does not support.
func TestResolve(t *testing.T) {
	k := Key{"n1", 7}
	cases := []struct {
		name  string
		steps func(l *Log[string])
		want  Status
	}{
		{"never received", func(*Log[string]) {}, Withdrawn},
		{"waits and may go on", func(l *Log[string]) { l.Begin(t0, k, "v", false) }, Waiting},
		{"waits without its body", func(l *Log[string]) { l.Begin(t0, k, "v", true) }, Withdrawn},
		{"dispatched", func(l *Log[string]) { l.Begin(t0, k, "v", true); l.Dispatch(k) }, Dispatched},
		{"ended", func(l *Log[string]) { l.Begin(t0, k, "v", true); l.Dispatch(k); l.End(t0, k) }, Ended},
		{"removed after its end", func(l *Log[string]) {
			l.Begin(t0, k, "v", true)
			l.Dispatch(k)
			l.End(t0, k)
			l.Begin(t0.Add(DefaultKeep), Key{"n1", 9}, "", true)
		}, Forgotten},
		{"older than one that was removed", func(l *Log[string]) {
			l.Begin(t0, Key{"n1", 8}, "", true)
			l.End(t0, Key{"n1", 8})
			l.Begin(t0.Add(DefaultKeep), Key{"n1", 9}, "", true)
		}, Forgotten},
	}
	for _, c := range cases {
		l := NewLog(Options{}, func(string) {})
		c.steps(l)
		got, _ := l.Resolve(t0.Add(time.Second), k)
		if got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
		if got == Withdrawn && (l.Begin(t0.Add(time.Hour), k, "v", true) || l.Dispatch(k)) {
			t.Errorf("%s: a withdrawn attempt may run", c.name)
		}
	}
}

// Guards against memory that grows with the number of attempts or of ingress processes, and
// against an unfounded "not run" about what there was no room for.
func TestLogIsBounded(t *testing.T) {
	removed := 0
	l := NewLog(Options{MaxEnded: 10, MaxOrigins: 3}, func(string) { removed++ })
	for i := range uint64(1000) {
		k := Key{fmt.Sprint("n", i%5), i + 1}
		if !l.Begin(t0, k, "", true) || !l.Dispatch(k) {
			t.Fatalf("attempt %d refused", i)
		}
		l.End(t0, k)
	}
	if n := l.Len(); n > 10 || removed != 600-n {
		t.Errorf("%d of 600 attempts recorded, %d removed", n, removed)
	}
	for _, k := range []Key{{"n0", 1}, {"n4", 1}, {"n9", 5}} {
		if got, _ := l.Resolve(t0, k); got != Forgotten {
			t.Errorf("%v: %s", k, got)
		}
	}
}

// Replays random orders of arrival, dispatch, end, query and removal. Guards against an
// attempt that runs although an ingress node was told that it has not and will not.
func TestWithdrawnAttemptNeverRuns(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		l := NewLog(Options{Keep: 50 * time.Millisecond, MaxEnded: 1 + rng.IntN(20)}, func(int) {})
		now := t0
		const attempts = 40
		var begun, ran, denied, ended [attempts]bool
		for range 600 {
			now = now.Add(time.Duration(rng.IntN(10)) * time.Millisecond)
			i := rng.IntN(attempts)
			k := Key{fmt.Sprint("n", i%3), uint64(i + 1)}
			switch rng.IntN(4) {
			case 0:
				if !begun[i] { // A message arrives once, at any time.
					begun[i] = l.Begin(now, k, i, rng.IntN(2) == 0)
				}
			case 1:
				if begun[i] && !ran[i] && !ended[i] && l.Dispatch(k) {
					ran[i] = true
				}
			case 2:
				if begun[i] && !ended[i] {
					ended[i] = true
					l.End(now, k)
				}
			default:
				status, value := l.Resolve(now, k)
				if status == Withdrawn {
					denied[i] = true
				}
				if (status == Dispatched || status == Ended) && value != i {
					t.Fatalf("seed %d: attempt %d resolved with the value of %d", seed, i, value)
				}
				if ran[i] && status != Dispatched && status != Ended && status != Forgotten {
					t.Fatalf("seed %d: attempt %d ran and is %s", seed, i, status)
				}
			}
			if ran[i] && denied[i] {
				t.Fatalf("seed %d: attempt %d ran although it was reported as not run", seed, i)
			}
		}
	}
}
