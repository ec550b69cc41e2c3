package durable

import (
	"math/rand/v2"
	"time"
)

// Options configures a Core.
type Options struct {
	// Start is when the process started.
	Start time.Time
	// FirstStart is set if the node has had no process before. The core then knows all
	// promises without reading them.
	FirstStart bool
	// Lateness bounds how late an announcement may arrive. A promise binds for as long.
	Lateness time.Duration
	// CheckInterval is the interval at which the generation is read while a recent promise
	// could be lost.
	CheckInterval time.Duration
	// RewriteSpread and IdleSpread bound the random delays of a write after the platform has
	// returned to an older copy: of recent promises, and of an object without any.
	RewriteSpread, IdleSpread time.Duration
	Rand                      *rand.Rand
}

// Action is a call to the platform.
type Action uint8

// Actions of a Step.
const (
	// Wait stands for no call.
	Wait Action = iota
	// Read reads the object with the promises of earlier processes.
	Read
	// Write writes the object.
	Write
	// Check makes the cheapest call that tells the generation.
	Check
)

// Step is the next call and when it is due. A Wait has no time: it lasts until the next event.
type Step struct {
	Action Action
	At     time.Time
}

// Object is what a read has returned.
type Object struct {
	// Complete is the generation in which the object held all promises; 0 if the object does
	// not exist or does not state it.
	Complete uint64
	// Generation is that of the platform's data; 0 if the platform does not tell.
	Generation uint64
	// Promises is set if the object holds promises that may still bind.
	Promises bool
}

// Pending describes a write that has begun.
type Pending struct {
	// Complete is the generation to be stated in the object.
	Complete uint64
	changes  uint64
}

// Core tracks what the platform has stored of the promises of one node. It is not safe for
// concurrent use.
type Core struct {
	opt Options

	// recalled is set once the promises of earlier processes are known, and read once a read
	// has told them.
	recalled, read bool
	// complete is set if this process knows all promises of the node that still bind.
	complete bool
	// readComplete is the generation that the object stated when it was read.
	readComplete uint64

	// changes counts the changes of the promises, and stored those that a write has covered.
	changes, stored uint64
	// newest is the highest generation known. storedIn is that in which the latest write was
	// confirmed, seenIn that of the latest write or read, and stated the one that the object
	// states.
	newest, storedIn, seenIn, stated uint64
	// rewriteAt is when the object is due to be written again after newest has risen.
	rewriteAt time.Time
	// lastPromise is when the latest promise was made; zero if there is none.
	lastPromise time.Time
	lastCheck   time.Time
}

// New returns a core without promises.
func New(opt Options) *Core {
	return &Core{opt: opt, recalled: opt.FirstStart, complete: opt.FirstStart}
}

// Recalled reports that the object was read.
func (c *Core) Recalled(now time.Time, o Object) {
	c.Observe(now, o.Generation)
	if o.Promises {
		c.lastPromise = now
	}
	if !c.read && c.stored == 0 {
		// A later read cannot show that something was lost which this process did not know.
		c.complete = o.Complete == o.Generation
		c.readComplete, c.stated, c.storedIn = o.Complete, o.Complete, o.Generation
	}
	c.recalled, c.read, c.seenIn = true, true, o.Generation
}

// Promise reports that a promise was made. It must be stored before it is acknowledged.
func (c *Core) Promise(now time.Time) {
	c.changes++
	c.lastPromise = now
}

// Stored reports whether the platform has stored all promises, as far as is known. A promise may
// be acknowledged then.
func (c *Core) Stored() bool {
	return c.lastPromise.IsZero() || c.stored == c.changes && c.storedIn == c.newest
}

// Observe reports a generation that this node or a peer has seen in a response. It reports
// whether the platform has returned to an older copy since the latest one.
func (c *Core) Observe(now time.Time, generation uint64) bool {
	if generation <= c.newest {
		return false
	}
	restored := c.newest > 0
	c.newest = generation
	c.rewriteAt = now.Add(c.random(c.spread(now)))
	return restored
}

// Expedite reports that an acknowledgment waits for the promises to be stored.
func (c *Core) Expedite(now time.Time) {
	if c.rewriteAt.After(now) {
		c.rewriteAt = now
	}
}

// Begin begins a write.
func (c *Core) Begin(now time.Time) Pending {
	p := Pending{Complete: c.readComplete, changes: c.changes}
	if c.isComplete(now) {
		p.Complete = c.newest
	}
	return p
}

// Written reports that the platform has confirmed a write in a generation of its data.
func (c *Core) Written(now time.Time, p Pending, generation uint64) {
	c.Observe(now, generation)
	c.stored, c.storedIn, c.seenIn, c.stated = p.changes, generation, generation, p.Complete
	c.lastCheck = now
	if generation < c.newest {
		// The platform has returned to an older copy since.
		c.rewriteAt = now.Add(c.opt.CheckInterval)
	}
}

// CompleteFrom returns the time from which this process knows all promises of the node that still
// bind. Before it, an announcement must prove that it was sent after the process had started. It
// is zero if no promise can have been lost, and has no meaning before the first read.
func (c *Core) CompleteFrom() time.Time {
	if c.complete {
		return time.Time{}
	}
	return c.opt.Start.Add(c.opt.Lateness)
}

// Known reports whether the promises that the platform holds are known.
func (c *Core) Known() bool { return c.recalled }

// isComplete compares the monotonic clock, which stands still while the VM is suspended, so that
// late announcements have had the time to arrive.
func (c *Core) isComplete(now time.Time) bool {
	return c.recalled && now.Sub(c.CompleteFrom()) >= 0
}

// Checked reports that the generation was read.
func (c *Core) Checked(now time.Time) { c.lastCheck = now }

// Next returns the next call. A failed call stays due, and the caller delays it.
func (c *Core) Next(now time.Time) Step {
	switch {
	case !c.recalled:
		return Step{Read, now}
	case c.stored < c.changes:
		return Step{Write, now}
	case c.recent(now) && c.seenIn < c.newest:
		// A write of the lost version would fail and be repeated.
		return Step{Read, c.rewriteAt}
	case c.recent(now) && c.storedIn < c.newest:
		return Step{Write, c.rewriteAt}
	}
	return earlier(c.nextStatement(now), c.nextCheck(now))
}

// nextStatement returns the write of an object that is to state a later generation.
func (c *Core) nextStatement(now time.Time) Step {
	if c.stated >= c.newest {
		return Step{}
	}
	if !c.isComplete(now) {
		// It will be due once the process knows all promises.
		at := c.opt.Start.Add(c.opt.Lateness)
		if c.rewriteAt.Before(at) {
			c.rewriteAt = at.Add(c.random(c.opt.IdleSpread))
		}
	}
	return Step{Write, c.rewriteAt}
}

// nextCheck returns the next check of the generation. An older copy holds a promise that was
// stored long before.
func (c *Core) nextCheck(now time.Time) Step {
	if c.newest == 0 || !c.recent(now) {
		return Step{}
	}
	return Step{Check, c.lastCheck.Add(c.opt.CheckInterval)}
}

func earlier(a, b Step) Step {
	if a.Action == Wait || b.Action != Wait && b.At.Before(a.At) {
		return b
	}
	return a
}

func (c *Core) recent(now time.Time) bool {
	return !c.lastPromise.IsZero() && now.Sub(c.lastPromise) < c.opt.Lateness
}

func (c *Core) spread(now time.Time) time.Duration {
	if c.recent(now) {
		return c.opt.RewriteSpread
	}
	return c.opt.IdleSpread
}

func (c *Core) random(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(c.opt.Rand.Int64N(int64(limit)))
}
