package membership

import (
	"slices"
	"sync/atomic"
	"time"
)

// incarnationRandomBits is the number of random bits in an incarnation. The time in
// milliseconds needs the other 42 bits until the year 2109.
const incarnationRandomBits = 22

// maxOwnIncarnations bounds the incarnations that a process remembers as its own. An attempt
// that was sent to an older one is refused.
const maxOwnIncarnations = 64

// NewIncarnation returns the incarnation of a process that starts at now, the time in
// milliseconds followed by random bits. It rises with the time of day. Two processes that start
// in the same millisecond have the same one with a probability of 2^-22.
func NewIncarnation(now time.Time, random uint64) uint64 {
	return uint64(now.UnixMilli())<<incarnationRandomBits | random&(1<<incarnationRandomBits-1)
}

// incarnationAbove returns an incarnation above reported, by a random distance: an earlier
// process of the node may have raised its own above the same value.
func (c *Core) incarnationAbove(reported uint64) uint64 {
	return reported + 1 + c.rand.Uint64N(1<<incarnationRandomBits)
}

// ownIncarnations are the incarnations that only this process has used, in rising order. They
// are not a range, because an earlier process may have used a value between two of them. The
// methods are safe for concurrent use.
type ownIncarnations struct{ list atomic.Pointer[[]uint64] }

// reset leaves only one incarnation.
func (o *ownIncarnations) reset(incarnation uint64) { o.list.Store(&[]uint64{incarnation}) }

func (o *ownIncarnations) add(incarnation uint64) {
	list := append(slices.Clone(*o.list.Load()), incarnation)
	list = list[max(0, len(list)-maxOwnIncarnations):]
	o.list.Store(&list)
}

func (o *ownIncarnations) contains(incarnation uint64) bool {
	return slices.Contains(*o.list.Load(), incarnation)
}

func (o *ownIncarnations) current() uint64 {
	list := *o.list.Load()
	return list[len(list)-1]
}

// OwnsIncarnation reports whether this process, and no earlier one of the node, has used an
// incarnation, as far as is known. It is safe for concurrent use.
func (c *Core) OwnsIncarnation(incarnation uint64) bool { return c.own.contains(incarnation) }

// Incarnation returns the current incarnation of the local node. It is safe for concurrent use.
func (c *Core) Incarnation() uint64 { return c.own.current() }
