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

func (d *drainer) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
	if d.draining && d.inFlight == 0 {
		close(d.empty)
	}
}

// beginDrain causes new requests to be refused. The returned channel is closed when no
// request is in flight.
func (d *drainer) beginDrain() <-chan struct{} {
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

// drain refuses new requests and waits until those in flight have ended or ctx is done.
func (d *drainer) drain(ctx context.Context) error {
	empty := d.beginDrain()
	select {
	case <-empty:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
