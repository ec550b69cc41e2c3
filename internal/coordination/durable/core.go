package durable

import "time"

// Options configures a Core.
type Options struct {
	// FirstStart is set if the node has had no process before. The core then knows all
	// promises without reading them.
	FirstStart bool
	// Lateness bounds how late an announcement may arrive. A promise binds for as long.
	Lateness time.Duration
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
)

// Step is the next call and when it is due. A Wait has no time: it lasts until the next event.
type Step struct {
	Action Action
	At     time.Time
}

// Pending describes a write that has begun.
type Pending struct{ changes uint64 }

// Core tracks what the platform has stored of the promises of one node. It is not safe for
// concurrent use.
type Core struct {
	opt      Options
	recalled bool
	// changes counts the changes of the promises, and stored those that a write has covered.
	changes, stored uint64
	// lastPromise is when the latest promise was made; zero if there is none.
	lastPromise time.Time
}

// New returns a core without promises.
func New(opt Options) *Core { return &Core{opt: opt, recalled: opt.FirstStart} }

// Recalled reports that the object was read.
func (c *Core) Recalled() { c.recalled = true }

// Known reports whether the promises that the platform holds are known.
func (c *Core) Known() bool { return c.recalled }

// Promise reports that a promise was made. It must be stored before it is acknowledged.
func (c *Core) Promise(now time.Time) {
	c.changes++
	c.lastPromise = now
}

// Rewrite asks for a write of the promises if they were made so recently that they still bind.
func (c *Core) Rewrite(now time.Time) {
	if !c.lastPromise.IsZero() && now.Sub(c.lastPromise) < c.opt.Lateness {
		c.changes++
	}
}

// Stored reports whether the platform has stored all promises. A promise may be acknowledged
// then.
func (c *Core) Stored() bool { return c.stored == c.changes }

// Begin begins a write.
func (c *Core) Begin() Pending { return Pending{c.changes} }

// Written reports that the platform has confirmed a write.
func (c *Core) Written(p Pending) { c.stored = p.changes }

// Next returns the next call. A failed call stays due, and the caller delays it.
func (c *Core) Next(now time.Time) Step {
	switch {
	case !c.recalled:
		return Step{Read, now}
	case c.stored < c.changes:
		return Step{Write, now}
	}
	return Step{}
}
