// Package freshness decides whether this node may still rely on the keys of its policies.
//
// A key that was taken away must stop working within a bound at every node, also at one that
// hears nothing. A node therefore accepts keys only for that bound after the last time at which
// it is known to have had the newest policies. It learns that time from a linearizable read of
// the platform, or from a peer with the same policies. In both cases the time counts from
// before the request was sent, so that neither a slow reply nor a pause of the node extends it.
package freshness

import (
	"math"
	"sync/atomic"
	"time"
)

// Instant is the time since a fixed origin on a clock that also counts while the VM is
// suspended and that does not follow changes of the time of day.
type Instant time.Duration

// Add returns the instant after d.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from j to i.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// margin is the part of the bound that covers the different rates of the nodes' clocks.
const margin = 100 * time.Millisecond

// unknown is the value of Confirmation.at before the first confirmation.
const unknown = math.MinInt64

// Confirmation is the latest time at which the node is known to have had the newest policies.
// It is safe for concurrent use.
type Confirmation struct {
	bound time.Duration
	at    atomic.Int64
}

// NewConfirmation returns a Confirmation of a node that has none yet. The bound is the time
// within which a key that was taken away must stop working.
func NewConfirmation(bound time.Duration) *Confirmation {
	c := &Confirmation{bound: bound}
	c.at.Store(unknown)
	return c
}

// Confirm records that the node had the newest policies at the given time. An earlier time than
// the recorded one changes nothing. The policies must be in force before the call.
func (c *Confirmation) Confirm(at Instant) {
	for {
		old := c.at.Load()
		if int64(at) <= old || c.at.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// Age returns the time since the latest confirmation, and whether there is one.
func (c *Confirmation) Age(now Instant) (age time.Duration, known bool) {
	at := c.at.Load()
	if at == unknown {
		return 0, false
	}
	return max(now.Sub(Instant(at)), 0), true
}

// Left returns the time for which keys remain current without another confirmation; it is not
// positive if they are outdated.
func (c *Confirmation) Left(now Instant) time.Duration {
	age, known := c.Age(now)
	if !known {
		return 0
	}
	return c.bound - margin - age
}

// Current reports whether the keys of the policies in force are current.
func (c *Confirmation) Current(now Instant) bool { return c.Left(now) > 0 }
