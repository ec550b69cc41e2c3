package attempts

import (
	"cmp"
	"sync"
	"time"

	"wigeonspring.example/wigeonspring/internal/invariant"
)

// Defaults of Options.
const (
	// DefaultKeep is how long an attempt is known after its end. A failed connection is
	// noticed within about a second.
	DefaultKeep = 5 * time.Second
	// DefaultMaxEnded bounds the attempts that are known after their end.
	DefaultMaxEnded = 4096
	// DefaultMaxOrigins bounds the ingress processes that are known. It is above the number of
	// nodes of the largest fleet.
	DefaultMaxOrigins = 8192
)

// Key identifies an attempt.
type Key struct {
	// Origin identifies the ingress process.
	Origin string
	// Sequence numbers the attempts of the ingress process, in the order in which they are
	// sent.
	Sequence uint64
}

// Status is what the owner knows about an attempt.
type Status uint8

// Statuses.
const (
	// Withdrawn means that the attempt has not run and never will: the owner had not
	// received it or had not sent it to the backend server, and refuses it from now on.
	Withdrawn Status = iota
	// Waiting means that the attempt has not been sent to the backend server yet.
	Waiting
	// Dispatched means that the attempt may have been sent to the backend server.
	Dispatched
	// Ended means that the reply to the attempt is complete.
	Ended
	// Forgotten means that the attempt may have run, and that nothing else is known.
	Forgotten
)

var statusNames = [...]string{"withdrawn", "waiting", "dispatched", "ended", "forgotten"}

// String returns the name of the status.
func (s Status) String() string {
	if int(s) < len(statusNames) {
		return statusNames[s]
	}
	return "unknown"
}

// Options configures a Log. Zero values select the defaults.
type Options struct {
	Keep       time.Duration
	MaxEnded   int
	MaxOrigins int
}

// Log records the attempts at the backend servers of one owner process. V is what the owner
// stores with an attempt. It is safe for concurrent use.
type Log[V any] struct {
	opt     Options
	removed func(V)

	mu      sync.Mutex
	origins map[string]*origin[V]
	// ended holds the attempts that have ended or were withdrawn, oldest first. The first
	// endedStart ones are no longer recorded.
	ended      []endedAttempt
	endedStart int
}

type origin[V any] struct {
	attempts map[uint64]*entry[V]
	// forgotten is the highest sequence of an attempt that was removed. An attempt that is
	// not recorded and has no higher sequence may have run, or may have been withdrawn.
	forgotten uint64
}

type entry[V any] struct {
	status       Status
	withdrawable bool
	value        V
}

type endedAttempt struct {
	key Key
	at  time.Time
}

// NewLog returns an empty log. removed is called with the value of each attempt that is no
// longer recorded; it must not call the log.
func NewLog[V any](o Options, removed func(V)) *Log[V] {
	o.Keep = cmp.Or(o.Keep, DefaultKeep)
	o.MaxEnded = cmp.Or(o.MaxEnded, DefaultMaxEnded)
	o.MaxOrigins = cmp.Or(o.MaxOrigins, DefaultMaxOrigins)
	return &Log[V]{opt: o, removed: removed, origins: make(map[string]*origin[V])}
}

// Begin records an attempt that has arrived. It reports false if the attempt was withdrawn,
// or may have been: it must then be refused as not run. withdrawable states that the attempt
// needs more data on its connection before it can be dispatched.
func (l *Log[V]) Begin(now time.Time, k Key, value V, withdrawable bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	o := l.origin(k.Origin)
	if o == nil {
		return true // Resolve withdraws no attempt of this ingress process.
	}
	if k.Sequence <= o.forgotten || o.attempts[k.Sequence] != nil {
		return false
	}
	o.attempts[k.Sequence] = &entry[V]{status: Waiting, withdrawable: withdrawable, value: value}
	return true
}

// Dispatch records that an attempt is about to be sent to its backend server. It reports
// false if the attempt was withdrawn: it must then be refused as not run.
func (l *Log[V]) Dispatch(k Key) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.origins[k.Origin]
	if o == nil {
		return true
	}
	e := o.attempts[k.Sequence]
	if e == nil || e.status == Withdrawn {
		return false
	}
	invariant.Check(e.status == Waiting, "attempt_dispatched_once", "attempt %d of %s is dispatched while %s", k.Sequence, k.Origin, e.status)
	e.status = Dispatched
	return true
}

// End records that the reply to an attempt is complete.
func (l *Log[V]) End(now time.Time, k Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entry(k); e != nil && e.status != Withdrawn {
		e.status = Ended
		l.ended = append(l.ended, endedAttempt{k, now})
	}
	l.expire(now)
}

// Resolve returns the status of an attempt whose connection failed, and the value stored with
// it. An attempt that was not received, or that waits and is withdrawable, is withdrawn.
func (l *Log[V]) Resolve(now time.Time, k Key) (Status, V) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	var none V
	o := l.origin(k.Origin)
	if o == nil {
		return Forgotten, none
	}
	e := o.attempts[k.Sequence]
	switch {
	case e == nil && k.Sequence <= o.forgotten:
		return Forgotten, none
	case e == nil:
		e = &entry[V]{status: Withdrawn}
		o.attempts[k.Sequence] = e
		l.ended = append(l.ended, endedAttempt{k, now})
	case e.status == Waiting && e.withdrawable:
		e.status = Withdrawn
		l.ended = append(l.ended, endedAttempt{k, now})
	}
	return e.status, e.value
}

// Len returns the number of recorded attempts.
func (l *Log[V]) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, o := range l.origins {
		n += len(o.attempts)
	}
	return n
}

func (l *Log[V]) entry(k Key) *entry[V] {
	if o := l.origins[k.Origin]; o != nil {
		return o.attempts[k.Sequence]
	}
	return nil
}

// origin returns the record of an ingress process, or nil if there is no room for it. Records
// are never removed: without them, an attempt that was withdrawn could run.
func (l *Log[V]) origin(name string) *origin[V] {
	o := l.origins[name]
	if o == nil && len(l.origins) < l.opt.MaxOrigins {
		o = &origin[V]{attempts: make(map[uint64]*entry[V])}
		l.origins[name] = o
	}
	return o
}

// expire removes the attempts that ended too long ago.
func (l *Log[V]) expire(now time.Time) {
	for ; l.endedStart < len(l.ended); l.endedStart++ {
		first := l.ended[l.endedStart]
		if len(l.ended)-l.endedStart <= l.opt.MaxEnded && now.Sub(first.at) < l.opt.Keep {
			break
		}
		o := l.origins[first.key.Origin]
		l.removed(o.attempts[first.key.Sequence].value)
		delete(o.attempts, first.key.Sequence)
		o.forgotten = max(o.forgotten, first.key.Sequence)
	}
	if l.endedStart > len(l.ended)/2 {
		l.ended = append(l.ended[:0], l.ended[l.endedStart:]...)
		l.endedStart = 0
	}
}
