package suspicion

import (
	"math/rand/v2"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/evidence"
)

var start = time.Unix(1_000_000, 0)

// step is one input of a data-driven case and what it must lead to.
type step struct {
	after time.Duration
	// observe is the kind of an exchange that ends now; its start was age before.
	observe *evidence.Kind
	age     time.Duration
	change  Change
	// admit asks for a request and expects the verdict.
	admit   bool
	offer   Request
	verdict Verdict
}

func seen(kind evidence.Kind, change Change) step { return step{observe: &kind, change: change} }

func asked(mayTry, noBetter bool, verdict Verdict) step {
	return step{admit: true, offer: Request{TrialAllowed: mayTry, NoBetterBackend: noBetter}, verdict: verdict}
}

func explored(verdict Verdict) step {
	return step{admit: true, offer: Request{Explore: true}, verdict: verdict}
}

func later(d time.Duration, s step) step { s.after = d; return s }

// Guards against work that must not be repeated on a backend server that just
// failed, a suspicion without a way back, and trials that pile up on one.
func TestTracker(t *testing.T) {
	old := seen(evidence.Success, None)
	old.age = time.Minute
	for name, steps := range map[string][]step{
		"a reset makes it suspect at once": {
			asked(false, false, Allow),
			seen(evidence.Reset, Suspected),
			asked(false, false, Refuse),
		},
		"one error is no evidence, two are": {
			seen(evidence.ServerError, None),
			asked(false, false, Allow),
			seen(evidence.ServerError, Suspected),
			asked(false, false, Refuse),
		},
		"successes between errors clear the score": {
			seen(evidence.ServerError, None),
			seen(evidence.Success, None), seen(evidence.Success, None), seen(evidence.Success, None),
			seen(evidence.ServerError, None),
			asked(false, false, Allow),
		},
		"errors far apart are no evidence": {
			seen(evidence.ServerError, None),
			later(time.Minute, seen(evidence.ServerError, None)),
			asked(false, false, Allow),
		},
		"a caller that left is no evidence": {
			seen(evidence.Canceled, None), seen(evidence.Shed, None), seen(evidence.Canceled, None),
			asked(false, false, Allow),
		},
		"where most are suspect, all work is let through": {
			seen(evidence.Reset, Suspected),
			asked(false, true, Allow),
		},
		"one trial at a time, after an interval": {
			seen(evidence.Reset, Suspected),
			asked(true, false, Refuse),
			later(trialInterval, asked(true, false, Trial)),
			asked(true, false, Refuse),
			seen(evidence.Reset, None),
			asked(true, false, Refuse),
			later(trialInterval, asked(true, false, Trial)),
		},
		"without trials, a request that was tried elsewhere is one from time to time": {
			seen(evidence.Reset, Suspected),
			later(starved-1, explored(Refuse)),
			later(1, asked(false, false, Refuse)),
			explored(Trial),
			explored(Refuse),
			seen(evidence.Success, None),
			explored(Refuse),
			later(starved, explored(Trial)),
			later(starved-1, explored(Refuse)),
		},
		"trials that run let others follow, up to the number that clears": {
			seen(evidence.Reset, Suspected),
			later(trialInterval, asked(true, false, Trial)),
			later(trialInterval-1, asked(true, false, Refuse)),
			later(1, asked(true, false, Trial)),
			later(trialInterval, asked(true, false, Trial)),
			later(trialInterval, asked(true, false, Refuse)),
			seen(evidence.Success, None), seen(evidence.Success, None), seen(evidence.Success, Cleared),
		},
		"a trial that runs keeps explorers away": {
			seen(evidence.Reset, Suspected),
			later(starved, explored(Trial)),
			later(starved, explored(Refuse)),
		},
		"trials overlap after the first success and clear it": {
			seen(evidence.Reset, Suspected),
			later(trialInterval, asked(true, false, Trial)),
			seen(evidence.Success, None),
			asked(true, false, Trial), asked(true, false, Trial), asked(true, false, Refuse),
			seen(evidence.Success, None),
			seen(evidence.Success, Cleared),
			asked(false, false, Allow),
		},
		"a relapse needs one more trial": {
			seen(evidence.Reset, Suspected),
			seen(evidence.Success, None), seen(evidence.Success, None), seen(evidence.Success, Cleared),
			seen(evidence.Reset, Suspected),
			seen(evidence.Success, None), seen(evidence.Success, None), seen(evidence.Success, None),
			seen(evidence.Success, Cleared),
		},
		"an exchange from before the suspicion says nothing": {
			seen(evidence.Reset, Suspected),
			old, old, old, old, old,
			asked(false, false, Refuse),
		},
		"a trial without an end does not block the next one for ever": {
			seen(evidence.Reset, Suspected),
			later(trialInterval, asked(true, false, Trial)),
			later(trialTimeout, asked(true, false, Trial)),
		},
	} {
		t.Run(name, func(t *testing.T) {
			tr, now := &Tracker{}, start
			for i, s := range steps {
				now = now.Add(s.after)
				if s.admit {
					if got := tr.Admit(now, s.offer); got != s.verdict {
						t.Fatalf("step %d: verdict %d, want %d", i, got, s.verdict)
					}
					continue
				}
				if got := tr.Observe(now, now.Add(-s.age), *s.observe); got != s.change {
					t.Fatalf("step %d: change %d, want %d", i, got, s.change)
				}
			}
		})
	}
}

// Guards against a request that waited while its backend server became suspect.
func TestWaitingRequestIsWithdrawn(t *testing.T) {
	tr := &Tracker{}
	if tr.Recheck(false, false, false) != Allow {
		t.Fatal("trusted backend server refuses")
	}
	tr.Observe(start, start, evidence.Reset)
	if tr.Recheck(false, false, false) != Refuse || tr.Recheck(true, false, false) != Allow ||
		tr.Recheck(false, true, false) != Allow || tr.Recheck(false, false, true) != Allow {
		t.Fatal("wrong verdict on a request that waited")
	}
}

// load is a pattern of work for a service whose backend servers fail gray.
type load struct {
	servers int
	// bad and good are the mean durations of the phases of a backend server, and
	// fails is the share of requests that fail in a bad one.
	bad, good time.Duration
	fails     float64
	// once and repeatable are the requests a second for each backend server.
	once, repeatable float64
	// errors is the share of requests that fail with an error at any time.
	errors float64
}

// replay returns the requests that must not be repeated and those of them that
// were lost, with and without trackers. Refused requests go to another backend
// server, as the ingress node does.
func replay(seed uint64, l load, tracked bool) (sent, lost int) {
	rng := rand.New(rand.NewPCG(seed, 1))
	type server struct {
		Tracker
		bad  bool
		flip time.Time
	}
	servers := make([]*server, l.servers)
	phase := func(s *server, now time.Time) {
		mean := l.good
		if s.bad {
			mean = l.bad
		}
		s.flip = now.Add(time.Duration(rng.ExpFloat64() * float64(mean)))
	}
	var ends UnservedRate
	now := start
	for i := range servers {
		servers[i] = &server{bad: rng.Float64() < float64(l.bad)/float64(l.bad+l.good)}
		phase(servers[i], now)
	}
	run := func(s *server) bool {
		kind := evidence.Success
		switch {
		case s.bad && rng.Float64() < l.fails:
			kind = evidence.Reset
		case rng.Float64() < l.errors:
			kind = evidence.ServerError
		}
		if tracked {
			s.Observe(now, now, kind)
		}
		return kind == evidence.Success
	}
	rate := (l.once + l.repeatable) * float64(l.servers)
	for range int(rate * 300) {
		now = now.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		for _, s := range servers {
			if now.After(s.flip) {
				s.bad = !s.bad
				phase(s, now)
			}
		}
		once := rng.Float64() < l.once/(l.once+l.repeatable)
		if once {
			sent++
		}
		for n, i := range rng.Perm(l.servers) {
			s := servers[i]
			offer := Request{TrialAllowed: !once, Explore: n > 0 && ends.High(now), NoBetterBackend: n == l.servers-1}
			if tracked && s.Admit(now, offer) == Refuse {
				continue
			}
			ok := run(s)
			if !ok && !once {
				continue // tried elsewhere
			}
			if !ok {
				lost++
			}
			ends.Add(now, ok)
			break
		}
	}
	return sent, lost
}

// Guards against bookings that are lost on backend servers that fail 85% of their
// requests for 9 s at a time, a third of them at any moment, and against errors of
// 1.2% that are taken for such a failure.
func TestReplayOfGrayPhases(t *testing.T) {
	gray := load{servers: 12, bad: 9 * time.Second, good: 20 * time.Second, fails: 0.85, once: 4, repeatable: 1.2, errors: 0.012}
	half := gray
	half.fails = 0.5
	healthy := gray
	healthy.bad, healthy.good, healthy.errors = time.Nanosecond, time.Hour, 0.012
	for _, c := range []struct {
		name string
		load load
		// most is the share of requests that may be lost beyond the errors.
		most float64
	}{
		// A backend server turns bad every 29 s and is sent 4.2 requests/s when
		// healthy, so the first failure of each phase alone is 1%.
		{"85% of the requests fail", gray, 0.03},
		{"half of the requests fail", half, 0.04},
		{"nothing but base errors", healthy, 0.001},
	} {
		t.Run(c.name, func(t *testing.T) {
			var sent, lost, lostWithout int
			for seed := range uint64(20) {
				s, l := replay(seed, c.load, true)
				sent, lost = sent+s, lost+l
				_, l = replay(seed, c.load, false)
				lostWithout += l
			}
			share := float64(lost) / float64(sent)
			t.Logf("%d requests, %.2f%% lost; without trackers %.2f%%", sent, 100*share, 100*float64(lostWithout)/float64(sent))
			if share > c.load.errors+c.most {
				t.Fatalf("%.2f%% of the requests that must not be repeated were lost", 100*share)
			}
		})
	}
}

// Guards against tests of suspects at the expense of requests where a service has
// enough, and against a service that counts as short long after.
func TestOutcomes(t *testing.T) {
	var o UnservedRate
	if o.High(start) {
		t.Fatal("short without a request")
	}
	for range 19 {
		o.Add(start, true)
	}
	o.Add(start, false)
	if o.High(start) {
		t.Fatal("short with 5% not served")
	}
	o.Add(start, false)
	if !o.High(start) {
		t.Fatal("not short with 10% not served")
	}
	if o.High(start.Add(10 * halfLife)) {
		t.Fatal("short long after the last request")
	}
}
