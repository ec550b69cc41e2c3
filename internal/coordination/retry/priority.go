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
// the limit of the window. What the priorities before it ask for, granted or not, is kept for
// them: as much as in the window, or as much as in a window at the present rate. The present
// rate counts because a burst would else find the budget spent by others.
func (w *window) shareOf(limit float64, p Priority) float64 {
	var wanted, recent float64
	for i := range p {
		wanted += float64(w.wanted[i])
		recent += float64(w.recentlyWanted[i])
	}
	return max(limit-max(wanted, recent*buckets/recentBuckets), limit/guaranteedDivisor)
}
