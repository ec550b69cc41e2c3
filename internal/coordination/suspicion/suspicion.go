package suspicion

import (
	"math"
	"sync"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/evidence"
)

const (
	// threshold is the score from which a backend server is suspect.
	threshold = 1.0
	// hardScore is the score of a failure that healthy backend servers do not show.
	hardScore = 1.0
	// softScore is the score of a failure that about 1 in 100 requests to a healthy
	// backend server ends with.
	softScore = 0.55
	// successFactor reduces the score with each success.
	successFactor = 0.6
	// halfLife is the time in which a score, and the weight of an ended request,
	// halves.
	halfLife = 4 * time.Second
	// trialInterval is the time between the starts of two trials. With a third of
	// the backend servers suspect, failed trials then stay below a tenth of the
	// arrivals.
	trialInterval = 200 * time.Millisecond
	// starved is the time without a trial after which any request that explores may
	// be one. A backend server that is sound again is then noticed also where the
	// retries that make failed trials good are spent.
	starved = 1500 * time.Millisecond
	// minTrials and maxTrials bound the successive trials that clear a suspicion.
	// A backend server that fails 85 of 100 requests passes three with 0.3%.
	minTrials = 3
	maxTrials = 5
	// relapse is the time after a cleared suspicion in which the next one needs one
	// more trial.
	relapse = 10 * time.Second
	// trialTimeout is when a trial whose end was not reported counts as failed, so
	// that a lost report does not block the next one.
	trialTimeout = 5 * time.Second
)

// Verdict is the answer to Admit.
type Verdict uint8

// Verdicts.
const (
	// Allow: the backend server is trusted, or no more suspect than the others.
	Allow Verdict = iota
	// Trial: the request tests a suspect backend server. Its end is reported by
	// Observe like that of any other.
	Trial
	// Refuse: the request should run elsewhere.
	Refuse
)

// Change says what an observation changed.
type Change uint8

// Changes.
const (
	None Change = iota
	Suspected
	Cleared
)

// Tracker follows one backend server. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	score   float64
	at      time.Time
	suspect bool
	// since is when the suspicion began, cleared when the last one ended.
	since, cleared time.Time
	// needed and passed count the trials of the current suspicion.
	needed, passed int
	lastTrial      time.Time
	// running counts the trials that have not ended.
	running int
}

// Request is a request that asks for admission.
type Request struct {
	// TrialAllowed marks a request that may be a trial at any time: it is tried elsewhere
	// if it fails, or nothing else is left for it.
	TrialAllowed bool
	// Explore marks a request that may run again or was tried elsewhere before, of a
	// service that is short; see Outcomes.
	Explore bool
	// NoBetterBackend says that no other backend server is better for the request.
	NoBetterBackend bool
}

// Admit decides about a request.
func (t *Tracker) Admit(now time.Time, o Request) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.suspect || o.NoBetterBackend {
		return Allow
	}
	if o.TrialAllowed && t.trialDue(now, minTrials) || o.Explore && now.Sub(t.lastTrial) >= starved && t.trialDue(now, 1) {
		t.lastTrial = now
		t.running++
		return Trial
	}
	return Refuse
}

// Recheck decides about a request that was allowed and then waited. It refuses
// one that must not be repeated if the backend server became suspect meanwhile,
// unless it is a trial.
func (t *Tracker) Recheck(idempotent, trial, noBetter bool) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.suspect && !idempotent && !trial && !noBetter {
		return Refuse
	}
	return Allow
}

// EndTrial reports that an admitted trial ended without evidence.
func (t *Tracker) EndTrial() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running = max(t.running-1, 0)
}

// trialDue lets one trial run at once for each that has passed, and one more. Up to
// most run in any case, an interval apart: a trial that has run for an interval is
// likely to pass, because failures of a sick backend server come early.
func (t *Tracker) trialDue(now time.Time, most int) bool {
	if now.Sub(t.lastTrial) >= trialTimeout {
		t.running = 0
	}
	if t.passed > 0 && t.running <= t.passed {
		return true
	}
	return t.running < most && now.Sub(t.lastTrial) >= trialInterval
}

// Observe takes the end of an exchange that began at start. An exchange that began
// before the suspicion says nothing about the time since.
func (t *Tracker) Observe(now, start time.Time, kind evidence.Kind) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decay(now)
	switch kind {
	case evidence.Success:
		return t.success(now, start)
	case evidence.Reset, evidence.Truncated:
		return t.failure(now, hardScore)
	case evidence.ServerError, evidence.Timeout, evidence.Overdue:
		return t.failure(now, softScore)
	}
	return None
}

func (t *Tracker) success(now, start time.Time) Change {
	if !t.suspect {
		t.score *= successFactor
		return None
	}
	if start.Before(t.since) {
		return None
	}
	t.running = max(t.running-1, 0)
	t.passed++
	if t.passed < t.needed {
		return None
	}
	t.suspect, t.score, t.cleared = false, 0, now
	return Cleared
}

func (t *Tracker) failure(now time.Time, score float64) Change {
	t.score = min(t.score+score, 2*threshold)
	if t.suspect {
		t.running, t.passed = max(t.running-1, 0), 0
		return None
	}
	if t.score < threshold {
		return None
	}
	if !t.cleared.IsZero() && now.Sub(t.cleared) < relapse {
		t.needed = min(t.needed+1, maxTrials)
	} else {
		t.needed = minTrials
	}
	t.suspect, t.since, t.passed = true, now, 0
	t.running, t.lastTrial = 0, now
	return Suspected
}

func (t *Tracker) decay(now time.Time) {
	if !t.at.IsZero() && now.After(t.at) {
		t.score *= math.Exp2(-float64(now.Sub(t.at)) / float64(halfLife))
	}
	t.at = now
}

// Suspect reports whether the backend server is suspect.
func (t *Tracker) Suspect() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspect
}
