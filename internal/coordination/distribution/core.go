package distribution

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/event"
	"wigeonspring.example/wigeonspring/internal/state/policy"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

const (
	// maxNotificationBytes is the size of the largest document that a notification
	// carries. The transport compresses it to about a third of its size and omits it
	// if it still does not fit into a datagram.
	maxNotificationBytes = 4 << 10
	// pushFanout is the number of peers in its failure domain that a node notifies of
	// a new epoch.
	pushFanout = 4
	// syncTimeout and pullTimeout bound the calls to a peer. They leave time for a
	// second attempt within the 4 s in which a policy must be in force. A pull reply
	// that arrives after the timeout is still used, so that a slow link makes
	// progress.
	syncTimeout = 500 * time.Millisecond
	pullTimeout = time.Second
	// pullHedgeDelay is the time after which an unanswered pull is also sent to
	// another peer, or a sync looks for another peer that has the epoch. Waiting for
	// pullTimeout would take a quarter of the 4 s.
	pullHedgeDelay = 300 * time.Millisecond
	// maxPullSources is the number of peers that are remembered as holders of a wanted
	// epoch, and maxPullTries the number of pulls sent to each of them.
	maxPullSources = 4
	maxPullTries   = 2
	// repeatPushDelay is the time after which a node pushes a new epoch again, to other
	// peers than before. It covers nodes that the first datagrams did not reach.
	repeatPushDelay = time.Second
	// crossDomainPushDelay is the time after which a policy from the platform is pushed
	// to the other failure domains. By then, most have it from their own watchers.
	crossDomainPushDelay = 150 * time.Millisecond
	// maxPullServices bounds the services in one Pull, and maxPulls the number of
	// concurrent pulls.
	maxPullServices = 64
	maxPulls        = 8
	// maxSyncDelay is the longest wait between receiving a digest that differs and the
	// sync. During a change, a push removes most differences within this time.
	maxSyncDelay = 100 * time.Millisecond
	// syncRetries is the number of other peers that are asked after a failed call.
	// Waiting for the next digest that differs takes up to a second, so that two
	// consecutive failures would exceed the 4 s.
	syncRetries = 3
	// minDigestTimeout and maxDigestTimeout bound the time without a digest after which
	// a node syncs with a random peer. A node that receives no digests, because probes
	// and their acks are lost, cannot notice that it is behind.
	minDigestTimeout = time.Second
	maxDigestTimeout = 1500 * time.Millisecond
	// failedPeerPenalty is the time for which a peer that did not answer is asked only
	// after all others.
	failedPeerPenalty = 5 * time.Second
	// maxSyncs bounds the concurrent syncs with peers whose digests differ.
	maxSyncs = 2
	// syncSuppression and idleSyncSuppression are how long a sync is not repeated while
	// both digests stay the same. The first applies after the peer was notified of what
	// it lacks, the second if there was nothing to exchange, for example because one
	// side refuses a document.
	syncSuppression     = 2 * time.Second
	idleSyncSuppression = 30 * time.Second
	// maxSyncNotifications is the number of notifications that a node sends after one
	// sync to a peer that is behind.
	maxSyncNotifications = 16

	// defaultWatchWait is the waiting time of a watch on the platform, half of the 4 s. A
	// connection that stops delivering hides a change for that time plus replyTimeout.
	defaultWatchWait = 2 * time.Second
	// replyTimeout is the time beyond the waiting time of a watch after which another
	// request is sent. A reply that arrives later is still used, so that watches of a slow
	// platform make progress. listTimeout is the time for a listing, which has 5.4 MB at
	// the design size.
	replyTimeout = 500 * time.Millisecond
	listTimeout  = 2 * time.Second
	// transferTimeout is the time in which a reply must be complete that has begun to arrive.
	// A connection that delivers is not silent, and another request would only make the same
	// reply arrive twice on a slow link.
	transferTimeout = time.Second
	// retryWatchWait is the waiting time of a watch after a failure. It is short so that
	// a watch sent at the end of an outage gets a reply soon.
	retryWatchWait = 100 * time.Millisecond
	// maxFirstRetryDelay is the longest wait after the first request without a reply.
	// The platform may work while the connection of that request delivers nothing.
	maxFirstRetryDelay = 50 * time.Millisecond
	// minBackoff and defaultMaxBackoff bound the wait after a platform error.
	minBackoff        = 500 * time.Millisecond
	defaultMaxBackoff = 30 * time.Second
	// maxFirstRequestDelay is the longest wait before the first request of a watcher. A
	// starting node knows no other members and considers itself a watcher. Without the
	// wait, all nodes of a fleet that starts at once would read the platform.
	maxFirstRequestDelay = time.Second
	// maxFirstListingDelay is the longest wait before the first listing of a starting
	// node if a listing alone confirms it: 2,100 nodes then make 2,100 reads in 1.05 s.
	maxFirstListingDelay = 500 * time.Millisecond
)

// Options for a platform on which a policy must be in force 2 s after it was accepted. Its
// rate limit must allow 24 reads/s, from two watchers for each of 12 failure domains.
const (
	// ShortWatchWait is a value of WatchWait with which a change that the platform does
	// not report to a waiting watch is still read within the 2 s.
	ShortWatchWait = time.Second
	// ShortMaxBackoff is the matching value of MaxBackoff.
	ShortMaxBackoff = time.Second
)

// DisabledMechanisms selects mechanisms that a test switches off, to show that an
// invariant depends on its mechanism.
type DisabledMechanisms struct {
	EpochCheck  bool
	StartCheck  bool
	AntiEntropy bool
	TakeOver    bool
}

// Options configures a Core.
type Options struct {
	Self          registry.NodeID
	FailureDomain string
	Start         time.Time
	// Rand is the source of all random choices.
	Rand *rand.Rand
	// Linearizable states that a listing of the platform contains every write that was
	// acknowledged before, so that a listing alone confirms a starting node.
	Linearizable bool
	// WatchWait is the waiting time of a watch on the platform; 0 selects 2 s. It
	// bounds the delay of a change that the platform does not report to a waiting
	// watch, or whose report is lost with the connection.
	WatchWait time.Duration
	// MaxBackoff bounds the wait after platform errors; 0 selects 30 s.
	MaxBackoff time.Duration
	// Defaults supplies values that a service of a fleet document does not set.
	Defaults policy.ServiceDefaults
	// Disabled is for tests only.
	Disabled DisabledMechanisms
}

// Core is the state machine that distributes the policies on one node. Step must not
// be called concurrently. Table, ServeSync and ServePull are safe for concurrent use,
// also with Step.
type Core struct {
	opts  Options
	rand  *rand.Rand
	table *policy.Table
	now   time.Time
	out   Output

	members []Member
	domain  map[registry.NodeID]string

	calls         map[uint64]*call
	lastCallID    uint64
	wanted        map[string]*wantedVersion
	delayedPushes []delayedPush
	// refused holds the version of the last invalid document, by service.
	refused map[string]Version
	// mismatches holds the peers whose digest differs and that wait for a sync.
	mismatches  map[registry.NodeID]mismatch
	comparisons map[registry.NodeID]comparison
	// lastFailure is the time of the last failed call to each peer. A reply removes
	// the entry.
	lastFailure map[registry.NodeID]time.Time
	// lastDigest is the time of the last digest from each member.
	lastDigest map[registry.NodeID]time.Time
	// digestDeadline is the time by which a digest must arrive to avoid a sync with a
	// random peer.
	digestDeadline time.Time
	// reportedRefusals holds the keys of refusals that were published as events, so
	// that a source that repeats a document does not repeat the event.
	reportedRefusals map[string]bool

	watch     platformWatch
	startup   startup
	confirmed atomic.Bool
	ready     bool
}

// New returns the core of a starting node.
func New(o Options) *Core {
	c := &Core{
		opts: o, rand: o.Rand, now: o.Start,
		domain:           map[registry.NodeID]string{},
		calls:            map[uint64]*call{},
		wanted:           map[string]*wantedVersion{},
		refused:          map[string]Version{},
		mismatches:       map[registry.NodeID]mismatch{},
		comparisons:      map[registry.NodeID]comparison{},
		lastFailure:      map[registry.NodeID]time.Time{},
		lastDigest:       map[registry.NodeID]time.Time{},
		reportedRefusals: map[string]bool{},
	}
	c.table = policy.NewTable(policy.TableOptions{
		Now:               func() time.Time { return c.now },
		AcceptLowerEpochs: o.Disabled.EpochCheck,
		Defaults:          o.Defaults,
	})
	if c.opts.WatchWait == 0 {
		c.opts.WatchWait = defaultWatchWait
	}
	if c.opts.MaxBackoff == 0 {
		c.opts.MaxBackoff = defaultMaxBackoff
	}
	c.watch.retryAt = o.Start.Add(maxFirstRequestDelay/2 + c.jitter(maxFirstRequestDelay/2))
	if o.Linearizable {
		c.watch.retryAt = o.Start.Add(c.jitter(maxFirstListingDelay))
	}
	c.watch.overdue = map[uint64]*PlatformRequest{}
	c.startup.init(c)
	return c
}

// Table returns the policies in force. Only Step changes it.
func (c *Core) Table() *policy.Table { return c.table }

// Step processes an input and returns the resulting actions.
func (c *Core) Step(in Input) Output {
	c.now, c.out = in.Now, Output{}
	if in.Members != nil {
		c.setMembers(in.Members)
	}
	if in.ReadPlatform {
		c.watch.listed, c.watch.readRequested = false, true
	}
	if in.PlatformProgress != 0 {
		c.handlePlatformProgress(in.PlatformProgress)
	}
	if in.PlatformReply != nil {
		c.handlePlatformReply(in.PlatformReply)
	}
	for i := range in.Replies {
		c.handleReply(&in.Replies[i])
	}
	for _, n := range in.Notifications {
		c.handleNotification(n)
	}
	for _, d := range in.Digests {
		c.handleDigest(d)
	}
	for _, t := range in.TakeOvers {
		c.takeOver(t)
	}
	if in.FailedProbes > 0 {
		c.watchAfterFailedProbe()
	}
	for _, id := range slices.Sorted(maps.Keys(c.calls)) {
		if !c.now.Before(c.calls[id].deadline) {
			c.handleReply(&Reply{ID: id, Err: errTimeout})
		}
	}
	c.requestPlatform()
	c.advanceStartup()
	c.syncMismatches()
	c.syncAfterDigestTimeout()
	c.pullWanted()
	c.sendDelayedPushes()
	c.out.Status = Status{
		Ready: c.ready, Confirmed: c.confirmed.Load(), Watcher: c.watch.watcher, LastPlatformReply: c.watch.lastReply,
	}
	c.out.Wake = c.nextWake()
	return c.out
}

var errTimeout = errors.New("no answer in time")

func (c *Core) jitter(limit time.Duration) time.Duration {
	return time.Duration(c.rand.Int64N(int64(limit) + 1))
}

func (c *Core) nextWake() time.Time {
	wake := c.now.Add(time.Second)
	earlier := func(t time.Time) {
		if !t.IsZero() && t.Before(wake) {
			wake = t
		}
	}
	for _, cl := range c.calls {
		earlier(cl.deadline)
	}
	for _, m := range c.mismatches {
		earlier(m.due)
	}
	for _, w := range c.wanted {
		// A hedge that is due but was not sent must wait until a call ends.
		if due := w.requestedAt.Add(pullHedgeDelay); w.call != 0 && due.After(c.now) {
			earlier(due)
		}
	}
	for i := range c.delayedPushes {
		earlier(c.delayedPushes[i].due)
	}
	earlier(c.nextPlatformWake())
	earlier(c.digestDeadline)
	if !c.confirmed.Load() {
		earlier(c.now.Add(startupCheckInterval))
	}
	if minimum := c.now.Add(time.Millisecond); wake.Before(minimum) {
		return minimum
	}
	return wake
}

func (c *Core) setMembers(members []Member) {
	c.members = slices.Clone(members)
	// A fixed order makes the random choices reproducible.
	slices.SortFunc(c.members, func(a, b Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	clear(c.domain)
	for _, m := range c.members {
		c.domain[m.ID] = m.FailureDomain
	}
	gone := func(id registry.NodeID) bool { _, ok := c.domain[id]; return !ok }
	maps.DeleteFunc(c.mismatches, func(id registry.NodeID, _ mismatch) bool { return gone(id) })
	maps.DeleteFunc(c.lastFailure, func(id registry.NodeID, _ time.Time) bool { return gone(id) })
	maps.DeleteFunc(c.lastDigest, func(id registry.NodeID, _ time.Time) bool { return gone(id) })
	maps.DeleteFunc(c.comparisons, func(id registry.NodeID, _ comparison) bool { return gone(id) })
	c.watch.watcher = slices.Contains(Watchers(c.members, c.opts.FailureDomain), c.opts.Self)
}

func (c *Core) event(kind event.Kind, service, reason string, evidence ...event.Field) {
	c.out.Events = append(c.out.Events, event.Event{
		Time: c.now, Kind: kind, Node: string(c.opts.Self), Service: service, Reason: reason, Evidence: evidence,
	})
}

// reportRefusal publishes an event for a refused document, once for each epoch, text and
// source.
func (c *Core) reportRefusal(service string, epoch, hash uint64, reason, source string) {
	key := fmt.Sprintf("%s/%d/%x/%s", service, epoch, hash, source)
	if c.reportedRefusals[key] {
		return
	}
	if len(c.reportedRefusals) >= 1024 {
		clear(c.reportedRefusals)
	}
	c.reportedRefusals[key] = true
	c.event(event.PolicyRefused, service, reason,
		event.Field{Key: "epoch", Value: fmt.Sprint(epoch)},
		event.Field{Key: "hash", Value: policy.FormatHash(hash)},
		event.Field{Key: "source", Value: source})
}

// applyIfNewer puts a policy in force if its epoch is higher, and notifies peers of it.
func (c *Core) applyIfNewer(v policy.VersionedDocument, source string) {
	hash := policy.Hash(v.Text)
	result, err := c.table.Set(v)
	if err != nil {
		var invalid *policy.DocumentError
		if errors.As(err, &invalid) {
			c.refused[v.Service] = Version{v.Service, v.Epoch, hash}
		}
		c.reportRefusal(v.Service, v.Epoch, hash, err.Error(), source)
	}
	for _, p := range result.Policies {
		c.out.InForce = append(c.out.InForce, p)
		c.event(event.PolicyInForce, p.Service, "newer epoch",
			event.Field{Key: "epoch", Value: fmt.Sprint(p.Epoch)},
			event.Field{Key: "hash", Value: policy.FormatHash(p.Hash)},
			event.Field{Key: "source", Value: source})
		if !c.ready {
			// The peers of a starting node already have these policies.
			continue
		}
		version := Version{p.Service, p.Epoch, p.Hash}
		c.delayedPushes = append(c.delayedPushes, delayedPush{Version: version, due: c.now.Add(repeatPushDelay), notified: c.push(version, nil)})
		if source == fromPlatform {
			c.delayedPushes = append(c.delayedPushes, delayedPush{Version: version, due: c.now.Add(crossDomainPushDelay), crossDomain: true})
		}
	}
	if w := c.wanted[v.Service]; w != nil && !c.accepts(w.Version) {
		delete(c.wanted, v.Service)
	}
}
