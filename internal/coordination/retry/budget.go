package retry

import (
	"math"
	"sync"
	"time"

	"wigeonspring.example/wigeonspring/internal/invariant"
)

// Defaults of a Budget. They bound the attempts that an ingress node sends to a service
// to 1.1 x requests + 3 per 10 s.
const (
	DefaultPercent = 10
	DefaultMinimum = 3
	DefaultWindow  = 10 * time.Second
)

// buckets is the number of buckets of the window. Counts are exact to one bucket.
const buckets = 100

// BudgetOptions configures a Budget. Zero values select the defaults.
type BudgetOptions struct {
	// Percent is the share of requests in the window that may be retried.
	Percent float64
	// Minimum is the number of retries per window that is always allowed.
	Minimum int
	// Slack is the number of retries per window that are allowed in addition to the
	// share. It may be a fraction. If it is above 0, it replaces Minimum.
	Slack float64
	// Shared states that Slack is this node's part of a slack that the nodes share. It
	// replaces Minimum also if it is 0.
	Shared bool
	// SlackStart is the time from which the slack is available. A node that restarts
	// may already have used its slack in the current window before the restart.
	SlackStart time.Time
	// RoundingOffset, 0 to 1, is added to the limit before it is rounded down, if Slack
	// replaces Minimum. If every node has a random offset, the limits of many nodes add up to
	// the limit that they share.
	RoundingOffset float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// Budget limits the retries of one service at one ingress node. It is safe for
// concurrent use.
type Budget struct {
	mu         sync.Mutex
	opt        BudgetOptions
	width      time.Duration
	start      time.Time
	newest     int64 // index of the newest bucket, counted from start
	counts     [buckets + 1]bucket
	requests   int64
	retries    int64
	maxPercent float64 // highest percentage in force since start
	maxSlack   float64 // highest slack in force since start

	limitDisabled bool // disables the limit in tests
}

type bucket struct {
	requests int32
	// retries are those taken and wanted those asked for, by priority.
	retries, wanted [priorities]int16
	// upstreamRetries counts requests that are probably repeated because the request
	// that caused them was retried; see AddUpstreamRetry.
	upstreamRetries float32
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
	return &Budget{opt: opt, width: opt.Window / buckets, maxPercent: opt.Percent, maxSlack: opt.Slack}
}

// SetPercent changes the share of requests that may be retried.
func (b *Budget) SetPercent(percent float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.opt.Percent = percent
	b.maxPercent = max(b.maxPercent, percent)
}

// SetSlack changes the slack.
func (b *Budget) SetSlack(slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.opt.Slack = slack
	b.maxSlack = max(b.maxSlack, slack)
}

// Available reports whether Take would allow a retry of the priority now.
func (b *Budget) Available(now time.Time, p Priority) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	w := b.window()
	return w.allows(b.limit(now, w.requests), p)
}

// allows reports whether the window has room for another retry of a priority.
func (w *window) allows(limit float64, p Priority) bool {
	if w.used()+1 > limit {
		return false
	}
	var later float64
	for _, n := range w.retries[p:] {
		later += float64(n)
	}
	return later+1 <= w.shareOf(limit-w.upstreamRetries, p)
}

// limit returns the number of retries allowed in a window with this number of requests.
func (b *Budget) limit(now time.Time, requests int64) float64 {
	share := float64(requests) * b.opt.Percent / 100
	if b.opt.Shared || b.opt.Slack > 0 {
		if !now.Before(b.opt.SlackStart) {
			share += b.opt.Slack
		}
		return math.Floor(share + b.opt.RoundingOffset)
	}
	return max(float64(b.opt.Minimum), share)
}

// AddRequest records a request. Plan.Next calls it once for each plan.
func (b *Budget) AddRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.counts[b.newest%int64(len(b.counts))].requests++
	b.requests++
}

// AddUpstreamRetry records a request that was made by a backend server while it handled
// another request. With the given probability, that other request was a retry, and so
// this one repeats an earlier request too. It is always allowed but leaves less of the
// budget for retries.
func (b *Budget) AddUpstreamRetry(now time.Time, probability float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.counts[b.newest%int64(len(b.counts))].upstreamRetries += float32(probability)
}

// Take takes one retry of the priority and reports whether the budget allows it.
func (b *Budget) Take(now time.Time, p Priority) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	w := b.window()
	limit := b.limit(now, w.requests)
	newest := &b.counts[b.newest%int64(len(b.counts))]
	newest.wanted[p]++
	if !w.allows(limit, p) && !b.limitDisabled {
		return false
	}
	newest.retries[p]++
	b.retries++
	windows := b.newest/buckets + 1
	invariant.Check(float64(b.requests+b.retries) <= b.maxAttempts(windows), "retry_attempts_bound",
		"%d requests led to %d retries in %d windows", b.requests, b.retries, windows)
	invariant.Check(w.used()+1 <= limit, "retry_budget_window",
		"%.1f retries for %d requests in the window", w.used()+1, w.requests)
	return true
}

// maxAttempts returns the largest number of attempts that the budget may have allowed
// since its start. All retries are covered by windows that do not overlap and end with
// a retry. Each window allows a share of its own requests or the minimum.
func (b *Budget) maxAttempts(windows int64) float64 {
	extra := float64(b.opt.Minimum)
	if b.opt.Shared || b.maxSlack > 0 {
		extra += b.maxSlack + 1
	}
	return float64(b.requests)*(1+b.maxPercent/100) + float64(windows)*extra
}

// Totals returns the number of requests and retries since the start of the budget.
func (b *Budget) Totals() (requests, retries int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requests, b.retries
}

// advance moves the newest bucket to now. A time before the newest bucket counts in the
// newest bucket.
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

// window holds the counts of a window.
type window struct {
	requests        int64
	retries, wanted [priorities]int64
	// recentlyWanted is the part of wanted in the last recentBuckets buckets.
	recentlyWanted  [priorities]int64
	upstreamRetries float64
}

// used returns the number of retries of all priorities and of upstream retries.
func (w *window) used() float64 {
	used := w.upstreamRetries
	for _, n := range w.retries {
		used += float64(n)
	}
	return used
}

// window returns the counts of the window that ends now. The oldest bucket lies only partly
// inside the window. Its retries count and its requests do not, so that the limit is never
// too high.
func (b *Budget) window() window {
	var w window
	oldest := b.newest - buckets
	for i := max(oldest, 0); i <= b.newest; i++ {
		c := &b.counts[i%int64(len(b.counts))]
		for p := range priorities {
			w.retries[p] += int64(c.retries[p])
			w.wanted[p] += int64(c.wanted[p])
			if i > b.newest-recentBuckets {
				w.recentlyWanted[p] += int64(c.wanted[p])
			}
		}
		w.upstreamRetries += float64(c.upstreamRetries)
		if i > oldest {
			w.requests += int64(c.requests)
		}
	}
	return w
}
