package retry

// Priority orders the retries of one service that compete for its budget; 0 goes first.
//
// It matters while more attempts fail than the budget allows to repeat, for example when all
// backend servers of a service refuse half of what arrives. More urgent ranks go first.
// Within a rank, a request that is not idempotent goes first: it may be repeated only after
// a refusal, and the refusal is then its only chance. Hedging attempts go last, because the
// request that they duplicate still runs.
type Priority int

const (
	// maxPriorityRank is the highest rank that is told apart from those above it.
	maxPriorityRank = 3
	// HedgePriority is the priority of hedging attempts.
	HedgePriority Priority = 2 * (maxPriorityRank + 1)
	// priorities is the number of priorities.
	priorities = HedgePriority + 1
)

// PriorityOf returns the priority of the retries of a request.
func PriorityOf(rank int, idempotent bool) Priority {
	p := Priority(2 * min(max(rank, 0), maxPriorityRank))
	if idempotent {
		p++
	}
	return p
}

// guaranteedDivisor is the inverse of the share of the limit that is open to each priority
// regardless of the demand of those before it, so that none starves.
const guaranteedDivisor = 8

// recentBuckets is the number of buckets, up to the newest, from which the present demand is
// projected to a window.
const recentBuckets = buckets * 3 / 10

// shareOf returns the number of retries that a priority and those after it may take out of
// the limit of the window. If more is wanted than the limit, what the priorities before it ask
// for is kept for them, granted or not.
func (w *window) shareOf(limit float64, p Priority) float64 {
	if w.demand(priorities) <= limit {
		return limit
	}
	return max(limit-w.demand(p), limit/guaranteedDivisor)
}

// demand returns the number of retries in a window that the priorities before p ask for: as many
// as in this window, or as many as at the present rate. The present rate counts because a burst
// would else find the budget spent by others. A single failure is no rate.
func (w *window) demand(p Priority) float64 {
	var wanted, recent int64
	for i := range p {
		wanted += w.wanted[i]
		recent += w.recentlyWanted[i]
	}
	return max(float64(wanted), float64(recent-1)*buckets/recentBuckets)
}
