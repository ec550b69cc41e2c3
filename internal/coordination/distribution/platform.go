package distribution

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/event"
	"wigeonspring.example/wigeonspring/internal/state/platform"
	"wigeonspring.example/wigeonspring/internal/state/policy"
)

const (
	// settleTime is how long a starting node lists the platform without watching it.
	// Until it knows the other members of its failure domain, each node of a fleet
	// that starts as a whole believes that it is a watcher. Most know them after 1 s.
	settleTime = time.Second
	// watchPause bounds the time between a change and the next watch of the same
	// watcher if the one before came less than quickSuccession earlier, so that such
	// changes are read together. It delays one by a tenth of the bound for a policy,
	// and by less with several watchers.
	watchPause      = 400 * time.Millisecond
	quickSuccession = time.Second
)

// fromPlatform is the source of a policy that the platform reported.
const fromPlatform = "platform"

// platformSource is the state of the watch on the platform.
type platformSource struct {
	watcher bool
	// takenOver is until when the node watches in place of others.
	takenOver time.Time
	// request is the waiting request; nil if there is none.
	request  *PlatformRequest
	asked    time.Time
	deadline time.Time
	// overdue are the requests whose answer has not come in time.
	overdue map[uint64]*PlatformRequest
	lastID  uint64
	// listed says that a listing succeeded, so that a watch can go on from
	// revision.
	listed   bool
	revision uint64
	failures int
	// lastError is that of the latest failure.
	lastError error
	retryAt   time.Time
	// changed is when a watch last returned a change.
	changed time.Time
	seen    time.Time
}

func (c *Core) platformWake() time.Time {
	s := &c.source
	switch {
	case s.request != nil:
		return s.deadline
	case c.watches():
		return s.retryAt
	}
	return time.Time{}
}

// requestPlatform keeps a watch waiting on a watcher. Another node lists the
// policies only if it starts and the peers do not suffice.
func (c *Core) requestPlatform() {
	s := &c.source
	if s.request != nil {
		switch {
		case !c.now.Before(s.deadline):
			// The answer may still come.
			s.overdue[s.request.ID] = s.request
			s.request = nil
			c.platformFailed(errOverdue)
		case !c.watches() && s.request.Watch:
			s.request, s.listed = nil, false
			c.out.CancelPlatformRequests = true
		}
	}
	if s.request != nil || c.now.Before(s.retryAt) {
		return
	}
	if !c.watches() {
		s.listed = false
		if c.confirmed.Load() || c.now.Before(c.start.listAt) {
			return
		}
		// After a listing that did not suffice, the next one waits.
		c.start.listAt = c.now.Add(c.o.MaxBackoff/2 + c.jitter(c.o.MaxBackoff/2))
	}
	s.lastID++
	s.request = &PlatformRequest{ID: s.lastID}
	s.asked, s.deadline = c.now, c.now.Add(listTimeout)
	if s.listed {
		s.request.Watch, s.request.Since, s.request.Wait = true, s.revision, c.o.WatchWait
		if s.failures > 0 {
			s.request.Wait = min(retryWait, c.o.WatchWait)
		}
		s.deadline = c.now.Add(s.request.Wait + answerTimeout)
	}
	c.out.PlatformRequest = s.request
}

// errOverdue stands for an answer that has not come in time.
var errOverdue = fmt.Errorf("%w: no answer in time", platform.ErrNoResponse)

// platformReply takes in the answer to the waiting request, or to an overdue one.
func (c *Core) platformReply(r *PlatformReply) {
	s := &c.source
	if late := s.overdue[r.ID]; late != nil {
		delete(s.overdue, r.ID)
		if r.Err == nil {
			c.platformAnswered(late, r)
		}
		return
	}
	if s.request == nil || r.ID != s.request.ID {
		return
	}
	request := s.request
	s.request = nil
	switch {
	case errors.Is(r.Err, platform.ErrCompacted):
		// A platform that refuses its own revisions must not be asked in a loop.
		s.listed, s.retryAt = false, c.now.Add(c.jitter(backoffLow))
		c.event(event.PlatformCompacted, "", "listing again", event.Field{Key: "revision", Value: fmt.Sprint(s.revision)})
	case r.Err != nil:
		c.platformFailed(r.Err)
	default:
		c.platformAnswered(request, r)
	}
}

// platformFailed decides when the platform is asked again.
func (c *Core) platformFailed(err error) {
	s := &c.source
	if s.failures == 0 {
		c.event(event.PlatformDown, "", err.Error(),
			event.Field{Key: "waited", Value: since(c.now, s.asked)},
			event.Field{Key: "last_answer", Value: since(c.now, s.seen)})
	}
	if s.failures == 0 && errors.Is(err, platform.ErrNoResponse) {
		s.retryAt = c.now.Add(c.jitter(firstRetry))
	} else {
		// The wait is spread over the whole range, so that one of the watchers
		// returns soon after the end of an outage.
		high := min(c.o.MaxBackoff, 2*backoffLow<<min(s.failures, 10))
		s.retryAt = c.now.Add(backoffLow + c.jitter(high-backoffLow))
	}
	if s.failures > 0 || errors.Is(err, errOverdue) {
		c.askTakeOver()
	}
	s.failures++
	s.lastError = err
}

// platformAnswered takes in an answer to a request.
func (c *Core) platformAnswered(request *PlatformRequest, r *PlatformReply) {
	s := &c.source
	if s.failures > 0 {
		c.event(event.PlatformUp, "", fmt.Sprintf("answer after %d failures", s.failures),
			event.Field{Key: "last_failure", Value: s.lastError.Error()},
			event.Field{Key: "last_answer", Value: since(c.now, s.seen)})
		s.retryAt = c.now
	}
	s.failures, s.seen = 0, c.now
	c.takePolicies(r.Objects)
	if request.Watch {
		s.revision = max(s.revision, r.Revision)
		if len(r.Objects) > 0 {
			if !s.changed.IsZero() && c.now.Sub(s.changed) < quickSuccession {
				s.retryAt = c.now.Add(c.jitter(watchPause))
			}
			s.changed = c.now
		}
		return
	}
	// A listing may go back to a lower revision, after a restored backup.
	s.listed, s.revision = true, r.Revision
	if c.o.Linearizable {
		// Where a listing may be stale, the node needs the watch at once.
		s.retryAt = c.start.begun.Add(settleTime)
	}
	c.start.listed = true
}

// takePolicies puts the policies of the platform in force.
func (c *Core) takePolicies(objects []platform.Object) {
	for _, obj := range objects {
		service, ok := strings.CutPrefix(obj.Key, policy.KeyPrefix)
		if !ok {
			continue
		}
		if obj.Deleted {
			c.refusal(service, 0, obj.Version, "the platform deleted the policy; the last epoch stays in force", fromPlatform)
			continue
		}
		env, err := policy.DecodeEnvelope(obj)
		if err != nil {
			c.refusal(service, 0, obj.Version, err.Error(), fromPlatform)
			continue
		}
		c.offer(policy.VersionedDocument{Service: service, Epoch: env.Epoch, Text: []byte(env.Text)}, fromPlatform)
	}
}

// since returns how long ago a time was, as evidence of an event.
func since(now, then time.Time) string {
	if then.IsZero() {
		return "never"
	}
	return now.Sub(then).Round(time.Millisecond).String()
}
