package freshness

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/distribution"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

const (
	// maxAskInterval is the longest time between two requests to peers while the replies are
	// young, unless askShare of the bound is less. The shortest is 0.7 of it.
	maxAskInterval = time.Second
	askShare       = 0.2
	// minAskGap bounds the rate of requests after failures, and urgentAskInterval is the time
	// between two requests after a failure or while the confirmation is old. Then the replies
	// are not waited for.
	minAskGap         = 50 * time.Millisecond
	urgentAskInterval = 150 * time.Millisecond
	// replyTimeout is the time after which another peer is asked. A later reply still counts.
	replyTimeout = 300 * time.Millisecond
	// minAvoidDuration and maxAvoidDuration bound how long a peer is avoided that did not reply
	// or whose own confirmation is old. The time doubles with each such reply.
	minAvoidDuration = 3 * time.Second
	maxAvoidDuration = 24 * time.Second
	// randomPeers is the number of peers that are asked if no watcher confirms the policies.
	// They may have read the platform themselves.
	randomPeers = 4
	// mismatchRetryDelay is the time that two nodes with different policies get to compare
	// them before the next request.
	mismatchRetryDelay = 150 * time.Millisecond
	// maxReadDelay spreads the first reads of nodes that lost their peers at the same time.
	maxReadDelay = 500 * time.Millisecond
	// minReadInterval and maxReadInterval bound the time between two reads of the platform by
	// a node without a recent confirmation.
	minReadInterval = time.Second
	maxReadInterval = 8 * time.Second
	// readLeft is the time before the keys are outdated from which on the node reads the
	// platform itself, unless readShare of the bound is less.
	readLeft  = 1500 * time.Millisecond
	readShare = 0.3
	// watchShare is the share of the bound that a watch may wait. The age of a confirmation by
	// watches reaches twice that time.
	watchShare = 0.2
	// oldShare is the share of the bound above which a confirmation is old: a watcher asks
	// peers, and a peer with that age is avoided.
	oldShare = 0.62
)

// Member is a live node.
type Member struct {
	ID            registry.NodeID
	FailureDomain string
	Region        string
}

// Options configures a Core.
type Options struct {
	Self          registry.NodeID
	FailureDomain string
	Region        string
	// Bound is the time within which a key that was taken away must stop working.
	Bound time.Duration
	Rand  *rand.Rand
}

// Call asks a peer for the age of its confirmation.
type Call struct {
	ID uint64
	To registry.NodeID
}

// Reply is the reply to a Call, or the error if there is none. Every Call gets one.
type Reply struct {
	ID  uint64
	Err error
	// Known is set if the peer has a confirmation, and Age is its age at the time of the reply.
	Known bool
	Age   time.Duration
	// SamePolicies is set if the peer had the policies that this node has.
	SamePolicies bool
}

// Input holds what happened since the last step.
type Input struct {
	Now Instant
	// Members lists the live members, including this node; nil means no change.
	Members []Member
	// Active is set if the policies in force have keys. Otherwise nothing is asked.
	Active bool
	// Watching is set if the node watches the platform itself.
	Watching bool
	Replies  []Reply
}

// Change says that the keys became current or outdated.
type Change struct {
	Current bool
	// Age is that of the confirmation; it has no meaning if Known is not set.
	Age   time.Duration
	Known bool
}

// Output holds the resulting actions.
type Output struct {
	Calls []Call
	// Mismatches lists peers whose policies differ from those of this node.
	Mismatches []registry.NodeID
	// Confirmed is the number of replies that gave a later confirmation.
	Confirmed int
	// ReadPlatform is set if the node should read the policies from the platform.
	ReadPlatform bool
	// Change is set if the keys became current or outdated.
	Change *Change
	// Wake is the time at which Step must be called again if there is no input before.
	Wake Instant
}

// call is a request to a peer without a reply.
type call struct {
	to     registry.NodeID
	sentAt Instant
	late   bool
}

// avoidance is how long a peer is asked only after all others.
type avoidance struct {
	until    Instant
	duration time.Duration
}

// Core decides whom a node asks for a confirmation and when. Its confirmation is safe for
// concurrent use; Step must not be called concurrently.
type Core struct {
	opts         Options
	confirmation *Confirmation
	now          Instant
	out          Output

	// tiers holds the peers to ask, those of the first tier before all others.
	tiers   [][]registry.NodeID
	calls   map[uint64]call
	lastID  uint64
	avoid   map[registry.NodeID]avoidance
	nextAsk Instant
	lastAsk Instant
	// failing is set from a request without a useful reply until the next one with one.
	failing bool

	reading      bool
	nextRead     Instant
	readInterval time.Duration
	current      bool
	active       bool
}

// New returns the Core of a starting node.
func New(o Options) *Core {
	return &Core{
		opts: o, confirmation: NewConfirmation(o.Bound), lastAsk: beforeAll,
		calls: map[uint64]call{}, avoid: map[registry.NodeID]avoidance{},
	}
}

// beforeAll is earlier than every instant of a clock.
const beforeAll = Instant(-1 << 62)

// Confirmation returns the confirmation of this node.
func (c *Core) Confirmation() *Confirmation { return c.confirmation }

// Step processes an input and returns the resulting actions.
func (c *Core) Step(in Input) Output {
	c.now, c.out = in.Now, Output{}
	if in.Members != nil {
		c.setMembers(in.Members)
	}
	for i := range in.Replies {
		c.handleReply(&in.Replies[i])
	}
	c.expireCalls()
	if in.Active {
		if !c.active {
			c.nextAsk = c.now
		}
		c.ask(in.Watching)
		c.readPlatform(in.Watching)
		c.reportChange()
	}
	c.active = in.Active
	c.out.Wake = c.nextWake(in.Active)
	return c.out
}

// setMembers orders the peers: the watchers of the own failure domain, of the own region and of
// the other regions, and then some members chosen at random.
func (c *Core) setMembers(members []Member) {
	list := make([]distribution.Member, len(members))
	regions := map[string]string{}
	live := map[registry.NodeID]bool{}
	for i, m := range members {
		list[i] = distribution.Member{ID: m.ID, FailureDomain: m.FailureDomain}
		regions[m.FailureDomain] = m.Region
		live[m.ID] = true
	}
	var region, others, random []registry.NodeID
	for domain, r := range regions {
		switch {
		case domain == c.opts.FailureDomain:
		case r == c.opts.Region:
			region = append(region, distribution.Watchers(list, domain)...)
		default:
			others = append(others, distribution.Watchers(list, domain)...)
		}
	}
	for range min(randomPeers, len(members)) {
		random = append(random, members[c.opts.Rand.IntN(len(members))].ID)
	}
	c.tiers = [][]registry.NodeID{distribution.Watchers(list, c.opts.FailureDomain), region, others, random}
	for i, tier := range c.tiers {
		c.tiers[i] = slices.DeleteFunc(tier, func(id registry.NodeID) bool { return id == c.opts.Self })
		// A fixed order makes the random choices reproducible.
		slices.Sort(c.tiers[i])
	}
	maps.DeleteFunc(c.avoid, func(id registry.NodeID, _ avoidance) bool { return !live[id] })
}

func (c *Core) handleReply(r *Reply) {
	asked, ok := c.calls[r.ID]
	if !ok {
		return
	}
	delete(c.calls, r.ID)
	switch {
	case r.Err != nil:
		c.avoidPeer(asked.to)
	case !r.SamePolicies:
		c.out.Mismatches = append(c.out.Mismatches, asked.to)
		c.nextAsk = min(c.nextAsk, c.now.Add(mismatchRetryDelay+c.jitter(mismatchRetryDelay)))
	case !r.Known || r.Age < 0:
		c.avoidPeer(asked.to)
	default:
		before := c.confirmation.Left(c.now)
		// The peer replied after the request was sent, so that this is not later than
		// the time of the peer's confirmation.
		c.confirmation.Confirm(asked.sentAt.Add(-r.Age))
		if c.confirmation.Left(c.now) > before {
			c.out.Confirmed++
		}
		if r.Age > c.oldAge() {
			c.avoidPeer(asked.to)
		} else {
			c.failing = false
			delete(c.avoid, asked.to)
			c.nextAsk = max(c.nextAsk, asked.sentAt.Add(c.askInterval()))
		}
	}
}

// avoidPeer avoids a peer for some time and asks another one at once.
func (c *Core) avoidPeer(id registry.NodeID) {
	a := c.avoid[id]
	if c.now < a.until {
		return
	}
	a.duration = min(max(2*a.duration, minAvoidDuration), maxAvoidDuration)
	a.until = c.now.Add(a.duration)
	c.avoid[id] = a
	c.failing = true
	c.nextAsk = min(c.nextAsk, c.now)
}

func (c *Core) expireCalls() {
	for id, asked := range c.calls {
		if !asked.late && c.now.Sub(asked.sentAt) >= replyTimeout {
			asked.late = true
			c.calls[id] = asked
			c.avoidPeer(asked.to)
		}
	}
}

// ask sends a request to a peer if it is time for one.
func (c *Core) ask(watching bool) {
	age, known := c.confirmation.Age(c.now)
	if watching && known && age < c.oldAge() {
		// The node's own reads confirm it.
		c.nextAsk = max(c.nextAsk, c.now.Add(c.oldAge()-age))
		return
	}
	if c.now < max(c.nextAsk, c.lastAsk.Add(minAskGap)) {
		return
	}
	to, ok := c.choosePeer()
	if !ok {
		c.nextAsk = c.now.Add(c.askInterval())
		return
	}
	c.lastID++
	c.calls[c.lastID] = call{to: to, sentAt: c.now}
	c.lastAsk, c.nextAsk = c.now, c.now.Add(c.askInterval())
	if c.failing || age >= c.oldAge() || !known {
		c.nextAsk = c.now.Add(urgentAskInterval)
	}
	c.out.Calls = append(c.out.Calls, Call{ID: c.lastID, To: to})
}

func (c *Core) askInterval() time.Duration {
	low := c.minAskInterval()
	return low + c.jitter(c.maxAskInterval()-low)
}

func (c *Core) maxAskInterval() time.Duration {
	return min(maxAskInterval, time.Duration(askShare*float64(c.opts.Bound)))
}

func (c *Core) minAskInterval() time.Duration { return c.maxAskInterval() * 7 / 10 }

// choosePeer returns a random peer of the first tier with one that need not be avoided. If
// there is none in any tier, it returns any peer, but not as often.
func (c *Core) choosePeer() (registry.NodeID, bool) {
	waiting := map[registry.NodeID]bool{}
	for _, asked := range c.calls {
		waiting[asked.to] = true
	}
	var avoided []registry.NodeID
	for _, tier := range c.tiers {
		var candidates []registry.NodeID
		for _, id := range tier {
			switch {
			case waiting[id]:
			case c.now < c.avoid[id].until:
				avoided = append(avoided, id)
			default:
				candidates = append(candidates, id)
			}
		}
		if len(candidates) > 0 {
			return candidates[c.opts.Rand.IntN(len(candidates))], true
		}
	}
	if len(avoided) == 0 || c.now < c.lastAsk.Add(c.minAskInterval()) {
		return "", false
	}
	return avoided[c.opts.Rand.IntN(len(avoided))], true
}

// readPlatform requests a read of the platform if the keys are about to be outdated. A node
// that watches the platform repeats its failed reads itself.
func (c *Core) readPlatform(watching bool) {
	left := c.confirmation.Left(c.now)
	if watching || left > c.readLeft() {
		c.reading = false
		return
	}
	if !c.reading {
		c.reading = true
		c.nextRead, c.readInterval = c.now.Add(c.jitter(maxReadDelay)), minReadInterval
	}
	if c.now < c.nextRead {
		return
	}
	c.out.ReadPlatform = true
	c.nextRead = c.now.Add(c.readInterval/2 + c.jitter(c.readInterval))
	c.readInterval = min(2*c.readInterval, maxReadInterval)
}

func (c *Core) reportChange() {
	if current := c.confirmation.Current(c.now); current != c.current {
		c.current = current
		age, known := c.confirmation.Age(c.now)
		c.out.Change = &Change{Current: current, Age: age, Known: known}
	}
}

func (c *Core) nextWake(active bool) Instant {
	wake := c.now.Add(time.Second)
	if !active {
		return wake
	}
	wake = min(wake, max(c.nextAsk, c.lastAsk.Add(minAskGap)))
	for _, asked := range c.calls {
		if !asked.late {
			wake = min(wake, asked.sentAt.Add(replyTimeout))
		}
	}
	left := c.confirmation.Left(c.now)
	if left > 0 {
		wake = min(wake, c.now.Add(left))
	}
	switch {
	case c.reading:
		wake = min(wake, c.nextRead)
	case left > c.readLeft():
		wake = min(wake, c.now.Add(left-c.readLeft()))
	}
	return max(wake, c.now.Add(time.Millisecond))
}

// WatchWait returns the longest waiting time of a watch on the platform with which the replies
// keep the keys of the watchers and of the nodes that ask them current.
func WatchWait(bound time.Duration) time.Duration { return time.Duration(watchShare * float64(bound)) }

func (c *Core) readLeft() time.Duration {
	return min(readLeft, time.Duration(readShare*float64(c.opts.Bound)))
}

func (c *Core) oldAge() time.Duration { return time.Duration(oldShare * float64(c.opts.Bound)) }

func (c *Core) jitter(limit time.Duration) time.Duration {
	return time.Duration(c.opts.Rand.Int64N(int64(limit) + 1))
}
