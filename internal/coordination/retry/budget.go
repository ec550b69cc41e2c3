package retry

import (
	"math"
	"sync"
	"time"

	"wigeonspring.example/wigeonspring/internal/invariant"
)

// Defaults of a Budget. They bound the attempts sent to a service to 1.1 x
// requests + 3 per 10 s per ingress node.
const (
	DefaultPercent = 10
	DefaultMinimum = 3
	DefaultWindow  = 10 * time.Second
)

// buckets is the number of parts of the window. Counts are exact to one part.
const buckets = 100

// BudgetOptions configures a Budget. Zero values select the defaults.
type BudgetOptions struct {
	// Percent is the share of requests in the window that may be retried.
	Percent float64
	// Minimum is the number of retries per window that is always allowed.
	Minimum int
	// Slack is a number of retries per window in addition to the share; it may be a
	// fraction and replaces Minimum if it is above 0.
	Slack float64
	// SlackStart is when the slack begins to count. A node that restarts within a
	// window may have spent its part before.
	SlackStart time.Time
	// RoundingOffset, 0 to 1, decides on which side the limit is rounded, so that the limits
	// of many nodes with random phases add up to what they share.
	RoundingOffset float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// Budget limits the retries of one service at one ingress node. It is safe for
// concurrent use.
type Budget struct {
	mu       sync.Mutex
	opt      BudgetOptions
	width    time.Duration
	start    time.Time
	newest   int64 // index of the newest bucket since start
	counts   [buckets + 1]bucket
	requests int64
	retries  int64
	peak     float64 // highest percentage in force since start
	slack    float64 // highest slack in force since start

	off bool // disables the limit in tests
}

type bucket struct {
	requests, retries int32
	// inherited counts requests that are repeats because the run that made them is
	// one; see Inherit.
	inherited float32
}

// NewBudget returns a budget without any recorded request.
func NewBudget(opt BudgetOptions) *Budget {
	if opt.Percent == 0 {
		opt.Percent = DefaultPercent
	}
	if opt.Minimum == 0 {
		opt.Minimum = DefaultMinimum
	}
	if opt.Window == 0 {
		opt.Window = DefaultWindow
	}
	return &Budget{opt: opt, width: opt.Window / buckets, peak: opt.Percent, slack: opt.Slack}
}

// SetPercent changes the share of requests that may be retried.
func (b *Budget) SetPercent(percent float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.opt.Percent = percent
	b.peak = max(b.peak, percent)
}

// SetSlack changes the slack.
func (b *Budget) SetSlack(slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.opt.Slack = slack
	b.slack = max(b.slack, slack)
}

// Available reports whether Take would allow a retry now.
func (b *Budget) Available(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	requests, used := b.window()
	return used+1 <= b.limit(now, requests)
}

// limit returns the retries that a window with this number of requests allows.
func (b *Budget) limit(now time.Time, requests int64) float64 {
	share := float64(requests) * b.opt.Percent / 100
	if b.opt.Slack > 0 {
		if !now.Before(b.opt.SlackStart) {
			share += b.opt.Slack
		}
		return math.Floor(share + b.opt.RoundingOffset)
	}
	return max(float64(b.opt.Minimum), share)
}

// AddRequest records a request. Plan.Next does this once for each plan.
func (b *Budget) AddRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.counts[b.newest%int64(len(b.counts))].requests++
	b.requests++
}

// AddUpstreamRetry records a request that is a repeat with the given probability, because the
// run that made it may be one. It is never refused, and leaves less for retries.
func (b *Budget) AddUpstreamRetry(now time.Time, probability float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.counts[b.newest%int64(len(b.counts))].inherited += float32(probability)
}

// Take reserves one retry and reports whether the budget allows it.
func (b *Budget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	requests, used := b.window()
	limit := b.limit(now, requests)
	if used+1 > limit && !b.off {
		return false
	}
	b.counts[b.newest%int64(len(b.counts))].retries++
	b.retries++
	windows := b.newest/buckets + 1
	invariant.Check(float64(b.requests+b.retries) <= b.bound(windows), "retry_attempts_bound",
		"%d requests led to %d retries in %d windows", b.requests, b.retries, windows)
	invariant.Check(used+1 <= limit, "retry_budget_window",
		"%.1f retries for %d requests in the window", used+1, requests)
	return true
}

// bound is the largest number of attempts that the budget may have let through
// since it exists. Windows that end with a retry and do not overlap cover all
// retries, and each allows its share of its own requests or the minimum.
func (b *Budget) bound(windows int64) float64 {
	extra := float64(b.opt.Minimum)
	if b.slack > 0 {
		extra += b.slack + 1
	}
	return float64(b.requests)*(1+b.peak/100) + float64(windows)*extra
}

// Totals returns the requests and retries since the budget exists.
func (b *Budget) Totals() (requests, retries int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requests, b.retries
}

// advance moves the newest bucket to now. Time that goes backwards is taken as
// the newest time seen.
func (b *Budget) advance(now time.Time) {
	if b.start.IsZero() {
		b.start = now
		return
	}
	index := int64(now.Sub(b.start) / b.width)
	if index-b.newest > int64(len(b.counts)) {
		b.counts = [buckets + 1]bucket{}
		b.newest = index
	}
	for b.newest < index {
		b.newest++
		b.counts[b.newest%int64(len(b.counts))] = bucket{}
	}
}

// window sums the buckets: the requests, and the repeats of both kinds. The oldest
// bucket lies only partly inside the window: its repeats count and its requests do
// not, so that the limit errs on the safe side.
func (b *Budget) window() (requests int64, used float64) {
	oldest := b.newest - buckets
	for i := max(oldest, 0); i <= b.newest; i++ {
		c := b.counts[i%int64(len(b.counts))]
		used += float64(c.retries) + float64(c.inherited)
		if i > oldest {
			requests += int64(c.requests)
		}
	}
	return requests, used
}
