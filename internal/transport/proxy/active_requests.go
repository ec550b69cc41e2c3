package proxy

import "sync"

// activeRequests counts the requests that run at the backend servers of this node, and
// the repeats among them. A request that arrives from this VM may be a call made by any
// of them, and the calls of a repeat are repeats as well.
type activeRequests struct {
	mu           sync.Mutex
	all, repeats int
}

func (r *activeRequests) begin(repeat bool) { r.add(1, repeat) }
func (r *activeRequests) end(repeat bool)   { r.add(-1, repeat) }

func (r *activeRequests) add(n int, repeat bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all += n
	if repeat {
		r.repeats += n
	}
}

// any reports whether a request runs.
func (r *activeRequests) any() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.all > 0
}

// repeatShare returns the share of repeats among the running requests.
func (r *activeRequests) repeatShare() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.all == 0 {
		return 0
	}
	return float64(r.repeats) / float64(r.all)
}
