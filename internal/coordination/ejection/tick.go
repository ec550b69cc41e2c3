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
	if !c.lastTick.IsZero() && now.Sub(c.lastTick) > pauseLimit {
		for _, s := range c.order {
			// The permit stays with its holder, which confirms it on request.
			if s.state == Ejected {
				s.unconfirmed = true
			} else {
				s.permit = Permit{}
			}
		}
	}
	c.lastTick = now
	out := c.unused
	c.unused = nil
	// left is what remains of the view after the decisions of this tick.
	left := make(View, len(view))
	for id, v := range view {
		left[id] = v
	}
	for _, s := range c.order {
		if v := left[s.service]; s.state == Ejected && v.Serving < v.Floor {
			out = c.returnEarly(now, s.service, left, out)
		}
	}
	c.forgetOnJump(now)
	for _, s := range c.order {
		switch s.state {
		case Ejected:
			if !now.Before(s.until) {
				reason := ReasonBackoffOver
				if s.revoked {
					reason = ReasonRevoked
				}
				out = append(out, c.probation(now, s, left, reason))
			}
			continue
		case InProbation:
			out = c.judgeProbation(now, s, left, out)
		default:
			out = c.judge(now, s, left, out)
		}
		s.dirty = false
	}
	return out
}

// judge decides about a server that is healthy, suspected or degraded.
func (c *Core) judge(now time.Time, s *server, left View, out []Decision) []Decision {
	if !s.asked.IsZero() && now.Sub(s.asked) >= c.opts.PermitTimeout {
		c.PermitRefused(now, s.id, ReasonNoAnswer)
	}
	if s.state == Healthy && !s.dirty {
		return out
	}
	if !s.detector.Failing(now) {
		s.refused, s.failingSince = "", time.Time{}
		if s.permit.ID != "" {
			out = append(out, c.release(s, ReasonNotUsed))
		}
		switch {
		case s.state == Suspected:
			s.state = Healthy
		case s.state == Degraded && s.successes >= c.opts.ProbationSuccesses:
			out = append(out, c.release(s, ReasonRecovered), c.restore(s, left))
		}
		return out
	}
	switch {
	case s.permit.ID != "":
		if c.mayRemove(s, left) {
			return append(out, c.eject(now, s, left, ""))
		}
		out = append(out, c.release(s, ReasonFloor))
		c.delayRequest(now, s)
		return c.degrade(now, s, left, ReasonFloor, out)
	case s.refused != "":
		reason := s.refused
		s.refused = ""
		if !c.roomForHolder(s, left) {
			return out
		}
		return c.degrade(now, s, left, reason, out)
	case !s.asked.IsZero():
		if s.state == Healthy {
			s.state = Suspected
		}
		return out
	case now.Before(s.askAgain):
		return out
	case !c.confirmed(now, s):
		return out
	case !c.mayRemove(s, left):
		// No permit can help, so the platform is not asked.
		c.delayRequest(now, s)
		return c.degrade(now, s, left, ReasonFloor, out)
	}
	if s.state == Healthy {
		s.state = Suspected
	}
	s.asked = now
	v := s.detector.Verdict(now)
	return append(out, c.decision(RequestPermit, s, left, v.Reason, v))
}

// forgetOnJump drops the evidence about the servers for which the rest of the
// service became worse at once: it was gathered against a baseline that no
// longer holds.
func (c *Core) forgetOnJump(now time.Time) {
	for _, s := range c.order {
		if s.baseline.jumped(now) && s.state != Ejected {
			s.detector.Reset()
			s.failures, s.failingSince = 0, time.Time{}
		}
	}
}

// confirmed reports whether the detector has reported a failure for long enough.
// The ingress nodes' view of the service arrives with the exchanges, so a
// failure of the whole service is seen only a little later than that of one
// server.
func (c *Core) confirmed(now time.Time, s *server) bool {
	if s.failingSince.IsZero() {
		s.failingSince, s.confirming = now, 0
	}
	wait := interpolate(c.service(s.service).weight, float64(c.opts.ConfirmLong), float64(c.opts.ConfirmShort))
	return float64(now.Sub(s.failingSince)) >= wait && s.confirming >= c.opts.ConfirmSamples
}

// commonFailures is the failure rate of the service from which a few failures
// say nothing about a server in probation. The detector, which compares with
// the service, still judges it.
const commonFailures = 0.1

// judgeProbation decides about a server in probation. It still holds the permit
// of its ejection, so that a relapse is answered at once, also in an outage of
// the platform.
func (c *Core) judgeProbation(now time.Time, s *server, left View, out []Decision) []Decision {
	if !s.dirty {
		return out
	}
	failing := s.detector.Failing(now)
	switch {
	case failing || s.failures >= c.opts.ProbationFailures && s.baseline.failureRate < commonFailures:
		reason := ""
		if !failing {
			reason = ReasonProbationFail
		}
		if s.permit.ID == "" {
			// It returned early. A new permit is asked for while it is degraded.
			return c.degrade(now, s, left, ReasonProbationFail, out)
		}
		if c.mayRemove(s, left) {
			return append(out, c.eject(now, s, left, reason))
		}
		out = append(out, c.release(s, ReasonFloor))
		c.delayRequest(now, s)
		return c.degrade(now, s, left, ReasonFloor, out)
	case s.successes >= c.opts.ProbationSuccesses:
		// After a pause the holder may hold a permit that the core does not know.
		out = append(out, c.release(s, ReasonRecovered), c.restore(s, left))
	}
	return out
}

// returnEarly returns ejected servers of a service that is below its floor, the
// least bad first. Their permits go back, because they count as serving again.
func (c *Core) returnEarly(now time.Time, id registry.ServiceID, left View, out []Decision) []Decision {
	var ejected []*server
	for _, s := range c.order {
		if s.service == id && s.state == Ejected {
			ejected = append(ejected, s)
		}
	}
	slices.SortStableFunc(ejected, func(a, b *server) int {
		return cmp.Or(cmp.Compare(a.score, b.score), a.until.Compare(b.until))
	})
	for _, s := range ejected {
		if left[id].Serving >= left[id].Floor {
			break
		}
		out = append(out, c.probation(now, s, left, ReasonBelowFloor), c.release(s, ReasonBelowFloor))
	}
	return out
}

// mayRemove reports whether the capacity without s is at least the floor. A
// service without a view has no known floor, so nothing may be removed.
func (c *Core) mayRemove(s *server, left View) bool {
	v, ok := left[s.service]
	if s.permit.ID != "" && s.permit.Position > v.Serving+v.Ejected-v.Floor && !c.opts.IgnorePermitPosition {
		return false
	}
	return ok && v.Serving-1 >= v.Floor && v.Capacity-s.weight() >= float64(v.Floor)-1e-9
}

// roomForHolder reports whether s may be degraded without a permit. One ejection
// must stay possible then, because another owner may hold a permit for it, as in
// an outage of the platform, and a degraded server counts little against the floor.
// Where the floor forbids any ejection, there is nothing to leave room for.
func (c *Core) roomForHolder(s *server, left View) bool {
	v, ok := left[s.service]
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

func (c *Core) eject(now time.Time, s *server, left View, reason string) Decision {
	verdict := s.detector.Verdict(now)
	if reason == "" {
		reason = verdict.Reason
	}
	v := left[s.service]
	v.Serving--
	v.Ejected++
	v.Capacity -= s.weight()
	left[s.service] = v
	invariant.Check(v.Serving >= v.Floor, "floor", "service %s: ejecting %s leaves %d of floor %d",
		s.service, s.id, v.Serving, v.Floor)
	level := s.backoffLevel(now, c.opts.BackoffDecay)
	wait := float64(c.opts.BackoffBase) * math.Exp2(level)
	s.until = now.Add(time.Duration(min(wait, float64(c.opts.BackoffMax))))
	s.level = level + 1
	s.state = Ejected
	s.score = verdict.Score
	s.refused = ""
	d := c.decision(Eject, s, left, reason, verdict)
	d.Weight, d.Permit = 0, s.permit
	d.Evidence = append(d.Evidence, event.Field{Key: "backoff", Value: s.until.Sub(now).String()})
	return d
}

// backoffLevel decays linearly with the time in service.
func (s *server) backoffLevel(now time.Time, decay time.Duration) float64 {
	if s.returned.IsZero() {
		return 0
	}
	return s.level * max(0, 1-float64(now.Sub(s.returned))/float64(decay))
}

func (c *Core) probation(now time.Time, s *server, left View, reason string) Decision {
	v := left[s.service]
	v.Serving++
	v.Ejected--
	v.Capacity++
	left[s.service] = v
	s.state = InProbation
	s.returned, s.revoked = now, false
	if s.unconfirmed {
		s.permit, s.unconfirmed = Permit{}, false
	}
	s.successes, s.failures = 0, 0
	s.detector.Reset()
	return c.decision(BeginProbation, s, left, reason, Verdict{Score: s.score})
}

func (c *Core) degrade(now time.Time, s *server, left View, reason string, out []Decision) []Decision {
	if s.state == Degraded {
		return out
	}
	verdict := s.detector.Verdict(now)
	if v, ok := left[s.service]; ok {
		v.Capacity -= 1 - DegradedWeight
		left[s.service] = v
	}
	s.state = Degraded
	s.successes = 0
	d := c.decision(Degrade, s, left, reason, verdict)
	d.Weight = DegradedWeight
	return append(out, d)
}

func (c *Core) restore(s *server, left View) Decision {
	if v, ok := left[s.service]; ok {
		v.Capacity += 1 - s.weight()
		left[s.service] = v
	}
	s.state = Healthy
	s.askWait, s.askAgain = 0, time.Time{}
	return c.decision(Restore, s, left, ReasonRecovered, Verdict{})
}

func (c *Core) release(s *server, reason string) Decision {
	d := Decision{Action: ReleasePermit, Backend: s.id, Service: s.service, Weight: 1, Permit: s.permit, Reason: reason}
	s.permit = Permit{}
	return d
}

// delayRequest postpones the next request for a permit with a growing wait.
func (c *Core) delayRequest(now time.Time, s *server) {
	s.askWait = min(max(2*s.askWait, c.opts.PermitRetry), c.opts.PermitRetryMax)
	s.askAgain = now.Add(s.askWait)
}

func (c *Core) decision(a Action, s *server, left View, reason string, v Verdict) Decision {
	view := left[s.service]
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
