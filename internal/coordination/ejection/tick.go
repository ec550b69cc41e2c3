package ejection

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"wigeonspring.example/wigeonspring/internal/invariant"
	"wigeonspring.example/wigeonspring/internal/state/event"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Tick returns the decisions that are due. The view must already reflect the
// decisions of earlier ticks.
func (c *Core) Tick(now time.Time, view View) []Decision {
	if !c.lastTick.IsZero() && now.Sub(c.lastTick) > pauseThreshold {
		for _, s := range c.order {
			// The permit remains with the permit holder, which confirms it when
			// it is requested again.
			if s.state == Ejected {
				s.unconfirmed = true
			} else {
				s.permit = Permit{}
			}
		}
	}
	c.lastTick = now
	out := c.pendingReleases
	c.pendingReleases = nil
	// remaining is the view with the decisions of this tick applied.
	remaining := make(View, len(view))
	for id, v := range view {
		remaining[id] = v
	}
	for _, s := range c.order {
		if v := remaining[s.service]; s.state == Ejected && v.Serving < v.Floor {
			out = c.returnEarly(now, s.service, remaining, out)
		}
	}
	c.resetOnServiceChange(now)
	for _, s := range c.order {
		switch s.state {
		case Ejected:
			if !now.Before(s.ejectedUntil) {
				reason := ReasonBackoffOver
				if s.revoked {
					reason = ReasonPermitRevoked
				}
				out = append(out, c.beginProbation(now, s, remaining, reason))
			}
			continue
		case InProbation:
			out = c.decideProbation(now, s, remaining, out)
		default:
			out = c.decide(now, s, remaining, out)
		}
		s.dirty = false
	}
	return out
}

// decide returns the decisions for a server that is healthy, suspected or degraded.
func (c *Core) decide(now time.Time, s *server, remaining View, out []Decision) []Decision {
	if !s.requestedAt.IsZero() && now.Sub(s.requestedAt) >= c.opts.PermitTimeout {
		c.PermitRefused(now, s.id, ReasonPermitUnanswered)
	}
	if s.state == Healthy && !s.dirty {
		return out
	}
	if !s.detector.Failing(now) {
		s.refusalReason, s.failingSince = "", time.Time{}
		if s.permit.ID != "" {
			out = append(out, c.releasePermit(s, ReasonPermitNotUsed))
		}
		switch {
		case s.state == Suspected:
			s.state = Healthy
		case s.state == Degraded && s.successes >= c.opts.ProbationSuccesses:
			out = append(out, c.releasePermit(s, ReasonRecovered), c.restore(s, remaining))
		}
		return out
	}
	switch {
	case s.permit.ID != "":
		if c.mayEject(s, remaining) {
			return append(out, c.eject(now, s, remaining, ""))
		}
		out = append(out, c.releasePermit(s, ReasonFloor))
		c.backOffRequest(now, s)
		return c.degrade(now, s, remaining, ReasonFloor, out)
	case s.refusalReason != "":
		reason := s.refusalReason
		s.refusalReason = ""
		if !c.mayDegrade(s, remaining) {
			return out
		}
		return c.degrade(now, s, remaining, reason, out)
	case !s.requestedAt.IsZero():
		if s.state == Healthy {
			s.state = Suspected
		}
		return out
	case now.Before(s.nextRequestAt):
		return out
	case !c.confirmed(now, s):
		return out
	case !c.mayEject(s, remaining):
		// The floor forbids an ejection even with a permit, so none is requested.
		c.backOffRequest(now, s)
		return c.degrade(now, s, remaining, ReasonFloor, out)
	}
	if s.state == Healthy {
		s.state = Suspected
	}
	s.requestedAt = now
	v := s.detector.Verdict(now)
	return append(out, c.decision(RequestPermit, s, remaining, v.Reason, v))
}

// resetOnServiceChange discards the evidence about a server when the rest of its
// service suddenly becomes worse, because the evidence was collected against a
// baseline that is no longer valid.
func (c *Core) resetOnServiceChange(now time.Time) {
	for _, s := range c.order {
		if s.baseline.detectJump(now) && s.state != Ejected {
			s.detector.Reset()
			s.failures, s.failingSince = 0, time.Time{}
		}
	}
}

// confirmed reports whether the detector has reported a failure for long enough.
// The delay is needed because the reports of the ingress nodes arrive with the
// exchanges: a failure of the whole service shows in the baseline a little later
// than in the samples of one server.
func (c *Core) confirmed(now time.Time, s *server) bool {
	if s.failingSince.IsZero() {
		s.failingSince, s.confirmingSamples = now, 0
	}
	wait := interpolate(c.serviceState(s.service).detectionWeight, float64(c.opts.ConfirmLong), float64(c.opts.ConfirmShort))
	return float64(now.Sub(s.failingSince)) >= wait && s.confirmingSamples >= c.opts.ConfirmSamples
}

// commonFailureRate is the failure rate of the service at which ProbationFailures
// no longer applies, because a few failures say nothing about a server then. The
// detector, which compares the server with the service, still judges it.
const commonFailureRate = 0.1

// decideProbation returns the decisions for a server in probation. The permit of
// its ejection is still held, so that it can be ejected again at once if it fails,
// even during a platform outage.
func (c *Core) decideProbation(now time.Time, s *server, remaining View, out []Decision) []Decision {
	if !s.dirty {
		return out
	}
	failing := s.detector.Failing(now)
	switch {
	case failing || s.failures >= c.opts.ProbationFailures && s.baseline.failureRate < commonFailureRate:
		reason := ""
		if !failing {
			reason = ReasonProbationFailed
		}
		if s.permit.ID == "" {
			// The server returned early, without its permit, or the permit is
			// unconfirmed. A new one is requested while the server is degraded.
			return c.degrade(now, s, remaining, ReasonProbationFailed, out)
		}
		if c.mayEject(s, remaining) {
			return append(out, c.eject(now, s, remaining, reason))
		}
		out = append(out, c.releasePermit(s, ReasonFloor))
		c.backOffRequest(now, s)
		return c.degrade(now, s, remaining, ReasonFloor, out)
	case s.successes >= c.opts.ProbationSuccesses:
		// After a pause, the permit holder may hold a permit that the core does not
		// know, so the permit is released in any case.
		out = append(out, c.releasePermit(s, ReasonRecovered), c.restore(s, remaining))
	}
	return out
}

// returnEarly returns ejected servers to service while their service is below its
// floor, starting with the lowest score. Their permits are released, because the
// servers count as serving again.
func (c *Core) returnEarly(now time.Time, id registry.ServiceID, remaining View, out []Decision) []Decision {
	var ejected []*server
	for _, s := range c.order {
		if s.service == id && s.state == Ejected {
			ejected = append(ejected, s)
		}
	}
	slices.SortStableFunc(ejected, func(a, b *server) int {
		return cmp.Or(cmp.Compare(a.score, b.score), a.ejectedUntil.Compare(b.ejectedUntil))
	})
	for _, s := range ejected {
		if remaining[id].Serving >= remaining[id].Floor {
			break
		}
		out = append(out, c.beginProbation(now, s, remaining, ReasonBelowFloor), c.releasePermit(s, ReasonBelowFloor))
	}
	return out
}

// mayEject reports whether s may be ejected: the capacity without s must be at
// least the floor, and the permit of s, if any, must be within the allowance. A
// service without a view has no known floor, so no server of it may be ejected.
func (c *Core) mayEject(s *server, remaining View) bool {
	v, ok := remaining[s.service]
	if s.permit.ID != "" && s.permit.Position > v.Serving+v.Ejected-v.Floor && !c.opts.IgnorePermitPosition {
		return false
	}
	return ok && v.Serving-1 >= v.Floor && v.Capacity-s.weight() >= float64(v.Floor)-1e-9
}

// mayDegrade reports whether s may be degraded without a permit. A degraded server
// adds little to the capacity. Enough must remain for one ejection, because
// another owner may hold a permit for one, for example during a platform outage.
// If the floor forbids any ejection, s may always be degraded.
func (c *Core) mayDegrade(s *server, remaining View) bool {
	v, ok := remaining[s.service]
	if !ok || v.Serving-1 < v.Floor {
		return true
	}
	return v.Capacity-(s.weight()-DegradedWeight)-1 >= float64(v.Floor)-1e-9
}

func (s *server) weight() float64 {
	if s.state == Degraded {
		return DegradedWeight
	}
	return 1
}

func (c *Core) eject(now time.Time, s *server, remaining View, reason string) Decision {
	verdict := s.detector.Verdict(now)
	if reason == "" {
		reason = verdict.Reason
	}
	v := remaining[s.service]
	v.Serving--
	v.Ejected++
	v.Capacity -= s.weight()
	remaining[s.service] = v
	invariant.Check(v.Serving >= v.Floor, "floor", "service %s: ejecting %s leaves %d of floor %d",
		s.service, s.id, v.Serving, v.Floor)
	exponent := s.decayedExponent(now, c.opts.BackoffDecay)
	wait := float64(c.opts.BackoffBase) * math.Exp2(exponent)
	s.ejectedUntil = now.Add(time.Duration(min(wait, float64(c.opts.BackoffMax))))
	s.backoffExponent = exponent + 1
	s.state = Ejected
	s.score = verdict.Score
	s.refusalReason = ""
	d := c.decision(Eject, s, remaining, reason, verdict)
	d.Weight, d.Permit = 0, s.permit
	d.Evidence = append(d.Evidence, event.Field{Key: "backoff", Value: s.ejectedUntil.Sub(now).String()})
	return d
}

// decayedExponent returns the backoff exponent, which decays linearly with the time
// in service.
func (s *server) decayedExponent(now time.Time, decay time.Duration) float64 {
	if s.returnedAt.IsZero() {
		return 0
	}
	return s.backoffExponent * max(0, 1-float64(now.Sub(s.returnedAt))/float64(decay))
}

func (c *Core) beginProbation(now time.Time, s *server, remaining View, reason string) Decision {
	v := remaining[s.service]
	v.Serving++
	v.Ejected--
	v.Capacity++
	remaining[s.service] = v
	s.state = InProbation
	s.returnedAt, s.revoked = now, false
	if s.unconfirmed {
		s.permit, s.unconfirmed = Permit{}, false
	}
	s.successes, s.failures = 0, 0
	s.detector.Reset()
	return c.decision(BeginProbation, s, remaining, reason, Verdict{Score: s.score})
}

func (c *Core) degrade(now time.Time, s *server, remaining View, reason string, out []Decision) []Decision {
	if s.state == Degraded {
		return out
	}
	verdict := s.detector.Verdict(now)
	if v, ok := remaining[s.service]; ok {
		v.Capacity -= 1 - DegradedWeight
		remaining[s.service] = v
	}
	s.state = Degraded
	s.successes = 0
	d := c.decision(Degrade, s, remaining, reason, verdict)
	d.Weight = DegradedWeight
	return append(out, d)
}

func (c *Core) restore(s *server, remaining View) Decision {
	if v, ok := remaining[s.service]; ok {
		v.Capacity += 1 - s.weight()
		remaining[s.service] = v
	}
	s.state = Healthy
	s.requestBackoff, s.nextRequestAt = 0, time.Time{}
	return c.decision(Restore, s, remaining, ReasonRecovered, Verdict{})
}

func (c *Core) releasePermit(s *server, reason string) Decision {
	d := Decision{Action: ReleasePermit, Backend: s.id, Service: s.service, Weight: 1, Permit: s.permit, Reason: reason}
	s.permit = Permit{}
	return d
}

// backOffRequest postpones the next permit request with exponential backoff.
func (c *Core) backOffRequest(now time.Time, s *server) {
	s.requestBackoff = min(max(2*s.requestBackoff, c.opts.PermitRetry), c.opts.PermitRetryMax)
	s.nextRequestAt = now.Add(s.requestBackoff)
}

func (c *Core) decision(a Action, s *server, remaining View, reason string, v Verdict) Decision {
	view := remaining[s.service]
	return Decision{
		Action: a, Backend: s.id, Service: s.service, Weight: 1, Reason: reason,
		Evidence: append(v.Evidence,
			event.Field{Key: "score", Value: formatFloat(v.Score)},
			event.Field{Key: "successes", Value: strconv.Itoa(s.successes)},
			event.Field{Key: "floor", Value: strconv.Itoa(view.Floor)},
			event.Field{Key: "serving_after", Value: strconv.Itoa(view.Serving)},
			event.Field{Key: "capacity_after", Value: formatFloat(view.Capacity)},
		),
	}
}
