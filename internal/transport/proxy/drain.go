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
	empty    chan struct{} // closed when draining and nothing is in flight
}

// enter reports whether a new request may start. Each success is followed by leave.
func (d *drainer) enter() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return false
	}
	d.inFlight++
	return true
}

func (d *drainer) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
	if d.draining && d.inFlight == 0 {
		close(d.empty)
	}
}

// refuse refuses new requests. The returned channel is closed when none is in
// flight any more.
func (d *drainer) refuse() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.draining {
		d.draining = true
		d.empty = make(chan struct{})
		if d.inFlight == 0 {
			close(d.empty)
		}
	}
	return d.empty
}

// drain refuses new requests and waits for those in flight.
func (d *drainer) drain(ctx context.Context) error {
	empty := d.refuse()
	select {
	case <-empty:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
