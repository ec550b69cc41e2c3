package proxy

import "sync"

// running counts the requests at the backend servers of this node and the repeats
// among them. A call that comes from this VM may have been made by any of them, and
// the calls of a repeat are repeats too.
type running struct {
	mu           sync.Mutex
	all, repeats int
}

func (r *running) begin(repeat bool) { r.add(1, repeat) }
func (r *running) end(repeat bool)   { r.add(-1, repeat) }

func (r *running) add(n int, repeat bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all += n
	if repeat {
		r.repeats += n
	}
}

// repeatShare returns the share of repeats.
func (r *running) repeatShare() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.all == 0 {
		return 0
	}
	return float64(r.repeats) / float64(r.all)
}
