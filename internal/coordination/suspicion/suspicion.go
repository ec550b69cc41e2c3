package suspicion

import (
	"math"
	"sync"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/evidence"
)

const (
	// threshold is the score at which a backend server becomes suspect.
	threshold = 1.0
	// hardScore is the score of a failure that practically never occurs at healthy
	// backend servers.
	hardScore = 1.0
	// softScore is the score of a failure that ends about 1 in 100 requests to a
	// healthy backend server.
	softScore = 0.55
	// successFactor multiplies the score after each success.
	successFactor = 0.6
	// halfLife is the half-life of a score and of the weight of an ended request.
	halfLife = 4 * time.Second
	// trialInterval is the time between the starts of two trials.
	trialInterval = 200 * time.Millisecond
	// trialBackoff multiplies the interval after each failed trial, up to maxTrialInterval. A
	// fault lasts for seconds, and each failed trial takes a retry from the requests that
	// other faults hit.
	trialBackoff     = 1.5
	maxTrialInterval = time.Second
	// explorationDelay is the time without a trial after which a request with Explore
	// may be one. The recovery of a backend server is then detected even if there is
	// no retry budget left for failed trials.
	explorationDelay = 1500 * time.Millisecond
	// minTrials and maxTrials limit the number of consecutive successful trials that
	// clear a suspicion. A backend server that fails 85% of its requests passes three
	// trials with a probability of 0.3%.
	minTrials = 3
	maxTrials = 5
	// relapseWindow is the time after a cleared suspicion in which a new suspicion
	// needs one more trial than the last one.
	relapseWindow = 10 * time.Second
	// trialTimeout is the time after the start of the last trial after which no trial
	// counts as running, so that a lost report does not block further trials.
	trialTimeout = 5 * time.Second
)

// Verdict is the result of Admit and Recheck.
type Verdict uint8

// Verdicts.
const (
	// Allow means that the backend server is not suspect, or that no other one is
	// better.
	Allow Verdict = iota
	// Trial means that the request tests a suspect backend server. Its end is reported
	// with Observe like that of any other request.
	Trial
	// Refuse means that the request should run elsewhere.
	Refuse
)

// Change is how an observation changed the suspicion.
type Change uint8

// Changes.
const (
	None Change = iota
	Suspected
	Cleared
)

// Tracker keeps the suspicion of one backend server. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	score   float64
	updated time.Time
	suspect bool
	// suspectSince is when the suspicion began. clearedAt is when the last one ended.
	suspectSince, clearedAt time.Time
	// trialsNeeded and trialsPassed count the trials of the current suspicion.
	trialsNeeded, trialsPassed int
	lastTrial                  time.Time
	// interval is the current time between the starts of two trials.
	interval time.Duration
	// trialsRunning counts the trials that have not ended.
	trialsRunning int
	// nextTurn is the time of the last turn that RetryAfter has given to a sender.
	nextTurn time.Time
}

// Request describes a request that needs admission.
type Request struct {
	// TrialAllowed marks a request that may be a trial at any time, because it is
	// retried elsewhere if it fails or has no other backend server left.
	TrialAllowed bool
	// Explore marks a request that may run again or was tried elsewhere before, of a
	// service whose UnservedRate is high.
	Explore bool
	// NoBetterBackend marks a request for which no other backend server is better.
	NoBetterBackend bool
}

// Admit decides whether the backend server may run a request.
func (t *Tracker) Admit(now time.Time, r Request) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.suspect || r.NoBetterBackend {
		return Allow
	}
	if r.TrialAllowed && t.trialDue(now, minTrials) || r.Explore && now.Sub(t.lastTrial) >= explorationDelay && t.trialDue(now, 1) {
		t.lastTrial = now
		t.trialsRunning++
		return Trial
	}
	return Refuse
}

// Recheck decides again about a request that was admitted and then waited, for example
// in the queue. It refuses a request that must not be repeated if the backend server has
// become suspect meanwhile. Trials and requests without a better backend server are
// still allowed.
func (t *Tracker) Recheck(idempotent, trial, noBetterBackend bool) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.suspect && !idempotent && !trial && !noBetterBackend {
		return Refuse
	}
	return Allow
}

// minRetryDelay and maxRetryDelay bound the results of RetryAfter.
const (
	minRetryDelay = trialInterval
	maxRetryDelay = 3 * time.Second
)

// RetryAfter returns how long the sender of a refused request should avoid the backend server.
//
// A request that could have been a trial may return when its turn comes: the senders get
// different times, at the rate at which trials may start, so that they neither arrive together
// nor leave the backend server without trials. Any other request may return when the suspicion
// is likely to have ended. Faults have widely different durations, so the longer one has
// lasted, the longer it is likely to last; half of its age is a cautious estimate. Once a trial
// has passed, the suspicion ends after a few more.
func (t *Tracker) RetryAfter(now time.Time, trialAllowed bool) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.suspect || t.trialsPassed > 0 {
		return minRetryDelay
	}
	if !trialAllowed {
		return boundRetryDelay(now.Sub(t.suspectSince) / 2)
	}
	if t.nextTurn.Before(t.lastTrial) {
		t.nextTurn = t.lastTrial
	}
	if t.nextTurn.Before(now) {
		t.nextTurn = now
	}
	if t.nextTurn.Before(now.Add(maxRetryDelay)) {
		t.nextTurn = t.nextTurn.Add(trialInterval)
	}
	return boundRetryDelay(t.nextTurn.Sub(now))
}

func boundRetryDelay(d time.Duration) time.Duration { return min(max(d, minRetryDelay), maxRetryDelay) }

// EndTrial reports that an admitted trial ended without an outcome for Observe.
func (t *Tracker) EndTrial() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.trialsRunning = max(t.trialsRunning-1, 0)
}

// trialDue reports whether another trial may start. Once a trial has passed, one more
// than the number of passed trials may run at the same time. Otherwise up to limit trials
// may run, started at least trialInterval apart. A trial that has run for this long is
// likely to pass, because a faulty backend server fails requests early.
func (t *Tracker) trialDue(now time.Time, limit int) bool {
	if now.Sub(t.lastTrial) >= trialTimeout {
		t.trialsRunning = 0
	}
	if t.trialsPassed > 0 && t.trialsRunning <= t.trialsPassed {
		return true
	}
	return t.trialsRunning < limit && now.Sub(t.lastTrial) >= t.interval
}

// Observe records the end of an exchange that began at start. The success of an
// exchange that began before the suspicion does not count as a trial.
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
	if start.Before(t.suspectSince) {
		return None
	}
	t.trialsRunning = max(t.trialsRunning-1, 0)
	t.trialsPassed++
	t.interval = trialInterval
	if t.trialsPassed < t.trialsNeeded {
		return None
	}
	t.suspect, t.score, t.clearedAt = false, 0, now
	return Cleared
}

func (t *Tracker) failure(now time.Time, score float64) Change {
	t.score = min(t.score+score, 2*threshold)
	if t.suspect {
		t.trialsRunning, t.trialsPassed = max(t.trialsRunning-1, 0), 0
		t.interval = min(time.Duration(float64(t.interval)*trialBackoff), maxTrialInterval)
		return None
	}
	if t.score < threshold {
		return None
	}
	if !t.clearedAt.IsZero() && now.Sub(t.clearedAt) < relapseWindow {
		t.trialsNeeded = min(t.trialsNeeded+1, maxTrials)
	} else {
		t.trialsNeeded = minTrials
	}
	t.suspect, t.suspectSince, t.trialsPassed = true, now, 0
	t.trialsRunning, t.lastTrial, t.interval = 0, now, trialInterval
	return Suspected
}

func (t *Tracker) decay(now time.Time) {
	if !t.updated.IsZero() && now.After(t.updated) {
		t.score *= math.Exp2(-float64(now.Sub(t.updated)) / float64(halfLife))
	}
	t.updated = now
}

// Suspect reports whether the backend server is suspect.
func (t *Tracker) Suspect() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspect
}
