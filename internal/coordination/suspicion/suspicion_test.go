package suspicion

import (
	"math/rand/v2"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/evidence"
)

var start = time.Unix(1_000_000, 0)

// step is one input of a test case with the expected result.
type step struct {
	after time.Duration
	// observe is the kind of an exchange that ends now and began age before.
	observe *evidence.Kind
	age     time.Duration
	change  Change
	// admit calls Admit with the request and expects the verdict.
	admit   bool
	request Request
	verdict Verdict
}

func observed(kind evidence.Kind, change Change) step { return step{observe: &kind, change: change} }

func admission(trialAllowed, noBetterBackend bool, verdict Verdict) step {
	return step{admit: true, request: Request{TrialAllowed: trialAllowed, NoBetterBackend: noBetterBackend}, verdict: verdict}
}

func exploringAdmission(verdict Verdict) step {
	return step{admit: true, request: Request{Explore: true}, verdict: verdict}
}

func after(d time.Duration, s step) step { s.after = d; return s }

// Guards against work that must not be repeated on a backend server that has just
// failed, a suspicion that never ends, and too many concurrent trials.
func TestTracker(t *testing.T) {
	old := observed(evidence.Success, None)
	old.age = time.Minute
	for name, steps := range map[string][]step{
		"a reset makes it suspect at once": {
			admission(false, false, Allow),
			observed(evidence.Reset, Suspected),
			admission(false, false, Refuse),
		},
		"one error is no evidence, two are": {
			observed(evidence.ServerError, None),
			admission(false, false, Allow),
			observed(evidence.ServerError, Suspected),
			admission(false, false, Refuse),
		},
		"successes between errors clear the score": {
			observed(evidence.ServerError, None),
			observed(evidence.Success, None), observed(evidence.Success, None), observed(evidence.Success, None),
			observed(evidence.ServerError, None),
			admission(false, false, Allow),
		},
		"errors far apart are no evidence": {
			observed(evidence.ServerError, None),
			after(time.Minute, observed(evidence.ServerError, None)),
			admission(false, false, Allow),
		},
		"canceled and shed requests are no evidence": {
			observed(evidence.Canceled, None), observed(evidence.Shed, None), observed(evidence.Canceled, None),
			admission(false, false, Allow),
		},
		"without a better backend server, all work is allowed": {
			observed(evidence.Reset, Suspected),
			admission(false, true, Allow),
		},
		"one trial at a time, after an interval": {
			observed(evidence.Reset, Suspected),
			admission(true, false, Refuse),
			after(trialInterval, admission(true, false, Trial)),
			admission(true, false, Refuse),
			observed(evidence.Reset, None),
			admission(true, false, Refuse),
			after(trialInterval, admission(true, false, Refuse)),
			after(trialInterval/2, admission(true, false, Trial)),
		},
		"failed trials start ever later, and a success restores the interval": {
			observed(evidence.Reset, Suspected),
			after(maxTrialInterval, admission(true, false, Trial)), observed(evidence.Reset, None),
			after(maxTrialInterval, admission(true, false, Trial)), observed(evidence.Reset, None),
			after(maxTrialInterval, admission(true, false, Trial)), observed(evidence.Reset, None),
			after(maxTrialInterval, admission(true, false, Trial)), observed(evidence.Reset, None),
			after(maxTrialInterval-1, admission(true, false, Refuse)),
			after(1, admission(true, false, Trial)), observed(evidence.Success, None),
			admission(true, false, Trial), observed(evidence.Reset, None),
			after(3*trialInterval/2, admission(true, false, Trial)),
		},
		"without trials, an exploring request becomes one after a delay": {
			observed(evidence.Reset, Suspected),
			after(explorationDelay-1, exploringAdmission(Refuse)),
			after(1, admission(false, false, Refuse)),
			exploringAdmission(Trial),
			exploringAdmission(Refuse),
			observed(evidence.Success, None),
			exploringAdmission(Refuse),
			after(explorationDelay, exploringAdmission(Trial)),
			after(explorationDelay-1, exploringAdmission(Refuse)),
		},
		"as many trials may run as clear the suspicion": {
			observed(evidence.Reset, Suspected),
			after(trialInterval, admission(true, false, Trial)),
			after(trialInterval-1, admission(true, false, Refuse)),
			after(1, admission(true, false, Trial)),
			after(trialInterval, admission(true, false, Trial)),
			after(trialInterval, admission(true, false, Refuse)),
			observed(evidence.Success, None), observed(evidence.Success, None), observed(evidence.Success, Cleared),
		},
		"no request explores while a trial runs": {
			observed(evidence.Reset, Suspected),
			after(explorationDelay, exploringAdmission(Trial)),
			after(explorationDelay, exploringAdmission(Refuse)),
		},
		"trials overlap after the first success and clear it": {
			observed(evidence.Reset, Suspected),
			after(trialInterval, admission(true, false, Trial)),
			observed(evidence.Success, None),
			admission(true, false, Trial), admission(true, false, Trial), admission(true, false, Refuse),
			observed(evidence.Success, None),
			observed(evidence.Success, Cleared),
			admission(false, false, Allow),
		},
		"a relapse needs one more trial": {
			observed(evidence.Reset, Suspected),
			observed(evidence.Success, None), observed(evidence.Success, None), observed(evidence.Success, Cleared),
			observed(evidence.Reset, Suspected),
			observed(evidence.Success, None), observed(evidence.Success, None), observed(evidence.Success, None),
			observed(evidence.Success, Cleared),
		},
		"an exchange from before the suspicion does not count": {
			observed(evidence.Reset, Suspected),
			old, old, old, old, old,
			admission(false, false, Refuse),
		},
		"a trial without an end does not block the next one forever": {
			observed(evidence.Reset, Suspected),
			after(trialInterval, admission(true, false, Trial)),
			after(trialTimeout, admission(true, false, Trial)),
		},
	} {
		t.Run(name, func(t *testing.T) {
			tr, now := &Tracker{}, start
			for i, s := range steps {
				now = now.Add(s.after)
				if s.admit {
					if got := tr.Admit(now, s.request); got != s.verdict {
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

// Guards against a request that must not be repeated and still runs although its backend
// server became suspect while the request waited.
func TestRecheckAfterWait(t *testing.T) {
	tr := &Tracker{}
	if tr.Recheck(false, false, false) != Allow {
		t.Fatal("request refused although the backend server is not suspect")
	}
	tr.Observe(start, start, evidence.Reset)
	if tr.Recheck(false, false, false) != Refuse || tr.Recheck(true, false, false) != Allow ||
		tr.Recheck(false, true, false) != Allow || tr.Recheck(false, false, true) != Allow {
		t.Fatal("wrong verdict on a request that waited")
	}
}

// workload describes the requests of a service whose backend servers alternate between
// good phases and bad phases, in which they fail a part of their requests.
type workload struct {
	servers int
	// bad and good are the mean durations of the phases of a backend server. fails is
	// the share of requests that fail in a bad phase.
	bad, good time.Duration
	fails     float64
	// nonIdempotent and idempotent are the requests per second for each backend server.
	nonIdempotent, idempotent float64
	// errors is the share of requests that fail with an error at any time.
	errors float64
}

// simulate simulates a workload for about 300 s, with or without trackers. It returns
// the number of requests that must not be repeated and how many of them were lost.
// Refused requests go to another backend server, as at the ingress node.
func simulate(seed uint64, l workload, tracked bool) (sent, lost int) {
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
	var unserved UnservedRate
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
	rate := (l.nonIdempotent + l.idempotent) * float64(l.servers)
	for range int(rate * 300) {
		now = now.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		for _, s := range servers {
			if now.After(s.flip) {
				s.bad = !s.bad
				phase(s, now)
			}
		}
		mustNotRepeat := rng.Float64() < l.nonIdempotent/(l.nonIdempotent+l.idempotent)
		if mustNotRepeat {
			sent++
		}
		for n, i := range rng.Perm(l.servers) {
			s := servers[i]
			request := Request{TrialAllowed: !mustNotRepeat, Explore: n > 0 && unserved.High(now), NoBetterBackend: n == l.servers-1}
			if tracked && s.Admit(now, request) == Refuse {
				continue
			}
			ok := run(s)
			if !ok && !mustNotRepeat {
				continue // retried elsewhere
			}
			if !ok {
				lost++
			}
			unserved.Add(now, ok)
			break
		}
	}
	return sent, lost
}

// Guards against bookings that are lost on backend servers that fail 85% of their
// requests for 9 s at a time. A third of the backend servers does so at any time.
// Also guards against a suspicion because of the normal error rate of 1.2%.
func TestGrayFailuresLoseFewRequests(t *testing.T) {
	gray := workload{servers: 12, bad: 9 * time.Second, good: 20 * time.Second, fails: 0.85, nonIdempotent: 4, idempotent: 1.2, errors: 0.012}
	half := gray
	half.fails = 0.5
	healthy := gray
	healthy.bad, healthy.good, healthy.errors = time.Nanosecond, time.Hour, 0.012
	for _, c := range []struct {
		name string
		load workload
		// maxLost is the share of requests that may be lost in addition to the errors.
		maxLost float64
	}{
		// Each backend server enters a bad phase every 29 s and gets 4.2 requests/s
		// when healthy. The first failure of each phase alone is therefore 1% of its
		// requests.
		{"85% of the requests fail", gray, 0.03},
		{"half of the requests fail", half, 0.04},
		{"nothing but base errors", healthy, 0.001},
	} {
		t.Run(c.name, func(t *testing.T) {
			var sent, lost, lostWithout int
			for seed := range uint64(20) {
				s, l := simulate(seed, c.load, true)
				sent, lost = sent+s, lost+l
				_, l = simulate(seed, c.load, false)
				lostWithout += l
			}
			share := float64(lost) / float64(sent)
			t.Logf("%d requests, %.2f%% lost; without trackers %.2f%%", sent, 100*share, 100*float64(lostWithout)/float64(sent))
			if share > c.load.errors+c.maxLost {
				t.Fatalf("%.2f%% of the requests that must not be repeated were lost", 100*share)
			}
		})
	}
}

// Guards against trials that cost requests while a service has enough capacity, and
// against a high share that lasts long after the last unserved request.
func TestUnservedRate(t *testing.T) {
	var u UnservedRate
	if u.High(start) {
		t.Fatal("high share without a request")
	}
	for range 19 {
		u.Add(start, true)
	}
	u.Add(start, false)
	if u.High(start) {
		t.Fatal("high share with 5% not served")
	}
	u.Add(start, false)
	if !u.High(start) {
		t.Fatal("share not high with 10% not served")
	}
	if u.High(start.Add(10 * halfLife)) {
		t.Fatal("high share long after the last request")
	}
}
