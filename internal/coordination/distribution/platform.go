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
	// minWatchDelay is how long a starting node may list the policies of the platform
	// but not watch them. In a fleet that starts at once, each node considers itself a
	// watcher until it knows the other members of its failure domain. Most nodes know
	// them after 1 s.
	minWatchDelay = time.Second
	// maxWatchPause bounds the pause before the next watch if a change follows the
	// previous one within rapidChangeInterval, so that several changes are read with one
	// request. It delays a change by at most a tenth of the time in which a policy must
	// be in force, and by less with several watchers.
	maxWatchPause       = 400 * time.Millisecond
	rapidChangeInterval = time.Second
	// restoreDelay is the time after a restore in which a read of the platform does not show
	// that the policies are current, because operators write lost changes again.
	restoreDelay = time.Second
)

// fromPlatform is the source recorded in events for a policy from the platform.
const fromPlatform = "platform"

// platformWatch is the state of the requests to the platform.
type platformWatch struct {
	watcher bool
	// takeOverUntil is the time until which the node watches in place of others.
	takeOverUntil time.Time
	// request is the pending request, or nil.
	request     *PlatformRequest
	requestedAt time.Time
	deadline    time.Time
	// overdue holds the requests that got no reply in time.
	overdue map[uint64]*PlatformRequest
	lastID  uint64
	// listed is set after a successful listing, so that a watch can continue from
	// revision.
	listed   bool
	revision uint64
	// newest is the newest fleet document of the platform, as far as this node has read it;
	// the zero Version if it is unknown or unreadable.
	newest Version
	// readRequested is set if a listing was requested that no reply has answered yet.
	readRequested bool
	// restored is the time at which the platform was found to have returned to older data.
	restored time.Time
	failures int
	// lastError is the error of the latest failure.
	lastError error
	retryAt   time.Time
	// lastChange is the time at which a watch last returned a change.
	lastChange time.Time
	lastReply  time.Time
}

func (c *Core) nextPlatformWake() time.Time {
	w := &c.watch
	switch {
	case w.request != nil:
		return w.deadline
	case c.isWatching() || w.readRequested:
		return w.retryAt
	}
	return time.Time{}
}

// requestPlatform keeps a watch pending if this node watches the platform. Any other
// node lists the policies only at startup, if its peers cannot confirm it.
func (c *Core) requestPlatform() {
	w := &c.watch
	if w.request != nil {
		switch {
		case !c.now.Before(w.deadline):
			// The reply may still arrive.
			w.overdue[w.request.ID] = w.request
			w.request = nil
			c.handlePlatformFailure(errOverdue)
		case !c.isWatching() && w.request.Watch:
			w.request, w.listed = nil, false
			c.out.CancelPlatformRequests = true
		}
	}
	if w.request != nil || c.now.Before(w.retryAt) {
		return
	}
	if !c.isWatching() {
		w.listed = false
		if !w.readRequested && (c.confirmed.Load() || c.now.Before(c.startup.nextListing)) {
			return
		}
		// If this listing does not complete the startup, the next one waits.
		c.startup.nextListing = c.now.Add(c.opts.MaxBackoff/2 + c.jitter(c.opts.MaxBackoff/2))
	}
	w.lastID++
	w.request = &PlatformRequest{ID: w.lastID, madeAt: c.now}
	w.requestedAt, w.deadline = c.now, c.now.Add(listTimeout)
	if w.listed {
		w.request.Watch, w.request.Since, w.request.Wait = true, w.revision, c.opts.WatchWait
		if w.failures > 0 {
			w.request.Wait = min(retryWatchWait, c.opts.WatchWait)
		}
		w.deadline = c.now.Add(w.request.Wait + replyTimeout)
	}
	c.out.PlatformRequest = w.request
}

// errOverdue is the error of a request that got no reply in time.
var errOverdue = fmt.Errorf("%w: no answer in time", platform.ErrNoResponse)

// handlePlatformProgress extends the deadline of the pending request if its reply has begun to
// arrive.
func (c *Core) handlePlatformProgress(id uint64) {
	w := &c.watch
	if until := c.now.Add(transferTimeout); w.request != nil && w.request.ID == id && until.After(w.deadline) {
		w.deadline = until
	}
}

// handlePlatformReply processes the reply to the pending request or to an overdue one.
func (c *Core) handlePlatformReply(r *PlatformReply) {
	w := &c.watch
	if errors.Is(r.Err, platform.ErrRestored) {
		c.handleRestore(r.ID)
		return
	}
	if late := w.overdue[r.ID]; late != nil {
		delete(w.overdue, r.ID)
		if r.Err == nil {
			c.handlePlatformSuccess(late, r)
		}
		return
	}
	if w.request == nil || r.ID != w.request.ID {
		return
	}
	request := w.request
	w.request = nil
	switch {
	case errors.Is(r.Err, platform.ErrCompacted):
		// The jitter avoids a tight loop if the platform rejects its own revisions.
		w.listed, w.retryAt = false, c.now.Add(c.jitter(minBackoff))
		c.event(event.PlatformCompacted, "", "listing again", event.Field{Key: "revision", Value: fmt.Sprint(w.revision)})
	case r.Err != nil:
		c.handlePlatformFailure(r.Err)
	default:
		c.handlePlatformSuccess(request, r)
	}
}

// handleRestore drops all requests, whose revisions belong to the data that is gone, and lists
// again. Only one request reports a restore. It may be an overdue or a canceled one.
func (c *Core) handleRestore(reportedBy uint64) {
	w := &c.watch
	if w.request != nil && w.request.ID != reportedBy {
		c.out.CancelPlatformRequests = true
	}
	w.request = nil
	clear(w.overdue)
	w.listed, w.newest, w.restored, w.retryAt = false, Version{}, c.now, c.now
	c.event(event.PlatformRestored, "", "the platform returned to older data; listing again",
		event.Field{Key: "revision", Value: fmt.Sprint(w.revision)})
}

// handlePlatformFailure schedules the next request after a failed one.
func (c *Core) handlePlatformFailure(err error) {
	w := &c.watch
	if w.failures == 0 {
		c.event(event.PlatformDown, "", err.Error(),
			event.Field{Key: "waited", Value: formatAge(c.now, w.requestedAt)},
			event.Field{Key: "last_answer", Value: formatAge(c.now, w.lastReply)})
	}
	if w.failures == 0 && errors.Is(err, platform.ErrNoResponse) {
		w.retryAt = c.now.Add(c.jitter(maxFirstRetryDelay))
	} else {
		// The wait is spread over the whole range, so that one of the watchers retries
		// soon after the end of an outage.
		high := min(c.opts.MaxBackoff, 2*minBackoff<<min(w.failures, 10))
		w.retryAt = c.now.Add(minBackoff + c.jitter(high-minBackoff))
	}
	if w.failures > 0 || errors.Is(err, errOverdue) {
		c.requestTakeOver()
	}
	w.failures++
	w.lastError, w.readRequested = err, false
}

// handlePlatformSuccess processes a reply without an error.
func (c *Core) handlePlatformSuccess(request *PlatformRequest, r *PlatformReply) {
	w := &c.watch
	if w.failures > 0 {
		c.event(event.PlatformUp, "", fmt.Sprintf("answer after %d failures", w.failures),
			event.Field{Key: "last_failure", Value: w.lastError.Error()},
			event.Field{Key: "last_answer", Value: formatAge(c.now, w.lastReply)})
		w.retryAt = c.now
	}
	w.failures, w.lastReply = 0, c.now
	if !request.Watch {
		w.newest, w.readRequested = Version{}, false
	}
	c.applyObjects(r.Objects)
	if c.isCurrent(request) {
		c.out.CurrentAsOf = request.ID
	}
	if request.Watch {
		w.revision = max(w.revision, r.Revision)
		if len(r.Objects) > 0 {
			if !w.lastChange.IsZero() && c.now.Sub(w.lastChange) < rapidChangeInterval {
				w.retryAt = c.now.Add(c.jitter(maxWatchPause))
			}
			w.lastChange = c.now
		}
		return
	}
	// A listing may return a lower revision than before, after a backup was restored.
	w.listed, w.revision = true, r.Revision
	if c.opts.Linearizable {
		// If a listing may be stale, this delay does not apply, because the node needs the
		// watch at once.
		w.retryAt = c.startup.startedAt.Add(minWatchDelay)
	}
	c.startup.listed = true
}

// isCurrent reports whether the fleet document in force is the newest one that the platform had
// when a request was sent to which it has replied.
func (c *Core) isCurrent(request *PlatformRequest) bool {
	w := &c.watch
	if !c.opts.Linearizable || (!w.restored.IsZero() && request.madeAt.Before(w.restored.Add(restoreDelay))) {
		return false
	}
	p := c.table.Get(policy.FleetName)
	return p != nil && w.newest == Version{p.Service, p.Epoch, p.Hash}
}

// recordNewest records the version of a fleet document that the platform has returned.
func (c *Core) recordNewest(v Version) {
	// A late reply may return an older version than later requests.
	if w := &c.watch; v.Service == policy.FleetName && v.Epoch >= w.newest.Epoch {
		w.newest = v
	}
}

// applyObjects applies the policies that the platform returned.
func (c *Core) applyObjects(objects []platform.Object) {
	for _, obj := range objects {
		service, ok := strings.CutPrefix(obj.Key, policy.KeyPrefix)
		if !ok {
			continue
		}
		if service == policy.FleetName && obj.Deleted {
			c.watch.newest = Version{}
		}
		if obj.Deleted {
			c.reportRefusal(service, 0, obj.Version, "the platform deleted the policy; the last epoch stays in force", fromPlatform)
			continue
		}
		env, err := policy.DecodeEnvelope(obj)
		if err != nil {
			if service == policy.FleetName {
				c.watch.newest = Version{}
			}
			c.reportRefusal(service, 0, obj.Version, err.Error(), fromPlatform)
			continue
		}
		c.recordNewest(Version{service, env.Epoch, policy.Hash([]byte(env.Text))})
		c.applyIfNewer(policy.VersionedDocument{Service: service, Epoch: env.Epoch, Text: []byte(env.Text)}, fromPlatform)
	}
}

// formatAge formats the time since then for the evidence of an event.
func formatAge(now, then time.Time) string {
	if then.IsZero() {
		return "never"
	}
	return now.Sub(then).Round(time.Millisecond).String()
}
