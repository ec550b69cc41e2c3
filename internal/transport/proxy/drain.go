package proxy

import (
	"context"
	"sync"
)

// drainer counts the requests in flight and refuses new ones while draining.
type drainer struct {
	mu       sync.Mutex
	inFlight int
	draining bool
	empty    chan struct{} // closed when nothing is in flight; nil if nobody waits for it
}

// enter reports whether a new request may start. If so, leave must be called when the
// request ends.
func (d *drainer) enter() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return false
	}
	d.inFlight++
	return true
}

// enterLate counts a request that starts although the drainer drains. leave must be called
// when it ends.
func (d *drainer) enterLate() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight++
}

func (d *drainer) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
	if d.inFlight == 0 && d.empty != nil {
		close(d.empty)
		d.empty = nil
	}
}

// beginDrain causes new requests to be refused.
func (d *drainer) beginDrain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining = true
}

// drain refuses new requests and waits until none is in flight or ctx is done.
func (d *drainer) drain(ctx context.Context) error {
	d.mu.Lock()
	d.draining = true
	if d.inFlight == 0 {
		d.mu.Unlock()
		return nil
	}
	if d.empty == nil {
		d.empty = make(chan struct{})
	}
	empty := d.empty
	d.mu.Unlock()
	select {
	case <-empty:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
