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
	// maxNoticeText is the size up to which a document goes with the notice. The
	// transport compresses it to about a third and leaves out one that does not fit
	// a datagram.
	maxNoticeText = 4 << 10
	// pushFanout peers of the failure domain hear of a new epoch from each node.
	pushFanout = 4
	// syncTimeout and pullTimeout bound the calls to a peer. They leave room for a
	// second try within the 4 s in which a policy must be in force. An answer to a
	// pull that comes later is still used, so that a slow link makes progress.
	syncTimeout = 500 * time.Millisecond
	pullTimeout = time.Second
	// pullHedge is the time after which a wanted epoch is also asked of another
	// peer, or another peer is looked for by a sync. An unanswered pull alone would
	// take a quarter of the 4 s.
	pullHedge = 300 * time.Millisecond
	// maxSources are the peers that are remembered as holders of a wanted epoch,
	// and maxTries the pulls for it from each of them.
	maxSources = 4
	maxTries   = 2
	// pushRepeat is the time after which a node pushes a new epoch a second time,
	// to other peers, for those that the first datagrams did not reach.
	pushRepeat = time.Second
	// acrossDelay is the time after which a policy that the platform reported is told to
	// the other failure domains. Most heard of it from their own watchers by then.
	acrossDelay = 150 * time.Millisecond
	// maxPullServices bounds the services in one Pull, and maxPulls the calls at once.
	maxPullServices = 64
	maxPulls        = 8
	// syncDelay is the longest wait between a foreign digest and the sync. Most
	// differences during a change end by a push in this time.
	syncDelay = 100 * time.Millisecond
	// syncRetries is the number of other peers that are asked after a call failed.
	// Waiting for the next foreign digest instead costs up to a second, and two
	// failures in a row then exceed the 4 s.
	syncRetries = 3
	// quietLow and quietHigh bound the time without a digest after which a node
	// syncs with a random peer. A node that hears no digest cannot notice that it
	// is behind, which happens when probes and their answers are lost.
	quietLow  = time.Second
	quietHigh = 1500 * time.Millisecond
	// failureMemory is how long a peer that did not answer is asked last.
	failureMemory = 5 * time.Second
	// maxSyncs bounds the syncs at once that foreign digests caused.
	maxSyncs = 2
	// syncMemory and idleSyncMemory are how long a sync is not repeated while both
	// digests stay the same: after telling the peer what it lacks, and after
	// finding nothing to exchange, such as when one side refuses a document.
	syncMemory     = 2 * time.Second
	idleSyncMemory = 30 * time.Second
	// maxPushback is the number of policies that a node reports after one sync to
	// a peer that lacks them.
	maxPushback = 16

	// watchWait is the waiting time of a watch on the platform, half of the 4 s. A
	// connection that falls silent hides a change for that long, and answerTimeout.
	watchWait = 2 * time.Second
	// answerTimeout is the time for an answer beyond the waiting time after which the
	// platform is asked again. An answer that comes later still counts, so that a slow
	// platform is heard too. listTimeout is that of a listing, 5.4 MB at the design size.
	answerTimeout = 500 * time.Millisecond
	listTimeout   = 2 * time.Second
	// retryWait is the waiting time of a watch after a failure: one that begins at the
	// end of an outage must not wait for long.
	retryWait = 100 * time.Millisecond
	// firstRetry is the longest wait after a first call without an answer. Its connection
	// may be silent while the platform works.
	firstRetry = 50 * time.Millisecond
	// backoffLow and backoffHigh bound the wait after a platform error.
	backoffLow  = 500 * time.Millisecond
	backoffHigh = 30 * time.Second
	// firstRequest is the longest wait before the first request of a watcher. A
	// starting node sees itself alone at first; the wait keeps the nodes of a
	// fleet that starts as a whole from all reading the platform.
	firstRequest = time.Second
	// firstListing is the longest wait before the first listing of any starting
	// node if a listing confirms it: 2,100 nodes then make 2,100 reads in 1.05 s.
	firstListing = 500 * time.Millisecond
)

// Times for a platform on which a policy must be in force 2 s after it was accepted, and
// whose rates allow them: two watchers for each of 12 failure domains make 24 reads/s.
const (
	// ShortWatchWait is a waiting time of watches that keeps a change that a watch was
	// not told within the 2 s.
	ShortWatchWait = time.Second
	// ShortMaxBackoff bounds the wait after errors.
	ShortMaxBackoff = time.Second
)

// Disabled switches mechanisms off. It is for tests that show that an invariant
// depends on its mechanism.
type Disabled struct {
	EpochCheck  bool
	StartCheck  bool
	AntiEntropy bool
	TakeOver    bool
}

// Options configures a Core.
type Options struct {
	Self          registry.NodeID
	FailureDomain string
	// Start is the start time of the node.
	Start time.Time
	// Rand is the source of all random choices.
	Rand *rand.Rand
	// Linearizable says that a listing of the platform reflects every write that
	// was acknowledged before, so that it confirms a starting node without a peer.
	Linearizable bool
	// WatchWait is the waiting time of a watch on the platform; 0 selects 2 s. It
	// bounds how late a change is noticed if the platform loses it for a watch that
	// waits, or the connection falls silent.
	WatchWait time.Duration
	// MaxBackoff bounds the wait after platform errors; 0 selects 30 s.
	MaxBackoff time.Duration
	// Defaults complete the services of a fleet document.
	Defaults policy.ServiceDefaults
	// Disabled is for tests only.
	Disabled Disabled
}

// Core decides about the policies of one node. Step must not be called
// concurrently; Table, ServeSync and ServePull may be used at any time.
type Core struct {
	o     Options
	rand  *rand.Rand
	table *policy.Table
	now   time.Time
	out   Output

	members []Member
	domain  map[registry.NodeID]string

	calls    map[uint64]*call
	lastCall uint64
	wants    map[string]*want
	repeats  []repeat
	// refused are the documents that did not validate, by service.
	refused map[string]Version
	// mismatches are the peers with another digest that wait for a sync.
	mismatches map[registry.NodeID]mismatch
	compared   map[registry.NodeID]comparison
	// failures are the times of the last unanswered calls.
	failures map[registry.NodeID]time.Time
	// heardOf are the times of the last digests of members.
	heardOf map[registry.NodeID]time.Time
	// quietAt is when the node has heard no digest for too long.
	quietAt time.Time
	// reported holds the refusals that were reported, so that a source that
	// repeats an offer does not repeat the event.
	reported map[string]bool

	source    platformSource
	start     starter
	confirmed atomic.Bool
	ready     bool
}

// New returns the core of a starting node.
func New(o Options) *Core {
	c := &Core{
		o: o, rand: o.Rand, now: o.Start,
		domain:     map[registry.NodeID]string{},
		calls:      map[uint64]*call{},
		wants:      map[string]*want{},
		refused:    map[string]Version{},
		mismatches: map[registry.NodeID]mismatch{},
		compared:   map[registry.NodeID]comparison{},
		failures:   map[registry.NodeID]time.Time{},
		heardOf:    map[registry.NodeID]time.Time{},
		reported:   map[string]bool{},
	}
	c.table = policy.NewTable(policy.TableOptions{
		Now:               func() time.Time { return c.now },
		AcceptLowerEpochs: o.Disabled.EpochCheck,
		Defaults:          o.Defaults,
	})
	if c.o.WatchWait == 0 {
		c.o.WatchWait = watchWait
	}
	if c.o.MaxBackoff == 0 {
		c.o.MaxBackoff = backoffHigh
	}
	c.source.retryAt = o.Start.Add(firstRequest/2 + c.jitter(firstRequest/2))
	if o.Linearizable {
		c.source.retryAt = o.Start.Add(c.jitter(firstListing))
	}
	c.source.overdue = map[uint64]*PlatformRequest{}
	c.start.init(c)
	return c
}

// Table returns the policies in force. Only Step changes it.
func (c *Core) Table() *policy.Table { return c.table }

// Step takes in what happened and returns what to do.
func (c *Core) Step(in Input) Output {
	c.now, c.out = in.Now, Output{}
	if in.Members != nil {
		c.setMembers(in.Members)
	}
	if in.PlatformReply != nil {
		c.platformReply(in.PlatformReply)
	}
	for i := range in.Replies {
		c.reply(&in.Replies[i])
	}
	for _, h := range in.Notifications {
		c.heard(h)
	}
	for _, d := range in.Digests {
		c.heardDigest(d)
	}
	for _, t := range in.TakeOvers {
		c.takeOver(t)
	}
	if in.FailedProbes > 0 {
		c.doubtWatchers()
	}
	for _, id := range slices.Sorted(maps.Keys(c.calls)) {
		if !c.now.Before(c.calls[id].deadline) {
			c.reply(&Reply{ID: id, Err: errTimeout})
		}
	}
	c.requestPlatform()
	c.startStep()
	c.syncMismatches()
	c.syncWhenQuiet()
	c.pullWanted()
	c.repeatPushes()
	c.out.Status = Status{
		Ready: c.ready, Confirmed: c.confirmed.Load(), Watcher: c.source.watcher, LastPlatformReply: c.source.seen,
	}
	c.out.Wake = c.wake()
	return c.out
}

var errTimeout = errors.New("no answer in time")

func (c *Core) jitter(limit time.Duration) time.Duration {
	return time.Duration(c.rand.Int64N(int64(limit) + 1))
}

func (c *Core) wake() time.Time {
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
	for _, w := range c.wants {
		// A hedge that is due and was not sent waits for a call to end.
		if due := w.asked.Add(pullHedge); w.call != 0 && due.After(c.now) {
			earlier(due)
		}
	}
	for i := range c.repeats {
		earlier(c.repeats[i].due)
	}
	earlier(c.platformWake())
	earlier(c.quietAt)
	if !c.confirmed.Load() {
		earlier(c.now.Add(startInterval))
	}
	if minimum := c.now.Add(time.Millisecond); wake.Before(minimum) {
		return minimum
	}
	return wake
}

func (c *Core) setMembers(members []Member) {
	c.members = slices.Clone(members)
	// A fixed order keeps the random choices reproducible.
	slices.SortFunc(c.members, func(a, b Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	clear(c.domain)
	for _, m := range c.members {
		c.domain[m.ID] = m.FailureDomain
	}
	gone := func(id registry.NodeID) bool { _, ok := c.domain[id]; return !ok }
	maps.DeleteFunc(c.mismatches, func(id registry.NodeID, _ mismatch) bool { return gone(id) })
	maps.DeleteFunc(c.failures, func(id registry.NodeID, _ time.Time) bool { return gone(id) })
	maps.DeleteFunc(c.heardOf, func(id registry.NodeID, _ time.Time) bool { return gone(id) })
	maps.DeleteFunc(c.compared, func(id registry.NodeID, _ comparison) bool { return gone(id) })
	c.source.watcher = slices.Contains(Watchers(c.members, c.o.FailureDomain), c.o.Self)
}

func (c *Core) event(kind event.Kind, service, reason string, evidence ...event.Field) {
	c.out.Events = append(c.out.Events, event.Event{
		Time: c.now, Kind: kind, Node: string(c.o.Self), Service: service, Reason: reason, Evidence: evidence,
	})
}

// refusal reports a refused offer once for each epoch, text and source.
func (c *Core) refusal(service string, epoch, hash uint64, reason, source string) {
	key := fmt.Sprintf("%s/%d/%x/%s", service, epoch, hash, source)
	if c.reported[key] {
		return
	}
	if len(c.reported) >= 1024 {
		clear(c.reported)
	}
	c.reported[key] = true
	c.event(event.PolicyRefused, service, reason,
		event.Field{Key: "epoch", Value: fmt.Sprint(epoch)},
		event.Field{Key: "hash", Value: policy.FormatHash(hash)},
		event.Field{Key: "source", Value: source})
}

// offer puts a policy in force if it is newer, and tells peers of it.
func (c *Core) offer(v policy.VersionedDocument, source string) {
	hash := policy.Hash(v.Text)
	result, err := c.table.Set(v)
	if err != nil {
		var invalid *policy.DocumentError
		if errors.As(err, &invalid) {
			c.refused[v.Service] = Version{v.Service, v.Epoch, hash}
		}
		c.refusal(v.Service, v.Epoch, hash, err.Error(), source)
	}
	for _, p := range result.Policies {
		c.out.InForce = append(c.out.InForce, p)
		c.event(event.PolicyInForce, p.Service, "newer epoch",
			event.Field{Key: "epoch", Value: fmt.Sprint(p.Epoch)},
			event.Field{Key: "hash", Value: policy.FormatHash(p.Hash)},
			event.Field{Key: "source", Value: source})
		if !c.ready {
			// A starting node takes in what its peers have had for long.
			continue
		}
		h := Version{p.Service, p.Epoch, p.Hash}
		c.repeats = append(c.repeats, repeat{Version: h, due: c.now.Add(pushRepeat), told: c.push(h, nil)})
		if source == fromPlatform {
			c.repeats = append(c.repeats, repeat{Version: h, due: c.now.Add(acrossDelay), across: true})
		}
	}
	if w := c.wants[v.Service]; w != nil && !c.missing(w.Version) {
		delete(c.wants, v.Service)
	}
}
